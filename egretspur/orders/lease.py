"""Decides when a daemon may send orders, from the order lease; pure.

A lease is a record in the log; its offset is the fencing number. Some engines
refuse orders with an old number, others ignore it. For the latter, timing
prevents two holders from sending at once. The holder measures its lease from
before it sent the request, on its own monotonic clock, and stops a margin
before the end. A successor starts its own clock when it first sees the lease
and waits for the lease duration, the margin and the longest time that an order
is in flight. No clock is compared with another process's.
"""

from __future__ import annotations

import attrs

from egretspur.intents import records
from egretspur.intents import state as states


@attrs.frozen
class Options:
    """Times of the lease, in seconds."""

    duration_s: float
    # Time before the end of the lease at which its holder stops sending.
    margin_s: float
    # Longest time that an order is in flight.
    flight_s: float


@attrs.frozen
class PendingRequest:
    """A `LeaseTaken` record sent to the log and not yet read back."""

    record_id: str
    # Monotonic time just before it was sent.
    sent_s: float


@attrs.frozen
class ObservedLease:
    """The latest lease that this process has read."""

    offset: int
    # Monotonic time at which this process first read it.
    first_seen_s: float


@attrs.define
class LeaseState:
    """One process's view of the lease of its data centre."""

    # Name and incarnation of this process.
    own_id: str
    data_centre: str
    pending_request: PendingRequest | None = None
    observed: ObservedLease = ObservedLease(0, 0.0)
    # Lease that this process holds: its offset (0 if none) and monotonic end.
    held_offset: int = 0
    held_until_s: float = 0.0


@attrs.frozen
class Acquire:
    """Effect: append a record that acquires or renews the lease."""

    # Offset of the lease that the record replaces; 0 if there is none.
    expects: int


@attrs.frozen
class Wait:
    """No effect; decide again later."""

    reason: str


def observe(
    lease: LeaseState,
    folded: states.Lease | None,
    ids: dict[str, int],
    now_s: float,
) -> None:
    """Updates the view from the latest folded lease.

    Args:
        lease: Changed in place.
        folded: Latest lease of the data centre in the folded state.
        ids: Offsets of recent records by id, from the folded state.
        now_s: Monotonic time.
    """
    offset = folded.offset if folded else 0
    if offset != lease.observed.offset:
        lease.observed = ObservedLease(offset, now_s)
    if offset != lease.held_offset:
        lease.held_offset = 0
        lease.held_until_s = 0.0
    request = lease.pending_request
    if request is None or request.record_id not in ids:
        return
    lease.pending_request = None
    if folded is None or ids[request.record_id] != offset:
        return
    if folded.holder != lease.own_id:
        return
    lease.held_offset = offset
    # Measured from before the record was sent: the log may have appended it
    # at any time after that, and a successor measures from when it read it.
    lease.held_until_s = request.sent_s + folded.duration_s


def decide(lease: LeaseState, opts: Options, now_s: float) -> Acquire | Wait:
    """Decides whether to acquire or renew the lease now."""
    if lease.pending_request is not None:
        if now_s < lease.pending_request.sent_s + opts.duration_s:
            return Wait("lease record sent, not yet read back")
        lease.pending_request = None
    if lease.held_offset:
        if lease.held_until_s - now_s > opts.duration_s / 2:
            return Wait("held")
        return Acquire(lease.held_offset)
    free_at_s = lease.observed.first_seen_s + (
        opts.duration_s + opts.margin_s + opts.flight_s
    )
    if lease.observed.offset and now_s < free_at_s:
        return Wait("the last lease may still be in force")
    return Acquire(lease.observed.offset)


def get_send_fence(lease: LeaseState, opts: Options, now_s: float) -> int:
    """Returns the fencing number for an order; 0 if none may be sent.

    Call directly before each send: a process paused between the call and the
    send would send under a lease that has since expired.
    """
    if not lease.held_offset:
        return 0
    if now_s >= lease.held_until_s - opts.margin_s:
        return 0
    return lease.held_offset


def make_record(
    lease: LeaseState,
    opts: Options,
    acquire: Acquire,
    record_id: str,
    at_ms: int,
    now_s: float,
) -> records.LeaseTaken:
    """Returns the record to append and marks it as pending."""
    lease.pending_request = PendingRequest(record_id, now_s)
    return records.LeaseTaken(
        id=record_id,
        by=lease.own_id,
        at_ms=at_ms,
        data_centre=lease.data_centre,
        holder=lease.own_id,
        duration_s=opts.duration_s,
        expects=acquire.expects,
    )
