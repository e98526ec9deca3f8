"""Client of the platform's store: topics, newest records and groups."""

from __future__ import annotations

import base64
import binascii
import math
import struct
import time
import urllib.parse
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final, Generic, TypeVar

import attrs
import orjson

from egretspur import addresses, checks, codec, decisions, transport
from egretspur.admission import quarantine
from egretspur.catalog import (
    config,
    doubts,
    feeds,
    handover,
    positions,
    tables,
    upstreams,
)
from egretspur.membership import duty, lists
from egretspur.platform import decode, names

T = TypeVar("T")

# A call normally takes 4 ms; a store fifty times slower is still usable.
CALL_TIMEOUT_S: Final = 1.0
CONNECT_TIMEOUT_S: Final = 0.5

# Time after the end of a waiting read until its answer counts as lost. With the
# wait, and the time until other hosts act, it is shorter than the time within
# which a configuration must be in force.
WAIT_GRACE_S: Final = 0.5

# Pause after a read that returned nothing of a log that goes on, in seconds.
EMPTY_READ_PAUSE_S: Final = 0.1

# Time after the store's return from a copy in which living upstreams write
# their entries again. The platform says about two seconds.
REWRITTEN_S: Final = 2.5

# A record that was removed is withheld for so many times the life of an entry.
WITHHELD_FACTOR: Final = 2.0

_LENGTH: Final = struct.Struct(">I")
_OFFSETS: Final = struct.Struct(">QQ")


class Store:
    """Calls the store; shared by the feeds and the duty."""

    def __init__(
        self,
        address: str,
        record_call: Callable[[float], None] = lambda seconds: None,
    ) -> None:
        """Makes a client.

        Args:
            address: IP address and port.
            record_call: Called with the duration of each call, in seconds.
        """
        self._address = address
        self._record_call = record_call
        self._transport = transport.Transport(CONNECT_TIMEOUT_S, CALL_TIMEOUT_S)
        # For reads that wait for a change, each over a new connection: a kept
        # one may have gone silent, which shows only at the read's end.
        self._waiting = transport.Transport(CONNECT_TIMEOUT_S, CALL_TIMEOUT_S)
        # Monotonic time of the store's last response.
        self.answered_s = time.monotonic()
        self.eras = positions.Eras()

    def close(self) -> None:
        """Closes idle connections."""
        self._transport.close()
        self._waiting.close()

    def get(
        self,
        path: str,
        query: Mapping[str, Any],
        wait_s: float = 0.0,
        interrupt: transport.Interrupt | None = None,
    ) -> transport.Reply | feeds.Unavailable:
        """Sends a GET; any status but 200 and 410 counts as unavailable.

        Args:
            path: Path of the call.
            query: Its arguments.
            wait_s: How long the store may wait before it answers.
            interrupt: Ends a call that the store may let wait.
        """
        target = f"{path}?{urllib.parse.urlencode(query)}"
        return self._call("GET", target, None, (200, 410), wait_s, interrupt)

    def post(
        self, path: str, body: Mapping[str, Any]
    ) -> transport.Reply | feeds.Unavailable:
        """Sends a POST; any status but 200 and 409 counts as unavailable."""
        return self._call("POST", path, orjson.dumps(body), (200, 409))

    def put(self, topic: str, key: str, value: bytes) -> str:
        """Writes the newest record of a key.

        Args:
            topic: Name of a keyed topic.
            key: At most 255 bytes, since its length is sent as one byte.
            value: Empty to remove the key.

        Returns:
            Why the write may have failed; empty if it succeeded.
        """
        raw = key.encode()
        content = bytes([len(raw)]) + raw + value
        query = urllib.parse.urlencode({"topic": topic, "part": 0})
        res = self._call(
            "POST",
            f"/egretspur/log-append?{query}",
            _LENGTH.pack(len(content)) + content,
            (200,),
        )
        return res.reason if isinstance(res, feeds.Unavailable) else ""

    def _call(
        self,
        method: str,
        target: str,
        body: bytes | None,
        good: tuple[int, ...],
        wait_s: float = 0.0,
        interrupt: transport.Interrupt | None = None,
    ) -> transport.Reply | feeds.Unavailable:
        began_s = time.monotonic()
        headers = {"Content-Type": "application/json"} if body else {}
        is_waiting = wait_s > 0
        read_s = wait_s + WAIT_GRACE_S if is_waiting else CALL_TIMEOUT_S
        if is_waiting:
            headers["Connection"] = "close"
        client = self._waiting if is_waiting else self._transport
        res = client.call(
            method, self._address, target, body, headers, read_s, interrupt
        )
        if not is_waiting:
            self._record_call(time.monotonic() - began_s)
        if isinstance(res, transport.Failed):
            # The pool's other connections may be dead for the same reason.
            self._transport.empty_pool(self._address)
            return feeds.Unavailable(res.reason, res.is_timeout)
        if res.status not in good:
            return feeds.Unavailable(f"{target}: status {res.status}")
        if self.eras.observe(read_era(res)) is positions.EraOrder.OLDER:
            return feeds.Unavailable(f"{target}: response of an older era")
        self.answered_s = time.monotonic()
        return res


