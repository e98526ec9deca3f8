"""Checks of a host's own links to upstreams.

Read next: `egretspur.tunnels.dialer`.
"""

from __future__ import annotations

import contextlib
import random
import threading
from collections.abc import Callable, Mapping
from typing import Final

from egretspur import guard
from egretspur.tunnels import dialer, reach

# Seconds between two attempts to connect over links that are down.
CHECK_PERIOD_S: Final = 0.5

# Longest wait for a connection in such an attempt.
CHECK_TIMEOUT_S: Final = 0.2

# Upstreams to connect to when the links are suspected: one may be down itself.
VERIFIED: Final = reach.MIN_FAILED + 1


class ReachChecker:
    """Finds out when links that were down are back.

    Otherwise callers' requests would, each at the cost of a timeout.
    """

    def __init__(
        self,
        own: dialer.Dialer,
        list_upstreams: Callable[[], Mapping[str, str]],
        rng: random.Random,
    ) -> None:
        """Makes a checker; `start` starts it.

        Args:
            own: The host's dialer.
            list_upstreams: Returns the listed upstreams by address.
            rng: Draws the upstreams to connect to.
        """
        self._dialer = own
        self._list_upstreams = list_upstreams
        self._rng = rng
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="reach", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stops the thread."""
        self._stop.set()

    def _run(self) -> None:
        while not self._stop.is_set():
            if not self._dialer.needs_checks.wait(CHECK_PERIOD_S):
                continue
            with guard.log_exceptions("reach"):
                if self._dialer.take_suspicion():
                    self._verify()
                else:
                    self._check()
            if not self._dialer.needs_checks.is_set():
                continue
            self._stop.wait(CHECK_PERIOD_S)

    def _verify(self) -> None:
        """Connects to some upstreams, through helpers if need be.

        If the own links don't lead there and helpers do, this host knows that
        its links are down before any request has met them.
        """
        listed = sorted(self._list_upstreams())
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
            self._dialer.dial(address, CHECK_TIMEOUT_S).close()

    def _check(self) -> None:
        """Tries the own links again."""
        due = self._dialer.list_checks(self._list_upstreams())
        if not due:
            return
        # A failure is recorded and changes nothing.
        with contextlib.suppress(OSError):
            self._dialer.open_direct(
                self._rng.choice(due), CHECK_TIMEOUT_S
            ).close()
