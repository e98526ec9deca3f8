"""Steps on finding the stage that stalls streams."""

from __future__ import annotations

import collections
import re
import time
from typing import Any
from unittest import mock

import attrs
from behave import given, then, when

from egretspur import signals
from egretspur.catalog import upstreams
from egretspur.delivery import output as outputs
from egretspur.delivery import peeks, silence, watch
from egretspur.routing import desk, jobs, sharing
from tests import fleets, stage
from tests.steps import broker_steps, forward_steps

_STREAMS = re.compile(r"(\S+) (\d+)/(\d+) x(\d+)")


@given('streams "{text}"')
def step_streams(context: Any, text: str) -> None:
    context.heard = [
        silence.StreamActivity(
            tuple(p.split("+")), int(ms) / 1000, int(gap) / 1000
        )
        for p, ms, gap, count in _STREAMS.findall(text)
        for _ in range(int(count))
    ]


@then('the suspected stages are "{stages}"')
def step_suspects(context: Any, stages: str) -> None:
    found = silence.find_suspects(context.heard)
    wanted = set() if stages == "none" else set(stages.split())
    assert found == wanted, found


@attrs.define(eq=False)
class Stream:
    """A running stream as the watch sees it; see `forward.Forwarder`."""

    job: jobs.Job
    parts: Any
    last_activity_s: float
    has_begun: bool = True
    started_s: float = 0.0
    begun_s: float = 0.0
    expected_first_s: float = 0.05
    smoothed_gap_s: float = 0.02
    stalled: set[str] = attrs.Factory(set)
    output: outputs.AttemptOutput = attrs.Factory(outputs.AttemptOutput)
    # Its attempt was ended, or one runs beside it.
    is_ended: bool = False
    # Starts an attempt beside it; see `desk.Desk.start_handover`.
    start_beside: Any = None

    @property
    def call(self) -> Any:
        """The request, as far as an order names it."""
        return self.job

    def interrupt(self) -> None:
        """Ends the attempt under way."""
        self.is_ended = True

    @property
    def is_delivering(self) -> bool:
        """Whether its caller has part of the answer."""
        return self.has_begun

    def hand_over(self, is_lost: bool = False) -> None:
        """Runs another attempt beside the one under way, if there may be."""
        if not self.is_ended:
            start = self.start_beside(self.job.id, is_lost)
            self.is_ended = start is not None

    def has_lost_link(self, links: Any) -> bool:
        """Returns whether bytes of its connection no longer arrive."""
        return bool(links.is_lost(self.parts[0].address, ""))


@attrs.define
class FakeLinks:
    """The host's links to upstreams; see `forward.Reach`."""

    are_down: bool = False
    suspicions: int = 0

    def suspect(self) -> None:
        """Counts the suspicion."""
        self.suspicions += 1

    def is_lost(self, address: str, helper: str) -> bool:
        """Returns whether the links are down."""
        return self.are_down


@given('a watch over {count:d} streams on "{name}" and {more:d} beside it')
def step_watch(context: Any, count: int, name: str, more: int) -> None:
    broker_steps.step_chain_plain(context)
    engines = forward_steps.FakeEngines()
    context.play = forward_steps.Play(
        desk.Desk(context.broker), engines=engines
    )
    context.links = FakeLinks()
    context.play.watch = watch.StreamWatch(
        context.play.desk, engines, reach=context.links
    )
    roster = context.broker.fleet.roster
    layers = broker_steps.CHAIN[name]
    upstreams.put_entry(roster, fleets.make_upstream("a100-twin", layers), 0.0)
    context.heard_s = time.monotonic()
    context.streams = []
    for i in range(count + more):
        job = fleets.make_job(f"r{i}", now_s=context.heard_s)
        start = context.play.desk.arrive(job).result(2.0)
        parts = start.parts
        if i >= count:
            twin = attrs.evolve(
                parts[1], id="a100-twin", address="a100-twin:80"
            )
            parts = (parts[0], twin, *parts[2:])
        # The streams beside the stage have just had an event.
        late_s = 0.065 if i >= count else 0.0
        stream = Stream(job, parts, context.heard_s + late_s)
        stream.start_beside = context.play.desk.start_handover
        context.streams.append(stream)
        context.play.watch.add(context.streams[-1])
    context.on, context.beside = (
        context.streams[:count],
        context.streams[count:],
    )


@given('"{name}" dies')
@when('"{name}" dies')
def step_dies(context: Any, name: str) -> None:
    context.play.engines.dead = {f"{name}:80"}


@given("the links that they came over are down")
def step_links_down(context: Any) -> None:
    context.links.are_down = True
    to = context.play.desk
    context.reserve = mock.Mock(wraps=to.start_handover)
    for stream in context.streams:
        stream.start_beside = context.reserve


@then("the host's own links are checked")
def step_links_checked(context: Any) -> None:
    assert context.links.suspicions == 1


@then("no engine is asked for its report")
def step_no_report(context: Any) -> None:
    assert not context.play.engines.asked, context.play.engines.asked


@then("a retry was asked for at most {count:d} times for each")
def step_few_retries(context: Any, count: int) -> None:
    asked = collections.Counter(
        call.args[0] for call in context.reserve.call_args_list
    )
    assert set(asked) == {s.job.id for s in context.streams}, asked
    assert max(asked.values()) <= count, asked


