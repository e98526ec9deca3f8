"""Following the stream: what to do with a batch read from the log or a peer.

Pure. The state is only ever replaced by one with a higher offset, so a stale
peer or a log read from behind can't revert it.
"""

from __future__ import annotations

import attrs

from egretspur.intents import checkpoints, fold, records
from egretspur.intents import state as states


@attrs.frozen
class Batch:
    """Records read from one source."""

    # Offset of the oldest record the source still has.
    first: int
    # Offset after the last record of the batch.
    next: int
    # Offset after the last record of the source.
    head: int
    entries: tuple[records.Entry, ...]


@attrs.frozen
class Followed:
    """Result of a batch."""

    state: states.State
    # Offset to read from next.
    next: int
    # True if records were folded or a snapshot adopted.
    changed: bool
    # True if records between the state and the batch have lapsed and no
    # snapshot fills the gap.
    gap: bool


@attrs.define
class Reader:
    """Checkpoint parts met while the state is behind the source's records."""

    parts: list[records.CheckpointPart] = attrs.Factory(list)
    # Offset up to which records were looked through for parts, itself not.
    scanned: int = 0


def follow(state: states.State, batch: Batch, reader: Reader) -> Followed:
    """Folds a batch into the state, or adopts a checkpoint found in it."""
    if batch.first <= state.offset + 1:
        if batch.entries and batch.entries[0].offset > state.offset + 1:
            # The answer to a read that began further on, for example because
            # another thread moved the reading place. Folding it would leave
            # out records that the source still has.
            return Followed(state, state.offset + 1, changed=False, gap=False)
        before = state.offset
        fold.apply_all(state, batch.entries)
        _forget(reader)
        return Followed(
            state, state.offset + 1, state.offset > before, gap=False
        )
    expected = max(reader.scanned, batch.first)
    start = batch.entries[0].offset if batch.entries else batch.next
    if start > expected:
        # As above: going on behind this batch would pass over the records
        # before it, and with them perhaps the only checkpoint.
        return Followed(state, expected, changed=False, gap=True)
    reader.scanned = max(expected, batch.next)
    reader.parts.extend(
        e.record
        for e in batch.entries
        if isinstance(e.record, records.CheckpointPart)
    )
    found = checkpoints.join(reader.parts)
    if found is None or found.offset <= state.offset:
        return Followed(state, reader.scanned, changed=False, gap=True)
    if found.offset + 1 < batch.first:
        # The snapshot is complete but the records after it have lapsed too:
        # adopting it would leave out changes. A newer one may follow.
        return Followed(state, reader.scanned, changed=False, gap=True)
    _forget(reader)
    return Followed(found, found.offset + 1, changed=True, gap=False)


def _forget(reader: Reader) -> None:
    reader.parts.clear()
    reader.scanned = 0


def adopt(state: states.State, offered: states.State | None) -> states.State:
    """Returns the state with the higher offset."""
    if offered is None or offered.offset <= state.offset:
        return state
    return offered
