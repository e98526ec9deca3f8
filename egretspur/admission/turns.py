"""Turns among hosts whose requests wait for the same service: pure.

The fair queue orders the requests of one host. Here a host keeps how many
requests wait at the other hosts and leaves free capacity to the more urgent
ones for a limited time. Among requests of equal priority, hosts look for
capacity at random, in proportion to the number that waits at each. Read next:
`egretspur.admission.queue`, `egretspur.routing.waiting`.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable, Mapping
from typing import Final

import attrs

from egretspur.admission import queue as queues

# Least urgent priority in messages; 0 is the most urgent.
LEAST_URGENT: Final = 9

# How long the requests that a host reported count. A host that stopped holds
# back nobody for longer; three of its four updates in that time may be lost.
WAITING_TTL_S: Final = 1.0

# Time that a request yields to equally urgent ones, and at least to more urgent
# ones: within one interval of the peer updates, their hosts learn of the
# capacity that is free.
MIN_YIELD_S: Final = 0.25

# Time before its queue deadline in which a request competes with more urgent
# ones, divided by one more than the number of priorities ahead of it. With a
# fraction of the wait instead, the least urgent kind, which may wait longest,
# would compete longer than more urgent ones and be served more often.
COMPETING_S: Final = 0.3

# Lower bound of that time: a host searches for paths ten times a second, so
# each request is searched for at least once.
MIN_COMPETING_S: Final = 0.1

# Number of hosts that look for capacity per tick of 0.05 s among requests of
# equal priority. Capacity that all of them know of is then found within about
# 12 ms, which is short against the 0.25 s between peer updates. With one look
# per tick, a fleet could start only twenty requests a second.
LOOKS_PER_TICK: Final = 4

# Number of waiting requests by service and priority.
Counts = Mapping[str, Mapping[int, int]]


@attrs.frozen
class _PeerWaiting:
    """Requests that wait at a host or, if a speaker sent it, a data centre."""

    received_s: float
    data_centre: str
    counts: Counts


@attrs.frozen
class _YieldTime:
    """How long the requests of one service and priority yield."""

    # Seconds from a request's arrival, and before its deadline in the queue.
    yield_s: float
    competing_s: float

    def applies(self, item: queues.Waiting, now_s: float) -> bool:
        """Returns whether a request yields at this time."""
        end_s = min(
            item.arrived_s + self.yield_s, item.deadline_s - self.competing_s
        )
        return now_s < end_s and not item.is_begun


class Turns:
    """Decides which requests of one host may look for capacity."""

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        """Creates a state without peers.

        Args:
            data_centre: Data centre of this host.
            rng: Draws the turns among requests of equal priority.
        """
        self._data_centre = data_centre
        self._rng = rng
        # By host, the one that reported least recently first.
        self._peers: dict[str, _PeerWaiting] = {}
        # What waits at all of them. Summed up at each decision, it would take
        # most of a millisecond among two hundred hosts.
        self._totals: dict[str, dict[int, int]] = {}
        # Number of hosts, this one included.
        self.hosts = 1

    def apply_peer_waiting(
        self, host: str, data_centre: str, waiting: Counts, now_s: float
    ) -> None:
        """Replaces the requests that wait at another host.

        One speaker reports for all hosts of another data centre. When the
        speaker changes, the former one's report is dropped: it covers the same
        requests, which would count twice until it expires.
        """
        self._remove(host)
        if data_centre != self._data_centre:
            for other, peer in list(self._peers.items()):
                if peer.data_centre == data_centre:
                    self._remove(other)
        if waiting:
            self._peers[host] = _PeerWaiting(now_s, data_centre, waiting)
            _add(self._totals, waiting)

    @staticmethod
    def list_waiting(
        items: Iterable[queues.Waiting],
    ) -> dict[str, dict[int, int]]:
        """Returns how many wait for capacity, by service and priority."""
        counts: dict[str, dict[int, int]] = {}
        for item in items:
            if item.needs_capacity:
                _add(counts, {item.graph: {_get_priority(item): 1}})
        return counts

    def sum_local(self, own: Counts, now_s: float) -> dict[str, dict[int, int]]:
        """Returns what waits in this data centre, for its speaker to send."""
        self._remove_expired(now_s)
        total: dict[str, dict[int, int]] = {}
        _add(total, own)
        for peer in self._peers.values():
            if peer.data_centre == self._data_centre:
                _add(total, peer.counts)
        return total

    def list_elsewhere(self, now_s: float) -> dict[str, dict[int, int]]:
        """Returns what waits at other hosts, by service and priority."""
        self._remove_expired(now_s)
        return {s: dict(counts) for s, counts in self._totals.items()}

    def count_waiting(self, service: str, now_s: float) -> int:
        """Returns how many requests for a service wait at other hosts."""
        self._remove_expired(now_s)
        return sum(self._totals.get(service, {}).values())

    def find_yielding(
        self,
        items: Collection[queues.Waiting],
        queue: queues.Queue,
        now_s: float,
    ) -> set[str]:
        """Returns the ids of the requests that leave capacity to other hosts.

        The turns are drawn anew by each call. A host calls this before each of
        its starts, since each of them takes a turn.

        Args:
            items: Requests of this host that wait.
            queue: This host's queue, with its recent rate.
            now_s: Monotonic time.
        """
        self._remove_expired(now_s)
        if not self._peers or queues.is_priority_ignored(queue):
            return set()
        groups: dict[tuple[str, int], list[queues.Waiting]] = {}
        for item in items:
            if item.graph in self._totals:
                key = item.graph, _get_priority(item)
                groups.setdefault(key, []).append(item)
        yielding: set[str] = set()
        for (service, priority), group in groups.items():
            yield_time = self._draw_yield_time(
                priority,
                len(group),
                self._totals[service],
                queue.intervals_s.get(service, 0.0),
            )
            if yield_time is not None:
                yielding |= {
                    i.id for i in group if yield_time.applies(i, now_s)
                }
        return yielding

    def _draw_yield_time(
        self,
        priority: int,
        count: int,
        peers: Mapping[int, int],
        interval_s: float,
    ) -> _YieldTime | None:
        """Returns how long requests of one service and priority yield.

        Args:
            priority: Their priority.
            count: How many of them wait at this host.
            peers: Number of requests that wait at other hosts, by priority.
            interval_s: Seconds between two ends of requests at this host; 0 if
                unknown.

        Returns:
            None if they do not yield: none is more urgent, and the turn that is
            drawn among equals falls to this host.
        """
        ahead = [n for p, n in peers.items() if p < priority]
        if ahead:
            # Time in which the whole fleet starts those that are ahead.
            ahead_s = sum(ahead) * interval_s / self.hosts
            return _YieldTime(
                MIN_YIELD_S + ahead_s if interval_s else math.inf,
                max(MIN_COMPETING_S, COMPETING_S / (1 + len(ahead))),
            )
        total = count + peers.get(priority, 0)
        if self._rng.random() * total < LOOKS_PER_TICK * count:
            return None
        return _YieldTime(MIN_YIELD_S, COMPETING_S / 2)

    def _remove_expired(self, now_s: float) -> None:
        for host, peer in list(self._peers.items()):
            if now_s - peer.received_s < WAITING_TTL_S:
                break
            self._remove(host)

    def _remove(self, host: str) -> None:
        peer = self._peers.pop(host, None)
        if peer is not None:
            _add(self._totals, peer.counts, -1)


def _get_priority(item: queues.Waiting) -> int:
    """Returns a queued request's priority as messages have it."""
    if item.is_begun:
        return 0
    return min(LEAST_URGENT, max(0, LEAST_URGENT - item.priority))


def _add(
    total: dict[str, dict[int, int]], counts: Counts, sign: int = 1
) -> None:
    """Adds to a total, or subtracts if `sign` is -1; drops zero counts."""
    for service, row in counts.items():
        into = total.setdefault(service, {})
        for priority, count in row.items():
            into[priority] = into.get(priority, 0) + sign * count
            if not into[priority]:
                del into[priority]
        if not into:
            del total[service]
