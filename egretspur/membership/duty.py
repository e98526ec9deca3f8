"""Which host of a data centre gives orders: a lease, counted carefully.

The store deals the duty to one member of a group at a time and takes it back
when the member has been silent for the lease's length. The holder counts from
before it asked, on its monotonic clock, and stops a margin early: an answer
that was under way for long, or a pause of the process, then costs time and
never gives two holders.
"""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable
from typing import Final, Protocol

import attrs

from egretspur.catalog import feeds

_LOG: Final = logging.getLogger(__name__)

# Length of the lease; a crashed holder's duty passes on after it.
LEASE_S: Final = 3.0

# The holder stops so long before the lease's end: an order it has just begun
# to send must have arrived by then.
MARGIN_S: Final = 0.7

# Seconds between two joins; two may be lost before the lease lapses.
PERIOD_S: Final = 0.9


@attrs.frozen
class Held:
    """The store's answer to a join."""

    is_held: bool
    generation: int


class Group(Protocol):
    """A group of the store in which one member has the duty."""

    def join(self, ttl_s: float) -> Held | feeds.Unavailable:
        """Joins, or stays in."""

    def leave(self) -> None:
        """Gives the duty up."""

    def list_members(self) -> tuple[str, ...] | feeds.Unavailable:
        """Returns the members that have any part of the duty topic."""


@attrs.define
class Lease:
    """How long this host may act."""

    until_s: float = 0.0
    generation: int = 0

    def note(self, held: Held, asked_s: float) -> bool:
        """Takes an answer to a join sent at `asked_s`; True on a change."""
        before = self.until_s > 0
        self.until_s = asked_s + LEASE_S - MARGIN_S if held.is_held else 0.0
        self.generation = held.generation
        return before != held.is_held

    def is_held(self, now_s: float) -> bool:
        """Tells whether orders may be sent now."""
        return now_s < self.until_s


class Duty:
    """Keeps this host in the group and its lease up to date."""

    def __init__(
        self, group: Group, note_members: Callable[[tuple[str, ...]], None]
    ) -> None:
        """Makes a member.

        Args:
            group: Where the duty is dealt.
            note_members: Told who is in the group, each time that changes.
        """
        self._group = group
        self._note_members = note_members
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
        held = self._lease.is_held(time.monotonic())
        self._lease.until_s = 0.0
        if held:
            self._group.leave()

    def is_held(self) -> bool:
        """Tells whether this host may give orders now."""
        return self._lease.is_held(time.monotonic())

    def _run(self) -> None:
        while not self._stop.is_set():
            asked_s = time.monotonic()
            res = self._group.join(LEASE_S)
            if isinstance(res, Held) and self._lease.note(res, asked_s):
                _LOG.info(
                    "duty taken" if res.is_held else "duty passed on",
                    extra={"generation": res.generation},
                )
            if isinstance(res, Held) and res.generation != self._listed:
                members = self._group.list_members()
                if not isinstance(members, feeds.Unavailable):
                    self._listed = res.generation
                    self._note_members(members)
            self._stop.wait(PERIOD_S)
