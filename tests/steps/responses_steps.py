"""Steps on responses that break off, read by the product's own clients."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from typing import Any, Final
from unittest import mock

import attrs
import hypothesis
from behave import then, when
from hypothesis import strategies as st

from egretspur import ends, transport
from egretspur.clients import engine
from egretspur.tunnels import dialer, heads
from tests.steps import upstream_steps

HEAD: Final = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nReplica-Signature: s\r\n"

# Field values of a head that tells a length, or that the body is in chunks.
FRAMINGS: Final = ("length", "two lengths", "chunks", "connection")
INTERIM: Final = (100, 102, 103)


class BrokenSocket(socket.socket):
    """A connection whose bytes are followed by an end of some kind."""

    how = "closed"

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Reads bytes; raises an error after the last, unless closed."""
        count = super().recv_into(buffer, nbytes, flags)
        if count or self.how == "closed":
            return count
        if self.how == "reset":
            raise ConnectionResetError("by the test")
        if self.how == "helper lost":
            raise ends.HelperLostError("by the test")
        raise TimeoutError("by the test")


@attrs.frozen
class Drawn:
    """A response, and how much of it comes."""

    body: bytes
    head: bytes
    framed_body: bytes
    is_framed: bool
    cut: int
    # How the connection ends after that.
    how: str

    @property
    def sent(self) -> bytes:
        """The bytes that come."""
        return (self.head + self.framed_body)[: self.cut]

    @property
    def whole(self) -> bytes | None:
        """The body if all of the response comes; None otherwise."""
        if len(self.sent) < len(self.head):
            return None
        if self.is_framed:
            is_whole = len(self.sent) == len(self.head + self.framed_body)
            return self.body if is_whole else None
        # Only the end of the connection tells where it ends.
        return self.sent[len(self.head) :] if self.how == "closed" else None


@st.composite
def draw_response(draw: Any) -> Drawn:
    """Draws a response in a form that HTTP allows, and its end."""
    parts = draw(st.lists(st.binary(min_size=1, max_size=30), max_size=3))
    body = b"".join(parts)
    framing = draw(st.sampled_from(FRAMINGS))
    fields = draw(st.lists(st.sampled_from(("X-A: 1", "x-b:", "X-C: 0"))))
    framed = body
    if framing == "length":
        fields.append(f"Content-Length: {len(body)}")
    elif framing == "two lengths":
        fields.append(f"content-length: {len(body)}, {len(body)}")
    elif framing == "chunks":
        fields.append("Transfer-Encoding: chunked")
        framed = b"".join(_make_chunk(draw, p) for p in parts)
        trailer = draw(st.sampled_from((b"", b"X-T: 1\r\n", b"a:\r\nb:\r\n")))
        framed += draw(st.sampled_from((b"0", b"00", b"0;x"))) + b"\r\n"
        framed += trailer + b"\r\n"
    interim = "".join(
        f"HTTP/1.1 {s} x\r\nX-I: 1\r\n\r\n"
        for s in draw(st.lists(st.sampled_from(INTERIM), max_size=1))
    )
    lines = "".join(f"{f}\r\n" for f in draw(st.permutations(fields)))
    head = f"{interim}{HEAD}{lines}\r\n".encode()
    size = len(head) + len(framed)
    cut = draw(st.one_of(st.just(size), st.integers(0, size)))
    how = draw(st.sampled_from(("closed", "reset", "helper lost", "silent")))
    return Drawn(body, head, framed, framing != "connection", cut, how)


def _make_chunk(draw: Any, data: bytes) -> bytes:
    size = draw(st.sampled_from(("%x", "%X", "0%x"))) % len(data)
    extension = draw(st.sampled_from(("", ";a", ' ;a="1;2"')))
    return f"{size}{extension}\r\n".encode() + data + b"\r\n"


def read_as_upstream(sock: socket.socket) -> bytes | None:
    """Reads as the client of callers' requests; None if not complete."""
    context = mock.Mock()
    link = dialer.Connection(sock, "")
    own = mock.Mock(open=mock.Mock(return_value=link))
    upstream_steps.send(context, "h:1", own=own)
    if context.outcome_body is None:
        return None
    body: bytes = context.outcome_body
    return body


def read_as_call(sock: socket.socket) -> bytes | None:
    """Reads as the client of calls among processes; None if not complete."""
    client = transport.Transport(1.0, 1.0, lambda address, timeout_s: sock)
    res = client.call("GET", "127.0.0.1:1", "/")
    client.close()
    return None if isinstance(res, transport.Failed) else res.body


