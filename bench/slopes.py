"""Measures the slopes of the capacity page, each over several sizes.

Every measurement returns points of size and value; `bench.capacity` fits a
line to them and writes both. Processor time is in seconds of one core, memory
in megabytes.
"""

from __future__ import annotations

import gc
import random
import socket
import threading
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any, Final

import attrs

from bench import choice, figures, load, relay, sink, worlds
from egretspur import codec, errors, settings, transport
from egretspur.claims import actor as claim_actor
from egretspur.claims import table as claim_table
from egretspur.clients import log as logs
from egretspur.intents import checkpoints, fold, records
from egretspur.intents import state as states
from egretspur.membership import entries, news
from egretspur.placement import planner
from egretspur.routing import dispatch, tables
from tests import scene, stage

Points = list[tuple[float, float]]

MEGABYTE: Final = 1e6


@attrs.frozen
class Slope:
    """Measured values of one quantity, with the size that each belongs to."""

    name: str
    size_unit: str
    value_unit: str
    points: tuple[tuple[float, float], ...]


def measure_relay(sizes: Sequence[int], seconds: float) -> list[Slope]:
    """CPU and memory of a router, by open streams of 20 events/s each."""
    play = scene.Scene()
    try:
        router = relay.start_router(play, max(sizes) + 50)
        costs = [relay.measure(router, n, seconds) for n in sizes]
    finally:
        play.close()
    return [
        Slope(
            "router_cpu_by_events",
            "events/s",
            "cores",
            tuple((c.events_per_s, c.cpu_share) for c in costs),
        ),
        Slope(
            "router_memory_by_streams",
            "open streams",
            "MB",
            tuple((float(c.streams), c.rss_mb) for c in costs),
        ),
    ]


def measure_added_delay(sizes: Sequence[int], seconds: float) -> Slope:
    """Delay that the router adds to the source's 50 ms token gap, at p95."""
    play = scene.Scene()
    points: Points = []
    try:
        router = relay.start_router(play, max(sizes) + 60)
        for streams in sizes:
            reader = sink.Sink(router.address, streams, "/v1/completions")
            counter = threading.Thread(target=reader.count, args=(seconds + 2,))
            counter.start()
            time.sleep(1.0)
            shape = load.Shape(5.0, seconds, (("grooms", 1.0),), 20)
            result = load.run_load([router.address], shape)
            counter.join()
            reader.close()
            time.sleep(0.5)
            points.append((streams, result.get_between_ms(95) - 50.0))
    finally:
        play.close()
    return Slope("router_delay_by_streams", "open streams", "ms", tuple(points))


def measure_requests(sizes: Sequence[int], seconds: float) -> list[Slope]:
    """CPU and first-token time of a router, by requests/s of five tokens."""
    play = scene.Scene()
    cpu: Points = []
    first: Points = []
    try:
        router = relay.start_router(play, 200, events_per_s=200.0)
        for rate in sizes:
            shape = load.Shape(rate, seconds, (("grooms", 1.0),), 5)
            before = figures.read_cpu_s(router.popen.pid)
            result = load.run_load([router.address], shape)
            used = figures.read_cpu_s(router.popen.pid) - before
            sent = len(result.samples) / seconds
            cpu.append((sent, used / seconds))
            first.append((sent, result.get_first_ms(95)))
    finally:
        play.close()
    return [
        Slope("router_cpu_by_requests", "requests/s", "cores", tuple(cpu)),
        Slope("router_first_token_p95", "requests/s", "ms", tuple(first)),
    ]


def measure_nodes(sizes: Sequence[int], seconds: float) -> list[Slope]:
    """CPU, memory and traffic of control daemons, by nodes per data centre."""
    cpu: Points = []
    rss: Points = []
    sent: Points = []
    for nodes in sizes:
        play = scene.Scene()
        play.control_cfg = {
            "lease": {"period_s": 0.5, "duration_s": 6.0},
            "peers": {
                "period_s": 2.0,
                "gone_after_s": 20.0,
                "fallback_s": 10.0,
            },
        }
        try:
            play.start_platform()
            for number in range(nodes):
                play.start_control(f"n{number}", "dc")
            time.sleep(4.0)
            names = [f"n{n}" for n in range(nodes)]
            before = [_read_control_use(play, n) for n in names]
            time.sleep(seconds)
            after = [_read_control_use(play, n) for n in names]
        finally:
            play.close()
        pairs = list(zip(before, after, strict=True))
        cpu.append(
            (nodes, sum(a.cpu_s - b.cpu_s for b, a in pairs) / nodes / seconds)
        )
        rss.append((nodes, max(a.rss_mb for a in after)))
        sent.append(
            (nodes, max(a.bytes - b.bytes for b, a in pairs) / seconds / 1e3)
        )
    return [
        Slope("control_cpu_by_nodes", "nodes", "cores", tuple(cpu)),
        Slope("control_memory_by_nodes", "nodes", "MB", tuple(rss)),
        Slope("control_bytes_by_nodes", "nodes", "KB/s", tuple(sent)),
    ]


