"""How long an upstream may work on a retry of a plain request: pure.

An upstream works on a request for the time that it is handed, from when it
reads it. If that is all that the caller has left when the request is written,
an upstream that reads it late works on after the caller has gone. When it is
read is not known, so a retry is handed at most an eighth of what is left, and
so much less than all as the upstream lately took to answer, but as much as an
answer takes. A retry does not go to an upstream that would work on it for too
long if it were as slow as it lately was. Read next:
`egretspur.admission.reactions`.
"""

from __future__ import annotations

from typing import Final

from egretspur.admission import arrivals

# Largest part of what is left that a retry is handed.
LARGEST_PART: Final = 0.125

# What a retry is handed at least: this, or so many times the fastest answer.
MIN_S: Final = 0.1
FASTEST_FACTOR: Final = 2.0

# How much longer than its caller waits an upstream may work on a retry that it
# reads as late as it may have read others.
MAX_EXCESS_S: Final = 0.25


class RetryTimeouts:
    """Bounds the time that upstreams are handed for retries."""

    def __init__(self, sent: arrivals.Arrivals) -> None:
        """Makes it.

        Args:
            sent: Tells how slowly upstreams answer.
        """
        self._arrivals = sent

    def compute_s(self, upstream_id: str, left_s: float, now_s: float) -> float:
        """Returns the seconds that an upstream is handed for a retry.

        Args:
            upstream_id: The upstream.
            left_s: Seconds that the caller still waits.
            now_s: Monotonic time.
        """
        slowest_s = self._arrivals.get_slowest_s(upstream_id, now_s)
        return self._compute_s(upstream_id, left_s, slowest_s, now_s)

    def _compute_s(
        self, upstream_id: str, left_s: float, slowest_s: float, now_s: float
    ) -> float:
        fastest_s = self._arrivals.reactions.get_fastest_s(upstream_id, now_s)
        least_s = max(MIN_S, FASTEST_FACTOR * fastest_s)
        spare_s = min(LARGEST_PART * left_s, left_s - slowest_s)
        return min(left_s, max(least_s, spare_s))

    def is_too_slow(
        self, upstream_id: str, left_s: float, now_s: float
    ) -> bool:
        """Tells whether an upstream might work on a retry for too long."""
        slowest_s = self._arrivals.get_slowest_s(upstream_id, now_s)
        handed_s = self._compute_s(upstream_id, left_s, slowest_s, now_s)
        return slowest_s + handed_s > left_s + MAX_EXCESS_S
