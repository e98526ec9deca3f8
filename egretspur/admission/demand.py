"""How much each host wants of what all hosts share at an upstream: pure.

Hosts tell each other how many requests of the last seconds they would have sent
to an upstream that limits them. Each takes the part that its own are of all of
them, so that callers are served alike wherever they come in. The parts add up
to one, or less: a host counts of its own only what all others have heard by
now, of theirs also the newest. Read next: `egretspur.admission.throttle`.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable
from typing import Final

import attrs

# Requests count for so long, in seconds.
WINDOW_S: Final = 5.0

# A host counts as wanting so many at least: one that begins to, or that is not
# heard, has a part too.
MIN_DEMAND: Final = 0.5

# A request of this host counts for its own part after so long, in seconds: it
# has been told to all within two datagrams, one of which may be lost.
OWN_DELAY_S: Final = 0.6

# What another host told counts for so long, in seconds. Long, since one that is
# not heard may be cut off and go on; a window after it has ended, its callers
# have come to others.
PEER_TTL_S: Final = 10.0


@attrs.frozen
class _PeerDemand:
    at_s: float
    wanted: int
    is_local: bool


class Demand:
    """Requests that hosts want to send, by upstream."""

    def __init__(self, data_centre: str) -> None:
        """Makes a state in which nobody wants anything.

        Args:
            data_centre: Of this host.
        """
        # Hosts that share, this one included.
        self.hosts = 1
        self._data_centre = data_centre
        # Times of this host's requests, by upstream.
        self._own: dict[str, list[float]] = {}
        # By upstream, and by host near by or other data centre: one host speaks
        # for all of that.
        self._peer_demand: dict[str, dict[str, _PeerDemand]] = {}

    def record_request(self, upstream_ids: Iterable[str], now_s: float) -> None:
        """Counts a request for which these upstreams would do."""
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
        """Takes how many another host, or a data centre, wants to send."""
        is_near = data_centre == self._data_centre
        heard = self._peer_demand.setdefault(upstream_id, {})
        heard[host if is_near else data_centre] = _PeerDemand(
            now_s, wanted, is_near
        )

    def count_own(self, upstream_id: str, now_s: float) -> int:
        """Returns how many requests this host wants to send."""
        times = self._own.get(upstream_id, [])
        return len(times) - bisect.bisect_left(times, now_s - WINDOW_S)

    def count_local(self, upstream_id: str, now_s: float) -> int:
        """Returns how many the hosts of this data centre want to send."""
        theirs = sum(
            h.wanted
            for h in self._list_recent(upstream_id, now_s)
            if h.is_local
        )
        return self.count_own(upstream_id, now_s) + theirs

    def get_share(self, upstream_id: str, now_s: float) -> float:
        """Returns this host's part of what an upstream takes, up to 1."""
        times = self._own.get(upstream_id, [])
        untold = len(times) - bisect.bisect_right(times, now_s - OWN_DELAY_S)
        own = self.count_own(upstream_id, now_s) - untold
        others = sum(h.wanted for h in self._list_recent(upstream_id, now_s))
        return (own + MIN_DEMAND) / (own + others + MIN_DEMAND * self.hosts)

    def remove_upstream(self, upstream_id: str) -> None:
        """Drops what is known of an upstream."""
        self._own.pop(upstream_id, None)
        self._peer_demand.pop(upstream_id, None)

    def _list_recent(self, upstream_id: str, now_s: float) -> list[_PeerDemand]:
        """Returns what the others have told of late."""
        return [
            h
            for h in self._peer_demand.get(upstream_id, {}).values()
            if now_s - h.at_s < PEER_TTL_S
        ]
