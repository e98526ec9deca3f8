"""State changes of requests by their attempts: starts, ends, retries; pure.

`egretspur.routing.broker` decides when an attempt starts; what its start, end
and failure change in the state of upstreams, the quarantine and the retry
budget is here, for the attempt that answers the caller as well as for one
that runs beside it (`egretspur.routing.handovers`). Read next:
`egretspur.routing.occupancy` and `egretspur.routing.retries`.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

import attrs

from egretspur import decisions, ends
from egretspur.admission import repeats, throttle
from egretspur.catalog import config, upstreams
from egretspur.routing import crashes as crash_detector
from egretspur.routing import (
    detection,
    fleet,
    jobs,
    links,
    occupancy,
    paths,
    retries,
    tickets,
    timeouts,
    unread,
)

# Minimum delay before a request is sent again to an upstream that refused it:
# sooner, the upstream is still as full.
REFUSAL_DELAY_S: Final = 0.1

# The same after it did not answer a health check: it may stand still.
UNRESPONSIVE_DELAY_S: Final = 1.0

_REFUSAL_DELAYS_S: Final = {
    jobs.FailureKind.REFUSED: REFUSAL_DELAY_S,
    jobs.FailureKind.UNRESPONSIVE: UNRESPONSIVE_DELAY_S,
}


class Attempts:
    """Attempts of one host's requests; see the module's docstring."""

    def __init__(
        self,
        state: fleet.Fleet,
        limits: throttle.Throttle,
        load: links.Links,
        crashes: crash_detector.CrashDetector,
        budgets: repeats.RetryBudgets,
    ) -> None:
        """Makes the state of no attempts.

        Args:
            state: Upstreams; their health follows failures.
            limits: Rate limits of upstreams.
            load: Load of the links between data centres.
            crashes: Learns of attempts that were cut.
            budgets: Retry budgets.
        """
        self.counts = jobs.Counts()
        # Monotonic time at which the list of upstreams was last read.
        self.list_read_s = 0.0
        # Decisions to be logged; the broker clears them.
        self.notes: list[decisions.Decision] = []
        self.occupancy = occupancy.Occupancy(state, limits, load)
        self._fleet = state
        self._crashes = crashes
        self._budgets = budgets
        self.arrivals = budgets.arrivals
        self.unread = unread.UnreadRequests(state, budgets)
        self.timeouts = timeouts.RetryTimeouts(
            budgets.arrivals, state.data_centre
        )

    def start(
        self,
        ticket: tickets.Ticket,
        attempt: tickets.Attempt,
        entry: upstreams.Upstream,
        spec: config.EngineSpec | None,
        now_s: float,
        is_beside: bool = False,
    ) -> jobs.Start:
        """Records that an attempt is sent.

        Args:
            ticket: The request.
            attempt: Its new attempt.
            entry: First upstream of the attempt.
            spec: Of the request's service; None for a plain one.
            now_s: Monotonic time.
            is_beside: Whether it runs beside the current one.
        """
        sent_to = ticket.list_sent_to()
        if ticket.retry is not None:
            ticket.retry.earlier = tuple(ticket.sendings)
            attempt = attrs.evolve(attempt, sending=ticket.retry.sending)
            ticket.retry = None
            self.counts.repeats += 1
        ticket.sendings.append(attempt.sending)
        ticket.sent_to.append(attempt.upstream_id)
        if is_beside:
            ticket.next = attempt
        else:
            ticket.current = attempt
        left_s = ticket.job.deadline_s - now_s
        is_plain_retry = ticket.attempts > 0 and spec is None
        if is_plain_retry:
            listed = self._fleet.list_service(entry.service)
            summary = self.timeouts.summarize(listed, now_s)
            handed_s = self.timeouts.compute_s(entry.id, summary, left_s, now_s)
            left_s = timeouts.MIN_S if handed_s is None else handed_s
        ticket.attempts += 1
        self.notes.append(
            self._describe_start(ticket, attempt, spec, left_s, now_s)
        )
        self._note_over_limit(ticket, attempt, sent_to)
        self.occupancy.add(ticket.job, attempt, spec, now_s)
        self.counts.started += 1
        if spec is None:
            first_s = 0.0
            answer_s = self._fleet.replicas.get_response_s(entry.id)
        else:
            first_s = answer_s = paths.estimate_first_event_s(
                attempt.parts, ticket.job.tokens, spec
            )
        self.arrivals.send(attempt.sending, entry.id, now_s, answer_s)
        # The check counts for a rate limit, after the request itself.
        needs_check = is_plain_retry and (
            self._fleet.backpressure.try_acquire_probe(entry.id, now_s)
        )
        attempt.sending.is_checked = needs_check
        return jobs.Start(
            ticket.job.id,
            entry,
            attempt.parts,
            first_s,
            ticket.attempts,
            left_s,
            needs_check,
        )

    def release(
        self,
        ticket: tickets.Ticket,
        now_s: float,
        failure: jobs.Failure | None = None,
    ) -> tickets.Attempt | None:
        """Ends the current attempt of a request; returns it.

        Args:
            ticket: The request.
            now_s: Monotonic time.
            failure: How the attempt failed; None if it did not.
        """
        attempt, ticket.current = ticket.current, None
        if attempt is not None:
            self.end(ticket, attempt, now_s, failure)
        return attempt

    def end(
        self,
        ticket: tickets.Ticket,
        attempt: tickets.Attempt,
        now_s: float,
        failure: jobs.Failure | None = None,
    ) -> None:
        """Ends an attempt; see `release`."""
        self._note_reading(ticket, attempt, failure, now_s)
        self.occupancy.remove(ticket.job, attempt)

    def _note_reading(
        self,
        ticket: tickets.Ticket,
        attempt: tickets.Attempt,
        failure: jobs.Failure | None,
        now_s: float,
    ) -> None:
        """Records what the end of an attempt shows of when it was read."""
        kind = failure.kind if failure is not None else None
        if kind is jobs.FailureKind.UNREACHABLE:
            self.cancel(ticket, attempt, now_s)
        elif kind is jobs.FailureKind.UNRESPONSIVE:
            self._reclaim_retry(ticket, attempt, now_s)
        elif failure is not None and failure.was_read:
            self.arrivals.settle(attempt.sending, now_s, is_answer=False)
        else:
            self.arrivals.give_up(attempt.sending, now_s)

    def record_failure(
        self,
        ticket: tickets.Ticket,
        attempt: tickets.Attempt | None,
        failure: jobs.Failure,
        now_s: float,
    ) -> None:
        """Records what a failed attempt shows of the upstreams."""
        first_id = attempt.upstream_id if attempt else ""
        if failure.kind in _REFUSAL_DELAYS_S:
            ticket.refusals += 1
        elif failure.kind in (jobs.FailureKind.CUT, jobs.FailureKind.FAILED):
            ticket.runs += 1
            is_own = failure.ended_by.is_own_side
            ticket.ran.append(tickets.Run(first_id, is_own))
        elif failure.kind is jobs.FailureKind.EMPTY:
            ticket.runs += 1
            ticket.ran.append(tickets.Run(first_id, is_own=True))
            ticket.ended_at.add(first_id)
        is_cut = failure.kind is jobs.FailureKind.CUT
        blamed = set(failure.blamed) or {first_id} - {""}
        ticket.failed |= blamed
        if delay_s := _REFUSAL_DELAYS_S.get(failure.kind):
            ticket.refused.update(dict.fromkeys(blamed, now_s + delay_s))
        if failure.ended_by is ends.EndedBy.HELPER:
            # It shows nothing of the upstreams.
            return
        for upstream_id in blamed:
            self._record_blame(upstream_id, failure, now_s)
        if is_cut:
            cut = tickets.make_cut(
                ticket,
                attempt,
                attempt.list_stages() if attempt else (),
                failure.has_output,
                failure.has_head,
                failure.is_established,
                now_s,
            )
            self._crashes.note_cut(cut, now_s)

    def _record_blame(
        self, upstream_id: str, failure: jobs.Failure, now_s: float
    ) -> None:
        """Records a failure of one upstream that may have caused it."""
        is_cut = failure.kind is jobs.FailureKind.CUT
        self._fleet.replicas.record_failure(upstream_id, is_cut, now_s)
        if failure.kind is jobs.FailureKind.UNREACHABLE:
            self._fleet.health.mark_down(
                upstream_id, now_s, "a request found no connection"
            )
        elif failure.kind is jobs.FailureKind.UNRESPONSIVE:
            self._fleet.health.suspect(upstream_id, now_s)
        elif is_cut:
            self._fleet.health.record_fault(upstream_id, now_s)
        elif failure.blamed:
            # It may also be down; the probe finds out.
            self._fleet.health.record_refusal(upstream_id, now_s)
            self._fleet.health.record_fault(upstream_id, now_s, False)
        elif failure.kind is jobs.FailureKind.FAILED:
            self._fleet.record_error(upstream_id, now_s)

    def take_retry(self, ticket: tickets.Ticket, now_s: float) -> bool:
        """Takes a retry from the budget, unless the request holds one."""
        if ticket.retry is not None:
            return True
        self.unread.update(now_s)
        ticket.retry = self._budgets.spend(ticket.job.service, now_s)
        is_short = ticket.retry is None
        if not is_short or not ticket.is_shortage_noted:
            self.notes.append(
                retries.make_budget_note(ticket, self._budgets, now_s)
            )
        ticket.is_shortage_noted = is_short
        return not is_short

    def cancel(
        self, ticket: tickets.Ticket, attempt: tickets.Attempt, now_s: float
    ) -> None:
        """Records that an attempt was not written to its upstream."""
        self.arrivals.cancel(attempt.sending, now_s)
        ticket.sent_to.remove(attempt.upstream_id)

    def _reclaim_retry(
        self, ticket: tickets.Ticket, attempt: tickets.Attempt, now_s: float
    ) -> None:
        """Keeps a retry that was not sent for the request's next attempt."""
        self.cancel(ticket, attempt, now_s)
        ticket.sendings.remove(attempt.sending)
        ticket.retry = self._budgets.reclaim(
            ticket.job.service, attempt.sending
        )

    def return_retry(self, ticket: tickets.Ticket) -> None:
        """Returns a retry that was taken and not sent to the budget."""
        if ticket.retry is not None:
            self._budgets.refund(ticket.job.service, ticket.retry)
            ticket.retry = None

    def _note_over_limit(
        self,
        ticket: tickets.Ticket,
        attempt: tickets.Attempt,
        sent_to: Collection[str],
    ) -> None:
        """Records an attempt at an upstream beyond the limit of the route."""
        limit = ticket.job.route.max_attempts
        if attempt.upstream_id in sent_to or len(sent_to) < limit:
            return
        reasons = {i: detection.explain_end(self._fleet, i) for i in sent_to}
        self.counts.over_limit += 1
        self.notes.append(
            decisions.RunsNotCounted(
                ticket.job.id,
                ticket.attempts,
                attempt.upstream_id,
                limit,
                tuple(i for i, reason in reasons.items() if not reason),
                tuple(f"{i}: {why}" for i, why in reasons.items() if why),
            )
        )

    def _describe_start(
        self,
        ticket: tickets.Ticket,
        attempt: tickets.Attempt,
        spec: config.EngineSpec | None,
        left_s: float,
        now_s: float,
    ) -> decisions.PathChosen:
        step_s, free = 0.0, 1.0
        if spec is not None and attempt.parts:
            step_s, free = self._fleet.describe_path(spec, attempt.parts, now_s)
        return decisions.PathChosen(
            ticket.job.id,
            ticket.attempts,
            attempt.upstream_id,
            paths.format_path(attempt.parts),
            step_s,
            free,
            now_s - self.list_read_s,
            self._fleet.memory.count_peers(now_s),
            left_s,
            self.arrivals.get_slowest_s(attempt.upstream_id, now_s),
            len(set(ticket.sent_to)),
        )
