"""The fold: how each record changes the state.

Pure and deterministic: the same records in the same order give the same state
in every process, so no consensus protocol is needed. An ignored record (a
repeat, a lost race, an outdated lease) advances only the state's offset, and
the outcome holds the reason.
"""

from __future__ import annotations

import functools
from collections.abc import Iterable
from typing import Protocol

import attrs

from egretspur.intents import records
from egretspur.intents import state as states


@attrs.frozen
class Applied:
    """The record took effect."""


@attrs.frozen
class Ignored:
    """The record took no effect."""

    reason: str


class _AuthoredRecord(Protocol):
    """A record with its author and time."""

    @property
    def by(self) -> str:
        """Operator or host that wrote the record."""

    @property
    def at_ms(self) -> int:
        """Wall time of the writer, for display only."""


Outcome = Applied | Ignored
_APPLIED = Applied()


def apply(state: states.State, entry: records.Entry) -> Outcome:
    """Folds one record into the state.

    Args:
        state: Changed in place.
        entry: The record; entries at or below the state's offset are ignored,
            so a late or repeated read can't revert the state.
    """
    if entry.offset <= state.offset:
        return Ignored("already folded")
    state.offset = entry.offset
    record = entry.record
    if record.id in state.ids:
        # A writer that got no answer to its append sends the record again, so
        # the log may hold it twice. Applying both would, for example, take a
        # lease twice.
        return Ignored(f"repeat of the record at {state.ids[record.id]}")
    _remember_id(state, record.id, entry.offset)
    if not isinstance(record, records.LeaseTaken):
        state.news_offset = entry.offset
    return _apply_record(record, state, entry.offset)


def apply_all(state: states.State, entries: Iterable[records.Entry]) -> None:
    """Folds records in order."""
    for entry in entries:
        apply(state, entry)


@functools.singledispatch
def _apply_record(record: object, state: states.State, offset: int) -> Outcome:
    return Ignored(f"no rule for {type(record).__name__}")


@_apply_record.register
def _(
    record: records.IntentCreated, state: states.State, offset: int
) -> Outcome:
    intent = record.intent
    if intent.id in state.intents:
        return Ignored(f"intent {intent.id} exists")
    state.intents[intent.id] = states.IntentState(
        intent, record.by, record.at_ms, offset
    )
    _add_history(state, offset, record, "asked", intent.id)
    return _APPLIED


@_apply_record.register
def _(record: records.PlanMade, state: states.State, offset: int) -> Outcome:
    owner = state.intents.get(record.intent_id)
    if owner is None:
        return Ignored(f"no intent {record.intent_id}")
    if record.plan_id in state.plans:
        return Ignored(f"plan {record.plan_id} exists")
    state.plans[record.plan_id] = states.PlanState(record, offset)
    owner.plans += (record.plan_id,)
    _add_history(
        state, offset, record, "planned", record.intent_id, record.plan_id
    )
    return _APPLIED


@_apply_record.register
def _(
    record: records.PlanConfirmed, state: states.State, offset: int
) -> Outcome:
    plan = state.plans.get(record.plan_id)
    if plan is None:
        return Ignored(f"no plan {record.plan_id}")
    if plan.status is not states.PlanStatus.PROPOSED:
        return Ignored(f"plan {record.plan_id} is {plan.status.value}")
    conflict = find_conflict(state, plan.plan)
    if conflict:
        _end_plan(state, plan, states.PlanStatus.CONFLICT, conflict)
        _add_plan_history(state, offset, record, "conflict", plan, conflict)
        return Ignored(conflict)
    made = plan.plan
    _record_changes(state, made.writes, offset, made.intent_id)
    for deployment in made.deployments:
        state.deployments[deployment.id] = deployment
    for name in made.binding.deployments:
        state.uses[name] = state.uses.get(name, 0) + 1
    plan.status = states.PlanStatus.PREPARING
    plan.confirmed_by = record.by
    plan.confirmed_offset = offset
    plan.pending = _find_pending(state, made)
    _add_plan_history(state, offset, record, "confirmed", plan)
    if not plan.pending:
        _activate(state, plan, offset, record)
    return _APPLIED


@_apply_record.register
def _(
    record: records.PlanRejected, state: states.State, offset: int
) -> Outcome:
    plan = state.plans.get(record.plan_id)
    if plan is None:
        return Ignored(f"no plan {record.plan_id}")
    if plan.status not in (
        states.PlanStatus.PROPOSED,
        states.PlanStatus.PREPARING,
    ):
        return Ignored(f"plan {record.plan_id} is {plan.status.value}")
    if plan.status is states.PlanStatus.PREPARING:
        made = plan.plan
        _record_changes(state, made.writes, offset, made.intent_id)
        _release_deployments(state, made, offset)
    _end_plan(
        state, plan, states.PlanStatus.REJECTED, f"rejected by {record.by}"
    )
    _add_plan_history(state, offset, record, "rejected", plan)
    return _APPLIED


