"""Client of the platform's upstreams for calls that are no caller's requests.

Reports, health checks and orders. Callers' requests are sent by
`egretspur.platform.upstream`.
"""

from __future__ import annotations

import math
import time
from collections.abc import Mapping, Sequence
from typing import Any, Final

import orjson

from egretspur import codec, decisions, transport
from egretspur.catalog import upstreams
from egretspur.platform import decode, names, upstream
from egretspur.routing import paths
from egretspur.tunnels import dialer

# Longest wait for a connection and for an answer of calls that are no caller's
# requests.
CONTROL_CONNECT_S: Final = 0.3
CONTROL_READ_S: Final = 0.5

# Longest wait for the answer of a plain service that is to get a retry.
READINESS_TIMEOUT_S: Final = 0.25

# A live engine returns its report within 2 ms, 1 ms of them to connect; a busy
# host needs more time to read it.
PEEK_TIMEOUT_S: Final = 0.03

# Longest idle time of a connection that a peek reuses. Engines are peeked in
# bursts of a few seconds.
PEEK_REUSE_S: Final = 1.0

# Timeout on a reused connection, before a new one is tried: a middlebox may
# have dropped the old one, and a dead engine must not be noticed much later.
PEEK_REUSE_TIMEOUT_S: Final = 0.01


