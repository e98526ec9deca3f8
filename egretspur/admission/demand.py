"""Demand of each host for the rate limit that hosts share: pure.

Hosts publish how many requests of the last seconds they would have sent to an
upstream with a rate limit. Each host's share is its fraction of the total
demand, so that callers are served alike whichever host they reach. The shares
add up to at most one: a host counts its own requests only once all others have
received them, and theirs as soon as it receives them. Read next:
`egretspur.admission.throttle`.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable
from typing import Final

import attrs

# Requests older than this no longer count as demand.
WINDOW_S: Final = 5.0

# Minimum demand of each host, so that one that starts to send, or whose updates
# are lost, has a share too.
MIN_DEMAND: Final = 0.5

# Age at which a request counts towards this host's own share. By then two
# datagrams have published it, one of which may be lost.
OWN_DELAY_S: Final = 0.6

# How long a peer's published demand counts. Long, since a host whose updates
# are missing may be cut off and still send; if it has stopped instead, its
# callers have reached other hosts within a window.
PEER_TTL_S: Final = 10.0


@attrs.frozen
class _PeerDemand:
    at_s: float
    wanted: int
    is_local: bool


class Demand:
    """Requests that hosts want to send, by upstream."""

    def __init__(self, data_centre: str) -> None:
        """Makes a state without any demand.

        Args:
            data_centre: Data centre of this host.
        """
        # Hosts that share the limits, this one included.
        self.hosts = 1
        self._data_centre = data_centre
        # Times of this host's requests, by upstream.
        self._own: dict[str, list[float]] = {}
        # By upstream, then by host within this data centre, or by name of
        # another data centre, for all of which one host reports.
        self._peer_demand: dict[str, dict[str, _PeerDemand]] = {}

    def record_request(self, upstream_ids: Iterable[str], now_s: float) -> None:
        """Counts a request that any of these upstreams could serve."""
        for upstream_id in upstream_ids:
            times = self._own.setdefault(upstream_id, [])
            del times[: bisect.bisect_left(times, now_s - WINDOW_S)]
            times.append(now_s)

    def apply_peer_update(
        self,
        host: str,
        data_centre: str,
        upstream_id: str,
        wanted: int,
        now_s: float,
    ) -> None:
        """Stores the demand of another host or of another data centre."""
        is_local = data_centre == self._data_centre
        by_peer = self._peer_demand.setdefault(upstream_id, {})
        by_peer[host if is_local else data_centre] = _PeerDemand(
            now_s, wanted, is_local
        )

    def count_own(self, upstream_id: str, now_s: float) -> int:
        """Returns this host's demand, in requests of the last window."""
        times = self._own.get(upstream_id, [])
        return len(times) - bisect.bisect_left(times, now_s - WINDOW_S)

    def count_local(self, upstream_id: str, now_s: float) -> int:
        """Returns the demand of all hosts of this data centre."""
        theirs = sum(
            h.wanted
            for h in self._list_recent(upstream_id, now_s)
            if h.is_local
        )
        return self.count_own(upstream_id, now_s) + theirs

    def get_share(self, upstream_id: str, now_s: float) -> float:
        """Returns this host's share of an upstream's limit, up to 1."""
        times = self._own.get(upstream_id, [])
        recent = len(times) - bisect.bisect_right(times, now_s - OWN_DELAY_S)
        own = self.count_own(upstream_id, now_s) - recent
        others = sum(h.wanted for h in self._list_recent(upstream_id, now_s))
        return (own + MIN_DEMAND) / (own + others + MIN_DEMAND * self.hosts)

    def remove_upstream(self, upstream_id: str) -> None:
        """Drops all demand for an upstream."""
        self._own.pop(upstream_id, None)
        self._peer_demand.pop(upstream_id, None)

    def _list_recent(self, upstream_id: str, now_s: float) -> list[_PeerDemand]:
        """Returns the demand of peers that has not expired."""
        return [
            h
            for h in self._peer_demand.get(upstream_id, {}).values()
            if now_s - h.at_s < PEER_TTL_S
        ]
