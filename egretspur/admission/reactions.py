"""How fast upstreams have lately answered what they were sent: pure.

Nobody but an upstream knows when it reads a request. The time until its answer
or failure bounds that from above: an upstream that is slow to answer may have
been slow to read. Read next: `egretspur.admission.arrivals`.
"""

from __future__ import annotations

import collections
import enum
import statistics
from collections.abc import Collection, Container, Sequence
from typing import Final

import attrs

# How long a reaction counts, and how many do. An upstream that was slow for a
# moment is known to be fast again after as many answers.
MEMORY_S: Final = 10.0
MAX_KEPT: Final = 16

# The newest answers, by which a service that turns slow is known soon.
NEWEST_ANSWERS: Final = 8

# How many times as long as this side waited an upstream may take that did not
# answer until then.
UNANSWERED_FACTOR: Final = 2.0


class Kind(enum.Enum):
    """What an upstream did with a request."""

    # It succeeded.
    ANSWERED = "answered"
    # The upstream ended it otherwise.
    ENDED = "ended"
    # Nothing until this side ended it.
    GIVEN_UP = "given up"


@attrs.frozen
class _Reaction:
    at_s: float
    # Seconds since the request was sent.
    seconds: float
    kind: Kind

    @property
    def longest_s(self) -> float:
        """Seconds that the upstream may have taken."""
        if self.kind is Kind.GIVEN_UP:
            return self.seconds * UNANSWERED_FACTOR
        return self.seconds


@attrs.frozen
class Summary:
    """How fast upstreams reacted, but for what they left unanswered."""

    # Number of reactions.
    count: int
    # Seconds of the slowest one; 0 if there is none.
    slowest_s: float
    # Median seconds of the answers, of the newest ones if that is more; None
    # if there is none.
    usual_s: float | None


class Reactions:
    """Times in which upstreams answered, as one host sees them."""

    def __init__(self) -> None:
        """Makes a state without any reaction."""
        self._by_upstream: dict[str, collections.deque[_Reaction]] = {}

    def record(
        self, upstream_id: str, seconds: float, kind: Kind, now_s: float
    ) -> None:
        """Adds how long an upstream took, or has taken without an answer.

        Args:
            upstream_id: The upstream.
            seconds: Since the request was sent.
            kind: What the upstream did.
            now_s: Monotonic time.
        """
        kept = self._by_upstream.setdefault(
            upstream_id, collections.deque(maxlen=MAX_KEPT)
        )
        kept.append(_Reaction(now_s, seconds, kind))

    def get_slowest_s(
        self, upstream_id: str, now_s: float, memory_s: float = MEMORY_S
    ) -> float:
        """Returns the longest that an upstream took; 0 if none is known."""
        return max(
            (
                r.longest_s
                for r in self._list_recent(upstream_id, now_s)
                if now_s - r.at_s < memory_s
            ),
            default=0.0,
        )

    def summarize(self, upstream_ids: Collection[str], now_s: float) -> Summary:
        """Returns how fast some upstreams together have lately been."""
        seen = [
            r
            for i in upstream_ids
            for r in self._list_recent(i, now_s)
            if r.kind is not Kind.GIVEN_UP
        ]
        answers = sorted(
            (r for r in seen if r.kind is Kind.ANSWERED), key=lambda r: r.at_s
        )
        return Summary(
            len(seen),
            max((r.seconds for r in seen), default=0.0),
            _find_usual_s(answers) if answers else None,
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


def _find_usual_s(answers: Sequence[_Reaction]) -> float:
    """Returns the median seconds of answers: all of them, or the newest.

    The larger one counts, so that a retry is handed time enough as soon as
    answers take longer than before.
    """
    seconds = [r.seconds for r in answers]
    return max(
        statistics.median_high(seconds),
        statistics.median_high(seconds[-NEWEST_ANSWERS:]),
    )
