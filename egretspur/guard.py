"""Keeps actors and threads running when one of their steps fails.

Without it, an unexpected value raises in the thread that reads the list of
upstreams, probes them or owns the requests. The thread ends and its work is
never done again: the host still accepts requests but decides nothing more.

A step that fails is logged with its cause and counted; the next step starts
from the state that the actor or thread has.
"""

from __future__ import annotations

import contextlib
import pathlib
import traceback
from collections.abc import Iterator
from typing import Final

import attrs

from egretspur import decisions

# Stack frames that are logged for a failed step, innermost last.
MAX_FRAMES: Final = 4


@attrs.define
class Failure:
    """Why a step failed; the reason is empty if it did not."""

    reason: str = ""


@contextlib.contextmanager
def log_exceptions(where: str) -> Iterator[Failure]:
    """Logs an exception of the block and suppresses it.

    Args:
        where: Name of the actor or thread, for the log.
    """
    failure = Failure()
    try:
        yield failure
    except Exception as exc:  # the thread must survive any error
        failure.reason = repr(exc)
        decisions.record(
            decisions.StepFailed(where, failure.reason, _describe_origin(exc))
        )


def _describe_origin(exc: Exception) -> str:
    """Returns the innermost frames, each as ``fleet.py:120 get_usage``."""
    frames = traceback.extract_tb(exc.__traceback__)[-MAX_FRAMES:]
    return " ".join(
        f"{pathlib.Path(f.filename).name}:{f.lineno} {f.name}" for f in frames
    )
