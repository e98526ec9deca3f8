"""Requests, reports and orders as upstreams of the platform take them.

Every request goes over a connection of its own: upstreams may send bytes that
belong to nobody after an answer, and a kept connection may have gone silent.
Opening one takes a millisecond.
"""

from __future__ import annotations

import logging
import socket
import threading
import time
from collections.abc import Mapping, Sequence
from typing import Any, Final

import orjson
import urllib3
import urllib3.connection
from urllib3 import exceptions

from egretspur import codec, decisions, signals, transport
from egretspur.catalog import upstreams
from egretspur.delivery import forward
from egretspur.platform import decode, names
from egretspur.routing import jobs, paths

_LOG: Final = logging.getLogger(__name__)

# A connection within a region opens in a few milliseconds; one that takes
# longer leads to a host that is dark.
CONNECT_S: Final = 0.3

# Unacknowledged bytes for so long mean that the other side is gone; without
# it a write to a dark host would wait for minutes.
UNACKNOWLEDGED_MS: Final = 2500

# An engine that lives answers a question for its report within 2 ms, 1 ms for
# the connection included; a busy host takes some more to read it.
PEEK_S: Final = 0.03

_MAX_READ: Final = 65536

# Status of an answer by another upstream than the one that was meant.
MISDIRECTED: Final = 421

# Answers of these have no body.
_EMPTY_STATUSES: Final = (204, 304)


