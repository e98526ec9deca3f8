"""Fetches pages of other hosts, such as the snapshot of a topic."""

from __future__ import annotations

from typing import Final

from egretspur import transport
from egretspur.catalog import feeds, handover

# Longest wait for a connection, and for an answer on it.
CONNECT_TIMEOUT_S: Final = 0.3
READ_TIMEOUT_S: Final = 1.0

_FIELDS: Final = {"Connection": "close"}


class PageClient:
    """Fetches pages, each over a connection of its own.

    Pages are fetched rarely, so a kept connection may have gone silent since.
    Each would cost a time-out before the next host is asked.
    """

    def __init__(self) -> None:
        """Makes a client without connections."""
        self._transport = transport.Transport(CONNECT_TIMEOUT_S, READ_TIMEOUT_S)

    def close(self) -> None:
        """Closes idle connections."""
        self._transport.close()

    def fetch(self, address: str, path: str) -> bytes | None:
        """Returns a page of another host; None if it does not answer.

        Args:
            address: Where the host serves its pages.
            path: Path with query.
        """
        page = self.ask(address, path, handover.Timeouts(READ_TIMEOUT_S))
        return None if isinstance(page, feeds.Unavailable) else page

    def ask(
        self, address: str, path: str, timeouts: handover.Timeouts
    ) -> bytes | feeds.Unavailable | None:
        """Returns a page, why no answer came, or None if there is no page.

        Args:
            address: Where the host serves its pages.
            path: Path with query.
            timeouts: How long to wait for it.
        """
        res = self._transport.call(
            "GET",
            address,
            path,
            headers=_FIELDS,
            read_s=timeouts.silence_s,
            whole_s=timeouts.total_s,
        )
        if isinstance(res, transport.Failed):
            return feeds.Unavailable(res.reason)
        return res.body if res.status == 200 else None
