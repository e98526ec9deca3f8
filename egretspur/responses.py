"""HTTP responses that end only where all of them has come.

The standard library's reader is lenient: it takes the end of a connection for
the end of a head or of the last chunk, drops header fields that it can't read,
and reads on to the end of the connection if a length is no number. Each of
these turns a response that was broken off into a complete one. `Connection` is
for all that this program receives over HTTP: answers of upstreams, of the
platform's store and of other hosts. Framing follows RFC 9112, section 6.3.
"""

from __future__ import annotations

import email.errors
import http
import http.client
import io
import re
import socket
from collections.abc import Mapping, Sequence
from typing import Final

import urllib3.connection

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


class ResponseError(http.client.HTTPException):
    """A response broke off, or it doesn't tell where it ends."""


class _WholeLines(io.BufferedReader):
    """Reads a response; raises an error where a line breaks off."""

    def __init__(self, raw: io.RawIOBase) -> None:
        super().__init__(raw)
        # Whether the next line must be the size of a chunk.
        self.expects_chunk = False
        self._has_read = False

    def readline(self, size: int | None = -1, /) -> bytes:
        """Returns the next line; empty if there is no response at all.

        Raises:
            ResponseError: The connection ended within the line, or before it.
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
        return line


class WholeResponse(http.client.HTTPResponse):
    """A response that ends as complete only if it is."""

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
    ) -> None:
        """Makes a response that is read from a socket; see the base class."""
        super().__init__(sock, debuglevel, method, url)
        self._request_method = method
        self._lines = _WholeLines(self.fp.detach())
        self.fp = self._lines

    def begin(self) -> None:
        """Reads the head.

        Raises:
            ResponseError: It broke off, or doesn't tell where the body ends.
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
        self._set_framing()

    def _is_interim(self) -> bool:
        """Returns whether another response follows this one."""
        return (
            self.status < http.HTTPStatus.OK
            and self.status != http.HTTPStatus.SWITCHING_PROTOCOLS
        )

    def _set_framing(self) -> None:
        """Sets where the body ends, by the head."""
        if (
            self._request_method == "HEAD"
            or self.status < http.HTTPStatus.OK
            or self.status in _EMPTY_STATUSES
        ):
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

    response_class = WholeResponse
