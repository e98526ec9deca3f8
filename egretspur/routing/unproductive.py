"""Pauses engines whose streams get no first event: pure.

The verdict is inferred from a few streams of this host
(`egretspur.delivery.first_events`) and may name working engines that share
their paths. It is therefore not sent to other hosts, and the first event over
an engine ends its pause (`health.Health.record_success`).
"""

from __future__ import annotations

from typing import Final

from egretspur.catalog import upstreams
from egretspur.routing import health

# One in this many of a service's engines in a data centre is paused at once, at
# most. A layer is usually held by three engines or more, so two thirds of them
# keep most layers available should all verdicts be wrong, as in a fleet that is
# slow because it is busy. More than a third failing together is no fault of
# single engines.
ENGINES_PER_PAUSE: Final = 3


class UnproductiveEngines:
    """Engines that this host paused as unproductive."""

    def __init__(self, roster: upstreams.Roster, state: health.Health) -> None:
        """Starts without paused engines.

        Args:
            roster: The list of upstreams.
            state: Keeps the pauses.
        """
        self._roster = roster
        self._health = state
        self._paused: set[str] = set()

    def pause(self, upstream_id: str, now_s: float) -> bool:
        """Pauses an engine, unless too many are paused.

        Returns:
            Whether it is paused now.
        """
        entry = self._roster.entries.get(upstream_id)
        if entry is None:
            return False
        # A pause that a first event ended does not count any longer.
        self._paused = {
            i for i in self._paused if self._health.is_paused(i, now_s)
        }
        if upstream_id in self._paused:
            return True
        # Engines without layers serve no requests and are not counted.
        group = {
            e.id
            for e in self._roster.entries.values()
            if e.service == entry.service
            and e.data_centre == entry.data_centre
            and e.layers is not None
        }
        if len(self._paused & group) >= len(group) // ENGINES_PER_PAUSE:
            return False
        self._health.record_refusal(upstream_id, now_s, "unproductive")
        self._paused.add(upstream_id)
        return True
