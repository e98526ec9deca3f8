"""HTTP calls to other processes, with read timeouts.

A thin layer over urllib3: a call returns the answer or a `Failed` that tells
whether the other side can have received it. When a connection times out, its
whole pool is closed, since whatever dropped that connection (a restarted
middlebox, for example) has usually dropped the others too.
"""

from __future__ import annotations

import contextlib
import functools
import math
import socket
import threading
import time
from collections.abc import Callable, Mapping
from typing import Any, Final

import attrs
import urllib3
from urllib3 import exceptions

from egretspur import codec, ends, responses

# Returns a connected socket for an address and a timeout in seconds; raises
# OSError.
Dial = Callable[[str, float], socket.socket]

# Idle connections kept to one address.
POOL_SIZE: Final = 64

# Most bytes of the body of an answer that a call reads whole.
MAX_BODY_BYTES: Final = 16 << 20

# Time for a whole answer, as a multiple of the longest silence in it.
ANSWER_TIME_FACTOR: Final = 4.0

# Longest wait for a connection where a call sets no time-out.
DIAL_TIMEOUT_S: Final = 1.0


@attrs.frozen
class Reply:
    """An answer with any HTTP status."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    # Whether a connection was opened for the call; false for a kept one.
    is_new_connection: bool = True

    def read_json(self) -> Any:
        """Returns the body as plain values.

        Raises:
            codec.DecodeError: The body is not JSON.
        """
        return codec.load_json(self.body)


@attrs.frozen
class Failed:
    """No answer came."""

    reason: str
    # False only if the other side can't have received the call.
    maybe_sent: bool
    # True if the connection was open but nothing was received in time.
    is_timeout: bool = False
    # As in `Reply`.
    is_new_connection: bool = True
    # True if the connection was refused: nobody listens at the address.
    is_refused: bool = False


class Interrupt:
    """Ends a call that waits for its answer, from another thread."""

    def __init__(self) -> None:
        """Makes an interrupt of no call."""
        self._lock = threading.Lock()
        self._sock: socket.socket | None = None

    def attach(self, sock: socket.socket) -> None:
        """Sets the connection of the call that is running."""
        with self._lock:
            self._sock = sock

    def detach(self) -> None:
        """Ends the call that is running: its connection is left alone."""
        with self._lock:
            self._sock = None

    def fire(self) -> bool:
        """Shuts the connection down; returns whether a call was running."""
        with self._lock:
            if self._sock is None:
                return False
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)
            self._sock = None
            return True


class _Opened(threading.local):
    """What a thread's current call sets for its connection, and learns of it.

    The pool of connections passes nothing of this on.
    """

    # Whether the call opened a connection.
    is_new = False
    # Monotonic times by which its answer, and the head of it, must have come.
    deadline_s = math.inf
    head_by_s = math.inf
    # Ends the call early.
    interrupt: Interrupt | None = None


class _NotedConnection(responses.Connection):
    """A connection that follows a thread's call; see `_Opened`."""

    def __init__(
        self, opened: _Opened, dial: Dial | None, *args: Any, **kwargs: Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self._opened = opened
        self._dial = dial

    def connect(self) -> None:
        """Opens the connection."""
        self._opened.is_new = True
        if self._dial is None:
            super().connect()
            if self._opened.interrupt is not None:
                self._opened.interrupt.attach(self.sock)
            return
        timeout_s = urllib3.Timeout.resolve_default_timeout(self.timeout)
        try:
            self.sock = self._dial(
                f"{self.host}:{self.port}", timeout_s or DIAL_TIMEOUT_S
            )
        except OSError as exc:
            raise exceptions.NewConnectionError(self, str(exc)) from exc

    def getresponse(self) -> Any:
        """Returns the response to the request that was sent last."""
        deadline_s = self._opened.deadline_s
        self.bounds.deadline_s = min(deadline_s, self._opened.head_by_s)
        res = super().getresponse()
        self.bounds.deadline_s = deadline_s
        return res


class Transport:
    """Pools of connections by address; shared between threads."""

    def __init__(
        self, connect_s: float, read_s: float, dial: Dial | None = None
    ) -> None:
        """Makes a transport without connections.

        Args:
            connect_s: Longest wait for a connection.
            read_s: Longest silence.
            dial: Opens connections; None for plain TCP.
        """
        self._dial = dial
        self._connect_s = connect_s
        self._read_s = read_s
        self._lock = threading.Lock()
        self._opened = _Opened()
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def call(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        read_s: float | None = None,
        interrupt: Interrupt | None = None,
        whole_s: float = math.inf,
    ) -> Reply | Failed:
        """Sends one request and reads the whole answer.

        Args:
            method: HTTP method.
            address: IP and port.
            path: Path with query.
            body: Bytes to send.
            headers: Header fields to send.
            read_s: Longest silence in seconds; the transport's if None. The
                whole answer may take `ANSWER_TIME_FACTOR` times as long.
            interrupt: Ends the call early, where it opens a connection.
            whole_s: Longest time of the whole call in seconds, if shorter.
        """
        silence_s = self._read_s if read_s is None else read_s
        self._opened.deadline_s = time.monotonic() + min(
            whole_s, ANSWER_TIME_FACTOR * silence_s
        )
        self._opened.interrupt = interrupt
        try:
            res = self.open(method, address, path, body, headers, silence_s)
            if isinstance(res, Failed):
                return res
            return self._read_whole(address, res)
        finally:
            self._opened.deadline_s = math.inf
            self._opened.interrupt = None
            if interrupt is not None:
                interrupt.detach()

    def _read_whole(
        self, address: str, res: urllib3.BaseHTTPResponse
    ) -> Reply | Failed:
        """Reads the body of an answer and gives its connection back."""
        problem = f"body of more than {MAX_BODY_BYTES} bytes"
        data = b""
        try:
            data = res.read(MAX_BODY_BYTES + 1)
            is_whole = len(data) <= MAX_BODY_BYTES
        except (exceptions.HTTPError, OSError) as exc:
            is_whole, problem = False, str(exc)
        if not is_whole:
            self.discard(address, res)
            return Failed(
                f"{address}: {problem}",
                maybe_sent=True,
                is_new_connection=self._opened.is_new,
            )
        res.release_conn()
        return Reply(res.status, res.headers, data, self._opened.is_new)

    def open(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        read_s: float | None = None,
        head_s: float = math.inf,
    ) -> urllib3.BaseHTTPResponse | Failed:
        """Sends one request and returns its answer, body unread.

        Args:
            method: HTTP method.
            address: IP and port.
            path: Path with query.
            body: Bytes to send.
            headers: Header fields to send.
            read_s: Longest silence in seconds; the transport's if None.
            head_s: Longest time until the end of the answer's head, in
                seconds.
        """
        timeout = urllib3.Timeout(
            connect=self._connect_s,
            read=self._read_s if read_s is None else read_s,
        )
        self._opened.is_new = False
        self._opened.head_by_s = time.monotonic() + head_s
        try:
            return self._get_pool(address).urlopen(
                method,
                path,
                body=body,
                headers=dict(headers or {}),
                retries=False,
                redirect=False,
                preload_content=False,
                timeout=timeout,
            )
        except (
            exceptions.NewConnectionError,
            exceptions.ConnectTimeoutError,
            exceptions.ClosedPoolError,
            exceptions.EmptyPoolError,
        ) as exc:
            return Failed(
                f"{address}: {exc}",
                maybe_sent=False,
                is_refused=ends.is_refused(exc),
            )
        except (exceptions.HTTPError, OSError) as exc:
            # The connection broke or timed out after bytes were sent. The other
            # side may be processing them, so a caller can't be promised that
            # the request was not run.
            is_timeout = isinstance(exc, exceptions.ReadTimeoutError)
            if is_timeout:
                self.empty_pool(address)
            return Failed(
                f"{address}: {exc}", True, is_timeout, self._opened.is_new
            )
        finally:
            self._opened.head_by_s = math.inf

    def discard(self, address: str, res: urllib3.BaseHTTPResponse) -> None:
        """Closes a connection that broke mid-answer, and its pool."""
        res.close()
        self.empty_pool(address)

    def empty_pool(self, address: str) -> None:
        """Closes the idle connections to an address.

        After a middlebox has dropped its connections, each pooled one would
        otherwise cost another timeout before a new one is opened.
        """
        with self._lock:
            pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    def close(self) -> None:
        """Closes all idle connections."""
        with self._lock:
            pools = list(self._pools.values())
            self._pools.clear()
        for pool in pools:
            pool.close()

    def _get_pool(self, address: str) -> urllib3.HTTPConnectionPool:
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                host, port = split_address(address)
                pool = urllib3.HTTPConnectionPool(
                    host, port, maxsize=POOL_SIZE, block=False
                )
                # The pool calls it as a class.
                pool.ConnectionCls = functools.partial(  # type: ignore[assignment]
                    _NotedConnection, self._opened, self._dial
                )
                self._pools[address] = pool
            return pool


def get_bounds(res: urllib3.BaseHTTPResponse) -> responses.ReadBounds:
    """Returns the bounds within which an open answer is read."""
    conn = res.connection
    assert isinstance(conn, responses.Connection)
    return conn.bounds


def split_address(address: str) -> tuple[str, int]:
    """Returns the host and the port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
