"""Steps on connections to upstreams through other hosts."""

from __future__ import annotations

import collections
import contextlib
import http
import random
import socket
import struct
import threading
import time
from collections.abc import Callable
from typing import Any, Final
from unittest import mock

import attrs
import hypothesis
from behave import given, then, when
from hypothesis import strategies as st

from egretspur import ends, signals
from egretspur.platform import upstream
from egretspur.tunnels import (
    checks,
    dialer,
    frames,
    gate,
    heads,
    helpers,
    pending,
    reach,
    server,
)
from tests import sites, stage

CLIENT: Final = "127.0.0.1"
HELPER: Final = "127.0.0.2"
LISTED: Final = ("a", "b", "c")
WAIT_S: Final = 2.0


@when("connections end so: {outcomes}")
def step_outcomes(context: Any, outcomes: str) -> None:
    context.reach = reach.Reach()
    record = {
        "fails": context.reach.record_failed,
        "fails for another": context.reach.record_failed_for_other,
        "connects": context.reach.record_connected,
        "is helped": context.reach.record_helped,
        "is refuted": context.reach.record_refuted,
        "is in question": context.reach.record_question,
        "is decided": context.reach.record_decided,
    }
    for number, outcome in enumerate(outcomes.split(", ")):
        address, _, what = outcome.partition(" ")
        record[what](address, 10.0 + number * 0.01)


@then("the host's links are {state}")
def step_links(context: Any, state: str) -> None:
    assert context.reach.get_state().value == state


@then("the next one to {address} {goes} through a helper at once")
def step_at_once(context: Any, address: str, goes: str) -> None:
    assert context.reach.needs_helper(address) == (goes == "does")


@then("the own links are checked with {due}")
def step_checks(context: Any, due: str) -> None:
    found = ", ".join(sorted(context.reach.list_checks(LISTED))) or "nothing"
    assert found == due, found
    assert context.reach.needs_checks() == (due != "nothing")


@given("local hosts {local} and remote hosts {remote}")
@given("no local hosts and remote hosts {remote}")
def step_hosts(context: Any, remote: str, local: str = "") -> None:
    context.helpers = helpers.Helpers(random.Random(3))
    context.candidates = helpers.Candidates(
        [h for h in local.split(", ") if h], remote.split(", ")
    )


@when("{count:d} helpers are chosen")
def step_chosen(context: Any, count: int) -> None:
    context.counts = collections.Counter(
        context.helpers.choose(context.candidates, (), 0.0)
        for _ in range(count)
    )


@then("a, b and c are chosen at least {count:d} times each, and no other")
def step_spread(context: Any, count: int) -> None:
    assert set(context.counts) == {"a", "b", "c"}, context.counts
    assert min(context.counts.values()) >= count, context.counts


@when("{host} refuses at {now_s:g} s")
def step_refuses(context: Any, host: str, now_s: float) -> None:
    context.helpers.record_refused(host, now_s)


@when("a helps")
def step_helps(context: Any) -> None:
    context.helpers.record_helped("a")


@then("helpers at {now_s:g} s are {hosts}")
def step_helpers(context: Any, now_s: float, hosts: str) -> None:
    found = {
        context.helpers.choose(context.candidates, (), now_s)
        for _ in range(100)
    }
    assert found == set(hosts.split(", ")), found


@attrs.define
class Rules:
    """A gate whose answer the scenario sets."""

    status: http.HTTPStatus = http.HTTPStatus.OK
    outcomes: list[bool] = attrs.Factory(list)
    heads: list[bytes] = attrs.Factory(list)

    def check(self, host: str, address: str) -> http.HTTPStatus:
        """Returns the answer; only the usual host is known."""
        return self.status if host == CLIENT else http.HTTPStatus.FORBIDDEN

    def record(self, address: str, is_connected: bool) -> http.HTTPStatus:
        """Records an outcome."""
        self.outcomes.append(is_connected)
        return http.HTTPStatus.BAD_GATEWAY

    def note_head(self, address: str, head: bytes) -> None:
        """Records a head."""
        self.heads.append(head)


