"""``egretspur explain``: traces one request through the logs of all hosts.

Reads the JSON lines that `egretspur.decisions` writes, from files or standard
input, and prints in order of time which decisions were made for a request, from
which data, and how the request ended. State changes of the upstreams on its
path and of its host in that time are shown too, since one of them is usually
the cause.
"""

from __future__ import annotations

import datetime
from collections.abc import Iterable
from typing import Any, Final

import attrs
import orjson

from egretspur import decisions

# Fields that are shown at the start of a printed line or not at all.
_COMMON: Final = frozenset(
    {"time", "level", "name", "message", "process", "event", "request"}
)

# Changes of upstreams are shown from this long before the request's first line.
LOOKBACK_S: Final = 2.0

# Log events that end a request.
_END_EVENTS: Final = (
    decisions.RequestAnswered,
    decisions.RequestRefused,
    decisions.RequestCut,
    decisions.RequestLeft,
)


# Log events of planned work at a host.
_HOST_CHANGES: Final = tuple(
    decisions.make_event_name(c.__name__)
    for c in (
        decisions.ConfigurationApplied,
        decisions.Reloaded,
        decisions.Stopping,
    )
)


@attrs.frozen
class Line:
    """One line of a log."""

    # Seconds since the epoch, by the clock of the host that wrote it.
    time_s: float
    process: str
    event: str
    fields: dict[str, Any]


@attrs.define
class Trace:
    """The log lines that concern one request."""

    request: str
    lines: list[Line] = attrs.Factory(list)
    # Changes of the upstreams it was sent to, and of its last host.
    changes: list[Line] = attrs.Factory(list)
    # Other ids under which the same request was sent, oldest first.
    other_ids: list[str] = attrs.Factory(list)
    # Number of lines that aren't JSON or lack a field.
    skipped: int = 0
    # Seconds from the last line to the next start of its host; None if the host
    # didn't start again.
    restarted_s: float | None = None


def read_lines(texts: Iterable[str], trace: Trace) -> list[Line]:
    """Returns the lines of a log; counts those that can't be read.

    Args:
        texts: Lines; anything before the first brace of a line is ignored.
        trace: Receives the count of lines that were skipped.
    """
    lines = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            trace.skipped += bool(text.strip())
            continue
        try:
            fields = orjson.loads(text[start:])
            if decisions.EVENT_KEY in fields:
                lines.append(_make_line(fields))
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
            trace.skipped += 1
    return lines


def trace_request(request: str, texts: Iterable[str]) -> Trace:
    """Returns the lines of all logs that concern a request."""
    trace = Trace(request)
    lines = read_lines(texts, trace)
    trace.lines = sorted(
        (n for n in lines if n.fields.get("request") == request),
        key=lambda n: n.time_s,
    )
    if not trace.lines:
        return trace
    trace.other_ids = _find_other_ids(trace, lines)
    last = trace.lines[-1]
    starts = [
        n.time_s - last.time_s
        for n in lines
        if n.event == "started"
        and n.process == last.process
        and n.time_s > last.time_s
    ]
    trace.restarted_s = min(starts, default=None)
    upstreams = _find_upstreams(trace.lines)
    first_s = trace.lines[0].time_s - LOOKBACK_S
    last_s = trace.lines[-1].time_s
    trace.changes = sorted(
        (
            n
            for n in lines
            if first_s <= n.time_s <= last_s
            and "request" not in n.fields
            and (
                _is_host_change(n, last.process)
                or (
                    n.fields.get("upstream") in upstreams
                    and n.fields.get("state") != "listed"
                )
            )
        ),
        key=lambda n: n.time_s,
    )
    return trace


def format_trace(trace: Trace) -> list[str]:
    """Returns the lines of text that are printed."""
    if not trace.lines:
        return [f"No line of these logs names request {trace.request}."]
    start_s = trace.lines[0].time_s
    hosts = sorted({n.process for n in trace.lines})
    texts = [f"request {trace.request} on {', '.join(hosts)}"]
    marked = [(n, " ") for n in trace.lines] + [(n, "*") for n in trace.changes]
    for line, mark in sorted(marked, key=lambda m: m[0].time_s):
        texts.append(
            f"{line.time_s - start_s:+9.3f} s {mark} {line.process}"
            f"  {line.event.replace('_', ' ')}  {_format_fields(line)}"
        )
    texts.append(f"end: {explain_end(trace)}")
    if trace.other_ids:
        texts.append(f"the same request came as: {', '.join(trace.other_ids)}")
    if trace.changes:
        texts.append("(* a change of an upstream on its path, or of its host)")
    if len(hosts) > 1:
        texts.append("(times are of several hosts' clocks and may be apart)")
    return texts


