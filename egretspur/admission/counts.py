"""Requests of a host, as its retries are judged by them: pure.

Any window of retries is judged by the requests in it, in the window before it
or in the one half a window before it, whichever has most. The last window of a
host is one of many that contain its next retry, and may have more requests than
those by which another one is judged: with two bursts nearly a window apart, it
holds both. Read next: `egretspur.admission.shared`.
"""

from __future__ import annotations

import bisect
import collections
import itertools
import math
from typing import Final

import attrs

# Slots of a window, by which requests are counted.
SLOTS: Final = 40


@attrs.define
class RequestCounts:
    """Requests of the last two windows, by when they arrived."""

    window_s: float
    # Times of the last window.
    _times: collections.deque[float] = attrs.Factory(collections.deque)
    # Counts of the last two windows by slot, which has the number of slots
    # since time 0.
    _by_slot: dict[int, int] = attrs.Factory(dict)

    def add(self, arrived_s: float) -> None:
        """Counts a request.

        Args:
            arrived_s: Monotonic time at which it arrived.
        """
        # Only those read after a pause are older than others.
        bisect.insort(self._times, arrived_s)
        slot = self._find_slot(arrived_s)
        self._by_slot[slot] = self._by_slot.get(slot, 0) + 1

    def advance(self, now_s: float) -> None:
        """Drops what is too old."""
        while self._times and now_s - self._times[0] >= self.window_s:
            self._times.popleft()
        first = self._find_slot(now_s) - 2 * SLOTS
        for slot in list(
            itertools.takewhile(lambda s: s < first, self._by_slot)
        ):
            del self._by_slot[slot]

    def count_last(self) -> int:
        """Returns the requests of the last window."""
        return len(self._times)

    def count_judged(self, now_s: float) -> int:
        """Returns the fewest requests by which a retry may be judged now."""
        last = self._find_slot(now_s)
        first = last - 2 * SLOTS
        slots = [self._by_slot.get(i, 0) for i in range(first, last + 1)]
        totals = [0, *itertools.accumulate(slots)]
        # Requests that will come yet don't count.
        ends = totals[SLOTS:] + [totals[-1]] * SLOTS
        windows = [end - start for start, end in zip(totals, ends, strict=True)]
        # Each window that holds this moment begins in the last one.
        return min(
            map(
                max,
                windows[SLOTS + 1 : 2 * SLOTS + 1],
                windows[SLOTS // 2 + 1 :],
                windows[1:],
            )
        )

    def _find_slot(self, at_s: float) -> int:
        return math.floor(at_s * SLOTS / self.window_s)
