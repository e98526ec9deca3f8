"""Actor that holds the folded configuration of one control daemon.

All changes and all reads of the state happen in its thread. Read
`egretspur.intents.follow` for what it does with a batch.
"""

from __future__ import annotations

import collections
import functools
import logging
import threading
import time
from collections.abc import Callable
from typing import Any, Final, Generic, TypeVar

import attrs

from egretspur import actors
from egretspur.intents import follow, records
from egretspur.intents import state as states

_LOG: Final = logging.getLogger(__name__)

T = TypeVar("T")

# Records kept to be handed to peers.
RECENT_KEPT: Final = 512


@attrs.frozen
class Read(Generic[T]):
    """Asks for the result of a pure function of the state."""

    function: Callable[[states.State], T]


@attrs.frozen
class Take:
    """Records read from the log or from a peer."""

    batch: follow.Batch


@attrs.frozen
class Offer:
    """A whole state from a peer, or None if it was damaged."""

    state: states.State | None


@attrs.frozen
class GetRecent:
    """Asks for records from an offset on, as a `follow.Batch`."""

    start: int


@attrs.frozen
class Position:
    """Where this process stands in the stream."""

    offset: int
    # Offset to read from next; differs from `offset + 1` during a gap.
    next: int
    # True while records are missing that no snapshot has filled.
    gap: bool


class ConfigActor(actors.Actor):
    """Holds the state; see the messages above."""

    def __init__(self, changed: Callable[[states.State], None]) -> None:
        super().__init__()
        self._changed = changed
        self._state = states.State()
        self._reader = follow.Reader()
        self._next = 1
        self._gap = False
        self._recent: collections.deque[records.Entry] = collections.deque(
            maxlen=RECENT_KEPT
        )

    @functools.singledispatchmethod
    def handle(self, message: object) -> Any:
        """Handles one message."""
        raise actors.make_unknown_message_error(message)

    @handle.register(Read)
    def _(self, message: Read[Any]) -> Any:
        return message.function(self._state)

    @handle.register
    def _(self, message: Take) -> Position:
        before = self._state.offset
        found = follow.follow(self._state, message.batch, self._reader)
        self._state = found.state
        self._next = found.next
        self._gap = found.gap
        for entry in message.batch.entries:
            if before < entry.offset <= self._state.offset:
                self._recent.append(entry)
        if found.changed:
            self._changed(self._state)
        return self._get_position()

    @handle.register
    def _(self, message: Offer) -> Position:
        state = follow.adopt(self._state, message.state)
        if state is not self._state:
            _LOG.info("adopted a peer's state", extra={"offset": state.offset})
            self._state = state
            self._next = state.offset + 1
            self._gap = False
            self._recent.clear()
            self._changed(state)
        return self._get_position()

    @handle.register
    def _(self, message: GetRecent) -> follow.Batch:
        head = self._state.offset + 1
        kept = [e for e in self._recent if e.offset >= message.start]
        first = self._recent[0].offset if self._recent else head
        return follow.Batch(first, head, head, tuple(kept))

    def _get_position(self) -> Position:
        return Position(self._state.offset, self._next, self._gap)


class Config:
    """Typed front of the actor, shared by the slices of a daemon."""

    def __init__(self, changed: Callable[[states.State], None]) -> None:
        """Starts the actor.

        Args:
            changed: Called in the actor's thread after each change; it must
                neither change the state nor ask this object for anything.
        """
        self._changed = changed
        self._condition = threading.Condition()
        self._offset = 0
        self._ref = ConfigActor.start(self._note)

    def close(self) -> None:
        """Stops the actor."""
        self._ref.stop()

    def read(self, function: Callable[[states.State], T]) -> T:
        """Returns a pure function of the state."""
        result: T = actors.ask(self._ref, Read(function))
        return result

    def take(self, batch: follow.Batch) -> Position:
        """Folds records."""
        position: Position = actors.ask(self._ref, Take(batch))
        return position

    def offer(self, state: states.State | None) -> Position:
        """Adopts a state if it is ahead."""
        position: Position = actors.ask(self._ref, Offer(state))
        return position

    def get_recent(self, start: int) -> follow.Batch:
        """Returns records kept from an offset on."""
        batch: follow.Batch = actors.ask(self._ref, GetRecent(start))
        return batch

    def wait_for(self, offset: int, wait_s: float) -> bool:
        """Waits until an offset is folded; tells whether it is."""
        end = time.monotonic() + wait_s
        with self._condition:
            while self._offset < offset:
                left = end - time.monotonic()
                if left <= 0:
                    return False
                self._condition.wait(left)
            return True

    def _note(self, state: states.State) -> None:
        with self._condition:
            self._offset = state.offset
            self._condition.notify_all()
        self._changed(state)
