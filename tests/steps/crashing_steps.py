"""Steps on hosts and engines that crash; the model is `crashes`."""

from __future__ import annotations

import random
from typing import Any

import attrs
from behave import given, then, when

from egretspur import errors
from egretspur.admission import quarantine
from egretspur.catalog import quarantined
from egretspur.routing import (
    broker,
    fleet,
    jobs,
)
from tests import fleets
from tests.routing import crashes


@given("{count:d} hosts in three data centres")
@given("{count:d} hosts in three data centres, with seed {seed:d}")
def step_hosts(context: Any, count: int, seed: int = 7) -> None:
    context.world = crashes.World(random.Random(seed))
    context.world.add_hosts(count)
    context.world.play(1.0)


def send_often(context: Any, every_s: float, seconds: float) -> None:
    """Sends the request at random hosts."""
    world = context.world
    end_s = world.now_s + seconds
    while world.now_s < end_s:
        world.send(world.rng.choice(world.hosts), crashes.FATAL)
        world.play(every_s)


@when(
    "a request that crashes engines arrives every {every_s:g} s at a"
    " random host for {seconds:g} s"
)
def step_often(context: Any, every_s: float, seconds: float) -> None:
    send_often(context, every_s, seconds)


@when(
    "a request that crashes engines arrives every {every_s:g} s, and all hosts"
    " are killed after {kill_s:g} s"
)
def step_often_killed(context: Any, every_s: float, kill_s: float) -> None:
    world = context.world
    context.killed_s = world.now_s + kill_s
    due_s = world.now_s
    end_s = world.now_s + 40.0
    is_killed = False
    while world.now_s < end_s:
        if not is_killed and world.now_s >= context.killed_s:
            is_killed = True
            for host in list(world.hosts):
                world.restart(host)
        if world.now_s >= due_s:
            due_s += every_s
            world.send(world.rng.choice(world.hosts), crashes.FATAL)
        world.play(crashes.STEP_S)


@then(
    "it reached engines at most {most:d} times more than {after_s:g} s after"
    " the third crash and the kill"
)
def step_bounded_killed(context: Any, most: int, after_s: float) -> None:
    world = context.world
    assert len(world.crashed_s) >= 3
    bound_s = max(world.crashed_s[2], context.killed_s) + after_s
    late = sum(1 for t in world.reached_s if t > bound_s)
    assert late <= most, (late, len(world.crashed_s))


@then(
    "it reached engines at most {most:d} times more than {after_s:g} s"
    " after the third crash"
)
def step_bounded(context: Any, most: int, after_s: float) -> None:
    world = context.world
    assert after_s == crashes.SETTLE_S
    assert len(world.crashed_s) >= 1
    late = world.count_late()
    assert late <= most, (late, len(world.crashed_s))


@given("engines that send an event before they crash")
def step_late_ends(context: Any) -> None:
    context.world.crashes_after_output = True


@given("engines that send an event, and crash {delay_s:g} s later")
def step_crash_later(context: Any, delay_s: float) -> None:
    context.world.output_s = delay_s


@given("answers that end with the connection of their engine")
def step_hidden(context: Any) -> None:
    context.world.hides_crashes = True


@when(
    "{rate:d} other requests a second arrive beside a request that crashes"
    " engines"
)
def step_beside(context: Any, rate: int) -> None:
    world = context.world
    context.others = []
    for number in range(20 * rate):
        name = f"other-{number}"
        host = world.rng.choice(world.hosts)
        context.others.append(world.send(host, name, name))
        if number % rate == 0:
            world.send(world.rng.choice(world.hosts), crashes.FATAL)
        world.play(1 / rate)
    world.play(5.0)
    assert len(world.crashed_s) >= 3


@then("only that one is quarantined, at every host")
def step_only_one(context: Any) -> None:
    for host in context.world.hosts:
        assert list(host.state.quarantine.list_quarantined()) == [crashes.FATAL]


