"""A host's part of the retry budget that all hosts share: pure.

A service may get only so many repeats in any window, whoever sends them. An
even part for each host is safe and mostly lies idle: among two hundred hosts
it is four or five repeats, and those few hosts whose answers ran over a dead
engine need them at once, while the others need none. So each host keeps a part
of its share to itself, and the rest is a pool from which all borrow. Each host
tells what it has borrowed. Of what is left, half is for those who are known to
borrow, in even parts among them, and half for hosts that begin to, in even
parts among all: were all to begin in the same moment, knowing nothing of each
other, they would take that half and no more.

A host that no longer hears of the others borrows nothing of theirs, since they
may well be alive. What a host has may be spent at once: when an engine dies,
all that it was working on is repeated in the same moment.

What a host has spent is known to its process alone, and ends with it. So a new
host, which has heard the others for less than a window, has no part yet: it may
have spent that before its start, and those repeats still stand in the window.
It has a part of the reserve, which grows from nothing at its start, so that a
host that starts again and again has no more. What a host has borrowed counts
for a whole window after its last word.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Mapping
from typing import Final

import attrs

# Part of the allowance that is used. The rest is for new hosts, and covers
# windows that are cut otherwise than here, and repeats under way.
USED_FRACTION: Final = 0.85

# Part of the allowance that new hosts may use besides.
RESERVE_FRACTION: Final = 0.1

# Part of its share that a host keeps to itself, and spends whatever the others
# do. With the first loan that is 0.85 of its even share at once, among 195
# hosts the same four repeats; more would leave less to those who need it.
GUARANTEED_FRACTION: Final = 0.7

# Part of the pool's rest for hosts that begin to borrow.
NEW_BORROWER_FRACTION: Final = 0.5

# Seconds between two loans: what was borrowed is told to all within two
# datagrams, one of which may be lost.
LOAN_INTERVAL_S: Final = 0.6

# A host's part is lent for so long after its last word.
PEER_TIMEOUT_S: Final = 0.9


@attrs.frozen
class Spent:
    """What hosts have made of a service's budget in the last window."""

    # Hosts that have a part, and their requests; new hosts have none to lend.
    hosts: int = 0
    requests: int = 0
    # Repeats beyond what each of them keeps to itself, and how many of them
    # have any.
    borrowed: float = 0.0
    borrowers: int = 0

    def add(self, other: Spent) -> Spent:
        """Returns the sum."""
        return Spent(
            self.hosts + other.hosts,
            self.requests + other.requests,
            self.borrowed + other.borrowed,
            self.borrowers + other.borrowers,
        )


NOTHING_SPENT: Final = Spent()


@attrs.frozen
class Balance:
    """Where a host stands with its part, for the log."""

    # Repeats in the last window.
    sent: int = 0
    # Repeats that it may send in one: its own, and borrowed ones.
    guaranteed: float = 0.0
    borrowed: float = 0.0


