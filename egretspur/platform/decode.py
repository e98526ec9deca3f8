"""Decodes what operators and upstreams write into product types.

Some names on the wire are misleading; comments say what these fields hold.
Every field is validated here, since other programs may write entries too.
Errors are `checks.FieldError` with the field's name on the wire.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any, Final, TypeVar

import attrs
import orjson

from egretspur import checks, codec
from egretspur.admission import fingerprint, quarantine
from egretspur.catalog import config, feeds, upstreams
from egretspur.membership import datagrams
from egretspur.platform import names

T = TypeVar("T")

# States of an upstream on the wire.
_READY: Final = "ready"
_DRAINING: Final = "draining"

# Callers abandon a stream after a silence of this length, of this many latency
# objectives, or of this many target gaps, whichever is longest.
_MIN_CALLER_TIMEOUT_S: Final = 2.0
_CALLER_TIMEOUT_OBJECTIVES: Final = 4.0
_CALLER_TIMEOUT_GAPS: Final = 8.0

# Prompt tokens processed per step if the configuration does not set `chunk`.
_DEFAULT_CHUNK_TOKENS: Final = 512

# Prompt segments that are read of one request; a prompt may have hundreds.
MAX_SEGMENTS: Final = 256

# Ids of segments with more digits than this are replaced by a digest.
_MAX_SEGMENT_DIGITS: Final = 16


def decode_record(
    raw: bytes, decode: Callable[[Any], T]
) -> T | feeds.Unreadable:
    """Returns a decoded record of the store, or why it is unreadable."""
    try:
        return decode(codec.load_json(raw))
    except checks.FieldError as exc:
        return feeds.Unreadable(exc.field, str(exc))
    except codec.DecodeError as exc:
        return feeds.Unreadable("bytes", str(exc))


def decode_upstream(name: str, value: Any) -> upstreams.Upstream:
    """Decodes an entry of the list of upstreams."""
    if upstreams.START_MARK in name:
        raise checks.FieldError("name", f"holds {upstreams.START_MARK!r}")
    data = checks.Table(value)
    state = data.get_text("state")
    if state not in (_READY, _DRAINING):
        raise checks.FieldError("state", f"unknown: {state[:40]!r}")
    # Unused, but an entry without them was not written by an upstream.
    data.get_text("version")
    data.get_number("cold_left_ms")
    data.get_count("seq_no")
    born_ms = _decode_born(data)
    return upstreams.Upstream(
        id=upstreams.make_start_id(name, born_ms),
        service=data.get_text("service"),
        address=data.get_address("address"),
        data_centre=data.get_text("zone"),
        is_draining=state == _DRAINING,
        slots=data.get_count("slots"),
        # Holds the accelerator here; only in a route is it the route's kind.
        accelerator=data.get_text("route_kind", ""),
        layers=_decode_layers(data),
        name=name,
        born_ms=born_ms,
    )


def decode_report(value: Any) -> upstreams.EngineReport:
    """Decodes an engine's report."""
    data = checks.Table(value)
    return upstreams.EngineReport(
        layers=_decode_layers(data),
        is_busy=data.get_flag("busy"),
        orders=data.get_count("seq_no", 0),
        used=data.get_number("kv_in_use", 0.0),
        size=data.get_number("kv_size", 0.0),
        pace=data.get_number("pace", 1.0),
        stalled=tuple(
            s.get_address("address")
            for s in data.get_tables("stalled_servers", [])
        ),
        born_ms=_decode_born(data),
    )


def _decode_born(data: checks.Table) -> int | None:
    """Returns the upstream's start time in ms; None if it is not given."""
    return data.get_count("born") if data.has("born") else None


def _decode_layers(data: checks.Table) -> upstreams.Layers | None:
    # Named as a count, but holds the range of layers.
    if data.get("layer_count", None) is None:
        return None
    part = data.get_table("layer_count")
    first, last = part.get_count("source"), part.get_count("to")
    if last < first:
        raise checks.FieldError("layer_count", f"{first} to {last}")
    return upstreams.Layers(first, last) if last > first else None


@attrs.frozen
class _CachedRoute:
    """A route of the previous version, as written and as decoded."""

    raw: Any
    route: config.Route


