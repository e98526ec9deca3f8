"""Requests under which upstreams ended, as one host finds out: pure.

Joins the quarantine, which knows requests, with the fleet, which knows
upstreams. Read next: `egretspur.admission.quarantine`.
"""

from __future__ import annotations

from collections.abc import Mapping

from egretspur import decisions
from egretspur.admission import quarantine as quarantines
from egretspur.routing import fleet as fleets


class Crashes:
    """See the module's docstring."""

    def __init__(
        self, quarantine: quarantines.Quarantine, fleet: fleets.Fleet
    ) -> None:
        """Makes a state that has seen nothing.

        Args:
            quarantine: What is known of requests.
            fleet: What is known of upstreams.
        """
        # Changes of the quarantine, for the log; whoever writes them clears it.
        self.notes: list[decisions.Decision] = []
        self._quarantine = quarantine
        self._fleet = fleet
        # Changes that the store is to be told of.
        self._unsaved: list[quarantines.Change] = []

    def note_cut(
        self,
        fingerprint: str,
        upstream_ids: tuple[str, ...],
        has_brought: bool,
        now_s: float,
    ) -> None:
        """Takes that one of these upstreams may have ended under a request."""
        if not upstream_ids:
            return
        self._quarantine.record_cut(
            quarantines.CutAttempt(
                fingerprint, upstream_ids, has_brought, now_s
            ),
            now_s,
        )
        self.settle(now_s)

    def settle(self, now_s: float) -> None:
        """Counts the upstreams that have turned out to have ended."""
        self._quarantine.resolve_cuts(self._look_at, now_s)
        self._note_changes()

    def restore(
        self, ends: Mapping[str, quarantines.CrashWeights], now_s: float
    ) -> None:
        """Takes what the store says of requests in quarantine."""
        self._quarantine.apply_peer_update(ends, now_s)
        self._note_changes()

    def take_unsaved(self) -> list[quarantines.Change]:
        """Returns what the store is to be told of the quarantine."""
        unsaved, self._unsaved = self._unsaved, []
        return unsaved

    def _look_at(self, upstream_id: str) -> quarantines.UpstreamState:
        """Returns what is known of an upstream whose answer was cut."""
        if upstream_id not in self._fleet.roster.entries:
            return quarantines.UpstreamState.CRASHED
        failed = self._fleet.health.failed.get(upstream_id)
        if failed is None:
            return quarantines.UpstreamState.ALIVE
        if failed.is_down:
            return quarantines.UpstreamState.CRASHED
        return quarantines.UpstreamState.UNKNOWN

    def _note_changes(self) -> None:
        for change in self._quarantine.take_changes():
            self.notes.append(
                decisions.QuarantineChanged(
                    change.fingerprint,
                    bool(change.crashes),
                    len(change.crashes),
                    change.is_own,
                )
            )
            if change.is_own:
                self._unsaved.append(change)
