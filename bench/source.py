"""A fake engine that sends token events at little cost, to load a router.

One thread answers every run with events at a fixed rate, so that a machine
can hold hundreds of streams without spending its CPU on the fake engine.
"""

from __future__ import annotations

import json
import selectors
import socket
import sys
import time
from typing import Any, Final

import attrs
import orjson

from tests.fakes import base

TICK_S: Final = 0.005


@attrs.define
class Stream:
    """The state of one open run."""

    sock: socket.socket
    request: str
    attempt: int
    layers: str
    position: int
    count: int
    due_s: float


class Source:
    """Accepts runs and sends their token events."""

    def __init__(self, events_per_s: float) -> None:
        self._period_s = 1.0 / events_per_s
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self._listener.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ, None)
        self._buffers: dict[socket.socket, bytes] = {}
        self._streams: dict[socket.socket, Stream] = {}
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"

    def run(self) -> None:
        """Serves until the process ends."""
        while True:
            for key, _ in self._selector.select(TICK_S):
                if key.data is None:
                    self._accept()
                else:
                    self._read(key.data)
            now = time.monotonic()
            for stream in list(self._streams.values()):
                while stream.due_s <= now and stream.sock in self._streams:
                    self._send(stream)

    def _accept(self) -> None:
        sock, _ = self._listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._buffers[sock] = b""
        self._selector.register(sock, selectors.EVENT_READ, sock)

    def _read(self, sock: socket.socket) -> None:
        try:
            data = sock.recv(65_536)
        except OSError:
            data = b""
        if not data:
            self._drop(sock)
            return
        self._buffers[sock] += data
        head, split, body = self._buffers[sock].partition(b"\r\n\r\n")
        if not split:
            return
        length = 0
        for line in head.split(b"\r\n")[1:]:
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        if len(body) < length:
            return
        self._buffers[sock] = b""
        self._begin(sock, head, orjson.loads(body) if body else {})

    def _begin(self, sock: socket.socket, head: bytes, call: Any) -> None:
        if not head.startswith(b"POST /run"):
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            return
        layers = ">".join(
            f"{h['upstream']}:{h['first']}-{h['last']}" for h in call["route"]
        )
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        # Spreads the streams' first events over the period, since independent
        # streams are not in phase.
        spread = (len(self._streams) * 0.618) % 1.0 * self._period_s
        self._streams[sock] = Stream(
            sock,
            call["request"],
            call["attempt"],
            layers,
            0,
            call["max_tokens"],
            time.monotonic() + spread,
        )

    def _send(self, stream: Stream) -> None:
        stream.due_s += self._period_s
        event: dict[str, Any] = {"r": stream.request, "a": stream.attempt}
        if stream.position < stream.count:
            event |= {"p": stream.position, "t": " word", "l": stream.layers}
        else:
            event |= {"end": stream.count, "load": len(self._streams)}
        stream.position += 1
        line = orjson.dumps(event) + b"\n"
        data = b"%x\r\n%b\r\n" % (len(line), line)
        if "end" in event:
            data += b"0\r\n\r\n"
            del self._streams[stream.sock]
        try:
            stream.sock.sendall(data)
        except OSError:
            self._drop(stream.sock)

    def _drop(self, sock: socket.socket) -> None:
        self._streams.pop(sock, None)
        self._buffers.pop(sock, None)
        self._selector.unregister(sock)
        sock.close()


def main() -> int:
    """Entry point."""
    parser = base.make_parser(__doc__ or "")
    parser.add_argument("--events-per-s", type=float, default=20.0)
    args = parser.parse_args()
    source = Source(args.events_per_s)
    started = {"message": "started", "address": source.address}
    print(json.dumps(started), file=sys.stderr, flush=True)
    source.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
