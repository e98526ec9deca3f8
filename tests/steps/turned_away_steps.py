"""Steps on configurations while the store turns some hosts away."""

from __future__ import annotations

import threading
import time
from collections.abc import Sequence
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
        context.play.write(
            names.CONFIG_TOPIC, names.CONFIG_KEY, make_version(version)
        )
        acked_s = time.monotonic()
        ask_all(context, version, acked_s)
        time.sleep(max(0.0, acked_s + period_s - time.monotonic()))


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
        ask_all(context, version, acked_s)
        current.join()
        time.sleep(max(0.0, acked_s + period_s - time.monotonic()))


def show_records(context: Any, count: int | None) -> None:
    """Has pages show so many records of the configuration; None for all."""
    context.play.set_fault(
        "store", {"newest_records": {names.CONFIG_TOPIC: count}}
    )


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


def ask_all(context: Any, version: int, acked_s: float) -> None:
    """Asks all hosts for a version's own route, from `APPLY_S` on."""
    time.sleep(max(0.0, acked_s + APPLY_S - time.monotonic()))
    threads = [
        threading.Thread(target=ask, args=(context, ip, version, acked_s))
        for ip in context.play.hosts
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
    late = [
        a for a in context.answers if a.after_s > after_s and a.status == 404
    ]
    assert not late, late
    served = {(a.host, a.version) for a in context.answers if a.status == 200}
    asked = {(a.host, a.version) for a in context.answers}
    assert served == asked, asked - served