@attrs.define
class Play:
    """An upstream, a helper and the host that asks it."""

    listener: socket.socket
    port: int
    gate: Rules
    helper: server.TunnelServer
    # Both ends of the connection.
    host: socket.socket | None = None
    upstream: socket.socket | None = None

    @property
    def address(self) -> str:
        """The upstream's address."""
        host, port = self.listener.getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        """Closes everything."""
        self.helper.close()
        for sock in (self.listener, self.host, self.upstream):
            if sock is not None:
                sock.close()

    def make_dialer(self, ip: str = CLIENT) -> dialer.Dialer:
        """Returns the dialer of a host that knows one helper."""
        return make_dialer(ip, self.port, [HELPER])


def make_dialer(ip: str, port: int, hosts: list[str]) -> dialer.Dialer:
    """Returns a dialer that may ask hosts."""
    return dialer.Dialer(
        ip,
        port,
        helpers.Helpers(random.Random(1)),
        lambda: helpers.Candidates(hosts, []),
    )


def refuse_direct() -> Any:
    """Returns a patch with which no direct connection is made."""
    return mock.patch.object(
        dialer, "connect", side_effect=ConnectionRefusedError("no link")
    )


@given("an upstream and a host that helps")
def step_play(context: Any) -> None:
    port, reserved = sites.reserve_exchange_port((HELPER,))
    rules = Rules()
    helper = server.TunnelServer(HELPER, port, rules)
    context.play = Play(socket.create_server((CLIENT, 0)), port, rules, helper)
    helper.start()
    for sock in reserved:
        sock.close()


@when("another host is connected to it")
def step_connected(context: Any) -> None:
    play = context.play
    with refuse_direct():
        link = play.make_dialer().open(play.address, 0.2)
    assert link.helper == HELPER
    play.host = link.sock
    play.upstream, _ = play.listener.accept()
    for sock in (play.host, play.upstream):
        sock.settimeout(WAIT_S)


def read_all(sock: socket.socket, count: int) -> bytes:
    """Reads so many bytes, or until the end."""
    data = b""
    while len(data) < count:
        part = sock.recv(65_536)
        if not part:
            break
        data += part
    return data


@when("{count:d} bytes are sent each way")
def step_both_ways(context: Any, count: int) -> None:
    play = context.play
    rng = random.Random(5)
    context.sent = [rng.randbytes(count), rng.randbytes(count)]
    socks = [play.host, play.upstream]
    writers = [
        threading.Thread(target=s.sendall, args=(d,), daemon=True)
        for s, d in zip(socks, context.sent, strict=True)
    ]
    for writer in writers:
        writer.start()
    context.got = [read_all(s, count) for s in reversed(socks)]


@then("they arrive unchanged")
def step_unchanged(context: Any) -> None:
    assert context.got == context.sent


@when("the upstream sends {count:d} bytes and closes")
def step_sends_closes(context: Any, count: int) -> None:
    context.play.upstream.sendall(b"x" * count)
    context.play.upstream.close()


@then("the other host reads {count:d} bytes and the end")
def step_reads_end(context: Any, count: int) -> None:
    assert read_all(context.play.host, count) == b"x" * count
    assert context.play.host.recv(1) == b""


