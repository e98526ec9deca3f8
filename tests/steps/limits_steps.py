"""Steps on limits that upstreams set; the model is `tests.routing.limits`."""

from __future__ import annotations

import random
from typing import Any

import attrs
from behave import given, then, when

from egretspur import errors
from egretspur.routing import jobs
from tests import fleets
from tests.routing import limits

REPLICAS = ("app-0", "app-1", "app-2")
FIRST_ENGINES = ("a100-0", "a100-3", "a100-6")


def make_world(context: Any, hosts: int) -> limits.World:
    """Makes hosts without upstreams."""
    world = limits.World(random.Random(11))
    world.add_hosts(hosts)
    context.world = world
    return world


@given("{hosts:d} hosts before three plain replicas")
def step_replicas(context: Any, hosts: int) -> None:
    world = make_world(context, hosts)
    world.add_replicas(REPLICAS)
    world.play(limits.WARMUP_S, 10.0)


@given("{hosts:d} hosts before a chain of engines in each data centre")
def step_engines(context: Any, hosts: int) -> None:
    world = make_world(context, hosts)
    world.add_engines()
    world.play(limits.WARMUP_S, 10.0, "streaming")


@when("{who} set a limit of {per_s:g} a second")
def step_name(context: Any, who: str, per_s: float) -> None:
    for name in REPLICAS if who == "all" else REPLICAS[:1]:
        context.world.set_limit(name, per_s)


@when("the first engines of two data centres set limits of {one:g} and {two:g}")
def step_name_engines(context: Any, one: float, two: float) -> None:
    context.world.set_limit(FIRST_ENGINES[0], one)
    context.world.set_limit(FIRST_ENGINES[1], two)


@when("{rate:g} requests a second arrive for {seconds:g} s")
def step_requests(context: Any, rate: float, seconds: float) -> None:
    context.began_s = context.world.now_s
    context.world.play(seconds, rate)


@when("{rate:g} streams a second arrive for {seconds:g} s")
def step_streams(context: Any, rate: float, seconds: float) -> None:
    context.began_s = context.world.now_s
    context.world.play(seconds, rate, "streaming")


@then("no upstream gets more than its limit from hosts that know it")
def step_within(context: Any) -> None:
    world = context.world
    for name in world.limits:
        part, got, allowed = world.find_worst(name)
        assert part <= 1.0, (name, got, allowed)


@then("all requests are answered or run")
def step_answered(context: Any) -> None:
    assert not context.world.refused, len(context.world.refused)


@given("a second chain in the last data centre")
def step_second_chain(context: Any) -> None:
    place = sorted(fleets.DATA_CENTRES)[-1]
    for j, layers in enumerate(("0-27", "27-54", "54-80")):
        entry = fleets.make_upstream(f"a100-{9 + j}", layers, place)
        context.world.add(entry)


@when("each first engine is down to {per_s:g} requests a second")
def step_name_first(context: Any, per_s: float) -> None:
    for name in FIRST_ENGINES:
        context.world.set_limit(name, per_s)


@when("{rate:g} requests a second arrive while {what}")
def step_befall(context: Any, rate: float, what: str) -> None:
    BEFALLS[what](context.world, rate)


def restart_half(world: limits.World, rate: float) -> None:
    """Restarts half of the hosts, three times."""
    for _ in range(3):
        world.play(4, rate)
        world.restart(world.hosts[::2])
    world.play(6, rate)


def restart_all(world: limits.World, rate: float) -> None:
    """Restarts all hosts, three times."""
    for _ in range(3):
        world.play(4, rate)
        world.restart(world.hosts)
    world.play(6, rate)


def move_callers(world: limits.World, rate: float) -> None:
    """Sends requests to two hosts at a time, moving from host to host."""
    for i in range(7):
        world.play(2, rate, to=world.hosts[i : i + 2])


