"""What the operator and the upstreams write, decoded into product types.

Some names on the wire mislead; the comments say what they hold.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

import attrs

from egretspur.catalog import config, upstreams


class MalformedError(ValueError):
    """A value does not have the form that the platform promises."""


def decode_config(data: Mapping[str, Any]) -> config.Configuration:
    """Returns a configuration.

    Raises:
        MalformedError: A field is missing or wrong.
    """
    try:
        return _decode_config(data)
    except (KeyError, IndexError, TypeError, ValueError) as exc:
        raise MalformedError(f"configuration: {exc!r}") from exc


def decode_upstream(upstream_id: str, data: Mapping[str, Any]) -> Any:
    """Returns an entry of the list of upstreams.

    Raises:
        MalformedError: A field is missing or wrong.
    """
    try:
        return upstreams.Upstream(
            id=upstream_id,
            service=data["service"],
            address=data["address"],
            data_centre=data["zone"],
            is_draining=data.get("state") != "ready",
            slots=int(data.get("slots", 0)),
            # Here the route's field of this name holds the accelerator.
            accelerator=data.get("route_kind") or "",
            layers=_decode_layers(data),
        )
    except (KeyError, IndexError, TypeError, ValueError) as exc:
        raise MalformedError(f"upstream {upstream_id}: {exc!r}") from exc


def decode_report(data: Mapping[str, Any]) -> upstreams.EngineReport:
    """Returns an engine's report.

    Raises:
        MalformedError: A field is missing or wrong.
    """
    try:
        stalled = tuple(
            s["address"] if isinstance(s, dict) else str(s)
            for s in data.get("stalled_servers") or ()
        )
        return upstreams.EngineReport(
            layers=_decode_layers(data),
            is_busy=bool(data.get("busy")),
            orders=int(data.get("seq_no", 0)),
            used=float(data.get("kv_in_use", 0)),
            size=float(data.get("kv_size", 0)),
            pace=float(data.get("pace", 1.0)),
            stalled=stalled,
        )
    except (KeyError, IndexError, TypeError, ValueError) as exc:
        raise MalformedError(f"report: {exc!r}") from exc


def _decode_layers(data: Mapping[str, Any]) -> upstreams.Layers | None:
    # Named as a count, but holds the range of layers.
    part = data.get("layer_count")
    if not part or part["to"] <= part["source"]:
        return None
    return upstreams.Layers(int(part["source"]), int(part["to"]))


def _decode_config(data: Mapping[str, Any]) -> config.Configuration:
    limits = data["limits"]
    tenants = data.get("tenants")
    return config.Configuration(
        version=int(data["version"]),
        routes=tuple(_decode_route(r) for r in data["routes"]),
        services={s["name"]: _decode_service(s) for s in data["services"]},
        limits=config.Limits(
            int(limits["max_header_bytes"]),
            int(limits["max_body_bytes"]),
            limits["header_timeout_ms"] / 1000,
            limits["idle_timeout_ms"] / 1000,
        ),
        keys=None if tenants is None else _decode_keys(tenants),
    )


def _decode_keys(tenants: Any) -> dict[str, config.Workspace]:
    keys = {}
    for tenant in tenants:
        found = config.Workspace(tenant["name"], tenant.get("priority"))
        keys.update(dict.fromkeys(tenant["api_keys"], found))
    return keys


def _decode_route(data: Mapping[str, Any]) -> config.Route:
    if data.get("split"):
        targets = tuple(
            config.Target(t["service"], float(t["weight"]))
            for t in data["split"]
        )
    else:
        targets = (config.Target(data["service"], 1.0),)
    return config.Route(
        name=data["name"],
        host=data["host"],
        prefix=data["path_prefix"],
        kind=config.RouteKind(data["route_kind"]),
        timeout_s=data["timeout_ms"] / 1000,
        objective_s=data["slo_ms"] / 1000,
        priority=int(data.get("priority", 5)),
        targets=targets,
        max_attempts=int(data.get("max_attempts", 1)),
        is_public=bool(data.get("public")),
        is_resumable=bool(data.get("resumable")),
        gap_s=data.get("target_gap_ms", 0) / 1000,
    )


def _decode_service(data: Mapping[str, Any]) -> config.Service:
    engine = data.get("inference_engine")
    return config.Service(
        data["name"],
        data["health_path"],
        int(data["max_conns"]),
        _decode_engine(engine) if engine else None,
    )


def _decode_engine(data: Mapping[str, Any]) -> config.EngineSpec | None:
    if not data.get("layer_count"):
        return None
    layers = int(data["layer_count"])
    model = data["models"][0]
    return config.EngineSpec(
        model=model["name"],
        layers=layers,
        layer_bytes=data["layer_mb"] * 1e6,
        token_layer_bytes=data["kv_token_bytes"] / layers,
        slots=int(data["slots"]),
        step_s=data["step_ms"] * model.get("pace", 1.0) / 1000,
        per_request_s=data["per_seq_ms"] / 1000,
        # Stated for a thousand tokens.
        per_token_s=data["context_per_k"] / 1e6,
        read_tokens_per_s=float(data["read_per_s"]),
        stride=int(data.get("stride", 1)),
        usual_prompt=int(data["usual"]["prompt"]),
        usual_answer=int(data["usual"]["answer"]),
        load_s=float(model["load_s"]),
        loads_at_once=int(data.get("loads_at_once", 1)),
        accelerators={
            k["name"]: config.Accelerator(
                k["name"],
                k["size_mb"] * 1e6,
                float(k["pace"]),
                float(k["read_factor"]),
            )
            for k in data["kinds"]
        },
    )


@attrs.frozen
class TokenCounts:
    """Sizes of a request for a model, in tokens."""

    prompt: int
    # Most tokens it may answer with.
    longest: int
    # The caller's estimate; 0 if it gave none.
    estimate: int


_NUMBER = re.compile(r"\d+")


def decode_tokens(usage: str, estimate: str) -> TokenCounts | None:
    """Returns a request's token counts; None if it states none."""
    counts = [int(n) for n in _NUMBER.findall(usage)]
    if len(counts) < 2:
        return None
    guess = _NUMBER.findall(estimate)
    return TokenCounts(counts[0], counts[1], int(guess[0]) if guess else 0)
