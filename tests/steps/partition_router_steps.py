"""Steps on a router of the product's own interface that is cut off."""

from __future__ import annotations

import time
from typing import Any, Final

from behave import given, then, when

from egretspur import transport
from tests import scene, sites, stage

ROUTERS: Final = ("kl-1-router", "kl-2-router")
ADDRESSES: Final = ("127.0.0.2", "127.0.0.3")


@given("a model in force at two routers, and a plain service")
def step_scene(context: Any) -> None:
    context.play = play = scene.Scene()
    play.start_platform()
    for i in range(2):
        play.start_engine(f"e{i}-fast", "kl-hall", "fast", 20, f"r{i}")
        play.start_engine(f"e{i}-slow", "kl-hall", "slow", 16, f"r{i}")
    play.start_service("desk-1", "kl-hall", "desk")
    port, reserved = sites.reserve_port(ADDRESSES)
    play.router_cfg = {"tunnel_port": port, "services": [{"name": "desk"}]}
    for name, address in zip(("kl-1", "kl-2"), ADDRESSES, strict=True):
        play.start_control(name, "kl-hall")
        play.start_router(name, "kl-hall", f"{address}:0", has_partition=True)
    for sock in reserved:
        sock.close()
    play.put_in_force("kl-1", "grooms", ["kl-hall"], replicas=2)
    for router in ROUTERS:
        wait_answered(play, router)


def wait_answered(play: scene.Scene, router: str) -> None:
    """Waits until a router answers completions and calls."""
    stage.wait_until(
        lambda: play.complete(router, "grooms", "chest 98").whole, 10.0, router
    )
    stage.wait_until(lambda: call(play, router) == 200, 10.0, router)


def call(play: scene.Scene, router: str) -> int:
    """Calls the plain service; returns the status, 0 without an answer."""
    res = play.conns.call(
        "GET",
        play.processes[router].address,
        "/services/desk/cards/1",
        headers={"X-Workspace": "grooms"},
    )
    return 0 if isinstance(res, transport.Failed) else res.status


@when("the first router is cut off from all engines and services: {how}")
def step_cut(context: Any, how: str) -> None:
    context.play.partition(ROUTERS[0], how)
    context.cut_s = time.monotonic()


@then(
    "its callers get {answers:d} answers and {replies:d} replies from"
    " {delay:g} s after the cut began"
)
def step_served(context: Any, answers: int, replies: int, delay: float) -> None:
    # The first requests find out that the links are down.
    while time.monotonic() < context.cut_s + delay:
        call(context.play, ROUTERS[0])
        time.sleep(0.2)
    check_served(context.play, ROUTERS[0], answers, replies)


@then("the other's callers get {answers:d} answers and {replies:d} replies")
def step_other_served(context: Any, answers: int, replies: int) -> None:
    check_served(context.play, ROUTERS[1], answers, replies)


def check_served(
    play: scene.Scene, router: str, answers: int, replies: int
) -> None:
    """Checks that all requests at a router are answered."""
    for i in range(answers):
        answer = play.complete(router, "grooms", f"chest {i}")
        assert answer.status == 200 and answer.whole, answer
    statuses = [call(play, router) for _ in range(replies)]
    assert statuses == [200] * replies, statuses


@when("the cut ends")
def step_end(context: Any) -> None:
    state = context.play.call("GET", ROUTERS[0], "/state")
    assert state["reach"] == "helped", state["reach"]
    context.play.partition(ROUTERS[0], "")


@then("it reaches engines by itself within {bound_s:g} s")
def step_by_itself(context: Any, bound_s: float) -> None:
    stage.wait_until(
        lambda: (
            context.play.call("GET", ROUTERS[0], "/state")["reach"] == "sound"
        ),
        bound_s,
        "the links are back",
    )
    check_served(context.play, ROUTERS[0], 3, 3)