def lose_news(world: limits.World, rate: float) -> None:
    """Loses datagrams."""
    world.loss_rate = 0.4
    move_callers(world, rate)


def cut_off(world: limits.World, rate: float) -> None:
    """Partitions all data centres from each other."""
    world.play(4, rate)
    world.partitioned = frozenset(fleets.DATA_CENTRES)
    world.play(8, rate)


def change_limits(world: limits.World, rate: float) -> None:
    """Lowers and raises the limits."""
    for per_s in (30.0, 4.0, 30.0, 4.0):
        for name in REPLICAS:
            world.set_limit(name, per_s)
        world.play(5, rate)


BEFALLS = {
    "half of the hosts start again three times": restart_half,
    "all hosts start again three times": restart_all,
    "their callers go from host to host": move_callers,
    "two of five datagrams are lost": lose_news,
    "the data centres don't hear each other": cut_off,
    "the limits fall from 30 to 4 and rise": change_limits,
}


@then("whoever is refused found the other first engine full")
def step_full(context: Any) -> None:
    for host in context.world.hosts:
        assert not host.state.queue.waiting
    kinds = {r.kind for _, _, r in context.world.refused}
    assert kinds <= {errors.ErrorKind.DEADLINE}, kinds
    missing = [n for n in context.world.notes if n.layers == "" and n.request]
    assert len(missing) >= len(context.world.refused)
    assert all(FIRST_ENGINES[2] in n.full for n in missing), missing


@then("at least {rate:g} requests a second are answered")
def step_used(context: Any, rate: float) -> None:
    world = context.world
    answered = sum(t >= context.began_s for t in world.answered)
    seconds = world.now_s - context.began_s
    assert answered >= rate * seconds, answered / seconds


@then('the others are refused within {seconds:g} s as "{kind}"')
def step_refused(context: Any, seconds: float, kind: str) -> None:
    refused = context.world.refused
    assert refused
    for _, waited_s, refusal in refused:
        assert waited_s <= seconds, waited_s
        assert refusal.kind.value == kind, refusal


@then("those refused in one second get Retry-After times one after the other")
def step_spread(context: Any) -> None:
    last_s = context.world.now_s - 1.0
    told = [
        (arrived_s + waited_s + r.retry_after_s, r.retry_after_s)
        for arrived_s, waited_s, r in context.world.refused
        if arrived_s + waited_s >= last_s
    ]
    assert all(0.0 < after_s <= 10.0 for _, after_s in told), told
    # No second of the next ten may have more retries than the hosts may send
    # in it, with some margin.
    for second in range(9):
        began_s = context.world.now_s + second
        count = sum(began_s <= at_s < began_s + 1.0 for at_s, _ in told)
        assert count <= 2 * 15, (second, count)


@when("the limit is lifted")
def step_lifted(context: Any) -> None:
    context.world.set_limit(REPLICAS[0], None)


@when("{rate:g} requests a second arrive at {who} for {seconds:g} s")
def step_requests_to(
    context: Any, rate: float, who: str, seconds: float
) -> None:
    world = context.world
    hosts = world.hosts if who == "all" else world.hosts[-1:]
    world.play(seconds, rate, to=hosts)


@when("that replica restarts")
def step_reborn(context: Any) -> None:
    entry = context.world.entries[REPLICAS[0]]
    context.world.set_limit(entry.id, None)
    context.world.add(attrs.evolve(entry, id=f"{entry.name}@2", born_ms=2))


@then("no host limits it")
def step_not_limited(context: Any) -> None:
    for host in context.world.hosts:
        assert not host.state.throttle.limited, host.ip


def is_held_back(host: limits.Host, now_s: float) -> bool:
    """Returns whether a host runs a stream and may not send another now."""
    return any(t.current for t in host.state.tickets.values()) and not any(
        host.state.throttle.can_send(i, now_s) for i in FIRST_ENGINES
    )


