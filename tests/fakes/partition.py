"""Runs a host whose network to the upstreams can be partitioned.

``python -m tests.fakes.partition FILE MODULE``. All hosts of a test have the
loopback interface in common, so the network can't be partitioned there; this
replaces the socket class of the process before the module is imported. FILE
holds JSON: the ``addresses`` of the upstreams, and ``how`` they are cut off:

- empty: they are not;
- ``silent``: nothing arrives, on new connections and on open ones, until the
  partition ends;
- ``reset``: new connections are refused and open ones reset;
- ``kept``: new connections are refused, open ones live on;
- ``mute``: they are not, but no datagram passes to the process or from it;
- ``opened-silent``, ``opened-reset``, ``opened-kept``: as these, but new
  connections open first, as behind a middlebox that accepts them.
"""

from __future__ import annotations

import errno
import json
import os
import pathlib
import runpy
import select
import socket
import sys
import threading
import time
from typing import Any, Final

# How a process is cut off whose datagrams are lost.
MUTE: Final = "mute"

# Longest delay until an open connection notices a change of the partition.
POLL_S: Final = 0.02

_Socket: Final = socket.socket


class Partition:
    """The state of the network, read again whenever the file changes."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._version = 0
        self._lock = threading.Lock()
        self._addresses: frozenset[str] = frozenset()
        self._how = ""
        # Connections to it hang, since its queue of new ones is full.
        self._blackhole = _Socket()
        self._blackhole.bind(("127.0.0.1", 0))
        self._blackhole.listen(0)
        self.blackhole_address = self._blackhole.getsockname()
        self._fill = [_Socket() for _ in range(4)]
        for sock in self._fill:
            sock.setblocking(False)
            sock.connect_ex(self.blackhole_address)

    def get_how(self, address: Any) -> str:
        """Returns how an address is cut off; empty if it is not."""
        with self._lock:
            self._read()
            is_cut = f"{address[0]}:{address[1]}" in self._addresses
            return self._how if is_cut and self._how != MUTE else ""

    def is_mute(self) -> bool:
        """Returns whether datagrams are lost."""
        with self._lock:
            self._read()
            return self._how == MUTE

    def _read(self) -> None:
        version = os.stat(self._path).st_mtime_ns
        if version == self._version:
            return
        data = json.loads(pathlib.Path(self._path).read_text("utf-8"))
        self._version = version
        self._addresses = frozenset(data["addresses"])
        self._how = data["how"]


class PartitionedSocket(socket.socket):
    """A socket whose traffic to cut upstreams is held up or refused."""

    network: Partition

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._target: Any = None
        self._is_shut = False
        # Whether it opened while its upstream was cut off.
        self._is_new = False

    def connect(self, address: Any) -> None:
        """Connects, is refused, or hangs until its timeout."""
        how = self._begin(address)
        if how in ("reset", "kept"):
            raise ConnectionRefusedError(errno.ECONNREFUSED, "refused")
        if how == "silent":
            address = self.network.blackhole_address
        super().connect(address)

    def connect_ex(self, address: Any) -> int:
        """Like `connect`; returns the error."""
        how = self._begin(address)
        if how in ("reset", "kept"):
            return errno.ECONNREFUSED
        if how == "silent":
            address = self.network.blackhole_address
        return super().connect_ex(address)

    def _begin(self, address: Any) -> str:
        if self.family != socket.AF_INET or self.type != socket.SOCK_STREAM:
            return ""
        self._target = address
        how = self.network.get_how(address)
        self._is_new = bool(how)
        return how

    def shutdown(self, how: int) -> None:
        """Shuts the connection down and wakes its reader."""
        self._is_shut = True
        super().shutdown(how)

    def recv(self, *args: Any) -> bytes:
        """Receives once the network lets bytes through."""
        self._wait_readable()
        return super().recv(*args)

    def recv_into(self, *args: Any) -> int:
        """Receives once the network lets bytes through."""
        self._wait_readable()
        return super().recv_into(*args)

    def send(self, *args: Any) -> int:
        """Sends; on a silent link nothing arrives."""
        if self._get_how() == "silent":
            return len(args[0])
        return super().send(*args)

    def sendall(self, *args: Any) -> None:
        """Sends; on a silent link nothing arrives."""
        if self._get_how() != "silent":
            super().sendall(*args)

    def sendto(self, *args: Any) -> int:
        """Sends a datagram, which may be lost."""
        return len(args[0]) if self.network.is_mute() else super().sendto(*args)

    def recvfrom(self, *args: Any) -> tuple[bytes, Any]:
        """Receives a datagram that is not lost."""
        while True:
            found = super().recvfrom(*args)
            if not self.network.is_mute():
                return found

    def _get_how(self) -> str:
        """Returns how this connection is cut off now.

        Raises:
            ConnectionResetError: It is reset.
        """
        how = self.network.get_how(self._target) if self._target else ""
        if how in ("reset", "opened-reset") or (
            how == "opened-kept" and self._is_new
        ):
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        return "silent" if how == "opened-silent" else how

    def _wait_readable(self) -> None:
        """Waits until bytes may be received, or for the timeout."""
        if self._target is None:
            return
        timeout_s = self.gettimeout()
        end_s = None if timeout_s is None else time.monotonic() + timeout_s
        while True:
            is_silent = self._get_how() == "silent" and not self._is_shut
            if not is_silent and _is_readable(self):
                return
            if end_s is not None and time.monotonic() >= end_s:
                if timeout_s == 0:
                    raise BlockingIOError(errno.EAGAIN, "nothing arrived")
                raise TimeoutError("timed out")
            if is_silent:
                time.sleep(POLL_S)


def _is_readable(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(POLL_S * 1000))


def main() -> None:
    """Entry point."""
    path, module = sys.argv[1:3]
    PartitionedSocket.network = Partition(path)
    socket.socket = PartitionedSocket  # type: ignore[misc]
    sys.argv = [module, *sys.argv[3:]]
    runpy.run_module(module, run_name="__main__")


if __name__ == "__main__":
    main()
