"""Steps on requests that share a prompt segment; the model is `crashes`."""

from __future__ import annotations

import collections
import itertools
import random
from collections.abc import Sequence
from typing import Any, Final

import attrs
from behave import given, then, when

from egretspur import errors
from egretspur.admission import fingerprint
from egretspur.admission import segments as segment_sets
from tests import fleets
from tests.routing import crashes

# Seconds of sound requests before the first fatal one.
CALM_S: Final = 5.0

# Time from the last allowed crash until sound requests must be served again.
RECOVER_S: Final = 2 * crashes.SETTLE_S

# Crashes that are allowed before the bounds apply.
ALLOWED_CRASHES: Final = 5


def parse_segments(text: str) -> tuple[str, ...]:
    """Returns segments written with commas between them."""
    return tuple(text.split(","))


class Traffic:
    """Sends sound requests at a steady rate, and fatal ones beside them."""

    def __init__(
        self, world: crashes.World, rate: float, segments: tuple[str, ...]
    ) -> None:
        self.world = world
        self.sound: list[str] = []
        self.fatal_from_s = 0.0
        self._rate = rate
        self._segments = segments
        self._rng = random.Random(11)
        self._next_sound_s = world.now_s

    def play(self, seconds: float) -> None:
        """Runs the model for some seconds beside sound requests."""
        world = self.world
        end_s = world.now_s + seconds
        while world.now_s < end_s:
            if world.now_s >= self._next_sound_s:
                self._next_sound_s += 1 / self._rate
                name = f"sound-{len(self.sound)}"
                host = self._rng.choice(world.hosts)
                # Hosts tell requests apart by the begin of their fingerprints.
                mark = fingerprint.compute(name)
                world.send(host, mark, name, self._segments)
                self.sound.append(name)
            world.play(crashes.STEP_S)

    def send_fatal(self, segments: tuple[str, ...]) -> str:
        """Sends a request that is like no other."""
        world = self.world
        name = f"odd-{world.arrived}"
        mark = fingerprint.compute(name)
        return world.send(
            self._rng.choice(world.hosts), mark, name, segments=segments
        )

    def get_first_share(self, from_s: float, to_s: float) -> float:
        """Returns the share of sound requests begun at their first attempt."""
        world = self.world
        sent = [n for n in self.sound if from_s <= world.arrived_s[n] < to_s]
        assert len(sent) >= 20, len(sent)
        begun = [
            n for n in sent if n in world.begun and world.begun[n].attempt == 1
        ]
        return len(begun) / len(sent)


@given('engines that crash under the prompt segment "{segment}"')
def step_fatal_segment(context: Any, segment: str) -> None:
    context.world.fatal_segments.add(segment)


@given('{rate:d} sound requests a second with the segments "{segments}"')
def step_sound(context: Any, rate: int, segments: str) -> None:
    context.traffic = Traffic(context.world, rate, parse_segments(segments))
    context.traffic.play(CALM_S)


@when(
    'a request with the segments "{segments}" arrives every {every_s:g} s at a'
    " random host for {seconds:g} s"
)
def step_fatal_requests(
    context: Any, segments: str, every_s: float, seconds: float
) -> None:
    send_for(context, (segments,), every_s, seconds)


def send_for(
    context: Any, kinds: Sequence[str], every_s: float, seconds: float
) -> None:
    """Sends requests of some kinds in turn, no two alike."""
    traffic, world = context.traffic, context.world
    traffic.fatal_from_s = world.now_s
    end_s = world.now_s + seconds
    for segments in itertools.cycle(kinds):
        traffic.send_fatal(parse_segments(segments))
        traffic.play(every_s)
        if world.now_s >= end_s:
            return


@then(
    "such requests reached engines at most {most:d} times more than"
    " {after_s:g} s after the fifth crash"
)
def step_few_late(context: Any, most: int, after_s: float) -> None:
    world = context.world
    assert after_s == crashes.SETTLE_S
    assert len(world.crashed_s) >= 1
    late = world.count_late(ALLOWED_CRASHES)
    assert late <= most, (late, len(world.crashed_s))


@then(
    "sound requests begin at their first attempt at least half as often as"
    " before"
)
def step_sound_served(context: Any) -> None:
    world, traffic = context.world, context.traffic
    crashed_s = world.crashed_s[:ALLOWED_CRASHES]
    before = traffic.get_first_share(0.0, traffic.fatal_from_s)
    after = traffic.get_first_share(
        crashed_s[-1] + RECOVER_S, world.now_s - crashes.RUN_S * 2
    )
    assert after >= before / 2, (before, after, len(world.crashed_s))


@given("engines that crash before the head of their answer")
def step_headless(context: Any) -> None:
    context.world.sends_head = False


@given("engines that crash after {seconds:g} s of output")
def step_late_crash(context: Any, seconds: float) -> None:
    context.world.output_s = seconds


