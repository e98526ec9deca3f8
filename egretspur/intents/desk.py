"""Operator commands of a control daemon: intents, plans, confirmations.

Each change is appended to the log as a record and read back; the answer says
what the record changed. If the read-back fails, the answer is "outcome
unknown" with the record's id, since the append may have taken effect.
"""

from __future__ import annotations

import time
import uuid
from collections.abc import Callable
from typing import Final

import attrs

from egretspur import errors
from egretspur.clients import hosts as hostlist
from egretspur.clients import log as logs
from egretspur.clients import weights
from egretspur.intents import actor as configs
from egretspur.intents import records
from egretspur.intents import state as states
from egretspur.placement import planner

# How long an append is retried before the operator is answered "outcome
# unknown".
APPEND_TIMEOUT_S: Final = 4.0

# How long to wait until an appended record is read back.
READ_BACK_TIMEOUT_S: Final = 4.0


@attrs.frozen
class NewIntent:
    """An operator's request for an intent, as sent by the command line."""

    by: str
    workspace: str
    model: str
    version: str
    data_centres: tuple[str, ...]
    priority: int
    replicas: int
    adapter: str = ""
    limit: int = 0
    racks: int = 1


@attrs.frozen
class Step:
    """One change of a plan, as shown to an operator."""

    order: int
    data_centre: str
    what: str


@attrs.frozen
class PlanView:
    """A plan as shown to an operator."""

    id: str
    intent: str
    workspace: str
    model: str
    status: str
    reason: str
    planned_by: str
    confirmed_by: str
    base_offset: int
    confirmed_offset: int
    active_offset: int
    # Data centres that have not reported the plan as loaded.
    pending: tuple[str, ...]
    steps: tuple[Step, ...]
    findings: records.Findings


@attrs.frozen
class IntentView:
    """An intent as shown to an operator."""

    id: str
    by: str
    at_ms: int
    intent: records.Intent
    plans: tuple[PlanView, ...]


@attrs.frozen
class Dependencies:
    """Clients and callbacks that the commands use."""

    config: configs.Config
    log: logs.LogClient
    weight_store: weights.WeightsClient
    # Returns the hosts of a data centre, or a refusal.
    get_hosts: Callable[[str], list[hostlist.Host] | errors.Refusal]
    # Reads the log to its head without waiting.
    read_now: Callable[[], None]


