"""Gives engines of a data centre their layers, as long as the duty is held.

Level-triggered: each round compares what engines hold with what they should,
and orders only the difference. An order that brings nothing new changes
nothing, so one that is repeated or carried out late does no harm; a late one
that does is seen in the engines' list and put right.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Sequence
from typing import Final, Protocol

import attrs

from egretspur import decisions, guard
from egretspur.catalog import config, upstreams
from egretspur.placement import ranges

# Seconds between two rounds.
PERIOD_S: Final = 0.25

# An order is given up so long after it should have been done.
OVERDUE_S: Final = 3.0

# After a host took the duty it gives no orders for so long: its list may
# still lack what the last holder ordered.
SETTLE_S: Final = 1.0

# The first layout waits until no engine has been added for so long. Engines
# enter the list one by one within a heartbeat; a layout made from a few of
# them would crowd the layers on those.
COMPLETE_S: Final = 1.6


# An empty engine counts as new for so long.
NEW_S: Final = 3.0


class Engines(Protocol):
    """Reports of engines and orders to them."""

    def get_report(self, address: str) -> upstreams.EngineReport | str:
        """Returns a report, or why there is none."""

    def place(
        self, address: str, layers: upstreams.Layers, expected: int
    ) -> str:
        """Orders a range; returns why it may not have been taken."""


class Duty(Protocol):
    """The lease under which orders are given."""

    def is_held(self) -> bool:
        """Tells whether orders may be given now."""


class View(Protocol):
    """What the rest of the host knows and is told."""

    def look(self) -> Scene:
        """Returns what a round looks at."""

    def learn(self, upstream_id: str, layers: upstreams.Layers) -> None:
        """Told what an engine reports to hold."""


@attrs.frozen
class Scene:
    """What a round looks at."""

    cfg: config.Configuration | None
    # Engines that are neither leaving nor dead, of this data centre and of
    # the others.
    engines: tuple[upstreams.Upstream, ...]
    elsewhere: tuple[upstreams.Upstream, ...]
    # Those that no request uses, by id.
    idle: frozenset[str]
    # Those too slow for prompt answers: their layers are given to others as
    # if they were lost, and they get no new ones.
    late: frozenset[str] = frozenset()


@attrs.frozen
class _Given:
    layers: upstreams.Layers
    sent_s: float
    until_s: float
    # The engine has said that it holds them.
    is_done: bool = False


class RangeKeeper:
    """Keeps the layers of one data centre's engines as they should be."""

    def __init__(
        self,
        duty: Duty,
        engines: Engines,
        view: View,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._duty = duty
        self._engines = engines
        self._view = view
        self._clock = clock
        self._given: dict[str, _Given] = {}
        self._held_since_s: float | None = None
        # When each engine was first seen.
        self._first_seen: dict[str, float] = {}
        # Engines of each service and when that set last changed.
        self._seen: dict[str, tuple[frozenset[str], float]] = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="ranges", daemon=True
        )

    def start(self) -> None:
        """Starts the rounds."""
        self._thread.start()

    def close(self) -> None:
        """Stops after the order that is being sent."""
        self._stop.set()

    def _run(self) -> None:
        while not self._stop.wait(PERIOD_S):
            with guard.log_exceptions("ranges"):
                self.run_round()

    def run_round(self) -> None:
        """Compares and orders once."""
        now_s = self._clock()
        if not self._duty.is_held():
            self._held_since_s = None
            self._given.clear()
            return
        if self._held_since_s is None:
            self._held_since_s = now_s
        if now_s - self._held_since_s < SETTLE_S:
            return
        scene = self._view.look()
        if scene.cfg is None:
            return
        present = {e.id for e in scene.engines}
        self._first_seen = {
            i: t for i, t in self._first_seen.items() if i in present
        }
        for service in scene.cfg.find_engine_services():
            assert service.engine is not None
            self._keep(service.name, service.engine, scene, now_s)

    def _keep(
        self,
        service: str,
        spec: config.EngineSpec,
        scene: Scene,
        now_s: float,
    ) -> None:
        found = {
            e.id: e
            for e in scene.engines
            if e.service == service
            and e.accelerator in spec.accelerators
            and e.id not in scene.late
        }
        for entry in found.values():
            self._read_back(entry, now_s)
        engines = [
            ranges.Engine(
                e.id,
                spec.accelerators[e.accelerator],
                self._get_held(e),
                self._is_new(e.id, now_s),
                e.id in scene.idle,
            )
            for e in found.values()
        ]
        if not self._is_complete(service, engines, now_s):
            return
        others = [
            e.layers
            for e in scene.elsewhere
            if e.service == service
            and e.layers is not None
            and e.id not in scene.late
        ]
        orders = ranges.plan_orders(engines, spec, others)
        for engine_id, layers in orders.items():
            # Looked at before each order: the thread may have been paused.
            if not self._duty.is_held():
                return
            self._order(found[engine_id], layers, spec)

    def _is_complete(
        self, service: str, engines: Sequence[ranges.Engine], now_s: float
    ) -> bool:
        """Tells whether the list suffices to plan from."""
        ids = frozenset(e.id for e in engines)
        seen, since_s = self._seen.get(service, (frozenset(), now_s))
        if ids != seen:
            since_s = now_s
            self._seen[service] = (ids, now_s)
        is_first = all(e.held is None for e in engines)
        return not is_first or now_s - since_s >= COMPLETE_S

    def _order(
        self,
        entry: upstreams.Upstream,
        layers: upstreams.Layers,
        spec: config.EngineSpec,
    ) -> None:
        problem = self._place(entry, layers)
        now_s = self._clock()
        load_s = 2 * spec.load_s * layers.count / spec.layers
        self._given[entry.id] = _Given(
            layers, now_s, now_s + load_s + OVERDUE_S
        )
        decisions.record(
            decisions.OrderGiven(entry.id, layers.first, layers.last, problem)
        )

    def _place(
        self, entry: upstreams.Upstream, layers: upstreams.Layers
    ) -> str:
        """Sends one order; returns why it may not have been taken.

        It names the orders the engine has begun so far: one that is delayed
        on its way then fails instead of undoing a later one.
        """
        report = self._engines.get_report(entry.address)
        if isinstance(report, str):
            return report
        if upstreams.is_other_start(entry, report):
            return "of another start than its entry"
        if report.layers == layers:
            return ""
        if report.is_busy:
            return "busy with another order"
        if not self._duty.is_held():
            return "duty lapsed"
        return self._engines.place(entry.address, layers, report.orders)

    def _read_back(self, entry: upstreams.Upstream, now_s: float) -> None:
        """Looks whether an engine has done what it was ordered.

        Its entry in the list would tell only a heartbeat later, and not at
        all while the store is away.
        """
        given = self._given.get(entry.id)
        if given is None:
            return
        if entry.layers == given.layers:
            if not given.is_done:
                # The list was faster; others are told of what it shows.
                _record_done(entry.id, given, now_s)
            del self._given[entry.id]
            return
        if now_s >= given.until_s:
            del self._given[entry.id]
            return
        if given.is_done:
            return
        report = self._engines.get_report(entry.address)
        if (
            isinstance(report, str)
            or upstreams.is_other_start(entry, report)
            or report.layers != given.layers
        ):
            return
        # Kept until the view shows it: the entry at hand is from before.
        self._given[entry.id] = attrs.evolve(given, is_done=True)
        self._view.learn(entry.id, given.layers)
        _record_done(entry.id, given, now_s)

    def _is_new(self, engine_id: str, now_s: float) -> bool:
        return now_s - self._first_seen.setdefault(engine_id, now_s) < NEW_S

    def _get_held(self, entry: upstreams.Upstream) -> upstreams.Layers | None:
        """Returns what an engine holds once its last order is done."""
        given = self._given.get(entry.id)
        return entry.layers if given is None else given.layers


def _record_done(engine_id: str, given: _Given, now_s: float) -> None:
    decisions.record(
        decisions.OrderDone(
            engine_id,
            given.layers.first,
            given.layers.last,
            now_s - given.sent_s,
        )
    )
