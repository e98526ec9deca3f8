"""Which health and pace probes a host sends, and when: pure.

Probes that are likely to find an upstream dead or back are sent at once. All
others share a limit of their own: with hundreds of dead or full engines,
control calls took a tenth of a host's processor time. Read next:
`egretspur.routing.sharing`.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Container
from typing import Final

from egretspur.routing import health, paces, sharing

# Most probes in any second that are not urgent. Urgent ones don't count: they
# may go on for as long as some upstream fails, and would hold all others back.
MAX_ROUTINE_PROBES_PER_S: Final = 4


class ProbeSchedule:
    """Bounds the probes of one host."""

    def __init__(
        self, state: health.Health, speeds: paces.Paces, host: str
    ) -> None:
        """Makes a schedule.

        Args:
            state: Health of the upstreams.
            speeds: Paces of the engines.
            host: This host's address as others know it.
        """
        self._health = state
        self._paces = speeds
        self._shares = sharing.CheckShares(host)
        # Times of the routine probes within the last second.
        self._routine_s: list[float] = []

    def apply_peer_suspects(
        self, host: str, suspects: Collection[str], now_s: float
    ) -> None:
        """Records the upstreams that a host of this data centre suspects."""
        for upstream_id in self._shares.apply_peer_update(
            host, suspects, now_s
        ):
            self._health.advance_probe(upstream_id, now_s)

    def take_due(
        self,
        listed: Container[str],
        try_acquire: Callable[[str, float], bool],
        now_s: float,
    ) -> list[str]:
        """Returns the upstreams to probe now.

        Args:
            listed: Ids of the listed upstreams.
            try_acquire: Whether an upstream accepts a probe now; counts it.
                Those that do not remain due.
            now_s: Monotonic time.
        """
        self._shares.remove_silent(now_s)
        self._routine_s = [t for t in self._routine_s if now_s - t < 1.0]
        return [
            *self._take_health_probes(listed, try_acquire, now_s),
            *self._take_pace_probes(listed, try_acquire, now_s),
        ]

    def _take_health_probes(
        self,
        listed: Container[str],
        try_acquire: Callable[[str, float], bool],
        now_s: float,
    ) -> list[str]:
        """Returns the failed upstreams to probe; see `take_due`."""
        taken = []
        due = self._health.list_due(listed, now_s)
        urgent = {i for i in due if self._health.is_urgent(i)}
        for upstream_id in sorted(due, key=lambda i: i not in urgent):
            if upstream_id not in urgent and self._is_limit_reached():
                break
            if self._is_left_to_peers(upstream_id, now_s):
                self._health.postpone_probe(upstream_id, now_s)
            elif try_acquire(upstream_id, now_s):
                self._health.record_probe_start(upstream_id)
                if upstream_id not in urgent:
                    self._routine_s.append(now_s)
                taken.append(upstream_id)
        return taken

    def _take_pace_probes(
        self,
        listed: Container[str],
        try_acquire: Callable[[str, float], bool],
        now_s: float,
    ) -> list[str]:
        """Returns the slow engines to probe; see `take_due`."""
        taken = []
        for upstream_id in self._paces.list_due(now_s):
            if upstream_id in self._health.failed:
                # Its health probe also returns its pace.
                self._paces.record_probe_start(upstream_id, now_s)
            elif (
                upstream_id in listed
                and not self._is_limit_reached()
                and try_acquire(upstream_id, now_s)
            ):
                self._paces.record_probe_start(upstream_id, now_s)
                self._routine_s.append(now_s)
                taken.append(upstream_id)
        return taken

    def _is_limit_reached(self) -> bool:
        return len(self._routine_s) >= MAX_ROUTINE_PROBES_PER_S

    def _is_left_to_peers(self, upstream_id: str, now_s: float) -> bool:
        return self._health.may_rely_on_peers(
            upstream_id, now_s
        ) and not self._shares.is_assigned(upstream_id, now_s)
