"""Encoding of which plain replicas a host finds slow as a datagram.

Each host sees a few requests a second at a replica, so alone it takes seconds
to learn that one reads late, and a retry at each replica. It travels apart from
the peer update (`egretspur.membership.sidechannels`), and only while a replica
is slow. It may come from any sender: a field of the wrong type is refused with
the reason. Read next: `egretspur.routing.timeouts`.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

import attrs
import orjson

from egretspur import checks, codec
from egretspur.membership import datagrams

# First element of the list, which tells it from a peer update.
TAG: Final = "slow"

# How the datagram of an update begins.
PREFIX: Final = f'["{TAG}"'.encode()

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
    return orjson.dumps(
        [
            TAG,
            update.host,
            update.data_centre,
            {i: round(s, 2) for i, s in rows[:MAX_REPLICAS]},
        ]
    )


def decode(data: bytes) -> SlownessUpdate | datagrams.InvalidUpdate:
    """Returns the update in a datagram, or why it is refused."""
    try:
        tag, host, data_centre, rows = checks.check_row(
            codec.load_json(data), TAG, 4
        )
        if tag != TAG:
            raise checks.FieldError(TAG, f"begins with {tag!r:.40}")
        return SlownessUpdate(
            datagrams.check_host(host),
            checks.check_text(data_centre, "data_centre"),
            {
                i: checks.check_number(s, TAG)
                for i, s in checks.Table(rows, TAG).items()
            },
        )
    except checks.FieldError as exc:
        return datagrams.InvalidUpdate(exc.field, str(exc))
    except codec.DecodeError as exc:
        return datagrams.InvalidUpdate("bytes", str(exc))
