"""Steps on callers, their connections and their input."""

from __future__ import annotations

import concurrent.futures
import itertools
import json
import time
from typing import Any

from behave import given, then, when

from egretspur import transport
from tests import scene, stage
from tests.fakes import engine
from tests.steps import delivery_steps

# Tokens of a long answer: 10 s at the engines' speed, far beyond the stop
# signal's; 27 s on a slow machine, far below the wait for it.
LONG = 3000

ENGINES = ("r1-a", "r1-b", "r2-a", "r2-b")


@given("a data centre whose engines are behind middleboxes")
def step_behind(context: Any) -> None:
    play = scene.Scene()
    context.play = play
    play.start_platform()
    for rack in ("r1", "r2"):
        play.start_engine(f"{rack}-a", "kl-hall", "fast", 20, rack, behind=True)
        play.start_engine(f"{rack}-b", "kl-hall", "slow", 16, rack, behind=True)
    play.start_entry("kl-1", "kl-hall")
    play.put_in_force("kl-1", "grooms", ["kl-hall"], replicas=2)


@when(
    "a caller reads {early:d} tokens of {count:d} and the middlebox of its"
    " last stage forgets"
)
def step_forget(context: Any, early: int, count: int) -> None:
    res = context.play.open_completion(
        "kl-1-router", "grooms", delivery_steps.PROMPT, count
    )
    lines = scene.read_lines(res)
    head = list(itertools.islice((x for x in lines if x), early))
    last = res.headers["X-Pipeline"].split(">")[-1].split(":")[0]
    context.play.call("POST", f"{last}-box", "/faults", {"forget": True})
    context.count = count
    context.answers = [delivery_steps.parse(head + [x for x in lines if x])]


@given("a plain service behind a middlebox")
def step_service_behind(context: Any) -> None:
    play = scene.Scene()
    context.play = play
    play.router_cfg = {
        "services": [{"name": "desk", "never_repeat": ["POST /orders"]}]
    }
    play.start_platform()
    play.start("desk-1", "tests.fakes.service")
    target = play.processes["desk-1"].address
    play.start("desk-1-box", "tests.fakes.middlebox", "--target", target)
    address = play.call("GET", "desk-1-box", "/address")["address"]
    play.list_host(
        "desk-1", "kl-hall", "service", service="desk", address=address
    )
    play.start_entry("kl-1", "kl-hall")
    stage.wait_until(lambda: order(context) == 200, 20, "service known")


def order(context: Any, number: int = 0) -> int:
    """Sends an order of its own; returns the status."""
    res = context.play.conns.call(
        "POST",
        context.play.processes["kl-1-router"].address,
        "/services/desk/orders",
        b"{}",
        headers={"X-Workspace": "grooms"},
    )
    assert isinstance(res, transport.Reply), res
    return res.status


def order_at_once(context: Any, count: int) -> list[int]:
    """Sends orders, slowly answered so that each needs a connection."""
    context.play.call("POST", "desk-1", "/faults", {"delay_s": 0.4})
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        found = list(pool.map(lambda n: order(context, n), range(count)))
    context.play.call("POST", "desk-1", "/faults", {"delay_s": 0})
    return found


@when("{count:d} orders at once have filled the pool")
def step_fill(context: Any, count: int) -> None:
    found = order_at_once(context, count)
    assert found == [200] * count, found


@when("the middlebox of the service forgets and one order is lost")
def step_forget_service(context: Any) -> None:
    context.play.call("POST", "desk-1-box", "/faults", {"forget": True})
    assert order(context) == 504
    # The replica is out for a moment after the loss.
    stage.wait_until(lambda: order(context) == 200, 20, "service back")


@then("{count:d} orders at once are all answered")
def step_answered(context: Any, count: int) -> None:
    found = order_at_once(context, count)
    assert found == [200] * count, found


@when("a caller reads {early:d} tokens of {count:d} and closes its connection")
def step_leave(context: Any, early: int, count: int) -> None:
    res = context.play.open_completion(
        "kl-1-router", "grooms", delivery_steps.PROMPT, count
    )
    lines = scene.read_lines(res)
    list(itertools.islice((x for x in lines if x), early))
    res.close()


@then("within {seconds:d} s no engine has a running request")
def step_idle(context: Any, seconds: int) -> None:
    def is_idle() -> bool:
        return all(
            context.play.call("GET", n, "/status")["running"] == 0
            for n in ENGINES
        )

    stage.wait_until(is_idle, seconds, "engines idle")


@then("some first stage has received a cancellation")
def step_cancelled(context: Any) -> None:
    counts = [context.play.call("GET", n, "/counts") for n in ENGINES]
    assert any(c["cancels"] for c in counts), counts


@when("all engines are killed")
def step_kill_all(context: Any) -> None:
    for name in ENGINES:
        context.play.processes[name].kill()


@when('all engines have fault "{fault}" set to {value}')
def step_all_fault(context: Any, fault: str, value: str) -> None:
    for name in ENGINES:
        context.play.call("POST", name, "/faults", {fault: json.loads(value)})


@when("a caller asks for {count:d} tokens")
def step_ask_one(context: Any, count: int) -> None:
    context.answer = context.play.complete(
        "kl-1-router", "grooms", delivery_steps.PROMPT, count
    )


@then("the caller is refused and told that it was not run")
def step_not_run(context: Any) -> None:
    assert context.answer.error["not_run"] is True, context.answer


