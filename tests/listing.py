"""The platform's list of upstreams in memory, and hosts that read it.

Entries are raw bytes, valid or not; hosts read them through the adapter, as
changes or as a full state. Read next:
`tests.catalog.machine`.
"""

from __future__ import annotations

import base64
import random
import struct
import time
from collections.abc import Callable
from typing import Any, Final

import attrs
import orjson

from egretspur import bounds, transport
from egretspur.catalog import feeds, positions, upstreams
from egretspur.platform import store
from egretspur.routing import broker
from tests import fleets

# Time of the first start of every upstream, in Unix ms.
BORN_MS: Final = 1_764_700_000_000

# Time after which an entry expires unless it is written again, in seconds.
ENTRY_TTL_S: Final = bounds.Bounds().entry_ttl_s


@attrs.define
class Log:
    """The topic of the list; answers reads as the store does."""

    # Key and value of each record; an empty value removes the key.
    records: list[tuple[str, bytes]] = attrs.Factory(list)
    # Incremented by each restore from a copy.
    era: int = 1
    # First record of the history.
    start: int = 0
    # How many records the pages of the newest records show; None for all.
    shown: int | None = None
    # Whether their end is that of what they show, and not the present one.
    is_end_shown: bool = False

    def write(self, key: str, value: Any) -> None:
        """Adds a record: bytes unchanged, None as a removal, others as JSON."""
        raw = value if isinstance(value, bytes) else orjson.dumps(value)
        self.records.append((key, b"" if value is None else raw))

    def restore(self, back: int) -> None:
        """Restores the log from a copy that lacks the last `back` records."""
        del self.records[max(0, len(self.records) - back) :]
        self.era += 1

    def get(
        self,
        path: str,
        query: dict[str, Any],
        wait_s: float = 0.0,
        interrupt: transport.Interrupt | None = None,
    ) -> transport.Reply:
        """Answers a read; see `egretspur.platform.store.Store`."""
        head = {"Store-Era": str(self.era)}
        if path.endswith("log-newest"):
            return transport.Reply(200, head, self._list_newest())
        if not self.start <= int(query["source"]) <= len(self.records):
            return transport.Reply(410, head, b"{}")
        data = struct.pack(">QQ", len(self.records), self.start)
        for key, raw in self.records[int(query["source"]) :]:
            body = bytes([len(key.encode())]) + key.encode() + raw
            data += struct.pack(">I", len(body)) + body
        return transport.Reply(200, head, data)

    def _list_newest(self) -> bytes:
        shown = self.records[: self.shown]
        newest = {k: (i, raw) for i, (k, raw) in enumerate(shown)}
        rows = [
            {"key": k, "value": base64.b64encode(raw).decode(), "offset": i}
            for k, (i, raw) in newest.items()
            if raw
        ]
        return orjson.dumps(
            {
                "entries": rows,
                "has_more": False,
                "end_offset": len(shown if self.is_end_shown else self.records),
            }
        )


class Host:
    """A host that reads the list."""

    def __init__(
        self, log: Log, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.broker = broker.Broker("kl-hall", fleets.BUDGET, random.Random(7))
        self.topic = store.make_upstreams_topic(
            log,  # type: ignore[arg-type]
            ENTRY_TTL_S,
            clock,
        )
        self.position: positions.Position | None = None

    @property
    def roster(self) -> upstreams.Roster:
        """The host's roster of upstreams."""
        return self.broker.fleet.roster

    def read_changes(self, now_s: float) -> None:
        """Reads the changes since the last read, or the full state."""
        if self.position is None:
            self.read_whole(now_s)
            return
        res = self.topic.read_changes(self.position, 0.0)
        if isinstance(res, feeds.Expired):
            self.read_whole(now_s)
            return
        assert isinstance(res, feeds.Changes), res
        self.broker.change_upstreams(res.values, now_s)
        self.position = res.next

    def read_whole(self, now_s: float) -> None:
        """Reads the full state of the list."""
        res = self.topic.read_newest()
        assert isinstance(res, feeds.FullState), res
        self.broker.replace_upstreams(res.values, now_s)
        self.position = res.next

    def take_from(self, other: Host, now_s: float) -> None:
        """Applies the snapshot that another host exports."""
        data = other.topic.export(self.position)
        if data is None:
            # The other host has read less.
            return
        res = self.topic.read_snapshot(data)
        assert not isinstance(res, feeds.Unavailable), res
        if isinstance(res, feeds.FullState):
            self.broker.replace_upstreams(res.values, now_s)
        else:
            self.broker.change_upstreams(res.values, now_s)
        self.position = res.next

    def list_usable(self, now_s: float) -> set[str]:
        """Returns the ids of the upstreams that can be sent requests."""
        state = self.broker.fleet
        services = {e.service for e in self.roster.entries.values()}
        return {e.id for s in services for e in state.list_usable(s, now_s)}


def make_entry(number: int, **fields: Any) -> dict[str, Any]:
    """Returns the entry of engine ``e-NUMBER``, with other fields replaced."""
    return {
        "service": "llm",
        "address": f"10.0.0.{number}:80",
        "zone": "kl-hall",
        "version": "v1",
        "slots": 96,
        "state": "ready",
        "cold_left_ms": 0,
        "seq_no": 1,
        "route_kind": "l4",
        "layer_count": {"source": 0, "to": 20, "version": 1},
        "born": BORN_MS,
        **fields,
    }
