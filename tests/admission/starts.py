"""Fuzzing of the shared retry budget: hosts that start again and are cut off.

The oracle is the one of `tests.admission.sharing`: no window has more repeats
than are allowed for the requests in it or shortly before.
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

# Hosts are up so long before a history begins.
WARMUP_S: Final = 16.0

HOST = st.integers(0, HOSTS - 1)


class SharingMachine(stateful.RuleBasedStateMachine):
    """Hosts that repeat what they may while anything befalls them."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = sharing.Fleet(SIZES, ALLOWANCE, random.Random(5))
        self.advance(int(WARMUP_S / sharing.UPDATE_INTERVAL_S), 0)

    def advance(self, rounds: int, requests: int) -> None:
        """Has news go round, and each host send requests in each round."""
        for _ in range(rounds):
            self.fleet.send_updates()
            for host in self.fleet.hosts:
                for _ in range(requests):
                    self.fleet.send_request(host)
            self.fleet.now_s += sharing.UPDATE_INTERVAL_S

    @stateful.rule(rounds=st.integers(1, 16), requests=st.integers(0, 2))
    def work(self, rounds: int, requests: int) -> None:
        """Requests come and none fails."""
        self.advance(rounds, requests)

    @stateful.rule(
        hosts=st.sets(HOST, min_size=1),
        rounds=st.integers(1, 8),
        wanted=st.sampled_from([1, 5, 40]),
    )
    def send_retries(
        self, hosts: set[int], rounds: int, max_retries: int
    ) -> None:
        """Some hosts repeat what they may for a while."""
        for _ in range(rounds):
            for i in sorted(hosts):
                self.fleet.send_retries(self.fleet.hosts[i], max_retries)
            self.advance(1, 1)

    @stateful.rule(hosts=st.sets(HOST, min_size=1))
    def restart(self, hosts: set[int]) -> None:
        """Some hosts start again."""
        self.fleet.restart(self.fleet.hosts[i] for i in sorted(hosts))

    @stateful.rule()
    def restart_all(self) -> None:
        """All hosts start again in the same moment."""
        self.fleet.restart(self.fleet.hosts)

    @stateful.rule(places=st.sets(st.sampled_from(["dc-0", "dc-1", "dc-2"])))
    def partition(self, data_centres: set[str]) -> None:
        """Data centres are cut off, and others heal."""
        self.fleet.partitioned = data_centres

    @stateful.rule(host=HOST, is_cut_off=st.booleans())
    def isolate_host(self, host: int, is_cut_off: bool) -> None:
        """A host is cut off from all others, or hears them again."""
        self.fleet.hosts[host].is_cut_off = is_cut_off

    @stateful.rule(lost=st.sampled_from([0.0, 0.05, 0.4]))
    def set_loss_rate(self, loss_rate: float) -> None:
        """News get lost."""
        self.fleet.loss_rate = loss_rate

    def teardown(self) -> None:
        """Checks all windows of the history."""
        worst = self.fleet.find_worst_window()
        assert worst[0] <= 1.0, worst
