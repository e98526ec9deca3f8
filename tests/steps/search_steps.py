"""Steps on the search for paths and its cost."""

from __future__ import annotations

import collections
import random
from typing import Any

import attrs
from behave import given, then, when

from egretspur import errors
from egretspur.admission import room
from egretspur.catalog import upstreams
from egretspur.routing import choice, fleet, jobs, questions
from tests import fleets

NOW_S = 5.0
TICK_S = 0.05


def fill(context: Any, left: float = 0.0, place: str = "") -> None:
    """Takes the request memory of engines but for some tokens."""
    state = context.state.fleet
    for entry in state.roster.entries.values():
        if place not in ("", entry.data_centre):
            continue
        size = room.compute_capacity(fleets.SPEC, entry) * room.USABLE_FRACTION
        used = size - left * entry.layers.count
        state.memory.add(entry.id, 1, used)


def count_searches(context: Any) -> None:
    """Counts from now on how often a path is looked for."""
    context.searches = 0
    choose = context.state.search.choose

    def counting(*args: Any) -> Any:
        context.searches += 1
        return choose(*args)

    context.state.search.choose = counting


@given("no engine has room")
def step_full(context: Any) -> None:
    fill(context)
    count_searches(context)


@given("every engine has room for {tokens:d} tokens")
def step_nearly_full(context: Any, tokens: int) -> None:
    fill(context, float(tokens))


@given("no engine of {place} has room")
def step_place_full(context: Any, place: str) -> None:
    fill(context, place=place)


@when("30 requests arrive within 20 ms, and time passes in ticks")
def step_arrive(context: Any) -> None:
    for i in range(30):
        context.state.arrive(fleets.make_job(f"r{i}", now_s=NOW_S), NOW_S)
    for i in range(6):
        # Of these, the last comes after what was found is no longer taken.
        context.state.tick(NOW_S + 0.02 * i)


@when("they wait for {seconds:d} s with 100 peer updates and reports a second")
def step_news(context: Any, seconds: int) -> None:
    state = context.state
    news = fleet.PeerState("10.0.0.2", "kl-hall", {}, {}, (), {})
    for i in range(seconds * 100):
        now_s = NOW_S + 0.1 + 0.01 * i
        state.apply_peer_update(news, now_s)
        state.fleet.apply_report("a100-0", upstreams.PLAIN_REPORT, now_s)
        state.refresh(now_s)


@when("{count:d} requests wait that other engines have refused")
def step_turned_away(context: Any, count: int) -> None:
    state = context.state
    for i in range(count):
        job = fleets.make_job(f"r{i}", now_s=NOW_S)
        state.arrive(job, NOW_S)
        state.tickets[job.id].refused[f"elsewhere-{i}"] = NOW_S + 60.0
    assert len(state.queue.waiting) == count, len(state.queue.waiting)


@then("a path was looked for at most {times:d} times")
def step_at_most(context: Any, times: int) -> None:
    assert 0 < context.searches <= times, context.searches


@when("a request of this host ends")
def step_end(context: Any) -> None:
    memory = context.state.fleet.memory
    for engine_id in list(memory.own):
        memory.add(engine_id, -1, -1e9)
    context.effects = context.state.tick(NOW_S + 0.02)


@when(
    "a request waits that other hosts quarantine, and another one finds a path"
)
def step_held(context: Any) -> None:
    state = context.state
    ended = {"f": {"a": 1.0, "b": 1.0, "c": 1.0}}
    job = fleets.make_job("held", now_s=NOW_S)
    state.arrive(attrs.evolve(job, fingerprint="f"), NOW_S)
    assert list(state.queue.waiting) == ["held"]
    state.apply_peer_update(
        fleet.PeerState("10.0.0.2", "kl-hall", {}, {}, (), {}, ended=ended),
        NOW_S,
    )
    for engine_id in list(state.fleet.memory.own):
        state.fleet.memory.add(engine_id, -1, -1e9)
    other = fleets.make_job("other", now_s=NOW_S)
    context.effects = state.arrive(other, NOW_S + 0.01)


@then("the one is refused as quarantined, and the other one starts")
def step_held_refused(context: Any) -> None:
    refused, start = context.effects
    assert isinstance(refused, questions.Refuse), context.effects
    assert refused.id == "held"
    assert refused.refusal.kind is errors.ErrorKind.QUARANTINED
    assert isinstance(start, jobs.Start), context.effects
    assert start.id == "other"


@then("a waiting request starts at once")
def step_started(context: Any) -> None:
    assert any(isinstance(e, jobs.Start) for e in context.effects)


@when("a request of 900 tokens arrives, and one of 300 tokens right after it")
def step_two(context: Any) -> None:
    large = fleets.make_job("large", tokens=900.0, now_s=NOW_S)
    small = fleets.make_job("small", tokens=300.0, now_s=NOW_S)
    spec = fleets.SPEC
    search = context.state.search
    context.found = {
        job.id: search.find_path(job, spec, set(), NOW_S)
        for job in (large, small)
    }


@then("the smaller one has a path, and the larger one none")
def step_outcome(context: Any) -> None:
    assert context.found["small"] is not None
    assert context.found["large"] is None


@when("a request is sent")
def step_send(context: Any) -> None:
    offers = context.state.fleet.list_candidates("llm", fleets.SPEC, NOW_S)
    context.read = []
    read = offers._read

    def noting(place: str) -> Any:
        context.read.append(place)
        return read(place)

    offers._read = noting
    job = fleets.make_job("r", now_s=NOW_S)
    assert choice.choose(
        job, fleets.SPEC, offers, set(), "kl-hall", random.Random(7)
    )


@then("only the candidates of {place} were computed")
def step_read(context: Any, place: str) -> None:
    assert context.read == [place], context.read


@given("two more data centres, somewhat slower")
def step_more(context: Any) -> None:
    roster = context.state.fleet.roster
    for place in ("ip-hall", "mk-hall"):
        for entry in list(roster.entries.values()):
            if entry.data_centre != "pg-hall":
                continue
            id_ = f"{entry.id}-{place}"
            more = attrs.evolve(
                entry, id=id_, name=id_, address=id_, data_centre=place
            )
            upstreams.put_entry(roster, more, 0.0)
            # Twice as slow where one attempt in six failed of late.
            context.state.fleet.health.record_fault(id_, NOW_S)


@when(
    "the paths of {count:d} requests are chosen by hosts that know nothing of"
    " each other"
)
def step_many(context: Any, count: int) -> None:
    context.counts = collections.Counter()
    entries = context.state.fleet.roster.entries
    for i in range(count):
        job = fleets.make_job(f"r{i}", now_s=NOW_S)
        parts = context.state.search.find_path(job, fleets.SPEC, set(), NOW_S)
        context.counts[entries[parts[0].id].data_centre] += 1


@then("three data centres have some, and none has more than six in ten")
def step_spread(context: Any) -> None:
    total = sum(context.counts.values())
    assert len(context.counts) >= 3, context.counts
    assert all(n <= 0.6 * total for n in context.counts.values())


@then("a path was looked for {times:d} times")
def step_searches(context: Any, times: int) -> None:
    assert context.searches == times, context.searches