@_apply_record.register
def _(record: records.Prepared, state: states.State, offset: int) -> Outcome:
    plan = state.plans.get(record.plan_id)
    if plan is None or plan.status is not states.PlanStatus.PREPARING:
        return Ignored(f"plan {record.plan_id} is not being prepared")
    if not _is_current_lease(state, record.data_centre, record.fence):
        return Ignored(f"lease {record.fence} is not the latest")
    if record.data_centre not in plan.pending:
        return Ignored(f"{record.data_centre} is prepared")
    plan.pending = tuple(d for d in plan.pending if d != record.data_centre)
    _add_plan_history(state, offset, record, "loaded", plan, record.data_centre)
    if not plan.pending:
        _activate(state, plan, offset, record)
    return _APPLIED


@_apply_record.register
def _(record: records.Repaired, state: states.State, offset: int) -> Outcome:
    deployment = state.deployments.get(record.deployment_id)
    if deployment is None:
        return Ignored(f"no deployment {record.deployment_id}")
    if not _is_current_lease(state, record.data_centre, record.fence):
        return Ignored(f"lease {record.fence} is not the latest")
    if not any(
        s.upstream == record.dead for c in deployment.chains for s in c.stages
    ):
        return Ignored(f"{record.dead} is in no chain")
    state.deployments[deployment.id] = replace_upstream(
        deployment, record.dead, record.spare
    )
    state.routing_offset = offset
    # A repair changes the two upstreams, so a plan that read either of them is
    # refused at its confirmation and can't load layers on both.
    keys = [records.upstream_key(n) for n in (record.dead, record.spare)]
    _record_changes(state, keys, offset, f"repair of {record.deployment_id}")
    _add_history(
        state,
        offset,
        record,
        "repaired",
        detail=f"{record.deployment_id}: {record.dead} -> {record.spare}",
    )
    return _APPLIED


@_apply_record.register
def _(record: records.LeaseTaken, state: states.State, offset: int) -> Outcome:
    current = state.leases.get(record.data_centre)
    latest = current.offset if current else 0
    if record.expects != latest:
        # Two daemons requested the lease at once, or an append arrived late.
        # Only the first record that expects the latest lease takes effect; the
        # other daemon reads this and waits.
        return Ignored(f"lease {latest} is the latest")
    state.leases[record.data_centre] = states.Lease(
        offset, record.holder, record.duration_s
    )
    return _APPLIED


@_apply_record.register
def _(
    record: records.CheckpointPart, state: states.State, offset: int
) -> Outcome:
    if record.base_offset <= state.checkpoint:
        return Ignored("older than the last checkpoint")
    key = f"{record.base_offset}/{record.digest}"
    seen = set(state.parts_seen.get(key, ()))
    seen.add(record.part)
    if len(seen) < record.parts:
        state.parts_seen[key] = tuple(sorted(seen))
        return _APPLIED
    state.checkpoint = record.base_offset
    state.parts_seen = {
        k: v
        for k, v in state.parts_seen.items()
        if int(k.partition("/")[0]) > record.base_offset
    }
    return _APPLIED


def find_conflict(state: states.State, plan: records.PlanMade) -> str:
    """Returns why a plan can't be confirmed, or an empty string."""
    if plan.base_offset < state.changes_floor:
        return f"the plan was made at {plan.base_offset}, too long ago"
    if plan.binding.deployments == () and plan.findings.unmet:
        return "the plan serves nothing: " + "; ".join(plan.findings.unmet)
    for key in plan.reads:
        change = state.changes.get(key)
        if change is not None and change.offset > plan.base_offset:
            return (
                f"{key} was changed at offset {change.offset} by intent"
                f" {change.intent_id}; the plan was made at"
                f" {plan.base_offset}"
            )
    return ""


def replace_upstream(
    deployment: records.Deployment, dead: str, spare: str
) -> records.Deployment:
    """Returns the deployment with one upstream replaced."""
    return attrs.evolve(
        deployment,
        chains=tuple(
            attrs.evolve(
                chain,
                stages=tuple(
                    attrs.evolve(s, upstream=spare) if s.upstream == dead else s
                    for s in chain.stages
                ),
            )
            for chain in deployment.chains
        ),
    )


