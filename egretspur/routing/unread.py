"""Finds what upstreams may still read, of this process or earlier ones: pure.

Combines what was sent (`egretspur.admission.arrivals`) with the list of
upstreams and their probes, which show that one has ended, or that it accepts
connections and answers nothing.
"""

from __future__ import annotations

from egretspur.admission import repeats
from egretspur.routing import detection
from egretspur.routing import fleet as fleets


class UnreadRequests:
    """Keeps one host's knowledge of unread requests up to date."""

    def __init__(
        self, state: fleets.Fleet, budgets: repeats.RetryBudgets
    ) -> None:
        """Makes it.

        Args:
            state: Upstreams.
            budgets: Retry budgets, which count what may still be read.
        """
        self._fleet = state
        self._arrivals = budgets.arrivals
        self._backlogs = budgets.backlogs
        # Upstreams in the first list that was read. Only these may hold
        # requests of an earlier process.
        self._first_listed: frozenset[str] = frozenset()

    def update(self, now_s: float) -> None:
        """Notes backlogs, and upstreams that ended with what they held."""
        listed = self._fleet.roster.entries
        self._first_listed = self._first_listed or frozenset(listed)
        for upstream_id in (
            *self._arrivals.list_unproven(now_s),
            *self._fleet.health.list_mute(),
        ):
            if upstream_id in self._first_listed and upstream_id in listed:
                service = listed[upstream_id].service
                self._backlogs.note(service, upstream_id, now_s)
        for upstream_id in {
            *self._arrivals.list_pending(),
            *self._backlogs.list_upstreams(),
        }:
            if not detection.explain_end(self._fleet, upstream_id):
                continue
            self._backlogs.drop(upstream_id)
            if detection.has_ended(self._fleet, upstream_id):
                self._arrivals.note_end(upstream_id, now_s)
            else:
                self._arrivals.note_lost(upstream_id, now_s)
        self._arrivals.remove_unused(listed)

    def suspect_silent(self, now_s: float) -> None:
        """Has plain replicas probed that answer nothing of what they are sent.

        Engines are probed once their streams are silent.
        """
        for upstream_id in self._arrivals.take_suspects(now_s):
            entry = self._fleet.roster.entries.get(upstream_id)
            if entry is not None and not entry.accelerator:
                self._fleet.health.suspect(upstream_id, now_s)
