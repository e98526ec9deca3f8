"""Steps on reading callers' requests."""

from __future__ import annotations

import http.client
import re
import socket
import time
from collections.abc import Iterator
from typing import Any, Final

import attrs
from behave import given, then, when

from egretspur import turns, web

# Plays of each length, of which the fastest counts.
PLAYS: Final = 5

HEAD: Final = (
    b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
)

# Begin of a body, what is repeated, how often in the shorter one, and the
# bytes read at a time; 0 for all at once.
FORMS: Final = {
    "in chunks of one byte, read at once": (b"", b"1\r\nx\r\n", 24_000, 0),
    "with a long chunk line, read in parts": (b"1;a=", b"x", 400_000, 8192),
    "with long trailers, read in parts": (
        b"1\r\nx\r\n0\r\n",
        b"X-A: 1\r\n",
        50_000,
        8192,
    ),
}


@when("a body {form} is read, and one 8 times as long")
def step_read(context: Any, form: str) -> None:
    begin, repeated, count, at_once = FORMS[form]
    context.costs_s = []
    for times in (1, 8):
        body = begin + repeated * count * times
        size = at_once or len(body)
        context.costs_s.append(min(_measure(body, size) for _ in range(PLAYS)))


def _measure(body: bytes, size: int) -> float:
    """Returns the processor time of reading a body in parts, in seconds."""
    server = web.Server(web.App(), "127.0.0.1:0", 1, body_bytes=1 << 30)
    server.start()
    try:
        # What the server makes for each request.
        listener = server._server
        request = listener.channel_class.parser_class(listener.adj)
        request.received(HEAD)
        parts = list(_split(body, size))
        began_s = time.thread_time()
        for part in parts:
            request.received(part)
        return time.thread_time() - began_s
    finally:
        server.close()


def _split(body: bytes, size: int) -> Iterator[bytes]:
    for begin in range(0, len(body), size):
        yield body[begin : begin + size]


@then("the longer one costs at most {factor:d} times as much processor time")
def step_linear(context: Any, factor: int) -> None:
    short_s, long_s = context.costs_s
    assert long_s <= factor * short_s, (short_s, long_s, long_s / short_s)


# Numbers of chunks of bodies that follow each other on a connection.
CHUNK_COUNTS: Final = (1, 3000, 2, 200)


@given("a server that answers with the body")
def step_echo(context: Any) -> None:
    app = web.App()
    app.add("POST", "/", lambda req: web.Response(200, {}, req.read_body()))
    context.server = web.Server(app, "127.0.0.1:0", 4)
    context.server.start()
    context.add_cleanup(context.server.close)


@when("4 requests with bodies of 1 to 3000 chunks of one byte are sent {how}")
def step_send(context: Any, how: str) -> None:
    context.bodies = [
        bytes(ord("a") + (i + n) % 26 for i in range(n)) for n in CHUNK_COUNTS
    ]
    sent = b"".join(
        HEAD + b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
        for body in context.bodies
    )
    found = re.search("[0-9]+", how)
    size = int(found[0]) if found else len(sent)
    host, _, port = context.server.address.rpartition(":")
    context.answered = []
    with socket.create_connection((host, int(port)), 10.0) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for part in _split(sent, size):
            sock.sendall(part)
        file = sock.makefile("rb")
        for _ in context.bodies:
            status = file.readline()
            fields = http.client.parse_headers(file)
            body = file.read(int(fields["Content-Length"]))
            context.answered.append((status, body))


@then("each is answered with its own body, in order")
def step_own_bodies(context: Any) -> None:
    expected = [(b"HTTP/1.1 200 OK\r\n", body) for body in context.bodies]
    assert context.answered == expected, [
        (status, len(body)) for status, body in context.answered
    ]


@attrs.define(eq=False)
class _Reader:
    """A connection with a body in chunks, without a network."""

    queue: turns.Turns
    now_s: list[float]
    # Time of a turn and steps of work in it.
    turn_s: float
    steps: int
    # Turns that it needs.
    left: int
    taken: int = 0

    def take_turn(self) -> None:
        """Takes a turn, and waits for the next."""
        self.now_s[0] += self.turn_s
        self.taken += 1
        self.left -= 1
        if self.left:
            self.queue.add(self, self.taken * self.steps)


@given(
    "{count:d} readers with turns of {turn_ms:d} ms, which have each had one"
)
def step_readers(context: Any, count: int, turn_ms: int) -> None:
    context.now_s = [0.0]
    context.queue = turns.Turns(lambda: context.now_s[0])
    context.turn_s = turn_ms / 1000
    crowd = [
        _Reader(context.queue, context.now_s, context.turn_s, 2700, 1000)
        for _ in range(count)
    ]
    for reader in crowd:
        context.queue.add(reader, 0)
    while not all(reader.taken for reader in crowd):
        context.queue.run()


@when("a reader comes that needs {count:d} turns")
def step_reader(context: Any, count: int) -> None:
    context.reader = _Reader(
        context.queue, context.now_s, context.turn_s, 4, count
    )
    context.queue.add(context.reader, 0)


@then("it has had them after {count:d} rounds, none longer than {most_ms:d} ms")
def step_rounds(context: Any, count: int, most_ms: int) -> None:
    for _ in range(count):
        began_s = context.now_s[0]
        context.queue.run()
        assert context.now_s[0] - began_s <= most_ms / 1000
    assert not context.reader.left, context.reader.left
