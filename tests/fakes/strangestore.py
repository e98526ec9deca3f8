"""A second stand-in of the platform's store, from the platform's page alone.

``python -m tests.fakes.strangestore --doors N --seed N``. It answers as the
page allows and `tests.fakes.store` never does: bodies in chunks, fields in any
order and beside unknown ones, kept connections closed after idle times, reads
that return early with nothing, pages of one entry. Each host has a listener of
its own, a door, at which it may be turned away; operators and upstreams use
another one, with ``POST /write`` and ``POST /faults``.

Faults: ``doors`` (what each does: ``pass``, ``reset``, ``silent`` or a status),
``store`` (the same for all doors, also ``refused``, which closes them),
``delay_s`` (of each answer), ``lose`` (share of the answers that are lost;
their connections return nothing further), ``deaf`` (waits hear of no record),
``stale_s`` (the newest pages are that old, but their end is not). Events:
``trim`` (the history is dropped), ``cut`` (all waits are reset), ``hush`` (open
connections return nothing further), ``deal`` (all partitions of groups are
distributed anew). The answer names the doors at which hosts wait for the next
configuration.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import json
import random
import socket
import struct
import time
import urllib.parse
from collections.abc import Mapping
from typing import Any, Final

import attrs

from tests.fakes import strangelog

# Time that each append takes, in seconds.
APPEND_S: Final = 0.002

# Idle times after which a connection is closed, in seconds.
IDLE_S: Final = (0.8, 4.0)

# Share of the waiting reads that return early with nothing.
EARLY_SHARE: Final = 0.2

CONFIG_TOPIC: Final = "keyed.op"

# Most entries of one page, by topic; other topics have `LARGE_PAGE`.
PAGE_SIZES: Final[Mapping[str, int]] = {CONFIG_TOPIC: 1, "keyed.servers": 2}
LARGE_PAGE: Final = 500

# How long old pages can be given, in seconds.
PAST_S: Final = 10.0

PASS: Final = "pass"
RESET: Final = "reset"
SILENT: Final = "silent"
REFUSED: Final = "refused"


@attrs.define
class Faults:
    """What the store does wrong; see the module."""

    doors: dict[str, str] = attrs.Factory(dict)
    store: str = PASS
    delay_s: float = 0.0
    lose: float = 0.0
    deaf: bool = False
    stale_s: float = 0.0


@attrs.frozen
class Call:
    """A request."""

    method: str
    path: str
    query: Mapping[str, str]
    body: bytes

    def read_json(self) -> dict[str, Any]:
        """Returns the body."""
        value: dict[str, Any] = json.loads(self.body or b"{}")
        return value


@attrs.frozen
class Answer:
    """A response."""

    status: int
    body: bytes
    kind: str = "application/json"


@attrs.define(eq=False)
class Channel:
    """A connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    # Door at which it arrived; empty for operators and upstreams.
    door: str
    is_hushed: bool = False
    # Topic whose next record it waits for; empty if it does not wait.
    waits_for: str = ""

    def reset(self) -> None:
        """Resets it."""
        if self.writer.is_closing():
            return
        self.writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self.writer.transport.abort()