@when("a stream is cut after its first events")
def step_cut_begun(context: Any) -> None:
    world = context.world
    for _ in range(50):
        world.play(0.1, 20.0, "streaming")
        if any(is_held_back(h, world.now_s) for h in world.hosts):
            break
    context.host = next(h for h in world.hosts if is_held_back(h, world.now_s))
    state = context.host.state
    context.cut = next(i for i, t in state.tickets.items() if t.current)
    world.waiting[context.cut] = world.now_s
    failure = jobs.Failure(
        context.cut,
        jobs.FailureKind.CUT,
        "reset",
        is_begun=True,
        has_output=True,
    )
    context.effects = state.fail(failure, world.now_s)


@then("it waits first in the queue")
def step_in_front(context: Any) -> None:
    assert not context.effects, context.effects
    state = context.host.state
    item = state.queue.waiting[context.cut]
    assert item.is_begun
    silence_s = state.tickets[context.cut].job.route.caller_silence_s
    assert item.deadline_s >= context.world.now_s + 0.5 * silence_s


@when("one refuses all requests with a backoff of {backoff_s:g} s")
def step_away(context: Any, backoff_s: float) -> None:
    context.world.away = {REPLICAS[0]: backoff_s}


@when("all refuse all requests with a backoff of {backoff_s:g} s")
def step_all_away(context: Any, backoff_s: float) -> None:
    context.world.away = dict.fromkeys(REPLICAS, backoff_s)


@when("the first engine of a data centre sets a backoff of {backoff_s:g} s")
def step_engine_away(context: Any, backoff_s: float) -> None:
    context.world.away = {FIRST_ENGINES[0]: backoff_s}


@when("it accepts requests again")
def step_well(context: Any) -> None:
    context.world.away = {}


@when("that replica restarts during its backoff")
def step_rested_reborn(context: Any) -> None:
    entry = context.world.entries[REPLICAS[0]]
    context.reborn = f"{entry.name}@2"
    context.world.away = {}
    context.world.add(attrs.evolve(entry, id=context.reborn, born_ms=2))


@when("one announces in its answers that it leaves")
def step_leaving(context: Any) -> None:
    context.world.leaving = {REPLICAS[0]}


@then("no host sends it anything during its backoff")
def step_unrested(context: Any) -> None:
    got, upstream_id, host = context.world.find_backoff_violation()
    assert context.world.backoffs
    assert not got, (got, upstream_id, host)


@then("those refused during a backoff get a Retry-After beyond it")
def step_after_rest(context: Any) -> None:
    world = context.world
    first_s = min(at_s + backoff_s for _, _, at_s, backoff_s in world.backoffs)
    told = [
        (a + waited_s, r.retry_after_s)
        for a, waited_s, r in world.refused
        # By then each host has received a backoff from all three.
        if first_s - 1.0 <= a + waited_s < first_s
    ]
    assert told
    for at_s, after_s in told:
        assert at_s + after_s >= first_s, (at_s, after_s, first_s)


@then("it gets its share in the last {seconds:g} s")
def step_share(context: Any, seconds: float) -> None:
    check_share(context, REPLICAS[0], seconds)


@then("the restarted replica gets its share")
def step_new_share(context: Any) -> None:
    check_share(context, context.reborn, 2.0)


def check_share(context: Any, upstream_id: str, seconds: float) -> None:
    """Checks that one of three gets a sixth or more of all requests."""
    world = context.world
    got = world.count_reached(upstream_id, world.now_s - seconds)
    assert got >= 45.0 * seconds / 6, got


@then(
    "no host sends it anything later than {bound_s:g} s after the announcement"
)
def step_left(context: Any, bound_s: float) -> None:
    world = context.world
    assert world.leaving_s
    for (upstream_id, ip), known_s in world.leaving_s.items():
        late = [
            a.at_s - known_s
            for a in world.arrivals[upstream_id]
            if a.host.ip == ip and a.at_s > known_s + bound_s
        ]
        assert not late, (upstream_id, ip, late)
