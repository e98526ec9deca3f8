"""Steps on the decisions about a host's requests."""

from __future__ import annotations

import math
import random
from typing import Any

import attrs
from behave import given, then, when

from egretspur import decisions, errors
from egretspur.admission import repeats, room, shared
from egretspur.catalog import upstreams
from egretspur.routing import broker, fleet, jobs, memory, waiting
from egretspur.tunnels import reach
from tests import fleets

CHAIN = {
    "a100-0": "0-25",
    "a100-1": "25-50",
    "l40s-0": "50-65",
    "l40s-1": "65-80",
}


def make_chain(context: Any, *more: upstreams.Upstream) -> None:
    """Makes a broker before a chain of engines."""
    entries = [fleets.make_upstream(n, layers) for n, layers in CHAIN.items()]
    budget = getattr(context, "budget", fleets.BUDGET)
    context.broker = fleets.make_broker([*entries, *more], budget)
    context.now_s = 10.0
    context.started = {}
    context.refused = {}


def take(context: Any, effects: list[jobs.Effect]) -> None:
    """Keeps what was decided."""
    for effect in effects:
        if isinstance(effect, jobs.Start):
            context.started[effect.id] = effect
        else:
            context.refused[effect.id] = effect.refusal


def arrive(context: Any, name: str, kind: str = "streaming") -> None:
    """Lets a request arrive."""
    job = fleets.make_job(name, kind, now_s=context.now_s)
    take(context, context.broker.arrive(job, context.now_s))


def send_to(context: Any, name: str, kind: str) -> str:
    """Lets a request arrive; returns the upstream that it is sent to."""
    arrive(context, name, kind)
    return str(context.started[name].upstream.id)


def answer(context: Any, name: str) -> None:
    """Has a started request be answered completely."""
    context.broker.record_answer_start(name, context.now_s)
    take(context, context.broker.finish(name, context.now_s, True))


def send_one(context: Any, name: str) -> jobs.Start:
    """Returns where a new request is sent; it ends at once."""
    arrive(context, name)
    start: jobs.Start = context.started[name]
    take(context, context.broker.finish(name, context.now_s))
    return start


@given("hosts that may repeat {what}")
def step_budget(context: Any, what: str) -> None:
    if what == "nothing":
        context.budget = repeats.Options(0.0, 0.0, 10.0, -math.inf)


@given("a chain of engines with memory for about 45000 tokens")
def step_chain(context: Any) -> None:
    make_chain(context)


@given("a chain of engines and two plain replicas")
def step_chain_plain(context: Any) -> None:
    make_chain(
        context, fleets.make_upstream("app-0"), fleets.make_upstream("app-1")
    )


@given("a twin of its {place} engine")
def step_twin(context: Any, place: str) -> None:
    layers = {"first": "0-25", "second": "25-50"}[place]
    twin = fleets.make_upstream("a100-twin", layers)
    upstreams.put_entry(context.broker.fleet.roster, twin, context.now_s)


@given("another host that has {tokens:d} tokens in flight there")
def step_other_host(context: Any, tokens: int) -> None:
    usage = {}
    for name, layers in CHAIN.items():
        part = fleets.parse_layers(layers)
        assert part is not None
        usage[name] = jobs.Usage(40, float(tokens * part.count))
    context.broker.fleet.memory.set_peer_usage(
        "10.1.0.9", memory.PeerUsage(context.now_s, usage)
    )


@when("that host has been silent for {seconds:d} s")
def step_silent(context: Any, seconds: int) -> None:
    # The queue is not asked meanwhile, so that nothing is refused.
    context.now_s += seconds
    for item in list(context.broker.queue.waiting.values()):
        context.broker.queue.waiting[item.id] = attrs.evolve(
            item, deadline_s=context.now_s + 1
        )
    take(context, context.broker.tick(context.now_s))


@when("{count:d} requests of {tokens:d} tokens arrive at once")
def step_arrive(context: Any, count: int, tokens: int) -> None:
    context.names = [f"r{i}" for i in range(count)]
    for name in context.names:
        job = fleets.make_job(name, tokens=tokens, now_s=context.now_s)
        take(context, context.broker.arrive(job, context.now_s))


