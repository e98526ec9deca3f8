"""Shared by the stand-ins: startup, flags and an endpoint to set faults."""

from __future__ import annotations

import argparse
import signal
import sys
import threading
from collections.abc import Callable
from typing import Any

from egretspur import codec, web


def run(app: web.App, listen: str, threads: int = 16) -> int:
    """Serves until SIGTERM or SIGINT; prints the address as the first line."""
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda s, f: stop.set())
    signal.signal(signal.SIGINT, lambda s, f: stop.set())
    server = web.Server(app, listen, threads)
    server.start()
    print(
        f'{{"message": "started", "address": "{server.address}"}}',
        file=sys.stderr,
        flush=True,
    )
    stop.wait()
    server.close()
    return 0


def make_parser(description: str) -> argparse.ArgumentParser:
    """Returns a parser with the flags common to all stand-ins."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--listen", default="127.0.0.1:0", help="IP:port")
    return parser


def add_faults(app: web.App, faults: dict[str, Any]) -> None:
    """Adds ``POST /faults``, which sets named faults."""

    def handle(req: web.Request) -> web.Response:
        faults.update(codec.load_json(req.read_body()))
        return web.reply_json(faults)

    app.add("POST", "/faults", handle)


def read_json(req: web.Request) -> Any:
    """Returns the request body decoded from JSON."""
    return codec.load_json(req.read_body())


def reply(value: Any, status: int = 200) -> web.Response:
    """Returns a JSON response."""
    return web.reply_json(value, status)


Handler = Callable[[web.Request], web.Response]
