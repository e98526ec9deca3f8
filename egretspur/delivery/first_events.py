"""Finds the components that keep streams from their first event; free of I/O.

`egretspur.delivery.silence` compares a stream with its own rhythm and can't
judge one that has had no event yet. Here, streams are compared with each other:
a component is an engine or a link between two data centres, and one that all
late streams share, while streams beside it have their first events in time, is
a suspect. `egretspur.delivery.watch` probes the suspects before a verdict.

Streams are also late because prompts are long or engines are busy. Then streams
are late everywhere, and there is no verdict: pausing engines would leave even
less capacity.
"""

from __future__ import annotations

import collections
import itertools
import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final

import attrs

from egretspur.routing import paths

# A first event is late after this many times its expected time, and after the
# minimum at least. The prefill takes 50 ms as a rule and 200 ms in a burst; a
# request that is rerouted after 250 ms still has its first event within the
# usual objective of 0.5 s.
BOUND_FACTOR: Final = 4.0
MIN_BOUND_S: Final = 0.25

# Fraction of the caller's timeouts after which a first event is late in any
# case: the rest is needed to reroute the request and process its prompt again.
MAX_BOUND_PATIENCE: Final = 0.5

# An engine processes prompts in order. A stream is late only after this many
# times the expected time of all streams of this host that started before it
# over the same component, itself included. If that exceeds the largest bound,
# the stream shows nothing.
QUEUE_FACTOR: Final = 2.0

# Late streams that make a component a suspect: fewer if all streams over it are
# late whose first event is due.
MIN_LATE: Final = 3
MIN_ALL_LATE: Final = 2

# Minimum interval between two verdicts on a component.
VERDICT_INTERVAL_S: Final = 1.0

# How long the events of an ended stream count: no waiting stream is older, as
# callers leave after two to four seconds.
ENDED_TTL_S: Final = 4.0

# Marks a link's name, ``FROM>TO``. Ids of engines never contain it.
LINK_MARK: Final = ">"


@attrs.frozen
class Stream:
    """One attempt of a stream on its current path."""

    # Ids of its engines and names of the links between them.
    components: tuple[str, ...]
    started_s: float
    # Expected seconds until the first event.
    expected_s: float
    # Seconds of silence after which its caller disconnects.
    patience_s: float
    # Times of the first and the last event; None before the first.
    first_event_s: float | None = None
    last_event_s: float | None = None

    @property
    def bound_s(self) -> float:
        """Seconds after which the first event is late."""
        return min(
            max(MIN_BOUND_S, BOUND_FACTOR * self.expected_s),
            MAX_BOUND_PATIENCE * self.patience_s,
        )

    def is_due(self, now_s: float) -> bool:
        """Returns whether the first event is expected to have come."""
        return now_s - self.started_s > self.expected_s

    def is_past_bound(self, now_s: float) -> bool:
        """Returns whether the first event is or was late."""
        end_s = now_s if self.first_event_s is None else self.first_event_s
        return end_s - self.started_s > self.bound_s


@attrs.frozen
class _Case:
    """Streams past their bounds that may be the fault of one component."""

    late: list[Stream]
    # Otherwise other streams over it are not late yet, there is a queue, or the
    # last verdict is too recent.
    is_suspect: bool


@attrs.frozen
class Suspects:
    """Components that may keep streams from their first event."""

    engines: frozenset[str] = frozenset()
    # Names of links.
    links: frozenset[str] = frozenset()

    def __bool__(self) -> bool:
        """Returns whether there is one."""
        return bool(self.engines or self.links)


@attrs.frozen
class Verdict:
    """What the probes of suspects showed."""

    # Engines that answered no probe while others did.
    dead: frozenset[str] = frozenset()
    # Engines that answer probes but produce nothing.
    unproductive: frozenset[str] = frozenset()
    # Links over which nothing comes.
    links: tuple[tuple[str, str], ...] = ()


def list_components(parts: Sequence[paths.Part]) -> tuple[str, ...]:
    """Returns the engines of a path and the links between its data centres."""
    links = [
        f"{a.data_centre}{LINK_MARK}{b.data_centre}"
        for a, b in itertools.pairwise(parts)
        if a.data_centre != b.data_centre
    ]
    return (*(p.id for p in parts), *dict.fromkeys(links))


