"""Steps on configurations while the store turns some hosts away."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable, Sequence
from typing import Any, Final

import attrs
from behave import given, then, when

from egretspur.platform import names
from tests import sites
from tests.fakes import doors

# Version of the first configuration that a scenario writes.
FIRST_VERSION: Final = 3

# Path that the requests for a version's own route begin with.
PREFIX: Final = "/version-{}/"

# Time from a confirmed version to the requests that must go by it, and for
# which these are sent, in seconds.
APPLY_S: Final = 2.0
ASKED_S: Final = 0.4

# Longest time until a reader begins to wait for the next change, in seconds.
SILENT_WITHIN_S: Final = 10.0

# Data centres of the last five of eight hosts.
ZONES: Final = ("pg-hall", "pg-hall", "pg-hall", "cj-hall", "cj-hall")

# Time after an answer from which on answers are lost, for how long, and time
# until the next round, in seconds.
LOST_AFTER_S: Final = 0.2
LOST_S: Final = 0.3
REST_S: Final = 4.0


@attrs.frozen
class Answer:
    """The answer of a host to a request for a version's own route."""

    host: str
    version: int
    # From the store's acknowledgement to the request, in seconds.
    after_s: float
    status: int


@given("{count:d} hosts of one data centre, each with a door to the store")
def step_site(context: Any, count: int) -> None:
    context.play = sites.start_site(count, has_doors=True)
    context.answers = []


@given(
    '{count:d} hosts, the last {far:d} in "{zone}", each with a door to the'
    " store"
)
def step_zones(context: Any, count: int, far: int, zone: str) -> None:
    context.play = sites.start_site(count, [zone] * far, has_doors=True)
    context.answers = []


@when('the doors in "{zone}" are set to "{verdict}", and {wait_s:g} s pass')
def step_zone_away(
    context: Any, zone: str, verdict: str, wait_s: float
) -> None:
    site = context.play
    far = [d for ip, d in site.doors.items() if site.zones.get(ip) == zone]
    set_doors(far, verdict, wait_s)


@when(
    'the doors of all but the last are set to "{verdict}", and {wait_s:g} s'
    " pass"
)
def step_turned_away(context: Any, verdict: str, wait_s: float) -> None:
    set_doors(list(context.play.doors.values())[:-1], verdict, wait_s)


def set_doors(found: Sequence[doors.Door], verdict: str, wait_s: float) -> None:
    """Has some doors treat all calls alike, and waits."""
    for door in found:
        door.rule = lambda line: verdict
    time.sleep(wait_s)


@when(
    "{count:d} versions are written, one each {period_s:g} s, with a route of"
    " their own each"
)
def step_write(context: Any, count: int, period_s: float) -> None:
    for version in range(FIRST_VERSION, FIRST_VERSION + count):
        acked_s = write_version(context.play, version)
        ask_all(context, context.play.hosts, version, acked_s)
        time.sleep(max(0.0, acked_s + period_s - time.monotonic()))


@when(
    '{times:d} times the reader in "{zone}" gets no answer from the store, a'
    " version is written at once, and {rest_s:g} s pass"
)
def step_reader_silent(
    context: Any, times: int, zone: str, rest_s: float
) -> None:
    site = context.play
    near = [d for ip, d in site.doors.items() if site.zones.get(ip) == zone]
    for version in range(FIRST_VERSION, FIRST_VERSION + times):
        silence_reader(near)
        acked_s = write_version(site, version)
        ask_all(context, site.hosts, version, acked_s)
        for door in near:
            door.rule = doors.pass_all
        time.sleep(rest_s)


@given("8 hosts of three data centres, each with a door to the store")
def step_three(context: Any) -> None:
    context.play = sites.start_site(8, ZONES, has_doors=True)
    context.answers = []


@when(
    "{times:d} times all answers to reads that wait for configurations are lost"
    " as a version is written"
)
def step_lost(context: Any, times: int) -> None:
    site = context.play
    for number in range(times):
        version = FIRST_VERSION + 2 * number
        # After an answer all readers wait anew, at the same time.
        write_version(site, version)
        time.sleep(LOST_AFTER_S)
        for door in site.doors.values():
            door.loses = is_waiting_read
        acked_s = write_version(site, version + 1)
        time.sleep(LOST_S)
        for door in site.doors.values():
            door.loses = lambda line: False
        ask_all(context, site.hosts, version + 1, acked_s)
        time.sleep(REST_S)


