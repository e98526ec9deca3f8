"""Steps on the placement of layers over the engines of a data centre."""

from __future__ import annotations

from typing import Any

import attrs
import hypothesis
from behave import given, then, when
from hypothesis import strategies as st

from egretspur.catalog import upstreams
from egretspur.placement import ranges
from egretspur.routing import paths
from tests import fleets, fuzz

HISTORIES = 400 if fuzz.IS_LONG else 60

# Plans after which a layout must be stable.
MAX_PLANS = 60


def follow(
    engines: list[ranges.Engine], orders: dict[str, upstreams.Layers]
) -> list[ranges.Engine]:
    """Returns the engines once orders are carried out."""
    return [attrs.evolve(e, held=orders.get(e.id, e.held)) for e in engines]


def find_gaps(engines: list[ranges.Engine]) -> list[tuple[int, int]]:
    """Returns the layers that nobody holds."""
    held = [(e.held.first, e.held.last) for e in engines if e.held]
    return paths.find_gaps(held, fleets.SPEC.layers)


def compute_rooms(engines: list[ranges.Engine]) -> dict[str, float]:
    """Returns each engine's room on a layer, in tokens."""
    return {
        e.id: ranges.compute_kv_tokens(e.accelerator, fleets.SPEC, e.held.count)
        for e in engines
        if e.held
    }


@given('the empty engines of "{data_centre}"')
def step_empty(context: Any, data_centre: str) -> None:
    context.engines = fleets.make_empty(data_centre)
    context.elsewhere = []


@given('empty engines "{counts}"')
def step_empty_counts(context: Any, counts: str) -> None:
    context.engines = [
        fleets.make_engine(f"{kind}-{i}")
        for kind, count in (word.split() for word in counts.split(", "))
        for i in range(int(count))
    ]
    context.elsewhere = []


@given('the engines of "{data_centre}" as planned')
def step_planned(context: Any, data_centre: str) -> None:
    step_empty(context, data_centre)
    for _ in range(2):
        step_plan(context)


@given("engines")
def step_engines(context: Any) -> None:
    context.engines = [
        fleets.make_engine(row["engine"], row["layers"])
        for row in context.table
    ]
    context.elsewhere = []


@given('"{name}" has just been listed')
def step_new(context: Any, name: str) -> None:
    context.engines = [
        attrs.evolve(e, is_new=e.id == name) for e in context.engines
    ]


@given("all of them are in use")
def step_in_use(context: Any) -> None:
    context.engines = [attrs.evolve(e, is_idle=False) for e in context.engines]


@given('other data centres hold "{layers}"')
def step_elsewhere(context: Any, layers: str) -> None:
    context.elsewhere = [fleets.parse_layers(layers)]


@when("layers are planned")
def step_plan(context: Any) -> None:
    context.orders = ranges.plan_orders(
        context.engines, fleets.SPEC, context.elsewhere
    )
    context.engines = follow(context.engines, context.orders)


@when('"{name}" leaves and layers are planned')
def step_leaves(context: Any, name: str) -> None:
    context.engines = [e for e in context.engines if e.id != name]
    step_plan(context)


@when('"{names}" are no longer in use and layers are planned')
def step_idle(context: Any, names: str) -> None:
    idle = names.split(", ")
    context.engines = [
        attrs.evolve(e, is_idle=e.id in idle) for e in context.engines
    ]
    step_plan(context)


@then("every layer is held")
def step_all_held(context: Any) -> None:
    assert not find_gaps(context.engines), find_gaps(context.engines)


@then("every engine keeps room for at least {tokens:d} tokens")
def step_room(context: Any, tokens: int) -> None:
    rooms = compute_rooms(context.engines)
    assert min(rooms.values()) >= tokens, rooms


@then("every layer has at least {part:g} of the mean capacity for requests")
def step_even(context: Any, part: float) -> None:
    rooms = compute_rooms(context.engines)
    tokens = [
        sum(
            rooms[e.id]
            for e in context.engines
            if e.held and e.held.first <= layer < e.held.last
        )
        for layer in range(fleets.SPEC.layers)
    ]
    mean = sum(tokens) / len(tokens)
    assert min(tokens) >= part * mean, (min(tokens), mean)


@then("a second plan orders nothing")
def step_stable(context: Any) -> None:
    # The first plan closes the gaps, the second one adds twins.
    step_plan(context)
    step_plan(context)
    assert not context.orders, context.orders