class ConfigDecoder:
    """Decodes successive versions of the configuration.

    Reuses routes that did not change since the previous version: every host
    may receive several versions a second, each with hundreds of routes.
    """

    def __init__(self) -> None:
        """Makes a decoder with an empty route cache."""
        # By name of the route.
        self._cached_routes: dict[str, _CachedRoute] = {}

    def decode(self, value: Any) -> config.Configuration:
        """Decodes a configuration."""
        new_routes: dict[str, _CachedRoute] = {}

        def decode_route(data: checks.Table) -> config.Route:
            name = data.get_text("name")
            cached = self._cached_routes.get(name)
            if cached is None or cached.raw != data.values:
                cached = _CachedRoute(data.values, _decode_route(data))
            new_routes[name] = cached
            return cached.route

        cfg = decode_config(value, decode_route)
        self._cached_routes = new_routes
        return cfg


def decode_config(
    value: Any,
    decode_route: Callable[[checks.Table], config.Route] | None = None,
) -> config.Configuration:
    """Decodes a configuration.

    Args:
        value: As the operator wrote it.
        decode_route: Decodes a route; by default without a cache.
    """
    read_route = decode_route or _decode_route
    data = checks.Table(value)
    limits = data.get_table("limits")
    services = [_decode_service(s) for s in data.get_tables("services")]
    has_keys = data.get("tenants", None) is not None
    keys = data.get_tables("tenants") if has_keys else None
    return config.Configuration(
        version=data.get_count("version"),
        routes=tuple(read_route(r) for r in data.get_tables("routes")),
        services={s.name: s for s in services},
        limits=config.Limits(
            limits.get_count("max_header_bytes"),
            limits.get_count("max_body_bytes"),
            limits.get_number("header_timeout_ms") / 1000,
            limits.get_number("idle_timeout_ms") / 1000,
        ),
        keys=None if keys is None else _decode_keys(keys),
    )


def _decode_keys(tenants: list[checks.Table]) -> dict[str, config.Workspace]:
    keys: dict[str, config.Workspace] = {}
    for tenant in tenants:
        rank = tenant.get("priority", None)
        workspace = config.Workspace(
            tenant.get_text("name"),
            None if rank is None else checks.check_count(rank, "priority"),
        )
        for key in tenant.get_list("api_keys"):
            keys[checks.check_text(key, "api_keys")] = workspace
    return keys


def _decode_route(data: checks.Table) -> config.Route:
    split = data.get_tables("split", [])
    targets = tuple(
        config.Target(t.get_text("service"), t.get_number("weight"))
        for t in split
    ) or (config.Target(data.get_text("service"), 1.0),)
    kind = data.get_text("route_kind")
    if kind not in {k.value for k in config.RouteKind}:
        raise checks.FieldError("route_kind", f"unknown: {kind[:40]!r}")
    objective_s = data.get_number("slo_ms") / 1000
    gap_s = data.get_number("target_gap_ms", 0.0) / 1000
    return config.Route(
        name=data.get_text("name"),
        host=data.get_text("host"),
        prefix=data.get_text("path_prefix"),
        kind=config.RouteKind(kind),
        timeout_s=data.get_number("timeout_ms") / 1000,
        objective_s=objective_s,
        priority=data.get_count("priority", 5),
        targets=targets,
        max_attempts=data.get_count("max_attempts", 1),
        is_public=data.get_flag("public"),
        is_resumable=data.get_flag("resumable"),
        gap_s=gap_s,
        caller_silence_s=max(
            _MIN_CALLER_TIMEOUT_S,
            _CALLER_TIMEOUT_OBJECTIVES * objective_s,
            _CALLER_TIMEOUT_GAPS * gap_s,
        ),
    )


def _decode_service(data: checks.Table) -> config.Service:
    has_engine = data.get("inference_engine", None) is not None
    return config.Service(
        data.get_text("name"),
        data.get_text("health_path"),
        data.get_count("max_conns"),
        _decode_engine(data.get_table("inference_engine"))
        if has_engine
        else None,
    )


