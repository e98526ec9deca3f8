"""Steps on engines that are ejected for their errors."""

from __future__ import annotations

from typing import Any

import attrs
from behave import given, then, when

from egretspur.routing import jobs
from tests import fleets
from tests.steps import broker_steps


def fail_at(context: Any, engine: str) -> None:
    """Lets a new request that was sent to an engine get an error from it."""
    name = f"error-{context.now_s}-{len(context.started)}"
    broker_steps.arrive(context, name)
    ticket = context.broker.tickets[name]
    ticket.current = attrs.evolve(ticket.current, upstream_id=engine)
    failure = jobs.Failure(name, jobs.FailureKind.FAILED, "status 500")
    context.broker.fail(failure, context.now_s)
    context.broker.finish(name, context.now_s)


@when('{count:d} requests in a row get an error from "{engine}"')
def step_errors(context: Any, count: int, engine: str) -> None:
    for _ in range(count):
        fail_at(context, engine)


@then('the next {count:d} requests start at "{engine}"')
def step_start_at(context: Any, count: int, engine: str) -> None:
    for index in range(count):
        start = broker_steps.send_one(context, f"next-{index}")
        assert start.parts[0].id == engine, start.parts


@then('the other hosts are told to avoid "{engine}"')
def step_told(context: Any, engine: str) -> None:
    told = context.broker.fleet.list_suspects(context.now_s, False)
    assert engine in told, told


@when('{seconds:g} s pass and a request gets an error from "{engine}"')
def step_error_later(context: Any, seconds: float, engine: str) -> None:
    context.now_s += seconds
    assert not is_ejected(context, engine)
    fail_at(context, engine)


def is_ejected(context: Any, engine: str, after_s: float = 0.0) -> bool:
    """Returns whether an engine is ejected some seconds from now."""
    outliers = context.broker.fleet.health.outliers
    return bool(outliers.is_ejected(engine, context.now_s + after_s))


@then('"{engine}" is ejected for {seconds:g} s')
def step_ejected(context: Any, engine: str, seconds: float) -> None:
    assert is_ejected(context, engine, seconds - 0.01)
    assert not is_ejected(context, engine, seconds)


@when('{seconds:g} s pass and a request is answered by "{engine}"')
def step_answered(context: Any, seconds: float, engine: str) -> None:
    context.now_s += seconds
    context.broker.fleet.health.record_success(engine, context.now_s)


@then('one error from "{engine}" does not eject it')
def step_not_ejected(context: Any, engine: str) -> None:
    fail_at(context, engine)
    assert not is_ejected(context, engine)


@given(
    "{count:d} engines that hold all layers, of which {bad:d} answer only"
    " errors"
)
def step_bad_engines(context: Any, count: int, bad: int) -> None:
    names = [f"a100-{i}" for i in range(count)]
    context.broker = fleets.make_broker(
        [fleets.make_upstream(n, "0-80") for n in names]
    )
    context.bad = names[:bad]
    context.now_s = 10.0


@when("each of them has answered {count:d} requests")
def step_bad_answers(context: Any, count: int) -> None:
    for name in context.bad * count:
        context.broker.fleet.record_error(name, context.now_s)


@then("{count:d} of them are ejected")
def step_count_ejected(context: Any, count: int) -> None:
    ejected = [n for n in context.bad if is_ejected(context, n)]
    assert len(ejected) == count, ejected
