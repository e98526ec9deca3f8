"""Fuzzing of the order lease against an oracle.

The oracle's rules: of two orders by different holders, the later one is sent
after the longest time that the earlier one is in flight; a process paused past
its lease sends nothing; an engine that checks fencing numbers never follows an
older holder; one that doesn't check ends with the wanted holdings.
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
    """A control daemon with its own clock.

    It is paused while the machine draws no rule for it.
    """

    lease: leases.LeaseState
    # Offset of its clock from real time.
    skew_s: float
    state: states.State = attrs.Factory(states.State)


@attrs.frozen
class Sent:
    """An order in flight."""

    fence: int
    sent_s: float
    by: str


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Daemons that compete for the lease of one data centre."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.entries: list[records.Entry] = []
        # Appends in flight to the log; they arrive in any order.
        self.appends: list[records.LeaseTaken] = []
        self.daemons = [self._make_daemon(i, 0) for i in range(3)]
        self.sent: list[Sent] = []
        self.numbers = 0

    @stateful.rule(who=PROCESS)
    def look(self, who: int) -> None:
        """A daemon reads the lease and requests it if it is free."""
        daemon = self.daemons[who]
        self._observe(daemon)
        now = self._get_clock(daemon)
        decision = leases.decide(daemon.lease, OPTS, now)
        if isinstance(decision, leases.Acquire):
            self.numbers += 1
            record = leases.make_record(
                daemon.lease, OPTS, decision, f"l{self.numbers}", 0, now
            )
            self.appends.append(record)

    @stateful.rule(data=st.data(), lost=st.booleans())
    def arrive(self, data: Any, lost: bool) -> None:
        """An append reaches the log, possibly very late, or is lost."""
        if not self.appends:
            return
        index = data.draw(st.integers(0, len(self.appends) - 1))
        record = self.appends.pop(index)
        if not lost:
            entry = records.Entry(len(self.entries) + 1, record)
            self.entries.append(entry)

    @stateful.rule(who=PROCESS, count=st.integers(1, 5))
    def read(self, who: int, count: int) -> None:
        """A daemon reads the log, possibly not to its head."""
        daemon = self.daemons[who]
        at = daemon.state.offset
        fold.apply_all(daemon.state, self.entries[at : at + count])

    @stateful.rule(who=PROCESS, count=st.integers(1, 3))
    def act(self, who: int, count: int) -> None:
        """A daemon runs some rounds: reads, updates its lease, sends."""
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
        """A daemon sends an order if the lease permits it."""
        daemon = self.daemons[who]
        fence = leases.get_send_fence(
            daemon.lease, OPTS, self._get_clock(daemon)
        )
        if fence:
            self.sent.append(Sent(fence, self.now, daemon.lease.own_id))

    @stateful.rule(who=PROCESS)
    def send_at_the_last(self, who: int) -> None:
        """A holder that was paused sends at the last permitted moment."""
        daemon = self.daemons[who]
        end = daemon.lease.held_until_s - daemon.skew_s
        if daemon.lease.held_offset and end > self.now:
            self.now = max(self.now, end - OPTS.margin_s - 0.01)
            self.send(who)

    @stateful.rule(who=PROCESS)
    def take_at_the_first(self, who: int) -> None:
        """A daemon takes the lease at the first permitted moment."""
        daemon = self.daemons[who]
        self.read(who, 50)
        self._observe(daemon)
        wait_s = OPTS.duration_s + OPTS.margin_s + OPTS.flight_s
        free_at = daemon.lease.observed.first_seen_s + wait_s - daemon.skew_s
        # Attempts before the lease is free must not take it.
        for moment in (free_at - 2.5, free_at - 1.5, free_at):
            self.now = max(self.now, moment)
            self.act(who, 1)

    @stateful.rule(first=PROCESS, second=PROCESS, late_s=st.floats(0, 5.5))
    def hand_over(self, first: int, second: int, late_s: float) -> None:
        """One requests the lease, reads it back late; another takes over."""
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
        """The oldest append in flight reaches the log."""
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
        """Checks consecutive orders of different holders."""
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
