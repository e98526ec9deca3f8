"""Splits a model's layers over the machines of one chain; pure.

The rate of a chain is that of its slowest stage or link. Giving layers one at
a time to the machine that would be fastest with one more is optimal for that
minimum: any other split gives some machine more layers than this one does, at
a rate no higher. Compare `split_evenly`, the baseline.
"""

from __future__ import annotations

import heapq
from collections.abc import Sequence

import attrs


@attrs.frozen
class Machine:
    """Properties of a host that planning uses."""

    name: str
    rack: str
    accelerator: str
    # Layers that fit into its free memory.
    max_layers: int
    # Layers of the model it computes per second, over all tokens.
    layers_per_s: float
    # Tokens per second that its link carries to the next stage.
    link_tokens_per_s: float


@attrs.frozen
class Split:
    """Layers per machine, in the order of the machines, and the rate."""

    counts: tuple[int, ...]
    tokens_per_s: float


def split_layers(machines: Sequence[Machine], layers: int) -> Split | None:
    """Returns the split with the highest rate; None if memory is short."""
    if sum(m.max_layers for m in machines) < layers:
        return None
    counts = [0] * len(machines)
    heap = [
        (-m.layers_per_s, i) for i, m in enumerate(machines) if m.max_layers > 0
    ]
    heapq.heapify(heap)
    for _ in range(layers):
        _, i = heapq.heappop(heap)
        counts[i] += 1
        if counts[i] < machines[i].max_layers:
            rate = machines[i].layers_per_s / (counts[i] + 1)
            heapq.heappush(heap, (-rate, i))
    return Split(tuple(counts), compute_rate(machines, counts))


def split_evenly(machines: Sequence[Machine], layers: int) -> Split | None:
    """Returns the even split, as far as memory allows; the baseline."""
    if sum(m.max_layers for m in machines) < layers:
        return None
    counts = [0] * len(machines)
    left = layers
    while left:
        for i, machine in enumerate(machines):
            if left and counts[i] < machine.max_layers:
                counts[i] += 1
                left -= 1
    return Split(tuple(counts), compute_rate(machines, counts))


def compute_rate(machines: Sequence[Machine], counts: Sequence[int]) -> float:
    """Returns tokens per second of a chain with these layers per machine."""
    used = [(m, n) for m, n in zip(machines, counts, strict=True) if n > 0]
    if not used:
        return 0.0
    rate = min(m.layers_per_s / n for m, n in used)
    if len(used) > 1:
        rate = min(rate, min(m.link_tokens_per_s for m, _ in used))
    return rate


def compute_bound(machines: Sequence[Machine], layers: int) -> float:
    """Returns the rate with fractional layers and unlimited links."""
    return sum(m.layers_per_s for m in machines) / layers
