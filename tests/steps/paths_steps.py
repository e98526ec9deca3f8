"""Steps on the choice of a path."""

from __future__ import annotations

import math
import random
from typing import Any

import hypothesis
from behave import given, then, when
from hypothesis import strategies as st

from egretspur.routing import paths
from tests import exact, fleets, fuzz

HISTORIES = 400 if fuzz.IS_LONG else 60


def make_card(text: str) -> paths.Candidate:
    """Returns a card from ``name layers milliseconds room data-centre``."""
    name, layers, layer_ms, free, data_centre = text.split()
    first, last = layers.split("-")
    return paths.Candidate(
        name,
        name,
        data_centre,
        int(first),
        int(last),
        float(layer_ms) / 1000,
        float(free),
    )


@given('candidates "{cards}"')
def step_cards(context: Any, cards: str) -> None:
    context.cards = [make_card(c) for c in cards.split(", ")]


@when("a path for {tokens:d} tokens is chosen from kl-hall")
def step_choose(context: Any, tokens: int) -> None:
    context.path = paths.find_path(context.cards, 80, tokens, "kl-hall")


@then('it is "{path}"')
def step_path(context: Any, path: str) -> None:
    if hasattr(context, "outcome"):
        assert context.outcome == path, context.outcome
        return
    found = "none"
    if context.path:
        found = " ".join(f"{p.id}:{p.first}-{p.last}" for p in context.path)
    assert found == path, found


def list_paths(
    cards: list[paths.Candidate], layers: int, at: int, used: frozenset[str]
) -> list[tuple[paths.Part, ...]]:
    """Returns all paths from a boundary, by trying every one."""
    if at == layers:
        return [()]
    ends = {c.first for c in cards} | {c.last for c in cards} | {layers}
    found = []
    for card in cards:
        if card.id in used or not card.first <= at < card.last:
            continue
        for end in sorted(e for e in ends if at < e <= min(card.last, layers)):
            part = paths.Part(card.id, card.address, at, end)
            for rest in list_paths(cards, layers, end, used | {card.id}):
                found.append((part, *rest))
    return found


@when("paths are chosen over random ranges")
def step_random_ranges(context: Any) -> None:
    context.checked = 0
    layers = 8
    ranges = st.tuples(
        st.integers(0, layers - 1), st.integers(1, layers), st.integers(1, 20)
    )

    @hypothesis.settings(
        max_examples=5 * HISTORIES, deadline=None, derandomize=True
    )
    @hypothesis.given(st.lists(ranges, max_size=5))
    def check(items: list[tuple[int, int, int]]) -> None:
        cards = [
            paths.Candidate(
                f"c{i}", f"c{i}", "kl-hall", a, min(a + n, layers), w / 1e3, 1e9
            )
            for i, (a, n, w) in enumerate(items)
        ]
        found = paths.find_path(cards, layers, 1.0, "kl-hall")
        every = list_paths(cards, layers, 0, frozenset())
        assert (found is None) == (not every)
        context.checked += 1
        if found is None:
            return
        held = {c.id: c for c in cards}
        assert [p.first for p in found] == [0, *(p.last for p in found[:-1])]
        assert found[-1].last == layers
        assert all(
            held[p.id].first <= p.first < p.last <= held[p.id].last
            for p in found
        )
        assert len({p.id for p in found}) == len(found)
        best = min(compute_cost(p, cards) for p in every)
        assert compute_cost(found, cards) <= best + 1e-9, (found, every)

    check()


def compute_cost(
    path: tuple[paths.Part, ...], cards: list[paths.Candidate]
) -> float:
    """Returns what a path costs, all engines being empty."""
    hops = (len(path) - 1) * paths.Costs().hop_s
    return paths.compute_path_s(path, cards) + hops


@then("each runs every layer once and in order, within what is held and free")
@then("none costs more than the best of all paths tried one by one")
def step_paths_checked(context: Any) -> None:
    # The checks run for every example.
    assert context.checked >= HISTORIES


# Room that an engine has left in a random layout, in tokens times layers: for
# dozens of requests, or here and there for a few layers of one.
ROOMS = {"plenty": (2e5, 1e6), "scarce": (0.0, 3e4)}
TOKENS = 900.0
PLACES = sorted(fleets.DATA_CENTRES)


def make_layout(
    rng: random.Random, engines: int, places: int, room: str
) -> list[paths.Candidate]:
    """Returns engines that hold random layers of 80."""
    cards = []
    for i in range(engines):
        first = max(0, rng.randrange(-4, 76))
        last = min(80, first + rng.choice((6, 10, 18, 24)))
        cards.append(
            paths.Candidate(
                f"c{i}",
                f"c{i}",
                PLACES[i % places],
                first,
                last,
                rng.uniform(0.3e-4, 4e-4),
                rng.uniform(*ROOMS[room]),
                rng.uniform(0.0, 2e-3),
            )
        )
    return cards


def compute_full_cost(
    path: tuple[paths.Part, ...], cards: list[paths.Candidate], home: str
) -> float:
    """Returns what a path costs a request of `TOKENS`, as `Costs` tells it."""
    costs = paths.Costs()
    held = {c.id: c for c in cards}
    total_s, place = 0.0, home
    for part in path:
        card = held[part.id]
        wanted = (part.last - part.first) * TOKENS
        assert wanted <= card.free, (part, card)
        assert card.first <= part.first < part.last <= card.last
        total_s += (part.last - part.first) * card.layer_s
        total_s += costs.hop_s * costs.fullness_weight * wanted / card.free
        if part.first:
            total_s += costs.hop_s
        if card.data_centre != place:
            total_s += costs.cross_s if part.first else costs.entry_s
        place = card.data_centre
    return total_s


@when(
    "paths are chosen over random layouts of {engines:d} engines in"
    " {places:d} data centres, {room}"
)
def step_random_layouts(
    context: Any, engines: int, places: int, room: str
) -> None:
    context.costs = []
    home = PLACES[0]
    for seed in range(HISTORIES // 2):
        rng = random.Random(seed)
        cards = make_layout(rng, engines, places, room)
        longest_s = rng.choice((math.inf, 0.02))
        args = (cards, 80, TOKENS, home, None, longest_s)
        found, best = paths.find_path(*args), exact.find_path(*args)
        assert (found is None) <= (best is None), (seed, best)
        if found is None or best is None:
            continue
        assert [p.first for p in found] == [0, *(p.last for p in found[:-1])]
        assert found[-1].last == 80
        assert len({p.id for p in found}) == len(found)
        context.costs.append(
            (
                compute_full_cost(found, cards, home),
                compute_full_cost(best, cards, home),
            )
        )


@then("each has room and costs no more than the path of an exhaustive search")
def step_layouts_checked(context: Any) -> None:
    # The checks of room run for every layout.
    assert context.costs
    for found_s, best_s in context.costs:
        assert found_s <= best_s + 1e-9, (found_s, best_s)
