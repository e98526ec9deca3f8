"""Frames in which a helper passes on an upstream's bytes.

The kernel closes the connections of a process that was killed just as the
process itself would. So the end of a tunnel says nothing by itself: a helper
marks the end of the upstream's bytes, and how the upstream ended them. Each
frame is a length of four bytes, big-endian, and as many bytes; two lengths are
marks. Only the bytes from the upstream are framed: those to it are a request,
whose head tells its length. Read next: `egretspur.tunnels.server`.
"""

from __future__ import annotations

import socket
import struct
from typing import Any, Final

from egretspur import ends

# Header field with which a host asks for frames, and a helper promises them.
# Helpers that don't know it pass on bytes alone.
FIELD: Final = "Tunnel-Frames"
VERSION: Final = "1"

_LENGTH: Final = struct.Struct(">I")
_RESET_LENGTH: Final = 0xFFFFFFFF

# The upstream closed its connection in the ordinary way.
END: Final = _LENGTH.pack(0)
# The upstream broke its connection off.
RESET: Final = _LENGTH.pack(_RESET_LENGTH)


def encode(data: bytes) -> bytes:
    """Returns a frame with bytes, which must not be empty."""
    return _LENGTH.pack(len(data)) + data


class TunnelSocket(socket.socket):
    """A connection through a helper; ends only as the upstream ended it.

    Whatever else ends it raises `ends.HelperLostError`. A helper that promised
    no frames never tells that the upstream ended its bytes.
    """

    def __init__(
        self, sock: socket.socket, early: bytes, is_framed: bool
    ) -> None:
        """Takes a connection over.

        Args:
            sock: The connection; it is not to be used any more.
            early: Bytes that came after the head of the helper's answer.
            is_framed: Whether the helper promised frames.
        """
        timeout_s = sock.gettimeout()
        super().__init__(sock.family, sock.type, sock.proto, sock.detach())
        self.settimeout(timeout_s)
        self._early = early
        self._is_framed = is_framed
        # Of the current frame: the part of its length that has arrived, and
        # its bytes that have not been read.
        self._length = b""
        self._left = 0
        # How the upstream ended its bytes; empty if it did not.
        self._mark = b""

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Reads bytes of the upstream; flags are not supported.

        Returns:
            The number of bytes; 0 if the upstream closed its connection.

        Raises:
            ConnectionResetError: The upstream broke its connection off.
            HelperLostError: The connection ended and the upstream's did not.
        """
        assert not flags
        view = memoryview(buffer).cast("B")
        if nbytes:
            view = view[:nbytes]
        if self._is_framed:
            self._begin_frame()
            if self._mark == RESET:
                raise ConnectionResetError("the upstream broke off")
            if self._mark:
                return 0
            view = view[: self._left]
        count = self._read(view)
        self._left -= count
        return count

    def recv(self, bufsize: int, flags: int = 0) -> bytes:
        """Reads and returns bytes of the upstream; see `recv_into`."""
        data = bytearray(bufsize)
        count = self.recv_into(data, bufsize, flags)
        return bytes(data[:count])

    def sendall(self, data: Any, flags: int = 0) -> None:
        """Sends bytes to the upstream.

        Raises:
            HelperLostError: The connection has ended.
        """
        try:
            super().sendall(data, flags)
        except ConnectionError as exc:
            raise ends.HelperLostError(str(exc)) from exc

    def _begin_frame(self) -> None:
        """Reads the length of the next frame once the current one is read."""
        while not self._left and not self._mark:
            part = bytearray(_LENGTH.size - len(self._length))
            count = self._read(memoryview(part))
            self._length += part[:count]
            if len(self._length) < _LENGTH.size:
                continue
            if self._length in (END, RESET):
                self._mark = self._length
            else:
                (self._left,) = _LENGTH.unpack(self._length)
            self._length = b""

    def _read(self, view: memoryview) -> int:
        """Reads what has arrived of the helper's bytes; never 0."""
        if self._early:
            count = min(len(view), len(self._early))
            view[:count] = self._early[:count]
            self._early = self._early[count:]
            return count
        try:
            count = super().recv_into(view)
        except ConnectionError as exc:
            raise ends.HelperLostError(str(exc)) from exc
        except TimeoutError as exc:
            if exc.errno is None:
                # This host's own limit, and no sign of the helper.
                raise
            raise ends.HelperLostError(str(exc)) from exc
        if not count:
            raise ends.HelperLostError("ended before the upstream's bytes did")
        return count