@attrs.define
class SharedBudget:
    """Repeats this host may send to one service."""

    # Repeats earned by each request.
    ratio: float
    # Repeats allowed to all hosts in a window besides.
    allowance: float
    window_s: float
    # Part of a repeat that a new host has from its start, drawn by each: many
    # that have less than a whole one each then have their sum.
    start_credit: float = 0.0
    # Times of this host's requests and repeats of the last window.
    _requests: collections.deque[float] = attrs.Factory(collections.deque)
    _retries: collections.deque[float] = attrs.Factory(collections.deque)
    # Borrowed of the pool, and when the next loan may be taken.
    _borrowed: float = 0.0
    _next_loan_s: float = 0.0

    def earn(self, now_s: float) -> None:
        """Counts a first attempt."""
        self._requests.append(now_s)
        self._drop_expired(now_s)

    def spend(
        self,
        hosts: int,
        now_s: float,
        others: Spent = NOTHING_SPENT,
        age_s: float = math.inf,
    ) -> bool:
        """Takes one repeat; tells whether there was one.

        Args:
            hosts: Hosts that share the budget, this one included.
            now_s: Monotonic time.
            others: What the other hosts have spent, as far as it was heard.
            age_s: Since this host began to hear the others.
        """
        self._drop_expired(now_s)
        wanted = len(self._retries) + 1
        firm = self._get_guaranteed(hosts, age_s)
        if wanted > firm + self._borrowed and not self._is_new(age_s):
            self._borrow(hosts, now_s, others)
        if wanted > firm + self._borrowed:
            return False
        self._retries.append(now_s)
        return True

    def refund(self, taken_s: float) -> None:
        """Returns a repeat that was taken then and not sent."""
        if taken_s in self._retries:
            self._retries.remove(taken_s)

    def report_spent(
        self, hosts: int, now_s: float, age_s: float = math.inf
    ) -> Spent:
        """Returns what this host has spent, for the others."""
        self._drop_expired(now_s)
        if self._is_new(age_s):
            return NOTHING_SPENT
        if now_s >= self._next_loan_s + LOAN_INTERVAL_S:
            self._return_unused(hosts, 0.0)
        return self._summarize(hosts)

    def get_balance(self, hosts: int, age_s: float = math.inf) -> Balance:
        """Returns where this host stands, as of its last repeat."""
        return Balance(
            len(self._retries),
            self._get_guaranteed(hosts, age_s),
            self._borrowed,
        )

    def _is_new(self, age_s: float) -> bool:
        """Tells whether repeats from before this host's start may count."""
        return age_s < self.window_s

    def _summarize(self, hosts: int) -> Spent:
        # Its part may have become smaller than what it has spent of it.
        beyond = len(self._retries) - self._get_guaranteed(hosts)
        borrowed = max(self._borrowed, beyond)
        return Spent(1, len(self._requests), borrowed, int(borrowed > 0))

    def _borrow(self, hosts: int, now_s: float, others: Spent) -> None:
        """Takes a part of what is left in the pool."""
        if now_s < self._next_loan_s:
            return
        self._next_loan_s = now_s + LOAN_INTERVAL_S
        # Less than a whole repeat goes to the next one.
        self._return_unused(hosts, 1.0)
        known = others.add(self._summarize(hosts))
        share = self._get_share(known.hosts, hosts, known.requests)
        pool = USED_FRACTION * (1 - GUARANTEED_FRACTION) * share
        rest = max(0.0, pool - known.borrowed)
        if self._borrowed > 0:
            self._borrowed += (
                (1 - NEW_BORROWER_FRACTION) * rest / known.borrowers
            )
        else:
            self._borrowed += NEW_BORROWER_FRACTION * rest / known.hosts

    def _return_unused(self, hosts: int, kept: float) -> None:
        """Returns what was borrowed and not spent, or long ago, but a rest."""
        spent = max(0.0, len(self._retries) - self._get_guaranteed(hosts))
        self._borrowed = min(self._borrowed, spent + kept)

    def _get_guaranteed(self, hosts: int, age_s: float = math.inf) -> float:
        """Returns the repeats that this host has to itself."""
        requests = len(self._requests)
        if self._is_new(age_s):
            # Its part may be spent already, by itself before its start.
            part = max(0.0, age_s / self.window_s)
            return (
                RESERVE_FRACTION * self._get_share(part, hosts, requests)
                + self.start_credit
            )
        return (
            USED_FRACTION
            * GUARANTEED_FRACTION
            * self._get_share(1, hosts, requests)
        )

    def _get_share(self, part: float, hosts: int, requests: int) -> float:
        """Returns the repeats allowed to some hosts, given their requests."""
        allowed = self.allowance * min(1.0, part / max(1, hosts))
        return allowed + self.ratio * requests

    def _drop_expired(self, now_s: float) -> None:
        for times in (self._requests, self._retries):
            while times and now_s - times[0] >= self.window_s:
                times.popleft()


@attrs.frozen
class _PeerSpent:
    at_s: float
    data_centre: str
    spent: Mapping[str, Spent]


class PeerLedger:
    """What other hosts said of their repeats, by service."""

    def __init__(self, data_centre: str, window_s: float) -> None:
        """Makes an empty ledger for a host of a data centre.

        Args:
            data_centre: Of the host that keeps it.
            window_s: Repeats count for so long.
        """
        self._data_centre = data_centre
        self._window_s = window_s
        # By host near by, and by other data centre, whose newest sum counts:
        # where its speaker changes the former one's sum is of the same hosts.
        # What a new host says stands beside what was said before its start,
        # which it does not know.
        self._by_peer: dict[tuple[str, bool], _PeerSpent] = {}

    def apply_peer_update(
        self,
        host: str,
        data_centre: str,
        spent: Mapping[str, Spent],
        now_s: float,
        is_new: bool = False,
    ) -> None:
        """Takes what a host said; for all of another data centre.

        Args:
            host: Who said it.
            data_centre: Of that host.
            spent: By service.
            now_s: Monotonic time.
            is_new: That host has heard others for less than a window.
        """
        is_near = data_centre == self._data_centre
        key = host if is_near else data_centre
        self._by_peer[key, is_new] = _PeerSpent(now_s, data_centre, spent)
        if not is_new:
            self._by_peer.pop((key, True), None)

    def sum_peers(
        self, service: str, now_s: float, local_only: bool = False
    ) -> Spent:
        """Returns what the other hosts have spent, as far as it was heard."""
        self._by_peer = {
            k: t
            for k, t in self._by_peer.items()
            if now_s - t.at_s < self._window_s
        }
        total = NOTHING_SPENT
        for told in self._by_peer.values():
            if local_only and told.data_centre != self._data_centre:
                continue
            # Who had no request for a service tells nothing of it.
            spent = told.spent.get(service, NOTHING_SPENT)
            if now_s - told.at_s >= PEER_TIMEOUT_S:
                # It may be gone; its repeats stay in the window.
                spent = Spent(borrowed=spent.borrowed)
            total = total.add(spent)
        return total
