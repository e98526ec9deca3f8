"""Steps on a host process before stand-ins of the platform."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from typing import Any

import attrs
import urllib3
from behave import given, then, when

from tests import stage
from tests.steps import platform_steps

LAYERS = 8
HOST = "notes.example"

SPEC = {
    **platform_steps.ENGINE,
    "layer_count": LAYERS,
    "layer_mb": 1000.0,
    "kinds": [
        {"name": "l4", "size_mb": 4000.0, "pace": 16.0, "read_factor": 8.2}
    ],
    "kv_token_bytes": 80_000,
    "load_s": 0.1,
}


@attrs.define
class Platform:
    """All processes of a scenario."""

    stage: stage.Stage = attrs.Factory(stage.Stage)
    ports: dict[str, int] = attrs.Factory(dict)
    pool: urllib3.PoolManager = attrs.Factory(
        lambda: urllib3.PoolManager(retries=False, timeout=20.0)
    )
    hosts: list[str] = attrs.Factory(list)
    beats: threading.Event = attrs.Factory(threading.Event)
    beating: threading.Lock = attrs.Factory(threading.Lock)
    entries: dict[str, dict[str, Any]] = attrs.Factory(dict)

    def leave(self, name: str) -> None:
        """Takes an upstream off the list."""
        with self.beating:
            self.entries.pop(name)
            self.write("keyed.servers", name, None)

    def close(self) -> None:
        """Ends all processes."""
        self.beats.set()
        self.stage.close()

    def write(self, topic: str, key: str, value: Any) -> None:
        """Writes to the store as operators and upstreams do."""
        body = {"topic": topic, "key": key, "value": value}
        self.stage.call("POST", "store", "/write", body)

    def beat(self) -> None:
        """Keeps the entries of the engines as they report them."""
        while not self.beats.wait(0.2):
            with self.beating:
                for name in self.entries:
                    self.beat_one(name)

    def beat_one(self, name: str) -> None:
        """Writes one entry."""
        entry = self.entries[name]
        if entry["service"] == "llm":
            report = self.stage.call("GET", name, "/egretspur/report")
            entry["layer_count"] = report["layer_count"]
        self.write("keyed.servers", name, entry)

    def ask(
        self, path: str, key: str, host: str = "127.0.0.1", **more: Any
    ) -> Any:
        """Sends a caller's request; returns the open answer."""
        return self.pool.request(
            "POST",
            f"http://{host}:{self.ports['frontend']}{path}",
            body=b"{}",
            headers={
                "Host": HOST,
                "Attempt-Id": f"a{time.monotonic_ns()}",
                "Token-Usage": "20,20",
                "Deadline-Ms": "9000",
                "Authorization": f"Bearer {key}",
                **more,
            },
            preload_content=False,
        )

    def get_runs(self) -> list[dict[str, str]]:
        """Returns what the upstreams ran."""
        runs = []
        for name in self.entries:
            runs += self.stage.call("GET", name, "/runs")
        return runs


def make_config(keys: list[str], version: int) -> dict[str, Any]:
    """Returns a configuration as operators write it."""
    routes = []
    for prefix, kind, service in (
        ("/notes/", "streaming", "llm"),
        ("/cards/", "idempotent", "desk"),
        ("/orders/", "non_idempotent", "desk"),
    ):
        routes.append(
            {
                "name": prefix,
                "host": HOST,
                "path_prefix": prefix,
                "route_kind": kind,
                "timeout_ms": 9000,
                "slo_ms": 500,
                "priority": 1,
                "service": service,
                "max_attempts": 2,
                "resumable": kind == "streaming",
            }
        )
    services = [
        {
            "name": "llm",
            "health_path": "/healthz",
            "max_conns": 100,
            "inference_engine": SPEC,
        },
        {"name": "desk", "health_path": "/healthz", "max_conns": 100},
    ]
    return {
        **platform_steps.EXAMPLE,
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": [{"name": "tailors", "api_keys": keys, "priority": 1}],
    }


def find_port(hosts: tuple[str, ...]) -> int:
    """Returns a TCP port that is free on all of these addresses."""
    while True:
        with socket.socket() as sock:
            sock.bind((hosts[0], 0))
            port = int(sock.getsockname()[1])
            try:
                for host in hosts[1:]:
                    with socket.socket() as other:
                        other.bind((host, port))
            except OSError:
                continue
            return port


