"""Client of plain services: calls passed through as they are.

Assumed form: any HTTP service. A service that can tell the outcome of an id
answers ``GET <outcome_path>`` with 200 and its answer, or 404 for an id that
it has never seen.
"""

from __future__ import annotations

import urllib.parse
from collections.abc import Mapping
from typing import Final

import attrs

from egretspur import transport

REQUEST_ID: Final = "X-Request-Id"


@attrs.frozen
class ServiceCall:
    """A caller's call."""

    method: str
    # Path and query after the service's name.
    path: str
    headers: Mapping[str, str]
    body: bytes


class ServiceClient:
    """Calls plain services by address."""

    def __init__(self, connect_s: float, read_s: float) -> None:
        self._transport = transport.Transport(connect_s, read_s)

    def call(
        self, address: str, call: ServiceCall
    ) -> transport.Reply | transport.Failed:
        """Sends a call once."""
        return self._transport.call(
            call.method, address, call.path, call.body or None, call.headers
        )

    def get_outcome(
        self, address: str, path: str, request_id: str
    ) -> transport.Reply | transport.Failed:
        """Asks for the outcome of an id, on a new connection.

        The pooled ones may be as dead as the one whose answer was lost.
        """
        self._transport.empty_pool(address)
        quoted = urllib.parse.quote(request_id, safe="")
        return self._transport.call(
            "GET", address, path.replace("{id}", quoted)
        )

    def close(self) -> None:
        """Closes the connections."""
        self._transport.close()
