"""Doubts about whether a full read of a topic has all its records; pure.

The last record of a topic is the newest of its key, so a complete page of the
newest records contains it, unless it removed its key. A page whose newest
record is before the end that it names may therefore be older than that end. If
the records between are no longer in the history, the host goes on from the end
and reads the newest records again for a while. Read next:
`egretspur.catalog.handover`.
"""

from __future__ import annotations

import math
from typing import Final

import attrs

# Time between two reads of the newest records while some may be missing, in
# seconds. A configuration must be in force within two seconds.
RECHECK_S: Final = 0.5

# Time after which a page is taken as it is, in seconds: the last key was
# removed, which no page shows.
MAX_DOUBT_S: Final = 10.0


@attrs.frozen
class Doubt:
    """Records with these offsets may be missing from what was read."""

    # After the newest record of the page.
    start: int
    # The end that the page named; later records are read as changes.
    end: int
    # Monotonic time after which the next page is taken as it is, and that of
    # the next read of the newest records.
    until_s: float
    next_s: float
    # Whether this host read the page, and not the host that sent its state.
    is_own: bool = True

    def compute_due_s(self, now_s: float, is_reader: bool) -> float:
        """Returns the seconds until the newest records are read again.

        A host that was sent the state by another one leaves that to it, unless
        it is the reader, since all hosts would read the same pages.

        Args:
            now_s: Monotonic time.
            is_reader: Whether this host reads the store before other hosts.
        """
        at_s = self.next_s
        if not self.is_own and not is_reader:
            at_s = max(at_s, self.until_s)
        return max(0.0, at_s - now_s)


def open_doubt(start: int, end: int, now_s: float) -> Doubt:
    """Returns the doubt about a page that this host has read."""
    return Doubt(start, end, now_s + MAX_DOUBT_S, now_s + RECHECK_S)


def inherit(start: int, end: int, left_s: float, now_s: float) -> Doubt:
    """Returns the doubt of another host, of which so many seconds are left."""
    until_s = now_s + min(max(left_s, 0.0), MAX_DOUBT_S)
    return Doubt(start, end, until_s, now_s, is_own=False)


def compute_due_s(doubt: Doubt | None, now_s: float, is_reader: bool) -> float:
    """Returns the seconds until the next recheck; infinite without a doubt."""
    if doubt is None:
        return math.inf
    return doubt.compute_due_s(now_s, is_reader)
