"""What an upstream's answer to an attempt counts as: pure.

The first attempt and each one that resumes an answer are judged alike. Once the
caller has a part of its answer, only events can go on with it: whatever else an
upstream says is an attempt that failed, and none of it reaches the caller. Read
next: `egretspur.delivery.forward` and `egretspur.delivery.events`.
"""

from __future__ import annotations

import enum
from typing import Final

import attrs

EVENTS_TYPE: Final = "text/event-stream"


class Form(enum.Enum):
    """How an answer is passed on."""

    # Event by event, as they come.
    EVENTS = "events"
    # With its status, once all of it is there.
    WHOLE = "whole"


@attrs.frozen
class Unfit:
    """Why an answer can't go on with the one that the caller has a part of."""

    reason: str


def judge(
    status: int, content_type: str, is_streaming: bool, has_begun: bool
) -> Form | Unfit:
    """Returns how an answer is passed on, given its head.

    Args:
        status: Of the answer.
        content_type: As the upstream declares it; empty if it doesn't.
        is_streaming: The route's answers are events.
        has_begun: The caller has a part of its answer.
    """
    kind = content_type.partition(";")[0].strip().lower()
    is_events = kind in ("", EVENTS_TYPE)
    if is_streaming and status == 200 and is_events:
        return Form.EVENTS
    if not has_begun:
        return Form.WHOLE
    if status != 200:
        return Unfit(f"status {status} where events were to go on")
    return Unfit(f"{kind} where events were to go on")


def judge_end(status: int, has_begun: bool, has_brought: bool) -> Unfit | None:
    """Returns why events that have ended are not the whole answer, if so.

    Args:
        status: Of the answer.
        has_begun: The caller had a part of its answer before.
        has_brought: It has brought an event that the caller did not have.
    """
    if has_begun and not has_brought:
        return Unfit(f"status {status}, no events where some were missing")
    return None
