"""Fuzzing of the shared retry budget: loads change, hosts restart, are cut off.

The oracle is that of `tests.admission.sharing`: no window has more retries than
are allowed for the requests in it or shortly before.
"""

from __future__ import annotations

import random
from typing import Final

from hypothesis import stateful
from hypothesis import strategies as st

from tests.admission import sharing

SIZES: Final = (2, 3, 4)
HOSTS: Final = sum(SIZES)
ALLOWANCE: Final = 45.0

# How long hosts are up before a history begins.
WARMUP_S: Final = 16.0

HOST = st.integers(0, HOSTS - 1)


class Machine(stateful.RuleBasedStateMachine):
    """Hosts that share a budget."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = sharing.Fleet(SIZES, ALLOWANCE, random.Random(5))
        self.advance(int(WARMUP_S / sharing.UPDATE_INTERVAL_S), 0)

    def advance(self, rounds: int, requests: int) -> None:
        """Has each host send its updates and requests in each round."""
        for _ in range(rounds):
            self.fleet.send_updates()
            for host in self.fleet.hosts:
                for _ in range(requests):
                    self.fleet.send_request(host)
            self.fleet.now_s += sharing.UPDATE_INTERVAL_S

    def teardown(self) -> None:
        """Checks all windows of the history."""
        worst = self.fleet.find_worst_window()
        assert worst.use <= 1.0, worst


class SharingMachine(Machine):
    """Hosts that send all retries they may, under random failures."""

    @stateful.rule(rounds=st.integers(1, 16), requests=st.integers(0, 2))
    def work(self, rounds: int, requests: int) -> None:
        """Requests arrive and none fails."""
        self.advance(rounds, requests)

    @stateful.rule(
        hosts=st.sets(HOST, min_size=1),
        rounds=st.integers(1, 8),
        max_retries=st.sampled_from([1, 5, 40]),
    )
    def send_retries(
        self, hosts: set[int], rounds: int, max_retries: int
    ) -> None:
        """Some hosts send all retries they may for a while."""
        for _ in range(rounds):
            for i in sorted(hosts):
                self.fleet.send_retries(self.fleet.hosts[i], max_retries)
            self.advance(1, 1)

    @stateful.rule(hosts=st.sets(HOST, min_size=1))
    def restart(self, hosts: set[int]) -> None:
        """Some hosts restart."""
        self.fleet.restart(self.fleet.hosts[i] for i in sorted(hosts))

    @stateful.rule(hosts=st.sets(HOST, min_size=1), are_paused=st.booleans())
    def pause(self, hosts: set[int], are_paused: bool) -> None:
        """Some hosts pause, or go on."""
        for i in sorted(hosts):
            self.fleet.hosts[i].is_paused = are_paused

    @stateful.rule()
    def restart_all(self) -> None:
        """All hosts restart at the same time."""
        self.fleet.restart(self.fleet.hosts)

    @stateful.rule(
        data_centres=st.sets(st.sampled_from(["dc-0", "dc-1", "dc-2"]))
    )
    def partition(self, data_centres: set[str]) -> None:
        """These data centres are cut off, and the others reconnect."""
        self.fleet.partitioned = data_centres

    @stateful.rule(host=HOST, is_cut_off=st.booleans())
    def isolate_host(self, host: int, is_cut_off: bool) -> None:
        """A host is cut off from all others, or reconnects."""
        self.fleet.hosts[host].is_cut_off = is_cut_off

    @stateful.rule(delay_s=st.sampled_from([0.0, 0.0, 0.4, 1.5, 4.0]))
    def set_read_delay(self, delay_s: float) -> None:
        """Upstreams read retries so much later from now on."""
        self.fleet.read_delay_s = delay_s

    @stateful.rule(loss_rate=st.sampled_from([0.0, 0.05, 0.4]))
    def set_loss_rate(self, loss_rate: float) -> None:
        """This fraction of updates is lost from now on."""
        self.fleet.loss_rate = loss_rate


class LoadMachine(Machine):
    """Hosts that send all retries they may while loads change."""

    @stateful.rule(
        rounds=st.sampled_from([2, 20, 60]),
        requests=st.sampled_from([0, 1, 5, 20]),
        max_retries=st.sampled_from([0, 5, 40]),
    )
    def serve(self, rounds: int, requests: int, max_retries: int) -> None:
        """All hosts get so many requests, and send all retries they may."""
        for _ in range(rounds):
            for host in self.fleet.hosts:
                self.fleet.send_retries(host, max_retries)
            self.advance(1, requests)

    @stateful.rule(host=HOST)
    def add(self, host: int) -> None:
        """A host is added beside another one."""
        beside = self.fleet.hosts[host]
        ip = f"10.9.0.{len(self.fleet.hosts)}"
        self.fleet.add(ip, beside.data_centre)

    @stateful.rule(host=HOST)
    def restart(self, host: int) -> None:
        """A host restarts."""
        self.fleet.restart([self.fleet.hosts[host]])
