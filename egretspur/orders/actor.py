"""Actor that acquires the order lease and sends orders while it holds it.

Every control daemon runs one; only the lease holder's sends orders. The
decisions are in `egretspur.orders.lease` and `egretspur.orders.steps`.
"""

from __future__ import annotations

import concurrent.futures
import functools
import logging
import time
import uuid
from collections.abc import Callable, Sequence
from typing import Any, Final

import attrs

from egretspur import actors, errors, hostview, settings
from egretspur.clients import engine
from egretspur.clients import hosts as hostlist
from egretspur.intents import actor as configs
from egretspur.intents import records
from egretspur.intents import state as states
from egretspur.orders import lease as leases
from egretspur.orders import steps

_LOG: Final = logging.getLogger(__name__)

POOL_THREADS: Final = 4


@attrs.frozen
class Tick:
    """Starts one round: update the lease, poll engines, send orders."""


@attrs.frozen
class GetSummary:
    """Requests a `Summary`."""


@attrs.frozen
class Summary:
    """The actor's state and counters, for the state dump."""

    lease_offset: int
    lease_left_s: float
    orders_sent: int
    orders_refused: int
    # Accepted orders that removed holdings which an upstream should not have.
    corrections: int
    repairs: tuple[steps.Repair, ...]
    silent: tuple[str, ...]


@attrs.frozen
class Effects:
    """Actions on other parts of the daemon."""

    # Appends a record; False if the log did not answer.
    append: Callable[[records.Record], bool]
    # Called with name and incarnation of an engine that reports leaving.
    note_leaving: Callable[[str, str], None]


