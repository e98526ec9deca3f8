"""From an intent to a plan: pure, from a state and the hosts as listed.

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
    """All that a plan is made from."""

    state: states.State
    intent: records.Intent
    # None if the weight store doesn't have the model.
    spec: weights.ModelSpec | None
    hosts: tuple[hostlist.Host, ...]


@attrs.frozen
class Draft:
    """A plan's content, before it becomes a record."""

    reads: tuple[str, ...]
    writes: tuple[str, ...]
    deployments: tuple[records.Deployment, ...]
    binding: records.Binding
    findings: records.Findings


@attrs.define
class _Work:
    """What has been put together so far."""

    names: list[str] = attrs.Factory(list)
    new: list[records.Deployment] = attrs.Factory(list)
    reads: list[str] = attrs.Factory(list)
    writes: list[str] = attrs.Factory(list)
    unmet: list[str] = attrs.Factory(list)
    worse: list[str] = attrs.Factory(list)
    rate: float = 0.0
    bound: float = 0.0
    load_bytes: int = 0


def make_plan(inputs: Inputs, plan_id: str) -> Draft:
    """Returns the plan for an intent."""
    intent = inputs.intent
    work = _Work()
    work.writes.append(records.binding_key(intent.workspace, intent.model))
    if intent.replicas > 0:
        problem = check_intent(intent, inputs.spec)
        if problem:
            work.unmet.append(problem)
        else:
            assert inputs.spec is not None
            usage = compute_usage(inputs.state.deployments.values())
            for data_centre in intent.data_centres:
                _plan_data_centre(
                    inputs, inputs.spec, data_centre, plan_id, usage, work
                )
    store_rate = inputs.spec.store_bytes_s if inputs.spec else 0.0
    return Draft(
        reads=tuple(dict.fromkeys(work.writes + work.reads)),
        writes=tuple(dict.fromkeys(work.writes)),
        deployments=tuple(work.new),
        binding=records.Binding(
            intent.workspace,
            intent.model,
            tuple(work.names),
            intent.priority,
            intent.limit,
        ),
        findings=records.Findings(
            before_tokens_per_s=round(_compute_before(inputs), 1),
            after_tokens_per_s=round(work.rate, 1),
            bound_tokens_per_s=round(work.bound, 1),
            load_s=round(work.load_bytes / store_rate, 1)
            if store_rate
            else 0.0,
            unmet=tuple(work.unmet),
            worse=tuple(work.worse),
        ),
    )


def check_intent(intent: records.Intent, spec: weights.ModelSpec | None) -> str:
    """Tells what the weight store lacks for an intent; empty if nothing."""
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
    """What chains already use of one upstream."""

    layers_bytes: list[tuple[str, int]] = attrs.Factory(list)
    deployments: list[str] = attrs.Factory(list)


def compute_usage(
    deployments: Iterable[records.Deployment],
) -> dict[str, Usage]:
    """Returns, for each upstream in a chain, its models and layer counts."""
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
    """Returns the machines that no chain uses, with their room for a model."""
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
    work: _Work,
) -> None:
    intent = inputs.intent
    key = records.deployments_key(intent, data_centre)
    work.reads.append(key)
    present = _find_present(inputs.state, intent, data_centre)
    for deployment in present:
        work.names.append(deployment.id)
        work.rate += sum(c.tokens_per_s for c in deployment.chains)
        work.bound += sum(c.tokens_per_s for c in deployment.chains)
    have = sum(len(d.chains) for d in present)
    if have >= intent.replicas:
        _note_sharing(inputs.state, present, intent, work)
        return
    local = [h for h in inputs.hosts if h.data_centre == data_centre]
    if not local:
        work.unmet.append(f"{data_centre}: the platform lists no hosts there")
        return
    pool = grouping.Pool(make_machines(local, spec, intent.adapter, usage))
    chains = _make_chains(pool, spec, intent, data_centre, plan_id, have, work)
    wanted = intent.replicas - have
    if len(chains) < wanted:
        work.unmet.append(
            f"{data_centre}: {wanted} new chains wanted, {len(chains)} fit;"
            f" {spec.layers} layers of {spec.layer_bytes} bytes need more free"
            " engines with memory for them"
        )
    if not chains:
        return
    work.writes.append(key)
    deployment = records.Deployment(
        id=f"{plan_id}.{data_centre}",
        model=intent.model,
        adapter=intent.adapter,
        version=intent.version,
        data_centre=data_centre,
        layers=spec.layers,
        chains=tuple(chains),
    )
    work.new.append(deployment)
    work.names.append(deployment.id)


def _make_chains(
    pool: grouping.Pool,
    spec: weights.ModelSpec,
    intent: records.Intent,
    data_centre: str,
    plan_id: str,
    have: int,
    work: _Work,
) -> list[records.Chain]:
    chains: list[records.Chain] = []
    used_racks: dict[str, int] = {}
    layer_bytes = spec.layer_bytes
    if intent.adapter:
        layer_bytes += spec.adapter_layer_bytes
    for number in range(intent.replicas - have):
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
        work.rate += group.split.tokens_per_s
        work.bound += split.compute_bound(group.machines, spec.layers)
        work.load_bytes += spec.layers * layer_bytes
        work.writes.extend(records.upstream_key(m.name) for m in group.machines)
    if chains and len(used_racks) < intent.racks:
        work.unmet.append(
            f"{data_centre}: {intent.racks} racks wanted, the chains stand in"
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


def _find_present(
    state: states.State, intent: records.Intent, data_centre: str
) -> list[records.Deployment]:
    """Returns deployments of the same weights; using them moves nothing."""
    return [
        d
        for d in sorted(state.deployments.values(), key=lambda d: d.id)
        if d.data_centre == data_centre
        and d.model == intent.model
        and d.adapter == intent.adapter
        and d.version == intent.version
    ]


def _note_sharing(
    state: states.State,
    present: list[records.Deployment],
    intent: records.Intent,
    work: _Work,
) -> None:
    names = {d.id for d in present}
    others = sorted(
        b.workspace
        for b in state.bindings.values()
        if b.workspace != intent.workspace and names & set(b.deployments)
    )
    if others:
        shown = ", ".join(others[:5])
        more = f" and {len(others) - 5} more" if len(others) > 5 else ""
        work.worse.append(
            f"shares chains in {present[0].data_centre} with {shown}{more}"
        )


def _compute_before(inputs: Inputs) -> float:
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
