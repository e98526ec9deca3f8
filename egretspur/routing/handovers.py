"""Attempts that run beside a silent one, and replace it: pure.

An upstream that is silent may only be slow, so its attempt is not ended once
the caller has part of the answer. Another attempt runs beside it over another
first upstream. It takes over when it has brought something; it is dropped if
the silent one goes on first, and if it fails nothing is lost. Read next:
`egretspur.delivery.handover`, which runs it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Final

from egretspur.catalog import config
from egretspur.routing import (
    attempts,
    detection,
    fleet,
    jobs,
    retries,
    search,
    tickets,
)

# Time in which probes show whether an upstream that ended an attempt is alive.
VERDICT_WAIT_S: Final = 1.0

# Interval between probes of an upstream that a begun answer waits for.
AWAITED_PROBE_S: Final = 0.3


class Handovers:
    """Second attempts of one host's requests; see the module's docstring."""

    def __init__(
        self,
        state: fleet.Fleet,
        paths_search: search.Search | None,
        own_attempts: attempts.Attempts,
        held: Mapping[str, tickets.Ticket],
        get_spec: Callable[[str], config.EngineSpec | None],
        is_quarantined: Callable[[tickets.Ticket], bool],
    ) -> None:
        """Makes the state of no second attempts.

        Args:
            state: Upstreams.
            paths_search: Finds paths; None if answers are not resumed.
            own_attempts: Records starts, ends and failures.
            held: Tickets of this host's requests, by id.
            get_spec: Returns what is known of a model's service by its name.
            is_quarantined: Tells whether a request must not be sent.
        """
        self._fleet = state
        self._search = paths_search
        self._attempts = own_attempts
        self._tickets = held
        self._get_spec = get_spec
        self._is_quarantined = is_quarantined

    def start(
        self, job_id: str, is_lost: bool, now_s: float
    ) -> jobs.Start | None:
        """Starts an attempt beside the current one, if one is allowed.

        Args:
            job_id: The request.
            is_lost: Whether the connection of the current one is lost.
            now_s: Monotonic time.

        Returns:
            None if one runs already, no path has room, or none is left by the
            route or the retry budget.
        """
        ticket = self._tickets.get(job_id)
        spec = self._get_spec(ticket.job.service) if ticket else None
        if ticket is None or spec is None or self._search is None:
            return None
        if self._is_quarantined(ticket):
            return None
        current = ticket.current
        route = ticket.job.route
        if current is None or ticket.next is not None:
            return None
        if not route.is_resumable or now_s < ticket.resume_from_s:
            return None
        choices = self.list_first_choices(ticket, now_s)
        never = ticket.list_avoided(now_s)
        if not is_lost:
            # It can't run two attempts under one id.
            never.add(current.upstream_id)
        parts = self._search.find_path(
            ticket.job, spec, ticket.failed, now_s, never, choices
        )
        if parts is None:
            return None
        if not self._attempts.take_retry(ticket, now_s):
            ticket.postpone(retries.BUDGET_DELAY_S, now_s)
            return None
        entry = self._fleet.roster.entries[parts[0].id]
        attempt = tickets.Attempt(entry.id, parts, now_s)
        return self._attempts.start(
            ticket, attempt, entry, spec, now_s, is_beside=True
        )

    def drop(
        self,
        job_id: str,
        failure: jobs.Failure | None,
        now_s: float,
        is_sent: bool = True,
    ) -> None:
        """Ends the second attempt.

        Args:
            job_id: The request.
            failure: How it failed; None if it was not needed any more.
            now_s: Monotonic time.
            is_sent: Whether an upstream may have run it.
        """
        ticket = self._tickets.get(job_id)
        if ticket is None or ticket.next is None:
            return
        if not is_sent:
            self._attempts.cancel(ticket, ticket.next, now_s)
            self.release(ticket, now_s)
            return
        attempt = self.release(ticket, now_s, failure)
        assert attempt is not None
        if failure is None:
            ticket.ran.append(tickets.Run(attempt.upstream_id, True))
            return
        self._attempts.record_failure(ticket, attempt, failure, now_s)

    def take_over(self, failure: jobs.Failure, now_s: float) -> None:
        """Makes the second attempt the current one.

        Args:
            failure: How the attempt that it replaces ended.
            now_s: Monotonic time.
        """
        ticket = self._tickets.get(failure.id)
        if ticket is None:
            return
        ticket.is_begun = True
        replaced = self._attempts.release(ticket, now_s, failure)
        self._attempts.record_failure(ticket, replaced, failure, now_s)
        ticket.current, ticket.next = ticket.next, None
        if ticket.current is not None:
            self._attempts.arrivals.settle(ticket.current.sending, now_s)
        ticket.fruitless = 0

    def release(
        self,
        ticket: tickets.Ticket,
        now_s: float,
        failure: jobs.Failure | None = None,
    ) -> tickets.Attempt | None:
        """Ends the second attempt of a request; returns it."""
        attempt, ticket.next = ticket.next, None
        if attempt is not None:
            self._attempts.end(ticket, attempt, now_s, failure)
        return attempt

    def list_first_choices(
        self, ticket: tickets.Ticket, now_s: float
    ) -> frozenset[str] | None:
        """Returns the first upstreams that a request may be sent to.

        A retry goes to none that is silent: it would be lost for its caller,
        and nobody would know when it is read.

        Args:
            ticket: The request.
            now_s: Monotonic time.

        Returns:
            None if it may be sent to any.
        """
        choices = self.list_allowed(ticket)
        if not ticket.attempts:
            return choices
        silent = self._attempts.arrivals.list_silent(now_s)
        if not silent:
            return choices
        if choices is None:
            return frozenset(self._fleet.roster.entries) - silent
        if not ticket.is_begun:
            return choices - silent
        # A begun answer may have no others.
        return (choices - silent) or (
            choices - self._attempts.arrivals.list_avoided(now_s)
        )

    def list_allowed(self, ticket: tickets.Ticket) -> frozenset[str] | None:
        """Returns the first upstreams that its route allows; None for all.

        Its route limits the upstreams that a request is sent to, also those
        that refuse it. Those that are known to have ended don't count, and it
        may return to one that it was sent to.
        """
        current = {a.upstream_id for a in (ticket.current, ticket.next) if a}
        used = {
            i
            for i in ticket.list_sent_to()
            if i in current or not detection.explain_end(self._fleet, i)
        }
        if len(used) < ticket.job.route.max_attempts:
            return None
        return frozenset(used)

    def advance_probes(
        self, waiting: Iterable[tickets.Ticket], now_s: float
    ) -> None:
        """Has upstreams that a begun answer waits for probed sooner.

        The intervals between probes of one that is down grow to more than its
        caller waits.

        Args:
            waiting: Requests in the queue.
            now_s: Monotonic time.
        """
        health = self._fleet.health
        for ticket in waiting:
            choices = self.list_allowed(ticket) if ticket.is_begun else ()
            for upstream_id in choices or ():
                failed = health.failed.get(upstream_id)
                if failed and now_s - failed.probed_s >= AWAITED_PROBE_S:
                    health.advance_probe(upstream_id, now_s)

    def may_confirm_end(
        self, ticket: tickets.Ticket, spec: config.EngineSpec, now_s: float
    ) -> bool:
        """Returns whether another upstream may tell if an answer is complete.

        One that ended it without anything after what the caller has may have
        failed; two of them are right.
        """
        if self._search is None:
            return False
        parts = self._search.find_path(
            ticket.job,
            spec,
            (),
            now_s,
            ticket.list_avoided(now_s),
            self.list_first_choices(ticket, now_s),
        )
        return parts is not None

    def is_exhausted(self, ticket: tickets.Ticket, now_s: float) -> bool:
        """Returns whether upstreams ended as many attempts as its route allows.

        Those that are gone or down by now don't count: the answer waits, for
        one of them to go on or to be known as ended. Where that is not known
        yet, it waits for the probes.
        """
        enders = [r.upstream_id for r in ticket.ran if not r.is_own]
        enders = [
            i for i in enders if not detection.is_gone_or_silent(self._fleet, i)
        ]
        alive = [i for i in enders if i not in self._fleet.health.failed]
        limit = ticket.job.route.max_attempts
        if len(alive) >= limit:
            return True
        if len(enders) < limit:
            ticket.verdict_by_s = 0.0
            return False
        if not ticket.verdict_by_s:
            ticket.verdict_by_s = now_s + VERDICT_WAIT_S
        return now_s >= ticket.verdict_by_s
