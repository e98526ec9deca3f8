"""Which host of a data centre gives orders: a lease, counted carefully.

The store deals the duty to one member of a group at a time and takes it back
when the member has been silent for the lease's length. The holder counts from
before it asked, on its monotonic clock, and stops a margin early: an answer
that was under way for long, or a pause of the process, then costs time and
never gives two holders.
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

# Length of the lease; a crashed holder's duty passes on after it.
LEASE_S: Final = 3.0

# The holder stops so long before the lease's end: an order it has just begun
# to send must have arrived by then.
MARGIN_S: Final = 0.7

# A host stands in for the holder when the store has been silent for so long.
DEPUTY_AFTER_S: Final = LEASE_S + 0.2

# Seconds between two joins; two may be lost before the lease lapses.
PERIOD_S: Final = 0.9


@attrs.frozen
class Held:
    """The store's answer to a join."""

    is_held: bool
    generation: int
    # Of the store that answered; see `egretspur.catalog.positions`.
    era: int = 0


class Group(Protocol):
    """A group of the store in which one member has the duty."""

    def join(self, ttl_s: float) -> Held | feeds.Unavailable:
        """Joins, or stays in."""

    def leave(self) -> None:
        """Gives the duty up."""

    def get_era(self) -> int:
        """Returns the newest era of the store that this host has seen."""

    def list_members(self) -> tuple[str, ...] | feeds.Unavailable:
        """Returns the members that have any part of the duty topic."""


class Members:
    """The hosts of a data centre as the store knows them at a host's start.

    Those that ask for the duty: they were there before, and have what a host
    needs to serve. Asked for once; later hosts hear of each other.
    """

    def __init__(self, group: Group, me: str, rng: random.Random) -> None:
        """Makes a list that is read when it is first asked for.

        Args:
            group: Of the duty.
            me: This host's address.
            rng: Has starting hosts ask different ones first.
        """
        self._group = group
        self._me = me
        self._rng = rng
        self._lock = threading.Lock()
        self._hosts: list[str] | None = None

    def list_hosts(self) -> list[str]:
        """Returns the other hosts; none if the store does not answer."""
        with self._lock:
            if self._hosts is None:
                found = self._group.list_members()
                if isinstance(found, feeds.Unavailable):
                    found = ()
                self._hosts = [h for h in found if h != self._me]
                self._rng.shuffle(self._hosts)
            return self._hosts


@attrs.define
class Lease:
    """From when to when this host may act."""

    until_s: float = 0.0
    generation: int = 0
    # Of the store that dealt it; None before the first answer.
    era: int | None = None
    # Not before then, even if the store says so.
    from_s: float = 0.0

    def note(self, held: Held, asked_s: float) -> bool:
        """Takes an answer to a join sent at `asked_s`; True on a change."""
        if self.era not in (None, held.era):
            self._note_copy(asked_s)
        self.era = held.era
        before = self.until_s > 0
        self.until_s = asked_s + LEASE_S - MARGIN_S if held.is_held else 0.0
        self.generation = held.generation
        return before != held.is_held

    def _note_copy(self, asked_s: float) -> None:
        """Waits out whoever held the duty before the store's copy.

        The copy may not know that the duty was dealt to another host since,
        which acts until it hears of the copy or its lease ends. Who acts
        itself until then knows that nobody else does.
        """
        if asked_s >= self.until_s:
            self.from_s = asked_s + LEASE_S

    def is_held(self, now_s: float, era: int) -> bool:
        """Tells whether orders may be sent now.

        Args:
            now_s: Monotonic time.
            era: Newest one of the store that is known. What was dealt before
                a copy counts no longer, until this host has joined again.
        """
        return self.era == era and self.from_s <= now_s < self.until_s


class Peers(Protocol):
    """The other hosts, as far as the duty needs them."""

    def note_members(self, hosts: tuple[str, ...]) -> None:
        """Told who is in the group, each time that changes."""

    def is_alone(self) -> bool:
        """Tells whether no host near by was heard of late."""

    def is_candidate(self) -> bool:
        """Tells whether this host is one of those that may have the duty."""

    def is_first_cut_off(self) -> bool:
        """Tells whether no host near by reaches the store, and this is first.

        First is the host with the lowest address of those that hear each
        other.
        """


class Duty:
    """Keeps this host in the group and its lease up to date.

    While no host of a data centre reaches the store, one of them stands in.
    Two might, if they don't hear each other; an order names the number of
    orders its engine has begun, so of two only one is taken, and the next
    round mends what doesn't fit together. A leader chosen among the hosts
    would cost a protocol and be no safer.
    """

    def __init__(
        self,
        group: Group,
        peers: Peers,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Makes a member.

        Args:
            group: Where the duty is dealt.
            peers: The other hosts.
            clock: Monotonic time, in seconds.
        """
        self.group = group
        self._clock = clock
        self._peers = peers
        # When the store last answered.
        self._answered_s = clock()
        self._is_deputy = False
        # Generation of which the members were read.
        self._listed = -1
        self._lease = Lease()
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="duty", daemon=True
        )

    def start(self) -> None:
        """Starts to join."""
        self._thread.start()

    def close(self) -> None:
        """Gives the duty up."""
        self._stop.set()
        held = self._is_dealt()
        self._lease.until_s = 0.0
        if held:
            self.group.leave()

    def is_held(self) -> bool:
        """Tells whether this host may give orders now."""
        now_s = self._clock()
        if self._stop.is_set():
            return False
        if self._is_dealt():
            return True
        # Any lease given out before the store went away has lapsed by then.
        is_away = now_s - self._answered_s > DEPUTY_AFTER_S
        is_deputy = is_away and self._peers.is_first_cut_off()
        if is_deputy != self._is_deputy:
            self._is_deputy = is_deputy
            if is_deputy:
                decisions.record(
                    decisions.DutyTaken(self._lease.generation, True)
                )
            else:
                decisions.record(decisions.DutyEnded("no longer deputy"))
        return is_deputy

    def _is_dealt(self) -> bool:
        """Tells whether the store has dealt this host the duty."""
        return self._lease.is_held(self._clock(), self.group.get_era())

    def _run(self) -> None:
        while not self._stop.is_set():
            with guard.log_exceptions("duty"):
                self.join()
            self._stop.wait(PERIOD_S)

    def join(self) -> None:
        """Joins once, or stays, and takes the answer."""
        asked_s = self._clock()
        if not self._peers.is_candidate():
            self._step_back(asked_s)
            return
        res = self.group.join(LEASE_S)
        if isinstance(res, feeds.Unavailable):
            return
        self._answered_s = self._clock()
        if self._lease.note(res, asked_s):
            _record(res)
        if res.generation == self._listed or not self._peers.is_alone():
            # Hosts that hear each other need no list; were each to read it
            # at each change, calls would grow with the square of the hosts.
            return
        members = self.group.list_members()
        if not isinstance(members, feeds.Unavailable):
            self._listed = res.generation
            self._peers.note_members(members)

    def _step_back(self, now_s: float) -> None:
        """Leaves the duty to hosts that come before this one."""
        # Nothing was asked of the store, so it is not away.
        self._answered_s = now_s
        if self._is_dealt():
            self._lease.until_s = 0.0
            decisions.record(decisions.DutyEnded("others come first"))
            self.group.leave()


def _record(held: Held) -> None:
    if held.is_held:
        decisions.record(decisions.DutyTaken(held.generation, False))
    else:
        decisions.record(decisions.DutyEnded("dealt to another host"))