READERS: Final[dict[str, Callable[[socket.socket], bytes | None]]] = {
    "the client of callers' requests": read_as_upstream,
    "the client of calls among processes": read_as_call,
}


def check(read: Callable[[socket.socket], bytes | None], drawn: Drawn) -> None:
    """Checks that a response is complete only if it came whole."""
    near, far = socket.socketpair()
    with far, BrokenSocket(fileno=near.detach()) as sock:
        sock.how = drawn.how
        far.sendall(drawn.sent)
        far.shutdown(socket.SHUT_WR)
        found = read(sock)
    whole = drawn.whole
    if read is read_as_upstream and not drawn.is_framed and whole == b"":
        # An upstream that dies after its head ends its connection so, too.
        whole = None
    assert found == whole, (drawn.sent, drawn.how, found, whole)


@when("{reader} reads responses that break off anywhere, {count:d} times")
def step_broken_off(context: Any, reader: str, count: int) -> None:
    settings = hypothesis.settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    read = READERS[reader]

    @settings
    @hypothesis.given(draw_response())
    def run(drawn: Drawn) -> None:
        check(read, drawn)

    run()
    context.finished = True


@then("all that it takes as complete came whole, and all that came whole")
def step_only_whole(context: Any) -> None:
    assert context.finished


def find_status(reader: str, data: bytes) -> int | None:
    """Returns the status as which a response is taken; None if it is none."""
    if reader == "a helper":
        found = heads.parse(data.partition(heads.END)[0])
        return found[0] if found else None
    near, far = socket.socketpair()
    with far, near:
        far.sendall(data)
        far.shutdown(socket.SHUT_WR)
        if reader == "the client of calls among processes":
            client = transport.Transport(
                1.0, 1.0, lambda address, timeout: near
            )
            res = client.call("GET", "127.0.0.1:1", "/")
            client.close()
            return None if isinstance(res, transport.Failed) else res.status
        context = mock.Mock()
        own = mock.Mock(
            open=mock.Mock(return_value=dialer.Connection(near, ""))
        )
        upstream_steps.send(context, "h:1", own=own)
        answered = context.outcome_body is not None
        return context.answer.status if answered else None


@when('{reader} reads a response that begins with "{line}"')
def step_first_line(context: Any, reader: str, line: str) -> None:
    fields = HEAD.partition("\r\n")[2]
    data = f"{line}\r\n{fields}Content-Length: 2\r\n\r\nok".encode()
    context.found = find_status(reader, data)


@then('it takes it as "{status}"')
def step_status(context: Any, status: str) -> None:
    expected = None if status == "none" else int(status)
    assert context.found == expected, context.found


def answer(context: Any, data: bytes) -> None:
    """Has an upstream send bytes and close."""
    context.play = upstream_steps.Listener(data, "closes")
    upstream_steps.send(context, context.play.start())


@when('an upstream sends "{head}" and a body that ends with its connection')
def step_head(context: Any, head: str) -> None:
    fields = head.replace("\\n", "\r\n")
    answer(context, f"{HEAD}{fields}\r\n\r\nok".encode())


@when('an upstream sends chunks "{chunks}"')
def step_chunks(context: Any, chunks: str) -> None:
    body = chunks.replace("\\n", "\r\n")
    answer(context, f"{HEAD}Transfer-Encoding: chunked\r\n\r\n{body}".encode())


@when("an upstream sends an interim response of status {status:d} first")
def step_interim(context: Any, status: int) -> None:
    first = f"HTTP/1.1 {status} x\r\nLink: a\r\n\r\n"
    answer(context, f"{first}{HEAD}Content-Length: 2\r\n\r\nok".encode())


# What a sender repeats without end.
UNITS: Final = (
    b"a",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 102 x\r\nX-I: 1\r\n\r\n",
    b"X-More: 1\r\n",
    b"\r\n",
    b"5\r\nabcde\r\n",
    b"5;" + b"e" * 500 + b"\r\nabcde\r\n",
    b"id: 1\n\n",
)

# Bytes sent together at most, and the pauses between two sends in s: from a
# byte now and then to some megabytes a second.
MAX_SENT_BYTES: Final = 30_000
PAUSES_S: Final = (0.1, 0.01)

# How long readers live, and how long it may take until they are seen to end.
LIFE_S: Final = 0.4
SEEN_S: Final = 10.0