class OperatorCommands:
    """Runs operators' commands on one control daemon."""

    def __init__(self, name: str, deps: Dependencies) -> None:
        self._name = name
        self._deps = deps

    def create_intent(self, new: NewIntent) -> PlanView | errors.Refusal:
        """Records an intent and returns its plan."""
        problem = validate_intent(new)
        if problem:
            return errors.Refusal(errors.ErrorKind.BAD_REQUEST, problem)
        record_id = _make_id("r")
        intent = records.Intent(
            _make_id("i"),
            new.workspace,
            new.model,
            new.adapter,
            new.version,
            new.data_centres,
            new.priority,
            new.replicas,
            new.limit,
            new.racks,
        )
        record = records.IntentCreated(record_id, new.by, _get_ms(), intent)
        written = self._write(record)
        if isinstance(written, errors.Refusal):
            return written
        return self.make_plan(intent.id, new.by)

    def make_plan(self, intent_id: str, by: str) -> PlanView | errors.Refusal:
        """Makes and records a plan for an intent."""
        snapshot = self._deps.config.read(copy_for_planning)
        intent_state = snapshot.intents.get(intent_id)
        if intent_state is None:
            return errors.Refusal(
                errors.ErrorKind.NOT_FOUND, f"intent {intent_id}"
            )
        inputs = self._collect_planner_inputs(snapshot, intent_state.intent)
        if isinstance(inputs, errors.Refusal):
            return inputs
        plan_id = _make_id("p")
        draft = planner.make_plan(inputs, plan_id)
        record = records.PlanMade(
            _make_id("r"),
            f"{self._name} for {by}",
            _get_ms(),
            plan_id,
            intent_id,
            snapshot.offset,
            draft.reads,
            draft.writes,
            draft.deployments,
            draft.binding,
            draft.findings,
        )
        written = self._write(record)
        if isinstance(written, errors.Refusal):
            return written
        return self.get_plan(plan_id)

    def confirm(self, plan_id: str, by: str) -> PlanView | errors.Refusal:
        """Confirms a plan; the fold decides whether it takes effect."""
        before = self._check_status(plan_id, {states.PlanStatus.PROPOSED})
        if before is not None:
            return before
        record_id = _make_id("r")
        record = records.PlanConfirmed(record_id, by, _get_ms(), plan_id)
        written = self._write(record)
        if isinstance(written, errors.Refusal):
            return written
        view = self.get_plan(plan_id)
        if isinstance(view, errors.Refusal):
            return view
        if view.status == states.PlanStatus.CONFLICT.value:
            return errors.Refusal(errors.ErrorKind.CONFLICT, view.reason)
        if view.confirmed_offset != written:
            return errors.Refusal(
                errors.ErrorKind.CONFLICT,
                f"plan {plan_id} was {view.status} before this confirmation"
                f" (by {view.confirmed_by or 'nobody'})",
            )
        return view

    def reject(self, plan_id: str, by: str) -> PlanView | errors.Refusal:
        """Rejects a plan, or withdraws it while it is being prepared."""
        allowed = {states.PlanStatus.PROPOSED, states.PlanStatus.PREPARING}
        before = self._check_status(plan_id, allowed)
        if before is not None:
            return before
        record = records.PlanRejected(_make_id("r"), by, _get_ms(), plan_id)
        written = self._write(record)
        if isinstance(written, errors.Refusal):
            return written
        view = self.get_plan(plan_id)
        if isinstance(view, PlanView) and (
            view.status != states.PlanStatus.REJECTED.value
        ):
            return errors.Refusal(
                errors.ErrorKind.CONFLICT,
                f"plan {plan_id} was {view.status} before this rejection",
            )
        return view

    def get_plan(self, plan_id: str) -> PlanView | errors.Refusal:
        """Returns a plan."""
        view = self._deps.config.read(lambda s: view_plan(s, plan_id))
        if view is None:
            return errors.Refusal(
                errors.ErrorKind.NOT_FOUND,
                f"plan {plan_id}; see `egretspur intent list`",
            )
        return view

    def get_intents(self) -> list[IntentView]:
        """Returns all intents, oldest first."""
        return self._deps.config.read(view_intents)

    def get_record(self, record_id: str) -> int:
        """Returns the offset of a recent record; 0 if it is not found."""
        self._deps.read_now()
        return self._deps.config.read(lambda s: s.ids.get(record_id, 0))

    def _check_status(
        self, plan_id: str, allowed: set[states.PlanStatus]
    ) -> errors.Refusal | None:
        view = self.get_plan(plan_id)
        if isinstance(view, errors.Refusal):
            return view
        if view.status not in {s.value for s in allowed}:
            return errors.Refusal(
                errors.ErrorKind.WRONG_STATE,
                f"plan {plan_id} is {view.status}"
                + (f": {view.reason}" if view.reason else ""),
            )
        return None

    def _write(self, record: records.Record) -> int | errors.Refusal:
        """Appends a record and waits until it is read back.

        Returns:
            The offset at which it was first folded, or "outcome unknown".
        """
        value = records.CODEC.encode(record)
        res = logs.append_with_retries(
            lambda: self._deps.log.append(records.STREAM, [value]),
            APPEND_TIMEOUT_S,
        )
        end = time.monotonic() + READ_BACK_TIMEOUT_S
        if isinstance(res, errors.Refusal):
            # No append was acknowledged, but one may have taken effect; the
            # log is read a little longer to find out.
            end = time.monotonic() + 0.5
        while True:
            self._deps.read_now()
            offset = self._deps.config.read(lambda s: s.ids.get(record.id))
            if offset is not None:
                return offset
            if time.monotonic() >= end:
                break
            time.sleep(0.05)
        reason = (
            res.reason
            if isinstance(res, errors.Refusal)
            else "record not read back"
        )
        return errors.Refusal(
            errors.ErrorKind.OUTCOME_UNKNOWN,
            f"log: {reason}",
            ask_for=record.id,
        )

    def _collect_planner_inputs(
        self, state: states.State, intent: records.Intent
    ) -> planner.Inputs | errors.Refusal:
        found_spec = self._deps.weight_store.read(intent.model)
        spec: weights.ModelSpec | None = None
        if not isinstance(found_spec, errors.Refusal):
            spec = found_spec
        elif found_spec.kind is not errors.ErrorKind.NOT_FOUND:
            return found_spec
        hosts: list[hostlist.Host] = []
        for data_centre in intent.data_centres:
            found = self._deps.get_hosts(data_centre)
            if isinstance(found, errors.Refusal):
                return found
            hosts.extend(found)
        return planner.Inputs(state, intent, spec, tuple(hosts))


