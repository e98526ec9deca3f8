"""Encoding of a host's contention update as a datagram.

Hosts share what they need to know of each other while capacity is scarce: load
of the links between data centres, waiting requests, and callers told to return.
It has the form of `egretspur.membership.tagged`.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import Any, Final

import attrs

from egretspur import checks
from egretspur.admission import turns
from egretspur.membership import datagrams, tagged
from egretspur.routing import links, promises

# First element of the list, which tells it from a peer update.
TAG: Final = "contention"

# How the datagram of an update begins.
PREFIX: Final = tagged.make_prefix(TAG)

# Empty updates sent after the last one with content; see `sidechannels.Kind`.
END_UPDATES: Final = 2

# Size of an update in bytes, so that it fits into one packet, and how many
# links and services are sent at most, by falling size of the update.
MAX_BYTES: Final = 1200
LIMITS: Final = ((24, 8), (12, 4), (8, 2), (4, 1), (1, 0))
MAX_PRIORITIES: Final = turns.LEAST_URGENT + 1
MAX_RETURN_SLOTS: Final = promises.MAX_SLOTS

# Largest numbers accepted: a link can't be busy for longer than all hosts of
# the target size could make it in a second, nor can more requests wait there.
MAX_LINK_S: Final = 1e4
MAX_REQUESTS: Final = 100_000

# Separates the names of two data centres.
_SEPARATOR: Final = ">"


@attrs.frozen
class ContentionUpdate:
    """Contention at a host or, if a speaker sends it, at its data centre."""

    # Address of the sending host.
    host: str
    data_centre: str
    # Seconds that requests started in the last second take on a link.
    links: Mapping[links.Link, float] = attrs.Factory(dict)
    # Waiting requests by service and priority; 0 is the most urgent.
    waiting: Mapping[str, Mapping[int, int]] = attrs.Factory(dict)
    # Callers told to return, by service and upcoming half second.
    returns: Mapping[str, Sequence[int]] = attrs.Factory(dict)

    def is_empty(self) -> bool:
        """Returns whether there is nothing to send."""
        return not (self.links or self.waiting or self.returns)


def encode(update: ContentionUpdate) -> bytes:
    """Returns the datagram for an update; keeps what matters most."""
    data = b""
    for links_limit, services_limit in LIMITS:
        data = _encode_limited(update, links_limit, services_limit)
        if len(data) <= MAX_BYTES:
            break
    return data


def _encode_limited(
    update: ContentionUpdate, links_limit: int, services_limit: int
) -> bytes:
    busiest = sorted(update.links.items(), key=lambda i: -i[1])[:links_limit]
    fields = {
        "links": {
            _SEPARATOR.join(link): round(seconds, 3)
            for link, seconds in busiest
        },
        "waiting": {
            service: [
                (p, min(n, MAX_REQUESTS))
                for p, n in sorted(counts.items())[:MAX_PRIORITIES]
            ]
            for service, counts in _limit(update.waiting, services_limit)
        },
        "returns": {
            service: [
                min(n, promises.MAX_COUNT) for n in counts[:MAX_RETURN_SLOTS]
            ]
            for service, counts in _limit(update.returns, services_limit)
        },
    }
    return tagged.encode(TAG, update.host, update.data_centre, fields)


def decode(data: bytes) -> ContentionUpdate | datagrams.InvalidUpdate:
    """Returns the update in a datagram, or why it is refused."""
    return tagged.decode(data, TAG, _read)


def _read(host: str, data_centre: str, table: checks.Table) -> ContentionUpdate:
    return ContentionUpdate(
        host,
        data_centre,
        dict(_decode_link(k, v) for k, v in _get_items(table, "links")),
        {
            checks.check_text(k, "waiting"): _decode_waiting(v)
            for k, v in _get_items(table, "waiting")
        },
        {
            checks.check_text(k, "returns"): _decode_returns(v)
            for k, v in _get_items(table, "returns")
        },
    )


def _limit(table: Mapping[str, Any], most: int) -> list[tuple[str, Any]]:
    return sorted(table.items())[:most]


def _get_items(table: checks.Table, field: str) -> Any:
    if not table.has(field):
        return ()
    return table.get_table(field).items()


def _decode_link(name: str, value: Any) -> tuple[links.Link, float]:
    source, separator, target = name.partition(_SEPARATOR)
    if not separator or not source or not target or source == target:
        raise checks.FieldError("links", f"not a link: {name!r:.60}")
    seconds = checks.check_number(value, "links")
    if not math.isfinite(seconds) or not 0 <= seconds <= MAX_LINK_S:
        raise checks.FieldError("links", f"out of range: {value!r:.60}")
    return links.make_link(source, target), seconds


def _decode_waiting(value: Any) -> dict[int, int]:
    rows = checks.check_list(value, "waiting")
    counts = {}
    for row in rows[:MAX_PRIORITIES]:
        priority, count = checks.check_row(row, "waiting", 2)
        if checks.check_count(priority, "waiting") >= MAX_PRIORITIES:
            raise checks.FieldError("waiting", f"out of range: {priority}")
        counts[priority] = _check_requests(count, "waiting")
        if not counts[priority]:
            raise checks.FieldError("waiting", "no request")
    return counts


def _decode_returns(value: Any) -> list[int]:
    counts = checks.check_list(value, "returns")[:MAX_RETURN_SLOTS]
    return [_check_requests(c, "returns") for c in counts]


def _check_requests(value: Any, field: str) -> int:
    count = checks.check_count(value, field)
    if count > MAX_REQUESTS:
        raise checks.FieldError(field, f"out of range: {count}")
    return count
