"""Steps on hosts that are cut off from all upstreams."""

from __future__ import annotations

import collections
import time
from collections.abc import Collection
from typing import Any, Final

import attrs
import urllib3
from behave import given, then, when

from tests import sites, soak, stage, streams

# Time after the begin or end of a partition from which requests count, in s.
CONTACT_S: Final = 3.0

# First tries that may fail: so many, and one in so many of all.
FAILED_ALLOWED: Final = 10
FAILED_SHARE: Final = 50

# Tries for each second in which the network is whole again, and how long.
AFTERWARDS_S: Final = 3.0

# Time between two questions whether a host is ready, in s.
READY_PERIOD_S: Final = 0.1

# Time for which the site runs before the partition, in s.
BEFORE_S: Final = 1.0


@attrs.frozen
class Try:
    """A request that its caller sent once."""

    id: str
    path: str
    host: str
    sent_s: float
    # 0 if the answer was not complete.
    status: int
    is_whole: bool
    took_s: float


@attrs.define
class Load:
    """Callers that send requests at a fixed rate to each host."""

    site: sites.Site
    # Seconds between two requests of one host.
    period_s: float
    tries: list[Try] = attrs.Factory(list)
    threads: stage.CallerThreads = attrs.Factory(stage.CallerThreads)
    # When the first host was asked whether it is ready, and whether it was.
    readiness: list[tuple[float, bool]] = attrs.Factory(list)
    # When the partition began and ended.
    began_s: float = 0.0
    ended_s: float = 0.0

    def start(self) -> None:
        """Starts a thread for each host."""
        for ip in self.site.hosts:
            self.threads.start(self._send_to, ip)

    def close(self) -> None:
        """Stops to send and waits for the answers."""
        self.threads.close()

    def _send_to(self, ip: str) -> None:
        count = 0
        next_s = time.monotonic()
        while not self.threads.stopped.wait(
            max(0.0, next_s - time.monotonic())
        ):
            next_s += self.period_s
            path = soak.PATHS[count % len(soak.PATHS)]
            self.threads.start(self._try, f"try-{ip}-{count}", path, ip)
            count += 1

    def _try(self, request_id: str, path: str, ip: str) -> None:
        sent_s = time.monotonic()
        status, is_whole = 0, False
        try:
            res = self.site.ask(path, "key-1", ip, **{"Attempt-Id": request_id})
            body = res.read()
            status = res.status
            is_whole = path != soak.PATHS[0] or b"id: 5" in body
        except (urllib3.exceptions.HTTPError, OSError):
            # A failed try, as it is recorded.
            pass
        took_s = time.monotonic() - sent_s
        self.tries.append(
            Try(request_id, path, ip, sent_s, status, is_whole, took_s)
        )

    def watch_readiness(self, end_s: float) -> None:
        """Records until a time when the first host is ready."""
        while (now_s := time.monotonic()) < end_s:
            is_ready = sites.is_ready(self.site, self.site.hosts[0])
            self.readiness.append((now_s, is_ready))
            time.sleep(READY_PERIOD_S)


@given("a site of {count:d} host, with {rate:d} requests a second for each")
@given("a site of {count:d} hosts, with {rate:d} requests a second for each")
def step_site(context: Any, count: int, rate: int) -> None:
    start_load(context, sites.start_site(count), rate)


@given(
    "a site of {count:d} hosts, the last {far:d} of them in another data"
    " centre, with {rate:d} requests a second for each"
)
def step_far_site(context: Any, count: int, far: int, rate: int) -> None:
    start_load(context, sites.start_site(count, ["pg-hall"] * far), rate)


def start_load(context: Any, site: sites.Site, rate: int) -> None:
    """Starts callers that send to each host of a site."""
    context.play = site
    context.load = Load(site, 1.0 / rate)
    context.load.start()
    time.sleep(BEFORE_S)


