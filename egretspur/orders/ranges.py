"""Assigns layers to the engines of a data centre while the duty is held.

Level-triggered: each round compares the layers that engines hold with those
they should hold and orders only the difference. An order for layers already
held changes nothing, so repeated and late orders are harmless; a late order
that does change layers shows in the upstream list and is corrected.
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

ROUND_PERIOD_S: Final = 0.25

# Time after the expected end of a load at which its order is given up.
ORDER_OVERDUE_S: Final = 3.0

# Time without orders after a host takes the duty: its list may not yet show
# what the previous holder ordered.
DUTY_SETTLE_S: Final = 1.0

# The first layout waits until the set of engines has not changed for this
# time. Engines enter the list one by one within a heartbeat; a layout of the
# first few would put all layers on those.
LIST_SETTLE_S: Final = 1.6

# Time for which an engine counts as new after it is first listed; new engines
# get no copies of layers that others hold.
NEW_ENGINE_S: Final = 3.0

# Time for which an engine that gave no report before an order is left out of
# the plan. Its probes tell by then whether it is dead; another engine takes the
# layers meanwhile.
UNREACHABLE_S: Final = 1.0


class Engines(Protocol):
    """Client that reads engine reports and sends orders."""

    def get_report(self, address: str) -> upstreams.EngineReport | str:
        """Returns an engine's report, or why there is none."""

    def place(
        self, address: str, layers: upstreams.Layers, expected: int
    ) -> str:
        """Orders a range; empty, or why it may not have been accepted."""


class Duty(Protocol):
    """The lease under which orders are sent."""

    def is_held(self) -> bool:
        """Tells whether orders may be sent now."""


class FleetView(Protocol):
    """The host's state that rounds read and update."""

    def get_snapshot(self) -> FleetSnapshot:
        """Returns the input of a round."""

    def record_layers(self, upstream_id: str, layers: upstreams.Layers) -> None:
        """Records the layers that an engine reports to hold."""


@attrs.frozen
class FleetSnapshot:
    """Input of a round."""

    cfg: config.Configuration | None
    # Engines of this data centre and of the others, without those that are
    # leaving or dead.
    engines: tuple[upstreams.Upstream, ...]
    remote_engines: tuple[upstreams.Upstream, ...]
    # Ids of engines that no request uses.
    idle: frozenset[str]
    # Ids of engines too slow to answer in time: their layers are reassigned
    # as if the engines were lost, and they get no new ones.
    slow_engines: frozenset[str] = frozenset()


@attrs.frozen
class _SentOrder:
    layers: upstreams.Layers
    sent_s: float
    expires_s: float
    # The engine has reported that it holds them.
    is_done: bool = False


