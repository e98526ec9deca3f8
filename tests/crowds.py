"""Clients that do not behave, many at once, and what they make a host hold.

A crowd opens its connections once, sends what its way says to all of them in
turn, reads no answer and stays. Read next: `tests.steps.crowds_steps`.
"""

from __future__ import annotations

import contextlib
import http.client
import math
import os
import pathlib
import select
import selectors
import socket
import stat
import struct
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from typing import Final

import attrs

from tests import sites

# Limits in the hosts' settings and in the configuration.
MEMORY_MB: Final = 120
MAX_FDS: Final = 400
MAX_BODY_BYTES: Final = 1_500_000

# Body of a client within the limits.
LEGAL_BYTES: Final = MAX_BODY_BYTES * 7 // 8

# An answer that a host passes on, and how many of them a client asks for.
ANSWER_BYTES: Final = 3_000_000
ASKED: Final = 5

# The same of a usual machine, for a crowd that keeps the host busy.
USUAL_MEMORY_MB: Final = 300
USUAL_MAX_FDS: Final = 4096
USUAL_BODY_BYTES: Final = 4 << 20

# What a client far over the limits sends.
FAR_BYTES: Final = 4 * MAX_BODY_BYTES

# What clients hand to their sockets at a time.
PIECE_BYTES: Final = 65_536

# Buffers of a client's socket: small, so that what it has sent has arrived, and
# what it does not read stays with the host.
SOCKET_BYTES: Final = 16_384

# Until an answer begins.
ANSWER_TIMEOUT_S: Final = 10.0

# Time that clients stay which come again.
STAY_S: Final = 0.3

SAMPLE_PERIOD_S: Final = 0.05


def make_head(*fields: str, path: str = "/cards/x") -> bytes:
    """Returns the head of a request without its last empty line."""
    sent = [f"{n}: {v}" for n, v in sites.make_fields("key-1").items()]
    lines = [f"POST {path} HTTP/1.1", *sent, *fields]
    return "".join(f"{line}\r\n" for line in lines).encode()


def _send_length(announced: int, sent: int) -> Iterator[bytes]:
    yield make_head(f"Content-Length: {announced}") + b"\r\n"
    yield from _send_bytes(sent, b"x")


