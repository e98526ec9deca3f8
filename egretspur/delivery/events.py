"""Joins the server-sent events of several attempts into one; free of I/O.

Bytes are forwarded unchanged, but only complete events, in order and once
each: an upstream may disconnect in the middle of an event, and a resumed
attempt may begin with events that were delivered before.
"""

from __future__ import annotations

import enum
from typing import Final

import attrs

# Maximum bytes without the end of an event; beyond it the stream is malformed.
MAX_EVENT_BYTES: Final = 1 << 20


class StreamFault(enum.Enum):
    """Why the bytes of an attempt can't be forwarded."""

    GAP = "gap"
    MALFORMED = "malformed"


@attrs.define
class EventMerge:
    """The part of an answer forwarded so far."""

    # Id of the last event that was forwarded; None before the first.
    last_id: int | None = None
    # Number of events forwarded.
    count: int = 0
    # Of the current attempt; the events before it were forwarded.
    fault: StreamFault | None = None
    # Bytes of the current attempt after its last complete event.
    _buffer: bytes = b""

    def begin(self) -> None:
        """Begins another attempt; drops an incomplete event of the last."""
        self._buffer = b""
        self.fault = None

    def has_partial_event(self) -> bool:
        """Returns whether an incomplete event is buffered."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> bytes | StreamFault:
        """Takes bytes of the current attempt; returns those to forward.

        If valid events precede an error, returns these; the next call returns
        the error.
        """
        self._buffer += data
        accepted: list[bytes] = []
        while self.fault is None:
            end = _find_end(self._buffer)
            if end < 0:
                break
            event, self._buffer = self._buffer[:end], self._buffer[end:]
            self.fault = self._accept_event(event, accepted)
        if len(self._buffer) > MAX_EVENT_BYTES:
            self.fault = StreamFault.MALFORMED
        if self.fault is not None and not accepted:
            return self.fault
        return b"".join(accepted)

    def _accept_event(
        self, event: bytes, accepted: list[bytes]
    ) -> StreamFault | None:
        number = _read_id(event)
        if number is None:
            # Events without an id, such as comments, are forwarded unchecked.
            accepted.append(event)
            return None
        if self.last_id is not None:
            if number <= self.last_id:
                return None
            if number != self.last_id + 1:
                return StreamFault.GAP
        self.last_id = number
        self.count += 1
        accepted.append(event)
        return None


def _find_end(data: bytes) -> int:
    """Returns the end of the first event, or -1 if it is incomplete."""
    plain = data.find(b"\n\n")
    crlf = data.find(b"\r\n\r\n")
    if crlf >= 0 and (plain < 0 or crlf < plain):
        return crlf + 4
    return plain + 2 if plain >= 0 else -1


def _read_id(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
