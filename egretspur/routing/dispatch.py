"""All decisions about a router's requests, as one pure state machine.

It joins the graphs, loads, queue, limits and retry budget. Its methods take a
message and the time and return effects; `egretspur.routing.actor` runs them,
and the fuzzing drives the same code without threads or sockets.
"""

from __future__ import annotations

import collections
import random
from typing import Final

import attrs

from egretspur import errors, settings
from egretspur.admission import budget as budgets
from egretspur.admission import queue as queues
from egretspur.intents import records
from egretspur.routing import graph as graphs
from egretspur.routing import loads, questions, requests, shares, tables

# A marked incarnation is remembered this long; far above the platform's lag.
LEAVING_KEPT_S: Final = 3600.0

# Times a request is sent back to the queue because its upstream was busy.
BUSY_TRIES: Final = 20


class Dispatcher:
    """State of one router; see the module's docstring."""

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
        self._data_centre = data_centre
        self._timing = timing
        self._retries = retries
        self._rng = rng
        self.queue = queues.Queue(limit_opts.queue_length)
        self.budget = budgets.Budget(retries.ratio, retries.burst)
        self.loads: dict[str, loads.UpstreamLoad] = {}
        self.links: dict[tuple[str, str], loads.LinkSpeed] = {}
        self.tickets: dict[str, requests.Ticket] = {}
        self.running: dict[str, int] = {}
        self.counts = requests.Counts()
        self.offset = 0
        self.leaving: dict[str, dict[str, float]] = {}
        self._upstreams: dict[str, tables.Upstream] = {}
        self._deployments: dict[str, records.Deployment] = {}
        self._bindings: dict[str, records.Binding] = {}
        self._graphs: dict[str, graphs.Graph] = {}
        self._shares = shares.WorkspaceShares(
            name, limit_opts.settle_s, timing.deadline_s
        )
        # Time of the message being handled.
        self._now_s = 0.0

    # Messages from callers.

    def arrive(
        self, arrival: requests.Arrival, now_s: float
    ) -> list[requests.Effect]:
        """Admits, queues or refuses a request."""
        self._now_s = now_s
        self.counts.arrived += 1
        if not self.offset:
            return self._refuse(
                arrival.id,
                errors.Refusal(
                    errors.ErrorKind.NOT_CONFIGURED,
                    "no table from the control daemon yet",
                    retry_after_s=1.0,
                ),
            )
        key = records.binding_key(arrival.workspace, arrival.model)
        binding = self._bindings.get(key)
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
            make_graph_key(binding),
            now_s + self._timing.deadline_s,
            binding.priority,
        )
        self.tickets[arrival.id] = ticket
        budgets.earn(self.budget)
        return self._admit(ticket, now_s)

    def fail(
        self, failure: requests.Failure, now_s: float
    ) -> list[requests.Effect]:
        """Decides what follows a failed attempt."""
        self._now_s = now_s
        ticket = self.tickets.get(failure.id)
        if ticket is None:
            return []
        path = self._release(ticket)
        ticket.begun = ticket.begun or failure.delivered > 0
        ticket.maybe_started |= failure.maybe_started or ticket.begun
        if failure.busy:
            return self._handle_busy(ticket, path, failure, now_s)
        self._blame(ticket, path, failure, now_s)
        if ticket.attempts >= self._retries.attempts:
            return self._give_up(ticket, failure, "no attempts left", now_s)
        if ticket.begun:
            self.counts.resumes += 1
        elif budgets.spend(self.budget):
            self.counts.retries += 1
        else:
            return self._give_up(ticket, failure, "no retries left", now_s)
        return [*self._admit(ticket, now_s), *self._start_waiting(now_s)]

    def progress(self, message: requests.Progress, now_s: float) -> None:
        """Learns from tokens that came."""
        ticket = self.tickets.get(message.id)
        if ticket is None or ticket.path is None:
            return
        previous = ""
        changed = False
        token_s = message.seconds / max(1, message.tokens)
        for edge in ticket.path.edges:
            load = self.loads[edge.upstream]
            changed |= loads.note_success(load, now_s)
            if message.tokens > 1:
                key = (previous, edge.upstream)
                link = self.links.setdefault(key, loads.LinkSpeed())
                loads.note_speed(link, token_s, now_s)
            previous = edge.upstream
        if message.load >= 0:
            loads.note_report(self.loads[previous], message.load, now_s)
        if changed:
            self._rebuild()

    def finish(self, request_id: str, now_s: float) -> list[requests.Effect]:
        """Ends a request, whole or given up by its caller."""
        self._now_s = now_s
        ticket = self.tickets.pop(request_id, None)
        if ticket is None:
            return []
        queues.remove(self.queue, request_id)
        if self._release(ticket) is not None:
            queues.note_done(self.queue, ticket.graph, now_s)
        self.counts.finished += 1
        return self._start_waiting(now_s)

    # Messages from the rest of the router.

    def update(
        self, message: tables.RoutingUpdate, now_s: float
    ) -> list[requests.Effect]:
        """Takes a new table, marks and demand."""
        self._now_s = now_s
        if message.table is not None:
            self._take_table(message.table)
        for name, incarnations in message.leaving.items():
            for incarnation in incarnations:
                self.leaving.setdefault(name, {}).setdefault(incarnation, now_s)
        self._shares.note(message.demand, message.listed, now_s)
        self._rebuild()
        return self._start_waiting(now_s)

    def tick(self, now_s: float) -> list[requests.Effect]:
        """Refuses what came due, lets probes begin, starts what can."""
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
        probing = False
        for load in self.loads.values():
            # Spread over the routers: each lets a probe begin with a chance
            # that makes about one in all routers a second.
            if loads.is_probe_due(load, now_s) and (
                self._rng.random() < 1.0 / self._shares.listed
            ):
                load.health = loads.Health.PROBING
                probing = True
        for name, marks in list(self.leaving.items()):
            self.leaving[name] = {
                i: t for i, t in marks.items() if now_s - t < LEAVING_KEPT_S
            }
        if probing:
            self._rebuild()
        return effects + self._start_waiting(now_s)

    def get_demand(self) -> dict[str, int]:
        """Returns running and waiting requests by workspace with a limit."""
        demand = {
            key: count for key, count in self.running.items() if count > 0
        }
        for item in self.queue.waiting.values():
            ticket = self.tickets[item.id]
            demand[ticket.key] = demand.get(ticket.key, 0) + 1
        return {
            key: count
            for key, count in demand.items()
            if key in self._bindings and self._bindings[key].limit
        }

    def get_services(self, name: str, now_s: float) -> list[tables.Upstream]:
        """Returns a plain service's replicas that may be given a call."""
        found = [
            u
            for u in self._upstreams.values()
            if u.service == name and self._is_usable(u.name)
        ]
        self._rng.shuffle(found)
        found.sort(key=lambda u: self.loads[u.name].own)
        return found

    def note_service(self, name: str, is_ok: bool, now_s: float) -> None:
        """Learns from a plain service's answer or its absence."""
        load = self.loads.get(name)
        if load is None:
            return
        if is_ok:
            changed = loads.note_success(load, now_s)
        else:
            changed = loads.note_failure(load, now_s, self._rng, sure=True)
        if changed:
            self._rebuild()

    # Decisions.

    def _admit(
        self, ticket: requests.Ticket, now_s: float
    ) -> list[requests.Effect]:
        item = self._make_waiting(ticket, now_s)
        graph = self._graphs.get(ticket.graph)
        if graph is None or not graph.size:
            if ticket.begun:
                return self._wait_begun(ticket, item, now_s)
            return self._refuse_ticket(
                ticket.arrival.id,
                errors.ErrorKind.NO_ROUTE,
                "no upstreams hold all layers",
                now_s,
            )
        hold = self._make_hold()
        if not self._has_rivals(item, hold) and not self._is_held(item, hold):
            grant = self._try_start(ticket, now_s)
            if grant is not None:
                queues.note_start(self.queue, item.workspace)
                return [grant]
        offered = queues.offer(self.queue, item, now_s)
        if isinstance(offered, errors.Refusal):
            if ticket.begun:
                return self._wait_begun(ticket, item, now_s)
            kind = offered.kind
            if self._is_held(item, hold):
                kind = errors.ErrorKind.LIMIT_REACHED
            return self._refuse_ticket(
                item.id, kind, offered.reason, now_s, offered.retry_after_s
            )
        if offered.evicted is None:
            return []
        return self._refuse_ticket(
            offered.evicted.id,
            errors.ErrorKind.QUEUE_FULL,
            "gave way to a more urgent request or a smaller workspace's",
            now_s,
            1.0,
        )

    def _wait_begun(
        self, ticket: requests.Ticket, item: queues.Waiting, now_s: float
    ) -> list[requests.Effect]:
        """Queues a request whose caller has a part of the answer.

        It is queued even where a new one would be refused: a probe, a spare
        or another's end may bring the rest before its new deadline.
        """
        ticket.deadline_s = now_s + self._timing.deadline_s
        self.queue.waiting[item.id] = attrs.evolve(
            item, deadline_s=ticket.deadline_s
        )
        return []

    def _start_waiting(self, now_s: float) -> list[requests.Effect]:
        effects: list[requests.Effect] = []
        stuck: set[str] = set()
        hold = self._make_hold()
        while self.queue.waiting:
            started = False
            for item in queues.order(
                self.queue, lambda waiting: self._is_held(waiting, hold)
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
        graph = self._graphs.get(ticket.graph)
        binding = self._bindings.get(ticket.key)
        if graph is None or binding is None:
            return None
        known = graphs.Known(self.loads, self.links, now_s)
        avoid = frozenset(ticket.failed | ticket.suspected)
        path = graphs.choose_path(graph, known, self._rng, avoid)
        if path is None and ticket.suspected:
            path = graphs.choose_path(
                graph, known, self._rng, frozenset(ticket.failed)
            )
        if path is None:
            return None
        for edge in path.edges:
            self.loads[edge.upstream].own += 1
        ticket.path = path
        ticket.attempts += 1
        self.counts.attempts += 1
        self.running[ticket.key] = self.running.get(ticket.key, 0) + 1
        return requests.Grant(
            ticket.arrival.id,
            path,
            binding,
            tuple(self._upstreams[e.upstream] for e in path.edges),
            self._deployments[graph.label],
        )

    def _release(self, ticket: requests.Ticket) -> graphs.Path | None:
        path = ticket.path
        if path is None:
            return None
        ticket.path = None
        for edge in path.edges:
            load = self.loads.get(edge.upstream)
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
        """Sends a request that an engine had no slot for back to the queue.

        The engine has not started it, so this is no retry; the refusal also
        is the freshest load report there can be.
        """
        self.counts.busy += 1
        ticket.attempts -= 1
        ticket.busy_tries += 1
        for edge in path.edges if path else ():
            if not failure.blamed or edge.upstream in failure.blamed:
                loads.note_full(self.loads[edge.upstream], now_s)
        if ticket.busy_tries > BUSY_TRIES and not ticket.begun:
            return self._refuse_ticket(
                ticket.arrival.id,
                errors.ErrorKind.QUEUE_FULL,
                "upstreams stay busy",
                now_s,
                1.0,
            )
        return [*self._admit(ticket, now_s), *self._start_waiting(now_s)]

    def _blame(
        self,
        ticket: requests.Ticket,
        path: graphs.Path | None,
        failure: requests.Failure,
        now_s: float,
    ) -> None:
        changed = False
        if failure.leaving and failure.leaving in self._upstreams:
            incarnation = self._upstreams[failure.leaving].incarnation
            marks = self.leaving.setdefault(failure.leaving, {})
            marks.setdefault(incarnation, now_s)
            ticket.failed.add(failure.leaving)
            self._rebuild()
            return
        edges = path.edges if path else ()
        for edge in edges:
            load = self.loads.get(edge.upstream)
            if load is None:
                continue
            if failure.blamed:
                if edge.upstream in failure.blamed:
                    ticket.failed.add(edge.upstream)
                    changed |= loads.note_failure(
                        load, now_s, self._rng, sure=True
                    )
            else:
                ticket.suspected.add(edge.upstream)
                changed |= loads.note_failure(
                    load, now_s, self._rng, sure=len(edges) == 1
                )
        if changed:
            self._rebuild()

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
            # The row of this kind may promise "not run", which no longer is
            # certain once any attempt was sent.
            kind = errors.ErrorKind.UPSTREAM_FAILED
        return self._refuse(
            request_id, errors.Refusal(kind, reason, retry_after_s)
        )

    def _refuse(
        self, request_id: str, refusal: errors.Refusal
    ) -> list[requests.Effect]:
        self.counts.refused += 1
        return [questions.Refuse(request_id, refusal)]

    def _has_rivals(self, item: queues.Waiting, hold: shares.Hold) -> bool:
        """Tells whether others of its graph wait and may start."""
        return any(
            w.graph == item.graph and not self._is_held(w, hold)
            for w in self.queue.waiting.values()
        )

    def _make_hold(self) -> shares.Hold:
        """Returns what limits hold back, as of now."""
        waiting = collections.Counter(
            self.tickets[w.id].key for w in self.queue.waiting.values()
        )

        def compute_share(key: str) -> int | None:
            binding = self._bindings.get(key)
            if binding is None or not binding.limit:
                return None
            wanted = self.running.get(key, 0) + waiting[key] + 1
            return self._shares.compute(key, binding, wanted, self._now_s)

        return shares.Hold(compute_share, self.running)

    def _is_held(self, item: queues.Waiting, hold: shares.Hold) -> bool:
        """Tells whether a limit holds a request back; never one begun."""
        ticket = self.tickets[item.id]
        return not ticket.begun and hold.is_held(ticket.key)

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

    def _take_table(self, table: tables.RoutingTable) -> None:
        if table.offset < self.offset:
            # A control daemon that just started may know less than this
            # router already has in force; going back would revert a change.
            return
        self.offset = table.offset
        self._deployments = {d.id: d for d in table.deployments}
        self._bindings = {
            records.binding_key(b.workspace, b.model): b for b in table.bindings
        }
        self._shares.divisors = table.shares
        for upstream in table.upstreams:
            old = self._upstreams.get(upstream.name)
            load = self.loads.get(upstream.name)
            if load is None or (
                old is not None and old.incarnation != upstream.incarnation
            ):
                own = load.own if load else 0
                self.loads[upstream.name] = loads.UpstreamLoad(
                    upstream.slots, own
                )
            self._upstreams[upstream.name] = upstream
        listed = {u.name for u in table.upstreams}
        for name in set(self._upstreams) - listed:
            if not self.loads[name].own:
                del self._upstreams[name]
                del self.loads[name]

    def _is_usable(self, name: str) -> bool:
        upstream = self._upstreams.get(name)
        if upstream is None or upstream.leaving:
            return False
        if upstream.incarnation in self.leaving.get(name, {}):
            return False
        return self.loads[name].health is not loads.Health.DOWN

    def _rebuild(self) -> None:
        """Builds the graphs anew; called when an upstream comes or goes."""
        speeds = {n: u.layers_per_s for n, u in self._upstreams.items()}
        built: dict[str, graphs.Graph] = {}
        for binding in self._bindings.values():
            key = make_graph_key(binding)
            if key in built:
                continue
            found = [
                self._deployments[n]
                for n in binding.deployments
                if n in self._deployments
            ]
            here = [d for d in found if d.data_centre == self._data_centre]
            chosen = here or found
            if not chosen:
                continue
            built[key] = graphs.Graph(
                chosen[0].id,
                chosen[0].layers,
                chosen,
                speeds,
                self._is_usable,
            )
        self._graphs = built


def make_graph_key(binding: records.Binding) -> str:
    """Returns the name of the graph a binding's requests go through."""
    return "+".join(binding.deployments)
