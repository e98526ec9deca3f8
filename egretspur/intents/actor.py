"""Actor that holds the folded configuration of one control daemon.

All reads and changes of the state happen in the actor's thread. Read next:
`egretspur.intents.follow`, which applies a batch of records to the state.
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

# Recent records kept for peers that request them.
RECENT_RECORDS_MAX: Final = 512


@attrs.frozen
class Read(Generic[T]):
    """Requests the result of a pure function of the state."""

    function: Callable[[states.State], T]


@attrs.frozen
class ApplyBatch:
    """Applies records read from the log or from a peer."""

    batch: follow.Batch


@attrs.frozen
class AdoptState:
    """Offers a peer's whole state, or None if it was damaged."""

    state: states.State | None


@attrs.frozen
class GetRecent:
    """Requests the records from an offset on, as a `follow.Batch`."""

    start: int


@attrs.frozen
class Position:
    """Read position of this process in the stream."""

    offset: int
    # Offset to read from next; differs from `offset + 1` during a gap.
    next: int
    # True while missing records are not covered by a checkpoint.
    gap: bool


class ConfigActor(actors.Actor):
    """Holds the state and handles the messages above."""

    def __init__(self, on_change: Callable[[states.State], None]) -> None:
        super().__init__()
        self._on_change = on_change
        self._state = states.State()
        self._scan = follow.CheckpointScan()
        self._next_offset = 1
        self._gap = False
        self._recent: collections.deque[records.Entry] = collections.deque(
            maxlen=RECENT_RECORDS_MAX
        )

    @functools.singledispatchmethod
    def handle(self, message: object) -> Any:
        """Handles one message."""
        raise actors.make_unknown_message_error(message)

    @handle.register(Read)
    def _(self, message: Read[Any]) -> Any:
        return message.function(self._state)

    @handle.register
    def _(self, message: ApplyBatch) -> Position:
        before = self._state.offset
        result = follow.apply_batch(self._state, message.batch, self._scan)
        self._state = result.state
        self._next_offset = result.next
        self._gap = result.gap
        for entry in message.batch.entries:
            if before < entry.offset <= self._state.offset:
                self._recent.append(entry)
        if result.changed:
            self._on_change(self._state)
        return self._get_position()

    @handle.register
    def _(self, message: AdoptState) -> Position:
        state = follow.adopt(self._state, message.state)
        if state is not self._state:
            _LOG.info("adopted a peer's state", extra={"offset": state.offset})
            self._state = state
            self._next_offset = state.offset + 1
            self._gap = False
            self._recent.clear()
            self._on_change(state)
        return self._get_position()

    @handle.register
    def _(self, message: GetRecent) -> follow.Batch:
        head = self._state.offset + 1
        kept = [e for e in self._recent if e.offset >= message.start]
        first = self._recent[0].offset if self._recent else head
        return follow.Batch(first, head, head, tuple(kept))

    def _get_position(self) -> Position:
        return Position(self._state.offset, self._next_offset, self._gap)


class Config:
    """Typed, thread-safe interface to the actor."""

    def __init__(self, on_change: Callable[[states.State], None]) -> None:
        """Starts the actor.

        Args:
            on_change: Called in the actor's thread after each change; it must
                neither change the state nor call this object.
        """
        self._on_change = on_change
        self._condition = threading.Condition()
        self._offset = 0
        self._ref = ConfigActor.start(self._handle_change)

    def close(self) -> None:
        """Stops the actor."""
        self._ref.stop()

    def read(self, function: Callable[[states.State], T]) -> T:
        """Returns the result of a pure function of the state."""
        result: T = actors.ask(self._ref, Read(function))
        return result

    def apply_batch(self, batch: follow.Batch) -> Position:
        """Applies records to the state."""
        position: Position = actors.ask(self._ref, ApplyBatch(batch))
        return position

    def adopt_state(self, state: states.State | None) -> Position:
        """Replaces the state by this one if its offset is higher."""
        position: Position = actors.ask(self._ref, AdoptState(state))
        return position

    def get_recent(self, start: int) -> follow.Batch:
        """Returns the recent records from an offset on."""
        batch: follow.Batch = actors.ask(self._ref, GetRecent(start))
        return batch

    def wait_for(self, offset: int, wait_s: float) -> bool:
        """Waits until an offset is folded; returns False on time-out."""
        end = time.monotonic() + wait_s
        with self._condition:
            while self._offset < offset:
                left = end - time.monotonic()
                if left <= 0:
                    return False
                self._condition.wait(left)
            return True

    def _handle_change(self, state: states.State) -> None:
        with self._condition:
            self._offset = state.offset
            self._condition.notify_all()
        self._on_change(state)
