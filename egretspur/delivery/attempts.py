"""Merges the events of a request's attempts into one answer; free of I/O.

An event is accepted only if it belongs to this request, to the current attempt
and to the next position, and if its layers ran once and in order on the path
of that attempt. Any other event is dropped or ends the attempt, so that late,
repeated or misrouted events never reach a caller.
"""

from __future__ import annotations

import enum
import functools

import attrs

from egretspur.clients import engine


class FaultCause(enum.Enum):
    """Why an attempt ended before the answer was complete."""

    CROSSED = "crossed"
    GAP = "gap"
    LAYERS = "layers"
    COUNT = "count"
    ENGINE = "engine"


@attrs.frozen
class Deliver:
    """Send this text to the caller."""

    text: str


@attrs.frozen
class Drop:
    """Ignore the event."""

    reason: str


@attrs.frozen
class Finish:
    """The answer is complete."""

    count: int
    load: int


@attrs.frozen
class Fault:
    """The attempt failed; another one resumes at the current position."""

    cause: FaultCause
    reason: str
    # Upstream known to be at fault; empty if any on the path may be.
    upstream: str = ""


Decision = Deliver | Drop | Finish | Fault


@attrs.define
class TokenMerge:
    """The part of a request's answer received so far."""

    request: str
    attempt: int = 0
    # Upstreams and layer ranges that each token of the current attempt must
    # report, as `engine.format_trail` writes them.
    expected_layers: str = ""
    # Tokens delivered; their count is the next position.
    tokens: list[str] = attrs.Factory(list)
    finished: bool = False


def begin_attempt(merge: TokenMerge, expected_layers: str) -> int:
    """Begins the next attempt; returns its number."""
    merge.attempt += 1
    merge.expected_layers = expected_layers
    return merge.attempt


def apply_event(merge: TokenMerge, event: engine.Event) -> Decision:
    """Checks an event and appends its token to the answer."""
    if event.request != merge.request:
        if isinstance(event, engine.ErrorEvent) and not event.request:
            return Fault(FaultCause.ENGINE, event.kind, event.upstream)
        # The answer of an earlier request on a reused connection, for example
        # after its caller disconnected. Nothing that follows on this
        # connection can be trusted.
        return Fault(FaultCause.CROSSED, f"event of request {event.request}")
    if event.attempt != merge.attempt:
        return Drop(f"attempt {event.attempt} instead of {merge.attempt}")
    return _apply_current(event, merge)


@functools.singledispatch
def _apply_current(event: object, merge: TokenMerge) -> Decision:
    raise TypeError(f"unknown event {event!r}")


@_apply_current.register
def _(event: engine.TokenEvent, merge: TokenMerge) -> Decision:
    position = len(merge.tokens)
    if event.position < position:
        return Drop(f"position {event.position} already delivered")
    if event.position > position:
        return Fault(
            FaultCause.GAP, f"position {event.position} instead of {position}"
        )
    if event.layers != merge.expected_layers:
        return Fault(
            FaultCause.LAYERS,
            f"layers {event.layers} instead of {merge.expected_layers}",
        )
    merge.tokens.append(event.text)
    return Deliver(event.text)


@_apply_current.register
def _(event: engine.EndEvent, merge: TokenMerge) -> Decision:
    position = len(merge.tokens)
    if event.count != position:
        return Fault(
            FaultCause.COUNT,
            f"end event counts {event.count} tokens, received {position}",
        )
    merge.finished = True
    return Finish(event.count, event.load)


@_apply_current.register
def _(event: engine.ErrorEvent, merge: TokenMerge) -> Decision:
    return Fault(FaultCause.ENGINE, event.kind, event.upstream)