@when("{seconds:g} s go by at the host")
def step_pass(context: Any, seconds: float) -> None:
    end_s = context.now_s + seconds
    while context.now_s < end_s:
        context.now_s = min(end_s, context.now_s + 0.05)
        take(context, context.broker.tick(context.now_s))
    if "r" in context.refused:
        context.outcome = context.refused["r"].kind.value


@then("no engine is given more than its request memory")
def step_memory(context: Any) -> None:
    state = context.broker.fleet
    assert len(context.started) > 20
    for name in CHAIN:
        entry = state.roster.entries[name]
        size = room.compute_capacity(fleets.SPEC, entry)
        used = state.memory.get_usage(name, context.now_s).room
        assert 0 < used <= size, (name, used, size)


@when("the host loses its links and its helpers")
def step_cut_off(context: Any) -> None:
    context.waited = set(context.broker.queue.waiting)
    cut_off = reach.ReachState.CUT_OFF
    take(context, context.broker.set_reach_state(cut_off, context.now_s))


@then("nobody waits, and those that waited are refused as not run")
def step_nobody_waits(context: Any) -> None:
    assert not context.broker.queue.waiting
    assert set(context.refused) == context.waited
    assert all(r.answer.not_run for r in context.refused.values())


@when("{count:d} more requests arrive while all engines are full")
def step_more(context: Any, count: int) -> None:
    for name in CHAIN:
        context.broker.fleet.memory.add(name, 1, 1e9)
    context.names = [f"more{i}" for i in range(count)]
    for name in context.names:
        job = fleets.make_job(name, now_s=context.now_s)
        take(context, context.broker.arrive(job, context.now_s))


@then("these are refused at once")
def step_refused_now(context: Any) -> None:
    assert set(context.names) <= set(context.refused), context.refused


@then("the others wait")
def step_wait(context: Any) -> None:
    waiting = len(context.broker.queue.waiting)
    assert waiting == len(context.names) - len(context.started) > 0
    assert not context.refused


@when("those that were started end")
def step_end(context: Any) -> None:
    for name in list(context.started):
        take(context, context.broker.finish(name, context.now_s))


@then("the waiting ones are started")
def step_all_started(context: Any) -> None:
    assert set(context.started) == set(context.names), context.refused


@then(
    "the waiting ones are refused as not run, with a Retry-After of"
    " {low:g} to {high:g} s"
)
def step_refused(context: Any, low: float, high: float) -> None:
    waiting = set(context.names) - set(context.started)
    assert set(context.refused) == waiting
    after = [r.retry_after_s for r in context.refused.values()]
    assert all(low <= a <= high for a in after)
    assert len(set(after)) > len(after) / 2, "all come back together"
    assert all(r.answer.not_run for r in context.refused.values())


@then("at most {count:d} of them are started")
def step_few(context: Any, count: int) -> None:
    assert len(context.started) <= count, context.started


@when('a request of kind "{kind}" fails as "{why}" {times:d} times')
def step_fail(context: Any, kind: str, why: str, times: int) -> None:
    arrive(context, "r", kind)
    for _ in range(times):
        start = context.started.pop("r")
        failure = jobs.Failure(
            "r", jobs.FailureKind(why), "test", (start.upstream.id,)
        )
        # Engines that failed are back at once; only the request counts here.
        take(context, context.broker.fail(failure, context.now_s))
        for name in list(context.broker.fleet.health.failed):
            context.broker.fleet.record_probe(name, True, 1.0, context.now_s)
        context.broker.fleet.health.refusals.clear()
        if "r" in context.broker.tickets:
            context.broker.tickets["r"].failed.clear()
            context.broker.tickets["r"].refused.clear()
        context.now_s += waiting.SEARCH_INTERVAL_S
        take(context, context.broker.tick(context.now_s))
    if "r" in context.started:
        context.outcome = "started again"
    else:
        context.outcome = context.refused["r"].kind.value


@when(
    'a request of kind "{kind}" fails as "{why}" {times:d} times and all'
    " engines are removed"
)
def step_fail_all(context: Any, kind: str, why: str, times: int) -> None:
    arrive(context, "r", kind)
    roster = context.broker.fleet.roster
    for name in CHAIN:
        upstreams.remove_entry(roster, name, context.now_s)
    failure = jobs.Failure("r", jobs.FailureKind(why), "test")
    take(context, context.broker.fail(failure, context.now_s))


