"""Steps on the programs themselves, and a request that ends engines."""

from __future__ import annotations

import time
from typing import Any

import urllib3
from behave import given, then, when

from tests import sites, stage

BODY = b'{"prompt": "%s"}'


@given("a store, four engines, two plain replicas and three hosts")
def step_site(context: Any) -> None:
    context.play = sites.start_site(3)


@given('engines that crash when they start a request that contains "{text}"')
def step_fatal(context: Any, text: str) -> None:
    context.body = BODY % text.encode()
    # Ids under which it was sent, and engines that ended.
    context.ids = []
    context.ended = 0
    context.segment = ""
    context.in_chunks = False
    context.play.crash_on = text
    for name in list_engines(context):
        context.play.set_crash(name)


@given(
    "engines that crash after the head of an answer to prompts with the segment"
    ' "{segment}"'
)
def step_fatal_segment(context: Any, segment: str) -> None:
    context.play.crash_after_head = True
    step_fatal(context, segment)
    context.segment = segment


@given(
    "engines that crash after {count:d} events of an answer to prompts with the"
    ' segment "{segment}"'
)
def step_fatal_after_events(context: Any, count: int, segment: str) -> None:
    context.play.crash_events = count
    step_fatal_segment(context, segment)


@given(
    "engines that crash after {count:d} events of an answer with {end} to a"
    ' request that contains "{text}"'
)
def step_fatal_end(context: Any, count: int, end: str, text: str) -> None:
    is_unframed = {"chunks": False, "no length": True}[end]
    context.play.crash_faults = {"unframed": is_unframed, "crash_closes": True}
    context.play.crash_after_head = True
    context.play.crash_events = count
    step_fatal(context, text)


@given("answers have no length, and crashes end them without a reset")
def step_no_length(context: Any) -> None:
    context.play.crash_faults = {"unframed": True, "crash_closes": True}
    for name in list_engines(context):
        context.play.set_crash(name)


@given("bodies are sent in chunks")
def step_chunks(context: Any) -> None:
    context.in_chunks = True


def list_engines(context: Any) -> list[str]:
    """Returns the names of the engines that are listed."""
    return [n for n in context.play.entries if n.startswith("e")]


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
    if context.segment:
        context.body = BODY % context.ids[-1].encode()
        fields["Prefix-Hash"] = f"5a:40,{context.segment}:9,{len(context.ids)}"
    body = iter([context.body]) if context.in_chunks else context.body
    try:
        site.post("/notes/x", "key-1", host, body, fields).read()
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
        site.start_upstream(f"ec{context.ended}")


@when("such a request is sent to the hosts in turn until three engines crashed")
def step_until_three(context: Any) -> None:
    while context.ended < 3:
        assert len(context.ids) < 12, context.ended
        send_fatal(context)


@when("requests with it, no two alike, are sent to the hosts {times:d} times")
def step_unlike(context: Any, times: int) -> None:
    for _ in range(times):
        send_fatal(context)


@then("at most {most:d} engines crashed by then, and at least {least:d}")
def step_ended_by_then(context: Any, most: int, least: int) -> None:
    assert least <= context.ended <= most, context.ended


@when("it is sent {times:d} more times, after {after_s:g} s")
def step_again(context: Any, times: int, after_s: float) -> None:
    time.sleep(after_s)
    context.before = context.ended
    for _ in range(times):
        send_fatal(context)


@when("the store has it in quarantine")
def step_stored(context: Any) -> None:
    stage.wait_until(
        lambda: read_quarantine(context), what="it is in the store"
    )


def read_quarantine(context: Any) -> list[Any]:
    """Returns the records of requests in quarantine."""
    path = "/egretspur/log-newest?topic=keyed.quarantine&part=0"
    found: list[Any] = context.play.stage.call("GET", "store", path)["entries"]
    return found


@when("all hosts are killed and start again")
def step_kill_all(context: Any) -> None:
    site = context.play
    for ip in site.hosts:
        site.stage.processes[ip].kill()
    ips, site.hosts = site.hosts, []
    for ip in ips:
        sites.start_host(site, ip)
    for ip in ips:
        sites.wait_serving(site, ip)


@then("at most {most:d} more engines crashed")
def step_few_ended(context: Any, most: int) -> None:
    more = context.ended - context.before
    assert more <= most, (context.before, more)


@then("each host answers other streams")
def step_others(context: Any) -> None:
    for host in context.play.hosts:
        assert sites.can_stream(context.play, host), host
