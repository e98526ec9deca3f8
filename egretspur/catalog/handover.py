"""State from other hosts, in place of the store or when it does not answer.

One host of a data centre reads the list of upstreams for all of it; the others
ask that host for what they miss. Were each to read the store, its calls would
grow with the hosts and the changes: a few hundred hosts read a list that
changes some times a second.

A host that is restarted or turned away while the store is in trouble would
refuse every caller, or serve by an old configuration, while its neighbours
serve well. It asks them as well.
"""

from __future__ import annotations

import threading
import zlib
from collections.abc import Callable, Iterable
from typing import Any, Final, Generic, Protocol, TypeVar

import attrs
import orjson

from egretspur import checks, codec, decisions
from egretspur.catalog import feeds

T = TypeVar("T")

# Hosts that are asked before giving up; each may take a time-out.
HOSTS_ASKED: Final = 3


# How hard snapshots are compressed. A configuration of 1,640 routes is some
# hundred kilobytes, a tenth of it compressed; hosts have links of 10 Mbit/s.
PACK_LEVEL: Final = 1

# Bytes that a snapshot may have once it is unpacked: many times the largest
# configuration, and a fraction of a small host's memory.
MOST_UNPACKED: Final = 32 * 2**20

# Keys that were dropped of late, for hosts that have read up to an earlier
# offset; those that have read less are handed everything. Without a bound each
# start of an upstream would leave a key for good.
DROPPED_KEPT: Final = 256


@attrs.frozen
class Record:
    """A record of a topic as the store has it."""

    offset: int
    key: str
    # Empty where the record drops its key.
    raw: bytes


@attrs.frozen
class Snapshot:
    """What a host hands to another."""

    # Oldest first.
    records: tuple[Record, ...]
    # Offset from which the store's records are to be read.
    next: int
    # These are all keys; else what changed since the offset asked for.
    is_whole: bool


class Newest:
    """The newest record of each key; used by several threads.

    A record that says what the one before it said is not put: of a hundred
    entries that are written anew every second, those that changed are few.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._records: dict[str, Record] = {}
        # Since this offset every key that was dropped is still known.
        self._complete_from = 0
        self._next = -1
        # What was handed over since the last change, by the offset asked for:
        # after a change many hosts ask for the same.
        self._packed: dict[int, bytes] = {}

    def replace(self, records: Iterable[Record], end: int) -> None:
        """Takes all keys, read anew."""
        with self._lock:
            self._records = {r.key: r for r in records}
            self._complete_from = self._next = end
            self._packed.clear()

    def put(self, record: Record) -> None:
        """Takes a record that changes what its key says, or drops it."""
        with self._lock:
            self._packed.clear()
            # Dropped ones are in the order of their offsets.
            self._records.pop(record.key, None)
            self._records[record.key] = record
            if not record.raw:
                self._forget_oldest_drop()

    def _forget_oldest_drop(self) -> None:
        dropped = [r for r in self._records.values() if not r.raw]
        if len(dropped) > DROPPED_KEPT:
            oldest = dropped[0]
            del self._records[oldest.key]
            self._complete_from = max(self._complete_from, oldest.offset + 1)

    def move_on(self, end: int) -> None:
        """Takes that all records before an offset were read."""
        with self._lock:
            if end > self._next:
                self._next = end
                self._packed.clear()

    def pack_since(self, offset: int) -> bytes | None:
        """Returns what a host misses, packed; see `list_since`."""
        with self._lock:
            known = self._packed.get(offset)
        if known is not None:
            return known
        found = self.list_since(offset)
        if found is None:
            return None
        data = pack_snapshot(found)
        with self._lock:
            # Unless the topic has moved on meanwhile.
            if found.next == self._next:
                self._packed[offset] = data
        return data

    def list_since(self, offset: int) -> Snapshot | None:
        """Returns what a host misses that has read up to an offset.

        Args:
            offset: Below 0 for a host that knows nothing.

        Returns:
            None if nothing was read yet, or the other one has read more.
        """
        with self._lock:
            if self._next < 0 or offset > self._next:
                return None
            is_whole = offset < self._complete_from
            found = [
                r
                for r in self._records.values()
                if (r.raw if is_whole else r.offset >= offset)
            ]
            found.sort(key=lambda r: r.offset)
            return Snapshot(tuple(found), self._next, is_whole)


def pack_snapshot(snapshot: Snapshot) -> bytes:
    """Returns a snapshot as compressed JSON."""
    rows = [
        # Each byte as a character: base64 would hide what repeats.
        [r.offset, r.key, r.raw.decode("latin-1")]
        for r in snapshot.records
    ]
    data = orjson.dumps([snapshot.next, snapshot.is_whole, rows])
    return zlib.compress(data, PACK_LEVEL)


def unpack_snapshot(data: bytes) -> Snapshot | feeds.Unavailable:
    """Returns a snapshot from compressed JSON, or why it can't be read."""
    try:
        unpacking = zlib.decompressobj()
        raw = unpacking.decompress(data, MOST_UNPACKED)
        if not unpacking.eof:
            return feeds.Unavailable("snapshot too large, or cut short")
        end, is_whole, rows = checks.check_row(
            codec.load_json(raw), "snapshot", 3
        )
        records = tuple(
            Record(
                checks.check_count(offset, "offset"),
                checks.check_string(key, "key"),
                checks.check_string(raw, "raw").encode("latin-1"),
            )
            for offset, key, raw in _check_rows(rows)
        )
        end = checks.check_count(end, "next")
        return Snapshot(records, end, bool(is_whole))
    except (codec.DecodeError, TypeError, ValueError, zlib.error) as exc:
        return feeds.Unavailable(f"snapshot not understood: {exc!r}")


