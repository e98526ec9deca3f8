"""What the hosts have in flight at upstreams, and memory nobody counts: pure.

A host counts its own requests and what the others say of theirs. What engines
hold beyond that, answers of hosts that were lost or answers longer than
expected, only they know: a report that shows more counts for a while.
"""

from __future__ import annotations

from collections.abc import Mapping
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
        self.peers: dict[str, PeerUsage] = {}
        self.excess: dict[str, Excess] = {}

    def add(self, upstream_id: str, count: int, used: float) -> None:
        """Changes what this host has in flight at an upstream."""
        old = self.own.get(upstream_id, jobs.Usage())
        left = jobs.Usage(old.count + count, max(0.0, old.room + used))
        if left.count > 0:
            self.own[upstream_id] = left
        else:
            self.own.pop(upstream_id, None)

    def get_usage(self, upstream_id: str, now_s: float) -> jobs.Usage:
        """Returns what all hosts have in flight at an upstream."""
        total = self.own.get(upstream_id, jobs.Usage())
        count, used = total.count, total.room
        for peer in self.peers.values():
            usage = peer.usage.get(upstream_id)
            if usage is not None and now_s - peer.heard_s < USAGE_KEPT_S:
                count += usage.count
                used += usage.room
        return jobs.Usage(count, used)

    def sum_near(self, now_s: float) -> dict[str, jobs.Usage]:
        """Returns what the hosts of this data centre have in flight."""
        near = [
            p.usage
            for p in self.peers.values()
            if p.data_centre == self._data_centre
            and now_s - p.heard_s < USAGE_KEPT_S
        ]
        total = dict(self.own)
        for usage in near:
            for upstream_id, more in usage.items():
                old = total.get(upstream_id, jobs.Usage())
                total[upstream_id] = jobs.Usage(
                    old.count + more.count, old.room + more.room
                )
        return total

    def hear(
        self,
        host: str,
        data_centre: str,
        usage: Mapping[str, jobs.Usage],
        excess: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Takes what another host has in flight and found out."""
        self.peers[host] = PeerUsage(now_s, usage, data_centre)
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