@attrs.frozen
class _ControlUse:
    cpu_s: float
    rss_mb: float
    bytes: float


def _read_control_use(play: scene.Scene, name: str) -> _ControlUse:
    pid = play.processes[name].popen.pid
    cpu = figures.read_cpu_s(pid)
    view = play.call("GET", name, "/state")["membership"]
    total = view["sent_bytes"] + view["received_bytes"]
    return _ControlUse(cpu, figures.read_rss_mb(pid), total)


def measure_memory(
    name: str, unit: str, sizes: Sequence[int], make: Callable[[int], Any]
) -> Slope:
    """Memory of the object that `make` builds, by the size given to it."""
    points: Points = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        kept = make(size)
        gc.collect()
        points.append((size, tracemalloc.get_traced_memory()[0] / MEGABYTE))
        tracemalloc.stop()
        del kept
    return Slope(name, unit, "MB", tuple(points))


def time_calls(call: Callable[[], Any], calls: int = 1) -> float:
    """Returns processor seconds per call, the lowest of three rounds."""
    best = float("inf")
    for _ in range(3):
        before = time.process_time()
        for _ in range(calls):
            call()
        best = min(best, (time.process_time() - before) / calls)
    return best


def measure_fold(sizes: Sequence[int]) -> Slope:
    """Seconds to decode and fold records, by their number."""
    points: Points = []
    for workspaces in sizes:
        plain = [
            records.CODEC.encode(r)
            for r in worlds.make_records(workspaces, 36, 360)
        ]

        def run(values: list[Any] = plain) -> None:
            state = states.State()
            for offset, value in enumerate(values, 1):
                record = records.CODEC.decode(value)
                fold.apply(state, records.Entry(offset, record))

        points.append((len(plain), time_calls(run)))
    return Slope("fold_seconds", "records", "s", tuple(points))


def measure_checkpoint(sizes: Sequence[int]) -> list[Slope]:
    """Time and size of a checkpoint, by workspaces."""
    seconds: Points = []
    size: Points = []
    for workspaces in sizes:
        state = worlds.make_state(workspaces, 36, 371)
        parts = checkpoints.split(state, "b", 0)

        def run(state: states.State = state) -> None:
            checkpoints.split(state, "b", 0)

        seconds.append((workspaces, time_calls(run)))
        size.append((workspaces, sum(len(p.data) for p in parts) / 1e3))
    return [
        Slope("checkpoint_seconds", "workspaces", "s", tuple(seconds)),
        Slope("checkpoint_size", "workspaces", "KB", tuple(size)),
    ]


def measure_tables(sizes: Sequence[int]) -> list[Slope]:
    """Time to make and apply a routing table, and its size, by replicas."""
    make: Points = []
    apply: Points = []
    size: Points = []
    for replicas in sizes:
        state = worlds.make_state(400, 36, replicas)
        hosts = worlds.make_hosts(state)
        built = worlds.make_table(state, hosts)
        data = codec.dump(built)
        make.append(
            (
                replicas,
                time_calls(
                    lambda s=state, h=hosts: codec.dump(  # type: ignore[misc]
                        worlds.make_table(s, h)
                    )
                ),
            )
        )
        apply.append((replicas, time_calls(lambda d=data: _apply_table(d))))  # type: ignore[misc]
        size.append((replicas, len(data) / 1e3))
    return [
        Slope("table_make_seconds", "replicas", "s", tuple(make)),
        Slope("table_take_seconds", "replicas", "s", tuple(apply)),
        Slope("table_size", "replicas", "KB", tuple(size)),
    ]


def _apply_table(data: bytes) -> None:
    found = codec.load(data, tables.RoutingTable)
    dispatcher = dispatch.Dispatcher(
        "r",
        "dc",
        settings.LimitSettings(),
        settings.TimingSettings(),
        settings.RetrySettings(),
        random.Random(1),
    )
    update = tables.RoutingUpdate(1, found, 1, {}, {}, (), 1)
    dispatcher.update(update, 1.0)


def measure_choice(sizes: Sequence[int]) -> Slope:
    """Seconds of a route choice over four stages, by replicas."""
    points = [(float(n), choice.measure(n, 4) / 1e6) for n in sizes]
    return Slope("choice_seconds", "replicas", "s", tuple(points))


def measure_choice_stages(sizes: Sequence[int]) -> Slope:
    """Seconds of a route choice at 371 replicas, by stages."""
    points = [(float(n), choice.measure(371, n) / 1e6) for n in sizes]
    return Slope("choice_seconds_by_stages", "stages", "s", tuple(points))


