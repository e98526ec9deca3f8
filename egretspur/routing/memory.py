"""Requests in flight and request memory in use at upstreams: pure.

A host sums up its own requests and those in peer updates. Only the engines
know what they hold beyond that: requests of hosts that were lost, and answers
longer than expected. An engine's report that shows such an excess counts for a
while.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from egretspur.routing import jobs

# How long a peer update's usage counts. Hosts send several updates a second;
# a host that stopped sending has lost its callers too.
PEER_USAGE_TTL_S: Final = 2.0

# Reported excess decays to zero over this time: the answers that cause it,
# from lost hosts or longer than expected, end within the two to six seconds
# that an answer takes.
EXCESS_DECAY_S: Final = 3.0

# Excess above this fraction of an engine's memory is logged.
EXCESS_LOG_FRACTION: Final = 0.1

# How long an excess is sent to other hosts: two datagrams, one of which may be
# lost. Otherwise each host would learn of it by a refused request of its own.
EXCESS_PUBLISH_S: Final = 0.6


@attrs.frozen
class Excess:
    """Request memory in use at an engine beyond what the hosts count."""

    # Tokens times layers.
    amount: float
    at_s: float
    # Reported to this host by the engine; otherwise from a peer update.
    is_own: bool

    def get(self, now_s: float) -> float:
        """Returns the excess that is left after decay."""
        left = 1.0 - (now_s - self.at_s) / EXCESS_DECAY_S
        return self.amount * max(0.0, left)


@attrs.frozen
class PeerUsage:
    """Requests in flight of another host, by upstream."""

    received_s: float
    usage: Mapping[str, jobs.Usage]
    data_centre: str = ""


class Memory:
    """Requests in flight and request memory as one host counts them."""

    def __init__(self, data_centre: str) -> None:
        """Makes an empty state for a host of a data centre."""
        self._data_centre = data_centre
        self.own: dict[str, jobs.Usage] = {}
        # By host.
        self.peers: dict[str, PeerUsage] = {}
        self.excess: dict[str, Excess] = {}
        # Number of requests of this host that ended.
        self.release_count = 0
        # Usage of all peers together, and the time until which it is valid. A
        # path search needs it for every engine; summed up each time, it takes
        # half of the search's time among sixty hosts.
        self._peer_totals: dict[str, jobs.Usage] = {}
        self._peer_totals_until_s = -math.inf

    def add(self, upstream_id: str, count: int, used: float) -> None:
        """Changes this host's usage of an upstream."""
        old = self.own.get(upstream_id, jobs.Usage())
        if count < 0:
            self.release_count += 1
        left = jobs.Usage(old.count + count, max(0.0, old.room + used))
        if left.count > 0:
            self.own[upstream_id] = left
        else:
            self.own.pop(upstream_id, None)

    def get_usage(self, upstream_id: str, now_s: float) -> jobs.Usage:
        """Returns the usage of an upstream by all hosts."""
        if now_s >= self._peer_totals_until_s:
            fresh = self._list_current_peers(now_s)
            self._peer_totals = _sum_usage(p.usage for p in fresh)
            self._peer_totals_until_s = PEER_USAGE_TTL_S + min(
                (p.received_s for p in fresh), default=math.inf
            )
        own = self.own.get(upstream_id)
        theirs = self._peer_totals.get(upstream_id)
        if own is None or theirs is None:
            return own or theirs or jobs.Usage()
        return jobs.Usage(own.count + theirs.count, own.room + theirs.room)

    def sum_data_centre(self, now_s: float) -> dict[str, jobs.Usage]:
        """Returns the usage by the hosts of this data centre."""
        near = [
            p.usage
            for p in self._list_current_peers(now_s)
            if p.data_centre == self._data_centre
        ]
        return _sum_usage([self.own, *near])

    def _list_current_peers(self, now_s: float) -> list[PeerUsage]:
        """Returns the usage of peers that sent updates recently."""
        return [
            p
            for p in self.peers.values()
            if now_s - p.received_s < PEER_USAGE_TTL_S
        ]

    def count_peers(self, now_s: float) -> int:
        """Returns how many peers sent updates recently."""
        return len(self._list_current_peers(now_s))

    def set_peer_usage(self, host: str, usage: PeerUsage) -> None:
        """Replaces the usage of another host."""
        old = self.peers.get(host)
        self.peers[host] = usage
        # Fast path: the usage is as it was when the totals were computed.
        if (
            old is None
            or old.usage is not usage.usage
            or usage.received_s - old.received_s >= PEER_USAGE_TTL_S
        ):
            self._peer_totals_until_s = -math.inf

    def apply_peer_update(
        self,
        host: str,
        data_centre: str,
        usage: Mapping[str, jobs.Usage],
        excess: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Applies the usage and excess in a peer update.

        One speaker reports for all hosts of another data centre. When the
        speaker changes, the former one's usage is dropped: it covers the same
        requests, which would count twice until it expires.
        """
        if data_centre != self._data_centre:
            for other, peer in list(self.peers.items()):
                if peer.data_centre == data_centre and other != host:
                    del self.peers[other]
                    self._peer_totals_until_s = -math.inf
        self.set_peer_usage(host, PeerUsage(now_s, usage, data_centre))
        for upstream_id, room in excess.items():
            self.excess[upstream_id] = Excess(room, now_s, False)

    def record_reported_usage(
        self, upstream_id: str, used: float, now_s: float
    ) -> float:
        """Records the memory in use that an engine reports.

        Returns:
            The excess over what the hosts count, in tokens times layers.
        """
        beyond = max(0.0, used - self.get_usage(upstream_id, now_s).room)
        self.excess[upstream_id] = Excess(beyond, now_s, True)
        return beyond

    def get_excess(self, upstream_id: str, now_s: float) -> float:
        """Returns an engine's memory in use that the hosts do not count."""
        excess = self.excess.get(upstream_id)
        return excess.get(now_s) if excess else 0.0

    def list_excess(self, now_s: float) -> dict[str, float]:
        """Returns the recently reported excess, to send to other hosts."""
        return {
            i: round(e.amount)
            for i, e in self.excess.items()
            if e.is_own and e.amount and now_s - e.at_s < EXCESS_PUBLISH_S
        }


def _sum_usage(
    usages: Iterable[Mapping[str, jobs.Usage]],
) -> dict[str, jobs.Usage]:
    """Returns the sum by upstream."""
    counts: dict[str, int] = {}
    rooms: dict[str, float] = {}
    for usage in usages:
        for upstream_id, more in usage.items():
            counts[upstream_id] = counts.get(upstream_id, 0) + more.count
            rooms[upstream_id] = rooms.get(upstream_id, 0.0) + more.room
    return {i: jobs.Usage(n, rooms[i]) for i, n in counts.items()}
