"""Applies batches of records from the log or a peer to the state.

Pure. The state is only replaced by one with a higher offset, so a stale peer
or a late answer from the log can't revert it.
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
class FollowResult:
    """Result of applying a batch."""

    state: states.State
    # Offset to read from next.
    next: int
    # True if records were folded or a snapshot adopted.
    changed: bool
    # True if records between the state and the batch have expired and no
    # checkpoint covers them.
    gap: bool


@attrs.define
class CheckpointScan:
    """Search for a checkpoint after records that the state lacks expired."""

    parts: list[records.CheckpointPart] = attrs.Factory(list)
    # Offset up to which records were searched for parts, exclusive.
    scanned: int = 0


def apply_batch(
    state: states.State, batch: Batch, scan: CheckpointScan
) -> FollowResult:
    """Folds a batch into the state, or adopts a checkpoint found in it."""
    if batch.first <= state.offset + 1:
        if batch.entries and batch.entries[0].offset > state.offset + 1:
            # The batch answers a read from a later offset, for example because
            # another thread moved the read position. Folding it would skip
            # records that the source still has.
            return FollowResult(
                state, state.offset + 1, changed=False, gap=False
            )
        before = state.offset
        fold.apply_all(state, batch.entries)
        _reset_scan(scan)
        return FollowResult(
            state, state.offset + 1, state.offset > before, gap=False
        )
    expected = max(scan.scanned, batch.first)
    start = batch.entries[0].offset if batch.entries else batch.next
    if start > expected:
        # As above: continuing after this batch would skip records before it,
        # which may hold the only checkpoint.
        return FollowResult(state, expected, changed=False, gap=True)
    scan.scanned = max(expected, batch.next)
    scan.parts.extend(
        e.record
        for e in batch.entries
        if isinstance(e.record, records.CheckpointPart)
    )
    found = checkpoints.join(scan.parts)
    if found is None or found.offset <= state.offset:
        return FollowResult(state, scan.scanned, changed=False, gap=True)
    if found.offset + 1 < batch.first:
        # Some records after this snapshot have expired too, so adopting it
        # would lose changes. A newer snapshot may follow.
        return FollowResult(state, scan.scanned, changed=False, gap=True)
    _reset_scan(scan)
    return FollowResult(found, found.offset + 1, changed=True, gap=False)


def _reset_scan(scan: CheckpointScan) -> None:
    scan.parts.clear()
    scan.scanned = 0


def adopt(state: states.State, offered: states.State | None) -> states.State:
    """Returns the state with the higher offset."""
    if offered is None or offered.offset <= state.offset:
        return state
    return offered
