"""Steps on the time that upstreams are handed for retries."""

from __future__ import annotations

import math
from typing import Any

from behave import given, then, when

from egretspur.admission import arrivals
from egretspur.routing import timeouts

UPSTREAM = "app-0"


def answer(
    context: Any,
    seconds: float,
    upstream: str = UPSTREAM,
    is_answer: bool = True,
) -> None:
    """Has an upstream answer or end a request that was sent so long ago."""
    sending = arrivals.Sending()
    sent_s = context.now_s - seconds
    context.sent.send(sending, upstream, sent_s)
    context.sent.settle(sending, context.now_s, is_answer)


@given("an upstream that lately answered within {times} s")
def step_answered(context: Any, times: str) -> None:
    context.now_s = 100.0
    context.sent = arrivals.Arrivals(10.0)
    context.others = ["app-1"]
    for seconds in times.split(","):
        answer(context, float(seconds))


@given("another one of its service that answered within {seconds:g} s")
def step_other(context: Any, seconds: float) -> None:
    answer(context, seconds, "app-1")


@given("{count:d} requests that it failed within {seconds:g} s")
def step_failed(context: Any, count: int, seconds: float) -> None:
    for _ in range(count):
        answer(context, seconds, is_answer=False)


@given("a request that it has not answered for {seconds:g} s")
def step_unanswered(context: Any, seconds: float) -> None:
    context.sent.send(arrivals.Sending(), UPSTREAM, context.now_s - seconds)


@given(
    "{count:d} requests that it has not answered for {seconds:g} s, when their"
    " callers left"
)
def step_left(context: Any, count: int, seconds: float) -> None:
    for _ in range(count):
        sending = arrivals.Sending()
        context.sent.send(sending, UPSTREAM, context.now_s - seconds)
        context.sent.give_up(sending, context.now_s)
    # Answered since, so nothing is known to be unread.
    context.now_s += 0.1
    answer(context, 0.05)


@given("{count:d} answers within {seconds:g} s since")
def step_since(context: Any, count: int, seconds: float) -> None:
    for _ in range(count):
        context.now_s += 0.1
        answer(context, seconds)


@given("another host of {place} that finds it slow, {slow:g} s, {age:g} s ago")
def step_found_slow(context: Any, place: str, slow: float, age: float) -> None:
    context.timeouts = timeouts.RetryTimeouts(context.sent, "kl-hall")
    context.timeouts.apply_peer_update(
        "10.1.0.2", place, {UPSTREAM: slow}, context.now_s - age
    )


@then("the slow ones that it tells {whom} are {what}")
def step_tells_slow(context: Any, whom: str, what: str) -> None:
    slow = context.timeouts.list_slow(
        [UPSTREAM], whom == "other data centres", context.now_s
    )
    assert bool(slow) == (what == "that one"), slow


@when("a retry is due whose caller waits for {left_s:g} s")
def step_due(context: Any, left_s: float) -> None:
    found = getattr(context, "timeouts", None) or timeouts.RetryTimeouts(
        context.sent, "kl-hall"
    )
    service = found.summarize([UPSTREAM, *context.others], context.now_s)
    context.handed_s = found.compute_s(UPSTREAM, service, left_s, context.now_s)


@then("the upstream is handed {handed} s")
def step_handed(context: Any, handed: str) -> None:
    if handed == "no":
        assert context.handed_s is None, context.handed_s
        return
    assert context.handed_s is not None
    assert math.isclose(context.handed_s, float(handed)), context.handed_s