@when(
    "hosts {one:d} and {other:d} are cut off from all upstreams for"
    " {seconds:d} s: {how}"
)
def step_cut(
    context: Any, one: int, other: int, seconds: int, how: str
) -> None:
    site = context.play
    cut = context.cut = {site.hosts[one - 1], site.hosts[other - 1]}
    cut_off(context, cut, seconds, how)


@when("host 1 is cut off from all upstreams for {seconds:d} s: {how}")
def step_cut_one(context: Any, seconds: int, how: str) -> None:
    cut_off(context, {context.play.hosts[0]}, seconds, how)


def cut_off(context: Any, cut: Collection[str], seconds: int, how: str) -> None:
    """Cuts hosts off for a time, and waits until the load has ended."""
    site, load = context.play, context.load
    load.began_s = time.monotonic()
    for ip in cut:
        site.partition(ip, how)
    load.watch_readiness(load.began_s + seconds)
    load.ended_s = time.monotonic()
    for ip in cut:
        site.partition(ip, "")
    time.sleep(CONTACT_S + AFTERWARDS_S)
    load.close()


def check_served(
    context: Any, hosts: Collection[str], from_s: float, to_s: float
) -> None:
    """Checks the first tries that were sent to hosts within a time."""
    tries = [
        t
        for t in context.load.tries
        if t.host in hosts and from_s <= t.sent_s < to_s
    ]
    assert tries, "no request was sent"
    failed = [t for t in tries if t.status != 200 or not t.is_whole]
    kinds = collections.Counter((t.host, t.path, t.status) for t in failed)
    allowed = FAILED_ALLOWED + len(tries) // FAILED_SHARE
    assert len(failed) <= allowed, (
        f"{len(failed)} of {len(tries)}: {kinds},"
        f" {list_reasons(context.play, failed, from_s)}"
    )


def list_reasons(
    site: sites.Site, failed: Collection[Try], from_s: float
) -> list[tuple[float, list[tuple[str, str]]]]:
    """Returns when failed tries were sent, and how their hosts ended them."""
    return [
        (round(t.sent_s - from_s, 2), streams.find_ends(site, t.id))
        for t in failed
    ]


@then(
    "first tries at hosts {one:d} and {other:d} are served from {delay:d} s"
    " after the cut began"
)
def step_cut_served(context: Any, one: int, other: int, delay: int) -> None:
    hosts = {context.play.hosts[one - 1], context.play.hosts[other - 1]}
    load = context.load
    check_served(context, hosts, load.began_s + delay, load.ended_s)


@then("first tries at the other hosts are served throughout")
def step_others_served(context: Any) -> None:
    others = set(context.play.hosts) - context.cut
    load = context.load
    check_served(context, others, load.began_s, load.ended_s)


@then("first tries at all hosts are served from {delay:d} s after its end")
def step_served_again(context: Any, delay: int) -> None:
    end_s = context.load.ended_s + delay
    check_served(context, set(context.play.hosts), end_s, end_s + AFTERWARDS_S)


@then(
    "first tries at host 1 from {delay:d} s after the cut began are refused"
    " within {bound_s:g} s"
)
def step_refused(context: Any, delay: int, bound_s: float) -> None:
    load = context.load
    tries = [
        t
        for t in load.tries
        if load.began_s + delay <= t.sent_s < load.ended_s - bound_s
    ]
    assert len(tries) > 10, len(tries)
    wrong = [t for t in tries if t.status != 503 or t.took_s > bound_s]
    allowed = FAILED_ALLOWED + len(tries) // FAILED_SHARE
    assert len(wrong) <= allowed, wrong


@then("the host was not ready from {delay:d} s after the cut began")
def step_not_ready(context: Any, delay: int) -> None:
    load = context.load
    seen = [r for t, r in load.readiness if t >= load.began_s + delay]
    assert seen and not any(seen), seen


@then("no request that must not be repeated ran twice")
def step_ran_once(context: Any) -> None:
    runs = collections.Counter(
        r["Attempt-Id"]
        for r in context.play.get_runs()
        if r["target"] == soak.NON_IDEMPOTENT_PATH
    )
    twice = [i for i, n in runs.items() if n > 1]
    assert not twice, twice
