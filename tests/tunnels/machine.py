"""Fuzzing of connections through other hosts against an oracle.

Hosts lose and regain their links, upstreams die and return, and hosts connect
to upstreams. Dialers and gates are the product's own; time and network are
simulated. The oracle knows what is reachable: a dead upstream is never
connected; one that lives always is over sound links; and once nothing has
changed for a while, a host that is cut off reaches it as long as another host
does, and knows how it does.
"""

from __future__ import annotations

import http
import random
import socket
from typing import Any
from unittest import mock

from hypothesis import stateful
from hypothesis import strategies as st

from egretspur.tunnels import checks, dialer, gate, helpers, reach

HOSTS = 4
UPSTREAMS = ("10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80")
HOST = st.integers(0, HOSTS - 1)
UPSTREAM = st.sampled_from(UPSTREAMS)

# Time without a change after which all pauses are over, in seconds.
SETTLED_S = helpers.MAX_PAUSE_S + reach.REFUTED_S

# Tries after that until a host must have reached an upstream: helpers that are
# cut off learn of it by the first ones.
TRIES = 4


class SimulatedDialer(dialer.Dialer):
    """A dialer whose network and helpers are simulated."""

    def __init__(self, world: TunnelMachine, number: int) -> None:
        self.world = world
        self.number = number
        super().__init__(
            f"h{number}",
            1,
            helpers.Helpers(random.Random(number)),
            self._list_others,
        )

    def _list_others(self) -> helpers.Candidates:
        others = [f"h{i}" for i in range(HOSTS) if i != self.number]
        return helpers.Candidates(others, [])

    def connect_direct(self, address: str, timeout_s: float) -> socket.socket:
        """Connects if the links are sound and the upstream lives."""
        if not self.world.can_connect(self.number, address):
            raise ConnectionRefusedError("simulated")
        return self.world.sock

    def ask(self, host: str, address: str) -> Any:
        """Asks another host's gate, and has that host connect."""
        return self.world.ask(int(host[1:]), f"h{self.number}", address)


class TunnelMachine(stateful.RuleBasedStateMachine):
    """Hosts that reach upstreams by themselves or through others."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.changed_s = 100.0
        self.sock = mock.Mock(spec=socket.socket)
        self.is_cut = [False] * HOSTS
        self.alive = dict.fromkeys(UPSTREAMS, True)
        self.patch = mock.patch("time.monotonic", lambda: self.now_s)
        self.patch.start()
        self.dialers = [SimulatedDialer(self, i) for i in range(HOSTS)]
        self.gates = [
            gate.Gate(
                d,
                gate.Sources(
                    lambda: dict.fromkeys(UPSTREAMS, "u"),
                    lambda host: True,
                    lambda: False,
                    lambda upstream, status, fields: None,
                ),
            )
            for d in self.dialers
        ]
        self.rng = random.Random(9)

    def teardown(self) -> None:
        """Restores the clock."""
        self.patch.stop()

    def can_connect(self, host: int, address: str) -> bool:
        """Returns whether a host gets there over its own links."""
        return self.alive[address] and not self.is_cut[host]

    def ask(self, host: int, client: str, address: str) -> Any:
        """Returns a connection by a host, or why there is none."""
        status = self.gates[host].check(client, address)
        if status == http.HTTPStatus.OK:
            is_connected = self.can_connect(host, address)
            status = self.gates[host].record(address, is_connected)
        if status == http.HTTPStatus.OK:
            return self.sock
        if status == http.HTTPStatus.BAD_GATEWAY:
            return dialer.NoTunnel.UPSTREAM_DOWN
        return dialer.NoTunnel.REFUSED

    @stateful.rule(host=HOST)
    def cut(self, host: int) -> None:
        """A host loses its links or has them back."""
        self.is_cut[host] = not self.is_cut[host]
        self.changed_s = self.now_s

    @stateful.rule(upstream=UPSTREAM)
    def end(self, upstream: str) -> None:
        """An upstream dies or returns."""
        self.alive[upstream] = not self.alive[upstream]
        self.changed_s = self.now_s

    @stateful.rule(seconds=st.sampled_from((0.05, 0.3, 1.1, 4.0, 10.0)))
    def wait(self, seconds: float) -> None:
        """Time goes by; links that are down are checked meanwhile."""
        self.now_s += seconds
        self.run_checks()

    @stateful.rule(host=HOST, upstream=UPSTREAM)
    def dial(self, host: int, upstream: str) -> None:
        """A host connects to an upstream."""
        self.check_dial(host, upstream)

    @stateful.rule(host=HOST, upstream=UPSTREAM)
    def settle(self, host: int, upstream: str) -> None:
        """A host connects again and again once nothing changes any more."""
        self.now_s = max(self.now_s, self.changed_s + SETTLED_S + 0.1)
        reached: list[bool] = []
        for _ in range(TRIES):
            if reached and any(self.alive.values()) and not any(self.is_cut):
                # No host may take dead upstreams for lost links.
                state = self.dialers[host].get_state()
                assert state is not reach.ReachState.CUT_OFF, state
            reached.append(self.check_dial(host, upstream))
            self.run_checks()
            self.now_s += reach.REFUTED_S + 0.1
        can_help = not all(self.is_cut)
        assert reached[-1] == (self.alive[upstream] and can_help), reached
        if any(self.alive.values()) and not self.is_cut[host]:
            self.run_checks()
            self.check_dial(host, upstream)
            if self.alive[upstream]:
                state = self.dialers[host].get_state()
                assert state is reach.ReachState.SOUND, state

    def check_dial(self, host: int, upstream: str) -> bool:
        """Connects; returns whether it did, and checks that it may."""
        try:
            self.dialers[host].open(upstream, 0.2)
        except OSError:
            assert not self.can_connect(host, upstream)
            return False
        assert self.alive[upstream]
        assert not all(self.is_cut)
        return True

    def run_checks(self) -> None:
        """Checks links as `checks.ReachChecker` does."""
        for own in self.dialers:
            if not own.needs_checks.is_set():
                continue
            checker = checks.ReachChecker(
                own, lambda: dict.fromkeys(UPSTREAMS, "u"), self.rng
            )
            checker.check_once()
