"""Finds the stage that holds up streams, from the streams themselves: pure.

The pattern: events of an answer come every 30 to 50 ms. When a stage dies or
slows down, all streams over it fall silent in the same moment, while those
beside it go on; an engine's report tells so some hundred milliseconds later.
Callers count a pause of 0.2 s as late, so the report comes too late for all of
them. Paths are known, so the stages that silent streams share, and over which
no event has come since, are few; a question to each of those tells the rest.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable, Sequence
from typing import Final

import attrs

# A stream counts as silent after so many of its usual gaps, and at least so
# long: reading the prompts of others lengthens single gaps to twice the usual.
# A false alarm costs a few questions, a later one the pause that is allowed.
GAPS: Final = 2.0
LEAST_S: Final = 0.05

# A stream that is silent alone, since one stream may also wait for memory.
ALONE_GAPS: Final = 5.0
ALONE_LEAST_S: Final = 0.13

# Streams that must be silent together for a stage to be suspected early.
TOGETHER: Final = 3

# Gap assumed of a stream until its own is known, in seconds, and the weight of
# a new one.
USUAL_GAP_S: Final = 0.04
GAP_WEIGHT: Final = 0.2


@attrs.frozen
class Heard:
    """What was heard of one stream."""

    # Ids of the stages that it runs over.
    stages: tuple[str, ...]
    # Seconds since its last event.
    silent_s: float
    # Smoothed seconds between two of its events.
    gap_s: float


def find_suspects(streams: Sequence[Heard]) -> set[str]:
    """Returns the stages that may hold up streams.

    Args:
        streams: All that have had an event on the path that they run over.
    """
    shortest: dict[str, float] = {}
    for stream in streams:
        for stage in stream.stages:
            known = shortest.get(stage, stream.silent_s)
            shortest[stage] = min(known, stream.silent_s)
    together = collections.Counter(
        stage
        for stream in streams
        if _is_silent(stream, GAPS, LEAST_S)
        for stage in _list_quiet(stream, shortest)
    )
    alone = {
        stage
        for stream in streams
        if _is_silent(stream, ALONE_GAPS, ALONE_LEAST_S)
        for stage in _list_quiet(stream, shortest)
    }
    return alone | {s for s, n in together.items() if n >= TOGETHER}


def smooth_gap(old_s: float, gap_s: float) -> float:
    """Returns a stream's usual gap after one more."""
    return old_s + GAP_WEIGHT * (gap_s - old_s)


def _is_silent(stream: Heard, gaps: float, least_s: float) -> bool:
    return stream.silent_s > max(least_s, gaps * stream.gap_s)


def _list_quiet(stream: Heard, shortest: dict[str, float]) -> Iterable[str]:
    """Returns a stream's stages over which no other had an event since.

    Half of its silence: what passed a stage just before it died may arrive
    later than the silent stream's own last event.
    """
    bound_s = stream.silent_s / 2
    return [s for s in stream.stages if shortest[s] >= bound_s]
