"""Persists quarantined requests in the store.

Hosts exchange which requests are quarantined
(`egretspur.admission.quarantine`), but keep this in memory only. Without the
store, a request would crash three more upstreams after a power loss of all
hosts, or in a data centre that is cut off from the others. So a host that saw
one of the crashes writes the request to the store, from which all hosts read
it. An operator releases a request by removing its record.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Final

import attrs

from egretspur import decisions, guard
from egretspur.admission import quarantine
from egretspur.catalog import feeds, tables
from egretspur.routing import desk

# How long the store may wait for a change in the reader's read; a change is
# returned at once. With the second that a call may take, a dead connection is
# detected within three, when the time bounds apply again to a reconnected host.
READ_WAIT_S: Final = 2.0

# Time between two reads of the other hosts, which receive changes in peer
# updates.
NON_READER_PERIOD_S: Final = 60.0

# Time between two attempts to write while the store refuses.
WRITE_RETRY_S: Final = 1.0

# A restored copy of the store is some seconds old; writes of this last period
# before the restore was detected may be lost.
RESTORE_WINDOW_S: Final = 60.0

# Range of the random delay before a reader rewrites lost records of others.
# The readers of all data centres do; those that read the record meanwhile skip
# it.
REWRITE_DELAY_S: Final = (0.5, 3.0)

# Writes the crashes of a request under its fingerprint, or removes the record
# if there are none; returns why it failed, or an empty string.
Write = Callable[[str, quarantine.CrashWeights], str]


def get_timing(is_reader: bool) -> feeds.Timing:
    """Returns the timing of the feed of quarantined requests."""
    if is_reader:
        return feeds.Timing(READ_WAIT_S, 0.0)
    return feeds.Timing(0.0, NON_READER_PERIOD_S)


@attrs.frozen
class _PendingWrite:
    change: quarantine.Change
    # Monotonic time at which to write it.
    due_s: float


class Sink:
    """Passes the store's records to the desk; see `feeds.Sink`."""

    def __init__(self, to: desk.Desk, writer: Writer) -> None:
        self._desk = to
        self._writer = writer

    def replace_all(
        self, values: Mapping[str, quarantine.CrashWeights | feeds.Unreadable]
    ) -> None:
        """Restores all quarantined requests."""
        self._restore(tuple(values.items()))

    def apply_changes(
        self,
        values: tuple[
            tuple[str, quarantine.CrashWeights | feeds.Unreadable | None], ...
        ],
    ) -> None:
        """Applies changes; a malformed record is ignored."""
        for fingerprint, _ in values:
            self._writer.cancel_rewrite(fingerprint)
        self._restore(values)

    def _restore(
        self,
        values: tuple[
            tuple[str, quarantine.CrashWeights | feeds.Unreadable | None], ...
        ],
    ) -> None:
        kept = {
            f: ends or {}
            for f, ends in values
            if not isinstance(ends, feeds.Unreadable)
        }
        if kept:
            self._desk.tell(desk.RestoreQuarantine(kept))

    def record_answer(self, is_back: bool) -> None:
        """Does nothing: no state depends on the time of the last answer."""


class Writer:
    """Writes to the store what this host quarantined or released."""

    def __init__(self, write: Write, rng: random.Random) -> None:
        """Makes a writer without pending changes.

        Args:
            write: Writes to the store.
            rng: Draws the delay before lost records are rewritten.
        """
        self._write = write
        self._rng = rng
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._stop = threading.Event()
        # Pending changes by fingerprint; a newer one replaces an older one.
        self._pending: dict[str, _PendingWrite] = {}
        # Changes that this host wrote recently, and when.
        self._written: dict[str, tuple[quarantine.Change, float]] = {}
        self._thread = threading.Thread(
            target=self._run, name="quarantine", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stops the thread; pending changes are not written."""
        self._stop.set()
        self._wake.set()

    def queue_changes(self, changes: Sequence[quarantine.Change]) -> None:
        """Queues changes to write at once."""
        self._queue(changes, 0.0)

    def rewrite_lost(
        self,
        report: tables.RestoreReport[quarantine.CrashWeights],
        is_reader: bool,
    ) -> None:
        """Queues records that a restored copy of the store lacks.

        Recent writes of this host may be known to no other host, so it rewrites
        them at once. Other records are known to all hosts; the reader of each
        data centre rewrites them after a random delay.

        Args:
            report: What the copy lacks.
            is_reader: Whether this host is the reader of its data centre.
        """
        now_s = time.monotonic()
        with self._lock:
            own = {
                f: change
                for f, (change, at_s) in self._written.items()
                if now_s - at_s < RESTORE_WINDOW_S
            }
        self._queue(list(own.values()), 0.0)
        if is_reader:
            lost = [
                quarantine.Change(f, ends, is_own=False)
                for f, ends in report.kept.items()
                if f not in own and not isinstance(ends, feeds.Unreadable)
            ]
            self._queue(lost, self._rng.uniform(*REWRITE_DELAY_S))

    def cancel_rewrite(self, fingerprint: str) -> None:
        """Cancels a delayed rewrite, since the store has the record."""
        now_s = time.monotonic()
        with self._lock:
            pending = self._pending.get(fingerprint)
            if pending is not None and pending.due_s > now_s:
                del self._pending[fingerprint]

    def _queue(
        self, changes: Sequence[quarantine.Change], delay_s: float
    ) -> None:
        due_s = time.monotonic() + delay_s
        with self._lock:
            for change in changes:
                self._pending[change.fingerprint] = _PendingWrite(change, due_s)
        self._wake.set()

    def _run(self) -> None:
        while True:
            self._wake.wait(self._get_delay())
            if self._stop.is_set():
                return
            self._wake.clear()
            with guard.log_exceptions("quarantine"):
                if not self.write_due():
                    self._stop.wait(WRITE_RETRY_S)
                    self._wake.set()

    def _get_delay(self) -> float | None:
        """Returns the seconds until the next write; None if none pends."""
        with self._lock:
            due_s = min((w.due_s for w in self._pending.values()), default=None)
        return None if due_s is None else max(0.0, due_s - time.monotonic())

    def write_due(self) -> bool:
        """Writes what is due; returns whether all writes succeeded."""
        now_s = time.monotonic()
        with self._lock:
            due = [w.change for w in self._pending.values() if now_s >= w.due_s]
        is_done = True
        for change in due:
            problem = self._write(change.fingerprint, change.crashes)
            decisions.record(
                decisions.QuarantineSaved(
                    change.fingerprint, bool(change.crashes), problem
                )
            )
            is_done = is_done and not problem
            if not problem:
                self._record_written(change, now_s)
        return is_done

    def _record_written(self, change: quarantine.Change, now_s: float) -> None:
        """Records a written change; ends its pending write unless replaced."""
        with self._lock:
            self._written = {
                f: (c, at_s)
                for f, (c, at_s) in self._written.items()
                if now_s - at_s < RESTORE_WINDOW_S
            }
            self._written[change.fingerprint] = (change, now_s)
            pending = self._pending.get(change.fingerprint)
            if pending is not None and pending.change is change:
                del self._pending[change.fingerprint]
