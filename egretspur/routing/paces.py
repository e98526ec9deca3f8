"""Detection of engines that run slower than their accelerator should: pure.

A slow stage delays every answer over it without any error. Engines report their
pace when probed. Probing all of them all the time costs more than it saves, so
an engine is probed after an answer over it paused, and again until its pace is
normal.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

import attrs

# Gap between two events after which a path's engines are suspected, if the
# route sets no limit for gaps.
SUSPICIOUS_GAP_S: Final = 0.2

# Interval between two pace probes of one engine.
PROBE_INTERVAL_S: Final = 2.0

# Engines with a pace above this are slow.
SLOW_THRESHOLD: Final = 1.2

# How long a pace from a peer update counts; that host probes again.
PEER_PACE_TTL_S: Final = 4.0


@attrs.define
class _PaceState:
    pace: float = 1.0
    # Earliest time of the next probe.
    next_probe_s: float = 0.0
    # An answer over the engine paused since the last probe.
    is_suspected: bool = False
    # When a pace from a peer update expires; 0 if this host probed it.
    peer_pace_until_s: float = 0.0


class Paces:
    """Paces of engines: factors by which they are slower than usual."""

    def __init__(self) -> None:
        self._states: dict[str, _PaceState] = {}

    def get(self, upstream_id: str, now_s: float) -> float:
        """Returns the factor by which an engine is slower than usual."""
        state = self._states.get(upstream_id)
        if state is None:
            return 1.0
        if state.peer_pace_until_s and now_s >= state.peer_pace_until_s:
            return 1.0
        return state.pace

    def suspect(self, upstream_ids: Iterable[str]) -> None:
        """Marks the engines of a paused answer for a probe."""
        for upstream_id in upstream_ids:
            self._states.setdefault(
                upstream_id, _PaceState()
            ).is_suspected = True

    def has_suspects(self) -> bool:
        """Tells whether a suspected engine awaits a probe."""
        return any(k.is_suspected for k in self._states.values())

    def list_due(self, now_s: float) -> list[str]:
        """Returns the engines to probe now, the latest ones first."""
        due = [
            (state.next_probe_s, upstream_id)
            for upstream_id, state in self._states.items()
            if now_s >= state.next_probe_s
            and (
                state.is_suspected
                or (state.pace > SLOW_THRESHOLD and not state.peer_pace_until_s)
            )
        ]
        return [upstream_id for _, upstream_id in sorted(due)]

    def record_probe_start(self, upstream_id: str, now_s: float) -> None:
        """Records that an engine is being probed."""
        state = self._states[upstream_id]
        state.is_suspected = False
        state.next_probe_s = now_s + PROBE_INTERVAL_S

    def record_pace(self, upstream_id: str, pace: float) -> bool:
        """Records a reported pace.

        Returns:
            Whether the engine became slow or returned to normal.
        """
        state = self._states.setdefault(upstream_id, _PaceState())
        changed = (state.pace > SLOW_THRESHOLD) != (pace > SLOW_THRESHOLD)
        state.pace = pace
        state.peer_pace_until_s = 0.0
        return changed

    def apply_peer_paces(
        self, paces: Mapping[str, float], now_s: float
    ) -> None:
        """Merges the slow engines in a peer update."""
        for upstream_id, pace in paces.items():
            state = self._states.get(upstream_id)
            if state is None:
                state = self._states[upstream_id] = _PaceState()
            if state.pace > SLOW_THRESHOLD and not state.peer_pace_until_s:
                continue
            state.pace = pace
            state.peer_pace_until_s = now_s + PEER_PACE_TTL_S
            # The other host has just probed it.
            state.next_probe_s = max(
                state.next_probe_s, now_s + PROBE_INTERVAL_S / 2
            )

    def list_slow(self) -> dict[str, float]:
        """Returns the slow engines that this host probed itself."""
        return {
            i: round(k.pace, 2)
            for i, k in self._states.items()
            if k.pace > SLOW_THRESHOLD and not k.peer_pace_until_s
        }

    def remove_unlisted(self, listed: Mapping[str, object]) -> None:
        """Drops engines that are no longer listed."""
        for upstream_id in set(self._states) - set(listed):
            del self._states[upstream_id]
