"""What one router knows of upstreams, and the graphs made of it: pure.

Tables from the control daemon, marks of upstreams that leave, loads and speeds
that were seen. Graphs are built anew when an upstream comes or goes. Read next:
`egretspur.routing.dispatch`.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from typing import Final

from egretspur.admission import quarantine
from egretspur.intents import records
from egretspur.routing import graph as graphs
from egretspur.routing import loads, requests, tables

# A marked incarnation is remembered this long; far above the platform's lag.
LEAVING_KEPT_S: Final = 3600.0


# Between an upstream and its incarnation in the name of a start.
START_MARK: Final = "@"


class Network:
    """Upstreams, chains and bindings as one router sees them."""

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self.loads: dict[str, loads.UpstreamLoad] = {}
        self.links: dict[tuple[str, str], loads.LinkSpeed] = {}
        # Offset of the table in force; 0 before the first.
        self.offset = 0
        # Incarnations that leave, by upstream, with the time of the mark.
        self.leaving: dict[str, dict[str, float]] = {}
        # Starts that asked this router for rest, and until when.
        self._backoffs: dict[str, float] = {}
        self.upstreams: dict[str, tables.Upstream] = {}
        self.deployments: dict[str, records.Deployment] = {}
        self.bindings: dict[str, records.Binding] = {}
        self.graphs: dict[str, graphs.Graph] = {}

    def take_table(self, table: tables.RoutingTable) -> bool:
        """Puts a table in force; False if a newer one is.

        The graphs are those of the former one until `rebuild`.
        """
        if table.offset < self.offset:
            # A control daemon that just started may know less than this
            # router already has in force; going back would revert a change.
            return False
        self.offset = table.offset
        self.deployments = {d.id: d for d in table.deployments}
        self.bindings = {
            records.binding_key(b.workspace, b.model): b for b in table.bindings
        }
        for upstream in table.upstreams:
            self._put(upstream)
        listed = {u.name for u in table.upstreams}
        for name in set(self.upstreams) - listed:
            if not self.loads[name].own:
                del self.upstreams[name]
                del self.loads[name]
        return True

    def _put(self, upstream: tables.Upstream) -> None:
        old = self.upstreams.get(upstream.name)
        load = self.loads.get(upstream.name)
        if load is None or (
            old is not None and old.incarnation != upstream.incarnation
        ):
            own = load.own if load else 0
            self.loads[upstream.name] = loads.UpstreamLoad(upstream.slots, own)
        self.upstreams[upstream.name] = upstream

    def mark_leaving(
        self, marks: Mapping[str, Iterable[str]], now_s: float
    ) -> None:
        """Takes incarnations that leave, by upstream."""
        for name, incarnations in marks.items():
            for incarnation in incarnations:
                known = self.leaving.setdefault(name, {})
                known.setdefault(incarnation, now_s)

    def note_leaving(self, name: str, now_s: float) -> bool:
        """Takes an upstream's own word that it leaves; tells whether new."""
        incarnation = self.upstreams[name].incarnation
        marks = self.leaving.setdefault(name, {})
        if incarnation in marks:
            return False
        marks[incarnation] = now_s
        self.rebuild()
        return True

    def forget_marks(self, now_s: float) -> None:
        """Drops marks that are so old that the incarnation is gone."""
        for name, marks in list(self.leaving.items()):
            self.leaving[name] = {
                i: t for i, t in marks.items() if now_s - t < LEAVING_KEPT_S
            }

    def name_start(self, name: str) -> str:
        """Returns the name of an upstream's present start."""
        upstream = self.upstreams.get(name)
        return f"{name}{START_MARK}{upstream.incarnation if upstream else ''}"

    def note_backoff(self, name: str, backoff_s: float, now_s: float) -> None:
        """Takes that an upstream wants nothing from this router for a while."""
        self._backoffs = {i: t for i, t in self._backoffs.items() if now_s < t}
        start = self.name_start(name)
        until_s = max(now_s + backoff_s, self._backoffs.get(start, 0.0))
        self._backoffs[start] = until_s

    def get_backoff_s(self, name: str, now_s: float) -> float:
        """Returns how long an upstream still backoffs, in seconds."""
        until_s = self._backoffs.get(self.name_start(name), now_s)
        return max(0.0, until_s - now_s)

    def list_backing_off(self, now_s: float) -> frozenset[str]:
        """Returns the upstreams that rest."""
        if not self._backoffs:
            return frozenset()
        return frozenset(
            n for n in self.upstreams if self.get_backoff_s(n, now_s)
        )

    def look_at(self, start: str) -> quarantine.UpstreamState:
        """Returns what is known of an upstream's start after a cut.

        It is not asked; the list tells of another start some seconds later.
        """
        name = start.rpartition(START_MARK)[0]
        if name not in self.upstreams or self.name_start(name) != start:
            return quarantine.UpstreamState.CRASHED
        return quarantine.UpstreamState.UNKNOWN

    def list_usable(self, service: str) -> list[tables.Upstream]:
        """Returns a plain service's replicas that may be given a call."""
        return [
            u
            for u in self.upstreams.values()
            if u.service == service and self._is_usable(u.name)
        ]

    def begin_probes(self, routers: int, now_s: float) -> None:
        """Lets a request through to upstreams that were down for long enough.

        Spread over the routers: each lets one begin with a chance that makes
        about one in all routers a second.
        """
        probing = False
        for load in self.loads.values():
            if loads.is_probe_due(load, now_s) and (
                self._rng.random() < 1.0 / routers
            ):
                load.health = loads.Health.PROBING
                probing = True
        if probing:
            self.rebuild()

    def note_result(self, name: str, is_ok: bool, now_s: float) -> None:
        """Learns from a plain service's answer or its absence."""
        load = self.loads.get(name)
        if load is None:
            return
        if is_ok:
            changed = loads.note_success(load, now_s)
        else:
            changed = loads.note_failure(load, now_s, self._rng, sure=True)
        if changed:
            self.rebuild()

    def note_tokens(
        self, path: graphs.Path, message: requests.Progress, now_s: float
    ) -> None:
        """Learns from tokens that came over a path."""
        previous = ""
        changed = False
        token_s = message.seconds / max(1, message.tokens)
        for edge in path.edges:
            changed |= loads.note_success(self.loads[edge.upstream], now_s)
            if message.tokens > 1:
                key = (previous, edge.upstream)
                link = self.links.setdefault(key, loads.LinkSpeed())
                loads.note_speed(link, token_s, now_s)
            previous = edge.upstream
        if message.load >= 0:
            loads.note_report(self.loads[previous], message.load, now_s)
        if changed:
            self.rebuild()

    def blame(
        self,
        ticket: requests.Ticket,
        path: graphs.Path | None,
        failure: requests.Failure,
        now_s: float,
    ) -> None:
        """Learns from a failed attempt which upstreams to avoid."""
        changed = False
        if failure.leaving and failure.leaving in self.upstreams:
            ticket.failed.add(failure.leaving)
            self.note_leaving(failure.leaving, now_s)
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
            self.rebuild()

    def _is_usable(self, name: str) -> bool:
        upstream = self.upstreams.get(name)
        if upstream is None or upstream.leaving:
            return False
        if upstream.incarnation in self.leaving.get(name, {}):
            return False
        return self.loads[name].health is not loads.Health.DOWN

    def rebuild(self) -> None:
        """Builds the graphs anew; called when an upstream comes or goes."""
        speeds = {n: u.layers_per_s for n, u in self.upstreams.items()}
        built: dict[str, graphs.Graph] = {}
        for binding in self.bindings.values():
            key = make_graph_key(binding)
            if key in built:
                continue
            found = [
                self.deployments[n]
                for n in binding.deployments
                if n in self.deployments
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
        self.graphs = built


def make_graph_key(binding: records.Binding) -> str:
    """Returns the name of the graph a binding's requests go through."""
    return "+".join(binding.deployments)
