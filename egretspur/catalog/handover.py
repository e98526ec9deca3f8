"""Reads topics from other hosts, before the store or when it fails.

One host of each data centre, the reader, reads the list of upstreams from the
store; the others fetch what they lack from it. If each host read the store, the
number of calls would grow with hosts times changes: a few hundred hosts follow
a list that changes several times a second.

A host that restarts during an outage of the store, or whose calls the store
refuses, would otherwise refuse every caller or serve an old configuration while
other hosts have the current one. It fetches that from them. Read next:
`egretspur.catalog.tables`.
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
from egretspur.catalog import doubts, feeds, positions

T = TypeVar("T")
R = TypeVar("R")

# Hosts called for one read.
MAX_HOSTS_CALLED: Final = 3

# Time without a read after which the whole state is asked of other hosts first,
# in seconds: this host stood still, or reached nothing.
LONG_PAUSE_S: Final = 2.0


@attrs.frozen
class Timeouts:
    """How long one read waits for other hosts, in seconds."""

    # Longest silence of one host.
    silence_s: float
    # For the whole answers of all hosts.
    total_s: float = math.inf


# Before the store is called. A host that stands still accepts connections and
# answers nothing, and several may do so at once. All of these, a datagram, and
# the call to the store must fit into the time within which a configuration is
# in force.
TIMEOUTS_BEFORE_STORE: Final = Timeouts(0.4, 0.9)

# Where the store has failed for two reads: slow hosts are all that is left.
TIMEOUTS_WITHOUT_STORE: Final = Timeouts(1.0, 2.0)

# Hosts are not called for less than this time.
MIN_TIMEOUT_S: Final = 0.05

# zlib level of snapshots. A configuration of 1,640 routes has some hundred
# kilobytes, and a tenth of that compressed; hosts have links of 10 Mbit/s.
COMPRESSION_LEVEL: Final = 1

# Maximum size of a decompressed snapshot in bytes: many times the largest
# configuration, and a fraction of a small host's memory.
MAX_UNPACKED_BYTES: Final = 32 * 2**20

# Tombstones kept for hosts that are behind; a host that is further behind gets
# a full snapshot. Without a limit each start of an upstream would leave one for
# good.
MAX_TOMBSTONES: Final = 256

# Time for which all hosts are sent full snapshots after records were found that
# precede their positions, in seconds. Any host asks within less.
LATE_RECORDS_S: Final = 30.0


@attrs.frozen
class Record:
    """A record of a topic as stored."""

    offset: int
    key: str
    # Empty in a tombstone, which removes the key.
    raw: bytes


@attrs.frozen
class Override:
    """Ignores the record that a restored store has of a key.

    The state known before the restore is used instead.
    """

    # Records of the key up to this offset are ignored; None if the restored
    # store lacks the key.
    offset: int | None
    # Monotonic time at which the override ends.
    until_s: float = math.inf

    def ignores(self, record: Record) -> bool:
        """Returns whether a record is ignored."""
        return self.offset is not None and record.offset <= self.offset


@attrs.frozen
class MergeInfo:
    """What a full snapshot contains beside the newest records."""

    # Recently removed keys.
    removed: tuple[str, ...] = ()
    overrides: Mapping[str, Override] = attrs.Factory(dict)


NO_MERGE_INFO: Final = MergeInfo()


@attrs.frozen
class Snapshot:
    """State of a topic that one host sends to another."""

    # Oldest first.
    records: tuple[Record, ...]
    # Position from which to read the store.
    next: positions.Position
    # True for all keys, False for the changes since the requested position.
    is_full: bool
    merge_info: MergeInfo = NO_MERGE_INFO
    # Records that the sender may lack.
    doubt: doubts.Doubt | None = None


class NewestRecords:
    """The newest record of each key; thread-safe.

    The caller leaves out records that repeat the value before: of a hundred
    entries rewritten every second, only a few change.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        # Includes tombstones.
        self._records: dict[str, Record] = {}
        # All tombstones from this offset on are kept.
        self._complete_from = 0
        # Monotonic time until which all hosts are sent full snapshots.
        self._full_until_s = -math.inf
        self.position: positions.Position | None = None
        # Records before the position that may be missing.
        self.doubt: doubts.Doubt | None = None
        self._overrides: Mapping[str, Override] = {}
        # Snapshots packed since the last change, by requested position: after
        # a change many hosts request the same one.
        self._packed: dict[positions.Position | None, bytes] = {}

    def get(self, key: str) -> Record | None:
        """Returns the newest record of a key; None if it has no value."""
        with self._lock:
            record = self._records.get(key)
        return record if record is not None and record.raw else None

    def get_offset(self, key: str) -> int:
        """Returns the offset of a key's record or tombstone; -1 for none."""
        with self._lock:
            record = self._records.get(key)
        return record.offset if record is not None else -1

    def list_from(self, offset: int) -> tuple[Record, ...]:
        """Returns the records and tombstones from an offset on."""
        with self._lock:
            return tuple(
                r for r in self._records.values() if r.offset >= offset
            )

    def set_doubt(self, doubt: doubts.Doubt | None) -> None:
        """Sets which records may be missing; other hosts are sent that."""
        with self._lock:
            self.doubt = doubt
            self._packed.clear()

    def send_all(self) -> None:
        """Has all hosts sent full snapshots for a while, whatever they read.

        For records that precede the positions of other hosts, which lack them
        too if they were sent the state of this one.
        """
        with self._lock:
            if self.position is not None:
                self._complete_from = self.position.offset + 1
            self._full_until_s = self._clock() + LATE_RECORDS_S
            self._packed.clear()

    def list_removed(self) -> tuple[str, ...]:
        """Returns the recently removed keys."""
        with self._lock:
            return tuple(k for k, r in self._records.items() if not r.raw)

    def replace(
        self,
        records: Iterable[Record],
        position: positions.Position,
        removed: Collection[str] = (),
        overrides: Mapping[str, Override] | None = None,
    ) -> None:
        """Replaces all records by those of a full read.

        Args:
            records: The newest record of each key.
            position: Position up to which they were read.
            removed: Keys known to be removed.
            overrides: Overrides by key.
        """
        with self._lock:
            known = self.position
            # Offsets of another era mean nothing.
            is_valid = known is not None and known.era == position.era
            before = self._records if is_valid else {}
            tombstones = [
                r if (r := before.get(k)) and not r.raw else Record(0, k, b"")
                for k in removed
            ]
            tombstones.sort(key=lambda r: r.offset)
            self._records = {r.key: r for r in tombstones}
            self._records.update((r.key, r) for r in records)
            self._complete_from = position.offset
            self.position = position
            self._overrides = dict(overrides or {})
            self._packed.clear()

    def put(self, record: Record) -> None:
        """Stores a record that changes its key's value or removes the key."""
        with self._lock:
            self._packed.clear()
            # Reinserted, so that tombstones are ordered by offset.
            self._records.pop(record.key, None)
            self._records[record.key] = record
            if not record.raw:
                self._evict_oldest_tombstone()

    def _evict_oldest_tombstone(self) -> None:
        tombstones = [r for r in self._records.values() if not r.raw]
        if len(tombstones) > MAX_TOMBSTONES:
            oldest = tombstones[0]
            del self._records[oldest.key]
            self._complete_from = max(self._complete_from, oldest.offset + 1)

    def advance(
        self,
        position: positions.Position,
        overrides: Mapping[str, Override] | None = None,
    ) -> None:
        """Sets the position if it is newer, and the overrides if given."""
        with self._lock:
            if overrides is not None and overrides != self._overrides:
                self._overrides = dict(overrides)
                self._packed.clear()
            known = self.position
            if known is None or position.offset > known.offset:
                self.position = position
                self._packed.clear()

    def pack_since(self, since: positions.Position | None) -> bytes | None:
        """Returns the packed snapshot for a host; see `list_since`."""
        with self._lock:
            known = self._packed.get(since)
        if known is not None:
            return known
        found = self.list_since(since)
        if found is None:
            return None
        data = pack_snapshot(found, self._clock())
        with self._lock:
            # Not cached if the topic changed meanwhile, nor with overrides or
            # a doubt, whose remaining time is part of the data.
            if (
                found.next == self.position
                and not self._overrides
                and self.doubt is None
                and found.doubt is None
            ):
                self._packed[since] = data
        return data

    def list_since(self, since: positions.Position | None) -> Snapshot | None:
        """Returns the snapshot for a host that has read up to a position.

        The snapshot is full if the host last read the store before a restore,
        or while there are overrides: the host may have read the records that
        they ignore from the store. It is full as well for some time after
        records were found that precede the positions of other hosts.

        Args:
            since: None for a host that has read nothing.

        Returns:
            None if nothing was read yet, or the other host has read more.
        """
        with self._lock:
            at = self.position
            if at is None or _is_ahead(since, at):
                return None
            is_full = (
                since is None
                or since.era != at.era
                or since.offset < self._complete_from
                or bool(self._overrides)
                or self._clock() < self._full_until_s
            )
            found = [
                r
                for r in self._records.values()
                if (r.raw if is_full else since and r.offset >= since.offset)
            ]
            found.sort(key=lambda r: r.offset)
            if not is_full:
                return Snapshot(tuple(found), at, False, doubt=self.doubt)
            removed = tuple(k for k, r in self._records.items() if not r.raw)
            merge_info = MergeInfo(removed, self._overrides)
            return Snapshot(tuple(found), at, True, merge_info, self.doubt)


