"""Steps on the retry budget of hosts that start again."""

from __future__ import annotations

import functools
import itertools
import math
import random
import re
from collections.abc import Callable, Sequence
from typing import Any, Final

import attrs
import hypothesis
from behave import given, then, when

from egretspur.admission import counts
from tests import fuzz
from tests.admission import sharing, starts

# Hosts are up so long before requests come.
LEAD_S: Final = 16.0

# Upstreams fail from then on, and until the end.
FAILING_S: Final = 12.0
END_S: Final = 46.0

# Requests of a host in a second, and repeats it wants beyond what it may send.
RATE: Final = 2.6
WANTED: Final = 12

# As the users' sheet has it for 61 hosts.
ALLOWANCE: Final = 306.0 / 61

# A host that is stopped in turn starts so long after the one before it.
TURN_S: Final = 0.25

HISTORIES: Final = 120 if fuzz.IS_LONG else 12


@attrs.define
class Play:
    """A fleet, and what is to happen to it when."""

    fleet: sharing.Fleet
    # How many times as often as usual callers send.
    load: float = 1.0
    due: list[tuple[float, Callable[[], None]]] = attrs.Factory(list)

    def plan(self, at_s: float, act: Callable[[], None]) -> None:
        """Has something happen at a time."""
        self.due.append((at_s, act))

    def run(self) -> None:
        """Plays it to the end."""
        fleet = self.fleet
        fleet.now_s = -LEAD_S
        while fleet.now_s < END_S:
            for at_s, act in list(self.due):
                if at_s <= fleet.now_s:
                    act()
                    self.due.remove((at_s, act))
            fleet.send_updates()
            if fleet.now_s >= 0:
                self._serve()
            fleet.now_s += sharing.UPDATE_INTERVAL_S

    def _serve(self) -> None:
        fleet = self.fleet
        for host in fleet.rng.sample(fleet.hosts, len(fleet.hosts)):
            expected = RATE * self.load * sharing.UPDATE_INTERVAL_S
            count = int(expected) + (fleet.rng.random() < expected % 1)
            for _ in range(count):
                fleet.send_request(host)
            if fleet.now_s >= FAILING_S:
                fleet.send_retries(host, WANTED)


