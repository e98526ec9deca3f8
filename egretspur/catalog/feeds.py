"""Feeds that follow the topics of the store, such as the list of upstreams.

Each feed has one thread. It reads the full state, then the changes since, and
passes them to a sink. It reads the full state again when the changes that it
needs are no longer in the store's history. While the store does not answer, the
feed retries with a backoff and the host keeps its last state. The protocols of
this module hide the store. Read next: `egretspur.catalog.reading`.
"""

from __future__ import annotations

import logging
import math
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

# Initial and maximum backoff after a failed call. Short, since the time bounds
# apply again three seconds after a host is reconnected.
INITIAL_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 1.0

# Minimum time between the starts of two reads, however often a feed is woken.
MIN_READ_INTERVAL_S: Final = 0.4

# Reads whose changes had expired that follow one another without a pause: the
# full state of another host may be from before the history was dropped.
MAX_EXPIRED_READS: Final = 2


@attrs.frozen
class Unreadable:
    """The newest record of a key is malformed."""

    # Malformed field, or ``bytes``; the reason under which it is counted.
    field: str
    problem: str


@attrs.frozen
class FullState(Generic[T]):
    """The newest value of every key."""

    values: Mapping[str, T | Unreadable]
    # Position from which to read the changes.
    next: positions.Position
    # Sent by another host, not read from the store.
    is_from_peer: bool = False
    # Why the store did not answer, if it was called first and failed.
    failure: str = ""
    # Seconds after which to read on, however long the feed's period is.
    due_s: float = math.inf


@attrs.frozen
class Changes(Generic[T]):
    """Values written since a position, oldest first; None removes the key."""

    values: tuple[tuple[str, T | Unreadable | None], ...]
    # Position from which to read the next changes.
    next: positions.Position
    # Sent by another host, not read from the store.
    is_from_peer: bool = False
    # Why the store did not answer, if it was called first and failed.
    failure: str = ""
    # Seconds after which to read on, however long the feed's period is.
    due_s: float = math.inf


@attrs.frozen
class Expired:
    """The requested changes are not in the store's history."""

    # The store was restored from an older copy, which makes the position
    # invalid; otherwise the changes were dropped from the history.
    is_restored: bool = False


@attrs.frozen
class Unavailable:
    """The store did not answer, or refused the call."""

    reason: str
    # Nothing was received in time over an open connection.
    is_timeout: bool = False


Result = FullState[T] | Changes[T] | Expired | Unavailable


class Source(Protocol[T]):
    """One followed topic of the store."""

    def read_newest(self) -> FullState[T] | Changes[T] | Unavailable:
        """Returns the newest value of every key."""

    def read_changes(
        self, since: positions.Position, wait_s: float
    ) -> Result[T]:
        """Returns the changes since a position.

        Args:
            since: Where the previous read ended.
            wait_s: How long the store may wait for a change.
        """


class Sink(Protocol[T_contra]):
    """Receives what a feed reads."""

    def replace_all(self, values: Mapping[str, T_contra | Unreadable]) -> None:
        """Replaces the known state by the newest one."""

    def apply_changes(
        self, values: tuple[tuple[str, T_contra | Unreadable | None], ...]
    ) -> None:
        """Applies changes, oldest first."""

    def record_answer(self, is_back: bool) -> None:
        """Records an answer of the store.

        Args:
            is_back: Whether the read before failed.
        """


@attrs.frozen
class Timing:
    """Timing of a feed's reads."""

    # How long the store may wait for a change, in seconds.
    wait_s: float
    # Minimum seconds between the starts of two reads; limits the call rate.
    period_s: float


