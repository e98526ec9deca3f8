"""Hooks of behave: every scene is closed, whatever happened."""

from __future__ import annotations

import sys
from typing import Any

sys.setswitchinterval(0.001)


def before_scenario(context: Any, scenario: Any) -> None:
    """Gives each scenario a clean slate."""
    context.play = None


def after_scenario(context: Any, scenario: Any) -> None:
    """Ends the processes of the scenario's scene."""
    if context.play is not None:
        context.play.close()
