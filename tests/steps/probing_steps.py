"""Steps on the bounds of probes, in a model without a network."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import attrs
from behave import given, then, when

from egretspur.routing import health, paces, probing

TICK_S = 0.05
ENGINE = "l40s-0"


@attrs.define(eq=False)
class Host:
    """The probes of one host, and when each was sent."""

    name: str
    state: health.Health = attrs.Factory(
        lambda: health.Health(lambda *change: None)
    )
    sent: list[tuple[float, str]] = attrs.Factory(list)
    # When each engine was found dead.
    dead_s: dict[str, float] = attrs.Factory(dict)
    schedule: Any = None

    def __attrs_post_init__(self) -> None:
        """Makes the schedule over the host's state."""
        self.schedule = probing.ProbeSchedule(
            self.state, paces.Paces(), self.name
        )

    def tick(
        self, engines: list[str], answers: Callable[[str], bool], now_s: float
    ) -> None:
        """Sends the probes that are due and records their results."""
        taken = self.schedule.take_due(engines, lambda i, t: True, now_s)
        for name in taken:
            self.sent.append((now_s, name))
            self.state.record_probe(name, answers(name), now_s)
        for name in self.state.list_dead(now_s):
            self.dead_s.setdefault(name, now_s)


def list_times(duration_s: float, start_s: float) -> list[float]:
    """Returns the times of a host's ticks."""
    count = round(duration_s / TICK_S)
    return [start_s + TICK_S * (i + 1) for i in range(count)]


@given("a host with {count:d} engines")
def step_host(context: Any, count: int) -> None:
    context.now_s = 100.0
    context.host = Host("10.0.0.1")
    context.engines = [f"e{i}" for i in range(count)]
    context.flaky = []


@when(
    "all engines refuse work every 0.1 s for {seconds:d} s and answer each"
    " probe"
)
def step_full(context: Any, seconds: int) -> None:
    context.began_s = context.now_s
    for i, now_s in enumerate(list_times(seconds, context.now_s)):
        for name in context.engines if i % 2 == 0 else ():
            context.host.state.record_fault(name, now_s, False)
        context.host.tick(context.engines, lambda name: True, now_s)
        context.now_s = now_s


@when("all engines die for {seconds:d} s")
def step_all_die(context: Any, seconds: int) -> None:
    context.began_s = context.now_s
    for now_s in list_times(seconds, context.now_s):
        for name in context.engines:
            context.host.state.record_fault(name, now_s)
        context.host.tick(context.engines, lambda name: False, now_s)
        context.now_s = now_s


@then("the host sends at most {most:d} probes in any second")
@then(
    "the host sends at most {most:d} probes in any second after the first"
    " {first:d}"
)
def step_bounded(context: Any, most: int, first: int = 0) -> None:
    times = [t for t, _ in context.host.sent if t > context.began_s + first]
    assert times
    for begin_s in times:
        found = sum(begin_s <= t < begin_s + 0.99 for t in times)
        assert found <= most, (begin_s, found)


@when("connections to {count:d} engines break, which then answer no probe")
def step_some_die(context: Any, count: int) -> None:
    context.dying = context.engines[:count]
    context.began_s = context.now_s
    for name in context.dying:
        context.host.state.record_fault(name, context.now_s)
    for now_s in list_times(2.0, context.now_s):
        for name in context.engines[count:]:
            context.host.state.record_fault(name, now_s, False)
        context.host.tick(
            context.engines, lambda name: name not in context.dying, now_s
        )


@then("each of the {count:d} counts as dead within {seconds:g} s")
def step_all_dead(context: Any, count: int, seconds: float) -> None:
    found = context.host.dead_s
    assert len(found) == count, found
    assert max(found.values()) - context.began_s <= seconds, found


@given("{count:d} hosts that find one engine dead")
def step_hosts(context: Any, count: int) -> None:
    context.rng = random.Random(5)
    context.now_s = 100.0
    context.hosts = [Host(f"10.0.0.{i}") for i in range(count)]
    context.is_alive = False
    context.cut_off = []
    for host in context.hosts:
        host.state.record_fault(ENGINE, context.now_s)


def run_hosts(context: Any, seconds: float) -> None:
    """Has the hosts probe, and exchange peer updates by turns."""
    for i, now_s in enumerate(list_times(seconds, context.now_s)):
        context.now_s = now_s
        for number, host in enumerate(context.hosts):
            is_answered = context.is_alive and host not in context.cut_off
            host.tick([ENGINE], lambda name, ok=is_answered: ok, now_s)
            if (i + number) % 5:
                continue
            suspects = host.state.list_suspects(now_s)
            for other in context.hosts:
                if other is not host and context.rng.random() >= 0.05:
                    other.schedule.apply_peer_suspects(
                        host.name, suspects, now_s
                    )


@when(
    "they exchange peer updates every 0.25 s for {seconds:d} s, 1 in 20 of"
    " them lost"
)
def step_exchange(context: Any, seconds: int) -> None:
    run_hosts(context, seconds)


def list_probing(context: Any, seconds: float) -> list[Host]:
    """Returns the hosts that probed lately."""
    since_s = context.now_s - seconds
    return [h for h in context.hosts if h.sent and h.sent[-1][0] > since_s]


@then("at most {most:d} of the hosts have probed it in the last {seconds:d} s")
def step_shared(context: Any, most: int, seconds: int) -> None:
    probing_hosts = list_probing(context, seconds)
    assert 0 < len(probing_hosts) <= most, len(probing_hosts)


@when("the hosts that probed it in the last {seconds:d} s are lost")
def step_lost(context: Any, seconds: int) -> None:
    lost = list_probing(context, seconds)
    assert lost
    context.hosts = [h for h in context.hosts if h not in lost]
    assert context.hosts


@when("the engine answers again")
def step_answers(context: Any) -> None:
    context.is_alive = True


@when(
    "the engine answers all but the hosts that probed it in the last"
    " {seconds:d} s"
)
def step_answers_others(context: Any, seconds: int) -> None:
    context.cut_off = list_probing(context, seconds)
    context.is_alive = True


@then("all hosts use it within {seconds:g} s")
@then("the other hosts use it within {seconds:g} s")
def step_all_use(context: Any, seconds: float) -> None:
    run_hosts(context, seconds)
    late = [h for h in context.hosts if h.state.is_down(ENGINE)]
    assert all(h in context.cut_off for h in late), [h.name for h in late]


@when("all engines answer again")
def step_all_answer(context: Any) -> None:
    context.began_s = context.now_s


@when(
    "{count:d} plain replicas lose a connection every 0.1 s and answer each"
    " probe"
)
def step_flaky(context: Any, count: int) -> None:
    context.flaky = [f"s{i}" for i in range(count)]


@then("the host uses all engines within {seconds:g} s")
def step_uses_all(context: Any, seconds: float) -> None:
    listed = context.engines + context.flaky
    for i, now_s in enumerate(list_times(seconds, context.began_s)):
        for name in context.flaky if i % 2 == 0 else ():
            context.host.state.record_fault(name, now_s)
        context.host.tick(listed, lambda name: True, now_s)
    down = [i for i in context.engines if context.host.state.is_down(i)]
    assert not down, len(down)
