"""All decisions about a router's requests, as one pure state machine.

Combines the graphs, loads, queue, limits and retry budget. Its methods take a
message and the time and return effects. `egretspur.routing.actor` runs the
effects; the fuzz tests drive the same code without threads or sockets.
"""

from __future__ import annotations

import collections
import random
from typing import Final

import attrs

from egretspur import decisions, errors, settings, signals
from egretspur.admission import budget as budgets
from egretspur.admission import quarantine as quarantines
from egretspur.admission import queue as queues
from egretspur.intents import records
from egretspur.routing import (
    availability,
    loads,
    network,
    questions,
    requests,
    retries,
    shares,
    tables,
)
from egretspur.routing import graph as graphs

# How often a request returns to the queue because its upstream was busy.
MAX_BUSY_REQUEUES: Final = 20

# How long the cause of a cut may stay unknown: the platform's list lags by two
# seconds, is read once a second, and reaches the router within one more.
CUT_CAUSE_TIMEOUT_S: Final = 5.0

# Maximum number of requests in a report to the control daemon, for other hosts,
# under which upstreams crashed.
MAX_ADVERTISED_REQUESTS: Final = 16


class Dispatcher:
    """Request state of one router; see the module's docstring."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        limit_opts: settings.LimitSettings,
        timing: settings.TimingSettings,
        retries: settings.RetrySettings,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._timing = timing
        self._retries = retries
        self._rng = rng
        self.queue = queues.Queue(limit_opts.queue_length)
        self.quarantine = quarantines.Quarantine(CUT_CAUSE_TIMEOUT_S)
        self.budget = budgets.Budget(retries.ratio, retries.burst)
        self.network = network.Network(data_centre, rng)
        self.availability = availability.Availability(
            data_centre, self.network, rng
        )
        self.tickets: dict[str, requests.Ticket] = {}
        self.running: dict[str, int] = {}
        self.counts = requests.Counts()
        self._shares = shares.WorkspaceShares(
            name, limit_opts.settle_s, timing.deadline_s
        )
        # Monotonic time of the message being handled.
        self._now_s = 0.0

    # Messages from callers.

    def arrive(
        self, arrival: requests.Arrival, now_s: float
    ) -> list[requests.Effect]:
        """Admits, queues or refuses a request."""
        self._now_s = now_s
        self.counts.arrived += 1
        if not self.network.offset:
            return self._refuse(
                arrival.id,
                errors.Refusal(
                    errors.ErrorKind.NOT_CONFIGURED,
                    "no table from the control daemon yet",
                    retry_after_s=1.0,
                ),
            )
        key = records.binding_key(arrival.workspace, arrival.model)
        binding = self.network.bindings.get(key)
        if binding is None:
            return self._refuse(
                arrival.id,
                errors.Refusal(
                    errors.ErrorKind.UNKNOWN_MODEL,
                    f"workspace {arrival.workspace!r}, model {arrival.model!r}",
                ),
            )
        ticket = requests.Ticket(
            arrival,
            key,
            network.make_graph_key(binding),
            now_s + self._timing.deadline_s,
            binding.priority,
        )
        self.tickets[arrival.id] = ticket
        budgets.earn(self.budget)
        return self._admit(ticket, now_s)

    def fail(
        self, failure: requests.Failure, now_s: float
    ) -> list[requests.Effect]:
        """Retries, resumes or refuses a request after a failed attempt."""
        self._now_s = now_s
        ticket = self.tickets.get(failure.id)
        if ticket is None:
            return []
        path = self._release_path(ticket)
        ticket.begun = ticket.begun or failure.delivered > 0
        ticket.fruitless = 0 if failure.has_brought else ticket.fruitless + 1
        ticket.maybe_started |= failure.maybe_started or ticket.begun
        if failure.busy:
            return self._handle_busy(ticket, path, failure, now_s)
        self.network.record_failure(ticket, path, failure, now_s)
        if failure.is_cut and ticket.incarnation_ids:
            self.quarantine.record_cut(
                quarantines.CutAttempt(
                    ticket.arrival.fingerprint,
                    ticket.incarnation_ids,
                    failure.has_brought,
                    now_s,
                    ticket.arrival.segments,
                    failure.has_head,
                    ticket.sent_s,
                    failure.is_established,
                ),
                now_s,
            )
            self._count_crashes(now_s)
        if self._is_quarantined(ticket):
            return [
                *self._refuse_quarantined(failure.id, failure.reason, now_s),
                *self._start_waiting(now_s),
            ]
        if self._is_exhausted(ticket, failure):
            return self._give_up(ticket, failure, "no attempts left", now_s)
        if ticket.begun:
            self.counts.resumes += 1
            delay_s = retries.compute_resume_delay_s(ticket.fruitless)
            ticket.resume_from_s = now_s + delay_s
        elif budgets.spend(self.budget):
            self.counts.retries += 1
        else:
            return self._give_up(ticket, failure, "no retries left", now_s)
        return [*self._admit(ticket, now_s), *self._start_waiting(now_s)]

    def may_replace(self, request_id: str, now_s: float) -> bool:
        """Returns whether a silent attempt may be ended and replaced.

        Its engines may only be slow. Unless one of them is known to be down, it
        is ended only if another path avoids all of them.
        """
        ticket = self.tickets.get(request_id)
        graph = self.network.graphs.get(ticket.graph) if ticket else None
        if ticket is None or ticket.path is None or graph is None:
            return True
        stages = {e.upstream for e in ticket.path.edges}
        if any(not self.network.is_usable(name) for name in stages):
            return True
        avoid = self.network.list_backing_off(now_s) | ticket.failed | stages
        state = self._make_network_state(now_s)
        path = graphs.choose_path(graph, state, self._rng, avoid)
        return path is not None

    def progress(self, message: requests.Progress, now_s: float) -> None:
        """Updates load and speed estimates from received tokens."""
        ticket = self.tickets.get(message.id)
        if ticket is None or ticket.path is None:
            return
        self.network.note_tokens(ticket.path, message, now_s)

    def record_established(
        self, message: requests.Established, now_s: float
    ) -> None:
        """Records that the answer to a request is established."""
        ticket = self.tickets.get(message.id)
        if ticket is not None:
            self.quarantine.record_established(ticket.arrival.segments, now_s)
            self._log_quarantine_changes()

    def finish(
        self, request_id: str, now_s: float, is_answered: bool = False
    ) -> list[requests.Effect]:
        """Ends a request that was answered completely or cancelled."""
        self._now_s = now_s
        ticket = self.tickets.pop(request_id, None)
        if ticket is None:
            return []
        if is_answered:
            self.quarantine.record_answer(ticket.arrival.fingerprint, now_s)
        queues.remove(self.queue, request_id)
        if self._release_path(ticket) is not None:
            queues.record_finish(self.queue, ticket.graph, now_s)
        self.counts.finished += 1
        return self._start_waiting(now_s)

    # Messages from the rest of the router.

    def update(
        self, message: tables.RoutingUpdate, now_s: float
    ) -> list[requests.Effect]:
        """Applies an update from the control daemon."""
        self._now_s = now_s
        table = message.table
        if table is not None and self.network.apply_table(table):
            self._shares.divisors = table.shares
        self.network.mark_leaving(message.leaving, now_s)
        self._shares.update_demand(message.demand, message.listed, now_s)
        self.network.rebuild()
        self.quarantine.apply_peer_update(message.ended, now_s)
        self.quarantine.apply_evidence(message.evidence, now_s)
        self._count_crashes(now_s)
        self.availability.apply_update(message, now_s)
        return [
            *self._refuse_quarantined_waiting(now_s),
            *self._start_waiting(now_s),
        ]

    def tick(self, now_s: float) -> list[requests.Effect]:
        """Refuses expired requests, begins probes and starts waiting ones."""
        self._now_s = now_s
        effects: list[requests.Effect] = []
        for item in queues.expire(self.queue, now_s):
            effects += self._refuse_ticket(
                item.id,
                errors.ErrorKind.DEADLINE,
                "waited too long",
                now_s,
                retry_after_s=1.0,
            )
        self._count_crashes(now_s)
        effects += self._refuse_quarantined_waiting(now_s)
        self.network.expire_leaving_marks(now_s)
        self.network.begin_probes(self._shares.listed, now_s)
        return effects + self._start_waiting(now_s)

    def get_demand(self) -> dict[str, int]:
        """Returns running plus waiting requests by binding with a limit."""
        demand = {
            key: count for key, count in self.running.items() if count > 0
        }
        for item in self.queue.waiting.values():
            ticket = self.tickets[item.id]
            demand[ticket.key] = demand.get(ticket.key, 0) + 1
        return {
            key: count
            for key, count in demand.items()
            if key in self.network.bindings and self.network.bindings[key].limit
        }

    def get_replicas(self, name: str, now_s: float) -> list[tables.Upstream]:
        """Returns a plain service's usable replicas in order of preference."""
        found = self.network.list_usable(name)
        self._rng.shuffle(found)
        found.sort(
            key=lambda u: (
                not self.availability.is_open(u.name, now_s),
                self.network.loads[u.name].own,
            )
        )
        return found

    def note_signals(
        self, name: str, answer: signals.Signals, now_s: float
    ) -> tuple[bool, list[requests.Effect]]:
        """Applies the limit, backoff and leaving signals of an answer.

        Returns:
            Whether to notify the other hosts, and the effects to run.
        """
        self._now_s = now_s
        is_new = self.availability.note_signals(name, answer, now_s)
        return is_new, self._start_waiting(now_s) if is_new else []

    def note_service(self, name: str, is_ok: bool, now_s: float) -> None:
        """Records whether a plain service's replica answered."""
        self.network.note_result(name, is_ok, now_s)

    def note_call(
        self, name: str, fingerprint: str, is_answered: bool, now_s: float
    ) -> None:
        """Records how a call to a plain service ended.

        Args:
            name: Name of the replica.
            fingerprint: Fingerprint of the call.
            is_answered: False if the answer was lost; the replica may have
                crashed.
            now_s: Monotonic time.
        """
        if is_answered:
            self.quarantine.record_answer(fingerprint, now_s)
            return
        incarnation_id = self.network.make_incarnation_id(name)
        self.quarantine.record_cut(
            quarantines.CutAttempt(
                fingerprint, (incarnation_id,), False, now_s
            ),
            now_s,
        )
        self._count_crashes(now_s)

    def list_crashes(self, now_s: float) -> dict[str, dict[str, float]]:
        """Returns crashed upstreams by request, for other hosts."""
        return self.quarantine.list_updates(MAX_ADVERTISED_REQUESTS, now_s)

    # Decisions.

    def _count_crashes(self, now_s: float) -> None:
        """Counts the upstreams that are now known to have crashed."""
        self.quarantine.resolve_cuts(self.network.get_incarnation_state, now_s)
        self._log_quarantine_changes()

    def _is_quarantined(self, ticket: requests.Ticket) -> bool:
        """Returns whether a request must not be sent to any upstream."""
        arrival = ticket.arrival
        return self.quarantine.is_blocked(arrival.fingerprint, arrival.segments)

    def _log_quarantine_changes(self) -> None:
        for change in self.quarantine.take_changes():
            decisions.record(
                decisions.QuarantineChanged(
                    change.fingerprint,
                    bool(change.crashes),
                    len(change.crashes),
                    change.is_own,
                )
            )

    def _refuse_quarantined(
        self, request_id: str, reason: str, now_s: float
    ) -> list[requests.Effect]:
        """Refuses a quarantined request."""
        arrival = self.tickets[request_id].arrival
        queues.remove(self.queue, request_id)
        return self._refuse_ticket(
            request_id,
            errors.ErrorKind.QUARANTINED,
            f"{reason}; upstreams crashed while running it",
            now_s,
            self.quarantine.get_retry_after_s(
                arrival.fingerprint, arrival.segments
            ),
        )

    def _refuse_quarantined_waiting(
        self, now_s: float
    ) -> list[requests.Effect]:
        """Refuses the waiting requests that have been quarantined."""
        return [
            effect
            for i in list(self.queue.waiting)
            if self._is_quarantined(self.tickets[i])
            for effect in self._refuse_quarantined(
                i, "quarantined while waiting", now_s
            )
        ]

    def _is_exhausted(
        self, ticket: requests.Ticket, failure: requests.Failure
    ) -> bool:
        """Returns whether no attempts are left to a request.

        For a begun answer, only those count that upstreams ended which are
        alive by now.
        """
        limit = self._retries.attempts
        if not ticket.begun:
            return ticket.attempts >= limit
        if not failure.is_own:
            ticket.ended_by.append(ticket.incarnation_ids)
        alive = sum(
            all(self.network.is_incarnation_usable(i) for i in ids)
            for ids in ticket.ended_by
        )
        return alive >= limit

    def _admit(
        self, ticket: requests.Ticket, now_s: float
    ) -> list[requests.Effect]:
        if self._is_quarantined(ticket):
            return self._refuse_quarantined(
                ticket.arrival.id, "in quarantine", now_s
            )
        item = self._make_waiting(ticket, now_s)
        graph = self.network.graphs.get(ticket.graph)
        if graph is None or not graph.size:
            if ticket.begun:
                return self._requeue_begun(ticket, item, now_s)
            return self._refuse_ticket(
                ticket.arrival.id,
                errors.ErrorKind.NO_ROUTE,
                "no upstreams hold all layers",
                now_s,
            )
        limit_check = self._make_limit_check()
        if not self._has_eligible_waiting(
            item, limit_check
        ) and not self._is_at_limit(item, limit_check):
            grant = self._try_start(ticket, now_s)
            if grant is not None:
                queues.record_start(self.queue, item.workspace)
                return [grant]
        limited = self._refuse_limited(ticket, graph, item, now_s)
        if limited:
            return limited
        offered = queues.enqueue(self.queue, item, now_s)
        if isinstance(offered, errors.Refusal):
            if ticket.begun:
                return self._requeue_begun(ticket, item, now_s)
            kind = offered.kind
            if self._is_at_limit(item, limit_check):
                kind = errors.ErrorKind.LIMIT_REACHED
            return self._refuse_ticket(
                item.id, kind, offered.reason, now_s, offered.retry_after_s
            )
        if offered.evicted is None:
            return []
        return self._refuse_ticket(
            offered.evicted.id,
            errors.ErrorKind.QUEUE_FULL,
            "evicted by a more urgent request or a smaller workspace's",
            now_s,
            1.0,
        )

    def _refuse_limited(
        self,
        ticket: requests.Ticket,
        graph: graphs.Graph,
        item: queues.Waiting,
        now_s: float,
    ) -> list[requests.Effect]:
        """Refuses a request whose rate-limited turn is after its deadline."""
        opening = self.availability.find_opening(graph.last_stages, now_s)
        if opening is None or ticket.begun:
            return []
        waiting = sum(
            w.graph == item.graph for w in self.queue.waiting.values()
        )
        if now_s + opening.estimate_wait_s(waiting) <= item.deadline_s:
            return []
        return self._refuse_ticket(
            item.id,
            errors.ErrorKind.UPSTREAM_LIMITED,
            opening.describe(waiting),
            now_s,
            self.availability.reserve_retry(
                item.graph, opening, waiting, now_s
            ),
        )

    def _requeue_begun(
        self, ticket: requests.Ticket, item: queues.Waiting, now_s: float
    ) -> list[requests.Effect]:
        """Queues a request whose caller already has a part of the answer.

        It is queued even where a new one would be refused: a probe, a spare
        or the end of another request may free a path before its new deadline.
        """
        ticket.deadline_s = now_s + self._timing.deadline_s
        self.queue.waiting[item.id] = attrs.evolve(
            item, deadline_s=ticket.deadline_s
        )
        return []

    def _start_waiting(self, now_s: float) -> list[requests.Effect]:
        effects: list[requests.Effect] = []
        stuck: set[str] = set()
        limit_check = self._make_limit_check()
        while self.queue.waiting:
            started = False
            for item in queues.list_candidates(
                self.queue,
                lambda waiting: (
                    now_s < self.tickets[waiting.id].resume_from_s
                    or self._is_at_limit(waiting, limit_check)
                ),
            ):
                if item.graph in stuck:
                    continue
                grant = self._try_start(self.tickets[item.id], now_s)
                if grant is None:
                    stuck.add(item.graph)
                    continue
                queues.start(self.queue, item)
                effects.append(grant)
                started = True
            if not started:
                break
        return effects

    def _try_start(
        self, ticket: requests.Ticket, now_s: float
    ) -> requests.Grant | None:
        graph = self.network.graphs.get(ticket.graph)
        binding = self.network.bindings.get(ticket.key)
        if graph is None or binding is None or now_s < ticket.resume_from_s:
            return None
        state = self._make_network_state(now_s)
        backing_off = self.network.list_backing_off(now_s)
        avoid = backing_off | ticket.failed | ticket.suspected
        path = graphs.choose_path(graph, state, self._rng, avoid)
        if path is None and ticket.suspected:
            path = graphs.choose_path(
                graph, state, self._rng, backing_off | ticket.failed
            )
        if path is None and ticket.begun:
            # Those that failed it once are all that is left.
            path = graphs.choose_path(graph, state, self._rng, backing_off)
        if path is None:
            return None
        for edge in path.edges:
            self.network.loads[edge.upstream].own += 1
        ticket.path = path
        self.availability.consume_permit(path.edges[-1].upstream, now_s)
        ticket.incarnation_ids = tuple(
            # The last stage first: it sends the caller's answer.
            self.network.make_incarnation_id(e.upstream)
            for e in reversed(path.edges)
        )
        ticket.sent_s = now_s
        ticket.attempts += 1
        self.counts.attempts += 1
        self.running[ticket.key] = self.running.get(ticket.key, 0) + 1
        return requests.Grant(
            ticket.arrival.id,
            path,
            binding,
            tuple(self.network.upstreams[e.upstream] for e in path.edges),
            self.network.deployments[graph.label],
        )

    def _make_network_state(self, now_s: float) -> graphs.NetworkState:
        return graphs.NetworkState(
            self.network.loads,
            self.network.links,
            now_s,
            self.availability.list_closed(now_s),
        )

    def _release_path(self, ticket: requests.Ticket) -> graphs.Path | None:
        path = ticket.path
        if path is None:
            return None
        ticket.path = None
        for edge in path.edges:
            load = self.network.loads.get(edge.upstream)
            if load is not None:
                load.own -= 1
        left = self.running[ticket.key] - 1
        self.running[ticket.key] = left
        if not left:
            del self.running[ticket.key]
        return path

    def _handle_busy(
        self,
        ticket: requests.Ticket,
        path: graphs.Path | None,
        failure: requests.Failure,
        now_s: float,
    ) -> list[requests.Effect]:
        """Requeues a request that an engine refused for want of a slot.

        The engine has not started it, so the retry budget is not charged. The
        refusal also serves as the most recent load report.
        """
        self.counts.busy += 1
        ticket.attempts -= 1
        ticket.busy_requeues += 1
        for edge in path.edges if path else ():
            if not failure.blamed or edge.upstream in failure.blamed:
                loads.note_busy(self.network.loads[edge.upstream], now_s)
        if ticket.busy_requeues > MAX_BUSY_REQUEUES and not ticket.begun:
            return self._refuse_ticket(
                ticket.arrival.id,
                errors.ErrorKind.QUEUE_FULL,
                "upstreams stayed busy",
                now_s,
                1.0,
            )
        return [*self._admit(ticket, now_s), *self._start_waiting(now_s)]

    def _give_up(
        self,
        ticket: requests.Ticket,
        failure: requests.Failure,
        why: str,
        now_s: float,
    ) -> list[requests.Effect]:
        return [
            *self._refuse_ticket(
                ticket.arrival.id,
                errors.ErrorKind.NO_ROUTE,
                f"{failure.reason}; {why}",
                now_s,
                1.0,
            ),
            *self._start_waiting(now_s),
        ]

    def _refuse_ticket(
        self,
        request_id: str,
        kind: errors.ErrorKind,
        reason: str,
        now_s: float,
        retry_after_s: float = 0.0,
    ) -> list[requests.Effect]:
        ticket = self.tickets.pop(request_id, None)
        if ticket is not None and ticket.maybe_started:
            # The answer for the original kind may state that the request was
            # not run, which is not certain once an attempt was sent.
            kind = errors.ErrorKind.UPSTREAM_FAILED
        return self._refuse(
            request_id, errors.Refusal(kind, reason, retry_after_s)
        )

    def _refuse(
        self, request_id: str, refusal: errors.Refusal
    ) -> list[requests.Effect]:
        self.counts.refused += 1
        return [questions.Refuse(request_id, refusal)]

    def _has_eligible_waiting(
        self, item: queues.Waiting, limit_check: shares.LimitCheck
    ) -> bool:
        """Returns whether other requests of its graph wait and may start."""
        return any(
            w.graph == item.graph
            and self._now_s >= self.tickets[w.id].resume_from_s
            and not self._is_at_limit(w, limit_check)
            for w in self.queue.waiting.values()
        )

    def _make_limit_check(self) -> shares.LimitCheck:
        """Returns a check of workspace limits for one pass over the queue."""
        waiting = collections.Counter(
            self.tickets[w.id].key for w in self.queue.waiting.values()
        )

        def compute_share(key: str) -> int | None:
            binding = self.network.bindings.get(key)
            if binding is None or not binding.limit:
                return None
            wanted = self.running.get(key, 0) + waiting[key] + 1
            return self._shares.compute(key, binding, wanted, self._now_s)

        return shares.LimitCheck(compute_share, self.running)

    def _is_at_limit(
        self, item: queues.Waiting, limit_check: shares.LimitCheck
    ) -> bool:
        """Returns whether its workspace's limit delays a request.

        A request of which tokens were delivered is never delayed.
        """
        ticket = self.tickets[item.id]
        return not ticket.begun and limit_check.is_at_limit(ticket.key)

    def _make_waiting(
        self, ticket: requests.Ticket, now_s: float
    ) -> queues.Waiting:
        return queues.Waiting(
            ticket.arrival.id,
            ticket.arrival.workspace,
            ticket.graph,
            ticket.priority,
            now_s,
            ticket.deadline_s,
            ticket.begun,
        )
