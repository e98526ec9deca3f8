"""Runs tunnels on a host: who may use them, and checks of its own links.

Read next: `egretspur.tunnels.dialer` and `egretspur.tunnels.server`.
"""

from __future__ import annotations

import contextlib
import http
import random
import threading
import time
from collections.abc import Callable, Mapping
from typing import Final

from egretspur import guard
from egretspur.routing import broker, desk
from egretspur.tunnels import dialer, reach

# Seconds between two attempts to connect over links that are down.
CHECK_PERIOD_S: Final = 0.5

# Longest wait for a connection in such an attempt.
CHECK_TIMEOUT_S: Final = 0.2

# Upstreams to connect to when the links are suspected: one may be down itself.
VERIFIED: Final = reach.MIN_FAILED + 1

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


class Gate:
    """Opens tunnels to listed upstreams for known hosts; see `server.Gate`."""

    def __init__(
        self,
        links: dialer.Dialer,
        listed: ListedAddresses,
        is_known: Callable[[str], bool],
        is_stopping: Callable[[], bool],
        note_signals: Callable[[str, bytes], None],
    ) -> None:
        """Makes a gate.

        Args:
            links: Knows which upstreams this host reaches.
            listed: The upstreams.
            is_known: Returns whether an address is a host's.
            is_stopping: Returns whether this host is stopping.
            note_signals: Called with an upstream's id and the head of its
                answer.
        """
        self._note_signals = note_signals
        self._links = links
        self._listed = listed
        self._is_known = is_known
        self._is_stopping = is_stopping

    def check(self, host: str, address: str) -> http.HTTPStatus:
        """Returns the answer to a host that asks for an upstream."""
        if not self._is_known(host) or address not in self._listed.get():
            return http.HTTPStatus.FORBIDDEN
        if self._is_stopping() or self._links.is_cut_off():
            return http.HTTPStatus.SERVICE_UNAVAILABLE
        if self._links.has_failed_lately(address):
            return http.HTTPStatus.BAD_GATEWAY
        return http.HTTPStatus.OK

    def record(self, address: str, is_connected: bool) -> None:
        """Records whether this host connected to an upstream."""
        self._links.record_direct(address, is_connected)

    def note_head(self, address: str, head: bytes) -> None:
        """Passes on what an upstream asks for in its answer."""
        upstream_id = self._listed.get().get(address)
        if upstream_id is not None:
            self._note_signals(upstream_id, head)


class LinkChecker:
    """Finds out when links that were down are back.

    Otherwise callers' requests would, each at the cost of a timeout.
    """

    def __init__(
        self,
        links: dialer.Dialer,
        listed: ListedAddresses,
        rng: random.Random,
    ) -> None:
        self._links = links
        self._listed = listed
        self._rng = rng
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="links", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stops the thread."""
        self._stop.set()

    def _run(self) -> None:
        while not self._stop.is_set():
            if not self._links.needs_checks.wait(CHECK_PERIOD_S):
                continue
            with guard.log_exceptions("links"):
                if self._links.take_suspicion():
                    self._verify()
                else:
                    self._check()
            if not self._links.needs_checks.is_set():
                continue
            self._stop.wait(CHECK_PERIOD_S)

    def _verify(self) -> None:
        """Connects to some upstreams, through helpers if need be.

        If the own links don't lead there and helpers do, this host knows that
        its links are down before any request has met them.
        """
        listed = sorted(self._listed.get())
        chosen = self._rng.sample(listed, min(VERIFIED, len(listed)))
        threads = [
            threading.Thread(target=self._try, args=(a,), name="verify")
            for a in chosen
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _try(self, address: str) -> None:
        """Opens and closes a connection, whose outcome the links record."""
        with contextlib.suppress(OSError):
            self._links.dial(address, CHECK_TIMEOUT_S).close()

    def _check(self) -> None:
        """Tries the own links again."""
        due = self._links.list_checks(self._listed.get())
        if not due:
            return
        # A failure is recorded and changes nothing.
        with contextlib.suppress(OSError):
            self._links.open_direct(
                self._rng.choice(due), CHECK_TIMEOUT_S
            ).close()
