"""Client of the platform's store: topics, newest records, groups."""

from __future__ import annotations

import base64
import binascii
import struct
import time
import urllib.parse
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final, Generic, TypeVar

import attrs
import orjson

from egretspur import checks, codec, decisions, transport
from egretspur.admission import quarantine
from egretspur.catalog import (
    config,
    feeds,
    handover,
    positions,
    tables,
    upstreams,
)
from egretspur.membership import duty
from egretspur.platform import decode, names

T = TypeVar("T")

# An answer takes 4 ms when all is well; the store may be fifty times slower
# and is then still worth waiting for.
CALL_S: Final = 1.0
CONNECT_S: Final = 0.5

_LENGTH: Final = struct.Struct(">I")
_OFFSETS: Final = struct.Struct(">QQ")


class Store:
    """Calls to the store; shared by the feeds and the duty."""

    def __init__(
        self,
        address: str,
        note_call: Callable[[float], None] = lambda seconds: None,
    ) -> None:
        """Makes a client.

        Args:
            address: IP address and port.
            note_call: Told how long each call took, in seconds.
        """
        self._address = address
        self._note_call = note_call
        self._transport = transport.Transport(CONNECT_S, CALL_S)
        # When it last answered, on the monotonic clock.
        self.answered_s = time.monotonic()
        self.eras = positions.Eras()

    def close(self) -> None:
        """Closes idle connections."""
        self._transport.close()

    def get(
        self, path: str, query: Mapping[str, Any], read_s: float = CALL_S
    ) -> transport.Reply | feeds.Unavailable:
        """Reads; any status but 200 and 410 counts as unavailable."""
        target = f"{path}?{urllib.parse.urlencode(query)}"
        return self._call("GET", target, None, read_s, (200, 410))

    def post(
        self, path: str, body: Mapping[str, Any]
    ) -> transport.Reply | feeds.Unavailable:
        """Writes; 409 is an answer."""
        return self._call("POST", path, orjson.dumps(body), CALL_S, (200, 409))

    def put(self, topic: str, key: str, value: bytes) -> str:
        """Writes the newest record of a key.

        Args:
            topic: Of keys.
            key: Short enough for one byte of length.
            value: Empty to remove the key.

        Returns:
            Why it may not have been written; empty if it was.
        """
        raw = key.encode()
        content = bytes([len(raw)]) + raw + value
        query = urllib.parse.urlencode({"topic": topic, "part": 0})
        res = self._call(
            "POST",
            f"/egretspur/log-append?{query}",
            _LENGTH.pack(len(content)) + content,
            CALL_S,
            (200,),
        )
        return res.reason if isinstance(res, feeds.Unavailable) else ""

    def _call(
        self,
        method: str,
        target: str,
        body: bytes | None,
        read_s: float,
        good: tuple[int, ...],
    ) -> transport.Reply | feeds.Unavailable:
        began_s = time.monotonic()
        headers = {"Content-Type": "application/json"} if body else {}
        res = self._transport.call(
            method, self._address, target, body, headers, read_s
        )
        if read_s <= CALL_S:
            self._note_call(time.monotonic() - began_s)
        if isinstance(res, transport.Failed):
            # Whatever lost track of one connection may have lost the others.
            self._transport.empty_pool(self._address)
            return feeds.Unavailable(res.reason)
        if res.status not in good:
            return feeds.Unavailable(f"{target}: status {res.status}")
        if self.eras.observe(read_era(res)) is positions.EraOrder.OLDER:
            return feeds.Unavailable(f"{target}: of before the store's copy")
        self.answered_s = time.monotonic()
        return res


def read_era(res: transport.Reply) -> int:
    """Returns the era of an answer of the store; 0 if it tells none."""
    text = res.headers.get(names.STORE_ERA, "")
    return int(text) if text.isdecimal() else 0