@then("whichever engine is lost, a plan holds every layer again")
def step_any_lost(context: Any) -> None:
    context.loads = []
    after: list[ranges.Engine] = []
    for lost in context.engines:
        left = [e for e in context.engines if e.id != lost.id]
        orders = ranges.plan_orders(left, fleets.SPEC)
        for engine in left:
            if engine.id in orders:
                context.loads.append(count_new(engine, orders[engine.id]))
        left = follow(left, orders)
        assert not find_gaps(left), (lost.id, orders)
        after += left
    context.engines = after


def count_new(engine: ranges.Engine, wanted: upstreams.Layers) -> int:
    """Returns how many layers an engine has to load."""
    have = range(0)
    if engine.held:
        have = range(engine.held.first, engine.held.last)
    return sum(1 for i in range(wanted.first, wanted.last) if i not in have)


@then("no engine loads more than {most:d} layers for it")
def step_loads(context: Any, most: int) -> None:
    assert max(context.loads) <= most, context.loads


@then('"{name}" is ordered to hold "{layers}"')
def step_ordered(context: Any, name: str, layers: str) -> None:
    found = context.orders.pop(name, None)
    assert found == fleets.parse_layers(layers), (found, context.orders)


@then("nothing else is ordered")
def step_nothing(context: Any) -> None:
    assert not context.orders, context.orders


def plan_often(engines: list[ranges.Engine]) -> list[ranges.Engine]:
    """Returns the engines once plans order nothing more."""
    for _ in range(MAX_PLANS):
        orders = ranges.plan_orders(engines, fleets.SPEC)
        if not orders:
            return engines
        before = find_gaps(engines)
        engines = follow(engines, orders)
        lost = set(list_layers(find_gaps(engines))) - set(list_layers(before))
        assert not lost, (orders, lost)
    raise AssertionError(f"still orders {orders}")


def list_layers(gaps: list[tuple[int, int]]) -> list[int]:
    """Returns the layers of gaps."""
    return [n for a, b in gaps for n in range(a, b)]


@when("layers are planned until nothing is ordered")
def step_plan_often(context: Any) -> None:
    context.engines = plan_often(context.engines)


@when(
    "plans for random data centres are followed through losses that leave room"
)
def step_losses(context: Any) -> None:
    context.checked = 0

    @hypothesis.settings(
        max_examples=HISTORIES, deadline=None, database=None, derandomize=True
    )
    @hypothesis.given(
        st.lists(
            st.sampled_from(sorted(fleets.ACCELERATORS)),
            min_size=4,
            max_size=14,
        ),
        st.lists(st.integers(0, 13), min_size=1, max_size=6),
    )
    def check(kinds: list[str], losses: list[int]) -> None:
        engines = plan_often(
            [fleets.make_engine(f"{k}-{i}") for i, k in enumerate(kinds)]
        )
        for loss in losses:
            if loss < len(engines):
                del engines[loss]
            room = sum(
                ranges.compute_max_layers(
                    e.accelerator, fleets.SPEC, ranges.KV_TOKENS_LEVELS[-1]
                )
                for e in engines
            )
            if room < fleets.SPEC.layers:
                return
            engines = plan_often(engines)
            assert not find_gaps(engines), engines
            context.checked += 1

    check()


@then("every layer was held again after each loss")
def step_held_again(context: Any) -> None:
    # The check runs after each loss of each history.
    assert context.checked >= HISTORIES // 2, context.checked


@when("plans for random data centres are followed through random losses")
def step_random(context: Any) -> None:
    context.checked = 0

    @hypothesis.settings(
        max_examples=HISTORIES, deadline=None, database=None, derandomize=True
    )
    @hypothesis.given(
        st.lists(st.sampled_from(sorted(fleets.ACCELERATORS)), min_size=1),
        st.lists(st.integers(0, 30), max_size=6),
    )
    def check(kinds: list[str], losses: list[int]) -> None:
        engines = [
            fleets.make_engine(f"{kind}-{i}") for i, kind in enumerate(kinds)
        ]
        for loss in [-1, -1, *losses]:
            if 0 <= loss < len(engines):
                del engines[loss]
            orders = ranges.plan_orders(engines, fleets.SPEC)
            before = sum(b - a for a, b in find_gaps(engines))
            engines = follow(engines, orders)
            rooms = compute_rooms(engines)
            assert all(r >= 0 for r in rooms.values()), (orders, rooms)
            after = sum(b - a for a, b in find_gaps(engines))
            assert after <= before, (orders, engines)
            context.checked += 1

    check()


@then("no accelerator is ever ordered to hold more than its memory")
@then("no plan takes away the last holder of a layer")
def step_checked(context: Any) -> None:
    # The checks run at every step of every history.
    assert context.checked > HISTORIES
