"""Keeps actors and threads going when one of their steps fails.

Symptom without it: a host serves on and decides nothing more. A value that
nobody thought of raises in the thread that reads the list, probes upstreams or
owns the requests; the thread ends, and all it did is left undone for good.

A step that fails is logged with its cause, counted, and left; the next one
starts from what the actor or thread holds.
"""

from __future__ import annotations

import contextlib
import pathlib
import traceback
from collections.abc import Iterator
from typing import Final

import attrs

from egretspur import decisions

# Frames of the failing step that are logged, innermost last.
MAX_FRAMES: Final = 4


@attrs.define
class Failure:
    """What became of a step; empty while it has not failed."""

    reason: str = ""


@contextlib.contextmanager
def log_exceptions(where: str) -> Iterator[Failure]:
    """Logs an exception of the block and goes on after it.

    Args:
        where: Actor or thread, for the log.
    """
    failure = Failure()
    try:
        yield failure
    except Exception as exc:  # whatever it is, the thread must go on
        failure.reason = repr(exc)
        decisions.record(
            decisions.StepFailed(where, failure.reason, _describe_origin(exc))
        )


def _describe_origin(exc: Exception) -> str:
    """Returns the innermost frames, such as ``fleet.py:120 get_usage``."""
    frames = traceback.extract_tb(exc.__traceback__)[-MAX_FRAMES:]
    return " ".join(
        f"{pathlib.Path(f.filename).name}:{f.lineno} {f.name}" for f in frames
    )
