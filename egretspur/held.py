"""Bounds the bytes of callers' bodies that a process holds.

They count from their first byte, before there is a request, to the end of the
answer. Free of I/O. Read next: `egretspur.inbound`, which reads bodies, and
`egretspur.delivery.buffers`, the same for upstreams' answers.
"""

from __future__ import annotations

import threading
from typing import Final, Protocol

from egretspur import decisions

# Fraction of a process's memory for the bodies of all callers.
TOTAL_FRACTION: Final = 1 / 5

# Bytes of each body that don't count, so that large ones keep no small one out.
FREE_BYTES: Final = 8192

# For processes whose memory is not stated.
DEFAULT_BYTES: Final = 64_000_000


class Budget:
    """Counts the bytes of all servers of a process; shared between threads."""

    def __init__(self, total_bytes: int = DEFAULT_BYTES) -> None:
        """Makes a budget of which nothing is taken."""
        self.total_bytes = total_bytes
        self._lock = threading.Lock()
        self._held_bytes = 0

    def take(self, count: int, least_total: int) -> bool:
        """Takes bytes; returns False, and takes none, if there is no room.

        Args:
            count: Number of bytes.
            least_total: Size of the budget if it is smaller than this, so that
                the longest body allowed has room in it.
        """
        with self._lock:
            after = self._held_bytes + count
            if after > max(self.total_bytes, least_total):
                return False
            self._held_bytes = after
        return True

    def give_back(self, count: int) -> None:
        """Gives bytes back."""
        with self._lock:
            self._held_bytes -= count


class Body(Protocol):
    """A body that is being read, or was."""

    # Bytes of it that are taken from the budget.
    counted: int

    def refuse(self) -> None:
        """Drops what was read; its caller is told that it has not run."""


class Bodies:
    """The bodies of one server; grown by its own thread alone."""

    def __init__(self, budget: Budget) -> None:
        """Makes bodies of which there is none."""
        self._budget = budget
        # Those that are being read, in the order in which they began.
        self._incomplete: dict[Body, None] = {}

    def grow(self, body: Body, size: int, max_size: int) -> bool:
        """Makes room for more of a body that is being read.

        If there is none, bodies that began before are refused, the oldest
        first: one that stays incomplete has held its bytes for longest. Bodies
        that are complete stay; they may be at an upstream.

        Args:
            body: The body.
            size: Its bytes so far.
            max_size: Longest body allowed.

        Returns:
            Whether there is room now.
        """
        self._incomplete.setdefault(body)
        added = max(0, size - FREE_BYTES) - body.counted
        while added > 0 and not self._budget.take(added, max_size):
            oldest = next((b for b in self._incomplete if b.counted), body)
            decisions.record(decisions.BodyRefused(oldest.counted))
            if oldest is body:
                return False
            oldest.refuse()
        body.counted += max(0, added)
        return True

    def end(self, body: Body) -> None:
        """Notes that a body is not read any more; what it holds stays."""
        self._incomplete.pop(body, None)

    def give_back(self, body: Body) -> None:
        """Gives back what a body took; from any thread."""
        count, body.counted = body.counted, 0
        self._budget.give_back(count)
