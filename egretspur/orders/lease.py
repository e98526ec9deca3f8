"""When a daemon may give orders: pure decisions over the order lease.

A lease is a record in the log; its offset is the fencing number. Some engines
refuse an old number, others ignore it. For the latter, time must keep two
holders apart: the holder counts its lease from before it asked, on its own
monotonic clock, and stops a margin early; a successor waits, on its own clock,
from when it first saw the lease, for its duration, the margin and the longest
flight of an order. No clock is compared with another process's.
"""

from __future__ import annotations

import attrs

from egretspur.intents import records
from egretspur.intents import state as states


@attrs.frozen
class Options:
    """Bounds of the lease, in seconds."""

    duration_s: float
    margin_s: float
    flight_s: float


@attrs.frozen
class Asked:
    """A `LeaseTaken` record that was sent to the log."""

    record_id: str
    # Monotonic time before it was sent.
    sent_s: float


@attrs.frozen
class Seen:
    """The latest lease as this process saw it."""

    offset: int
    # Monotonic time at which the process first saw it.
    since_s: float


@attrs.define
class LeaseState:
    """What one process knows of the lease of its data centre."""

    # Name and incarnation of this process.
    me: str
    data_centre: str
    asked: Asked | None = None
    seen: Seen = Seen(0, 0.0)
    # Lease this process holds: its offset and monotonic end.
    held_offset: int = 0
    held_until_s: float = 0.0


@attrs.frozen
class Ask:
    """Effect: append this lease record."""

    expects: int


@attrs.frozen
class Wait:
    """No effect; look again later."""

    reason: str


def observe(
    lease: LeaseState,
    folded: states.Lease | None,
    ids: dict[str, int],
    now_s: float,
) -> None:
    """Takes notice of the latest folded lease.

    Args:
        lease: Changed in place.
        folded: Latest lease of the data centre in the folded state.
        ids: Offsets of recent records by id, from the folded state.
        now_s: Monotonic time.
    """
    offset = folded.offset if folded else 0
    if offset != lease.seen.offset:
        lease.seen = Seen(offset, now_s)
    if offset != lease.held_offset:
        lease.held_offset = 0
        lease.held_until_s = 0.0
    asked = lease.asked
    if asked is None or asked.record_id not in ids:
        return
    lease.asked = None
    if folded is None or ids[asked.record_id] != offset:
        return
    if folded.holder != lease.me:
        return
    lease.held_offset = offset
    # Counted from before the record was sent: the log may have taken it at
    # any moment after that, and a successor counts from when it saw it.
    lease.held_until_s = asked.sent_s + folded.duration_s


def decide(lease: LeaseState, opts: Options, now_s: float) -> Ask | Wait:
    """Tells whether to ask for the lease, or renew it, now."""
    if lease.asked is not None:
        if now_s < lease.asked.sent_s + opts.duration_s:
            return Wait("asked and not yet read back")
        lease.asked = None
    if lease.held_offset:
        if lease.held_until_s - now_s > opts.duration_s / 2:
            return Wait("held")
        return Ask(lease.held_offset)
    free_at = lease.seen.since_s + (
        opts.duration_s + opts.margin_s + opts.flight_s
    )
    if lease.seen.offset and now_s < free_at:
        return Wait("another lease may still run")
    return Ask(lease.seen.offset)


def may_send(lease: LeaseState, opts: Options, now_s: float) -> int:
    """Returns the fencing number to send an order under, or 0 if none.

    To be asked right before each send, never earlier: a process that was
    paused after asking would send under a lease that has lapsed meanwhile.
    """
    if not lease.held_offset:
        return 0
    if now_s >= lease.held_until_s - opts.margin_s:
        return 0
    return lease.held_offset


def make_record(
    lease: LeaseState,
    opts: Options,
    ask: Ask,
    record_id: str,
    at_ms: int,
    now_s: float,
) -> records.LeaseTaken:
    """Returns the record to append and remembers having asked."""
    lease.asked = Asked(record_id, now_s)
    return records.LeaseTaken(
        id=record_id,
        by=lease.me,
        at_ms=at_ms,
        data_centre=lease.data_centre,
        holder=lease.me,
        duration_s=opts.duration_s,
        expects=ask.expects,
    )
