"""Steps on routers before engines with rate limits."""

from __future__ import annotations

import random
from typing import Any

from behave import given, then, when

from egretspur import errors
from tests.routing import routers

LAST = ("a2", "b2", "c2")

# Time from setting a limit until all routers keep to it.
CONTACT_S = 3.0


@given("{count:d} routers before three chains of engines")
def step_routers(context: Any, count: int) -> None:
    context.routers = routers.Routers(random.Random(5))
    context.routers.add(count)
    context.routers.play(1.0, 30.0)


@when("the last stages of {which} set a limit of {per_s:g} requests a second")
def step_name(context: Any, which: str, per_s: float) -> None:
    names = LAST if which == "all" else LAST[:1]
    context.routers.limits = dict.fromkeys(names, per_s)
    context.named_s = context.routers.now_s


@when("the last stages lift their limits")
def step_lift(context: Any) -> None:
    context.routers.limits = {}


@when("the routers get {rate:g} requests a second for {seconds:g} s")
def step_requests(context: Any, rate: float, seconds: float) -> None:
    context.routers.play(seconds, rate)


@then("none of these gets more than {most:d} requests in {window_s:g} s")
def step_within(context: Any, most: int, window_s: float) -> None:
    play = context.routers
    since_s = context.named_s + CONTACT_S
    for name in play.limits:
        got = play.find_worst(name, since_s, window_s)
        assert got <= most, (name, got)


@then("nobody is refused")
def step_nobody(context: Any) -> None:
    assert not context.routers.refused


@then("others are told when their turn would have come")
def step_told(context: Any) -> None:
    refused = [e.refusal for e in context.routers.refused]
    limited = [
        r for r in refused if r.kind is errors.ErrorKind.UPSTREAM_LIMITED
    ]
    assert len(limited) >= len(refused) / 2, len(limited)
    assert all(0.0 < r.retry_after_s <= 10.0 for r in limited)


@then("no router treats an engine as limited")
def step_lifted(context: Any) -> None:
    for router in context.routers.routers:
        assert not router.availability.throttle.limited


@when(
    "the last stage of one refuses all requests and asks for a backoff of"
    " {backoff_s:g} s"
)
def step_away(context: Any, backoff_s: float) -> None:
    context.routers.away = {LAST[0]: backoff_s}


@then("no router sends it a request within its backoff")
def step_rested(context: Any) -> None:
    assert context.routers.backoffs
    assert not context.routers.sent_in_backoff


@when("the last stage of one reports in its answers that it is leaving")
def step_leaving(context: Any) -> None:
    context.routers.leaving = {LAST[0]}


@then("no router sends it a request in the last {seconds:g} s")
def step_left(context: Any, seconds: float) -> None:
    play = context.routers
    assert not play.find_worst(LAST[0], play.now_s - seconds, seconds)
