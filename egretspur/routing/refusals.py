"""Builds the final answer of a refused request, with its Retry-After: pure.

Read next: `egretspur.errors`, `egretspur.routing.returns`.
"""

from __future__ import annotations

import random
from typing import Final

from egretspur import errors
from egretspur.admission import quarantine, throttle
from egretspur.routing import backpressure, returns, tickets

# Bounds of the random Retry-After in seconds. The jitter keeps callers that
# were refused together from retrying together.
RETRY_AFTER_S: Final = (0.7, 2.0)


class Refusals:
    """See the module's docstring."""

    def __init__(
        self,
        rng: random.Random,
        quarantined: quarantine.Quarantine,
        state: backpressure.Backpressure,
    ) -> None:
        """Creates the builder of refusals.

        Args:
            rng: Draws Retry-After times.
            quarantined: Quarantined requests.
            state: Limits and backoffs of upstreams.
        """
        self._rng = rng
        self._quarantine = quarantined
        self._backpressure = state
        self._retry_schedule = returns.RetrySchedule()

    def make(
        self,
        ticket: tickets.Ticket,
        kind: errors.ErrorKind,
        reason: str,
        now_s: float,
    ) -> errors.Refusal:
        """Returns a request's final answer; says "not run" only if certain."""
        kind = _withhold_not_run(ticket, kind)
        after_s = 0.0
        if kind is errors.ErrorKind.QUARANTINED:
            after_s = self._quarantine.get_retry_after_s(ticket.job.fingerprint)
        elif errors.ANSWERS[kind].not_run:
            backoff_s = self._backpressure.find_backoff_s(
                ticket.job.service, now_s
            )
            after_s = backoff_s or self._rng.uniform(*RETRY_AFTER_S)
        return errors.Refusal(kind, reason, after_s)

    def make_rate_limited(
        self,
        ticket: tickets.Ticket,
        opening: throttle.Opening,
        waiting: int,
        now_s: float,
    ) -> errors.Refusal:
        """Returns the answer to a request that limits would delay too long.

        Args:
            ticket: The request.
            opening: When the upstreams accept the next request of this host.
            waiting: Number of requests that wait for that on this host.
            now_s: Monotonic time.
        """
        kind = _withhold_not_run(ticket, errors.ErrorKind.UPSTREAM_LIMITED)
        after_s = self._retry_schedule.assign_delay_s(
            ticket.job.service, opening, waiting, now_s
        )
        return errors.Refusal(kind, opening.describe(waiting), after_s)


def _withhold_not_run(
    ticket: tickets.Ticket, kind: errors.ErrorKind
) -> errors.ErrorKind:
    """Replaces a kind that says "not run" where that is not certain."""
    if ticket.runs and errors.ANSWERS[kind].not_run:
        # An earlier attempt may have run.
        return errors.ErrorKind.UPSTREAM_FAILED
    return kind
