"""The configuration in force, as decisions see it: pure data and look-ups.

It holds no wire names; `egretspur.platform.decode` makes it from what the
operator wrote. Read next: `egretspur.catalog.upstreams`.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Mapping

import attrs


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    # Events; may be resumed only where the route says so.
    STREAMING = "streaming"
    IDEMPOTENT = "idempotent"
    # At most one run for each request id.
    NON_IDEMPOTENT = "non_idempotent"


@attrs.frozen
class Target:
    """A service with its part of a route's requests."""

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
    # Longest time a request may be kept waiting, in seconds.
    timeout_s: float
    # Time to the first event or the answer that still counts as prompt.
    objective_s: float
    # 0 is the most urgent.
    priority: int
    targets: tuple[Target, ...]
    # Most upstreams that one request may be sent to.
    max_attempts: int
    is_public: bool
    is_resumable: bool
    # Longest pause between two events that still counts as prompt; seconds.
    gap_s: float
    # Silence after which the caller of a stream turns away, in seconds.
    patience_s: float = 2.0


@attrs.frozen
class Accelerator:
    """A kind of accelerator."""

    name: str
    memory_bytes: float
    # Factor on the time of a token step.
    pace: float
    # Factor on the time of reading a prompt.
    read_factor: float


@attrs.frozen
class EngineSpec:
    """Sizes and speeds of a model service's engines.

    Times are those of an accelerator with pace 1 that runs all layers.
    """

    model: str
    layers: int
    layer_bytes: float
    # Request memory of one token on one layer, in bytes.
    token_layer_bytes: float
    # Requests that one engine takes at once as the first stage.
    slots: int
    step_s: float
    per_request_s: float
    # Added to a step for each token of context of each writing request.
    per_token_s: float
    read_tokens_per_s: float
    # Steps of one pass.
    stride: int
    # Most prompt tokens that are read beside one step.
    chunk_tokens: int
    usual_prompt: int
    usual_answer: int
    # Seconds to load all layers.
    load_s: float
    loads_at_once: int
    accelerators: Mapping[str, Accelerator]


@attrs.frozen
class Service:
    """A service that requests can be sent to."""

    name: str
    health_path: str
    max_connections: int
    # None for a plain service.
    engine: EngineSpec | None


@attrs.frozen
class Limits:
    """What a caller may send and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_s: float
    idle_s: float


@attrs.frozen
class Workspace:
    """A workspace and its rank; None leaves the rank to the route."""

    name: str
    priority: int | None


@attrs.frozen
class Configuration:
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: Limits
    # Workspaces by key; None if requests carry no keys.
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


@attrs.define
class Versions:
    """The newest configuration that was read; it never goes back."""

    newest: Configuration | None = None

    def take(self, cfg: Configuration) -> bool:
        """Takes a configuration; tells whether it is newer than before."""
        if self.newest is not None and not is_newer(cfg, self.newest):
            return False
        self.newest = cfg
        return True


def is_newer(cfg: Configuration, other: Configuration) -> bool:
    """Tells whether a configuration is newer than another one."""
    return cfg.version > other.version


def choose_service(route: Route, rng: random.Random) -> str:
    """Returns a service of the route, in proportion to the weights."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [max(0.0, t.weight) for t in route.targets]
    if not any(weights):
        weights = [1.0] * len(weights)
    return rng.choices(route.targets, weights)[0].service
