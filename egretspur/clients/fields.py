"""Signals to the hosts in the headers of engines' and services' responses.

Only this module knows these fields of the product's own interface. Read next:
`egretspur.signals`.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from egretspur import signals

# Requests per second that the upstream accepts from all hosts together.
LIMIT: Final = "Server-Limit"

# Set if the upstream is leaving.
LEAVING: Final = "Server-Leaving"


def read(status: int, fields: Mapping[str, str]) -> signals.Signals:
    """Returns the signals of a response.

    Args:
        status: Status of the response.
        fields: Its header fields, by case-insensitive name.
    """
    return signals.read(status, fields, LIMIT, LEAVING)
