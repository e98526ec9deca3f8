"""Builds the final answer of a refused request, with its Retry-After: pure.

Also recognises refused callers that return to this host. Read next:
`egretspur.errors`, `egretspur.routing.returns`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Final

import attrs

from egretspur import decisions, errors
from egretspur.admission import quarantine, queue, repeats, throttle
from egretspur.routing import fleet, jobs, promises, returns, tickets

# Maximum number of refused requests whose return is recognised.
MAX_REFUSED: Final = 512


@attrs.frozen
class _Refused:
    """A refusal whose caller was told when to return."""

    # Monotonic time.
    at_s: float
    # Seconds after it at which the caller was told to return.
    told_s: float


@attrs.define
class ReturnCounts:
    """Totals of the callers that returned to this host."""

    returned: int = 0
    refused_again: int = 0


class Refusals:
    """See the module's docstring."""

    def __init__(
        self,
        rng: random.Random,
        quarantined: quarantine.Quarantine,
        state: fleet.Fleet,
        waiting: queue.Queue,
        budgets: repeats.RetryBudgets,
        count_peers_waiting: Callable[[str, float], int],
    ) -> None:
        """Creates the builder of refusals.

        Args:
            rng: Draws Retry-After times.
            quarantined: Quarantined requests.
            state: Upstreams with their limits and backoffs.
            waiting: Requests that wait at this host.
            budgets: Knows the number of hosts.
            count_peers_waiting: Returns how many requests for a service wait
                at other hosts at a monotonic time.
        """
        self.promises = promises.Promises(state.data_centre)
        self.return_times = returns.ReturnTimes(self.promises, rng)
        self.return_counts = ReturnCounts()
        # Decisions to be logged; the broker clears them.
        self.notes: list[decisions.Decision] = []
        self._quarantine = quarantined
        self._backpressure = state.backpressure
        self._queue = waiting
        self._budgets = budgets
        self._count_peers_waiting = count_peers_waiting
        self._retry_schedule = returns.RetrySchedule()
        # Refused requests by fingerprint, oldest first.
        self._refused: dict[str, _Refused] = {}
        # Requests whose callers returned, by fingerprint, oldest first. The id
        # tells them from later requests with the same fingerprint.
        self._returned: dict[str, str] = {}

    def note_arrival(self, job: jobs.Job, now_s: float) -> None:
        """Logs the return of a caller that this host refused."""
        refused = self._refused.pop(job.fingerprint, None)
        if refused is None:
            return
        self.return_counts.returned += 1
        self._returned.pop(job.fingerprint, None)
        self._returned[job.fingerprint] = job.id
        _drop_oldest(self._returned)
        came_s = now_s - refused.at_s
        self.notes.append(
            decisions.CallerReturned(
                job.id, refused.told_s, came_s, came_s < refused.told_s
            )
        )

    def count_waiting(self, job: jobs.Job) -> int:
        """Returns how many other requests of a service wait at this host."""
        return sum(
            w.graph == job.service and w.id != job.id
            for w in self._queue.waiting.values()
        )

    def make(
        self,
        ticket: tickets.Ticket,
        kind: errors.ErrorKind,
        reason: str,
        now_s: float,
    ) -> errors.Refusal:
        """Returns a request's final answer; says "not run" only if certain."""
        kind = _withhold_not_run(ticket, kind)
        job = ticket.job
        after_s = 0.0
        if kind is errors.ErrorKind.QUARANTINED:
            after_s = self._quarantine.get_retry_after_s(
                job.fingerprint, job.segments
            )
        elif errors.ANSWERS[kind].not_run:
            backoff_s = self._backpressure.find_backoff_s(job.service, now_s)
            after_s = backoff_s or self.return_times.assign_delay_s(
                job,
                self._budgets.hosts,
                self.count_waiting(job)
                + self._count_peers_waiting(job.service, now_s),
                kind is not errors.ErrorKind.NO_ROUTE or not ticket.attempts,
                now_s,
            )
            self._note_refused(job, after_s, now_s)
        return errors.Refusal(kind, reason, after_s)

    def make_rate_limited(
        self, ticket: tickets.Ticket, opening: throttle.Opening, now_s: float
    ) -> errors.Refusal:
        """Returns the answer to a request that limits would delay too long.

        Args:
            ticket: The request.
            opening: When the upstreams accept the next request of this host.
            now_s: Monotonic time.
        """
        kind = _withhold_not_run(ticket, errors.ErrorKind.UPSTREAM_LIMITED)
        waiting = self.count_waiting(ticket.job)
        after_s = self._retry_schedule.assign_delay_s(
            ticket.job.service, opening, waiting, now_s
        )
        self._note_refused(ticket.job, after_s, now_s)
        return errors.Refusal(kind, opening.describe(waiting), after_s)

    def _note_refused(self, job: jobs.Job, told_s: float, now_s: float) -> None:
        """Stores a refusal, so that the caller's return is recognised."""
        if not job.fingerprint:
            return
        if self._returned.get(job.fingerprint) == job.id:
            del self._returned[job.fingerprint]
            self.return_counts.refused_again += 1
        self._refused.pop(job.fingerprint, None)
        self._refused[job.fingerprint] = _Refused(now_s, told_s)
        _drop_oldest(self._refused)


def _drop_oldest(table: dict[str, Any]) -> None:
    if len(table) > MAX_REFUSED:
        del table[next(iter(table))]


def _withhold_not_run(
    ticket: tickets.Ticket, kind: errors.ErrorKind
) -> errors.ErrorKind:
    """Replaces a kind that says "not run" where that is not certain."""
    if ticket.runs and errors.ANSWERS[kind].not_run:
        # An earlier attempt may have run.
        return errors.ErrorKind.UPSTREAM_FAILED
    return kind
