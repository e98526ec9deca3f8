"""One router's view of the upstreams, and its routing graphs: pure.

Holds the tables from the control daemon, the upstreams marked as leaving, and
the observed loads and speeds. The graphs are rebuilt when an upstream becomes
usable or unusable. Read next: `egretspur.routing.dispatch`.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from typing import Final

from egretspur.admission import quarantine
from egretspur.intents import records
from egretspur.routing import graph as graphs
from egretspur.routing import loads, requests, tables

# Retention of a leaving mark; far above the lag of the platform's list.
LEAVING_RETENTION_S: Final = 3600.0


# Separates an upstream's name from its incarnation in an incarnation id.
ID_SEPARATOR: Final = "@"


class Network:
    """Upstreams, deployments and bindings as one router sees them."""

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self.loads: dict[str, loads.UpstreamLoad] = {}
        self.links: dict[tuple[str, str], loads.LinkSpeed] = {}
        # Offset of the table in force; 0 before the first table.
        self.offset = 0
        # Leaving incarnations by upstream, with the time of the mark.
        self.leaving: dict[str, dict[str, float]] = {}
        # Deadlines of the backoffs that incarnations asked of this router.
        self._backoffs: dict[str, float] = {}
        self.upstreams: dict[str, tables.Upstream] = {}
        self.deployments: dict[str, records.Deployment] = {}
        self.bindings: dict[str, records.Binding] = {}
        self.graphs: dict[str, graphs.Graph] = {}

    def apply_table(self, table: tables.RoutingTable) -> bool:
        """Puts a table in force unless a newer one is.

        The graphs stay unchanged until `rebuild`.

        Returns:
            False if the table is older than the one in force.
        """
        if table.offset < self.offset:
            # A control daemon that just started may have older state than
            # this router; applying it would revert a change.
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
        """Marks incarnations as leaving, given by upstream."""
        for name, incarnations in marks.items():
            for incarnation in incarnations:
                known = self.leaving.setdefault(name, {})
                known.setdefault(incarnation, now_s)

    def note_leaving(self, name: str, now_s: float) -> bool:
        """Marks an upstream that reports leaving; returns whether it is new."""
        incarnation = self.upstreams[name].incarnation
        marks = self.leaving.setdefault(name, {})
        if incarnation in marks:
            return False
        marks[incarnation] = now_s
        self.rebuild()
        return True

    def expire_leaving_marks(self, now_s: float) -> None:
        """Drops expired marks, whose incarnations are gone by then."""
        for name, marks in list(self.leaving.items()):
            self.leaving[name] = {
                i: t
                for i, t in marks.items()
                if now_s - t < LEAVING_RETENTION_S
            }

    def make_incarnation_id(self, name: str) -> str:
        """Returns the id of an upstream's current incarnation."""
        upstream = self.upstreams.get(name)
        return f"{name}{ID_SEPARATOR}{upstream.incarnation if upstream else ''}"

    def note_backoff(self, name: str, backoff_s: float, now_s: float) -> None:
        """Records that an upstream asked this router to back off."""
        self._backoffs = {i: t for i, t in self._backoffs.items() if now_s < t}
        incarnation_id = self.make_incarnation_id(name)
        until_s = max(
            now_s + backoff_s, self._backoffs.get(incarnation_id, 0.0)
        )
        self._backoffs[incarnation_id] = until_s

    def get_backoff_s(self, name: str, now_s: float) -> float:
        """Returns the remaining backoff of an upstream, in seconds."""
        until_s = self._backoffs.get(self.make_incarnation_id(name), now_s)
        return max(0.0, until_s - now_s)

    def list_backing_off(self, now_s: float) -> frozenset[str]:
        """Returns the upstreams that are in a backoff."""
        if not self._backoffs:
            return frozenset()
        return frozenset(
            n for n in self.upstreams if self.get_backoff_s(n, now_s)
        )

    def get_incarnation_state(
        self, incarnation_id: str
    ) -> quarantine.UpstreamState:
        """Returns whether an incarnation has ended, for a cut attempt.

        The upstream is not probed: the platform's list shows its next
        incarnation some seconds later.
        """
        name = incarnation_id.rpartition(ID_SEPARATOR)[0]
        if (
            name not in self.upstreams
            or self.make_incarnation_id(name) != incarnation_id
        ):
            return quarantine.UpstreamState.CRASHED
        return quarantine.UpstreamState.UNKNOWN

    def is_incarnation_usable(self, incarnation_id: str) -> bool:
        """Returns whether an incarnation runs as far as is known."""
        name = incarnation_id.rpartition(ID_SEPARATOR)[0]
        state = self.get_incarnation_state(incarnation_id)
        is_crashed = state is quarantine.UpstreamState.CRASHED
        return not is_crashed and self.is_usable(name)

    def list_usable(self, service: str) -> list[tables.Upstream]:
        """Returns the usable replicas of a plain service."""
        return [
            u
            for u in self.upstreams.values()
            if u.service == service and self.is_usable(u.name)
        ]

    def begin_probes(self, routers: int, now_s: float) -> None:
        """Lets one request probe each upstream that was down long enough.

        Each router begins a probe with a probability such that all routers
        together begin about one a second.
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
        """Records whether a plain service's replica answered."""
        load = self.loads.get(name)
        if load is None:
            return
        if is_ok:
            changed = loads.note_success(load, now_s)
        else:
            changed = loads.note_failure(
                load, now_s, self._rng, is_attributed=True
            )
        if changed:
            self.rebuild()

    def note_tokens(
        self, path: graphs.Path, message: requests.Progress, now_s: float
    ) -> None:
        """Records tokens received over a path."""
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

    def record_failure(
        self,
        ticket: requests.Ticket,
        path: graphs.Path | None,
        failure: requests.Failure,
        now_s: float,
    ) -> None:
        """Records a failed attempt against the upstreams that may have failed.

        The request avoids these upstreams in its later attempts.
        """
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
                        load, now_s, self._rng, is_attributed=True
                    )
            else:
                ticket.suspected.add(edge.upstream)
                changed |= loads.note_failure(
                    load, now_s, self._rng, is_attributed=len(edges) == 1
                )
        if changed:
            self.rebuild()

    def is_usable(self, name: str) -> bool:
        """Returns whether an upstream is listed, stays, and is not down."""
        upstream = self.upstreams.get(name)
        if upstream is None or upstream.leaving:
            return False
        if upstream.incarnation in self.leaving.get(name, {}):
            return False
        return self.loads[name].health is not loads.Health.DOWN

    def rebuild(self) -> None:
        """Rebuilds the graphs after a change of the usable upstreams."""
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
                self.is_usable,
            )
        self.graphs = built


def make_graph_key(binding: records.Binding) -> str:
    """Returns the key of the graph that a binding's requests use."""
    return "+".join(binding.deployments)