@then("none of the others was refused as quarantined")
def step_not_others(context: Any) -> None:
    refused = context.world.refused
    for name in context.others:
        refusal = refused.get(name)
        assert refusal is None or (
            refusal.kind is not errors.ErrorKind.QUARANTINED
        ), (name, refusal)
    answered = [n for n in context.others if n in context.world.answered]
    assert len(answered) > len(context.others) / 2, len(answered)


@when("each host is restarted, one a second")
def step_restart_each(context: Any) -> None:
    context.reached = len(context.world.reached_s)
    context.world.stored.clear()
    for host in list(context.world.hosts):
        context.world.restart(host)
        context.world.play(1.0)


@when("all hosts are restarted at once")
def step_restart_all(context: Any) -> None:
    context.reached = len(context.world.reached_s)
    for host in list(context.world.hosts):
        context.world.restart(host)


@when("it arrives every {every_s:g} s at a random host for {seconds:g} s")
def step_often_again(context: Any, every_s: float, seconds: float) -> None:
    send_often(context, every_s, seconds)


@then("no engine was reached since the first restart")
def step_none_reached(context: Any) -> None:
    assert context.reached >= 3
    assert len(context.world.reached_s) == context.reached


@given('the hosts of "{place}" and all others exchange no datagrams')
def step_cut_off(context: Any, place: str) -> None:
    context.world.is_delivered = lambda a, b: (
        (a.data_centre == place) == (b.data_centre == place)
    )


@given("a fifth of the datagrams between hosts are lost")
def step_lossy(context: Any) -> None:
    rng = random.Random(3)
    context.world.is_delivered = lambda a, b: rng.random() >= 0.2


def hear_ends(state: broker.Broker, count: int, now_s: float) -> None:
    """Sends a broker a peer update with some crashes under the request."""
    ends = {f"start-{i}": 1.0 for i in range(count)}
    news = fleet.PeerState(
        "10.9.0.1", "kl-hall", {}, {}, (), {}, ended={crashes.FATAL: ends}
    )
    state.apply_peer_update(news, now_s)


@given("a request that crashed two engines is queued at each host")
def step_waits(context: Any) -> None:
    world = context.world
    for host in world.hosts:
        for upstream_id in world.live:
            host.state.fleet.memory.add(upstream_id, 1, 1e12)
        hear_ends(host.state, 2, world.now_s)
        world.send(host, crashes.FATAL)
        assert len(host.state.queue.waiting) == 1


@when("a third engine crashes under it at another host")
def step_third(context: Any) -> None:
    for host in context.world.hosts:
        hear_ends(host.state, 3, context.world.now_s)
        context.world.apply(host, host.state.tick(context.world.now_s))


@then("the queued ones are refused at once, as not run")
def step_refused_waiting(context: Any) -> None:
    refused = list(context.world.refused.values())
    assert len(refused) == len(context.world.hosts), refused
    for refusal in refused:
        assert refusal.kind is errors.ErrorKind.QUARANTINED
        assert refusal.answer.not_run
        assert refusal.retry_after_s == quarantine.RETRY_AFTER_S
    for host in context.world.hosts:
        assert not host.state.queue.waiting


@when("a request runs and {count:d} of its stages crash, one after the other")
def step_stages_end(context: Any, count: int) -> None:
    world = context.world
    (host,) = world.hosts
    name = "r"
    job = attrs.evolve(
        fleets.make_job(name, now_s=world.now_s), fingerprint="x"
    )
    # Otherwise, it would be resumed once in another data centre.
    route = attrs.evolve(job.route, is_resumable=False)
    job = attrs.evolve(job, route=route)
    assert host.state.arrive(job, world.now_s)
    context.decisions = []
    for _ in range(count):
        last = host.state.tickets[name].current.parts[-1].id
        host.state.fleet.health.mark_down(last, world.now_s)
        context.decisions.append(
            host.state.reroute(name, frozenset([last]), world.now_s)
        )