@given("{count:d} hosts whose every attempt is cut")
def step_cut_hosts(context: Any, count: int) -> None:
    opts = fleets.BUDGET
    context.budgets = [
        shared.SharedBudget(opts.ratio, opts.allowance, opts.window_s)
        for _ in range(count)
    ]


@when("{rate:d} requests a second arrive at them for {seconds:d} s")
def step_storm(context: Any, rate: int, seconds: int) -> None:
    rng = random.Random(3)
    count = len(context.budgets)
    context.repeats = []
    for i in range(rate * seconds):
        now_s = i / rate
        budget = rng.choice(context.budgets)
        budget.earn(now_s)
        while (retry := budget.spend(count, now_s)) is not None:
            retry.sending.settle(now_s)
            context.repeats.append(now_s)


@when(
    "{rate:d} requests a second have arrived at each for {seconds:d} s"
    " and one dies"
)
def step_engine_dies(context: Any, rate: int, seconds: int) -> None:
    context.at_once = []
    for budget in context.budgets:
        for i in range(rate * seconds):
            budget.earn(i / rate)
        now_s = seconds - 0.01
        count = 0
        while (retry := budget.spend(len(context.budgets), now_s)) is not None:
            retry.sending.settle(now_s)
            count += 1
        context.at_once.append(count)


@then("at least {count:d} of the answers of each host can be resumed at once")
def step_at_once(context: Any, count: int) -> None:
    assert min(context.at_once) >= count, context.at_once


@then("no {window:d} s have more than {most:d} retries")
def step_repeats(context: Any, window: int, most: int) -> None:
    times = context.repeats
    worst = max(
        sum(1 for t in times if start <= t < start + window) for start in times
    )
    assert 100 < worst <= most, worst


@when("the first engine is unreachable")
def step_unreachable(context: Any) -> None:
    arrive(context, "r")
    assert context.started["r"].upstream.id == "a100-0"
    failure = jobs.Failure(
        "r", jobs.FailureKind.UNREACHABLE, "test", ("a100-0",)
    )
    take(context, context.broker.fail(failure, context.now_s))
    context.down_s = context.now_s


@then("no request is sent there for {seconds:d} s of failed probes")
def step_no_request(context: Any, seconds: int) -> None:
    context.dead_s = None
    state = context.broker.fleet
    for i in range(seconds * 10):
        context.now_s += 0.1
        for entry in state.take_probes(context.now_s):
            state.record_probe(entry.id, False, 1.0, context.now_s)
        if context.dead_s is None and state.health.is_dead(
            "a100-0", context.now_s
        ):
            context.dead_s = context.now_s
        start = send_one(context, f"n{i}")
        assert start.upstream.id == "a100-twin", start


@then("it counts as dead within {seconds:d} s")
def step_dead(context: Any, seconds: int) -> None:
    assert context.dead_s - context.down_s <= seconds, context.dead_s


@when("a probe succeeds")
def step_probe(context: Any) -> None:
    context.broker.fleet.record_probe("a100-0", True, 1.0, context.now_s)


@then("requests are sent there again")
def step_there(context: Any) -> None:
    assert send_one(context, "again").upstream.id == "a100-0"


@when("the first engine refuses its part {times:d} times")
def step_refuses(context: Any, times: int) -> None:
    for _ in range(times):
        context.broker.fleet.health.record_refusal("a100-0", context.now_s)
        context.now_s += 1.0
    context.now_s -= 1.0


@then("no request is sent there for {seconds:g} s")
def step_paused(context: Any, seconds: float) -> None:
    end_s = context.now_s + seconds
    while context.now_s < end_s:
        assert send_one(context, "n").upstream.id == "a100-twin"
        context.now_s += 0.1


@then("requests are sent there again {seconds:d} s later")
def step_later(context: Any, seconds: int) -> None:
    context.now_s += seconds
    step_there(context)