class FirstEvents:
    """Finds suspects and reaches verdicts for the streams of one host."""

    def __init__(self) -> None:
        """Makes a state without streams or verdicts."""
        # Streams that ended after an event.
        self._ended: collections.deque[Stream] = collections.deque()
        # Time of the last verdict on a component that had no event since.
        self._verdicts_s: dict[str, float] = {}

    def record_ended(self, stream: Stream) -> None:
        """Keeps the events of a stream that ended, for comparison."""
        if stream.last_event_s is not None:
            self._ended.append(stream)

    def find_suspects(
        self, streams: Iterable[Stream], now_s: float
    ) -> Suspects:
        """Returns the components to probe.

        Args:
            streams: The open streams.
            now_s: Monotonic time.
        """
        while self._ended and now_s - _get_event_s(self._ended[0]) > (
            ENDED_TTL_S
        ):
            self._ended.popleft()
        streams = list(streams)
        waiting = [s for s in streams if s.first_event_s is None]
        past = [s for s in waiting if s.is_past_bound(now_s)]
        if len(past) < MIN_ALL_LATE:
            return Suspects()
        known = [*streams, *self._ended]
        late = self._find_late(waiting, past, known, now_s)
        found = self._choose(late, known, now_s)
        links = frozenset(c for c in found if LINK_MARK in c)
        return Suspects(found - links, links)

    def judge(
        self,
        suspects: Suspects,
        answered: Collection[str],
        now_s: float,
    ) -> Verdict:
        """Returns the verdict after the suspects were probed.

        Args:
            suspects: The suspects.
            answered: Probed engines that answered, suspects and others.
            now_s: Monotonic time.
        """
        if not answered:
            # This host itself is slow or cut off.
            return Verdict()
        dead = suspects.engines - frozenset(answered)
        judged = dead or suspects.engines | suspects.links
        self._verdicts_s.update(dict.fromkeys(judged, now_s))
        if dead:
            # The others share paths with it and are judged without it.
            return Verdict(dead=dead)
        links = sorted(suspects.links)
        return Verdict(
            unproductive=suspects.engines,
            links=tuple(_split_link(name) for name in links),
        )

    def _find_late(
        self,
        waiting: Sequence[Stream],
        past: Sequence[Stream],
        known: Iterable[Stream],
        now_s: float,
    ) -> dict[str, _Case]:
        """Returns the components that several late streams share.

        Args:
            waiting: Streams without an event.
            past: Those past their bounds.
            known: All streams.
            now_s: Monotonic time.
        """
        counts = collections.Counter(c for s in past for c in s.components)
        last_event_s: dict[str, float] = {}
        for stream in known:
            event_s = stream.last_event_s
            if event_s is None:
                continue
            for component in stream.components:
                if event_s > last_event_s.get(component, -math.inf):
                    last_event_s[component] = event_s
        self._verdicts_s = {
            c: t
            for c, t in self._verdicts_s.items()
            if last_event_s.get(c, t) <= t and now_s - t < ENDED_TTL_S
        }
        # Most components had an event since the last of the late streams
        # started, and are skipped early.
        latest_s = max(s.started_s for s in past)
        over: dict[str, list[Stream]] = {
            c: []
            for c, n in counts.items()
            if n >= MIN_ALL_LATE and last_event_s.get(c, -math.inf) < latest_s
        }
        for stream in sorted(waiting, key=lambda s: s.started_s):
            for component in stream.components:
                if component in over:
                    over[component].append(stream)
        unjudged = {
            id(s)
            for s in past
            if not self._verdicts_s or not self._has_verdict(s)
        }
        found = {}
        for component, streams in over.items():
            event_s = last_event_s.get(component, -math.inf)
            late = [
                s
                for s in streams
                if id(s) in unjudged and s.started_s > event_s
            ]
            if len(late) >= MIN_ALL_LATE:
                verdict_s = self._verdicts_s.get(component, -math.inf)
                found[component] = _Case(
                    late,
                    now_s - verdict_s >= VERDICT_INTERVAL_S
                    and _is_suspect(late, streams, now_s),
                )
        return found

    def _has_verdict(self, stream: Stream) -> bool:
        """Returns whether a verdict already explains why a stream is late."""
        return any(
            self._verdicts_s.get(c, -math.inf) >= stream.started_s
            for c in stream.components
        )

    def _choose(
        self,
        cases: Mapping[str, _Case],
        known: Sequence[Stream],
        now_s: float,
    ) -> frozenset[str]:
        """Returns the fewest components that explain the late streams.

        Components that explain the same streams can't be told apart and are
        all returned, unless some of them had a verdict and no event since.
        While one of them is not a suspect yet, the others are not returned
        either: they may only share its streams.
        """
        late = {c: case.late for c, case in cases.items()}
        chosen: set[str] = set()
        while late:
            most = max(late.values(), key=len)
            explained = {id(s) for s in most}
            tied = {
                c for c, s in late.items() if {id(x) for x in s} == explained
            }
            tied = tied & self._verdicts_s.keys() or tied
            if all(cases[c].is_suspect for c in tied) and _is_explained_by(
                tied,
                most,
                [s for s in known if chosen.isdisjoint(s.components)],
                now_s,
            ):
                chosen |= tied
            rest = {
                c: [s for s in streams if id(s) not in explained]
                for c, streams in late.items()
                if c not in tied
            }
            late = {c: s for c, s in rest.items() if len(s) >= MIN_ALL_LATE}
        return frozenset(chosen)


