"""Plans which engine of a data centre holds which layers; pure.

The plan is a function of what the engines hold now, so it need not be stored:
every duty holder computes the same one. For empty engines it is a full layout;
after a loss it reassigns only the layers that no engine holds any more.

An accelerator filled with layers has no memory for requests, and the whole
chain then refuses them. So each engine gets only as many layers as leave
memory for the key-value (KV) cache of requests. The fastest engines are
assigned first; the remaining ones hold copies of layers.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import attrs

from egretspur.catalog import config, upstreams
from egretspur.placement import shifts
from egretspur.routing import paths

# KV cache capacity per layer that a layout leaves, in tokens. Levels are tried
# in order until all layers can be held. With less than the last, one
# accelerator would slow down its whole data centre; using the layers of another
# data centre is better.
KV_TOKENS_LEVELS: Final = (36_000, 28_000, 20_000, 12_000)

# Number of levels tried where other data centres hold the missing layers.
DEFERRED_LEVELS: Final = 2

# Part of that capacity that an engine must keep when it takes over layers of a
# lost neighbour. It loads only the added layers, so this is the fastest repair,
# and it moves no copies.
EXTENDED_KV_SHARE: Final = 0.65

# Minimum number of layers an engine is given in a repair. The repair takes as
# long as the engine that loads most.
MIN_REPAIR_LAYERS: Final = 4


@attrs.frozen
class Engine:
    """An engine that may be given layers."""

    id: str
    accelerator: config.Accelerator
    # Layers it holds or has been ordered to hold.
    held: upstreams.Layers | None
    # Recently listed. Where an upstream is replaced, the new one is listed
    # shortly before the old one leaves; it is kept empty for the old one's
    # layers instead of loading a copy of others.
    is_new: bool = False
    # No request uses it. An engine drops layers in use only after their
    # requests have ended, and refuses new ones until then.
    is_idle: bool = True


def plan_orders(
    engines: Sequence[Engine],
    spec: config.EngineSpec,
    remote_ranges: Sequence[upstreams.Layers] = (),
    kv_levels: Sequence[float] = KV_TOKENS_LEVELS,
) -> dict[str, upstreams.Layers]:
    """Returns the new layer range of each engine whose range changes.

    Args:
        engines: Live engines of one data centre.
        spec: Sizes of the model.
        remote_ranges: Ranges that live engines of other data centres hold.
        kv_levels: KV cache tokens to leave on every layer, best level first.
    """
    ordered = sorted(engines, key=lambda e: (e.accelerator.pace, e.id))
    held = {e.id: e.held for e in ordered if e.held is not None}
    gaps = _find_gaps(held.values(), spec.layers)
    if not gaps:
        return _add_copies(ordered, held, spec, kv_levels[0])
    if held and not _find_gaps(remote_ranges, spec.layers):
        # Paths use the other data centres meanwhile, so the repair can wait for
        # engines that no request uses and need not fill any accelerator.
        movable = frozenset(e.id for e in ordered if e.is_idle)
        repair = _close_gaps(
            ordered, held, gaps, spec, movable, kv_levels[:DEFERRED_LEVELS]
        )
        return repair.orders if repair.is_complete else {}
    movable = frozenset(e.id for e in ordered)
    repair = _close_gaps(ordered, held, gaps, spec, movable, kv_levels)
    if repair.is_complete:
        return repair.orders
    # A partial repair is ordered too: its layers may complete those of another
    # data centre.
    return _plan_shift(ordered, spec, kv_levels) or repair.orders


def compute_max_layers(
    accelerator: config.Accelerator, spec: config.EngineSpec, kv_tokens: float
) -> int:
    """Returns the layers that fit with this KV cache capacity on each."""
    each = spec.layer_bytes + kv_tokens * spec.token_layer_bytes
    return min(spec.layers, int(accelerator.memory_bytes / each))


def compute_kv_tokens(
    accelerator: config.Accelerator, spec: config.EngineSpec, count: int
) -> float:
    """Returns the KV cache tokens per layer with `count` layers held."""
    left = accelerator.memory_bytes - count * spec.layer_bytes
    return left / (count * spec.token_layer_bytes)


def _find_gaps(
    held: Iterable[upstreams.Layers], layers: int
) -> list[upstreams.Layers]:
    ranges = [(h.first, h.last) for h in held]
    return [upstreams.Layers(a, b) for a, b in paths.find_gaps(ranges, layers)]


def _plan_shift(
    engines: Sequence[Engine],
    spec: config.EngineSpec,
    kv_levels: Sequence[float],
) -> dict[str, upstreams.Layers]:
    """Returns orders that move layers between engines; see `shifts`."""
    held = {e.id: e.held for e in engines}
    for level in kv_levels:
        max_layers = {
            e.id: compute_max_layers(e.accelerator, spec, level)
            for e in engines
        }
        orders = shifts.plan_shift(held, max_layers, spec.layers)
        if orders:
            return orders
    return {}


def _close_gaps(
    engines: Sequence[Engine],
    held: Mapping[str, upstreams.Layers],
    gaps: Sequence[upstreams.Layers],
    spec: config.EngineSpec,
    movable: frozenset[str],
    kv_levels: Sequence[float],
) -> _Repair:
    """Assigns layers without a holder, with the highest KV level possible.

    An even split loads fastest. Where it leaves no engine for a further gap,
    each engine takes as many layers as fit, the largest gap first.

    Returns:
        The first attempt that closes all gaps, else the last even split.
    """
    repair = _Repair(engines, spec, movable, kv_levels[0], dict(held))
    for level in kv_levels:
        repair = _Repair(engines, spec, movable, level, dict(held))
        repair.close_gaps(gaps)
        if repair.is_complete:
            return repair
        packed = _Repair(
            engines, spec, movable, level, dict(held), is_packed=True
        )
        packed.close_gaps(sorted(gaps, key=lambda g: -g.count))
        if packed.is_complete:
            return packed
    return repair


@attrs.define
class _Repair:
    """One attempt to assign missing layers at one KV cache level."""

    # All engines, fastest first.
    engines: Sequence[Engine]
    spec: config.EngineSpec
    # Ids of engines that may be given other layers than they hold.
    movable: frozenset[str]
    # KV cache capacity to leave on each layer, in tokens.
    kv_tokens: float
    # Layers of each engine once the orders are done.
    assigned: dict[str, upstreams.Layers]
    orders: dict[str, upstreams.Layers] = attrs.Factory(dict)
    # Engines take as many layers as fit instead of an even split.
    is_packed: bool = False
    # Every layer of every gap was assigned.
    is_complete: bool = True
    # First layout: no layers were held before, so load time does not matter.
    is_first: bool = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.is_first = not self.assigned

    def close_gaps(self, gaps: Iterable[upstreams.Layers]) -> None:
        """Assigns the layers of all gaps and sets `is_complete`."""
        for gap in gaps:
            self.is_complete &= self.close_gap(gap)

    def close_gap(self, gap: upstreams.Layers) -> bool:
        """Assigns the layers of a gap; tells whether all were assigned."""
        if not self.is_first:
            assigned, orders = dict(self.assigned), dict(self.orders)
            if self._extend_neighbours(gap, EXTENDED_KV_SHARE * self.kv_tokens):
                return True
            self.assigned, self.orders = assigned, orders
        rest = self._assign_available(gap)
        return self._extend_neighbours(rest, self.kv_tokens)

    def _assign(self, engine: Engine, layers: upstreams.Layers) -> None:
        self.orders[engine.id] = self.assigned[engine.id] = layers

    def _assign_available(self, gap: upstreams.Layers) -> upstreams.Layers:
        """Assigns a gap to available engines; returns the unassigned rest."""
        position = gap.first
        while position < gap.last:
            available = [
                e for e in self._list_available() if e.id in self.movable
            ]
            if not available:
                break
            count = compute_max_layers(
                available[0].accelerator, self.spec, self.kv_tokens
            )
            if not self.is_first and not self.is_packed:
                fair = math.ceil((gap.last - position) / len(available))
                count = min(count, max(fair, MIN_REPAIR_LAYERS))
            count = min(count, gap.last - position)
            if count <= 0:
                break
            self._assign(
                available[0], upstreams.Layers(position, position + count)
            )
            position += count
        return upstreams.Layers(position, gap.last)

    def _list_available(self) -> list[Engine]:
        """Returns the engines that can be given other layers, best first.

        Empty engines come first, fastest first; then those whose layers all
        have other holders, slowest first, since fast ones serve most requests.
        """
        empty = [e for e in self.engines if e.id not in self.assigned]
        copies = [
            e
            for e in reversed(self.engines)
            if e.id in self.assigned and self._is_redundant(e.id)
        ]
        return empty + copies

    def _is_redundant(self, engine_id: str) -> bool:
        """Tells whether other engines hold all layers of this one."""
        if engine_id in self.orders:
            return False
        own = self.assigned[engine_id]
        others = [
            (h.first, h.last)
            for i, h in self.assigned.items()
            if i != engine_id
        ]
        gaps = paths.find_gaps(others, own.last)
        return not any(a < own.last and b > own.first for a, b in gaps)

    def _extend_neighbours(
        self, gap: upstreams.Layers, min_kv_tokens: float
    ) -> bool:
        """Extends the ranges next to a gap; tells whether that closes it.

        Each layer goes to the neighbour that keeps more KV cache capacity.
        """
        first, last = gap.first, gap.last
        while first < last:
            best: tuple[float, Engine, upstreams.Layers] | None = None
            for engine in self.engines:
                more = _extend_range(self.assigned.get(engine.id), first, last)
                if more is None:
                    continue
                left = compute_kv_tokens(
                    engine.accelerator, self.spec, more.count
                )
                if left >= min_kv_tokens and (best is None or left > best[0]):
                    best = (left, engine, more)
            if best is None:
                return False
            _, engine, more = best
            self._assign(engine, more)
            if more.last == first + 1:
                first += 1
            else:
                last -= 1
        return True


def _extend_range(
    current: upstreams.Layers | None, first: int, last: int
) -> upstreams.Layers | None:
    """Returns a range extended by one layer of a gap that adjoins it."""
    if current is None:
        return None
    if current.last == first:
        return upstreams.Layers(current.first, first + 1)
    if current.first == last:
        return upstreams.Layers(last - 1, current.last)
    return None


def _add_copies(
    engines: Sequence[Engine],
    held: Mapping[str, upstreams.Layers],
    spec: config.EngineSpec,
    kv_level: float,
) -> dict[str, upstreams.Layers]:
    """Assigns empty engines the layers with the least KV cache capacity."""
    orders: dict[str, upstreams.Layers] = {}
    # Copies begin or end where another range does, copies included: beside wide
    # ranges alone, they would leave the middle of each to a single holder.
    assigned = list(held.values())
    layer_tokens = [0.0] * spec.layers
    for engine in engines:
        if engine.held is not None:
            _add_kv_tokens(layer_tokens, engine, engine.held, spec)
    for engine in engines:
        if engine.id in held or engine.is_new:
            continue
        count = compute_max_layers(engine.accelerator, spec, kv_level)
        if count <= 0:
            continue
        part = _find_scarcest_range(layer_tokens, assigned, count)
        orders[engine.id] = part
        assigned.append(part)
        _add_kv_tokens(layer_tokens, engine, part, spec)
    return orders


def _add_kv_tokens(
    layer_tokens: list[float],
    engine: Engine,
    part: upstreams.Layers,
    spec: config.EngineSpec,
) -> None:
    kv_tokens = compute_kv_tokens(engine.accelerator, spec, part.count)
    for layer in range(part.first, min(part.last, len(layer_tokens))):
        layer_tokens[layer] += kv_tokens


def _find_scarcest_range(
    layer_tokens: Sequence[float], held: Iterable[upstreams.Layers], count: int
) -> upstreams.Layers:
    """Returns the range of `count` layers with the least total capacity."""
    last = len(layer_tokens) - count
    starts = {0, last}
    for part in held:
        starts.update((part.first, part.last))
        starts.update((part.first - count, part.last - count))
    found = [
        (sum(layer_tokens[s : s + count]), s)
        for s in sorted(starts)
        if 0 <= s <= last
    ]
    _, start = min(found)
    return upstreams.Layers(start, start + count)
