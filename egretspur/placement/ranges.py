"""Which engine of a data centre holds which layers: pure.

The plan is a function of what the engines hold now, so it need not be stored:
whoever has the duty makes the same one. From empty engines it makes a layout;
after a loss it mends only the layers that no engine holds any more.

A card filled with layers has no memory for requests, and the whole chain then
refuses. So each engine gets only as many layers as leave room for requests;
the fastest engines go first, and what is left twins the layers.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import attrs

from egretspur.catalog import config, upstreams
from egretspur.routing import paths

# Room for requests that a layout leaves on every layer, in tokens; the first
# with which all layers can be held is taken.
ROOMS: Final = (45_000, 30_000, 20_000, 12_000, 6_000, 2_000)

# Fewest layers an engine is given in a repair; loading takes as long as the
# layers of the engine that loads most.
FEWEST: Final = 4


@attrs.frozen
class Engine:
    """An engine that may be given layers."""

    id: str
    accelerator: config.Accelerator
    # What it holds, or has been ordered to hold.
    held: upstreams.Layers | None


def plan_orders(
    engines: Sequence[Engine], spec: config.EngineSpec
) -> dict[str, upstreams.Layers]:
    """Returns the ranges that engines are to hold, where that changes.

    Args:
        engines: Live engines of one data centre.
        spec: Sizes of the model.
    """
    ordered = sorted(engines, key=lambda e: (e.accelerator.pace, e.id))
    held = {e.id: e.held for e in ordered if e.held is not None}
    gaps = _find_gaps(held.values(), spec.layers)
    if gaps:
        return _close_gaps(ordered, held, gaps, spec)
    empty = [e for e in ordered if e.held is None]
    return _make_twins(empty, held, spec)


def compute_most(
    accelerator: config.Accelerator, spec: config.EngineSpec, room: float
) -> int:
    """Returns the layers a card can hold with so many tokens of room each."""
    each = spec.layer_bytes + room * spec.token_layer_bytes
    return min(spec.layers, int(accelerator.memory_bytes / each))


def _find_gaps(
    held: Iterable[upstreams.Layers], layers: int
) -> list[upstreams.Layers]:
    ranges = [(h.first, h.last) for h in held]
    return [upstreams.Layers(a, b) for a, b in paths.find_gaps(ranges, layers)]


def _close_gaps(
    engines: Sequence[Engine],
    held: Mapping[str, upstreams.Layers],
    gaps: Sequence[upstreams.Layers],
    spec: config.EngineSpec,
) -> dict[str, upstreams.Layers]:
    """Finds holders for layers that nobody holds, with as much room as can be.

    If even the least room does not do, what can be held is held: it may
    complete the layers of another data centre.
    """
    orders: dict[str, upstreams.Layers] = {}
    for room in ROOMS:
        orders, left = _try_close(engines, held, gaps, spec, room)
        if not left:
            break
    return orders


def _try_close(
    engines: Sequence[Engine],
    held: Mapping[str, upstreams.Layers],
    gaps: Sequence[upstreams.Layers],
    spec: config.EngineSpec,
    room: float,
) -> tuple[dict[str, upstreams.Layers], bool]:
    """Returns orders, and whether some layers are left without a holder."""
    orders: dict[str, upstreams.Layers] = {}
    is_first = not held
    have = dict(held)
    left = False
    for gap in gaps:
        at = gap.first
        while at < gap.last:
            free = [e for e in engines if _is_free(e.id, have, orders)]
            if not free:
                break
            engine = free[0]
            count = compute_most(engine.accelerator, spec, room)
            if not is_first:
                fair = math.ceil((gap.last - at) / len(free))
                count = min(count, max(fair, FEWEST))
            count = min(count, gap.last - at)
            if count <= 0:
                break
            part = upstreams.Layers(at, at + count)
            orders[engine.id] = have[engine.id] = part
            at += count
        if at < gap.last:
            at = _extend(engines, have, orders, at, gap.last, spec, room)
        left |= at < gap.last
    return orders, left


def _is_free(
    engine_id: str,
    have: Mapping[str, upstreams.Layers],
    orders: Mapping[str, upstreams.Layers],
) -> bool:
    """Tells whether an engine is empty or holds only what others hold too."""
    if engine_id in orders:
        return False
    mine = have.get(engine_id)
    if mine is None:
        return True
    others = [(h.first, h.last) for i, h in have.items() if i != engine_id]
    gaps = paths.find_gaps(others, mine.last)
    return not any(last > mine.first for _, last in gaps)


def _extend(
    engines: Sequence[Engine],
    have: dict[str, upstreams.Layers],
    orders: dict[str, upstreams.Layers],
    first: int,
    last: int,
    spec: config.EngineSpec,
    room: float,
) -> int:
    """Lets the neighbours of a gap hold more; returns where it now begins."""
    for engine in engines:
        mine = have.get(engine.id)
        if mine is None or first >= last:
            continue
        more = compute_most(engine.accelerator, spec, room) - mine.count
        more = min(more, last - first)
        if more <= 0 or mine.last != first:
            continue
        part = upstreams.Layers(mine.first, mine.last + more)
        orders[engine.id] = have[engine.id] = part
        first += more
    return first


def _make_twins(
    empty: Sequence[Engine],
    held: Mapping[str, upstreams.Layers],
    spec: config.EngineSpec,
) -> dict[str, upstreams.Layers]:
    """Gives empty engines the layers that the fewest others hold."""
    orders: dict[str, upstreams.Layers] = {}
    have = dict(held)
    for engine in empty:
        count = compute_most(engine.accelerator, spec, ROOMS[0])
        if count <= 0:
            continue
        part = _find_scarcest(have.values(), count, spec.layers)
        orders[engine.id] = have[engine.id] = part
    return orders


def _find_scarcest(
    held: Iterable[upstreams.Layers], count: int, layers: int
) -> upstreams.Layers:
    """Returns the range of so many layers that has the fewest holders."""
    holders = [0] * layers
    starts = {0}
    for part in held:
        starts.add(part.first)
        starts.add(part.last)
        for layer in range(part.first, min(part.last, layers)):
            holders[layer] += 1
    found = [
        (sum(holders[s : s + count]) / count, s)
        for s in sorted(starts)
        if s + count <= layers
    ]
    last = layers - count
    found.append((sum(holders[last:]) / count, last))
    _, start = min(found)
    return upstreams.Layers(start, start + count)
