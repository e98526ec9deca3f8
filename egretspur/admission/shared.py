"""A host's share of the retry budget that all hosts share: pure.

The retries that all hosts together send to a service are limited per window.
An even share for each host is safe but mostly unused: among two hundred hosts
it is four or five retries, and the few hosts whose answers depended on a failed
engine need more at once, while the others need none. So each host has a
guaranteed part of its share, and the rest is a pool from which all borrow. Each
host publishes what it has borrowed. Half of what is left in the pool is divided
evenly among the known borrowers, and half evenly among all hosts, for those
that start to borrow: if all start at the same time without knowing of each
other, they take at most that half. When the pool shrinks below what is
borrowed, each uses the same fraction of its loan, and returns the rest.

A host that no longer receives peer updates borrows nothing, since its peers may
well be alive. A host may spend its whole share at once: when an engine fails,
all requests that it was running are retried at the same time.

What a host has spent is known only to its process and is lost when that stops.
So a new host, one that has received peer updates for less than a window, has no
share yet: it may have spent it before its start, and those retries still count
in the window. It has a part of a reserve, which grows from nothing at its
start, so that a host that restarts repeatedly gets no more. What a host has
borrowed counts for a whole window after its last update.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Final

import attrs

from egretspur.admission import arrivals, counts

# Fraction of the allowance that is used. The rest is for new hosts, for windows
# that start at other times than here, and for retries in flight.
USED_FRACTION: Final = 0.85

# The same of what the requests allow by which retries are judged at worst. New
# hosts seldom need their reserve at the same time.
JUDGED_FRACTION: Final = 0.95

# Fraction of the allowance that new hosts may use in addition.
RESERVE_FRACTION: Final = 0.1

# Guaranteed fraction of a host's share, independent of the other hosts. With
# the first loan, 0.85 of the even share is available at once, among 195 hosts
# the same four retries; more would leave less to the hosts that need it.
GUARANTEED_FRACTION: Final = 0.7

# Fraction of what is left in the pool for hosts that start to borrow.
NEW_BORROWER_FRACTION: Final = 0.5

# Time between two loans. By then two datagrams have published the first one,
# one of which may be lost.
LOAN_INTERVAL_S: Final = 0.6

# How long after its last update a host's share may be lent to others.
PEER_TIMEOUT_S: Final = 0.9


@attrs.frozen
class Spent:
    """What hosts have spent of a service's budget in the last window."""

    # Hosts that have a share, and the requests that count for it; new hosts
    # have none to lend.
    hosts: int = 0
    requests: int = 0
    # Retries beyond each host's guaranteed share, and how many hosts have any.
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


@attrs.define(eq=False)
class Retry:
    """A retry that was taken from the budget.

    It counts for a window from when its request's attempts have been read, for
    the host can't tell which of them an upstream reads last. Were it counted
    from when it was taken, one that is held up on the way would reach the
    upstream after its place has been given to another.
    """

    # The attempt that is sent with it, and those of the same request before.
    sending: arrivals.Sending = attrs.Factory(arrivals.Sending)
    earlier: tuple[arrivals.Sending, ...] = ()

    @property
    def reached_by_s(self) -> float:
        """By when upstreams have read it; infinite until that is known."""
        return max(s.read_by_s for s in self.list_sendings())

    @property
    def is_given_up(self) -> bool:
        """Whether one of its request's attempts ended and is unread."""
        return any(s.is_given_up for s in self.list_sendings())

    def list_sendings(self) -> tuple[arrivals.Sending, ...]:
        """Returns the attempts of its request up to its own."""
        return (self.sending, *self.earlier)


@attrs.frozen
class Balance:
    """A host's use of the budget, for the log."""

    # Retries that count in the last window.
    sent: int = 0
    # Of these, how many may not have reached an upstream yet.
    unsettled: int = 0
    # How many have an attempt that this host ended unanswered, and that its
    # upstream may read at any time.
    given_up: int = 0
    # Requests that count for its share: those of the last window, or fewer if
    # its retries may be judged by fewer.
    requests: int = 0
    # Retries that it may send in a window: guaranteed and borrowed ones.
    guaranteed: float = 0.0
    borrowed: float = 0.0
    # Retries that all hosts may borrow, and that they have, as far as it knows.
    pool: float = 0.0
    lent: float = 0.0


