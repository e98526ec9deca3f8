"""Compares routing policies on a small, seeded queueing model.

Engines share their speed among their requests; a chain runs at the speed of
its slowest stage. Load reports come every half second, and four routers choose
independently. One of the policies is the router's own `graph.choose_path`.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Final

import attrs

from egretspur.intents import records
from egretspur.routing import graph, loads

ROUTERS: Final = 4
CHAINS: Final = 12
TOKENS: Final = 40
REPORT_PERIOD_S: Final = 0.5
DURATION_S: Final = 30.0
LOAD: Final = 0.7

Choose = Callable[["Model", int, float], tuple[graph.Edge, ...]]


@attrs.define
class Job:
    """A request in service."""

    path: tuple[graph.Edge, ...]
    router: int
    tokens_left: float
    started_s: float


@attrs.frozen
class Outcome:
    """Latency and throughput of a policy."""

    # Mean and 95th percentile of seconds per request.
    mean_s: float
    p95_s: float
    # Completed requests as a share of those that arrived.
    done_share: float


class Model:
    """Chains of two stages of unequal speed, and four routers."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.deployment = records.Deployment(
            "d",
            "m",
            "",
            "v",
            "dc",
            32,
            tuple(
                records.Chain(
                    str(c),
                    (
                        records.Stage(f"{c}a", 0, 16),
                        records.Stage(f"{c}b", 16, 32),
                    ),
                    1.0,
                )
                for c in range(CHAINS)
            ),
        )
        # Speeds differ up to eightfold between and within chains.
        self.speeds = {
            s.upstream: 1600.0 * self.rng.choice((1, 2, 4, 8))
            for c in self.deployment.chains
            for s in c.stages
        }
        self.graph = graph.Graph(
            "d", 32, [self.deployment], self.speeds, lambda name: True
        )
        self.running: dict[str, int] = dict.fromkeys(self.speeds, 0)
        self.known = [
            {n: loads.UpstreamLoad(0) for n in self.speeds}
            for _ in range(ROUTERS)
        ]
        self.next_chains = [self.rng.randrange(CHAINS) for _ in range(ROUTERS)]

    def get_rate(self, path: tuple[graph.Edge, ...]) -> float:
        """Returns tokens per second of one request on a path."""
        return min(
            e.tokens_per_s / max(1, self.running[e.upstream]) for e in path
        )

    def compute_throughput_limit(self) -> float:
        """Returns the throughput of the slower half of layers, in tokens/s."""
        first = sum(e.tokens_per_s for e in self.graph.get_edges(0))
        last = sum(e.tokens_per_s for e in self.graph.get_edges(16))
        return min(first, last)

    def make_chain(self, number: int) -> tuple[graph.Edge, ...]:
        """Returns the stages of one planned chain."""
        edges = {
            e.upstream: e for b in (0, 16) for e in self.graph.get_edges(b)
        }
        chain = self.deployment.chains[number]
        return tuple(edges[s.upstream] for s in chain.stages)


def choose_random(model: Model, router: int, now_s: float) -> Path:
    """Chooses a chain uniformly at random."""
    return model.make_chain(model.rng.randrange(CHAINS))


def choose_round_robin(model: Model, router: int, now_s: float) -> Path:
    """Chooses the chains round robin."""
    model.next_chains[router] = (model.next_chains[router] + 1) % CHAINS
    return model.make_chain(model.next_chains[router])


def choose_less_loaded(model: Model, router: int, now_s: float) -> Path:
    """Chooses the less loaded of two random chains, ignoring speed."""
    pair = [model.make_chain(model.rng.randrange(CHAINS)) for _ in range(2)]
    known = model.known[router]
    return min(
        pair, key=lambda p: max(known[e.upstream].estimate(now_s) for e in p)
    )


def choose_stages(model: Model, router: int, now_s: float) -> Path:
    """Chooses the less loaded of two stages per boundary, ignoring speed."""
    known = model.known[router]
    path = []
    for boundary in (0, 16):
        pair = [
            model.rng.choice(model.graph.get_edges(boundary)) for _ in range(2)
        ]
        path.append(min(pair, key=lambda e: known[e.upstream].estimate(now_s)))
    return tuple(path)


def choose_by_cost(model: Model, router: int, now_s: float) -> Path:
    """Chooses as the router: sampled by speed, least expected time."""
    known = graph.NetworkState(model.known[router], {}, now_s)
    path = graph.choose_path(model.graph, known, model.rng)
    assert path is not None
    return path.edges


Path = tuple[graph.Edge, ...]

POLICIES: Final[dict[str, Choose]] = {
    "random": choose_random,
    "round robin": choose_round_robin,
    "shorter of two": choose_less_loaded,
    "shorter of two, stages joined freely": choose_stages,
    "cheapest of two by speed": choose_by_cost,
}


def run(choose: Choose, load: float = LOAD, seed: int = 7) -> Outcome:
    """Runs one policy; arrivals depend on load and seed only."""
    model = Model(seed)
    arrivals = random.Random(seed + 1)
    rate = load * model.compute_throughput_limit() / TOKENS
    step = 0.02
    jobs: list[Job] = []
    times: list[float] = []
    now = 0.0
    due = arrivals.expovariate(rate)
    report = 0.0
    arrived = 0
    while now < DURATION_S:
        while due <= now:
            router = arrivals.randrange(ROUTERS)
            path = choose(model, router, now)
            for edge in path:
                model.running[edge.upstream] += 1
                model.known[router][edge.upstream].own += 1
            jobs.append(Job(path, router, TOKENS, due))
            arrived += 1
            due += arrivals.expovariate(rate)
        if now >= report:
            report += REPORT_PERIOD_S
            for known in model.known:
                for name, item in known.items():
                    loads.note_report(item, model.running[name], now)
        now += step
        unfinished = []
        for job in jobs:
            job.tokens_left -= model.get_rate(job.path) * step
            if job.tokens_left > 0:
                unfinished.append(job)
                continue
            times.append(now - job.started_s)
            for edge in job.path:
                model.running[edge.upstream] -= 1
                model.known[job.router][edge.upstream].own -= 1
        jobs = unfinished
    times.sort()
    worst = heapq.nlargest(max(1, len(times) // 20), times)
    return Outcome(
        sum(times) / len(times), worst[-1], len(times) / max(1, arrived)
    )
