"""What a host answers a request that it gives up, and when to come back: pure.

Read next: `egretspur.errors`, `egretspur.routing.returns`.
"""

from __future__ import annotations

import random
from typing import Final

from egretspur import errors
from egretspur.admission import quarantine, throttle
from egretspur.routing import backpressure, returns, tickets

# Bounds of Retry-After, in seconds: spread, so that callers refused together
# do not come back together.
RETRY_AFTER_S: Final = (0.7, 2.0)


class Refusals:
    """See the module's docstring."""

    def __init__(
        self,
        rng: random.Random,
        held: quarantine.Quarantine,
        state: backpressure.Backpressure,
    ) -> None:
        """Makes refusals.

        Args:
            rng: Draws when callers come back.
            held: Requests that are sent to no upstream.
            state: What upstreams ask for.
        """
        self._rng = rng
        self._held = held
        self._backpressure = state
        self._returns = returns.Returns()

    def make(
        self,
        ticket: tickets.Ticket,
        kind: errors.ErrorKind,
        reason: str,
        now_s: float,
    ) -> errors.Refusal:
        """Returns a request's final answer, "not run" only if that is true."""
        kind = _check_promise(ticket, kind)
        after_s = 0.0
        if kind is errors.ErrorKind.QUARANTINED:
            after_s = self._held.get_retry_after_s(ticket.job.fingerprint)
        elif errors.ANSWERS[kind].not_run:
            backoff_s = self._backpressure.find_backoff_s(
                ticket.job.service, now_s
            )
            after_s = backoff_s or self._rng.uniform(*RETRY_AFTER_S)
        return errors.Refusal(kind, reason, after_s)

    def make_limited(
        self,
        ticket: tickets.Ticket,
        opening: throttle.Opening,
        waiting: int,
        now_s: float,
    ) -> errors.Refusal:
        """Returns the answer to one whose turn at its upstreams is too late.

        Args:
            ticket: The request.
            opening: When the upstreams take more of this host.
            waiting: Requests that wait for that here.
            now_s: Monotonic time.
        """
        kind = _check_promise(ticket, errors.ErrorKind.UPSTREAM_LIMITED)
        after_s = self._returns.promise(
            ticket.job.service, opening, waiting, now_s
        )
        return errors.Refusal(kind, opening.describe(waiting), after_s)


def _check_promise(
    ticket: tickets.Ticket, kind: errors.ErrorKind
) -> errors.ErrorKind:
    """Returns a kind that promises no more than is certain."""
    if ticket.runs and errors.ANSWERS[kind].not_run:
        # An earlier send may have run, whatever happened since.
        return errors.ErrorKind.UPSTREAM_FAILED
    return kind
