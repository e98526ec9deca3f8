"""What upstreams ask of one host in their answers, and who may take work: pure.

Limits of requests a second, rest, and an upstream's own word that it leaves.
Read next: `egretspur.admission.throttle`, `egretspur.routing.health`.
"""

from __future__ import annotations

import math
from collections.abc import Container, Mapping

import attrs

from egretspur import decisions
from egretspur.admission import throttle
from egretspur.catalog import upstreams
from egretspur.routing import health, paths


class Backpressure:
    """See the module's docstring."""

    def __init__(
        self,
        data_centre: str,
        roster: upstreams.Roster,
        state: health.Health,
        limits: throttle.Throttle,
        notes: list[decisions.Decision],
    ) -> None:
        """Makes a state in which no upstream has asked for anything.

        Args:
            data_centre: Of this host.
            roster: The listed upstreams.
            state: Their health, with the backoffs that they asked for.
            limits: This host's part of their limits.
            notes: What changes, for the log.
        """
        # Limits that were named anew, or lifted.
        self.changes = 0
        self._data_centre = data_centre
        self._roster = roster
        self._health = state
        self._throttle = limits
        self._notes = notes
        # Upstreams that said in an answer that they leave.
        self._leaving: set[str] = set()

    def hear(
        self,
        host: str,
        data_centre: str,
        limits: Mapping[str, throttle.PublishedLimit],
        now_s: float,
    ) -> None:
        """Takes the limits that another host knows.

        Args:
            host: Who told them.
            data_centre: Of that host.
            limits: By upstream.
            now_s: Monotonic time.
        """
        for upstream_id, told in limits.items():
            if (
                upstream_id in self._roster.entries
                and self._throttle.apply_peer_update(
                    host, data_centre, upstream_id, told, now_s
                )
            ):
                self._note_limit(upstream_id, told.per_s, False)

    def note_limit(
        self, upstream_id: str, per_s: float | None, now_s: float
    ) -> None:
        """Takes the limit that an upstream's answer named, or that none was."""
        if self._throttle.record_limit(upstream_id, per_s, now_s):
            self._note_limit(upstream_id, per_s, True)

    def note_backoff(
        self, upstream_id: str, backoff_s: float, now_s: float
    ) -> None:
        """Takes that an upstream wants nothing from this host for a while."""
        self._health.note_backoff(upstream_id, now_s + backoff_s)
        self._note_changed(upstream_id, "backoff", f"asked for {backoff_s:g} s")

    def note_leaving(self, upstream_id: str) -> None:
        """Takes an upstream's own word that it leaves."""
        if upstream_id not in self._leaving:
            self._leaving.add(upstream_id)
            self._note_changed(
                upstream_id, "draining", "says so in its answers"
            )

    def is_leaving(self, entry: upstreams.Upstream) -> bool:
        """Tells whether an upstream leaves, by its entry or its answers."""
        return entry.is_draining or entry.id in self._leaving

    def is_free(self, upstream_id: str) -> bool:
        """Tells whether an upstream has asked for nothing; from any thread."""
        return (
            upstream_id not in self._throttle.limited
            and upstream_id not in self._health.backoffs
        )

    def may_ask(self, upstream_id: str, now_s: float) -> bool:
        """Tells whether an upstream may be asked something; counts it.

        A question is a request as any other to one that takes only so many, or
        nothing for now.
        """
        is_backing_off = self._health.is_backing_off(upstream_id, now_s)
        if is_backing_off or not self._throttle.can_send(upstream_id, now_s):
            return False
        self._throttle.record_send(upstream_id, now_s)
        return True

    def hold_back(self, card: paths.Card, now_s: float) -> paths.Card | None:
        """Returns what an engine offers within its limit.

        Requests are sent to a path's first engine. One at its limit may still
        run its part of what comes to it from others.
        """
        if card.first or self._throttle.can_send(card.id, now_s):
            return card
        return attrs.evolve(card, first=1) if card.last > 1 else None

    def note_wanted(self, service: str, now_s: float) -> None:
        """Counts a request for the parts of limits that hosts have.

        It goes to an engine near by if it can; the others are wanted only
        where those near by take no more.
        """
        if not self._throttle.limited:
            return
        takers = self._list_usable_takers(service, now_s)
        near = [
            e
            for e in takers
            if e.accelerator and e.data_centre == self._data_centre
        ]
        if any(self._throttle.can_send(e.id, now_s) for e in near):
            takers = near
        ids = {e.id for e in takers}
        self._throttle.demand.record_request(
            ids & self._throttle.limited, now_s
        )

    def find_opening(
        self, service: str, now_s: float
    ) -> throttle.Opening | None:
        """Returns when a service takes more, where limits alone hold it back.

        None where an upstream takes requests that are not held back by its
        limit, or where there is none at all.
        """
        if not self._throttle.limited:
            return None
        takers = {e.id for e in self._list_usable_takers(service, now_s)}
        if not takers <= self._throttle.limited:
            return None
        return self._throttle.find_opening(takers, now_s)

    def find_backoff_s(self, service: str, now_s: float) -> float | None:
        """Returns how long all of a service's upstreams still rest.

        None if one of them does not.
        """
        backoffs = self._health.backoffs
        if not backoffs:
            return None
        ends_s = [
            backoffs.get(e.id, -math.inf) for e in self._list_takers(service)
        ]
        if not ends_s or min(ends_s) <= now_s:
            return None
        return min(ends_s) - now_s

    def forget(self, listed: Container[str]) -> None:
        """Drops what is known of upstreams that are no longer listed."""
        self._throttle.remove_unlisted(listed)
        self._leaving = {i for i in self._leaving if i in listed}

    def _list_takers(self, service: str) -> list[upstreams.Upstream]:
        """Returns the listed upstreams that requests are sent to.

        Of engines those that hold the first layer.
        """
        return [
            e
            for e in self._roster.entries.values()
            if e.service == service
            and not self.is_leaving(e)
            and not self._health.is_down(e.id)
            and (not e.accelerator or (e.layers and e.layers.first == 0))
        ]

    def _list_usable_takers(
        self, service: str, now_s: float
    ) -> list[upstreams.Upstream]:
        """Returns those of them that may be given work."""
        return [
            e
            for e in self._list_takers(service)
            if e.id not in self._roster.unreadable
            and self._health.is_usable(e.id, now_s)
        ]

    def _note_limit(
        self, upstream_id: str, per_s: float | None, is_own: bool
    ) -> None:
        self.changes += 1
        self._notes.append(
            decisions.UpstreamLimited(upstream_id, per_s, is_own)
        )

    def _note_changed(self, upstream_id: str, state: str, reason: str) -> None:
        self._notes.append(
            decisions.UpstreamChanged(upstream_id, state, reason)
        )