@attrs.define
class SharedBudget:
    """Retries this host may send to one service."""

    # Retries earned by each request.
    ratio: float
    # Retries allowed to all hosts in a window in addition.
    allowance: float
    window_s: float
    # Fraction of a retry that a new host has from its start, drawn at random:
    # many hosts with a share below one retry then get about its sum in total.
    start_credit: float = 0.0
    # This host's requests, and its retries that may have reached an upstream in
    # the last window, or may still reach one.
    _requests: counts.RequestCounts = attrs.field(init=False)
    # Its requests that count for its share, as of the last call.
    _counted: int = 0
    _retries: list[Retry] = attrs.Factory(list)
    # Retries borrowed from the pool, and when the next loan may be taken.
    _borrowed: float = 0.0
    _next_loan_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        self._requests = counts.RequestCounts(self.window_s)

    def earn(self, arrived_s: float) -> None:
        """Counts a request.

        Args:
            arrived_s: Monotonic time at which it arrived.
        """
        self._requests.add(arrived_s)
        self._requests.advance(arrived_s)

    def spend(
        self,
        hosts: int,
        now_s: float,
        others: Spent = NOTHING_SPENT,
        age_s: float = math.inf,
    ) -> Retry | None:
        """Takes one retry; returns None if none was available.

        Args:
            hosts: Hosts that share the budget, this one included.
            now_s: Monotonic time.
            others: What the other hosts have published as spent.
            age_s: Seconds for which this host has received peer updates.
        """
        self._advance(hosts, now_s)
        beyond = len(self._retries) + 1 - self._get_guaranteed(hosts, age_s)
        if beyond > self._get_loan(hosts, others) and not self._is_new(age_s):
            self._borrow(hosts, now_s, others)
        if beyond > self._get_loan(hosts, others):
            return None
        retry = Retry()
        self._retries.append(retry)
        return retry

    def refund(self, retry: Retry) -> None:
        """Returns a retry to the budget that was taken and not sent."""
        if retry in self._retries:
            self._retries.remove(retry)

    def reclaim(self, sending: arrivals.Sending) -> Retry | None:
        """Returns the retry of an attempt that was not sent, for another one.

        None if it no longer counts.
        """
        for retry in self._retries:
            if retry.sending is sending:
                retry.sending = arrivals.Sending()
                return retry
        return None

    def report_spent(
        self, hosts: int, now_s: float, age_s: float = math.inf
    ) -> Spent:
        """Returns what this host has spent, for its peers."""
        self._advance(hosts, now_s)
        if self._is_new(age_s):
            return NOTHING_SPENT
        if now_s >= self._next_loan_s + LOAN_INTERVAL_S:
            self._return_unused(hosts, 0.0)
        return self._summarize(hosts)

    def get_balance(
        self,
        hosts: int,
        now_s: float,
        others: Spent = NOTHING_SPENT,
        age_s: float = math.inf,
    ) -> Balance:
        """Returns this host's balance as of its last retry or report."""
        known = others.add(self._summarize(hosts))
        return Balance(
            len(self._retries),
            sum(r.reached_by_s > now_s for r in self._retries),
            sum(r.is_given_up for r in self._retries),
            self._counted,
            self._get_guaranteed(hosts, age_s),
            self._borrowed,
            self._get_pool(known, hosts),
            known.borrowed,
        )

    def _is_new(self, age_s: float) -> bool:
        """Tells whether retries from before this host's start may count."""
        return age_s < self.window_s

    def _summarize(self, hosts: int) -> Spent:
        # The guaranteed share may have shrunk below what was spent of it.
        beyond = len(self._retries) - self._get_guaranteed(hosts)
        borrowed = max(self._borrowed, beyond)
        return Spent(1, self._counted, borrowed, int(borrowed > 0))

    def _borrow(self, hosts: int, now_s: float, others: Spent) -> None:
        """Borrows a share of what is left in the pool."""
        if now_s < self._next_loan_s:
            return
        self._next_loan_s = now_s + LOAN_INTERVAL_S
        # Less than a whole retry is carried over to the next loan.
        self._return_unused(hosts, 1.0)
        known = others.add(self._summarize(hosts))
        rest = max(0.0, self._get_pool(known, hosts) - known.borrowed)
        if self._borrowed > 0:
            self._borrowed += (
                (1 - NEW_BORROWER_FRACTION) * rest / known.borrowers
            )
        else:
            self._borrowed += NEW_BORROWER_FRACTION * rest / known.hosts

    def _get_pool(self, known: Spent, hosts: int) -> float:
        """Returns the retries that all known hosts may borrow."""
        share = self._get_share(known.hosts, hosts, known.requests)
        return USED_FRACTION * (1 - GUARANTEED_FRACTION) * share

    def _get_loan(self, hosts: int, others: Spent) -> float:
        """Returns what it may use of the retries that it has borrowed.

        The pool shrinks when fewer requests come or hosts are added. All loans
        then shrink alike; one that is spent again and again is never unused.
        """
        own = self._summarize(hosts)
        known = others.add(own)
        pool = self._get_pool(known, hosts)
        if known.borrowed <= pool:
            return self._borrowed
        return min(self._borrowed, pool * own.borrowed / known.borrowed)

    def _return_unused(self, hosts: int, kept: float) -> None:
        """Returns loans that were not spent, or expired, except `kept`."""
        spent = max(0.0, len(self._retries) - self._get_guaranteed(hosts))
        self._borrowed = min(self._borrowed, spent + kept)

    def _get_guaranteed(self, hosts: int, age_s: float = math.inf) -> float:
        """Returns the retries guaranteed to this host."""
        requests = self._counted
        if self._is_new(age_s):
            # It may have spent its share before its start.
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

    def _get_share(self, host_count: float, hosts: int, requests: int) -> float:
        """Returns the retries allowed to some hosts, given their requests."""
        allowed = self.allowance * min(1.0, host_count / max(1, hosts))
        return allowed + self.ratio * requests

    def _advance(self, hosts: int, now_s: float) -> None:
        """Drops what is too old, and counts the requests."""
        self._retries = [
            r for r in self._retries if now_s - r.reached_by_s < self.window_s
        ]
        self._requests.advance(now_s)
        self._counted = self._requests.count_last()
        if not self._counted or not self.ratio:
            return
        # As many as leave the share within what is judged at worst.
        judged = self._requests.count_judged(now_s)
        usable = JUDGED_FRACTION * self._get_share(1, hosts, judged)
        rest = usable / USED_FRACTION - self._get_share(1, hosts, 0)
        self._counted = min(self._counted, max(0, int(rest / self.ratio)))


