"""The addresses of the listed upstreams, for tunnels to them."""

from __future__ import annotations

import threading
import time
from collections.abc import Mapping
from typing import Final

from egretspur.routing import broker, desk

# Time for which the addresses of the listed upstreams are cached.
LISTED_TTL_S: Final = 0.25


class ListedAddresses:
    """Listed upstreams by address; shared between threads."""

    def __init__(self, to: desk.Desk) -> None:
        self._desk = to
        self._lock = threading.Lock()
        self._ids: Mapping[str, str] = {}
        self._read_s = -LISTED_TTL_S

    def get(self) -> Mapping[str, str]:
        """Returns the ids of the upstreams by address."""
        now_s = time.monotonic()
        with self._lock:
            if now_s - self._read_s >= LISTED_TTL_S:
                self._ids = self._desk.query(_read_addresses)
                self._read_s = now_s
            return self._ids


def _read_addresses(state: broker.Broker) -> dict[str, str]:
    return {e.address: e.id for e in state.fleet.roster.entries.values()}