def start_host(platform: Platform, ip: str) -> None:
    """Starts a host process at an address."""
    listen = {
        name: f"{ip}:{platform.ports[name]}"
        for name in ("frontend", "ready", "control_plane")
    }
    cfg = {
        "node_name": f"host-{ip}",
        "ip": ip,
        "zone": "kl-hall",
        "zones": {"kl-hall": "my"},
        "listen": listen,
        "port_range": [platform.ports["exchange"], 0],
        "seeds": ["127.0.0.1:1"],
        "platform": {"address": platform.stage.processes["store"].address},
        "bounds": {"grace_s": 7},
    }
    path = platform.stage.folder / f"{ip}.json"
    path.write_text(json.dumps(cfg), "utf-8")
    popen = subprocess.Popen(
        [sys.executable, "-m", "egretspur.daemons.host"],
        stdout=subprocess.PIPE,
        env={**os.environ, "EGRETSPUR_NODE_FILE": str(path)},
        text=True,
    )
    process = stage.Process(ip, popen, listen["frontend"])
    threading.Thread(target=keep_lines, args=(process,), daemon=True).start()
    platform.stage.processes[ip] = process
    platform.hosts.append(ip)


def keep_lines(process: stage.Process) -> None:
    """Keeps what a host logs."""
    assert process.popen.stdout is not None
    for line in process.popen.stdout:
        process.lines.append(line)


def is_ready(platform: Platform, ip: str = "127.0.0.1") -> bool:
    """Tells whether a host is ready."""
    url = f"http://{ip}:{platform.ports['ready']}/egretspur/readyz"
    try:
        return bool(
            platform.pool.request("GET", url, timeout=1.0).status == 200
        )
    except urllib3.exceptions.HTTPError:
        return False


def can_stream(platform: Platform, ip: str = "127.0.0.1") -> bool:
    """Tells whether a stream is answered."""
    try:
        res = platform.ask("/notes/x", "key-1", ip)
        return bool(res.status == 200 and b"id: 5" in res.read())
    except urllib3.exceptions.HTTPError:
        return False


@given("a store, four engines, two plain replicas and a host")
def step_platform(context: Any) -> None:
    platform = Platform()
    context.play = platform
    ips = ("127.0.0.1", "127.0.0.2")
    for name in ("frontend", "ready", "control_plane"):
        platform.ports[name] = find_port(ips)
    platform.ports["exchange"] = stage.find_udp_port(ips)
    platform.stage.start("store", "tests.fakes.store")
    for i in range(6):
        is_engine = i < 4
        name = f"e{i}" if is_engine else f"s{i}"
        args = ["--name", name]
        if is_engine:
            args += ["--layers", str(LAYERS)]
        process = platform.stage.start(name, "tests.fakes.replica", *args)
        platform.entries[name] = {
            "service": "llm" if is_engine else "desk",
            "address": process.address,
            "zone": "kl-hall",
            "slots": 6,
            "state": "ready",
            "route_kind": "l4" if is_engine else None,
            "layer_count": None,
        }
    platform.write("keyed.op", "config", make_config(["key-1"], 2))
    threading.Thread(target=platform.beat, daemon=True).start()
    start_host(platform, "127.0.0.1")
    stage.wait_until(lambda: is_ready(platform), 15.0, "the host is ready")
    stage.wait_until(lambda: can_stream(platform), 15.0, "layers are held")
    context.before = len(platform.get_runs())


def set_faults(context: Any, names: str, **faults: Any) -> None:
    """Sets faults of the upstreams whose names begin so."""
    for name in context.play.entries:
        if name.startswith(names):
            context.play.stage.call("POST", name, "/faults", faults)


@given("the first engine breaks off after {count:d} events")
def step_breaks_off(context: Any, count: int) -> None:
    runs = context.play.get_runs()
    first = runs[-1]["Target-Replica"]
    set_faults(context, first, cut_after=count)


@given("one plain replica refuses")
def step_one_refuses(context: Any) -> None:
    set_faults(context, "s4", refuse=True)


@given("streams of {count:d} events")
def step_long(context: Any, count: int) -> None:
    set_faults(context, "e", events=count, pause_s=0.05)


@given("the store is down")
def step_down(context: Any) -> None:
    context.play.stage.call("POST", "store", "/faults", {"down": True})


@given("the store keeps {count:d} record of history")
def step_keeps(context: Any, count: int) -> None:
    context.play.stage.call("POST", "store", "/faults", {"keep": count})


@when('a stream is asked for with key "{key}"')
def step_stream(context: Any, key: str) -> None:
    context.res = context.play.ask("/notes/x", key)
    context.body = context.res.read()


