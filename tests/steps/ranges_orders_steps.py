"""Steps on the orders for layers, against engines in memory."""

from __future__ import annotations

import logging
from typing import Any

import attrs
from behave import given, then, when

from egretspur import decisions
from egretspur.catalog import upstreams
from egretspur.orders import ranges
from egretspur.routing import paths
from tests import fleets

ROUND_S = 0.25


@attrs.define
class Engines:
    """Engines that load layers at their pace; see `ranges.Engines`."""

    clock: Clock
    held: dict[str, upstreams.Layers | None] = attrs.Factory(dict)
    counts: dict[str, int] = attrs.Factory(dict)
    # Orders under way, with the time they are done.
    loading: dict[str, tuple[float, upstreams.Layers]] = attrs.Factory(dict)
    silent: set[str] = attrs.Factory(set)
    given: list[tuple[float, str, upstreams.Layers]] = attrs.Factory(list)
    after_order: Any = None
    # The next engine that is asked for a report answers no more.
    is_next_crashed: bool = False
    crashed: set[str] = attrs.Factory(set)

    def settle(self) -> None:
        """Carries out what is due."""
        for name, (due_s, layers) in list(self.loading.items()):
            if self.clock.now_s >= due_s:
                self.held[name] = layers
                del self.loading[name]

    def get_report(self, address: str) -> upstreams.EngineReport | str:
        """Returns an engine's own word."""
        self.settle()
        name = address.partition(":")[0]
        if self.is_next_crashed:
            self.is_next_crashed = False
            self.crashed.add(name)
        if name in self.crashed:
            return "no connection"
        return upstreams.EngineReport(
            self.held.get(name),
            name in self.loading,
            self.counts.get(name, 0),
            0.0,
            1.0,
            1.0,
            (),
        )

    def place(
        self, address: str, layers: upstreams.Layers, expected: int
    ) -> str:
        """Takes an order if it names the orders taken so far."""
        name = address.partition(":")[0]
        if expected != self.counts.get(name, 0):
            return "another order came first"
        self.counts[name] = expected + 1
        self.given.append((self.clock.now_s, name, layers))
        delay_s = 4.0 if name in self.silent else layers.count * 0.0175
        self.loading[name] = (self.clock.now_s + delay_s, layers)
        if self.after_order:
            self.after_order()
        return "no answer" if name in self.silent else ""


@attrs.define
class Clock:
    """Time that the scenario moves."""

    now_s: float = 0.0


@attrs.define
class Host:
    """The view and the duty of a host."""

    clock: Clock
    engines: Engines
    names: list[str]
    lag_s: float = 0.0
    has_duty: bool = True
    slow_engines: frozenset[str] = frozenset()
    learned: dict[str, upstreams.Layers] = attrs.Factory(dict)
    # What the engines held, by time, for a list that lags.
    history: list[tuple[float, dict[str, Any]]] = attrs.Factory(list)

    def is_held(self) -> bool:
        """Tells whether the host has the duty."""
        return self.has_duty

    def record_layers(self, upstream_id: str, layers: upstreams.Layers) -> None:
        """Takes a report."""
        self.learned[upstream_id] = layers

    def get_snapshot(self) -> ranges.FleetSnapshot:
        """Returns the list as it was a while ago."""
        self.engines.settle()
        self.history.append((self.clock.now_s, dict(self.engines.held)))
        seen: dict[str, Any] = {}
        for at_s, held in self.history:
            if at_s <= self.clock.now_s - self.lag_s:
                seen = held
        listed = [
            attrs.evolve(
                fleets.make_upstream(n, data_centre="pg-hall"),
                layers=seen.get(n),
            )
            for n in self.names
        ]
        return ranges.FleetSnapshot(
            fleets.make_config(),
            tuple(listed),
            (),
            frozenset(self.names),
            self.slow_engines,
        )


