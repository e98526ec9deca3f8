"""A host's part of the retry budget that all hosts share: pure.

A service may get only so many repeats in any window, whoever sends them. Each
host keeps to an even part of that; a host that no longer hears of the others
doesn't take over their parts, since they may well be alive.
"""

from __future__ import annotations

from typing import Final

import attrs

# Part of the allowance that may be spent at once; the same again flows back
# within a window, so that no window sees more than the allowance.
BURST: Final = 0.45


@attrs.define
class SharedBudget:
    """Repeats this host may send to one service."""

    # Repeats earned by each request.
    ratio: float
    # Repeats allowed to all hosts in a window besides.
    allowance: float
    window_s: float
    saved: float = attrs.field(init=False, default=-1.0)
    refilled_s: float = 0.0

    def _refill(self, hosts: int, now_s: float) -> float:
        burst = BURST * self.allowance / max(1, hosts)
        if self.saved < 0:
            self.saved = burst
        passed = max(0.0, now_s - self.refilled_s)
        self.refilled_s = now_s
        self.saved = min(burst, self.saved + burst * passed / self.window_s)
        return burst

    def earn(self, hosts: int, now_s: float) -> None:
        """Counts a first attempt."""
        burst = self._refill(hosts, now_s)
        # Half of the ratio: requests that earned are counted in a window
        # that may end before the repeat is sent.
        self.saved = min(burst, self.saved + 0.5 * self.ratio)

    def spend(self, hosts: int, now_s: float) -> bool:
        """Takes one repeat; tells whether there was one."""
        self._refill(hosts, now_s)
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
