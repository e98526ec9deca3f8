"""Steps on the lease, orders and repairs."""

from __future__ import annotations

import json
import time
from typing import Any

from behave import given, then, when

from egretspur import transport
from tests import scene, stage
from tests.steps import intents_steps

# Bytes of a layer that takes the weight store most of a second.
SLOW_LAYER = intents_steps.SLOW_LAYER

ENGINES = ("r1-a", "r1-b", "r2-a", "r2-b")


@given("one data centre with two control daemons")
def step_place(context: Any) -> None:
    play = scene.Scene()
    context.play = play
    context.control = "kl-1"
    play.start_platform()
    for rack in ("r1", "r2"):
        checks = rack == "r1"
        for part, kind, room in (("a", "fast", 20), ("b", "slow", 16)):
            play.start_engine(
                f"{rack}-{part}",
                "kl-hall",
                kind,
                room,
                rack,
                checks_fence=checks,
            )
    play.start_entry("kl-1", "kl-hall")
    play.start_control("kl-2", "kl-hall")
    intents_steps.wait_leases(play, ("kl-1", "kl-2"), 1)


def get_holder(context: Any, control: str) -> str:
    """Returns the name of the control daemon that holds the lease."""
    status = context.play.call("GET", control, "/v1/status")
    holder: str = status["leases"]["kl-hall"].partition("/")[0]
    return holder


def get_orders(context: Any, name: str) -> dict[str, Any]:
    """Returns what a control daemon says of its orders."""
    orders: dict[str, Any] = context.play.call("GET", name, "/state")["orders"]
    return orders


@when("the holder of the lease is paused")
def step_pause(context: Any) -> None:
    context.holder = get_holder(context, "kl-1")
    context.other = "kl-2" if context.holder == "kl-1" else "kl-1"
    context.play.processes[context.holder].pause()


@then("the other takes the lease within {seconds:d} s")
def step_other(context: Any, seconds: int) -> None:
    stage.wait_until(
        lambda: get_orders(context, context.other)["lease_offset"] > 0,
        seconds,
        "lease taken over",
    )


@when("the first holder resumes")
def step_wake(context: Any) -> None:
    # Something to order: were it to act, it would act now.
    context.before = sum(
        context.play.call("GET", n, "/counts")["orders"] for n in ENGINES
    )
    context.play.processes[context.holder].resume()


@then("it sends no order for {seconds:d} s")
def step_quiet(context: Any, seconds: int) -> None:
    sent = get_orders(context, context.holder)["orders_sent"]
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        orders = get_orders(context, context.holder)
        assert orders["orders_sent"] == sent, orders
        assert orders["lease_left_s"] == 0, orders
        time.sleep(0.2)
    now = sum(context.play.call("GET", n, "/counts")["orders"] for n in ENGINES)
    assert now == context.before, (now, context.before)


@when('an order with an old number empties engines "{first}" and "{second}"')
def step_old_order(context: Any, first: str, second: str) -> None:
    context.statuses = {}
    for name in (first, second):
        res = context.play.conns.call(
            "PUT",
            context.play.processes[name].address,
            "/holdings",
            json.dumps({"fence": 0, "holdings": [], "priority": 0}).encode(),
        )
        assert isinstance(res, transport.Reply)
        context.statuses[name] = res.status


@then('"{name}", which checks numbers, refuses it')
def step_refuses(context: Any, name: str) -> None:
    assert context.statuses[name] == 409
    assert context.play.call("GET", name, "/status")["holdings"]


@then('"{name}", which does not, holds its layers again within {seconds:d} s')
def step_again(context: Any, name: str, seconds: int) -> None:
    assert context.statuses[name] == 200
    stage.wait_until(
        lambda: context.play.call("GET", name, "/status")["holdings"],
        seconds,
        "layers held again",
    )