def _is_ahead(since: positions.Position | None, at: positions.Position) -> bool:
    """Returns whether another host has read further than `at`."""
    if since is None:
        return False
    order = positions.compare_eras(at.era, since.era)
    if order is positions.EraOrder.SAME:
        return since.offset > at.offset
    return order is positions.EraOrder.NEWER


def pack_snapshot(snapshot: Snapshot, now_s: float) -> bytes:
    """Returns a snapshot as compressed JSON, given the monotonic time."""
    rows = [
        # One character per byte: base64 would compress worse.
        [r.offset, r.key, r.raw.decode("latin-1")]
        for r in snapshot.records
    ]
    overrides = [
        [key, o.offset, None if math.isinf(o.until_s) else o.until_s - now_s]
        for key, o in snapshot.merge_info.overrides.items()
    ]
    at = snapshot.next
    fields = [
        [at.era, at.offset],
        snapshot.is_full,
        rows,
        snapshot.merge_info.removed,
        overrides,
    ]
    doubt = snapshot.doubt
    if doubt is not None:
        # Left out otherwise: hosts of earlier releases read five fields.
        fields.append([doubt.start, doubt.end, doubt.until_s - now_s])
    return zlib.compress(orjson.dumps(fields), COMPRESSION_LEVEL)


def unpack_snapshot(data: bytes, now_s: float) -> Snapshot | feeds.Unavailable:
    """Returns a snapshot from compressed JSON, or why it can't be read.

    Args:
        data: Packed by another host; not trusted.
        now_s: Monotonic time.
    """
    try:
        decompressor = zlib.decompressobj()
        raw = decompressor.decompress(data, MAX_UNPACKED_BYTES)
        if not decompressor.eof:
            return feeds.Unavailable("snapshot truncated or too large")
        return _read_snapshot(codec.load_json(raw), now_s)
    except (codec.DecodeError, TypeError, ValueError, zlib.error) as exc:
        return feeds.Unavailable(f"malformed snapshot: {exc!r}")


