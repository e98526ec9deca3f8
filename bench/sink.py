"""Opens many streams and counts their events, at little processor cost."""

from __future__ import annotations

import selectors
import socket
import time
from typing import Final

import attrs
import orjson

SELECT_S: Final = 0.05


@attrs.frozen
class Counted:
    """Events received in the counting window."""

    events: int
    seconds: float
    # Streams that the server has closed, since the sink was opened.
    lost: int


class Sink:
    """Holds open streams to one address."""

    def __init__(self, address: str, streams: int, path: str) -> None:
        host, _, port = address.rpartition(":")
        self._selector = selectors.DefaultSelector()
        self._lost = 0
        for number in range(streams):
            sock = socket.create_connection((host, int(port)))
            body = orjson.dumps(
                {
                    "model": "tailor-llm",
                    "prompt": f"p{number}",
                    "max_tokens": 100_000,
                    "stream": True,
                }
            )
            sock.sendall(
                f"POST {path} HTTP/1.1\r\nHost: x\r\nX-Workspace: grooms\r\n"
                f"Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            self._selector.register(sock, selectors.EVENT_READ)

    def count(self, seconds: float) -> Counted:
        """Counts the events received within `seconds`."""
        events = 0
        start = time.monotonic()
        end = start + seconds
        while (now := time.monotonic()) < end:
            for key, _ in self._selector.select(min(SELECT_S, end - now)):
                assert isinstance(key.fileobj, socket.socket)
                data = key.fileobj.recv(262_144)
                if not data:
                    self._selector.unregister(key.fileobj)
                    self._lost += 1
                events += data.count(b'"text":" word')
        return Counted(events, time.monotonic() - start, self._lost)

    def close(self) -> None:
        """Closes all streams."""
        for key in list(self._selector.get_map().values()):
            assert isinstance(key.fileobj, socket.socket)
            key.fileobj.close()
        self._selector.close()
