"""Asks seeds by which ports they are reached.

Settings name a few hosts by their control addresses. Their other ports are
assumed to be this host's, and a seed that sends no updates is asked for them:
its ports may be others, also where it has this host's IP. Read next:
`egretspur.addresses`.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from typing import Final, Protocol

import attrs

from egretspur import addresses, checks, codec, guard

# Path of a page on which a host tells who it is.
HOST_PATH: Final = "/v1/host"

# Seconds until seeds are asked first, and between two questions at most; the
# time doubles meanwhile, since a seed may have left for good.
FIRST_WAIT_S: Final = 1.0
MAX_WAIT_S: Final = 8.0


@attrs.frozen
class Identity:
    """What a host tells of itself."""

    # The host; see `egretspur.addresses`.
    host: str
    data_centre: str


class Peers(Protocol):
    """View of the other hosts that is needed here."""

    def list_unheard_seeds(self) -> list[str]:
        """Returns the control addresses of seeds that are not known yet."""

    def add_members(
        self, hosts: Iterable[str], data_centre: str | None = None
    ) -> None:
        """Receives a host and its data centre."""


class SeedFinder:
    """Asks the seeds from which no update comes."""

    def __init__(
        self, peers: Peers, fetch: Callable[[str, str], bytes | None]
    ) -> None:
        """Makes an object; `start` starts its thread.

        Args:
            peers: View of the other hosts.
            fetch: Returns a page of another host, given its control address
                and the page's path; None if it does not answer.
        """
        self._peers = peers
        self._fetch = fetch
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="seeds", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stops the thread after the question that it is asking."""
        self._stop.set()

    def _run(self) -> None:
        wait_s = FIRST_WAIT_S
        while not self._stop.wait(wait_s):
            wait_s = min(MAX_WAIT_S, 2 * wait_s)
            with guard.log_exceptions("seeds"):
                self.ask_all()

    def ask_all(self) -> None:
        """Asks each seed that is not known yet."""
        for address in self._peers.list_unheard_seeds():
            page = self._fetch(address, HOST_PATH)
            found = None if page is None else read_identity(page)
            if found is not None:
                self._peers.add_members((found.host,), found.data_centre)


def read_identity(page: bytes) -> Identity | None:
    """Returns who a host is by its page; None if that is malformed."""
    try:
        data = checks.Table(codec.load_json(page))
        host = str(addresses.parse(data.get_text("host")))
        return Identity(host, data.get_text("data_centre"))
    except (codec.DecodeError, ValueError):
        # Something else may listen at the address of a seed that has left.
        return None
