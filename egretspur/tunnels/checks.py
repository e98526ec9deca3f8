"""Checks of a host's own links to upstreams.

Read next: `egretspur.tunnels.dialer`.
"""

from __future__ import annotations

import contextlib
import random
import socket
import threading
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from egretspur import guard
from egretspur.tunnels import dialer, reach

# Seconds between two attempts to connect over links that are down.
CHECK_PERIOD_S: Final = 0.5

# Longest wait for a connection in such an attempt.
CHECK_TIMEOUT_S: Final = 0.2

# Longest wait for an answer to a question.
ANSWER_TIMEOUT_S: Final = 0.3

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
        question_path: str = "/",
    ) -> None:
        """Makes a checker; `start` starts it.

        Args:
            own: The host's dialer.
            list_upstreams: Returns the listed upstreams by address.
            rng: Draws the upstreams to connect to.
            question_path: Path of a question that every upstream answers, with
                whatever status.
        """
        self._dialer = own
        self._list_upstreams = list_upstreams
        self._rng = rng
        self._question_path = question_path
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
                self._dialer.check_overdue()
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
        """Asks some upstreams, through helpers if need be.

        If the own links bring no answer and helpers' do, this host knows that
        its links are down before any request has met them.
        """
        chosen = self._choose(list(self._list_upstreams()))
        if not chosen or any(self._try_all(chosen, self._ask)):
            return
        self._try_all(chosen, self._connect)
        if self._dialer.is_cut_off():
            return
        if any(self._try_all(chosen, self._ask_through_helper)):
            self._dialer.record_lost(chosen[0])
        else:
            # The helpers that were asked may be cut off too and not know it. By
            # then no request may be sent that would have the links checked.
            self._dialer.keep_suspicion()

    def _check(self) -> None:
        """Tries the own links again."""
        due = self._dialer.list_checks(self._list_upstreams())
        attempt = self._ask if self._dialer.is_lost() else self._connect_direct
        self._try_all(self._choose(due), attempt)

    def _choose(self, addresses: Sequence[str]) -> list[str]:
        return self._rng.sample(
            sorted(addresses), min(CHECKED_AT_ONCE, len(addresses))
        )

    def _connect(self, address: str) -> bool:
        """Connects, through a helper if need be; the dialer records it."""
        self._dialer.dial(address, CHECK_TIMEOUT_S).close()
        return True

    def _connect_direct(self, address: str) -> bool:
        """Connects over the own links; the dialer records it."""
        self._dialer.open_direct(address, CHECK_TIMEOUT_S).close()
        return True

    def _ask(self, address: str) -> bool:
        """Returns whether an upstream answers over the own links."""
        sock = self._dialer.connect_direct(address, CHECK_TIMEOUT_S)
        self._dialer.record_direct(address, True)
        is_answered = self._is_answering(sock, address)
        if is_answered:
            self._dialer.record_answered(address)
        return is_answered

    def _ask_through_helper(self, address: str) -> bool:
        """Returns whether an upstream answers over a helper's links."""
        link = self._dialer.open_through_helper(address)
        return link is not None and self._is_answering(link.sock, address)

    def _is_answering(self, sock: socket.socket, address: str) -> bool:
        """Asks over a connection, and closes it; raises OSError."""
        with sock:
            sock.settimeout(ANSWER_TIMEOUT_S)
            sock.sendall(
                f"GET {self._question_path} HTTP/1.1\r\nHost: {address}\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            return bool(sock.recv(1))

    def _try_all(
        self, addresses: Sequence[str], attempt: Callable[[str], bool]
    ) -> list[bool]:
        """Makes an attempt at several upstreams at the same time.

        Returns:
            The results; none of those that raised OSError.
        """
        results: list[bool] = []

        def run(address: str) -> None:
            with contextlib.suppress(OSError):
                results.append(attempt(address))

        threads = [
            threading.Thread(target=run, args=(a,), name="reach")
            for a in addresses
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return results
