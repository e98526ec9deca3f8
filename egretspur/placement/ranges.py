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
# with which all layers can be held is taken. With less than the last, a card
# would hold up its whole data centre; the layers of another are better.
ROOMS: Final = (36_000, 28_000, 20_000, 12_000)

# So many of these are tried where other data centres hold the missing layers.
PATIENT: Final = 2

# Part of that room which an engine must keep that holds some layers more
# because its neighbour is lost. It loads only those, so this is the quickest
# repair, and leaves the twins where they are.
EXTENDED: Final = 0.65

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
    # It has just come. Where an upstream is replaced, the new one comes first
    # and the old one leaves a moment later; the new one is kept free for its
    # layers instead of loading a twin's.
    is_new: bool = False
    # No request uses it; layers that are in use can be given up only once
    # those requests are done, and new ones are refused until then.
    is_idle: bool = True


def plan_orders(
    engines: Sequence[Engine],
    spec: config.EngineSpec,
    elsewhere: Sequence[upstreams.Layers] = (),
    rooms: Sequence[float] = ROOMS,
) -> dict[str, upstreams.Layers]:
    """Returns the ranges that engines are to hold, where that changes.

    Args:
        engines: Live engines of one data centre.
        spec: Sizes of the model.
        elsewhere: Ranges that live engines of other data centres hold.
        rooms: Least room to leave on every layer, in tokens, best first.
    """
    ordered = sorted(engines, key=lambda e: (e.accelerator.pace, e.id))
    held = {e.id: e.held for e in ordered if e.held is not None}
    gaps = _find_gaps(held.values(), spec.layers)
    if not gaps:
        return _make_twins(ordered, held, spec, rooms[0])
    if held and not _find_gaps(elsewhere, spec.layers):
        # Paths go over the other data centres meanwhile, so it can wait for
        # engines that no request uses, and needn't crowd any card.
        movable = frozenset(e.id for e in ordered if e.is_idle)
        repair = _close_gaps(
            ordered, held, gaps, spec, movable, rooms[:PATIENT]
        )
        return repair.orders if repair.is_whole else {}
    movable = frozenset(e.id for e in ordered)
    # What can be held is held, though some layers are left without a holder:
    # it may complete those of another data centre.
    return _close_gaps(ordered, held, gaps, spec, movable, rooms).orders


def compute_most(
    accelerator: config.Accelerator, spec: config.EngineSpec, room: float
) -> int:
    """Returns the layers a card can hold with so many tokens of room each."""
    each = spec.layer_bytes + room * spec.token_layer_bytes
    return min(spec.layers, int(accelerator.memory_bytes / each))


def compute_room(
    accelerator: config.Accelerator, spec: config.EngineSpec, count: int
) -> float:
    """Returns the tokens of room on each layer of a card that holds so many."""
    left = accelerator.memory_bytes - count * spec.layer_bytes
    return left / (count * spec.token_layer_bytes)


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
    movable: frozenset[str],
    rooms: Sequence[float],
) -> _Repair:
    """Finds holders for layers that nobody holds, with as much room as can be.

    Returns:
        The first try that closes all gaps, else the last one.
    """
    repair = _Repair(engines, spec, movable, rooms[0], dict(held))
    for room in rooms:
        repair = _Repair(engines, spec, movable, room, dict(held))
        for gap in gaps:
            repair.is_whole &= repair.close(gap)
        if repair.is_whole:
            break
    return repair


