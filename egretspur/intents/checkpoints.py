"""Checkpoints: snapshots of the state, appended to the stream in parts.

The log deletes records after its retention period. Any process may append a
snapshot, well before the records since the last one expire. Two snapshots of
one offset are equal, so writing both is harmless. Readers adopt a snapshot
only if all its parts are there and its digest matches.
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

# Characters of state per part; the log limits the size of a record.
PART_CHARS: Final = 200_000

# A checkpoint is due once this share of the retention period has passed since
# the last one, which leaves time for three more attempts before records expire.
MAX_AGE_RATIO: Final = 0.25

# It is also due once a reader must fold this many records after the last one.
MAX_RECORDS_BEHIND: Final = 20_000


@attrs.frozen
class CheckpointStatus:
    """Inputs of the decision whether a checkpoint is due."""

    # Offset folded, and base offset of the last complete checkpoint.
    offset: int
    checkpoint_offset: int
    # Seconds since this process saw a complete checkpoint appear.
    age_s: float
    retention_s: float
    # Rank of this process among the followers of its data centre. Higher ranks
    # wait longer, so that usually one process writes.
    rank: int
    # Offset of the oldest record still in the log.
    log_first_offset: int
    # Seconds since the log last held every record after the checkpoint.
    log_incomplete_s: float


# Delay per rank before a follower writes back a state whose records have
# expired from the log.
WRITE_BACK_DELAY_S: Final = 1.0


def is_due(status: CheckpointStatus) -> bool:
    """Returns True if this process should append a checkpoint now."""
    behind = status.offset - status.checkpoint_offset
    if behind <= 0:
        return False
    if status.log_first_offset > status.checkpoint_offset + 1:
        # After an outage longer than the retention period, the state can no
        # longer be rebuilt from the log and this may be the last copy. It is
        # written back without waiting for the usual interval.
        return status.log_incomplete_s >= WRITE_BACK_DELAY_S * status.rank
    rank_factor = 1.0 + 0.5 * status.rank
    if behind > MAX_RECORDS_BEHIND * rank_factor:
        return True
    return status.age_s > status.retention_s * MAX_AGE_RATIO * rank_factor


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
            # Two writers of one snapshot use the same id, so that the second
            # record is ignored as a repeat.
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

    A part may be missing because its writer died or the log lost it. Such a
    snapshot is skipped in favour of an older complete one.
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
    # JSON keys are sorted by name. Entries that are evicted by age are put
    # back in order, oldest first, so that all processes evict the same ones.
    state.ids = dict(sorted(state.ids.items(), key=lambda item: item[1]))
    state.changes = dict(
        sorted(state.changes.items(), key=lambda i: (i[1].offset, i[0]))
    )
    return state


def _compress(plain: bytes) -> str:
    return base64.b85encode(zlib.compress(plain, 6)).decode("ascii")
