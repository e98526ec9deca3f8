"""What hosts often ask of the upstream list, cached until it changes: pure.

Read next: `egretspur.catalog.upstreams`.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping, Sequence
from typing import Any

from egretspur.catalog import upstreams


class Groups:
    """Upstreams by service and data centre; each path search needs them."""

    def __init__(self, roster: upstreams.Roster) -> None:
        """Makes the groups of a list."""
        self._roster = roster
        self._by_service: dict[str, dict[str, list[upstreams.Upstream]]] = {}
        self._revision = -1

    def list_by_data_centre(
        self, service: str
    ) -> Mapping[str, Sequence[upstreams.Upstream]]:
        """Returns a service's upstreams by data centre, sorted by its name."""
        if self._revision != self._roster.revision:
            self._revision = self._roster.revision
            self._by_service.clear()
        groups = self._by_service.get(service)
        if groups is None:
            groups = {}
            for entry in self._roster.entries.values():
                if entry.service == service:
                    groups.setdefault(entry.data_centre, []).append(entry)
            self._by_service[service] = dict(sorted(groups.items()))
        return self._by_service[service]


class Digest:
    """Checksum of a list, by which hosts learn that theirs differ."""

    def __init__(self) -> None:
        """Makes one that is computed at the first call."""
        self._checksum = 0
        # What it was computed from.
        self._source: tuple[Any, ...] = ()

    def compute(self, roster: upstreams.Roster) -> int:
        """Returns the checksum of a list.

        It covers the listed layers rather than those that engines reported
        since: reports expire, and then all hosts must agree on the list.
        """
        # Four updates a second need it, and the list changes rarely.
        source = (
            roster.revision,
            dict(roster.listed_layers),
            set(roster.unreadable),
        )
        if source != self._source:
            self._checksum = _compute_checksum(roster)
            self._source = source
        return self._checksum


def _compute_checksum(roster: upstreams.Roster) -> int:
    rows = []
    for entry in roster.entries.values():
        layers = upstreams.get_listed_layers(roster, entry.id)
        held = f"{layers.first}-{layers.last}" if layers else "none"
        if entry.id in roster.unreadable:
            # A host that read the whole list again has no such entry.
            continue
        rows.append(f"{entry.id} {entry.address} {entry.is_draining} {held}")
    return zlib.crc32("\n".join(sorted(rows)).encode())
