"""Steps on calls to plain services."""

from __future__ import annotations

import concurrent.futures
import json
import time
from typing import Any

from behave import given, then, when

from egretspur import transport
from tests import scene, stage

SERVICES = ("desk", "mute")


@given("a data centre with a service and two entry hosts")
def step_service(context: Any) -> None:
    play = scene.Scene()
    context.play = play
    play.router_cfg = {
        "services": [
            {
                "name": "desk",
                "never_repeat": ["POST /orders"],
                "outcome_path": "/outcomes/{id}",
            },
            {"name": "mute", "never_repeat": ["POST /orders"]},
        ]
    }
    play.start_platform()
    for name in SERVICES:
        play.start_service(f"{name}-1", "kl-hall", name)
    for number in (1, 2):
        play.start_entry(f"kl-{number}", "kl-hall")
    stage.wait_until(lambda: are_ready(context), 20, "routers know services")


def are_ready(context: Any) -> bool:
    """Tells whether both routers know both services and each other."""
    play = context.play
    for number in (1, 2):
        dump = play.call("GET", f"kl-{number}-router", "/state")["traffic"]
        if len(dump["upstreams"]) < len(SERVICES):
            return False
        view = play.call("GET", f"kl-{number}", "/state")["membership"]
        if sum(1 for n in view["nodes"] if n["news"]["router"]) < 2:
            return False
    return True


@when('the service "{service}" loses {count:d} answer')
def step_lose(context: Any, service: str, count: int) -> None:
    context.play.call(
        "POST", f"{service}-1", "/faults", {"lose_answers": count}
    )


@when("the log loses the answers to {count:d} appends")
def step_log_loses(context: Any, count: int) -> None:
    # Only claims append in this scene but for the lease, which keeps asking;
    # losing more than its share makes sure that a claim's answer is lost too.
    context.play.call("POST", "log", "/faults", {"lose_answers": count})


@when("the log is down")
def step_log_down(context: Any) -> None:
    context.play.call("POST", "log", "/faults", {"down": True})


def send_order(
    context: Any, order: str, service: str, number: int
) -> transport.Reply:
    """Sends an order, with an id or without, and returns its answer."""
    headers = {"X-Workspace": "grooms"}
    if order:
        headers["X-Request-Id"] = order
    res = context.play.conns.call(
        "POST",
        context.play.processes[f"kl-{number}-router"].address,
        f"/services/{service}/orders",
        b"{}",
        headers,
    )
    assert isinstance(res, transport.Reply), res
    return res


@when(
    'a caller sends order "{order}" to service "{service}" at router {number:d}'
)
def step_send(context: Any, order: str, service: str, number: int) -> None:
    context.reply = send_order(context, order, service, number)


@when(
    'a caller sends an order without an id to service "{service}" at router'
    " {number:d}"
)
def step_send_nameless(context: Any, service: str, number: int) -> None:
    context.reply = send_order(context, "", service, number)


@when(
    '{callers:d} callers send order "{order}" to service "{service}" at both'
    " routers at once"
)
def step_send_many(
    context: Any, callers: int, order: str, service: str
) -> None:
    with concurrent.futures.ThreadPoolExecutor(callers) as pool:
        context.replies = list(
            pool.map(
                lambda i: send_order(context, order, service, 1 + i % 2),
                range(callers),
            )
        )


@when("entry host {number:d} is replaced")
def step_replace(context: Any, number: int) -> None:
    name = f"kl-{number}"
    for process in (f"{name}-router", name):
        context.play.processes[process].kill()
    context.play.start_entry(name, "kl-hall")
    stage.wait_until(lambda: are_ready(context), 20, "replaced host ready")


@then("the order is answered with its outcome")
def step_outcome(context: Any) -> None:
    assert context.reply.status == 200, context.reply
    assert "order" in context.reply.read_json(), context.reply


@then('the order is answered "{kind}" and may have run')
def step_unknown(context: Any, kind: str) -> None:
    error = context.reply.read_json()["error"]
    assert error["kind"] == kind, error
    assert error["not_run"] is False, error
    assert error["ask_for"], error


@then('the order is answered "{kind}" and did not run')
def step_refused(context: Any, kind: str) -> None:
    error = context.reply.read_json()["error"]
    assert error["kind"] == kind, error
    assert error["not_run"] is True, error


@then('order "{order}" ran once')
def step_once(context: Any, order: str) -> None:
    assert count_runs(context, order) == 1


@then('order "{order}" ran {count:d} times')
def step_times(context: Any, order: str, count: int) -> None:
    assert count_runs(context, order) == count


def count_runs(context: Any, order: str) -> int:
    """Returns how often an order ran at all replicas together."""
    return sum(
        context.play.call("GET", f"{name}-1", "/runs").get(order, 0)
        for name in SERVICES
    )


@when('a caller reads from service "{service}" at router {number:d}')
def step_read(context: Any, service: str, number: int) -> None:
    res = context.play.conns.call(
        "GET",
        context.play.processes[f"kl-{number}-router"].address,
        f"/services/{service}/price/list",
        headers={"X-Workspace": "grooms"},
    )
    assert isinstance(res, transport.Reply), res
    context.reply = res


@then("the read is answered")
def step_read_answered(context: Any) -> None:
    assert context.reply.status == 200, context.reply
    assert json.loads(context.reply.body)["path"] == "/price/list"


@when('the service "{service}" names a limit of {per_s:g} a second')
def step_limit(context: Any, service: str, per_s: float) -> None:
    faults = {"limit": str(per_s)}
    context.play.call("POST", f"{service}-1", "/faults", faults)


@when(
    'callers send {rate:d} calls a second to service "{service}" at both'
    " routers for {seconds:d} s"
)
def step_many_calls(
    context: Any, rate: int, service: str, seconds: int
) -> None:
    context.named_s = time.time()
    context.kinds = []

    def send(number: int) -> None:
        time.sleep(number / rate)
        res = transport.Transport(1.0, 5.0).call(
            "GET",
            context.play.processes[f"kl-{number % 2 + 1}-router"].address,
            f"/services/{service}/x",
            headers={"X-Workspace": "w"},
        )
        assert isinstance(res, transport.Reply), res
        if res.status != 200:
            context.kinds.append(res.read_json()["error"])

    with concurrent.futures.ThreadPoolExecutor(rate * seconds) as pool:
        list(pool.map(send, range(rate * seconds)))


@then(
    "it got at most {most:d} calls in any {window_s:d} s, after {bound_s:d} s"
)
def step_few_calls(
    context: Any, most: int, window_s: int, bound_s: int
) -> None:
    times = context.play.call("GET", "desk-1", "/times")
    since_s = context.named_s + bound_s
    # Until half a second after it was named, nobody need hold to it.
    late = [t for t in times if t >= context.named_s + 0.5]
    worst = max(
        sum(t <= u < t + window_s for u in late)
        for t in late
        if t + window_s >= since_s
    )
    assert worst <= most, worst


@then('the others are refused as "{kind}"')
def step_others(context: Any, kind: str) -> None:
    assert context.kinds
    assert {k["kind"] for k in context.kinds} == {kind}, context.kinds[:3]
