"""Steps on requests that end the engines which begin to run them."""

from __future__ import annotations

import random
import time
from typing import Any

import urllib3
from behave import given, then, when

from tests import sites, stage
from tests.routing import crashes


@given("{count:d} hosts in three data centres")
def step_hosts(context: Any, count: int) -> None:
    context.world = crashes.World(random.Random(7))
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
    "a request that ends engines comes every {every_s:g} s at any host for"
    " {seconds:g} s"
)
def step_often(context: Any, every_s: float, seconds: float) -> None:
    send_often(context, every_s, seconds)


@then(
    "it reached engines at most {most:d} times more than {after_s:g} s after"
    " the third end"
)
def step_bounded(context: Any, most: int, after_s: float) -> None:
    world = context.world
    assert after_s == crashes.CONTACT_S
    assert len(world.ended_s) >= 1
    late = world.count_late()
    assert late <= most, (late, len(world.ended_s))


# With the programs themselves.

BODY = b'{"prompt": "%s"}'


@given("a store, four engines, two plain replicas and three hosts")
def step_site(context: Any) -> None:
    context.play = sites.start_site(3)


@given('engines that end as they begin to run a request that holds "{text}"')
def step_fatal(context: Any, text: str) -> None:
    context.body = BODY % text.encode()
    context.held = text
    # Ids under which it was sent, and engines that ended.
    context.ids = []
    context.ended = 0
    set_crash(context, list_engines(context))


def list_engines(context: Any) -> list[str]:
    """Returns the names of the engines that are listed."""
    return [n for n in context.play.entries if n.startswith("e")]


def set_crash(context: Any, names: list[str]) -> None:
    """Has engines end at the request."""
    for name in names:
        fault = {"crash_on": context.held}
        context.play.stage.call("POST", name, "/faults", fault)


def count_reached(context: Any) -> int:
    """Returns how often the request reached an engine, which then ended."""
    ran = {f"ran {i}" for i in context.ids}
    processes = list(context.play.stage.processes.values())
    return sum(line in ran for p in processes for line in list(p.lines))


def list_ended(context: Any) -> list[str]:
    """Returns the engines on the list that have ended."""
    processes = context.play.stage.processes
    names = list_engines(context)
    return [n for n in names if processes[n].popen.poll() is not None]


def send_fatal(context: Any) -> None:
    """Sends the request to the next host, and replaces engines that ended."""
    site = context.play
    host = site.hosts[len(context.ids) % len(site.hosts)]
    sites.wait_serving(site, host)
    context.ids.append(f"fatal-{len(context.ids)}")
    fields = {"Attempt-Id": context.ids[-1]}
    try:
        site.post("/notes/x", "key-1", host, context.body, fields).read()
    except urllib3.exceptions.HTTPError:
        # Cut in the middle, as a caller may be.
        pass
    stage.wait_until(
        lambda: (
            context.ended + len(list_ended(context)) >= count_reached(context)
        ),
        what="engines that were reached have ended",
    )
    for name in list_ended(context):
        context.ended += 1
        site.leave(name)
        new = f"ec{context.ended}"
        site.start_upstream(new)
        set_crash(context, [new])


@when("such a request comes to the hosts in turn until three engines ended")
def step_until_three(context: Any) -> None:
    while context.ended < 3:
        assert len(context.ids) < 12, context.ended
        send_fatal(context)


@when("it comes {times:d} times more, after {after_s:g} s")
def step_again(context: Any, times: int, after_s: float) -> None:
    time.sleep(after_s)
    context.before = context.ended
    for _ in range(times):
        send_fatal(context)


@then("at most {most:d} more engines ended")
def step_few_ended(context: Any, most: int) -> None:
    more = context.ended - context.before
    assert more <= most, (context.before, more)


@then("each host answers other streams")
def step_others(context: Any) -> None:
    for host in context.play.hosts:
        assert sites.can_stream(context.play, host), host
