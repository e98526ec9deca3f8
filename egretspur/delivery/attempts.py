"""Merging the attempts of one request into one answer: pure.

An event counts only if it belongs to this request, to the current attempt and
to the next position, and if its layers ran once and in order on the route of
that attempt. Everything else is dropped or ends the attempt, so that late,
repeated or crossed events never reach a caller.
"""

from __future__ import annotations

import enum
import functools

import attrs

from egretspur.clients import engine


class Why(enum.Enum):
    """Why an attempt ended without the whole answer."""

    CROSSED = "crossed"
    GAP = "gap"
    LAYERS = "layers"
    COUNT = "count"
    ENGINE = "engine"


@attrs.frozen
class Deliver:
    """Give this text to the caller."""

    text: str


@attrs.frozen
class Drop:
    """Ignore the event."""

    reason: str


@attrs.frozen
class Finish:
    """The answer is whole."""

    count: int
    load: int


@attrs.frozen
class Fault:
    """The attempt is over; another one goes on from the position."""

    why: Why
    reason: str
    # Upstream known to be at fault; empty if it could be any of the route.
    upstream: str = ""


Decision = Deliver | Drop | Finish | Fault


@attrs.define
class Merge:
    """Where a request's answer stands."""

    request: str
    attempt: int = 0
    # Trail that tokens of the current attempt must carry.
    trail: str = ""
    # Tokens delivered; the next position is their number.
    tokens: list[str] = attrs.Factory(list)
    finished: bool = False


def begin(merge: Merge, trail: str) -> int:
    """Begins the next attempt; returns its number."""
    merge.attempt += 1
    merge.trail = trail
    return merge.attempt


def accept(merge: Merge, event: engine.Event) -> Decision:
    """Decides what an event means for the answer."""
    if event.request != merge.request:
        if isinstance(event, engine.ErrorEvent) and not event.request:
            return Fault(Why.ENGINE, event.kind, event.upstream)
        # An earlier request's answer on a reused connection, for example
        # after its caller was gone. Whatever follows on this connection is
        # not to be trusted.
        return Fault(Why.CROSSED, f"an event of request {event.request}")
    if event.attempt != merge.attempt:
        return Drop(f"attempt {event.attempt} is not {merge.attempt}")
    return _accept_current(event, merge)


@functools.singledispatch
def _accept_current(event: object, merge: Merge) -> Decision:
    raise TypeError(f"unknown event {event!r}")


@_accept_current.register
def _(event: engine.TokenEvent, merge: Merge) -> Decision:
    position = len(merge.tokens)
    if event.position < position:
        return Drop(f"position {event.position} was delivered")
    if event.position > position:
        return Fault(
            Why.GAP, f"position {event.position} came instead of {position}"
        )
    if event.layers != merge.trail:
        return Fault(
            Why.LAYERS, f"layers {event.layers} instead of {merge.trail}"
        )
    merge.tokens.append(event.text)
    return Deliver(event.text)


@_accept_current.register
def _(event: engine.EndEvent, merge: Merge) -> Decision:
    position = len(merge.tokens)
    if event.count != position:
        return Fault(Why.COUNT, f"the end says {event.count}, {position} came")
    merge.finished = True
    return Finish(event.count, event.load)


@_accept_current.register
def _(event: engine.ErrorEvent, merge: Merge) -> Decision:
    return Fault(Why.ENGINE, event.kind, event.upstream)