def _decode_engine(data: checks.Table) -> config.EngineSpec | None:
    layers = data.get_count("layer_count", 0)
    if not layers:
        return None
    models = data.get_tables("models")
    if not models:
        raise checks.FieldError("models", "none")
    model = models[0]
    usual = data.get_table("usual")
    return config.EngineSpec(
        model=model.get_text("name"),
        layers=layers,
        layer_bytes=data.get_number("layer_mb") * 1e6,
        token_layer_bytes=data.get_positive("kv_token_bytes") / layers,
        slots=data.get_count("slots"),
        step_s=data.get_number("step_ms")
        * model.get_number("pace", 1.0)
        / 1000,
        per_request_s=data.get_number("per_seq_ms") / 1000,
        # Given in milliseconds per thousand tokens.
        per_token_s=data.get_number("context_per_k") / 1e6,
        prefill_tokens_per_s=data.get_positive("read_per_s"),
        stride=data.get_positive_count("stride", 1),
        chunk_tokens=data.get_positive_count("chunk", _DEFAULT_CHUNK_TOKENS),
        typical_prompt_tokens=int(usual.get_number("prompt")),
        typical_answer_tokens=int(usual.get_number("answer")),
        load_s=model.get_number("load_s"),
        loads_at_once=data.get_count("loads_at_once", 1),
        accelerators={
            k.name: k
            for k in map(_decode_accelerator, data.get_tables("kinds"))
        },
        activation_bytes=data.get_number("activation_bytes", 0.0),
        # Given in millions of bits.
        link_bytes_per_s=data.get_number("pipe_mbps", 0.0) * 1e6 / 8,
    )


def _decode_accelerator(data: checks.Table) -> config.Accelerator:
    return config.Accelerator(
        data.get_text("name"),
        data.get_number("size_mb") * 1e6,
        data.get_number("pace"),
        data.get_number("read_factor"),
    )


def decode_quarantine_record(value: Any) -> quarantine.CrashWeights:
    """Returns the upstreams that crashed under a quarantined request."""
    crashes = datagrams.decode_crashes(checks.Table(value).get("ended"))
    if not crashes:
        raise checks.FieldError("ended", "empty")
    return crashes


def encode_quarantine_record(crashes: quarantine.CrashWeights) -> bytes:
    """Encodes the record of a quarantined request."""
    return orjson.dumps({"ended": dict(crashes)})


@attrs.frozen
class TokenCounts:
    """Sizes of a model request, in tokens."""

    prompt: int
    # Limit on the answer.
    max_output: int
    # The caller's estimate of the answer; 0 if it gave none.
    estimate: int


_NUMBER = re.compile(r"[0-9]+")


# Digits of the largest token count that a request may have.
_MAX_TOKEN_DIGITS: Final = 9

# Digits of the longest time that a caller may wait, in milliseconds: years.
# Longer ones are as good as none.
_MAX_DEADLINE_DIGITS: Final = 12


def decode_tokens(usage: str, estimate: str) -> TokenCounts | None:
    """Returns a request's token counts; None if it has none.

    Raises:
        codec.DecodeError: A count is too large to be one; names the field.
    """
    counts = _decode_counts(names.TOKENS, usage)
    if len(counts) < 2:
        return None
    found = _decode_counts(names.LENGTH_ESTIMATE, estimate)
    return TokenCounts(counts[0], counts[1], found[0] if found else 0)


def _decode_counts(field: str, value: str) -> list[int]:
    found = [n.lstrip("0") or "0" for n in _NUMBER.findall(value)]
    if any(len(n) > _MAX_TOKEN_DIGITS for n in found):
        raise codec.DecodeError(
            f"{field}: more than {_MAX_TOKEN_DIGITS} digits in a number"
        )
    return [int(n) for n in found]


def decode_deadline_s(value: str) -> float | None:
    """Returns how long a caller waits; None if it does not say."""
    digits = value.lstrip("0") or "0"
    if not _NUMBER.fullmatch(value) or len(digits) > _MAX_DEADLINE_DIGITS:
        return None
    return int(digits) / 1000


_HEXADECIMAL = re.compile(r"[0-9a-fA-F]+")


def decode_segments(value: str) -> tuple[str, ...]:
    """Returns the ids of the prompt segments that requests may share.

    The last segment is the request's own and left out. Entries without a valid
    id are skipped.

    Args:
        value: Segments in order, as ID:TOKENS, separated by commas.
    """
    found: dict[str, None] = {}
    for entry in value.split(",")[:-1]:
        digits = entry.partition(":")[0].strip()
        if _HEXADECIMAL.fullmatch(digits):
            found[_normalize_segment(digits)] = None
        if len(found) >= MAX_SEGMENTS:
            break
    return tuple(found)


def _normalize_segment(digits: str) -> str:
    """Returns one spelling for equal ids."""
    digits = digits.lower().lstrip("0") or "0"
    if len(digits) > _MAX_SEGMENT_DIGITS:
        return fingerprint.compute(digits)
    return digits
