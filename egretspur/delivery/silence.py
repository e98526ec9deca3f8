"""Finds the stage that stalls streams from the streams' gaps; free of I/O.

Events of an answer arrive every 30 to 50 ms. When a stage dies or slows down,
all streams over it fall silent at the same moment, while other streams
continue. Callers count a gap of 0.2 s as late, but an engine's report shows
the stall only some hundred milliseconds after it began, too late for all of
them. The paths are known, so few stages are shared by the silent streams and
have passed no event since; `egretspur.delivery.watch` probes each of these.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable, Sequence
from typing import Final

import attrs

# A stream counts as silent after this many of its usual gaps and at least this
# time. Other requests' prefills lengthen single gaps to twice the usual. A
# false alarm costs a few probes; a later alarm uses up the gap allowed.
MIN_SILENT_GAPS: Final = 2.0
MIN_SILENCE_S: Final = 0.05

# The same for a single silent stream: the limits are higher, since it may also
# wait for memory.
SINGLE_MIN_SILENT_GAPS: Final = 5.0
SINGLE_MIN_SILENCE_S: Final = 0.13

# Number of silent streams from which their shared stages are suspected at the
# lower limits.
MIN_SILENT_STREAMS: Final = 3

# Initial estimate of a stream's usual gap, and the weight of a new gap in it.
INITIAL_GAP_S: Final = 0.04
GAP_WEIGHT: Final = 0.2


@attrs.frozen
class StreamActivity:
    """Recent activity of one stream."""

    # Ids of the stages on its path.
    stages: tuple[str, ...]
    # Seconds since its last event.
    silent_s: float
    # Smoothed seconds between two of its events.
    gap_s: float


def find_suspects(streams: Sequence[StreamActivity]) -> set[str]:
    """Returns the ids of the stages that may stall streams.

    Args:
        streams: All streams that have had an event on their current path.
    """
    shortest: dict[str, float] = {}
    for stream in streams:
        for stage in stream.stages:
            known = shortest.get(stage, stream.silent_s)
            shortest[stage] = min(known, stream.silent_s)
    together = collections.Counter(
        stage
        for stream in streams
        if _is_silent(stream, MIN_SILENT_GAPS, MIN_SILENCE_S)
        for stage in _list_candidates(stream, shortest)
    )
    single = {
        stage
        for stream in streams
        if _is_silent(stream, SINGLE_MIN_SILENT_GAPS, SINGLE_MIN_SILENCE_S)
        for stage in _list_candidates(stream, shortest)
    }
    return single | {s for s, n in together.items() if n >= MIN_SILENT_STREAMS}


def smooth_gap(old_s: float, gap_s: float) -> float:
    """Returns a stream's smoothed gap, updated with a new one."""
    return old_s + GAP_WEIGHT * (gap_s - old_s)


def _is_silent(
    stream: StreamActivity, min_gaps: float, min_silence_s: float
) -> bool:
    return stream.silent_s > max(min_silence_s, min_gaps * stream.gap_s)


def _list_candidates(
    stream: StreamActivity, shortest: dict[str, float]
) -> Iterable[str]:
    """Returns a stream's stages over which no stream has had an event since.

    Only the second half of its silence counts: events that passed a stage just
    before it died may arrive after the silent stream's own last event.
    """
    limit_s = stream.silent_s / 2
    return [s for s in stream.stages if shortest[s] >= limit_s]