def read_era(res: transport.Reply) -> int:
    """Returns the era of a response of the store; 0 if it has none."""
    text = res.headers.get(names.STORE_ERA, "")
    return int(text) if text.isdecimal() else 0


class Topic(Generic[T]):
    """Follows the newest records of a topic; see `feeds.Source`."""

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
            store: Store that holds the topic.
            topic: Its name; it has one partition.
            decode_value: Returns the product's value for a key and its record,
                parsed from JSON; raises `codec.DecodeError`.
            policy: What is kept when the store is restored from a copy.
            is_followed: Returns whether a key is of interest.
            clock: Monotonic time, in seconds.
        """
        self._store = store
        self._topic = topic
        self._decode = decode_value
        self._is_followed = is_followed
        self._interrupt = transport.Interrupt()
        self.name = topic
        self._clock = clock
        self.table: tables.Table[T] = tables.Table(topic, policy, clock)

    def read_newest(self) -> feeds.FullState[T] | feeds.Unavailable:
        """Reads all pages, and what they lack if they are before their end."""
        found = self._read_pages()
        if isinstance(found, feeds.Unavailable):
            return found
        named = found.at
        if found.start < named.offset:
            found = self._add_missing(found)
        survivors: list[tables.DecodedRecord[T]] = []
        known = self.table.get_position()
        if known is not None and known.era == found.at.era:
            # A page that is older than what is known takes nothing from it.
            survivors = self.table.list_from(found.start)
        is_complete = found.start >= found.at.offset
        if not is_complete:
            # Before the table is replaced, which other hosts are sent.
            self._doubt(
                doubts.open_doubt(found.start, found.at.offset, self._clock())
            )
        state = self._replace_values(found.records, found.at, None, survivors)
        if is_complete:
            self._settle(found.missed, True)
        is_cut = found.at.offset < named.offset
        return attrs.evolve(state, due_s=0.0) if is_cut else state

    def compute_recheck_s(self, is_reader: bool) -> float:
        """Returns the seconds until `read_again` is due."""
        doubt = self.table.get_doubt()
        return doubts.compute_due_s(doubt, self._clock(), is_reader)

    def read_again(self) -> feeds.FullState[T] | feeds.Unavailable:
        """Reads the newest records again, of which some may be missing.

        What was read since is kept, and so is the position.
        """
        now_s = self._clock()
        doubt = self.table.get_doubt()
        at = self.table.get_position()
        if doubt is None or at is None:
            return self.read_newest()
        self.table.set_doubt(
            attrs.evolve(doubt, next_s=now_s + doubts.RECHECK_S)
        )
        found = self._read_pages()
        if isinstance(found, feeds.Unavailable):
            return found
        if found.at.era != at.era:
            return feeds.Unavailable("newest: of another era")
        late = [
            r
            for r in found.records
            if self._is_followed(r.key)
            and doubt.start <= r.offset < doubt.end
            and r.offset > self.table.get_offset(r.key)
        ]
        is_complete = found.start >= doubt.end
        is_over = now_s >= doubt.until_s
        survivors = self.table.list_from(found.start)
        if is_over and not is_complete:
            survivors = _drop_missing(survivors, found, doubt)
        state = self._replace_values(found.records, at, None, survivors)
        if late:
            self.table.note_late()
        if is_complete or is_over:
            self._settle(len(late), is_complete)
        else:
            self.table.narrow_doubt(found.start)
        return state

    def _read_pages(self) -> _Newest | feeds.Unavailable:
        """Reads all pages.

        The returned position is the first page's, so that changes made while
        the other pages are read are read again.
        """
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
                return feeds.Unavailable("newest: era changed between pages")
            records += page.records
            if not page.has_more or not page.records:
                last = max((r.offset for r in records), default=-1)
                return _Newest(records, at, last + 1)
            query["after"] = page.records[-1].key

    def _add_missing(self, found: _Newest) -> _Newest:
        """Adds the records between the newest one of the pages and their end.

        They are tombstones if the pages are complete. Nothing is added if the
        history has them no longer.
        """
        res = self._read_log(found.start, 0.0)
        if (
            isinstance(res, feeds.Unavailable)
            or res.status != 200
            or read_era(res) != found.at.era
        ):
            return found
        try:
            added = _read_records(res.body, found.start)
        except struct.error:
            return found
        if not added:
            return found
        newest = {r.key: r for r in (*found.records, *added)}
        records = [r for r in newest.values() if r.raw]
        missed = sum(
            r.offset >= found.start and self._is_followed(r.key)
            for r in records
        )
        end = found.start + len(added)
        at = positions.Position(found.at.era, end)
        return _Newest(records, at, end, missed)

    def _doubt(self, doubt: doubts.Doubt) -> None:
        self.table.set_doubt(doubt)
        decisions.record(
            decisions.NewestDoubted(self.name, doubt.start, doubt.end)
        )

    def _settle(self, found: int, is_confirmed: bool) -> None:
        """Ends the doubt, if there is one.

        Args:
            found: How many records had been missing.
            is_confirmed: Whether no record is missing for sure.
        """
        doubt = self.table.get_doubt()
        if doubt is None and not found:
            return
        began_s = self._clock()
        if doubt is not None:
            began_s = doubt.until_s - doubts.MAX_DOUBT_S
        after_s = max(0.0, self._clock() - began_s)
        self.table.set_doubt(None)
        decisions.record(
            decisions.NewestSettled(self.name, found, is_confirmed, after_s)
        )

    def _read_log(
        self, offset: int, wait_s: float
    ) -> transport.Reply | feeds.Unavailable:
        """Reads records from an offset; see `Store.get`."""
        query = {
            "topic": self._topic,
            "part": 0,
            "source": offset,
            "wait_ms": int(wait_s * 1000),
        }
        return self._store.get(
            "/egretspur/log-read",
            query,
            wait_s,
            self._interrupt if wait_s > 0 else None,
        )

    def read_changes(
        self, since: positions.Position, wait_s: float
    ) -> feeds.Changes[T] | feeds.Expired | feeds.Unavailable:
        """Reads records from a position."""
        res = self._read_log(since.offset, wait_s)
        if isinstance(res, feeds.Unavailable):
            return res
        era = read_era(res)
        if (
            positions.compare_eras(since.era, era)
            is not positions.EraOrder.SAME
        ):
            # The new era may have other records at the same offsets.
            return feeds.Expired(is_restored=True)
        if res.status == 410:
            return feeds.Expired()
        try:
            records = _read_records(res.body, since.offset)
            end = read_end(res.body)
        except struct.error as exc:
            return feeds.Unavailable(f"cut short: {exc}")
        if end < since.offset:
            # Of an older log, whose records at the same offsets may differ.
            return feeds.Expired()
        at = positions.Position(era, since.offset + len(records))
        due_s = math.inf
        if at.offset < end:
            # A response has a part of a long log. One with nothing is odd.
            due_s = 0.0 if records else EMPTY_READ_PAUSE_S
        values = self.table.apply_changes(self._decode_records(records), at)
        return feeds.Changes(values, at, due_s=due_s)

    def stop_waiting(self) -> bool:
        """Ends a read that waits for changes; returns whether there was one."""
        return self._interrupt.fire()

    def export(self, since: positions.Position | None) -> bytes | None:
        """Returns a snapshot for a host that has read up to a position."""
        return self.table.export(since)

    def read_snapshot(
        self, data: bytes
    ) -> feeds.FullState[T] | feeds.Changes[T] | feeds.Unavailable:
        """Applies a snapshot that another host exported."""
        snapshot = handover.unpack_snapshot(data, self._clock())
        if isinstance(snapshot, feeds.Unavailable):
            return snapshot
        known = self.table.get_position()
        if known is not None:
            standing = positions.compare_eras(known.era, snapshot.next.era)
            if standing is positions.EraOrder.OLDER:
                return feeds.Unavailable("snapshot of an older era")
        if snapshot.is_full:
            return self._replace_by_snapshot(snapshot)
        self._inherit(snapshot)
        changes = self.table.apply_changes(
            self._decode_records(snapshot.records), snapshot.next
        )
        return feeds.Changes(changes, snapshot.next, is_from_peer=True)

    def _replace_by_snapshot(
        self, snapshot: handover.Snapshot
    ) -> feeds.FullState[T]:
        doubt = snapshot.doubt
        known = self.table.get_position()
        survivors: list[tables.DecodedRecord[T]] = []
        if known is not None and known.era == snapshot.next.era:
            # Pages have records from after the position, which the other host
            # may not have read.
            survivors = self.table.list_from(snapshot.next.offset)
            if doubt is not None:
                survivors += [
                    r
                    for r in self.table.list_from(doubt.start)
                    if r.record.offset < doubt.end
                ]
        self._inherit(snapshot)
        state = self._replace_values(
            snapshot.records, snapshot.next, snapshot.merge_info, survivors
        )
        if doubt is None:
            self._settle(0, True)
        return state

    def _inherit(self, snapshot: handover.Snapshot) -> None:
        """Takes over the doubt of the host that sent a snapshot.

        Called before the snapshot is applied.
        """
        doubt = snapshot.doubt
        if doubt is None:
            return
        known = self.table.get_position()
        mine = self.table.get_doubt()
        if known is None or known.era != snapshot.next.era:
            self._doubt(doubt)
        elif mine is not None:
            start = min(mine.start, doubt.start)
            end = max(mine.end, doubt.end)
            self.table.set_doubt(attrs.evolve(mine, start=start, end=end))
        elif known.offset < doubt.end:
            # Otherwise this host has read what the other one may lack.
            self._doubt(doubt)

    def _replace_values(
        self,
        records: Sequence[handover.Record],
        at: positions.Position,
        merge_info: handover.MergeInfo | None = None,
        survivors: Sequence[tables.DecodedRecord[T]] = (),
    ) -> feeds.FullState[T]:
        """Replaces the table's values by the newest records.

        Records are applied in the order of their offsets: if two entries have
        the same address, the later one takes precedence.
        """
        ordered = sorted(records, key=lambda r: r.offset)
        values = self.table.replace(
            self._decode_records(ordered), at, merge_info, survivors
        )
        return feeds.FullState(values, at, is_from_peer=merge_info is not None)

    def _decode_records(
        self, records: Sequence[handover.Record]
    ) -> list[tables.DecodedRecord[T]]:
        """Decodes the records of followed keys."""
        reads: list[tables.DecodedRecord[T]] = []
        for record in records:
            if not self._is_followed(record.key):
                continue
            if not record.raw:
                reads.append(tables.DecodedRecord(record, None))
                continue
            value = self._decode_record(
                record, self.table.get_value(record.key)
            )
            reads.append(
                tables.DecodedRecord(_limit_unreadable(record, value), value)
            )
        return reads

    def _decode_record(
        self, record: handover.Record, before: T | feeds.Unreadable | None
    ) -> T | feeds.Unreadable:
        """Decodes a record; logs it if it is newly unreadable."""
        value = decode.decode_record(
            record.raw, lambda data: self._decode(record.key, data)
        )
        if isinstance(value, feeds.Unreadable) and value != before:
            decisions.record(
                decisions.EntryLeftOut(
                    self.name, record.key, value.field, value.problem
                )
            )
        return value


# Unreadable records up to this size are passed to other hosts as they are, so
# that these log the same cause. Larger ones are replaced by a placeholder that
# is unreadable too.
_MAX_UNREADABLE_BYTES: Final = 4096
_UNREADABLE_PLACEHOLDER: Final = b"{}"


def _limit_unreadable(record: handover.Record, value: Any) -> handover.Record:
    """Returns the record to pass to other hosts."""
    if (
        isinstance(value, feeds.Unreadable)
        and len(record.raw) > _MAX_UNREADABLE_BYTES
    ):
        return attrs.evolve(record, raw=_UNREADABLE_PLACEHOLDER)
    return record


@attrs.frozen
class _Page:
    """One page of the newest records."""

    records: tuple[handover.Record, ...]
    end: int
    has_more: bool


@attrs.frozen
class _Newest:
    """The newest records of a topic, from all pages."""

    records: Sequence[handover.Record]
    # End that the first page named, or of the records that were added.
    at: positions.Position
    # After the newest record.
    start: int
    # Number of the records that the pages lacked.
    missed: int = 0


def _drop_missing(
    known: Sequence[tables.DecodedRecord[T]],
    found: _Newest,
    doubt: doubts.Doubt,
) -> list[tables.DecodedRecord[T]]:
    """Returns the known records without those whose key counts as removed.

    Their key is on no page, and a removal of it would have been in the part of
    the history that is gone.
    """
    keys = {r.key for r in found.records}
    return [
        r
        for r in known
        if r.value is None
        or r.record.offset >= doubt.end
        or r.record.key in keys
    ]


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


def read_end(data: bytes) -> int:
    """Returns the end of the log when a read was answered.

    Raises:
        struct.error: The data ends early.
    """
    end: int = _OFFSETS.unpack_from(data)[0]
    return end


def _read_records(data: bytes, offset: int) -> list[handover.Record]:
    """Returns the records of a response; see `parse_records`."""
    return [
        handover.Record(at, *split_keyed(raw))
        for at, raw in enumerate(parse_records(data), offset)
    ]


def parse_records(data: bytes) -> list[bytes]:
    """Returns the records of the response to a read.

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
    return records