@attrs.define
class _Repair:
    """One try to hold missing layers with so much room on every card."""

    # All engines, fastest first.
    engines: Sequence[Engine]
    spec: config.EngineSpec
    # Those that may be given other layers in place of theirs.
    movable: frozenset[str]
    # Tokens.
    room: float
    # What each engine holds once the orders are done.
    have: dict[str, upstreams.Layers]
    orders: dict[str, upstreams.Layers] = attrs.Factory(dict)
    # Every gap got holders.
    is_whole: bool = True
    # Nothing was held before: the first layout, in which time doesn't count.
    is_first: bool = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.is_first = not self.have

    def close(self, gap: upstreams.Layers) -> bool:
        """Finds holders for a gap; tells whether all of it has one."""
        if not self.is_first:
            have, orders = dict(self.have), dict(self.orders)
            if self._extend(gap, EXTENDED * self.room):
                return True
            self.have, self.orders = have, orders
        rest = self._move(gap)
        return self._extend(rest, self.room)

    def _order(self, engine: Engine, layers: upstreams.Layers) -> None:
        self.orders[engine.id] = self.have[engine.id] = layers

    def _move(self, gap: upstreams.Layers) -> upstreams.Layers:
        """Gives a gap to free engines; returns what is left of it."""
        at = gap.first
        while at < gap.last:
            free = [e for e in self._list_free() if e.id in self.movable]
            if not free:
                break
            count = compute_most(free[0].accelerator, self.spec, self.room)
            if not self.is_first:
                fair = math.ceil((gap.last - at) / len(free))
                count = min(count, max(fair, FEWEST))
            count = min(count, gap.last - at)
            if count <= 0:
                break
            self._order(free[0], upstreams.Layers(at, at + count))
            at += count
        return upstreams.Layers(at, gap.last)

    def _list_free(self) -> list[Engine]:
        """Returns the engines that can be given other layers, best first.

        Empty ones, fastest first; then those whose layers all have other
        holders, slowest first, since the fast ones serve most requests.
        """
        empty = [e for e in self.engines if e.id not in self.have]
        twins = [
            e
            for e in reversed(self.engines)
            if e.id in self.have and self._is_twin(e.id)
        ]
        return empty + twins

    def _is_twin(self, engine_id: str) -> bool:
        """Tells whether an engine holds only what others hold too."""
        if engine_id in self.orders:
            return False
        mine = self.have[engine_id]
        others = [
            (h.first, h.last) for i, h in self.have.items() if i != engine_id
        ]
        gaps = paths.find_gaps(others, mine.last)
        return not any(a < mine.last and b > mine.first for a, b in gaps)

    def _extend(self, gap: upstreams.Layers, floor: float) -> bool:
        """Lets the neighbours of a gap hold more; tells if that closes it.

        Layer by layer, the neighbour that keeps more room takes the next one.
        """
        first, last = gap.first, gap.last
        while first < last:
            best: tuple[float, Engine, upstreams.Layers] | None = None
            for engine in self.engines:
                more = _grow(self.have.get(engine.id), first, last)
                if more is None:
                    continue
                left = compute_room(engine.accelerator, self.spec, more.count)
                if left >= floor and (best is None or left > best[0]):
                    best = (left, engine, more)
            if best is None:
                return False
            _, engine, more = best
            self._order(engine, more)
            if more.last == first + 1:
                first += 1
            else:
                last -= 1
        return True


def _grow(
    mine: upstreams.Layers | None, first: int, last: int
) -> upstreams.Layers | None:
    """Returns a range with one layer more, if a gap adjoins it."""
    if mine is None:
        return None
    if mine.last == first:
        return upstreams.Layers(mine.first, first + 1)
    if mine.first == last:
        return upstreams.Layers(last - 1, mine.last)
    return None


def _make_twins(
    engines: Sequence[Engine],
    held: Mapping[str, upstreams.Layers],
    spec: config.EngineSpec,
    least: float,
) -> dict[str, upstreams.Layers]:
    """Gives empty engines the layers with the least room for requests."""
    orders: dict[str, upstreams.Layers] = {}
    rooms = [0.0] * spec.layers
    for engine in engines:
        if engine.held is not None:
            _add_room(rooms, engine, engine.held, spec)
    for engine in engines:
        if engine.id in held or engine.is_new:
            continue
        count = compute_most(engine.accelerator, spec, least)
        if count <= 0:
            continue
        part = _find_scarcest(rooms, held.values(), count)
        orders[engine.id] = part
        _add_room(rooms, engine, part, spec)
    return orders


def _add_room(
    rooms: list[float],
    engine: Engine,
    part: upstreams.Layers,
    spec: config.EngineSpec,
) -> None:
    room = compute_room(engine.accelerator, spec, part.count)
    for layer in range(part.first, min(part.last, len(rooms))):
        rooms[layer] += room


def _find_scarcest(
    rooms: Sequence[float], held: Iterable[upstreams.Layers], count: int
) -> upstreams.Layers:
    """Returns the range of so many layers with the least room in all."""
    last = len(rooms) - count
    starts = {0, last}
    for part in held:
        starts.update((part.first, part.last - count))
    found = [
        (sum(rooms[s : s + count]), s) for s in sorted(starts) if 0 <= s <= last
    ]
    _, start = min(found)
    return upstreams.Layers(start, start + count)
