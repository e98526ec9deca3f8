"""Retry-After for callers refused because of an upstream's limit: pure.

Callers get successive times, in the order in which they were refused and at
the rate at which this host may send. With one time for all, they would retry
together, and all but the first would be refused again. Read next:
`egretspur.admission.throttle`.
"""

from __future__ import annotations

from typing import Final

from egretspur.admission import throttle

# Maximum Retry-After in seconds. A limit may be lifted long before the
# scheduled time.
MAX_RETRY_AFTER_S: Final = 10.0


class RetrySchedule:
    """Schedules the retries of refused callers of one host."""

    def __init__(self) -> None:
        """Creates an empty schedule."""
        # Next unassigned retry time by service; monotonic.
        self._next_retry_s: dict[str, float] = {}

    def assign_delay_s(
        self,
        service: str,
        opening: throttle.Opening,
        waiting: int,
        now_s: float,
    ) -> float:
        """Assigns the next retry time; returns the seconds until then.

        Args:
            service: The service that the caller asked for.
            opening: When the service's upstreams accept the next request.
            waiting: Number of requests that wait for that on this host.
            now_s: Monotonic time.
        """
        first_s = now_s + opening.estimate_wait_s(waiting)
        at_s = max(first_s, self._next_retry_s.get(service, first_s))
        longest_s = now_s + MAX_RETRY_AFTER_S
        self._next_retry_s[service] = min(at_s + 1.0 / opening.per_s, longest_s)
        return min(at_s, longest_s) - now_s
