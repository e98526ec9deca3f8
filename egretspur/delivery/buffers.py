"""Bounds the memory of answers that are read whole before they are forwarded.

A plain answer is sent to its caller only once all of it has come, since one
that breaks off must not look complete. A faulty upstream may send without end,
as fast as the link brings it. Read next: `egretspur.delivery.forward`.
"""

from __future__ import annotations

import threading
from typing import Final

# Fractions of a process's memory for the bodies of all answers, and of one. A
# body is held up to three times: in parts, joined, and for its caller.
TOTAL_FRACTION: Final = 1 / 8
EACH_FRACTION: Final = 1 / 32

# Bytes of each answer that don't count, so that large answers keep no small
# one from being read.
FREE_BYTES: Final = 1 << 16


class BodyBuffers:
    """Counts the bytes of bodies that are held; shared between threads."""

    def __init__(self, memory_bytes: int) -> None:
        """Makes buffers that hold nothing.

        Args:
            memory_bytes: Memory of the process.
        """
        self.total_bytes = int(memory_bytes * TOTAL_FRACTION)
        self.each_bytes = int(memory_bytes * EACH_FRACTION)
        self._lock = threading.Lock()
        self._held_bytes = 0

    def resize(self, before: int, after: int) -> str:
        """Changes how many bytes of a body are held.

        Args:
            before: Bytes held so far.
            after: Bytes to be held.

        Returns:
            Why they must not be held, and nothing is changed; empty if they
            may be.
        """
        if after > self.each_bytes:
            return f"body of more than {self.each_bytes} bytes"
        added = _count(after) - _count(before)
        with self._lock:
            if added > 0 and self._held_bytes + added > self.total_bytes:
                return f"bodies of more than {self.total_bytes} bytes together"
            self._held_bytes += added
        return ""


def _count(size: int) -> int:
    """Returns the bytes of a body that count."""
    return max(0, size - FREE_BYTES)
