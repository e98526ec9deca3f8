"""Steps on clients that do not behave."""

from __future__ import annotations

import math
import time
from collections.abc import Iterator
from typing import Any, Final

from behave import given, then, when

from tests import crowds, sites, stage

# Until a whole crowd has sent; no bound on the host, which may take its time.
CROWD_TIMEOUT_S: Final = 60.0

# Tries of an ordinary caller.
TRIES: Final = 5

# Time of an ordinary request, as its header says.
CALLER_TIME_S: Final = 9.0

# What a host reads at once.
READ_BYTES: Final = 8192

# Time that a crowd of tiny chunks has sent before ordinary requests, and sets
# of these: on an open connection, on a new one, and with a body in a chunk.
CROWD_LEAD_S: Final = 2.0
SETS: Final = 4

# Answers of the replicas come later by this, so that all requests of a crowd
# are served at once.
ANSWER_DELAY_S: Final = 3.0


@given("a host with low limits")
def step_host(context: Any) -> None:
    context.play = site = crowds.start_site()
    stage.wait_until(lambda: sites.is_ready(site), 20.0, "the host is ready")
    stage.wait_until(lambda: crowds.is_answered(site, 1), 20.0, "it serves")


@when("{count:d} clients {way} at its {address} address, and stay")
def step_crowd(context: Any, count: int, way: str, address: str) -> None:
    site = context.play
    host = site.hosts[0]
    for name in site.entries:
        if way.startswith("send whole"):
            site.set_fault(name, {"delay_s": ANSWER_DELAY_S})
        if way.startswith("ask for large"):
            site.set_fault(name, {"answer_bytes": crowds.ANSWER_BYTES})
    context.meter = crowds.Meter(
        site.stage.processes[host].popen.pid,
        {site.get_address(host, name) for name in sites.LISTENING},
    )
    context.meter.start()
    context.crowd = crowds.Crowd(
        site.get_address(host, address), count, crowds.WAYS[way]
    )
    context.crowd.start()
    context.add_cleanup(context.crowd.close)
    context.add_cleanup(context.meter.close)
    context.crowd.is_sent.wait(CROWD_TIMEOUT_S)


@then("an ordinary request is answered beside them, and after they have left")
def step_answered(context: Any) -> None:
    is_answered = crowds.is_answered(context.play, TRIES)
    context.meter.close()
    context.crowd.close()
    print("peak", context.meter.most_held, context.meter.most_fds)
    assert is_answered, "none beside the crowd"
    assert crowds.is_answered(context.play, TRIES), "none after the crowd"


@then("the host lives, within the memory and descriptors of its machine")
def step_bounds(context: Any) -> None:
    site = context.play
    host = site.hosts[0]
    assert site.stage.processes[host].popen.poll() is None, "host ended"
    meter = context.meter
    peak_mb = sites.read_peak_kb(site, host) / 1000
    assert peak_mb <= crowds.MEMORY_MB, (peak_mb, meter.most_held)
    held_mb = meter.most_held.held / 1e6
    assert held_mb <= crowds.MEMORY_MB, (held_mb, meter.most_held)
    assert meter.most_fds <= crowds.MAX_FDS, meter.most_fds


@given("a host with usual limits")
def step_usual_host(context: Any) -> None:
    context.play = site = crowds.start_site(
        crowds.USUAL_MEMORY_MB, crowds.USUAL_MAX_FDS, crowds.USUAL_BODY_BYTES
    )
    stage.wait_until(lambda: sites.is_ready(site), 20.0, "the host is ready")
    stage.wait_until(lambda: crowds.is_answered(site, 1), 20.0, "it serves")


@when("{count:d} clients send {size:d} bytes each in chunks of one byte")
def step_tiny_chunks(context: Any, count: int, size: int) -> None:
    site = context.play
    address = site.get_address(site.hosts[0], "frontend")
    context.caller = crowds.OpenCaller(address)
    context.add_cleanup(context.caller.close)
    context.caller.ask(CALLER_TIME_S)
    context.crowd = crowds.Crowd(
        address, count, lambda: crowds.send_tiny_chunks(size)
    )
    context.crowd.start()
    context.add_cleanup(context.crowd.close)
    time.sleep(CROWD_LEAD_S)


