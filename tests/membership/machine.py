"""Fuzzing of the gossip between entry hosts against an oracle.

The oracle checks that an older entry never replaces a newer one; that all hosts
forget a dead host within a bounded time while they keep exchanging messages;
and that a leaving mark reaches all hosts that can exchange messages.
"""

from __future__ import annotations

from hypothesis import stateful
from hypothesis import strategies as st

from egretspur.membership import entries

HOSTS = 4
HOST = st.integers(0, HOSTS - 1)
AGES = entries.Retention(
    node_s=20.0,
    leaving_s=3600.0,
    demand_s=10.0,
    crashed_s=3600.0,
    limit_s=3600.0,
    evidence_s=600.0,
)


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Hosts that exchange entries over a network that loses and delays."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.views = [entries.View() for _ in range(HOSTS)]
        self.alive = [True] * HOSTS
        self.sequence = [0] * HOSTS
        self.incarnation = [1] * HOSTS
        self.last_heartbeat = [0.0] * HOSTS
        # Messages in transit: receiver, time sent, entries.
        self.in_transit: list[tuple[int, float, list[entries.AgedEntry]]] = []
        self.newest: dict[tuple[int, entries.Key], tuple[int, int]] = {}
        self.marks: list[entries.Key] = []

    @stateful.rule(who=HOST)
    def beat(self, who: int) -> None:
        """A live host publishes its node entry."""
        if self.alive[who]:
            self.last_heartbeat[who] = self.now
            self._publish_entry(who, entries.Kind.NODE, f"h{who}")

    @stateful.rule(who=HOST, number=st.integers(1, 3))
    def mark(self, who: int, number: int) -> None:
        """A host publishes that an upstream is leaving."""
        if self.alive[who]:
            entry = self._publish_entry(
                who, entries.Kind.LEAVING, f"u@{number}"
            )
            self.marks.append(entry.key)

    @stateful.rule(who=HOST, to=HOST, later=st.booleans())
    def send(self, who: int, to: int, later: bool) -> None:
        """A host sends its next message, which may arrive late."""
        if not self.alive[who] or who == to:
            return
        items = entries.choose(self.views[who], 6, self.now)
        self.in_transit.append((to, self.now, items))
        if not later:
            self._deliver(len(self.in_transit) - 1)

    @stateful.rule(rounds=st.integers(1, 6), step=st.integers(1, 3))
    def talk(self, rounds: int, step: int) -> None:
        """Live hosts send in turn for some rounds of two seconds."""
        for _ in range(rounds):
            for who in range(HOSTS):
                self.beat(who)
                self.send(who, (who + step) % HOSTS, later=False)
            self.pass_time(2.0)

    @stateful.rule(number=st.integers(0, 20), lost=st.booleans())
    def arrive(self, number: int, lost: bool) -> None:
        """A message in transit arrives or is lost."""
        if number < len(self.in_transit):
            if lost:
                self.in_transit.pop(number)
            else:
                self._deliver(number)

    @stateful.rule(who=HOST)
    def die(self, who: int) -> None:
        """A host dies, or a replacement starts under its name."""
        self.alive[who] = not self.alive[who]
        if self.alive[who]:
            self.incarnation[who] += 1
            self.sequence[who] = 0
            self.views[who] = entries.View()
            self.newest = {k: v for k, v in self.newest.items() if k[0] != who}

    @stateful.rule(seconds=st.sampled_from([0.5, 2.0, 6.0]))
    def pass_time(self, seconds: float) -> None:
        """Advances the time; messages take two seconds at most."""
        self.now += seconds
        for view in self.views:
            entries.drop_expired(view, AGES, self.now)
        self.in_transit = [m for m in self.in_transit if self.now - m[1] <= 2.0]

    @stateful.invariant()
    def dead_hosts_are_forgotten(self) -> None:
        """Checks that no view has a host that has been silent for long."""
        # Each late hop can make an entry younger by its time in transit, two
        # seconds at most; an entry takes only a few hops.
        limit = AGES.node_s + 2.0 * 2 * HOSTS
        for who in range(HOSTS):
            if self.now - self.last_heartbeat[who] <= limit:
                continue
            for view in self.views:
                names = [e.name for e in entries.find(view, entries.Kind.NODE)]
                assert f"h{who}" not in names

    @stateful.invariant()
    def versions_only_rise(self) -> None:
        """Checks that no host replaces a newer entry by an older one."""
        for number, view in enumerate(self.views):
            for key, known in view.known.items():
                old = self.newest.get((number, key), (0, 0))
                assert known.entry.version >= old, (key, known)
                self.newest[number, key] = known.entry.version

    def teardown(self) -> None:
        """Checks that every mark reaches all live hosts once they exchange."""
        live = [i for i in range(HOSTS) if self.alive[i]]
        holders = {
            key
            for key in self.marks
            for i in live
            if key in self.views[i].known
            and self.views[i].known[key].send_count < 3
        }
        for _ in range(entries.MAX_SENDS):
            for i in live:
                for j in live:
                    if i != j:
                        items = entries.choose(self.views[i], 6, self.now)
                        entries.merge(self.views[j], items, AGES, self.now)
        for key in holders:
            for i in live:
                assert key in self.views[i].known, key

    def _publish_entry(
        self, who: int, kind: entries.Kind, name: str
    ) -> entries.Entry:
        self.sequence[who] += 1
        entry = entries.Entry(
            kind,
            name,
            f"h{who}",
            self.incarnation[who],
            self.sequence[who],
            "",
        )
        items = [entries.AgedEntry(entry, 0.0)]
        entries.merge(self.views[who], items, AGES, self.now)
        return entry

    def _deliver(self, number: int) -> None:
        to, _, items = self.in_transit.pop(number)
        if self.alive[to]:
            entries.merge(self.views[to], items, AGES, self.now)
