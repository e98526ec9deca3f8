"""Topics and groups of the second stand-in of the store, without its HTTP.

Written from the platform's page alone. Read next: `tests.fakes.strangestore`.
"""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import Any, Final

import attrs

# Partitions of a topic that is not keyed.
PARTS: Final = 12


@attrs.define
class Partition:
    """Records of one partition; offsets number them from 0, without gaps."""

    # Retained records, the oldest first.
    records: list[bytes] = attrs.Factory(list)
    # Offset of the first of them.
    start: int = 0
    # Offset and value of the newest record of each key.
    newest: dict[str, tuple[int, bytes]] = attrs.Factory(dict)

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.start + len(self.records)

    def append(self, record: bytes, is_keyed: bool) -> None:
        """Appends a record; without a value it drops its key."""
        if is_keyed:
            size = record[0]
            key, value = record[1 : 1 + size].decode(), record[1 + size :]
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (self.end, value)
        self.records.append(record)

    def trim(self, before: int) -> None:
        """Drops the records before an offset."""
        count = min(max(0, before - self.start), len(self.records))
        del self.records[:count]
        self.start += count

    def list_page(self, after: str | None, size: int) -> tuple[list[str], bool]:
        """Returns the next keys in their order, and whether more follow."""
        keys = sorted(k for k in self.newest if after is None or k > after)
        return keys[:size], len(keys) > size


Row = tuple[str, int]


@attrs.define
class Group:
    """Members of a group, and the partitions that they hold."""

    generation: int = 1
    topics: list[str] = attrs.Factory(list)
    # Monotonic time at which the membership of each expires.
    until_s: dict[str, float] = attrs.Factory(dict)
    held: dict[Row, str] = attrs.Factory(dict)
    wanted: dict[Row, str] = attrs.Factory(dict)
    committed: dict[Row, int] = attrs.Factory(dict)

    def expire(self) -> None:
        """Drops members that have sent nothing for too long."""
        now_s = time.monotonic()
        gone = [m for m, until_s in self.until_s.items() if until_s < now_s]
        for member in gone:
            self.drop(member)

    def drop(self, member: str) -> None:
        """Drops a member with all that it holds."""
        if self.until_s.pop(member, None) is None:
            return
        self.held = {r: m for r, m in self.held.items() if m != member}
        self.deal()

    def deal(self, turn: int = 0) -> None:
        """Distributes all partitions evenly among the members anew.

        Args:
            turn: Member with which the distribution begins.
        """
        self.generation += 1
        members = sorted(self.until_s)
        rows = [(t, p) for t in self.topics for p in range(PARTS)]
        self.wanted = {
            row: members[(i + turn) % len(members)]
            for i, row in enumerate(rows)
            if members
        }

    def join(
        self, member: str, topics: Iterable[str], ttl_s: float, generation: int
    ) -> list[list[Any]]:
        """Joins or keeps a member; returns its rows."""
        self.expire()
        is_new = member not in self.until_s
        self.until_s[member] = time.monotonic() + ttl_s
        added = [t for t in topics if t not in self.topics]
        self.topics += added
        if is_new or added:
            self.deal()
        for row, holder in list(self.held.items()):
            if (
                holder == member
                and self.wanted.get(row) != member
                and generation >= self.generation
            ):
                del self.held[row]
        for row, target in self.wanted.items():
            if target == member:
                self.held.setdefault(row, member)
        return [
            [*row, self.committed.get(row, 0)]
            for row, holder in self.held.items()
            if holder == member and self.wanted.get(row) == member
        ]

    def list_owners(self) -> list[list[Any]]:
        """Returns rows of topic, partition, member and offset."""
        self.expire()
        return [
            [*row, holder, self.committed.get(row, 0)]
            for row, holder in self.held.items()
        ]


@attrs.define
class Log:
    """All topics and groups."""

    partitions: dict[Row, Partition] = attrs.Factory(dict)
    groups: dict[str, Group] = attrs.Factory(dict)

    def get(self, topic: str, part: int) -> Partition:
        """Returns a partition, which is created on first use."""
        return self.partitions.setdefault((topic, part), Partition())

    def get_group(self, name: str) -> Group:
        """Returns a group, which is created on first use."""
        return self.groups.setdefault(name, Group())

    def trim_all(self) -> None:
        """Drops the history of every topic; the newest records stay."""
        for found in self.partitions.values():
            found.trim(found.end)
