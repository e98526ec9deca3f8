"""Fuzzing of the list of upstreams with malformed entries and restarts.

The oracle checks that the usable upstreams are those whose newest record is a
good entry of their newest start, and that have not drained in that start. This
holds for a host that reads every change and for one that reads the full list
from time to time. Nothing may raise.
"""

from __future__ import annotations

from typing import Any

import attrs
from hypothesis import stateful
from hypothesis import strategies as st

from tests import fleets, listing

SERVERS = 4
SERVER = st.integers(1, SERVERS)

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**40), 2**40)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=6,
)

# Fields that another writer replaces, and values that are never right.
FIELDS = st.sampled_from(
    ["service", "address", "zone", "state", "slots", "layer_count", "born"]
)
WRONG = JSON.filter(lambda v: not _is_harmless(v))


def _is_harmless(value: Any) -> bool:
    """Returns whether a value may be right for some field."""
    return (
        value is None
        or (isinstance(value, int | float) and not isinstance(value, bool))
        or (isinstance(value, str) and value != "")
    )


@attrs.define
class Server:
    """The oracle's state of a server."""

    # Unix ms of the newest start.
    born_ms: int = listing.BORN_MS
    is_draining: bool = False
    # Whether its name has a record, and whether the newest one is good.
    is_listed: bool = False
    is_good: bool = False


class EntriesMachine(stateful.RuleBasedStateMachine):
    """Servers, another writer, and two hosts that read the list."""

    def __init__(self) -> None:
        super().__init__()
        self.log = listing.Log()
        self.now_s = 10.0
        self.servers = {n: Server() for n in range(1, SERVERS + 1)}
        self.changes = listing.Host(self.log)
        self.whole = listing.Host(self.log)
        for host in (self.changes, self.whole):
            host.broker.configure(fleets.make_config(), self.now_s)

    @stateful.rule(number=SERVER)
    def beat(self, number: int) -> None:
        """A server writes its entry."""
        server = self.servers[number]
        self._write(number, server)
        server.is_listed = server.is_good = True

    @stateful.rule(number=SERVER)
    def drain(self, number: int) -> None:
        """A server starts to drain."""
        self.servers[number].is_draining = True
        self.beat(number)

    @stateful.rule(number=SERVER)
    def restart(self, number: int) -> None:
        """A server restarts under its name."""
        server = self.servers[number]
        self.servers[number] = attrs.evolve(
            server, born_ms=server.born_ms + 1000, is_draining=False
        )
        self.beat(number)

    @stateful.rule(number=SERVER)
    def beat_late(self, number: int) -> None:
        """An entry of a former start arrives after a newer one."""
        server = self.servers[number]
        former = attrs.evolve(server, born_ms=server.born_ms - 1000)
        if server.is_listed and server.is_good:
            self._write(number, former)
            self._read()
            # Otherwise a host that first reads now takes it for the newest.
            self.beat(number)

    @stateful.rule(number=SERVER)
    def remove(self, number: int) -> None:
        """A server's entry is removed."""
        self.log.write(f"e-{number}", None)
        self.servers[number].is_listed = False

    @stateful.rule(key=st.text(max_size=12), value=JSON)
    def write_anything(self, key: str, value: Any) -> None:
        """Another writer writes JSON under a key of its own."""
        self.log.write(f"x{key}", value)

    @stateful.rule(key=st.text(max_size=12), raw=st.binary(max_size=40))
    def write_bytes(self, key: str, raw: bytes) -> None:
        """Another writer writes bytes under a key of its own."""
        self.log.write(f"x{key}", raw)

    @stateful.rule(number=SERVER, field=FIELDS, value=WRONG)
    def copy_entry(self, number: int, field: str, value: Any) -> None:
        """Another writer adds a server's entry with one field wrong."""
        self.log.write(f"y{number}", self._make(number, field, value))

    @stateful.rule(number=SERVER, field=FIELDS, value=WRONG)
    def spoil_entry(self, number: int, field: str, value: Any) -> None:
        """Another writer writes under a server's own key."""
        server = self.servers[number]
        self.log.write(f"e-{number}", self._make(number, field, value))
        server.is_good = False
        server.is_listed = True

    @stateful.rule(seconds=st.sampled_from([0.5, 5.0]))
    def pass_time(self, seconds: float) -> None:
        """Advances the clock."""
        self.now_s += seconds
        self._read()

    @stateful.rule()
    def reconfigure(self) -> None:
        """Puts the same services in force again."""
        for host in (self.changes, self.whole):
            host.broker.configure(fleets.make_config(), self.now_s)

    @stateful.invariant()
    def check_usable(self) -> None:
        """Checks both hosts against the oracle."""
        self._read()
        wanted = {
            f"e-{n}@{s.born_ms:x}"
            for n, s in self.servers.items()
            if s.is_listed and s.is_good and not s.is_draining
        }
        for host in (self.changes, self.whole):
            assert host.list_usable(self.now_s) == wanted, host.roster

    def _read(self) -> None:
        self.changes.read_changes(self.now_s)
        self.whole.read_whole(self.now_s)
        for host in (self.changes, self.whole):
            host.broker.tick(self.now_s)

    def _write(self, number: int, server: Server) -> None:
        state = "draining" if server.is_draining else "ready"
        entry = listing.make_entry(number, born=server.born_ms, state=state)
        self.log.write(f"e-{number}", entry)

    def _make(self, number: int, field: str, value: Any) -> dict[str, Any]:
        server = self.servers[number]
        entry = listing.make_entry(number, born=server.born_ms)
        return {**entry, field: value}
