"""A request that a host has accepted, with the state of its attempts.

Read next: `egretspur.routing.retries` and `egretspur.routing.broker`.
"""

from __future__ import annotations

import attrs

from egretspur.admission import arrivals, quarantine, shared
from egretspur.routing import jobs, paths


@attrs.frozen
class Attempt:
    """An attempt of a request that is in flight."""

    # First upstream of its path.
    upstream_id: str
    # Path through the engines; empty for plain services.
    parts: tuple[paths.Part, ...]
    # Monotonic time.
    started_s: float
    # Its way to the upstream, for the retry budget.
    sending: arrivals.Sending = attrs.Factory(arrivals.Sending)
    # Monotonic time at which it was last moved to other engines.
    moved_s: float = 0.0

    def list_stages(self) -> tuple[str, ...]:
        """Returns the upstreams that run it, beginning with the first stage."""
        return (
            self.upstream_id,
            *(p.id for p in self.parts if p.id != self.upstream_id),
        )


@attrs.frozen
class Run:
    """An attempt that has ended and that an upstream may have run."""

    # First upstream of its path.
    upstream_id: str
    # Whether this host or its helper ended it; otherwise the upstream or the
    # network did.
    is_own: bool


@attrs.define
class Ticket:
    """A request that this host has accepted."""

    job: jobs.Job
    # Failed attempts that an upstream may have run.
    runs: int = 0
    # Attempts that an upstream refused without running them, or that were not
    # sent since it did not answer a health check.
    refusals: int = 0
    # All attempts.
    attempts: int = 0
    # Upstreams that they were written to, of a path the first one only; one
    # that was tried again stands there again.
    sent_to: list[str] = attrs.Factory(list)
    # Their ways to upstreams, from the first attempt on.
    sendings: list[arrivals.Sending] = attrs.Factory(list)
    is_begun: bool = False
    # The attempt whose events the caller gets; None if none is in flight.
    current: Attempt | None = None
    # An attempt that runs beside it, to replace it; None if there is none.
    next: Attempt | None = None
    ran: list[Run] = attrs.Factory(list)
    # Upstreams where an attempt failed.
    failed: set[str] = attrs.Factory(set)
    # Upstreams that refused it, and until when it is not sent there again.
    refused: dict[str, float] = attrs.Factory(dict)
    # Retry that was taken from the budget for its next attempt; None if it
    # holds none.
    retry: shared.Retry | None = None
    # Attempts in a row that added nothing to a begun answer, and when the next
    # one may start.
    fruitless: int = 0
    resume_from_s: float = 0.0
    # Upstreams that ended it without anything after what its caller has.
    ended_at: set[str] = attrs.Factory(set)
    # Time until which it waits to learn which of the upstreams that ended its
    # attempts are alive; 0 if it does not.
    verdict_by_s: float = 0.0
    # Whether the log has a line on the empty budget for its next attempt.
    is_shortage_noted: bool = False
    # Whether it needs capacity when it waits, or something else: the retry
    # budget, or to learn who ended its attempts.
    needs_capacity: bool = True

    def list_sent_to(self) -> list[str]:
        """Returns each upstream that it was written to, oldest first."""
        return list(dict.fromkeys(self.sent_to))

    def list_avoided(self, now_s: float) -> set[str]:
        """Returns the upstreams that it must not be sent to now."""
        return self.list_refused(now_s) | self.ended_at

    def list_refused(self, now_s: float) -> set[str]:
        """Returns the upstreams that it may not be sent to again yet."""
        return {i for i, t in self.refused.items() if now_s < t}

    def find_refused_until_s(self, now_s: float) -> float | None:
        """Returns when it may be sent again to one that refused it, if any."""
        refused = self.list_refused(now_s)
        return min((self.refused[i] for i in refused), default=None)

    def is_held_back(self, now_s: float) -> bool:
        """Returns whether others may start before it although it waits."""
        return now_s < self.resume_from_s or bool(self.list_refused(now_s))

    def postpone(self, delay_s: float, now_s: float) -> None:
        """Holds its next attempt back."""
        self.resume_from_s = now_s + delay_s


def make_cut(
    ticket: Ticket,
    attempt: Attempt | None,
    upstream_ids: tuple[str, ...],
    has_output: bool,
    has_head: bool,
    is_established: bool,
    now_s: float,
) -> quarantine.CutAttempt:
    """Returns the cut of a request's attempt, for the quarantine.

    Args:
        ticket: The request.
        attempt: Its attempt; None if it is not known.
        upstream_ids: Upstreams of which one may have crashed.
        has_output: Whether the attempt had produced part of the answer.
        has_head: Whether the head of an answer had arrived.
        is_established: Whether the answer of some attempt was established.
        now_s: Monotonic time.
    """
    return quarantine.CutAttempt(
        ticket.job.fingerprint,
        upstream_ids,
        has_output,
        now_s,
        ticket.job.segments,
        has_head,
        max(attempt.started_s, attempt.moved_s) if attempt else 0.0,
        is_established,
    )