def split_keyed(record: bytes) -> tuple[str, bytes]:
    """Returns key and value of a keyed record; an empty value removes it."""
    end = 1 + record[0] if record else 0
    return record[1:end].decode("utf-8", "replace"), record[end:]


def make_config_topic(store: Store) -> Topic[config.Configuration]:
    """Returns the topic of configurations."""
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
    """Returns the topic of the list of upstreams.

    Args:
        store: Store that holds the list.
        lapse_s: Seconds after which an entry expires unless written again.
        clock: Monotonic time, in seconds.
    """
    return Topic(
        store,
        names.UPSTREAMS_TOPIC,
        decode.decode_upstream,
        tables.Policy(
            upstreams.supersedes_restored,
            REWRITTEN_S,
            withheld_s=WITHHELD_FACTOR * lapse_s,
        ),
        clock=clock,
    )


def make_quarantine_topic(store: Store) -> Topic[quarantine.CrashWeights]:
    """Returns the topic of quarantined requests."""
    return Topic(
        store,
        names.QUARANTINE_TOPIC,
        lambda key, data: decode.decode_quarantine_record(data),
        tables.Policy(quarantine.has_new_crashes),
    )


def write_quarantine(
    store: Store, fingerprint: str, crashes: quarantine.CrashWeights
) -> str:
    """Writes a quarantined request, or removes it if it has no crashes.

    Returns:
        Why the write may have failed; empty if it succeeded.
    """
    value = decode.encode_quarantine_record(crashes) if crashes else b""
    return store.put(names.QUARANTINE_TOPIC, fingerprint, value)


