"""How a host follows the configuration and the list of upstreams.

One thread a feed: it reads the newest state, then what came since, and hands
each on. When the history it needs is gone it reads the newest state again;
when the store does not answer it waits a little and goes on with what it has.
The store itself stands behind the protocols of this module.
"""

from __future__ import annotations

import logging
import random
import threading
import time
from collections.abc import Callable, Mapping
from typing import Final, Generic, Protocol, TypeVar

import attrs

from egretspur import decisions, guard
from egretspur.catalog import positions

_LOG: Final = logging.getLogger(__name__)

T = TypeVar("T")
T_contra = TypeVar("T_contra", contravariant=True)

# First and longest pause after a call that failed, in seconds. Short, since a
# host that was cut off is held to its bounds again three seconds after.
FIRST_PAUSE_S: Final = 0.1
LONGEST_PAUSE_S: Final = 1.0

# Shortest time between two reads, however often a feed is poked.
SHORTEST_S: Final = 0.4


@attrs.frozen
class Unreadable:
    """The newest record of a key has not the form of a value."""

    # Field at fault, or ``bytes``; the reason under which it is counted.
    field: str
    problem: str


@attrs.frozen
class Whole(Generic[T]):
    """The newest value of every key."""

    values: Mapping[str, T | Unreadable]
    # From where changes are to be read.
    next: positions.Position
    # Another host handed it over.
    is_handed: bool = False
    # Why the store did not answer, where it was asked first.
    failure: str = ""


@attrs.frozen
class Changes(Generic[T]):
    """Values that were written since, oldest first; None drops the key."""

    values: tuple[tuple[str, T | Unreadable | None], ...]
    next: positions.Position
    # Another host handed them over.
    is_handed: bool = False
    # Why the store did not answer, where it was asked first.
    failure: str = ""


@attrs.frozen
class Expired:
    """The changes that were asked for are no longer kept."""

    # The store has come back from an older copy, so that nothing can be read
    # on; else they were dropped from the history.
    is_copy: bool = False


@attrs.frozen
class Unavailable:
    """The store gave no answer, or refused."""

    reason: str


Result = Whole[T] | Changes[T] | Expired | Unavailable


class Source(Protocol[T]):
    """One followed topic of the store."""

    def read_newest(self) -> Whole[T] | Changes[T] | Unavailable:
        """Returns the newest value of every key."""

    def read_changes(
        self, since: positions.Position, wait_s: float
    ) -> Result[T]:
        """Returns what was written since, waiting for it at most so long."""


class Sink(Protocol[T_contra]):
    """Takes what a feed reads."""

    def take_whole(self, values: Mapping[str, T_contra | Unreadable]) -> None:
        """Takes the newest state, in place of what was known."""

    def take_changes(
        self, values: tuple[tuple[str, T_contra | Unreadable | None], ...]
    ) -> None:
        """Takes changes, oldest first."""

    def note_contact(self, is_back: bool) -> None:
        """Notes the store's answer; `is_back` if the one before it failed."""


@attrs.frozen
class Pace:
    """How a feed reads."""

    # How long a read may wait for a change, in seconds.
    wait_s: float
    # Shortest time between two reads; bounds the calls.
    period_s: float


