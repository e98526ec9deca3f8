"""What shows that upstreams read requests before a retry is sent: pure.

A retry is written after its upstream has answered a health check. Some
upstreams answer checks by another thread than requests, and go on to do so
while they read none. A retry that is left unanswered after its check shows
that. Then retries of the service go only where a request was read just before,
if need be to the upstream that has just failed them. Read next:
`egretspur.admission.arrivals`.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from egretspur import decisions
from egretspur.admission import arrivals, reactions

# A retry is left unanswered after this, or so many times the slowest answer of
# its service.
UNANSWERED_S: Final = 0.5
SLOWEST_FACTOR: Final = 2.0

# How long health checks of a service then show nothing, and how long a request
# that was read does meanwhile.
DISTRUST_S: Final = 60.0
JUST_READ_S: Final = 0.1


class ReadingProofs:
    """Knowledge of one host; see the module's docstring."""

    def __init__(self, sent: arrivals.Arrivals) -> None:
        """Makes a state in which all health checks are trusted.

        Args:
            sent: Tells what upstreams left unanswered, and read.
        """
        # Decisions to be logged; the broker clears them.
        self.notes: list[decisions.Decision] = []
        self._arrivals = sent
        # Until when checks of services show nothing, by name.
        self._distrusted_until_s: dict[str, float] = {}

    def list_unproven(
        self,
        service: str,
        upstream_ids: Collection[str],
        summary: reactions.Summary,
        now_s: float,
    ) -> set[str]:
        """Returns the upstreams of which a health check would show nothing.

        Args:
            service: Name of the service.
            upstream_ids: Its upstreams.
            summary: How fast they have lately been.
            now_s: Monotonic time.
        """
        self._update(service, upstream_ids, summary, now_s)
        if now_s >= self._distrusted_until_s.get(service, now_s):
            return set()
        just_read = self._arrivals.list_reading(now_s, JUST_READ_S)
        return set(upstream_ids) - just_read

    def _update(
        self,
        service: str,
        upstream_ids: Collection[str],
        summary: reactions.Summary,
        now_s: float,
    ) -> None:
        least_s = max(UNANSWERED_S, SLOWEST_FACTOR * summary.slowest_s)
        unread = self._arrivals.list_unread_checked(least_s, now_s)
        deceptive = sorted(unread & set(upstream_ids))
        if not deceptive:
            return
        if now_s >= self._distrusted_until_s.get(service, now_s):
            self.notes.append(
                decisions.ChecksDistrusted(service, tuple(deceptive), least_s)
            )
        self._distrusted_until_s[service] = now_s + DISTRUST_S
