"""Retry budget: pure.

Each first attempt earns a part of a retry. When half the upstreams fail, the
retries are bounded by the requests and don't multiply the load that is left.
Resuming an answer that has already begun is not drawn from the budget: the
caller has part of it and must get the rest.
"""

from __future__ import annotations

import attrs


@attrs.define
class Budget:
    """Retries saved up."""

    ratio: float
    burst: float
    saved: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.saved = self.burst


def earn(budget: Budget) -> None:
    """Counts a first attempt."""
    budget.saved = min(budget.burst, budget.saved + budget.ratio)


def spend(budget: Budget) -> bool:
    """Takes one retry; tells whether there was one."""
    if budget.saved < 1.0:
        return False
    budget.saved -= 1.0
    return True
