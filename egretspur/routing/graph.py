"""Layered graph of one model's stages, and the choice of a path: pure.

Vertices are layer boundaries, edges are stages. A path from layer 0 to the
last layer covers the model once, in order; it may join stages of different
chains where their boundaries meet. At each boundary a few stages are sampled
in proportion to their speed and the cheapest is kept, so the cost of a choice
grows with the stages of a path and hardly with the replicas.
"""

from __future__ import annotations

import bisect
import itertools
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Final

import attrs

from egretspur.intents import records
from egretspur.routing import loads

# Stages sampled at each boundary, and complete paths compared. Two of each give
# most of the gain over random choice; see docs/design/routing.md.
STAGE_SAMPLES: Final = 2
PATH_SAMPLES: Final = 2

# Random draws at a boundary before all its stages are searched. The full search
# keeps a nearly full data centre from refusing while a slot is free.
MAX_DRAWS: Final = 6


@attrs.frozen
class Edge:
    """A stage with its speed for this model."""

    upstream: str
    first: int
    last: int
    tokens_per_s: float


@attrs.frozen
class Path:
    """The stages chosen for an attempt."""

    edges: tuple[Edge, ...]
    # Id of the deployment, shown in the caller's trace.
    label: str


@attrs.define
class _Boundary:
    edges: list[Edge]
    # Cumulative sums of the speeds, for weighted sampling.
    sums: list[float]


class Graph:
    """All usable stages of one model version in one data centre."""

    def __init__(
        self,
        label: str,
        layers: int,
        deployments: Iterable[records.Deployment],
        speeds: Mapping[str, float],
        is_usable: Callable[[str], bool],
    ) -> None:
        """Builds the graph.

        Args:
            label: Id of the deployment, shown to callers.
            layers: Number of layers of the model.
            deployments: Deployments whose chains give the stages.
            speeds: Layers per second by upstream.
            is_usable: Returns whether an upstream may be given work.
        """
        self.label = label
        self.layers = layers
        edges = {
            (s.upstream, s.first, s.last): Edge(
                s.upstream,
                s.first,
                s.last,
                max(speeds.get(s.upstream, 0.0), 1e-6) / (s.last - s.first),
            )
            for d in deployments
            for c in d.chains
            for s in c.stages
            if is_usable(s.upstream)
        }
        self._boundaries = _build_boundaries(edges.values(), layers)
        self.size = sum(len(b.edges) for b in self._boundaries.values())
        # Upstreams of last stages, to which hosts send requests.
        self.last_stages = frozenset(
            e.upstream
            for b in self._boundaries.values()
            for e in b.edges
            if e.last == layers
        )

    def sample_stage(self, boundary: int, rng: random.Random) -> Edge | None:
        """Returns a random stage at a boundary, weighted by speed."""
        found = self._boundaries.get(boundary)
        if found is None:
            return None
        point = rng.random() * found.sums[-1]
        return found.edges[bisect.bisect_right(found.sums, point)]

    def get_edges(self, boundary: int) -> list[Edge]:
        """Returns the stages that begin at a boundary."""
        found = self._boundaries.get(boundary)
        return found.edges if found else []


@attrs.frozen
class NetworkState:
    """Loads, links and availability that a choice depends on."""

    upstreams: Mapping[str, loads.UpstreamLoad]
    links: Mapping[tuple[str, str], loads.LinkSpeed]
    now_s: float
    # Upstreams at a rate limit or in a backoff. They are excluded only as last
    # stages, which receive the requests and forward them to the others.
    closed: frozenset[str] = frozenset()


def choose_path(
    graph: Graph,
    state: NetworkState,
    rng: random.Random,
    avoid: frozenset[str] = frozenset(),
) -> Path | None:
    """Returns the cheapest of a few sampled paths, or None if none is free.

    Args:
        graph: Stages to choose from.
        state: Loads, links and availability of the upstreams.
        rng: Source of the random samples.
        avoid: Upstreams to exclude, which failed this request or back off.
    """
    best: tuple[Edge, ...] | None = None
    best_cost = 0.0
    for _ in range(PATH_SAMPLES):
        edges = _sample_path(graph, state, rng, avoid)
        if edges is None:
            continue
        cost = compute_cost(edges, state)
        if best is None or cost < best_cost:
            best, best_cost = edges, cost
    return Path(best, graph.label) if best else None


