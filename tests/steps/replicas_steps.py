"""Steps on the choice of replicas; the model is `tests.routing.replicas`."""

from __future__ import annotations

from typing import Any, Final

import attrs
from behave import given, then, when

from egretspur.routing import jobs, memory
from tests import fleets
from tests.routing import replicas

PLACES: Final = list(fleets.DATA_CENTRES)
FIRST: Final = "app-0"
SECOND: Final = "app-1"

# Largest factor between a replica's share and an even one.
EVEN: Final = 1.3


@given("{hosts:d} hosts and {count:d} replicas in {where} data centre")
def step_make(context: Any, hosts: int, count: int, where: str) -> None:
    places = PLACES if where == "each" else PLACES[:1]
    context.world = replicas.World(hosts, (places * count)[:count])
    context.name = FIRST
    context.avoid = set()


@when("{rate:g} calls a second arrive for {seconds:g} s")
def step_play(context: Any, rate: float, seconds: float) -> None:
    context.world.play(seconds, rate)


@when("{rate:g} calls a second arrive in one data centre for {seconds:g} s")
def step_play_near(context: Any, rate: float, seconds: float) -> None:
    context.world.play(seconds, rate, PLACES[0])


@when("the first replica is {factor:g} times as slow")
def step_slow(context: Any, factor: float) -> None:
    context.world.replicas[FIRST].slowdown = factor


@when('{count:d} replicas fail calls as "{kind}"')
def step_fail(context: Any, count: int, kind: str) -> None:
    for replica in list(context.world.replicas.values())[:count]:
        replica.failure = jobs.FailureKind(kind)


@when("a replica is added")
def step_add(context: Any) -> None:
    context.world.add(PLACES[0])
    context.name = list(context.world.replicas)[-1]


@when("{count:d} of them refuse a call of a host")
def step_pause(context: Any, count: int) -> None:
    choose(context, set())
    for name in list(context.world.replicas)[:count]:
        context.world.hosts[0].fleet.replicas.record_failure(
            name, False, context.world.now_s
        )


@given("a host that finds the first replica {state}")
def step_state(context: Any, state: str) -> None:
    world = context.world
    host = world.hosts[0].fleet
    context.avoid = {FIRST} if state == "failed for the call" else set()
    context.refused = {FIRST} if state == "refused the call" else set()
    choose(context, set())
    if state == "at its limit":
        host.throttle.record_limit(FIRST, 0.01, world.now_s)
    elif state == "paused":
        host.replicas.record_failure(FIRST, True, world.now_s)
    elif state == "down":
        host.health.mark_down(FIRST, world.now_s)
    elif state == "cut off":
        entry = attrs.evolve(host.roster.entries[FIRST], data_centre=PLACES[1])
        host.roster.entries[FIRST] = entry
        old = memory.PeerUsage(world.now_s - 5.0, {}, PLACES[1])
        host.memory.set_peer_usage("10.2.0.1", old)
        host.memory.add(SECOND, 20, 0.0)


def choose(context: Any, refused: set[str]) -> str:
    """Returns the replica that the first host chooses; empty if none."""
    host = context.world.hosts[0].fleet
    found = host.replicas.choose(
        "desk", context.avoid, refused, context.world.now_s
    )
    return found.id if found else ""


@then("it chooses the second one, and without that {what}")
def step_chosen(context: Any, what: str) -> None:
    chosen = {choose(context, context.refused) for _ in range(50)}
    assert chosen == {SECOND}, chosen
    found = choose(context, context.refused | {SECOND})
    assert found == {"the first": FIRST, "none": ""}[what], found


@then("the host chooses the last one")
def step_last(context: Any) -> None:
    context.last = list(context.world.replicas)[-1]
    assert choose(context, set()) == context.last


@then("once its slots are taken also {count:d} of the others")
def step_count(context: Any, count: int) -> None:
    context.world.hosts[0].fleet.memory.add(context.last, 12, 0.0)
    chosen = {choose(context, set()) for _ in range(50)}
    assert len(chosen - {context.last}) == count, chosen


@then("each replica gets within 1.3 of an even share")
def step_even(context: Any) -> None:
    world = context.world
    shares = {n: world.get_share(n, world.now_s) for n in world.replicas}
    assert all(1 / EVEN <= s <= EVEN for s in shares.values()), shares


@then(
    "of {rate:g} calls a second it gets {low:g} to {high:g} of an even share"
    " for {seconds:g} s"
)
def step_share(
    context: Any, rate: float, low: float, high: float, seconds: float
) -> None:
    context.world.play(seconds, rate)
    share = context.world.get_share(context.name, seconds)
    assert low <= share <= high, share


@then("at least {count:d} in 100 are sent within a data centre")
def step_near(context: Any, count: int) -> None:
    world = context.world
    near = sum(
        h.fleet.data_centre == world.replicas[n].entry.data_centre
        for _, h, n in world.sent
    )
    assert near >= count / 100 * len(world.sent), near


@then("95 in 100 are answered within {bound_ms:g} ms")
def step_prompt(context: Any, bound_ms: float) -> None:
    times_s = sorted(context.world.answered_s)
    worst_ms = 1000 * times_s[int(0.95 * len(times_s))]
    assert worst_ms <= bound_ms, worst_ms


@then("no caller is refused")
def step_none_refused(context: Any) -> None:
    assert not context.world.refused, context.world.refused


@then("no caller has to return")
def step_none_returned(context: Any) -> None:
    returned = [name for name in context.world.sent_to if "+" in name]
    assert not returned, len(returned)
    assert not context.world.refused, context.world.refused


@then("no call is sent to more replicas than its route allows")
def step_within_attempts(context: Any) -> None:
    limit = fleets.make_route("status", "non_idempotent").max_attempts
    beyond = [n for n in context.world.sent_to.values() if len(n) > limit]
    assert not beyond, len(beyond)


@given('a host with replicas "{names}"')
def step_replicas_host(context: Any, names: str) -> None:
    entries = [fleets.make_upstream(n) for n in names.split()]
    context.replicas = fleets.make_broker(entries).fleet.replicas
    context.now_s = 10.0
    context.replicas.choose("desk", (), (), context.now_s)


@when('a call at "{name}" is cut and {count:d} choices find no replica')
def step_cut_and_wait(context: Any, name: str, count: int) -> None:
    context.replicas.record_failure(name, True, context.now_s)
    for _ in range(count):
        found = context.replicas.choose(
            "desk", (), ("app-0", "app-1"), context.now_s
        )
        assert found is None


@when("the pause in time is over")
def step_pause_over(context: Any) -> None:
    context.now_s += 0.5


@then('the next {count:d} calls go to "{name}"')
def step_calls_go(context: Any, count: int, name: str) -> None:
    for _ in range(count):
        found = context.replicas.choose("desk", (), (), context.now_s)
        assert found.id == name, found
