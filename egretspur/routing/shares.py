"""A router's share of each workspace's limit: pure.

Tracks the demand of the other hosts and since when this one exceeds an even
share, and checks whether a waiting request may start under the limit. Read
next: `egretspur.admission.limits`, which divides a limit.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs

from egretspur.admission import limits
from egretspur.intents import records


@attrs.define
class WorkspaceShares:
    """Inputs with which one router divides the limits."""

    # Name of this router's host.
    name: str
    # Time for which demand must exceed an even share before more is granted.
    settle_s: float
    # Age after which other hosts' demand is ignored.
    max_age_s: float
    # Number of data centres that share a limit, by binding key.
    divisors: Mapping[str, int] = attrs.Factory(dict)
    # Running and waiting requests by binding key and host.
    demand: Mapping[str, Mapping[str, int]] = attrs.Factory(dict)
    # Number of routers in the data centre, by the platform's list.
    listed: int = 1
    updated_at_s: float = -1e9
    # Monotonic time since which demand exceeds an even share, by binding key.
    _over_share_since_s: dict[str, float] = attrs.Factory(dict)

    def update_demand(
        self, demand: Mapping[str, Mapping[str, int]], listed: int, now_s: float
    ) -> None:
        """Applies the demand of the other routers."""
        self.demand = demand
        self.listed = max(1, listed)
        self.updated_at_s = now_s

    def compute(
        self, key: str, binding: records.Binding, wanted: int, now_s: float
    ) -> int:
        """Returns how many requests of a workspace may run here concurrently.

        Args:
            key: Binding key of the workspace and model.
            binding: Binding with the limit.
            wanted: Running and waiting requests here, plus one new request.
            now_s: Monotonic time.
        """
        limit = max(1, binding.limit // self.divisors.get(key, 1))
        demand = {**self.demand.get(key, {}), self.name: wanted}
        return limits.compute_share(
            limit,
            self.name,
            demand,
            self.listed,
            now_s - self.updated_at_s < self.max_age_s,
            self._is_settled(key, wanted, limit, now_s),
        )

    def _is_settled(
        self, key: str, wanted: int, limit: int, now_s: float
    ) -> bool:
        """Returns whether demand has exceeded an even share for `settle_s`."""
        if wanted * self.listed <= limit:
            self._over_share_since_s.pop(key, None)
            return False
        since = self._over_share_since_s.setdefault(key, now_s)
        return now_s - since >= self.settle_s


@attrs.define
class LimitCheck:
    """Check of workspace limits during one pass over the queue.

    Each share is computed once a pass: it depends on the sum of running and
    waiting requests, which does not change when a waiting request starts.
    """

    # Returns a binding key's share here, or None if it has no limit.
    compute_share: Callable[[str], int | None]
    # Running requests by binding key; updated as requests start.
    running: Mapping[str, int]
    _shares: dict[str, int | None] = attrs.Factory(dict)

    def is_at_limit(self, key: str) -> bool:
        """Returns whether a workspace has reached its share here."""
        if key not in self._shares:
            self._shares[key] = self.compute_share(key)
        share = self._shares[key]
        return share is not None and self.running.get(key, 0) >= share
