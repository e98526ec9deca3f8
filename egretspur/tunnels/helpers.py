"""Which hosts to ask for a connection to an upstream: pure.

Helpers are drawn at random, so that the hosts that are cut off share those that
are not. A host that refuses, because it is cut off as well or serves all that
it can, is not asked again for a while. Hosts of the own data centre come first;
where fewer than half of them help, those of the other data centres share the
work.
"""

from __future__ import annotations

import random
from collections.abc import Container, Sequence
from typing import Final

import attrs

# Pause after a host refused or did not answer; doubles with each time in turn.
MIN_PAUSE_S: Final = 1.0
MAX_PAUSE_S: Final = 8.0


@attrs.frozen
class Candidates:
    """Live hosts that may help."""

    local: Sequence[str]
    remote: Sequence[str]


@attrs.define
class _Pause:
    """A host that refused to help."""

    until_s: float
    length_s: float


class Helpers:
    """Chooses helpers; see the module's docstring."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        # By host; kept after its end, for the length of the next pause.
        self._pauses: dict[str, _Pause] = {}

    def choose(
        self, candidates: Candidates, tried: Container[str], now_s: float
    ) -> str | None:
        """Returns a host to ask; None if there is none.

        Args:
            candidates: The hosts that are alive.
            tried: Hosts that failed to help with this connection.
            now_s: Monotonic time.
        """
        local = self._list_open(candidates.local, tried, now_s)
        found = local
        if 2 * len(local) < len(candidates.local) or not local:
            found = local + self._list_open(candidates.remote, tried, now_s)
        # If all are paused, the request would fail without asking.
        found = found or [
            h for h in (*candidates.local, *candidates.remote) if h not in tried
        ]
        return self._rng.choice(found) if found else None

    def is_paused(self, host: str, now_s: float) -> bool:
        """Returns whether a host refused or did not answer lately."""
        pause = self._pauses.get(host)
        return pause is not None and now_s < pause.until_s

    def record_helped(self, host: str) -> None:
        """Records that a host helped."""
        self._pauses.pop(host, None)

    def record_refused(self, host: str, now_s: float) -> None:
        """Records that a host refused or did not answer."""
        last = self._pauses.get(host)
        length_s = MIN_PAUSE_S
        if last is not None:
            if now_s < last.until_s:
                # A question that was asked before the pause.
                return
            length_s = min(MAX_PAUSE_S, 2 * last.length_s)
        self._pauses[host] = _Pause(now_s + length_s, length_s)

    def _list_open(
        self, hosts: Sequence[str], tried: Container[str], now_s: float
    ) -> list[str]:
        return [
            h for h in hosts if h not in tried and not self.is_paused(h, now_s)
        ]