class UpstreamClient:
    """Sends callers' requests; see `forward.Upstreams`."""

    def __init__(
        self,
        silence_s: float,
        note_signals: signals.SignalsCallback = lambda upstream_id, answer: (
            None
        ),
    ) -> None:
        """Makes a client.

        Args:
            silence_s: Longest silence within a stream. Stages hold work that
                depends on a dead one for a while and then say so; what is
                longer is a silent connection.
            note_signals: Told what the head of each answer asks of the hosts.
        """
        self._silence_s = silence_s
        self._note_signals = note_signals

    def open(
        self,
        call: forward.Call,
        job: jobs.Job,
        start: jobs.Start,
        resume_after: str,
        abort: forward.AbortHandle,
    ) -> UpstreamAnswer | forward.AttemptFailure:
        """Sends a request and returns the beginning of its answer."""
        conn = _connect(start.upstream.address)
        if isinstance(conn, forward.AttemptFailure):
            return conn
        handle = _Handle(conn)
        abort.set_closer(handle.abort)
        left_s = job.deadline_s - time.monotonic()
        headers = _make_headers(call, job, start, resume_after, left_s)
        # The library applies this to its socket before it sends and again
        # before it reads the head; a timeout set on the socket would be lost.
        conn.timeout = max(0.01, min(left_s, _get_patience(start)))
        try:
            conn.request(
                call.method,
                call.target,
                body=call.body or None,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
            res = conn.getresponse()
        except Exception as exc:  # the library's, the socket's, http.client's
            handle.close()
            return forward.AttemptFailure(
                jobs.FailureKind.CUT, f"{start.upstream.id}: {exc!r}"
            )
        if res.status != MISDIRECTED:
            self._note_signals(
                start.upstream.id,
                signals.read(
                    res.status, res.headers, names.LIMIT, names.LEAVING
                ),
            )
        lost = _check_head(call, start, res)
        if lost is not None:
            handle.close()
            return lost
        return UpstreamAnswer(res, handle, job.deadline_s, self._silence_s)


class _Handle:
    """A connection that one thread reads and any thread may abort."""

    def __init__(self, conn: urllib3.connection.HTTPConnection) -> None:
        self._conn = conn
        # Kept besides: the library forgets it once the answer's head is read.
        self._sock: socket.socket = conn.sock
        self._lock = threading.Lock()
        self._is_closed = False

    def set_timeout(self, seconds: float) -> None:
        """Sets the longest wait of one read or write."""
        try:
            self._sock.settimeout(seconds)
        except OSError:
            # An answer without a length ends with its connection; the library
            # has closed it then, and the next read gives the end.
            _LOG.debug("connection has ended")

    def abort(self) -> None:
        """Ends the connection and wakes the thread that reads from it."""
        with self._lock:
            if self._is_closed:
                return
            try:
                self._sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                _LOG.debug("connection was closed by the other side")

    def close(self) -> None:
        """Closes the connection; only the thread that reads may do so."""
        with self._lock:
            self._is_closed = True
            self._conn.close()
            self._sock.close()


class UpstreamAnswer:
    """An answer under way; see `forward.Answer`."""

    def __init__(
        self,
        res: urllib3.BaseHTTPResponse,
        handle: _Handle,
        deadline_s: float,
        silence_s: float,
    ) -> None:
        self._res = res
        self._silence_s = silence_s
        self._handle = handle
        self._deadline_s = deadline_s
        # Bytes came, or none need come. A body that nothing announces and that
        # is empty looks like a head that was cut.
        self._may_end = (
            res.status in _EMPTY_STATUSES
            or "Content-Length" in res.headers
            or "Transfer-Encoding" in res.headers
        )
        self.status = res.status
        self.headers: Mapping[str, str] = {
            name: value
            for name, value in res.headers.items()
            if name.lower() not in names.CONNECTION_FIELDS
        }

    def read_some(self) -> bytes | forward.AttemptFailure:
        """Returns the next bytes; empty at the end of a whole body."""
        left_s = self._deadline_s - time.monotonic()
        self._handle.set_timeout(max(0.01, min(left_s, self._silence_s)))
        try:
            data = self._res.read1(_MAX_READ)
        except Exception as exc:  # the library's, the socket's, http.client's
            return forward.AttemptFailure(jobs.FailureKind.CUT, repr(exc))
        if not data and not self._may_end:
            return forward.AttemptFailure(
                jobs.FailureKind.CUT, "closed before its body"
            )
        self._may_end = True
        return data

    def abort(self) -> None:
        """Ends the connection and wakes whoever reads; from any thread."""
        self._handle.abort()

    def close(self) -> None:
        """Closes the connection; the upstream then stops its work."""
        self._handle.close()
        self._res.close()


def _connect(
    address: str,
) -> urllib3.connection.HTTPConnection | forward.AttemptFailure:
    host, _, port = address.rpartition(":")
    conn = urllib3.connection.HTTPConnection(
        host,
        int(port),
        timeout=CONNECT_S,
        socket_options=[
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                UNACKNOWLEDGED_MS,
            ),
        ],
    )
    try:
        conn.connect()
    except (exceptions.HTTPError, OSError) as exc:
        conn.close()
        return forward.AttemptFailure(
            jobs.FailureKind.UNREACHABLE, f"{address}: {exc!r}"
        )
    return conn


def _get_patience(start: jobs.Start) -> float:
    """Returns how long the answer's head may take, in seconds."""
    # A model's answer begins with its first token, which may wait for a
    # stalled stage and for other prompts.
    return 6.0 if start.parts else 30.0


def _make_headers(
    call: forward.Call,
    job: jobs.Job,
    start: jobs.Start,
    resume_after: str,
    left_s: float,
) -> dict[str, str]:
    headers = dict(call.headers)
    headers[names.REQUEST_ID] = call.id
    headers[names.DEADLINE] = str(max(1, int(left_s * 1000)))
    headers[names.EXPECTED_UPSTREAM] = start.upstream.name
    if job.workspace:
        headers[names.WORKSPACE] = job.workspace
    if resume_after:
        headers[names.RESUME_AFTER] = resume_after
    if start.parts:
        headers[names.PATH] = format_path(start.parts)
        headers[names.PRIORITY] = str(min(9, max(0, job.priority)))
    return headers


def format_path(parts: Sequence[paths.Part]) -> str:
    """Returns a path as the header and the order spell it."""
    return ",".join(f"{p.address}={p.first}-{p.last}" for p in parts)


