"""A router's part of each workspace's limit, as the queue needs it: pure.

Out of the dispatcher: what other hosts want, since when this one wants more
than an even part, and whether a waiting request is held back. How a limit is
divided stands in `egretspur.admission.limits`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs

from egretspur.admission import limits
from egretspur.intents import records


@attrs.define
class WorkspaceShares:
    """What one router knows for dividing limits."""

    # This router's host.
    name: str
    # Seconds of wanting more than an even part before more may be taken.
    settle_s: float
    # News older than this is none, in seconds.
    news_s: float
    # Data centres that each limit is divided by, by key.
    divisors: Mapping[str, int] = attrs.Factory(dict)
    # Requests at once by key and host.
    demand: Mapping[str, Mapping[str, int]] = attrs.Factory(dict)
    # Routers in the data centre by the platform's list.
    listed: int = 1
    informed_at_s: float = -1e9
    # Since when a workspace wants more than an even share, by key.
    _wanting_since_s: dict[str, float] = attrs.Factory(dict)

    def note(
        self, demand: Mapping[str, Mapping[str, int]], listed: int, now_s: float
    ) -> None:
        """Takes news of the other routers."""
        self.demand = demand
        self.listed = max(1, listed)
        self.informed_at_s = now_s

    def compute(
        self, key: str, binding: records.Binding, wanted: int, now_s: float
    ) -> int:
        """Returns how many requests of a workspace may run here at once.

        Args:
            key: Of the workspace and model.
            binding: With the limit.
            wanted: Requests that run or wait here, and the one asked about.
            now_s: Monotonic time.
        """
        limit = max(1, binding.limit // self.divisors.get(key, 1))
        demand = {**self.demand.get(key, {}), self.name: wanted}
        return limits.compute_share(
            limit,
            self.name,
            demand,
            self.listed,
            now_s - self.informed_at_s < self.news_s,
            self._is_settled(key, wanted, limit, now_s),
        )

    def _is_settled(
        self, key: str, wanted: int, limit: int, now_s: float
    ) -> bool:
        """Tells whether a workspace has wanted more than its part for long."""
        if wanted * self.listed <= limit:
            self._wanting_since_s.pop(key, None)
            return False
        since = self._wanting_since_s.setdefault(key, now_s)
        return now_s - since >= self.settle_s


@attrs.define
class Hold:
    """Which waiting requests a limit holds back, in one pass over the queue.

    A share is worked out once for each workspace and pass: starting a request
    moves it from the waiting to the running ones and leaves their sum, which
    is all that the share depends on.
    """

    # Returns a key's share here, or None if it has no limit.
    compute_share: Callable[[str], int | None]
    # Running requests by key; changes while requests are started.
    running: Mapping[str, int]
    _shares: dict[str, int | None] = attrs.Factory(dict)

    def is_held(self, key: str) -> bool:
        """Tells whether a workspace is at its limit here."""
        if key not in self._shares:
            self._shares[key] = self.compute_share(key)
        share = self._shares[key]
        return share is not None and self.running.get(key, 0) >= share
