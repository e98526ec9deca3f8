"""Versioned entries that entry hosts pass on to each other: pure.

One mechanism carries five things: that a host lives, that an upstream is
leaving, how much of a workspace's limit a host needs, that an upstream ended
under a request, and what limit one has named. Each entry belongs to an origin
and has that origin's incarnation and a sequence number; the larger pair wins,
whatever the order of arrival. A message carries a bounded number of entries, so
that its size does not depend on how many hosts there are; those passed on least
often go first.
"""

from __future__ import annotations

import enum
import heapq
from collections.abc import Iterable
from typing import Final

import attrs

# How often an entry is passed on before a host keeps it to itself. With one
# message each a round, log2(n) rounds reach nearly all of n hosts; this is
# enough for about 4,000 in one data centre.
PASS_ON: Final = 12


class Kind(enum.Enum):
    """What an entry is about."""

    # An entry host is alive; value: `egretspur.membership.news.NodeNews`.
    NODE = "n"
    # An incarnation of an upstream is leaving; value: the incarnation.
    LEAVING = "l"
    # A workspace's demand at the origin; value: requests at once.
    DEMAND = "d"
    # An upstream ended under a request, named by fingerprint and start; value:
    # what it counts. With no start: the request was answered.
    ENDED = "e"
    # A start of an upstream named a limit; value: requests a second, or nothing
    # where it names none any more.
    LIMIT = "r"


Key = tuple[Kind, str, str]


@attrs.frozen
class Entry:
    """One fact from one origin."""

    kind: Kind
    # Host name, upstream name, or workspace.
    name: str
    # Entry host that states it.
    origin: str
    # Start time of the origin in milliseconds; a replaced host that took over
    # the address is another incarnation and wins over its predecessor.
    incarnation: int
    sequence: int
    value: str

    @property
    def key(self) -> Key:
        """Identity: a newer entry with this key replaces an older one."""
        return self.kind, self.name, self.origin

    @property
    def version(self) -> tuple[int, int]:
        """Order among entries of one key."""
        return self.incarnation, self.sequence


@attrs.frozen
class Told:
    """An entry in a message, with its age."""

    entry: Entry
    # Seconds since the origin stated it. Were it left out, an entry of a dead
    # host would be young again at each receiver and go round for ever.
    age_s: float


@attrs.define
class Known:
    """An entry as one host knows it."""

    entry: Entry
    # Monotonic time at which the origin stated it.
    since_s: float
    # Times it was put into a message.
    passed: int = 0


@attrs.define
class View:
    """All entries known to one host."""

    known: dict[Key, Known] = attrs.Factory(dict)


@attrs.frozen
class Ages:
    """Ages in seconds past which entries are forgotten."""

    node_s: float
    # Longer than the platform's list can lag, so that a leaving upstream does
    # not come back before its next incarnation.
    leaving_s: float
    demand_s: float
    # As long as a request is remembered that ended upstreams.
    ended_s: float
    limit_s: float

    def get_limit(self, kind: Kind) -> float:
        """Returns the age past which an entry of a kind is forgotten."""
        return {
            Kind.NODE: self.node_s,
            Kind.LEAVING: self.leaving_s,
            Kind.DEMAND: self.demand_s,
            Kind.ENDED: self.ended_s,
            Kind.LIMIT: self.limit_s,
        }[kind]


def merge(
    view: View, told: Iterable[Told], ages: Ages, now_s: float
) -> list[Entry]:
    """Takes entries from a message.

    Returns:
        Those that were new.
    """
    fresh = []
    for item in told:
        entry = item.entry
        if item.age_s > ages.get_limit(entry.kind):
            continue
        old = view.known.get(entry.key)
        if old is not None and old.entry.version >= entry.version:
            continue
        view.known[entry.key] = Known(entry, now_s - item.age_s)
        fresh.append(entry)
    return fresh


def choose(view: View, count: int, now_s: float) -> list[Told]:
    """Returns the entries for the next message, least passed on first."""
    best = heapq.nsmallest(
        count,
        (k for k in view.known.values() if k.passed < PASS_ON),
        key=lambda k: (k.passed, -k.since_s),
    )
    for item in best:
        item.passed += 1
    return [Told(item.entry, now_s - item.since_s) for item in best]


def drop_old(view: View, ages: Ages, now_s: float) -> list[Entry]:
    """Forgets entries whose origin went quiet.

    Returns:
        The node entries that were dropped.
    """
    gone = []
    for key, item in list(view.known.items()):
        if now_s - item.since_s <= ages.get_limit(item.entry.kind):
            continue
        del view.known[key]
        if item.entry.kind is Kind.NODE:
            gone.append(item.entry)
    return gone


def find(view: View, kind: Kind) -> list[Entry]:
    """Returns all entries of a kind, by name and origin."""
    found = [k.entry for k in view.known.values() if k.entry.kind is kind]
    return sorted(found, key=lambda e: (e.name, e.origin))