@when(
    "{count:d} clients begin bodies in chunks of one byte, leave and come again"
)
def step_come_again(context: Any, count: int) -> None:
    site = context.play
    address = site.get_address(site.hosts[0], "frontend")
    context.caller = crowds.OpenCaller(address)
    context.add_cleanup(context.caller.close)
    context.caller.ask(CALLER_TIME_S)
    begin = b"".join(crowds.send_tiny_chunks(READ_BYTES))[:READ_BYTES]
    context.crowd = crowds.Comers(address, count, begin)
    context.crowd.start()
    context.add_cleanup(context.crowd.close)
    time.sleep(CROWD_LEAD_S)


@then("ordinary requests beside them are answered within their time")
def step_in_time(context: Any) -> None:
    site = context.play
    address = site.get_address(site.hosts[0], "frontend")
    times_s = []
    for _ in range(SETS):
        times_s.append(context.caller.ask(CALLER_TIME_S))
        newcomer = crowds.OpenCaller(address)
        times_s.append(newcomer.ask(CALLER_TIME_S))
        times_s.append(newcomer.ask(CALLER_TIME_S, is_in_chunks=True))
        newcomer.close()
    print("beside", times_s, "unread", crowds.read_unread({address}))
    context.beside_s = times_s


@then("one sent after they have left is answered within {time_s:d} s")
def step_after(context: Any, time_s: int) -> None:
    site = context.play
    address = site.get_address(site.hosts[0], "frontend")
    context.crowd.close()
    newcomer = crowds.OpenCaller(address)
    after_s = newcomer.ask(time_s)
    newcomer.close()
    print("after", after_s, "unread", crowds.read_unread({address}))
    host = site.stage.processes[site.hosts[0]].popen
    assert host.poll() is None, "host ended"
    assert math.isfinite(max(context.beside_s)), context.beside_s
    assert math.isfinite(after_s), "none after the crowd"


@when("one caller sends a body of {what} bytes {how}")
def step_alone(context: Any, what: str, how: str) -> None:
    size = crowds.MAX_BODY_BYTES + (1 if what.endswith("more") else 0)
    pieces = list(_make_pieces(size, how))
    pause_s = 0.02 if how == "slowly" else 0.0
    context.answer = crowds.send_alone(
        context.play, pieces, pause_s, how == "after Expect"
    )
    context.size = size


def _make_pieces(size: int, how: str) -> Iterator[bytes]:
    """Yields the pieces of a request with a body of a size."""
    fields = ["Connection: close"]
    if how == "after Expect":
        fields.append("Expect: 100-continue")
    if "chunks" not in how:
        yield crowds.make_head(f"Content-Length: {size}", *fields) + b"\r\n"
        for begin in range(0, size, crowds.PIECE_BYTES):
            yield b"x" * min(size - begin, crowds.PIECE_BYTES)
        return
    yield crowds.make_head("Transfer-Encoding: chunked", *fields) + b"\r\n"
    chunk = 1 if "tiny" in how else crowds.PIECE_BYTES
    whole, rest = divmod(size, chunk)
    framed = b"%x\r\n" % chunk + b"x" * chunk + b"\r\n"
    at_once = max(1, crowds.PIECE_BYTES // len(framed))
    for begin in range(0, whole, at_once):
        yield framed * min(whole - begin, at_once)
    if rest:
        yield b"%x\r\n" % rest + b"x" * rest + b"\r\n"
    yield b"0\r\nX-Sum: 1\r\n\r\n" if "trailer" in how else b"0\r\n\r\n"


@then("it is served, and the replica has got all of it")
def step_served(context: Any) -> None:
    answer = context.answer
    interim = b"HTTP/1.1 100 Continue\r\n\r\n"
    if answer.startswith(interim):
        answer = answer[len(interim) :]
    assert answer.startswith(b"HTTP/1.1 200"), answer[:300]
    sizes = [int(r["Content-Length"]) for r in context.play.get_runs()]
    assert max(sizes) == context.size, (max(sizes), context.size)


@then("it gets {status:d}")
def step_status(context: Any, status: int) -> None:
    expected = b"HTTP/1.1 %d " % status
    assert context.answer.startswith(expected), context.answer[:300]
