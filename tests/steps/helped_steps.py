"""Steps on streams that other hosts pass on."""

from __future__ import annotations

import concurrent.futures
import time
from typing import Any, Final

import attrs
import urllib3
from behave import given, then, when

from tests import sites, streams

# Seconds in which the first host learns that it is cut off, and for which
# streams run before and after a host ends.
CONTACT_S: Final = 3.0
AROUND_S: Final = 2.5

# Shorter than a stream.
GRACE_S: Final = 1.0


@given(
    "a site of 3 hosts that pass on the streams of the first, without a length"
)
def step_unframed(context: Any) -> None:
    start_streams(context, True)


@given("a site of 3 hosts that pass on the streams of the first, in chunks")
def step_chunks(context: Any) -> None:
    start_streams(context, False)


def start_streams(context: Any, is_unframed: bool) -> None:
    """Starts a site, and streams at all hosts, the first of them cut off."""
    context.streams = streams.start(3, 4, 24.0, grace_s=GRACE_S)
    context.play = site = context.streams.site
    for name in streams.list_engines(site):
        site.set_fault(name, {"unframed": is_unframed})
    site.partition(site.hosts[0], "reset")
    time.sleep(CONTACT_S)


@when("host 2 is killed while streams run")
def step_killed(context: Any) -> None:
    _end(context, lambda process: process.kill())


@when("host 2 stops while streams run")
def step_stops(context: Any) -> None:
    _end(context, lambda process: process.terminate())


def _end(context: Any, end: Any) -> None:
    context.began_s = time.monotonic()
    time.sleep(AROUND_S)
    end(context.play.stage.processes[context.play.hosts[1]])
    time.sleep(AROUND_S)
    context.streams.close()


@then("no stream looks complete that is not whole")
def step_none_cut(context: Any) -> None:
    wrong = [
        (s.host, s.events)
        for s in context.streams.streams
        if s.is_complete and s.status == 200 and not s.is_whole
    ]
    assert not wrong, (len(wrong), wrong)


@then("at least 9 in 10 of the first host's are whole, {least:d} or more")
def step_whole(context: Any, least: int) -> None:
    ran = [
        s
        for s in context.streams.streams
        if s.host == context.play.hosts[0] and s.sent_s >= context.began_s
    ]
    lost = [s for s in ran if not s.is_whole]
    assert len(ran) - len(lost) >= max(least, 0.9 * len(ran)), (
        len(lost),
        len(ran),
        [
            (
                round(s.sent_s - context.began_s, 2),
                s.status,
                s.events,
                streams.find_ends(context.play, s.id),
            )
            for s in lost
        ],
    )


# Parts of a plain answer, and the time between two of them.
PARTS: Final = 50
PART_PAUSE_S: Final = 0.03

# Time between two plain requests.
PERIOD_S: Final = 0.1

PATHS: Final = ("/cards/x", "/orders/x")
WHOLE: Final = b"".join(b"part %d\n" % i for i in range(1, PARTS + 1))


@attrs.frozen
class PlainAnswer:
    """What the caller of a plain request got."""

    path: str
    status: int
    body: bytes

    @property
    def is_whole(self) -> bool:
        """Whether it got all parts."""
        return self.status == 200 and self.body == WHOLE


@given(
    "a site of 3 hosts that pass on the answers to the first, without a length"
)
def step_plain_site(context: Any) -> None:
    context.play = site = sites.start_site(3, (), grace_s=GRACE_S)
    faults = {"unframed": True, "events": PARTS, "pause_s": PART_PAUSE_S}
    for name in [n for n in site.entries if n.startswith("s")]:
        site.set_fault(name, faults)
    site.partition(site.hosts[0], "reset")
    time.sleep(CONTACT_S)


@when("host 2 is killed while requests run")
def step_plain_killed(context: Any) -> None:
    run_plain(context, lambda process: process.kill())


@when("host 2 stops while requests run")
def step_plain_stops(context: Any) -> None:
    run_plain(context, lambda process: process.terminate())


def run_plain(context: Any, end: Any) -> None:
    """Sends requests to the first host while the second one ends."""
    site = context.play
    process = site.stage.processes[site.hosts[1]]
    with concurrent.futures.ThreadPoolExecutor(64) as pool:
        futs = []
        for number in range(int(2 * AROUND_S / PERIOD_S)):
            if number == int(AROUND_S / PERIOD_S):
                end(process)
            futs.append(pool.submit(ask_plain, site, number))
            time.sleep(PERIOD_S)
        context.answers = [f.result() for f in futs]


def ask_plain(site: sites.Site, number: int) -> PlainAnswer:
    """Sends one request; its status is 0 if the answer broke off."""
    path = PATHS[number % len(PATHS)]
    fields = {"Attempt-Id": f"plain-{number}"}
    try:
        res = site.ask(path, "key-1", site.hosts[0], **fields)
        return PlainAnswer(path, res.status, res.read())
    except (urllib3.exceptions.HTTPError, OSError):
        return PlainAnswer(path, 0, b"")


@then("no answer looks complete that is not whole")
def step_no_part(context: Any) -> None:
    wrong = [
        (a.path, len(a.body))
        for a in context.answers
        if a.status == 200 and not a.is_whole
    ]
    assert not wrong, (len(wrong), len(context.answers), wrong)


@then(
    "at least 9 in 10 of those that may be repeated are whole, {least:d} or"
    " more"
)
def step_plain_whole(context: Any, least: int) -> None:
    safe = [a for a in context.answers if a.path == PATHS[0]]
    whole = [a for a in safe if a.is_whole]
    statuses = [a.status for a in safe if not a.is_whole]
    assert len(whole) >= max(least, 0.9 * len(safe)), (len(safe), statuses)
