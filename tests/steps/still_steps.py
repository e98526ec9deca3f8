"""Steps on configurations while some hosts stand still."""

from __future__ import annotations

import time
from typing import Any, Final

from behave import given, then, when

from tests import sites
from tests.steps import turned_away_steps

# Hosts that stand still, by their order: the first of two data centres, which
# are their readers, and another one.
STILL: Final = (0, 3, 5)

# Times after a version is confirmed at which the hosts stand still and at which
# the next one is written, in seconds.
STOP_AFTER_S: Final = 0.3
NEXT_AFTER_S: Final = 0.6

# How long they stand still, and the time until the next round, in seconds.
STILL_S: Final = 4.0
REST_S: Final = 4.0


@given("8 hosts of three data centres")
def step_site(context: Any) -> None:
    context.play = sites.start_site(8, turned_away_steps.ZONES)
    context.answers = []


@when(
    "{rounds:d} times a version is written, 3 hosts with two readers stand"
    " still, and another version follows"
)
def step_rounds(context: Any, rounds: int) -> None:
    site = context.play
    still = [site.hosts[i] for i in STILL]
    running = [ip for ip in site.hosts if ip not in still]
    for number in range(rounds):
        version = turned_away_steps.FIRST_VERSION + 2 * number
        began_s = turned_away_steps.write_version(site, version)
        sleep_until(began_s + STOP_AFTER_S)
        for ip in still:
            site.stage.processes[ip].pause()
        sleep_until(began_s + NEXT_AFTER_S)
        acked_s = turned_away_steps.write_version(site, version + 1)
        turned_away_steps.ask_all(context, running, version + 1, acked_s)
        sleep_until(began_s + STILL_S)
        for ip in still:
            site.stage.processes[ip].resume()
        time.sleep(REST_S)


def sleep_until(at_s: float) -> None:
    """Sleeps until a monotonic time."""
    time.sleep(max(0.0, at_s - time.monotonic()))


@then(
    "each running host serves each route {after_s:g} s after the store has"
    " confirmed it"
)
def step_served(context: Any, after_s: float) -> None:
    turned_away_steps.check_served(context.answers, after_s)
