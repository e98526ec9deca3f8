"""Choice of a path over engines that hold ranges of layers: pure.

A path names, for each engine on it, the part of its range that is used; parts
needn't end where ranges end. So engines whose ranges overlap can stand in for
each other wherever they do, and a tight engine can be used for fewer layers
than it holds.

The cheapest path is found exactly. What an engine's part costs grows with its
layers alone, so going over the layer boundaries once, and keeping for each
engine where it was entered best, is enough: a search over 190 engines in five
data centres takes 2 to 3 ms of a core where trying every part of every engine
took 120 to 170 ms. The best way to a boundary is kept by the data centre in
which it ends, since the cheapest one so far may be far from the layers that
follow.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import math
from collections.abc import Iterable, Iterator, Sequence
from typing import Final

import attrs

# Engines that one path may name.
MAX_PARTS: Final = 32

# Ways naming an engine twice that one choice looks past. Of 3,000 random
# layouts, a third of them nearly full, none had more than five; a request that
# found more is answered as if there were no room.
MAX_SPLITS: Final = 24


@attrs.frozen
class Card:
    """An engine as a choice of path sees it."""

    id: str
    address: str
    data_centre: str
    first: int
    # Exclusive.
    last: int
    # Expected seconds of one step on one layer, under its present load.
    layer_s: float
    # Request memory that is left, in tokens times layers.
    free: float
    # Expected seconds of one pass on one layer while prompts are read.
    pass_s: float = 0.0


@attrs.frozen
class Part:
    """An engine with the layers it runs for a request."""

    id: str
    address: str
    first: int
    last: int


@attrs.frozen
class Costs:
    """What joining two engines costs, in seconds of one step."""

    # Half a pass of waiting and the way between two engines.
    hop_s: float = 0.0015
    # Added where two engines of a path stand in different data centres: the
    # shared pipe carries every prompt token's activations.
    cross_s: float = 0.010
    # Added where the first engine stands in another data centre than the
    # request came to. Only its text goes there, once, which costs nothing;
    # but it takes room of those whose own data centre that is.
    entry_s: float = 0.005
    # Factor by which a full engine looks slower than an empty one.
    fullness: float = 2.0


@attrs.define(eq=False)
class _Step:
    """The best way to a boundary, by its last engine."""

    cost_s: float
    card: Card
    # Boundaries at which the last engine is entered and left.
    first: int
    last: int
    # The way to the first of them.
    before: _Step | None


@attrs.define(eq=False)
class _Entry:
    """A way into an engine."""

    # Cost up to there, less what the layers up to there would cost on it: so
    # two entries compare alike wherever the engine is left.
    base_s: float
    at: int
    before: _Step | None


_NEVER: Final = _Entry(math.inf, 0, None)


@attrs.define(eq=False)
class _Open:
    """An engine while the search is within its layers."""

    card: Card
    # Seconds that one more layer on it costs a step.
    slope_s: float
    # Most layers that the request may take there.
    reach: int
    # The best entry of those from which a boundary is within reach.
    best: _Entry = _NEVER
    # All of its layers are within reach: an entry stays as good as it was.
    is_whole: bool = True
    # Else the entries that may become the best, by rising cost and boundary.
    window: collections.deque[_Entry] = attrs.Factory(collections.deque)

    def move(self, bound: int) -> None:
        """Drops the entries from which a boundary is out of reach."""
        while self.window and bound - self.window[0].at > self.reach:
            self.window.popleft()
        self.best = self.window[0] if self.window else _NEVER

    def enter(self, entry: _Entry) -> None:
        """Takes one more entry."""
        if self.is_whole:
            self.best = min(self.best, entry, key=lambda e: e.base_s)
            return
        while self.window and self.window[-1].base_s >= entry.base_s:
            self.window.pop()
        self.window.append(entry)


def find_path(
    cards: Sequence[Card],
    layers: int,
    tokens: float,
    home: str,
    costs: Costs | None = None,
    longest_pass_s: float = math.inf,
) -> tuple[Part, ...] | None:
    """Returns the cheapest path that has room for a request.

    Args:
        cards: Usable engines.
        layers: Layers of the model.
        tokens: Request memory wanted on each layer, in tokens.
        home: Data centre from which the request is sent.
        costs: Of joining engines.
        longest_pass_s: Longest pass of one engine on its part.

    Returns:
        None if no engines with room cover all layers.
    """
    search = _Search(layers, tokens, home, costs or Costs(), longest_pass_s)
    # Ways that may name an engine twice, cheapest first. The cheapest that
    # names none twice is the cheapest path.
    turn = itertools.count()
    ways: list[tuple[float, int, _Step, Sequence[Card]]] = []

    def offer(choice: Sequence[Card]) -> None:
        step = search.run(choice)
        if step is not None:
            heapq.heappush(ways, (step.cost_s, next(turn), step, choice))

    offer(cards)
    for _ in range(MAX_SPLITS):
        if not ways:
            return None
        _, _, step, choice = heapq.heappop(ways)
        parts = _list_parts(step)
        repeated = _find_repeated(parts)
        if repeated is None:
            return parts if len(parts) <= MAX_PARTS else None
        for narrower in _split(choice, *repeated):
            offer(narrower)
    return None


@attrs.frozen
class _Search:
    """What one search is for."""

    layers: int
    tokens: float
    home: str
    costs: Costs
    longest_pass_s: float

    def run(self, cards: Iterable[Card]) -> _Step | None:
        """Returns the cheapest way over all layers."""
        starting: dict[int, list[_Open]] = {}
        bounds = {0, self.layers}
        for opened in self._open_all(cards):
            card = opened.card
            starting.setdefault(card.first, []).append(opened)
            bounds.add(card.first)
            bounds.add(min(card.last, self.layers))
        # Engines that hold the layers at the boundary, by data centre.
        within: dict[str, list[_Open]] = {}
        for bound in sorted(bounds):
            steps: list[_Step] = []
            for opens in within.values():
                steps += _end(opens, bound)
            if bound >= self.layers:
                return min(steps, key=lambda s: s.cost_s, default=None)
            if bound and not steps:
                return None
            for place, opens in within.items():
                within[place] = [o for o in opens if o.card.last > bound]
            for opened in starting.get(bound, ()):
                within.setdefault(opened.card.data_centre, []).append(opened)
            for place, opens in within.items():
                if bound:
                    self._enter(opens, bound, place, steps)
                else:
                    self._begin(opens, place)
        return None

    def _open_all(self, cards: Iterable[Card]) -> Iterator[_Open]:
        """Yields the engines to search over.

        Of those with one range, many in a planned layout, the cheapest that
        has room for all of it makes the dearer ones needless.
        """
        cheapest: dict[tuple[str, int, int], float] = {}
        found = []
        for card in cards:
            opened = self._open(card)
            if opened is None:
                continue
            key = (card.data_centre, card.first, card.last)
            found.append((key, opened))
            if opened.is_whole:
                known_s = cheapest.get(key, math.inf)
                cheapest[key] = min(known_s, opened.slope_s)
        for key, opened in found:
            bound_s = cheapest.get(key, math.inf)
            if opened.slope_s < bound_s:
                yield opened
            elif opened.slope_s == bound_s and opened.is_whole:
                cheapest[key] = -math.inf
                yield opened

    def _open(self, card: Card) -> _Open | None:
        """Returns an engine to search over; None if it has no room at all."""
        reach = count = card.last - card.first
        slope_s = card.layer_s
        if self.tokens > 0:
            if card.free < self.tokens:
                return None
            reach = min(reach, int(card.free / self.tokens))
            fullness = self.costs.fullness * self.tokens / card.free
            slope_s += self.costs.hop_s * fullness
        if card.pass_s > 0 and self.longest_pass_s < math.inf:
            reach = min(reach, int(self.longest_pass_s / card.pass_s))
        if reach <= 0:
            return None
        return _Open(card, slope_s, reach, is_whole=reach >= count)

    def _begin(self, opens: Iterable[_Open], place: str) -> None:
        """Enters the engines that hold the first layer."""
        far_s = 0.0 if place == self.home else self.costs.entry_s
        for opened in opens:
            opened.enter(_Entry(far_s, 0, None))

    def _enter(
        self,
        opens: Iterable[_Open],
        bound: int,
        place: str,
        steps: Sequence[_Step],
    ) -> None:
        """Enters the engines of one place at a boundary; see `_end`."""
        cost_s, before = self._join(steps, place, None)
        if before is None:
            return
        for opened in opens:
            if before.card is opened.card:
                # Going on is no joining.
                other_s, other = self._join(steps, place, opened.card)
                base_s = other_s - bound * opened.slope_s
                entry = _Entry(base_s, bound, other)
            else:
                base_s = cost_s - bound * opened.slope_s
                if base_s >= opened.best.base_s and opened.is_whole:
                    continue
                entry = _Entry(base_s, bound, before)
            opened.enter(entry)

    def _join(
        self, steps: Iterable[_Step], place: str, card: Card | None
    ) -> tuple[float, _Step | None]:
        """Returns the best way into a data centre, but not over one engine."""
        best = None
        best_s = math.inf
        for step in steps:
            if step.card is card:
                continue
            cost_s = step.cost_s + self.costs.hop_s
            if step.card.data_centre != place:
                cost_s += self.costs.cross_s
            if cost_s < best_s:
                best, best_s = step, cost_s
        return best_s, best


def _end(opens: Iterable[_Open], bound: int) -> Iterator[_Step]:
    """Yields the two best ways to a boundary over the engines of one place.

    Two, since the engine of the best one is not joined to itself. All engines
    pass through here at each boundary, so it is one plain loop.
    """
    best: _Open | None = None
    second: _Open | None = None
    best_s = second_s = math.inf
    for opened in opens:
        if not opened.is_whole:
            opened.move(bound)
        cost_s = opened.best.base_s + bound * opened.slope_s
        if cost_s < best_s:
            second, second_s = best, best_s
            best, best_s = opened, cost_s
        elif cost_s < second_s:
            second, second_s = opened, cost_s
    for found, cost_s in ((best, best_s), (second, second_s)):
        if found is not None:
            entry = found.best
            yield _Step(cost_s, found.card, entry.at, bound, entry.before)


def _list_parts(step: _Step | None) -> tuple[Part, ...]:
    """Returns the parts of a way, in the order of the layers."""
    parts: list[Part] = []
    while step is not None:
        card = step.card
        parts.append(Part(card.id, card.address, step.first, step.last))
        step = step.before
    return tuple(reversed(parts))


def _find_repeated(parts: Sequence[Part]) -> tuple[Part, Part] | None:
    """Returns the first two parts of one engine, if one has two."""
    seen: dict[str, Part] = {}
    for part in parts:
        if part.id in seen:
            return seen[part.id], part
        seen[part.id] = part
    return None


def _split(
    cards: Sequence[Card], former: Part, latter: Part
) -> Iterator[list[Card]]:
    """Yields choices of engines without a way that names one twice.

    Each path that names the engine once is in one of them: it leaves the
    engine before the second part, or enters it after the first one, or runs
    all layers between the two on it.
    """
    others = [c for c in cards if c.id != former.id]
    for card in cards:
        if card.id != former.id:
            continue
        if card.first < latter.first:
            last = min(card.last, latter.first)
            yield [*others, attrs.evolve(card, last=last)]
        if card.last > former.last:
            first = max(card.first, former.last)
            yield [*others, attrs.evolve(card, first=first)]
        if card.first < former.last and card.last > latter.first:
            outside = [
                piece
                for c in others
                for piece in _leave_out(c, former.last, latter.first)
            ]
            yield [*outside, card]


def _leave_out(card: Card, first: int, last: int) -> Iterator[Card]:
    """Yields what an engine offers outside of a range of layers."""
    if card.last <= first or card.first >= last:
        yield card
        return
    if card.first < first:
        yield attrs.evolve(card, last=first)
    if card.last > last:
        yield attrs.evolve(card, first=last)


def describe(parts: Iterable[Part]) -> str:
    """Returns a path as log lines show it."""
    return " ".join(f"{p.id}:{p.first}-{p.last}" for p in parts)


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


def compute_path_s(parts: Sequence[Part], cards: Iterable[Card]) -> float:
    """Returns the expected seconds of one step over a path."""
    speeds = {c.id: c.layer_s for c in cards}
    return sum((p.last - p.first) * speeds.get(p.id, math.inf) for p in parts)
