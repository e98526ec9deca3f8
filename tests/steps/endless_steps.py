"""Steps on upstreams that answer bytes without end."""

from __future__ import annotations

import concurrent.futures
import time
from typing import Any, Final

import attrs
import urllib3
from behave import given, then, when

from tests import fleets, sites

# Calls a second at all hosts together, and how long each may take.
CALLS_PER_S: Final = 15.0
DEADLINE_S: Final = 6.0

# Until an answer that was sent at the deadline is seen.
SLACK_S: Final = 0.5


@attrs.frozen
class Call:
    """What a caller got; no status if there was no answer."""

    status: int
    took_s: float


@given("a site of {hosts:d} hosts and {replicas:d} plain replicas")
def step_site(context: Any, hosts: int, replicas: int) -> None:
    context.play = site = sites.start_site(hosts)
    for number in range(6, 4 + replicas):
        site.start_upstream(f"s{number}")
    time.sleep(1.0)


@when(
    "{count:d} of the replicas answer {kind} without end for {seconds:d} s,"
    " each {pause:g} s"
)
def step_endless(
    context: Any, count: int, kind: str, seconds: int, pause: float
) -> None:
    site = context.play
    names = sorted(n for n in site.entries if n.startswith("s"))[:count]
    for name in names:
        site.set_fault(name, {"endless": kind, "endless_pause_s": pause})
    with concurrent.futures.ThreadPoolExecutor(200) as pool:
        futs = []
        for number in range(int(seconds * CALLS_PER_S)):
            futs.append(pool.submit(call, site, number))
            time.sleep(1.0 / CALLS_PER_S)
        context.calls = [f.result() for f in futs]


def call(site: sites.Site, number: int) -> Call:
    """Makes a call that may be repeated."""
    began_s = time.monotonic()
    fields = {
        "Attempt-Id": f"endless-{number}",
        "Deadline-Ms": str(int(DEADLINE_S * 1000)),
    }
    host = site.hosts[number % len(site.hosts)]
    try:
        res = site.ask("/cards/x", "key-1", host, **fields)
        is_whole = res.status == 200 and res.read() != b""
        status = res.status if is_whole or res.status != 200 else 0
    except (urllib3.exceptions.HTTPError, OSError):
        status = 0
    return Call(status, time.monotonic() - began_s)


@then("at least 9 in 10 of the calls that may be repeated are answered")
def step_answered(context: Any) -> None:
    calls = context.calls
    good = [c for c in calls if c.status == 200]
    others = [c for c in calls if c.status != 200]
    assert len(good) >= 0.9 * len(calls), (len(good), len(calls), others)


@then("every call has ended by its deadline")
def step_ended(context: Any) -> None:
    late = [
        c
        for c in context.calls
        if not c.status or c.took_s > DEADLINE_S + SLACK_S
    ]
    assert not late, (len(late), len(context.calls), late)


@then("no host needs more memory than it may")
def step_memory(context: Any) -> None:
    site = context.play
    peaks = {ip: sites.read_peak_kb(site, ip) for ip in site.hosts}
    print("peak memory, kB", peaks)
    assert max(peaks.values()) <= fleets.MEMORY_BYTES / 1000, peaks
