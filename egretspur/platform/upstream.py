"""Client of the platform's upstreams for callers' requests.

Every request has a new connection, which takes a millisecond to open. A reused
one may be dead, or hold stray bytes that an upstream sent after a response.
Read next: `egretspur.platform.control`.
"""

from __future__ import annotations

import contextlib
import logging
import socket
import threading
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, Final

import urllib3
import urllib3.connection

from egretspur import decisions, ends, responses, signals, transport
from egretspur.catalog import upstreams
from egretspur.delivery import sending
from egretspur.platform import names
from egretspur.routing import jobs, paths
from egretspur.tunnels import dialer

_LOG: Final = logging.getLogger(__name__)

# A connection within a region opens in a few milliseconds; one that takes
# longer leads to a dead upstream, or the link is down and a helper is asked.
CONNECT_TIMEOUT_S: Final = 0.2

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
        if start.needs_check and not self._check(job, start):
            return sending.AttemptFailure(
                jobs.FailureKind.UNRESPONSIVE,
                f"{start.upstream.id}: no answer to a health check in time",
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
        left_s = job.deadline_s - time.monotonic()
        handed_s = min(left_s, start.handed_s)
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

    def _check(self, job: jobs.Job, start: jobs.Start) -> bool:
        """Returns whether an upstream answers before the request's deadline."""
        is_responsive = self._is_responsive(start.upstream)
        return is_responsive and time.monotonic() < job.deadline_s

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
        self.has_length = responses.tells_end(res.status, res.headers)
        # Whether the end of the connection is a valid end of the body. It is
        # not while an unannounced body is empty: an upstream that dies right
        # after the head ends its connection in the same way.
        self._may_end = self.has_length
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
        if not (data or self.has_length) and self._handle.is_aborted:
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