@when('"{path}" is asked for with key "{key}"')
def step_path(context: Any, path: str, key: str) -> None:
    step_times(context, path, 1, key)
    context.res = context.answers[0]


@when('"{path}" is asked for {times:d} times with key "{key}"')
def step_times(context: Any, path: str, times: int, key: str) -> None:
    context.answers = []
    for _ in range(times):
        res = context.play.ask(path, key)
        res.read()
        context.answers.append(res)


@when('a stream is asked for with key "{key}" and left after {seconds:g} s')
def step_leave(context: Any, key: str, seconds: float) -> None:
    res = context.play.ask("/notes/x", key)
    time.sleep(seconds)
    res.close()


@when(
    'a stream is asked for with key "{key}" and the host is stopped meanwhile'
)
def step_stop(context: Any, key: str) -> None:
    platform = context.play
    # A connection that is kept since before the stop.
    context.kept = urllib3.HTTPConnectionPool(
        "127.0.0.1", platform.ports["frontend"], retries=False, timeout=5.0
    )
    context.kept.request("POST", "/other/", headers={"Host": HOST})
    context.stream = {}

    def run() -> None:
        res = platform.ask("/notes/x", key)
        context.stream["body"] = res.read()

    context.thread = threading.Thread(target=run)
    context.thread.start()
    time.sleep(0.3)
    platform.stage.processes["127.0.0.1"].terminate()
    context.stopped_s = time.monotonic()


@when('a configuration without key "{key}" is written')
def step_revoke(context: Any, key: str) -> None:
    context.play.write("keyed.op", "config", make_config(["key-2"], 9))


@when("the store is back and an upstream leaves")
def step_store_back(context: Any) -> None:
    context.play.stage.call("POST", "store", "/faults", {"down": False})
    step_upstream_leaves(context)


@when("20 records are written and an upstream leaves")
def step_many_records(context: Any) -> None:
    for i in range(20):
        context.play.write("keyed.servers", "noise", {"n": i})
    step_upstream_leaves(context)


def step_upstream_leaves(context: Any) -> None:
    """Has one plain replica leave."""
    context.play.leave("s4")


@when("another host starts")
def step_another(context: Any) -> None:
    start_host(context.play, "127.0.0.2")


@then("events 1 to {last:d} come, with the receipt of the engine")
def step_events(context: Any, last: int) -> None:
    ids = [int(n[4:]) for n in context.body.decode().split("\n") if "id:" in n]
    assert ids == list(range(1, last + 1)), context.body
    assert context.res.headers["Replica-Signature"].startswith("sig-e")


@then('the engine got workspace "{name}", a path over all layers and no key')
def step_got(context: Any, name: str) -> None:
    run = context.play.get_runs()[-1]
    assert run["Tenant"] == name and "Authorization" not in run, run
    ends = [p.rpartition("-")[2] for p in run["Hop-Count"].split(",")]
    assert ends[-1] == str(LAYERS), run
    assert 8000 < int(run["Deadline-Ms"]) <= 9000, run


@then("the answer is {status:d} and nothing ran")
def step_refused(context: Any, status: int) -> None:
    assert context.res.status == status, context.res.status
    assert len(context.play.get_runs()) == context.before


@then("the answer is {status:d}, and the target came as it was sent")
def step_target(context: Any, status: int) -> None:
    assert context.res.status == status
    runs = [r for r in context.play.get_runs() if "Hop-Count" not in r]
    assert runs[0]["target"] == "/cards/a%20b?q=1%2F2", runs


@then("every answer is {status:d} and each call ran once")
def step_each_once(context: Any, status: int) -> None:
    assert [r.status for r in context.answers] == [status] * 4
    runs = [r["Attempt-Id"] for r in context.play.get_runs()]
    own = [r for r in runs if runs.count(r) > 1]
    assert not own, own


@then("the engine's connection is closed within {seconds:g} s")
def step_left(context: Any, seconds: float) -> None:
    def is_left() -> bool:
        names = [n for n in context.play.entries if n.startswith("e")]
        return any(context.play.stage.call("GET", n, "/left") for n in names)

    stage.wait_until(is_left, seconds, "an engine was left")


@then('within {seconds:g} s "{path}" with key "{key}" is answered {status:d}')
def step_within(
    context: Any, seconds: float, path: str, key: str, status: int
) -> None:
    def is_answered() -> bool:
        res = context.play.ask(path, key)
        res.read()
        return bool(res.status == status)

    stage.wait_until(is_answered, seconds, f"{path} is {status}")


@then('for {seconds:g} s streams with key "{key}" are answered')
def step_for(context: Any, seconds: float, key: str) -> None:
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        assert can_stream(context.play)