class Group:
    """A group of the store; the owner of its partition has the duty."""

    def __init__(self, store: Store, group: str, member: str) -> None:
        self._store = store
        self._group = group
        self._member = member
        self._generation = 0
        # Era of the store that assigned the generation.
        self._era = 0

    def get_era(self) -> int:
        """Returns the newest era of the store that this host has seen."""
        return self._store.eras.newest

    def join(self, ttl_s: float) -> duty.JoinReply | feeds.Unavailable:
        """Joins, or renews; returns whether this member has the duty."""
        if self._era != self.get_era():
            # A restored store assigns earlier generations again.
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
        is_held = any(row[:2] == [names.DUTY_TOPIC, 0] for row in rows)
        return duty.JoinReply(is_held, self._generation, read_era(res))

    def list_members(self) -> lists.MemberList | feeds.Unavailable:
        """Returns the members that own partitions of the duty topic."""
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
        owners = [str(row[2]) for row in rows if _is_host(row[2])]
        found = tuple(sorted(set(owners)))
        # Partitions are dealt evenly, so each member has one if any has two.
        is_dealt = len(owners) == len(rows)
        return lists.MemberList(found, is_dealt and len(found) < len(rows))

    def leave(self) -> None:
        """Gives up the duty; if the call is lost, the membership expires."""
        self._store.post(
            "/egretspur/log-leave",
            {"group": self._group, "member_id": self._member},
        )


def _is_host(member: Any) -> bool:
    """Returns whether a member of a group is a host; logs one that is not."""
    if not member:
        return False
    try:
        addresses.parse(str(member))
    except ValueError as exc:
        decisions.record(
            decisions.EntryLeftOut("owners", str(member), "member", str(exc))
        )
        return False
    return True


def _read_rows(rows: Sequence[Any], length: int) -> list[list[Any]]:
    """Returns rows, checked to have a minimum number of fields.

    Raises:
        checks.FieldError: A row is shorter.
    """
    found = [checks.check_list(row, "row") for row in rows]
    if any(len(row) < length for row in found):
        raise checks.FieldError("row", f"shorter than {length}")
    return found
