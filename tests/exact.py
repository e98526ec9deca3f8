"""Exhaustive path search over every part of every engine: the tests' oracle.

It is simple but slow: a hundred milliseconds for 190 engines. Read next:
`egretspur.routing.paths`, which it checks.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import attrs

from egretspur.routing import paths


@attrs.frozen
class _Requirements:
    """Requirements of a request on each part of its path."""

    tokens: float
    longest_pass_s: float


@attrs.define
class _Best:
    cost: float
    parts: tuple[paths.Part, ...]


def find_path(
    engines: Sequence[paths.Candidate],
    layers: int,
    tokens: float,
    home: str,
    costs: paths.Costs | None = None,
    longest_pass_s: float = math.inf,
) -> tuple[paths.Part, ...] | None:
    """Returns the cheapest path with free capacity for a request.

    Args:
        engines: Usable engines.
        layers: Layers of the model.
        tokens: Cache memory required on each layer, in tokens.
        home: Data centre from which the request is sent.
        costs: Costs of connecting engines.
        longest_pass_s: Longest allowed pass of one engine over its part.

    Returns:
        None if no engines with free capacity cover all layers.
    """
    costs = costs or paths.Costs()
    request = _Requirements(tokens, longest_pass_s)
    bounds = _find_bounds(engines, layers)
    best: dict[int, dict[str, _Best]] = {0: {home: _Best(0.0, ())}}
    for i, bound in enumerate(bounds):
        if bound >= layers:
            break
        for place, here in best.get(bound, {}).items():
            if len(here.parts) >= paths.MAX_PARTS:
                continue
            used = {p.id for p in here.parts}
            for engine in engines:
                if not engine.first <= bound < engine.last or engine.id in used:
                    continue
                _extend(best, here, place, engine, bounds[i:], request, costs)
    found = min(
        best.get(layers, {}).values(), key=lambda b: b.cost, default=None
    )
    return found.parts if found else None


def _extend(
    best: dict[int, dict[str, _Best]],
    here: _Best,
    place: str,
    engine: paths.Candidate,
    bounds: Sequence[int],
    request: _Requirements,
    costs: paths.Costs,
) -> None:
    """Tries an engine from the first boundary to each later one it holds."""
    bound = bounds[0]
    joined = costs.hop_s if here.parts else 0.0
    if engine.data_centre != place:
        joined += costs.cross_s if here.parts else costs.entry_s
    for end in bounds[1:]:
        if end > engine.last:
            return
        wanted = (end - bound) * request.tokens
        if wanted > engine.free:
            return
        if (end - bound) * engine.pass_s > request.longest_pass_s:
            return
        fullness = (
            costs.fullness_weight * wanted / engine.free if wanted else 0.0
        )
        cost = here.cost + joined + (end - bound) * engine.layer_s
        cost += costs.hop_s * fullness
        there = best.setdefault(end, {})
        known = there.get(engine.data_centre)
        if known is None or cost < known.cost:
            part = paths.Part(engine.id, engine.address, bound, end)
            there[engine.data_centre] = _Best(cost, (*here.parts, part))


def _find_bounds(engines: Sequence[paths.Candidate], layers: int) -> list[int]:
    bounds = {0, layers}
    for engine in engines:
        bounds.add(engine.first)
        bounds.add(min(engine.last, layers))
    return sorted(bounds)