@then("it is not rerouted after the third")
def step_not_moved(context: Any) -> None:
    first, second, third = context.decisions
    assert first.parts and second.parts
    assert third.parts is None and third.is_ended


@when(
    "a request is cut {times:d} times by engines that stand still for"
    " {seconds:g} s after it"
)
def step_cut_still(context: Any, times: int, seconds: float) -> None:
    cut(context, times, seconds)


@when("a request is cut {times:d} times by engines that answer probes")
def step_cut_alive(context: Any, times: int) -> None:
    cut(context, times, 0.0)


def cut(context: Any, times: int, still_s: float) -> None:
    """Sends a request again and again, cut by an engine each time."""
    world = context.world
    for number in range(times):
        host = world.hosts[number % len(world.hosts)]
        name = world.send(host, "x")
        assert name in world.runs, f"refused after {number} cuts"
        run = world.runs.pop(name)
        world.waiting[name] = (host, run.job)
        world.still_until_s[run.start.upstream.id] = world.now_s + still_s
        failure = jobs.Failure(name, jobs.FailureKind.CUT, "reset")
        world.apply(host, host.state.fail(failure, world.now_s))
        if name in world.runs:
            del world.runs[name]
            host.state.finish(name, world.now_s)
        world.play(0.3)
        # Once probes show that it goes on.
        world.play(2.0 * still_s)


@then("it is not quarantined")
def step_no_quarantine(context: Any) -> None:
    assert not any(context.world.count_held()), context.world.count_held()


@given("a look-up that was answered {ago_s:g} s ago")
def step_looked_up(context: Any, ago_s: float) -> None:
    world = context.world
    (host,) = world.hosts
    for number in range(1, 5):
        entry = fleets.make_upstream(f"app-{number}")
        host.state.change_upstreams([(entry.name, entry)], world.now_s)
    look_up(context, is_answered=True)
    world.now_s += ago_s


@given("a look-up that was answered without a length {ago_s:g} s ago")
def step_looked_up_unframed(context: Any, ago_s: float) -> None:
    step_looked_up(context, 0.0)
    context.world.now_s += quarantine.ANSWER_TTL_S
    look_up(context, is_answered=True, has_length=False)
    context.world.now_s += ago_s
    (host,) = context.world.hosts
    host.state.tick(context.world.now_s)


def look_up(context: Any, is_answered: bool, has_length: bool = True) -> None:
    """Sends the look-up; it is answered, or its replica crashes."""
    world = context.world
    (host,) = world.hosts
    world.arrived += 1
    job = attrs.evolve(
        fleets.make_job(f"c{world.arrived}", "non_idempotent"),
        fingerprint="look-up",
        arrived_s=world.now_s,
        deadline_s=world.now_s + 1.0,
    )
    (start,) = host.state.arrive(job, world.now_s)
    assert isinstance(start, jobs.Start)
    if is_answered:
        doubt = crashes.make_doubt(job.id, has_output=False)
        host.state.finish(
            job.id, world.now_s, True, None if has_length else doubt
        )
        return
    failure = jobs.Failure(job.id, jobs.FailureKind.CUT, "reset")
    host.state.fail(failure, world.now_s)
    host.state.fleet.apply_report(
        start.upstream.id, crashes.REFUSED, world.now_s
    )
    host.state.tick(world.now_s)


@when("{count:d} replicas crash under it")
def step_replicas_end(context: Any, count: int) -> None:
    for _ in range(count):
        look_up(context, is_answered=False)


@when("an operator removes it from the store")
def step_let_go(context: Any) -> None:
    world = context.world
    assert all(world.count_held())
    world.play(1.0)
    world.stored[crashes.FATAL] = {}
    for host in world.hosts:
        world.read_store(host)
    world.play(1.0)


