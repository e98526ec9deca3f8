"""Builders of engines, routes and requests for unit tests."""

from __future__ import annotations

import math
import random
from typing import Final

from egretspur.admission import repeats
from egretspur.catalog import config, upstreams
from egretspur.placement import ranges
from egretspur.routing import broker, jobs

ACCELERATORS: Final = {
    "a100": config.Accelerator("a100", 72e9, 2.4, 3.2),
    "l40s": config.Accelerator("l40s", 43.2e9, 5.6, 2.7),
    "l4": config.Accelerator("l4", 21.6e9, 16.0, 8.2),
}

SPEC: Final = config.EngineSpec(
    model="m",
    layers=80,
    layer_bytes=1.75e9,
    token_layer_bytes=22_950,
    slots=96,
    step_s=0.00102,
    per_request_s=0.00001428,
    per_token_s=1.912e-8,
    prefill_tokens_per_s=105_000,
    stride=3,
    chunk_tokens=512,
    typical_prompt_tokens=774,
    typical_answer_tokens=203,
    load_s=14.0,
    loads_at_once=5,
    accelerators=ACCELERATORS,
)

# Number of engines of each accelerator in three data centres.
DATA_CENTRES: Final = {
    "kl-hall": {"a100": 1, "l40s": 6, "l4": 5},
    "pg-hall": {"a100": 2, "l40s": 2, "l4": 5},
    "cj-hall": {"a100": 1, "l40s": 3, "l4": 8},
}

# Memory of a host, as the platform's settings have it.
MEMORY_BYTES: Final = 300_000_000

BUDGET: Final = repeats.Options(0.2, 200.0, 10.0, -math.inf)


def parse_layers(text: str) -> upstreams.Layers | None:
    """Returns a range written as ``0-25``; None for ``none``."""
    if text in ("", "none"):
        return None
    first, last = text.split("-")
    return upstreams.Layers(int(first), int(last))


def make_engine(name: str, layers: str = "none") -> ranges.Engine:
    """Returns an engine named by its accelerator, such as ``l4-2``."""
    kind = name.partition("-")[0]
    return ranges.Engine(name, ACCELERATORS[kind], parse_layers(layers))


def make_empty(data_centre: str) -> list[ranges.Engine]:
    """Returns a data centre's engines, all empty."""
    return [
        make_engine(f"{kind}-{i}")
        for kind, count in DATA_CENTRES[data_centre].items()
        for i in range(count)
    ]


def make_upstream(
    name: str, layers: str = "none", data_centre: str = "kl-hall"
) -> upstreams.Upstream:
    """Returns an engine's entry; one named ``app-…`` is a plain replica."""
    kind = name.partition("-")[0]
    is_plain = kind == "app"
    return upstreams.Upstream(
        id=name,
        service="desk" if is_plain else "llm",
        address=f"{name}:80",
        data_centre=data_centre,
        is_draining=False,
        slots=6 if is_plain else 96,
        accelerator="" if is_plain else kind,
        layers=parse_layers(layers),
    )


def make_config(version: int = 1) -> config.Configuration:
    """Returns a configuration with a model and a plain service."""
    return config.Configuration(
        version,
        (make_route("notes"), make_route("status", "non_idempotent")),
        {
            "llm": config.Service("llm", "/healthz", 1000, SPEC),
            "desk": config.Service("desk", "/healthz", 100, None),
        },
        config.Limits(16384, 1 << 22, 3.0, 15.0),
        {"key": config.Workspace("tailors", None)},
    )


def make_route(name: str, kind: str = "streaming") -> config.Route:
    """Returns a route; streams go to the model and may be resumed."""
    is_stream = kind == "streaming"
    return config.Route(
        name=name,
        host="desk.example",
        prefix=f"/{name}/",
        kind=config.RouteKind(kind),
        timeout_s=20.0 if is_stream else 1.0,
        objective_s=0.5,
        priority=1,
        targets=(config.Target("llm" if is_stream else "desk", 1.0),),
        max_attempts=2,
        is_public=False,
        is_resumable=is_stream,
        gap_s=0.2,
    )


def make_broker(
    entries: list[upstreams.Upstream],
    budget: repeats.Options = BUDGET,
) -> broker.Broker:
    """Returns a broker in kl-hall with these upstreams in its roster."""
    state = broker.Broker("kl-hall", budget, random.Random(7))
    state.configure(make_config())
    for entry in entries:
        upstreams.put_entry(state.fleet.roster, entry, 0.0)
    return state


def make_job(
    name: str,
    kind: str = "streaming",
    tokens: float = 900.0,
    now_s: float = 0.0,
    workspace: str = "tailors",
) -> jobs.Job:
    """Returns a request that arrives now."""
    route = make_route("notes" if kind == "streaming" else "status", kind)
    return jobs.Job(
        id=name,
        route=route,
        service=route.targets[0].service,
        workspace=workspace,
        priority=1,
        tokens=tokens if kind == "streaming" else 0.0,
        arrived_s=now_s,
        deadline_s=now_s + route.timeout_s,
    )
