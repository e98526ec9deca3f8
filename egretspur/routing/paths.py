"""Choice of a path over engines that hold ranges of layers: pure.

A path names, for each engine on it, the part of its range that is used; parts
needn't end where ranges end. So engines whose ranges overlap can stand in for
each other wherever they do, and a tight engine can be used for fewer layers
than it holds. The cheapest path is found exactly, layer boundaries being few:
the best way to each boundary is kept by the data centre in which it ends, since
the cheapest one so far may be far from the layers that follow.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from typing import Final

import attrs

# Engines that one path may name.
MAX_PARTS: Final = 32


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


@attrs.frozen
class _Wanted:
    """What a request wants of each part."""

    tokens: float
    longest_pass_s: float


@attrs.define
class _Best:
    cost: float
    parts: tuple[Part, ...]


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
    costs = costs or Costs()
    request = _Wanted(tokens, longest_pass_s)
    bounds = _find_bounds(cards, layers)
    best: dict[int, dict[str, _Best]] = {0: {home: _Best(0.0, ())}}
    for i, bound in enumerate(bounds):
        if bound >= layers:
            break
        for place, here in best.get(bound, {}).items():
            if len(here.parts) >= MAX_PARTS:
                continue
            used = {p.id for p in here.parts}
            for card in cards:
                if not card.first <= bound < card.last or card.id in used:
                    continue
                _extend(best, here, place, card, bounds[i:], request, costs)
    found = min(
        best.get(layers, {}).values(), key=lambda b: b.cost, default=None
    )
    return found.parts if found else None


def _extend(
    best: dict[int, dict[str, _Best]],
    here: _Best,
    place: str,
    card: Card,
    bounds: Sequence[int],
    request: _Wanted,
    costs: Costs,
) -> None:
    """Tries an engine from the first boundary to each later one it reaches."""
    bound = bounds[0]
    joined = costs.hop_s if here.parts else 0.0
    if card.data_centre != place:
        joined += costs.cross_s if here.parts else costs.entry_s
    for end in bounds[1:]:
        if end > card.last:
            return
        wanted = (end - bound) * request.tokens
        if wanted > card.free:
            return
        if (end - bound) * card.pass_s > request.longest_pass_s:
            return
        fullness = costs.fullness * wanted / card.free if wanted else 0.0
        cost = here.cost + joined + (end - bound) * card.layer_s
        cost += costs.hop_s * fullness
        there = best.setdefault(end, {})
        known = there.get(card.data_centre)
        if known is None or cost < known.cost:
            part = Part(card.id, card.address, bound, end)
            there[card.data_centre] = _Best(cost, (*here.parts, part))


def _find_bounds(cards: Sequence[Card], layers: int) -> list[int]:
    bounds = {0, layers}
    for card in cards:
        bounds.add(card.first)
        bounds.add(min(card.last, layers))
    return sorted(bounds)


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