def _read_snapshot(value: Any, now_s: float) -> Snapshot:
    """Returns a snapshot; raises `codec.DecodeError` if it is malformed."""
    fields = checks.check_list(value, "snapshot")
    at, is_full, rows, removed, overrides = checks.check_row(
        fields[:5], "snapshot", 5
    )
    doubt = None
    if len(fields) > 5:
        checks.check_row(fields, "snapshot", 6)
        doubt = _read_doubt(fields[5], now_s)
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
    merge_info = MergeInfo(
        tuple(
            checks.check_string(k, "dropped")
            for k in checks.check_list(removed, "dropped")
        ),
        {
            checks.check_string(key, "key"): _read_override(
                offset, left_s, now_s
            )
            for key, offset, left_s in _check_rows(overrides)
        },
    )
    return Snapshot(records, position, bool(is_full), merge_info, doubt)


def _read_doubt(value: Any, now_s: float) -> doubts.Doubt:
    start, end, left_s = checks.check_row(value, "doubt", 3)
    return doubts.inherit(
        checks.check_count(start, "start"),
        checks.check_count(end, "end"),
        # It may have ended in transit.
        checks.check_number(max(0.0, left_s), "left"),
        now_s,
    )


def _read_override(offset: Any, left_s: Any, now_s: float) -> Override:
    if offset is not None:
        checks.check_count(offset, "offset")
    if left_s is None:
        return Override(offset)
    # The override may have ended in transit.
    left_s = checks.check_number(max(0.0, left_s), "left")
    return Override(offset, now_s + left_s)


