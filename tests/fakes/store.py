"""Stand-in for the platform's store: keyed topics, reads and groups.

Operators and upstreams write with ``POST /write`` (topic, key and value; null
removes the key). ``POST /drop`` writes like it, and drops the topic's history
with the new record. ``POST /copy`` restores the store from a copy that is
``back_s`` seconds old and starts the next era; ``keep`` gives the minimum
number of records in the copy by topic.

Faults: ``down`` (answers 503), ``keep`` (number of records kept for reads; a
read of older ones gets 410), ``newest_records`` (by topic, pages of the newest
records are those of the log's first so many records, while they name the
present end; null for all), ``is_end_shown`` (they name the end of what they
show instead), ``short_reads`` (a read returns one record), ``serves_ahead`` (a
read from beyond the log's end returns nothing instead of 410).
"""

from __future__ import annotations

import base64
import struct
import sys
import threading
import time
from typing import Any, Final

import orjson

from egretspur import web
from tests.fakes import base

# Partitions of the duty's topic.
PARTITIONS: Final = 12


class Store:
    """In-memory groups and topics of one partition each."""

    def __init__(self) -> None:
        self.faults: dict[str, Any] = {
            "down": False,
            "keep": 10_000,
            "newest_records": {},
            "is_end_shown": False,
            "short_reads": False,
            "serves_ahead": False,
        }
        # Incremented by each restore from a copy.
        self.era = 1
        self._records: dict[str, list[tuple[str, bytes]]] = {}
        # First offset of each topic whose history was dropped.
        self._starts: dict[str, int] = {}
        # Write time of each record.
        self._written_s: dict[str, list[float]] = {}
        self._changed = threading.Condition()
        # Expiry time of each member, by group.
        self._members: dict[str, dict[str, float]] = {}
        self._generations: dict[str, int] = {}

    def write(self, topic: str, key: str, value: Any) -> int:
        """Appends a record; returns the end offset."""
        raw = b"" if value is None else orjson.dumps(value)
        return self.append(topic, key, raw)

    def count(self, topic: str) -> int:
        """Returns how many records a topic has had."""
        with self._changed:
            return len(self._records.get(topic, []))

    def drop_history(self, topic: str, key: str, value: Any) -> None:
        """Appends a record and drops the history with it, in one step."""
        with self._changed:
            self._starts[topic] = self.write(topic, key, value)

    def append(self, topic: str, key: str, raw: bytes) -> int:
        """Appends a record as bytes; returns the end offset."""
        with self._changed:
            records = self._records.setdefault(topic, [])
            records.append((key, raw))
            times = self._written_s.setdefault(topic, [])
            times.append(time.monotonic())
            self._changed.notify_all()
            return len(records)

    def copy(self, back_s: float, keep: dict[str, int]) -> None:
        """Drops the records of the last `back_s` s; keeps the first `keep`."""
        since_s = time.monotonic() - back_s
        with self._changed:
            for topic, times in self._written_s.items():
                kept = max(keep.get(topic, 0), sum(t < since_s for t in times))
                del times[kept:]
                del self._records[topic][kept:]
            self.era += 1
            self._changed.notify_all()

    def read_newest(self, topic: str) -> dict[str, Any]:
        """Returns the newest record of each key."""
        with self._changed:
            records = self._records.get(topic, [])
            shown = self.faults["newest_records"].get(topic)
            is_end_shown = self.faults["is_end_shown"]
            newest = {k: (i, v) for i, (k, v) in enumerate(records[:shown])}
            return {
                "entries": [
                    {
                        "key": k,
                        "value": base64.b64encode(v).decode(),
                        "offset": i,
                    }
                    for k, (i, v) in newest.items()
                    if v
                ],
                "has_more": False,
                "end_offset": len(records[:shown] if is_end_shown else records),
            }

    def read(self, topic: str, offset: int, wait_s: float) -> bytes | None:
        """Returns records from an offset; None if out of the kept range."""
        end_s = time.monotonic() + wait_s
        with self._changed:
            while True:
                records = self._records.get(topic, [])
                start = self._starts.get(topic, 0)
                if offset < max(start, len(records) - self.faults["keep"]):
                    return None
                if offset > len(records) and not self.faults["serves_ahead"]:
                    return None
                if len(records) > offset or time.monotonic() >= end_s:
                    break
                self._changed.wait(min(0.1, end_s - time.monotonic()))
            data = struct.pack(">QQ", len(records), start)
            end = offset + 1 if self.faults["short_reads"] else None
            for key, raw in records[offset:end]:
                body = bytes([len(key)]) + key.encode() + raw
                data += struct.pack(">I", len(body)) + body
            return data

    def join(self, group: str, member: str, ttl_s: float) -> dict[str, Any]:
        """Adds or renews a member; the earliest member has partition 0."""
        now_s = time.monotonic()
        with self._changed:
            members = self._members.setdefault(group, {})
            before = list(members)
            for name, until_s in list(members.items()):
                if now_s >= until_s:
                    del members[name]
            members[member] = now_s + ttl_s
            if list(members) != before:
                self._generations[group] = self._generations.get(group, 0) + 1
            holds = next(iter(members)) == member
            parts = [["duty", 0, 0]] if holds else []
            return {"generation": self._generations[group], "parts": parts}

    def leave(self, group: str, member: str) -> None:
        """Removes a member."""
        with self._changed:
            self._members.get(group, {}).pop(member, None)

    def list_owners(self, group: str) -> dict[str, Any]:
        """Returns the owner of each partition."""
        with self._changed:
            names = list(self._members.get(group, {})) or [""]
            rows = [
                ["duty", i, names[i % len(names)], 0] for i in range(PARTITIONS)
            ]
            return {"generation": 0, "parts": rows}