@then("the caller is refused and not told that it was not run")
def step_maybe_run(context: Any) -> None:
    assert context.answer.error["not_run"] is False, context.answer


@when('a caller sends the body {body} with workspace "{workspace}"')
def step_body(context: Any, body: str, workspace: str) -> None:
    send_body(context, body, workspace)


@when('a caller sends the body {body} with workspace ""')
def step_body_nobody(context: Any, body: str) -> None:
    send_body(context, body, "")


def send_body(context: Any, body: str, workspace: str) -> None:
    """Sends a completion as it is."""
    headers = {"X-Workspace": workspace} if workspace else {}
    res = context.play.conns.call(
        "POST",
        context.play.processes["kl-1-router"].address,
        "/v1/completions",
        body.encode(),
        headers,
    )
    assert isinstance(res, transport.Reply)
    context.reply = res


@then('the caller gets status {status:d} with "{text}"')
def step_status(context: Any, status: int, text: str) -> None:
    assert context.reply.status == status, context.reply
    assert text in context.reply.body.decode(), context.reply


@when("{callers:d} callers read long answers and the router is told to stop")
def step_stop(context: Any, callers: int) -> None:
    play = context.play
    context.pool = concurrent.futures.ThreadPoolExecutor(callers)
    opened = [
        play.open_completion(
            "kl-1-router", "grooms", delivery_steps.PROMPT, LONG
        )
        for _ in range(callers)
    ]
    context.long = [context.pool.submit(scene.read_answer, r) for r in opened]
    play.processes["kl-1-router"].terminate()
    stage.wait_until(
        lambda: any(
            "draining" in x for x in play.processes["kl-1-router"].lines
        ),
        5,
        "draining",
    )


@then("a new request right after is served and told to close")
def step_served(context: Any) -> None:
    body = {"model": scene.MODEL, "prompt": "late", "max_tokens": 5}
    send_body(context, json.dumps(body), "grooms")
    assert context.reply.status == 200, context.reply
    text = context.reply.read_json()["choices"][0]["text"]
    assert text == engine.make_text("late", scene.VERSION, 5), text
    # This answer has a length: without being told, its connection would stay.
    assert context.reply.headers.get("Connection", "").lower() == "close"


@when("the router is told to stop with nothing in flight")
def step_stop_idle(context: Any) -> None:
    context.play.processes["kl-1-router"].terminate()
    time.sleep(0.3)


@then("the router is not ready")
def step_unready(context: Any) -> None:
    assert context.play.call("GET", "kl-1-router", "/ready") == {"ready": False}


@then("all long answers are whole")
def step_long(context: Any) -> None:
    expected = engine.make_text(delivery_steps.PROMPT, scene.VERSION, LONG)
    for fut in context.long:
        answer = fut.result(60)
        assert answer.whole and answer.text == expected
    context.pool.shutdown()


@then("the router exits with code {code:d}")
def step_exit(context: Any, code: int) -> None:
    process = context.play.processes["kl-1-router"]
    assert process.popen.wait(20) == code, process.lines


@given("a data centre with two chains and two entry hosts")
def step_two_hosts(context: Any) -> None:
    play = delivery_steps.start_data_centre(context, entries=2)
    play.put_in_force("kl-1", "grooms", ["kl-hall"], replicas=2)


@when('engine "{name}" says that it is leaving')
def step_leaving(context: Any, name: str) -> None:
    context.play.call("POST", name, "/faults", {"leaving": True})


@when("requests run at router 1 until it has noticed")
def step_notice(context: Any) -> None:
    def has_noticed() -> bool:
        context.play.complete("kl-1-router", "grooms", "x", 3)
        return bool(get_leaving(context, "kl-1-router"))

    stage.wait_until(has_noticed, 15, "leaving noticed")
    context.noticed_s = time.monotonic()


def get_leaving(context: Any, router: str) -> Any:
    """Returns the leaving marks a router knows."""
    return context.play.call("GET", router, "/state")["traffic"]["leaving"]


@then('within {seconds:d} s both routers count "{name}" as leaving')
def step_both(context: Any, seconds: int, name: str) -> None:
    stage.wait_until(
        lambda: all(
            name in get_leaving(context, f"kl-{n}-router") for n in (1, 2)
        ),
        seconds,
        "leaving known to both",
    )


@then('{count:d} requests at each router don\'t touch "{name}"')
def step_untouched(context: Any, count: int, name: str) -> None:
    before = context.play.call("GET", name, "/counts")["runs"]
    for number in (1, 2):
        for _ in range(count):
            answer = context.play.complete(
                f"kl-{number}-router", "grooms", "x", 3
            )
            assert answer.whole, answer
            assert name not in answer.pipeline, answer
    assert context.play.call("GET", name, "/counts")["runs"] == before


@when('engine "{name}" is replaced by its next incarnation')
def step_next(context: Any, name: str) -> None:
    play = context.play
    play.processes[name].kill()
    play.start_engine(name, "kl-hall", "slow", 16, name[:2])


@then("both routers use it again")
def step_used(context: Any) -> None:
    def is_used() -> bool:
        return all(
            "r1-b"
            in context.play.complete(
                f"kl-{n}-router", "grooms", "x", 3
            ).pipeline
            for n in (1, 2)
        )

    stage.wait_until(is_used, 20, "next incarnation used")