class Done(logging.Handler):
    """Takes the engines whose orders are logged as done."""

    def __init__(self) -> None:
        super().__init__()
        self.upstreams: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Takes a line."""
        if record.__dict__.get(decisions.EVENT_KEY) == "order_done":
            self.upstreams.append(record.__dict__["upstream"])


def run_rounds(context: Any, seconds: float) -> None:
    """Runs rounds for some seconds."""
    end_s = context.clock.now_s + seconds
    while context.clock.now_s < end_s:
        context.clock.now_s += ROUND_S
        context.keeper.run_round()


@given('the engines of "{data_centre}", empty, and a host with the duty')
def step_host(context: Any, data_centre: str) -> None:
    context.clock = Clock()
    context.names = [e.id for e in fleets.make_empty(data_centre)]
    context.fleet = Engines(context.clock)
    context.host = Host(context.clock, context.fleet, list(context.names))
    context.keeper = ranges.RangeReconciler(
        context.host,
        context.fleet,
        context.host,
        lambda: float(context.clock.now_s),
    )


@given('"{name}" answers no orders and carries them out 4 s later')
def step_silent(context: Any, name: str) -> None:
    context.fleet.silent.add(name)


@when("the engines enter the list over 1 s, with rounds in between")
def step_enter(context: Any) -> None:
    context.host.names.clear()
    run_rounds(context, 1.0)
    for name in context.names:
        context.host.names.append(name)
        run_rounds(context, ROUND_S)
    context.all_listed_s = context.clock.now_s


@then("no order was given before all of them were listed")
def step_no_early(context: Any) -> None:
    early = [g for g in context.fleet.given if g[0] < context.all_listed_s]
    assert not early, early


@when("rounds run for {seconds:d} s")
def step_rounds(context: Any, seconds: int) -> None:
    run_rounds(context, seconds)


@when("the only holder of some layers is too slow to answer in time")
def step_late(context: Any) -> None:
    held = context.host.engines.held
    for name, mine in held.items():
        others = [(h.first, h.last) for i, h in held.items() if i != name and h]
        if mine and paths.find_gaps(others, fleets.SPEC.layers):
            context.slow = name
            context.host.slow_engines = frozenset([name])
            return
    raise AssertionError(held)


@when("the engine that is to take its layers has crashed")
def step_crashed(context: Any) -> None:
    context.host.engines.is_next_crashed = True


@then("its layers are held by others")
@then("its layers are held by others that answer")
def step_by_others(context: Any) -> None:
    engines = context.host.engines
    others = [
        (h.first, h.last)
        for i, h in engines.held.items()
        if i != context.slow and i not in engines.crashed and h
    ]
    assert not paths.find_gaps(others, fleets.SPEC.layers), others


@when("rounds run for {seconds:d} s while the list lags {lag:d} s behind")
def step_lagging(context: Any, seconds: int, lag: int) -> None:
    context.host.lag_s = lag
    done = Done()
    decisions.LOGGER.addHandler(done)
    try:
        run_rounds(context, seconds)
    finally:
        decisions.LOGGER.removeHandler(done)
    context.done = done.upstreams


@when("the duty expires after the first order of a round")
def step_lapse(context: Any) -> None:
    def lapse() -> None:
        context.host.has_duty = False

    context.fleet.after_order = lapse
    run_rounds(context, 6)


@then("only one order was given")
def step_one_order(context: Any) -> None:
    assert len(context.fleet.given) == 1, context.fleet.given


@then("every layer is reported as held")
def step_reported(context: Any) -> None:
    covered = set()
    for layers in context.fleet.held.values():
        covered |= set(range(layers.first, layers.last))
    assert covered == set(range(fleets.SPEC.layers)), context.fleet.held


@then("no engine was given an order twice")
def step_once(context: Any) -> None:
    names = [name for _, name, _ in context.fleet.given]
    assert names and len(names) == len(set(names)), context.fleet.given


@then("the host has learned the layers of every engine that was ordered")
def step_learned(context: Any) -> None:
    ordered = {name for _, name, _ in context.fleet.given}
    assert set(context.host.learned) == ordered
    assert all(
        context.host.learned[n] == context.fleet.held[n] for n in ordered
    )


@then("each order is logged as done once")
def step_logged(context: Any) -> None:
    given = [name for _, name, _ in context.fleet.given]
    assert given and sorted(context.done) == sorted(given), context.done
