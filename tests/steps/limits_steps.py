"""Steps on limits that upstreams name; the model is `tests.routing.limits`."""

from __future__ import annotations

import random
from typing import Any

from behave import given, then, when

from tests.routing import limits

REPLICAS = ("app-0", "app-1", "app-2")
FIRST_ENGINES = ("a100-0", "a100-3", "a100-6")


def make_world(context: Any, hosts: int) -> limits.World:
    """Makes hosts without upstreams."""
    context.world = limits.World(random.Random(11))
    context.world.add_hosts(hosts)
    return context.world


@given("{hosts:d} hosts before three plain replicas")
def step_replicas(context: Any, hosts: int) -> None:
    world = make_world(context, hosts)
    world.add_replicas(REPLICAS)
    world.play(limits.LEAD_S, 10.0)


@given("{hosts:d} hosts before a chain of engines in each data centre")
def step_engines(context: Any, hosts: int) -> None:
    world = make_world(context, hosts)
    world.add_engines()
    world.play(limits.LEAD_S, 10.0, "streaming")


@when("{who} name a limit of {per_s:g} a second")
def step_name(context: Any, who: str, per_s: float) -> None:
    for name in REPLICAS if who == "all" else REPLICAS[:1]:
        context.world.name_limit(name, per_s)


@when(
    "the first engines of two data centres name limits of {one:g} and {two:g}"
)
def step_name_engines(context: Any, one: float, two: float) -> None:
    context.world.name_limit(FIRST_ENGINES[0], one)
    context.world.name_limit(FIRST_ENGINES[1], two)


@when("{rate:g} requests a second come for {seconds:g} s")
def step_requests(context: Any, rate: float, seconds: float) -> None:
    context.began_s = context.world.now_s
    context.world.play(seconds, rate)


@when("{rate:g} streams a second come for {seconds:g} s")
def step_streams(context: Any, rate: float, seconds: float) -> None:
    context.began_s = context.world.now_s
    context.world.play(seconds, rate, "streaming")


@then("no upstream gets more than it takes from hosts that it had told")
def step_within(context: Any) -> None:
    world = context.world
    for name in world.limits:
        part, got, allowed = world.find_worst(name)
        assert part <= 1.0, (name, got, allowed)


@then("all that came are answered or run")
def step_answered(context: Any) -> None:
    assert not context.world.refused, len(context.world.refused)
