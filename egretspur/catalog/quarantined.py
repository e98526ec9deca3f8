"""Requests in quarantine as the store keeps them.

Hosts tell each other which requests they send no more
(`egretspur.admission.quarantine`), and forget it when they end: were all of
them to lose power, or a data centre to be cut off from the others, a request
would end three more upstreams. So a host that saw one of the ends writes the
request to the store, from which all hosts read it. An operator lets a request
go by removing its record.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from egretspur import decisions, guard
from egretspur.admission import quarantine
from egretspur.catalog import feeds
from egretspur.routing import desk

# How long the reader's read waits for a change, in seconds. A change is told at
# once. With the second that a call may take, a connection that went silent is
# noticed within three, after which a host that was cut off is held to its
# bounds again.
WAIT_S: Final = 2.0

# Seconds between two reads of the others; they are told of changes by the
# exchange.
SPARE_PERIOD_S: Final = 60.0

# Seconds between two tries to write while the store does not take it.
RETRY_S: Final = 1.0

# Writes a request's ends under its fingerprint, or removes it if there are
# none; returns why it was not done, empty if it was.
Write = Callable[[str, quarantine.Ends], str]


def get_pace(is_reader: bool) -> feeds.Pace:
    """Returns how to read the requests in quarantine."""
    if is_reader:
        return feeds.Pace(WAIT_S, 0.0)
    return feeds.Pace(0.0, SPARE_PERIOD_S)


class Sink:
    """Hands what the store has to the desk; see `feeds.Sink`."""

    def __init__(self, to: desk.Desk) -> None:
        self._desk = to

    def take_whole(
        self, values: Mapping[str, quarantine.Ends | feeds.Unreadable]
    ) -> None:
        """Takes all requests in quarantine."""
        self.take_changes(tuple(values.items()))

    def take_changes(
        self,
        values: tuple[
            tuple[str, quarantine.Ends | feeds.Unreadable | None], ...
        ],
    ) -> None:
        """Takes changes; a record that can't be read changes nothing."""
        kept = {
            f: ends or {}
            for f, ends in values
            if not isinstance(ends, feeds.Unreadable)
        }
        if kept:
            self._desk.tell(desk.Restore(kept))

    def note_contact(self, is_back: bool) -> None:
        """Nothing depends on when they were last asked for."""


class Saver:
    """Writes to the store what this host put into quarantine or let go."""

    def __init__(self, write: Write) -> None:
        self._write = write
        self._lock = threading.Lock()
        self._is_due = threading.Event()
        self._stop = threading.Event()
        # What is to be written, by fingerprint; the newest counts.
        self._waiting: dict[str, quarantine.Change] = {}
        self._thread = threading.Thread(
            target=self._run, name="quarantine", daemon=True
        )

    def start(self) -> None:
        """Starts to write."""
        self._thread.start()

    def close(self) -> None:
        """Stops; what is not written by then is lost to the store."""
        self._stop.set()
        self._is_due.set()

    def take(self, changes: Sequence[quarantine.Change]) -> None:
        """Has changes written soon."""
        with self._lock:
            for change in changes:
                self._waiting[change.fingerprint] = change
        self._is_due.set()

    def _run(self) -> None:
        while True:
            self._is_due.wait()
            if self._stop.is_set():
                return
            self._is_due.clear()
            with guard.surviving("quarantine"):
                if not self.write_waiting():
                    self._stop.wait(RETRY_S)
                    self._is_due.set()

    def write_waiting(self) -> bool:
        """Writes what waits; tells whether all of it was taken."""
        with self._lock:
            waiting = list(self._waiting.values())
        is_done = True
        for change in waiting:
            problem = self._write(change.fingerprint, change.ends)
            decisions.record(
                decisions.QuarantineSaved(
                    change.fingerprint, bool(change.ends), problem
                )
            )
            is_done = is_done and not problem
            if not problem:
                self._forget(change)
        return is_done

    def _forget(self, change: quarantine.Change) -> None:
        """Drops what was written, unless there is a newer change."""
        with self._lock:
            if self._waiting.get(change.fingerprint) is change:
                del self._waiting[change.fingerprint]
