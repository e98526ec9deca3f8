"""Detects requests under which upstreams crashed, as a pure state machine.

Connects the quarantine, which tracks requests and prompt segments, with the
fleet, which tracks upstreams. Read next: `egretspur.admission.quarantine`.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from egretspur import decisions
from egretspur.admission import quarantine as quarantines
from egretspur.admission import segments
from egretspur.routing import detection, jobs
from egretspur.routing import fleet as fleets

# How long an answer is doubtful whose end only a connection told: the list
# shows by then that an upstream has ended, if no request has found out before.
DOUBT_S: Final = quarantines.SILENCE_CHECK_S

# How long after the end of an upstream answers may still arrive from it.
IN_FLIGHT_S: Final = 0.5


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
        # Answers whose upstreams may have crashed, as cut attempts.
        self._doubtful: list[quarantines.CutAttempt] = []
        # Changes to be written to the store.
        self._unsaved: list[quarantines.Change] = []

    def note_cut(self, cut: quarantines.CutAttempt, now_s: float) -> None:
        """Records that an upstream of an attempt may have crashed."""
        if not cut.upstreams:
            return
        self._quarantine.record_cut(cut, now_s)
        self.settle(now_s)

    def note_doubtful(self, cut: quarantines.CutAttempt) -> None:
        """Records an answer whose end only a connection told.

        It counts as a crash if an upstream of it is found to have ended, and as
        an answer if none is.

        Args:
            cut: The attempt, as if it had been cut.
        """
        self._doubtful.append(cut)

    def note_established(self, job: jobs.Job, now_s: float) -> None:
        """Records that the answer to a request is established."""
        self._quarantine.record_established(job.segments, now_s)
        self._note_changes()

    def settle(self, now_s: float) -> None:
        """Counts the upstreams that are known by now to have crashed."""
        self._settle_doubtful(now_s)
        self._quarantine.resolve_cuts(self._get_state, now_s)
        self._note_changes()

    def _settle_doubtful(self, now_s: float) -> None:
        """Decides which doubtful answers were crashes, and which answers."""
        doubtful, self._doubtful = self._doubtful, []
        for cut in doubtful:
            states = {self._get_state(i) for i in cut.upstreams}
            if quarantines.UpstreamState.CRASHED in states:
                self._quarantine.record_cut(cut, now_s)
            elif now_s - cut.at_s < DOUBT_S and not self._have_answered(cut):
                self._doubtful.append(cut)
            elif states == {quarantines.UpstreamState.ALIVE}:
                self._quarantine.record_established(cut.segments, now_s)
                self._quarantine.record_answer(cut.fingerprint, now_s)

    def _have_answered(self, cut: quarantines.CutAttempt) -> bool:
        """Returns whether its upstreams have shown since that they live."""
        since_s = cut.at_s + IN_FLIGHT_S
        return all(
            self._fleet.health.has_answered_since(i, since_s)
            for i in cut.upstreams
        )

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
