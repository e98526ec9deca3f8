"""Stand-in for a network middlebox between two hosts: forwards TCP bytes.

Faults: ``forget`` (keeps the currently open connections open but drops all
their bytes; new connections work), ``cut`` (closes all connections and
refuses new ones).
"""

from __future__ import annotations

import socket
import sys
import threading
from typing import Any

from egretspur import web
from tests.fakes import base


class Middlebox:
    """Forwards bytes between callers and one target."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._lock = threading.Lock()
        # Sockets of the open connections, and the connections whose bytes are
        # dropped.
        self._pairs: dict[int, list[Any]] = {}
        self._forgotten: set[int] = set()
        self._is_cut = False
        threading.Thread(target=self._accept, daemon=True).start()

    def set_faults(self, faults: dict[str, Any]) -> None:
        """Sets faults."""
        with self._lock:
            if faults.get("forget"):
                self._forgotten.update(self._pairs)
            self._is_cut = faults.get("cut", self._is_cut)
            pairs = list(self._pairs.values()) if self._is_cut else []
        for pair in pairs:
            for sock in pair:
                _shut(sock)

    def _accept(self) -> None:
        number = 0
        while True:
            caller, _ = self._listener.accept()
            number += 1
            if self._is_cut:
                caller.close()
                continue
            try:
                target = socket.create_connection(self._target, timeout=1.0)
            except OSError:
                caller.close()
                continue
            target.settimeout(None)
            with self._lock:
                self._pairs[number] = [caller, target]
            for pair in ((caller, target), (target, caller)):
                threading.Thread(
                    target=self._pump, args=(number, *pair), daemon=True
                ).start()

    def _pump(
        self, number: int, source: socket.socket, sink: socket.socket
    ) -> None:
        try:
            while data := source.recv(65_536):
                if number in self._forgotten:
                    continue
                sink.sendall(data)
        except OSError:
            pass
        if number in self._forgotten:
            return
        _shut(sink)
        _shut(source)
        with self._lock:
            self._pairs.pop(number, None)


def _shut(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def main() -> int:
    """Entry point."""
    parser = base.make_parser(__doc__ or "")
    parser.add_argument("--target", required=True, help="IP:port")
    args = parser.parse_args()
    box = Middlebox(args.target)
    app = web.App()

    def faults(req: web.Request) -> web.Response:
        box.set_faults(base.read_json(req))
        return base.reply({})

    app.add("POST", "/faults", faults)
    app.add("GET", "/address", lambda r: base.reply({"address": box.address}))
    return base.run(app, args.listen, 4)


if __name__ == "__main__":
    sys.exit(main())
