"""Steps on a router's decisions about answers that have begun."""

from __future__ import annotations

import random
from typing import Any, Final

import attrs
from behave import given, then, when

from egretspur import errors
from egretspur.routing import loads, questions, requests
from tests.steps import decisions_steps

NAME: Final = "q"


@given("a router with {count:d} upstreams and an answer that has begun")
def step_router(context: Any, count: int) -> None:
    names = [f"u{i}" for i in range(count)]
    context.dispatcher = decisions_steps.make_dispatcher(names)
    context.now_s = 1.0
    context.at, context.refusal, context.sent = "", None, 0
    take(context, context.dispatcher.arrive(make_arrival(NAME), context.now_s))
    context.dispatcher.tickets[NAME].begun = True


def make_arrival(name: str) -> requests.Arrival:
    """Returns a request."""
    return requests.Arrival(name, "w", "m")


def take(context: Any, effects: list[requests.Effect]) -> None:
    """Keeps what was decided about the answer."""
    for effect in effects:
        if effect.id != NAME:
            context.others.append(effect)
        elif isinstance(effect, requests.Grant):
            context.at = effect.path.edges[0].upstream
            context.sent += 1
        else:
            assert isinstance(effect, questions.Refuse)
            context.refusal = effect.refusal


def fail(context: Any, has_brought: bool) -> None:
    """Breaks the attempt that runs."""
    failure = requests.Failure(
        NAME,
        "reset",
        (context.at,),
        False,
        "",
        True,
        5,
        is_cut=True,
        has_brought=has_brought,
    )
    context.at = ""
    take(context, context.dispatcher.fail(failure, context.now_s))


@when("its attempt breaks {times:d} times, and each of its upstreams {fate}")
def step_breaks(context: Any, times: int, fate: str) -> None:
    context.others = []
    for _ in range(times):
        if context.refusal is not None:
            return
        name = context.at
        assert name, context.sent
        state = context.dispatcher.network
        if fate == "is gone by then":
            gone = attrs.evolve(state.upstreams[name], incarnation="2")
            state.upstreams[name] = gone
        fail(context, True)
        if fate == "answers others":
            loads.note_success(state.loads[name], context.now_s + 0.1)
            state.rebuild()
        context.now_s += 0.2
        take(context, context.dispatcher.tick(context.now_s))


@then("the answer is resumed")
def step_resumed(context: Any) -> None:
    assert context.at and context.refusal is None, context.refusal


@then("the answer is given up")
def step_given_up(context: Any) -> None:
    assert context.refusal is not None
    assert context.refusal.kind is errors.ErrorKind.UPSTREAM_FAILED


@when("its attempts break for {seconds:g} s without any token")
def step_break_on(context: Any, seconds: float) -> None:
    context.others = []
    end_s = context.now_s + seconds
    number = 0
    while context.now_s < end_s:
        if context.at:
            # Its upstreams serve others, and count as gone for this one.
            name = context.at
            context.dispatcher.tickets[NAME].ended_by.clear()
            fail(context, False)
            state = context.dispatcher.network
            loads.note_success(state.loads[name], context.now_s + 0.01)
            state.rebuild()
        number += 1
        other = f"other{number}"
        arrival = make_arrival(other)
        take(context, context.dispatcher.arrive(arrival, context.now_s))
        take(context, context.dispatcher.finish(other, context.now_s))
        context.now_s += 0.02
        take(context, context.dispatcher.tick(context.now_s))
    context.arrived = number


@then("at most {most:d} attempts were made, and others start meanwhile")
def step_few(context: Any, most: int) -> None:
    assert 3 <= context.sent <= most, context.sent
    started = [e for e in context.others if isinstance(e, requests.Grant)]
    assert len(started) == context.arrived, (len(started), context.arrived)


@given("all of them are well")
def step_well(context: Any) -> None:
    context.others = []


@given("its upstream is down")
def step_down(context: Any) -> None:
    load = context.dispatcher.network.loads[context.at]
    for _ in range(5):
        loads.note_failure(load, 1.0, random.Random(1), is_attributed=True)
    assert load.health is loads.Health.DOWN
    context.dispatcher.network.rebuild()


@given("its upstream is leaving")
def step_leaving(context: Any) -> None:
    context.dispatcher.network.note_leaving(context.at, 1.0)


@then("its silent attempt may be replaced")
def step_may(context: Any) -> None:
    assert context.dispatcher.may_replace(NAME, context.now_s)


@then("its silent attempt may not be replaced")
def step_may_not(context: Any) -> None:
    assert not context.dispatcher.may_replace(NAME, context.now_s)
