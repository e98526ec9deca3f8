"""Steps on what upstreams may read of a host's earlier processes."""

from __future__ import annotations

import math
from typing import Any, Final

import attrs
from behave import given, then, when

from egretspur.catalog import upstreams
from egretspur.routing import jobs
from tests import fleets
from tests.steps import broker_steps

SERVICE: Final = "desk"
KIND: Final = "idempotent"

# Fraction of a share that a host of long standing keeps to itself at least, and
# that a new one has of the reserve at most.
WHOLE: Final = 0.5
RESERVE: Final = 0.1


def list_changed(context: Any, *entries: upstreams.Upstream) -> None:
    """Replaces the plain replicas of the list."""
    roster = context.broker.fleet.roster
    for upstream_id in [i for i in roster.entries if i.startswith("app-")]:
        del roster.entries[upstream_id]
    for entry in entries:
        upstreams.put_entry(roster, entry, context.now_s)
    broker_steps.take(context, context.broker.refresh(context.now_s))


@given("a host that heard the others {seconds:d} s after its start")
def step_started(context: Any, seconds: int) -> None:
    since_s = context.now_s + seconds
    context.budget = attrs.evolve(fleets.BUDGET, since_s=since_s)
    broker_steps.make_chain(context, fleets.make_upstream("app-0"))
    context.broker.set_host_count(8)


@when("it sends a request, which is {how}, and {seconds:d} s pass")
def step_send(context: Any, how: str, seconds: int) -> None:
    broker_steps.arrive(context, "r0", KIND)
    if how == "answered":
        broker_steps.answer(context, "r0")
    broker_steps.step_pass(context, float(seconds))


@when("the upstream {what}, and {seconds:d} s pass")
def step_then(context: Any, what: str, seconds: int) -> None:
    if what == "answers":
        broker_steps.answer(context, "r0")
    elif what == "leaves":
        list_changed(context)
    elif what == "is replaced":
        list_changed(context, fleets.make_upstream("app-1"))
    elif what == "refuses connections":
        refused = upstreams.ProbeFailed("refused", False, True)
        context.broker.fleet.health.suspect(context.held, context.now_s)
        context.broker.fleet.record_probe(
            context.held, False, 1.0, context.now_s, refused
        )
    else:
        assert what == "does nothing", what
    broker_steps.step_pass(context, float(seconds))


@when(
    "an upstream joins, and a request to it is not answered for {seconds:d} s"
)
def step_joins(context: Any, seconds: int) -> None:
    broker_steps.step_pass(context, 0.1)
    list_changed(context, fleets.make_upstream("app-1"))
    assert broker_steps.send_to(context, "r0", KIND) == "app-1"
    broker_steps.step_pass(context, float(seconds))


@when("a caller leaves before a retry is answered")
def step_left(context: Any) -> None:
    context.held = broker_steps.send_to(context, "r1", KIND)
    del context.started["r1"]
    context.now_s += 0.1
    failure = jobs.Failure("r1", jobs.FailureKind.CUT, "reset")
    broker_steps.take(context, context.broker.fail(failure, context.now_s))
    context.held = context.started["r1"].upstream.id
    broker_steps.take(context, context.broker.finish("r1", context.now_s))


@then("{count:d} of its retries count")
def step_count(context: Any, count: int) -> None:
    # Drops those that don't count any more.
    context.broker.retry_budgets.list_spent(context.now_s)
    budgets = context.broker.retry_budgets
    assert budgets.get_balance(SERVICE, context.now_s).sent == count


@then("its part of the retry budget is {what}")
def step_part(context: Any, what: str) -> None:
    budgets = context.broker.retry_budgets
    balance = budgets.get_balance(SERVICE, context.now_s)
    share = fleets.BUDGET.allowance / budgets.hosts
    assert not math.isinf(balance.guaranteed)
    if what == "whole":
        assert balance.guaranteed >= WHOLE * share, balance
    else:
        # It draws a fraction of one at its start besides.
        assert balance.guaranteed <= RESERVE * share + 1.0, balance
