"""Order in which data centres are searched for a request's path: pure.

A path on which the answer is on time comes before one on which it is late, and
then a near path before a far one. When some engines become many times slower,
every answer over one of them is complete but late. While another data centre
has capacity, an answer from there is on time, and the way there costs a
fraction of a millisecond. Read next: `egretspur.routing.paths`, which finds the
cheapest path over given engines.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Container, Sequence
from typing import Final

import attrs

from egretspur.catalog import config
from egretspur.routing import cards, jobs, paths

# Fraction of a route's allowed gap between two events that one engine's pass
# may take. An event waits for the current pass on the slowest engine, then for
# its own pass there and for the steps of the other engines.
MAX_PASS_FRACTION: Final = 0.4

# Paths are compared across this many other data centres; see
# `_Finder.find_within_one`.
COMPARED_DATA_CENTRES: Final = 2


def choose(
    job: jobs.Job,
    spec: config.EngineSpec,
    candidates: cards.Candidates,
    cut_off: set[str],
    home: str,
    rng: random.Random,
    prefers_on_time: bool = True,
    list_closed: Callable[[], Container[tuple[str, str]]] = tuple,
) -> tuple[paths.Part, ...] | None:
    """Finds a path on which the answer is on time, otherwise any path.

    Args:
        job: The request.
        spec: Of the request's service.
        candidates: Usable engines.
        cut_off: Data centres whose hosts sent no recent peer updates.
        home: Data centre of this host.
        rng: Shuffles the other data centres.
        prefers_on_time: Whether to prefer paths with answers on time; otherwise
            the nearest path is used, however slow.
        list_closed: Lists the links between data centres not to use; see
            `egretspur.routing.links`.
    """
    others = [
        p for p in candidates.data_centres if p != home and p not in cut_off
    ]
    rng.shuffle(others)
    finder = _Finder(job, spec, candidates, home, list_closed)
    max_pass_s = compute_max_pass_s(job.route)
    if prefers_on_time and max_pass_s < math.inf:
        found = finder.find_within_one(others, max_pass_s)
        if found is not None or not finder.has_slow_engine(others, max_pass_s):
            return found or finder.find_across(others)
    return finder.find_within_one(others, math.inf) or finder.find_across(
        others
    )


@attrs.frozen
class _Finder:
    """Path search for one request."""

    job: jobs.Job
    spec: config.EngineSpec
    candidates: cards.Candidates
    home: str
    list_closed: Callable[[], Container[tuple[str, str]]]

    def find_within_one(
        self, others: Sequence[str], max_pass_s: float
    ) -> tuple[paths.Part, ...] | None:
        """Finds a path within one data centre, the local one if possible.

        Such a path does not load the links between data centres.

        Args:
            others: Other data centres, in random order.
            max_pass_s: Longest pass of one engine on its part.
        """
        found = self._find([self.home], max_pass_s)
        if found is not None:
            return found
        # The faster one of two random data centres with a path. Hosts know each
        # other's requests with a delay of a quarter of a second; if each took
        # the fastest of all, the hosts of a data centre would overload it.
        found_paths: list[tuple[float, tuple[paths.Part, ...]]] = []
        for data_centre in others:
            parts = self._find([data_centre], max_pass_s)
            if parts is None:
                continue
            step_s = paths.compute_path_s(
                parts, self.candidates.get(data_centre)
            )
            found_paths.append((step_s, parts))
            if len(found_paths) == COMPARED_DATA_CENTRES:
                break
        return min(found_paths, key=lambda f: f[0])[1] if found_paths else None

    def find_across(
        self, others: Sequence[str]
    ) -> tuple[paths.Part, ...] | None:
        """Finds a path across several data centres.

        Data centres that are cut off come last: if only their hosts are down,
        their engines still serve.
        """
        reachable = [
            p for p in self.candidates.data_centres if p in (self.home, *others)
        ]
        closed = self.list_closed()
        found = None
        if len(reachable) > 1:
            found = self._find(reachable, math.inf, closed)
        if found is not None or len(reachable) == len(
            self.candidates.data_centres
        ):
            return found
        return self._find(self.candidates.data_centres, math.inf, closed)

    def has_slow_engine(self, others: Sequence[str], max_pass_s: float) -> bool:
        """Tells whether an engine is too slow for all of its layers."""
        return any(
            (c.last - c.first) * c.pass_s > max_pass_s
            for c in self.candidates.list_in((self.home, *others))
        )

    def _find(
        self,
        data_centres: Sequence[str],
        max_pass_s: float,
        closed: Container[tuple[str, str]] = (),
    ) -> tuple[paths.Part, ...] | None:
        return paths.find_path(
            self.candidates.list_in(data_centres),
            self.spec.layers,
            self.job.tokens,
            self.home,
            max_pass_s=max_pass_s,
            closed=closed,
        )


def compute_max_pass_s(route: config.Route) -> float:
    """Returns the longest pass on an engine that keeps answers on time."""
    return MAX_PASS_FRACTION * route.gap_s if route.gap_s else math.inf


def compute_min_pass_limit_s(cfg: config.Configuration, service: str) -> float:
    """Returns the longest pass that is on time on all routes to a service."""
    return min(
        (
            compute_max_pass_s(r)
            for r in cfg.routes
            if any(t.service == service for t in r.targets)
        ),
        default=math.inf,
    )
