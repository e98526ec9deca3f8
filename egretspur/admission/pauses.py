"""Detects that this host did nothing for a while: pure.

A process may be stopped, suspended with its machine, or have no processor time.
Read next: `egretspur.admission.repeats`.
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
        return gap_s if gap_s > MAX_TICK_GAP_S else 0.0
