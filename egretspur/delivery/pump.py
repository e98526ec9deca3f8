"""Reads the streams of all requests in one thread, the pump.

A thread for each stream would spend most of its time on context switches: at
20 events per second and stream, a switch costs more than reading, checking and
writing the event. The pump reads whatever has arrived on any stream and passes
it to that stream's consumer; see docs/design/relay.md for the figures.
"""

from __future__ import annotations

import logging
import selectors
import socket
import threading
import time
from typing import Final, Protocol

import attrs

from egretspur import ends
from egretspur.clients import engine

_LOG: Final = logging.getLogger(__name__)

# Sleep after each round of reads, so that events which arrive close together
# are handled in one wake-up. It delays a token by half of it on average, of
# the 51 ms allowed between tokens.
ROUND_SLEEP_S: Final = 0.004

# Interval between checks for silent streams.
SILENCE_CHECK_INTERVAL_S: Final = 0.05


class Consumer(Protocol):
    """Handles the events of one stream, in the pump's thread."""

    def handle_events(self, events: list[engine.Event]) -> bool:
        """Handles events; returns whether to read more."""


@attrs.define(eq=False)
class _Entry:
    stream: engine.EventStream
    consumer: Consumer
    # When the stream was last read.
    last_read_s: float
    # Maximum seconds until the next event.
    max_silence_s: float
    done: threading.Event = attrs.Factory(threading.Event)
    broken: engine.StreamFailure | None = None

    def finish(self, broken: engine.StreamFailure | None) -> None:
        """Wakes the thread that waits in `Pump.run`."""
        self.broken = broken
        self.done.set()


class Pump:
    """Reads many streams in one thread."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._lock = threading.Lock()
        self._new_entries: list[_Entry] = []
        self._entries: set[_Entry] = set()
        self._is_idle = True
        self._stop = False
        self._wake_send, self._wake_recv = socket.socketpair()
        self._wake_recv.setblocking(False)
        self._selector.register(self._wake_recv, selectors.EVENT_READ, None)
        self._thread = threading.Thread(
            target=self._run, name="pump", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stops the thread; open streams end as broken."""
        self._stop = True
        self._wake_send.send(b"x")
        self._thread.join(timeout=1.0)

    def run(
        self,
        stream: engine.EventStream,
        consumer: Consumer,
        max_silence_s: float,
    ) -> engine.StreamFailure | None:
        """Passes a stream's events to its consumer until the stream ends.

        Args:
            stream: Must not be read by other threads until this returns.
            consumer: Called in the pump's thread; must not block.
            max_silence_s: Maximum seconds until the next event.

        Returns:
            Why the stream broke; None if the consumer stopped it. One that is
            only silent may be run again.
        """
        entry = _Entry(stream, consumer, time.monotonic(), max_silence_s)
        stream.set_event_timeout()
        with self._lock:
            self._new_entries.append(entry)
            if self._is_idle:
                self._wake_send.send(b"x")
        entry.done.wait()
        return entry.broken

    def _run(self) -> None:
        checked_s = time.monotonic()
        while not self._stop:
            self._register_new()
            wait = SILENCE_CHECK_INTERVAL_S if self._entries else None
            ready = self._selector.select(wait)
            for key, _ in ready:
                if key.data is None:
                    self._wake_recv.recv(4096)
                else:
                    self._read(key.data)
            now = time.monotonic()
            if now - checked_s >= SILENCE_CHECK_INTERVAL_S:
                checked_s = now
                self._end_silent(now)
            if ready:
                time.sleep(ROUND_SLEEP_S)
        for entry in list(self._entries):
            self._end(
                entry,
                engine.StreamFailure(
                    "router is stopping", True, ended_by=ends.EndedBy.HOST
                ),
            )

    def _register_new(self) -> None:
        """Registers added streams until there are none left.

        The idle flag is set last: a stream whose answer is completely buffered
        ends while it is registered. If the flag were set before, the thread
        would sleep while marked busy, nobody would wake it, and later answers
        would hang for ever.
        """
        while True:
            with self._lock:
                added, self._new_entries = self._new_entries, []
                if not added:
                    self._is_idle = not self._entries
                    return
            self._register(added)

    def _register(self, added: list[_Entry]) -> None:
        for entry in added:
            try:
                self._selector.register(
                    entry.stream.sock, selectors.EVENT_READ, entry
                )
            except (KeyError, OSError, ValueError) as exc:
                # A failure of one stream must not stop the others.
                _LOG.info("stream not registered", extra={"reason": repr(exc)})
                entry.finish(
                    engine.StreamFailure(repr(exc), maybe_started=True)
                )
                continue
            self._entries.add(entry)
            # Bytes that were read together with the response headers are in
            # the buffer and don't make the socket readable.
            if entry.stream.has_buffered():
                self._read(entry)

    def _read(self, entry: _Entry) -> None:
        events = entry.stream.read_ready()
        if isinstance(events, engine.StreamFailure):
            self._end(entry, events)
            return
        entry.last_read_s = time.monotonic()
        entry.max_silence_s = entry.stream.max_silence_s
        try:
            wants_more = entry.consumer.handle_events(events)
        except Exception as exc:
            # A failure of one stream must not stop the others.
            _LOG.exception("stream consumer failed")
            self._end(
                entry, engine.StreamFailure(repr(exc), maybe_started=True)
            )
            return
        if not wants_more:
            self._end(entry, None)
        elif entry.stream.ended:
            self._end(
                entry, engine.StreamFailure("no end event", maybe_started=True)
            )
        elif entry.stream.failure is not None:
            # Without another read: another answer may already use the
            # connection.
            self._end(entry, entry.stream.failure)

    def _end_silent(self, now_s: float) -> None:
        for entry in list(self._entries):
            silent_s = now_s - entry.last_read_s
            if silent_s > entry.max_silence_s:
                self._end(
                    entry,
                    engine.StreamFailure(
                        f"silent for {silent_s:.2f} s",
                        maybe_started=True,
                        ended_by=ends.EndedBy.HOST,
                        is_silent=True,
                    ),
                )

    def _end(self, entry: _Entry, broken: engine.StreamFailure | None) -> None:
        if entry not in self._entries:
            return
        self._entries.discard(entry)
        self._selector.unregister(entry.stream.sock)
        entry.finish(broken)
