"""Recent changes of engines' layers, sent in peer updates: pure.

Only one host of a data centre reads the upstream list at each change, and the
list lags by a heartbeat; peer updates let the others use new layers sooner.
Read next: `egretspur.routing.fleet`.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

import attrs

from egretspur.catalog import upstreams

# How long layers from the list are sent to other hosts: some eight datagrams.
LISTED_PUBLISH_S: Final = 2.0


@attrs.frozen
class LayerChange:
    """New layers of an engine."""

    layers: upstreams.Layers
    at_s: float
    # Reported to this host by the engine; otherwise read from the list.
    is_reported: bool
    # Layers of the engine on the list at that time.
    listed: upstreams.Layers | None


class LayerChanges:
    """Layer changes that this host learned from the list or from engines."""

    def __init__(self, roster: upstreams.Roster) -> None:
        """Makes an empty state.

        Args:
            roster: This host's upstream list; reported layers are written to
                it.
        """
        self._roster = roster
        self._changes: dict[str, LayerChange] = {}

    def record_listed(
        self, upstream_id: str, layers: upstreams.Layers, now_s: float
    ) -> None:
        """Records new layers on the list."""
        self._changes[upstream_id] = LayerChange(layers, now_s, False, layers)

    def record_reported(
        self, upstream_id: str, layers: upstreams.Layers, now_s: float
    ) -> None:
        """Records the layers that an engine reports."""
        listed = upstreams.get_listed_layers(self._roster, upstream_id)
        upstreams.apply_reported_layers(
            self._roster, upstream_id, layers, now_s
        )
        self._changes[upstream_id] = LayerChange(layers, now_s, True, listed)

    def apply_peer_layers(
        self, upstream_id: str, update: upstreams.AgedLayers, now_s: float
    ) -> None:
        """Applies layers from a peer update unless this host has newer ones.

        Two hosts may have given orders to one engine in turn. If both kept
        sending what they saw, the others would switch between the two.
        """
        own = self._changes.get(upstream_id)
        if own is not None and own.layers != update.layers:
            if own.at_s >= now_s - update.age_s:
                return
            del self._changes[upstream_id]
        upstreams.apply_reported_layers(
            self._roster, upstream_id, update.layers, now_s
        )

    def list_published(
        self, report_ttl_s: float, now_s: float
    ) -> dict[str, upstreams.AgedLayers]:
        """Returns the layers to send to other hosts; drops expired ones.

        Layers that an engine reported are sent, and used here, until the list
        changes for the engine: a host that starts meanwhile gets the old list.
        Layers from the list are sent for `LISTED_PUBLISH_S` even while the
        store is unreachable: other hosts may have given orders since.

        Args:
            report_ttl_s: Longest time for which a report is sent.
            now_s: Monotonic time.
        """
        self._changes = {
            i: m
            for i, m in self._changes.items()
            if self._is_published(i, m, report_ttl_s, now_s)
        }
        for upstream_id, change in self._changes.items():
            if change.is_reported:
                upstreams.apply_reported_layers(
                    self._roster, upstream_id, change.layers, now_s
                )
        return {
            i: upstreams.AgedLayers(m.layers, max(0.0, now_s - m.at_s))
            for i, m in self._changes.items()
        }

    def remove_unlisted(self, listed: Collection[str]) -> None:
        """Drops the changes of upstreams that are no longer listed."""
        self._changes = {i: m for i, m in self._changes.items() if i in listed}

    def _is_published(
        self,
        upstream_id: str,
        change: LayerChange,
        report_ttl_s: float,
        now_s: float,
    ) -> bool:
        """Tells whether a change is still sent to other hosts."""
        age_s = now_s - change.at_s
        if not change.is_reported:
            return age_s < LISTED_PUBLISH_S
        listed = upstreams.get_listed_layers(self._roster, upstream_id)
        return age_s < report_ttl_s and listed == change.listed