@when("an answer pauses and the first engine reports a pace of {pace:d}")
def step_slow(context: Any, pace: int) -> None:
    state = context.broker.fleet
    state.paces.suspect(["a100-0"])
    due = [e.id for e in state.take_probes(context.now_s)]
    assert due == ["a100-0"], due
    state.record_probe("a100-0", True, float(pace), context.now_s)


@then("requests go over the twin")
def step_over_twin(context: Any) -> None:
    assert send_one(context, "n").upstream.id == "a100-twin"


@then("it is probed again {seconds:d} s later")
def step_asked(context: Any, seconds: int) -> None:
    state = context.broker.fleet
    assert not state.take_probes(context.now_s + seconds - 0.1)
    context.now_s += seconds
    assert [e.id for e in state.take_probes(context.now_s)] == ["a100-0"]


@when("it reports a pace of {pace:d}")
def step_back_to_pace(context: Any, pace: int) -> None:
    context.broker.fleet.record_probe("a100-0", True, pace, context.now_s)


@when("a request runs that can be resumed only in another data centre")
def step_runs_stuck(context: Any) -> None:
    # A second copy of the model, with another first engine.
    for name, layers in CHAIN.items():
        other = fleets.make_upstream(f"{name}-2", layers)
        upstreams.put_entry(context.broker.fleet.roster, other, context.now_s)
    arrive(context, "r")
    first = context.started["r"].parts[0].id
    context.decision = context.broker.reroute(
        "r", frozenset([first]), context.now_s
    )


@then("its attempt is {end}")
def step_attempt_end(context: Any, end: str) -> None:
    assert context.decision.is_ended == (end == "ended"), context.decision
    is_reserved = context.broker.reserve_retry("r", context.now_s)
    assert is_reserved == (end == "ended")


@then("the log has the retry as {event}, with {sent:d} sent of {part:d}")
def step_repeat_noted(context: Any, event: str, sent: int, part: int) -> None:
    lines = [decisions.describe(n) for n in context.broker.take_notes()]
    lines = [n for n in lines if n["event"] == event]
    assert lines, event
    line = lines[0]
    assert (line["request"], line["service"]) == ("r", "llm"), line
    found = (line["sent"], int(line["part"]), line["hosts"])
    assert found == (sent, part, 1), found
    assert line["heard_s"] is None, line


@when("a request runs and its first engine refuses it")
def step_turned_away(context: Any) -> None:
    arrive(context, "r")
    context.first = context.started["r"].parts[0].id
    failure = jobs.Failure("r", jobs.FailureKind.REFUSED, "full", (), False)
    context.effects = context.broker.fail(failure, context.now_s)


@when("that engine is full")
def step_now_full(context: Any) -> None:
    context.broker.fleet.memory.add(context.first, 1, 1e9)


def count_repeats(context: Any) -> int:
    """Returns the repeats of the budget that are taken."""
    return int(
        context.broker.retry_budgets.get_balance("llm", context.now_s).sent
    )


@then("it runs at the twin of that engine, with {count:d} retry sent")
def step_at_twin(context: Any, count: int) -> None:
    (start,) = context.effects
    assert isinstance(start, jobs.Start), start
    assert start.parts[0].id != context.first, start
    assert count_repeats(context) == count


@then("it waits, and another request runs meanwhile")
def step_waits(context: Any) -> None:
    assert not context.effects, context.effects
    arrive(context, "s")
    assert "s" in context.started


@then("it runs {later:g} s later, with {count:d} retry sent")
def step_runs_later(context: Any, later: float, count: int) -> None:
    context.now_s += later
    (start,) = context.broker.tick(context.now_s)
    assert isinstance(start, jobs.Start), start
    assert (start.id, start.parts[0].id) == ("r", context.first)
    assert count_repeats(context) == count


@then("it is refused as not run, with {count:d} retries sent")
def step_refused_unrun(context: Any, count: int) -> None:
    context.now_s += 1.0
    (refused,) = context.broker.tick(context.now_s)
    assert errors.ANSWERS[refused.refusal.kind].not_run, refused
    assert count_repeats(context) == count


