"""Server-sent events of one answer, joined over several attempts: pure.

Bytes are passed on as they came, but only whole events, in order and once
each: an upstream may break off in the middle of an event, and a resumed run
may begin with events that were delivered before.
"""

from __future__ import annotations

import enum
from typing import Final

import attrs

# Longest event; more without an end is no stream of events.
MAX_EVENT: Final = 1 << 20


class Flaw(enum.Enum):
    """Why the bytes of an attempt can't be passed on."""

    GAP = "gap"
    MALFORMED = "malformed"


@attrs.define
class Merge:
    """Where the answer stands."""

    # Id of the last event that was passed on; None before the first.
    last_id: int | None = None
    # Events passed on.
    count: int = 0
    # Of the attempt under way; what came before it was passed on.
    flaw: Flaw | None = None
    _rest: bytes = b""

    def begin(self) -> None:
        """Begins another attempt; what was not whole is dropped."""
        self._rest = b""
        self.flaw = None

    def has_rest(self) -> bool:
        """Tells whether bytes of an unfinished event are left."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> bytes | Flaw:
        """Takes bytes of the current attempt; returns what to pass on.

        Events before a flaw are passed on first: they count as passed on.
        """
        self._rest += data
        passed: list[bytes] = []
        while self.flaw is None:
            end = _find_end(self._rest)
            if end < 0:
                break
            event, self._rest = self._rest[:end], self._rest[end:]
            self.flaw = self._take(event, passed)
        if len(self._rest) > MAX_EVENT:
            self.flaw = Flaw.MALFORMED
        if self.flaw is not None and not passed:
            return self.flaw
        return b"".join(passed)

    def _take(self, event: bytes, passed: list[bytes]) -> Flaw | None:
        number = _read_id(event)
        if number is None:
            # Comments and the like belong to the attempt that is under way.
            passed.append(event)
            return None
        if self.last_id is not None:
            if number <= self.last_id:
                return None
            if number != self.last_id + 1:
                return Flaw.GAP
        self.last_id = number
        self.count += 1
        passed.append(event)
        return None


def _find_end(data: bytes) -> int:
    """Returns the end of the first event, or -1 if it isn't whole."""
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
