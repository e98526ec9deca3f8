"""Steps on what hosts tell each other of failing upstreams."""

from __future__ import annotations

from typing import Any

import attrs
from behave import given, then, when

from egretspur.catalog import upstreams
from egretspur.routing import broker, fleet, jobs, paths
from egretspur.tunnels import reach
from tests import fleets
from tests.steps import choice_steps

PLACES = {"a": "kl-hall", "b": "kl-hall", "c": "pg-hall", "d": "cj-hall"}

REPLICAS = ("app-0", "app-1")

# The lowest address of each data centre speaks for it.
SPEAKERS = ("a", "c", "d")


def list_engines() -> list[upstreams.Upstream]:
    """Returns a copy of the model in each data centre, and two replicas."""
    engines = [
        attrs.evolve(
            fleets.make_upstream(engine, layers, place),
            id=choice_steps.name(engine, place),
            name=choice_steps.name(engine, place),
            address=f"{choice_steps.name(engine, place)}:80",
        )
        for place in fleets.DATA_CENTRES
        for engine, layers in choice_steps.COPY.items()
    ]
    return engines + [fleets.make_upstream(name) for name in REPLICAS]


@given(
    "hosts a and b of kl-hall, c of pg-hall and d of cj-hall that know the"
    " same engines"
)
def step_hosts(context: Any) -> None:
    context.now_s = 10.0
    # Upstreams that hosts say fail or are dead, beside what they found.
    context.said = {}
    context.said_dead = {}
    context.hosts = {}
    for host, place in PLACES.items():
        state = fleets.make_broker(list_engines())
        state.fleet.data_centre = place
        context.hosts[host] = state


def send(context: Any, host: str, first: str) -> jobs.Start:
    """Has a host send a request that comes to an engine's data centre."""
    state: broker.Broker = context.hosts[host]
    home = state.fleet.data_centre
    state.fleet.data_centre = first.partition("-hall")[0][-2:] + "-hall"
    effects = state.arrive(fleets.make_job("r", now_s=context.now_s), 10.0)
    state.fleet.data_centre = home
    start = effects[0]
    assert isinstance(start, jobs.Start), start
    assert first in {p.id for p in start.parts}, start
    return start


def probe(context: Any, host: str, engine: str, is_ok: bool) -> None:
    """Has a host probe what is due, and an engine answer or not."""
    state = context.hosts[host].fleet
    due = [e.id for e in state.take_probes(context.now_s)]
    assert engine in due, due
    state.record_probe(engine, is_ok, 1.0, context.now_s)


@when(
    'a request of host {host} is refused on behalf of "{engine}", which answers'
    " {what} probe"
)
def step_refused(context: Any, host: str, engine: str, what: str) -> None:
    start = send(context, host, engine)
    failure = jobs.Failure(
        start.id, jobs.FailureKind.REFUSED, "test", (engine,)
    )
    context.hosts[host].fail(failure, context.now_s)
    probe(context, host, engine, what == "its")
    # The pause after a refusal is the host's own affair.
    context.hosts[host].finish("r", context.now_s)


@when('a request of host {host} finds "{engine}" unreachable')
def step_unreachable(context: Any, host: str, engine: str) -> None:
    context.hosts[host].fleet.health.mark_down(engine, context.now_s)


@when('"{engine}" answers the next probe of host {host}')
def step_back(context: Any, engine: str, host: str) -> None:
    context.now_s += 0.3
    probe(context, host, engine, True)


@when("{seconds:g} s later the hosts exchange peer updates")
def step_tell(context: Any, seconds: float) -> None:
    context.now_s += seconds
    tell(context)


@when("host {host} is lost")
def step_lost(context: Any, host: str) -> None:
    del context.hosts[host]


@when("the hosts exchange peer updates every {period:g} s for {length:g} s")
@when("the others exchange peer updates every {period:g} s for {length:g} s")
def step_tell_on(context: Any, period: float, length: float) -> None:
    for _ in range(round(length / period)):
        context.now_s += period
        tell(context)


def tell(context: Any) -> None:
    """Has each host tell those near by, and speakers all."""
    for _ in range(2):
        # Twice: a speaker passes on what it was told.
        told = []
        for host, state in context.hosts.items():
            near = state.fleet.list_suspects(context.now_s, False)
            near += context.said.get(host, ())
            dead = state.fleet.list_dead(context.now_s)
            dead += context.said_dead.get(host, ())
            told.append((host, make_news(host, near, dead), True))
            if host in SPEAKERS:
                wide = state.fleet.list_suspects(context.now_s, True)
                told.append((host, make_news(host, wide), False))
        for sender, news, is_near in told:
            for host, state in context.hosts.items():
                is_same = PLACES[host] == PLACES[sender]
                if host != sender and is_same == is_near:
                    state.fleet.apply_peer_update(news, context.now_s)


