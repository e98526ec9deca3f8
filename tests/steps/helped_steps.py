"""Steps on streams that other hosts pass on."""

from __future__ import annotations

import time
from typing import Any, Final

from behave import given, then, when

from tests import streams

# Seconds in which the first host learns that it is cut off, and for which
# streams run before and after a host ends.
CONTACT_S: Final = 3.0
AROUND_S: Final = 2.5

# Shorter than a stream.
GRACE_S: Final = 1.0


@given(
    "a site of 3 hosts that pass on the streams of the first, without a length"
)
def step_site(context: Any) -> None:
    context.streams = streams.start(3, 4, 24.0, grace_s=GRACE_S)
    context.play = site = context.streams.site
    for name in streams.list_engines(site):
        site.set_fault(name, {"unframed": True})
    site.partition(site.hosts[0], "reset")
    time.sleep(CONTACT_S)


@when("host 2 is killed while streams run")
def step_killed(context: Any) -> None:
    _end(context, lambda process: process.kill())


@when("host 2 stops while streams run")
def step_stops(context: Any) -> None:
    _end(context, lambda process: process.terminate())


def _end(context: Any, end: Any) -> None:
    context.began_s = time.monotonic()
    time.sleep(AROUND_S)
    end(context.play.stage.processes[context.play.hosts[1]])
    time.sleep(AROUND_S)
    context.streams.close()


@then("no stream looks complete that is not whole")
def step_none_cut(context: Any) -> None:
    wrong = [
        (s.host, s.events)
        for s in context.streams.streams
        if s.is_complete and s.status == 200 and not s.is_whole
    ]
    assert not wrong, (len(wrong), wrong)


@then("at least 9 in 10 of the first host's are whole, {least:d} or more")
def step_whole(context: Any, least: int) -> None:
    ran = [
        s
        for s in context.streams.streams
        if s.host == context.play.hosts[0] and s.sent_s >= context.began_s
    ]
    whole = [s for s in ran if s.is_whole]
    assert len(whole) >= max(least, 0.9 * len(ran)), (len(whole), len(ran))
