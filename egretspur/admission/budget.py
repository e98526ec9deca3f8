"""Retry budget: pure.

Each first attempt earns a fraction of a retry. When half the upstreams fail,
retries therefore stay proportional to requests instead of multiplying the load
on the remaining upstreams. Resuming an answer that has already begun is not
charged to the budget: the caller has part of it and must get the rest.
"""

from __future__ import annotations

import attrs


@attrs.define
class Budget:
    """Token bucket of retries."""

    ratio: float
    burst: float
    saved: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.saved = self.burst


def earn(budget: Budget) -> None:
    """Counts a first attempt."""
    budget.saved = min(budget.burst, budget.saved + budget.ratio)


def spend(budget: Budget) -> bool:
    """Takes one retry; returns whether one was available."""
    if budget.saved < 1.0:
        return False
    budget.saved -= 1.0
    return True
