"""Fuzzes the fold, the reading of batches and checkpoints against an oracle.

The oracle: a process at offset n holds the state folded from the first n
records of the log. No process's offset decreases. Of plans that write the same
key and were made from one base, at most one is confirmed. Bindings only refer
to deployments that exist.
"""

from __future__ import annotations

from typing import Any

import attrs
from hypothesis import stateful
from hypothesis import strategies as st

from egretspur.intents import checkpoints, fold, follow, records
from egretspur.intents import state as states

UPSTREAMS = ("u1", "u2", "u3")
PROCESS = st.integers(0, 2)


@attrs.define
class Process:
    """One control daemon's state."""

    state: states.State = attrs.Factory(states.State)
    scan: follow.CheckpointScan = attrs.Factory(follow.CheckpointScan)
    next: int = 1
    cut_off: bool = False


@attrs.define
class Log:
    """Simulated log that keeps records for a limited time."""

    entries: list[records.Entry] = attrs.Factory(list)
    first: int = 1
    down: bool = False

    @property
    def head(self) -> int:
        """Offset after the newest record."""
        return len(self.entries) + 1

    def append(self, record: records.Record) -> int:
        """Appends a record; returns its offset."""
        self.entries.append(records.Entry(self.head, record))
        return self.head - 1

    def read(self, start: int, limit: int) -> follow.Batch:
        """Reads records like the log service."""
        start = max(start, self.first)
        found = tuple(self.entries[start - 1 : start - 1 + limit])
        following = found[-1].offset + 1 if found else start
        return follow.Batch(self.first, following, self.head, found)


