"""Steps that run the state machines."""

from __future__ import annotations

from typing import Any

from behave import then, when

from tests import fuzz
from tests.routing import machine as routing

MACHINES: dict[str, Any] = {
    "routing": routing.RoutingMachine,
}


@when("the {name} machine runs {histories:d} histories of {steps:d} steps")
def step_run(context: Any, name: str, histories: int, steps: int) -> None:
    fuzz.run_machine(MACHINES[name], histories, steps)
    context.finished = True


@then("the oracle found nothing")
def step_found_nothing(context: Any) -> None:
    assert context.finished
