"""Steps on what one host knows of upstreams, and tells others of them."""

from __future__ import annotations

import math
import random
from typing import Any

import attrs
from behave import given, then, when

from egretspur import decisions
from egretspur.admission import repeats, room
from egretspur.catalog import upstreams
from egretspur.daemons import news
from egretspur.membership import exchange
from egretspur.routing import broker, fleet, jobs, paths
from tests import fleets


def make_broker(entry: upstreams.Upstream) -> broker.Broker:
    """Returns a host that has just read a list with one engine."""
    made = broker.Broker(
        "kl-hall", repeats.Options(0.2, 10.0, 10.0, -math.inf), random.Random(1)
    )
    made.replace_upstreams({entry.id: entry}, 0.0)
    return made


@given('a host whose list has engine "{name}" without layers')
def step_host(context: Any, name: str) -> None:
    context.name = name
    context.now_s = 10.0
    context.host = make_broker(fleets.make_upstream(name))


@given("another host with the same list")
def step_other(context: Any) -> None:
    context.other = make_broker(fleets.make_upstream(context.name))


@when('its list read whole shows that it holds "{layers}"')
def step_whole(context: Any, layers: str) -> None:
    entry = fleets.make_upstream(context.name, layers)
    context.host.replace_upstreams({entry.id: entry}, context.now_s)


@when('a change of its list shows that it holds "{layers}"')
def step_change(context: Any, layers: str) -> None:
    entry = fleets.make_upstream(context.name, layers)
    context.host.change_upstreams([(entry.id, entry)], context.now_s)


@when('the engine reports that it holds "{layers}"')
def step_reports(context: Any, layers: str) -> None:
    held = fleets.make_upstream(context.name, layers).layers
    assert held is not None
    context.host.fleet.layer_changes.record_reported(
        context.name, held, context.now_s
    )


@when("it sends its layers to the other host")
def step_tells(context: Any) -> None:
    told = context.host.fleet.layer_changes.list_published(2.0, context.now_s)
    context.other.apply_peer_update(make_news(told), context.now_s)


@then('within 2 s it sends the others "{told}"')
def step_told(context: Any, told: str) -> None:
    found = context.host.fleet.layer_changes.list_published(
        2.0, context.now_s + 1.9
    )
    assert describe(found) == told, found


@then("2.1 s later it sends them nothing")
def step_told_nothing(context: Any) -> None:
    found = context.host.fleet.layer_changes.list_published(
        2.0, context.now_s + 2.1
    )
    assert not found, found


@then('30 s later, without the store, it sends the others "{told}"')
def step_told_away(context: Any, told: str) -> None:
    found = context.host.fleet.layer_changes.list_published(
        math.inf, context.now_s + 30.0
    )
    assert describe(found) == told, found


@then('the other host has "{name}" with "{layers}"')
def step_has(context: Any, name: str, layers: str) -> None:
    held = context.other.fleet.roster.entries[name].layers
    assert held == fleets.make_upstream(name, layers).layers, held


@then("the other host's list counts as different until it is read anew")
def step_differs(context: Any) -> None:
    listed = context.host.fleet.compute_digest()
    assert context.other.fleet.compute_digest() != listed
    entry = context.host.fleet.roster.entries[context.name]
    context.other.change_upstreams([(context.name, entry)], context.now_s)
    assert context.other.fleet.compute_digest() == listed


@when('{seconds:g} s later the engine reports to the other host "{layers}"')
def step_reports_other(context: Any, seconds: float, layers: str) -> None:
    context.now_s += seconds
    held = fleets.make_upstream(context.name, layers).layers
    assert held is not None
    context.other.fleet.layer_changes.record_reported(
        context.name, held, context.now_s
    )


@when("{seconds:g} s later the two exchange peer updates")
def step_tell_each_other(context: Any, seconds: float) -> None:
    context.now_s += seconds
    told = {
        host: host.fleet.layer_changes.list_published(
            news.LAYERS_PUBLISHED_S, context.now_s
        )
        for host in (context.host, context.other)
    }
    context.other.apply_peer_update(
        make_news(told[context.host]), context.now_s
    )
    context.host.apply_peer_update(
        make_news(told[context.other]), context.now_s
    )


