"""How fast upstreams have lately answered what they were sent: pure.

Nobody but an upstream knows when it reads a request. The time until its answer
or failure bounds that from above: an upstream that is slow to answer may have
been slow to read. Read next: `egretspur.admission.arrivals`.
"""

from __future__ import annotations

import collections
from collections.abc import Container
from typing import Final

import attrs

# How long a reaction counts, and how many do. An upstream that was slow for a
# moment is known to be fast again after as many answers.
MEMORY_S: Final = 10.0
MAX_KEPT: Final = 16

# How many times as long as this side waited an upstream may take that did not
# answer until then.
UNANSWERED_FACTOR: Final = 2.0


@attrs.frozen
class _Reaction:
    at_s: float
    # Seconds since the request was sent.
    seconds: float
    # Whether the upstream answered or ended it; otherwise this side ended it.
    is_answer: bool

    @property
    def longest_s(self) -> float:
        """Seconds that the upstream may have taken."""
        return self.seconds * (1.0 if self.is_answer else UNANSWERED_FACTOR)


class Reactions:
    """Times in which upstreams answered, as one host sees them."""

    def __init__(self) -> None:
        """Makes a state without any reaction."""
        self._by_upstream: dict[str, collections.deque[_Reaction]] = {}

    def record(
        self, upstream_id: str, seconds: float, is_answer: bool, now_s: float
    ) -> None:
        """Adds how long an upstream took, or has taken without an answer.

        Args:
            upstream_id: The upstream.
            seconds: Since the request was sent.
            is_answer: Whether the upstream answered or ended it.
            now_s: Monotonic time.
        """
        kept = self._by_upstream.setdefault(
            upstream_id, collections.deque(maxlen=MAX_KEPT)
        )
        kept.append(_Reaction(now_s, seconds, is_answer))

    def get_slowest_s(self, upstream_id: str, now_s: float) -> float:
        """Returns the longest that an upstream took; 0 if none is known."""
        return max(
            (r.longest_s for r in self._list_recent(upstream_id, now_s)),
            default=0.0,
        )

    def get_fastest_s(self, upstream_id: str, now_s: float) -> float:
        """Returns the shortest time of an answer; 0 if none is known."""
        return min(
            (
                r.seconds
                for r in self._list_recent(upstream_id, now_s)
                if r.is_answer
            ),
            default=0.0,
        )

    def remove_unlisted(self, listed: Container[str]) -> None:
        """Drops the state of upstreams that are not listed."""
        for upstream_id in [i for i in self._by_upstream if i not in listed]:
            del self._by_upstream[upstream_id]

    def _list_recent(
        self, upstream_id: str, now_s: float
    ) -> collections.deque[_Reaction]:
        """Returns the reactions that still count; drops the others."""
        kept = self._by_upstream.get(upstream_id)
        if kept is None:
            return collections.deque()
        while kept and now_s - kept[0].at_s >= MEMORY_S:
            kept.popleft()
        return kept