@given('requests with the segments "{segments}" are answered for {seconds:g} s')
def step_answered_before(context: Any, segments: str, seconds: float) -> None:
    traffic, world = context.traffic, context.world
    end_s = world.now_s + seconds
    while world.now_s < end_s:
        name = traffic.send_fatal(parse_segments(segments))
        traffic.play(0.3)
    assert name in world.begun


@when(
    'requests with the segments "{first}" and "{second}" arrive in turn every'
    " {every_s:g} s for {seconds:g} s"
)
def step_in_turn(
    context: Any, first: str, second: str, every_s: float, seconds: float
) -> None:
    send_for(context, (first, second), every_s, seconds)


@then(
    "such requests reached engines at most {most:d} times more than"
    " {after_s:g} s after the tenth crash"
)
def step_few_late_of_two(context: Any, most: int, after_s: float) -> None:
    world = context.world
    assert after_s == crashes.SETTLE_S
    late = world.count_late(2 * ALLOWED_CRASHES)
    assert late <= most, (late, len(world.crashed_s))


def list_blocked(context: Any) -> set[str]:
    """Returns the keys of segments that any host has in quarantine."""
    return {
        key
        for host in context.world.hosts
        for key in host.state.quarantine.list_quarantined()
        if segment_sets.parse_key(key)
    }


@then('only segments with "{segment}" are quarantined')
def step_only_with(context: Any, segment: str) -> None:
    found = list_blocked(context)
    assert found
    for key in found:
        assert segment in segment_sets.parse_key(key), found


@then("no segment is quarantined")
def step_none(context: Any) -> None:
    assert not list_blocked(context), list_blocked(context)


@then("no sound request was refused as quarantined")
def step_sound_not_refused(context: Any) -> None:
    refused = context.world.refused
    found = [
        n
        for n in context.traffic.sound
        if n in refused and refused[n].kind is errors.ErrorKind.QUARANTINED
    ]
    assert not found, found


@when("{count:d} engines crash by themselves, one every {every_s:g} s")
def step_crash_by_themselves(context: Any, count: int, every_s: float) -> None:
    world = context.world
    for _ in range(count):
        world.crash_engine(world.rng.choice(sorted(world.live)))
        context.traffic.play(every_s)


@when(
    '{count:d} requests with the segments "{segments}" run and {lost} lose'
    " power"
)
def step_power_loss(context: Any, count: int, segments: str, lost: str) -> None:
    world = context.world
    for _ in range(count):
        context.traffic.send_fatal(parse_segments(segments))
    world.play(crashes.STEP_S)
    place = lost.partition('"')[2].rstrip('"')
    world.crash_engines(
        [e.id for e in world.live.values() if place in ("", e.data_centre)]
    )
    assert len(world.crashed_s) >= 4
    context.traffic.play(10.0)


@then('a request with the segments "{segments}" is answered')
def step_one_answered(context: Any, segments: str) -> None:
    world = context.world
    name = context.traffic.send_fatal(parse_segments(segments))
    context.traffic.play(4.0)
    assert name in world.answered, world.refused.get(name)


@when(
    'each fatal request with the segments "{fatal}" meets two with'
    ' "{session}" on its engine, {times:d} times'
)
def step_beside(context: Any, fatal: str, session: str, times: int) -> None:
    world, traffic = context.world, context.traffic
    traffic.fatal_from_s = world.now_s
    met = 0
    for _ in range(times):
        name = traffic.send_fatal(parse_segments(fatal))
        run = world.runs.get(name)
        if run is not None:
            engine = run.start.upstream.id
            beside = 0
            for _ in range(100):
                other = traffic.send_fatal(parse_segments(session))
                found = world.runs.get(other)
                beside += bool(found and found.start.upstream.id == engine)
                if beside == 2:
                    break
            met += beside
        traffic.play(0.5)
    assert met >= 4, met


@then(
    'a request with the segments "{segments}" crashes at most one more engine'
)
def step_one_more(context: Any, segments: str) -> None:
    world, traffic = context.world, context.traffic
    before = len(world.reached_s)
    for _ in range(10):
        traffic.send_fatal(parse_segments(segments))
        traffic.play(0.5)
    assert len(world.reached_s) <= before + 1, len(world.reached_s) - before


@when(
    'a request with the segments "{segments}" arrives every {every_s:g} s at a'
    " random host until {count:d} engines crashed"
)
def step_until_crashed(
    context: Any, segments: str, every_s: float, count: int
) -> None:
    world, traffic = context.world, context.traffic
    traffic.fatal_from_s = world.now_s
    while len(world.crashed_s) < count:
        traffic.send_fatal(parse_segments(segments))
        traffic.play(every_s)


@when("{count:d} hosts are restarted at once")
def step_restart_some(context: Any, count: int) -> None:
    for host in context.world.hosts[:count]:
        context.world.restart(host)


