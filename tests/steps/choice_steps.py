"""Steps on where a path is looked for."""

from __future__ import annotations

import random
from typing import Any

import attrs
from behave import given, then, when

from egretspur.routing import choice, jobs, paths
from tests import fleets

NOW_S = 5.0

# One copy of the model, as a data centre holds it.
COPY = {
    "a100-0": "0-25",
    "l40s-0": "25-41",
    "l40s-1": "41-57",
    "l4-1": "57-65",
    "l4-2": "65-73",
    "l4-4": "73-80",
}


def name(engine: str, place: str) -> str:
    """Returns the id of an engine in a data centre."""
    return f"{engine}-{place}"


@given("engines of three data centres that hold the model, one copy each")
def step_engines(context: Any) -> None:
    entries = [
        attrs.evolve(
            fleets.make_upstream(engine, layers, place),
            id=name(engine, place),
            name=name(engine, place),
            address=f"{name(engine, place)}:80",
        )
        for place in fleets.DATA_CENTRES
        for engine, layers in COPY.items()
    ]
    # Another way past l40s-1 and past the slow one, for a request that moves.
    entries.append(
        attrs.evolve(
            fleets.make_upstream("l40s-2", "41-57", "kl-hall"), address="a:80"
        )
    )
    context.state = fleets.make_broker(entries)


@when('"{engine}" of kl-hall becomes {factor:d} times slower')
def step_slow(context: Any, engine: str, factor: int) -> None:
    context.slow = name(engine, "kl-hall")
    context.state.fleet.paces.record_pace(context.slow, float(factor))


@when("the engines of the other data centres are full")
def step_full(context: Any) -> None:
    for entry in context.state.fleet.roster.entries.values():
        if entry.data_centre != "kl-hall":
            context.state.fleet.memory.add(entry.id, 1, 1e9)


@when("its pace is normal again")
def step_back(context: Any) -> None:
    context.state.fleet.paces.record_pace(context.slow, 1.0)


@when('a request that runs in kl-hall has to leave "{engine}"')
def step_leave(context: Any, engine: str) -> None:
    job = fleets.make_job("r", now_s=NOW_S)
    first = context.state.arrive(attrs.evolve(job, route=_unbound(job)), NOW_S)
    assert isinstance(first[0], jobs.Start), first
    ticket = context.state.tickets["r"]
    ticket.job = job
    context.detour = context.state.reroute(
        "r", frozenset([name(engine, "kl-hall")]), NOW_S
    )


@then("it is to be resumed within another data centre")
def step_resumed(context: Any) -> None:
    assert context.detour == jobs.RerouteDecision(None, True), context.detour


@then("the path of a request is within {place}")
def step_within(context: Any, place: str) -> None:
    check_place(context, fleets.make_job("r", now_s=NOW_S), place)


@then("the path of a request without a gap limit is within {place}")
def step_unbound(context: Any, place: str) -> None:
    job = fleets.make_job("r", now_s=NOW_S)
    check_place(context, attrs.evolve(job, route=_unbound(job)), place)


def _unbound(job: jobs.Job) -> Any:
    return attrs.evolve(job.route, gap_s=0.0)


def check_place(context: Any, job: jobs.Job, place: str) -> None:
    """Checks in which data centre the path of a request is."""
    spec = fleets.SPEC
    offers = context.state.fleet.list_candidates("llm", spec, NOW_S)
    rng = random.Random(7)
    parts = choice.choose(job, spec, offers, set(), "kl-hall", rng)
    assert parts is not None
    places = get_places(context, parts)
    assert len(places) == 1, places
    is_home = places == {"kl-hall"}
    assert is_home == (place == "kl-hall"), parts


def get_places(context: Any, parts: tuple[paths.Part, ...]) -> set[str]:
    """Returns the data centres of a path."""
    entries = context.state.fleet.roster.entries
    return {entries[p.id].data_centre for p in parts}