@when('the upstream answers "{head}" in {parts:d} parts')
def step_answers(context: Any, head: str, parts: int) -> None:
    data = "\r\n".join([*head.split(","), "", "body"]).encode()
    size = -(-len(data) // parts)
    for i in range(0, len(data), size):
        context.play.upstream.sendall(data[i : i + size])
        time.sleep(0.02)
    context.play.upstream.close()
    assert read_all(context.play.host, len(data) + 1) == data


@then("the helper learns {learnt}")
def step_learns(context: Any, learnt: str) -> None:
    seen = context.play.gate.heads
    assert len(seen) <= 1, seen
    answer = heads.parse(seen[0]) if seen else None
    found = upstream.read_signals(*answer) if answer else None
    wanted = {
        "a backoff of 2.5 s": signals.Signals(backoff_s=2.5),
        "a limit of 4": signals.Signals(per_s=4.0),
        "that it leaves": signals.Signals(is_leaving=True),
        "nothing": signals.NO_SIGNALS,
        "nothing of it": None,
    }[learnt]
    assert found == wanted, found


@when("the upstream resets the connection")
def step_resets(context: Any) -> None:
    context.play.upstream.sendall(b"half of an answer")
    context.play.upstream.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    context.play.upstream.close()


@then("the other host's connection is reset")
def step_reset(context: Any) -> None:
    try:
        while context.play.host.recv(65_536):
            pass
    except ConnectionResetError:
        return
    raise AssertionError("it ended as if the answer were whole")


@when("the other host closes")
def step_closes(context: Any) -> None:
    context.play.host.close()


@then("the upstream reads the end")
def step_upstream_end(context: Any) -> None:
    assert context.play.upstream.recv(1) == b""


@when("the other host sends all that is taken, and nothing is read")
def step_fills(context: Any) -> None:
    host = context.play.host
    host.settimeout(0.3)
    try:
        while True:
            host.send(b"x" * 65_536)
    except TimeoutError:
        return


@then("the helper holds at most {count:d} bytes")
def step_holds(context: Any, count: int) -> None:
    held = context.play.helper.count_buffered()
    assert 0 < held <= count, held


@when("another host is connected to it by a helper without frames")
def step_old_helper(context: Any) -> None:
    unknown = mock.Mock(FIELD="X-Unknown", VERSION=frames.VERSION)
    with mock.patch.object(server, "frames", unknown):
        step_connected(context)


@when("another host without frames is connected to it")
def step_old_host(context: Any) -> None:
    play = context.play
    play.host = socket.create_connection((HELPER, play.port), WAIT_S)
    play.host.sendall(f"CONNECT {play.address} HTTP/1.1\r\n\r\n".encode())
    play.upstream, _ = play.listener.accept()
    answer = b"HTTP/1.1 200 OK\r\n\r\n"
    assert read_all(play.host, len(answer)) == answer


@when("the upstream sends {count:d} bytes")
def step_upstream_sends(context: Any, count: int) -> None:
    context.play.upstream.sendall(b"x" * count)
    # Read now: a helper that ends drops what it holds.
    context.got = read_all(context.play.host, count)


@when("the helper ends")
def step_helper_ends(context: Any) -> None:
    context.play.helper.close()


@when("the helper is killed")
def step_helper_killed(context: Any) -> None:
    # Its threads stay, but its connections close as the kernel would.
    time.sleep(0.1)
    for tunnel in list(context.play.helper._tunnels):
        for sock in tunnel.list_socks():
            # The helper's thread may close one once the other is shut down.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


@then("the other host reads {count:d} bytes, and that its helper is lost")
def step_helper_lost(context: Any, count: int) -> None:
    got = getattr(context, "got", b"")
    got += read_all(context.play.host, count - len(got))
    assert got == b"x" * count, len(got)
    try:
        data = context.play.host.recv(1)
    except ends.HelperLostError:
        return
    raise AssertionError(f"read {data!r}, as if the upstream had ended")


@when("bytes pass through a helper that ends anywhere, {count:d} times")
def step_frames(context: Any, count: int) -> None:
    run = hypothesis.settings(
        max_examples=count, derandomize=True, database=None, deadline=None
    )(pass_frames)
    run()
    context.finished = True


@hypothesis.given(
    st.lists(st.binary(min_size=1, max_size=9), max_size=4),
    st.sampled_from((frames.END, frames.RESET, b"")),
    st.integers(0, 60),
    st.integers(0, 60),
    st.integers(1, 9),
)
def pass_frames(
    parts: list[bytes], mark: bytes, cut: int, early: int, size: int
) -> None:
    """Sends frames up to a byte, and reads them to their end."""
    whole = b"".join(frames.encode(p) for p in parts) + mark
    sent = whole[:cut]
    near, far = socket.socketpair()
    with frames.TunnelSocket(near, sent[:early], True) as sock, far:
        sock.settimeout(WAIT_S)
        far.sendall(sent[early:])
        far.close()
        got, outcome = b"", b""
        try:
            while data := sock.recv(size):
                got += data
            outcome = frames.END
        except ends.HelperLostError:
            pass
        except ConnectionResetError:
            outcome = frames.RESET
    is_whole = len(sent) == len(whole)
    assert outcome == (mark if is_whole else b""), (sent, outcome)
    assert b"".join(parts).startswith(got), (parts, got)
    assert got == b"".join(parts) or not is_whole, (parts, got)


@then("they end as complete only with the upstream's end")
def step_frames_found_nothing(context: Any) -> None:
    assert context.finished


def make_dark(context: Any) -> None:
    """Has the upstream's queue of new connections overflow."""
    dark = socket.socket()
    dark.bind((CLIENT, 0))
    dark.listen(0)
    context.fill = [socket.socket() for _ in range(4)]
    for sock in context.fill:
        sock.setblocking(False)
        sock.connect_ex(dark.getsockname())
    context.play.listener.close()
    context.play.listener = dark


def close_port(context: Any) -> None:
    """Closes the upstream's port."""
    address = context.play.listener.getsockname()
    context.play.listener.close()
    context.play.listener = mock.Mock()
    context.play.listener.getsockname.return_value = address


def set_status(status: http.HTTPStatus) -> Callable[[Any], None]:
    """Returns what has the helper answer with a status."""

    def apply(context: Any) -> None:
        context.play.gate.status = status

    return apply


def stop_helper(context: Any) -> None:
    """Has nobody listen on the helper's port."""
    context.play.helper.close()
    stage.wait_until(
        lambda: not _is_listening(context.play.port), WAIT_S, "it is closed"
    )


def _is_listening(port: int) -> bool:
    with socket.socket() as sock:
        return sock.connect_ex((HELPER, port)) == 0


CASES: Final[dict[str, Callable[[Any], None]]] = {
    "it is unknown": lambda context: None,
    "the address is no upstream's": set_status(http.HTTPStatus.FORBIDDEN),
    "the helper is stopping": set_status(http.HTTPStatus.SERVICE_UNAVAILABLE),
    "the upstream's port is closed": close_port,
    "the upstream is dark": make_dark,
    "nobody listens on the helper's port": stop_helper,
    "its question is malformed": lambda context: None,
}


@when("a host asks, and {case}")
def step_case(context: Any, case: str) -> None:
    CASES[case](context)
    ip = "127.0.0.3" if case == "it is unknown" else CLIENT
    address = context.play.address
    if case == "its question is malformed":
        address = "no address at all"
    began_s = time.monotonic()
    context.answer = context.play.make_dialer(ip).ask(HELPER, address)
    context.took_s = time.monotonic() - began_s


@then('the host that asks is told "{reason}" within {bound_s:g} s')
def step_told(context: Any, reason: str, bound_s: float) -> None:
    assert isinstance(context.answer, dialer.NoTunnel), context.answer
    assert context.answer.value == reason, context.answer
    assert context.took_s <= bound_s, context.took_s


@given("hosts that help: {kinds}")
def step_kinds(context: Any, kinds: str) -> None:
    context.kinds = [k.removeprefix("one ") for k in kinds.split(", ")]
    hosts = [f"h{i}" for i in range(len(context.kinds))]
    context.asked = []
    context.dialer = make_dialer(CLIENT, 1, hosts)

    def ask(host: str, address: str) -> Any:
        context.asked.append(host)
        kind = context.kinds[int(host[1:])]
        return {
            "connects": context.connected,
            "refuses": dialer.NoTunnel.REFUSED,
            "fails": dialer.NoTunnel.UPSTREAM_DOWN,
        }[kind]

    context.connected = socket.socket()
    context.add_cleanup(context.connected.close)
    context.dialer.ask = ask


@when("an upstream is dialled that the own links don't reach")
def step_dialled(context: Any) -> None:
    context.link = None
    with refuse_direct():
        try:
            context.link = context.dialer.open("10.0.0.1:80", 0.2)
        except OSError as exc:
            context.problem = exc


@when("an upstream is dialled while no other is reached")
def step_dialled_cut_off(context: Any) -> None:
    for address in ("10.0.0.2:80", "10.0.0.3:80"):
        context.dialer.record_direct(address, False)
    step_dialled(context)


@when("two upstreams are dialled that nobody reaches")
def step_dialled_dead(context: Any) -> None:
    context.states = []
    ask = context.dialer.ask

    def watch(host: str, address: str) -> Any:
        context.states.append(context.dialer.get_state())
        return ask(host, address)

    context.dialer.ask = watch
    with refuse_direct():
        for address in ("10.0.0.1:80", "10.0.0.2:80"):
            with contextlib.suppress(OSError):
                context.dialer.open(address, 0.2)
    context.states.append(context.dialer.get_state())


@then("the host's links were sound throughout")
def step_sound(context: Any) -> None:
    assert len(context.states) >= 3, context.states
    assert set(context.states) == {reach.ReachState.SOUND}, context.states


@then("it is connected through the one that connects")
def step_through(context: Any) -> None:
    assert context.link.sock is context.connected
    assert context.kinds[int(context.link.helper[1:])] == "connects"


@when("its helper refuses, and the own links are back")
def step_links_back(context: Any) -> None:
    assert context.dialer.needs_helper("10.0.0.1:80")
    context.kinds = ["refuses"]


@then("the next connection goes over the own links")
def step_own_links(context: Any) -> None:
    with mock.patch.object(dialer, "connect", return_value="own"):
        link = context.dialer.open("10.0.0.1:80", 0.2)
    assert (link.sock, link.helper) == ("own", "")
    assert not context.dialer.needs_helper("10.0.0.1:80")


@then("{count:d} of them are asked, and it is unreachable")
def step_asked(context: Any, count: int) -> None:
    assert len(context.asked) == count, context.asked
    assert isinstance(context.problem, ConnectionRefusedError)


class ScriptedDialer(dialer.Dialer):
    """A dialer whose connections open, and are answered, silent or reset."""

    def __init__(self, own: str, helped: str) -> None:
        super().__init__(
            CLIENT,
            1,
            helpers.Helpers(random.Random(1)),
            lambda: helpers.Candidates(["h0"], []),
        )
        self.own = own
        self.helped = helped
        self.socks: list[socket.socket] = []

    def connect_direct(self, address: str, timeout_s: float) -> socket.socket:
        """Opens a connection."""
        return self._open(self.own)

    def ask(self, host: str, address: str) -> socket.socket | dialer.NoTunnel:
        """Opens a connection through a helper."""
        return self._open(self.helped)

    def _open(self, kind: str) -> socket.socket:
        near, far = socket.socketpair()
        self.socks += [near, far]
        if kind == "answered":
            far.sendall(b"HTTP/1.1 200 OK")
        elif kind == "reset":
            far.close()
        return near

    def close(self) -> None:
        """Closes all connections."""
        for sock in self.socks:
            sock.close()


@given(
    "own connections that open and are {own}, and helpers' that are {helped}"
)
def step_scripted(context: Any, own: str, helped: str) -> None:
    context.dialer = ScriptedDialer(own, helped)
    context.add_cleanup(context.dialer.close)
    listed = {f"10.0.0.{i}:80": f"u{i}" for i in range(1, 4)}
    context.checker = checks.ReachChecker(
        context.dialer, lambda: listed, random.Random(2)
    )
    context.ended = []
    context.clock = time.monotonic


@when("{count} requests end with no answer")
@when("{count} request ends with no answer")
def step_fruitless(context: Any, count: str) -> None:
    for number in range({"one": 1, "two": 2}[count]):
        context.dialer.record_fruitless(f"10.0.0.{number + 1}:80")


@when("an answer is overdue")
def step_overdue(context: Any) -> None:
    context.dialer.expect_answer("10.0.0.1:80", lambda: context.ended.append(1))
    later_s = time.monotonic() + pending.OVERDUE_S
    context.patch = mock.patch("time.monotonic", lambda: later_s)
    context.patch.start()
    context.add_cleanup(context.patch.stop)
    context.dialer.check_overdue()


@when("the links are checked")
def step_checked(context: Any) -> None:
    if context.dialer.needs_checks.is_set():
        context.checker.check_once()


@when("own connections are answered again")
def step_answered_again(context: Any) -> None:
    context.dialer.own = "answered"


@when("helpers' connections are answered")
def step_helpers_answered(context: Any) -> None:
    context.dialer.helped = "answered"


@then("by then the host's links are {state}")
def step_now(context: Any, state: str) -> None:
    assert context.dialer.get_state().value == state, context.dialer.get_state()


@then("the request is ended, so that it may be retried")
def step_ended(context: Any) -> None:
    assert context.ended == [1], context.ended


@then("the host helps nobody")
def step_helps_nobody(context: Any) -> None:
    sources = gate.Sources(
        lambda: {"10.0.0.1:80": "u1"},
        lambda host: True,
        lambda: False,
        lambda upstream, status, given: None,
    )
    status = gate.Gate(context.dialer, sources).check("h1", "10.0.0.1:80")
    assert status == http.HTTPStatus.SERVICE_UNAVAILABLE, status
