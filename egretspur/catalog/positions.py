"""Read positions in the store, with the store's era; pure.

The store may be restored from a copy that is some seconds old. Records written
after the copy are lost, and their offsets are assigned again. A reader that
compares offsets alone would skip records that it has never read and keep keys
that no longer exist. So a position is a pair of era and offset, and only this
module compares eras. Read next: `egretspur.catalog.tables`.
"""

from __future__ import annotations

import enum
import threading

import attrs


class EraOrder(enum.Enum):
    """Result of comparing an era with a known one."""

    SAME = "same"
    # From before the store's last restore, and no longer valid.
    OLDER = "older"
    # The store was restored from an older copy since.
    NEWER = "newer"


def compare_eras(known: int, other: int) -> EraOrder:
    """Compares another era with the known one."""
    if other == known:
        return EraOrder.SAME
    return EraOrder.OLDER if other < known else EraOrder.NEWER


@attrs.frozen
class Position:
    """Position up to which a topic was read."""

    # Increases each time the store is restored from an older copy.
    era: int
    # Of the first record that was not read.
    offset: int


class Eras:
    """The newest era of the store that was seen; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.newest = 0

    def observe(self, era: int) -> EraOrder:
        """Records the era of an answer and compares it with the newest.

        An answer of an older era was delayed or duplicated on the network; the
        caller must drop it.
        """
        with self._lock:
            order = compare_eras(self.newest, era)
            if order is EraOrder.NEWER:
                self.newest = era
            return order
