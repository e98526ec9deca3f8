"""Finds hosts in the store's lists while no peer update tells of them.

Each data centre has a group in the store, which the hosts join that ask for its
duty. Hosts that receive each other's updates need no list: if each read it, the
calls would grow with the square of the hosts. Read next:
`egretspur.membership.duty`.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Final, Protocol

import attrs

from egretspur import decisions
from egretspur.catalog import feeds

# Seconds between two reads of a list while a host hears too few others.
LIST_PERIOD_S: Final = 3.0

# Time after which the lists tell of all hosts that reach the store: longer than
# a membership, and than the time between two joins.
LISTED_AFTER_S: Final = 5.0


@attrs.frozen
class MemberList:
    """Members of a group that own a partition of its topic."""

    hosts: tuple[str, ...]
    # Whether these are all members. Some may be missing where each owns a
    # single partition, or where a partition has no owner.
    is_complete: bool


class Group(Protocol):
    """A group of the store."""

    def list_members(self) -> MemberList | feeds.Unavailable:
        """Returns the members that own a part of the duty topic."""


class Peers(Protocol):
    """View of the other hosts that the lists need."""

    def add_members(
        self, hosts: Iterable[str], data_centre: str | None = None
    ) -> None:
        """Receives the members of a data centre's group."""

    def is_alone(self) -> bool:
        """Returns whether no local host has sent an update recently."""

    def has_heard(self) -> bool:
        """Returns whether any host has ever sent an update."""

    def list_unknown_data_centres(self) -> list[str]:
        """Returns the data centres of which no host is known."""

    def is_sole(self) -> bool:
        """Returns whether no source has named any other host."""

    def count_sharing(self) -> int:
        """Returns how many hosts share the retry budget, with this one."""


class MemberLists:
    """Reads the lists when they are needed, and counts hosts by them.

    Hosts that are cut off from each other would serve their callers with next
    to no retries for as long as that lasts, since they don't know what others
    have sent. What complete lists name for a while is taken for all hosts.
    """

    def __init__(
        self,
        groups: Mapping[str, Group],
        data_centre: str,
        peers: Peers,
        handle_counted: Callable[[int], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Makes an object that has read nothing.

        Args:
            groups: Groups by data centre.
            data_centre: This host's data centre.
            peers: View of the other hosts.
            handle_counted: Receives the number of hosts that share a retry
                budget where no update tells of them, but lists do.
            clock: Monotonic time, in seconds.
        """
        self._groups = groups
        self._data_centre = data_centre
        self._peers = peers
        self._handle_counted = handle_counted
        self._clock = clock
        # Since when complete lists tell of the other hosts, and no update does;
        # and how many hosts there are by them, as logged last.
        self._complete_s: float | None = None
        self._counted = 0
        # Generation of the own group, and time, of the last complete read.
        self._generation = -1
        self._read_s = -math.inf
        # Data centres whose list may lack members.
        self._incomplete: set[str] = set()

    def read(self, generation: int) -> None:
        """Reads the lists that are due.

        Args:
            generation: Newest generation of the own group.
        """
        now_s = self._clock()
        wanted = self._list_wanted(generation, now_s)
        if not all(self._read_group(d) for d in wanted if d in self._groups):
            return
        if wanted:
            self._read_s = now_s
        if self._data_centre in wanted:
            self._generation = generation
            self._count_hosts(now_s)

    def _list_wanted(self, generation: int, now_s: float) -> list[str]:
        """Returns the data centres whose groups are to be read now."""
        is_due = now_s - self._read_s >= LIST_PERIOD_S
        has_changed = generation != self._generation
        wanted = self._peers.list_unknown_data_centres() if is_due else []
        is_own_due = is_due and not self._peers.has_heard()
        if self._peers.is_alone() and (has_changed or is_own_due):
            wanted = [self._data_centre, *wanted]
        return wanted

    def _count_hosts(self, now_s: float) -> None:
        """Counts the hosts, unless one was heard or lists lack some."""
        if self._incomplete or self._peers.has_heard():
            self._complete_s = None
            return
        if self._complete_s is None:
            self._complete_s = now_s
        is_lasting = now_s - self._complete_s >= LISTED_AFTER_S
        if not (is_lasting or self._peers.is_sole()):
            return
        hosts = self._peers.count_sharing()
        if hosts != self._counted:
            self._counted = hosts
            decisions.record(decisions.HostsAssumed(hosts))
        self._handle_counted(hosts)

    def _read_group(self, data_centre: str) -> bool:
        """Passes on the members of a group; returns whether it was read."""
        members = self._groups[data_centre].list_members()
        if isinstance(members, feeds.Unavailable):
            return False
        self._peers.add_members(members.hosts, data_centre)
        self._incomplete.discard(data_centre)
        if members.hosts and not members.is_complete:
            self._incomplete.add(data_centre)
        return True
