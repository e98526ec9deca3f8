"""Classifies an upstream's answer to an attempt; free of I/O.

The first attempt and each one that resumes an answer follow the same rules.
Once the caller has received part of its answer, only an event stream can
continue it: any other answer counts as a failed attempt, and none of it
reaches the caller. Read next: `egretspur.delivery.forward` and
`egretspur.delivery.events`.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import Final

import attrs

EVENTS_TYPE: Final = "text/event-stream"


class ForwardMode(enum.Enum):
    """How an answer is forwarded to the caller."""

    # Event by event, as they arrive.
    EVENTS = "events"
    # With the upstream's status, once the body is complete.
    BUFFERED = "whole"


@attrs.frozen
class Unusable:
    """Why an answer can't continue the one already begun."""

    reason: str


def classify(
    status: int,
    headers: Mapping[str, str],
    is_streaming: bool,
    has_begun: bool,
) -> ForwardMode | Unusable:
    """Returns how to forward an answer, given its status and headers.

    Args:
        status: HTTP status.
        headers: Header fields, by names in any case.
        is_streaming: Whether the route's answers are event streams.
        has_begun: Whether the caller has received part of its answer.
    """
    fields = {name.lower(): value for name, value in headers.items()}
    content_type = fields.get("content-type", "")
    media_type = content_type.partition(";")[0].strip().lower()
    is_events = media_type in ("", EVENTS_TYPE)
    if is_streaming and status == 200 and is_events:
        return ForwardMode.EVENTS
    if not has_begun:
        return ForwardMode.BUFFERED
    if status != 200:
        return Unusable(f"status {status} instead of the remaining events")
    return Unusable(f"{media_type} instead of the remaining events")


def check_end(
    status: int, has_begun: bool, has_new_events: bool
) -> Unusable | None:
    """Returns why a finished event stream is incomplete; None if it is not.

    Args:
        status: HTTP status.
        has_begun: Whether the caller had received events before this attempt.
        has_new_events: Whether this attempt added an event to the answer.
    """
    if has_begun and not has_new_events:
        return Unusable(
            f"status {status}, no events after those delivered before"
        )
    return None
