"""Detects that this host did nothing for a while: pure.

A process may be stopped, suspended with its machine, or have no processor time.
What arrives meanwhile is read together afterwards. Read next:
`egretspur.admission.repeats`.
"""

from __future__ import annotations

import math
from typing import Final

# Longest time between two ticks of a host that runs: twice the interval of an
# idle one.
MAX_TICK_GAP_S: Final = 0.5


class PauseDetector:
    """Tells from a host's ticks when it paused."""

    def __init__(self) -> None:
        self._ticked_s = math.inf
        self._suspended_s = 0.0
        # Since when what is read may have waited, and until when that is so.
        self._behind_since_s = -math.inf
        self._behind_until_s = -math.inf

    def tick(self, now_s: float, suspended_s: float) -> float:
        """Returns for how many seconds the host has paused; 0 if it has not.

        Args:
            now_s: Monotonic time, which stops while the machine is suspended.
            suspended_s: Seconds for which it was suspended since it started.
        """
        gap_s = max(0.0, now_s - self._ticked_s)
        if math.isfinite(self._ticked_s):
            gap_s += suspended_s - self._suspended_s
        self._ticked_s = now_s
        self._suspended_s = suspended_s
        if gap_s <= MAX_TICK_GAP_S:
            return 0.0
        self._record(now_s - gap_s, now_s)
        return gap_s

    def get_earliest_arrival_s(self, now_s: float) -> float:
        """Returns since when a request that is read now may have waited."""
        if now_s - self._ticked_s > MAX_TICK_GAP_S:
            # A pause has just ended; the next tick records it.
            return self._ticked_s
        if now_s < self._behind_until_s:
            return self._behind_since_s
        return now_s

    def _record(self, began_s: float, ended_s: float) -> None:
        """Records a pause.

        A host that runs reads at least twice as fast as requests arrive: it has
        caught up after as long as it paused.
        """
        left_s = max(0.0, self._behind_until_s - began_s)
        self._behind_since_s = began_s - left_s
        self._behind_until_s = ended_s + (ended_s - self._behind_since_s)