@when(
    'the segment "{segment}" is quarantined while a request with it waits at'
    " each host"
)
def step_quarantined_waiting(context: Any, segment: str) -> None:
    world = context.world
    context.running = world.send(
        world.hosts[0], "running", segments=(segment, "other")
    )
    world.due.clear()
    context.waiting = []
    for host in world.hosts:
        for upstream_id in world.live:
            host.state.fleet.memory.add(upstream_id, 1, 1e12)
        name = world.send(host, f"w-{host.ip}", segments=("system", segment))
        assert name in world.waiting
        context.waiting.append(name)
    key = segment_sets.make_key([segment])
    world.stored[key] = {"a": 1.0, "b": 1.0, "c": 1.0}
    for host in world.hosts:
        world.read_store(host)


@then("these requests are refused at once, as not run")
def step_refused_at_once(context: Any) -> None:
    for name in context.waiting:
        refusal = context.world.refused[name]
        assert refusal.kind is errors.ErrorKind.QUARANTINED, refusal
        assert refusal.answer.not_run


@then("a running request with it is not rerouted")
def step_running_not_rerouted(context: Any) -> None:
    world = context.world
    state = world.hosts[0].state
    stage = state.tickets[context.running].current.parts[-1].id
    state.fleet.health.mark_down(stage, world.now_s)
    decision = state.reroute(context.running, frozenset([stage]), world.now_s)
    assert decision.parts is None
    assert decision.is_ended


@then("one with it is refused, without a word on any other")
def step_refused_only(context: Any) -> None:
    world = context.world
    state = world.hosts[0].state
    for segments, is_blocked in (
        (("bad",), True),
        (("system", "bad", "x"), True),
        (("system",), False),
        (("ba",), False),
        ((), False),
    ):
        found = state.quarantine.is_blocked("new", segments)
        assert found == is_blocked, segments
    job = attrs.evolve(
        fleets.make_job("n", now_s=world.now_s), segments=("bad",)
    )
    (effect,) = state.arrive(job, world.now_s)
    assert effect.refusal.retry_after_s == 60.0, effect


@when("the cause is mended and an operator removes the segment from the store")
def step_released(context: Any) -> None:
    world = context.world
    assert world.stored
    world.fatal_segments.clear()
    context.traffic.play(1.0)
    for key in list(world.stored):
        world.stored[key] = {}
    for host in world.hosts:
        world.read_store(host)
    context.traffic.play(1.0)


@when(
    'a request with {count:d} segments of its own and "{segment}" arrives every'
    " {every_s:g} s at a random host for {seconds:g} s"
)
def step_hundreds(
    context: Any, count: int, segment: str, every_s: float, seconds: float
) -> None:
    traffic, world = context.traffic, context.world
    traffic.fatal_from_s = world.now_s
    end_s = world.now_s + seconds
    while world.now_s < end_s:
        own = [f"{world.arrived}-{i}" for i in range(count)]
        traffic.send_fatal((*own, segment))
        traffic.play(every_s)


@when("all hosts record an answer without output to a request with it")
def step_empty_answers(context: Any) -> None:
    world = context.world
    for host in world.hosts:
        name = f"empty-{host.ip}"
        job = attrs.evolve(
            fleets.make_job(name, now_s=world.now_s), segments=("bad",)
        )
        assert host.state.arrive(job, world.now_s)
        host.state.record_answer_start(name, world.now_s)
        host.state.finish(name, world.now_s, True)


@given("{hosts:d} hosts and {count:d} engines in one data centre")
def step_small_site(context: Any, hosts: int, count: int) -> None:
    context.world = crashes.World(random.Random(7))
    for _ in range(hosts):
        context.world.add_host("kl-hall")
    for i in range(count):
        context.world.start_engine("kl-hall", ("0-40", "40-80")[i % 2])
    context.world.play(1.0)


@given("answers that last {seconds:g} s")
def step_long_answers(context: Any, seconds: float) -> None:
    context.world.answer_s = seconds


@when(
    'the engines of "{place}" crash {alive_s:g} s after each start, for'
    " {seconds:g} s"
)
def step_crash_loop(
    context: Any, place: str, alive_s: float, seconds: float
) -> None:
    world = context.world
    end_s = world.now_s + seconds
    known: set[str] = set()
    while world.now_s < end_s:
        for engine in sorted(set(world.live) - known):
            known.add(engine)
            if world.live[engine].data_centre == place:
                # Not all at the same moment.
                after_s = alive_s * world.rng.uniform(0.7, 1.3)
                world.schedule(after_s, lambda e=engine: world.crash_engine(e))
        context.traffic.play(crashes.STEP_S)


@when(
    "{count:d} engines that run most requests crash by themselves, one every"
    " {every_s:g} s"
)
def step_busiest_crash(context: Any, count: int, every_s: float) -> None:
    world = context.world
    for _ in range(count):
        running = collections.Counter(
            r.start.upstream.id for r in world.runs.values()
        )
        if world.live:
            world.crash_engine(max(sorted(world.live), key=running.__getitem__))
        context.traffic.play(every_s)
