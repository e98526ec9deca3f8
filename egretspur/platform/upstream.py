"""Clients of the platform's upstreams: requests, reports and orders.

Every request has a new connection, which takes a millisecond to open. A reused
one may be dead, or hold stray bytes that an upstream sent after a response.
"""

from __future__ import annotations

import contextlib
import logging
import math
import socket
import threading
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, Final

import orjson
import urllib3
import urllib3.connection

from egretspur import codec, decisions, ends, responses, signals, transport
from egretspur.catalog import upstreams
from egretspur.delivery import sending
from egretspur.platform import decode, names
from egretspur.routing import jobs, paths
from egretspur.tunnels import dialer

_LOG: Final = logging.getLogger(__name__)

# A connection within a region opens in a few milliseconds; one that takes
# longer leads to a dead upstream, or the link is down and a helper is asked.
CONNECT_TIMEOUT_S: Final = 0.2

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

# Timeout of a read or write whose deadline has passed.
MIN_TIMEOUT_S: Final = 0.01

_MAX_READ_BYTES: Final = 65536

# Status of a response by another upstream than the intended one.
MISDIRECTED_STATUS: Final = 421


class UpstreamClient:
    """Sends callers' requests; see `sending.AttemptSender`."""

    def __init__(
        self,
        note_signals: signals.SignalsCallback = lambda upstream_id, answer: (
            None
        ),
        own: dialer.Dialer | None = None,
        is_responsive: Callable[[upstreams.Upstream], bool] = (
            lambda entry: True
        ),
    ) -> None:
        """Makes a client.

        An upstream may be silent until the request's deadline: it may only be
        slow. That its connection is lost shows by acknowledgements of TCP; see
        `tunnels.dialer.connect`.

        Args:
            note_signals: Called with the signals in each response's head.
            own: Opens connections, also through other hosts; None to use this
                host's own links only.
            is_responsive: Whether an upstream answers a health check in time.
        """
        self._note_signals = note_signals
        self._dialer = own
        self._is_responsive = is_responsive

    def open(
        self,
        call: sending.Call,
        job: jobs.Job,
        start: jobs.Start,
        resume_after: str,
        abort: sending.AbortHandle,
    ) -> UpstreamAnswer | sending.AttemptFailure:
        """Sends a request and returns its response, body unread."""
        if start.needs_check and not self._is_responsive(start.upstream):
            return sending.AttemptFailure(
                jobs.FailureKind.UNRESPONSIVE,
                f"{start.upstream.id}: no answer to a health check",
                ended_by=ends.EndedBy.HOST,
            )
        link = self._connect(job, start)
        if isinstance(link, sending.AttemptFailure):
            return link
        host, port = transport.split_address(start.upstream.address)
        conn = responses.Connection(host, port)
        conn.sock = link.sock
        handle = _AbortableConnection(conn)
        abort.set_closer(handle.abort, link.helper)
        now_s = time.monotonic()
        left_s = job.deadline_s - now_s
        handed_s = min(job.deadline_s, start.deadline_s) - now_s
        headers = _make_headers(call, job, start, resume_after, handed_s)
        # urllib3 sets this on its socket before it sends and again before it
        # reads the head; a timeout set on the socket itself would be lost.
        conn.timeout = max(MIN_TIMEOUT_S, left_s)
        conn.bounds.deadline_s = job.deadline_s
        try:
            with self._expecting_answer(start.upstream.address, link, handle):
                conn.request(
                    call.method,
                    call.target,
                    body=call.body or None,
                    headers=headers,
                    preload_content=False,
                    decode_content=False,
                )
                res = conn.getresponse()
        except Exception as exc:  # of urllib3, the socket or http.client
            handle.close()
            return sending.AttemptFailure(
                jobs.FailureKind.CUT,
                f"{start.upstream.id}: {exc!r}",
                ended_by=handle.find_ender(exc),
            )
        answer = read_signals(res.status, res.headers)
        if answer is not None:
            self._note_signals(start.upstream.id, answer)
        lost = _check_head(call, start, res)
        if lost is not None:
            handle.close()
            return lost
        return UpstreamAnswer(res, handle, job.deadline_s)

    @contextlib.contextmanager
    def _expecting_answer(
        self,
        address: str,
        link: dialer.Connection,
        handle: _AbortableConnection,
    ) -> Iterator[None]:
        """Tells the dialer whether an own connection brings an answer."""
        own = self._dialer
        if own is None or link.helper:
            yield
            return
        number = own.expect_answer(address, handle.abort)
        try:
            yield
        except Exception:
            # Not if the caller left, or another thread ended the attempt.
            if not handle.is_aborted:
                own.record_fruitless(address)
            raise
        finally:
            own.end_answer(number)
        own.record_answered(address)

    def _connect(
        self, job: jobs.Job, start: jobs.Start
    ) -> dialer.Connection | sending.AttemptFailure:
        """Returns a connection to an upstream, or why there is none."""
        address = start.upstream.address
        try:
            if self._dialer is None:
                link = dialer.Connection(
                    dialer.connect(address, CONNECT_TIMEOUT_S), ""
                )
            else:
                link = self._dialer.open(address, CONNECT_TIMEOUT_S)
        except OSError as exc:
            return sending.AttemptFailure(
                jobs.FailureKind.UNREACHABLE, f"{address}: {exc!r}"
            )
        if link.helper:
            decisions.record(
                decisions.RequestHelped(job.id, start.upstream.id, link.helper)
            )
        return link