class Feed(Generic[T]):
    """Follows one source."""

    def __init__(
        self,
        name: str,
        source: Source[T],
        sink: Sink[T],
        get_pace: Callable[[], Pace],
        sleep: Callable[[float], object] | None = None,
    ) -> None:
        """Makes a feed.

        Args:
            name: For logs and the thread.
            source: Where it reads.
            sink: Where it hands on.
            get_pace: Returns how to read; asked before each read.
            sleep: Waits so many seconds, or until there is reason to read.
        """
        self._name = name
        self._source = source
        self._sink = sink
        self._get_pace = get_pace
        # Since when the store has not answered.
        self._lost_s: float | None = None
        self._stop = threading.Event()
        self._poked = threading.Event()
        # A poke ends the rest between two reads, never the pause after a
        # failed one: neighbours poke several times a second, and a host that
        # the store turns away would call it as often.
        self._sleep = sleep or self._rest
        self._pause = sleep or self._stop.wait
        self._rng = random.Random()
        self._thread = threading.Thread(
            target=self._run, name=f"feed-{name}", daemon=True
        )

    def start(self) -> None:
        """Starts to follow."""
        self._thread.start()

    def join(self, wait_s: float) -> None:
        """Waits for the end after a `close`."""
        self._thread.join(wait_s)

    def close(self) -> None:
        """Stops; a read that waits is left to its bound."""
        self._stop.set()
        self._poked.set()

    def poke(self) -> None:
        """Has it read soon: another host knows something newer."""
        self._poked.set()

    def _rest(self, seconds: float) -> None:
        if self._poked.wait(seconds):
            self._poked.clear()

    def _run(self) -> None:
        since: positions.Position | None = None
        pause_s = FIRST_PAUSE_S
        while not self._stop.is_set():
            began_s = time.monotonic()
            res, since = self._read(since)
            if isinstance(res, Unavailable) or _get_failure(res):
                self._note_lost(_get_failure(res), began_s)
                # Spread, so that all hosts do not come back in one moment.
                self._pause(pause_s * self._rng.uniform(0.5, 1.0))
                pause_s = min(2 * pause_s, LONGEST_PAUSE_S)
                continue
            if isinstance(res, Expired) or not res.is_handed:
                self._note_answer()
                pause_s = FIRST_PAUSE_S
            period_s = self._get_pace().period_s
            rest_s = began_s + period_s - time.monotonic()
            if rest_s > 0:
                self._sleep(rest_s)
            early_s = began_s + min(period_s, SHORTEST_S) - time.monotonic()
            if early_s > 0:
                # Several hosts may poke for one change.
                self._stop.wait(early_s)

    def _read(
        self, since: positions.Position | None
    ) -> tuple[Result[T], positions.Position | None]:
        """Reads once and hands on; returns from where to read next."""
        with guard.log_exceptions(f"feed {self._name}") as failure:
            res = self.read_once(since, self._get_pace().wait_s)
            if not isinstance(res, Unavailable):
                since = self.hand_on(res)
            return res, since
        # Read again as a whole: a part of the changes may have been taken.
        return Unavailable(failure.reason), None

    def _note_lost(self, reason: str, began_s: float) -> None:
        if self._lost_s is None:
            decisions.record(decisions.StoreLost(self._name, reason))
            self._lost_s = began_s

    def _note_answer(self) -> None:
        """Notes that the store itself answered."""
        self._sink.note_contact(self._lost_s is not None)
        if self._lost_s is not None:
            away_s = time.monotonic() - self._lost_s
            decisions.record(decisions.StoreBack(self._name, away_s))
        self._lost_s = None

    def read_once(
        self, since: positions.Position | None, wait_s: float
    ) -> Result[T]:
        """Reads the changes since a position, or the newest state."""
        if since is None:
            return self._source.read_newest()
        return self._source.read_changes(since, wait_s)

    def hand_on(
        self, res: Whole[T] | Changes[T] | Expired
    ) -> positions.Position | None:
        """Hands a result to the sink; returns from where to read next."""
        if isinstance(res, Expired):
            # What was dropped unseen may hold a removal: only the newest
            # state as a whole tells what is gone.
            reason = "the store's copy" if res.is_copy else "history expired"
            _LOG.info(reason, extra={"feed": self._name})
            return None
        if isinstance(res, Whole):
            self._sink.take_whole(res.values)
        else:
            self._sink.take_changes(res.values)
        return res.next


def _get_failure(res: Result[T]) -> str:
    """Returns why the store did not answer; empty if it did or wasn't asked."""
    if isinstance(res, Unavailable):
        return res.reason
    return "" if isinstance(res, Expired) else res.failure
