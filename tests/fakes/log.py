"""Stand-in for the platform's append-only log service.

Faults: ``down`` (answers 503), ``delay_s`` (delay of each answer),
``lose_answers`` (number of appends that take effect but answer 503).
"""

from __future__ import annotations

import sys
import threading
import time
from typing import Any

from egretspur import web
from tests.fakes import base


class Log:
    """In-memory streams."""

    def __init__(self, retention_s: float, appends_per_s: float) -> None:
        self.faults: dict[str, Any] = {
            "down": False,
            "delay_s": 0.0,
            "lose_answers": 0,
        }
        self._retention_s = retention_s
        self._pause_s = 1.0 / appends_per_s
        self._free_at = 0.0
        self._streams: dict[str, list[tuple[int, float, Any]]] = {}
        self._heads: dict[str, int] = {}
        self._condition = threading.Condition()
        self.appends = 0

    def append(self, stream: str, records: list[Any]) -> int | None:
        """Appends records; returns None if the answer must be lost."""
        with self._condition:
            now = time.monotonic()
            self._free_at = max(now, self._free_at) + self._pause_s
            wait = self._free_at - now - self._pause_s
            head = self._heads.setdefault(stream, 1)
            kept = self._streams.setdefault(stream, [])
            for i, record in enumerate(records):
                kept.append((head + i, now, record))
            self._heads[stream] = head + len(records)
            self.appends += 1
            self._condition.notify_all()
            lost = self.faults["lose_answers"] > 0
            if lost:
                self.faults["lose_answers"] -= 1
        if wait > 0:
            time.sleep(wait)
        return None if lost else head

    def read(
        self, stream: str, start: int, limit: int, wait_s: float
    ) -> dict[str, Any]:
        """Returns records from an offset on; waits up to `wait_s` for one."""
        end = time.monotonic() + wait_s
        with self._condition:
            while True:
                now = time.monotonic()
                kept = self._streams.setdefault(stream, [])
                while kept and now - kept[0][1] > self._retention_s:
                    kept.pop(0)
                head = self._heads.setdefault(stream, 1)
                first = kept[0][0] if kept else head
                skip = max(0, start - first)
                found = kept[skip : skip + limit]
                if found or now >= end or self.faults["down"]:
                    break
                self._condition.wait(min(0.1, end - now))
        following = found[-1][0] + 1 if found else max(min(start, head), first)
        return {
            "first": first,
            "next": following,
            "head": head,
            "records": [[o, r] for o, _, r in found],
        }


def make_app(log: Log) -> web.App:
    """Returns the service's HTTP endpoints."""
    app = web.App()

    def refuse() -> web.Response | None:
        time.sleep(log.faults["delay_s"])
        return base.reply({}, 503) if log.faults["down"] else None

    def append(req: web.Request) -> web.Response:
        down = refuse()
        if down:
            return down
        records = base.read_json(req)["records"]
        offset = log.append(req.parts["stream"], records)
        if offset is None:
            return base.reply({}, 503)
        return base.reply({"offset": offset})

    def read(req: web.Request) -> web.Response:
        down = refuse()
        if down:
            return down
        result = log.read(
            req.parts["stream"],
            int(req.query.get("from", 1)),
            int(req.query.get("limit", 100)),
            int(req.query.get("wait_ms", 0)) / 1000,
        )
        return refuse() or base.reply(result)

    app.add("POST", "/streams/{stream}", append)
    app.add("GET", "/streams/{stream}", read)
    app.add("GET", "/count", lambda r: base.reply({"appends": log.appends}))
    base.add_faults(app, log.faults)
    return app


def main() -> int:
    """Entry point."""
    parser = base.make_parser(__doc__ or "")
    parser.add_argument("--retention-s", type=float, default=86400.0)
    parser.add_argument("--appends-per-s", type=float, default=500.0)
    args = parser.parse_args()
    log = Log(args.retention_s, args.appends_per_s)
    return base.run(make_app(log), args.listen, 64)


if __name__ == "__main__":
    sys.exit(main())