def measure_planner(sizes: Sequence[int]) -> Slope:
    """Seconds to plan one model over all hosts, by replicas."""
    points: Points = []
    for replicas in sizes:
        hosts = tuple(worlds.make_host(f"h{i}", i) for i in range(replicas * 4))
        inputs = planner.Inputs(
            states.State(),
            records.Intent("i", "w", "m", "", "v1", ("dc",), 5, replicas),
            worlds.make_spec("m"),
            hosts,
        )
        before = time.process_time()
        planner.make_plan(inputs, "p1")
        points.append((replicas, time.process_time() - before))
    return Slope("plan_seconds", "replicas", "s", tuple(points))


def measure_messages(sizes: Sequence[int]) -> list[Slope]:
    """Size of a peer update and time to merge and answer it, by entries."""
    size: Points = []
    seconds: Points = []
    retention = entries.Retention(20.0, 3600.0, 10.0, 3600.0, 3600.0, 600.0)
    for count in sizes:
        items = tuple(_make_aged_entry(i) for i in range(count))
        message = news.GossipMessage("host-123", "10.1.2.3:7070", 123456, items)
        data = news.pack_message(message)

        def run(data: bytes = data) -> None:
            view = entries.View()
            found = news.unpack_message(data)
            entries.merge(view, found.items, retention, 1.0)
            entries.choose(view, 24, 2.0)

        size.append((count, len(data) / 1e3))
        seconds.append((count, time_calls(run, 200)))
    return [
        Slope("message_size", "entries", "KB", tuple(size)),
        Slope("message_seconds", "entries", "s", tuple(seconds)),
    ]


def measure_records(sizes: Sequence[int]) -> Slope:
    """Bytes of the records of a change, by the chains that it adds."""
    points: Points = []
    for chains in sizes:
        made = (worlds.make_deployment(1, chains, 4),)
        change = worlds.make_change(1, "workspace", "tailor-llm", 1, made)
        size = sum(
            len(codec.dump_json(records.CODEC.encode(r))) for r in change
        )
        points.append((chains, size / 1e3))
    return Slope("change_size", "chains", "KB", tuple(points))


def _make_aged_entry(number: int) -> entries.AgedEntry:
    node = news.NodeState(
        f"10.1.{number}.7:7070",
        "kl-hall",
        f"10.1.{number}.7:8080",
        123456,
        123456,
        True,
    )
    entry = entries.Entry(
        entries.Kind.NODE,
        f"kl-entry-{number}",
        f"kl-entry-{number}",
        1764600000000,
        4711,
        news.pack_node(node),
    )
    return entries.AgedEntry(entry, 1.5)


def measure_wire(sizes: Sequence[int]) -> Slope:
    """Bytes on the wire of a call and its empty answer, by body size."""
    points: Points = []
    with socket.create_server(("127.0.0.1", 0)) as server:
        host, port = server.getsockname()
        conns = transport.Transport(1.0, 2.0)
        for size in sizes:
            counted: list[int] = []
            thread = threading.Thread(
                target=_answer_once, args=(server, size, counted)
            )
            thread.start()
            conns.call("POST", f"{host}:{port}", "/peer/push", b"x" * size)
            thread.join(5)
            conns.empty_pool(f"{host}:{port}")
            points.append((size / 1e3, counted[0] / 1e3))
    return Slope("wire_size", "KB of body", "KB", tuple(points))


def _answer_once(server: socket.socket, size: int, counted: list[int]) -> None:
    sock, _ = server.accept()
    data = b""
    while len(data) < size or b"\r\n\r\n" not in data:
        data += sock.recv(65_536)
    head = len(data.partition(b"\r\n\r\n")[0]) + 4
    while len(data) < head + size:
        data += sock.recv(65_536)
    answer = (
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
        b"Content-Type: application/json\r\n"
        b"Date: Wed, 02 Dec 2026 18:00:00 GMT\r\nServer: egretspur\r\n\r\n"
    )
    sock.sendall(answer)
    sock.close()
    counted.append(len(data) + len(answer))


class _MemoryLog:
    """A log client that keeps all values in memory."""

    def __init__(self) -> None:
        self.values: list[Any] = []
        self.appends = 0

    def append(self, stream: str, values: list[Any]) -> int:
        """Appends values, with the 4 ms delay of a platform near by."""
        time.sleep(0.004)
        first = len(self.values) + 1
        self.values.extend(values)
        self.appends += 1
        return first

    def read(
        self, stream: str, start: int, wait_s: float = 0.0
    ) -> logs.Slice | errors.Refusal:
        """Reads values."""
        found = self.values[start - 1 : start + 499]
        head = len(self.values) + 1
        return logs.Slice(
            1,
            start + len(found),
            head,
            tuple((start + i, v) for i, v in enumerate(found)),
        )


