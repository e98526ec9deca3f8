"""Counters and histograms, fed by the decisions that are logged.

Whatever is worth a log line is worth counting, so both come from one place: a
handler on the decisions' logger. The library that keeps the figures is loaded
when someone asks for them or many wait: with what it needs, and with that of
the state dump, it is a tenth of the processor time of a host's start, while
callers wait, and 2.5 MB. Read next: `egretspur.decisions`.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, Final

import attrs

from egretspur import decisions

if TYPE_CHECKING:
    from aioprometheus import collectors

_INF: Final = float("inf")

# Upper bounds of the buckets, in seconds: callers count 0.5 s to the first
# event and 0.2 s between two as prompt.
_BUCKETS: Final[Mapping[str, tuple[float, ...]]] = {
    "first_event": (0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 5.0, _INF),
    "event_gap": (0.05, 0.1, 0.15, 0.2, 0.4, 1.0, 2.0, _INF),
    "queue_wait": (0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, _INF),
    "order": (0.25, 0.5, 1.0, 2.0, 4.0, 8.0, _INF),
    "store_call": (0.005, 0.01, 0.05, 0.2, 0.5, 1.0, 2.0, _INF),
}

_TEXTS: Final[Mapping[str, str]] = {
    "first_event": "From arrival to the first event or the answer",
    "event_gap": "Longest pause between two events of an answer",
    "queue_wait": "From arrival to a refusal",
    "order": "From an order for layers to the engine's word that it is done",
    "store_call": "Calls to the store, waiting reads left out",
}

# Fields that hold the cause, by kind of line.
_CAUSES: Final[Mapping[str, str]] = {
    "request_refused": "kind",
    "attempt_failed": "why",
    "request_answered": "status",
    "upstream_changed": "state",
    "question_sent": "question",
    "repeat_taken": "service",
    "budget_empty": "service",
    "store_lost": "topic",
    "store_back": "topic",
    "entry_left_out": "field",
    "step_failed": "where",
}

# Histograms that a kind of line feeds, with the field.
_TIMES: Final[Mapping[str, tuple[tuple[str, str], ...]]] = {
    "request_answered": (("first_event", "first_s"), ("event_gap", "gap_s")),
    "request_refused": (("queue_wait", "waited_s"),),
    "order_done": (("order", "took_s"),),
}


# Figures that wait for the library at most: some hundred kilobytes, so that a
# host that nobody asks does not grow.
MOST_WAITING: Final = 4096

# Of the counter; the other figures are times, by their names.
_DECISIONS: Final = "decisions"


@attrs.frozen
class _Figure:
    """One observation."""

    name: str
    labels: Mapping[str, str]
    value: float


class _Collected:
    """The figures in the library's terms."""

    def __init__(self) -> None:
        from aioprometheus import collectors

        self.registry = collectors.Registry()
        self._counter = collectors.Counter(
            "egretspur_decisions_total",
            "Decisions by kind and cause",
            registry=self.registry,
        )
        self._times = {
            name: collectors.Histogram(
                f"egretspur_{name}_seconds",
                _TEXTS[name],
                registry=self.registry,
                buckets=bounds,
            )
            for name, bounds in _BUCKETS.items()
        }

    def take(self, figure: _Figure) -> None:
        """Takes one observation."""
        if figure.name == _DECISIONS:
            self._counter.inc(dict(figure.labels))
        else:
            self._times[figure.name].observe({}, figure.value)


class Meters(logging.Handler):
    """Counts decisions by kind and cause, and their times by bucket."""

    def __init__(self) -> None:
        """Makes meters that have counted nothing."""
        super().__init__()
        self._guard = threading.Lock()
        self._waiting: list[_Figure] = []
        self._collected: _Collected | None = None
        self._is_loading = False

    def emit(self, record: logging.LogRecord) -> None:
        """Counts the decision in a log record."""
        fields = record.__dict__
        event = fields.get(decisions.EVENT_KEY)
        if event is None:
            return
        labels = {"event": event, "cause": get_cause(fields)}
        self._take(_Figure(_DECISIONS, labels, 1.0))
        for name, field in _TIMES.get(event, ()):
            self._take(_Figure(name, {}, float(fields[field])))

    def note_store_call(self, seconds: float) -> None:
        """Takes the time of a call to the store."""
        self._take(_Figure("store_call", {}, seconds))

    def collect(self) -> collectors.Registry:
        """Returns all figures; loads the library if nothing has yet."""
        # Not under the lock: whoever logs would wait for it.
        loaded = self._collected or _Collected()
        with self._guard:
            if self._collected is None:
                self._collected = loaded
            for figure in self._waiting:
                self._collected.take(figure)
            self._waiting.clear()
            return self._collected.registry

    def _take(self, figure: _Figure) -> None:
        with self._guard:
            if self._collected is not None:
                self._collected.take(figure)
                return
            self._waiting.append(figure)
            if len(self._waiting) < MOST_WAITING or self._is_loading:
                return
            self._is_loading = True
        threading.Thread(target=self.collect, name="meters").start()


def get_cause(fields: Mapping[str, Any]) -> str:
    """Returns the cause in a line's fields; empty if it has none."""
    name = _CAUSES.get(fields[decisions.EVENT_KEY])
    return str(fields[name]) if name else ""
