"""Heads of HTTP messages that tunnels read: free of I/O."""

from __future__ import annotations

import http.client
import io
from collections.abc import Mapping
from typing import Final

import urllib3

from egretspur import responses

END: Final = b"\r\n\r\n"


def parse(head: bytes) -> tuple[int, Mapping[str, str]] | None:
    """Returns status and header fields of an answer; None if it is none."""
    first, _, rest = head.partition(b"\r\n")
    line = responses.parse_status_line(first)
    fields = parse_fields(rest)
    if line is None or fields is None:
        return None
    return line.status, fields


def parse_fields(lines: bytes) -> Mapping[str, str] | None:
    """Returns header fields; None if they are malformed."""
    try:
        parsed = http.client.parse_headers(io.BytesIO(lines))
    except (ValueError, http.client.HTTPException):
        return None
    # Joins fields that come twice.
    fields = urllib3.HTTPHeaderDict()
    for name, value in parsed.items():
        fields.add(name, value)
    return fields
