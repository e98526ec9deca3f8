"""A host's part of the retry budget that all hosts share: pure.

A service may get only so many repeats in any window, whoever sends them. Each
host keeps to an even part of that in every window; a host that no longer hears
of the others doesn't take over their parts, since they may well be alive. A
part may be spent at once: when an engine dies, all that it was working on is
repeated in the same moment.
"""

from __future__ import annotations

import collections
from typing import Final

import attrs

# Part of the allowance that is used. The rest covers windows that are cut
# otherwise than here, and repeats under way.
USED: Final = 0.85


@attrs.define
class SharedBudget:
    """Repeats this host may send to one service."""

    # Repeats earned by each request.
    ratio: float
    # Repeats allowed to all hosts in a window besides.
    allowance: float
    window_s: float
    # Times of this host's requests and repeats of the last window.
    _requests: collections.deque[float] = attrs.Factory(collections.deque)
    _repeats: collections.deque[float] = attrs.Factory(collections.deque)

    def earn(self, now_s: float) -> None:
        """Counts a first attempt."""
        self._requests.append(now_s)
        self._forget(now_s)

    def spend(self, hosts: int, now_s: float) -> bool:
        """Takes one repeat; tells whether there was one.

        Args:
            hosts: Hosts that share the budget, this one included.
            now_s: Monotonic time.
        """
        self._forget(now_s)
        share = self.allowance / max(1, hosts)
        share += self.ratio * len(self._requests)
        if len(self._repeats) + 1 > USED * share:
            return False
        self._repeats.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        for times in (self._requests, self._repeats):
            while times and now_s - times[0] >= self.window_s:
                times.popleft()