@attrs.frozen
class Endless:
    """A beginning of a response, and bytes that follow without end."""

    prefix: bytes
    unit: bytes
    pause_s: float

    def send(self, sock: socket.socket) -> None:
        """Sends until the other end closes."""
        with contextlib.suppress(OSError):
            sock.sendall(self.prefix)
            while True:
                sock.sendall(self.unit)
                time.sleep(self.pause_s)


@st.composite
def draw_endless(draw: Any) -> Endless:
    """Draws bytes that may be the beginning of a response."""
    whole = draw(draw_response())
    unit = draw(st.one_of(st.sampled_from(UNITS), st.binary(min_size=1)))
    many = MAX_SENT_BYTES // len(unit)
    return Endless(
        (whole.head + whole.framed_body)[: whole.cut],
        unit * draw(st.sampled_from((1, 1, many))),
        draw(st.sampled_from(PAUSES_S)),
    )


def read_request(sock: socket.socket, life_s: float, leave_s: float) -> None:
    """Reads as the client of callers' requests, until it ends."""
    context = mock.Mock()
    link = dialer.Connection(sock, "")
    own = mock.Mock(open=mock.Mock(return_value=link))
    leaver = threading.Timer(leave_s, lambda: context.leaving.abort_all())
    # The process must not wait for it.
    leaver.daemon = True
    leaver.start()
    upstream_steps.send(context, "h:1", own=own, live_s=life_s)


def read_call(sock: socket.socket, life_s: float, leave_s: float) -> None:
    """Reads as the client of calls among processes, until it ends."""
    silence_s = life_s / transport.ANSWER_TIME_FACTOR
    client = transport.Transport(1.0, silence_s, lambda address, s: sock)
    client.call("GET", "127.0.0.1:1", "/")
    client.close()


def read_events(sock: socket.socket, life_s: float, leave_s: float) -> None:
    """Reads as the client of engines, until the attempt ends."""
    client = engine.EngineClient(1.0, life_s, life_s, dial=lambda a, s: sock)
    hop = engine.Hop("u", "127.0.0.1:1", 0, 4)
    call = engine.RunCall("q", 1, "m", "", "v", "text", (), 9, 1, (hop,))
    stream = client.run(call)
    while isinstance(stream, engine.EventStream) and not stream.ended:
        if isinstance(stream.read(), engine.StreamFailure):
            break
    if isinstance(stream, engine.EventStream):
        stream.discard()
    client.close()


ENDLESS_READERS: Final = {
    "the client of callers' requests": read_request,
    "the client of calls among processes": read_call,
    "the client of engines": read_events,
}


def connect_pair() -> tuple[socket.socket, socket.socket]:
    """Returns both ends of a TCP connection.

    Bytes that arrive after one was shut down can still be read.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    return near, far


def check_ends(reader: str, end: str, drawn: Endless) -> None:
    """Checks that a reader ends though bytes keep coming."""
    read = ENDLESS_READERS[reader]
    leaves = end == "their callers leave"
    life_s, leave_s = (60.0, LIFE_S) if leaves else (LIFE_S, 60.0)
    near, far = connect_pair()
    sender = threading.Thread(target=drawn.send, args=(far,), daemon=True)
    sender.start()
    thread = threading.Thread(
        target=read, args=(near, life_s, leave_s), daemon=True
    )
    thread.start()
    thread.join(SEEN_S)
    has_ended = not thread.is_alive()
    far.close()
    assert has_ended, (drawn.prefix, drawn.unit[:50], drawn.pause_s)


@when(
    "{reader} reads responses that go on without end, {count:d} times, and"
    " {end}"
)
def step_endless(context: Any, reader: str, count: int, end: str) -> None:
    @hypothesis.settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        # A read that does not end takes seconds, and so would its shrinking.
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(draw_endless())
    def run(drawn: Endless) -> None:
        check_ends(reader, end, drawn)

    run()
    context.finished = True


@then("each of them has ended")
def step_ended(context: Any) -> None:
    assert context.finished


@when(
    "an upstream sends an interim response, and {seconds:g} s later the final"
    " one"
)
def step_slow_interim(context: Any, seconds: float) -> None:
    near, far = socket.socketpair()
    context.add_cleanup(far.close)
    final = f"{HEAD}Content-Length: 2\r\n\r\nok".encode()

    def send() -> None:
        far.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        time.sleep(seconds)
        far.sendall(final)

    threading.Thread(target=send, daemon=True).start()
    link = dialer.Connection(near, "")
    own = mock.Mock(open=mock.Mock(return_value=link))
    upstream_steps.send(context, "h:1", own=own, live_s=20.0)
