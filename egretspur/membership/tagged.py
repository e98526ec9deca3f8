"""Form of the datagrams that travel apart from the peer update.

Each is a list of its tag, the sending host, its data centre and a table. It may
come from any sender: a field of the wrong type is refused with the reason.
Unknown fields are ignored, and a missing one means that there is nothing to
report: newer builds may send others. Read next:
`egretspur.membership.sidechannels`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import orjson

from egretspur import checks, codec
from egretspur.membership import datagrams

T = TypeVar("T")


def encode(tag: str, host: str, data_centre: str, fields: Any) -> bytes:
    """Returns a datagram.

    Args:
        tag: Kind of the update.
        host: Host that sends it.
        data_centre: Of that host.
        fields: Table of its content.
    """
    return orjson.dumps([tag, host, data_centre, fields])


def make_prefix(tag: str) -> bytes:
    """Returns how the datagrams of a kind begin."""
    return f'["{tag}"'.encode()


def decode(
    data: bytes, tag: str, read: Callable[[str, str, checks.Table], T]
) -> T | datagrams.InvalidUpdate:
    """Returns the update in a datagram, or why it is refused.

    Args:
        data: The datagram.
        tag: Kind of the update.
        read: Makes the update of a host, its data centre and the content;
            raises `checks.FieldError`.
    """
    try:
        found, host, data_centre, fields = checks.check_row(
            codec.load_json(data), tag, 4
        )
        if found != tag:
            raise checks.FieldError(tag, f"begins with {found!r:.40}")
        return read(
            datagrams.check_host(host),
            checks.check_text(data_centre, "data_centre"),
            checks.Table(fields, tag),
        )
    except checks.FieldError as exc:
        return datagrams.InvalidUpdate(exc.field, str(exc))
    except codec.DecodeError as exc:
        return datagrams.InvalidUpdate("bytes", str(exc))
