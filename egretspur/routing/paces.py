"""Engines that run slower than their kind, found out on suspicion: pure.

A slow stage slows every answer over it and tells nobody. Engines say how slow
they are when asked; asking all of them all the time costs more than it saves,
so an engine is asked when an answer over it has paused, and again until it is
back to its pace.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

import attrs

# A pause between two events beyond which the stages of a path are asked, where
# the route does not tell which pause is late.
SUSPICIOUS_GAP_S: Final = 0.2

# Seconds between two questions to one engine.
ASK_S: Final = 2.0

# Paces below this count as usual.
USUAL: Final = 1.2

# A pace heard of from another host counts so long; that host asks again.
HEARD_S: Final = 4.0


@attrs.define
class _Known:
    pace: float = 1.0
    # When it may be asked again, and whether it is to be.
    next_ask_s: float = 0.0
    is_wanted: bool = False
    heard_until_s: float = 0.0


class Paces:
    """What is known of engines' paces."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}

    def get(self, upstream_id: str, now_s: float) -> float:
        """Returns the factor by which an engine is slower than its kind."""
        known = self._known.get(upstream_id)
        if known is None:
            return 1.0
        if known.heard_until_s and now_s >= known.heard_until_s:
            return 1.0
        return known.pace

    def suspect(self, upstream_ids: Iterable[str]) -> None:
        """Has engines asked that an answer which paused runs over."""
        for upstream_id in upstream_ids:
            self._known.setdefault(upstream_id, _Known()).is_wanted = True

    def is_asking(self) -> bool:
        """Tells whether an engine is to be asked that a pause made suspect."""
        return any(k.is_wanted for k in self._known.values())

    def take_due(self, now_s: float) -> list[str]:
        """Returns the engines to ask now."""
        due = []
        for upstream_id, known in self._known.items():
            is_slow = known.pace > USUAL and not known.heard_until_s
            if (known.is_wanted or is_slow) and now_s >= known.next_ask_s:
                known.is_wanted = False
                known.next_ask_s = now_s + ASK_S
                due.append(upstream_id)
        return due

    def put_off(self, upstream_id: str) -> None:
        """Takes that an engine which was due can't be asked yet."""
        known = self._known.get(upstream_id)
        if known is not None:
            known.is_wanted = True
            known.next_ask_s = 0.0

    def note(self, upstream_id: str, pace: float) -> bool:
        """Takes an engine's own word; tells whether it turned slow or back."""
        known = self._known.setdefault(upstream_id, _Known())
        changed = (known.pace > USUAL) != (pace > USUAL)
        known.pace = pace
        known.heard_until_s = 0.0
        return changed

    def hear(self, paces: Mapping[str, float], now_s: float) -> None:
        """Takes what another host found out."""
        for upstream_id, pace in paces.items():
            known = self._known.get(upstream_id)
            if known is None:
                known = self._known[upstream_id] = _Known()
            if known.pace > USUAL and not known.heard_until_s:
                continue
            known.pace = pace
            known.heard_until_s = now_s + HEARD_S
            # It has just been asked.
            known.next_ask_s = max(known.next_ask_s, now_s + ASK_S / 2)

    def list_slow(self) -> dict[str, float]:
        """Returns the slow engines that this host asked itself."""
        return {
            i: round(k.pace, 2)
            for i, k in self._known.items()
            if k.pace > USUAL and not k.heard_until_s
        }

    def forget(self, listed: Mapping[str, object]) -> None:
        """Drops engines that are no longer listed."""
        for upstream_id in set(self._known) - set(listed):
            del self._known[upstream_id]