@given("no engine answers the host")
def step_nobody(context: Any) -> None:
    entries = context.broker.fleet.roster.entries.values()
    context.play.engines.dead = {e.address for e in entries}


@given("{count:d} engine more for the first layers")
def step_more_first(context: Any, count: int) -> None:
    roster = context.broker.fleet.roster
    for i in range(count):
        other = fleets.make_upstream(f"a100-more{i}", "0-25")
        upstreams.put_entry(roster, other, 0.0)


@given("the first engine answers no report request")
def step_first_dark(context: Any) -> None:
    context.play.engines.stalled = "dark"


@then("{count:d} of the streams are ended")
def step_ended(context: Any, count: int) -> None:
    assert sum(s.is_ended for s in context.streams) == count


@when("the watch checks its streams {late_ms:d} ms after the last events")
def step_look(context: Any, late_ms: int) -> None:
    context.before = [s.parts for s in context.streams]
    context.play.watch.check_streams(context.heard_s + late_ms / 1000)


@when('{ms:d} ms later other hosts report "{name}" failing')
@when('other hosts report "{name}" failing')
def step_told(context: Any, name: str, ms: int = 0) -> None:
    time.sleep(ms / 1000)
    context.play.watch.record_peer_suspects({name})


@then("the {count:d} streams are rerouted or resumed, and the others are not")
def step_moved(context: Any, count: int) -> None:
    for stream in context.on:
        names = {p.id for p in stream.parts}
        assert stream.is_ended or "a100-1" not in names, stream
    before = context.before[count:]
    assert [s.parts for s in context.beside] == before
    assert not any(s.is_ended for s in context.beside)


@then('the desk marks "{name}" as down')
def step_down(context: Any, name: str) -> None:
    stage.wait_until(
        lambda: context.play.desk.query(
            lambda state: state.fleet.health.is_down(name)
        ),
        2.0,
        name,
    )


@then("no stream is rerouted")
def step_not_moved(context: Any) -> None:
    assert [s.parts for s in context.streams] == context.before
    assert not any(s.is_ended for s in context.streams)


@given('"{one}" and "{other}" take {per_s:g} requests a second')
def step_limited(context: Any, one: str, other: str, per_s: float) -> None:
    context.limited = (one, other)
    for name in context.limited:
        context.play.desk.note_signals(name, signals.Signals(per_s))


@when("the watch checks its streams every {step_ms:d} ms for {seconds:d} s")
def step_look_on(context: Any, step_ms: int, seconds: int) -> None:
    for i in range(1, 1000 * seconds // step_ms):
        context.play.watch.check_streams(context.heard_s + i * step_ms / 1000)


@then("each of them is asked at most once, and others are asked")
def step_asked(context: Any) -> None:
    counts = collections.Counter(context.play.engines.asked)
    for name in context.limited:
        assert counts.pop(f"{name}:80", 0) <= 1, context.play.engines.asked
    assert counts


@given('"{one}" and "{other}" ask for a backoff of {backoff_s:g} s')
def step_rest(context: Any, one: str, other: str, backoff_s: float) -> None:
    context.limited = (one, other)
    for name in context.limited:
        answer = signals.Signals(backoff_s=backoff_s)
        context.play.desk.note_signals(name, answer)
    # The desk has handled the messages once it answers a later call.
    context.play.desk.query(lambda state: None)


@then("none of them is asked, and others are asked")
def step_none_asked(context: Any) -> None:
    asked = set(context.play.engines.asked)
    assert not asked & {f"{name}:80" for name in context.limited}, asked
    assert asked


@given("five other hosts with requests over the same engines, which rank first")
def step_others(context: Any) -> None:
    context.play.watch = watch.StreamWatch(
        context.play.desk, context.play.engines, True, "10.0.0.1"
    )
    for stream in context.streams:
        context.play.watch.add(stream)
    ids = {p.id for s in context.streams for p in s.parts}
    ahead = [
        n
        for n in (f"10.0.1.{i}" for i in range(250))
        if all(sharing.rank(n, i) < sharing.rank("10.0.0.1", i) for i in ids)
    ]
    assert len(ahead) >= 5, ahead
    for name in ahead[:5]:
        context.play.watch.record_peer_usage(name, ids)


@given("{count:d} hosts that have requests over the same engine")
def step_schedules(context: Any, count: int) -> None:
    names = [f"10.0.0.{i}" for i in range(count)]
    context.schedules = {n: peeks.PeekSchedule(n) for n in names}


@when(
    "a stream at each is silent for {seconds:d} s and the engine answers each"
    " probe"
)
def step_silent(context: Any, seconds: int) -> None:
    context.seconds = seconds
    context.probes = 0
    for i in range(seconds * 20):
        now_s = i / 20
        for schedule in context.schedules.values():
            if i % 5 == 0:
                for other in context.schedules:
                    schedule.apply_peer_usage(other, ("e",), now_s)
            if schedule.is_due("e", -1.0, -1.0, now_s):
                schedule.record("e", True, now_s)
                context.probes += 1


@then("the hosts probe it at most {count:d} times a second in all")
def step_few_probes(context: Any, count: int) -> None:
    assert context.probes <= count * context.seconds, context.probes
