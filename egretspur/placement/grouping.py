"""Groups the machines of a data centre into chains; pure.

A chain of equal machines in one rack splits evenly and has the fastest links,
so for each rack and accelerator the smallest group that fits is a candidate;
where none fits, machines are mixed, fastest links first. The candidate with
the highest efficiency is used; see `docs/design/placement.md` for the
comparison.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final

import attrs

from egretspur.placement import split

# Racks examined for one chain, least used first. Examining all of them takes
# time in proportion to the data centre and gives no measurable gain.
MAX_RACKS_TRIED: Final = 4

# Longest chain; each stage adds a hop to every token.
MAX_STAGES: Final = 8


@attrs.frozen
class Group:
    """Machines of one chain with their layers."""

    machines: tuple[split.Machine, ...]
    split: split.Split
    # Rate of the chain divided by the bound of `split.compute_bound`.
    efficiency: float


class Pool:
    """Machines of one data centre that are free for new chains."""

    def __init__(self, machines: Iterable[split.Machine]) -> None:
        self._racks: dict[str, dict[str, list[split.Machine]]] = {}
        self._cache: dict[tuple[object, ...], split.Split | None] = {}
        # Racks that can't hold a chain of this number of layers any more.
        # Machines only leave a pool, so these racks need no second check.
        self._exhausted_racks: set[tuple[str, int]] = set()
        for machine in sorted(machines, key=lambda m: m.name):
            if machine.max_layers > 0:
                kinds = self._racks.setdefault(machine.rack, {})
                kinds.setdefault(machine.accelerator, []).append(machine)

    def take_chain(
        self, layers: int, used_racks: dict[str, int], spread: bool
    ) -> Group | None:
        """Removes the machines of the best chain from the pool.

        Args:
            layers: Layers of the model.
            used_racks: Chains already in each rack; updated.
            spread: Whether to prefer racks with fewer chains.
        """
        group = self._find_in_racks(layers, used_racks, spread)
        if group is None:
            group = self._find_mixed(layers)
        if group is None:
            return None
        for machine in group.machines:
            self._racks[machine.rack][machine.accelerator].remove(machine)
        rack = group.machines[0].rack
        used_racks[rack] = used_racks.get(rack, 0) + 1
        return group

    def _find_in_racks(
        self, layers: int, used_racks: dict[str, int], spread: bool
    ) -> Group | None:
        racks = list(self._racks)
        if spread:
            racks.sort(key=lambda r: (used_racks.get(r, 0), r))
        best: Group | None = None
        tried = 0
        for rack in racks:
            if (rack, layers) in self._exhausted_racks:
                continue
            found = self._find_in_rack(rack, layers)
            if found is None:
                self._exhausted_racks.add((rack, layers))
                continue
            if best is None or _rank(found) > _rank(best):
                best = found
            tried += 1
            if tried >= MAX_RACKS_TRIED:
                break
        return best

    def _find_in_rack(self, rack: str, layers: int) -> Group | None:
        kinds = self._racks[rack]
        candidates = [self._take_fitting(ms, layers) for ms in kinds.values()]
        mixed = [m for ms in kinds.values() for m in ms[:MAX_STAGES]]
        mixed.sort(
            key=lambda m: (-m.link_tokens_per_s, -m.layers_per_s, m.name)
        )
        candidates.append(self._take_fitting(mixed, layers))
        found = [c for c in candidates if c is not None]
        return max(found, key=_rank) if found else None

    def _find_mixed(self, layers: int) -> Group | None:
        machines = [
            m
            for kinds in self._racks.values()
            for ms in kinds.values()
            for m in ms[:MAX_STAGES]
        ]
        machines.sort(
            key=lambda m: (-m.link_tokens_per_s, -m.max_layers, m.name)
        )
        return self._take_fitting(machines, layers)

    def _take_fitting(
        self, machines: Sequence[split.Machine], layers: int
    ) -> Group | None:
        chosen: list[split.Machine] = []
        capacity = 0
        for machine in machines[:MAX_STAGES]:
            chosen.append(machine)
            capacity += machine.max_layers
            if capacity >= layers:
                return self._make_group(chosen, layers)
        return None

    def _make_group(
        self, machines: list[split.Machine], layers: int
    ) -> Group | None:
        key = (
            layers,
            *(
                (m.max_layers, m.layers_per_s, m.link_tokens_per_s)
                for m in machines
            ),
        )
        if key not in self._cache:
            self._cache[key] = split.split_layers(machines, layers)
        result = self._cache[key]
        if result is None or result.tokens_per_s <= 0:
            return None
        used = [
            (m, n)
            for m, n in zip(machines, result.counts, strict=True)
            if n > 0
        ]
        bound = split.compute_bound([m for m, _ in used], layers)
        return Group(
            tuple(m for m, _ in used),
            split.Split(tuple(n for _, n in used), result.tokens_per_s),
            result.tokens_per_s / bound,
        )


def _rank(group: Group) -> tuple[float, float]:
    # Efficiency is rounded, so that a difference of a thousandth does not
    # outweigh a chain that is twice as fast.
    return round(group.efficiency, 1), group.split.tokens_per_s
