"""JSON-lines logging for all daemons, bounded and non-blocking.

If logging blocked, a process would stall whenever the reader of its output
stalls. So lines go into a bounded buffer that one thread writes out. When it is
full, lines are dropped, routine ones first, and their number is logged as soon
as the buffer has space again.
"""

from __future__ import annotations

import collections
import logging
import sys
import threading
from typing import IO, Final

from pythonjsonlogger import json as jsonlogger

from egretspur import decisions

# Capacity of the buffer; at 200 bytes a line about 1 MB.
MAX_BUFFERED_LINES: Final = 5000

# Fields that control the handler and are not written.
_INTERNAL_FIELDS: Final = (decisions.ROUTINE_KEY, "taskName")


class BoundedHandler(logging.Handler):
    """Buffers records and writes them in a separate thread."""

    def __init__(
        self, stream: IO[str], capacity: int = MAX_BUFFERED_LINES
    ) -> None:
        super().__init__()
        self._stream = stream
        self._capacity = capacity
        self._ready = threading.Condition()
        self._lines: collections.deque[logging.LogRecord] = collections.deque()
        self._routine: collections.deque[logging.LogRecord] = (
            collections.deque()
        )
        self._is_closed = False
        # Dropped lines by kind, until they are reported.
        self._dropped: collections.Counter[str] = collections.Counter()
        # Dropped lines since the start, for the metrics.
        self.dropped = 0
        self._thread = threading.Thread(
            target=self._run, name="log", daemon=True
        )
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Adds a record to the buffer; drops one if it is full."""
        is_routine = bool(getattr(record, decisions.ROUTINE_KEY, False))
        with self._ready:
            if len(self._lines) + len(self._routine) >= self._capacity:
                self._make_room(record, is_routine)
            elif is_routine:
                self._routine.append(record)
            else:
                self._lines.append(record)
            self._ready.notify()

    def _make_room(self, record: logging.LogRecord, is_routine: bool) -> None:
        """Drops a routine line in favour of another one, or the new line."""
        evicted = record
        if not is_routine and self._routine:
            evicted = self._routine.popleft()
            self._lines.append(record)
        self.dropped += 1
        self._dropped[getattr(evicted, decisions.EVENT_KEY, "other")] += 1

    def close(self) -> None:
        """Writes what is buffered, within a second, and stops."""
        with self._ready:
            self._is_closed = True
            self._ready.notify()
        self._thread.join(timeout=1.0)
        super().close()

    def _run(self) -> None:
        while True:
            with self._ready:
                while not (self._lines or self._routine or self._is_closed):
                    self._ready.wait()
                batch = [*self._lines, *self._routine]
                self._lines.clear()
                self._routine.clear()
                dropped, self._dropped = self._dropped, collections.Counter()
                is_last = self._is_closed
            batch.sort(key=lambda r: r.created)
            self._write(batch, dropped)
            if is_last:
                return

    def _write(
        self,
        batch: list[logging.LogRecord],
        dropped: collections.Counter[str],
    ) -> None:
        lines = [self.format(r) for r in batch]
        if dropped:
            notice = logging.LogRecord(
                __name__, logging.WARNING, "", 0, "lines dropped", None, None
            )
            notice.counts = dict(dropped)
            lines.append(self.format(notice))
        try:
            self._stream.write("".join(f"{line}\n" for line in lines))
            self._stream.flush()
        except (OSError, ValueError):
            # The reader is gone; the process continues without a log.
            with self._ready:
                self.dropped += len(lines)


class _Formatter(jsonlogger.JsonFormatter):
    """Omits fields that only control the handler."""

    def process_log_record(
        self, log_data: dict[str, object]
    ) -> dict[str, object]:
        for name in _INTERNAL_FIELDS:
            log_data.pop(name, None)
        return super().process_log_record(log_data)


def make_handler(
    name: str, stream: IO[str], capacity: int = MAX_BUFFERED_LINES
) -> BoundedHandler:
    """Returns a handler that writes JSON lines for a process."""
    handler = BoundedHandler(stream, capacity)
    handler.setFormatter(
        _Formatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"process": name},
        )
    )
    return handler


def start_logging(name: str, level: str) -> BoundedHandler:
    """Writes all log records to standard output as JSON lines."""
    handler = make_handler(name, sys.stdout)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # Waitress logs a warning for each request that waits for a thread; the
    # router's own queue metrics say the same without flooding the log.
    logging.getLogger("waitress.queue").setLevel(logging.ERROR)
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    logging.getLogger("pykka").setLevel(logging.WARNING)
    return handler
