"""HTTP responses that end only where all of them has come, and in time.

The standard library's reader is lenient: it takes the end of a connection for
the end of a head or of the last chunk, drops header fields that it can't read,
and reads on to the end of the connection if a length is no number. Each of
these turns a response that was broken off into a complete one. It also takes
statuses that HTTP does not have. `Connection` is for all that this program
receives over HTTP: answers of upstreams, of the platform's store and of other
hosts. Framing follows RFC 9112, section 6.3; statuses RFC 9110, section 15.

A faulty sender may also send without end. `ReadBounds` ends a read that makes
progress as surely as one that makes none, and heads and trailers are bounded in
bytes and time.
"""

from __future__ import annotations

import email.errors
import functools
import http
import http.client
import io
import math
import re
import socket
import time
from collections.abc import Mapping, Sequence
from typing import Any, Final

import attrs
import urllib3.connection

# First line of a response; the reason may be absent, with the blank before it.
_STATUS_LINE: Final = re.compile(
    rb"(?P<version>HTTP/1\.[0-9]) (?P<status>[1-5][0-9]{2})"
    rb"(?: (?P<reason>[^\r\n]*))?(?:\r?\n)?"
)

# Size of a chunk, with extensions, which are ignored.
_CHUNK_LINE: Final = re.compile(
    rb"([0-9A-Fa-f]{1,15})[ \t]*(;.*)?\r?\n", re.DOTALL
)

_LENGTH: Final = re.compile(r"[0-9]{1,18}")

# Statuses of final responses that have no body.
_EMPTY_STATUSES: Final = (
    http.HTTPStatus.NO_CONTENT,
    http.HTTPStatus.NOT_MODIFIED,
)

# Lines of a head that can't be read as header fields; what follows them is
# dropped.
_HEAD_DEFECTS: Final = (
    email.errors.FirstHeaderLineIsContinuationDefect,
    email.errors.MisplacedEnvelopeHeaderDefect,
    email.errors.MissingHeaderBodySeparatorDefect,
)


# Bytes of all heads and trailers of one response.
MAX_HEAD_BYTES: Final = 1 << 16

# Time from the first byte of a head to its end, and for all trailers. Longer
# than a sound sender or a link stands still.
MAX_HEAD_S: Final = 3.0


# A time-out of a socket is lowered only by more than this, in seconds: each
# change is a system call.
TIMEOUT_SLACK_S: Final = 0.05


class ResponseError(http.client.HTTPException):
    """A response broke off, has no status or doesn't tell where it ends."""


@attrs.frozen
class StatusLine:
    """The first line of a response."""

    version: str
    status: int
    reason: str


def parse_status_line(line: bytes) -> StatusLine | None:
    """Returns the first line of a response; None if it is none."""
    found = _STATUS_LINE.fullmatch(line)
    if found is None:
        return None
    reason = found["reason"] or b""
    return StatusLine(
        found["version"].decode("ascii"),
        int(found["status"]),
        reason.decode("latin-1"),
    )


@attrs.define
class ReadBounds:
    """When the reading of a response ends, whatever arrives.

    Shared between the thread that reads and those that may end it.
    """

    # Monotonic time.
    deadline_s: float = math.inf
    # Whether this process has ended the read. To shut the socket down is not
    # enough: bytes that go on arriving are still read.
    is_ended: bool = False


class _BoundedReader(io.RawIOBase):
    """Reads a socket within the bounds of a response."""

    def __init__(
        self, raw: io.RawIOBase, sock: socket.socket, bounds: ReadBounds
    ) -> None:
        """Makes a reader.

        Args:
            raw: Reads the socket, and is closed with this.
            sock: The socket.
            bounds: Of the response.
        """
        super().__init__()
        self._raw = raw
        self._sock = sock
        self._bounds = bounds
        # Monotonic time by which a head or the trailers must have come.
        self._head_by_s = math.inf
        # Whether the first byte of a head is awaited.
        self._awaits_head = False

    def readable(self) -> bool:
        """Returns true."""
        return True

    def await_head(self) -> None:
        """Bounds the time of a head from its first byte on."""
        self._awaits_head = True
        self._head_by_s = math.inf

    def begin_trailers(self) -> None:
        """Bounds the time of the trailers from now on."""
        self._head_by_s = time.monotonic() + MAX_HEAD_S

    def end_head(self) -> None:
        """Ends the bound on the time of a head."""
        self._awaits_head = False
        self._head_by_s = math.inf

    def readinto(self, buffer: Any, /) -> int | None:
        """Reads some bytes; see the base class.

        Raises:
            ConnectionAbortedError: This process has ended the read.
            TimeoutError: The deadline has passed.
            ResponseError: A head or the trailers take too long.
        """
        bounds = self._bounds
        now_s = time.monotonic()
        if bounds.is_ended:
            raise ConnectionAbortedError("ended by this process")
        if now_s >= bounds.deadline_s:
            raise TimeoutError("the deadline of the response has passed")
        self._check_head()
        left_s = min(bounds.deadline_s, self._head_by_s) - now_s
        timeout_s = self._sock.gettimeout()
        is_shorter = timeout_s is None or left_s < timeout_s - TIMEOUT_SLACK_S
        is_changed = math.isfinite(left_s) and is_shorter
        if is_changed:
            self._sock.settimeout(left_s)
        try:
            count: int | None = self._raw.readinto(buffer)
        except TimeoutError:
            self._check_head()
            raise
        finally:
            if is_changed:
                self._sock.settimeout(timeout_s)
        if self._awaits_head and count:
            self._awaits_head = False
            self._head_by_s = time.monotonic() + MAX_HEAD_S
        return count

    def _check_head(self) -> None:
        """Raises an error if a head or the trailers take too long."""
        if time.monotonic() >= self._head_by_s:
            raise ResponseError(f"no end of a head within {MAX_HEAD_S} s")

    def close(self) -> None:
        """Closes the reader of the socket."""
        if not self.closed:
            self._raw.close()
        super().close()