def make_app(store: Store) -> web.App:
    """Returns the store's HTTP endpoints."""
    app = web.App()

    def guard(handler: base.Handler) -> base.Handler:
        def handle(req: web.Request) -> web.Response:
            is_down = store.faults["down"]
            res = base.reply({}, 503) if is_down else handler(req)
            res.headers["Store-Era"] = str(store.era)
            return res

        return handle

    def read(req: web.Request) -> web.Response:
        offset = web.get_query_int(req, "source", 0)
        wait_s = web.get_query_int(req, "wait_ms", 0) / 1000
        data = store.read(req.query["topic"], offset, wait_s)
        if data is None:
            return base.reply({"start_offset": 0}, 410)
        return web.Response(200, {}, data)

    def join(req: web.Request) -> web.Response:
        data = base.read_json(req)
        ttl_s = data["ttl_ms"] / 1000
        return base.reply(store.join(data["group"], data["member_id"], ttl_s))

    def leave(req: web.Request) -> web.Response:
        data = base.read_json(req)
        store.leave(data["group"], data["member_id"])
        return base.reply({})

    def write(req: web.Request) -> web.Response:
        data = base.read_json(req)
        end = store.write(data["topic"], data["key"], data["value"])
        return base.reply({"end_offset": end})

    def append(req: web.Request) -> web.Response:
        data = req.read_body()
        end = 0
        while data:
            (length,) = struct.unpack_from(">I", data)
            record, data = data[4 : 4 + length], data[4 + length :]
            key = record[1 : 1 + record[0]].decode()
            raw = record[1 + record[0] :]
            end = store.append(req.query["topic"], key, raw)
        return base.reply({"offset": end - 1, "end_offset": end})

    for method, path, handler in (
        ("POST", "/egretspur/log-append", append),
        (
            "GET",
            "/egretspur/log-newest",
            lambda r: base.reply(store.read_newest(r.query["topic"])),
        ),
        ("GET", "/egretspur/log-read", read),
        ("POST", "/egretspur/log-join", join),
        ("POST", "/egretspur/log-leave", leave),
        (
            "GET",
            "/egretspur/log-owners",
            lambda r: base.reply(store.list_owners(r.query["group"])),
        ),
    ):
        app.add(method, path, guard(handler))

    def copy(req: web.Request) -> web.Response:
        data = base.read_json(req)
        store.copy(data["back_s"], data.get("keep", {}))
        return base.reply({})

    def drop(req: web.Request) -> web.Response:
        data = base.read_json(req)
        store.drop_history(data["topic"], data["key"], data["value"])
        return base.reply({})

    app.add("POST", "/drop", drop)
    app.add("POST", "/write", write)
    app.add("POST", "/copy", copy)
    base.add_faults(app, store.faults)
    return app


def main() -> int:
    """Entry point."""
    args = base.make_parser(__doc__ or "").parse_args()
    return base.run(make_app(Store()), args.listen, 32)


if __name__ == "__main__":
    sys.exit(main())
