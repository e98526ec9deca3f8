"""Steps on a broker's decisions about answers that have begun."""

from __future__ import annotations

import math
from typing import Any, Final

import attrs
from behave import given, then, when

from egretspur import ends, errors
from egretspur.admission import queue as queues
from egretspur.admission import repeats
from egretspur.catalog import feeds, upstreams
from egretspur.routing import jobs
from tests import fleets
from tests.steps import broker_steps

NAME: Final = "r"

# Memory on each layer of a small request, in tokens.
SMALL_TOKENS: Final = 100.0

# An engine's fate after it ended an attempt, and what probes of it show.
ALIVE: Final = "answers probes"
PROBES: Final = {
    "stands still": upstreams.ProbeFailed("read timed out", is_connected=True),
    "refuses connections": upstreams.ProbeFailed("refused", False, True),
    "can't be reached": upstreams.ProbeFailed("connect timed out", False),
}

# Interval of the broker's ticks, in s.
TICK_S: Final = 0.02


@given("an answer that has not begun, with {trouble}")
def step_not_begun(context: Any, trouble: str) -> None:
    step_begun(context, trouble)
    context.is_begun = False


@given("an answer that has begun, with {trouble}")
def step_begun(context: Any, trouble: str) -> None:
    context.is_begun = True
    context.trouble = trouble
    context.budget = repeats.Options(0.0, 20.0, 10.0, -math.inf)
    broker_steps.make_chain(context)
    broker_steps.arrive(context, NAME)
    context.sent = 0
    context.is_over = False
    set_trouble(context, True)


def set_trouble(context: Any, is_on: bool) -> None:
    """Begins or ends what keeps the answer from being resumed."""
    broker, now_s = context.broker, context.now_s
    if context.trouble == "no retries left":
        budgets = broker.retry_budgets
        if not is_on:
            # The window of the retries has passed.
            context.now_s += 11.0
            return
        while (retry := budgets.spend("llm", now_s)) is not None:
            retry.sending.settle(now_s)
    if context.trouble == "three engines for the first layers":
        for i in range(2):
            twin = fleets.make_upstream(f"a100-twin{i}", "0-25")
            upstreams.put_entry(broker.fleet.roster, twin, now_s)
    if context.trouble == "too little memory for it":
        (fill if is_on else give_back)(context)
    if context.trouble == "no engine for its layers":
        sign = 1 if is_on else -1
        broker.fleet.memory.add("a100-1", sign, sign * 1e9)


def fill(context: Any) -> None:
    """Takes all memory of the engines that is free, but for some tokens."""
    broker = context.broker
    job = fleets.make_job("any", now_s=context.now_s)
    found = broker.search.list_candidates(job, fleets.SPEC, context.now_s)
    context.taken = {
        # The answer gives its own memory back when its attempt is cut.
        c.id: c.free + (job.tokens - 2 * SMALL_TOKENS) * (c.last - c.first)
        for c in found.list_all()
    }
    for name, used in context.taken.items():
        broker.fleet.memory.add(name, 1, used)


def give_back(context: Any) -> None:
    """Frees the memory that was taken."""
    for name, used in context.taken.items():
        context.broker.fleet.memory.add(name, -1, -used)


@when("a request that needs less memory arrives and {seconds:g} s go by")
def step_small(context: Any, seconds: float) -> None:
    job = fleets.make_job("small", tokens=SMALL_TOKENS, now_s=context.now_s)
    broker_steps.take(context, context.broker.arrive(job, context.now_s))
    play(context, seconds)


@then("that request has started, and the answer waits")
def step_small_started(context: Any) -> None:
    assert "small" in context.started, context.refused
    assert NAME not in context.started
    assert NAME not in context.refused


@then("other hosts are told of {count:d} waiting requests")
def step_told(context: Any, count: int) -> None:
    update = context.broker.contention.make_update("h", "dc", context.now_s)
    told = sum(sum(row.values()) for row in update.waiting.values())
    assert told == count, update.waiting


@then("{count:d} requests count in the expected wait of a new one")
def step_expected(context: Any, count: int) -> None:
    waiting = context.broker.queue
    waiting.intervals_s["llm"] = 1.0
    item = queues.Waiting("new", "w", "llm", 0, context.now_s, math.inf)
    assert queues.estimate_wait(waiting, item) == count


@when("its attempt is cut by the upstream")
def step_cut(context: Any) -> None:
    context.started.pop(NAME)
    fail(context, jobs.FailureKind.CUT, True)


def fail(context: Any, kind: jobs.FailureKind, has_output: bool) -> None:
    """Fails the attempt that runs."""
    failure = jobs.Failure(
        NAME,
        kind,
        "test",
        is_begun=context.is_begun,
        has_output=has_output and context.is_begun,
        has_head=has_output,
    )
    broker_steps.take(context, context.broker.fail(failure, context.now_s))


def play(context: Any, seconds: float, until_started: bool = False) -> None:
    """Lets time pass; engines refuse the answer while that is the trouble."""
    end_s = context.now_s + seconds
    while context.now_s < end_s:
        if NAME in context.started:
            if until_started:
                return
            context.started.pop(NAME)
            context.sent += 1
            fail(context, jobs.FailureKind.REFUSED, False)
        context.now_s += TICK_S
        probe(context)
        broker_steps.take(context, context.broker.tick(context.now_s))


def probe(context: Any) -> None:
    """Probes the engines that are due, as far as their fate is told."""
    state = context.broker.fleet
    for entry in state.take_probes(context.now_s):
        fate = getattr(context, "fates", {}).get(entry.id, ALIVE)
        state.record_probe(
            entry.id, fate == ALIVE, 1.0, context.now_s, PROBES.get(fate)
        )