class OrdersActor(actors.Actor):
    """Owns the lease state of one daemon; handles the messages above."""

    def __init__(
        self,
        own_id: str,
        data_centre: str,
        opts: settings.LeaseSettings,
        config: configs.Config,
        hosts: hostview.HostView,
        effects: Effects,
    ) -> None:
        super().__init__()
        self._opts = opts
        self._lease_opts = leases.Options(
            opts.duration_s, opts.margin_s, opts.flight_s
        )
        self._config = config
        self._hosts = hosts
        self._effects = effects
        self._lease = leases.LeaseState(own_id, data_centre)
        self._engines = engine.EngineClient(
            opts.flight_s / 2, opts.flight_s / 2, opts.flight_s / 2
        )
        self._pool = concurrent.futures.ThreadPoolExecutor(
            POOL_THREADS, thread_name_prefix="orders"
        )
        self._statuses: dict[str, engine.EngineStatus] = {}
        self._silent_since_s: dict[str, float] = {}
        self._seen_hosts: dict[str, hostlist.Host] = {}
        self._drains = steps.Drains()
        self._repairs: list[steps.Repair] = []
        self._audit_index = 0
        self._audit_credit = 0.0
        self._last_tick_s = 0.0
        self._sent = 0
        self._refused = 0
        self._corrections = 0

    def on_stop(self) -> None:
        """Closes the connections to engines."""
        self._pool.shutdown(wait=False, cancel_futures=True)
        self._engines.close()

    @functools.singledispatchmethod
    def handle(self, message: object) -> Any:
        """Handles one message."""
        raise actors.make_unknown_message_error(message)

    @handle.register
    def _(self, message: GetSummary) -> Summary:
        left = self._lease.held_until_s - time.monotonic()
        return Summary(
            self._lease.held_offset,
            round(max(0.0, left), 2),
            self._sent,
            self._refused,
            self._corrections,
            tuple(self._repairs),
            tuple(sorted(self._silent_since_s)),
        )

    @handle.register
    def _(self, message: Tick) -> None:
        self._update_lease()
        if not leases.get_send_fence(
            self._lease, self._lease_opts, time.monotonic()
        ):
            self._clear_engine_state()
            return
        now = time.monotonic()
        passed = min(now - self._last_tick_s, 1.0)
        self._last_tick_s = now
        self._audit_credit += passed * self._opts.audit_per_s
        wanted, pending = self._config.read(self._compute_targets)
        self._poll(wanted, pending)
        self._send_due_orders(wanted)
        self._report_prepared()
        self._finish_repairs()
        self._begin_repairs()

    def _update_lease(self) -> None:
        now = time.monotonic()
        folded, ids = self._config.read(self._get_lease)
        leases.observe(self._lease, folded, ids, now)
        decision = leases.decide(self._lease, self._lease_opts, now)
        if isinstance(decision, leases.Wait):
            return
        record = leases.make_record(
            self._lease,
            self._lease_opts,
            decision,
            f"lease-{uuid.uuid4().hex}",
            time.time_ns() // 1_000_000,
            now,
        )
        self._effects.append(record)

    def _get_lease(
        self, state: states.State
    ) -> tuple[states.Lease | None, dict[str, int]]:
        request = self._lease.pending_request
        ids = {}
        if request is not None and request.record_id in state.ids:
            ids[request.record_id] = state.ids[request.record_id]
        return state.leases.get(self._lease.data_centre), ids

    def _compute_targets(
        self, state: states.State
    ) -> tuple[dict[str, steps.Wanted], frozenset[str]]:
        data_centre = self._lease.data_centre
        wanted = steps.compute_wanted(state, data_centre, self._repairs)
        pending: set[str] = set()
        for plan in state.plans.values():
            if data_centre not in plan.pending:
                continue
            for name in plan.plan.binding.deployments:
                deployment = state.deployments.get(name)
                if deployment and deployment.data_centre == data_centre:
                    pending.update(
                        s.upstream for c in deployment.chains for s in c.stages
                    )
        return wanted, frozenset(pending)

    def _clear_engine_state(self) -> None:
        """Discards engine state collected under a lease no longer held."""
        self._statuses.clear()
        self._silent_since_s.clear()
        self._drains.unwanted_since_s.clear()
        self._repairs.clear()

    def _poll(
        self, wanted: dict[str, steps.Wanted], pending: frozenset[str]
    ) -> None:
        local = {
            n: h
            for n, h in self._hosts.get_local().items()
            if h.role is hostlist.Role.ENGINE
        }
        self._seen_hosts.update(local)
        names = self._select_engines_to_poll(wanted, pending, local)
        found = self._pool.map(
            lambda n: (n, self._engines.get_status(local[n].address)), names
        )
        now = time.monotonic()
        for name, status in found:
            if isinstance(status, errors.Refusal):
                self._silent_since_s.setdefault(name, now)
                self._statuses.pop(name, None)
                continue
            self._silent_since_s.pop(name, None)
            self._statuses[name] = status
            if status.leaving:
                self._effects.note_leaving(name, status.incarnation)

    def _select_engines_to_poll(
        self,
        wanted: dict[str, steps.Wanted],
        pending: frozenset[str],
        local: dict[str, hostlist.Host],
    ) -> list[str]:
        """Returns the engines to poll now: those with work due and a few more.

        The others are polled in turn, at the audit rate. Polling all 1,484
        engines of a data centre of the target size every half second would
        take a hundred times the budget for control traffic.
        """
        busy = set(pending) | set(self._silent_since_s)
        busy.update(r.spare for r in self._repairs)
        for name, status in self._statuses.items():
            want = wanted.get(name)
            holds = frozenset(status.holdings)
            if status.loading or (want.holdings if want else None) != (
                holds or None
            ):
                busy.add(name)
        names = sorted(local)
        count = min(int(self._audit_credit), len(names))
        self._audit_credit -= count
        for _ in range(count):
            self._audit_index = (self._audit_index + 1) % len(names)
            busy.add(names[self._audit_index])
        return sorted(n for n in busy if n in local)

    def _send_due_orders(self, wanted: dict[str, steps.Wanted]) -> None:
        due = steps.find_due_orders(
            wanted,
            self._statuses,
            self._drains,
            self._opts.drain_s,
            time.monotonic(),
        )
        due = steps.limit_loads(due, self._statuses, self._opts.loads_at_once)
        list(self._pool.map(self._send_order, due))

    def _send_order(self, due: steps.DueOrder) -> None:
        host = self._hosts.get_local().get(due.upstream)
        if host is None:
            return
        # Checked directly before each send. With one check for the whole
        # batch, a process paused in between would send the remaining orders
        # after another daemon has taken the lease.
        fence = leases.get_send_fence(
            self._lease, self._lease_opts, time.monotonic()
        )
        if not fence:
            return
        order = engine.Order(fence, due.holdings, due.priority)
        res = self._engines.put_holdings(host.address, order)
        self._sent += 1
        if isinstance(res, errors.Refusal):
            self._refused += 1
            _LOG.warning(
                "order not accepted by engine",
                extra={"upstream": due.upstream, "reason": res.reason},
            )
            return
        have = set(self._statuses[due.upstream].holdings)
        if have - set(due.holdings):
            self._corrections += 1

    def _report_prepared(self) -> None:
        data_centre = self._lease.data_centre
        done: Sequence[str] = self._config.read(
            lambda s: steps.find_prepared(s, data_centre, self._statuses)
        )
        for plan_id in done:
            fence = self._lease.held_offset
            self._effects.append(
                records.Prepared(
                    # The same id for every retry under this lease.
                    f"prepared-{plan_id}-{data_centre}-{fence}",
                    self._lease.own_id,
                    time.time_ns() // 1_000_000,
                    plan_id,
                    data_centre,
                    fence,
                )
            )

    def _begin_repairs(self) -> None:
        now = time.monotonic()
        dead = [
            n
            for n, since in self._silent_since_s.items()
            if now - since > self._opts.dead_after_s
        ]
        listed = self._hosts.get_local()
        if self._hosts.is_reachable:
            dead += [n for n in self._seen_hosts if n not in listed]
        if not dead:
            return
        used = set(self._config.read(self._compute_targets)[0])
        spares = [
            n
            for n, status in sorted(self._statuses.items())
            if n not in used and not status.leaving and n in listed
        ]
        smallest = min(
            (
                self._seen_hosts[n].memory_bytes
                for n in dead
                if n in self._seen_hosts
            ),
            default=0,
        )
        fitting = [s for s in spares if listed[s].memory_bytes >= smallest]
        found = self._config.read(
            lambda s: steps.find_repairs(
                s, self._lease.data_centre, dead, fitting, self._repairs
            )
        )
        self._repairs.extend(found)

    def _finish_repairs(self) -> None:
        for repair in list(self._repairs):
            status = self._statuses.get(repair.spare)
            if status is None or repair.holding not in status.holdings:
                continue
            fence = self._lease.held_offset
            taken = self._effects.append(
                records.Repaired(
                    f"repaired-{repair.deployment_id}-{repair.dead}-{fence}",
                    self._lease.own_id,
                    time.time_ns() // 1_000_000,
                    repair.deployment_id,
                    self._lease.data_centre,
                    repair.dead,
                    repair.spare,
                    fence,
                )
            )
            if taken:
                self._repairs.remove(repair)
