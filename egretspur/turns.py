"""Shares a server's thread among bodies that take long to read.

Bodies in small chunks cost hundreds of times as much as others of their size.
Free of I/O. Read next: `egretspur.web`, whose connections take turns.
"""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from typing import Final, Protocol

# Time for turns before all other events are handled, in seconds.
ROUND_S: Final = 0.01


class Reader(Protocol):
    """A connection that has part of a body to read."""

    def take_turn(self) -> None:
        """Reads one part."""


class Turns:
    """Readers of one server that wait for their turns; used by its thread."""

    def __init__(
        self, read_clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Makes turns for which nobody waits.

        Args:
            read_clock: Returns the time in seconds.
        """
        self._read_clock = read_clock
        # By the work done for them, then by arrival.
        self._waiting: list[tuple[int, int, Reader]] = []
        self._arrivals = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, reader: Reader, work: int) -> None:
        """Adds a reader that does not wait yet.

        Those for which less work was done go first, so that a body in chunks of
        the usual size does not wait for those in many small ones.

        Args:
            reader: The reader.
            work: Steps of work that were done for its body.
        """
        self._arrivals += 1
        heapq.heappush(self._waiting, (work, self._arrivals, reader))

    def discard(self, reader: Reader) -> None:
        """Removes a reader, if it waits."""
        self._waiting = [w for w in self._waiting if w[2] is not reader]
        heapq.heapify(self._waiting)

    def run(self) -> None:
        """Gives turns until the time is used or nobody waits."""
        end_s = self._read_clock() + ROUND_S
        while self._waiting and self._read_clock() < end_s:
            _, _, reader = heapq.heappop(self._waiting)
            reader.take_turn()
