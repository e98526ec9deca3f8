"""Steps on reading callers' requests."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import Any, Final

from behave import then, when

from egretspur import web

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
