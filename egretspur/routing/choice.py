"""Where the path of a request is looked for, in which order: pure.

Near before far, and prompt before late. The pattern this answers: some engines
turn many times slower, and every answer over one of them is late, though it is
whole. While another data centre has room, an answer that goes there is prompt;
the way there costs a fraction of a millisecond. Read next:
`egretspur.routing.paths`, which finds the cheapest path over given engines.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from typing import Final

import attrs

from egretspur.catalog import config
from egretspur.routing import cards, jobs, paths

# Part of the pause that a route allows between two events that one engine's
# pass may take. An event waits for the pass that is under way on the slowest
# engine and for its own, and then for the steps of the others.
PASS_PART: Final = 0.4

# Other data centres with a path that are compared.
DRAWN: Final = 2


def choose(
    job: jobs.Job,
    spec: config.EngineSpec,
    offers: cards.Cards,
    cut_off: set[str],
    home: str,
    rng: random.Random,
    is_prompt_first: bool = True,
) -> tuple[paths.Part, ...] | None:
    """Finds a path on which the answer is prompt, else any.

    Args:
        job: The request.
        spec: Of its service.
        offers: Usable engines.
        cut_off: Data centres whose hosts are not heard.
        home: Data centre of this host.
        rng: Draws other data centres.
        is_prompt_first: Else the nearest path is taken, however slow.
    """
    others = [p for p in offers.places if p != home and p not in cut_off]
    rng.shuffle(others)
    finder = _Finder(job, spec, offers, home)
    bound_s = compute_longest_pass(job.route)
    if is_prompt_first and bound_s < math.inf:
        found = finder.find_within_one(others, bound_s)
        if found is not None or not finder.has_slow(others, bound_s):
            return found or finder.join(others)
    return finder.find_within_one(others, math.inf) or finder.join(others)


@attrs.frozen
class _Finder:
    """Looks for one request's path."""

    job: jobs.Job
    spec: config.EngineSpec
    offers: cards.Cards
    home: str

    def find_within_one(
        self, others: Sequence[str], longest_s: float
    ) -> tuple[paths.Part, ...] | None:
        """Finds a path within one data centre, the own one if it can be.

        It leaves the pipes between them alone, wherever its caller is.

        Args:
            others: Other data centres, in a random order.
            longest_s: Longest pass of one engine on its part.
        """
        found = self._find([self.home], longest_s)
        if found is not None:
            return found
        # The faster one of two that have room: what hosts know of each
        # other's requests is a quarter of a second old, and were each to take
        # the fastest of all, those of a data centre would meet at its engines.
        ways: list[tuple[float, tuple[paths.Part, ...]]] = []
        for place in others:
            parts = self._find([place], longest_s)
            if parts is None:
                continue
            step_s = paths.compute_path_s(parts, self.offers.get(place))
            ways.append((step_s, parts))
            if len(ways) == DRAWN:
                break
        return min(ways, key=lambda w: w[0])[1] if ways else None

    def join(self, others: Sequence[str]) -> tuple[paths.Part, ...] | None:
        """Finds a path over several data centres.

        Over those that are heard, else over any: where only the hosts are
        down, the engines still serve.
        """
        heard = [p for p in self.offers.places if p in (self.home, *others)]
        found = self._find(heard, math.inf) if len(heard) > 1 else None
        if found is not None or len(heard) == len(self.offers.places):
            return found
        return self._find(self.offers.places, math.inf)

    def has_slow(self, others: Sequence[str], longest_s: float) -> bool:
        """Tells whether an engine is too slow for all of its layers."""
        return any(
            (c.last - c.first) * c.pass_s > longest_s
            for c in self.offers.list_of((self.home, *others))
        )

    def _find(
        self, places: Sequence[str], longest_s: float
    ) -> tuple[paths.Part, ...] | None:
        return paths.find_path(
            self.offers.list_of(places),
            self.spec.layers,
            self.job.tokens,
            self.home,
            longest_pass_s=longest_s,
        )


def compute_longest_pass(route: config.Route) -> float:
    """Returns how long an engine's pass may take on a prompt path, in s."""
    return PASS_PART * route.gap_s if route.gap_s else math.inf


def compute_shortest_bound(cfg: config.Configuration, service: str) -> float:
    """Returns the longest pass that is prompt on every route to a service."""
    return min(
        (
            compute_longest_pass(r)
            for r in cfg.routes
            if any(t.service == service for t in r.targets)
        ),
        default=math.inf,
    )
