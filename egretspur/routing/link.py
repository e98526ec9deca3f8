"""The router's long poll of the control daemon of its host.

While the daemon is unreachable, the router keeps serving from its last table.
Read next: `egretspur.routing.tables`.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from typing import Final

from egretspur import codec, transport
from egretspur.routing import actor as traffics
from egretspur.routing import tables

_LOG: Final = logging.getLogger(__name__)

# Upper bound on the time that the daemon holds a report before it answers.
LONG_POLL_S: Final = 1.0

# Delay after a report that was not answered.
RETRY_DELAY_S: Final = 0.25


class Link:
    """Reports to the control daemon and applies its updates."""

    def __init__(
        self,
        control: str,
        traffic: traffics.Traffic,
        on_update: Callable[[tables.RoutingUpdate], None],
    ) -> None:
        self._control = control
        self._traffic = traffic
        self._on_update = on_update
        self._transport = transport.Transport(0.5, LONG_POLL_S + 2.0)
        self._stop = threading.Event()
        self._version = 0
        self._table_version = 0
        self.address = ""
        self._thread = threading.Thread(
            target=self._run, name="link", daemon=True
        )

    def start(self, address: str) -> None:
        """Starts reporting; `address` is this router's own address."""
        self.address = address
        self._thread.start()

    def close(self) -> None:
        """Stops reporting."""
        self._stop.set()
        self._transport.close()

    def report_now(self) -> None:
        """Sends an urgent report in addition to the pending long poll."""
        threading.Thread(
            target=self._send, args=(0,), name="mark", daemon=True
        ).start()

    def _run(self) -> None:
        while not self._stop.is_set():
            update = self._send(self._version)
            if update is None:
                self._stop.wait(RETRY_DELAY_S)
                continue
            self._version = update.version
            self._table_version = update.table_version
            self._on_update(update)
            self._traffic.tell(update)

    def _send(self, version: int) -> tables.RoutingUpdate | None:
        report = self._traffic.get_report()
        message = tables.RouterReport(
            self.address,
            version,
            self._table_version,
            report.in_force,
            report.leaving,
            report.demand,
            report.ended,
            report.limits,
            report.evidence,
        )
        res = self._transport.call(
            "POST", self._control, "/router/report", codec.dump(message)
        )
        if isinstance(res, transport.Failed) or res.status != 200:
            return None
        try:
            return codec.load(res.body, tables.RoutingUpdate)
        except codec.DecodeError as exc:
            _LOG.error("malformed update from the control daemon: %s", exc)
            return None