@then("within {seconds:g} s no request reaches it")
def step_no_reach(context: Any, seconds: float) -> None:
    def is_spared() -> bool:
        before = len(context.play.stage.call("GET", "s4", "/runs"))
        step_times(context, "/cards/x", 6, "key-1")
        after = len(context.play.stage.call("GET", "s4", "/runs"))
        return before == after

    stage.wait_until(is_spared, seconds, "the upstream is left alone")


@then('within {seconds:g} s it answers streams with key "{key}"')
def step_other_host(context: Any, seconds: float, key: str) -> None:
    platform = context.play
    stage.wait_until(
        lambda: can_stream(platform, "127.0.0.2"), seconds, "it serves"
    )


@then("the host is not ready within {seconds:g} s")
def step_not_ready(context: Any, seconds: float) -> None:
    stage.wait_until(lambda: not is_ready(context.play), seconds, "not ready")


@then("all {count:d} events come")
def step_all_events(context: Any, count: int) -> None:
    context.thread.join(10.0)
    assert context.stream["body"].count(b"id: ") == count


@then("a request late in the stop is refused as not run")
def step_late(context: Any) -> None:
    time.sleep(max(0.0, context.stopped_s + 3.0 - time.monotonic()))
    before = len(context.play.get_runs())
    try:
        res = context.kept.request(
            "POST",
            "/notes/x",
            headers={"Host": HOST, "Authorization": "Bearer key-1"},
        )
        assert res.status == 503, res.status
    except urllib3.exceptions.HTTPError:
        # The kept connection was closed, or the process has ended: nothing
        # was read, so nothing ran either.
        pass
    assert len(context.play.get_runs()) == before


@then("the host ends by itself within {seconds:g} s")
def step_ends(context: Any, seconds: float) -> None:
    popen = context.play.stage.processes["127.0.0.1"].popen
    stage.wait_until(lambda: popen.poll() is not None, seconds, "it ended")
    assert popen.returncode == 0, popen.returncode


def get_page(context: Any, path: str) -> bytes:
    """Returns a page of the host."""
    port = context.play.ports["control_plane"]
    res = context.play.pool.request("GET", f"http://127.0.0.1:{port}{path}")
    assert res.status == 200, res.status
    return bytes(res.data)


@then("the metrics count 1 started request")
def step_metrics(context: Any) -> None:
    text = get_page(context, "/metrics").decode()
    lines = [n for n in text.splitlines() if n.startswith("egretspur_requests")]
    started = [n for n in lines if n.startswith("egretspur_requests_started")]
    # Besides those that waited for the layers.
    assert int(float(started[0].split()[-1])) == context.before + 1, lines


@then("the state dump names the four engines")
def step_dump(context: Any) -> None:
    dump = json.loads(get_page(context, "/state"))
    held = {n: u["layers"] for n, u in dump["upstreams"].items() if n[0] == "e"}
    assert set(held) == {"e0", "e1", "e2", "e3"}, dump["upstreams"]
    assert all(held.values()), held


@then('they show "{name}" of "{event}"')
@then('they show "{name}" of ""')
def step_show(context: Any, name: str, event: str = "") -> None:
    text = get_page(context, "/metrics").decode()
    found = [n for n in text.splitlines() if n.startswith(name) and event in n]
    assert found and float(found[0].split()[-1]) > 0, text


@when("the settings are changed {how}")
def step_settings(context: Any, how: str) -> None:
    path = context.play.stage.folder / "127.0.0.1.json"
    cfg = json.loads(path.read_text("utf-8"))
    if "broken" in how:
        del cfg["listen"]
    cfg["seeds"] = ["127.0.0.9:1"]
    changed = path.with_suffix(".new")
    changed.write_text(json.dumps(cfg), "utf-8")
    changed.replace(path)
    if "SIGHUP" in how:
        popen = context.play.stage.processes["127.0.0.1"].popen
        popen.send_signal(signal.SIGHUP)


@then('within {seconds:g} s the log says "{event}" with "{problem}"')
@then('within {seconds:g} s the log says "{event}" with ""')
def step_logged(
    context: Any, seconds: float, event: str, problem: str = ""
) -> None:
    process = context.play.stage.processes["127.0.0.1"]

    def is_logged() -> bool:
        lines = [json.loads(n) for n in process.lines if f'"{event}"' in n]
        return any(
            problem in n["problem"] and bool(problem) == bool(n["problem"])
            for n in lines
        )

    stage.wait_until(is_logged, seconds, f"{event} with {problem!r}")
