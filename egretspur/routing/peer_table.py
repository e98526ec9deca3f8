"""What hosts, or their data centres, last reported: pure.

Hosts of this data centre report for themselves. Of another data centre, one
host at a time, the speaker, reports for all of its hosts.
"""

from __future__ import annotations

from typing import Generic, TypeVar

import attrs

T = TypeVar("T")


@attrs.frozen
class Report(Generic[T]):
    """The last report of a host or of another data centre."""

    # Monotonic time.
    received_s: float
    is_local: bool
    value: T


class PeerTable(Generic[T]):
    """Reports that expire, and that a new speaker's report replaces."""

    def __init__(self, data_centre: str, ttl_s: float) -> None:
        """Makes an empty table.

        Args:
            data_centre: Data centre of this host.
            ttl_s: Seconds for which a report counts.
        """
        self._data_centre = data_centre
        self._ttl_s = ttl_s
        # By host within this data centre, or by other data centre: the reports
        # of a new and a former speaker cover the same hosts and would count
        # twice.
        self._reports: dict[str, Report[T]] = {}

    def replace(
        self, host: str, data_centre: str, value: T, now_s: float
    ) -> Report[T] | None:
        """Stores a report.

        Args:
            host: Host that sent it.
            data_centre: Data centre of that host.
            value: What it reported.
            now_s: Monotonic time.

        Returns:
            The report that it replaces; None if that one has expired.
        """
        is_local = data_centre == self._data_centre
        key = host if is_local else data_centre
        previous = self._reports.get(key)
        self._reports[key] = Report(now_s, is_local, value)
        if previous is None or not self._is_current(previous, now_s):
            return None
        return previous

    def list_current(self, now_s: float) -> list[Report[T]]:
        """Returns the reports that still count; drops the others."""
        self._reports = {
            k: r for k, r in self._reports.items() if self._is_current(r, now_s)
        }
        return list(self._reports.values())

    def _is_current(self, report: Report[T], now_s: float) -> bool:
        return now_s - report.received_s < self._ttl_s
