"""Steps on the load of the links between data centres."""

from __future__ import annotations

import random
from typing import Any

import attrs
from behave import given, then, when

from egretspur.catalog import upstreams
from egretspur.routing import jobs, links, paths
from tests import fleets

LINK = ("a", "b")

# Time for which a request waits for a path.
WAIT_S = 0.35

# Interval of the model's steps.
STEP_S = 0.01


@attrs.define
class Model:
    """Hosts that start transfers on one link, which it carries in turn."""

    hosts: int
    transfer_s: float
    wanted: float = 1.0
    # Time and queue of the link at each start.
    starts: list[tuple[float, float]] = attrs.Factory(list)
    expired: int = 0

    def run(self, seconds: float) -> None:
        """Plays some seconds."""
        rng = random.Random(self.hosts)
        parts = [paths.Part(p, f"{p}:80", 0, 40, p) for p in LINK]
        views = [links.Links("a", random.Random(i)) for i in range(self.hosts)]
        for view in views:
            view.hosts = self.hosts
        spec = attrs.evolve(
            fleets.SPEC, activation_bytes=1.0, link_bytes_per_s=1.0
        )
        waiting: list[list[float]] = [[] for _ in views]
        due_s = [rng.uniform(0, 0.25) for _ in views]
        queue_s = owed = 0.0
        for step in range(int(seconds / STEP_S)):
            now_s = step * STEP_S
            queue_s = max(0.0, queue_s - STEP_S)
            owed += self.wanted * STEP_S / self.transfer_s
            while owed >= 1:
                owed -= 1
                waiting[rng.randrange(self.hosts)].append(now_s)
            for index, view in enumerate(views):
                fresh = [t for t in waiting[index] if now_s - t < WAIT_S]
                self.expired += len(waiting[index]) - len(fresh)
                waiting[index] = fresh
                while fresh and LINK not in view.list_closed(
                    spec, LINK, self.transfer_s, now_s
                ):
                    fresh.pop()
                    view.record_path(spec, parts, self.transfer_s, now_s)
                    self.starts.append((now_s, queue_s))
                    queue_s += self.transfer_s
                if now_s < due_s[index]:
                    continue
                due_s[index] += 0.25
                load = view.get_own_load(now_s)
                for peer in views if load else ():
                    if peer is not view and rng.random() > 0.05:
                        peer.apply_peer_load(str(index), "a", load, now_s)


@given("{hosts:d} hosts whose requests take {seconds:g} s of a link each")
def step_model(context: Any, hosts: int, seconds: float) -> None:
    context.model = Model(hosts, seconds)


@given("{wanted:g} times as many requests as the link carries")
def step_wanted(context: Any, wanted: float) -> None:
    context.model.wanted = wanted


@when("{seconds:d} s pass, with updates each 0.25 s and 1 in 20 of them lost")
def step_play(context: Any, seconds: int) -> None:
    context.seconds = seconds
    context.model.run(seconds)


@then("from second {first:d} on 19 of 20 transfers wait less than {most:g} s")
def step_waits(context: Any, first: int, most: float) -> None:
    context.late = [s for s in context.model.starts if s[0] >= first]
    context.late_s = context.seconds - first
    waits = sorted(w for _, w in context.late)
    assert waits[int(0.95 * len(waits))] < most, waits[-20:]


@then("the link is busy at least {least:g} of that time")
def step_busy(context: Any, least: float) -> None:
    busy = len(context.late) * context.model.transfer_s / context.late_s
    assert busy >= least, busy


@then("no request is kept off the link")
def step_none_expired(context: Any) -> None:
    assert not context.model.expired, context.model.expired


