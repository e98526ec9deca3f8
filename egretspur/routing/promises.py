"""Times at which refused callers of all hosts were told to return: pure.

Each host publishes its own promises by upcoming half second, and knows those of
its peers. Growth of the published promises also shows how many requests the
fleet refuses, of which a single host sees too few. Read next:
`egretspur.routing.returns`.
"""

from __future__ import annotations

import bisect
import collections
import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from egretspur.routing import peer_table

# Length of the time slots in which promises are counted.
SLOT_S: Final = 0.5

# Maximum number of slots that are published. Later promises are counted in the
# last one.
MAX_SLOTS: Final = 12

# How long a peer's published promises count.
PEER_TTL_S: Final = 1.0

# Promises of a peer in one slot above which they are invalid.
MAX_COUNT: Final = 10_000

# Time over which refusals are counted: four updates of each peer. With a longer
# window, the start of an overload is noticed later.
REFUSAL_WINDOW_S: Final = 1.0

# Interval in which refusals are summed up.
_BUCKET_S: Final = 0.25


# Number of callers by service and upcoming slot.
Returns = Mapping[str, Sequence[int]]


class Promises:
    """Promised returns of this host and of its peers, by service."""

    def __init__(self, data_centre: str) -> None:
        """Makes a state without promises.

        Args:
            data_centre: Data centre of this host.
        """
        # Due times of this host's promises, ascending.
        self._own: dict[str, list[float]] = {}
        self._peers: peer_table.PeerTable[Returns] = peer_table.PeerTable(
            data_centre, PEER_TTL_S
        )
        # Refusals by service in successive intervals, with their numbers.
        self._refused: collections.deque[tuple[int, dict[str, float]]] = (
            collections.deque(maxlen=round(REFUSAL_WINDOW_S / _BUCKET_S))
        )

    def add(self, service: str, due_s: float, now_s: float) -> None:
        """Records that this host told a refused caller to return."""
        self._drop_due(now_s)
        bisect.insort(self._own.setdefault(service, []), due_s)
        self._add_refused(service, 1.0, now_s)

    def apply_peer_returns(
        self,
        host: str,
        data_centre: str,
        returns: Returns,
        now_s: float,
    ) -> None:
        """Replaces the promises of another host or of another data centre.

        Args:
            host: Host that sent them.
            data_centre: Data centre of that host. From another data centre,
                they are those of all of its hosts.
            returns: Number of callers by service and upcoming slot; lists with
                invalid numbers are ignored.
            now_s: Monotonic time.
        """
        valid = {s: c for s, c in returns.items() if _is_valid(c)}
        previous = self._peers.replace(host, data_centre, valid, now_s)
        old: Returns = {}
        age_s = 0.0
        if previous is not None:
            old = previous.value
            age_s = now_s - previous.received_s
        for service in old.keys() | valid.keys():
            # Those due within a slot are not compared: a peer that is left
            # without promises sends no update that shows it. All promises of a
            # peer heard for the first time count as new: an excess for one
            # window, in which callers are told later times.
            kept = _count_later(old.get(service, ()), SLOT_S + age_s)
            grown = sum(valid.get(service, ())[1:]) - kept
            self._add_refused(service, grown, now_s)

    def list_returns(self, now_s: float) -> dict[str, list[int]]:
        """Returns this host's promises by service and upcoming slot."""
        self._drop_due(now_s)
        return {
            service: _trim(_count_slots(times, now_s))
            for service, times in self._own.items()
        }

    def sum_data_centre(self, now_s: float) -> dict[str, list[int]]:
        """Returns the promises of this data centre's hosts, as published."""
        services = set(self.list_returns(now_s))
        for peer in self._peers.list_current(now_s):
            if peer.is_local:
                services.update(peer.value)
        sums = {s: self._sum_slots(s, now_s, True) for s in services}
        return {s: _trim(slots) for s, slots in sums.items() if any(slots)}

    def count_by_slot(self, service: str, now_s: float) -> list[int]:
        """Returns the promises of all hosts by upcoming slot."""
        self._drop_due(now_s)
        return self._sum_slots(service, now_s, False)

    def count_refused(self, service: str, now_s: float) -> float:
        """Returns how many requests all hosts refused in the last window."""
        first = math.floor((now_s - REFUSAL_WINDOW_S) / _BUCKET_S)
        counts = (c.get(service, 0.0) for n, c in self._refused if n > first)
        return max(0.0, sum(counts))

    def _sum_slots(
        self, service: str, now_s: float, is_local_only: bool
    ) -> list[int]:
        """Returns the promises of a service by upcoming slot.

        Args:
            service: Name of the service.
            now_s: Monotonic time.
            is_local_only: Whether to leave out other data centres.
        """
        slots = _count_slots(self._own.get(service, ()), now_s)
        for peer in self._peers.list_current(now_s):
            if is_local_only and not peer.is_local:
                continue
            counts = peer.value.get(service)
            if not counts:
                continue
            # Rounded: updates are older than half a slot only if one was lost.
            passed = math.ceil((now_s - peer.received_s) / SLOT_S - 0.5)
            for i, count in enumerate(counts[passed:]):
                slots[i] += count
        return slots

    def _drop_due(self, now_s: float) -> None:
        for service, times in list(self._own.items()):
            del times[: bisect.bisect_right(times, now_s)]
            if not times:
                del self._own[service]

    def _add_refused(self, service: str, count: float, now_s: float) -> None:
        number = math.floor(now_s / _BUCKET_S)
        if not self._refused or self._refused[-1][0] != number:
            self._refused.append((number, {}))
        counts = self._refused[-1][1]
        counts[service] = counts.get(service, 0.0) + count


def _is_valid(counts: Sequence[int]) -> bool:
    return len(counts) <= MAX_SLOTS and all(
        type(c) is int and 0 <= c <= MAX_COUNT for c in counts
    )


def _count_slots(times: Iterable[float], now_s: float) -> list[int]:
    slots = [0] * MAX_SLOTS
    for due_s in times:
        slots[min(MAX_SLOTS - 1, int((due_s - now_s) / SLOT_S))] += 1
    return slots


def _count_later(counts: Sequence[int], after_s: float) -> float:
    """Returns the expected number of promises due later than `after_s`."""
    return sum(
        c * min(1.0, max(0.0, i + 1 - after_s / SLOT_S))
        for i, c in enumerate(counts)
    )


def _trim(slots: list[int]) -> list[int]:
    """Removes the empty slots at the end."""
    while slots and not slots[-1]:
        slots.pop()
    return slots
