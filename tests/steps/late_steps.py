"""Steps that play one history of the machine of late replicas."""

from __future__ import annotations

from typing import Any

from behave import then, when

from tests.routing import late


@when("answers turn from fast to up to 2 s at 100 requests a second")
def step_turn_slow(context: Any) -> None:
    state = late.LateMachine()
    state.start(seed=90, part=0.8, patience_s=2.5)
    state.wait(seconds=8.0)
    state.vary_work(part=0.0)
    state.fail(share=0.2)
    state.wait(seconds=2.0)
    state.wait(seconds=2.0)
    state.change_load(rate=100.0)
    state.vary_work(part=0.8)
    context.late = state


@then("all limits on retries hold")
def step_hold(context: Any) -> None:
    context.late.teardown()
