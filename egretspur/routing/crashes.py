"""Detects requests under which upstreams crashed, as a pure state machine.

Connects the quarantine, which tracks requests and prompt segments, with the
fleet, which tracks upstreams. Read next: `egretspur.admission.quarantine`.
"""

from __future__ import annotations

from collections.abc import Mapping

from egretspur import decisions
from egretspur.admission import quarantine as quarantines
from egretspur.admission import segments
from egretspur.routing import detection, jobs
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

    def note_cut(self, cut: quarantines.CutAttempt, now_s: float) -> None:
        """Records that an upstream of an attempt may have crashed."""
        if not cut.upstreams:
            return
        self._quarantine.record_cut(cut, now_s)
        self.settle(now_s)

    def note_established(self, job: jobs.Job, now_s: float) -> None:
        """Records that the answer to a request is established."""
        self._quarantine.record_established(job.segments, now_s)
        self._note_changes()

    def settle(self, now_s: float) -> None:
        """Counts the upstreams that are known by now to have crashed."""
        self._quarantine.resolve_cuts(self._get_state, now_s)
        self._note_changes()

    def apply_evidence(self, update: segments.Update, now_s: float) -> None:
        """Merges what another host knows of segments."""
        self._quarantine.apply_evidence(update, now_s)
        self._note_changes()

    def restore(
        self, ends: Mapping[str, quarantines.CrashWeights], now_s: float
    ) -> None:
        """Applies the quarantine as the store has it."""
        self._quarantine.apply_peer_update(ends, now_s)
        self._note_changes()

    def take_unsaved(self) -> list[quarantines.Change]:
        """Returns the quarantine changes to be written to the store."""
        unsaved, self._unsaved = self._unsaved, []
        return unsaved

    def _get_state(self, upstream_id: str) -> quarantines.UpstreamState:
        """Returns the state of an upstream whose answer was cut."""
        return detection.get_state(self._fleet, upstream_id)

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
