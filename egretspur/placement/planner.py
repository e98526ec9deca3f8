"""Makes a plan for an intent from the state and the host list; pure.

An intent that can't be met still gets a plan; its findings say what is missing
and why. Read `egretspur.placement.grouping` and `.split` for the choice of
layer ranges.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import attrs

from egretspur.clients import hosts as hostlist
from egretspur.clients import weights
from egretspur.intents import records
from egretspur.intents import state as states
from egretspur.placement import grouping, split


@attrs.frozen
class Inputs:
    """Inputs of a plan."""

    state: states.State
    intent: records.Intent
    # None if the weight store doesn't have the model.
    spec: weights.ModelSpec | None
    hosts: tuple[hostlist.Host, ...]


@attrs.frozen
class Draft:
    """Content of a plan before it is recorded."""

    reads: tuple[str, ...]
    writes: tuple[str, ...]
    deployments: tuple[records.Deployment, ...]
    binding: records.Binding
    findings: records.Findings


@attrs.define
class _PartialPlan:
    """A plan while it is being assembled."""

    deployment_ids: list[str] = attrs.Factory(list)
    new: list[records.Deployment] = attrs.Factory(list)
    reads: list[str] = attrs.Factory(list)
    writes: list[str] = attrs.Factory(list)
    unmet: list[str] = attrs.Factory(list)
    worse: list[str] = attrs.Factory(list)
    # Tokens per second of all chains: planned, and the upper bound.
    total_rate: float = 0.0
    total_bound: float = 0.0
    load_bytes: int = 0


def make_plan(inputs: Inputs, plan_id: str) -> Draft:
    """Returns the plan for an intent."""
    intent = inputs.intent
    partial = _PartialPlan()
    partial.writes.append(records.binding_key(intent.workspace, intent.model))
    if intent.replicas > 0:
        problem = check_intent(intent, inputs.spec)
        if problem:
            partial.unmet.append(problem)
        else:
            assert inputs.spec is not None
            usage = compute_usage(inputs.state.deployments.values())
            for data_centre in intent.data_centres:
                _plan_data_centre(
                    inputs, inputs.spec, data_centre, plan_id, usage, partial
                )
    store_rate = inputs.spec.store_bytes_s if inputs.spec else 0.0
    return Draft(
        reads=tuple(dict.fromkeys(partial.writes + partial.reads)),
        writes=tuple(dict.fromkeys(partial.writes)),
        deployments=tuple(partial.new),
        binding=records.Binding(
            intent.workspace,
            intent.model,
            tuple(partial.deployment_ids),
            intent.priority,
            intent.limit,
        ),
        findings=records.Findings(
            before_tokens_per_s=round(_compute_current_rate(inputs), 1),
            after_tokens_per_s=round(partial.total_rate, 1),
            bound_tokens_per_s=round(partial.total_bound, 1),
            load_s=round(partial.load_bytes / store_rate, 1)
            if store_rate
            else 0.0,
            unmet=tuple(partial.unmet),
            worse=tuple(partial.worse),
        ),
    )


def check_intent(intent: records.Intent, spec: weights.ModelSpec | None) -> str:
    """Returns what the weight store lacks for an intent; empty if nothing."""
    if spec is None:
        return f"the weight store has no model {intent.model!r}"
    if intent.version not in spec.versions:
        return (
            f"the weight store has no version {intent.version!r} of"
            f" {intent.model!r}; it has: {', '.join(spec.versions)}"
        )
    if intent.adapter and intent.adapter not in spec.adapters:
        return (
            f"the weight store has no adapter {intent.adapter!r} of"
            f" {intent.model!r}; it has: {', '.join(spec.adapters)}"
        )
    return ""


@attrs.define
class Usage:
    """Use of one upstream by existing chains."""

    layers_bytes: list[tuple[str, int]] = attrs.Factory(list)
    deployments: list[str] = attrs.Factory(list)


def compute_usage(
    deployments: Iterable[records.Deployment],
) -> dict[str, Usage]:
    """Returns the models, layer counts and deployments of used upstreams."""
    usage: dict[str, Usage] = {}
    for deployment in deployments:
        for chain in deployment.chains:
            for stage in chain.stages:
                item = usage.setdefault(stage.upstream, Usage())
                count = stage.last - stage.first
                item.layers_bytes.append((deployment.model, count))
                item.deployments.append(deployment.id)
    return usage


def make_machines(
    hosts: Sequence[hostlist.Host],
    spec: weights.ModelSpec,
    adapter: str,
    usage: dict[str, Usage],
) -> list[split.Machine]:
    """Returns the unused machines with their capacity for a model."""
    layer_bytes = spec.layer_bytes
    if adapter:
        layer_bytes += spec.adapter_layer_bytes
    machines = []
    for host in hosts:
        if host.role is not hostlist.Role.ENGINE or host.name in usage:
            continue
        if host.state != hostlist.LIVE or host.layers_per_s <= 0:
            continue
        machines.append(
            split.Machine(
                host.name,
                host.rack,
                host.accelerator,
                host.memory_bytes // layer_bytes,
                host.layers_per_s,
                host.link_bytes_s / spec.activation_bytes,
            )
        )
    return machines


def _plan_data_centre(
    inputs: Inputs,
    spec: weights.ModelSpec,
    data_centre: str,
    plan_id: str,
    usage: dict[str, Usage],
    partial: _PartialPlan,
) -> None:
    intent = inputs.intent
    key = records.deployments_key(intent, data_centre)
    partial.reads.append(key)
    existing = _find_existing(inputs.state, intent, data_centre)
    for deployment in existing:
        partial.deployment_ids.append(deployment.id)
        partial.total_rate += sum(c.tokens_per_s for c in deployment.chains)
        partial.total_bound += sum(c.tokens_per_s for c in deployment.chains)
    existing_count = sum(len(d.chains) for d in existing)
    if existing_count >= intent.replicas:
        _record_sharing(inputs.state, existing, intent, partial)
        return
    local = [h for h in inputs.hosts if h.data_centre == data_centre]
    if not local:
        partial.unmet.append(
            f"{data_centre}: the platform lists no hosts in this data centre"
        )
        return
    pool = grouping.Pool(make_machines(local, spec, intent.adapter, usage))
    chains = _make_chains(
        pool, spec, intent, data_centre, plan_id, existing_count, partial
    )
    wanted = intent.replicas - existing_count
    if len(chains) < wanted:
        partial.unmet.append(
            f"{data_centre}: {wanted} new chains wanted, {len(chains)} fit;"
            f" {spec.layers} layers of {spec.layer_bytes} bytes need more free"
            " engines with memory for them"
        )
    if not chains:
        return
    partial.writes.append(key)
    deployment = records.Deployment(
        id=f"{plan_id}.{data_centre}",
        model=intent.model,
        adapter=intent.adapter,
        version=intent.version,
        data_centre=data_centre,
        layers=spec.layers,
        chains=tuple(chains),
    )
    partial.new.append(deployment)
    partial.deployment_ids.append(deployment.id)


def _make_chains(
    pool: grouping.Pool,
    spec: weights.ModelSpec,
    intent: records.Intent,
    data_centre: str,
    plan_id: str,
    existing_count: int,
    partial: _PartialPlan,
) -> list[records.Chain]:
    chains: list[records.Chain] = []
    used_racks: dict[str, int] = {}
    layer_bytes = spec.layer_bytes
    if intent.adapter:
        layer_bytes += spec.adapter_layer_bytes
    for number in range(intent.replicas - existing_count):
        spread = len(used_racks) < intent.racks
        group = pool.take_chain(spec.layers, used_racks, spread)
        if group is None:
            break
        chains.append(
            records.Chain(
                f"{plan_id}.{data_centre}.{number}",
                _make_stages(group),
                round(group.split.tokens_per_s, 3),
            )
        )
        partial.total_rate += group.split.tokens_per_s
        partial.total_bound += split.compute_bound(group.machines, spec.layers)
        partial.load_bytes += spec.layers * layer_bytes
        partial.writes.extend(
            records.upstream_key(m.name) for m in group.machines
        )
    if chains and len(used_racks) < intent.racks:
        partial.unmet.append(
            f"{data_centre}: {intent.racks} racks wanted, the chains use"
            f" {len(used_racks)}"
        )
    return chains


def _make_stages(group: grouping.Group) -> tuple[records.Stage, ...]:
    stages = []
    first = 0
    for machine, count in zip(group.machines, group.split.counts, strict=True):
        stages.append(records.Stage(machine.name, first, first + count))
        first += count
    return tuple(stages)


def _find_existing(
    state: states.State, intent: records.Intent, data_centre: str
) -> list[records.Deployment]:
    """Returns deployments of the same weights, usable without new loads."""
    return [
        d
        for d in sorted(state.deployments.values(), key=lambda d: d.id)
        if d.data_centre == data_centre
        and d.model == intent.model
        and d.adapter == intent.adapter
        and d.version == intent.version
    ]


def _record_sharing(
    state: states.State,
    existing: list[records.Deployment],
    intent: records.Intent,
    partial: _PartialPlan,
) -> None:
    names = {d.id for d in existing}
    others = sorted(
        b.workspace
        for b in state.bindings.values()
        if b.workspace != intent.workspace and names & set(b.deployments)
    )
    if others:
        shown = ", ".join(others[:5])
        more = f" and {len(others) - 5} more" if len(others) > 5 else ""
        partial.worse.append(
            f"shares chains in {existing[0].data_centre} with {shown}{more}"
        )


def _compute_current_rate(inputs: Inputs) -> float:
    key = records.binding_key(inputs.intent.workspace, inputs.intent.model)
    binding = inputs.state.bindings.get(key)
    if binding is None:
        return 0.0
    return sum(
        c.tokens_per_s
        for name in binding.deployments
        if name in inputs.state.deployments
        for c in inputs.state.deployments[name].chains
    )
