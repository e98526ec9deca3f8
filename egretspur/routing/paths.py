"""Shortest-path search over engines that hold ranges of layers: pure.

A path lists its engines, each with the part of its range that it runs. Parts
may end within a range, so engines with overlapping ranges can replace each
other, and an engine short of memory can run fewer layers than it holds.

The search is exact. The cost of a part is linear in its layers, so one pass
over the layer boundaries that keeps the best entry into each engine is enough:
a search over 190 engines in five data centres takes 2 to 3 ms of a core, where
trying every part of every engine took 120 to 170 ms. The best partial path to
a boundary is kept for each data centre in which it may end, since the cheapest
one overall may end far from the engines with the next layers.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import math
from collections.abc import Container, Iterable, Iterator, Sequence
from typing import Final

import attrs

from egretspur.catalog import config

# Engines that one path may name.
MAX_PARTS: Final = 32

# Paths with a repeated engine that one search splits before it gives up and
# finds no path. Of 3,000 random layouts, a third of them nearly full, none
# needed more than five.
MAX_SPLITS: Final = 24


@attrs.frozen
class Candidate:
    """An engine that a path may use."""

    id: str
    address: str
    data_centre: str
    first: int
    # Exclusive.
    last: int
    # Expected seconds of one step per layer, under the present load.
    layer_s: float
    # Free request memory, in tokens times layers.
    free: float
    # Expected seconds of one pass per layer while prompts are processed.
    pass_s: float = 0.0


@attrs.frozen
class Part:
    """An engine with the layers it runs for a request."""

    id: str
    address: str
    first: int
    last: int
    # Data centre of the engine. Not compared, nor is the next field: neither
    # distinguishes two parts.
    data_centre: str = attrs.field(default="", eq=False)
    # Expected seconds of one pass over the layers while prompts are processed.
    pass_s: float = attrs.field(default=0.0, eq=False)


@attrs.frozen
class Costs:
    """Costs of joining two engines, in seconds of one step."""

    # Half a pass of waiting plus the network hop.
    hop_s: float = 0.0015
    # Added for a hop between data centres: the shared link carries the
    # activations of every prompt token.
    cross_s: float = 0.010
    # Added if the first engine is in another data centre than the host that
    # received the request. Sending the text there once is cheap, but the
    # request takes memory that local requests of that data centre need.
    entry_s: float = 0.005
    # Cost in hops of a request that takes all free memory of an engine.
    fullness_weight: float = 2.0


@attrs.define(eq=False)
class _PartialPath:
    """The cheapest path to a boundary over a given last engine."""

    cost_s: float
    candidate: Candidate
    # First and, exclusive, last layer that the last engine runs.
    first: int
    last: int
    # Path to `first`.
    previous: _PartialPath | None


@attrs.define(eq=False)
class _Entry:
    """A boundary at which a path enters an engine, and its cost."""

    # Cost of the path to the boundary, minus the cost of all earlier layers on
    # this engine. Entries thus compare the same at every later boundary.
    base_s: float
    boundary: int
    previous: _PartialPath | None


_NO_ENTRY: Final = _Entry(math.inf, 0, None)


@attrs.define(eq=False)
class _OpenEngine:
    """An engine that holds the layers at the current boundary."""

    candidate: Candidate
    # Seconds that each further layer on it adds to a step.
    layer_cost_s: float
    # Most layers that the engine may run for the request.
    max_layers: int
    # Cheapest entry within `max_layers` of the current boundary.
    best_entry: _Entry = _NO_ENTRY
    # The engine may run its whole range, so entries never go out of reach.
    fits_whole: bool = True
    # Otherwise the entries that may become the best, by rising cost and
    # boundary.
    window: collections.deque[_Entry] = attrs.Factory(collections.deque)

    def drop_out_of_reach(self, boundary: int) -> None:
        """Drops the entries that are too many layers before a boundary."""
        while (
            self.window and boundary - self.window[0].boundary > self.max_layers
        ):
            self.window.popleft()
        self.best_entry = self.window[0] if self.window else _NO_ENTRY

    def add_entry(self, entry: _Entry) -> None:
        """Adds an entry."""
        if self.fits_whole:
            if entry.base_s < self.best_entry.base_s:
                self.best_entry = entry
            return
        while self.window and self.window[-1].base_s >= entry.base_s:
            self.window.pop()
        self.window.append(entry)


def find_path(
    candidates: Sequence[Candidate],
    layers: int,
    tokens: float,
    home: str,
    costs: Costs | None = None,
    max_pass_s: float = math.inf,
    closed: Container[tuple[str, str]] = (),
) -> tuple[Part, ...] | None:
    """Returns the cheapest path with enough memory for a request.

    Args:
        candidates: Usable engines.
        layers: Layers of the model.
        tokens: Request memory needed on each layer, in tokens.
        home: Data centre from which the request is sent.
        costs: Costs of joining engines.
        max_pass_s: Longest pass of one engine on its part.
        closed: Links between data centres not to use, each as the names in
            order.

    Returns:
        None if engines with enough memory do not cover all layers.
    """
    search = _Search(layers, tokens, home, costs or Costs(), max_pass_s, closed)
    # Paths that may repeat an engine, cheapest first. The cheapest one without
    # a repeated engine is the result.
    serial = itertools.count()
    queue: list[tuple[float, int, _PartialPath, Sequence[Candidate]]] = []

    def push(options: Sequence[Candidate]) -> None:
        partial = search.run(options)
        if partial is not None:
            heapq.heappush(
                queue, (partial.cost_s, next(serial), partial, options)
            )

    push(candidates)
    for _ in range(MAX_SPLITS):
        if not queue:
            return None
        _, _, partial, options = heapq.heappop(queue)
        parts = _list_parts(partial)
        repeated = _find_repeated(parts)
        if repeated is None:
            return parts if len(parts) <= MAX_PARTS else None
        for narrower in _split_repeated(options, *repeated):
            push(narrower)
    return None


@attrs.frozen
class _Search:
    """Parameters of one search."""

    layers: int
    tokens: float
    home: str
    costs: Costs
    max_pass_s: float
    closed: Container[tuple[str, str]]

    def run(self, candidates: Iterable[Candidate]) -> _PartialPath | None:
        """Returns the cheapest path over all layers; it may repeat engines."""
        starting: dict[int, list[_OpenEngine]] = {}
        boundaries = {0, self.layers}
        for engine in self._open_candidates(candidates):
            candidate = engine.candidate
            starting.setdefault(candidate.first, []).append(engine)
            boundaries.add(candidate.first)
            boundaries.add(min(candidate.last, self.layers))
        # Engines that hold the layers at the current boundary, by data centre.
        within: dict[str, list[_OpenEngine]] = {}
        for boundary in sorted(boundaries):
            partials: list[_PartialPath] = []
            for engines in within.values():
                partials += _find_best_exits(engines, boundary)
            if boundary >= self.layers:
                return min(partials, key=lambda p: p.cost_s, default=None)
            if boundary and not partials:
                return None
            for data_centre, engines in within.items():
                within[data_centre] = [
                    e for e in engines if e.candidate.last > boundary
                ]
            for engine in starting.get(boundary, ()):
                within.setdefault(engine.candidate.data_centre, []).append(
                    engine
                )
            for data_centre, engines in within.items():
                if boundary:
                    self._enter_at_boundary(
                        engines, boundary, data_centre, partials
                    )
                else:
                    self._enter_at_start(engines, data_centre)
        return None

    def _open_candidates(
        self, candidates: Iterable[Candidate]
    ) -> Iterator[_OpenEngine]:
        """Yields the engines to search over.

        Many engines of a planned layout hold the same range. Only the cheapest
        one that can run all of it, and cheaper ones that can't, are needed.
        """
        cheapest: dict[tuple[str, int, int], float] = {}
        found = []
        for candidate in candidates:
            engine = self._open_candidate(candidate)
            if engine is None:
                continue
            key = (candidate.data_centre, candidate.first, candidate.last)
            found.append((key, engine))
            if engine.fits_whole:
                known_s = cheapest.get(key, math.inf)
                cheapest[key] = min(known_s, engine.layer_cost_s)
        for key, engine in found:
            cheapest_s = cheapest.get(key, math.inf)
            if engine.layer_cost_s < cheapest_s:
                yield engine
            elif engine.layer_cost_s == cheapest_s and engine.fits_whole:
                cheapest[key] = -math.inf
                yield engine

    def _open_candidate(self, candidate: Candidate) -> _OpenEngine | None:
        """Returns an engine to search over; None if it can run no layer."""
        max_layers = count = candidate.last - candidate.first
        layer_cost_s = candidate.layer_s
        if self.tokens > 0:
            if candidate.free < self.tokens:
                return None
            max_layers = min(max_layers, int(candidate.free / self.tokens))
            fullness = self.costs.fullness_weight * self.tokens / candidate.free
            layer_cost_s += self.costs.hop_s * fullness
        if candidate.pass_s > 0 and self.max_pass_s < math.inf:
            max_layers = min(
                max_layers, int(self.max_pass_s / candidate.pass_s)
            )
        if max_layers <= 0:
            return None
        return _OpenEngine(
            candidate, layer_cost_s, max_layers, fits_whole=max_layers >= count
        )

    def _enter_at_start(
        self, engines: Iterable[_OpenEngine], data_centre: str
    ) -> None:
        """Adds the entries into engines that hold the first layer."""
        far_s = 0.0 if data_centre == self.home else self.costs.entry_s
        for engine in engines:
            engine.add_entry(_Entry(far_s, 0, None))

    def _enter_at_boundary(
        self,
        engines: Iterable[_OpenEngine],
        boundary: int,
        data_centre: str,
        partials: Sequence[_PartialPath],
    ) -> None:
        """Adds the entries into a data centre's engines at a boundary.

        Args:
            engines: Engines of the data centre.
            boundary: Layer at which they are entered.
            data_centre: The data centre.
            partials: Paths to the boundary; see `_find_best_exits`.
        """
        cost_s, previous = self._find_best_join(partials, data_centre, None)
        if previous is None:
            return
        for engine in engines:
            if previous.candidate is engine.candidate:
                # An engine is not joined to itself.
                other_s, other = self._find_best_join(
                    partials, data_centre, engine.candidate
                )
                base_s = other_s - boundary * engine.layer_cost_s
                entry = _Entry(base_s, boundary, other)
            else:
                base_s = cost_s - boundary * engine.layer_cost_s
                if base_s >= engine.best_entry.base_s and engine.fits_whole:
                    continue
                entry = _Entry(base_s, boundary, previous)
            engine.add_entry(entry)

    def _find_best_join(
        self,
        partials: Iterable[_PartialPath],
        data_centre: str,
        candidate: Candidate | None,
    ) -> tuple[float, _PartialPath | None]:
        """Returns the cheapest join into a data centre.

        Args:
            partials: Paths to the boundary.
            data_centre: The data centre.
            candidate: Engine that the path must not end with.
        """
        best = None
        best_s = math.inf
        for partial in partials:
            if partial.candidate is candidate:
                continue
            cost_s = partial.cost_s + self.costs.hop_s
            other = partial.candidate.data_centre
            if other != data_centre:
                if (min(other, data_centre), max(other, data_centre)) in (
                    self.closed
                ):
                    continue
                cost_s += self.costs.cross_s
            if cost_s < best_s:
                best, best_s = partial, cost_s
        return best_s, best


def _find_best_exits(
    engines: Iterable[_OpenEngine], boundary: int
) -> Iterator[_PartialPath]:
    """Yields the two cheapest paths to a boundary in one data centre.

    The second is needed for the last engine of the first, which is not joined
    to itself. A single loop, as it visits all engines at each boundary.
    """
    best: _OpenEngine | None = None
    second: _OpenEngine | None = None
    best_s = second_s = math.inf
    for engine in engines:
        if not engine.fits_whole:
            engine.drop_out_of_reach(boundary)
        cost_s = engine.best_entry.base_s + boundary * engine.layer_cost_s
        if cost_s < best_s:
            second, second_s = best, best_s
            best, best_s = engine, cost_s
        elif cost_s < second_s:
            second, second_s = engine, cost_s
    for found, cost_s in ((best, best_s), (second, second_s)):
        if found is not None:
            entry = found.best_entry
            yield _PartialPath(
                cost_s,
                found.candidate,
                entry.boundary,
                boundary,
                entry.previous,
            )


def _list_parts(partial: _PartialPath | None) -> tuple[Part, ...]:
    """Returns the parts of a path in layer order."""
    parts: list[Part] = []
    while partial is not None:
        candidate = partial.candidate
        parts.append(
            Part(
                candidate.id,
                candidate.address,
                partial.first,
                partial.last,
                candidate.data_centre,
                (partial.last - partial.first) * candidate.pass_s,
            )
        )
        partial = partial.previous
    return tuple(reversed(parts))


def _find_repeated(parts: Sequence[Part]) -> tuple[Part, Part] | None:
    """Returns the first two parts that are on the same engine, if any."""
    seen: dict[str, Part] = {}
    for part in parts:
        if part.id in seen:
            return seen[part.id], part
        seen[part.id] = part
    return None


def _split_repeated(
    candidates: Sequence[Candidate], former: Part, latter: Part
) -> Iterator[list[Candidate]]:
    """Yields sets of candidates in which a repeated path is impossible.

    Every path that uses the engine once is possible in one of the sets: it
    leaves the engine before the second part, enters it after the first part,
    or runs all layers between the two parts on it.
    """
    others = [c for c in candidates if c.id != former.id]
    for candidate in candidates:
        if candidate.id != former.id:
            continue
        if candidate.first < latter.first:
            last = min(candidate.last, latter.first)
            yield [*others, attrs.evolve(candidate, last=last)]
        if candidate.last > former.last:
            first = max(candidate.first, former.last)
            yield [*others, attrs.evolve(candidate, first=first)]
        if candidate.first < former.last and candidate.last > latter.first:
            outside = [
                piece
                for c in others
                for piece in _exclude_layers(c, former.last, latter.first)
            ]
            yield [*outside, candidate]


def _exclude_layers(
    candidate: Candidate, first: int, last: int
) -> Iterator[Candidate]:
    """Yields the parts of a candidate outside of a range of layers."""
    if candidate.last <= first or candidate.first >= last:
        yield candidate
        return
    if candidate.first < first:
        yield attrs.evolve(candidate, last=first)
    if candidate.last > last:
        yield attrs.evolve(candidate, first=last)


def format_path(parts: Iterable[Part]) -> str:
    """Formats a path for log lines."""
    return " ".join(f"{p.id}:{p.first}-{p.last}" for p in parts)


def estimate_first_event_s(
    parts: Iterable[Part], tokens: float, spec: config.EngineSpec
) -> float:
    """Returns the expected seconds until the first event over a path.

    A pass processes several chunks of a prompt, those of other requests
    included; the passes of a long prompt are counted as if they did not
    overlap.

    Args:
        parts: The path.
        tokens: Request memory of the request, in tokens on each layer.
        spec: Of the request's service.
    """
    passes = tokens / (spec.chunk_tokens * spec.stride)
    return max(1.0, passes) * sum(p.pass_s for p in parts)


def find_gaps(
    ranges: Iterable[tuple[int, int]], layers: int
) -> list[tuple[int, int]]:
    """Returns the layers that no range covers, as ranges."""
    gaps = []
    covered = 0
    for first, last in sorted(ranges):
        if first > covered:
            gaps.append((covered, first))
        covered = max(covered, last)
    if covered < layers:
        gaps.append((covered, layers))
    return gaps


def compute_path_s(
    parts: Sequence[Part], candidates: Iterable[Candidate]
) -> float:
    """Returns the expected seconds of one step over a path."""
    speeds = {c.id: c.layer_s for c in candidates}
    return sum((p.last - p.first) * speeds.get(p.id, math.inf) for p in parts)
