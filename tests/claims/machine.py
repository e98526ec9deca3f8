"""Fuzzes claims against an oracle.

The oracle: of all arrivals of one id, at any hosts, at most one is sent. A
released claim is never sent. A key is only granted again to the same claim.
"""

from __future__ import annotations

from typing import Any

import attrs
from hypothesis import stateful
from hypothesis import strategies as st

from egretspur.claims import table

HOST = st.integers(0, 2)


@attrs.define
class Arrival:
    """One arrival of a call at a host."""

    claim: table.Claim
    # Host that appends and decides the claim; hosts may disagree on it.
    host: int
    sent: bool = False
    released: bool = False


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Hosts that claim a few keys in one partition."""

    def __init__(self) -> None:
        super().__init__()
        self.log: list[table.Claim | table.Release] = []
        self.hosts = [table.Partition() for _ in range(3)]
        self.arrivals: list[Arrival] = []

    @stateful.rule(host=HOST, key=st.sampled_from(["order-1", "order-2"]))
    def arrive(self, host: int, key: str) -> None:
        """A call arrives; its id may have arrived before."""
        claim = table.Claim(f"claim{len(self.arrivals)}", key, f"h{host}")
        self.arrivals.append(Arrival(claim, host))

    @stateful.rule(data=st.data(), times=st.integers(0, 2))
    def append(self, data: Any, times: int) -> None:
        """A claim is appended, twice if the answer is lost, or not at all."""
        arrival = self._draw(data)
        if arrival is not None and not arrival.released:
            self.log.extend([arrival.claim] * times)

    @stateful.rule(data=st.data(), host=HOST)
    def ask_another(self, data: Any, host: int) -> None:
        """A host with another view of the owner decides the claim."""
        arrival = self._draw(data)
        if arrival is not None:
            arrival.host = host

    @stateful.rule(host=HOST, count=st.integers(1, 5))
    def read(self, host: int, count: int) -> None:
        """A host reads some records of the partition."""
        partition = self.hosts[host]
        at = partition.offset
        for offset in range(at + 1, min(at + count, len(self.log)) + 1):
            table.fold(partition, offset, self.log[offset - 1])

    @stateful.rule(data=st.data())
    def decide(self, data: Any) -> None:
        """A host decides an arrival and sends the call if granted."""
        arrival = self._draw(data)
        if arrival is None or arrival.sent or arrival.released:
            return
        verdict = table.decide(self.hosts[arrival.host], arrival.claim)
        if isinstance(verdict, table.Granted):
            arrival.sent = True

    @stateful.rule(host=HOST, key=st.sampled_from(["order-1", "order-2"]))
    def run_through(self, host: int, key: str) -> None:
        """A call arrives, is claimed and read back, and is decided."""
        self.arrive(host, key)
        arrival = self.arrivals[-1]
        self.log.append(arrival.claim)
        self.read(host, len(self.log))
        verdict = table.decide(self.hosts[host], arrival.claim)
        if isinstance(verdict, table.Granted):
            arrival.sent = True

    @stateful.rule(data=st.data(), late=st.booleans())
    def give_up(self, data: Any, late: bool) -> None:
        """A host releases an arrival that it has not sent."""
        arrival = self._draw(data)
        if arrival is None or arrival.sent:
            return
        arrival.released = True
        claim = arrival.claim
        self.log.append(table.Release(claim.id, claim.key, claim.by))
        if late:
            self.log.append(claim)

    @stateful.rule(data=st.data())
    def repeat_late(self, data: Any) -> None:
        """An append that seemed lost takes effect later."""
        arrival = self._draw(data)
        if arrival is not None:
            self.log.append(arrival.claim)

    @stateful.rule(host=HOST)
    def replace_host(self, host: int) -> None:
        """A host is replaced; the new one has read nothing."""
        self.hosts[host] = table.Partition()
        for arrival in self.arrivals:
            if arrival.host == host and not arrival.sent:
                arrival.released = True

    @stateful.invariant()
    def runs_at_most_once(self) -> None:
        """Checks that each key was sent at most once."""
        for key in ("order-1", "order-2"):
            sent = [a for a in self.arrivals if a.sent and a.claim.key == key]
            assert len(sent) <= 1, sent

    @stateful.invariant()
    def released_keys_are_free(self) -> None:
        """Checks that no key is held by a released claim."""
        for partition in self.hosts:
            for owner in partition.owners.values():
                assert owner.claim_id not in partition.released, owner

    @stateful.invariant()
    def hosts_agree(self) -> None:
        """Checks that hosts at one offset hold the same owners."""
        for a in self.hosts:
            for b in self.hosts:
                if a.offset == b.offset:
                    assert a.owners == b.owners

    def _draw(self, data: Any) -> Arrival | None:
        if not self.arrivals:
            return None
        return data.draw(st.sampled_from(self.arrivals))  # type: ignore[no-any-return]