@when("{seconds:g} s go by while the trouble lasts")
def step_lasts(context: Any, seconds: float) -> None:
    play(context, seconds)


@then("the answer is not given up")
def step_kept(context: Any) -> None:
    assert NAME not in context.refused, context.refused


@when("the trouble ends")
def step_ends(context: Any) -> None:
    set_trouble(context, False)


@then("the answer is resumed within {seconds:g} s")
def step_resumed(context: Any, seconds: float) -> None:
    play(context, seconds, until_started=True)
    assert NAME in context.started, (context.refused, context.sent)


def drop_service(context: Any, version: int) -> None:
    """Puts a configuration without the model's service in force."""
    cfg = fleets.make_config(version)
    services = {n: s for n, s in cfg.services.items() if n != "llm"}
    cfg = attrs.evolve(cfg, services=services)
    broker_steps.take(context, context.broker.configure(cfg, context.now_s))


@when("its service leaves the configuration")
def step_service_leaves(context: Any) -> None:
    drop_service(context, 2)


@when("its answer is complete")
def step_complete(context: Any) -> None:
    broker_steps.take(context, context.broker.finish(NAME, context.now_s, True))


@when("the next configuration comes")
def step_next_configuration(context: Any) -> None:
    drop_service(context, 3)


@then("no engine of that service is known")
def step_no_engine(context: Any) -> None:
    known = context.broker.fleet.roster.entries.values()
    assert not [e for e in known if e.service == "llm"], known


@then("a new request starts at once")
def step_new(context: Any) -> None:
    assert NAME not in context.started
    broker_steps.arrive(context, "new")
    assert "new" in context.started, context.refused


@then("at most {most:d} retries are sent for it")
def step_few(context: Any, most: int) -> None:
    assert 2 <= context.sent <= most, context.sent


@then("the answer is given up as one that may have run")
def step_given_up(context: Any) -> None:
    refusal = context.refused[NAME]
    assert not errors.ANSWERS[refusal.kind].not_run, refusal


@when("its attempt is cut by the upstream, and that engine {fate}")
@when("its next attempt is cut as well, and that engine {fate}")
def step_cut_and(context: Any, fate: str) -> None:
    engine = context.started.pop(NAME).upstream.id
    context.engines = getattr(context, "engines", set()) | {engine}
    fail(context, jobs.FailureKind.CUT, True)
    meet_fate(context, engine, fate)
    play(context, 0.5, until_started=True)


def meet_fate(context: Any, engine: str, fate: str) -> None:
    """Lets the host learn what became of an engine."""
    state = context.broker.fleet
    if fate == "is gone from the list":
        upstreams.apply_record(state.roster, engine, None, context.now_s)
        # A moment passes until a removed entry is given up.
        play(context, 0.1)
        state.roster.entries.pop(engine, None)
    if fate.startswith("has a record"):
        record: upstreams.Upstream | feeds.Unreadable = feeds.Unreadable(
            "bytes", "test"
        )
        if fate == "has a record that is no fit":
            record = attrs.evolve(
                state.roster.entries[engine], accelerator="none"
            )
        upstreams.apply_record(state.roster, engine, record, context.now_s)
        context.now_s += upstreams.UNREADABLE_GRACE_S
        broker_steps.take(context, context.broker.tick(context.now_s))
        assert engine not in state.roster.entries
        fate = ALIVE
    context.fates = getattr(context, "fates", {}) | {engine: fate}


@then("it is sent to no other engine for {seconds:g} s")
def step_no_other(context: Any, seconds: float) -> None:
    play(context, seconds, until_started=True)
    if NAME in context.started:
        assert context.started[NAME].upstream.id in context.engines


@when("the engines that stand still go on")
def step_go_on(context: Any) -> None:
    context.fates = {}


@then("it is sent to the third engine within {seconds:g} s")
def step_third(context: Any, seconds: float) -> None:
    play(context, seconds, until_started=True)
    assert context.started[NAME].upstream.id not in context.engines


@then("the answer is given up within {seconds:g} s")
def step_over(context: Any, seconds: float) -> None:
    play(context, seconds, until_started=True)
    assert NAME in context.refused, context.started
    assert "no attempts left" in context.refused[NAME].reason


@when("this host ends its attempt, and the next one is cut by the upstream")
def step_own_and_cut(context: Any) -> None:
    start = context.started.pop(NAME)
    context.engines = {start.upstream.id}
    failure = jobs.Failure(
        NAME,
        jobs.FailureKind.CUT,
        "test",
        is_begun=True,
        ended_by=ends.EndedBy.HOST,
    )
    broker_steps.take(context, context.broker.fail(failure, context.now_s))
    play(context, 0.5, until_started=True)
    context.engines.add(context.started.pop(NAME).upstream.id)
    assert len(context.engines) == 2, context.engines
    fail(context, jobs.FailureKind.CUT, True)


@when("its helper is lost {count:d} times")
def step_helpers_lost(context: Any, count: int) -> None:
    context.engines = set()
    for _ in range(count):
        context.engines.add(context.started.pop(NAME).upstream.id)
        failure = jobs.Failure(
            NAME,
            jobs.FailureKind.CUT,
            "test",
            is_begun=True,
            has_output=True,
            ended_by=ends.EndedBy.HELPER,
        )
        broker_steps.take(context, context.broker.fail(failure, context.now_s))
        play(context, 0.5, until_started=True)


@then("no engine counts as failing")
def step_none_failing(context: Any) -> None:
    health = context.broker.fleet.health
    assert not health.failed and not health.faults, health.faults


@then("the answer is resumed at one of the engines that ran it")
def step_same_engines(context: Any) -> None:
    play(context, 1.0, until_started=True)
    assert context.started[NAME].upstream.id in context.engines
