"""Steps on answers of upstreams, from a socket that follows a script."""

from __future__ import annotations

import errno
import io
import math
import socket
import struct
import threading
import time
from typing import Any
from unittest import mock

import attrs
import urllib3
from behave import then, when

from egretspur import ends, signals, web
from egretspur.delivery import sending
from egretspur.platform import control, ingress, upstream
from egretspur.routing import jobs, paths
from egretspur.tunnels import dialer, frames
from tests import fleets, stage

CALL = sending.Call(
    "ID", "POST", "/x/a%20b?q=1", {"X-Own": "kept"}, b"body", ""
)

# Seconds that a request has to live, and what a silent upstream is given.
LIVE_S = 1.0


@attrs.define
class Listener:
    """Takes one connection and follows a script on it."""

    data: bytes
    end: str
    sock: socket.socket = attrs.Factory(socket.socket)
    received: bytes = b""

    def start(self) -> str:
        """Starts; returns the address."""
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen()
        threading.Thread(target=self.run, daemon=True).start()
        return f"127.0.0.1:{self.sock.getsockname()[1]}"

    def run(self) -> None:
        """Reads a request, sends the bytes and ends as told."""
        conn, _ = self.sock.accept()
        while b"body" not in self.received:
            self.received += conn.recv(65536)
        conn.sendall(self.data)
        if self.end == "waits":
            time.sleep(3.0)
        if self.end == "resets":
            # Read first, else the reset overtakes the bytes.
            time.sleep(0.1)
            linger = struct.pack("ii", 1, 0)
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        conn.close()

    def close(self) -> None:
        """Stops listening."""
        self.sock.close()


def send(
    context: Any,
    address: str,
    call: sending.Call = CALL,
    priority: int = 1,
    is_engine: bool = True,
    own: dialer.Dialer | None = None,
    live_s: float = LIVE_S,
    needs_check: bool = False,
    handed_s: float = math.inf,
) -> None:
    """Sends a call to an address and reads the answer whole."""
    entry = attrs.evolve(fleets.make_upstream("app-0"), address=address)
    parts = (paths.Part("a", "a:80", 0, 40), paths.Part("b", "b:80", 40, 80))
    now_s = time.monotonic()
    job = attrs.evolve(
        fleets.make_job("ID", "non_idempotent", now_s=now_s),
        deadline_s=now_s + live_s,
        priority=priority,
    )
    start = jobs.Start(
        "ID",
        entry,
        parts if is_engine else (),
        handed_s=handed_s,
        needs_check=needs_check,
    )
    context.leaving = sending.AbortHandle()
    context.outcome_of = None
    context.outcome_body = None
    context.backpressure = []
    answer = upstream.UpstreamClient(
        lambda upstream_id, answer: context.backpressure.append(answer),
        own,
        lambda entry: control.ControlClient().is_responsive(
            entry.address, "/healthz"
        ),
    ).open(call, job, start, "", context.leaving)
    body = b""
    context.answer = answer
    while not isinstance(answer, sending.AttemptFailure):
        data = answer.read_some()
        if isinstance(data, sending.AttemptFailure):
            answer.close()
            answer = data
            break
        body += data
        if not data:
            answer.close()
            context.outcome_body = body
            context.outcome_of = f"{answer.status} {body.decode('latin-1')}"
            return
    context.lost = answer
    context.outcome_of = answer.why.value


@when('an upstream answers with "{data}" and then {end}')
@when('an upstream answers with "" and then {end}')
def step_answers(context: Any, end: str, data: str = "") -> None:
    raw = data.replace("\\n", "\r\n").encode()
    context.play = Listener(raw, end)
    send(context, context.play.start())


@when('an upstream answers with "{data}" through a helper that is killed')
def step_helper_killed(context: Any, data: str) -> None:
    near, far = socket.socketpair()
    far.sendall(frames.encode(data.replace("\\n", "\r\n").encode()))
    # As the kernel does, without the mark of the end.
    far.shutdown(socket.SHUT_WR)
    context.add_cleanup(far.close)
    link = dialer.Connection(frames.TunnelSocket(near, b"", True), "h")
    own = mock.Mock(open=mock.Mock(return_value=link))
    send(context, "127.0.0.1:1", own=own)


