"""Lease that decides which host of a data centre gives orders.

The store grants the duty to one member of a group at a time and revokes it when
the member has been silent for the lease's length. The holder measures the lease
from before it sent the join, on its monotonic clock, and stops a margin early:
a slow answer or a pause of the process then shortens the lease but never leads
to two holders.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from typing import Final, Protocol

import attrs

from egretspur import decisions, guard
from egretspur.catalog import feeds
from egretspur.membership import lists

# A crashed holder's duty passes to another host after this time.
LEASE_S: Final = 3.0

# The holder stops this long before the lease ends, so that an order that it has
# just begun to send arrives within the lease.
LEASE_MARGIN_S: Final = 0.7

# A deputy replaces the holder after the store has been silent for this time.
DEPUTY_AFTER_S: Final = LEASE_S + 0.2

# Seconds between two joins; two may be lost before the lease expires.
JOIN_PERIOD_S: Final = 0.9


@attrs.frozen
class JoinReply:
    """The store's answer to a join."""

    is_held: bool
    generation: int
    # Era of the store that answered; see `egretspur.catalog.positions`.
    era: int = 0


class Group(lists.Group, Protocol):
    """A group of the store in which one member has the duty."""

    def join(self, ttl_s: float) -> JoinReply | feeds.Unavailable:
        """Joins the group, or renews the membership."""

    def leave(self) -> None:
        """Leaves the group and gives up the duty."""

    def get_era(self) -> int:
        """Returns the newest era of the store that this host has seen."""


class Members:
    """The hosts of a data centre that the store lists when this host starts.

    These are the hosts that ask for the duty: they started earlier and have
    what a host needs to serve. The list is read once; hosts that start later
    learn of each other through peer updates.
    """

    def __init__(self, group: Group, me: str, rng: random.Random) -> None:
        """Makes a list that is read on first use.

        Args:
            group: Group of the duty.
            me: This host; see `egretspur.addresses`.
            rng: Shuffles the list, so that starting hosts ask different hosts
                first.
        """
        self._group = group
        self._me = me
        self._rng = rng
        self._lock = threading.Lock()
        self._hosts: list[str] | None = None

    def list_hosts(self) -> list[str]:
        """Returns the other hosts; empty if the store does not answer."""
        with self._lock:
            if self._hosts is None:
                found = self._group.list_members()
                listed = (
                    () if isinstance(found, feeds.Unavailable) else found.hosts
                )
                self._hosts = [h for h in listed if h != self._me]
                self._rng.shuffle(self._hosts)
            return self._hosts


@attrs.define
class Lease:
    """Period in which this host may give orders."""

    until_s: float = 0.0
    generation: int = 0
    # Era of the store that granted it; None before the first answer.
    era: int | None = None
    # Start of the period; later than the store's grant after a restore.
    from_s: float = 0.0

    def apply_reply(self, reply: JoinReply, asked_s: float) -> bool:
        """Applies the answer to a join sent at `asked_s`; True on a change."""
        if self.era not in (None, reply.era):
            self._delay_after_restore(asked_s)
        self.era = reply.era
        before = self.until_s > 0
        self.until_s = (
            asked_s + LEASE_S - LEASE_MARGIN_S if reply.is_held else 0.0
        )
        self.generation = reply.generation
        return before != reply.is_held

    def _delay_after_restore(self, asked_s: float) -> None:
        """Waits for the lease of a holder that a restored store has lost.

        A store restored from a copy may not know that the duty was granted to
        another host after the copy was made. That host gives orders until it
        sees the new era or its lease ends. A host that holds the duty itself
        need not wait, since no other host can hold it.
        """
        if asked_s >= self.until_s:
            self.from_s = asked_s + LEASE_S

    def is_held(self, now_s: float, era: int) -> bool:
        """Returns whether orders may be sent now.

        Args:
            now_s: Monotonic time.
            era: Newest known era of the store. A lease granted before the
                store was restored is invalid until this host has joined again.
        """
        return self.era == era and self.from_s <= now_s < self.until_s


class Peers(Protocol):
    """View of the other hosts that the duty needs."""

    def is_candidate(self) -> bool:
        """Returns whether this host is one of those that may hold the duty."""

    def may_be_deputy(self) -> bool:
        """Returns whether this is the first host while none reaches the store.

        That is the host with the lowest address among the hosts of its data
        centre that receive each other's updates.
        """


class Duty:
    """Keeps this host in the group and renews its lease.

    While no host of a data centre reaches the store, one of them acts as
    deputy. Two hosts that don't receive each other's updates may both do so. An
    order names the number of orders that its engine has begun, so the engine
    accepts only one of two, and the next round corrects what doesn't fit
    together. Electing a leader among the hosts would need a protocol and be no
    safer.
    """

    def __init__(
        self,
        group: Group,
        peers: Peers,
        clock: Callable[[], float] = time.monotonic,
        read_lists: Callable[[int], None] = lambda generation: None,
    ) -> None:
        """Makes a member.

        Args:
            group: Group in which the store grants the duty.
            peers: View of the other hosts.
            clock: Monotonic time, in seconds.
            read_lists: Receives the group's generation after each join; see
                `egretspur.membership.lists`.
        """
        self.group = group
        self._clock = clock
        self._peers = peers
        # Time of the store's last answer.
        self._answered_s = clock()
        self._is_deputy = False
        self._read_lists = read_lists
        self._lease = Lease()
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="duty", daemon=True
        )

    def start(self) -> None:
        """Starts the thread that joins the group."""
        self._thread.start()

    def close(self) -> None:
        """Stops joining and gives up the duty."""
        self._stop.set()
        held = self._is_granted()
        self._lease.until_s = 0.0
        if held:
            self.group.leave()

    def is_held(self) -> bool:
        """Returns whether this host may give orders now."""
        now_s = self._clock()
        if self._stop.is_set():
            return False
        if self._is_granted():
            return True
        # Any lease granted before the store went away has expired by then.
        is_away = now_s - self._answered_s > DEPUTY_AFTER_S
        is_deputy = is_away and self._peers.may_be_deputy()
        if is_deputy != self._is_deputy:
            self._is_deputy = is_deputy
            if is_deputy:
                decisions.record(
                    decisions.DutyTaken(self._lease.generation, True)
                )
            else:
                decisions.record(decisions.DutyEnded("no longer deputy"))
        return is_deputy

    def _is_granted(self) -> bool:
        """Returns whether this host has a valid lease from the store."""
        return self._lease.is_held(self._clock(), self.group.get_era())

    def _run(self) -> None:
        while not self._stop.is_set():
            with guard.log_exceptions("duty"):
                self.join()
            self._stop.wait(JOIN_PERIOD_S)

    def join(self) -> None:
        """Joins the group once and applies the answer."""
        asked_s = self._clock()
        if not self._peers.is_candidate():
            self._yield_duty(asked_s)
            return
        res = self.group.join(LEASE_S)
        if isinstance(res, feeds.Unavailable):
            return
        self._answered_s = self._clock()
        if self._lease.apply_reply(res, asked_s):
            _record(res)
        self._read_lists(res.generation)

    def _yield_duty(self, now_s: float) -> None:
        """Leaves the duty to hosts with lower addresses."""
        # The store was not asked, so its silence doesn't count.
        self._answered_s = now_s
        if self._is_granted():
            self._lease.until_s = 0.0
            decisions.record(decisions.DutyEnded("others come first"))
            self.group.leave()


def _record(reply: JoinReply) -> None:
    if reply.is_held:
        decisions.record(decisions.DutyTaken(reply.generation, False))
    else:
        decisions.record(decisions.DutyEnded("dealt to another host"))
