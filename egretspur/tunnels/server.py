"""Connects other hosts to upstreams that they do not reach themselves.

A host asks with HTTP's CONNECT; from then on this one passes bytes in both
directions, and tells how the upstream ended its own. One thread serves all
tunnels. Read next: `egretspur.tunnels.frames`, and `egretspur.tunnels.dialer`,
which asks.
"""

from __future__ import annotations

import contextlib
import errno
import http
import logging
import selectors
import socket
import struct
import threading
import time
from typing import Final, Protocol

from egretspur import decisions, guard, transport
from egretspur.tunnels import dialer, frames, heads

_LOG: Final = logging.getLogger(__name__)

# Tunnels at once: each takes two file descriptors and its buffers.
MAX_TUNNELS: Final = 256

# Longest time to connect to an upstream, and to read a question.
CONNECT_TIMEOUT_S: Final = 0.15
QUESTION_TIMEOUT_S: Final = 1.0

# Longest time for a host to close after its upstream did.
CLOSE_TIMEOUT_S: Final = 5.0

MAX_QUESTION_BYTES: Final = 1024

# Longest head of an answer that is read; the answer is passed on in any case.
MAX_HEAD_BYTES: Final = 8192

# Bytes that wait for one side to read, beyond which the other is not read.
MAX_BUFFERED_BYTES: Final = 262_144

_READ_BYTES: Final = 65_536
_POLL_S: Final = 0.1
_CLOSE_WITH_RESET: Final = struct.pack("ii", 1, 0)


class Rules(Protocol):
    """Decides which tunnels this host opens."""

    def check(self, host: str, address: str) -> http.HTTPStatus:
        """Returns the answer to a host that asks for an upstream.

        Args:
            host: Address of the host that asks.
            address: IP and port that it asks for.

        Returns:
            OK to connect it.
        """

    def record(self, address: str, is_connected: bool) -> http.HTTPStatus:
        """Records whether this host connected; returns the answer to that."""

    def note_head(self, address: str, head: bytes) -> None:
        """Receives the head of an upstream's first answer.

        To an upstream, this host is the one that sent the request: what it
        asks for in its answer holds for this host too.
        """


class _Flow:
    """Bytes in one direction."""

    def __init__(self, source: socket.socket, sink: socket.socket) -> None:
        self.source = source
        self.sink = sink
        self.waiting = bytearray()
        # The source has sent all.
        self.is_ended = False
        # The sink takes nothing more.
        self.is_broken = False

    def read(self) -> bytes:
        """Reads what has arrived, passes it on and returns it."""
        data = self.source.recv(_READ_BYTES)
        if not data:
            self.is_ended = True
        if not self.is_broken:
            self.waiting += self.encode(data)
        self.write()
        return data

    def encode(self, data: bytes) -> bytes:
        """Returns the bytes to pass on for those read; empty at the end."""
        return data

    def write(self) -> None:
        """Passes on what the sink takes."""
        try:
            while self.waiting:
                sent = self.sink.send(self.waiting)
                del self.waiting[:sent]
        except BlockingIOError:
            return
        except OSError:
            self.is_broken = True
            self.waiting.clear()


class _FramedFlow(_Flow):
    """Bytes of an upstream, in frames."""

    def encode(self, data: bytes) -> bytes:
        """Returns a frame, or the mark of the end."""
        return frames.encode(data) if data else frames.END


class _Tunnel:
    """A host's connection and the one to its upstream."""

    def __init__(self, client: socket.socket, host: str, now_s: float) -> None:
        self.client = client
        self.host = host
        self.address = ""
        self.question = bytearray()
        # Whether the host takes the upstream's bytes in frames.
        self.is_framed = False
        self.upstream: socket.socket | None = None
        # Bytes to and from the upstream, once it is connected.
        self.up: _Flow | None = None
        self.down: _Flow | None = None
        # Begin of the first answer; None once its head was read.
        self.head: bytearray | None = bytearray()
        # When it is closed unless it gets further.
        self.deadline_s: float | None = now_s + QUESTION_TIMEOUT_S

    def list_socks(self) -> list[socket.socket]:
        """Returns its open sockets."""
        return [s for s in (self.client, self.upstream) if s is not None]

    def open(self) -> None:
        """Answers that the upstream is connected."""
        assert self.upstream is not None
        self.deadline_s = None
        self.up = _Flow(self.client, self.upstream)
        make_flow = _FramedFlow if self.is_framed else _Flow
        self.down = make_flow(self.upstream, self.client)
        self.down.waiting += _make_answer(http.HTTPStatus.OK, self.is_framed)
        self.down.write()

    def mark_reset(self) -> bool:
        """Tells the host that the upstream broke off; returns whether it did.

        Otherwise the host would take its helper for lost, and the upstream for
        sound.
        """
        if not self.is_framed or self.down is None:
            return False
        self.down.waiting += frames.RESET
        self.down.write()
        return not (self.down.waiting or self.down.is_broken)

    def take_head(self, data: bytes) -> bytes:
        """Adds bytes of the answer; returns its head once that is complete."""
        if self.head is None:
            return b""
        self.head += data
        end = self.head.find(heads.END)
        if end < 0 and len(self.head) < MAX_HEAD_BYTES:
            return b""
        found = bytes(self.head[: end + len(heads.END)]) if end >= 0 else b""
        self.head = None
        return found

    def get_events(self, sock: socket.socket) -> int:
        """Returns the events of a socket to wait for."""
        if self.up is None or self.down is None:
            is_connecting = sock is self.upstream
            return (
                selectors.EVENT_WRITE if is_connecting else selectors.EVENT_READ
            )
        out, back = (
            (self.up, self.down)
            if sock is self.client
            else (self.down, self.up)
        )
        events = 0
        if not out.is_ended and len(out.waiting) < MAX_BUFFERED_BYTES:
            events |= selectors.EVENT_READ
        if back.waiting:
            events |= selectors.EVENT_WRITE
        return events