def _send_bytes(count: int, pattern: bytes) -> Iterator[bytes]:
    piece = pattern * (PIECE_BYTES // len(pattern))
    while count > 0:
        yield piece[:count]
        count -= len(piece)


def _send_chunks(count: int, chunk: int) -> Iterator[bytes]:
    """Sends a body in chunks, without the last one."""
    yield make_head("Transfer-Encoding: chunked") + b"\r\n"
    framed = b"%x\r\n" % chunk + b"x" * chunk + b"\r\n"
    at_once = max(1, PIECE_BYTES // len(framed))
    left = count // chunk
    while left > 0:
        yield framed * min(left, at_once)
        left -= at_once


def send_tiny_chunks(count: int) -> Iterator[bytes]:
    """Sends a body in chunks of one byte, without the last one."""
    return _send_chunks(count, 1)


def _send_line() -> Iterator[bytes]:
    yield make_head("Transfer-Encoding: chunked") + b"\r\n1;"
    yield from _send_bytes(LEGAL_BYTES, b"x")


def _send_trailers() -> Iterator[bytes]:
    yield make_head("Transfer-Encoding: chunked") + b"\r\n1\r\nx\r\n0\r\n"
    yield from _send_bytes(LEGAL_BYTES, b"X-More: 1\r\n")


def _send_empty_lines() -> Iterator[bytes]:
    yield make_head("Transfer-Encoding: chunked") + b"\r\n"
    yield from _send_bytes(FAR_BYTES, b"\r\n")


def _send_pieces() -> Iterator[bytes]:
    yield make_head(f"Content-Length: {LEGAL_BYTES}") + b"\r\n"
    left = LEGAL_BYTES - 1
    while left > 0:
        yield b"x" * min(left, 2048)
        left -= 2048


def _send_asks() -> Iterator[bytes]:
    yield (make_head("Content-Length: 2") + b"\r\n{}") * ASKED


def _send_half_head() -> Iterator[bytes]:
    yield make_head()


# What a client of a crowd sends, by its way.
WAYS: Final[Mapping[str, Callable[[], Iterator[bytes]]]] = {
    "announce bodies far over the limit": lambda: _send_length(
        4_000_000_000, FAR_BYTES
    ),
    "send chunks far over the limit": lambda: _send_chunks(
        FAR_BYTES, PIECE_BYTES
    ),
    "send all of a legal body but its last byte": lambda: _send_length(
        LEGAL_BYTES, LEGAL_BYTES - 1
    ),
    "send a legal body in pieces but its last byte": _send_pieces,
    "send a legal body in large chunks but its last one": lambda: _send_chunks(
        LEGAL_BYTES, PIECE_BYTES
    ),
    "send a legal body in tiny chunks but its last one": lambda: _send_chunks(
        LEGAL_BYTES, 1
    ),
    "send the line of a chunk without end": _send_line,
    "send trailers without end": _send_trailers,
    "send empty lines instead of chunks": _send_empty_lines,
    "send whole legal bodies and read no answer": lambda: _send_length(
        LEGAL_BYTES, LEGAL_BYTES
    ),
    "ask for large answers and read none": _send_asks,
    "send half a head": _send_half_head,
}


@attrs.define
class _Sender:
    """What one connection has still to send."""

    sock: socket.socket
    pieces: Iterator[bytes]
    piece: bytes = b""

    def send_some(self) -> bool:
        """Sends what the connection takes; returns whether there is more."""
        self.piece = self.piece or next(self.pieces, b"")
        try:
            self.piece = self.piece[self.sock.send(self.piece) :]
        except BlockingIOError:
            return True
        except OSError:
            # The host has closed it, which it may.
            return False
        self.piece = self.piece or next(self.pieces, b"")
        return bool(self.piece)


class Crowd:
    """Connections to one address that all send in the same way."""

    def __init__(
        self, address: str, count: int, way: Callable[[], Iterator[bytes]]
    ) -> None:
        """Connects nothing yet.

        Args:
            address: IP and port.
            count: Number of connections.
            way: What each of them sends; see `WAYS`.
        """
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._count = count
        self._way = way
        # Each waits for the answer of the one before, so that the host has room
        # for one more.
        self._is_in_turn = self._way is _send_asks
        self._selector = selectors.DefaultSelector()
        self._socks: list[socket.socket] = []
        self._stop = threading.Event()
        # All have sent everything, or were closed by the host.
        self.is_sent = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Connects and starts to send."""
        self._thread.start()

    def close(self) -> None:
        """Closes all connections."""
        self._stop.set()
        self._thread.join()
        for sock in self._socks:
            sock.close()
        self._selector.close()

    def _run(self) -> None:
        for _ in range(self._count):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BYTES)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
            sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                sock.connect(self._address)
            self._socks.append(sock)
            sender = _Sender(sock, self._way())
            self._selector.register(sock, selectors.EVENT_WRITE, sender)
            if self._is_in_turn:
                self._send_all()
                select.select([sock], [], [], ANSWER_TIMEOUT_S)
        self._send_all()
        self.is_sent.set()

    def _send_all(self) -> None:
        while self._selector.get_map() and not self._stop.is_set():
            for key, _ in self._selector.select(0.1):
                if not key.data.send_some():
                    self._selector.unregister(key.data.sock)


@attrs.frozen
class Usage:
    """What a process holds at one moment, in bytes and descriptors."""

    # Memory of the process, its open files in full, also deleted ones, and
    # what its connections have received and it has not read.
    resident: int
    files: int
    unread: int
    fds: int

    @property
    def held(self) -> int:
        """All bytes that count as memory."""
        return self.resident + self.files + self.unread


def read_usage(pid: int, addresses: set[str]) -> Usage:
    """Reads the usage of a process that listens at these addresses."""
    files = fds = 0
    for fd in os.listdir(f"/proc/{pid}/fd"):
        with contextlib.suppress(OSError):
            status = os.stat(f"/proc/{pid}/fd/{fd}")
            fds += 1
            files += status.st_size if stat.S_ISREG(status.st_mode) else 0
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text("utf-8").split()[1]
    resident = int(pages) * os.sysconf("SC_PAGE_SIZE")
    return Usage(resident, files, read_unread(addresses), fds)


def read_unread(addresses: set[str]) -> int:
    """Returns the bytes that connections at these addresses have waiting."""
    local = {_encode_address(a) for a in addresses}
    unread = 0
    lines = pathlib.Path("/proc/net/tcp").read_text("utf-8").splitlines()
    for line in lines[1:]:
        words = line.split()
        is_listening = words[3] == "0A"
        if words[1] in local and not is_listening:
            unread += int(words[4].partition(":")[2], 16)
    return unread


def _encode_address(address: str) -> str:
    host, _, port = address.rpartition(":")
    raw = int.from_bytes(socket.inet_aton(host), "little")
    return f"{raw:08X}:{int(port):04X}"


class Meter:
    """Samples what a process holds, and keeps the peaks."""

    def __init__(self, pid: int, addresses: set[str]) -> None:
        """Samples nothing yet; see `read_usage`."""
        self._pid = pid
        self._addresses = addresses
        self.most_held = Usage(0, 0, 0, 0)
        self.most_fds = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts to sample."""
        self._thread.start()

    def close(self) -> None:
        """Stops sampling, after a last sample."""
        self._stop.set()
        self._thread.join()
        self.sample()

    def sample(self) -> None:
        """Takes one sample; none if the process has ended."""
        try:
            usage = read_usage(self._pid, self._addresses)
        except OSError:
            return
        self.most_held = max(self.most_held, usage, key=lambda u: u.held)
        self.most_fds = max(self.most_fds, usage.fds)

    def _run(self) -> None:
        while not self._stop.wait(SAMPLE_PERIOD_S):
            self.sample()


def start_site(
    memory_mb: int = MEMORY_MB,
    max_fds: int = MAX_FDS,
    body_bytes: int = MAX_BODY_BYTES,
) -> sites.Site:
    """Starts a host with these limits, two plain replicas and a store."""
    site = sites.Site(limits={"memory_mb": memory_mb, "max_fds": max_fds})
    ip = "127.0.0.1"
    site.ports.update(sites.reserve_ports(site, (ip,)))
    site.seeds.append(site.get_address(ip, "control_plane"))
    site.stage.start("store", "tests.fakes.store")
    for name in ("s1", "s2"):
        site.start_upstream(name)
    cfg = sites.make_config(["key-1"], 2)
    limits = {**cfg["limits"], "max_body_bytes": body_bytes}
    site.write("keyed.op", "config", {**cfg, "limits": limits})
    threading.Thread(target=site.write_entries, daemon=True).start()
    sites.start_host(site, ip)
    return site


def is_answered(site: sites.Site, tries: int) -> bool:
    """Returns whether an ordinary request is answered, sent again if refused.

    Each try has its own connection, as callers' retries do.
    """
    for _ in range(tries):
        with contextlib.suppress(OSError, ValueError):
            if send_alone(site, make_ordinary()).startswith(b"HTTP/1.1 200"):
                return True
        time.sleep(0.5)
    return False


def make_ordinary() -> list[bytes]:
    """Returns a small request."""
    return [make_head("Content-Length: 2", "Connection: close") + b"\r\n{}"]


class Comers:
    """Clients that begin a body, reset their connections and come again."""

    def __init__(self, address: str, count: int, begin: bytes) -> None:
        """Connects nothing yet.

        Args:
            address: IP and port.
            count: Connections at a time.
            begin: What each of them sends.
        """
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._count = count
        self._begin = begin
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts to connect."""
        self._thread.start()

    def close(self) -> None:
        """Closes all connections."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.is_set():
            socks = [self._connect() for _ in range(self._count)]
            self._stop.wait(STAY_S)
            for sock in socks:
                sock.close()

    def _connect(self) -> socket.socket:
        sock = socket.socket()
        sock.settimeout(1.0)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        with contextlib.suppress(OSError):
            sock.connect(self._address)
            sock.sendall(self._begin)
        return sock


class OpenCaller:
    """An ordinary caller that keeps its connection, if the host lets it."""

    def __init__(self, address: str) -> None:
        """Connects nothing yet.

        Args:
            address: IP and port.
        """
        self._address = address
        self._conn: http.client.HTTPConnection | None = None

    def ask(self, time_s: float, is_in_chunks: bool = False) -> float:
        """Sends a small request, and again if it is refused.

        Args:
            time_s: The caller's time, for all tries and connecting.
            is_in_chunks: Whether its body is sent in a chunk, not by length.

        Returns:
            The seconds until it was answered; infinity if it was not.
        """
        began_s = time.monotonic()
        while (left_s := began_s + time_s - time.monotonic()) > 0:
            with contextlib.suppress(OSError, http.client.HTTPException):
                if self._try(left_s, is_in_chunks) == 200:
                    return time.monotonic() - began_s
                time.sleep(0.5)
                continue
            self.close()
            time.sleep(0.05)
        return math.inf

    def _try(self, timeout_s: float, is_in_chunks: bool) -> int:
        if self._conn is None:
            self._conn = http.client.HTTPConnection(self._address)
        self._conn.timeout = timeout_s
        if self._conn.sock is not None:
            self._conn.sock.settimeout(timeout_s)
        fields = sites.make_fields("key-1")
        body = iter([b"{}"]) if is_in_chunks else b"{}"
        self._conn.request("POST", "/cards/x", body, fields)
        answer = self._conn.getresponse()
        answer.read()
        return answer.status

    def close(self) -> None:
        """Closes its connection."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None


def send_alone(
    site: sites.Site,
    pieces: list[bytes],
    pause_s: float = 0.0,
    awaits_interim: bool = False,
) -> bytes:
    """Sends one request over a connection of its own; returns the answer.

    Args:
        site: The site, whose first host is asked.
        pieces: What is sent.
        pause_s: Time between two pieces.
        awaits_interim: Whether the rest is sent after an interim answer only.
    """
    host, _, port = site.get_address(site.hosts[0], "frontend").rpartition(":")
    with socket.create_connection((host, int(port)), 20.0) as sock:
        answer = b""
        if awaits_interim:
            sock.sendall(pieces.pop(0))
            answer = sock.recv(PIECE_BYTES)
            if not answer.startswith(b"HTTP/1.1 100 "):
                return answer
        # A host that refuses may close before it has read everything.
        with contextlib.suppress(ConnectionError):
            for piece in pieces:
                sock.sendall(piece)
                time.sleep(pause_s)
        with contextlib.suppress(ConnectionError):
            while data := sock.recv(PIECE_BYTES):
                answer += data
    return answer
