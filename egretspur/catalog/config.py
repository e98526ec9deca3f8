"""The configuration in force: pure data and look-ups, without I/O.

It holds no wire names; `egretspur.platform.decode` builds it from the
operator's record. Read next: `egretspur.catalog.upstreams`.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Mapping

import attrs


class RouteKind(enum.Enum):
    """Decides whether a request of a route may be retried."""

    # Answered with events; resumed only if the route is resumable.
    STREAMING = "streaming"
    IDEMPOTENT = "idempotent"
    # Runs at most once for each request id.
    NON_IDEMPOTENT = "non_idempotent"


@attrs.frozen
class Target:
    """A service and the weight of its share of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """One route of the configuration."""

    name: str
    host: str
    # Begins and ends with a slash.
    prefix: str
    kind: RouteKind
    # Longest time that a request may wait, in seconds.
    timeout_s: float
    # Latency objective: seconds to the first event or to the answer.
    objective_s: float
    # 0 is the most urgent.
    priority: int
    targets: tuple[Target, ...]
    # Upper limit on the upstreams that one request is sent to.
    max_attempts: int
    is_public: bool
    is_resumable: bool
    # Latency objective: longest gap between two events, in seconds.
    gap_s: float
    # Silence after which the caller of a stream disconnects, in seconds.
    caller_silence_s: float = 2.0


@attrs.frozen
class Accelerator:
    """A kind of accelerator."""

    name: str
    memory_bytes: float
    # Factor on the duration of a decode step.
    pace: float
    # Factor on the duration of a prompt's prefill.
    prefill_factor: float


@attrs.frozen
class EngineSpec:
    """Sizes and speeds of a model service's engines.

    Durations are those of an accelerator with pace 1 that runs all layers.
    """

    model: str
    layers: int
    layer_bytes: float
    # Size of the key-value cache of one token on one layer, in bytes.
    token_layer_bytes: float
    # Requests that one engine runs concurrently as the first stage.
    slots: int
    # Duration of a decode step without requests.
    step_s: float
    # Added to a step for each request.
    per_request_s: float
    # Added to a step for each token of context of each decoding request.
    per_token_s: float
    # Prefill throughput.
    prefill_tokens_per_s: float
    # Decode steps of one pass.
    stride: int
    # Prompt tokens that one step prefills at most.
    chunk_tokens: int
    # Typical lengths in tokens.
    typical_prompt_tokens: int
    typical_answer_tokens: int
    # Seconds to load all layers.
    load_s: float
    loads_at_once: int
    accelerators: Mapping[str, Accelerator]
    # Activations that a path sends to the next engine for one token, in bytes,
    # and the rate of a link between two data centres. 0 if not known.
    activation_bytes: float = 0.0
    link_bytes_per_s: float = 0.0


@attrs.frozen
class Service:
    """A service that requests can be sent to."""

    name: str
    health_path: str
    max_connections: int
    # None for a plain service, which runs no model.
    engine: EngineSpec | None


@attrs.frozen
class Limits:
    """Limits on the size and duration of a caller's request."""

    header_bytes: int
    body_bytes: int
    header_s: float
    idle_s: float


@attrs.frozen
class Workspace:
    """A workspace and the priority of its requests."""

    name: str
    # None for the priority of the route.
    priority: int | None


@attrs.frozen
class Configuration:
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: Limits
    # Workspaces by API key; None if requests carry no keys.
    keys: Mapping[str, Workspace] | None
    # Routes by host, longest prefix first.
    _by_host: dict[str, list[Route]] = attrs.field(init=False, repr=False)

    def __attrs_post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda r: -len(r.prefix))
        object.__setattr__(self, "_by_host", by_host)

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path."""
        name = host.lower()
        routes = self._by_host.get(name)
        if routes is None:
            routes = self._by_host.get(name.partition(":")[0], [])
        return next((r for r in routes if path.startswith(r.prefix)), None)

    def find_engine_services(self) -> list[Service]:
        """Returns the services that run a model, by name."""
        return [
            self.services[n]
            for n in sorted(self.services)
            if self.services[n].engine
        ]


def is_newer(cfg: Configuration, other: Configuration) -> bool:
    """Returns whether a configuration is newer than another one."""
    return cfg.version > other.version


def choose_service(route: Route, rng: random.Random) -> str:
    """Returns a random service of the route, in proportion to the weights."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [max(0.0, t.weight) for t in route.targets]
    if not any(weights):
        weights = [1.0] * len(weights)
    return rng.choices(route.targets, weights)[0].service
