"""Reads callers' requests, within a budget and at a cost by their length.

Waitress reads heads and bodies of a known length; bodies in chunks are read
here. Read next: `egretspur.held`, which counts what is held, and
`egretspur.web`, whose server uses this.
"""

from __future__ import annotations

import io
import time
from typing import Any, Final

import waitress.parser
import waitress.receiver
import waitress.rfc7230
import waitress.utilities

from egretspur import held

# Longest line that announces a chunk, with its extensions.
MAX_LINE_BYTES: Final = 4096

_LINE_END: Final = b"\r\n"

# When a caller that was refused for lack of room may come back, in seconds.
RETRY_AFTER_S: Final = 1


class NoRoom(waitress.utilities.Error):  # type: ignore[misc]
    """The answer to a request whose body must not be held; it has not run."""

    code = 503
    reason = "Service Unavailable"

    def to_response(
        self, ident: str | None = None
    ) -> tuple[str, list[tuple[str, str]], bytes]:
        """Returns status, header fields and body."""
        status, headers, body = super().to_response(ident)
        return status, [*headers, ("Retry-After", str(RETRY_AFTER_S))], body


class Parser(waitress.parser.HTTPRequestParser):  # type: ignore[misc]
    """Reads one request."""

    # Reads the body; None before it, and if there is none.
    body_rcv: Any = None

    # Bytes of the body that are taken from the budget.
    counted = 0

    # Whether the body was dropped.
    is_closed = False

    # Monotonic time of its first byte; None while only blank lines have come,
    # which may follow an earlier request.
    began_s: float | None = None

    # Begin of a body in chunks that came with the head and was not read yet.
    rest = b""

    @property
    def work(self) -> int | None:
        """Steps taken to read a body in chunks; None for all else."""
        body = self.body_rcv
        return body.steps if isinstance(body, ChunkedBody) else None

    def received(self, data: bytes) -> int:
        """Reads the next bytes; returns how many belong to this request."""
        if self.began_s is None and data.strip(_LINE_END):
            self.began_s = time.monotonic()
        if self.completed:
            return 0
        if self.is_closed:
            # The connection is closed.
            return len(data)
        if self.body_rcv is not None:
            return self._read_body(data)
        consumed: int = super().received(data)
        if self.error:
            # It is refused already; its body is not asked for.
            self.expect_continue = False
        elif isinstance(self.body_rcv, waitress.receiver.ChunkedReceiver):
            self.body_rcv = ChunkedBody(
                self.body_rcv.getbuf(), self.adj.max_request_header_size
            )
            self.rest = data[consumed:]
            return len(data)
        return consumed

    def _read_body(self, data: bytes) -> int:
        body = self.body_rcv
        consumed: int = body.received(data)
        limit = self.adj.max_request_body_size
        if body.__len__() >= limit:
            self.error = waitress.utilities.RequestEntityTooLarge(
                f"exceeds {limit - 1} bytes"
            )
        elif not self._bodies.grow(self, body.__len__(), limit):
            self.error = NoRoom("bodies of too many callers")
        else:
            self.error = body.error
        self.completed = bool(self.error) or body.completed
        if self.completed:
            self._bodies.end(self)
        if body.completed and self.chunked:
            # To the application, the request has come with its length.
            self.headers["CONTENT_LENGTH"] = str(body.__len__())
        return consumed

    @property
    def _bodies(self) -> held.Bodies:
        bodies: held.Bodies = self.adj.egretspur_bodies
        return bodies

    def refuse(self) -> None:
        """Drops what was read of the body, to be answered that it has not run.

        The connection notices that the request is complete.
        """
        self.close()
        self.error = NoRoom("bodies of too many callers")
        self.completed = True

    def close(self) -> None:
        """Drops the body."""
        if not self.is_closed:
            self.is_closed = True
            self._bodies.end(self)
            self._bodies.give_back(self)
            super().close()


class ChunkedBody:
    """Reads a body in chunks, as waitress's own receiver does.

    Each byte is looked at once: what has been read is neither copied nor
    searched again when more arrives.
    """

    def __init__(self, buf: Any, max_trailer_bytes: int) -> None:
        """Makes a body of which nothing was read.

        Args:
            buf: Takes the bytes of the body.
            max_trailer_bytes: Maximum size of the trailers.
        """
        self.completed = False
        # Why the body is malformed; None if it is not.
        self.error: waitress.utilities.Error | None = None
        # Lines, and parts of chunks and lines, that were read.
        self.steps = 0
        self._buf = buf
        # Bytes of the current chunk that have not arrived.
        self._chunk_left = 0
        # The line that ends a chunk comes next.
        self._is_chunk_read = False
        # The last chunk was read; trailers follow.
        self._is_in_trailers = False
        self._trailer_left = max_trailer_bytes
        # Begin of a line whose end has not arrived.
        self._line = bytearray()

    def __len__(self) -> int:
        size: int = self._buf.__len__()
        return size

    def getbuf(self) -> Any:
        """Returns the buffer of the body."""
        return self._buf

    def getfile(self) -> Any:
        """Returns the body as a file."""
        return self._buf.getfile()

    def received(self, data: bytes) -> int:
        """Reads the next bytes; returns how many belong to this body."""
        # The bytes of all chunks go to the buffer at once: it takes longer for
        # each call than for a few bytes.
        found = io.BytesIO()
        begin = 0
        while begin < len(data) and not (self.completed or self.error):
            self.steps += 1
            if self._chunk_left:
                end = min(len(data), begin + self._chunk_left)
                found.write(data[begin:end])
                self._chunk_left -= end - begin
                self._is_chunk_read = not self._chunk_left
            else:
                end = data.find(b"\n", begin) + 1 or len(data)
                self._read_line(data[begin:end])
            begin = end
        if found.tell():
            self._buf.append(found.getvalue())
        return len(data) if self.error else begin

    def _read_line(self, part: bytes) -> None:
        """Reads a line, or the next part of one."""
        self._line += part
        is_whole = part.endswith(b"\n")
        if self._is_in_trailers:
            self._trailer_left -= len(part)
            if self._trailer_left < 0:
                self.error = waitress.utilities.RequestHeaderFieldsTooLarge(
                    "trailers are too long"
                )
        elif len(self._line) > MAX_LINE_BYTES:
            self._fail("the line of a chunk is too long")
        if self.error or not is_whole:
            return
        line = bytes(self._line)
        self._line.clear()
        if not line.endswith(_LINE_END):
            self._fail("a line does not end with CR LF")
            return
        line = line[: -len(_LINE_END)]
        if self._is_in_trailers:
            self.completed = not line
        elif self._is_chunk_read:
            self._is_chunk_read = False
            if line:
                self._fail("a chunk is longer than announced")
        else:
            self._begin_chunk(line)

    def _begin_chunk(self, line: bytes) -> None:
        size, semicolon, more = line.partition(b";")
        if semicolon and not waitress.rfc7230.CHUNK_EXT_RE.match(
            semicolon + more
        ):
            self._fail("invalid chunk extension")
        elif not waitress.rfc7230.ONLY_HEXDIG_RE.match(size):
            self._fail("invalid chunk size")
        else:
            self._chunk_left = int(size, 16)
            self._is_in_trailers = not self._chunk_left

    def _fail(self, reason: str) -> None:
        self.error = waitress.utilities.BadRequest(reason)