def _activate(
    state: states.State,
    plan: states.PlanState,
    offset: int,
    record: records.PlanConfirmed | records.Prepared,
) -> None:
    """Activates a plan; all routers switch to it at this offset."""
    made = plan.plan
    key = records.binding_key(made.binding.workspace, made.binding.model)
    previous = state.plans.get(state.active_plans.get(key, ""))
    if made.binding.deployments:
        state.bindings[key] = made.binding
    else:
        state.bindings.pop(key, None)
    state.active_plans[key] = made.plan_id
    state.routing_offset = offset
    plan.status = states.PlanStatus.ACTIVE
    plan.active_offset = offset
    # The keys are needed only for the confirmation. Kept in each of thousands
    # of plans, they would be half of this process's state.
    plan.plan = attrs.evolve(made, reads=(), writes=())
    if previous is not None and previous is not plan:
        _end_plan(
            state,
            previous,
            states.PlanStatus.SUPERSEDED,
            f"replaced by plan {made.plan_id}",
        )
        _release_deployments(state, previous.plan, offset)
    _add_plan_history(state, offset, record, "in force", plan)


def _find_pending(
    state: states.State, made: records.PlanMade
) -> tuple[str, ...]:
    """Returns the data centres whose loads a plan must wait for.

    These include data centres where another plan is still loading a deployment
    that this plan shares: its engines would get requests before their layers.
    """
    pending = {d.data_centre for d in made.deployments}
    for name in made.binding.deployments:
        owner = state.plans.get(name.partition(".")[0])
        deployment = state.deployments.get(name)
        if owner is None or deployment is None:
            continue
        if deployment.data_centre in owner.pending:
            pending.add(deployment.data_centre)
    return tuple(sorted(pending))


def _release_deployments(
    state: states.State, made: records.PlanMade, offset: int
) -> None:
    """Removes the deployments that no confirmed plan uses any more."""
    for name in made.binding.deployments:
        state.uses[name] -= 1
        if state.uses[name]:
            continue
        del state.uses[name]
        removed = state.deployments.pop(name, None)
        if removed is not None:
            key = records.deployments_key(removed, removed.data_centre)
            _record_changes(state, [key], offset, made.intent_id)


def _record_changes(
    state: states.State, keys: Iterable[str], offset: int, intent_id: str
) -> None:
    for key in sorted(keys):
        state.changes.pop(key, None)
        state.changes[key] = states.Change(offset, intent_id)
    while len(state.changes) > states.CHANGED_KEYS_MAX:
        oldest = next(iter(state.changes))
        state.changes_floor = state.changes.pop(oldest).offset


def _end_plan(
    state: states.State,
    plan: states.PlanState,
    status: states.PlanStatus,
    reason: str,
) -> None:
    plan.status = status
    plan.reason = reason
    plan.pending = ()
    state.ended.append(plan.plan.plan_id)
    if len(state.ended) > states.ENDED_PLANS_MAX:
        _delete_plan(state, state.ended.pop(0))


def _delete_plan(state: states.State, plan_id: str) -> None:
    plan = state.plans.pop(plan_id, None)
    if plan is None:
        return
    owner = state.intents.get(plan.plan.intent_id)
    if owner is None:
        return
    owner.plans = tuple(p for p in owner.plans if p != plan_id)
    if not owner.plans:
        del state.intents[plan.plan.intent_id]


def _is_current_lease(
    state: states.State, data_centre: str, fence: int
) -> bool:
    lease = state.leases.get(data_centre)
    return lease is not None and lease.offset == fence


def _remember_id(state: states.State, record_id: str, offset: int) -> None:
    state.ids[record_id] = offset
    if len(state.ids) > states.RECORD_IDS_MAX:
        del state.ids[next(iter(state.ids))]


def _add_plan_history(
    state: states.State,
    offset: int,
    record: _AuthoredRecord,
    what: str,
    plan: states.PlanState,
    detail: str = "",
) -> None:
    _add_history(
        state,
        offset,
        record,
        what,
        plan.plan.intent_id,
        plan.plan.plan_id,
        detail,
    )


def _add_history(
    state: states.State,
    offset: int,
    record: _AuthoredRecord,
    what: str,
    intent_id: str = "",
    plan_id: str = "",
    detail: str = "",
) -> None:
    state.history.append(
        states.HistoryEntry(
            offset, record.at_ms, record.by, what, intent_id, plan_id, detail
        )
    )
    if len(state.history) > states.HISTORY_MAX:
        del state.history[: len(state.history) - states.HISTORY_MAX]
