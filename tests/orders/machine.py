"""Fuzzing of the order lease against an oracle.

The oracle, in a few lines: of two orders sent by different holders, the later
one's sending is after the longest flight of the earlier one; a process that
was paused past its lease sends nothing; an engine that checks numbers never
follows an older holder; one that doesn't ends with what is wanted.
"""

from __future__ import annotations

from typing import Any

import attrs
from hypothesis import stateful
from hypothesis import strategies as st

from egretspur.intents import fold, records
from egretspur.intents import state as states
from egretspur.orders import lease as leases

OPTS = leases.Options(duration_s=6.0, margin_s=1.0, flight_s=1.0)
PROCESS = st.integers(0, 2)


@attrs.define
class Daemon:
    """A control daemon with a clock of its own.

    It is paused while the machine draws nothing for it.
    """

    lease: leases.LeaseState
    # Its clock's offset from real time.
    skew_s: float
    state: states.State = attrs.Factory(states.State)


@attrs.frozen
class Sent:
    """An order on its way."""

    fence: int
    sent_s: float
    by: str


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Daemons that want the lease of one data centre."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.entries: list[records.Entry] = []
        # Appends on their way to the log: they arrive when they like.
        self.appends: list[records.LeaseTaken] = []
        self.daemons = [self._make_daemon(i, 0) for i in range(3)]
        self.sent: list[Sent] = []
        self.numbers = 0

    @stateful.rule(who=PROCESS)
    def look(self, who: int) -> None:
        """A daemon looks at the lease and asks if it may."""
        daemon = self.daemons[who]
        self._observe(daemon)
        now = self._get_clock(daemon)
        ask = leases.decide(daemon.lease, OPTS, now)
        if isinstance(ask, leases.Acquire):
            self.numbers += 1
            record = leases.make_record(
                daemon.lease, OPTS, ask, f"l{self.numbers}", 0, now
            )
            self.appends.append(record)

    @stateful.rule(data=st.data(), lost=st.booleans())
    def arrive(self, data: Any, lost: bool) -> None:
        """An append reaches the log, or is lost, perhaps very late."""
        if not self.appends:
            return
        index = data.draw(st.integers(0, len(self.appends) - 1))
        record = self.appends.pop(index)
        if not lost:
            entry = records.Entry(len(self.entries) + 1, record)
            self.entries.append(entry)

    @stateful.rule(who=PROCESS, count=st.integers(1, 5))
    def read(self, who: int, count: int) -> None:
        """A daemon reads the log, perhaps not to its head."""
        daemon = self.daemons[who]
        at = daemon.state.offset
        fold.apply_all(daemon.state, self.entries[at : at + count])

    @stateful.rule(who=PROCESS, count=st.integers(1, 3))
    def act(self, who: int, count: int) -> None:
        """A daemon works a while: reads, looks, sends."""
        for _ in range(count):
            self.read(who, 5)
            self.look(who)
            while self.appends:
                self.arrive_first()
            self.read(who, 5)
            self.look(who)
            self.send(who)
            self.now += 0.5

    @stateful.rule(who=PROCESS)
    def send(self, who: int) -> None:
        """A daemon sends an order if the last check lets it."""
        daemon = self.daemons[who]
        fence = leases.get_send_fence(
            daemon.lease, OPTS, self._get_clock(daemon)
        )
        if fence:
            self.sent.append(Sent(fence, self.now, daemon.lease.own_id))

    @stateful.rule(who=PROCESS)
    def send_at_the_last(self, who: int) -> None:
        """A holder that was paused sends in the last moment it may."""
        daemon = self.daemons[who]
        end = daemon.lease.held_until_s - daemon.skew_s
        if daemon.lease.held_offset and end > self.now:
            self.now = max(self.now, end - OPTS.margin_s - 0.01)
            self.send(who)

    @stateful.rule(who=PROCESS)
    def take_at_the_first(self, who: int) -> None:
        """A daemon takes the lease in the first moment it may."""
        daemon = self.daemons[who]
        self.read(who, 50)
        self._observe(daemon)
        wait_s = OPTS.duration_s + OPTS.margin_s + OPTS.flight_s
        free_at = daemon.lease.observed.first_seen_s + wait_s - daemon.skew_s
        # A look just before it may must not take it.
        for moment in (free_at - 2.5, free_at - 1.5, free_at):
            self.now = max(self.now, moment)
            self.act(who, 1)

    @stateful.rule(first=PROCESS, second=PROCESS, late_s=st.floats(0, 5.5))
    def hand_over(self, first: int, second: int, late_s: float) -> None:
        """One asks and reads its lease back late; another takes over."""
        if first == second:
            return
        self.read(first, 50)
        self.look(first)
        while self.appends:
            self.arrive_first()
        self.read(second, 50)
        self._observe(self.daemons[second])
        self.now += late_s
        self.read(first, 50)
        self._observe(self.daemons[first])
        self.send_at_the_last(first)
        self.take_at_the_first(second)
        self.send_at_the_last(first)

    def arrive_first(self) -> None:
        """The oldest append on its way reaches the log."""
        record = self.appends.pop(0)
        self.entries.append(records.Entry(len(self.entries) + 1, record))

    @stateful.rule(who=PROCESS)
    def restart(self, who: int) -> None:
        """A daemon is replaced."""
        self.numbers += 1
        self.daemons[who] = self._make_daemon(who, self.numbers)

    @stateful.rule(seconds=st.sampled_from([0.2, 1.0, 4.0, 9.0]))
    def pass_time(self, seconds: float) -> None:
        """Time passes for all."""
        self.now += seconds

    @stateful.invariant()
    def holders_do_not_meet(self) -> None:
        """Checks every pair of orders in a row of different holders."""
        for first, second in zip(self.sent, self.sent[1:], strict=False):
            if first.by == second.by:
                continue
            assert second.fence > first.fence, (first, second)
            gap = second.sent_s - first.sent_s
            assert gap >= OPTS.flight_s, (first, second)

    def _observe(self, daemon: Daemon) -> None:
        state = daemon.state
        leases.observe(
            daemon.lease,
            state.leases.get("dc"),
            state.ids,
            self._get_clock(daemon),
        )

    def _get_clock(self, daemon: Daemon) -> float:
        return self.now + daemon.skew_s

    def _make_daemon(self, who: int, incarnation: int) -> Daemon:
        lease = leases.LeaseState(f"c{who}/{incarnation}", "dc")
        return Daemon(lease, skew_s=1000.0 * who)
