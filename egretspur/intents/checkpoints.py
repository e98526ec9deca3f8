"""Checkpoints: snapshots of the state, written into the stream in parts.

Records live for a limited time. A snapshot is appended well before the oldest
record it rests on lapses, by whichever process finds it due; two snapshots of
one offset are equal and harmless. Only a complete one, with the right digest,
counts.
"""

from __future__ import annotations

import base64
import zlib
from collections.abc import Iterable
from typing import Final

import attrs

from egretspur import codec
from egretspur.intents import records
from egretspur.intents import state as states

# Characters of state per part; a log takes records of limited size.
PART_CHARS: Final = 200_000

# A checkpoint is due when this share of the retention has passed since the
# last one: three more tries fit before anything lapses.
DUE_SHARE: Final = 0.25

# Or when a reader would have to fold this many records after the last one.
DUE_RECORDS: Final = 20_000


@attrs.frozen
class Due:
    """What decides whether a checkpoint is due."""

    # Offset folded and base of the last complete checkpoint.
    offset: int
    checkpoint: int
    # Seconds since this process saw a complete checkpoint appear.
    age_s: float
    retention_s: float
    # Place of this process among the followers of its data centre; later ones
    # wait longer, so that usually one process writes.
    rank: int
    # Offset of the oldest record the log still has.
    log_first: int
    # Seconds since the log was first seen without what a reader needs.
    lapsed_s: float


# Seconds that each further follower waits before it writes back a state whose
# records have lapsed.
WRITE_BACK_PAUSE_S: Final = 1.0


def is_due(due: Due) -> bool:
    """Tells whether this process should append a checkpoint now."""
    behind = due.offset - due.checkpoint
    if behind <= 0:
        return False
    if due.log_first > due.checkpoint + 1:
        # An outage outlasted the retention: the log alone no longer gives the
        # state, so this copy may be the last. It is written back at once.
        return due.lapsed_s >= WRITE_BACK_PAUSE_S * due.rank
    patience = 1.0 + 0.5 * due.rank
    if behind > DUE_RECORDS * patience:
        return True
    return due.age_s > due.retention_s * DUE_SHARE * patience


def split(
    state: states.State, by: str, at_ms: int
) -> list[records.CheckpointPart]:
    """Returns a snapshot of the state as records to append."""
    plain = states.dump(state)
    digest = states.digest_bytes(plain)
    text = _compress(plain)
    count = max(1, -(-len(text) // PART_CHARS))
    return [
        records.CheckpointPart(
            # Equal for two writers of one snapshot: the second is a repeat.
            id=f"checkpoint-{state.offset}-{digest[:16]}-{part}",
            by=by,
            at_ms=at_ms,
            base_offset=state.offset,
            digest=digest,
            part=part,
            parts=count,
            data=text[part * PART_CHARS : (part + 1) * PART_CHARS],
        )
        for part in range(count)
    ]


def join(parts: Iterable[records.CheckpointPart]) -> states.State | None:
    """Returns the newest complete state among parts, or None.

    A part may be missing because its writer died or the log lost it; such a
    snapshot is passed over and an older complete one is taken.
    """
    groups: dict[tuple[int, str, int], dict[int, str]] = {}
    for part in parts:
        key = (part.base_offset, part.digest, part.parts)
        groups.setdefault(key, {})[part.part] = part.data
    for (_, digest, count), data in sorted(groups.items(), reverse=True):
        if len(data) != count:
            continue
        state = unpack("".join(data[i] for i in range(count)))
        if state is not None and states.compute_digest(state) == digest:
            return state
    return None


def pack(state: states.State) -> str:
    """Returns the state as compressed text, for a peer."""
    return _compress(states.dump(state))


def unpack(text: str) -> states.State | None:
    """Returns the state from compressed text; None if it is damaged."""
    try:
        plain = zlib.decompress(base64.b85decode(text))
        state = codec.load(plain, states.State)
    except (ValueError, zlib.error):
        return None
    # JSON keys come back sorted by name; what is forgotten by age must be
    # oldest first again, or this process would forget another than its peers.
    state.ids = dict(sorted(state.ids.items(), key=lambda item: item[1]))
    state.changes = dict(
        sorted(state.changes.items(), key=lambda i: (i[1].offset, i[0]))
    )
    return state


def _compress(plain: bytes) -> str:
    return base64.b85encode(zlib.compress(plain, 6)).decode("ascii")