def make_news(
    host: str, suspects: tuple[str, ...], dead: tuple[str, ...] = ()
) -> fleet.PeerState:
    """Returns a peer update with failing and dead upstreams alone."""
    return fleet.PeerState(
        host, PLACES[host], {}, {}, dead, {}, {}, suspects=suspects
    )


@when('host a keeps saying that "{upstream}" fails')
def step_says(context: Any, upstream: str) -> None:
    context.said["a"] = (upstream,)


@when('host a keeps saying that "{one}" and "{other}" fail')
def step_says_both(context: Any, one: str, other: str) -> None:
    context.said["a"] = (one, other)


@when("host a keeps saying that all engines fail")
def step_says_all(context: Any) -> None:
    entries = context.hosts["a"].fleet.roster.entries.values()
    context.said["a"] = tuple(e.id for e in entries if e.service == "llm")


@then("a request of host b is tried")
def step_tried(context: Any) -> None:
    job = fleets.make_job("tried", now_s=context.now_s)
    context.effects = context.hosts["b"].arrive(job, context.now_s)
    assert [type(e) for e in context.effects] == [jobs.Start], context.effects


@then("no request of host b is tried once its own attempts fail")
def step_own_word(context: Any) -> None:
    state = context.hosts["b"]
    (start,) = context.effects
    for part in start.parts:
        state.fleet.health.mark_down(part.id, context.now_s)
    for entry in list(state.fleet.roster.entries.values()):
        if entry.service == "llm" and entry.layers.first == 0:
            state.fleet.health.mark_down(entry.id, context.now_s)
    job = fleets.make_job("later", now_s=context.now_s)
    effects = state.arrive(job, context.now_s)
    assert not [e for e in effects if isinstance(e, jobs.Start)], effects


@when('host a keeps saying that "{upstream}" is dead')
def step_says_dead(context: Any, upstream: str) -> None:
    context.said["a"] = context.said_dead["a"] = (upstream,)


@when("host a finds it sound again")
def step_says_nothing(context: Any) -> None:
    context.said.clear()


@when('"{engine}" answers a request of host {host}')
def step_answers(context: Any, engine: str, host: str) -> None:
    context.now_s += 0.1
    health = context.hosts[host].fleet.health
    health.record_success(engine, context.now_s)


@when("host a loses its links, and each of its requests fails")
def step_loses_links(context: Any) -> None:
    state = context.hosts["a"].fleet
    state.reach_state = reach.ReachState.CUT_OFF
    for upstream_id in state.roster.entries:
        state.health.mark_down(upstream_id, context.now_s - 5.0)
        for _ in range(3):
            state.record_probe(upstream_id, False, 1.0, context.now_s)


@then("all hosts but a use all engines and replicas")
def step_all_used(context: Any) -> None:
    for host in "bcd":
        state = context.hosts[host].fleet
        unused = [
            e.id
            for e in state.roster.entries.values()
            if not state.is_usable(e, context.now_s)
        ]
        assert not unused, (host, unused)


@then("host {host} still calls a replica")
def step_calls(context: Any, host: str) -> None:
    now_s = context.now_s
    job = fleets.make_job("call", "non_idempotent", now_s=now_s)
    effects = context.hosts[host].arrive(job, now_s)
    assert isinstance(effects[0], jobs.Start), effects


def find(context: Any, host: str, engine: str) -> set[str]:
    """Returns the engines of the path that a host finds near an engine."""
    state = context.hosts[host]
    place = engine.partition("-hall")[0][-2:] + "-hall"
    offers = state.fleet.list_candidates("llm", fleets.SPEC, context.now_s)
    found = paths.find_path(offers.get(place), 80, 900.0, place)
    return {p.id for p in found} if found else set()


@then('the paths of hosts b, c and d go without "{engine}"')
def step_without(context: Any, engine: str) -> None:
    for host in "bcd":
        assert engine not in find(context, host, engine), host


@then('host {host} still uses "{engine}"')
def step_uses(context: Any, host: str, engine: str) -> None:
    assert engine in find(context, host, engine)


@then('host {host} no longer uses "{engine}"')
def step_not_used(context: Any, host: str, engine: str) -> None:
    assert engine not in find(context, host, engine)
