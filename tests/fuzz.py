"""Runs a hypothesis state machine from a step, derandomized or long."""

from __future__ import annotations

import os
from typing import Final

import hypothesis
from hypothesis import stateful

# Set by ``make fuzz``.
IS_LONG: Final = os.environ.get("EGRETSPUR_FUZZ") == "long"

LONG_FACTOR: Final = 30

PHASES: Final = (
    hypothesis.Phase.explicit,
    hypothesis.Phase.generate,
    hypothesis.Phase.shrink,
)


def run_machine(
    machine: type[stateful.RuleBasedStateMachine], histories: int, steps: int
) -> None:
    """Runs histories of a machine; identical in each run unless long.

    Raises:
        AssertionError: One failed; with its steps, as the runner shows only the
            message.
    """
    settings = hypothesis.settings(
        max_examples=histories * (LONG_FACTOR if IS_LONG else 1),
        stateful_step_count=steps,
        derandomize=not IS_LONG,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
        # Shrinking a failing history can take minutes, and CI only needs
        # the failure. ``make fuzz`` shrinks.
        phases=PHASES if IS_LONG else PHASES[:-1],
        print_blob=IS_LONG,
    )
    try:
        stateful.run_state_machine_as_test(machine, settings=settings)
    except Exception as exc:
        notes = getattr(exc, "__notes__", ())
        raise AssertionError("\n".join((repr(exc), *notes))) from exc
