"""Steps on the comparison of holdings."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from egretspur.clients import engine
from egretspur.orders import steps

DRAIN_S = 5.0


def make_holding(name: str) -> engine.Holding:
    """Returns a holding by a one-letter name."""
    return engine.Holding(name, "", "v1", 0, 4)


def make_status(holds: list[str], loads: list[str]) -> engine.EngineStatus:
    """Returns what an engine says of itself."""
    return engine.EngineStatus(
        "e",
        "1",
        tuple(make_holding(h) for h in holds),
        tuple(make_holding(h) for h in loads),
        1,
        0,
        False,
    )


@given('an engine that holds "{holds}" and loads "{loads}"')
@given('an engine that holds "{holds}" and loads ""')
@given('an engine that holds "" and loads "{loads}"')
@given('an engine that holds "" and loads ""')
def step_engine(context: Any, holds: str = "", loads: str = "") -> None:
    context.status = make_status(holds.split(), loads.split())


@when('"{wanted}" is wanted, {age:d} s after it stopped wanting the rest')
@when('"" is wanted, {age:d} s after it stopped wanting the rest')
def step_wanted(context: Any, age: int, wanted: str = "") -> None:
    drains = steps.Drains()
    want = steps.Wanted(frozenset(make_holding(w) for w in wanted.split()), 1)
    reported = {"e": context.status}
    steps.find_due_orders({"e": want}, reported, drains, DRAIN_S, 100.0)
    context.due = steps.find_due_orders(
        {"e": want}, reported, drains, DRAIN_S, 100.0 + age
    )


@then('the order due is "{order}"')
def step_due(context: Any, order: str) -> None:
    if order == "none":
        assert not context.due, context.due
        return
    names = order.replace("empty", "").split()
    assert [h.model for h in context.due[0].holdings] == names, context.due


@given("{count:d} engines that need a load, of priorities 1 to {last:d}")
def step_engines(context: Any, count: int, last: int) -> None:
    context.due = [
        steps.DueOrder(f"e{i}", (make_holding("a"),), i)
        for i in range(last, 0, -1)
    ]
    context.reported = {f"e{i}": make_status([], []) for i in range(1, 6)}


@when("{at_once:d} may load at once and {busy:d} more is loading")
def step_limit(context: Any, at_once: int, busy: int) -> None:
    context.reported["x"] = make_status([], ["z"])
    context.chosen = steps.limit_loads(context.due, context.reported, at_once)


@then("only the engine of priority {priority:d} is ordered")
def step_ordered(context: Any, priority: int) -> None:
    assert [d.priority for d in context.chosen] == [priority], context.chosen
