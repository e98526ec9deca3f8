"""Requests of earlier processes that upstreams may still read: pure.

What a process had on its way when it ended stays with the upstreams' machines.
An upstream that has answered nothing since this process began to send may hold
requests of the former one, of which nobody knows. It reads them within a window
after it goes on, and each counts for a window then. Read next:
`egretspur.admission.repeats`, where a host has no share of the retry budget
meanwhile.
"""

from __future__ import annotations

import collections
from typing import Final

# After the last sign of a backlog, in windows: it is read in the first one.
COUNTED_WINDOWS: Final = 2


class Backlogs:
    """Upstreams that may hold requests of earlier processes, by service."""

    def __init__(self, window_s: float) -> None:
        """Makes a state without any.

        Args:
            window_s: How long a retry counts.
        """
        self._counted_s = COUNTED_WINDOWS * window_s
        # When an upstream last seemed to hold some.
        self._noted_s: dict[str, dict[str, float]] = collections.defaultdict(
            dict
        )

    def note(self, service: str, upstream_id: str, now_s: float) -> None:
        """Records that an upstream of a service may hold a backlog now."""
        self._noted_s[service][upstream_id] = now_s

    def drop(self, upstream_id: str) -> None:
        """Records that an upstream has ended, with what it held."""
        for noted_s in self._noted_s.values():
            noted_s.pop(upstream_id, None)

    def list_upstreams(self) -> list[str]:
        """Returns the upstreams whose backlogs may count."""
        return [i for noted_s in self._noted_s.values() for i in noted_s]

    def may_count(self, service: str, now_s: float) -> bool:
        """Tells whether unknown retries may count for a service."""
        noted_s = self._noted_s.get(service)
        if not noted_s:
            return False
        for upstream_id, at_s in list(noted_s.items()):
            if now_s - at_s >= self._counted_s:
                del noted_s[upstream_id]
        return bool(noted_s)