class ControlClient:
    """Asks upstreams for reports, checks them and orders engines."""

    def __init__(self, own: dialer.Dialer | None = None) -> None:
        """Makes a client.

        Args:
            own: Opens connections, also through other hosts; None to use this
                host's own links only.
        """
        self._dialer = own
        dial = own.dial if own else None
        self._transport = transport.Transport(
            CONTROL_CONNECT_S, CONTROL_READ_S, dial
        )
        # Keeps no connection; see `probe`.
        self._probe_transport = transport.Transport(
            CONTROL_CONNECT_S, CONTROL_READ_S, dial
        )
        self._peek_transport = transport.Transport(
            PEEK_TIMEOUT_S,
            PEEK_TIMEOUT_S,
            own.dial_known if own else None,
        )
        # When the last peek of each address was answered; missing after one
        # that failed.
        self._answered_s: dict[str, float] = {}

    def close(self) -> None:
        """Closes idle connections."""
        self._transport.close()
        self._probe_transport.close()
        self._peek_transport.close()

    def get_report(self, address: str) -> upstreams.EngineReport | str:
        """Returns an engine's report, or why it failed."""
        return self._get_report(self._transport, address, "report")

    def probe(
        self, address: str
    ) -> upstreams.EngineReport | upstreams.ProbeFailed:
        """Returns the report of an engine that failed, or why there is none.

        Uses a new connection, as requests do: kept ones may live on while no
        new one can be opened.
        """
        res = self._call_anew(address, names.REPORT_PATH, "report")
        if isinstance(res, transport.Failed):
            return _make_probe_failed(res)
        report = _decode_report(address, res)
        if isinstance(report, str):
            return upstreams.ProbeFailed(report, is_connected=True)
        return report

    def peek(self, address: str) -> upstreams.EngineReport | str:
        """Returns a report within a short timeout, or why it failed.

        Uses a new connection unless the previous peek was answered within
        `PEEK_REUSE_S`. A connection that was dropped would look like a dead
        engine, so a failure on a reused one is checked on a new one.
        """
        answered_s = self._answered_s.pop(address, -math.inf)
        is_reused = time.monotonic() - answered_s < PEEK_REUSE_S
        report: upstreams.EngineReport | str = ""
        if is_reused:
            report = self._get_report(
                self._peek_transport, address, "peek", PEEK_REUSE_TIMEOUT_S
            )
        if isinstance(report, str):
            self._peek_transport.empty_pool(address)
            report = self._get_report(self._peek_transport, address, "peek")
        if not isinstance(report, str):
            self._answered_s[address] = time.monotonic()
        return report

    def _get_report(
        self,
        client: transport.Transport,
        address: str,
        question: str,
        read_s: float | None = None,
    ) -> upstreams.EngineReport | str:
        res = client.call("GET", address, names.REPORT_PATH, read_s=read_s)
        _log_control_call(address, question, res)
        return _decode_report(address, res)

    def _call_anew(
        self,
        address: str,
        path: str,
        question: str,
        read_s: float | None = None,
    ) -> transport.Reply | transport.Failed:
        """Asks an upstream over a new connection; tells the dialer of it."""
        res = self._probe_transport.call("GET", address, path, read_s=read_s)
        self._probe_transport.empty_pool(address)
        _log_control_call(address, question, res)
        own = self._dialer
        if own is not None and not own.needs_helper(address):
            if not isinstance(res, transport.Failed):
                own.record_answered(address)
            elif res.maybe_sent:
                own.record_unanswered_probe(address)
        return res

    def check(
        self, address: str, health_path: str
    ) -> upstreams.ProbeFailed | None:
        """Returns why a plain service is not alive; None if it is.

        A late response or an error status counts as alive: a full or slow
        service responds late, and a draining one refuses. The list of upstreams
        and the requests themselves show those states. Uses a new connection,
        as `probe` does.
        """
        res = self._call_anew(address, health_path, "health")
        if not isinstance(res, transport.Failed) or res.is_timeout:
            return None
        return _make_probe_failed(res)

    def is_responsive(self, address: str, health_path: str) -> bool:
        """Returns whether a plain service answers within a short time.

        Any answer shows that it reads what it is sent.
        """
        res = self._call_anew(
            address, health_path, "readiness", READINESS_TIMEOUT_S
        )
        return not isinstance(res, transport.Failed)

    def place(
        self, address: str, layers: upstreams.Layers, expected: int
    ) -> str:
        """Orders an engine to hold a range of layers.

        Returns:
            Empty if the order was accepted, else why it failed or may have.
        """
        return self._order(
            address,
            {
                "operation": "place",
                "source": layers.first,
                "to": layers.last,
                "mode": "queue",
                "expected": expected,
            },
        )

    def repath(
        self, address: str, request_id: str, parts: Sequence[paths.Part]
    ) -> str:
        """Orders the first engine of a request to reroute it."""
        return self._order(
            address,
            {
                "operation": "repath",
                "id": request_id,
                "path": upstream.format_path(parts),
            },
        )

    def _order(self, address: str, order: Mapping[str, Any]) -> str:
        res = self._transport.call(
            "POST",
            address,
            names.ORDER_PATH,
            orjson.dumps(order),
            {"Content-Type": "application/json"},
        )
        _log_control_call(address, order["operation"], res)
        if isinstance(res, transport.Failed):
            return res.reason
        if res.status in (200, 202):
            return ""
        return f"{address}: status {res.status}: {res.body[:200]!r}"


def _make_probe_failed(res: transport.Failed) -> upstreams.ProbeFailed:
    """Returns what a probe without an answer shows."""
    return upstreams.ProbeFailed(res.reason, res.maybe_sent, res.is_refused)


def _decode_report(
    address: str, res: transport.Reply | transport.Failed
) -> upstreams.EngineReport | str:
    """Returns the report in an answer, or why there is none."""
    if isinstance(res, transport.Failed):
        return res.reason
    if res.status != 200:
        return f"{address}: status {res.status}"
    try:
        return decode.decode_report(res.read_json())
    except codec.DecodeError as exc:
        return f"{address}: {exc}"


def _log_control_call(
    address: str, question: str, res: transport.Reply | transport.Failed
) -> None:
    """Logs a call to an upstream that is not a caller's request."""
    problem = res.reason if isinstance(res, transport.Failed) else ""
    decisions.record(
        decisions.QuestionSent(
            address, question, res.is_new_connection, problem
        )
    )
