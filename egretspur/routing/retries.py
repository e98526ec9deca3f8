"""Decides which failed requests may be retried, without the budget: pure.

A request that may have run is retried only where that has no side effects, and
never more often than its route allows. An answer that its caller has begun to
get is not given up before its deadline: it waits for an upstream that accepts
it and for the budget; `egretspur.routing.handovers` limits the upstreams that
run it. Read next: `egretspur.admission.repeats`.
"""

from __future__ import annotations

from typing import Final

import attrs

from egretspur import decisions, errors
from egretspur.admission import repeats
from egretspur.catalog import config
from egretspur.routing import jobs, tickets

# Retries after upstreams refused a request without running it.
MAX_REFUSALS: Final = 2

# Delay before a begun answer is resumed once more after two attempts in a row
# that added nothing to it; doubled after each further one, up to the maximum.
# Each attempt uses up the retry budget, and its caller waits for seconds.
RESUME_DELAY_S: Final = 0.05
MAX_RESUME_DELAY_S: Final = 0.4

# Delay before a begun answer looks for the retry budget again.
BUDGET_DELAY_S: Final = 0.1

# Delay before a begun answer looks again whether upstreams that ended it live.
VERDICT_DELAY_S: Final = 0.05


@attrs.frozen
class FinalError:
    """Why a request is not retried."""

    kind: errors.ErrorKind
    reason: str


def check(
    ticket: tickets.Ticket,
    failure: jobs.Failure,
    is_held: bool,
    is_exhausted: bool,
    now_s: float,
) -> FinalError | None:
    """Returns why a request may not be retried; None if it may.

    Args:
        ticket: The request, with the failed attempt counted.
        failure: How the attempt failed.
        is_held: Whether the request is quarantined.
        is_exhausted: Whether no attempts are left by its route.
        now_s: Monotonic time.
    """
    route = ticket.job.route
    if now_s >= ticket.job.deadline_s:
        return FinalError(errors.ErrorKind.TIMED_OUT, _describe(failure))
    if is_held:
        return FinalError(
            errors.ErrorKind.QUARANTINED,
            f"upstreams crashed under it; {_describe(failure)}",
        )
    if ticket.runs and not _may_run_again(route):
        return make_final(ticket, failure)
    if is_exhausted:
        return make_final(ticket, failure, "no attempts left")
    if ticket.refusals > MAX_REFUSALS and not ticket.is_begun:
        return make_final(ticket, failure, "refused too often")
    return None


def compute_resume_delay_s(fruitless: int) -> float:
    """Returns the delay before a begun answer is resumed.

    Args:
        fruitless: Attempts in a row that added nothing to it.
    """
    if fruitless < 2:
        return 0.0
    return min(MAX_RESUME_DELAY_S, RESUME_DELAY_S * 2.0 ** (fruitless - 2))


def make_final(
    ticket: tickets.Ticket, failure: jobs.Failure, why: str = ""
) -> FinalError:
    """Returns the final error of a request whose attempts have failed."""
    kind = errors.ErrorKind.UPSTREAM_FAILED
    if not ticket.runs:
        kind = errors.ErrorKind.NO_ROUTE
    reason = _describe(failure)
    return FinalError(kind, f"{why}; {reason}" if why else reason)


def make_budget_note(
    ticket: tickets.Ticket, budgets: repeats.RetryBudgets, now_s: float
) -> decisions.RepeatTaken | decisions.BudgetEmpty:
    """Returns the log line of a retry that was taken from the budget or not."""
    service = ticket.job.service
    standing = budgets.get_balance(service, now_s)
    make = (
        decisions.BudgetEmpty if ticket.retry is None else decisions.RepeatTaken
    )
    return make(
        ticket.job.id,
        service,
        standing.sent,
        standing.unsettled,
        standing.given_up,
        standing.requests,
        standing.guaranteed,
        standing.borrowed,
        standing.pool,
        standing.lent,
        budgets.hosts,
        budgets.get_heard_s(now_s),
    )


def _may_run_again(route: config.Route) -> bool:
    if route.kind is config.RouteKind.STREAMING:
        return route.is_resumable
    return route.kind is not config.RouteKind.NON_IDEMPOTENT


def _describe(failure: jobs.Failure) -> str:
    return f"{failure.kind.value}: {failure.reason}"
