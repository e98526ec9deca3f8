"""Steps on the model of engines."""

from __future__ import annotations

import itertools
from typing import Any

import attrs
from behave import given, then, when

from bench import fleet, fleetplay, passes
from egretspur.routing import paths
from tests import fleets

# Layers of the first engine of two.
FIRST = 40


@given("a chain of two engines of the model")
def step_chain(context: Any) -> None:
    context.timeline = passes.Timeline()
    context.model = passes.Engines(fleets.SPEC, context.timeline)
    kind = fleets.SPEC.accelerators["a100"]
    for i, held in enumerate(((0, FIRST), (FIRST, 80))):
        context.model.add(passes.Engine(f"e{i}", "kl", kind, held))
    context.parts = (
        paths.Part("e0", "e0", 0, FIRST),
        paths.Part("e1", "e1", FIRST, 80),
    )


def make_run(context: Any, name: str, prompt: int, answer: int) -> passes.Run:
    """Returns a run that keeps the times of its events."""
    run = passes.Run(name, context.parts, prompt, answer)
    run.on_event = lambda: context.events.append(context.timeline.now_s)
    run.on_end = lambda: context.ended.append(name)
    return run


@when("one request of {prompt:d} tokens runs alone")
def step_alone(context: Any, prompt: int) -> None:
    context.events, context.ended = [], []
    context.prompt = prompt
    context.model.start(make_run(context, "r", prompt, 9))
    context.timeline.run(5.0)


@then("its first event comes after the time its reading and steps take")
def step_first(context: Any) -> None:
    spec = fleets.SPEC
    # Both stages together read the prompt once over all layers.
    factor = spec.accelerators["a100"].prefill_factor
    expected = context.prompt / spec.prefill_tokens_per_s * factor
    first = context.events[0]
    assert expected <= first <= expected + 0.005, (expected, first)


@then("its later events come after one pass of each stage")
def step_later(context: Any) -> None:
    spec = fleets.SPEC
    pace = spec.accelerators["a100"].pace
    step = spec.step_s + spec.per_request_s + spec.per_token_s * context.prompt
    expected = spec.stride * step * pace
    gaps = [b - a for a, b in itertools.pairwise(context.events)]
    assert len(gaps) == 2, context.events
    for gap in gaps:
        assert expected * 0.95 <= gap <= expected * 1.05 + 0.002, gaps


@when("more requests run than their request memory holds")
def step_crowd(context: Any) -> None:
    context.events, context.ended = [], []
    # Two gigabytes are left on each card: about 2,100 tokens.
    for i in range(8):
        context.model.start(make_run(context, f"r{i}", 500, 30))
        context.timeline.run(0.001 * (i + 1))
    context.timeline.run(20.0)


@then("the newest are put back and all end")
def step_put_back(context: Any) -> None:
    engines = context.model.engines.values()
    assert sum(e.preempted for e in engines) > 0
    assert len(context.ended) == 8, context.ended
    assert context.ended[0] == "r0", context.ended
    assert not any(e.resident or e.waiting for e in engines)


def play(
    load: float, seed: int = 1, losses: int = 0, length_s: float = 12.0
) -> fleetplay.Outcome:
    """Plays a short day."""
    rates = {place: rate * load for place, rate in fleet.RATES.items()}
    troubles = tuple(
        fleetplay.Fault("crash", 3.0 + 3 * i, 2.0) for i in range(losses)
    )
    day = fleetplay.Day("d", rates, troubles, length_s, seed)
    policy = fleetplay.Policy("own")
    return fleetplay.Simulation(
        fleets.SPEC, fleets.DATA_CENTRES, day, policy
    ).run()


@when("a day is played twice with seed {first:d} and once with seed {other:d}")
def step_seeds(context: Any, first: int, other: int) -> None:
    context.outcomes = [
        attrs.asdict(play(0.5, seed, length_s=5.0))
        for seed in (first, first, other)
    ]


@then("the first two outcomes are the same and the third differs")
def step_same(context: Any) -> None:
    first, second, third = context.outcomes
    assert first == second and first != third, context.outcomes


@when(
    "a day is played at {load:g} times the usual load"
    " with {losses:d} engines lost"
)
def step_day(context: Any, load: float, losses: int) -> None:
    context.outcome = play(load, losses=losses, length_s=8.0)


@then("between {low:g} and {high:g} of what is owed is earned")
def step_worth(context: Any, low: float, high: float) -> None:
    assert low <= context.outcome.worth <= high, context.outcome
    out = context.outcome
    ended = out.prompt + out.late + out.refused + out.failed
    assert ended == out.arrived, out