@then("a new one is sent to an engine")
def step_sent(context: Any) -> None:
    world = context.world
    before = len(world.reached_s)
    world.send(world.hosts[0], crashes.FATAL)
    assert len(world.reached_s) == before + 1


@when("a request that ran beside three crashes is answered")
def step_innocent(context: Any) -> None:
    world = context.world
    for host in world.hosts:
        hear_ends(host.state, 2, world.now_s)
    host = world.hosts[0]
    name = world.send(host, crashes.FATAL)
    # It crashes nothing, though it is reported as fatal.
    world.due.clear()
    for other in world.hosts:
        hear_ends(other.state, 3, world.now_s)
    world.stored[crashes.FATAL] = {"start-0": 3.0}
    assert all(world.count_held())
    del world.runs[name]
    host.state.finish(name, world.now_s, True)
    world.play(1.0)


@then("it is not quarantined, and the store has it as released")
def step_let_go_stored(context: Any) -> None:
    assert not any(context.world.count_held()), context.world.count_held()
    assert context.world.stored == {crashes.FATAL: {}}


@given("a request that crashed two engines elsewhere")
def step_ended_two(context: Any) -> None:
    world = context.world
    (host,) = world.hosts
    hear_ends(host.state, 2, world.now_s)


@when("it crashes a third one")
def step_ends_third(context: Any) -> None:
    world = context.world
    world.send(world.hosts[0], crashes.FATAL, "r")
    world.play(1.0)
    assert len(world.crashed_s) == 1


@then("it is refused as having run, and no retry was taken for it")
def step_no_repeat(context: Any) -> None:
    refusal = context.world.refused["r"]
    assert refusal.kind is errors.ErrorKind.UPSTREAM_FAILED, refusal
    assert "crashed under it" in refusal.reason
    assert not context.world.hosts[0].state.counts.repeats


@when("it is cut once by an engine of which nothing is known")
def step_cut_unknown(context: Any) -> None:
    world = context.world
    (host,) = world.hosts
    name = world.send(host, crashes.FATAL)
    world.due.clear()
    del world.runs[name]
    host.state.fail(
        jobs.Failure(name, jobs.FailureKind.CUT, "reset"), world.now_s
    )


@then("the same request is refused with a Retry-After of {after_s:g} s")
def step_refused_for_now(context: Any, after_s: float) -> None:
    world = context.world
    name = world.send(world.hosts[0], crashes.FATAL)
    refusal = world.refused[name]
    assert refusal.kind is errors.ErrorKind.QUARANTINED
    assert refusal.retry_after_s == after_s, refusal


@then("it is sent {seconds:g} s later")
def step_sent_later(context: Any, seconds: float) -> None:
    world = context.world
    (host,) = world.hosts
    world.now_s += seconds
    host.state.tick(world.now_s)
    name = world.send(host, crashes.FATAL)
    assert name in world.runs, world.refused[name]


@given("a quarantined request and a store that is unreachable")
def step_saver(context: Any) -> None:
    context.written = []
    context.problem = "no answer"

    def write(name: str, ends: quarantine.CrashWeights) -> str:
        if not context.problem:
            context.written.append((name, ends))
        return str(context.problem)

    context.saver = quarantined.Writer(write, random.Random(7))
    context.change = quarantine.Change(crashes.FATAL, {"a": 3.0}, True)
    context.saver.queue_changes([context.change])


@when("it is written to the store twice while that is unreachable")
def step_try(context: Any) -> None:
    context.is_done = [context.saver.write_due() for _ in range(2)]


@then("both writes fail")
def step_still(context: Any) -> None:
    assert context.is_done == [False, False]
    assert not context.written


@when("the store is reachable again")
def step_store_back(context: Any) -> None:
    context.problem = ""
    assert context.saver.write_due()


@then("the request is written once")
def step_written(context: Any) -> None:
    assert context.written == [(crashes.FATAL, {"a": 3.0})]
    assert context.saver.write_due()
    assert len(context.written) == 1
