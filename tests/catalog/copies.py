"""Fuzzing of hosts that follow the store across restores.

The oracle checks that

- a host never sends requests to a start of an upstream that it knew to be
  draining or removed;
- a version never decreases at a host;
- every host has the store's list once all live servers have written again and
  the entries of the silent have lapsed, whether the host reads the store or
  receives snapshots.
"""

from __future__ import annotations

from typing import Any, Final

import attrs
from hypothesis import stateful
from hypothesis import strategies as st

from egretspur.catalog import feeds, positions, tables, upstreams
from egretspur.platform import store
from tests import fleets, listing

SERVERS: Final = 3
SERVER: Final = st.integers(1, SERVERS)

# The store refuses the last one.
HOSTS: Final = 3
HOST: Final = st.integers(0, HOSTS - 1)

KEY: Final = "version"


@attrs.define
class Server:
    """The oracle's state of a server."""

    born_ms: int = listing.BORN_MS
    is_draining: bool = False
    is_alive: bool = True


class Follower:
    """A host that follows the list and one versioned value."""

    def __init__(self, log: listing.Log, versions: listing.Log, clock: Any):
        self.listed = listing.Host(log, clock)
        self.listed.broker.configure(fleets.make_config(), clock())
        self.versions: store.Topic[int] = store.Topic(
            versions,  # type: ignore[arg-type]
            "keyed.test",
            lambda key, data: int(data),
            tables.Policy(lambda known, copied: known > copied),
            clock=clock,
        )
        self.at: positions.Position | None = None
        self.version = 0
        # Ids of the starts that were ever on its list.
        self.seen: set[str] = set()
        # Ids of those that it knew to be draining, or dead and removed.
        self.barred: set[str] = set()

    def read(self, now_s: float) -> None:
        """Reads the store."""
        self.listed.read_changes(now_s)
        res: Any = feeds.Expired()
        if self.at is not None:
            res = self.versions.read_changes(self.at, 0.0)
        if isinstance(res, feeds.Expired):
            res = self.versions.read_newest()
        self.at = res.next

    def take_from(self, other: Follower, now_s: float) -> None:
        """Applies a snapshot of another host."""
        if other.at is None:
            return
        self.listed.take_from(other.listed, now_s)
        data = other.versions.export(self.at)
        if data is not None:
            res = self.versions.read_snapshot(data)
            assert not isinstance(res, feeds.Unavailable), res
            self.at = res.next


class CopiesMachine(stateful.RuleBasedStateMachine):
    """Upstreams, an operator and hosts, with a store that loses records."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 10.0
        self.log = listing.Log()
        self.versions = listing.Log()
        self.version = 0
        self.servers = {n: Server() for n in range(1, SERVERS + 1)}
        self.hosts = [
            Follower(self.log, self.versions, lambda: self.now_s)
            for _ in range(HOSTS)
        ]
        for number in self.servers:
            self.beat(number)
        self.write_version()

    @stateful.rule(number=SERVER)
    def beat(self, number: int) -> None:
        """A server writes its entry."""
        server = self.servers[number]
        if server.is_alive:
            state = "draining" if server.is_draining else "ready"
            self.log.write(
                f"e-{number}",
                listing.make_entry(number, born=server.born_ms, state=state),
            )

    @stateful.rule(number=SERVER)
    def drain(self, number: int) -> None:
        """A server starts to drain."""
        if self.servers[number].is_alive:
            self.servers[number].is_draining = True
            self.beat(number)

    @stateful.rule(number=SERVER)
    def end(self, number: int) -> None:
        """A server ends, and its entry is removed."""
        if self.servers[number].is_alive:
            self.servers[number].is_alive = False
            self.log.write(f"e-{number}", None)

    @stateful.rule(number=SERVER)
    def restart(self, number: int) -> None:
        """A server restarts under its name."""
        born_ms = self.servers[number].born_ms + 1000
        self.servers[number] = Server(born_ms)
        self.beat(number)

    @stateful.rule()
    def write_version(self) -> None:
        """The operator writes the next version."""
        self.version += 1
        self.versions.write(KEY, self.version)

    @stateful.rule(back=st.integers(1, 6), others=st.integers(0, 2))
    def copy(self, back: int, others: int) -> None:
        """The store is restored from a copy."""
        self.log.restore(back)
        self.versions.restore(others)

    @stateful.rule(which=HOST)
    def read(self, which: int) -> None:
        """A host reads the store, unless the store refuses it."""
        if which < HOSTS - 1:
            self.hosts[which].read(self.now_s)

    @stateful.rule(giver=HOST, taker=HOST)
    def hand_over(self, giver: int, taker: int) -> None:
        """A host receives a snapshot of another one."""
        if giver != taker:
            self.hosts[taker].take_from(self.hosts[giver], self.now_s)

    @stateful.rule(seconds=st.sampled_from([0.5, 5.0]))
    def pass_time(self, seconds: float) -> None:
        """Advances the clock; if far, entries lapse and all hosts read."""
        self.now_s += seconds
        if seconds > listing.ENTRY_TTL_S:
            self._lapse()
            self._read_all()

    def _lapse(self) -> None:
        """The store removes the entries of dead servers."""
        newest = dict(self.log.records)
        for number, server in self.servers.items():
            if not server.is_alive and newest.get(f"e-{number}"):
                self.log.write(f"e-{number}", None)

    def _read_all(self) -> None:
        for host in self.hosts[:-1]:
            host.read(self.now_s)
        self.hosts[-1].take_from(self.hosts[0], self.now_s)

    @stateful.invariant()
    def check_monotonic(self) -> None:
        """Checks each host against its earlier state."""
        for host in self.hosts:
            roster = host.listed.roster
            usable = host.listed.list_usable(self.now_s)
            assert not usable & host.barred, (usable, host.barred)
            known = host.versions.table.get_value(KEY) or 0
            assert isinstance(known, int) and known >= host.version, known
            host.version = known
            host.barred |= {
                e.id for e in roster.entries.values() if e.is_draining
            }
            dead = {
                upstreams.make_start_id(f"e-{n}", s.born_ms)
                for n, s in self.servers.items()
                if not s.is_alive
            }
            host.barred |= (dead & host.seen) - set(roster.entries)
            host.seen |= set(roster.entries)

    def teardown(self) -> None:
        """Checks the lists after all have written, lapsed and read."""
        for _ in range(4):
            self.now_s += listing.ENTRY_TTL_S + 0.1
            for number in self.servers:
                self.beat(number)
            self._lapse()
            if dict(self.versions.records).get(KEY) != b"%d" % self.version:
                self.versions.write(KEY, self.version)
            self._read_all()
        wanted = {
            upstreams.make_start_id(f"e-{n}", s.born_ms)
            for n, s in self.servers.items()
            if s.is_alive and not s.is_draining
        }
        for host in self.hosts:
            found = host.listed.list_usable(self.now_s)
            assert found == wanted, (found, wanted)
            assert host.versions.table.get_value(KEY) == self.version