def _check_rows(value: Any) -> Iterable[list[Any]]:
    return (
        checks.check_row(r, "record", 3)
        for r in checks.check_list(value, "records")
    )


class Topic(feeds.Source[T], Protocol[T]):
    """A source whose state hosts can exchange as snapshots."""

    name: str

    def read_newest(self) -> feeds.FullState[T] | feeds.Unavailable:
        """Returns the newest value of every key."""

    def read_snapshot(
        self, data: bytes
    ) -> feeds.FullState[T] | feeds.Changes[T] | feeds.Unavailable:
        """Applies a packed snapshot of another host."""

    def compute_recheck_s(self, is_reader: bool) -> float:
        """Returns the seconds until `read_again` is due; infinite for never.

        Args:
            is_reader: Whether this host reads the store before other hosts.
        """

    def read_again(self) -> feeds.FullState[T] | feeds.Unavailable:
        """Reads the newest records again, of which some may be missing."""


# Returns the live hosts to call, best first.
ListHosts = Callable[[], list[str]]

# Fetches the packed snapshot of a topic since a position from a host; None if
# the host has none to send. Arguments: host, topic, position, and how long to
# wait.
FetchSnapshot = Callable[
    [str, str, positions.Position | None, Timeouts],
    bytes | feeds.Unavailable | None,
]