@when("a slow plan is confirmed and the holder of the lease is killed")
def step_kill_holder(context: Any) -> None:
    play = context.play
    play.put_model("slow-llm", SLOW_LAYER)
    play.grow_engines(20 * SLOW_LAYER)
    plan = intents_steps.make_slow_plan(play, "kl-1", "grooms", 5)
    context.plan = plan
    holder = get_holder(context, "kl-1")
    other = "kl-2" if holder == "kl-1" else "kl-1"
    context.control = other
    code, _, err = play.run_cli(other, "plan", "confirm", plan["id"])
    assert code == 0, err
    stage.wait_until(
        lambda: intents_steps.count_loading(play) > 0, 10, "loads begun"
    )
    play.processes[holder].kill()


@then("the plan still comes into force")
def step_all_the_same(context: Any) -> None:
    def is_active() -> bool:
        plan = context.play.call(
            "GET", context.control, f"/v1/plans/{context.plan['id']}"
        )
        return bool(plan["status"] == "active")

    stage.wait_until(is_active, 60, "plan in force")


@when("engines lose the answers to their next {count:d} orders")
def step_lose(context: Any, count: int) -> None:
    for name in ENGINES:
        context.play.call(
            "POST", name, "/faults", {"lose_order_answers": count}
        )


@when('an intent is put in force in "{place}"')
def step_put(context: Any, place: str) -> None:
    context.active = context.play.put_in_force(
        "kl-1", "grooms", [place], replicas=2
    )


@then("every engine's holdings are those of the plan")
def step_holdings(context: Any) -> None:
    for name in ENGINES:
        status = context.play.call("GET", name, "/status")
        assert len(status["holdings"]) == 1, status
        assert not status["loading"], status


@given('an intent in force in "{place}" on one chain with a spare')
def step_spare(context: Any, place: str) -> None:
    context.active = context.play.put_in_force(
        "kl-1", "grooms", [place], replicas=1
    )


@when("an engine of the chain is killed")
def step_kill_engine(context: Any) -> None:
    answer = context.play.complete("kl-1-router", "grooms", "x", 4)
    context.victim = answer.pipeline.split(":")[0]
    context.play.processes[context.victim].kill()


@then("the spare takes its layers within {seconds:d} s")
def step_taken(context: Any, seconds: int) -> None:
    def is_repaired() -> bool:
        state = context.play.call("GET", "kl-1", "/state")["config"]
        chains = [
            s["upstream"]
            for d in state["deployments"].values()
            for c in d["chains"]
            for s in c["stages"]
        ]
        return context.victim not in chains

    stage.wait_until(is_repaired, seconds, "repair")


@then("callers are served over the spare")
def step_over_spare(context: Any) -> None:
    def is_served() -> bool:
        answer = context.play.complete("kl-1-router", "grooms", "x", 4)
        return bool(answer.whole) and context.victim not in answer.pipeline

    stage.wait_until(is_served, 10, "served over the spare")


@then('"history" shows the repair')
def step_repair_shown(context: Any) -> None:
    _, out, _ = context.play.run_cli("kl-1", "history")
    assert f"{context.victim} -> " in out, out


@when("two slow plans of priority {low:d} and {high:d} are confirmed together")
def step_two_plans(context: Any, low: int, high: int) -> None:
    play = context.play
    play.put_model("slow-llm", SLOW_LAYER)
    play.put_model("slow-llm-2", SLOW_LAYER)
    play.grow_engines(20 * SLOW_LAYER)
    first = intents_steps.make_slow_plan(play, "kl-1", "patient", low)
    code, _, err = play.run_cli("kl-1", "plan", "confirm", first["id"])
    assert code == 0, err
    second = play.make_intent(
        "kl-1", "urgent", ["kl-hall"], model="slow-llm-2", priority=high
    )
    code, _, err = play.run_cli("kl-1", "plan", "confirm", second["id"])
    assert code == 0, err
    context.plans = (first["id"], second["id"])


@then("the plan of priority {high:d} is in force first")
def step_first(context: Any, high: int) -> None:
    def get_offsets() -> list[int]:
        found = [
            context.play.call("GET", "kl-1", f"/v1/plans/{p}")["active_offset"]
            for p in context.plans
        ]
        return found if all(found) else []

    low_at, high_at = stage.wait_until(get_offsets, 90, "both in force")
    assert high_at < low_at, (low_at, high_at)
