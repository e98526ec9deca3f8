"""Upstreams that other hosts report failing: pure.

With many hosts, each has only a few streams, too few to find a stalled stage by
themselves. Read next: `egretspur.delivery.watch`.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Final

import attrs

# Time for which an upstream that another host reported failing is suspected.
SUSPICION_S: Final = 0.6


@attrs.define
class PeerSuspects:
    """Suspected upstreams by id, with monotonic times."""

    # When another host last reported them.
    _reported_s: dict[str, float] = attrs.Factory(dict)
    # When they were first reported.
    _first_s: dict[str, float] = attrs.Factory(dict)

    def record(self, upstream_ids: Collection[str], now_s: float) -> None:
        """Records upstreams that another host reports failing."""
        for upstream_id in upstream_ids:
            last_s = self._reported_s.get(upstream_id)
            if last_s is None or now_s - last_s >= SUSPICION_S:
                self._first_s[upstream_id] = now_s
            self._reported_s[upstream_id] = now_s

    def get_first_s(self, upstream_id: str) -> float:
        """Returns when an upstream was first reported; never is -infinity."""
        return self._first_s.get(upstream_id, -math.inf)

    def list_current(self, now_s: float) -> set[str]:
        """Returns the upstreams that are suspected now; forgets others."""
        self._reported_s = {
            i: t for i, t in self._reported_s.items() if now_s - t < SUSPICION_S
        }
        self._first_s = {
            i: t for i, t in self._first_s.items() if i in self._reported_s
        }
        return set(self._reported_s)
