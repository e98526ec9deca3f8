"""What engines and services ask of the hosts in their answers' fields.

The only place that knows these fields of the product's own interface. Read
next: `egretspur.signals`.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from egretspur import signals

# Requests a second that the one who answers takes from all hosts together.
LIMIT: Final = "Server-Limit"

# The one who answers leaves.
LEAVING: Final = "Server-Leaving"


def read(status: int, fields: Mapping[str, str]) -> signals.Signals:
    """Returns what an answer asks of the hosts.

    Args:
        status: Of the answer.
        fields: Its header fields, by names in any case.
    """
    return signals.read(status, fields, LIMIT, LEAVING)
