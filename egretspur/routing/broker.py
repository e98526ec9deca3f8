"""All decisions about the requests of one host, as one pure state machine.

It joins the fleet, the choice of paths, request memory, the queue and the
retry budget. Methods take a message and the time and return effects;
`egretspur.routing.desk` runs them in an actor.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping, Sequence
from typing import Final

from egretspur import decisions, errors, mechanisms, signals
from egretspur.admission import quarantine as quarantines
from egretspur.admission import queue as queues
from egretspur.admission import repeats, throttle
from egretspur.catalog import config, feeds, upstreams
from egretspur.routing import (
    crashes,
    jobs,
    memory,
    paths,
    questions,
    refusals,
    retries,
    search,
    tickets,
)
from egretspur.routing import fleet as fleets

# Part of the objective that a request may wait for request memory. What is
# left must do for reading its prompt, else it is late as well as slow.
HOLD_PART: Final = 0.7

# Part of its caller's patience that an answer which has begun waits for a way
# to go on. The rest must do for reading its text once more.
RESUME_HOLD_PART: Final = 0.7

# An upstream that turned a request away, unrun, is sent it again after so long
# at the earliest: it is as full as it was.
TURNED_AWAY_S: Final = 0.1

# Part by which an upstream's rest is longer than it asked for, at most.
BACKOFF_SPREAD: Final = 0.1

# Where requests wait for room, paths are looked for again after so long, or as
# soon as this host gives room back. Reports and others' news come some hundred
# times a second, and each search takes milliseconds.
WAIT_S: Final = 0.1

# Requests that wait at most.
QUEUE_LENGTH: Final = 200

# Ranks on the queue: it takes the highest number first.
TOP_RANK: Final = 9


class Broker:
    """State of one host; see the module's docstring."""

    def __init__(
        self,
        data_centre: str,
        budget: repeats.Options,
        rng: random.Random,
        using: mechanisms.Mechanisms = mechanisms.ALL,
    ) -> None:
        self.throttle = throttle.Throttle(data_centre, rng)
        self.fleet = fleets.Fleet(data_centre, using.excess, self.throttle)
        self._using = using
        self.search = search.Search(self.fleet, using, rng)
        self.queue = queues.Queue(QUEUE_LENGTH)
        self.quarantine = quarantines.Quarantine()
        self._crashes = crashes.Crashes(self.quarantine, self.fleet)
        self._refusals = refusals.Refusals(
            rng, self.quarantine, self.fleet.backpressure
        )
        self.counts = jobs.Counts()
        self.tickets: dict[str, tickets.Ticket] = {}
        self.repeats = repeats.Repeats(data_centre, budget, rng)
        self._rng = rng
        self._services: Mapping[str, config.Service] = {}
        # Until when a queue that was served is not served again, unless the
        # fleet's own revision is another.
        self._served_until_s = -math.inf
        self._served_revision = -1
        # When the list of upstreams was last read.
        self.listed_s = 0.0
        # Decisions since the last `take_notes`, for the log.
        self._notes: list[decisions.Decision] = []

    def take_notes(self) -> list[decisions.Decision]:
        """Returns what was decided since the last call, for the log."""
        sources = (self._notes, self.fleet.notes, self._crashes.notes)
        notes = [n for source in sources for n in source]
        for source in sources:
            source.clear()
        return notes

    # Messages from request threads.

    def arrive(self, job: jobs.Job, now_s: float) -> list[jobs.Effect]:
        """Starts, queues or refuses a request."""
        self.counts.arrived += 1
        self.repeats.earn(job.service, now_s)
        self.fleet.backpressure.note_wanted(job.service, now_s)
        ticket = tickets.Ticket(job)
        self.tickets[job.id] = ticket
        return self._admit(ticket, now_s)

    def fail(self, failure: jobs.Failure, now_s: float) -> list[jobs.Effect]:
        """Decides what follows a failed attempt."""
        ticket = self.tickets.get(failure.id)
        if ticket is None:
            return []
        was_at = ticket.upstream_id
        at = ticket.list_stages()
        self._release(ticket)
        ticket.is_begun |= failure.is_begun
        self._blame(ticket, was_at, failure, now_s)
        if failure.why is jobs.Why.CUT:
            self._crashes.note_cut(
                ticket.job.fingerprint, at, failure.has_brought, now_s
            )
        refusal = self._check_repeat(ticket, failure, now_s)
        if refusal is not None:
            effects: list[jobs.Effect] = [self._end(ticket, now_s, refusal)]
        else:
            effects = self._admit(ticket, now_s)
        return effects + self._start_waiting(now_s)

    def finish(
        self, job_id: str, now_s: float, is_answered: bool = False
    ) -> list[jobs.Effect]:
        """Ends a request.

        Args:
            job_id: The request.
            now_s: Monotonic time.
            is_answered: An upstream answered it to the end, and not with a
                failure; else it was given up.
        """
        ticket = self.tickets.pop(job_id, None)
        if ticket is None:
            return []
        if is_answered:
            self.quarantine.note_answered(ticket.job.fingerprint, now_s)
        queues.remove(self.queue, job_id)
        if ticket.upstream_id:
            queues.note_done(self.queue, ticket.job.service, now_s)
        self._release(ticket)
        self._return_repeat(ticket)
        self.counts.finished += 1
        return self._start_waiting(now_s)

    def note_answer(self, job_id: str, now_s: float) -> None:
        """Learns from an answer that came."""
        ticket = self.tickets.get(job_id)
        if ticket is None or not ticket.upstream_id:
            return
        if ticket.parts:
            for part in ticket.parts:
                self.fleet.health.note_success(part.id, now_s)
            return
        self.fleet.health.note_success(ticket.upstream_id, now_s)
        self.fleet.note_time(ticket.upstream_id, now_s - ticket.started_s)

    def note_signals(
        self, upstream_id: str, answer: signals.Signals, now_s: float
    ) -> list[jobs.Effect]:
        """Takes what an upstream asked of the hosts beside an answer."""
        for value in (answer.per_s, answer.backoff_s):
            if isinstance(value, signals.Unreadable):
                self._note_unreadable(upstream_id, value)
        if upstream_id not in self.fleet.roster.entries:
            return []
        if answer.is_leaving:
            self.fleet.backpressure.note_leaving(upstream_id)
        if isinstance(answer.backoff_s, float):
            # Spread, so that hosts that were asked together come back one by
            # one.
            backoff_s = answer.backoff_s * (
                1.0 + self._rng.uniform(0.0, BACKOFF_SPREAD)
            )
            self.fleet.backpressure.note_backoff(upstream_id, backoff_s, now_s)
        if not isinstance(answer.per_s, signals.Unreadable):
            self.fleet.backpressure.note_limit(upstream_id, answer.per_s, now_s)
        return self._start_waiting(now_s)

    def _note_unreadable(
        self, upstream_id: str, value: signals.Unreadable
    ) -> None:
        if self.throttle.note_unreadable(upstream_id):
            self._notes.append(
                decisions.EntryLeftOut(
                    "answers", upstream_id, value.field, value.problem
                )
            )

    def repath(
        self,
        job_id: str,
        stalled: frozenset[str],
        now_s: float,
        has_brought: bool = False,
    ) -> jobs.Detour:
        """Moves a running request off engines that hold it up.

        Args:
            job_id: The request.
            stalled: Engines that hold it up.
            now_s: Monotonic time.
            has_brought: Its attempt has brought a part of the answer.
        """
        ticket = self.tickets.get(job_id)
        spec = self._get_spec(ticket.job.service) if ticket else None
        if ticket is None or spec is None or not ticket.parts:
            return jobs.Detour(None)
        # The engines it is moved to begin to run it too.
        self._crashes.note_cut(
            ticket.job.fingerprint, tuple(sorted(stalled)), has_brought, now_s
        )
        if self.quarantine.is_held(ticket.job.fingerprint):
            return jobs.Detour(None, is_ended=True)
        detour = self._find_detour(
            ticket, spec, stalled, self._can_resume(ticket), now_s
        )
        if detour.is_ended and not self._take_repeat(ticket, now_s):
            detour = self._find_detour(ticket, spec, stalled, False, now_s)
        if detour.parts is not None:
            self._take_room(ticket, -1)
            ticket.parts = detour.parts
            self._take_room(ticket, 1)
        return detour

    def _find_detour(
        self,
        ticket: tickets.Ticket,
        spec: config.EngineSpec,
        stalled: frozenset[str],
        may_resume: bool,
        now_s: float,
    ) -> jobs.Detour:
        return self.search.find_detour(
            ticket.job, spec, ticket.parts, stalled, may_resume, now_s
        )

    def secure_repeat(self, job_id: str, now_s: float) -> bool:
        """Tells whether a running attempt may be ended for another one.

        The repeat is taken at once. Symptom without it: an attempt that is
        merely silent is ended, no repeat is left, and the caller's answer is
        cut, which might have gone on.
        """
        ticket = self.tickets.get(job_id)
        if ticket is None:
            return False
        if self.quarantine.is_held(ticket.job.fingerprint):
            return True
        return self._can_resume(ticket) and self._take_repeat(ticket, now_s)

    def _take_repeat(self, ticket: tickets.Ticket, now_s: float) -> bool:
        """Takes a repeat of the budget, unless the request has one already."""
        if ticket.repeat_s is not None:
            return True
        if self.repeats.spend(ticket.job.service, now_s):
            ticket.repeat_s = now_s
        self._notes.append(self._describe_repeat(ticket, now_s))
        return ticket.repeat_s is not None

    def _return_repeat(self, ticket: tickets.Ticket) -> None:
        """Gives back a repeat that was taken and not sent."""
        if ticket.repeat_s is not None:
            self.repeats.give_back(ticket.job.service, ticket.repeat_s)
            ticket.repeat_s = None

    def _describe_repeat(
        self, ticket: tickets.Ticket, now_s: float
    ) -> decisions.RepeatTaken | decisions.BudgetEmpty:
        service = ticket.job.service
        at = self.repeats.get_standing(service, now_s)
        make = (
            decisions.BudgetEmpty
            if ticket.repeat_s is None
            else decisions.RepeatTaken
        )
        return make(
            ticket.job.id,
            service,
            at.sent,
            at.part,
            at.borrowed,
            self.repeats.hosts,
        )

    def restore(
        self, ends: Mapping[str, quarantines.Ends], now_s: float
    ) -> list[jobs.Effect]:
        """Takes what the store says of requests in quarantine."""
        self._crashes.restore(ends, now_s)
        return self._start_waiting(now_s)

    def take_unsaved(self) -> list[quarantines.Change]:
        """Returns what the store is to be told of the quarantine."""
        return self._crashes.take_unsaved()

    def _can_resume(self, ticket: tickets.Ticket) -> bool:
        """Tells whether a running request may be ended and sent once more."""
        route = ticket.job.route
        if not self._using.resuming:
            return False
        return route.is_resumable and ticket.runs + 1 < route.max_attempts

    # Messages from the rest of the host.

    def configure(
        self, cfg: config.Configuration, now_s: float = 0.0
    ) -> list[jobs.Effect]:
        """Takes a new configuration."""
        self._services = cfg.services
        with self.fleet.noting_changes(now_s):
            upstreams.configure(self.fleet.roster, cfg.services, now_s)
        return self.refresh(now_s)

    def replace_list(
        self,
        entries: Mapping[str, upstreams.Upstream | feeds.Unreadable],
        now_s: float,
    ) -> list[jobs.Effect]:
        """Takes the whole list of upstreams, by name."""
        self.listed_s = now_s
        with self.fleet.noting_changes(now_s):
            upstreams.replace_entries(self.fleet.roster, entries, now_s)
        return self.refresh(now_s)

    def change_list(
        self,
        entries: Sequence[
            tuple[str, upstreams.Upstream | feeds.Unreadable | None]
        ],
        now_s: float,
    ) -> list[jobs.Effect]:
        """Takes changes of the list of upstreams; None for a removal."""
        self.listed_s = now_s
        with self.fleet.noting_changes(now_s):
            for name, entry in entries:
                upstreams.apply_record(self.fleet.roster, name, entry, now_s)
        return self.refresh(now_s)

    def hear(self, news: fleets.PeerNews, now_s: float) -> None:
        """Takes what another host said."""
        self.fleet.hear(news, now_s)
        self.quarantine.hear(news.ended, now_s)
        self._crashes.settle(now_s)
        self.repeats.hear(
            news.host, news.data_centre, news.spent, now_s, news.is_new
        )

    def note_hosts(self, hosts: int) -> None:
        """Takes how many hosts share what all may send, this one included."""
        self.repeats.hosts = max(1, hosts)
        self.throttle.demand.hosts = self.repeats.hosts

    def refresh(self, now_s: float) -> list[jobs.Effect]:
        """Starts what can, after the list of upstreams changed."""
        self.fleet.forget_gone()
        self._crashes.settle(now_s)
        return self._start_waiting(now_s)

    def tick(self, now_s: float) -> list[jobs.Effect]:
        """Refuses what came due and starts what can."""
        with self.fleet.noting_changes(now_s):
            upstreams.expire_entries(self.fleet.roster, now_s)
        self._crashes.settle(now_s)
        effects: list[jobs.Effect] = []
        for item in queues.expire(self.queue, now_s):
            effects.append(self._refuse_late(self.tickets[item.id], now_s))
        return effects + self._start_waiting(now_s)

    def is_busy(self) -> bool:
        """Tells whether something may come due at any moment."""
        return (
            bool(self.queue.waiting)
            or self.fleet.is_asking()
            or self.quarantine.is_settling()
        )

    # Decisions.

    def _admit(self, ticket: tickets.Ticket, now_s: float) -> list[jobs.Effect]:
        if self.quarantine.is_held(ticket.job.fingerprint):
            return [self._refuse_held(ticket, now_s)]
        service = self._services.get(ticket.job.service)
        if service is None:
            return [
                self._refuse(
                    ticket, now_s, errors.ErrorKind.NO_ROUTE, "no such service"
                )
            ]
        opening = self.fleet.backpressure.find_opening(service.name, now_s)
        # Plain services take all at once, but for their limits.
        is_queued = service.engine is not None or opening is not None
        effects: list[jobs.Effect] = []
        is_behind = is_queued and self._has_waiting(service.name, now_s)
        if is_behind:
            # What has come free is theirs before it is counted as missing.
            effects = self._serve_queue(now_s)
            is_behind = self._has_waiting(service.name, now_s)
        if not is_behind:
            start = self._try_start(ticket, now_s)
            if start is not None:
                queues.note_start(self.queue, ticket.job.workspace)
                return [*effects, start]
        if is_queued:
            return [*effects, *self._enqueue(ticket, opening, now_s)]
        return [
            self._refuse(
                ticket,
                now_s,
                errors.ErrorKind.NO_ROUTE,
                "no upstream is usable",
            )
        ]

    def _has_waiting(self, service: str, now_s: float) -> bool:
        """Tells whether requests wait that could take what is free."""
        return any(
            w.graph == service and not self.tickets[w.id].list_refused(now_s)
            for w in self.queue.waiting.values()
        )

    def _enqueue(
        self,
        ticket: tickets.Ticket,
        opening: throttle.Opening | None,
        now_s: float,
    ) -> list[jobs.Effect]:
        job = ticket.job
        hold_s = HOLD_PART * job.route.objective_s
        due_s = job.arrived_s + hold_s
        if ticket.is_begun:
            due_s = now_s + RESUME_HOLD_PART * job.route.caller_silence_s
        elif ticket.runs or ticket.refusals:
            due_s = now_s + hold_s / 2
        item = queues.Waiting(
            job.id,
            job.workspace,
            job.service,
            TOP_RANK - job.priority,
            job.arrived_s,
            min(due_s, job.deadline_s),
            ticket.is_begun,
        )
        if ticket.is_begun:
            self.queue.waiting[item.id] = item
            return []
        if opening is not None:
            turn_s = opening.get_turn_s(self._count_waiting(job))
            if now_s + turn_s > item.deadline_s:
                return [self._refuse_limited(ticket, opening, now_s)]
        self.counts.queued += 1
        self._note_missing(job, now_s)
        self._notes.append(
            decisions.RequestQueued(
                job.id,
                "upstreams' limits" if opening else "no path has room",
                len(self.queue.waiting),
                item.deadline_s - now_s,
            )
        )
        offered = queues.offer(self.queue, item, now_s)
        if isinstance(offered, errors.Refusal):
            return [self._refuse(ticket, now_s, offered.kind, offered.reason)]
        if offered.evicted is None:
            return []
        loser = self.tickets[offered.evicted.id]
        return [
            self._refuse(
                loser,
                now_s,
                errors.ErrorKind.QUEUE_FULL,
                "gave way to a more urgent or less served request",
            )
        ]

    def _count_waiting(self, job: jobs.Job) -> int:
        """Returns how many others wait for the same service."""
        return sum(
            w.graph == job.service and w.id != job.id
            for w in self.queue.waiting.values()
        )

    def _refuse_limited(
        self, ticket: tickets.Ticket, opening: throttle.Opening, now_s: float
    ) -> questions.Refuse:
        """Refuses a request whose turn comes too late, until that turn."""
        waiting = self._count_waiting(ticket.job)
        refusal = self._refusals.make_limited(ticket, opening, waiting, now_s)
        return self._end(ticket, now_s, refusal)

    def _refuse_late(
        self, ticket: tickets.Ticket, now_s: float
    ) -> questions.Refuse:
        """Refuses a request that has waited in vain."""
        opening = self.fleet.backpressure.find_opening(
            ticket.job.service, now_s
        )
        if opening is not None:
            return self._refuse_limited(ticket, opening, now_s)
        return self._refuse(
            ticket, now_s, errors.ErrorKind.DEADLINE, "no room in time"
        )

    def _refuse_held(
        self, ticket: tickets.Ticket, now_s: float
    ) -> questions.Refuse:
        """Refuses a request that may not be sent."""
        return self._refuse(
            ticket,
            now_s,
            errors.ErrorKind.QUARANTINED,
            "upstreams ended under it before",
        )

    def _note_missing(self, job: jobs.Job, now_s: float) -> None:
        """Notes for the log why a request waits."""
        spec = self._get_spec(job.service)
        if spec is not None:
            self._notes.append(self.search.explain(job, spec, now_s))

    def _start_waiting(self, now_s: float) -> list[jobs.Effect]:
        """Serves the queue, unless that was done just now."""
        if self._was_served(now_s):
            return self._refuse_all_held(now_s)
        return self._serve_queue(now_s)

    def _refuse_all_held(self, now_s: float) -> list[jobs.Effect]:
        """Refuses the requests that wait and may not be sent any more."""
        return [
            self._refuse_held(self.tickets[i], now_s)
            for i in list(self.queue.waiting)
            if self.quarantine.is_held(self.tickets[i].job.fingerprint)
        ]

    def _serve_queue(self, now_s: float) -> list[jobs.Effect]:
        """Starts the requests that wait and for which there is a path now."""
        effects = self._refuse_all_held(now_s)
        # Services without a path, and requests without one for themselves.
        stuck: set[str] = set()
        while self.queue.waiting:
            items = [
                i
                for i in queues.order(self.queue, lambda item: False)
                if i.graph not in stuck and i.id not in stuck
            ]
            if not items:
                break
            for item in items:
                ticket = self.tickets[item.id]
                start = self._try_start(ticket, now_s)
                if start is None:
                    # Others may go where this one was turned away.
                    is_held_back = bool(ticket.list_refused(now_s))
                    stuck.add(item.id if is_held_back else item.graph)
                    continue
                queues.start(self.queue, item)
                effects.append(start)
        if self.queue.waiting:
            self._served_until_s = now_s + WAIT_S
            self._served_revision = self.fleet.get_own_revision()
        return effects

    def _was_served(self, now_s: float) -> bool:
        """Tells whether the queue was served just now, and for nothing new."""
        return (
            now_s < self._served_until_s
            and self._served_revision == self.fleet.get_own_revision()
        )

    def _try_start(
        self, ticket: tickets.Ticket, now_s: float
    ) -> jobs.Start | None:
        """Starts a request for which there is a path, or a replica."""
        service = self._services.get(ticket.job.service)
        if service is None:
            return None
        refused = ticket.list_refused(now_s)
        if service.engine is None:
            replica = self.fleet.choose_replica(
                service.name, ticket.failed, refused, now_s
            )
            return self._start(ticket, replica, now_s) if replica else None
        parts = self.search.find(
            ticket.job, service.engine, ticket.failed, now_s, refused
        )
        if parts is None:
            return None
        entry = self.fleet.roster.entries[parts[0].id]
        ticket.parts = parts
        return self._start(ticket, entry, now_s)

    def _start(
        self,
        ticket: tickets.Ticket,
        entry: upstreams.Upstream,
        now_s: float,
    ) -> jobs.Start:
        ticket.upstream_id = entry.id
        ticket.started_s = now_s
        ticket.attempts += 1
        if ticket.repeat_s is not None:
            ticket.repeat_s = None
            self.counts.repeats += 1
        self._notes.append(self._describe_start(ticket, entry, now_s))
        self._take_room(ticket, 1)
        self.throttle.take(entry.id, now_s)
        self.counts.started += 1
        return jobs.Start(ticket.job.id, entry, ticket.parts)

    def _describe_start(
        self,
        ticket: tickets.Ticket,
        entry: upstreams.Upstream,
        now_s: float,
    ) -> decisions.PathChosen:
        peers = sum(
            1
            for p in self.fleet.memory.peers.values()
            if now_s - p.heard_s < memory.USAGE_KEPT_S
        )
        spec = self._get_spec(ticket.job.service)
        step_s, free = 0.0, 1.0
        if spec is not None and ticket.parts:
            step_s, free = self.fleet.describe_path(spec, ticket.parts, now_s)
        return decisions.PathChosen(
            ticket.job.id,
            ticket.attempts,
            entry.id,
            paths.describe(ticket.parts),
            step_s,
            free,
            now_s - self.listed_s,
            peers,
        )

    def _take_room(self, ticket: tickets.Ticket, sign: int) -> None:
        if not ticket.parts:
            self.fleet.memory.add(ticket.upstream_id, sign, 0.0)
        for part in ticket.parts:
            used = (part.last - part.first) * ticket.job.tokens
            self.fleet.memory.add(part.id, sign, sign * used)

    def _release(self, ticket: tickets.Ticket) -> None:
        if ticket.upstream_id:
            self._take_room(ticket, -1)
        ticket.upstream_id = ""
        ticket.parts = ()

    def _blame(
        self,
        ticket: tickets.Ticket,
        was_at: str,
        failure: jobs.Failure,
        now_s: float,
    ) -> None:
        if failure.why is jobs.Why.REFUSED:
            ticket.refusals += 1
        elif failure.why in (jobs.Why.CUT, jobs.Why.FAILED):
            ticket.runs += 1
        blamed = set(failure.blamed)
        if not blamed and was_at:
            blamed.add(was_at)
        ticket.failed |= blamed
        if failure.why is jobs.Why.REFUSED:
            until_s = now_s + TURNED_AWAY_S
            ticket.refused.update(dict.fromkeys(blamed, until_s))
        for upstream_id in blamed:
            if failure.why is jobs.Why.UNREACHABLE:
                self.fleet.health.note_down(upstream_id, now_s)
            elif failure.why is jobs.Why.CUT:
                self.fleet.health.note_fault(upstream_id, now_s)
            elif failure.blamed:
                # It may also be dead; the probe tells.
                self.fleet.health.note_refused(upstream_id, now_s)
                self.fleet.health.note_fault(upstream_id, now_s)

    def _check_repeat(
        self, ticket: tickets.Ticket, failure: jobs.Failure, now_s: float
    ) -> errors.Refusal | None:
        """Returns the final answer if the request may not be sent again."""
        is_held = self.quarantine.is_held(ticket.job.fingerprint)
        final = retries.check(ticket, failure, is_held, now_s)
        if final is None and not self._take_repeat(ticket, now_s):
            final = retries.make_final(ticket, failure, "no repeats left")
        if final is None:
            return None
        return self._refusals.make(ticket, final.kind, final.reason, now_s)

    def _refuse(
        self,
        ticket: tickets.Ticket,
        now_s: float,
        kind: errors.ErrorKind,
        reason: str,
    ) -> questions.Refuse:
        refusal = self._refusals.make(ticket, kind, reason, now_s)
        return self._end(ticket, now_s, refusal)

    def _end(
        self, ticket: tickets.Ticket, now_s: float, refusal: errors.Refusal
    ) -> questions.Refuse:
        """Ends a request with its final answer."""
        self.tickets.pop(ticket.job.id, None)
        queues.remove(self.queue, ticket.job.id)
        self._release(ticket)
        self._return_repeat(ticket)
        self.counts.refused += 1
        self._notes.append(
            decisions.RequestRefused(
                ticket.job.id,
                refusal.kind.value,
                refusal.reason,
                refusal.retry_after_s,
                now_s - ticket.job.arrived_s,
            )
        )
        return questions.Refuse(ticket.job.id, refusal)

    def _get_spec(self, service: str) -> config.EngineSpec | None:
        found = self._services.get(service)
        return found.engine if found else None