class HandoverSource(Generic[T]):
    """A topic read from other hosts and the store; see `feeds.Source`."""

    def __init__(
        self,
        topic: Topic[T],
        list_hosts: ListHosts,
        fetch: FetchSnapshot,
        is_peers_first: Callable[[], bool],
        list_initial_hosts: ListHosts = list,
        clock: Callable[[], float] = time.monotonic,
        list_current_hosts: ListHosts | None = None,
    ) -> None:
        """Makes a source.

        Args:
            topic: The topic in the store.
            list_hosts: Returns the hosts to call when the store failed.
            fetch: Fetches a snapshot from one of them.
            is_peers_first: Returns whether hosts are called before the store,
                or only when the store does not answer.
            list_initial_hosts: Returns the hosts to call before the first read
                of the store, when no peer update has arrived yet.
            clock: Returns the monotonic time in seconds.
            list_current_hosts: Returns the hosts to call before the store,
                those with the newest state: the answer of one that knows
                nothing newer would count. The same hosts if None.
        """
        self._topic = topic
        self._list_hosts = list_hosts
        self._list_current_hosts = list_current_hosts or list_hosts
        self._fetch = fetch
        self._is_peers_first = is_peers_first
        self._list_initial_hosts = list_initial_hosts
        self._has_read = False
        # Whether the last call to the store failed.
        self._has_failed = False
        self._clock = clock
        # When the last read that succeeded began: this host may have stood
        # still before it received the answer.
        self._read_s = -math.inf

    def read_newest(
        self,
    ) -> feeds.FullState[T] | feeds.Changes[T] | feeds.Unavailable:
        """Returns the newest state, from the store or from another host.

        The first read calls other hosts first, since the host refuses its
        callers until it has a configuration. One of 1,900 routes is 700 kB
        from the store, which takes a small host's link more than half a second,
        and a twentieth of that from another host.
        """
        began_s = self._clock()
        hosts: list[str] = []
        if not self._has_read:
            self._has_read = True
            hosts = self._list_initial_hosts()
        elif began_s - self._read_s > LONG_PAUSE_S:
            # What changed while this host stood still is known to the others:
            # a copy of the store, for example, doesn't say how old it is.
            hosts = self._list_hosts() or self._list_initial_hosts()
        found = self._fetch_from_hosts(hosts, None, TIMEOUTS_BEFORE_STORE)
        if found is not None:
            return self._note(found, began_s)
        res = self._topic.read_newest()
        if isinstance(res, feeds.FullState):
            self._has_failed = False
            return self._note(res, began_s)
        return self._fall_back(None, res)

    def _note(self, res: R, began_s: float) -> R:
        """Returns the result of a read, and notes when it began."""
        if not isinstance(res, feeds.FullState | feeds.Changes):
            return res
        self._read_s = began_s
        recheck_s = self._topic.compute_recheck_s(not self._is_peers_first())
        if recheck_s >= res.due_s:
            return res
        return attrs.evolve(res, due_s=recheck_s)

    def read_changes(
        self, since: positions.Position, wait_s: float
    ) -> feeds.Result[T]:
        """Returns the changes since a position.

        While records before the position may be missing, the newest records are
        read again from time to time, and the changes at once after that.
        """
        began_s = self._clock()
        is_peers_first = self._is_peers_first()
        recheck_s = self._topic.compute_recheck_s(not is_peers_first)
        if recheck_s <= 0.0:
            again = self._topic.read_again()
            if isinstance(again, feeds.Unavailable):
                return self._fall_back(since, again)
            return attrs.evolve(self._note(again, began_s), due_s=0.0)
        wait_s = min(wait_s, recheck_s)
        hosts = self._list_current_hosts() if is_peers_first else []
        found = self._fetch_from_hosts(hosts, since, TIMEOUTS_BEFORE_STORE)
        if found is not None:
            return self._note(found, began_s)
        res = self._topic.read_changes(since, wait_s)
        if isinstance(res, feeds.Unavailable) and res.is_timeout and wait_s > 0:
            # The answer was lost, or the connection has gone silent.
            began_s = self._clock()
            res = self._topic.read_changes(since, 0.0)
        if isinstance(res, feeds.Unavailable):
            return self._fall_back(since, res)
        self._has_failed = False
        return self._note(res, began_s)

    def _fall_back(
        self, since: positions.Position | None, res: feeds.Unavailable
    ) -> feeds.FullState[T] | feeds.Changes[T] | feeds.Unavailable:
        # At first the store may have lost an answer, and be there at once.
        timeouts = (
            TIMEOUTS_WITHOUT_STORE
            if self._has_failed
            else TIMEOUTS_BEFORE_STORE
        )
        self._has_failed = True
        found = self._fetch_from_hosts(self._list_hosts(), since, timeouts)
        if found is None:
            return res
        return attrs.evolve(found, failure=res.reason)

    def _fetch_from_hosts(
        self,
        hosts: list[str],
        since: positions.Position | None,
        timeouts: Timeouts,
    ) -> feeds.FullState[T] | feeds.Changes[T] | None:
        """Returns the state of the first host that has one to send.

        Returns:
            None if no host returned a usable snapshot.
        """
        end_s = self._clock() + timeouts.total_s
        for host in hosts[:MAX_HOSTS_CALLED]:
            began_s = self._clock()
            left_s = end_s - began_s
            if left_s < MIN_TIMEOUT_S:
                return None
            wait = Timeouts(min(timeouts.silence_s, left_s), left_s)
            data = self._fetch(host, self._topic.name, since, wait)
            if data is None:
                continue
            if isinstance(data, feeds.Unavailable):
                self._record_unanswered(host, data.reason, began_s)
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

    def _record_unanswered(
        self, host: str, reason: str, began_s: float
    ) -> None:
        waited_s = self._clock() - began_s
        decisions.record(
            decisions.HostUnanswered(self._topic.name, host, reason, waited_s)
        )