def is_waiting_read(line: str) -> bool:
    """Returns whether a call waits for the next configuration."""
    is_config = f"topic={names.CONFIG_TOPIC}" in line
    return is_config and "log-read" in line and "wait_ms=0" not in line


def silence_reader(near: Sequence[doors.Door]) -> None:
    """Turns the door silent whose host begins to wait for configurations."""
    silent = queue.SimpleQueue[doors.Door]()

    def make_rule(door: doors.Door) -> Callable[[str], str]:
        def rule(line: str) -> str:
            if is_waiting_read(line):
                silent.put(door)
                return doors.SILENT
            return doors.PASS

        return rule

    for door in near:
        door.rule = make_rule(door)
    reader = silent.get(timeout=SILENT_WITHIN_S)
    for door in near:
        door.rule = doors.pass_all
    reader.rule = lambda line: doors.SILENT


@when(
    "{count:d} versions are written, one each {period_s:g} s, each as history"
    " is dropped and pages fall {behind_s:g} s behind"
)
def step_write_dropped(
    context: Any, count: int, period_s: float, behind_s: float
) -> None:
    for i, version in enumerate(range(FIRST_VERSION, FIRST_VERSION + count)):
        # The first version is written as the site starts, and each adds one.
        show_records(context, i + 1)
        write = {
            "topic": names.CONFIG_TOPIC,
            "key": names.CONFIG_KEY,
            "value": make_version(version),
        }
        context.play.stage.call("POST", "store", "/drop", write)
        acked_s = time.monotonic()
        current = threading.Timer(behind_s, show_records, (context, None))
        current.start()
        ask_all(context, context.play.hosts, version, acked_s)
        current.join()
        time.sleep(max(0.0, acked_s + period_s - time.monotonic()))


def show_records(context: Any, count: int | None) -> None:
    """Has pages show so many records of the configuration; None for all."""
    context.play.set_fault(
        "store", {"newest_records": {names.CONFIG_TOPIC: count}}
    )


def write_version(site: sites.Site, version: int) -> float:
    """Writes a version with a route of its own.

    Returns:
        The monotonic time at which the store has confirmed it.
    """
    site.write(names.CONFIG_TOPIC, names.CONFIG_KEY, make_version(version))
    return time.monotonic()


def make_version(version: int) -> dict[str, Any]:
    """Returns a configuration with a route of its own."""
    cfg = sites.make_config(["key-1"], version)
    cfg["routes"].append(
        {
            **cfg["routes"][1],
            "name": f"version {version}",
            "path_prefix": PREFIX.format(version),
        }
    )
    return cfg


def ask_all(
    context: Any, hosts: Sequence[str], version: int, acked_s: float
) -> None:
    """Asks hosts for a version's own route, from when it must be served on."""
    time.sleep(max(0.0, acked_s + APPLY_S - time.monotonic()))
    threads = [
        threading.Thread(target=ask, args=(context, ip, version, acked_s))
        for ip in hosts
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@when(
    "the door of the first refuses reads of configurations, and {wait_s:g} s"
    " pass"
)
def step_no_configurations(context: Any, wait_s: float) -> None:
    context.play.doors[context.play.hosts[0]].rule = lambda line: (
        "503" if f"topic={names.CONFIG_TOPIC}" in line else doors.PASS
    )
    time.sleep(wait_s)


def ask(context: Any, host: str, version: int, acked_s: float) -> None:
    """Asks a host for a version's own route for a while."""
    path = f"{PREFIX.format(version)}x"
    while (after_s := time.monotonic() - acked_s) < APPLY_S + ASKED_S:
        res = context.play.ask(path, "key-1", host)
        res.read()
        context.answers.append(Answer(host, version, after_s, res.status))
        time.sleep(0.05)


@then(
    "each host serves each route {after_s:g} s after the store has confirmed it"
)
def step_served(context: Any, after_s: float) -> None:
    check_served(context.answers, after_s)


def check_served(answers: Sequence[Answer], after_s: float) -> None:
    """Checks that each host that was asked serves the route of each version."""
    late = [a for a in answers if a.after_s > after_s and a.status == 404]
    assert not late, late
    served = {(a.host, a.version) for a in answers if a.status == 200}
    asked = {(a.host, a.version) for a in answers}
    assert served == asked, asked - served
