"""Client of plain services; calls are forwarded unchanged.

Any HTTP service will do. A service that can look up the outcome of a request
id responds to ``GET <outcome_path>`` with 200 and the outcome, or with 404 for
an id that it has never seen.
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
    """A caller's request to a plain service."""

    method: str
    # Path and query after the service's name.
    path: str
    headers: Mapping[str, str]
    body: bytes


class ServiceClient:
    """Calls plain services by address."""

    def __init__(
        self,
        connect_s: float,
        read_s: float,
        dial: transport.Dial | None = None,
    ) -> None:
        self._transport = transport.Transport(connect_s, read_s, dial)

    def call(
        self, address: str, call: ServiceCall
    ) -> transport.Reply | transport.Failed:
        """Sends a call, without retries."""
        return self._transport.call(
            call.method, address, call.path, call.body or None, call.headers
        )

    def get_outcome(
        self, address: str, path: str, request_id: str
    ) -> transport.Reply | transport.Failed:
        """Queries the outcome of a request id, on a new connection.

        Pooled connections may be dead like the one that lost the response.
        """
        self._transport.empty_pool(address)
        quoted = urllib.parse.quote(request_id, safe="")
        return self._transport.call(
            "GET", address, path.replace("{id}", quoted)
        )

    def close(self) -> None:
        """Closes the connections."""
        self._transport.close()
