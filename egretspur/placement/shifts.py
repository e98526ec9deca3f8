"""Shifts ranges of layers from engine to engine where a gap has no neighbour.

The engines next to a gap may be full while others further away have room. Then
the gap is closed by moving the bounds between engines that hold adjoining
layers. Pure. Read next: `egretspur.placement.ranges`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from egretspur.catalog import upstreams

# Layers to load, and the range of each engine that is used.
_Layout = tuple[int, tuple[tuple[str, upstreams.Layers], ...]]


def plan_shift(
    held: Mapping[str, upstreams.Layers | None],
    max_layers: Mapping[str, int],
    layers: int,
) -> dict[str, upstreams.Layers]:
    """Returns the next ranges on the way to a layout without gaps.

    Of all layouts with the engines in the order of their layers, it is one that
    loads the fewest. An engine gives up layers once others hold them, so the
    layout may take several plans.

    Args:
        held: Layers that each engine holds or is ordered to hold.
        max_layers: Largest number of layers of each engine.
        layers: Layers of the model.

    Returns:
        Empty if the engines have no room for all layers.
    """
    if sum(max_layers[i] for i in held) < layers:
        return {}
    order = sorted(held, key=lambda i: _make_sort_key(held[i]))
    wanted = _find_layout(order, held, max_layers, layers)
    changed = {
        i: part
        for i, part in wanted.items()
        if not _contains(held[i], part.first, part.last)
    }
    ready = {
        i: part
        for i, part in changed.items()
        if all(
            any(_contains(h, n, n + 1) for j, h in held.items() if j != i)
            for n in _list_dropped(held[i], part)
        )
    }
    return ready or changed


def _find_layout(
    order: Sequence[str],
    held: Mapping[str, upstreams.Layers | None],
    max_layers: Mapping[str, int],
    layers: int,
) -> dict[str, upstreams.Layers]:
    """Returns ranges that together hold each layer once."""
    # Best layout of the layers before each position.
    best: dict[int, _Layout] = {0: (0, ())}
    for engine_id in order:
        found = dict(best)
        for first, (loads, chosen) in best.items():
            end = min(first + max_layers[engine_id], layers)
            for last in range(first + 1, end + 1):
                part = upstreams.Layers(first, last)
                total = loads + _count_loads(held[engine_id], part)
                if last not in found or total < found[last][0]:
                    found[last] = (total, (*chosen, (engine_id, part)))
        best = found
    return dict(best[layers][1]) if layers in best else {}


def _make_sort_key(part: upstreams.Layers | None) -> tuple[float, float]:
    if part is None:
        return float("inf"), 0.0
    return part.first, part.last


def _contains(held: upstreams.Layers | None, first: int, last: int) -> bool:
    return held is not None and held.first <= first and last <= held.last


def _count_loads(held: upstreams.Layers | None, part: upstreams.Layers) -> int:
    """Returns how many layers of a range an engine does not hold yet."""
    if held is None:
        return part.count
    common = min(held.last, part.last) - max(held.first, part.first)
    return part.count - max(0, common)


def _list_dropped(
    held: upstreams.Layers | None, part: upstreams.Layers
) -> list[int]:
    """Returns the layers that an engine gives up for a range."""
    if held is None:
        return []
    return [
        n
        for n in range(held.first, held.last)
        if not part.first <= n < part.last
    ]
