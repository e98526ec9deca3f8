"""What the hosts have in flight at upstreams, and memory nobody counts: pure.

A host counts its own requests and what the others say of theirs. What engines
hold beyond that, answers of hosts that were lost or answers longer than
expected, only they know: a report that shows more counts for a while.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from egretspur.routing import jobs

# What another host said counts for so long. Hosts tell several times a
# second; one that fell silent has lost its callers too.
USAGE_KEPT_S: Final = 2.0

# Memory in use beyond what the hosts count is forgiven over so long: what
# holds it, answers of hosts that were lost or longer than expected, ends within
# the two to six seconds that an answer takes.
EXCESS_S: Final = 3.0

# Part of an engine's memory beyond which it is worth a line in the log.
EXCESS_NOTED: Final = 0.1

# It is told to other hosts for so long: two datagrams, one of which may be
# lost. Each host would find it out by a refusal of its own else.
EXCESS_TOLD_S: Final = 0.6


@attrs.frozen
class Excess:
    """Request memory in use at an engine beyond what the hosts count."""

    # Tokens times layers.
    room: float
    at_s: float
    # This host asked the engine itself; else another host told it.
    is_own: bool

    def get(self, now_s: float) -> float:
        """Returns what of it counts now."""
        left = 1.0 - (now_s - self.at_s) / EXCESS_S
        return self.room * max(0.0, left)


@attrs.frozen
class PeerUsage:
    """What another host has in flight, by upstream."""

    heard_s: float
    usage: Mapping[str, jobs.Usage]
    data_centre: str = ""


class Memory:
    """Requests in flight and request memory as one host counts them."""

    def __init__(self, data_centre: str) -> None:
        """Makes an empty state for a host of a data centre."""
        self._data_centre = data_centre
        self.own: dict[str, jobs.Usage] = {}
        # By host; see `note_peer`.
        self.peers: dict[str, PeerUsage] = {}
        self.excess: dict[str, Excess] = {}
        # Requests of this host that ended.
        self.releases = 0
        # What the peers have in flight in all, and until when that holds. A
        # choice of path asks for every engine; summed up each time, that is
        # half of its cost among sixty hosts.
        self._sum: dict[str, jobs.Usage] = {}
        self._sum_until_s = -math.inf

    def add(self, upstream_id: str, count: int, used: float) -> None:
        """Changes what this host has in flight at an upstream."""
        old = self.own.get(upstream_id, jobs.Usage())
        if count < 0:
            self.releases += 1
        left = jobs.Usage(old.count + count, max(0.0, old.room + used))
        if left.count > 0:
            self.own[upstream_id] = left
        else:
            self.own.pop(upstream_id, None)

    def get_usage(self, upstream_id: str, now_s: float) -> jobs.Usage:
        """Returns what all hosts have in flight at an upstream."""
        if now_s >= self._sum_until_s:
            fresh = self._list_fresh(now_s)
            self._sum = _sum_usage(p.usage for p in fresh)
            self._sum_until_s = USAGE_KEPT_S + min(
                (p.heard_s for p in fresh), default=math.inf
            )
        own = self.own.get(upstream_id)
        theirs = self._sum.get(upstream_id)
        if own is None or theirs is None:
            return own or theirs or jobs.Usage()
        return jobs.Usage(own.count + theirs.count, own.room + theirs.room)

    def sum_near(self, now_s: float) -> dict[str, jobs.Usage]:
        """Returns what the hosts of this data centre have in flight."""
        near = [
            p.usage
            for p in self._list_fresh(now_s)
            if p.data_centre == self._data_centre
        ]
        return _sum_usage([self.own, *near])

    def _list_fresh(self, now_s: float) -> list[PeerUsage]:
        """Returns what was heard of late."""
        return [
            p for p in self.peers.values() if now_s - p.heard_s < USAGE_KEPT_S
        ]

    def note_peer(self, host: str, usage: PeerUsage) -> None:
        """Takes what another host has in flight."""
        self.peers[host] = usage
        self._sum_until_s = -math.inf

    def hear(
        self,
        host: str,
        data_centre: str,
        usage: Mapping[str, jobs.Usage],
        excess: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Takes what another host has in flight and found out.

        One host speaks for all of another data centre. Where the speaker
        changes, what the former one said is of the same requests: counted
        beside the newer word, they look twice as many until it is forgotten.
        """
        if data_centre != self._data_centre:
            for other, peer in list(self.peers.items()):
                if peer.data_centre == data_centre and other != host:
                    del self.peers[other]
        self.note_peer(host, PeerUsage(now_s, usage, data_centre))
        for upstream_id, room in excess.items():
            self.excess[upstream_id] = Excess(room, now_s, False)

    def note_used(self, upstream_id: str, used: float, now_s: float) -> float:
        """Takes an engine's own word on its memory in use.

        Returns:
            What of it nobody counts, in tokens times layers.
        """
        beyond = max(0.0, used - self.get_usage(upstream_id, now_s).room)
        self.excess[upstream_id] = Excess(beyond, now_s, True)
        return beyond

    def get_excess(self, upstream_id: str, now_s: float) -> float:
        """Returns the memory in use at an engine that nobody counts."""
        excess = self.excess.get(upstream_id)
        return excess.get(now_s) if excess else 0.0

    def list_excess(self, now_s: float) -> dict[str, float]:
        """Returns what of it was found out of late, for the other hosts."""
        return {
            i: round(e.room)
            for i, e in self.excess.items()
            if e.is_own and e.room and now_s - e.at_s < EXCESS_TOLD_S
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
