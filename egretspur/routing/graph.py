"""Layered graph of one model's stages, and the choice of a path: pure.

Vertices are layer boundaries, edges are stages. A path from layer 0 to the
last layer covers the model once, in order; it may join stages of different
chains where their boundaries meet. Work per choice grows with the stages and
hardly with the replicas: at each boundary a few stages are sampled by speed,
and the cheapest is kept.
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

# Stages sampled at each boundary, and whole paths compared. Two of each get
# most of the gain over random choice; see docs/design/routing.md.
SAMPLES: Final = 2
PATHS: Final = 2

# Draws at a boundary before giving up on a free stage by luck and looking at
# all; keeps a nearly full data centre from refusing while a slot is free.
DRAWS: Final = 6


@attrs.frozen
class Edge:
    """A stage with its speed for this model."""

    upstream: str
    first: int
    last: int
    tokens_per_s: float


@attrs.frozen
class Path:
    """Stages chosen for an attempt."""

    edges: tuple[Edge, ...]
    # Deployment the stages belong to, for the caller's trace.
    label: str


@attrs.define
class _Boundary:
    edges: list[Edge]
    # Running sums of the speeds, for sampling in proportion.
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
            label: Name shown to callers.
            layers: Layers of the model.
            deployments: Their chains give the stages.
            speeds: Layers per second by upstream.
            is_usable: Tells whether an upstream may be given work.
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
        # Upstreams that requests may be sent to.
        self.last = frozenset(
            e.upstream
            for b in self._boundaries.values()
            for e in b.edges
            if e.last == layers
        )

    def sample(self, boundary: int, rng: random.Random) -> Edge | None:
        """Returns a stage that begins at a boundary, in proportion to speed."""
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
class Known:
    """What a choice looks at besides the graph."""

    upstreams: Mapping[str, loads.UpstreamLoad]
    links: Mapping[tuple[str, str], loads.LinkSpeed]
    now_s: float
    # Upstreams that take no request now. Requests are sent to a path's last
    # stage; the others get them from there.
    closed: frozenset[str] = frozenset()


def choose_path(
    graph: Graph,
    known: Known,
    rng: random.Random,
    avoid: frozenset[str] = frozenset(),
) -> Path | None:
    """Returns the cheapest of a few sampled paths; None if none is free.

    Args:
        graph: Stages to choose from.
        known: Loads and links.
        rng: For the samples.
        avoid: Upstreams that failed this request before.
    """
    best: tuple[Edge, ...] | None = None
    best_cost = 0.0
    for _ in range(PATHS):
        edges = _sample_path(graph, known, rng, avoid)
        if edges is None:
            continue
        cost = compute_cost(edges, known)
        if best is None or cost < best_cost:
            best, best_cost = edges, cost
    return Path(best, graph.label) if best else None


def compute_cost(edges: tuple[Edge, ...], known: Known) -> float:
    """Returns the expected seconds per token of a path, relatively.

    The slowest part counts: a stage by the requests it would share its speed
    with, a link by how slow it has looked of late.
    """
    cost = 0.0
    previous = ""
    for edge in edges:
        stage = _compute_edge_cost(edge, previous, known)
        if stage > cost:
            cost = stage
        previous = edge.upstream
    return cost


def _compute_edge_cost(edge: Edge, previous: str, known: Known) -> float:
    cost = 1.0 / edge.tokens_per_s
    load = known.upstreams.get(edge.upstream)
    if load is not None:
        share = load.get_share(known.now_s)
        cost *= (load.estimate(known.now_s) + 1.0) / share
    link = known.links.get((previous, edge.upstream))
    if link is not None:
        cost *= link.get_slowness(known.now_s)
    return cost


def _sample_path(
    graph: Graph,
    known: Known,
    rng: random.Random,
    avoid: frozenset[str],
) -> tuple[Edge, ...] | None:
    path: list[Edge] = []
    boundary = 0
    previous = ""
    while boundary < graph.layers:
        edge = _sample_edge(graph, boundary, previous, known, rng, avoid)
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
    known: Known,
    rng: random.Random,
    avoid: frozenset[str],
) -> Edge | None:
    best: Edge | None = None
    best_cost = 0.0
    found = 0
    for _ in range(DRAWS):
        edge = graph.sample(boundary, rng)
        if edge is None:
            return None
        if not _is_open(graph, edge, known, avoid):
            continue
        cost = _compute_edge_cost(edge, previous, known)
        if best is None or cost < best_cost:
            best, best_cost = edge, cost
        found += 1
        if found == SAMPLES:
            return best
    if best is not None:
        return best
    return _find_any(graph, boundary, previous, known, avoid)


def _find_any(
    graph: Graph,
    boundary: int,
    previous: str,
    known: Known,
    avoid: frozenset[str],
) -> Edge | None:
    """Returns the cheapest open stage of all; only when luck found none."""
    return min(
        (
            e
            for e in graph.get_edges(boundary)
            if _is_open(graph, e, known, avoid)
        ),
        key=lambda e: _compute_edge_cost(e, previous, known),
        default=None,
    )


def _is_open(
    graph: Graph, edge: Edge, known: Known, avoid: frozenset[str]
) -> bool:
    if edge.upstream in avoid:
        return False
    if edge.last == graph.layers and edge.upstream in known.closed:
        return False
    load = known.upstreams.get(edge.upstream)
    return load is None or load.is_free(known.now_s)


def _build_boundaries(
    edges: Iterable[Edge], layers: int
) -> dict[int, _Boundary]:
    """Keeps only stages that lie on some whole path.

    A stage whose only successors are down would otherwise be sampled, and the
    walk would end at a boundary with no way on.
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
