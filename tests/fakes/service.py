"""Stand-in for a plain service: counts the runs of each request id.

``POST /orders`` runs an order; ``GET /outcomes/<id>`` returns its outcome.
Faults: ``lose_answers`` (number of orders that run and then hang for
``hang_s`` seconds, past any time-out), ``delay_s`` (seconds before a call is
answered), ``limit`` (rate limit per second that its answers request).
"""

from __future__ import annotations

import sys
import threading
import time
from typing import Any

from egretspur import web
from tests.fakes import base


class Service:
    """Run counts by request id."""

    def __init__(self) -> None:
        self.faults: dict[str, Any] = {
            "lose_answers": 0,
            "hang_s": 5.0,
            "delay_s": 0.0,
            "limit": "",
        }
        self.runs: dict[str, int] = {}
        # Arrival times of the calls.
        self.times: list[float] = []
        self.lock = threading.Lock()

    def run(self, request_id: str) -> bool:
        """Counts a run; returns False if its answer must be lost."""
        with self.lock:
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            if self.faults["lose_answers"] > 0:
                self.faults["lose_answers"] -= 1
                return False
        return True


def make_app(service: Service) -> web.App:
    """Returns the service's HTTP endpoints."""
    app = web.App()

    def run(req: web.Request) -> web.Response:
        request_id = req.get_header("X-Request-Id")
        req.read_body()
        time.sleep(service.faults["delay_s"])
        if not service.run(request_id):
            time.sleep(service.faults["hang_s"])
        return base.reply({"order": request_id})

    def outcome(req: web.Request) -> web.Response:
        request_id = req.parts["id"]
        if request_id in service.runs:
            return base.reply({"order": request_id})
        return base.reply({}, 404)

    def echo(req: web.Request) -> web.Response:
        with service.lock:
            service.times.append(time.time())
        time.sleep(service.faults["delay_s"])
        res = base.reply({"method": req.method, "path": req.path})
        if service.faults["limit"]:
            res.headers["Server-Limit"] = service.faults["limit"]
        return res

    app.add("POST", "/orders", run)
    app.add("GET", "/outcomes/{id}", outcome)
    app.add("GET", "/runs", lambda r: base.reply(service.runs))
    app.add("GET", "/times", lambda r: base.reply(service.times))
    base.add_faults(app, service.faults)
    app.add("*", "/{rest*}", echo)
    return app


def main() -> int:
    """Entry point."""
    args = base.make_parser(__doc__ or "").parse_args()
    return base.run(make_app(Service()), args.listen, 32)


if __name__ == "__main__":
    sys.exit(main())
