"""Steps on time limits of routes, by callers on sockets of their own."""

from __future__ import annotations

import concurrent.futures
import http.client
import io
import random
import socket
import time
from collections.abc import Iterator
from typing import Any, Final

import attrs
from behave import given, then, when

from egretspur import web
from egretspur.delivery import buffers, intake
from egretspur.platform import ingress
from egretspur.routing import desk, jobs
from tests import fleets, sites

TIMEOUT_S: Final = 3.0

# Longer than any request of these tests may last.
SILENT_S: Final = 30.0

# How much later a caller sends the rest of its request.
LATE_S: Final = 1.5

# Pieces of a head that comes slowly.
PIECES: Final = 15

BODY: Final = b"{}"
CHUNKED_BODY: Final = b"2\r\n{}\r\n"
LAST_CHUNK: Final = b"0\r\n\r\n"

# Time for a version of the configuration to be in force.
APPLY_S: Final = 2.5

# Route whose requests wait for a thread, and its time limit.
PLAIN_PATH: Final = "/status/x"
PLAIN_TIMEOUT_S: Final = 1.0


@given("replicas that do not answer, and routes that allow 3 s")
def step_silent(context: Any) -> None:
    site = context.play
    for name in site.entries:
        if name.startswith("s"):
            site.set_fault(name, {"delay_s": SILENT_S})
    cfg = sites.make_config(["key-1"], 3, timeout_s=TIMEOUT_S)
    site.write("keyed.op", "config", cfg)
    time.sleep(APPLY_S)


@when("{count:d} callers send {requests} to {path}")
def step_send(context: Any, count: int, requests: str, path: str) -> None:
    host = context.play.hosts[0]
    address = context.play.get_address(host, "frontend")
    context.limit_s = TIMEOUT_S
    context.took_s = call_all(address, count, requests, path)


def call_all(address: str, count: int, requests: str, path: str) -> list[float]:
    """Has callers send at once; returns the seconds until each answer."""
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        futs = [
            pool.submit(call, address, requests, path, number)
            for number in range(count)
        ]
        return [took_s for fut in futs for took_s in fut.result()]


def call(address: str, requests: str, path: str, number: int) -> list[float]:
    """Sends requests; returns the seconds from their start to each answer."""
    host, _, port = address.rpartition(":")
    expected = 3 if requests.startswith("three") else 1
    took_s = []
    with socket.create_connection((host, int(port)), SILENT_S) as sock:
        began_s = time.monotonic()
        for part, pause_s in make_parts(requests, path, number):
            sock.sendall(part)
            time.sleep(pause_s)
        reader = sock.makefile("rb")
        for _ in range(expected):
            status = read_answer(reader)
            assert status in (503, 504), status
            took_s.append(time.monotonic() - began_s)
    return took_s


def read_answer(reader: io.BufferedReader) -> int:
    """Reads an answer with a length; returns its status."""
    status = int(reader.readline().split(b" ")[1])
    fields = http.client.parse_headers(reader)
    reader.read(int(fields["Content-Length"]))
    return status


def make_parts(
    requests: str, path: str, number: int
) -> Iterator[tuple[bytes, float]]:
    """Yields what is sent, and the seconds until the next part."""
    body = BODY
    if requests == "a last chunk 1.5 s late":
        yield make_head(path, number, "Transfer-Encoding: chunked"), 0.0
        yield CHUNKED_BODY, LATE_S
        yield LAST_CHUNK, 0.0
        return
    head = make_head(path, number, f"Content-Length: {len(body)}")
    if requests == "a body 1.5 s after the head":
        yield head, LATE_S
        yield body, 0.0
    elif requests == "a head in pieces for 1.5 s":
        size = len(head) // PIECES + 1
        for at in range(0, len(head), size):
            yield head[at : at + size], LATE_S / PIECES
        yield body, 0.0
    elif requests == "three requests on a connection":
        yield (head + body) * 3, 0.0
    else:
        assert requests == "one request", requests
        yield head + body, 0.0


def make_head(path: str, number: int, framing: str) -> bytes:
    """Returns the head of a request."""
    fields = sites.make_fields("key-1")
    fields["Attempt-Id"] += f"-{number}"
    lines = [f"POST {path} HTTP/1.1", framing]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join((*lines, "", "")).encode()


@then("each answer comes within 0.5 s of the time limit")
def step_in_time(context: Any) -> None:
    latest_s = context.limit_s + 0.5
    late = sorted(s for s in context.took_s if s > latest_s)
    assert not late, (len(late), len(context.took_s), late)


class SilentDesk:
    """Decides nothing; see `desk.Desk`."""

    def arrive(self, job: jobs.Job) -> desk.DecisionFuture:
        """Returns a decision that is never made."""
        return concurrent.futures.Future()

    def tell(self, message: Any) -> None:
        """Ignores a message."""


class Entrance:
    """A server of two threads whose requests wait for decisions."""

    def __init__(self) -> None:
        self._intake = intake.Intake(
            SilentDesk(),  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            random.Random(1),
            buffers.BodyBuffers(fleets.MEMORY_BYTES),
        )
        cfg = fleets.make_config()
        routes = tuple(attrs.evolve(r, host=sites.HOST) for r in cfg.routes)
        self._intake.configure(attrs.evolve(cfg, routes=routes, keys=None))
        app = web.App()
        app.add("*", "/{rest*}", self._serve)
        self.server = web.Server(app, "127.0.0.1:0", 2)
        self.server.start()

    def _serve(self, req: web.Request) -> web.Response:
        return self._intake.serve(ingress.read_request(req), req)

    def close(self) -> None:
        """Stops the server."""
        self.server.close()


@given("a host with two threads, and no decisions")
def step_threads(context: Any) -> None:
    context.play = Entrance()


@when("{count:d} requests that may last 1 s come at once")
def step_crowd(context: Any, count: int) -> None:
    context.limit_s = PLAIN_TIMEOUT_S
    address = context.play.server.address
    context.took_s = call_all(address, count, "one request", PLAIN_PATH)
