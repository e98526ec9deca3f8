"""State that every process folds from the configuration stream.

Only `egretspur.intents.fold` changes it. All containers are keyed and ordered
by the records alone, so two processes at the same offset hold equal states and
equal digests.
"""

from __future__ import annotations

import enum
import hashlib
from typing import Final

import attrs

from egretspur import codec
from egretspur.intents import records

# Entries of `State.history` kept; older ones stay in the log only.
HISTORY_KEPT: Final = 2000

# Record ids remembered to recognise a record appended twice. A writer repeats
# an append for seconds; at several hundred appends a second of the whole log
# and about one of the configuration, this is hours.
IDS_KEPT: Final = 4096

# Changed keys remembered. A plan older than the oldest of them can't be checked
# any more and is refused; an operator makes a new one.
CHANGES_KEPT: Final = 4096

# Plans that ended (rejected, in conflict, superseded) kept for the operator.
ENDED_KEPT: Final = 500


class PlanStatus(enum.Enum):
    """Life of a plan."""

    PROPOSED = "proposed"
    PREPARING = "preparing"
    ACTIVE = "active"
    REJECTED = "rejected"
    CONFLICT = "conflict"
    SUPERSEDED = "superseded"


@attrs.define
class PlanState:
    """A plan and where it stands."""

    plan: records.PlanMade
    offset: int
    status: PlanStatus = PlanStatus.PROPOSED
    # Data centres that have not reported the plan as loaded.
    pending: tuple[str, ...] = ()
    # Why the plan ended, for the operator.
    reason: str = ""
    confirmed_by: str = ""
    # Offsets at which it was confirmed and came into force; 0 if not yet.
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
    """The latest lease of a data centre; its offset is the fencing number."""

    offset: int
    holder: str
    duration_s: float


@attrs.frozen
class HistoryEntry:
    """One line of what was asked, planned and done."""

    offset: int
    at_ms: int
    by: str
    what: str
    intent_id: str
    plan_id: str
    detail: str


@attrs.define
class State:
    """Everything folded so far."""

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
    # Offset of the last change of `bindings` or `deployments`; routers need
    # nothing new until it changes.
    routing_offset: int = 0
    # Offset of the last record that other hosts wait for; leases are renewed
    # all the time and are no news to most.
    news_offset: int = 0
    # Confirmed plans, in preparation or in force, that use a deployment.
    uses: dict[str, int] = attrs.Factory(dict)
    # Last change of each key, oldest first; equal offsets by key.
    changes: dict[str, Change] = attrs.Factory(dict)
    # Offset of the newest change forgotten.
    changes_floor: int = 0
    leases: dict[str, Lease] = attrs.Factory(dict)
    history: list[HistoryEntry] = attrs.Factory(list)
    # Ids of recent records, oldest first.
    ids: dict[str, int] = attrs.Factory(dict)
    # Ids of ended plans, oldest first.
    ended: list[str] = attrs.Factory(list)
    # Base offset of the last complete checkpoint seen in the stream.
    checkpoint: int = 0
    # Parts seen of the newest incomplete checkpoint: id prefix to part numbers.
    parts_seen: dict[str, tuple[int, ...]] = attrs.Factory(dict)


def dump(state: State) -> bytes:
    """Returns the state as JSON; equal bytes for equal states."""
    return codec.dump_json(codec.encode(state))


def compute_digest(state: State) -> str:
    """Returns a digest that is equal for equal states."""
    return digest_bytes(dump(state))


def digest_bytes(plain: bytes) -> str:
    """Returns the digest of a state that was dumped already."""
    return hashlib.sha256(plain).hexdigest()
