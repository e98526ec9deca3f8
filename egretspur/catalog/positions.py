"""Where a reader of the store stands, and in which copy of the store: pure.

The store may come back from a copy of itself that is some seconds old. What was
written since is gone, offsets go back and are given out again. A reader that
compares offsets alone goes on behind records that it has never seen, and keeps
what no longer exists. So a position is a pair of era and offset, and eras are
compared here and nowhere else. Read next: `egretspur.catalog.tables`.
"""

from __future__ import annotations

import enum
import threading

import attrs


class Standing(enum.Enum):
    """How an era stands to one that is known."""

    SAME = "same"
    # Of before the store last came back; nothing in it counts any more.
    OLDER = "older"
    # The store has come back from a copy since.
    NEWER = "newer"


def compare_eras(known: int, other: int) -> Standing:
    """Returns how another era stands to the known one."""
    if other == known:
        return Standing.SAME
    return Standing.OLDER if other < known else Standing.NEWER


@attrs.frozen
class Position:
    """Up to where a topic was read."""

    # Rises each time the store comes back from an older copy of itself.
    era: int
    offset: int


class Eras:
    """The newest era of the store that was seen; used by several threads."""

    def __init__(self) -> None:
        """Makes a state that has seen none."""
        self._lock = threading.Lock()
        self.newest = 0

    def note(self, era: int) -> Standing:
        """Takes the era of an answer; returns how it stands to the newest.

        An answer of an older era was under way for long, or was repeated; the
        caller must drop it.
        """
        with self._lock:
            standing = compare_eras(self.newest, era)
            if standing is Standing.NEWER:
                self.newest = era
            return standing
