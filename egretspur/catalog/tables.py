"""State of one topic that survives a restore of the store; pure.

When the store is restored from an older copy, the copy does not undo what a
host knows: a removed key stays removed, a draining upstream stays draining, and
the configuration keeps its version. Keys that the copy lacks are kept for as
long as their writers may take to rewrite them. Each such override ends when a
later record of the key is read. Read next: `egretspur.catalog.positions` and
`egretspur.catalog.handover`.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Generic, TypeAlias, TypeVar

import attrs

from egretspur.catalog import doubts, feeds, handover, positions

T = TypeVar("T")

Value: TypeAlias = T | feeds.Unreadable
Changed: TypeAlias = tuple[tuple[str, T | feeds.Unreadable | None], ...]


@attrs.frozen
class DecodedRecord(Generic[T]):
    """A record with its decoded value."""

    record: handover.Record
    # None for a tombstone.
    value: Value[T] | None


@attrs.frozen
class Policy(Generic[T]):
    """Decides which values of a topic survive a restore of the store."""

    # Returns whether a known value supersedes that of the copy; called with
    # both in this order.
    supersedes: Callable[[T, T], bool]
    # How long a key that the copy lacks is kept, in seconds.
    keep_missing_s: float = math.inf
    # Whether known values supersede later records as well as those of a copy.
    is_monotonic: bool = False
    # How long a record of the copy is withheld whose key was removed later, in
    # seconds. One that remains longer was rewritten.
    withheld_s: float = 8.0


@attrs.frozen
class RestoreReport(Generic[T]):
    """Result of merging a topic with a restored copy of the store."""

    topic: str
    # Eras before and after the restore.
    previous_era: int
    era: int
    # Number of records in the copy.
    read: int
    # Values that were kept, since the copy lacks them or has older ones.
    kept: Mapping[str, Value[T]]
    # Keys that the copy has, and that were removed later.
    withheld: tuple[str, ...]


class Table(Generic[T]):
    """The newest value of each key; see the module's docstring.

    One thread changes it; any thread may call `export`.
    """

    def __init__(
        self,
        name: str,
        policy: Policy[T],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Makes an empty table.

        Args:
            name: Name of the topic.
            policy: Decides what survives a restore.
            clock: Returns the monotonic time in seconds.
        """
        self._name = name
        self._policy = policy
        self._clock = clock
        self._newest = handover.NewestRecords(clock)
        self._values: dict[str, Value[T]] = {}
        # Overrides of the copy's records, by key.
        self._overrides: dict[str, handover.Override] = {}
        # Ignored records of keys that have no known value.
        self._withheld: dict[str, DecodedRecord[T]] = {}
        # Called after the first read of the topic from a restored store.
        self.on_restore: Callable[[RestoreReport[T]], None] = lambda r: None

    def get_value(self, key: str) -> Value[T] | None:
        """Returns the value of a key; None if it has none."""
        return self._values.get(key)

    def get_position(self) -> positions.Position | None:
        """Returns the position of the last read; None before the first."""
        return self._newest.position

    def get_doubt(self) -> doubts.Doubt | None:
        """Returns which records may be missing; None if none is."""
        return self._newest.doubt

    def set_doubt(self, doubt: doubts.Doubt | None) -> None:
        """Sets which records may be missing."""
        self._newest.set_doubt(doubt)

    def narrow_doubt(self, start: int) -> None:
        """Notes that no record before an offset is missing any more."""
        doubt = self._newest.doubt
        if doubt is not None and start > doubt.start:
            self._newest.set_doubt(attrs.evolve(doubt, start=start))

    def note_late(self) -> None:
        """Has other hosts take records that were found late."""
        self._newest.send_all()

    def get_offset(self, key: str) -> int:
        """Returns the offset of a key's newest record; -1 for none."""
        return self._newest.get_offset(key)

    def list_from(self, offset: int) -> list[DecodedRecord[T]]:
        """Returns the known records from an offset on, with tombstones.

        A value that was written again unchanged has its first record.
        """
        return [
            DecodedRecord(r, self._values.get(r.key) if r.raw else None)
            for r in self._newest.list_from(offset)
        ]

    def get_due_s(self) -> float:
        """Returns the seconds until a value changes without a record.

        A read at that time ends the override; infinite if there is none.
        """
        ends = [o.until_s for o in self._overrides.values()]
        return max(0.0, min(ends, default=math.inf) - self._clock())

    def export(self, since: positions.Position | None) -> bytes | None:
        """Returns the packed snapshot for a host that has read to `since`."""
        return self._newest.pack_since(since)

    def replace(
        self,
        records: Sequence[DecodedRecord[T]],
        at: positions.Position,
        merge_info: handover.MergeInfo | None = None,
        survivors: Sequence[DecodedRecord[T]] = (),
    ) -> dict[str, Value[T]]:
        """Merges a full read of the topic.

        Args:
            records: The newest record of each key, oldest first.
            at: Position from which to read changes.
            merge_info: Sent by the other host beside the records; None if
                they were read from the store.
            survivors: Known records of the same era that are kept, with
                tombstones, unless the read has a later one of their key.

        Returns:
            The values after the merge, by key.
        """
        before = self._newest.position
        fresh = {r.record.key: r for r in records}
        for known in survivors:
            key = known.record.key
            read = fresh.get(key)
            if read is not None and read.record.offset >= known.record.offset:
                continue
            if known.value is not None:
                fresh[key] = known
            elif read is not None:
                del fresh[key]
        previous = before if before and before.era != at.era else None
        if merge_info is not None and before is not None and previous is None:
            merge_info = self._check_kept(merge_info, fresh)
        if previous is not None:
            self._overrides = self._find_surviving(fresh, merge_info)
            self._overrides.update(
                self._find_removed(fresh, previous.offset, merge_info)
            )
        else:
            self._drop_ended_overrides(fresh)
        merge_info = merge_info or handover.NO_MERGE_INFO
        self._overrides.update(merge_info.overrides)
        resolved = [
            decoded
            for key in {**self._overrides, **fresh}
            if (decoded := self._resolve(key, fresh, merge_info)) is not None
        ]
        self._replace_all(resolved, at, merge_info.removed)
        self._withheld = {
            key: decoded
            for key, decoded in fresh.items()
            if key in self._overrides and key not in self._values
        }
        if previous is not None:
            self._report_restore(previous.era, at.era, len(fresh))
        return dict(self._values)

    def apply_changes(
        self, records: Sequence[DecodedRecord[T]], at: positions.Position
    ) -> Changed[T]:
        """Applies records written since the last read, oldest first.

        Args:
            records: The records.
            at: Position after them.

        Returns:
            The changes, including keys whose override has expired.
        """
        changes: list[tuple[str, Value[T] | None]] = []
        for decoded in records:
            record, value = decoded.record, decoded.value
            if self._newest.get_offset(record.key) > record.offset:
                # Read again, from a position before that of an earlier read.
                continue
            if self._policy.is_monotonic and self._is_superseded(decoded):
                self._overrides[record.key] = handover.Override(record.offset)
                continue
            is_rewritten = self._overrides.pop(record.key, None) is not None
            self._withheld.pop(record.key, None)
            if value is None:
                self._values.pop(record.key, None)
                self._newest.put(record)
            else:
                # The offset of a kept value is not valid in this era, so the
                # rewritten record is stored for other hosts even if equal.
                if is_rewritten or self._values.get(record.key) != value:
                    self._newest.put(record)
                self._values[record.key] = value
            changes.append((record.key, value))
        changes += self._expire_overrides(at)
        self._newest.advance(at, self._overrides)
        return tuple(changes)

    def _is_superseded(self, decoded: DecodedRecord[T]) -> bool:
        """Returns whether the known value of its key supersedes a record."""
        known = self._values.get(decoded.record.key)
        return known is not None and self._supersedes(known, decoded.value)

    def _drop_ended_overrides(
        self, fresh: Mapping[str, DecodedRecord[T]]
    ) -> None:
        """Removes overrides of keys that have a later record, or none now."""
        for key, override in list(self._overrides.items()):
            decoded = fresh.get(key)
            if decoded is None:
                # The copy had a record of the key, which was removed since.
                is_ended = override.offset is not None
            else:
                is_ended = not override.ignores(decoded.record)
            if is_ended:
                del self._overrides[key]

    def _check_kept(
        self,
        merge_info: handover.MergeInfo,
        fresh: dict[str, DecodedRecord[T]],
    ) -> handover.MergeInfo:
        """Corrects what another host keeps that has read the same copy.

        The copy lacks these keys, and the other host, which has read as far as
        this one or further, waits for their writers. A key that this host does
        not only keep as well is gone: it read a record that is no longer there,
        or has read the removal or waited itself. A key that both keep ends with
        the earlier wait.

        Args:
            merge_info: Sent by the other host.
            fresh: The records that it sent; those of keys that are gone are
                removed.

        Returns:
            What remains of `merge_info`.
        """
        overrides = dict(merge_info.overrides)
        for key, theirs in merge_info.overrides.items():
            if theirs.offset is not None:
                continue
            mine = self._overrides.get(key)
            if mine is not None and mine.offset is None:
                overrides[key] = min(mine, theirs, key=lambda o: o.until_s)
                continue
            del overrides[key]
            fresh.pop(key, None)
        return attrs.evolve(merge_info, overrides=overrides)

    def _find_surviving(
        self,
        fresh: Mapping[str, DecodedRecord[T]],
        merge_info: handover.MergeInfo | None,
    ) -> dict[str, handover.Override]:
        """Returns overrides for known values that survive a restore."""
        found = {}
        kept_until_s = self._clock() + self._policy.keep_missing_s
        removed = merge_info.removed if merge_info else ()
        for key, value in self._values.items():
            decoded = fresh.get(key)
            if decoded is None:
                if key not in removed:
                    found[key] = handover.Override(None, kept_until_s)
            elif self._supersedes(value, decoded.value):
                found[key] = handover.Override(decoded.record.offset)
        return found

    def _find_removed(
        self,
        fresh: Mapping[str, DecodedRecord[T]],
        read_up_to: int,
        merge_info: handover.MergeInfo | None,
    ) -> dict[str, handover.Override]:
        """Returns overrides for records of the copy that were removed later.

        This host knows the effect of all records before the offset up to which
        it had read. A record of the copy before that offset, under an unknown
        key, was removed later, or is new and soon rewritten. Values that
        another host keeps despite the copy have no such offset.
        """
        kept = merge_info.overrides if merge_info else {}
        until_s = self._clock() + self._policy.withheld_s
        return {
            key: handover.Override(decoded.record.offset, until_s)
            for key, decoded in fresh.items()
            if key not in self._values
            and key not in kept
            and decoded.record.offset < read_up_to
        }

    def _supersedes(self, known: Value[T], copied: Value[T] | None) -> bool:
        if isinstance(known, feeds.Unreadable):
            return False
        if copied is None or isinstance(copied, feeds.Unreadable):
            return True
        return known != copied and self._policy.supersedes(known, copied)

    def _resolve(
        self,
        key: str,
        fresh: Mapping[str, DecodedRecord[T]],
        merge_info: handover.MergeInfo,
    ) -> DecodedRecord[T] | None:
        """Returns the record of a key after a merge; None for no value.

        Args:
            key: The key.
            fresh: The records that were read, by key.
            merge_info: Sent by the other host beside the records.
        """
        theirs = fresh.get(key)
        if key not in self._overrides:
            return theirs
        mine = self._get_known(key)
        if key not in merge_info.overrides:
            return mine
        # Both hosts override the copy.
        if mine is None and key in self._newest.list_removed():
            return None
        if mine is None or theirs is None:
            return theirs
        if mine.value is not None and self._supersedes(
            mine.value, theirs.value
        ):
            return mine
        return theirs

    def _get_known(self, key: str) -> DecodedRecord[T] | None:
        value = self._values.get(key)
        record = self._newest.get(key)
        if value is None or record is None:
            return None
        # Its offset is of an earlier era, so it sorts before all records.
        return DecodedRecord(attrs.evolve(record, offset=0), value)

    def _replace_all(
        self,
        known: Sequence[DecodedRecord[T]],
        at: positions.Position,
        removed: Collection[str],
    ) -> None:
        """Replaces all values and records, and adds removed keys."""
        ordered = sorted(known, key=lambda r: r.record.offset)
        self._values = {
            r.record.key: r.value for r in ordered if r.value is not None
        }
        gone = {*self._newest.list_removed(), *removed} - set(self._values)
        self._newest.replace(
            [r.record for r in ordered], at, gone, self._overrides
        )

    def _report_restore(self, previous_era: int, era: int, read: int) -> None:
        kept = {
            k: self._values[k] for k in self._overrides if k in self._values
        }
        withheld = tuple(k for k in self._overrides if k not in kept)
        self.on_restore(
            RestoreReport(self._name, previous_era, era, read, kept, withheld)
        )

    def _expire_overrides(self, at: positions.Position) -> Changed[T]:
        """Ends overrides whose time is over; returns the changes."""
        now_s = self._clock()
        late = [k for k, o in self._overrides.items() if now_s >= o.until_s]
        changes: list[tuple[str, Value[T] | None]] = []
        for key in late:
            del self._overrides[key]
            decoded = self._withheld.pop(key, None)
            if decoded is None or decoded.value is None:
                self._values.pop(key, None)
                self._newest.put(handover.Record(at.offset, key, b""))
                changes.append((key, None))
            else:
                self._values[key] = decoded.value
                self._newest.put(decoded.record)
                changes.append((key, decoded.value))
        return tuple(changes)
