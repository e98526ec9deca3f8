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

import math
import threading
import time
import zlib
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any, Final, Generic, Protocol, TypeVar

import attrs
import orjson

from egretspur import checks, codec, decisions
from egretspur.catalog import feeds, positions

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
class Overruled:
    """A key of which the record that a copy of the store has doesn't count."""

    # Of that record, or an earlier one; None if the copy lacks the key.
    offset: int | None
    # Monotonic time until which what was known of the key counts instead.
    until_s: float = math.inf

    def covers(self, record: Record) -> bool:
        """Tells whether a record is the one that doesn't count."""
        return self.offset is not None and record.offset <= self.offset


@attrs.frozen
class Told:
    """What a host hands over beside the newest records."""

    # Keys that were removed of late.
    dropped: tuple[str, ...] = ()
    overruled: Mapping[str, Overruled] = attrs.Factory(dict)


NOTHING_TOLD: Final = Told()


@attrs.frozen
class Snapshot:
    """What a host hands to another."""

    # Oldest first.
    records: tuple[Record, ...]
    # From where the store's records are to be read.
    next: positions.Position
    # These are all keys; else what changed since the position asked for.
    is_whole: bool
    told: Told = NOTHING_TOLD


class Newest:
    """The newest record of each key; used by several threads.

    A record that says what the one before it said is not put: of a hundred
    entries that are written anew every second, those that changed are few.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        # Removed keys too, as records without a value.
        self._records: dict[str, Record] = {}
        # Since this offset every key that was dropped is still known.
        self._complete_from = 0
        self.position: positions.Position | None = None
        self._overruled: Mapping[str, Overruled] = {}
        # What was handed over since the last change, by the position asked
        # for: after a change many hosts ask for the same.
        self._packed: dict[positions.Position | None, bytes] = {}

    def get(self, key: str) -> Record | None:
        """Returns the newest record of a key; None if it was removed."""
        with self._lock:
            record = self._records.get(key)
        return record if record is not None and record.raw else None

    def list_dropped(self) -> tuple[str, ...]:
        """Returns the keys that were removed of late."""
        with self._lock:
            return tuple(k for k, r in self._records.items() if not r.raw)

    def replace(
        self,
        records: Iterable[Record],
        position: positions.Position,
        dropped: Collection[str] = (),
        overruled: Mapping[str, Overruled] | None = None,
    ) -> None:
        """Takes all keys, read anew.

        Args:
            records: Their newest records.
            position: Up to where they were read.
            dropped: Keys that are known to have been removed.
            overruled: Keys whose record at the store doesn't count.
        """
        with self._lock:
            self._records = {k: Record(0, k, b"") for k in dropped}
            self._records.update((r.key, r) for r in records)
            self._complete_from = position.offset
            self.position = position
            self._overruled = dict(overruled or {})
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

    def move_on(
        self,
        position: positions.Position,
        overruled: Mapping[str, Overruled] | None = None,
    ) -> None:
        """Takes that all records before a position were read."""
        with self._lock:
            if overruled is not None and overruled != self._overruled:
                self._overruled = dict(overruled)
                self._packed.clear()
            known = self.position
            if known is None or position.offset > known.offset:
                self.position = position
                self._packed.clear()

    def pack_since(self, since: positions.Position | None) -> bytes | None:
        """Returns what a host misses, packed; see `list_since`."""
        with self._lock:
            known = self._packed.get(since)
        if known is not None:
            return known
        found = self.list_since(since)
        if found is None:
            return None
        data = pack_snapshot(found, self._clock())
        with self._lock:
            # Unless the topic has moved on meanwhile. What is overruled for a
            # while is told with the time that is left.
            if found.next == self.position and not self._overruled:
                self._packed[since] = data
        return data

    def list_since(self, since: positions.Position | None) -> Snapshot | None:
        """Returns what a host misses that has read up to a position.

        A host that has read from the store before its last copy is handed
        everything, and so is any while some of the copy's records don't count:
        it may have taken them from the store.

        Args:
            since: None for a host that knows nothing.

        Returns:
            None if nothing was read yet, or the other one has read more.
        """
        with self._lock:
            at = self.position
            if at is None or _is_ahead(since, at):
                return None
            is_whole = (
                since is None
                or since.era != at.era
                or since.offset < self._complete_from
                or bool(self._overruled)
            )
            found = [
                r
                for r in self._records.values()
                if (r.raw if is_whole else since and r.offset >= since.offset)
            ]
            found.sort(key=lambda r: r.offset)
            if not is_whole:
                return Snapshot(tuple(found), at, False)
            dropped = tuple(k for k, r in self._records.items() if not r.raw)
            return Snapshot(
                tuple(found), at, True, Told(dropped, self._overruled)
            )


def _is_ahead(since: positions.Position | None, at: positions.Position) -> bool:
    """Tells whether a reader has read more than is known up to a position."""
    if since is None:
        return False
    standing = positions.compare_eras(at.era, since.era)
    if standing is positions.Standing.SAME:
        return since.offset > at.offset
    return standing is positions.Standing.NEWER


def pack_snapshot(snapshot: Snapshot, now_s: float) -> bytes:
    """Returns a snapshot as compressed JSON, given the monotonic time."""
    rows = [
        # Each byte as a character: base64 would hide what repeats.
        [r.offset, r.key, r.raw.decode("latin-1")]
        for r in snapshot.records
    ]
    overruled = [
        [key, o.offset, None if math.isinf(o.until_s) else o.until_s - now_s]
        for key, o in snapshot.told.overruled.items()
    ]
    at = snapshot.next
    data = orjson.dumps(
        [
            [at.era, at.offset],
            snapshot.is_whole,
            rows,
            snapshot.told.dropped,
            overruled,
        ]
    )
    return zlib.compress(data, PACK_LEVEL)


def unpack_snapshot(data: bytes, now_s: float) -> Snapshot | feeds.Unavailable:
    """Returns a snapshot from compressed JSON, or why it can't be read.

    Args:
        data: What another host packed.
        now_s: Monotonic time.
    """
    try:
        unpacking = zlib.decompressobj()
        raw = unpacking.decompress(data, MOST_UNPACKED)
        if not unpacking.eof:
            return feeds.Unavailable("snapshot too large, or cut short")
        return _read_snapshot(codec.load_json(raw), now_s)
    except (codec.DecodeError, TypeError, ValueError, zlib.error) as exc:
        return feeds.Unavailable(f"snapshot not understood: {exc!r}")


def _read_snapshot(value: Any, now_s: float) -> Snapshot:
    """Returns a snapshot; raises `codec.DecodeError` if it is malformed."""
    at, is_whole, rows, dropped, overruled = checks.check_row(
        value, "snapshot", 5
    )
    era, end = checks.check_row(at, "next", 2)
    records = tuple(
        Record(
            checks.check_count(offset, "offset"),
            checks.check_string(key, "key"),
            checks.check_string(raw, "raw").encode("latin-1"),
        )
        for offset, key, raw in _check_rows(rows)
    )
    position = positions.Position(
        checks.check_count(era, "era"), checks.check_count(end, "next")
    )
    told = Told(
        tuple(
            checks.check_string(k, "dropped")
            for k in checks.check_list(dropped, "dropped")
        ),
        {
            checks.check_string(key, "key"): _read_overruled(
                offset, left_s, now_s
            )
            for key, offset, left_s in _check_rows(overruled)
        },
    )
    return Snapshot(records, position, bool(is_whole), told)


def _read_overruled(offset: Any, left_s: Any, now_s: float) -> Overruled:
    if offset is not None:
        checks.check_count(offset, "offset")
    if left_s is None:
        return Overruled(offset)
    # It may have run out on the way.
    left_s = checks.check_number(max(0.0, left_s), "left")
    return Overruled(offset, now_s + left_s)


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

# Returns what a host has of a topic since a position, or None if it gave none.
AskHost = Callable[[str, str, positions.Position | None], bytes | None]


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
            found = self._ask_hosts(self._list_at_start(), None)
            if found is not None:
                return found
        res = self._topic.read_newest()
        if isinstance(res, feeds.Whole):
            return res
        return self._ask_instead(None, res)

    def read_changes(
        self, since: positions.Position, wait_s: float
    ) -> feeds.Result[T]:
        """Returns what was written since."""
        is_first = self._is_asking_first()
        hosts = self._list_hosts() if is_first else []
        found = self._ask_hosts(hosts, since)
        if found is not None:
            return found
        res = self._topic.read_changes(since, wait_s)
        if is_first or not isinstance(res, feeds.Unavailable):
            return res
        return self._ask_instead(since, res)

    def _ask_instead(
        self, since: positions.Position | None, res: feeds.Unavailable
    ) -> feeds.Whole[T] | feeds.Changes[T] | feeds.Unavailable:
        found = self._ask_hosts(self._list_hosts(), since)
        if found is None:
            return res
        return attrs.evolve(found, failure=res.reason)

    def _ask_hosts(
        self, hosts: list[str], since: positions.Position | None
    ) -> feeds.Whole[T] | feeds.Changes[T] | None:
        """Returns what another host has, None if none has as much."""
        for host in hosts[:HOSTS_ASKED]:
            data = self._ask(host, self._topic.name, since)
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
