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

from egretspur.catalog import feeds

# Seconds between two reads of a list while a host hears too few others.
LIST_PERIOD_S: Final = 3.0


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

    def note_lists_read(self) -> None:
        """Receives that the lists are complete, and no host was heard."""


class MemberLists:
    """Reads the lists when they are needed."""

    def __init__(
        self,
        groups: Mapping[str, Group],
        data_centre: str,
        peers: Peers,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Makes an object that has read nothing.

        Args:
            groups: Groups by data centre.
            data_centre: This host's data centre.
            peers: View of the other hosts.
            clock: Monotonic time, in seconds.
        """
        self._groups = groups
        self._data_centre = data_centre
        self._peers = peers
        self._clock = clock
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
        is_due = now_s - self._read_s >= LIST_PERIOD_S
        is_unheard = not self._peers.has_heard()
        has_changed = generation != self._generation
        wanted = self._peers.list_unknown_data_centres() if is_due else []
        if self._peers.is_alone() and (has_changed or (is_due and is_unheard)):
            wanted = [self._data_centre, *wanted]
        if not all(self._read_group(d) for d in wanted if d in self._groups):
            return
        if self._data_centre in wanted:
            self._generation = generation
        if wanted:
            self._read_s = now_s
        if self._data_centre in wanted and is_unheard and not self._incomplete:
            self._peers.note_lists_read()

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
