"""Counters and histograms of the logged decisions.

Every decision that is logged is also counted, by a handler on the decisions'
logger. The metrics library is imported when metrics are first read or many
samples are pending: at a host's start, while callers wait, its import and that
of the state dump with their dependencies would take a tenth of the processor
time, and 2.5 MB. Read next: `egretspur.decisions`.
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

# Upper bounds of the histograms' buckets, in seconds. Callers expect the first
# event within 0.5 s and later ones within 0.2 s of each other.
_BUCKETS: Final[Mapping[str, tuple[float, ...]]] = {
    "first_event": (0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 5.0, _INF),
    "event_gap": (0.05, 0.1, 0.15, 0.2, 0.4, 1.0, 2.0, _INF),
    "queue_wait": (0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, _INF),
    "caller_return": (0.1, 0.5, 1.0, 2.0, 4.0, 6.0, 10.0, _INF),
    "order": (0.25, 0.5, 1.0, 2.0, 4.0, 8.0, _INF),
    "store_call": (0.005, 0.01, 0.05, 0.2, 0.5, 1.0, 2.0, _INF),
}

_HELP_TEXTS: Final[Mapping[str, str]] = {
    "first_event": "From arrival to the first event or the answer",
    "event_gap": "Longest pause between two events of an answer",
    "queue_wait": "From arrival to a refusal",
    "caller_return": "From a refusal to the caller's return to this host",
    "order": "From an order for layers to the engine's word that it is done",
    "store_call": "Calls to the store, waiting reads left out",
}

# Field that holds the cause, by log event.
_CAUSE_FIELDS: Final[Mapping[str, str]] = {
    "request_refused": "kind",
    "caller_returned": "is_early",
    "attempt_failed": "why",
    "request_cut": "ended_by",
    "request_answered": "status",
    "upstream_changed": "state",
    "question_sent": "question",
    "reach_changed": "state",
    "help_refused": "reason",
    "tunnel_refused": "reason",
    "repeat_taken": "service",
    "budget_empty": "service",
    "store_lost": "topic",
    "store_back": "topic",
    "entry_left_out": "field",
    "host_unanswered": "topic",
    "newest_doubted": "topic",
    "newest_settled": "topic",
    "step_failed": "where",
}

# Histograms that a log event feeds, with the field of the observed value.
_HISTOGRAM_FIELDS: Final[Mapping[str, tuple[tuple[str, str], ...]]] = {
    "request_answered": (("first_event", "first_s"), ("event_gap", "gap_s")),
    "request_refused": (("queue_wait", "waited_s"),),
    "caller_returned": (("caller_return", "came_s"),),
    "order_done": (("order", "took_s"),),
}

# Pending samples that trigger the import of the library: some hundred
# kilobytes, so that memory stays bounded if the metrics are never read.
MAX_PENDING_SAMPLES: Final = 4096

# Name of samples of the counter; other samples name their histogram.
_DECISIONS: Final = "decisions"


@attrs.frozen
class _Sample:
    """One observation of a metric."""

    name: str
    labels: Mapping[str, str]
    value: float


class _LoadedMetrics:
    """The metrics, as objects of the metrics library."""

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
                _HELP_TEXTS[name],
                registry=self.registry,
                buckets=bounds,
            )
            for name, bounds in _BUCKETS.items()
        }

    def add(self, sample: _Sample) -> None:
        """Adds a sample to its counter or histogram."""
        if sample.name == _DECISIONS:
            self._counter.inc(dict(sample.labels))
        else:
            self._times[sample.name].observe({}, sample.value)


class Meters(logging.Handler):
    """Counts decisions by event and cause, and their times by bucket."""

    def __init__(self) -> None:
        """Makes metrics without samples."""
        super().__init__()
        self._lock = threading.Lock()
        self._pending: list[_Sample] = []
        self._loaded: _LoadedMetrics | None = None
        self._is_loading = False

    def emit(self, record: logging.LogRecord) -> None:
        """Counts the decision in a log record."""
        fields = record.__dict__
        event = fields.get(decisions.EVENT_KEY)
        if event is None:
            return
        labels = {"event": event, "cause": get_cause(fields)}
        self._add(_Sample(_DECISIONS, labels, 1.0))
        for name, field in _HISTOGRAM_FIELDS.get(event, ()):
            self._add(_Sample(name, {}, float(fields[field])))

    def note_store_call(self, seconds: float) -> None:
        """Records the duration of a call to the store."""
        self._add(_Sample("store_call", {}, seconds))

    def collect(self) -> collectors.Registry:
        """Returns all metrics; imports the metrics library if necessary."""
        # Imported outside the lock, for which each log call waits.
        loaded = self._loaded or _LoadedMetrics()
        with self._lock:
            if self._loaded is None:
                self._loaded = loaded
            for sample in self._pending:
                self._loaded.add(sample)
            self._pending.clear()
            return self._loaded.registry

    def _add(self, sample: _Sample) -> None:
        with self._lock:
            if self._loaded is not None:
                self._loaded.add(sample)
                return
            self._pending.append(sample)
            if len(self._pending) < MAX_PENDING_SAMPLES or self._is_loading:
                return
            self._is_loading = True
        threading.Thread(target=self.collect, name="meters").start()


def get_cause(fields: Mapping[str, Any]) -> str:
    """Returns the cause in a log line's fields; empty if it has none."""
    name = _CAUSE_FIELDS.get(fields[decisions.EVENT_KEY])
    return str(fields[name]) if name else ""
