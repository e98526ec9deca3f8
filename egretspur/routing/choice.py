"""Where the path of a request is looked for, in which order: pure.

Near before far, and prompt before late. The pattern this answers: some engines
turn many times slower, and every answer over one of them is late, though it is
whole. While another data centre has room, an answer that goes there is prompt;
the way there costs a fraction of a millisecond. Read next:
`egretspur.routing.paths`, which finds the cheapest path over given engines.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Sequence
from typing import Final

from egretspur.catalog import config
from egretspur.routing import jobs, paths

# Part of the pause that a route allows between two events that one engine's
# pass may take. An event waits for the pass that is under way on the slowest
# engine and for its own, and then for the steps of the others.
PASS_PART: Final = 0.4


def choose(
    job: jobs.Job,
    spec: config.EngineSpec,
    cards: Sequence[paths.Card],
    cut_off: set[str],
    home: str,
    is_prompt_first: bool = True,
) -> tuple[paths.Part, ...] | None:
    """Finds a path on which the answer is prompt, else any.

    Args:
        job: The request.
        spec: Of its service.
        cards: Usable engines.
        cut_off: Data centres whose hosts are not heard.
        home: Data centre of this host.
        is_prompt_first: Else the nearest path is taken, however slow.
    """
    heard = [c for c in cards if c.data_centre not in cut_off]
    bound_s = compute_longest_pass(job.route)
    if is_prompt_first and any(
        (c.last - c.first) * c.pass_s > bound_s for c in cards
    ):
        found = _find_within_one(job, spec, cards, heard, home, bound_s)
        if found is not None:
            return found
    found = _find_within_one(job, spec, cards, heard, home, math.inf)
    if found is not None:
        return found
    # Over several of those, else over any: where only the hosts are down, the
    # engines still serve.
    found = paths.find_path(heard, spec.layers, job.tokens, home)
    if found is not None or len(heard) == len(cards):
        return found
    return paths.find_path(cards, spec.layers, job.tokens, home)


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


def _find_within_one(
    job: jobs.Job,
    spec: config.EngineSpec,
    cards: Sequence[paths.Card],
    heard: Sequence[paths.Card],
    home: str,
    longest_s: float,
) -> tuple[paths.Part, ...] | None:
    """Finds a path within one data centre, the own one or the fastest.

    It leaves the pipes between them alone, wherever its caller is.
    """

    def find(choice: Sequence[paths.Card]) -> tuple[paths.Part, ...] | None:
        return paths.find_path(
            choice, spec.layers, job.tokens, home, longest_pass_s=longest_s
        )

    found = find([c for c in cards if c.data_centre == home])
    if found is not None:
        return found
    others = [
        (paths.compute_path_s(parts, choice), parts)
        for choice in _split_by_place(heard, home)
        if (parts := find(choice)) is not None
    ]
    return min(others, key=lambda f: f[0])[1] if others else None


def _split_by_place(
    cards: Iterable[paths.Card], home: str
) -> Iterator[list[paths.Card]]:
    """Returns the engines of each data centre but the own."""
    cards = list(cards)
    for place in sorted({c.data_centre for c in cards} - {home}):
        yield [c for c in cards if c.data_centre == place]