@attrs.frozen
class _PeerSpent:
    at_s: float
    data_centre: str
    spent: Mapping[str, Spent]


class PeerLedger:
    """What other hosts have published as spent, by service."""

    def __init__(self, data_centre: str, window_s: float) -> None:
        """Makes an empty ledger for a host of a data centre.

        Args:
            data_centre: Data centre of the host that keeps it.
            window_s: How long a retry counts.
        """
        self._data_centre = data_centre
        self._window_s = window_s
        # By host within this data centre, or by other data centre, for which
        # the newest sum counts: if another host starts to report for it, the
        # former one's sum covers the same hosts. The second part of the key
        # tells whether the sender is new: its update is kept beside the one
        # from before its start, which it does not know of.
        self._by_peer: dict[tuple[str, bool], _PeerSpent] = {}

    def apply_peer_update(
        self,
        host: str,
        data_centre: str,
        spent: Mapping[str, Spent],
        now_s: float,
        is_new: bool = False,
    ) -> None:
        """Stores the update of a host, or of a whole other data centre.

        Args:
            host: Host that sent the update.
            data_centre: Data centre of that host.
            spent: Spending by service.
            now_s: Monotonic time.
            is_new: Whether that host has received peer updates for less than
                a window.
        """
        is_local = data_centre == self._data_centre
        key = host if is_local else data_centre
        self._by_peer[key, is_new] = _PeerSpent(now_s, data_centre, spent)
        if not is_new:
            self._by_peer.pop((key, True), None)

    def sum_peers(
        self, service: str, now_s: float, local_only: bool = False
    ) -> Spent:
        """Returns the sum of what peers have published as spent."""
        self._by_peer = {
            k: t
            for k, t in self._by_peer.items()
            if now_s - t.at_s < self._window_s
        }
        total = NOTHING_SPENT
        for update in self._by_peer.values():
            if local_only and update.data_centre != self._data_centre:
                continue
            # A host without requests for a service publishes nothing about it.
            spent = update.spent.get(service, NOTHING_SPENT)
            if now_s - update.at_s >= PEER_TIMEOUT_S:
                # The host may be gone; its retries still count in the window.
                spent = Spent(borrowed=spent.borrowed)
            total = total.add(spent)
        return total