@when("a request that needs a check is sent to an upstream that reads nothing")
def step_reads_nothing(context: Any) -> None:
    context.listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(context.listener.close)
    port = context.listener.getsockname()[1]
    began_s = time.monotonic()
    send(context, f"127.0.0.1:{port}", is_engine=False, needs_check=True)
    context.took_s = time.monotonic() - began_s


@then("nothing but the check was written to it")
def step_only_check(context: Any) -> None:
    conn, _ = context.listener.accept()
    with conn:
        assert conn.recv(65536).startswith(b"GET /healthz")
    context.listener.setblocking(False)
    try:
        context.listener.accept()
    except BlockingIOError:
        return
    raise AssertionError("another connection was opened")


@when("a request that is granted {seconds:g} s follows a check to an upstream")
def step_granted(context: Any, seconds: float) -> None:
    context.play = Listener(b"", "closes")
    address = context.play.start()
    with mock.patch.object(
        control.ControlClient, "is_responsive", return_value=True
    ):
        send(
            context,
            address,
            is_engine=False,
            live_s=60.0,
            needs_check=True,
            handed_s=seconds,
        )


@then("the upstream receives a deadline of {count:d} ms")
def step_deadline(context: Any, count: int) -> None:
    field = f"Deadline-Ms: {count}\r\n".encode()
    assert field in context.play.received, context.play.received


@when("an upstream's port has no listener")
def step_no_listener(context: Any) -> None:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    send(context, f"127.0.0.1:{port}")


@when("the request to a silent upstream is aborted after {seconds:g} s")
def step_left(context: Any, seconds: float) -> None:
    context.play = Listener(b"", "waits")
    address = context.play.start()
    thread = threading.Thread(target=send, args=(context, address))
    context.began_s = time.monotonic()
    thread.start()
    time.sleep(seconds)
    context.leaving.abort_all()
    thread.join(5.0)
    context.took_s = time.monotonic() - context.began_s


@when('the host ends a response that began with "{data}"')
def step_host_ends(context: Any, data: str) -> None:
    context.play = Listener(data.replace("\\n", "\r\n").encode(), "waits")
    context.answer = None
    thread = threading.Thread(target=send, args=(context, context.play.start()))
    thread.start()
    stage.wait_until(lambda: context.answer is not None, 2.0, "an answer")
    context.answer.abort()
    thread.join(5.0)
    assert not thread.is_alive()


@when("a read fails since the other side acknowledges nothing")
def step_unacknowledged(context: Any) -> None:
    cause = TimeoutError(errno.ETIMEDOUT, "Connection timed out")
    try:
        try:
            raise cause
        except TimeoutError as exc:
            # As urllib3 does with each time-out.
            raise urllib3.exceptions.HTTPError("Read timed out.") from exc
    except urllib3.exceptions.HTTPError as exc:
        context.lost = sending.AttemptFailure(
            jobs.FailureKind.CUT, "", ended_by=ends.classify_error(exc)
        )


@then('it was ended by the "{ender}"')
def step_ender(context: Any, ender: str) -> None:
    assert context.lost.ended_by.value == ender, context.lost


@then('it is taken as "{outcome}"')
def step_taken(context: Any, outcome: str) -> None:
    assert context.outcome_of.strip() == outcome, context.outcome_of


@then('it is taken as "{outcome}" within {seconds:g} s')
def step_taken_within(context: Any, outcome: str, seconds: float) -> None:
    step_taken(context, outcome)
    assert context.took_s < seconds, context.took_s


@then('stage "{name}" is at fault')
def step_blame(context: Any, name: str) -> None:
    assert context.lost.blamed == (name,), context.lost


