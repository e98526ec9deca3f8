"""Steps on answers to callers that read to the end of their connection."""

from __future__ import annotations

import socket
import struct
import time
from collections.abc import Callable
from typing import Any, Final

from behave import given, then, when

from tests import stage

EVENTS: Final = 20
LAYERS: Final = 8
PAUSE_S: Final = 0.03
REQUEST: Final = (
    b"POST /x HTTP/1.0\r\nAttempt-Id: 1\r\nTarget-Replica: e\r\n"
    b"Hop-Count: a:1=0-8\r\nContent-Length: 0\r\n\r\n"
)


@given("a server of streams of 20 events")
def step_server(context: Any) -> None:
    context.play = stage.Stage()
    args = ("--name", "e", "--layers", str(LAYERS))
    context.process = context.play.start("e", "tests.fakes.replica", *args)
    order = {"operation": "place", "source": 0, "to": LAYERS}
    context.play.call("POST", "e", "/egretspur/order", order)
    set_faults(context, {"events": EVENTS, "pause_s": PAUSE_S})


def set_faults(context: Any, faults: dict[str, Any]) -> None:
    """Sets faults of the server."""
    context.play.call("POST", "e", "/faults", faults)


@when("a caller of HTTP/1.0 asks, and nothing happens")
def step_nothing(context: Any) -> None:
    ask(context, lambda: None)


@when(
    "a caller of HTTP/1.0 asks, and the answer breaks off after {count:d}"
    " events"
)
def step_breaks_off(context: Any, count: int) -> None:
    set_faults(context, {"cut_after": count})
    ask(context, lambda: None)


@when("a caller of HTTP/1.0 asks, and the server is killed")
def step_killed(context: Any) -> None:
    ask(context, context.process.kill)


@when("a caller of HTTP/1.0 asks, and the server stops")
def step_stops(context: Any) -> None:
    ask(context, context.process.terminate)


def ask(context: Any, then: Callable[[], None]) -> None:
    """Sends a request, does something, and reads to the end."""
    host, _, port = context.process.address.rpartition(":")
    with socket.create_connection((host, int(port)), 5.0) as sock:
        sock.sendall(REQUEST)
        context.data = sock.recv(65_536)
        time.sleep(5 * PAUSE_S)
        then()
        context.is_broken = False
        try:
            while part := sock.recv(65_536):
                context.data += part
        except ConnectionResetError:
            context.is_broken = True


@then("it reads all events and the end")
def step_all(context: Any) -> None:
    assert context.data.count(b"id: ") == EVENTS, context.data
    assert not context.is_broken


@then("it reads a part and a broken connection")
def step_part(context: Any) -> None:
    assert 0 < context.data.count(b"id: ") < EVENTS, context.data
    assert context.is_broken, context.data[-60:]


@when("{count:d} callers reset their connections after an answer")
def step_hang_up(context: Any, count: int) -> None:
    host, _, port = context.process.address.rpartition(":")
    for _ in range(count):
        with socket.create_connection((host, int(port)), 5.0) as sock:
            sock.sendall(b"GET /runs HTTP/1.1\r\nHost: a\r\n\r\n")
            assert b"200 OK" in sock.recv(65_536)
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )


@then("the server answers")
def step_answers(context: Any) -> None:
    assert context.play.call("GET", "e", "/runs") == []