class Store:
    """Serves the doors and the operator."""

    def __init__(self, seed: int, doors: int) -> None:
        self._rng = random.Random(seed)
        self._log = strangelog.Log()
        self._faults = Faults({str(i): PASS for i in range(doors)})
        self._changed = asyncio.Event()
        self._channels: set[Channel] = set()
        self._servers: dict[str, asyncio.Server] = {}
        self._ports: dict[str, int] = {}
        # Newest records of each partition as they were, the oldest first.
        self._past: list[tuple[float, strangelog.Row, dict[str, Any]]] = []

    async def start(self) -> dict[str, Any]:
        """Opens all listeners; returns their addresses."""
        for door in ["", *self._faults.doors]:
            await self._open(door, 0)
        return {
            "message": "started",
            "address": f"127.0.0.1:{self._ports['']}",
            "doors": [
                f"127.0.0.1:{self._ports[door]}" for door in self._faults.doors
            ],
        }

    async def _open(self, door: str, port: int) -> None:
        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            channel = Channel(reader, writer, door)
            self._channels.add(channel)
            try:
                await self._serve(channel)
            except (OSError, asyncio.IncompleteReadError, ValueError):
                pass
            finally:
                self._channels.discard(channel)
                writer.close()

        server = await asyncio.start_server(handle, "127.0.0.1", port)
        self._servers[door] = server
        self._ports[door] = server.sockets[0].getsockname()[1]

    def _get_mode(self, channel: Channel) -> str:
        """Returns what is done with the calls on a connection."""
        if not channel.door:
            return PASS
        if channel.is_hushed:
            return SILENT
        if self._faults.store != PASS:
            return self._faults.store
        return self._faults.doors[channel.door]

    async def _serve(self, channel: Channel) -> None:
        while True:
            idle_s = self._rng.uniform(*IDLE_S)
            async with asyncio.timeout(idle_s if channel.door else None):
                line = await channel.reader.readline()
            if not line:
                return
            call, is_kept = await self._read_call(channel, line)
            answer = await self._answer_at_door(channel, call)
            if answer is None:
                return
            await self._write(channel, answer, is_kept)
            if not is_kept:
                return

    async def _read_call(
        self, channel: Channel, line: bytes
    ) -> tuple[Call, bool]:
        """Returns a call, and whether its connection is kept."""
        method, target, _ = line.decode("latin-1").split()
        fields: dict[str, str] = {}
        while (raw := await channel.reader.readline()) not in (b"\r\n", b""):
            name, _, value = raw.decode("latin-1").partition(":")
            fields[name.strip().lower()] = value.strip()
        length = int(fields.get("content-length", 0))
        body = await channel.reader.readexactly(length)
        path, _, query = target.partition("?")
        call = Call(method, path, dict(urllib.parse.parse_qsl(query)), body)
        return call, fields.get("connection", "").lower() != "close"

    async def _answer_at_door(
        self, channel: Channel, call: Call
    ) -> Answer | None:
        """Returns an answer; None for a connection that gets none."""
        refusal = await self._refuse(channel)
        if refusal is not None or channel.writer.is_closing():
            return refusal
        is_lost = bool(channel.door) and self._rng.random() < self._faults.lose
        if channel.door and self._faults.delay_s:
            await asyncio.sleep(self._faults.delay_s)
        answer = await self._answer(channel, call)
        refusal = await self._refuse(channel)
        if refusal is not None or channel.writer.is_closing():
            return refusal
        if is_lost:
            await self._hold(channel)
            return None
        return answer

    async def _refuse(self, channel: Channel) -> Answer | None:
        """Turns a call away if its door does so now."""
        mode = self._get_mode(channel)
        if mode == PASS:
            return None
        if mode in (RESET, REFUSED):
            channel.reset()
            return None
        if mode == SILENT:
            await self._hold(channel)
            channel.reset()
            return None
        return Answer(int(mode), b'{"reason":"busy"}')

    async def _hold(self, channel: Channel) -> None:
        """Reads on and returns nothing until the other end closes."""
        while await channel.reader.read(4096):
            pass

    async def _write(
        self, channel: Channel, answer: Answer, is_kept: bool
    ) -> None:
        fields = [f"content-type: {answer.kind}", f"Date: {time.time():.0f}"]
        if not is_kept:
            fields.append("connection: close")
        is_chunked = self._rng.random() < 0.5
        fields.append(
            "transfer-encoding: chunked"
            if is_chunked
            else f"CONTENT-LENGTH: {len(answer.body)}"
        )
        self._rng.shuffle(fields)
        head = "\r\n".join([f"HTTP/1.1 {answer.status} x", *fields, "", ""])
        channel.writer.write(head.encode())
        at = 0
        while is_chunked and at < len(answer.body):
            size = self._rng.choice((1, 7, 300, 5000))
            part = answer.body[at : at + size]
            channel.writer.write(b"%x;x=y\r\n%b\r\n" % (len(part), part))
            at += size
        channel.writer.write(b"0\r\n\r\n" if is_chunked else answer.body)
        await channel.writer.drain()

    def _make(self, value: Mapping[str, Any], status: int = 200) -> Answer:
        """Returns an answer whose fields come in any order."""
        items = [*value.items(), ("trace", self._rng.random())]
        self._rng.shuffle(items)
        indent = self._rng.choice((None, 1))
        return Answer(status, json.dumps(dict(items), indent=indent).encode())

    async def _answer(self, channel: Channel, call: Call) -> Answer:
        name = call.path.rpartition("/")[2]
        if name == "log-read":
            return await self._read(channel, call)
        if name == "log-newest":
            return self._list_newest(call)
        if name == "log-append":
            return await self._append(call)
        if name == "log-owners":
            group = self._log.get_group(call.query["group"])
            return self._make({"parts": group.list_owners()})
        if name == "log-join":
            return self._join(call.read_json())
        if name == "log-leave":
            data = call.read_json()
            self._log.get_group(data["group"]).drop(data["member_id"])
            return self._make({})
        if name == "write" and not channel.door:
            return await self._write_value(call.read_json())
        if name == "faults" and not channel.door:
            return await self._set_faults(call.read_json())
        return self._make({"reason": "unknown"}, 404)

    async def _read(self, channel: Channel, call: Call) -> Answer:
        found = self._log.get(call.query["topic"], int(call.query["part"]))
        at = int(call.query["source"])
        wait_s = int(call.query.get("wait_ms", 0)) / 1000.0
        if self._rng.random() < EARLY_SHARE:
            wait_s = self._rng.uniform(0.0, wait_s)
        end_s = time.monotonic() + wait_s
        channel.waits_for = call.query["topic"] if wait_s else ""
        while (left_s := end_s - time.monotonic()) > 0.0:
            if found.end > at and not self._faults.deaf:
                break
            changed = self._changed
            try:
                async with asyncio.timeout(min(left_s, 0.05)):
                    await changed.wait()
            except TimeoutError:
                continue
        channel.waits_for = ""
        if at < found.start:
            return self._make({"start_offset": found.start}, 410)
        is_deaf = self._faults.deaf and wait_s > 0.0
        records = [] if is_deaf else found.records[at - found.start :]
        limit = 1024 * int(call.query.get("max_kb", 1024))
        body = struct.pack(">QQ", found.end, found.start)
        for record in records:
            if len(body) > 16 and len(body) + len(record) > limit:
                break
            body += struct.pack(">I", len(record)) + record
        return Answer(200, body, "application/octet-stream")

    def _list_newest(self, call: Call) -> Answer:
        row = (call.query["topic"], int(call.query["part"]))
        found = self._log.get(*row)
        shown = strangelog.Partition(
            newest=self._get_past(row) or dict(found.newest)
        )
        keys, has_more = shown.list_page(
            call.query.get("after"), PAGE_SIZES.get(row[0], LARGE_PAGE)
        )
        entries = [
            {
                "offset": shown.newest[key][0],
                "value": base64.b64encode(shown.newest[key][1]).decode(),
                "key": key,
            }
            for key in keys
        ]
        return self._make(
            {"has_more": has_more, "entries": entries, "end_offset": found.end}
        )

    def _get_past(self, row: strangelog.Row) -> dict[str, Any] | None:
        """Returns the newest records as they were; None for those of now."""
        if not self._faults.stale_s:
            return None
        until_s = time.monotonic() - self._faults.stale_s
        past = [p for at_s, r, p in self._past if r == row and at_s <= until_s]
        return past[-1] if past else None

    async def _append(self, call: Call) -> Answer:
        await asyncio.sleep(APPEND_S)
        topic, part = call.query["topic"], int(call.query["part"])
        if topic in (CONFIG_TOPIC, "keyed.servers"):
            return self._make({"reason": "reserved"}, 403)
        at = 0
        records = []
        while at < len(call.body):
            (size,) = struct.unpack_from(">I", call.body, at)
            records.append(call.body[at + 4 : at + 4 + size])
            at += 4 + size
        return self._add((topic, part), records)

    def _add(self, row: strangelog.Row, records: list[bytes]) -> Answer:
        found = self._log.get(*row)
        offset = found.end
        for record in records:
            found.append(record, row[0].startswith("keyed."))
        now_s = time.monotonic()
        self._past.append((now_s, row, dict(found.newest)))
        self._past = [p for p in self._past if now_s - p[0] < PAST_S]
        self._changed.set()
        self._changed = asyncio.Event()
        return self._make({"end_offset": found.end, "offset": offset})

    async def _write_value(self, data: dict[str, Any]) -> Answer:
        if self._faults.store != PASS:
            return self._make({"reason": "down"}, 503)
        await asyncio.sleep(APPEND_S + self._faults.delay_s)
        key = data["key"].encode()
        value = data["value"]
        raw = b"" if value is None else json.dumps(value).encode()
        return self._add((data["topic"], 0), [bytes([len(key)]) + key + raw])

    def _join(self, data: dict[str, Any]) -> Answer:
        group = self._log.get_group(data["group"])
        rows = group.join(
            data["member_id"],
            data["topics"],
            data["ttl_ms"] / 1000.0,
            data["generation"],
        )
        return self._make({"parts": rows, "generation": group.generation})

    async def _set_faults(self, data: dict[str, Any]) -> Answer:
        events = data.pop("events", [])
        self._faults = attrs.evolve(
            self._faults,
            **{
                **data,
                "doors": {**self._faults.doors, **data.get("doors", {})},
            },
        )
        await self._set_listening(self._faults.store != REFUSED)
        for channel in list(self._channels):
            is_turned_away = self._get_mode(channel) in (RESET, REFUSED)
            if is_turned_away or ("cut" in events and channel.waits_for):
                channel.reset()
            channel.is_hushed |= "hush" in events and bool(channel.door)
        if "trim" in events:
            self._log.trim_all()
        if "deal" in events:
            for group in self._log.groups.values():
                group.deal(1)
        return self._make({"waiting": self._list_waiting()})

    def _list_waiting(self) -> list[str]:
        """Returns the doors at which a host waits for a configuration."""
        return sorted(
            {c.door for c in self._channels if c.waits_for == CONFIG_TOPIC}
        )

    async def _set_listening(self, is_listening: bool) -> None:
        """Opens or closes the doors."""
        for door in self._faults.doors:
            server = self._servers[door]
            if is_listening and not server.is_serving():
                await self._open(door, self._ports[door])
            elif not is_listening and server.is_serving():
                server.close()


async def serve(seed: int, doors: int) -> None:
    """Serves until the process ends."""
    store = Store(seed, doors)
    print(json.dumps(await store.start()), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Entry point."""
    parser = argparse.ArgumentParser(description="second stand-in of the store")
    parser.add_argument("--doors", type=int, default=1, help="hosts")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    asyncio.run(serve(args.seed, args.doors))


if __name__ == "__main__":
    main()
