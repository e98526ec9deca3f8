"""Rate limits, backoffs and leaving notices in upstreams' answers: pure.

Both interfaces use the same format for the values. Read next:
`egretspur.admission.throttle`.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from typing import Final

import attrs

# A decimal of up to 20 characters without sign or exponent; excludes names of
# numbers such as ``inf``.
_DECIMAL: Final = re.compile(r"(?=.{1,20}\Z)(\d+\.?\d*|\.\d+)\Z", re.ASCII)


# Status of an answer that refuses a request temporarily.
UNAVAILABLE: Final = 503

# Standard header field, in seconds.
RETRY_AFTER: Final = "Retry-After"


@attrs.frozen
class Unreadable:
    """A value that could not be parsed; the previous one still holds."""

    field: str
    problem: str


@attrs.frozen
class Signals:
    """Signals of an upstream in one answer."""

    # Requests a second that it accepts from all hosts together; None if the
    # answer sets no limit.
    per_s: float | None | Unreadable = None
    # Seconds for which this host is to send it nothing; None if the answer sets
    # no backoff.
    backoff_s: float | None | Unreadable = None
    # Whether it is leaving and will not accept requests for long.
    is_leaving: bool = False


NO_SIGNALS: Final = Signals()

# Called with the id or name of an upstream and the signals of its answer.
SignalsCallback = Callable[[str, Signals], None]


def read(
    status: int, fields: Mapping[str, str], limit: str, leaving: str
) -> Signals:
    """Returns the signals of an answer.

    Args:
        status: Status of the answer.
        fields: Header fields of the answer, with names in any case.
        limit: Name of the field with the rate limit.
        leaving: Name of the field with the leaving notice.
    """
    return Signals(
        parse_limit(fields.get(limit)),
        parse_backoff(status, fields.get(RETRY_AFTER)),
        parse_leaving(fields.get(leaving)),
    )


def parse_limit(text: str | None) -> float | None | Unreadable:
    """Returns the rate limit in an answer, None if there is none.

    Args:
        text: The field's value; several values are separated by commas.
    """
    if text is None:
        return None
    return _parse(text, "limit", min)


def parse_backoff(status: int, text: str | None) -> float | None | Unreadable:
    """Returns the backoff in an answer in seconds, None if there is none.

    Args:
        status: Status of the answer; only a refusal sets a backoff.
        text: The field's value.
    """
    if status != UNAVAILABLE or text is None:
        return None
    return _parse(text, "rest", max)


def parse_leaving(text: str | None) -> bool:
    """Tells whether an answer has a leaving notice."""
    return text is not None and "1" in map(str.strip, text.split(","))


def _parse(
    text: str, field: str, choose: Callable[[list[float]], float]
) -> float | Unreadable:
    """Returns the decimal in a field, of several the most restrictive one."""
    found = [float(v) for v in map(str.strip, text.split(",")) if _is_one(v)]
    if not found:
        return Unreadable(field, f"not a decimal: {text!r:.40}")
    return choose(found)


def _is_one(text: str) -> bool:
    return _DECIMAL.match(text) is not None
