"""Looks after streams that fell silent, and moves them off dead stages.

Symptom without it: a stage dies, and every answer that runs over it stands
still for two seconds until the platform cuts it, by when its caller has turned
away. The first engine of a path knows much earlier which stage holds it up;
the watch asks it, and has the request go on over another stage in its place.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Sequence
from typing import Final, Protocol

from egretspur import decisions, guard
from egretspur.catalog import upstreams
from egretspur.delivery import forward
from egretspur.routing import desk, paths

# Seconds between two looks.
PERIOD_S: Final = 0.1

# A stream without an event for so long is asked about. Events come every few
# tens of milliseconds; a pause beyond 0.2 s counts as late already.
SILENT_S: Final = 0.3

# Before the first event the prompt is read: 50 ms as a rule, 200 ms in a
# burst. A request moved by then still has its first event within 0.5 s.
SILENT_FIRST_S: Final = 0.25

# A stream that can't be moved is ended after so long without an event, so
# that it goes on over another path before its caller turns away.
HOPELESS_S: Final = 1.1

# Seconds between two questions to one engine.
ASK_S: Final = 0.25


class Engines(Protocol):
    """Reports of engines and orders to them."""

    def get_report(self, address: str) -> upstreams.EngineReport | str:
        """Returns a report, or why there is none."""

    def repath(
        self, address: str, request_id: str, parts: Sequence[paths.Part]
    ) -> str:
        """Moves a running request; returns why it could not."""


class StreamWatch:
    """See the module's docstring."""

    def __init__(self, to: desk.Desk, engines: Engines) -> None:
        self._desk = to
        self._engines = engines
        self._lock = threading.Lock()
        self._streams: set[forward.Forward] = set()
        # Streams that were asked to move, with the time.
        self._moved: dict[forward.Forward, float] = {}
        self._asked: dict[str, float] = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="watch", daemon=True
        )

    def start(self) -> None:
        """Starts to look."""
        self._thread.start()

    def close(self) -> None:
        """Stops."""
        self._stop.set()

    def add(self, stream: forward.Forward) -> None:
        """Begins to watch a stream."""
        with self._lock:
            self._streams.add(stream)

    def remove(self, stream: forward.Forward) -> None:
        """Ends the watch."""
        with self._lock:
            self._streams.discard(stream)
            self._moved.pop(stream, None)

    def _run(self) -> None:
        while not self._stop.wait(PERIOD_S):
            with guard.surviving("watch"):
                self.look(time.monotonic())

    def look(self, now_s: float) -> None:
        """Deals with the streams that are silent now, by first engine."""
        with self._lock:
            silent = [s for s in self._streams if is_silent(s, now_s)]
        by_first: dict[paths.Part, list[forward.Forward]] = {}
        for stream in silent:
            by_first.setdefault(stream.parts[0], []).append(stream)
        for first, streams in by_first.items():
            if now_s - self._asked.get(first.id, -ASK_S) < ASK_S:
                continue
            self._asked[first.id] = now_s
            self._handle(first, streams)

    def _handle(
        self, first: paths.Part, streams: Sequence[forward.Forward]
    ) -> None:
        report = self._engines.get_report(first.address)
        if isinstance(report, str):
            self._desk.tell(desk.NoteFailed(first.id))
            for stream in streams:
                stream.stalled.add(first.id)
                stream.interrupt()
            return
        for stream in streams:
            stalled = frozenset(
                p.id for p in stream.parts if p.address in report.stalled
            )
            for upstream_id in stalled:
                self._desk.tell(desk.NoteFailed(upstream_id))
            stream.stalled |= stalled
            if stalled and self._move(stream, stalled):
                continue
            if time.monotonic() - stream.heard_s > HOPELESS_S and stalled:
                stream.interrupt()

    def _move(self, stream: forward.Forward, stalled: frozenset[str]) -> bool:
        """Tells whether a stream was moved, now or a moment ago."""
        now_s = time.monotonic()
        moved_s = self._moved.get(stream)
        if moved_s is not None:
            return now_s - moved_s < HOPELESS_S
        parts = self._desk.repath(stream.job.id, stalled)
        if parts is None:
            return False
        problem = self._engines.repath(parts[0].address, stream.call.id, parts)
        decisions.record(
            decisions.RequestMoved(
                stream.job.id,
                tuple(sorted(stalled)),
                now_s - stream.heard_s,
                problem,
            )
        )
        if problem:
            return False
        stream.parts = parts
        with self._lock:
            if stream in self._streams:
                self._moved[stream] = now_s
        return True


def is_silent(stream: forward.Forward, now_s: float) -> bool:
    """Tells whether a stream has had no event for too long."""
    bound_s = SILENT_S if stream.has_begun else SILENT_FIRST_S
    return bool(stream.parts) and now_s - stream.heard_s > bound_s