@given("{count:d} hosts in 3 data centres, and upstreams that fail")
def step_hosts(context: Any, count: int) -> None:
    rng = random.Random(11)
    sizes = (count // 3 - 1, count // 3, count - 2 * (count // 3) + 1)
    fleet = sharing.Fleet(sizes, ALLOWANCE * count, rng)
    fleet.loss_rate = 0.02
    context.starts = Play(fleet)


@when("{hosts} restart at {when}")
def step_start_again(context: Any, hosts: str, when: str) -> None:
    play = context.starts
    fleet = play.fleet
    for at_s in map(float, re.findall(r"\d+", when)):
        if hosts == "all hosts in turn":
            for i, host in enumerate(fleet.hosts):
                play.plan(at_s + i * TURN_S, make_start(fleet, [host]))
        else:
            play.plan(at_s, make_start(fleet, pick(fleet, hosts)))


def make_start(
    fleet: sharing.Fleet, hosts: Sequence[sharing.Host]
) -> Callable[[], None]:
    """Returns an act by which hosts start again."""
    return lambda: fleet.restart(hosts)


def pick(fleet: sharing.Fleet, hosts: str) -> list[sharing.Host]:
    """Returns the hosts that a step names."""
    places = {
        "the hosts of one data centre": {"dc-1"},
        "the hosts of two data centres": {"dc-0", "dc-1"},
    }
    if hosts in places:
        return [h for h in fleet.hosts if h.data_centre in places[hosts]]
    named = {
        "no hosts": [],
        "all hosts": fleet.hosts,
        "half of the hosts": fleet.hosts[::2],
        "a third of all": fleet.hosts[::3],
        "the first host of each": [
            h for h in fleet.hosts if h.ip.endswith(".0.1")
        ],
    }
    return list(named[hosts])


@when("{who} cut off from {begin:d} s to {end:d} s")
def step_cut_off(context: Any, who: str, begin: int, end: int) -> None:
    play = context.starts
    fleet = play.fleet
    if who == "a third of all are":
        lone = pick(fleet, "a third of all")

        def set_lone(is_cut_off: bool) -> None:
            for host in lone:
                host.is_cut_off = is_cut_off

        play.plan(begin, lambda: set_lone(True))
        play.plan(end, lambda: set_lone(False))
        return
    apart = {"one data centre is": {"dc-1"}}.get(who, {"dc-0", "dc-1", "dc-2"})
    play.plan(begin, lambda: fleet.partitioned.update(apart))
    play.plan(end, fleet.partitioned.clear)


@when("upstreams read retries {delay:g} s late from {begin:d} s to {end:d} s")
def step_read_late(context: Any, delay: float, begin: int, end: int) -> None:
    play = context.starts
    fleet = play.fleet
    for at_s, delay_s in ((begin, delay), (end, 0.0)):
        play.plan(at_s, functools.partial(set_read_delay, fleet, delay_s))


def set_read_delay(fleet: sharing.Fleet, delay_s: float) -> None:
    """Sets how late upstreams read retries."""
    fleet.read_delay_s = delay_s


@when("{hosts} pause for {seconds:g} s at {when}")
def step_pause(context: Any, hosts: str, seconds: float, when: str) -> None:
    play = context.starts
    for at_s in map(float, re.findall(r"\d+", when)):
        chosen = pick(play.fleet, hosts)
        play.plan(at_s, functools.partial(set_paused, chosen, True))
        play.plan(at_s + seconds, functools.partial(set_paused, chosen, False))


def set_paused(hosts: Sequence[sharing.Host], is_paused: bool) -> None:
    """Makes hosts pause, or go on."""
    for host in hosts:
        host.is_paused = is_paused


@when("{factor:d} times as many callers send from {bursts}")
def step_bursts(context: Any, factor: int, bursts: str) -> None:
    play = context.starts

    def set_load(load: float) -> None:
        play.load = load

    for begin, end in re.findall(r"(\d+) s to (\d+) s", bursts):
        play.plan(float(begin), functools.partial(set_load, float(factor)))
        play.plan(float(end), functools.partial(set_load, 1.0))


@when("a third as many hosts are added at {at:d} s")
def step_added(context: Any, at: int) -> None:
    context.starts.plan(at, lambda: add_third(context.starts.fleet))


def add_third(fleet: sharing.Fleet) -> None:
    """Adds a third as many hosts to each data centre."""
    for host in fleet.hosts[::3]:
        fleet.add(host.ip.replace(".0.", ".1."), host.data_centre)


@when("a third of the hosts are removed at {at:d} s")
def step_removed(context: Any, at: int) -> None:
    context.starts.plan(at, lambda: remove_third(context.starts.fleet))


def remove_third(fleet: sharing.Fleet) -> None:
    """Removes a third of the hosts for good."""
    del fleet.hosts[::3]


@when("a third of the hosts are moved at {at:d} s")
def step_moved(context: Any, at: int) -> None:
    fleet = context.starts.fleet

    def move() -> None:
        add_third(fleet)
        remove_third(fleet)

    context.starts.plan(at, move)


@when("requests come at random")
def step_requests(context: Any) -> None:
    rng = random.Random(5)
    context.histories = []
    for _ in range(100):
        gaps = [rng.choice((0.0, 0.0, 0.1, 0.5, 3.0)) for _ in range(80)]
        context.histories.append(list(itertools.accumulate(gaps)))


@then("those that count at worst are the fewest by which any window is judged")
def step_judged(context: Any) -> None:
    slot_s = sharing.WINDOW_S / counts.SLOTS
    for times in context.histories:
        found = counts.RequestCounts(sharing.WINDOW_S)
        for at_s in times:
            found.add(at_s)
            found.advance(at_s)
        # Windows begin with a slot.
        first = math.floor((times[-1] - sharing.WINDOW_S) / slot_s) + 1
        judged = [
            sharing.count_judged(times, (first + i) * slot_s)
            for i in range(counts.SLOTS)
        ]
        assert found.count_judged(times[-1]) == min(judged), (times, judged)


@then("no window has more retries than all hosts together may send")
def step_kept(context: Any) -> None:
    context.starts.run()
    context.worst = context.starts.fleet.find_worst_window()
    assert context.worst.use <= 1.0, context.worst


@then("the worst window has at least half of them")
def step_used(context: Any) -> None:
    assert context.worst.use >= 0.5, context.worst


@when("hosts restart, pause, are cut off and lose updates at random")
def step_fuzz(context: Any) -> None:
    context.machine = starts.SharingMachine


@when("loads change at random while upstreams fail")
def step_fuzz_loads(context: Any) -> None:
    context.machine = starts.LoadMachine


@then("no window of any history has more retries than may be sent")
def step_histories(context: Any) -> None:
    hypothesis.stateful.run_state_machine_as_test(
        context.machine,
        settings=hypothesis.settings(
            max_examples=HISTORIES,
            stateful_step_count=30,
            deadline=None,
            derandomize=True,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
