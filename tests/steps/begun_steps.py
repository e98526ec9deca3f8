"""Steps on streams that run while engines and configurations change."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from tests import streams


@given(
    "a site of {hosts:d} hosts and {engines:d} engines, with {per_s:d} streams"
    " a second"
)
def step_site(context: Any, hosts: int, engines: int, per_s: int) -> None:
    context.streams = streams.start(hosts, engines, per_s)
    context.play = context.streams.site


def play(context: Any, history: str) -> None:
    """Plays a history; keeps the streams that ran meanwhile."""
    context.ran = streams.play(context.streams, history)


for _history in streams.HISTORIES:
    when(_history)(lambda context, history=_history: play(context, history))


@then("every stream that began is whole, and at least {least:d} ran meanwhile")
def step_whole(context: Any, least: int) -> None:
    site = context.play
    assert len(context.ran) >= least, context.ran
    cut = {
        s.id: [
            (f["event"], f.get("reason"), f.get("failed"))
            for f in streams.find_lines(site, s.id)
        ]
        for s in context.ran
        if s.is_cut
    }
    assert not cut, (len(cut), len(context.ran), cut)
