"""Measures the cost of a route choice by replicas and stages."""

from __future__ import annotations

import random
import time
from typing import Final

from bench import worlds
from egretspur.routing import graph, loads

REPLICAS: Final = (10, 100, 371, 1000, 2600)
STAGES: Final = (1, 2, 4, 8)
CHOICES: Final = 3000


def measure(replicas: int, stages: int) -> float:
    """Returns microseconds of processor time per choice."""
    rng = random.Random(replicas * 10 + stages)
    deployment = worlds.make_deployment(0, replicas, stages)
    names = [s.upstream for c in deployment.chains for s in c.stages]
    speeds = {n: 1000.0 * rng.randint(1, 7) for n in names}
    built = graph.Graph(
        "d", worlds.LAYERS, [deployment], speeds, lambda name: True
    )
    upstreams = {
        n: loads.UpstreamLoad(32, own=rng.randint(0, 20)) for n in names
    }
    known = graph.NetworkState(upstreams, {}, 0.0)
    before = time.process_time()
    for _ in range(CHOICES):
        graph.choose_path(built, known, rng)
    return (time.process_time() - before) / CHOICES * 1e6
