"""Layers that engines took of late, as hosts tell each other: pure.

Only one host of a data centre reads the list as often as it changes, and the
list itself lags by a heartbeat. Read next: `egretspur.routing.fleet`.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

import attrs

from egretspur.catalog import upstreams

# Layers that the list showed are told to other hosts for so long: some eight
# datagrams.
LISTED_TOLD_S: Final = 2.0


@attrs.frozen
class Moved:
    """Layers that an engine took."""

    layers: upstreams.Layers
    at_s: float
    # The engine told this host itself; else its list showed it.
    is_reported: bool
    # What the list said of the engine then.
    listed: upstreams.Layers | None


class Moves:
    """What this host saw engines take."""

    def __init__(self, roster: upstreams.Roster) -> None:
        """Makes a state that has seen nothing.

        Args:
            roster: The list as this host knows it; changed by this too.
        """
        self._roster = roster
        self._moved: dict[str, Moved] = {}

    def note_listed(
        self, upstream_id: str, layers: upstreams.Layers, now_s: float
    ) -> None:
        """Takes what the list shows anew."""
        self._moved[upstream_id] = Moved(layers, now_s, False, layers)

    def note_reported(
        self, upstream_id: str, layers: upstreams.Layers, now_s: float
    ) -> None:
        """Takes what an engine reported to hold."""
        listed = upstreams.get_listed_layers(self._roster, upstream_id)
        upstreams.apply_reported_layers(
            self._roster, upstream_id, layers, now_s
        )
        self._moved[upstream_id] = Moved(layers, now_s, True, listed)

    def hear(
        self, upstream_id: str, told: upstreams.AgedLayers, now_s: float
    ) -> None:
        """Takes what another host saw, unless this one saw others later.

        Two hosts may have ordered one engine in turn. Did both go on to tell
        what they saw, all others would send requests to either by turns.
        """
        own = self._moved.get(upstream_id)
        if own is not None and own.layers != told.layers:
            if own.at_s >= now_s - told.age_s:
                return
            del self._moved[upstream_id]
        upstreams.apply_reported_layers(
            self._roster, upstream_id, told.layers, now_s
        )

    def list_told(
        self, kept_s: float, now_s: float
    ) -> dict[str, upstreams.AgedLayers]:
        """Returns what other hosts are to be told; drops the rest.

        What an engine reported to this host is told until the list says
        something new of it, and counts here as long: a host that starts
        meanwhile is handed the list from before. What the list showed is told
        for `LISTED_TOLD_S`, however long the store is away: others may have
        given orders since.

        Args:
            kept_s: Longest time that a report is told.
            now_s: Monotonic time.
        """
        self._moved = {
            i: m
            for i, m in self._moved.items()
            if self._is_told(i, m, kept_s, now_s)
        }
        for upstream_id, moved in self._moved.items():
            if moved.is_reported:
                upstreams.apply_reported_layers(
                    self._roster, upstream_id, moved.layers, now_s
                )
        return {
            i: upstreams.AgedLayers(m.layers, max(0.0, now_s - m.at_s))
            for i, m in self._moved.items()
        }

    def forget(self, listed: Collection[str]) -> None:
        """Drops what is known of upstreams that are no longer listed."""
        self._moved = {i: m for i, m in self._moved.items() if i in listed}

    def _is_told(
        self, upstream_id: str, moved: Moved, kept_s: float, now_s: float
    ) -> bool:
        """Tells whether other hosts still need to be told of layers."""
        age_s = now_s - moved.at_s
        if not moved.is_reported:
            return age_s < LISTED_TOLD_S
        listed = upstreams.get_listed_layers(self._roster, upstream_id)
        return age_s < kept_s and listed == moved.listed
