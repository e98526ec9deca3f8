"""What a host knows of one topic, also across copies of the store: pure.

When the store comes back from an older copy, what the copy says is not taken
where it would undo what is known: a key that was removed stays removed, an
upstream that was leaving stays so, a configuration does not go back. What the
copy lacks is kept for as long as its writer may take to write it again. All of
that holds until a later record of the key is read. Read next:
`egretspur.catalog.positions` and `egretspur.catalog.handover`.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Final, Generic, TypeAlias, TypeVar

import attrs

from egretspur.catalog import feeds, handover, positions

T = TypeVar("T")

# What a copy has though it was removed is not taken for so long, in seconds:
# twice the time after which the store drops an entry whose writer is silent. If
# it is there still, its writer has written it again.
WITHHELD_S: Final = 8.0

Value: TypeAlias = T | feeds.Unreadable
Changed: TypeAlias = tuple[tuple[str, T | feeds.Unreadable | None], ...]


@attrs.frozen
class Read(Generic[T]):
    """A record with what it says; None if it drops its key."""

    record: handover.Record
    value: Value[T] | None


@attrs.frozen
class Policy(Generic[T]):
    """What of a topic outlasts a copy of the store."""

    # Tells whether a known value goes before one that a copy has.
    goes_before: Callable[[T, T], bool]
    # How long a key is kept that a copy lacks, in seconds.
    kept_s: float = math.inf
    # A value never gives way to one that it goes before, whoever writes that.
    is_monotonic: bool = False


@attrs.frozen
class CopyReport(Generic[T]):
    """What became of a topic as the store came back from a copy."""

    topic: str
    before: int
    era: int
    # Records that the copy has.
    read: int
    # Values that the copy lacks or has otherwise, and that are kept.
    kept: Mapping[str, Value[T]]
    # Keys that the copy has and that were removed later.
    withheld: tuple[str, ...]


class Table(Generic[T]):
    """The newest value of each key; see the module's docstring.

    One thread changes it; `export` may be called from any.
    """

    def __init__(
        self,
        name: str,
        policy: Policy[T],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Makes an empty table.

        Args:
            name: The topic's.
            policy: What outlasts a copy.
            clock: Monotonic time, in seconds.
        """
        self._name = name
        self._policy = policy
        self._clock = clock
        self._newest = handover.Newest(clock)
        self._values: dict[str, Value[T]] = {}
        # Records of the copy that don't count, by key.
        self._overruled: dict[str, handover.Overruled] = {}
        # Of them, those whose key is not known otherwise.
        self._withheld: dict[str, Read[T]] = {}
        # Told of each copy of the store, once the topic was read from it.
        self.note_copy: Callable[[CopyReport[T]], None] = lambda report: None

    def get_value(self, key: str) -> Value[T] | None:
        """Returns what is known of a key."""
        return self._values.get(key)

    def get_position(self) -> positions.Position | None:
        """Returns up to where the topic was read; None before that."""
        return self._newest.position

    def export(self, since: positions.Position | None) -> bytes | None:
        """Returns what another host misses; see `handover.Newest`."""
        return self._newest.pack_since(since)

    def replace(
        self,
        reads: Sequence[Read[T]],
        at: positions.Position,
        told: handover.Told | None = None,
    ) -> dict[str, Value[T]]:
        """Takes all keys, read anew.

        Args:
            reads: Their newest records, oldest first.
            at: From where changes are to be read.
            told: What a host that handed them over knows besides; None if
                they were read from the store.

        Returns:
            What is known now, by key.
        """
        before = self._newest.position
        fresh = {r.record.key: r for r in reads}
        before_copy = before if before and before.era != at.era else None
        if before_copy is not None:
            self._overruled = self._find_outlasting(fresh, told)
            self._overruled.update(
                self._find_removed(fresh, before_copy.offset, told)
            )
        else:
            self._drop_settled(fresh)
        told = told or handover.NOTHING_TOLD
        self._overruled.update(told.overruled)
        known = [
            read
            for key in {**self._overruled, **fresh}
            if (read := self._choose(key, fresh, told)) is not None
        ]
        self._set(known, at, told.dropped)
        self._withheld = {
            key: read
            for key, read in fresh.items()
            if key in self._overruled and key not in self._values
        }
        if before_copy is not None:
            self._report(before_copy.era, at.era, len(fresh))
        return dict(self._values)

    def change(
        self, reads: Sequence[Read[T]], at: positions.Position
    ) -> Changed[T]:
        """Takes records that were written since, oldest first.

        Returns:
            The changes, with those keys that were kept or withheld for long
            enough.
        """
        changes: list[tuple[str, Value[T] | None]] = []
        for read in reads:
            record, value = read.record, read.value
            if self._policy.is_monotonic and self._outdoes(read):
                self._overruled[record.key] = handover.Overruled(record.offset)
                continue
            is_settled = self._overruled.pop(record.key, None) is not None
            self._withheld.pop(record.key, None)
            if value is None:
                self._values.pop(record.key, None)
                self._newest.put(record)
            else:
                # What was kept had no place among the records, so that others
                # must be told that it was written again.
                if is_settled or self._values.get(record.key) != value:
                    self._newest.put(record)
                self._values[record.key] = value
            changes.append((record.key, value))
        changes += self._expire(at)
        self._newest.move_on(at, self._overruled)
        return tuple(changes)

    def _outdoes(self, read: Read[T]) -> bool:
        """Tells whether what is known of a record's key goes before it."""
        known = self._values.get(read.record.key)
        return known is not None and self._goes_before(known, read.value)

    def _drop_settled(self, fresh: Mapping[str, Read[T]]) -> None:
        """Forgets what was overruled of which a later record was read."""
        for key, overruled in list(self._overruled.items()):
            read = fresh.get(key)
            if read is not None and not overruled.covers(read.record):
                del self._overruled[key]

    def _find_outlasting(
        self, fresh: Mapping[str, Read[T]], told: handover.Told | None
    ) -> dict[str, handover.Overruled]:
        """Finds what is known and goes before what a copy says, or lacks."""
        found = {}
        kept_until_s = self._clock() + self._policy.kept_s
        dropped = told.dropped if told else ()
        for key, value in self._values.items():
            read = fresh.get(key)
            if read is None:
                if key not in dropped:
                    found[key] = handover.Overruled(None, kept_until_s)
            elif self._goes_before(value, read.value):
                found[key] = handover.Overruled(read.record.offset)
        return found

    def _find_removed(
        self,
        fresh: Mapping[str, Read[T]],
        read_up_to: int,
        told: handover.Told | None,
    ) -> dict[str, handover.Overruled]:
        """Finds what a copy has though later records removed it.

        All before the offset that this host had read up to is known to it: what
        the copy has there under an unknown key was removed later, or is new and
        soon written again. What another host keeps against the copy has no such
        offset.
        """
        kept = told.overruled if told else {}
        until_s = self._clock() + WITHHELD_S
        return {
            key: handover.Overruled(read.record.offset, until_s)
            for key, read in fresh.items()
            if key not in self._values
            and key not in kept
            and read.record.offset < read_up_to
        }

    def _goes_before(self, known: Value[T], copied: Value[T] | None) -> bool:
        if isinstance(known, feeds.Unreadable):
            return False
        if copied is None or isinstance(copied, feeds.Unreadable):
            return True
        return known != copied and self._policy.goes_before(known, copied)

    def _choose(
        self, key: str, fresh: Mapping[str, Read[T]], told: handover.Told
    ) -> Read[T] | None:
        """Returns what is known of a key from now on; None for nothing.

        Args:
            key: The key.
            fresh: What was read.
            told: What the host that handed it over knows besides.
        """
        theirs = fresh.get(key)
        if key not in self._overruled:
            return theirs
        mine = self._get_known(key)
        if key not in told.overruled:
            return mine
        # Both know better than the copy.
        if mine is None and key in self._newest.list_dropped():
            return None
        if mine is None or theirs is None:
            return theirs
        if mine.value is not None and self._goes_before(
            mine.value, theirs.value
        ):
            return mine
        return theirs

    def _get_known(self, key: str) -> Read[T] | None:
        value = self._values.get(key)
        record = self._newest.get(key)
        if value is None or record is None:
            return None
        # It has no place among the records of this era, and is older.
        return Read(attrs.evolve(record, offset=0), value)

    def _set(
        self,
        known: Sequence[Read[T]],
        at: positions.Position,
        dropped: Collection[str],
    ) -> None:
        """Takes what is known from now on, and keys known to be removed."""
        ordered = sorted(known, key=lambda r: r.record.offset)
        self._values = {
            r.record.key: r.value for r in ordered if r.value is not None
        }
        gone = {*self._newest.list_dropped(), *dropped} - set(self._values)
        self._newest.replace(
            [r.record for r in ordered], at, gone, self._overruled
        )

    def _report(self, before: int, era: int, read: int) -> None:
        kept = {
            k: self._values[k] for k in self._overruled if k in self._values
        }
        withheld = tuple(k for k in self._overruled if k not in kept)
        self.note_copy(
            CopyReport(self._name, before, era, read, kept, withheld)
        )

    def _expire(self, at: positions.Position) -> Changed[T]:
        """Ends what was kept or withheld for long enough."""
        now_s = self._clock()
        late = [k for k, o in self._overruled.items() if now_s >= o.until_s]
        changes: list[tuple[str, Value[T] | None]] = []
        for key in late:
            del self._overruled[key]
            read = self._withheld.pop(key, None)
            if read is None or read.value is None:
                self._values.pop(key, None)
                self._newest.put(handover.Record(at.offset, key, b""))
                changes.append((key, None))
            else:
                self._values[key] = read.value
                self._newest.put(read.record)
                changes.append((key, read.value))
        return tuple(changes)