def explain_end(trace: Trace) -> str:
    """Returns how a request ended and why, for the printed text."""
    names = {decisions.make_event_name(c.__name__) for c in _END_EVENTS}
    ends = [n for n in trace.lines if n.event in names]
    if not ends:
        return _explain_missing_end(trace)
    last = ends[-1]
    fields = last.fields
    if last.event == "request_answered":
        late = _describe_delays(trace, fields)
        return f"answered with {fields['status']}{late}"
    if last.event == "request_refused":
        return (
            f"refused as {fields['kind']} after {fields['waited_s']} s:"
            f" {fields['reason']}"
        )
    if last.event == "request_cut":
        return _describe_cut(fields)
    return (
        f"its caller left after {fields['total_s']} s, having"
        f" {fields['events']} events and waited {fields['silent_s']} s for"
        " the next"
    )


def _describe_cut(fields: dict[str, Any]) -> str:
    """Returns how an answer was cut, and who ended its last attempt."""
    text = f"cut after {fields['events']} events: {fields['reason']}"
    if "ended_by" not in fields:
        return text
    failed = "; ".join(fields["failed"]) or "none"
    return (
        f"{text}; its last attempt was ended by the {fields['ended_by']}, with"
        f" {fields['left_s']} s of the caller's time left; attempts: {failed}"
    )


def _explain_missing_end(trace: Trace) -> str:
    """Returns why the logs have no line for the end of a request."""
    if trace.restarted_s is None:
        return "not in these logs; the host may have been killed"
    return (
        "its host ended without logging a stop, killed or without power, and"
        f" started again {trace.restarted_s:.1f} s after the last line"
    )


def _describe_delays(trace: Trace, fields: dict[str, Any]) -> str:
    """Returns the delays of an answer and their causes."""
    failed = [n for n in trace.lines if n.event == "attempt_failed"]
    moved = [n for n in trace.lines if n.event == "request_moved"]
    queued = [n for n in trace.lines if n.event == "request_queued"]
    text = (
        f", first event after {fields['first_s']} s, longest pause"
        f" {fields['gap_s']} s"
    )
    if failed:
        text += f"; attempt failed: {failed[-1].fields['reason']}"
    if moved:
        text += f"; moved off {', '.join(moved[-1].fields['stalled'])}"
    if queued:
        text += f"; waited: {queued[-1].fields['reason']}"
    slow = [
        n.fields["upstream"]
        for n in trace.changes
        if n.fields.get("state") == "slow"
    ]
    if slow:
        text += f"; slow on its path: {', '.join(sorted(set(slow)))}"
    return text


def _make_line(fields: dict[str, Any]) -> Line:
    stamp = str(fields["time"]).replace(",", ".")
    time_s = datetime.datetime.fromisoformat(stamp).timestamp()
    return Line(
        time_s,
        str(fields.get("process", "?")),
        str(fields[decisions.EVENT_KEY]),
        fields,
    )


def _find_other_ids(trace: Trace, lines: Iterable[Line]) -> list[str]:
    """Returns the other ids of the request, found by its fingerprint."""
    prints = {n.fields.get("fingerprint") for n in trace.lines} - {None, ""}
    same = [n for n in lines if n.fields.get("fingerprint") in prints]
    same.sort(key=lambda n: n.time_s)
    found = dict.fromkeys(str(n.fields.get("request")) for n in same)
    return [r for r in found if r != trace.request]


def _is_host_change(line: Line, process: str) -> bool:
    """Returns whether a line tells of planned work at a host."""
    return line.process == process and line.event in _HOST_CHANGES


def _find_upstreams(lines: Iterable[Line]) -> set[str]:
    found: set[str] = set()
    for line in lines:
        if line.event != "path_chosen":
            continue
        found.add(line.fields["upstream"])
        for part in line.fields["path"].split():
            found.add(part.partition(":")[0])
    return found


def _format_fields(line: Line) -> str:
    shown = {k: v for k, v in line.fields.items() if k not in _COMMON}
    return " ".join(f"{k}={_format_value(v)}" for k, v in shown.items())


def _format_value(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(str(v) for v in value) or "-"
    text = str(value)
    return f'"{text}"' if " " in text else text or "-"
