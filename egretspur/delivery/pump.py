"""The pump: one thread that reads the streams of all requests.

A thread for each stream would spend most of its time being woken: at 20
events a second a stream, the switch costs more than reading, checking and
writing the event. The pump reads whatever has arrived on any stream and hands
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

from egretspur.clients import engine

_LOG: Final = logging.getLogger(__name__)

# Pause between two rounds, in seconds: events that arrive within it are
# handled in one wake-up. A token waits for half of it on average, against the
# 51 ms allowed between tokens.
ROUND_S: Final = 0.004

# Seconds between two looks for silent streams.
SILENCE_CHECK_S: Final = 0.05


class Consumer(Protocol):
    """Takes the events of one stream, in the pump's thread."""

    def take(self, events: list[engine.Event]) -> bool:
        """Takes events; returns False once it wants no more."""


@attrs.define(eq=False)
class _Entry:
    stream: engine.EventStream
    consumer: Consumer
    heard_s: float
    # Longest silence before the next event.
    bound_s: float
    done: threading.Event = attrs.Factory(threading.Event)
    broken: engine.StreamFailure | None = None

    def finish(self, broken: engine.StreamFailure | None) -> None:
        """Wakes whoever handed it in."""
        self.broken = broken
        self.done.set()


class Pump:
    """Reads many streams in one thread."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._lock = threading.Lock()
        self._added: list[_Entry] = []
        self._entries: set[_Entry] = set()
        self._is_idle = True
        self._stop = False
        self._waker, self._wakee = socket.socketpair()
        self._wakee.setblocking(False)
        self._selector.register(self._wakee, selectors.EVENT_READ, None)
        self._thread = threading.Thread(
            target=self._run, name="pump", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stops the thread; streams still open count as broken."""
        self._stop = True
        self._waker.send(b"x")
        self._thread.join(timeout=1.0)

    def run(
        self, stream: engine.EventStream, consumer: Consumer, first_s: float
    ) -> engine.StreamFailure | None:
        """Passes a stream's events to its consumer until it is over.

        Args:
            stream: Read by the pump alone until this returns.
            consumer: Called in the pump's thread; must not block.
            first_s: Longest silence in seconds before the next event.

        Returns:
            Why the stream broke; None if the consumer wants no more.
        """
        entry = _Entry(stream, consumer, time.monotonic(), first_s)
        stream.set_event_timeout()
        with self._lock:
            self._added.append(entry)
            if self._is_idle:
                self._waker.send(b"x")
        entry.done.wait()
        return entry.broken

    def _run(self) -> None:
        checked_s = time.monotonic()
        while not self._stop:
            self._take_added()
            wait = SILENCE_CHECK_S if self._entries else None
            ready = self._selector.select(wait)
            for key, _ in ready:
                if key.data is None:
                    self._wakee.recv(4096)
                else:
                    self._read(key.data)
            now = time.monotonic()
            if now - checked_s >= SILENCE_CHECK_S:
                checked_s = now
                self._end_silent(now)
            if ready:
                time.sleep(ROUND_S)
        for entry in list(self._entries):
            self._end(entry, engine.StreamFailure("the router stops", True))

    def _take_added(self) -> None:
        """Begins to read what was added, until there is nothing more.

        Whether the thread may rest is looked at last: an answer that lies
        whole in its buffer is over before the next rest. Symptom were it
        looked at before: the thread rests, nobody wakes it, and the next
        answers stand still for ever.
        """
        while True:
            with self._lock:
                added, self._added = self._added, []
                if not added:
                    self._is_idle = not self._entries
                    return
            self._begin(added)

    def _begin(self, added: list[_Entry]) -> None:
        for entry in added:
            try:
                self._selector.register(
                    entry.stream.sock, selectors.EVENT_READ, entry
                )
            except (KeyError, OSError, ValueError) as exc:
                # One stream's trouble must not stop all the others.
                _LOG.info("stream not watched", extra={"reason": repr(exc)})
                entry.finish(
                    engine.StreamFailure(repr(exc), maybe_started=True)
                )
                continue
            self._entries.add(entry)
            # Bytes may have been read into the buffer together with the
            # response's head; they don't make the socket readable.
            if entry.stream.has_buffered():
                self._read(entry)

    def _read(self, entry: _Entry) -> None:
        events = entry.stream.read_ready()
        if isinstance(events, engine.StreamFailure):
            self._end(entry, events)
            return
        entry.heard_s = time.monotonic()
        entry.bound_s = entry.stream.max_silence_s
        try:
            wants_more = entry.consumer.take(events)
        except Exception as exc:
            # One stream's trouble must not stop all the others.
            _LOG.exception("consumer failed")
            self._end(
                entry, engine.StreamFailure(repr(exc), maybe_started=True)
            )
            return
        if not wants_more:
            self._end(entry, None)
        elif entry.stream.ended:
            self._end(entry, engine.StreamFailure("no end", maybe_started=True))
        elif entry.stream.failure is not None:
            # At once: its connection may be used for another answer by now.
            self._end(entry, entry.stream.failure)

    def _end_silent(self, now_s: float) -> None:
        for entry in list(self._entries):
            silence = now_s - entry.heard_s
            if silence > entry.bound_s:
                self._end(
                    entry,
                    engine.StreamFailure(
                        f"silent for {silence:.2f} s", maybe_started=True
                    ),
                )

    def _end(self, entry: _Entry, broken: engine.StreamFailure | None) -> None:
        if entry not in self._entries:
            return
        self._entries.discard(entry)
        self._selector.unregister(entry.stream.sock)
        entry.finish(broken)