def compute_cost(edges: tuple[Edge, ...], state: NetworkState) -> float:
    """Returns the relative expected seconds per token of a path.

    This is the cost of its slowest stage: the stage's time per token, scaled
    by the requests that share it and by the recent slowness of its link.
    """
    cost = 0.0
    previous = ""
    for edge in edges:
        stage = _compute_edge_cost(edge, previous, state)
        if stage > cost:
            cost = stage
        previous = edge.upstream
    return cost


def _compute_edge_cost(edge: Edge, previous: str, state: NetworkState) -> float:
    cost = 1.0 / edge.tokens_per_s
    load = state.upstreams.get(edge.upstream)
    if load is not None:
        share = load.get_ramp_share(state.now_s)
        cost *= (load.estimate(state.now_s) + 1.0) / share
    link = state.links.get((previous, edge.upstream))
    if link is not None:
        cost *= link.get_slowness(state.now_s)
    return cost


def _sample_path(
    graph: Graph,
    state: NetworkState,
    rng: random.Random,
    avoid: frozenset[str],
) -> tuple[Edge, ...] | None:
    path: list[Edge] = []
    boundary = 0
    previous = ""
    while boundary < graph.layers:
        edge = _sample_edge(graph, boundary, previous, state, rng, avoid)
        if edge is None:
            return None
        path.append(edge)
        boundary = edge.last
        previous = edge.upstream
    return tuple(path)


def _sample_edge(
    graph: Graph,
    boundary: int,
    previous: str,
    state: NetworkState,
    rng: random.Random,
    avoid: frozenset[str],
) -> Edge | None:
    best: Edge | None = None
    best_cost = 0.0
    found = 0
    for _ in range(MAX_DRAWS):
        edge = graph.sample_stage(boundary, rng)
        if edge is None:
            return None
        if not _is_available(graph, edge, state, avoid):
            continue
        cost = _compute_edge_cost(edge, previous, state)
        if best is None or cost < best_cost:
            best, best_cost = edge, cost
        found += 1
        if found == STAGE_SAMPLES:
            return best
    if best is not None:
        return best
    return _find_cheapest(graph, boundary, previous, state, avoid)


def _find_cheapest(
    graph: Graph,
    boundary: int,
    previous: str,
    state: NetworkState,
    avoid: frozenset[str],
) -> Edge | None:
    """Returns the cheapest available stage, searching all at a boundary."""
    return min(
        (
            e
            for e in graph.get_edges(boundary)
            if _is_available(graph, e, state, avoid)
        ),
        key=lambda e: _compute_edge_cost(e, previous, state),
        default=None,
    )


def _is_available(
    graph: Graph, edge: Edge, state: NetworkState, avoid: frozenset[str]
) -> bool:
    if edge.upstream in avoid:
        return False
    if edge.last == graph.layers and edge.upstream in state.closed:
        return False
    load = state.upstreams.get(edge.upstream)
    return load is None or load.has_free_slot(state.now_s)


def _build_boundaries(
    edges: Iterable[Edge], layers: int
) -> dict[int, _Boundary]:
    """Returns boundaries with only the stages from which a path can complete.

    Otherwise a stage whose only successors are down could be sampled, and the
    search would end at a boundary without stages.
    """
    by_first: dict[int, list[Edge]] = {}
    for edge in sorted(edges, key=lambda e: (e.first, e.upstream)):
        by_first.setdefault(edge.first, []).append(edge)
    ends = {layers}
    for first in sorted(by_first, reverse=True):
        by_first[first] = [e for e in by_first[first] if e.last in ends]
        if by_first[first]:
            ends.add(first)
    return {
        first: _Boundary(
            found, list(itertools.accumulate(e.tokens_per_s for e in found))
        )
        for first, found in by_first.items()
        if found
    }