def _check_head(
    call: forward.Call, start: jobs.Start, res: Any
) -> forward.AttemptFailure | None:
    """Returns why an answer can't be passed on; None if it can."""
    who = start.upstream.id
    if res.status == MISDIRECTED:
        blamed = _find_blamed(start, res) or (who,)
        return forward.AttemptFailure(
            jobs.FailureKind.MISDIRECTED,
            f"{who}: another has the address",
            blamed,
        )
    if res.headers.get(names.NOT_RUN):
        return forward.AttemptFailure(
            jobs.FailureKind.REFUSED,
            f"{who}: refused with {res.status}",
            _find_blamed(start, res),
        )
    if res.headers.get(names.REQUEST_ID) != call.id:
        return forward.AttemptFailure(
            jobs.FailureKind.CUT, f"{who}: an answer of another request", (who,)
        )
    if not res.headers.get(names.RECEIPT):
        return forward.AttemptFailure(
            jobs.FailureKind.FAILED,
            f"{who}: status {res.status}, no receipt",
            (who,),
        )
    return None


def _find_blamed(start: jobs.Start, res: Any) -> tuple[str, ...]:
    """Returns the ids of the stages that an answer says are at fault."""
    address = res.headers.get(names.AT_FAULT) or ""
    return tuple(p.id for p in start.parts if p.address == address)


class EngineClient:
    """Reports of engines and orders to them."""

    def __init__(self) -> None:
        self._transport = transport.Transport(0.3, 0.5)
        self._quick = transport.Transport(PEEK_S, PEEK_S)

    def close(self) -> None:
        """Closes idle connections."""
        self._transport.close()
        self._quick.close()

    def get_report(self, address: str) -> upstreams.EngineReport | str:
        """Returns an engine's report, or why there is none."""
        _record_question(address, "report")
        return self._get_report(self._transport, address)

    def peek(self, address: str) -> upstreams.EngineReport | str:
        """Returns a report that comes at once, or why there is none.

        On a connection of its own: a kept one that went silent would look
        like an engine that died.
        """
        _record_question(address, "peek")
        self._quick.empty_pool(address)
        return self._get_report(self._quick, address)

    def _get_report(
        self, client: transport.Transport, address: str
    ) -> upstreams.EngineReport | str:
        res = client.call("GET", address, names.REPORT_PATH)
        if isinstance(res, transport.Failed):
            return res.reason
        if res.status != 200:
            return f"{address}: status {res.status}"
        try:
            return decode.decode_report(res.read_json())
        except codec.DecodeError as exc:
            return f"{address}: {exc}"

    def is_alive(self, address: str, health_path: str) -> bool:
        """Tells whether a plain service takes connections.

        One that is full or slow may answer late, and one that is leaving
        refuses; the list and the requests themselves tell of those.
        """
        _record_question(address, "health")
        res = self._transport.call("GET", address, health_path)
        return not isinstance(res, transport.Failed) or res.is_timeout

    def place(
        self, address: str, layers: upstreams.Layers, expected: int
    ) -> str:
        """Orders an engine to hold a range of layers.

        Returns:
            Empty if the order was taken, else why not or that it is unknown.
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
        """Orders the first engine of a request to use another path."""
        return self._order(
            address,
            {
                "operation": "repath",
                "id": request_id,
                "path": format_path(parts),
            },
        )

    def _order(self, address: str, order: Mapping[str, Any]) -> str:
        _record_question(address, order["operation"])
        res = self._transport.call(
            "POST",
            address,
            names.ORDER_PATH,
            orjson.dumps(order),
            {"Content-Type": "application/json"},
        )
        if isinstance(res, transport.Failed):
            return res.reason
        if res.status in (200, 202):
            return ""
        return f"{address}: status {res.status}: {res.body[:200]!r}"


def _record_question(address: str, question: str) -> None:
    """Logs what is sent to an upstream beside callers' requests."""
    decisions.record(decisions.QuestionSent(address, question))
