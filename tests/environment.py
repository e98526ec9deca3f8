"""Behave hooks: each scene is closed even if its scenario failed."""

from __future__ import annotations

import sys
from typing import Any

sys.setswitchinterval(0.001)


def before_scenario(context: Any, scenario: Any) -> None:
    """Starts each scenario without a scene."""
    context.play = None


def after_scenario(context: Any, scenario: Any) -> None:
    """Stops the processes of the scenario's scene."""
    if context.play is not None:
        context.play.close()
