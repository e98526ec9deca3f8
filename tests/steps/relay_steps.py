"""Steps on a relay whose dependencies are stubs, and on the pump."""

from __future__ import annotations

import concurrent.futures
import json
import logging
import re
import socket
import threading
import time
from typing import Any

import attrs
from behave import given, then, when

from egretspur import decisions, ends, errors
from egretspur.clients import engine
from egretspur.delivery import pump, relay
from egretspur.intents import records
from egretspur.routing import graph, requests, tables
from tests.steps import forward_steps

FIRST_S = 5.0
BETWEEN_S = 2.0

# An attempt that ends long before this was not ended for its silence.
SILENCE_S = 30.0


@attrs.define
class Stub:
    """Traffic, engines, canceller, pump and stream in one."""

    tokens: int
    max_silence_s: float = BETWEEN_S
    bound_s: float = 0.0
    sent: int = 0
    request: str = ""
    attempts: int = 0
    # Runs of the stream until its end; all but the last find it silent.
    silences: int = 0
    has_path: bool = False
    is_caller_gone: bool = False

    def arrive(self, arrival: requests.Arrival) -> Any:
        """Grants a path at once."""
        fut: concurrent.futures.Future[Any] = concurrent.futures.Future()
        fut.set_result(make_grant(arrival.id))
        return fut

    def fail(self, failure: requests.Failure) -> Any:
        """Grants another path, or refuses if the caller left."""
        if self.is_caller_gone:
            fut: concurrent.futures.Future[Any] = concurrent.futures.Future()
            return fut
        return self.arrive(requests.Arrival(failure.id, "w", "m"))

    def may_replace(self, request_id: str) -> bool:
        """Returns whether there is another path."""
        return self.has_path

    def run(self, *args: Any) -> Any:
        """As engine, returns a stream; as pump, records the limit and stops."""
        if len(args) == 1:
            self.request = args[0].request
            self.attempts += 1
            return self
        self.bound_s = args[2]
        if not self.silences:
            raise StopIteration
        return self.run_silent(args[1])

    def run_silent(self, consumer: Any) -> Any:
        """As pump, finds the stream silent several times, then at its end."""
        self.silences -= 1
        if self.silences and self.attempts == 1:
            return engine.StreamFailure(
                "silent",
                maybe_started=True,
                ended_by=ends.EndedBy.HOST,
                is_silent=True,
            )
        consumer.handle_events([engine.EndEvent("q", self.attempts, 1, 0)])
        return None

    def finish(self, *args: Any) -> None:
        """Does nothing."""

    def tell(self, message: Any) -> None:
        """Does nothing."""

    def read(self) -> Any:
        """Returns the first tokens, or breaks without any."""
        if self.sent < self.tokens:
            self.sent += 1
            return [engine.TokenEvent(self.request, 1, 0, "t", "u:0-4")]
        return engine.StreamFailure("reset", maybe_started=True)

    def discard(self) -> None:
        """Does nothing."""

    def cancel(self, *args: Any) -> None:
        """Does nothing."""


def make_grant(request_id: str) -> requests.Grant:
    """Returns a path of one stage."""
    return requests.Grant(
        request_id,
        graph.Path((graph.Edge("u", 0, 4, 1.0),), "d"),
        records.Binding("w", "m", ("d",), 1, 0),
        (tables.Upstream("u", "u", "1", "dc", False, "", 1.0, 1),),
        records.Deployment("d", "m", "", "v", "dc", 4, ()),
    )


@given("an attempt that has delivered {tokens:d} tokens")
def step_attempt(context: Any, tokens: int) -> None:
    context.stub = Stub(tokens=1)
    stub: Any = context.stub
    tools = relay.RelayDependencies(stub, stub, stub, stub, FIRST_S)
    prompt = relay.Prompt("q", "w", "m", "text", 10)
    context.relay = relay.Relay(
        prompt, tools, lambda: bool(context.stub.is_caller_gone)
    )
    assert context.relay.begin() == ["t"]
    if not tokens:
        # A second attempt, which has delivered no token.
        context.relay._open(make_grant("q"))


@when("its stream is handed to the pump")
def step_pump(context: Any) -> None:
    try:
        context.relay.run(lambda texts: None)
    except StopIteration:
        pass


@given("no path that could replace it")
def step_no_path(context: Any) -> None:
    context.stub.has_path = False