class Topic(Generic[T]):
    """A topic whose newest records are followed; see `feeds.Source`."""

    def __init__(
        self,
        store: Store,
        topic: str,
        decode_value: Callable[[str, Any], T],
        policy: tables.Policy[T],
        is_followed: Callable[[str], bool] = lambda key: True,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Makes a source.

        Args:
            store: Where the topic is.
            topic: Its name; it has one partition.
            decode_value: Returns the product's value for a key and its
                decoded record; raises `codec.DecodeError`.
            policy: What outlasts a copy of the store.
            is_followed: Tells whether a key is of interest.
            clock: Monotonic time, in seconds.
        """
        self._store = store
        self._topic = topic
        self._decode = decode_value
        self._is_followed = is_followed
        self.name = topic
        self._clock = clock
        self.table: tables.Table[T] = tables.Table(topic, policy, clock)

    def read_newest(self) -> feeds.FullState[T] | feeds.Unavailable:
        """Reads all pages; changes made meanwhile are read again after."""
        records: list[handover.Record] = []
        query: dict[str, Any] = {"topic": self._topic, "part": 0}
        at: positions.Position | None = None
        while True:
            res = self._store.get("/egretspur/log-newest", query)
            if isinstance(res, feeds.Unavailable):
                return res
            if res.status != 200:
                return feeds.Unavailable(f"newest: status {res.status}")
            try:
                page = _read_page(res)
            except codec.DecodeError as exc:
                return feeds.Unavailable(f"newest: {exc}")
            if at is None:
                at = positions.Position(read_era(res), page.end)
            if read_era(res) != at.era:
                return feeds.Unavailable("newest: copied between two pages")
            records += page.records
            if not page.has_more or not page.records:
                return self._take_whole(records, at)
            query["after"] = page.records[-1].key

    def read_changes(
        self, since: positions.Position, wait_s: float
    ) -> feeds.Changes[T] | feeds.Expired | feeds.Unavailable:
        """Reads records from a position."""
        query = {
            "topic": self._topic,
            "part": 0,
            "source": since.offset,
            "wait_ms": int(wait_s * 1000),
        }
        res = self._store.get("/egretspur/log-read", query, wait_s + CALL_S)
        if isinstance(res, feeds.Unavailable):
            return res
        era = read_era(res)
        if (
            positions.compare_eras(since.era, era)
            is not positions.EraOrder.SAME
        ):
            # Its records may stand at offsets that other ones had before.
            return feeds.Expired(is_restored=True)
        if res.status == 410:
            return feeds.Expired()
        try:
            first, raw = parse_records(res.body, since.offset)
        except struct.error as exc:
            return feeds.Unavailable(f"cut short: {exc}")
        records = [
            handover.Record(first + i, *split_keyed(r))
            for i, r in enumerate(raw)
        ]
        at = positions.Position(era, first + len(records))
        return feeds.Changes(
            self.table.apply_changes(self._read(records), at), at
        )

    def export(self, since: positions.Position | None) -> bytes | None:
        """Returns what another host misses that has read up to a position."""
        return self.table.export(since)

    def read_snapshot(
        self, data: bytes
    ) -> feeds.FullState[T] | feeds.Changes[T] | feeds.Unavailable:
        """Takes what another host exported."""
        found = handover.unpack_snapshot(data, self._clock())
        if isinstance(found, feeds.Unavailable):
            return found
        mine = self.table.get_position()
        if mine is not None:
            standing = positions.compare_eras(mine.era, found.next.era)
            if standing is positions.EraOrder.OLDER:
                return feeds.Unavailable("snapshot of before the store's copy")
        if found.is_full:
            return self._take_whole(found.records, found.next, found.merge_info)
        changes = self.table.apply_changes(
            self._read(found.records), found.next
        )
        return feeds.Changes(changes, found.next, is_from_peer=True)

    def _take_whole(
        self,
        records: Sequence[handover.Record],
        at: positions.Position,
        told: handover.MergeInfo | None = None,
    ) -> feeds.FullState[T]:
        """Keeps and decodes the newest records, in the order they came.

        Of two entries that speak of one address, the later one counts.
        """
        ordered = sorted(records, key=lambda r: r.offset)
        values = self.table.replace(self._read(ordered), at, told)
        return feeds.FullState(values, at, is_from_peer=told is not None)

    def _read(
        self, records: Sequence[handover.Record]
    ) -> list[tables.DecodedRecord[T]]:
        """Decodes records of keys that are followed."""
        reads: list[tables.DecodedRecord[T]] = []
        for record in records:
            if not self._is_followed(record.key):
                continue
            if not record.raw:
                reads.append(tables.DecodedRecord(record, None))
                continue
            value = self._read_value(record, self.table.get_value(record.key))
            reads.append(
                tables.DecodedRecord(_make_handed(record, value), value)
            )
        return reads

    def _read_value(
        self, record: handover.Record, before: T | feeds.Unreadable | None
    ) -> T | feeds.Unreadable:
        """Returns what a record says; logs it if that can't be read."""
        value = decode.read_record(
            record.raw, lambda data: self._decode(record.key, data)
        )
        if isinstance(value, feeds.Unreadable) and value != before:
            decisions.record(
                decisions.EntryLeftOut(
                    self.name, record.key, value.field, value.problem
                )
            )
        return value


# A record that can't be read is handed to other hosts up to this size, so
# that they tell the same cause; in place of a larger one they are handed one
# that they can't read either.
_HANDED_BYTES: Final = 4096
_UNREADABLE: Final = b"{}"


def _make_handed(record: handover.Record, value: Any) -> handover.Record:
    """Returns a record as other hosts are handed it."""
    if isinstance(value, feeds.Unreadable) and len(record.raw) > _HANDED_BYTES:
        return attrs.evolve(record, raw=_UNREADABLE)
    return record


@attrs.frozen
class _Page:
    """One answer to the question for the newest records."""

    records: tuple[handover.Record, ...]
    end: int
    has_more: bool


def _read_page(res: transport.Reply) -> _Page:
    """Returns a page; raises `codec.DecodeError` if it is malformed."""
    data = checks.Table(res.read_json())
    try:
        records = tuple(
            handover.Record(
                e.get_count("offset"),
                checks.check_string(e.get("key"), "key"),
                base64.b64decode(e.get_text("value", "")),
            )
            for e in data.get_tables("entries")
        )
    except binascii.Error as exc:
        raise checks.FieldError("value", str(exc)) from exc
    return _Page(
        records, data.get_count("end_offset"), data.get_flag("has_more")
    )


def parse_records(data: bytes, offset: int) -> tuple[int, list[bytes]]:
    """Splits the answer to a read into its records.

    Returns:
        The offset of the first record, and the records.

    Raises:
        struct.error: The data ends early.
    """
    _OFFSETS.unpack_from(data)
    at = _OFFSETS.size
    records = []
    while at < len(data):
        (length,) = _LENGTH.unpack_from(data, at)
        at += _LENGTH.size
        if at + length > len(data):
            raise struct.error("a record ends early")
        records.append(data[at : at + length])
        at += length
    return offset, records


def split_keyed(record: bytes) -> tuple[str, bytes]:
    """Returns key and value of a keyed record; no value drops the key."""
    end = 1 + record[0] if record else 0
    return record[1:end].decode("utf-8", "replace"), record[end:]


def make_config_topic(store: Store) -> Topic[config.Configuration]:
    """Returns the source of configurations."""
    decoder = decode.ConfigDecoder()
    return Topic(
        store,
        names.CONFIG_TOPIC,
        lambda key, data: decoder.decode(data),
        tables.Policy(config.is_newer, is_monotonic=True),
        lambda key: key == names.CONFIG_KEY,
    )


def make_upstreams_topic(
    store: Store,
    lapse_s: float,
    clock: Callable[[], float] = time.monotonic,
) -> Topic[upstreams.Upstream]:
    """Returns the source of the list of upstreams.

    Args:
        store: Where the list is.
        lapse_s: After which an entry that is not written again is gone.
        clock: Monotonic time, in seconds.
    """
    return Topic(
        store,
        names.SERVERS_TOPIC,
        decode.decode_upstream,
        tables.Policy(upstreams.supersedes_restored, lapse_s),
        clock=clock,
    )


def make_quarantine_topic(store: Store) -> Topic[quarantine.CrashWeights]:
    """Returns the source of requests in quarantine."""
    return Topic(
        store,
        names.QUARANTINE_TOPIC,
        lambda key, data: decode.decode_ends(data),
        tables.Policy(quarantine.has_new_crashes),
    )


def write_quarantine(
    store: Store, fingerprint: str, ends: quarantine.CrashWeights
) -> str:
    """Writes a request in quarantine, or removes it if it has no ends.

    Returns:
        Why it may not have been written; empty if it was.
    """
    value = decode.encode_ends(ends) if ends else b""
    return store.put(names.QUARANTINE_TOPIC, fingerprint, value)


class Group:
    """One group of the store, in which a partition is a duty."""

    def __init__(self, store: Store, group: str, member: str) -> None:
        self._store = store
        self._group = group
        self._member = member
        self._generation = 0
        # Of the store when it told the generation.
        self._era = 0

    def get_era(self) -> int:
        """Returns the newest era of the store that this host has seen."""
        return self._store.eras.newest

    def join(self, ttl_s: float) -> duty.JoinReply | feeds.Unavailable:
        """Joins, or stays; returns whether the duty is this member's."""
        if self._era != self.get_era():
            # Generations go back with a copy of the store and are given out
            # again.
            self._era = self.get_era()
            self._generation = 0
        res = self._store.post(
            "/egretspur/log-join",
            {
                "group": self._group,
                "member_id": self._member,
                "topics": [names.DUTY_TOPIC],
                "ttl_ms": int(ttl_s * 1000),
                "generation": self._generation,
            },
        )
        if isinstance(res, feeds.Unavailable):
            return res
        if res.status != 200:
            self._generation = 0
            return feeds.Unavailable(f"join: status {res.status}")
        try:
            data = checks.Table(res.read_json())
            self._generation = data.get_count("generation")
            rows = _read_rows(data.get_list("parts"), 2)
        except codec.DecodeError as exc:
            return feeds.Unavailable(f"join: {exc}")
        holds = any(row[:2] == [names.DUTY_TOPIC, 0] for row in rows)
        return duty.JoinReply(holds, self._generation, read_era(res))

    def list_members(self) -> tuple[str, ...] | feeds.Unavailable:
        """Returns the members that hold partitions of the duty topic."""
        res = self._store.get("/egretspur/log-owners", {"group": self._group})
        if isinstance(res, feeds.Unavailable):
            return res
        try:
            data = res.read_json()
            if isinstance(data, dict):
                data = data.get("parts") or data.get("owners") or []
            rows = _read_rows(checks.check_list(data, "owners"), 3)
        except codec.DecodeError as exc:
            return feeds.Unavailable(f"owners: {exc}")
        return tuple(sorted({str(row[2]) for row in rows if row[2]}))

    def leave(self) -> None:
        """Gives the duty up; if the call is lost, it lapses."""
        self._store.post(
            "/egretspur/log-leave",
            {"group": self._group, "member_id": self._member},
        )


def _read_rows(rows: Sequence[Any], length: int) -> list[list[Any]]:
    """Returns rows that have at least so many fields.

    Raises:
        checks.FieldError: One has fewer.
    """
    found = [checks.check_list(row, "row") for row in rows]
    if any(len(row) < length for row in found):
        raise checks.FieldError("row", f"shorter than {length}")
    return found