class _AbortableConnection:
    """A connection that one thread reads and any thread may abort."""

    def __init__(self, conn: responses.Connection) -> None:
        self._conn = conn
        # Kept here since urllib3 drops it once the response's head is read.
        self._sock: socket.socket = conn.sock
        self._lock = threading.Lock()
        self._is_closed = False
        self.is_aborted = False

    def set_timeout(self, seconds: float) -> None:
        """Sets the timeout of a single read or write."""
        try:
            self._sock.settimeout(seconds)
        except OSError:
            # A response without a length ends with its connection, which
            # urllib3 has closed by then; the next read returns the end.
            _LOG.debug("timeout not set: the connection is closed")

    def abort(self) -> None:
        """Shuts the connection down and wakes the thread that reads it."""
        self.is_aborted = True
        self._conn.bounds.is_ended = True
        with self._lock:
            if self._is_closed:
                return
            try:
                self._sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                _LOG.debug("connection already closed by the upstream")

    def find_ender(self, exc: Exception) -> ends.EndedBy:
        """Returns who ended the connection, given the error of its reader."""
        if self.is_aborted:
            return ends.EndedBy.HOST
        return ends.classify_error(exc)

    def close(self) -> None:
        """Closes the connection; to be called by the reading thread only."""
        with self._lock:
            self._is_closed = True
            self._conn.close()
            self._sock.close()


class UpstreamAnswer:
    """A response whose body is being read; see `sending.Answer`."""

    def __init__(
        self,
        res: urllib3.BaseHTTPResponse,
        handle: _AbortableConnection,
        deadline_s: float,
    ) -> None:
        self._res = res
        self._handle = handle
        self._deadline_s = deadline_s
        # Whether the head tells where the body ends; otherwise the connection
        # ends with it.
        self._has_length = responses.tells_end(res.status, res.headers)
        # Whether the end of the connection is a valid end of the body. It is
        # not while an unannounced body is empty: an upstream that dies right
        # after the head ends its connection in the same way.
        self._may_end = self._has_length
        self.status = res.status
        self.headers: Mapping[str, str] = {
            name: value
            for name, value in res.headers.items()
            if name.lower() not in names.CONNECTION_FIELDS
        }

    def read_some(self) -> bytes | sending.AttemptFailure:
        """Returns the next bytes; empty at the end of a complete body."""
        left_s = self._deadline_s - time.monotonic()
        self._handle.set_timeout(max(MIN_TIMEOUT_S, left_s))
        try:
            data = self._res.read1(_MAX_READ_BYTES)
        except Exception as exc:  # of urllib3, the socket or http.client
            return sending.AttemptFailure(
                jobs.FailureKind.CUT,
                repr(exc),
                ended_by=self._handle.find_ender(exc),
            )
        if not (data or self._has_length) and self._handle.is_aborted:
            return sending.AttemptFailure(
                jobs.FailureKind.CUT,
                "ended by this host",
                ended_by=ends.EndedBy.HOST,
            )
        if not data and not self._may_end:
            return sending.AttemptFailure(
                jobs.FailureKind.CUT, "closed before the body"
            )
        self._may_end = True
        return data

    def abort(self) -> None:
        """Shuts the connection down and wakes its reader; from any thread."""
        self._handle.abort()

    def close(self) -> None:
        """Closes the connection, so that the upstream stops its work."""
        self._handle.close()
        self._res.close()


def read_signals(
    status: int, fields: Mapping[str, str]
) -> signals.Signals | None:
    """Returns the signals in an answer; None if another upstream gave it."""
    if status == MISDIRECTED_STATUS:
        return None
    return signals.read(status, fields, names.LIMIT, names.LEAVING)


def _make_headers(
    call: sending.Call,
    job: jobs.Job,
    start: jobs.Start,
    resume_after: str,
    handed_s: float,
) -> dict[str, str]:
    headers = dict(call.headers)
    headers[names.REQUEST_ID] = call.id
    headers[names.DEADLINE] = str(max(1, int(handed_s * 1000)))
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
    """Encodes a path as the header and the order have it."""
    return ",".join(f"{p.address}={p.first}-{p.last}" for p in parts)


def _check_head(
    call: sending.Call, start: jobs.Start, res: Any
) -> sending.AttemptFailure | None:
    """Returns why a response can't be forwarded; None if it can."""
    upstream_id = start.upstream.id
    if res.status == MISDIRECTED_STATUS:
        blamed = _find_faulty_stages(start, res) or (upstream_id,)
        return sending.AttemptFailure(
            jobs.FailureKind.MISDIRECTED,
            f"{upstream_id}: another upstream has its address",
            blamed,
        )
    if res.headers.get(names.NOT_RUN):
        return sending.AttemptFailure(
            jobs.FailureKind.REFUSED,
            f"{upstream_id}: refused with status {res.status}",
            _find_faulty_stages(start, res),
        )
    if res.headers.get(names.REQUEST_ID) != call.id:
        return sending.AttemptFailure(
            jobs.FailureKind.CUT,
            f"{upstream_id}: response to another request",
            (upstream_id,),
        )
    if not res.headers.get(names.SIGNATURE):
        return sending.AttemptFailure(
            jobs.FailureKind.FAILED,
            f"{upstream_id}: status {res.status} without {names.SIGNATURE}",
            (upstream_id,),
        )
    return None


def _find_faulty_stages(start: jobs.Start, res: Any) -> tuple[str, ...]:
    """Returns the ids of the stages that a response blames."""
    address = res.headers.get(names.FAULTY_ADDRESS) or ""
    return tuple(p.id for p in start.parts if p.address == address)


class EngineClient:
    """Gets engines' reports and sends orders to engines."""

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
                "path": format_path(parts),
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