@then("it is resumed with one retry spent")
def step_one_repeat(context: Any) -> None:
    spent = context.broker.retry_budgets.list_spent(context.now_s)["llm"]
    failure = jobs.Failure("r", jobs.FailureKind.CUT, "interrupted", (), True)
    effects = context.broker.fail(failure, context.now_s)
    assert isinstance(effects[0], jobs.Start), effects
    assert (
        context.broker.retry_budgets.list_spent(context.now_s)["llm"] == spent
    )
    assert context.broker.counts.repeats == 1


@when("a request runs and its second engine stalls")
def step_stalls(context: Any) -> None:
    arrive(context, "r")
    context.before = context.started["r"].parts
    context.moved = context.broker.reroute(
        "r", frozenset(["a100-1"]), context.now_s
    ).parts


@then("it is rerouted to the twin, with the same first stage")
def step_moved(context: Any) -> None:
    assert context.moved[0] == context.before[0]
    assert context.moved[1].id == "a100-twin"
    assert [p.id for p in context.moved[2:]] == ["l40s-0", "l40s-1"]


@then("the request memory of the stalled engine is free again")
def step_free_again(context: Any) -> None:
    usage = context.broker.fleet.memory.get_usage("a100-1", context.now_s)
    assert usage == jobs.Usage(0, 0.0), usage


@when(
    '{count:d} requests of workspace "{large}"'
    ' and then {few:d} of workspace "{small}" arrive'
)
def step_flood(
    context: Any, count: int, large: str, few: int, small: str
) -> None:
    names = [(f"{large}{i}", large) for i in range(count)]
    names += [(f"{small}{i}", small) for i in range(few)]
    for name, workspace in names:
        job = fleets.make_job(name, now_s=context.now_s, workspace=workspace)
        take(context, context.broker.arrive(job, context.now_s))


@when("those that were started end one by one within {seconds:g} s")
def step_end_slowly(context: Any, seconds: float) -> None:
    first = list(context.started)
    for name in first:
        context.now_s += seconds / len(first)
        take(context, context.broker.finish(name, context.now_s))


@then('all {few:d} of workspace "{small}" are started')
def step_small(context: Any, few: int, small: str) -> None:
    started = [n for n in context.started if n.startswith(small)]
    assert len(started) == few, started


@given("a chain of engines that lacks its last layers")
def step_lacks(context: Any) -> None:
    make_chain(context)
    upstreams.remove_entry(context.broker.fleet.roster, "l40s-1", context.now_s)


@given(
    'whole chains in "{first}" and "{second}", of which "{nearer}" is nearer'
)
def step_chains(context: Any, first: str, second: str, nearer: str) -> None:
    for place in (first, second):
        # The nearer one is the faster one: accelerators stand for distance.
        kind = "a100" if place == nearer else "l40s"
        for name, layers in CHAIN.items():
            entry = fleets.make_upstream(f"{kind}-{place}-{name}", layers)
            entry = attrs.evolve(entry, data_centre=place)
            if kind == "l40s" and entry.layers and entry.layers.count > 20:
                entry = attrs.evolve(entry, accelerator="a100")
            upstreams.put_entry(
                context.broker.fleet.roster, entry, context.now_s
            )


@given("a chain of engines in kl-hall and a slower one in pg-hall")
def step_two_chains(context: Any) -> None:
    make_chain(context)
    for i in range(4):
        entry = fleets.make_upstream(
            f"l40s-pg{i}", f"{20 * i}-{20 * i + 20}", "pg-hall"
        )
        upstreams.put_entry(context.broker.fleet.roster, entry, context.now_s)


@when('engine "{name}" dies')
def step_dies(context: Any, name: str) -> None:
    context.broker.fleet.health.mark_down(name, context.now_s)


@then('the path of a request is in "{places}"')
def step_places(context: Any, places: str) -> None:
    parts = send_one(context, f"r-{places}").parts
    entries = context.broker.fleet.roster.entries
    found = {entries[p.id].data_centre for p in parts}
    assert ", ".join(sorted(found)) == places, parts


def hear(context: Any, place: str) -> None:
    """Hears a host of a data centre now."""
    state = context.broker.fleet.memory
    state.set_peer_usage(place, memory.PeerUsage(context.now_s, {}, place))


