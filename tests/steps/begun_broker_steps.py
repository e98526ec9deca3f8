"""Steps on a broker's decisions about answers that have begun."""

from __future__ import annotations

from typing import Any, Final

from behave import given, then, when

from egretspur import errors
from egretspur.admission import repeats
from egretspur.routing import jobs
from tests.steps import broker_steps

NAME: Final = "r"

# Interval of the broker's ticks, in s.
TICK_S: Final = 0.02


@given("an answer that has begun, with {trouble}")
def step_begun(context: Any, trouble: str) -> None:
    context.trouble = trouble
    context.budget = repeats.Options(0.0, 20.0, 10.0)
    broker_steps.make_chain(context)
    broker_steps.arrive(context, NAME)
    context.sent = 0
    context.is_over = False
    set_trouble(context, True)


def set_trouble(context: Any, is_on: bool) -> None:
    """Begins or ends what keeps the answer from being resumed."""
    broker, now_s = context.broker, context.now_s
    if context.trouble == "no retries left":
        budgets = broker.retry_budgets
        if not is_on:
            # The window of the retries has passed.
            context.now_s += 11.0
            return
        while budgets.spend("llm", now_s):
            pass
    if context.trouble == "no engine for its layers":
        sign = 1 if is_on else -1
        broker.fleet.memory.add("a100-1", sign, sign * 1e9)


@when("its attempt is cut by the upstream")
def step_cut(context: Any) -> None:
    context.started.pop(NAME)
    fail(context, jobs.FailureKind.CUT, True)


def fail(context: Any, kind: jobs.FailureKind, has_output: bool) -> None:
    """Fails the attempt that runs."""
    failure = jobs.Failure(
        NAME,
        kind,
        "test",
        is_begun=True,
        has_output=has_output,
        has_head=has_output,
    )
    broker_steps.take(context, context.broker.fail(failure, context.now_s))


def play(context: Any, seconds: float, until_started: bool = False) -> None:
    """Lets time pass; engines refuse the answer while that is the trouble."""
    end_s = context.now_s + seconds
    while context.now_s < end_s:
        if NAME in context.started:
            if until_started:
                return
            context.started.pop(NAME)
            context.sent += 1
            fail(context, jobs.FailureKind.REFUSED, False)
        context.now_s += TICK_S
        broker_steps.take(context, context.broker.tick(context.now_s))


@when("{seconds:g} s go by while the trouble lasts")
def step_lasts(context: Any, seconds: float) -> None:
    play(context, seconds)


@then("the answer is not given up")
def step_kept(context: Any) -> None:
    assert NAME not in context.refused, context.refused


@when("the trouble ends")
def step_ends(context: Any) -> None:
    set_trouble(context, False)


@then("the answer is resumed within {seconds:g} s")
def step_resumed(context: Any, seconds: float) -> None:
    play(context, seconds, until_started=True)
    assert NAME in context.started, (context.refused, context.sent)


@then("a new request starts at once")
def step_new(context: Any) -> None:
    assert NAME not in context.started
    broker_steps.arrive(context, "new")
    assert "new" in context.started, context.refused


@then("at most {most:d} retries are sent for it")
def step_few(context: Any, most: int) -> None:
    assert 2 <= context.sent <= most, context.sent


@then("the answer is given up as one that may have run")
def step_given_up(context: Any) -> None:
    refusal = context.refused[NAME]
    assert not errors.ANSWERS[refusal.kind].not_run, refusal