@then(
    "it received the unchanged target, its own id, the workspace and the time"
    " left"
)
def step_sent(context: Any) -> None:
    lines = context.play.received.decode().split("\r\n")
    assert lines[0] == "POST /x/a%20b?q=1 HTTP/1.1", lines
    fields = dict(n.split(": ", 1) for n in lines[1:] if ": " in n)
    assert fields["Target-Replica"] == "app-0" and fields["X-Own"] == "kept"
    assert fields["Tenant"] == "tailors"
    assert fields["Hop-Count"] == "a:80=0-40,b:80=40-80"
    assert 0 < int(fields["Deadline-Ms"]) <= LIVE_S * 1000


@when(
    "a request of priority {priority:d}, whose caller states {stated:d}, is"
    " sent to {kind}"
)
def step_priority(context: Any, priority: int, stated: int, kind: str) -> None:
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": "/x",
        "egretspur.target": "/x",
        "wsgi.input": io.BytesIO(b"body"),
        "CONTENT_LENGTH": "4",
        "HTTP_ATTEMPT_ID": "ID",
        "HTTP_REQUEST_PRIORITY": str(stated),
    }
    call = ingress.read_request(web.Request("POST", "/x", {}, environ)).call
    context.play = Listener(b"HTTP/1.1 503 No\r\n\r\n", "closes")
    send(context, context.play.start(), call, priority, kind == "an engine")


@then('the upstream receives the priority "{priority}"')
def step_priority_received(context: Any, priority: str) -> None:
    lines = context.play.received.decode().split("\r\n")
    found = [n for n in lines if n.lower().startswith("request-priority")]
    wanted = [] if priority == "none" else [f"Request-Priority: {priority}"]
    assert found == wanted, lines


@then('the hosts receive a limit of "{limit}"')
def step_limit(context: Any, limit: str) -> None:
    (answer,) = context.backpressure
    if limit == "unreadable":
        assert isinstance(answer.per_s, signals.Unreadable), answer
        return
    assert str(answer.per_s) == limit, answer


@then('the hosts receive "{what}"')
def step_asked(context: Any, what: str) -> None:
    if what == "not at all":
        assert not context.backpressure
        return
    (answer,) = context.backpressure
    if what == "unreadable":
        assert isinstance(answer.backoff_s, signals.Unreadable), answer
        return
    wanted = {
        "nothing": signals.NO_SIGNALS,
        "leaving": signals.Signals(is_leaving=True),
    }.get(what) or signals.Signals(backoff_s=float(what.removeprefix("rest ")))
    assert answer == wanted, answer


REPORT = b'HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{"busy": false}'


class ReportServer:
    """Answers requests for a report; its connections can be dropped."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.conns: list[socket.socket] = []
        self.silent: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            conn, _ = self._listener.accept()
            self.conns.append(conn)
            threading.Thread(
                target=self._serve, args=(conn,), daemon=True
            ).start()

    def _serve(self, conn: socket.socket) -> None:
        while conn.recv(65536):
            if conn not in self.silent:
                conn.sendall(REPORT)


@when(
    "an engine is probed, then its connection {state} and it is probed again"
    " after {seconds:g} s"
)
def step_probed_twice(context: Any, state: str, seconds: float) -> None:
    context.server = server = ReportServer()
    client = control.ControlClient()
    context.reports = [client.peek(server.address)]
    if state == "falls silent":
        server.silent += server.conns
    if state == "is closed":
        server.conns[0].shutdown(socket.SHUT_RDWR)
    time.sleep(seconds)
    context.reports.append(client.peek(server.address))
    client.close()


@when("an engine is asked for its report, and then probed twice as failed")
def step_probed_as_failed(context: Any) -> None:
    context.server = server = ReportServer()
    client = control.ControlClient()
    assert not isinstance(client.get_report(server.address), str)
    context.reports = [client.probe(server.address) for _ in range(2)]
    client.close()


@then("both probes are answered over {count:d} connections")
def step_answered_twice(context: Any, count: int) -> None:
    assert not any(isinstance(r, str) for r in context.reports), context.reports
    assert len(context.server.conns) == count
