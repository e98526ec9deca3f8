"""Records of the configuration stream and the data they carry.

The stream in the platform's log alone decides the order: a record's offset is
its position, its version and, for a lease, its fencing token. Every record has
an `id` chosen by its writer, so that a record appended twice takes effect once.
Read next: `egretspur.intents.state`, which these records are folded into.
"""

from __future__ import annotations

from typing import Final

import attrs

from egretspur import codec

# Name of the stream in the platform's log.
STREAM: Final = "config"


@attrs.frozen
class Intent:
    """What an operator asks for: one model version for one workspace."""

    id: str
    workspace: str
    model: str
    # Adapter on top of the model; empty for the plain model.
    adapter: str
    version: str
    data_centres: tuple[str, ...]
    # Larger is served first.
    priority: int
    # Chains wanted in each data centre; 0 stops serving the workspace's
    # requests for the model.
    replicas: int
    # Requests of the workspace served at once; 0 means no limit.
    limit: int = 0
    # Chains are spread over this many racks if the data centre has enough.
    racks: int = 1


@attrs.frozen
class Stage:
    """One upstream and the layers it runs: first included, last not."""

    upstream: str
    first: int
    last: int


@attrs.frozen
class Chain:
    """Stages that cover each of a model's layers once, in order."""

    id: str
    stages: tuple[Stage, ...]
    # Tokens per second the planner expects of the chain.
    tokens_per_s: float


@attrs.frozen
class Deployment:
    """Chains of one model, adapter and version in one data centre."""

    id: str
    model: str
    adapter: str
    version: str
    data_centre: str
    layers: int
    chains: tuple[Chain, ...]


@attrs.frozen
class Binding:
    """Which deployments serve a workspace's requests for a model."""

    workspace: str
    model: str
    deployments: tuple[str, ...]
    priority: int
    limit: int


@attrs.frozen
class Findings:
    """Estimated effects of a plan, shown to the operator with its steps."""

    # Tokens per second for the intent's model before and after.
    before_tokens_per_s: float
    after_tokens_per_s: float
    # Upper bound for the hosts used, if layers could be split arbitrarily.
    bound_tokens_per_s: float
    # Seconds that the weight store needs to deliver the layers.
    load_s: float
    # Requirements of the intent that can't be met, with the reason.
    unmet: tuple[str, ...] = ()
    # Degradations for other workspaces.
    worse: tuple[str, ...] = ()


@attrs.frozen
class IntentCreated:
    """An operator created an intent."""

    id: str
    by: str
    at_ms: int
    intent: Intent


@attrs.frozen
class PlanMade:
    """A control daemon made a plan for an intent."""

    id: str
    by: str
    at_ms: int
    plan_id: str
    intent_id: str
    # Offset of the state the plan was made from.
    base_offset: int
    # Keys whose change after `base_offset` invalidates the plan.
    reads: tuple[str, ...]
    # Those of `reads` that the plan changes once confirmed.
    writes: tuple[str, ...]
    deployments: tuple[Deployment, ...]
    binding: Binding
    findings: Findings


@attrs.frozen
class PlanConfirmed:
    """An operator confirmed a plan."""

    id: str
    by: str
    at_ms: int
    plan_id: str


@attrs.frozen
class PlanRejected:
    """An operator rejected a plan, or withdrew it during preparation."""

    id: str
    by: str
    at_ms: int
    plan_id: str


@attrs.frozen
class Prepared:
    """A lease holder reports a plan fully loaded in its data centre."""

    id: str
    by: str
    at_ms: int
    plan_id: str
    data_centre: str
    # Offset of the holder's lease.
    fence: int


@attrs.frozen
class Repaired:
    """A lease holder replaced a dead upstream by a loaded spare."""

    id: str
    by: str
    at_ms: int
    deployment_id: str
    data_centre: str
    dead: str
    spare: str
    fence: int


@attrs.frozen
class LeaseTaken:
    """A control daemon requests the lease to give orders in a data centre."""

    id: str
    by: str
    at_ms: int
    data_centre: str
    # Name and incarnation of the daemon.
    holder: str
    duration_s: float
    # Offset of the lease that this one succeeds, 0 for the first. It takes
    # effect only if that lease is still the latest.
    expects: int


@attrs.frozen
class CheckpointPart:
    """One part of a snapshot of the folded state."""

    id: str
    by: str
    at_ms: int
    # Offset of the state in the snapshot.
    base_offset: int
    # Digest of the whole state; equal in all parts of a snapshot.
    digest: str
    part: int
    parts: int
    data: str


@attrs.frozen
class Unreadable:
    """Placeholder for a record that this version can't decode."""

    id: str
    reason: str


Record = (
    IntentCreated
    | PlanMade
    | PlanConfirmed
    | PlanRejected
    | Prepared
    | Repaired
    | LeaseTaken
    | CheckpointPart
    | Unreadable
)

CODEC: Final = codec.Union(
    IntentCreated,
    PlanMade,
    PlanConfirmed,
    PlanRejected,
    Prepared,
    Repaired,
    LeaseTaken,
    CheckpointPart,
)


@attrs.frozen
class Entry:
    """A record with its offset in the stream."""

    offset: int
    record: Record


def binding_key(workspace: str, model: str) -> str:
    """Key of the binding of a workspace and a model."""
    return f"binding/{workspace}/{model}"


def upstream_key(name: str) -> str:
    """Key of the layers that an upstream holds."""
    return f"upstream/{name}"


def deployments_key(source: Intent | Deployment, data_centre: str) -> str:
    """Key of the set of deployments of a model version in a data centre."""
    return (
        f"deployments/{data_centre}/{source.model}/{source.adapter}"
        f"/{source.version}"
    )