@given("a path that could replace it")
def step_path(context: Any) -> None:
    context.stub.has_path = True


@when("its stream is silent {times:d} times and then goes on to its end")
def step_silent_times(context: Any, times: int) -> None:
    context.stub.silences = times + 1
    context.end = context.relay.run(lambda texts: None)


@then("the answer is whole after {count} attempts")
@then("the answer is whole after {count} attempt")
def step_whole_after(context: Any, count: str) -> None:
    assert isinstance(context.end, relay.Completion), context.end
    assert context.stub.attempts == {"one": 1, "two": 2}[count]


@when("its stream is silent until its caller leaves")
def step_silent_left(context: Any) -> None:
    context.stub.silences = 1_000_000
    lines = context.lines = forward_steps.Lines()
    level = decisions.LOGGER.level
    decisions.LOGGER.setLevel(logging.INFO)
    decisions.LOGGER.addHandler(lines)
    context.add_cleanup(decisions.LOGGER.setLevel, level)
    context.add_cleanup(decisions.LOGGER.removeHandler, lines)
    gone = threading.Timer(
        0.3, lambda: setattr(context.stub, "is_caller_gone", True)
    )
    gone.start()
    context.end = context.relay.run(lambda texts: None)


@then("the request ends as one whose caller left, and is logged so")
def step_left(context: Any) -> None:
    assert context.end.kind is errors.ErrorKind.CALLER_GONE, context.end
    logged = [f.get("event") for f in context.lines.fields]
    assert logged[-1] == "request_left", logged


@then("its silence limit is {bound:g} s")
def step_bound(context: Any, bound: float) -> None:
    assert context.stub.bound_s == bound, context.stub


@attrs.define
class BufferedStream:
    """A stream that is completely buffered or arrives later."""

    sock: socket.socket
    is_buffered: bool
    max_silence_s: float = 2.0
    ended: bool = False
    failure: engine.StreamFailure | None = None

    def set_event_timeout(self) -> None:
        """Nothing to do."""

    def has_buffered(self) -> bool:
        """Returns the value given to the constructor."""
        return self.is_buffered

    def read_ready(self) -> list[engine.Event]:
        """Returns the end."""
        self.ended = True
        return [engine.EndEvent("r", 1, 0, 0)]


class Ending:
    """Stops after the first events; see `pump.Consumer`."""

    def handle_events(self, events: list[engine.Event]) -> bool:
        """Ends the stream."""
        return False


@given("a pump that has read an answer completely buffered beforehand")
def step_buffered(context: Any) -> None:
    context.pump = pump.Pump()
    context.pump.start()
    context.ends = socket.socketpair()
    stream = BufferedStream(context.ends[0], True)
    assert context.pump.run(stream, Ending(), 2.0) is None


@when("it is handed an answer that arrives later")
def step_later_answer(context: Any) -> None:
    context.ends[1].send(b"x")
    stream = BufferedStream(context.ends[0], False)
    context.thread = threading.Thread(
        target=context.pump.run, args=(stream, Ending(), 2.0), daemon=True
    )
    context.thread.start()


@then("that answer is forwarded as well")
def step_passed_on(context: Any) -> None:
    context.thread.join(5.0)
    is_stuck = context.thread.is_alive()
    if not is_stuck:
        context.pump.close()
    for end in context.ends:
        end.close()
    assert not is_stuck


@given("a pump that was handed an answer whose connection is closed")
def step_closed(context: Any) -> None:
    context.pump = pump.Pump()
    context.pump.start()
    context.ends = socket.socketpair()
    closed, other = socket.socketpair()
    closed.close()
    other.close()
    stream = BufferedStream(closed, False)
    thread = threading.Thread(
        target=context.pump.run, args=(stream, Ending(), 2.0), daemon=True
    )
    thread.start()
    thread.join(SILENCE_S / 2)
    assert not thread.is_alive()


def make_chunks(*events: dict[str, Any]) -> bytes:
    """Returns events as chunks of a body."""
    lines = [json.dumps(e).encode() + b"\n" for e in events]
    return b"".join(b"%x\r\n%s\r\n" % (len(n), n) for n in lines)


def make_token(request: str, position: int) -> dict[str, Any]:
    """Returns an engine's event."""
    return {"r": request, "a": 1, "p": position, "t": "t", "l": "u:0-4"}


