"""All parts of a host's tunnels together.

Read next: `egretspur.tunnels.dialer` and `egretspur.tunnels.server`.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from egretspur.tunnels import checks, dialer, gate, helpers, reach, server


class Tunnels:
    """Connects a host through others, and others through it."""

    def __init__(
        self,
        ip: str,
        port: int,
        rng: random.Random,
        list_candidates: Callable[[], helpers.Candidates],
        sources: gate.Sources,
        on_change: Callable[[reach.ReachState], None] = lambda state: None,
        question_path: str = "/",
    ) -> None:
        """Makes the parts; `start` starts them.

        Args:
            ip: This host's address as others know it.
            port: TCP port of tunnels; 0 for none.
            rng: Draws helpers and upstreams to check.
            list_candidates: Returns the hosts that are alive.
            sources: What the gate needs to know.
            on_change: Receives each new state of the links; must not block.
            question_path: Path of a question that every upstream answers.
        """
        if not port:
            list_candidates = _list_none
        self.dialer = dialer.Dialer(
            ip, port, helpers.Helpers(rng), list_candidates, on_change
        )
        self._checker = checks.ReachChecker(
            self.dialer, sources.list_upstreams, rng, question_path
        )
        self._server = None
        if port:
            self._server = server.TunnelServer(
                ip, port, gate.Gate(self.dialer, sources)
            )

    @property
    def open_tunnels(self) -> int:
        """Number of tunnels that are open for other hosts."""
        return self._server.open_tunnels if self._server else 0

    def start(self) -> None:
        """Listens and starts the threads."""
        if self._server is not None:
            self._server.start()
        self._checker.start()

    def close(self) -> None:
        """Stops the threads and closes all tunnels."""
        self._checker.close()
        if self._server is not None:
            self._server.close()


def _list_none() -> helpers.Candidates:
    return helpers.Candidates((), ())
