"""Detects requests under which upstreams crashed, as a pure state machine.

Connects the quarantine, which tracks requests, with the fleet, which tracks
upstreams. Read next: `egretspur.admission.quarantine`.
"""

from __future__ import annotations

from collections.abc import Mapping

from egretspur import decisions
from egretspur.admission import quarantine as quarantines
from egretspur.routing import fleet as fleets


class CrashDetector:
    """See the module's docstring."""

    def __init__(
        self, quarantine: quarantines.Quarantine, fleet: fleets.Fleet
    ) -> None:
        """Creates a detector.

        Args:
            quarantine: State of requests; updated by the detector.
            fleet: State of upstreams; only read.
        """
        # Quarantine changes to be logged; the caller that logs them clears it.
        self.notes: list[decisions.Decision] = []
        self._quarantine = quarantine
        self._fleet = fleet
        # Changes to be written to the store.
        self._unsaved: list[quarantines.Change] = []

    def note_cut(
        self,
        fingerprint: str,
        upstream_ids: tuple[str, ...],
        has_output: bool,
        now_s: float,
    ) -> None:
        """Records that one of these upstreams may have crashed."""
        if not upstream_ids:
            return
        self._quarantine.note_cut(
            quarantines.Cut(fingerprint, upstream_ids, has_output, now_s),
            now_s,
        )
        self.settle(now_s)

    def settle(self, now_s: float) -> None:
        """Counts the upstreams that are known by now to have crashed."""
        self._quarantine.settle(self._get_state, now_s)
        self._note_changes()

    def restore(
        self, ends: Mapping[str, quarantines.Ends], now_s: float
    ) -> None:
        """Applies the quarantine as the store has it."""
        self._quarantine.hear(ends, now_s)
        self._note_changes()

    def take_unsaved(self) -> list[quarantines.Change]:
        """Returns the quarantine changes to be written to the store."""
        unsaved, self._unsaved = self._unsaved, []
        return unsaved

    def _get_state(self, upstream_id: str) -> quarantines.State:
        """Returns the state of an upstream whose answer was cut."""
        if upstream_id not in self._fleet.roster.entries:
            return quarantines.State.ENDED
        failed = self._fleet.health.failed.get(upstream_id)
        if failed is None:
            return quarantines.State.ALIVE
        if failed.is_down:
            return quarantines.State.ENDED
        return quarantines.State.UNKNOWN

    def _note_changes(self) -> None:
        for change in self._quarantine.take_changes():
            self.notes.append(
                decisions.QuarantineChanged(
                    change.fingerprint,
                    bool(change.ends),
                    len(change.ends),
                    change.is_own,
                )
            )
            if change.is_own:
                self._unsaved.append(change)
