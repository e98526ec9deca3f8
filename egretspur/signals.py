"""What upstreams ask of the hosts in the fields of their answers: pure.

Both interfaces spell the values alike. Read next:
`egretspur.admission.throttle`.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from typing import Final

import attrs

# A number without sign, exponent or name; a longer one is none either.
_DECIMAL: Final = re.compile(r"(?=.{1,20}\Z)(\d+\.?\d*|\.\d+)\Z", re.ASCII)


# Status of an answer that turns a request away for now.
UNAVAILABLE: Final = 503

# Standard header field, in seconds.
RETRY_AFTER: Final = "Retry-After"


@attrs.frozen
class Unreadable:
    """A value that is none; what was asked before holds."""

    field: str
    problem: str


@attrs.frozen
class Signals:
    """What an answer asks."""

    # Requests a second that its upstream takes from all hosts together; None
    # if it names none.
    per_s: float | None | Unreadable = None
    # Seconds for which the upstream wants nothing from this host; None if it
    # does not ask for it.
    backoff_s: float | None | Unreadable = None
    # It leaves, and takes nothing new for long.
    is_leaving: bool = False


NONE: Final = Signals()

# Told what an answer asks, by the id or name of its upstream.
NoteSignals = Callable[[str, Signals], None]


def read(
    status: int, fields: Mapping[str, str], limit: str, leaving: str
) -> Signals:
    """Returns what an answer asks of the hosts.

    Args:
        status: Of the answer.
        fields: Its header fields, by names in any case.
        limit: Name of the field that holds a limit.
        leaving: Name of the field that tells that its upstream leaves.
    """
    return Signals(
        parse_limit(fields.get(limit)),
        parse_backoff(status, fields.get(RETRY_AFTER)),
        parse_leaving(fields.get(leaving)),
    )


def parse_limit(text: str | None) -> float | None | Unreadable:
    """Returns the requests a second that an answer names, None if none.

    Args:
        text: The field's value; several stand in one, with commas between.
    """
    if text is None:
        return None
    return _parse(text, "limit", min)


def parse_backoff(status: int, text: str | None) -> float | None | Unreadable:
    """Returns the seconds of rest that an answer asks for, None if none.

    Args:
        status: Of the answer; only one that turns a request away asks for it.
        text: The field's value.
    """
    if status != UNAVAILABLE or text is None:
        return None
    return _parse(text, "rest", max)


def parse_leaving(text: str | None) -> bool:
    """Returns whether an answer tells that its upstream leaves."""
    return text is not None and "1" in map(str.strip, text.split(","))


def _parse(
    text: str, field: str, choose: Callable[[list[float]], float]
) -> float | Unreadable:
    """Returns the decimal in a field, of several the one that asks for more."""
    found = [float(v) for v in map(str.strip, text.split(",")) if _is_one(v)]
    if not found:
        return Unreadable(field, f"not a decimal: {text!r:.40}")
    return choose(found)


def _is_one(text: str) -> bool:
    return _DECIMAL.match(text) is not None