class TunnelServer:
    """See the module's docstring."""

    def __init__(self, ip: str, port: int, gate: Rules) -> None:
        """Makes a server; `start` binds it.

        Args:
            ip: Address to listen on.
            port: TCP port.
            gate: Decides which tunnels to open.
        """
        self._ip = ip
        self._port = port
        self._gate = gate
        self._selector = selectors.DefaultSelector()
        self._listener: socket.socket | None = None
        self._tunnels: set[_Tunnel] = set()
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="tunnels", daemon=True
        )

    @property
    def open_tunnels(self) -> int:
        """Number of tunnels, including those that are being opened."""
        return len(self._tunnels)

    def count_buffered(self) -> int:
        """Returns the bytes that wait for either side to read."""
        return sum(
            len(flow.waiting)
            for tunnel in list(self._tunnels)
            for flow in (tunnel.up, tunnel.down)
            if flow is not None
        )

    def start(self) -> None:
        """Listens and starts the thread."""
        self._listener = socket.create_server((self._ip, self._port))
        self._listener.setblocking(False)
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._thread.start()

    def close(self) -> None:
        """Stops the thread, which closes all tunnels."""
        self._stop.set()

    def _run(self) -> None:
        wait_s = _POLL_S
        while not self._stop.is_set():
            with guard.log_exceptions("tunnels"):
                self._handle_events(wait_s)
                wait_s = self._expire()
        for tunnel in list(self._tunnels):
            self._close(tunnel)
        if self._listener is not None:
            self._listener.close()
        self._selector.close()

    def _handle_events(self, wait_s: float) -> None:
        for key, events in self._selector.select(wait_s):
            if key.data is None:
                self._accept()
                continue
            tunnel, sock = key.data
            if tunnel in self._tunnels:
                self._handle(tunnel, sock, events)

    def _accept(self) -> None:
        assert self._listener is not None
        try:
            client, (host, _) = self._listener.accept()
        except OSError as exc:
            _LOG.debug("no connection accepted", extra={"reason": str(exc)})
            return
        client.setblocking(False)
        dialer.set_options(client)
        tunnel = _Tunnel(client, host, time.monotonic())
        self._tunnels.add(tunnel)
        self._update(tunnel)

    def _handle(
        self, tunnel: _Tunnel, sock: socket.socket, events: int
    ) -> None:
        try:
            if tunnel.up is not None:
                self._pass_on(tunnel, sock, events)
            elif sock is tunnel.upstream:
                self._finish_connecting(tunnel)
            else:
                self._read_question(tunnel)
        except BlockingIOError:
            pass
        except OSError as exc:
            # The other side must not take a broken answer for a whole one.
            _LOG.debug("tunnel broken", extra={"reason": str(exc)})
            is_told = sock is tunnel.upstream and tunnel.mark_reset()
            self._close(tunnel, is_reset=not is_told)
        if tunnel in self._tunnels:
            self._update(tunnel)

    def _read_question(self, tunnel: _Tunnel) -> None:
        data = tunnel.client.recv(MAX_QUESTION_BYTES)
        tunnel.question += data
        is_whole = heads.END in tunnel.question
        if not data or (
            not is_whole and len(tunnel.question) >= MAX_QUESTION_BYTES
        ):
            self._close(tunnel)
        elif is_whole and tunnel.upstream is None:
            self._begin_connecting(tunnel)

    def _begin_connecting(self, tunnel: _Tunnel) -> None:
        line, _, rest = bytes(tunnel.question).partition(b"\r\n")
        words = line.split()
        given = heads.parse_fields(rest)
        if len(words) != 3 or words[0] != b"CONNECT" or given is None:
            self._refuse(tunnel, http.HTTPStatus.BAD_REQUEST)
            return
        tunnel.is_framed = given.get(frames.FIELD) == frames.VERSION
        tunnel.address = words[1].decode("latin-1")
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        if len(self._tunnels) <= MAX_TUNNELS:
            status = self._gate.check(tunnel.host, tunnel.address)
        if status != http.HTTPStatus.OK:
            self._refuse(tunnel, status)
            return
        tunnel.upstream = socket.socket()
        tunnel.upstream.setblocking(False)
        dialer.set_options(tunnel.upstream)
        tunnel.deadline_s = time.monotonic() + CONNECT_TIMEOUT_S
        problem = tunnel.upstream.connect_ex(
            transport.split_address(tunnel.address)
        )
        if problem not in (0, errno.EINPROGRESS):
            self._fail_connecting(tunnel)

    def _finish_connecting(self, tunnel: _Tunnel) -> None:
        assert tunnel.upstream is not None
        if tunnel.upstream.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._fail_connecting(tunnel)
            return
        self._gate.record(tunnel.address, True)
        decisions.record(decisions.TunnelOpened(tunnel.host, tunnel.address))
        tunnel.open()

    def _fail_connecting(self, tunnel: _Tunnel) -> None:
        self._refuse(tunnel, self._gate.record(tunnel.address, False))

    def _refuse(self, tunnel: _Tunnel, status: http.HTTPStatus) -> None:
        decisions.record(
            decisions.TunnelRefused(tunnel.host, tunnel.address, status.phrase)
        )
        with contextlib.suppress(OSError):
            tunnel.client.send(_make_answer(status))
        self._close(tunnel)

    def _pass_on(
        self, tunnel: _Tunnel, sock: socket.socket, events: int
    ) -> None:
        up, down = tunnel.up, tunnel.down
        assert up is not None and down is not None
        out, back = (up, down) if sock is tunnel.client else (down, up)
        if events & selectors.EVENT_WRITE:
            back.write()
        if events & selectors.EVENT_READ:
            data = out.read()
            head = tunnel.take_head(data) if out is down else b""
            if head:
                self._gate.note_head(tunnel.address, head)
        if up.is_ended or down.is_broken:
            # A host closes when its answer is complete or its caller has left:
            # the upstream must stop its work.
            self._close(tunnel)
        elif down.is_ended and not down.waiting and tunnel.deadline_s is None:
            tunnel.client.shutdown(socket.SHUT_WR)
            tunnel.deadline_s = time.monotonic() + CLOSE_TIMEOUT_S

    def _update(self, tunnel: _Tunnel) -> None:
        """Waits for the events that a tunnel needs now."""
        known = self._selector.get_map()
        for sock in tunnel.list_socks():
            events = tunnel.get_events(sock)
            key = known.get(sock)
            if key is None:
                if events:
                    self._selector.register(sock, events, (tunnel, sock))
            elif not events:
                self._selector.unregister(sock)
            elif key.events != events:
                self._selector.modify(sock, events, (tunnel, sock))

    def _expire(self) -> float:
        """Ends tunnels that were not opened or closed in time.

        Returns:
            Seconds until the next one is due, at most `_POLL_S`.
        """
        now_s = time.monotonic()
        wait_s = _POLL_S
        for tunnel in list(self._tunnels):
            if tunnel.deadline_s is None:
                continue
            if now_s < tunnel.deadline_s:
                wait_s = min(wait_s, tunnel.deadline_s - now_s)
            elif tunnel.upstream is not None and tunnel.up is None:
                self._fail_connecting(tunnel)
            else:
                self._close(tunnel)
        return wait_s

    def _close(self, tunnel: _Tunnel, is_reset: bool = False) -> None:
        self._tunnels.discard(tunnel)
        known = self._selector.get_map()
        for sock in tunnel.list_socks():
            if sock in known:
                self._selector.unregister(sock)
            if is_reset:
                with contextlib.suppress(OSError):
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _CLOSE_WITH_RESET
                    )
            sock.close()


def _make_answer(status: http.HTTPStatus, is_framed: bool = False) -> bytes:
    field = "" if status == http.HTTPStatus.OK else "Content-Length: 0\r\n"
    if is_framed:
        field = f"{frames.FIELD}: {frames.VERSION}\r\n"
    head = f"HTTP/1.1 {status.value} {status.phrase}\r\n{field}\r\n"
    return head.encode()