@given('a host of kl-hall before engines "{engines}"')
def step_host(context: Any, engines: str) -> None:
    spec = attrs.evolve(fleets.SPEC, activation_bytes=1e4, link_bytes_per_s=1e7)
    cfg = fleets.make_config(2)
    model = attrs.evolve(cfg.services["llm"], engine=spec)
    context.broker = fleets.make_broker([])
    context.broker.configure(
        attrs.evolve(cfg, services={**cfg.services, "llm": model})
    )
    context.now_s = 10.0
    add_engines(context, engines)


def add_engines(context: Any, text: str) -> None:
    """Adds engines written as ``kl-hall:0-40 pg-hall:40-80``."""
    roster = context.broker.fleet.roster
    for word in text.split():
        place, layers = word.split(":")
        name = f"a100-{len(roster.entries)}"
        entry = fleets.make_upstream(name, layers, place)
        upstreams.put_entry(roster, entry, context.now_s)


def report_load(context: Any, host: str, place: str, seconds: float) -> None:
    """Lets a host report transfers on the link to pg-hall."""
    context.broker.contention.links.apply_peer_load(
        host,
        place,
        {links.make_link("kl-hall", "pg-hall"): seconds},
        context.now_s,
    )


@when("another host has put {seconds:g} s of transfers on the link to pg-hall")
def step_loaded(context: Any, seconds: float) -> None:
    context.broker.contention.links.hosts = 60
    report_load(context, "10.1.0.9", "kl-hall", seconds)


@then("the host's state shows {seconds:g} s on that link")
def step_state(context: Any, seconds: float) -> None:
    state = context.broker.contention.dump(context.now_s)
    assert state["links"]["kl-hall pg-hall"]["busy"] == seconds, state


@then("of {count:d} requests in {seconds:g} s at most {most:d} find a path")
def step_few(context: Any, count: int, seconds: float, most: int) -> None:
    before = len(context.broker.tickets)
    started = 0
    for index in range(count):
        context.now_s += seconds / count
        report_load(context, "10.1.0.9", "kl-hall", 3.0)
        job = fleets.make_job(f"r{before}-{index}", now_s=context.now_s)
        effects = context.broker.arrive(job, context.now_s)
        started += any(isinstance(e, jobs.Start) for e in effects)
    assert started <= most, started


@when('engine "{engine}" is added')
def step_added(context: Any, engine: str) -> None:
    add_engines(context, engine)


@then("requests find paths within kl-hall")
def step_found(context: Any) -> None:
    job = fleets.make_job("near", now_s=context.now_s)
    effects = context.broker.arrive(job, context.now_s)
    assert any(
        isinstance(e, jobs.Start) and not links.list_crossed(e.parts)
        for e in effects
    ), effects


@when("two speakers of pg-hall in turn report {seconds:g} s on that link")
def step_speakers(context: Any, seconds: float) -> None:
    for host in ("10.2.0.1", "10.2.0.2"):
        report_load(context, host, "pg-hall", seconds)


@then("the load of that link is {seconds:g} s")
def step_load(context: Any, seconds: float) -> None:
    load = context.broker.contention.links.get_load(context.now_s)
    assert list(load.values()) == [seconds], load


@then(
    "after {seconds:d} s of looking at the idle link a host may start"
    " {most:g} s a second"
)
def step_idle(context: Any, seconds: int, most: float) -> None:
    context.view = links.Links("a", random.Random(1))
    context.view.hosts = context.model.hosts
    spec = attrs.evolve(fleets.SPEC, activation_bytes=1.0, link_bytes_per_s=1.0)
    for step in range(10 * seconds):
        context.now_s = step / 10
        context.view.list_closed(
            spec, LINK, context.model.transfer_s, context.now_s
        )
    assert context.view.get_rate(LINK) <= most, context.view.get_rate(LINK)


@when("two verdicts on its directions come together")
def step_stalled(context: Any) -> None:
    context.rate = context.view.get_rate(LINK)
    for _ in range(2):
        context.view.record_stall(LINK, context.now_s)


@then("its rate is halved once")
def step_halved(context: Any) -> None:
    assert context.view.get_rate(LINK) == context.rate / 2