class _WholeLines(io.BufferedReader):
    """Reads a response; raises an error where a line breaks off."""

    def __init__(self, raw: _BoundedReader) -> None:
        super().__init__(raw)
        self._bounded = raw
        # Whether the next line must be the size of a chunk.
        self.expects_chunk = False
        self._has_read = False
        # Bytes of heads and trailers.
        self._head_bytes = 0

    def readline(self, size: int | None = -1, /) -> bytes:
        """Returns the next line; empty if there is no response at all.

        Raises:
            ResponseError: The connection ended within the line, or before it,
                or there are too many bytes beside the body.
        """
        line = super().readline(size)
        limit = -1 if size is None else size
        is_whole = line.endswith(b"\n") or len(line) == limit
        if not is_whole and (line or self._has_read):
            raise ResponseError(f"broken off after {line[-40:]!r}")
        self._has_read = True
        if self.expects_chunk:
            found = _CHUNK_LINE.fullmatch(line)
            if found is None:
                raise ResponseError(f"no size of a chunk: {line[-40:]!r}")
            # Lines of trailers follow the last chunk.
            self.expects_chunk = int(found[1], 16) > 0
            if not self.expects_chunk:
                self._bounded.begin_trailers()
            return line
        self._head_bytes += len(line)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise ResponseError(f"more than {MAX_HEAD_BYTES} bytes of heads")
        return line


class WholeResponse(http.client.HTTPResponse):
    """A response that ends as complete only if it is."""

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
        bounds: ReadBounds | None = None,
    ) -> None:
        """Makes a response that is read from a socket; see the base class."""
        super().__init__(sock, debuglevel, method, url)
        self._request_method = method
        self._bounded = _BoundedReader(
            self.fp.detach(), sock, bounds or ReadBounds()
        )
        self._lines = _WholeLines(self._bounded)
        self.fp = self._lines

    def begin(self) -> None:
        """Reads the head.

        Raises:
            ResponseError: It broke off, has no status, or doesn't tell where
                the body ends.
        """
        super().begin()
        while self._is_interim():
            self.headers = self.msg = None  # type: ignore[assignment]
            super().begin()
        defects = [
            d for d in self.headers.defects if isinstance(d, _HEAD_DEFECTS)
        ]
        if defects:
            raise ResponseError(f"malformed head: {defects}")
        self._bounded.end_head()
        self._set_framing()

    def _read_status(self) -> tuple[str, int, str]:
        """Reads the first line of a head, which may be an interim one."""
        self._bounded.await_head()
        data = self._lines.readline(MAX_HEAD_BYTES)
        if not data:
            raise http.client.RemoteDisconnected("closed before a response")
        line = parse_status_line(data)
        if line is None:
            raise ResponseError(f"no status: {data[:40]!r}")
        if line.status == http.HTTPStatus.SWITCHING_PROTOCOLS:
            raise ResponseError("switch to a protocol that was not asked for")
        return line.version, line.status, line.reason

    def _is_interim(self) -> bool:
        """Returns whether another response follows this one."""
        return self.status < http.HTTPStatus.OK

    def _set_framing(self) -> None:
        """Sets where the body ends, by the head."""
        if self._request_method == "HEAD" or self.status in _EMPTY_STATUSES:
            self.chunked, self.length = False, 0
            return
        codings = self.headers.get_all("Transfer-Encoding")
        if codings is not None:
            # No other coding was asked for.
            if [c.strip().lower() for c in codings] != ["chunked"]:
                raise ResponseError(f"unknown transfer coding: {codings}")
            self.chunked, self.chunk_left = True, None
            self.length = None
            self._lines.expects_chunk = True
            return
        given = self.headers.get_all("Content-Length")
        if given is not None:
            self.length = _parse_length(given)


def tells_end(status: int, fields: Mapping[str, str]) -> bool:
    """Returns whether a head tells where the body ends.

    Otherwise the end of the connection does.

    Args:
        status: HTTP status of a final response.
        fields: Header fields; finds names in any case.
    """
    return (
        status in _EMPTY_STATUSES
        or "Content-Length" in fields
        or "Transfer-Encoding" in fields
    )


def _parse_length(given: Sequence[str]) -> int:
    """Returns the length that header fields state, which may repeat it."""
    lengths = {text.strip() for text in ",".join(given).split(",")}
    length = lengths.pop()
    if lengths or not _LENGTH.fullmatch(length):
        raise ResponseError(f"no length: {given}")
    return int(length)


class Connection(urllib3.connection.HTTPConnection):
    """A connection on which each response is a `WholeResponse`."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        # Of the response that is read next, or now.
        self.bounds = ReadBounds()
        self.response_class = functools.partial(  # type: ignore[assignment]
            WholeResponse, bounds=self.bounds
        )
