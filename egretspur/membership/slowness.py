"""Encoding of which plain replicas a host finds slow as a datagram.

Each host sees a few requests a second at a replica, so alone it takes seconds
to learn that one reads late, and a retry at each replica. It is sent only while
a replica is slow, in the form of `egretspur.membership.tagged`. Read next:
`egretspur.routing.timeouts`.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

import attrs

from egretspur import checks
from egretspur.membership import datagrams, tagged

# First element of the list, which tells it from a peer update.
TAG: Final = "slow"

# How the datagram of an update begins.
PREFIX: Final = tagged.make_prefix(TAG)

# Limit on replicas in one datagram, so that it fits into one packet.
MAX_REPLICAS: Final = 32


@attrs.frozen
class SlownessUpdate:
    """Plain replicas that a host, or its data centre, finds slow."""

    # The sending host; see `egretspur.addresses`.
    host: str
    data_centre: str
    # Seconds that a replica lately took to answer, or left one waiting.
    slowest_s: Mapping[str, float]

    def is_empty(self) -> bool:
        """Returns whether there is nothing to send."""
        return not self.slowest_s


def encode(update: SlownessUpdate) -> bytes:
    """Returns the datagram for an update, with the slowest replicas."""
    rows = sorted(update.slowest_s.items(), key=lambda i: -i[1])
    fields = {i: round(s, 2) for i, s in rows[:MAX_REPLICAS]}
    return tagged.encode(TAG, update.host, update.data_centre, fields)


def decode(data: bytes) -> SlownessUpdate | datagrams.InvalidUpdate:
    """Returns the update in a datagram, or why it is refused."""
    return tagged.decode(data, TAG, _read)


def _read(host: str, data_centre: str, table: checks.Table) -> SlownessUpdate:
    return SlownessUpdate(
        host,
        data_centre,
        {i: checks.check_number(s, TAG) for i, s in table.items()},
    )