class Feed(Generic[T]):
    """Follows one source in a thread of its own."""

    def __init__(
        self,
        name: str,
        source: Source[T],
        sink: Sink[T],
        get_timing: Callable[[], Timing],
        sleep: Callable[[float], object] | None = None,
    ) -> None:
        """Makes a feed; `start` starts it.

        Args:
            name: Name in logs and of the thread.
            source: Source to read.
            sink: Receives what was read.
            get_timing: Returns the timing; called for each read.
            sleep: Replaces the waits between reads, for tests.
        """
        self._name = name
        self._source = source
        self._sink = sink
        self._get_timing = get_timing
        # Monotonic time since which the store has not answered.
        self._outage_since_s: float | None = None
        self._stop = threading.Event()
        self._woken = threading.Event()
        # A wake-up ends the wait between two reads, never the backoff after a
        # failed one: peer updates wake a feed several times a second, and a
        # host that the store refuses would call it as often.
        self._sleep = sleep or self._wait
        self._back_off = sleep or self._stop.wait
        self._rng = random.Random()
        self._thread = threading.Thread(
            target=self._run, name=f"feed-{name}", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def join(self, wait_s: float) -> None:
        """Waits for the thread to end after `close`, up to `wait_s`."""
        self._thread.join(wait_s)

    def close(self) -> None:
        """Stops without interrupting a read in progress."""
        self._stop.set()
        self._woken.set()

    def wake(self) -> None:
        """Wakes the thread to read: another host has newer state."""
        self._woken.set()

    def is_store_lost(self) -> bool:
        """Returns whether the last call to the store failed."""
        return self._outage_since_s is not None

    def _wait(self, seconds: float) -> None:
        if self._woken.wait(seconds):
            self._woken.clear()

    def _run(self) -> None:
        while not self._stop.is_set():
            with guard.log_exceptions(f"feed {self._name}") as failure:
                self._follow()
            if failure.reason:
                self._back_off(INITIAL_BACKOFF_S)

    def _follow(self) -> None:
        """Reads until the feed is closed, beginning with the full state."""
        since: positions.Position | None = None
        backoff_s = INITIAL_BACKOFF_S
        # Reads whose changes had expired, and the start of the first of them.
        expired = 0
        expired_s = -math.inf
        while not self._stop.is_set():
            began_s = time.monotonic()
            res, since = self._read(since)
            if isinstance(res, Unavailable) or _get_failure(res):
                self._record_outage(_get_failure(res), began_s)
                # Jitter, so that not all hosts retry at the same moment.
                self._back_off(backoff_s * self._rng.uniform(0.5, 1.0))
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
                continue
            if isinstance(res, Expired) or not res.is_from_peer:
                self._record_answer()
                backoff_s = INITIAL_BACKOFF_S
            if isinstance(res, Expired):
                # What is believed may be wrong until the full state is read.
                if began_s - expired_s >= MAX_BACKOFF_S:
                    expired, expired_s = 0, began_s
                expired += 1
                if expired > MAX_EXPIRED_READS:
                    self._back_off(MIN_READ_INTERVAL_S)
                continue
            self._pause(began_s, res.due_s)

    def _pause(self, began_s: float, due_s: float) -> None:
        """Waits for the next read after one that succeeded.

        Args:
            began_s: Monotonic time at which the last read began.
            due_s: Seconds after which to read on at the latest.
        """
        period_s = self._get_timing().period_s
        end_s = min(began_s + period_s, time.monotonic() + due_s)
        wait_s = end_s - time.monotonic()
        if wait_s > 0:
            self._sleep(wait_s)
        early_s = min(end_s, began_s + MIN_READ_INTERVAL_S) - time.monotonic()
        if early_s > 0:
            # Several hosts may wake the feed for the same change.
            self._stop.wait(early_s)

    def _read(
        self, since: positions.Position | None
    ) -> tuple[Result[T], positions.Position | None]:
        """Reads once and passes the result to the sink.

        Returns:
            The result, and the position of the next read.
        """
        with guard.log_exceptions(f"feed {self._name}") as failure:
            res = self.read_once(since, self._get_timing().wait_s)
            if not isinstance(res, Unavailable):
                since = self.deliver(res)
            return res, since
        # Some of the changes may have been applied: read the full state next.
        return Unavailable(failure.reason), None

    def _record_outage(self, reason: str, began_s: float) -> None:
        if self._outage_since_s is None:
            decisions.record(decisions.StoreLost(self._name, reason))
            self._outage_since_s = began_s

    def _record_answer(self) -> None:
        """Records that the store itself answered."""
        self._sink.record_answer(self._outage_since_s is not None)
        if self._outage_since_s is not None:
            away_s = time.monotonic() - self._outage_since_s
            decisions.record(decisions.StoreBack(self._name, away_s))
        self._outage_since_s = None

    def read_once(
        self, since: positions.Position | None, wait_s: float
    ) -> Result[T]:
        """Reads the changes since a position; the full state if None."""
        if since is None:
            return self._source.read_newest()
        return self._source.read_changes(since, wait_s)

    def deliver(
        self, res: FullState[T] | Changes[T] | Expired
    ) -> positions.Position | None:
        """Passes a result to the sink.

        Returns:
            The position of the next read; None to read the full state.
        """
        if isinstance(res, Expired):
            # The changes that were missed may hold removals, which show only
            # in the full state.
            reason = (
                "store restored from an older copy; reading the full state"
                if res.is_restored
                else "history expired; reading the full state"
            )
            _LOG.info(reason, extra={"feed": self._name})
            return None
        if isinstance(res, FullState):
            self._sink.replace_all(res.values)
        else:
            self._sink.apply_changes(res.values)
        return res.next


def _get_failure(res: Result[T]) -> str:
    """Returns why the store did not answer; empty if no call to it failed."""
    if isinstance(res, Unavailable):
        return res.reason
    return "" if isinstance(res, Expired) else res.failure
