"""A door of one host to the store: passes its calls on, or turns them away.

The store may serve some hosts and refuse others; from the stand-in's side all
hosts look alike, so each has a door of its own. A door answers a call as its
rule says, by the request line.
"""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
from collections.abc import Callable
from typing import BinaryIO, Final

# What a door does with a call, in place of a status with which to refuse it.
PASS: Final = "pass"
# The connection is reset, or the call is never answered.
RESET: Final = "reset"
SILENT: Final = "silent"

# Longest wait for the store and of a silent connection, in seconds.
TIMEOUT_S: Final = 60.0

_LINGER: Final = struct.pack("ii", 1, 0)


def pass_all(line: str) -> str:
    """Passes each call on."""
    return PASS


class Door:
    """Listens for one host and connects to the store."""

    def __init__(self, store: str) -> None:
        """Opens a door.

        Args:
            store: Address of the store.
        """
        host, _, port = store.rpartition(":")
        self._store = (host, int(port))
        # Returns what is done with a call, given its request line.
        self.rule: Callable[[str], str] = pass_all
        # Returns whether the answer to a call is lost, given its request line,
        # when it comes; its connection returns nothing further.
        self.loses: Callable[[str], bool] = lambda line: False
        self._closed = threading.Event()
        self._sock = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stops listening; open connections end with their other ends."""
        self._closed.set()
        self._sock.close()

    def _accept(self) -> None:
        while not self._closed.is_set():
            try:
                conn, _ = self._sock.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(conn,), daemon=True
            ).start()

    def _serve(self, conn: socket.socket) -> None:
        with contextlib.suppress(OSError), conn:
            store = socket.create_connection(self._store, TIMEOUT_S)
            with store, conn.makefile("rb") as calls:
                answers = store.makefile("rb")
                while call := _read_message(calls):
                    line = call.partition(b"\r\n")[0].decode("latin-1")
                    verdict = self.rule(line)
                    if verdict == PASS:
                        store.sendall(call)
                        answer = _read_message(answers)
                        if self.loses(line):
                            self._closed.wait(TIMEOUT_S)
                            return
                        conn.sendall(answer)
                    elif verdict == RESET:
                        conn.setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, _LINGER
                        )
                        return
                    elif verdict == SILENT:
                        self._closed.wait(TIMEOUT_S)
                        return
                    else:
                        conn.sendall(
                            f"HTTP/1.1 {verdict} Refused\r\n"
                            "Content-Length: 0\r\n\r\n".encode()
                        )


def _read_message(file: BinaryIO) -> bytes:
    """Returns a call or an answer with its body; empty at the end."""
    head = b""
    length = 0
    while line := file.readline():
        head += line
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
        if line == b"\r\n":
            return head + file.read(length)
    return b""