class RangeReconciler:
    """Reconciles the layers of one data centre's engines with the plan."""

    def __init__(
        self,
        duty: Duty,
        engines: Engines,
        view: FleetView,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._duty = duty
        self._engines = engines
        self._view = view
        self._clock = clock
        self._sent_orders: dict[str, _SentOrder] = {}
        self._held_since_s: float | None = None
        self._first_seen_s: dict[str, float] = {}
        # When engines that gave no report may be planned with again, by id.
        self._unreachable_until_s: dict[str, float] = {}
        # Engines of each service and when this set last changed.
        self._engine_sets: dict[str, tuple[frozenset[str], float]] = {}
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
        while not self._stop.wait(ROUND_PERIOD_S):
            with guard.log_exceptions("ranges"):
                self.run_round()

    def run_round(self) -> None:
        """Compares layers and sends orders once."""
        now_s = self._clock()
        if not self._duty.is_held():
            self._held_since_s = None
            self._sent_orders.clear()
            return
        if self._held_since_s is None:
            self._held_since_s = now_s
        if now_s - self._held_since_s < DUTY_SETTLE_S:
            return
        snapshot = self._view.get_snapshot()
        if snapshot.cfg is None:
            return
        present = {e.id for e in snapshot.engines}
        self._first_seen_s = {
            i: t for i, t in self._first_seen_s.items() if i in present
        }
        self._unreachable_until_s = {
            i: t for i, t in self._unreachable_until_s.items() if now_s < t
        }
        for service in snapshot.cfg.find_engine_services():
            assert service.engine is not None
            self._reconcile(service.name, service.engine, snapshot, now_s)

    def _reconcile(
        self,
        service: str,
        spec: config.EngineSpec,
        snapshot: FleetSnapshot,
        now_s: float,
    ) -> None:
        found = {
            e.id: e
            for e in snapshot.engines
            if e.service == service
            and e.accelerator in spec.accelerators
            and e.id not in snapshot.slow_engines
            and now_s >= self._unreachable_until_s.get(e.id, now_s)
        }
        for entry in found.values():
            self._check_order(entry, now_s)
        engines = [
            ranges.Engine(
                e.id,
                spec.accelerators[e.accelerator],
                self._get_expected_layers(e),
                self._is_new(e.id, now_s),
                e.id in snapshot.idle,
            )
            for e in found.values()
        ]
        if not self._is_list_settled(service, engines, now_s):
            return
        others = [
            e.layers
            for e in snapshot.remote_engines
            if e.service == service
            and e.layers is not None
            and e.id not in snapshot.slow_engines
        ]
        orders = ranges.plan_orders(engines, spec, others)
        for engine_id, layers in orders.items():
            # Checked before each order: the thread may have been paused.
            if not self._duty.is_held():
                return
            self._send_order(found[engine_id], layers, spec)

    def _is_list_settled(
        self, service: str, engines: Sequence[ranges.Engine], now_s: float
    ) -> bool:
        """Tells whether the list is complete enough to plan from."""
        ids = frozenset(e.id for e in engines)
        seen, since_s = self._engine_sets.get(service, (frozenset(), now_s))
        if ids != seen:
            since_s = now_s
            self._engine_sets[service] = (ids, now_s)
        is_first = all(e.held is None for e in engines)
        return not is_first or now_s - since_s >= LIST_SETTLE_S

    def _send_order(
        self,
        entry: upstreams.Upstream,
        layers: upstreams.Layers,
        spec: config.EngineSpec,
    ) -> None:
        report = self._engines.get_report(entry.address)
        now_s = self._clock()
        if isinstance(report, str):
            # Nothing was sent, so nothing needs to be waited for.
            self._unreachable_until_s[entry.id] = now_s + UNREACHABLE_S
            decisions.record(
                decisions.OrderGiven(
                    entry.id, layers.first, layers.last, report
                )
            )
            return
        problem = self._place_checked(entry, layers, report)
        now_s = self._clock()
        load_s = 2 * spec.load_s * layers.count / spec.layers
        self._sent_orders[entry.id] = _SentOrder(
            layers, now_s, now_s + load_s + ORDER_OVERDUE_S
        )
        decisions.record(
            decisions.OrderGiven(entry.id, layers.first, layers.last, problem)
        )

    def _place_checked(
        self,
        entry: upstreams.Upstream,
        layers: upstreams.Layers,
        report: upstreams.EngineReport,
    ) -> str:
        """Sends one order; returns why it may not have been accepted.

        The order carries the number of orders the engine has begun so far, so
        that an order delayed in transit fails instead of undoing a later one.
        """
        if upstreams.is_other_start(entry, report):
            return "report is from another start than the list entry"
        if report.layers == layers:
            return ""
        if report.is_busy:
            return "engine is busy with another order"
        if not self._duty.is_held():
            return "duty expired before the order was sent"
        return self._engines.place(entry.address, layers, report.orders)

    def _check_order(self, entry: upstreams.Upstream, now_s: float) -> None:
        """Checks whether an engine has carried out its last order.

        The list shows this a heartbeat later, and not at all while the store
        is unavailable, so the engine is polled.
        """
        order = self._sent_orders.get(entry.id)
        if order is None:
            return
        if entry.layers == order.layers:
            if not order.is_done:
                # The list showed it before the engine was polled; other hosts
                # read the list too and need no update.
                _record_done(entry.id, order, now_s)
            del self._sent_orders[entry.id]
            return
        if now_s >= order.expires_s:
            del self._sent_orders[entry.id]
            return
        if order.is_done:
            return
        report = self._engines.get_report(entry.address)
        if (
            isinstance(report, str)
            or upstreams.is_other_start(entry, report)
            or report.layers != order.layers
        ):
            return
        # Kept until the list shows the layers: this entry is older.
        self._sent_orders[entry.id] = attrs.evolve(order, is_done=True)
        self._view.record_layers(entry.id, order.layers)
        _record_done(entry.id, order, now_s)

    def _is_new(self, engine_id: str, now_s: float) -> bool:
        return (
            now_s - self._first_seen_s.setdefault(engine_id, now_s)
            < NEW_ENGINE_S
        )

    def _get_expected_layers(
        self, entry: upstreams.Upstream
    ) -> upstreams.Layers | None:
        """Returns the layers an engine holds once its last order is done."""
        order = self._sent_orders.get(entry.id)
        return entry.layers if order is None else order.layers


def _record_done(engine_id: str, order: _SentOrder, now_s: float) -> None:
    decisions.record(
        decisions.OrderDone(
            engine_id,
            order.layers.first,
            order.layers.last,
            now_s - order.sent_s,
        )
    )
