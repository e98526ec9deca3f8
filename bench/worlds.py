"""Generates configurations of a given size, for measurements in one process."""

from __future__ import annotations

from collections.abc import Iterator

from egretspur import codec
from egretspur.clients import hosts as hostlist
from egretspur.clients import weights
from egretspur.intents import fold, records
from egretspur.intents import state as states
from egretspur.routing import tables

LAYERS = 32
ACCELERATORS = ("a", "b", "c", "d", "e", "f", "g")


def make_deployment(
    number: int, replicas: int, stages: int, data_centre: str = "dc"
) -> records.Deployment:
    """Returns a deployment of chains over upstreams that no other one uses."""
    width = LAYERS // stages
    return records.Deployment(
        f"p{number}.{data_centre}",
        f"model-{number}",
        "",
        "v1",
        data_centre,
        LAYERS,
        tuple(
            records.Chain(
                f"p{number}.{data_centre}.{r}",
                tuple(
                    records.Stage(
                        f"u{number}-{r}-{s}", s * width, (s + 1) * width
                    )
                    for s in range(stages)
                ),
                100.0,
            )
            for r in range(replicas)
        ),
    )


def make_records(
    workspaces: int, models: int, replicas: int, stages: int = 4
) -> Iterator[records.Record]:
    """Yields a configuration's records, from the lease to the loaded plans."""
    yield records.LeaseTaken("lease", "b", 0, "dc", "b", 6.0, 0)
    chains_per_model = max(1, replicas // models)
    for w in range(workspaces):
        model = w % models
        deployments: tuple[records.Deployment, ...] = ()
        if w < models:
            deployments = (make_deployment(model, chains_per_model, stages),)
        yield from make_change(
            w, f"ws-{w}", f"model-{model}", model, deployments
        )


def make_change(
    number: int,
    workspace: str,
    model: str,
    deployment: int,
    deployments: tuple[records.Deployment, ...],
) -> Iterator[records.Record]:
    """Yields the records of one change, from the intent to the loaded plan."""
    intent = records.Intent(
        f"i{number}", workspace, model, "", "v1", ("dc",), 5, 1
    )
    yield records.IntentCreated(f"r1-{number}", "ann", 1, intent)
    keys = (
        records.binding_key(workspace, model),
        *(
            records.upstream_key(s.upstream)
            for d in deployments
            for c in d.chains
            for s in c.stages
        ),
    )
    yield records.PlanMade(
        f"r2-{number}",
        "ann",
        1,
        f"p{number}",
        f"i{number}",
        10**9,
        keys,
        keys,
        deployments,
        records.Binding(workspace, model, (f"p{deployment}.dc",), 5, 0),
        records.Findings(0.0, 100.0, 110.0, 20.0),
    )
    yield records.PlanConfirmed(f"r3-{number}", "ann", 1, f"p{number}")
    yield records.Prepared(f"r4-{number}", "b", 1, f"p{number}", "dc", 1)


def make_state(
    workspaces: int, models: int, replicas: int, stages: int = 4
) -> states.State:
    """Returns the state after folding a configuration's records."""
    state = states.State()
    for offset, record in enumerate(
        make_records(workspaces, models, replicas, stages), 1
    ):
        # Passes through JSON, as a record that is read from the log.
        data = codec.dump_json(records.CODEC.encode(record))
        read = records.CODEC.decode(codec.load_json(data))
        fold.apply(state, records.Entry(offset, read))
    return state


def make_hosts(state: states.State, extra: int = 0) -> dict[str, hostlist.Host]:
    """Returns hosts for all upstreams of a state, and `extra` free hosts."""
    names = [
        s.upstream
        for d in state.deployments.values()
        for c in d.chains
        for s in c.stages
    ]
    names += [f"free-{i}" for i in range(extra)]
    return {n: make_host(n, i) for i, n in enumerate(names)}


def make_host(name: str, number: int) -> hostlist.Host:
    """Returns a host; accelerators differ in speed, memory and link speed."""
    kind = number % len(ACCELERATORS)
    return hostlist.Host(
        name,
        hostlist.Role.ENGINE,
        f"10.0.{number // 250 % 250}.{number % 250}:8000",
        "dc",
        "1764600000000",
        rack=f"rack-{number // 32}",
        accelerator=ACCELERATORS[kind],
        memory_bytes=(8 + 2 * kind) * 1_000_000,
        layers_per_s=1000.0 * (1 + kind),
        slots=32,
        link_bytes_s=1e8 * (1 + kind * 16),
    )


def make_spec(model: str) -> weights.ModelSpec:
    """Returns the sizes of a model."""
    return weights.ModelSpec(
        model, LAYERS, 1_000_000, 10_000, 16_384, ("v1",), (), 1e9
    )


def make_table(
    state: states.State, hosts: dict[str, hostlist.Host]
) -> tables.RoutingTable:
    """Returns the routing table of a state."""
    return tables.make_table(state, "dc", hosts, {})
