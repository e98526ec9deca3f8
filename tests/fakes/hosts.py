"""Stand-in for the platform's host list; changes are visible after a lag.

``PUT /hosts/<name>`` sets a host, ``DELETE /hosts/<name>`` removes it.
Faults: ``down`` (answers 503), ``lag_s`` (delay until a change is visible).
"""

from __future__ import annotations

import sys
import threading
import time
from typing import Any

from egretspur import web
from tests.fakes import base


class Hosts:
    """The host list as a history of changes."""

    def __init__(self, lag_s: float) -> None:
        self.faults: dict[str, Any] = {"down": False, "lag_s": lag_s}
        self._lock = threading.Lock()
        # Changes in order: time from which each is visible, name, and fields
        # or None if removed.
        self._changes: list[tuple[float, str, Any]] = []
        # Data centre and role by name, including removed hosts.
        self._kinds: dict[str, tuple[str, str]] = {}

    def put(self, name: str, fields: Any) -> None:
        """Sets or, with None, removes a host."""
        with self._lock:
            shown = time.monotonic() + self.faults["lag_s"]
            self._changes.append((shown, name, fields))
            if fields:
                self._kinds[name] = (fields["data_centre"], fields["role"])

    def read(self, data_centre: str, role: str, since: int) -> Any:
        """Returns the visible changes after a version."""
        with self._lock:
            now = time.monotonic()
            version = 0
            latest: dict[str, Any] = {}
            for shown, name, fields in self._changes:
                if shown > now:
                    break
                version += 1
                if version > since and self._fits(name, data_centre, role):
                    latest[name] = fields
        return {
            "version": version,
            "partial": since > 0,
            "changed": [f for f in latest.values() if f],
            "removed": [n for n, f in latest.items() if not f],
        }

    def _fits(self, name: str, data_centre: str, role: str) -> bool:
        kind = self._kinds.get(name, ("", ""))
        return data_centre in ("", kind[0]) and role in ("", kind[1])


def make_app(hosts: Hosts) -> web.App:
    """Returns the service's HTTP endpoints."""
    app = web.App()

    def read(req: web.Request) -> web.Response:
        if hosts.faults["down"]:
            return base.reply({}, 503)
        return base.reply(
            hosts.read(
                req.query.get("data_centre", ""),
                req.query.get("role", ""),
                int(req.query.get("since", 0)),
            )
        )

    def put(req: web.Request) -> web.Response:
        hosts.put(req.parts["name"], base.read_json(req))
        return base.reply({})

    def delete(req: web.Request) -> web.Response:
        hosts.put(req.parts["name"], None)
        return base.reply({})

    app.add("GET", "/hosts", read)
    app.add("PUT", "/hosts/{name}", put)
    app.add("DELETE", "/hosts/{name}", delete)
    base.add_faults(app, hosts.faults)
    return app


def main() -> int:
    """Entry point."""
    parser = base.make_parser(__doc__ or "")
    parser.add_argument("--lag-s", type=float, default=0.0)
    args = parser.parse_args()
    return base.run(make_app(Hosts(args.lag_s)), args.listen, 32)


if __name__ == "__main__":
    sys.exit(main())
