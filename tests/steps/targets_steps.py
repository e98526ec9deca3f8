"""Steps on where a host sends requests while upstreams answer nothing."""

from __future__ import annotations

from typing import Any, Final

from behave import then, when

from egretspur import ends
from egretspur.routing import jobs
from tests.steps import broker_steps

# Requests that show where a host sends them.
SHOWN: Final = 40


def send(context: Any, name: str) -> str:
    """Lets a request arrive; returns the upstream that it is sent to."""
    return broker_steps.send_to(context, name, context.kind)


@when(
    '{count:d} requests of kind "{kind}" are sent to one of the two, which'
    " answers none"
)
def step_silent(context: Any, count: int, kind: str) -> None:
    context.kind = kind
    context.silent = send(context, "silent0")
    context.unanswered = ["silent0"]
    while len(context.unanswered) < count:
        name = f"silent{len(context.unanswered) + context.now_s}"
        if send(context, name) == context.silent:
            context.unanswered.append(name)
        else:
            broker_steps.answer(context, name)
        context.now_s += 0.01


@when("{seconds:g} s pass in which the other one answers {count:d} requests")
def step_other_answers(context: Any, seconds: float, count: int) -> None:
    context.seen = []
    # Nothing shows yet that it is silent.
    broker_steps.step_pass(context, 1.0)
    for number in range(count):
        broker_steps.step_pass(context, seconds / count)
        name = f"other{number}"
        context.seen.append(send(context, name))
        if context.seen[-1] == context.silent:
            context.unanswered.append(name)
        else:
            broker_steps.answer(context, name)


@then("at most {count:d} of these went to the silent one")
def step_few_silent(context: Any, count: int) -> None:
    assert context.seen.count(context.silent) <= count, context.seen
    assert set(context.seen) != {context.silent}


@when("a request fails at the other one")
def step_fails(context: Any) -> None:
    name = "failing"
    while send(context, name) == context.silent:
        context.unanswered.append(name)
        name += "+"
    del context.started[name]
    context.retried = name
    failure = jobs.Failure(name, jobs.FailureKind.CUT, "reset")
    broker_steps.take(context, context.broker.fail(failure, context.now_s))


@then("it is not sent to the silent one")
def step_not_sent(context: Any) -> None:
    start = context.started.get(context.retried)
    assert start is None or start.upstream.id != context.silent, start
    broker_steps.take(
        context, context.broker.finish(context.retried, context.now_s)
    )


@when("the silent one answers what it was sent")
def step_goes_on(context: Any) -> None:
    for name in context.unanswered:
        broker_steps.answer(context, name)
    # Pauses after failures are over by then.
    broker_steps.step_pass(context, 8.0)


@then("it gets requests again")
def step_again(context: Any) -> None:
    seen = set()
    for number in range(SHOWN):
        seen.add(send(context, f"again{number}"))
        broker_steps.answer(context, f"again{number}")
        context.now_s += 0.02
    assert context.silent in seen, seen


@then("it is probed within {seconds:g} s")
def step_probed(context: Any, seconds: float) -> None:
    broker_steps.step_pass(context, seconds)
    assert context.silent in context.broker.fleet.health.failed


@when(
    'a request of kind "{kind}" fails and the retry\'s replica does not answer'
    " a check"
)
def step_unresponsive(context: Any, kind: str) -> None:
    context.kind = kind
    context.first = send(context, "r")
    assert not context.started["r"].needs_check
    for why in (jobs.FailureKind.FAILED, jobs.FailureKind.UNRESPONSIVE):
        context.asked = context.started.pop("r")
        context.now_s += 0.01
        failure = jobs.Failure("r", why, "as told", ended_by=ends.EndedBy.HOST)
        broker_steps.take(context, context.broker.fail(failure, context.now_s))


@then("the retry goes to the other replica, after a check of that one")
def step_other_replica(context: Any) -> None:
    start = context.started["r"]
    assert context.asked.needs_check and start.needs_check
    assert context.asked.upstream.id != start.upstream.id


@then("one retry is taken from the budget")
def step_one_retry(context: Any) -> None:
    balance = context.broker.retry_budgets.get_balance("desk", context.now_s)
    assert balance.sent == 1, balance
