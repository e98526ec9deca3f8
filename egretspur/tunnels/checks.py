"""Checks of a host's own links to upstreams.

Read next: `egretspur.tunnels.dialer`.
"""

from __future__ import annotations

import contextlib
import random
import threading
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from egretspur import guard, transport
from egretspur.tunnels import dialer, reach

# Seconds between two attempts to connect over links that are down.
CHECK_PERIOD_S: Final = 0.5

# Longest wait for a connection in such an attempt.
CHECK_TIMEOUT_S: Final = 0.2

# Upstreams to connect to at once: some may be down themselves.
CHECKED_AT_ONCE: Final = reach.MIN_FAILED + 1


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
                self.check_once()
            if not self._dialer.needs_checks.is_set():
                continue
            self._stop.wait(CHECK_PERIOD_S)

    def check_once(self) -> None:
        """Checks links that are suspected or known to be down."""
        if self._dialer.take_suspicion():
            self._verify()
        else:
            self._check()

    def _verify(self) -> None:
        """Connects to some upstreams, through helpers if need be.

        If the own links don't lead there and helpers do, this host knows that
        its links are down before any request has met them.
        """
        self._try_some(list(self._list_upstreams()), self._dialer.dial)

    def _check(self) -> None:
        """Tries the own links again."""
        due = self._dialer.list_checks(self._list_upstreams())
        self._try_some(due, self._dialer.open_direct)

    def _try_some(self, addresses: Sequence[str], dial: transport.Dial) -> None:
        """Opens and closes connections to some upstreams at the same time.

        The dialer records their outcomes.
        """

        def attempt(address: str) -> None:
            with contextlib.suppress(OSError):
                dial(address, CHECK_TIMEOUT_S).close()

        chosen = self._rng.sample(
            sorted(addresses), min(CHECKED_AT_ONCE, len(addresses))
        )
        threads = [
            threading.Thread(target=attempt, args=(a,), name="reach")
            for a in chosen
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