def measure_claims(sizes: Sequence[int], seconds: float) -> list[Slope]:
    """CPU and appends of one partition's owner, by claims/s."""
    cpu: Points = []
    appends: Points = []
    for rate in sizes:
        client = _MemoryLog()
        ref = claim_actor.PartitionActor.start(1, client)
        before = time.process_time()
        start = time.monotonic()
        pending = []
        for number in range(int(rate * seconds)):
            due = start + number / rate
            pause = due - time.monotonic()
            if pause > 0:
                time.sleep(pause)
            fut: claim_actor.VerdictFuture = claim_actor.make_future()
            claim = claim_table.Claim(f"c{number}", f"w/desk/{number}", "b")
            ref.tell(claim_actor.SubmitClaim(claim, fut))
            pending.append(fut)
        for fut in pending:
            assert isinstance(fut.result(10), claim_table.Granted)
        took = time.monotonic() - start
        used = time.process_time() - before
        ref.stop()
        cpu.append((rate, used / took))
        appends.append((rate, client.appends / took))
    return [
        Slope("claims_cpu", "claims/s", "cores", tuple(cpu)),
        Slope("claims_appends", "claims/s", "appends/s", tuple(appends)),
    ]


def measure_control_changes(
    sizes: Sequence[int], seconds: float
) -> list[Slope]:
    """CPU of a control daemon, by configuration records/s."""
    play = scene.Scene()
    points: Points = []
    number = 0
    try:
        play.start_platform()
        play.start_entry("kl-1", "kl-hall")
        stage.wait_until(
            lambda: play.call("GET", "kl-1", "/v1/status")["leases"], 20
        )
        pid = play.processes["kl-1"].popen.pid
        for rate in sizes:
            before = figures.read_cpu_s(pid)
            start = time.monotonic()
            for index in range(int(rate * seconds)):
                pause = start + index / rate - time.monotonic()
                if pause > 0:
                    time.sleep(pause)
                number += 1
                change = worlds.make_change(
                    number, f"w{number}", "m", number, ()
                )
                values = [records.CODEC.encode(r) for r in change]
                play.call(
                    "POST", "log", "/streams/config", {"records": values[:1]}
                )
            pause = start + seconds - time.monotonic()
            if pause > 0:
                time.sleep(pause)
            used = figures.read_cpu_s(pid) - before
            points.append((rate, used / (time.monotonic() - start)))
    finally:
        play.close()
    return [
        Slope("control_cpu_by_records", "records/s", "cores", tuple(points))
    ]


def measure_all() -> list[Slope]:
    """Measures all slopes, first those that start no other processes."""
    found: list[Slope] = []
    done = found.extend
    figures.log_progress("state, tables, fold, checkpoints")
    by_replicas = (50, 100, 200, 371)
    done(
        [
            measure_memory(
                "state_memory_by_workspaces",
                "workspaces",
                (350, 700, 1400, 2800),
                lambda n: worlds.make_state(n, 36, 371),
            ),
            measure_memory(
                "state_memory_by_replicas",
                "replicas",
                (325, 650, 1300, 2600),
                lambda n: worlds.make_state(400, 36, n),
            ),
            measure_memory(
                "state_memory_by_models",
                "models",
                (9, 18, 27, 36),
                lambda n: worlds.make_state(400, n, 360),
            ),
            measure_memory(
                "hosts_memory_by_replicas",
                "replicas",
                by_replicas,
                lambda n: worlds.make_hosts(worlds.make_state(36, 36, n)),
            ),
            measure_fold((200, 400, 800, 1600)),
            *measure_checkpoint((350, 700, 1400, 2800)),
            *measure_tables(by_replicas),
            measure_choice((10, 100, 371, 1000, 2600)),
            measure_choice_stages((1, 2, 4, 8)),
            *measure_messages((6, 12, 18, 24)),
            measure_wire((500, 1000, 2000, 2500)),
            measure_records((1, 2, 4, 8)),
        ]
    )
    figures.log_progress("planner, claims")
    done([measure_planner((100, 300, 900, 2600))])
    done(measure_claims((10, 40, 100, 300), 2.0))
    figures.log_progress("control daemon by records")
    done(measure_control_changes((1, 5, 20, 50), 4.0))
    figures.log_progress("router by requests")
    done(measure_requests((10, 20, 40, 80), 4.0))
    figures.log_progress("router by streams")
    done(measure_relay((100, 200, 300, 400), 4.0))
    done([measure_added_delay((50, 100, 200, 400), 4.0)])
    figures.log_progress("control daemons by nodes")
    done(measure_nodes((4, 8, 16, 32), 6.0))
    return found