@when("the hosts of both send updates")
def step_both_heard(context: Any) -> None:
    hear(context, "pg-hall")
    hear(context, "cj-hall")


@when('the hosts of "{place}" have been silent for {seconds:g} s')
def step_place_silent(context: Any, place: str, seconds: float) -> None:
    context.now_s += seconds
    hear(context, "cj-hall")


@when('the engines of "{place}" are gone as well')
def step_place_gone(context: Any, place: str) -> None:
    roster = context.broker.fleet.roster
    for name, entry in list(roster.entries.items()):
        if entry.data_centre == place:
            upstreams.remove_entry(roster, name, context.now_s)


@then('requests go over "{place}"')
def step_over_place(context: Any, place: str) -> None:
    parts = send_one(context, f"r{context.now_s}{place}").parts
    assert place in parts[-1].id, parts


@given(
    "a broker with a chain of which one engine is full, one is down, one has"
    " refused and one leaves"
)
def step_no_path(context: Any) -> None:
    context.now_s = 0.0
    entries = [fleets.make_upstream(n, p) for n, p in CHAIN.items()]
    entries[3] = attrs.evolve(entries[3], is_draining=True)
    context.broker = fleets.make_broker(entries)
    state = context.broker.fleet
    state.memory.add("a100-0", 1, 1e9)
    state.health.mark_down("a100-1", 0.0)
    state.health.record_refusal("l40s-0", 0.0)


@when("a request arrives")
def step_comes(context: Any) -> None:
    context.broker.arrive(fleets.make_job("r"), 0.1)


@then(
    "the log names the state of each engine and the layers that no engine holds"
)
def step_told_why(context: Any) -> None:
    notes = context.broker.take_notes()
    found = [n for n in notes if isinstance(n, decisions.PathMissing)]
    assert found == [
        decisions.PathMissing(
            "r",
            "25-80",
            ("a100-0",),
            ("l40s-0",),
            ("a100-1",),
            ("l40s-1",),
            (),
            (),
        )
    ], found


@given("a broker with a chain of engines that another host knows too")
def step_two_hosts(context: Any) -> None:
    context.now_s = 0.0
    entries = [fleets.make_upstream(n, p) for n, p in CHAIN.items()]
    context.broker = fleets.make_broker(entries)
    context.other = fleets.make_broker(entries)


def report_used(context: Any, part: float) -> None:
    """Has an engine report how much of its memory is in use."""
    state = context.broker.fleet
    size = room.compute_capacity(fleets.SPEC, state.roster.entries["a100-1"])
    report = attrs.evolve(upstreams.PLAIN_REPORT, used=part * size, size=size)
    state.apply_report("a100-1", report, context.now_s)
    told = state.memory.list_excess(context.now_s)
    news = fleet.PeerState("10.0.0.2", "kl-hall", {}, {}, (), {}, told)
    context.other.fleet.apply_peer_update(news, context.now_s)


@when("an engine's report says that {part:g} of its memory is in use")
def step_in_use(context: Any, part: float) -> None:
    report_used(context, part)


@when("the engine's memory is free again by its next report")
def step_in_use_no_more(context: Any) -> None:
    report_used(context, 0.0)


def is_sent(state: broker.Broker, now_s: float) -> bool:
    """Tells whether a large request is sent now."""
    job = fleets.make_job("r", tokens=9000.0, now_s=now_s)
    effects = state.arrive(job, now_s)
    state.finish("r", now_s)
    return bool(effects) and isinstance(effects[0], jobs.Start)


@then("no large request is sent there for a moment")
def step_none_sent(context: Any) -> None:
    assert not is_sent(context.broker, context.now_s)
    assert not is_sent(context.broker, context.now_s + 0.4)


@then("the other host sends none there either after an update")
def step_other_none(context: Any) -> None:
    assert not is_sent(context.other, context.now_s + 0.4)


@then("a request is sent there")
def step_one_sent(context: Any) -> None:
    assert is_sent(context.broker, context.now_s)


@then("the other host does not forward it")
def step_not_told_on(context: Any) -> None:
    assert context.broker.fleet.memory.list_excess(context.now_s)
    assert not context.other.fleet.memory.list_excess(context.now_s)
