"""Steps on requests that upstreams may still read."""

from __future__ import annotations

import random
from typing import Any, Final

from behave import given, then, when

from egretspur.admission import arrivals, repeats

SERVICE: Final = "llm"
WINDOW_S: Final = 10.0
UPSTREAM: Final = "e1"

# Retries of all hosts, for each request and besides, and the hosts.
RATIO: Final = 0.2
ALLOWANCE: Final = 200.0
HOSTS: Final = 8

# Requests of the host in the window.
REQUESTS: Final = 30

# A host of long standing has known of the others for this long.
LONG_S: Final = 100.0

# When an upstream that answers others does so, and when callers leave, in
# seconds.
ANSWER_S: Final = 2.5
LEFT_S: Final = 0.3


def make_budgets(age_s: float) -> repeats.RetryBudgets:
    """Returns the budgets of one of several hosts at 0 s."""
    opts = repeats.Options(RATIO, ALLOWANCE, WINDOW_S, -age_s)
    budgets = repeats.RetryBudgets("dc", opts, random.Random(3))
    budgets.hosts = HOSTS
    for _ in range(REQUESTS):
        budgets.earn(SERVICE, 0.0)
    return budgets


def send(
    budgets: repeats.RetryBudgets, upstream_id: str, now_s: float
) -> arrivals.Sending:
    """Sends a first attempt."""
    sending = arrivals.Sending()
    budgets.arrivals.send(sending, upstream_id, now_s)
    return sending


def retry(
    budgets: repeats.RetryBudgets,
    attempts: list[arrivals.Sending],
    now_s: float,
) -> bool:
    """Sends a retry of a request and ends it unanswered, if it may be sent."""
    taken = budgets.spend(SERVICE, now_s)
    if taken is None:
        return False
    taken.earlier = tuple(attempts)
    budgets.arrivals.send(taken.sending, UPSTREAM, now_s)
    budgets.arrivals.give_up(taken.sending, now_s)
    return True


@given(
    "a host that has used up its retries at 0 s, each attempt ended unanswered"
)
def step_used_up(context: Any) -> None:
    context.budgets = make_budgets(LONG_S)
    context.earlier = send(context.budgets, UPSTREAM, -0.1)
    context.taken = 0
    while retry(context.budgets, [], 0.0):
        context.taken += 1
    assert context.taken > 10, context.taken


@when("{what} happens at {at:d} s")
def step_happens(context: Any, what: str, at: int) -> None:
    sent = context.budgets.arrivals
    if what.startswith("an answer to a later attempt"):
        other = "e2" if what.endswith("elsewhere") else UPSTREAM
        sent.settle(send(context.budgets, other, at - 1.0), at)
    elif what == "an answer to an earlier attempt":
        sent.settle(context.earlier, at)
    elif what == "the end of the upstream":
        assert UPSTREAM in sent.list_pending()
        sent.note_end(UPSTREAM, at)
    elif what == "the loss of the upstream":
        sent.note_lost(UPSTREAM, at)
    else:
        assert what == "nothing", what


@then("{which} of its retries count at {at:d} s")
def step_count(context: Any, which: str, at: int) -> None:
    # Drops those that don't count any more.
    context.budgets.list_spent(at)
    sent = context.budgets.get_balance(SERVICE, at).sent
    assert sent == (context.taken if which == "all" else 0), sent


@given("an upstream that {how}, and a request sent at 0 s")
def step_upstream(context: Any, how: str) -> None:
    sent = context.sent = arrivals.Arrivals(WINDOW_S)
    before = arrivals.Sending()
    sent.send(before, UPSTREAM, -1.0)
    sent.settle(before, -0.5)
    expected_s = 1.0 if how.startswith("takes") else 0.05
    first = arrivals.Sending()
    sent.send(first, UPSTREAM, 0.0, expected_s)
    if how.startswith("loses"):
        sent.give_up(first, LEFT_S)
        for _ in range(int(how.split()[1]) - 1):
            other = arrivals.Sending()
            sent.send(other, UPSTREAM, 0.1)
            sent.give_up(other, LEFT_S)
    if how == "answers others":
        other = arrivals.Sending()
        sent.send(other, UPSTREAM, 0.1)
        sent.settle(other, ANSWER_S)


@then("at {at:g} s it is not silent")
def step_not_silent(context: Any, at: float) -> None:
    assert not context.sent.list_silent(at)
    assert not context.sent.list_avoided(at)


@then("at {at:g} s it is silent and tried")
def step_tried(context: Any, at: float) -> None:
    assert context.sent.list_silent(at) == {UPSTREAM}
    assert not context.sent.list_avoided(at)


@then("at {at:g} s it is silent and not tried")
def step_not_tried(context: Any, at: float) -> None:
    context.sent.send(arrivals.Sending(), UPSTREAM, at - 0.1)
    assert context.sent.list_silent(at) == {UPSTREAM}
    assert context.sent.list_avoided(at) == {UPSTREAM}
