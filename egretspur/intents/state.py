"""State that every process folds from the configuration stream.

Only `egretspur.intents.fold` changes it. The keys and the order of all
containers follow from the records alone, so two processes at the same offset
hold equal states with equal digests.
"""

from __future__ import annotations

import enum
import hashlib
from typing import Final

import attrs

from egretspur import codec
from egretspur.intents import records

# Entries of `State.history` kept; older ones remain only in the log.
HISTORY_MAX: Final = 2000

# Record ids kept to detect a record appended twice. A writer retries an append
# for seconds; the ids cover hours, at about one record a second in this stream
# and several hundred appends a second in the whole log.
RECORD_IDS_MAX: Final = 4096

# Changed keys kept. A plan older than the oldest of them can't be checked for
# conflicts and is refused; the operator has to make a new one.
CHANGED_KEYS_MAX: Final = 4096

# Ended plans (rejected, in conflict, superseded) kept for display.
ENDED_PLANS_MAX: Final = 500


class PlanStatus(enum.Enum):
    """Status of a plan."""

    PROPOSED = "proposed"
    PREPARING = "preparing"
    ACTIVE = "active"
    REJECTED = "rejected"
    CONFLICT = "conflict"
    SUPERSEDED = "superseded"


@attrs.define
class PlanState:
    """A plan and its progress."""

    plan: records.PlanMade
    offset: int
    status: PlanStatus = PlanStatus.PROPOSED
    # Data centres that have not reported the plan as loaded.
    pending: tuple[str, ...] = ()
    # Why the plan ended, for the operator.
    reason: str = ""
    confirmed_by: str = ""
    # Offsets of its confirmation and activation; 0 if not yet.
    confirmed_offset: int = 0
    active_offset: int = 0


@attrs.define
class IntentState:
    """An intent with its plans."""

    intent: records.Intent
    by: str
    at_ms: int
    offset: int
    plans: tuple[str, ...] = ()


@attrs.frozen
class Change:
    """Last change of a key, and the intent that made it."""

    offset: int
    intent_id: str


@attrs.frozen
class Lease:
    """The latest lease of a data centre; its offset is the fencing token."""

    offset: int
    holder: str
    duration_s: float


@attrs.frozen
class HistoryEntry:
    """One line of the history shown to operators."""

    offset: int
    at_ms: int
    by: str
    what: str
    intent_id: str
    plan_id: str
    detail: str


@attrs.define
class State:
    """State folded from all records so far."""

    # Offset of the last record folded; 0 before the first.
    offset: int = 0
    intents: dict[str, IntentState] = attrs.Factory(dict)
    plans: dict[str, PlanState] = attrs.Factory(dict)
    # Deployments being prepared or in force.
    deployments: dict[str, records.Deployment] = attrs.Factory(dict)
    # Bindings in force, by `records.binding_key`.
    bindings: dict[str, records.Binding] = attrs.Factory(dict)
    # Plan in force for each binding key.
    active_plans: dict[str, str] = attrs.Factory(dict)
    # Offset of the last change of `bindings` or `deployments`; routers need a
    # new table only when it changes.
    routing_offset: int = 0
    # Offset of the last record other than a lease. Lease renewals are frequent
    # and most hosts don't wait for them.
    news_offset: int = 0
    # Number of plans, in preparation or in force, that use a deployment.
    uses: dict[str, int] = attrs.Factory(dict)
    # Last change of each key, ordered by offset, then by key.
    changes: dict[str, Change] = attrs.Factory(dict)
    # Offset of the newest evicted change.
    changes_floor: int = 0
    leases: dict[str, Lease] = attrs.Factory(dict)
    history: list[HistoryEntry] = attrs.Factory(list)
    # Ids of recent records, oldest first.
    ids: dict[str, int] = attrs.Factory(dict)
    # Ids of ended plans, oldest first.
    ended: list[str] = attrs.Factory(list)
    # Base offset of the last complete checkpoint seen in the stream.
    checkpoint: int = 0
    # Part numbers seen of incomplete checkpoints, by base offset and digest.
    parts_seen: dict[str, tuple[int, ...]] = attrs.Factory(dict)


def dump(state: State) -> bytes:
    """Returns the state as JSON; equal states give equal bytes."""
    return codec.dump_json(codec.encode(state))


def compute_digest(state: State) -> str:
    """Returns the digest of a state; equal states give equal digests."""
    return digest_bytes(dump(state))


def digest_bytes(plain: bytes) -> str:
    """Returns the digest of a dumped state."""
    return hashlib.sha256(plain).hexdigest()