def validate_intent(new: NewIntent) -> str:
    """Returns why a request is invalid, or an empty string."""
    for name in ("by", "workspace", "model", "version"):
        if not getattr(new, name):
            return f"{name}: expected a name, got an empty string"
    for name in ("workspace", "model"):
        if "/" in getattr(new, name):
            return f"{name}: expected a name without '/'"
    if not new.data_centres:
        return "data_centres: expected at least one"
    for name in ("priority", "replicas", "limit", "racks"):
        if getattr(new, name) < 0:
            return f"{name}: expected at least 0"
    return ""


def copy_for_planning(state: states.State) -> states.State:
    """Returns a shallow copy that another thread may read."""
    return states.State(
        offset=state.offset,
        intents=dict(state.intents),
        deployments=dict(state.deployments),
        bindings=dict(state.bindings),
    )


def view_plan(state: states.State, plan_id: str) -> PlanView | None:
    """Returns a plan as shown to an operator."""
    plan = state.plans.get(plan_id)
    if plan is None:
        return None
    made = plan.plan
    return PlanView(
        plan_id,
        made.intent_id,
        made.binding.workspace,
        made.binding.model,
        plan.status.value,
        plan.reason,
        made.by,
        plan.confirmed_by,
        made.base_offset,
        plan.confirmed_offset,
        plan.active_offset,
        plan.pending,
        tuple(list_steps(state, made)),
        made.findings,
    )


def view_intents(state: states.State) -> list[IntentView]:
    """Returns all intents, oldest first."""
    views = []
    for item in sorted(state.intents.values(), key=lambda i: i.offset):
        plans = [view_plan(state, p) for p in item.plans]
        views.append(
            IntentView(
                item.intent.id,
                item.by,
                item.at_ms,
                item.intent,
                tuple(p for p in plans if p is not None),
            )
        )
    return views


def list_steps(state: states.State, made: records.PlanMade) -> list[Step]:
    """Returns the steps of a plan in order: load, switch, unload."""
    steps = []
    for deployment in made.deployments:
        weights_name = _describe_weights(deployment)
        for chain in deployment.chains:
            for stage in chain.stages:
                steps.append(
                    Step(
                        1,
                        deployment.data_centre,
                        f"load layers {stage.first} to {stage.last - 1} of"
                        f" {weights_name} on {stage.upstream}",
                    )
                )
    binding = made.binding
    for data_centre in sorted(
        {n.partition(".")[2] for n in binding.deployments}
    ):
        steps.append(
            Step(
                2,
                data_centre,
                f"switch workspace {binding.workspace} to"
                f" {len(binding.deployments)} deployment(s)",
            )
        )
    key = records.binding_key(binding.workspace, binding.model)
    old = state.bindings.get(key)
    for name in old.deployments if old else ():
        deployment_or_none = state.deployments.get(name)
        if name in binding.deployments or deployment_or_none is None:
            continue
        if state.uses.get(name, 0) <= 1:
            steps.append(
                Step(
                    3,
                    deployment_or_none.data_centre,
                    f"unload deployment {name} once its requests are done",
                )
            )
    return steps


def _describe_weights(deployment: records.Deployment) -> str:
    name = f"{deployment.model} {deployment.version}"
    return f"{name} with {deployment.adapter}" if deployment.adapter else name


def _make_id(prefix: str) -> str:
    return f"{prefix}-{uuid.uuid4().hex[:12]}"


def _get_ms() -> int:
    return time.time_ns() // 1_000_000
