"""Versioned entries that entry hosts gossip; pure functions without I/O.

Entries are of several kinds: a host is alive, an upstream is leaving, a host
needs part of a workspace's limit, an upstream crashed under a request or under
segments of its prompt, an upstream set a rate limit. Each entry has an origin,
the origin's incarnation and a sequence number; the larger pair of these wins,
in whatever order entries arrive. A message carries a bounded number of entries,
so its size does not depend on the number of hosts; entries that were sent least
often go first.
"""

from __future__ import annotations

import enum
import heapq
from collections.abc import Iterable
from typing import Final

import attrs

# A host sends each entry at most this often. With one message per host and
# round, log2(n) rounds reach nearly all of n hosts; this is enough for about
# 4,000 hosts in one data centre.
MAX_SENDS: Final = 12


class Kind(enum.Enum):
    """Kind of an entry; determines its name and value."""

    # An entry host is alive; value: `egretspur.membership.news.NodeState`.
    NODE = "n"
    # An incarnation of an upstream is leaving; value: the incarnation.
    LEAVING = "l"
    # A workspace's demand at the origin; value: concurrent requests.
    DEMAND = "d"
    # An upstream crashed under a request, named by the request's fingerprint
    # and the upstream's start; value: its weight. With no start, the request
    # was answered.
    CRASHED = "e"
    # An upstream, named by its start, set a rate limit; value: requests per
    # second, or empty when it lifted the limit.
    LIMIT = "r"
    # An upstream crashed under a request with these prompt segments, and a
    # request with a segment was answered; see `news.pack_crash`.
    SEGMENT_CRASH = "c"
    SEGMENT_ANSWER = "a"


Key = tuple[Kind, str, str]


@attrs.frozen
class Entry:
    """One fact that one origin published."""

    kind: Kind
    # What the entry is about; see `Kind`.
    name: str
    # Entry host that published it.
    origin: str
    # Start time of the origin in milliseconds. A replacement host with the same
    # address is a new incarnation and wins over its predecessor.
    incarnation: int
    sequence: int
    value: str

    @property
    def key(self) -> Key:
        """Key under which a newer entry replaces an older one."""
        return self.kind, self.name, self.origin

    @property
    def version(self) -> tuple[int, int]:
        """Version that orders the entries of one key."""
        return self.incarnation, self.sequence


@attrs.frozen
class AgedEntry:
    """An entry with its age, as sent in a message."""

    entry: Entry
    # Seconds since the origin published it. Without the age, an entry of a dead
    # host would look new to each receiver and circulate for ever.
    age_s: float


@attrs.define
class StoredEntry:
    """An entry in the view of one host."""

    entry: Entry
    # Monotonic time at which the origin published it.
    since_s: float
    # Number of messages in which this host sent it.
    send_count: int = 0


@attrs.define
class View:
    """All entries that one host has."""

    known: dict[Key, StoredEntry] = attrs.Factory(dict)


@attrs.frozen
class Retention:
    """Retention of each kind of entry, in seconds."""

    node_s: float
    # Longer than the platform's list can lag, so that a leaving upstream is not
    # used again before its next incarnation.
    leaving_s: float
    demand_s: float
    # As long as routers remember a request that crashed upstreams.
    crashed_s: float
    limit_s: float
    # Of what is known of prompt segments.
    evidence_s: float

    def get_max_age(self, kind: Kind) -> float:
        """Returns the age beyond which an entry of a kind is dropped."""
        return {
            Kind.NODE: self.node_s,
            Kind.LEAVING: self.leaving_s,
            Kind.DEMAND: self.demand_s,
            Kind.CRASHED: self.crashed_s,
            Kind.LIMIT: self.limit_s,
            Kind.SEGMENT_CRASH: self.evidence_s,
            Kind.SEGMENT_ANSWER: self.evidence_s,
        }[kind]


def merge(
    view: View,
    received: Iterable[AgedEntry],
    retention: Retention,
    now_s: float,
) -> list[Entry]:
    """Merges the entries of a message into a view.

    Returns:
        The entries that were new or newer than those in the view.
    """
    fresh = []
    for item in received:
        entry = item.entry
        if item.age_s > retention.get_max_age(entry.kind):
            continue
        old = view.known.get(entry.key)
        if old is not None and old.entry.version >= entry.version:
            continue
        view.known[entry.key] = StoredEntry(entry, now_s - item.age_s)
        fresh.append(entry)
    return fresh


def choose(view: View, count: int, now_s: float) -> list[AgedEntry]:
    """Returns the entries for the next message, least often sent first."""
    best = heapq.nsmallest(
        count,
        (k for k in view.known.values() if k.send_count < MAX_SENDS),
        key=lambda k: (k.send_count, -k.since_s),
    )
    for item in best:
        item.send_count += 1
    return [AgedEntry(item.entry, now_s - item.since_s) for item in best]


def drop_expired(view: View, retention: Retention, now_s: float) -> list[Entry]:
    """Drops entries that their origin has not renewed within their retention.

    Returns:
        The node entries that were dropped.
    """
    gone = []
    for key, item in list(view.known.items()):
        if now_s - item.since_s <= retention.get_max_age(item.entry.kind):
            continue
        del view.known[key]
        if item.entry.kind is Kind.NODE:
            gone.append(item.entry)
    return gone


def find(view: View, kind: Kind) -> list[Entry]:
    """Returns all entries of a kind, sorted by name and origin."""
    found = [k.entry for k in view.known.values() if k.entry.kind is kind]
    return sorted(found, key=lambda e: (e.name, e.origin))