def _check_rows(value: Any) -> Iterable[list[Any]]:
    return (
        checks.check_row(r, "record", 3)
        for r in checks.check_list(value, "records")
    )


class Topic(feeds.Source[T], Protocol[T]):
    """A source whose newest state can be carried between hosts."""

    name: str

    def read_newest(self) -> feeds.Whole[T] | feeds.Unavailable:
        """Returns the newest value of every key."""

    def read_snapshot(
        self, data: bytes
    ) -> feeds.Whole[T] | feeds.Changes[T] | feeds.Unavailable:
        """Takes what another host handed over."""


# Returns hosts that are alive, the best to ask first.
ListHosts = Callable[[], list[str]]

# Returns what a host has of a topic since an offset, or None if it gave none.
AskHost = Callable[[str, str, int], bytes | None]


class HandoverSource(Generic[T]):
    """A topic that is read from other hosts too; see `feeds.Source`."""

    def __init__(
        self,
        topic: Topic[T],
        list_hosts: ListHosts,
        ask: AskHost,
        is_asking_first: Callable[[], bool],
        list_at_start: ListHosts = list,
    ) -> None:
        """Makes a source.

        Args:
            topic: The store's.
            list_hosts: Hosts to ask.
            ask: Asks one of them.
            is_asking_first: Tells whether they are asked before the store,
                or only when it does not answer.
            list_at_start: Returns the hosts to ask before the first read of
                the store, while nobody is heard yet.
        """
        self._topic = topic
        self._list_hosts = list_hosts
        self._ask = ask
        self._is_asking_first = is_asking_first
        self._list_at_start = list_at_start
        self._has_begun = False

    def read_newest(
        self,
    ) -> feeds.Whole[T] | feeds.Changes[T] | feeds.Unavailable:
        """Returns the newest state, from the store or from another host.

        The first time other hosts go first. A configuration of 1,900 routes
        is 700 kB as the store hands it out, half a second and more of a small
        host's link, and a twentieth of that from a host that has it; all that
        while the host refuses its callers.
        """
        if not self._has_begun:
            self._has_begun = True
            found = self._ask_hosts(self._list_at_start(), -1)
            if found is not None:
                return found
        res = self._topic.read_newest()
        if isinstance(res, feeds.Whole):
            return res
        return self._ask_instead(-1, res)

    def read_changes(self, offset: int, wait_s: float) -> feeds.Result[T]:
        """Returns what was written since."""
        is_first = self._is_asking_first()
        hosts = self._list_hosts() if is_first else []
        found = self._ask_hosts(hosts, offset)
        if found is not None:
            return found
        res = self._topic.read_changes(offset, wait_s)
        if is_first or not isinstance(res, feeds.Unavailable):
            return res
        return self._ask_instead(offset, res)

    def _ask_instead(
        self, offset: int, res: feeds.Unavailable
    ) -> feeds.Whole[T] | feeds.Changes[T] | feeds.Unavailable:
        found = self._ask_hosts(self._list_hosts(), offset)
        if found is None:
            return res
        return attrs.evolve(found, failure=res.reason)

    def _ask_hosts(
        self, hosts: list[str], offset: int
    ) -> feeds.Whole[T] | feeds.Changes[T] | None:
        """Returns what another host has, None if none has as much."""
        for host in hosts[:HOSTS_ASKED]:
            data = self._ask(host, self._topic.name, offset)
            if data is None:
                continue
            found = self._topic.read_snapshot(data)
            if not isinstance(found, feeds.Unavailable):
                return found
            decisions.record(
                decisions.EntryLeftOut(
                    self._topic.name, host, "snapshot", found.reason
                )
            )
        return None