def read_request(conn: socket.socket) -> None:
    """Reads a request; its body may arrive separately."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += conn.recv(65536)
    head, _, body = data.partition(b"\r\n\r\n")
    (length,) = re.findall(rb"(?i)content-length: (\d+)", head)
    while len(body) < int(length):
        body += conn.recv(65536)


@attrs.define
class EndingEngine:
    """An engine on one connection; its first answer has no end event."""

    server: socket.socket = attrs.Factory(
        lambda: socket.create_server(("127.0.0.1", 0))
    )
    may_end: threading.Event = attrs.Factory(threading.Event)

    def serve(self) -> None:
        """Answers two requests on one connection."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        end = b"0\r\n\r\n"
        conn, _ = self.server.accept()
        read_request(conn)
        conn.sendall(head + make_chunks(make_token("q", 0)))
        self.may_end.wait()
        conn.sendall(make_chunks(make_token("q", 1)) + end)
        read_request(conn)
        conn.sendall(head + make_chunks(make_token("q2", 0)))
        last = {"r": "q2", "a": 1, "end": 1, "load": 0}
        conn.sendall(make_chunks(last) + end)


class Taking:
    """Takes all tokens until the end; see `pump.Consumer`."""

    def __init__(self) -> None:
        self.events: list[engine.Event] = []

    def handle_events(self, events: list[engine.Event]) -> bool:
        """Reads until the end event."""
        self.events += events
        return isinstance(events[-1], engine.TokenEvent)


@given("an engine whose answer ends without its end event")
def step_ending_engine(context: Any) -> None:
    context.engine = EndingEngine()
    context.add_cleanup(context.engine.server.close)
    threading.Thread(target=context.engine.serve, daemon=True).start()
    port = context.engine.server.getsockname()[1]
    context.hop = engine.Hop("u", f"127.0.0.1:{port}", 0, 4)
    context.client = engine.EngineClient(SILENCE_S, SILENCE_S, SILENCE_S)
    context.pump = pump.Pump()
    context.pump.start()


def open_stream(context: Any, request: str) -> engine.EventStream:
    """Sends the engine a request; returns its answer."""
    call = engine.RunCall(
        request, 1, "m", "", "v", "text", (), 9, 1, (context.hop,)
    )
    stream = context.client.run(call)
    assert isinstance(stream, engine.EventStream), stream
    return stream


@when("the pump reads the last tokens together with the end of the body")
def step_read_end(context: Any) -> None:
    stream = open_stream(context, "q")
    first = stream.read()
    assert isinstance(first, list), first
    context.taking = Taking()
    context.taking.events += first
    context.broken = []
    context.thread = threading.Thread(
        target=lambda: context.broken.append(
            context.pump.run(stream, context.taking, SILENCE_S)
        ),
        daemon=True,
    )
    context.thread.start()
    context.engine.may_end.set()
    context.thread.join(SILENCE_S / 2)


@then("the attempt ends at once, and the caller has all tokens")
def step_over(context: Any) -> None:
    assert len(context.taking.events) == 2, context.taking.events
    assert not context.thread.is_alive()
    assert isinstance(context.broken[0], engine.StreamFailure), context.broken


@then("the next answer of that engine is forwarded")
def step_next_answer(context: Any) -> None:
    taking = Taking()
    stream = open_stream(context, "q2")
    assert context.pump.run(stream, taking, SILENCE_S) is None
    assert len(taking.events) == 2, taking.events
    context.pump.close()
    context.client.close()


@given(
    "an engine that begins to answer, and writes its first token {late:g} s"
    " later"
)
def step_late_engine(context: Any, late: float) -> None:
    server = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(server.close)
    port = server.getsockname()[1]
    context.hop = engine.Hop("u", f"127.0.0.1:{port}", 0, 4)

    def serve() -> None:
        conn, _ = server.accept()
        with conn:
            read_request(conn)
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            conn.sendall(head)
            time.sleep(late)
            conn.sendall(make_chunks(make_token("q", 0)) + b"0\r\n\r\n")

    threading.Thread(target=serve, daemon=True).start()


@when(
    "a router reads it that waits {first:g} s for the first token, and"
    " {between:g} s for others"
)
def step_read_late(context: Any, first: float, between: float) -> None:
    context.client = engine.EngineClient(SILENCE_S, first, between)
    context.first = open_stream(context, "q").read()
    context.client.close()


@then("it has the token")
def step_has_token(context: Any) -> None:
    assert isinstance(context.first, list), context.first
