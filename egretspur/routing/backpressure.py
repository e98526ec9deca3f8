"""Backpressure that upstreams signal to one host in their answers: pure.

Upstreams set rate limits, ask for backoffs and announce that they leave. Read
next: `egretspur.admission.throttle`, `egretspur.routing.health`.
"""

from __future__ import annotations

import math
import random
from collections.abc import Container, Mapping
from typing import Final

import attrs

from egretspur import decisions, signals
from egretspur.admission import throttle
from egretspur.catalog import upstreams
from egretspur.routing import health, paths

# A backoff lasts up to this fraction longer than asked for.
BACKOFF_JITTER: Final = 0.1


class Backpressure:
    """Limits, backoffs and announced departures of upstreams."""

    def __init__(
        self,
        data_centre: str,
        roster: upstreams.Roster,
        state: health.Health,
        limits: throttle.Throttle,
        log_events: list[decisions.Decision],
        rng: random.Random,
    ) -> None:
        """Makes a state without limits, backoffs or departures.

        Args:
            data_centre: Of this host.
            roster: The listed upstreams.
            state: Health of the upstreams, with their backoffs.
            limits: This host's shares of their rate limits.
            log_events: Receives changes of limits and states for the log.
            rng: Draws how much longer than asked for a backoff lasts.
        """
        # Number of times that a limit was set, changed or lifted.
        self.changes = 0
        self._data_centre = data_centre
        self._roster = roster
        self._health = state
        self._throttle = limits
        self._log_events = log_events
        self._rng = rng
        # Upstreams that announced in an answer that they leave.
        self._leaving: set[str] = set()

    def apply_peer_limits(
        self,
        host: str,
        data_centre: str,
        limits: Mapping[str, throttle.PublishedLimit],
        now_s: float,
    ) -> None:
        """Merges the limits in a peer update.

        Args:
            host: Sender of the update.
            data_centre: Data centre of that host.
            limits: By upstream.
            now_s: Monotonic time.
        """
        for upstream_id, limit in limits.items():
            if (
                upstream_id in self._roster.entries
                and self._throttle.apply_peer_update(
                    host, data_centre, upstream_id, limit, now_s
                )
            ):
                self._log_limit(upstream_id, limit.per_s, False)

    def apply_signals(
        self, upstream_id: str, answer: signals.Signals, now_s: float
    ) -> None:
        """Applies the signals that came with an upstream's answer.

        Args:
            upstream_id: The upstream, which may have left the list.
            answer: Its signals.
            now_s: Monotonic time.
        """
        for value in (answer.per_s, answer.backoff_s):
            if isinstance(value, signals.Unreadable):
                self._record_unreadable(upstream_id, value)
        if upstream_id not in self._roster.entries:
            return
        if answer.is_leaving:
            self._record_leaving(upstream_id)
        if isinstance(answer.backoff_s, float):
            self._record_backoff(upstream_id, answer.backoff_s, now_s)
        if not isinstance(answer.per_s, signals.Unreadable):
            self._record_limit(upstream_id, answer.per_s, now_s)

    def _record_unreadable(
        self, upstream_id: str, value: signals.Unreadable
    ) -> None:
        if self._throttle.record_unreadable(upstream_id):
            self._log_events.append(
                decisions.EntryLeftOut(
                    "answers", upstream_id, value.field, value.problem
                )
            )

    def _record_limit(
        self, upstream_id: str, per_s: float | None, now_s: float
    ) -> None:
        """Records the limit in an upstream's answer; None if it had none."""
        if self._throttle.record_limit(upstream_id, per_s, now_s):
            self._log_limit(upstream_id, per_s, True)

    def _record_backoff(
        self, upstream_id: str, asked_s: float, now_s: float
    ) -> None:
        """Records a backoff that an upstream asked this host for.

        With jitter, so that hosts that got the signal together do not resume
        together.
        """
        backoff_s = asked_s * (1.0 + self._rng.uniform(0.0, BACKOFF_JITTER))
        self._health.record_backoff(upstream_id, now_s + backoff_s)
        self._log_state(upstream_id, "backoff", f"asked for {backoff_s:g} s")

    def _record_leaving(self, upstream_id: str) -> None:
        """Records that an upstream announced that it leaves."""
        if upstream_id not in self._leaving:
            self._leaving.add(upstream_id)
            self._log_state(upstream_id, "draining", "says so in its answers")

    def is_leaving(self, entry: upstreams.Upstream) -> bool:
        """Tells whether an upstream leaves, by its entry or its answers."""
        return entry.is_draining or entry.id in self._leaving

    def is_unrestricted(self, upstream_id: str) -> bool:
        """Tells whether an upstream has no limit or backoff; thread-safe."""
        return (
            upstream_id not in self._throttle.limited
            and upstream_id not in self._health.backoffs
        )

    def try_acquire_probe(self, upstream_id: str, now_s: float) -> bool:
        """Counts a probe as a request, if the upstream accepts one now.

        Limits and backoffs hold for probes as for any other request.

        Returns:
            Whether the probe may be sent.
        """
        is_backing_off = self._health.is_backing_off(upstream_id, now_s)
        if is_backing_off or not self._throttle.can_send(upstream_id, now_s):
            return False
        self._throttle.record_send(upstream_id, now_s)
        return True

    def apply_limit(
        self, candidate: paths.Candidate, now_s: float
    ) -> paths.Candidate | None:
        """Removes the first layer from a candidate that is at its limit.

        Hosts send requests to a path's first engine only, so an engine at its
        limit may still run later layers of a path.

        Returns:
            None if the candidate has no other layer.
        """
        if candidate.first or self._throttle.can_send(candidate.id, now_s):
            return candidate
        return attrs.evolve(candidate, first=1) if candidate.last > 1 else None

    def record_demand(self, service: str, now_s: float) -> None:
        """Counts a request as demand, by which hosts share limits.

        It counts for engines of this data centre while one of them accepts
        more requests, otherwise for all.
        """
        if not self._throttle.limited:
            return
        entries = self._list_usable_entry_upstreams(service, now_s)
        near = [
            e
            for e in entries
            if e.accelerator and e.data_centre == self._data_centre
        ]
        if any(self._throttle.can_send(e.id, now_s) for e in near):
            entries = near
        ids = {e.id for e in entries}
        self._throttle.demand.record_request(
            ids & self._throttle.limited, now_s
        )

    def find_opening(
        self, service: str, now_s: float
    ) -> throttle.Opening | None:
        """Returns when a service that only limits hold back accepts requests.

        None if a usable upstream has no limit, or if none is usable.
        """
        if not self._throttle.limited:
            return None
        ids = {e.id for e in self._list_usable_entry_upstreams(service, now_s)}
        if not ids <= self._throttle.limited:
            return None
        return self._throttle.find_opening(ids, now_s)

    def find_backoff_s(self, service: str, now_s: float) -> float | None:
        """Returns the time until the first of a service's backoffs ends.

        None unless all upstreams that requests are sent to are backing off.
        """
        backoffs = self._health.backoffs
        if not backoffs:
            return None
        ends_s = [
            backoffs.get(e.id, -math.inf)
            for e in self._list_entry_upstreams(service)
        ]
        if not ends_s or min(ends_s) <= now_s:
            return None
        return min(ends_s) - now_s

    def remove_unlisted(self, listed: Container[str]) -> None:
        """Drops the state of upstreams that are no longer listed."""
        self._throttle.remove_unlisted(listed)
        self._leaving = {i for i in self._leaving if i in listed}

    def _list_entry_upstreams(self, service: str) -> list[upstreams.Upstream]:
        """Returns the listed upstreams that hosts send requests to.

        Of engines, those that hold the first layer.
        """
        return [
            e
            for e in self._roster.entries.values()
            if e.service == service
            and not self.is_leaving(e)
            and not self._health.is_down(e.id)
            and (not e.accelerator or (e.layers and e.layers.first == 0))
        ]

    def _list_usable_entry_upstreams(
        self, service: str, now_s: float
    ) -> list[upstreams.Upstream]:
        """Returns the entry upstreams that may get requests."""
        return [
            e
            for e in self._list_entry_upstreams(service)
            if e.id not in self._roster.unreadable
            and self._health.is_usable(e.id, now_s)
        ]

    def _log_limit(
        self, upstream_id: str, per_s: float | None, is_own: bool
    ) -> None:
        self.changes += 1
        self._log_events.append(
            decisions.UpstreamLimited(upstream_id, per_s, is_own)
        )

    def _log_state(self, upstream_id: str, state: str, reason: str) -> None:
        self._log_events.append(
            decisions.UpstreamChanged(upstream_id, state, reason)
        )
