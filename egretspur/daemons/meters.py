"""Counters and histograms, fed by the decisions that are logged.

Whatever is worth a log line is worth counting, so both come from one place: a
handler on the decisions' logger. Read next: `egretspur.decisions`.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import Any, Final

from aioprometheus import collectors

from egretspur import decisions

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


class Meters(logging.Handler):
    """Counts decisions by kind and cause, and their times by bucket."""

    def __init__(self, registry: collectors.Registry) -> None:
        super().__init__()
        self._counter = collectors.Counter(
            "egretspur_decisions_total",
            "Decisions by kind and cause",
            registry=registry,
        )
        self._times = {
            name: collectors.Histogram(
                f"egretspur_{name}_seconds",
                _TEXTS[name],
                registry=registry,
                buckets=bounds,
            )
            for name, bounds in _BUCKETS.items()
        }

    def emit(self, record: logging.LogRecord) -> None:
        """Counts the decision in a log record."""
        fields = record.__dict__
        event = fields.get(decisions.EVENT_KEY)
        if event is None:
            return
        labels = {"event": event, "cause": get_cause(fields)}
        self._counter.inc(labels)
        for name, field in _TIMES.get(event, ()):
            self._times[name].observe({}, float(fields[field]))

    def note_store_call(self, seconds: float) -> None:
        """Takes the time of a call to the store."""
        self._times["store_call"].observe({}, seconds)


def get_cause(fields: Mapping[str, Any]) -> str:
    """Returns the cause in a line's fields; empty if it has none."""
    name = _CAUSES.get(fields[decisions.EVENT_KEY])
    return str(fields[name]) if name else ""