def _is_suspect(
    late: Sequence[Stream], streams: Sequence[Stream], now_s: float
) -> bool:
    """Returns whether late streams show that a component is at fault.

    Args:
        late: Late streams over it.
        streams: All streams over it without an event, in the order of their
            start.
        now_s: Monotonic time.
    """
    unexplained = {id(s) for s in _list_unexplained(streams, now_s)}
    count = sum(id(s) in unexplained for s in late)
    return count >= MIN_LATE or (
        count >= MIN_ALL_LATE
        and all(s.is_past_bound(now_s) or not s.is_due(now_s) for s in streams)
    )


def _list_unexplained(
    streams: Iterable[Stream], now_s: float
) -> Iterable[Stream]:
    """Yields the streams over a component that its queue does not explain.

    Args:
        streams: Streams without an event, in the order of their start.
        now_s: Monotonic time.
    """
    ahead_s = 0.0
    for stream in streams:
        ahead_s += stream.expected_s
        queue_s = QUEUE_FACTOR * ahead_s
        if queue_s > MAX_BOUND_PATIENCE * stream.patience_s:
            return
        if now_s - stream.started_s > queue_s:
            yield stream


def _is_explained_by(
    tied: Collection[str],
    late: Sequence[Stream],
    known: Iterable[Stream],
    now_s: float,
) -> bool:
    """Returns whether streams beside some components are in time.

    Otherwise the whole fleet may be slow. A link whose late streams have no
    engine in common needs no such comparison: callers that get nothing over it
    may be all callers, and a link that is only full is to be avoided as well.

    Args:
        tied: The components.
        late: The late streams over them.
        known: All streams, except those over components that are suspects.
        now_s: Monotonic time.
    """
    shared = set.intersection(*(set(s.components) for s in late))
    if all(LINK_MARK in c for c in (*tied, *shared)):
        return True
    since_s = min(s.started_s for s in late)
    timely = slow = 0
    for stream in known:
        if any(c in tied for c in stream.components):
            continue
        if stream.is_past_bound(now_s):
            slow += stream.first_event_s is None or (
                stream.first_event_s >= since_s
            )
        elif stream.first_event_s is not None:
            timely += stream.started_s >= since_s
    if slow and len(late) < MIN_LATE:
        return False
    return timely >= max(1, slow)


def _get_event_s(stream: Stream) -> float:
    """Returns the time of a stream's last event; 0 before the first."""
    return stream.last_event_s or 0.0


def _split_link(name: str) -> tuple[str, str]:
    source, _, target = name.partition(LINK_MARK)
    return source, target
