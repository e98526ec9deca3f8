"""Steps on a host process before stand-ins of the platform."""

from __future__ import annotations

import json
import signal
import threading
import time
from typing import Any

import urllib3
from behave import given, then, when

from tests import sites, stage
from tests.steps import forward_steps


@given("a store, four engines, two plain replicas and a host")
def step_platform(context: Any) -> None:
    context.play = sites.start_site(1)
    context.before = len(context.play.get_runs())


def set_faults(context: Any, names: str, **faults: Any) -> None:
    """Sets faults of the upstreams whose names begin so."""
    for name in context.play.entries:
        if name.startswith(names):
            context.play.set_fault(name, faults)


@given("the first engine breaks off after {count:d} events")
def step_breaks_off(context: Any, count: int) -> None:
    runs = context.play.get_runs()
    first = runs[-1]["Target-Replica"]
    set_faults(context, first, cut_after=count)


@given("engines fail when they resume an answer")
def step_fail_resumed(context: Any) -> None:
    set_faults(context, "e", resumed_status=500)


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


@when('a stream is requested with key "{key}"')
def step_stream(context: Any, key: str) -> None:
    context.res = context.play.ask("/notes/x", key)
    context.body, context.is_cut = b"", False
    try:
        for data in context.res.stream(64):
            context.body += data
    except urllib3.exceptions.ProtocolError:
        context.is_cut = True


@then("events 1 to {count:d} arrive, and the connection is cut")
def step_cut(context: Any, count: int) -> None:
    found = forward_steps.read_ids(context.body)
    assert found == list(range(1, count + 1)), context.body
    assert context.is_cut


@when('"{path}" is requested with key "{key}"')
def step_path(context: Any, path: str, key: str) -> None:
    step_times(context, path, 1, key)
    context.res = context.answers[0]


@when('"{path}" is requested {times:d} times with key "{key}"')
def step_times(context: Any, path: str, times: int, key: str) -> None:
    context.answers = []
    for _ in range(times):
        res = context.play.ask(path, key)
        res.read()
        context.answers.append(res)


@when('a stream is requested with key "{key}" and closed after {seconds:g} s')
def step_leave(context: Any, key: str, seconds: float) -> None:
    res = context.play.ask("/notes/x", key)
    time.sleep(seconds)
    res.close()


@when(
    'a stream is requested with key "{key}" and the host is stopped during it'
)
def step_stop(context: Any, key: str) -> None:
    platform = context.play
    # A connection that is kept since before the stop.
    context.kept = urllib3.HTTPConnectionPool(
        "127.0.0.1", platform.ports["frontend"], retries=False, timeout=5.0
    )
    context.kept.request("POST", "/other/", headers={"Host": sites.HOST})
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
    context.play.write("keyed.op", "config", sites.make_config(["key-2"], 9))


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
    sites.start_host(context.play, "127.0.0.2")


@then("events 1 to {last:d} arrive, with the signature of the engine")
def step_events(context: Any, last: int) -> None:
    ids = [int(n[4:]) for n in context.body.decode().split("\n") if "id:" in n]
    assert ids == list(range(1, last + 1)), context.body
    assert context.res.headers["Replica-Signature"].startswith("sig-e")


@then('the engine got workspace "{name}", a path over all layers and no key')
def step_got(context: Any, name: str) -> None:
    run = context.play.get_runs()[-1]
    assert run["Tenant"] == name and "Authorization" not in run, run
    ends = [p.rpartition("-")[2] for p in run["Hop-Count"].split(",")]
    assert ends[-1] == str(sites.LAYERS), run
    assert 8000 < int(run["Deadline-Ms"]) <= 9000, run


@then("the answer is {status:d} and nothing ran")
def step_refused(context: Any, status: int) -> None:
    assert context.res.status == status, context.res.status
    assert len(context.play.get_runs()) == context.before


@then("the answer is {status:d}, and the upstream got the target unchanged")
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
        assert sites.can_stream(context.play)


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
        lambda: sites.can_stream(platform, "127.0.0.2"), seconds, "it serves"
    )


@then("the host is not ready within {seconds:g} s")
def step_not_ready(context: Any, seconds: float) -> None:
    stage.wait_until(
        lambda: not sites.is_ready(context.play), seconds, "not ready"
    )


@then("all {count:d} events arrive")
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
            headers={"Host": sites.HOST, "Authorization": "Bearer key-1"},
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