class IntentsMachine(stateful.RuleBasedStateMachine):
    """Control daemons, one log and racing operators."""

    def __init__(self) -> None:
        super().__init__()
        self.log = Log()
        self.processes = [Process() for _ in range(3)]
        self.numbers = 0
        # State folded from all records, and its digest at each offset.
        self.truth = states.State()
        self.digests = {0: states.compute_digest(states.State())}
        # Records that were acknowledged to an operator.
        self.acknowledged: list[str] = []
        self.confirmed: list[records.PlanMade] = []

    @stateful.rule(who=PROCESS, data=st.data())
    def plan(self, who: int, data: Any) -> None:
        """An operator creates an intent; a process plans from its state."""
        state = self.processes[who].state
        intent = records.Intent(
            self._make_id("i"),
            data.draw(st.sampled_from(["w1", "w2"])),
            "m",
            "",
            "v",
            ("dc",),
            5,
            1,
        )
        self._append(records.IntentCreated(self._make_id("r"), "op", 0, intent))
        upstream = data.draw(st.sampled_from(UPSTREAMS))
        plan_id = self._make_id("p")
        deployment = records.Deployment(
            f"{plan_id}.dc",
            "m",
            "",
            "v",
            "dc",
            4,
            (records.Chain("c", (records.Stage(upstream, 0, 4),), 1.0),),
        )
        shared = data.draw(st.booleans()) and state.deployments
        writes = [records.binding_key(intent.workspace, "m")]
        made: tuple[records.Deployment, ...] = ()
        if shared:
            names = (sorted(state.deployments)[0],)
        else:
            names = (deployment.id,)
            made = (deployment,)
            writes.append(records.upstream_key(upstream))
        key = records.deployments_key(deployment, "dc")
        self._append(
            records.PlanMade(
                self._make_id("r"),
                "op",
                0,
                plan_id,
                intent.id,
                state.offset,
                (*writes, key),
                (*writes, key) if made else tuple(writes),
                made,
                records.Binding(intent.workspace, "m", names, 5, 0),
                records.Findings(0, 1, 1, 0),
            )
        )

    @stateful.rule(data=st.data(), times=st.integers(1, 2))
    def confirm(self, data: Any, times: int) -> None:
        """An operator confirms a plan; the append may be repeated."""
        plan_id = self._draw_plan(data)
        if plan_id is None:
            return
        record = records.PlanConfirmed(self._make_id("r"), "op", 0, plan_id)
        for _ in range(times):
            self._append(record)

    @stateful.rule(data=st.data())
    def reject(self, data: Any) -> None:
        """An operator rejects or withdraws a plan."""
        plan_id = self._draw_plan(data)
        if plan_id is not None:
            self._append(
                records.PlanRejected(self._make_id("r"), "op", 0, plan_id)
            )

    @stateful.rule(who=PROCESS)
    def take_lease(self, who: int) -> None:
        """A process requests the lease, based on its own state."""
        lease = self.processes[who].state.leases.get("dc")
        self._append(
            records.LeaseTaken(
                self._make_id("r"),
                f"c{who}",
                0,
                "dc",
                f"c{who}",
                5.0,
                lease.offset if lease else 0,
            )
        )

    @stateful.rule(who=PROCESS)
    def report_prepared(self, who: int) -> None:
        """A process that holds the lease by its own state reports loads."""
        state = self.processes[who].state
        lease = state.leases.get("dc")
        if lease is None or lease.holder != f"c{who}":
            return
        for plan_id, plan in state.plans.items():
            if plan.pending:
                self._append(
                    records.Prepared(
                        f"prepared-{plan_id}-{lease.offset}",
                        f"c{who}",
                        0,
                        plan_id,
                        "dc",
                        lease.offset,
                    )
                )

    @stateful.rule(who=PROCESS, limit=st.integers(1, 20))
    def read_log(self, who: int, limit: int) -> None:
        """A process reads some records from its read position."""
        process = self.processes[who]
        if not process.cut_off and not self.log.down:
            self._take(process, self.log.read(process.next, limit))

    @stateful.rule(who=PROCESS, start=st.integers(1, 10))
    def read_from_behind(self, who: int, start: int) -> None:
        """A late answer to an earlier read arrives."""
        process = self.processes[who]
        if not process.cut_off and not self.log.down:
            self._take(process, self.log.read(start, 5))

    @stateful.rule(who=PROCESS, other=PROCESS)
    def offer(self, who: int, other: int) -> None:
        """A peer, which may be stale, offers its state."""
        process = self.processes[who]
        packed = checkpoints.pack(self.processes[other].state)
        state = follow.adopt(process.state, checkpoints.unpack(packed))
        if state is not process.state:
            process.state = state
            process.next = state.offset + 1

    @stateful.rule(who=PROCESS, lost=st.booleans())
    def write_checkpoint(self, who: int, lost: bool) -> None:
        """A process writes a checkpoint; its last part may be lost."""
        state = self.processes[who].state
        if not state.offset or self.log.down:
            return
        parts = checkpoints.split(state, f"c{who}", 0)
        for part in parts[:-1] if lost else parts:
            self._append(part)

    @stateful.rule(count=st.integers(1, 30))
    def lapse(self, count: int) -> None:
        """Old records expire, but not past the last complete checkpoint."""
        checkpoint = self.truth.checkpoint
        self.log.first = max(
            self.log.first, min(self.log.first + count, checkpoint + 1)
        )

    @stateful.rule(who=PROCESS)
    def restart(self, who: int) -> None:
        """A process is replaced by one with an empty state."""
        self.processes[who] = Process()

    @stateful.rule(who=PROCESS)
    def cut_off(self, who: int) -> None:
        """Toggles whether a process reaches the log."""
        self.processes[who].cut_off = not self.processes[who].cut_off

    @stateful.rule()
    def toggle_log(self) -> None:
        """Toggles whether the log is available."""
        self.log.down = not self.log.down

    @stateful.invariant()
    def states_are_true(self) -> None:
        """Checks each process's state against the oracle at its offset."""
        for process in self.processes:
            digest = states.compute_digest(process.state)
            assert digest == self.digests[process.state.offset], process

    @stateful.invariant()
    def nothing_is_half_applied(self) -> None:
        """Checks bindings, uses and confirmed plans of the oracle."""
        state = self.truth
        for binding in state.bindings.values():
            for name in binding.deployments:
                assert name in state.deployments, (name, binding)
        used: dict[str, int] = {}
        for plan in state.plans.values():
            if plan.status in (
                states.PlanStatus.PREPARING,
                states.PlanStatus.ACTIVE,
            ):
                for name in plan.plan.binding.deployments:
                    used[name] = used.get(name, 0) + 1
        assert used == state.uses
        assert set(state.deployments) == set(used)

    @stateful.invariant()
    def racing_plans_do_not_both_win(self) -> None:
        """Checks confirmed plans that write one key from one base."""
        seen: dict[tuple[str, int], str] = {}
        for plan in self.truth.plans.values():
            if not plan.confirmed_offset:
                continue
            for key in plan.plan.writes:
                for other, offset in list(seen):
                    if other == key and (
                        plan.plan.base_offset < offset < plan.confirmed_offset
                    ):
                        raise AssertionError((key, plan))
                seen[key, plan.confirmed_offset] = plan.plan.plan_id

    def teardown(self) -> None:
        """Lets all processes read to the head and compares their states."""
        self.log.down = False
        for process in self.processes:
            process.cut_off = False
            for _ in range(100):
                if process.state.offset + 1 >= self.log.head:
                    break
                self._take(process, self.log.read(process.next, 50))
            assert process.state.offset + 1 == self.log.head
        self.states_are_true()

    def _take(self, process: Process, batch: follow.Batch) -> None:
        before = process.state.offset
        found = follow.apply_batch(process.state, batch, process.scan)
        assert found.state.offset >= before
        process.state = found.state
        process.next = found.next

    def _append(self, record: records.Record) -> None:
        if self.log.down:
            return
        # Records pass through JSON, as in the log service.
        record = records.CODEC.decode(records.CODEC.encode(record))
        offset = self.log.append(record)
        entry = records.Entry(offset, record)
        fold.apply(self.truth, entry)
        self.digests[offset] = states.compute_digest(self.truth)

    def _draw_plan(self, data: Any) -> str | None:
        plans = sorted(self.truth.plans)
        return data.draw(st.sampled_from(plans)) if plans else None

    def _make_id(self, prefix: str) -> str:
        self.numbers += 1
        return f"{prefix}{self.numbers}"
