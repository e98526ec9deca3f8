"""Where a request is sent: its replica, or its path through engines: pure.

An upstream that answers nothing of what it is sent may be stopped, or read
nothing, and answer probes all the same. New requests go there only to try it,
each time that it has been silent for twice as long, or if there is no other.
A retry does not go there: it would be lost for its caller as the first attempt
was, and nobody could tell when it is read. Read next:
`egretspur.admission.arrivals`.
"""

from __future__ import annotations

import attrs

from egretspur.admission import arrivals, reactions
from egretspur.catalog import config, upstreams
from egretspur.routing import fleet as fleets
from egretspur.routing import (
    handovers,
    paths,
    proofs,
    search,
    tickets,
    timeouts,
)


@attrs.frozen
class Target:
    """An upstream for a request."""

    # The replica, or the first engine of the path.
    entry: upstreams.Upstream
    # Path through the engines; empty for a plain service.
    parts: tuple[paths.Part, ...] = ()


class Targets:
    """Chooses where one host's requests are sent."""

    def __init__(
        self,
        state: fleets.Fleet,
        path_search: search.Search,
        second: handovers.Handovers,
        sent: arrivals.Arrivals,
        retry_timeouts: timeouts.RetryTimeouts,
    ) -> None:
        """Makes it.

        Args:
            state: Upstreams.
            path_search: Finds paths.
            second: Tells which engines an answer that has begun may use.
            sent: Tells which upstreams are silent.
            retry_timeouts: Tells which are too slow for a retry.
        """
        self._fleet = state
        self._search = path_search
        self._handovers = second
        self._arrivals = sent
        self._timeouts = retry_timeouts
        self.proofs = proofs.ReadingProofs(sent)

    def choose(
        self, ticket: tickets.Ticket, service: config.Service, now_s: float
    ) -> Target | None:
        """Returns where a request is sent; None if nothing has room for it."""
        if service.engine is None:
            return self._choose_replica(ticket, service.name, now_s)
        if ticket.attempts:
            choices = self._handovers.list_first_choices(ticket, now_s)
            return self._find(ticket, service.engine, choices, now_s)
        target = None
        if avoided := self._arrivals.list_avoided(now_s):
            rest = frozenset(self._fleet.roster.entries) - avoided
            target = self._find(ticket, service.engine, rest, now_s)
        return target or self._find(ticket, service.engine, None, now_s)

    def _choose_replica(
        self, ticket: tickets.Ticket, service: str, now_s: float
    ) -> Target | None:
        if ticket.attempts:
            return self._choose_for_retry(ticket, service, now_s)
        entry = self._fleet.replicas.choose(
            service,
            ticket.failed,
            ticket.list_avoided(now_s),
            now_s,
            self._arrivals.list_avoided(now_s),
        )
        return Target(entry) if entry is not None else None

    def _choose_for_retry(
        self, ticket: tickets.Ticket, service: str, now_s: float
    ) -> Target | None:
        """Returns a replica that reads a retry soon, as far as is known.

        One that has lately read something is preferred.
        """
        listed = self._fleet.list_service(service)
        summary = self._timeouts.summarize(listed, now_s)
        entry = self._fleet.replicas.choose(
            service,
            ticket.failed,
            ticket.list_avoided(now_s)
            | self._list_too_slow(ticket, listed, summary, now_s)
            | self._list_silent(now_s)
            | self._list_beyond_limit(ticket, listed)
            | self.proofs.list_unproven(service, listed, summary, now_s),
            now_s,
            listed - self._arrivals.list_reading(now_s),
        )
        return Target(entry) if entry is not None else None

    def explain_none(
        self, ticket: tickets.Ticket, service: str, now_s: float
    ) -> str:
        """Returns why no plain replica is usable, for the log and callers."""
        if not ticket.attempts:
            return "no upstream is usable"
        listed = self._fleet.list_service(service)
        summary = self._timeouts.summarize(listed, now_s)
        too_slow = self._list_too_slow(ticket, listed, summary, now_s)
        unproven = self.proofs.list_unproven(service, listed, summary, now_s)
        return (
            f"no upstream is usable for a retry; of {len(listed)} listed,"
            f" {len(too_slow)} too slow for the time left,"
            f" {len(listed & self._list_silent(now_s))} silent,"
            f" {len(listed & ticket.list_avoided(now_s))} refused it,"
            f" {len(self._list_beyond_limit(ticket, listed))} beyond its limit,"
            f" {len(unproven)} read nothing just before"
        )

    def must_wait(
        self, ticket: tickets.Ticket, service: str, now_s: float
    ) -> bool:
        """Tells whether a plain request waits for replicas that refused it.

        It may be sent to no others. If these refuse all that they get and
        another one is free, its caller is rather told to return, since a new
        request may be sent there.
        """
        refused = ticket.list_refused(now_s) & set(ticket.sent_to)
        if not refused:
            return False
        replicas = self._fleet.replicas
        if any(not replicas.is_failing(i) for i in refused):
            return True
        listed = self._fleet.list_service(service)
        beyond = self._list_beyond_limit(ticket, listed)
        return not replicas.list_free(service, now_s) & beyond

    def _list_beyond_limit(
        self, ticket: tickets.Ticket, listed: set[str]
    ) -> set[str]:
        """Returns the replicas that would be one more than its route allows."""
        allowed = self._handovers.list_allowed(ticket)
        return set() if allowed is None else listed - allowed

    def _list_too_slow(
        self,
        ticket: tickets.Ticket,
        listed: set[str],
        summary: reactions.Summary,
        now_s: float,
    ) -> set[str]:
        """Returns the replicas that might work on a retry for too long."""
        left_s = ticket.job.deadline_s - now_s
        return {
            i
            for i in listed
            if self._timeouts.compute_s(i, summary, left_s, now_s) is None
        }

    def _list_silent(self, now_s: float) -> set[str]:
        """Returns the upstreams that may not read a retry for a while."""
        return self._arrivals.list_silent(now_s, arrivals.RETRY_SILENCE_S)

    def _find(
        self,
        ticket: tickets.Ticket,
        spec: config.EngineSpec,
        first_choices: frozenset[str] | None,
        now_s: float,
    ) -> Target | None:
        parts = self._search.find_path(
            ticket.job,
            spec,
            ticket.failed,
            now_s,
            ticket.list_avoided(now_s),
            first_choices,
        )
        if not parts:
            return None
        return Target(self._fleet.roster.entries[parts[0].id], parts)
