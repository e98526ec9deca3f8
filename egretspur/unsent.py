"""Bounds the bytes of answers that callers have not taken, all together.

An answer that its caller does not read stays with the process after the request
has ended. Free of I/O. Read next: `egretspur.web`, whose connections write.
"""

from __future__ import annotations

import threading
from collections.abc import Iterator, Mapping
from typing import Any, Final

from egretspur import decisions

# Fraction of a process's memory for the answers of all callers.
TOTAL_FRACTION: Final = 1 / 8

# For processes whose memory is not stated.
DEFAULT_BYTES: Final = 64_000_000

# A connection that holds no more than this is not looked at when it writes.
FREE_BYTES: Final = 16_384


class Unsent:
    """What the connections of all servers of a process have not sent.

    Shared between threads.
    """

    def __init__(self, total_bytes: int = DEFAULT_BYTES) -> None:
        """Makes a bound for servers that are added."""
        self._total_bytes = total_bytes
        self._lock = threading.Lock()
        self._servers: list[Mapping[int, Any]] = []
        # Bytes that are being written.
        self._written_bytes = 0

    def add_server(self, channels: Mapping[int, Any]) -> None:
        """Adds a server by its open connections."""
        self._servers.append(channels)

    def begin(self, writer: Any, count: int) -> None:
        """Makes room for bytes that a connection writes.

        If there is none, the connection whose caller has taken nothing for
        longest is closed, and the next one.

        Args:
            writer: The connection that writes.
            count: Number of bytes.
        """
        with self._lock:
            self._written_bytes += count
            holders = [c for c in self._list_open() if c.total_outbufs_len]
            held = sum(c.total_outbufs_len for c in holders)
            held += self._written_bytes
            if held <= self._total_bytes:
                return
            holders.sort(key=lambda c: c.last_activity)
            for channel in holders:
                if held <= self._total_bytes:
                    return
                if channel is writer:
                    continue
                held -= channel.total_outbufs_len
                decisions.record(
                    decisions.AnswerDropped(channel.total_outbufs_len)
                )
                channel.is_dropped = channel.will_close = True
                channel.server.pull_trigger()

    def end(self, count: int) -> None:
        """Notes that bytes were written: they are the connection's now."""
        with self._lock:
            self._written_bytes -= count

    def _list_open(self) -> Iterator[Any]:
        for channels in self._servers:
            for channel in list(channels.values()):
                if not channel.will_close:
                    yield channel
