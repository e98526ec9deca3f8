"""Requests over own connections of which no byte of an answer has arrived.

A middlebox may accept connections and pass nothing on. Then no connection
fails, and only answers that don't come show it. Read next:
`egretspur.tunnels.checks`.
"""

from __future__ import annotations

import itertools
import threading
from collections.abc import Callable
from typing import Final

import attrs

# An answer that takes longer than this, while none came from anywhere, has the
# links checked. An upstream answers a question within some milliseconds.
OVERDUE_S: Final = 0.5


@attrs.frozen
class _Pending:
    address: str
    since_s: float
    abort: Callable[[], None]


class PendingAnswers:
    """See the module's docstring; shared between threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._ids = itertools.count()
        self._pending: dict[int, _Pending] = {}

    def add(self, address: str, abort: Callable[[], None], now_s: float) -> int:
        """Adds a request that is being sent; returns its id.

        Args:
            address: Of the upstream.
            abort: Ends the request's connection, from any thread.
            now_s: Monotonic time.
        """
        number = next(self._ids)
        with self._lock:
            self._pending[number] = _Pending(address, now_s, abort)
        return number

    def remove(self, number: int) -> None:
        """Removes a request whose answer began or that ended."""
        with self._lock:
            self._pending.pop(number, None)

    def has_overdue(self, now_s: float) -> bool:
        """Returns whether an answer is overdue."""
        return bool(self._list_overdue(now_s))

    def abort_overdue(self, now_s: float) -> None:
        """Ends the connections whose answers are overdue."""
        for found in self._list_overdue(now_s):
            found.abort()

    def _list_overdue(self, now_s: float) -> list[_Pending]:
        with self._lock:
            return [
                p
                for p in self._pending.values()
                if now_s - p.since_s >= OVERDUE_S
            ]