@then('both have "{layers}" and only the other host sends it')
def step_gave_way(context: Any, layers: str) -> None:
    for host in (context.host, context.other):
        held = host.fleet.roster.entries[context.name].layers
        assert held == fleets.make_upstream(context.name, layers).layers, held
    tells = news.LAYERS_PUBLISHED_S
    assert not context.host.fleet.layer_changes.list_published(
        tells, context.now_s
    )
    found = context.other.fleet.layer_changes.list_published(
        tells, context.now_s
    )
    assert describe(found) == f"{context.name} {layers}", found


@then('for {seconds:g} s it sends the others "{told}" and uses it itself')
def step_told_for(context: Any, seconds: float, told: str) -> None:
    end_s = context.now_s + seconds
    while context.now_s < end_s:
        moved = context.host.fleet.layer_changes.list_published(
            news.LAYERS_PUBLISHED_S, context.now_s
        )
        assert describe(moved) == told, (context.now_s, moved)
        held = context.host.fleet.roster.entries[context.name].layers
        assert held == moved[context.name].layers, held
        context.now_s += exchange.SEND_PERIOD_S
        context.host.tick(context.now_s)


def make_news(
    layers: dict[str, upstreams.AgedLayers],
) -> fleet.PeerState:
    """Returns news of a host near by that tells nothing but layers."""
    return fleet.PeerState("10.1.0.9", "kl-hall", {}, {}, (), layers)


def describe(moved: dict[str, upstreams.AgedLayers]) -> str:
    """Returns ``name first-last`` of each engine, or ``nothing``."""
    if not moved:
        return "nothing"
    return " ".join(
        f"{i} {a.layers.first}-{a.layers.last}" for i, a in moved.items()
    )


@given("a host that knows no upstream")
def step_knows_none(context: Any) -> None:
    context.host = broker.Broker("kl-hall", fleets.BUDGET, random.Random(7))
    context.host.configure(fleets.make_config())


@when("it reads a list of {count:d} upstreams")
def step_reads_list(context: Any, count: int) -> None:
    names = [f"l4-{i}" for i in range(count)]
    entries = {n: fleets.make_upstream(n, "0-10") for n in names}
    context.host.replace_upstreams(entries, 1.0)


@then('it logs {count:d} lines "{event}"')
def step_lines(context: Any, count: int, event: str) -> None:
    notes = context.host.take_notes()
    assert [decisions.make_event_name(type(n).__name__) for n in notes] == [
        event
    ] * count, notes


@when(
    "another host sends the same {count:d} requests in flight every 0.25 s for"
    " {seconds:d} s"
)
def step_repeats(context: Any, count: int, seconds: int) -> None:
    usage = {context.name: jobs.Usage(count, 1000.0)}
    state = context.host.fleet
    for _ in range(seconds * 4):
        context.now_s += 0.25
        update = attrs.evolve(make_news({}), usage=usage)
        state.apply_peer_update(update, context.now_s)
        found = state.memory.get_usage(context.name, context.now_s)
        assert found.count == count, found


@then("{count:d} requests count for {seconds:d} s and none after")
def step_count_until(context: Any, count: int, seconds: int) -> None:
    usage = context.host.fleet.memory
    for after_s, expected in ((seconds - 0.1, count), (seconds + 0.1, 0)):
        found = usage.get_usage(context.name, context.now_s + after_s)
        assert found.count == expected, found


def list_offered(context: Any) -> list[paths.Candidate]:
    """Returns the engines that a path search is offered."""
    entry = context.host.fleet.roster.entries[context.name]
    # The same specification each time, as while a configuration is in force.
    if "spec" not in context:
        context.spec = fleets.make_config().services[entry.service].engine
    found: list[paths.Candidate] = context.host.fleet.list_candidates(
        entry.service, context.spec, context.now_s
    ).list_all()
    return found


@then("a path search is not offered it")
def step_not_offered(context: Any) -> None:
    assert not list_offered(context)


@then('a path search is offered its layers "{layers}" with the memory left')
def step_offered(context: Any, layers: str) -> None:
    (found,) = list_offered(context)
    entry = fleets.make_upstream(context.name, layers)
    size = room.compute_capacity(context.spec, entry) * room.USABLE_FRACTION
    assert f"{found.first}-{found.last}" == layers, found
    assert math.isclose(found.free, size), (found, size)
