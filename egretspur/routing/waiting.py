"""Serves a host's queue of requests that wait for capacity: pure.

Read next: `egretspur.admission.queue`, `egretspur.admission.turns`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Container, Mapping
from typing import Final

from egretspur.admission import queue as queues
from egretspur.admission import turns
from egretspur.routing import jobs, tickets

# Fraction of its route's objective that a request may wait for request memory.
# The rest is needed to process its prompt before the objective is missed.
QUEUE_WAIT_FRACTION: Final = 0.7

# Minimum interval between path searches for queued requests, unless this host
# itself frees request memory. Reports and peer updates arrive some hundred
# times a second, and each search takes milliseconds.
SEARCH_INTERVAL_S: Final = 0.1


def make_item(ticket: tickets.Ticket, now_s: float) -> queues.Waiting:
    """Returns a request as the queue has it."""
    job = ticket.job
    hold_s = QUEUE_WAIT_FRACTION * job.route.objective_s
    due_s = job.arrived_s + hold_s
    if ticket.is_begun:
        # Its caller decides how long to wait.
        due_s = job.deadline_s
    elif ticket.runs or ticket.refusals:
        due_s = now_s + hold_s / 2
        refused_until_s = ticket.find_refused_until_s(now_s)
        if refused_until_s is not None:
            # One of those that refused it may be tried once more by then.
            due_s = max(due_s, refused_until_s + SEARCH_INTERVAL_S)
    return queues.Waiting(
        job.id,
        job.workspace,
        job.service,
        # The queue serves the highest priority first.
        turns.LEAST_URGENT - job.priority,
        job.arrived_s,
        min(due_s, job.deadline_s),
        ticket.is_begun,
        ticket.needs_capacity,
    )


class QueueServer:
    """Starts queued requests in the queue's order and in this host's turns."""

    def __init__(
        self,
        queue: queues.Queue,
        held: Mapping[str, tickets.Ticket],
        schedule: turns.Turns,
        try_start: Callable[[tickets.Ticket, float], jobs.Start | None],
        get_revision: Callable[[], int],
    ) -> None:
        """Creates the server of a queue.

        Args:
            queue: Requests that are started are removed from it.
            held: Tickets of this host's requests, by id.
            schedule: Decides which requests yield to those of other hosts.
            try_start: Starts a request if it has a path or a replica.
            get_revision: Returns a number that changes when this host may see
                free capacity.
        """
        self._queue = queue
        self._tickets = held
        self._turns = schedule
        self._try_start = try_start
        self._get_revision = get_revision
        # The queue is not served again before this time unless the revision
        # differs from `_served_revision`.
        self._served_until_s = -math.inf
        self._served_revision = -1
        # Services for which no path was searched because all their requests
        # yielded. They cost no search and are served at each tick.
        self._yielding: set[str] = set()

    def has_waiting(
        self, service: str, now_s: float, counts_begun: bool = True
    ) -> bool:
        """Returns whether requests wait that could use free capacity.

        Args:
            service: Their service.
            now_s: Monotonic time.
            counts_begun: Whether begun answers count.
        """
        return any(
            w.graph == service
            and (counts_begun or not w.is_begun)
            and not self._tickets[w.id].is_held_back(now_s)
            for w in self._queue.waiting.values()
        )

    def must_yield(self, item: queues.Waiting, now_s: float) -> bool:
        """Returns whether a new request leaves capacity to other hosts."""
        if self._turns.find_yielding([item], self._queue, now_s):
            self._yielding.add(item.graph)
            return True
        self._yielding.discard(item.graph)
        return False

    def is_yielding(self, service: str) -> bool:
        """Returns whether a service's requests wait because they yield."""
        return service in self._yielding

    def serve_if_due(self, now_s: float) -> list[jobs.Start]:
        """Serves the queue, or only what yielded if it was served recently."""
        if (
            now_s >= self._served_until_s
            or self._served_revision != self._get_revision()
        ):
            return self.serve(now_s)
        if not self._yielding:
            return []
        services = {w.graph for w in self._queue.waiting.values()}
        return self._start_queued(services - self._yielding, now_s)

    def serve(self, now_s: float) -> list[jobs.Start]:
        """Starts the queued requests that have a path or a replica now."""
        starts = self._start_queued(set(), now_s)
        if self._queue.waiting:
            self._served_until_s = now_s + SEARCH_INTERVAL_S
            self._served_revision = self._get_revision()
        return starts

    def _start_queued(self, stuck: set[str], now_s: float) -> list[jobs.Start]:
        """Starts queued requests.

        Args:
            stuck: Services to leave out, as they have no path, and ids of
                requests that are held back. More are added.
            now_s: Monotonic time.
        """
        starts: list[jobs.Start] = []
        self._yielding = set()
        while self._queue.waiting:
            candidates, yielding = self._list_candidates(stuck, now_s)
            self._yielding |= yielding - stuck
            stuck |= yielding
            items = [
                i
                for i in candidates
                if i.graph not in stuck and i.id not in stuck
            ]
            if not items:
                break
            for item in items:
                ticket = self._tickets[item.id]
                start = self._try_start(ticket, now_s)
                if start is None:
                    self._update_item(ticket, now_s)
                    # Upstreams that refused this one may take others, and a
                    # begun answer may need more memory or a certain engine.
                    is_alone = item.is_begun or ticket.is_held_back(now_s)
                    stuck.add(item.id if is_alone else item.graph)
                    continue
                queues.start(self._queue, item)
                starts.append(start)
        return starts

    def _update_item(self, ticket: tickets.Ticket, now_s: float) -> None:
        """Records in the queue what a begun answer waits for now."""
        if ticket.is_begun:
            self._queue.waiting[ticket.job.id] = make_item(ticket, now_s)

    def _list_candidates(
        self, stuck: Container[str], now_s: float
    ) -> tuple[list[queues.Waiting], set[str]]:
        """Returns the next request of each service, and services that yield.

        Args:
            stuck: Ids of begun answers to leave out.
            now_s: Monotonic time.
        """
        waiting = self._queue.waiting
        yielding = self._turns.find_yielding(
            waiting.values(), self._queue, now_s
        )
        items = queues.list_candidates(
            self._queue,
            lambda item: (
                item.id in yielding
                or (item.is_begun and item.id in stuck)
                or self._is_postponed(item, now_s)
            ),
        )
        services = {waiting[i].graph for i in yielding}
        return items, services - {i.graph for i in items}

    def _is_postponed(self, item: queues.Waiting, now_s: float) -> bool:
        return now_s < self._tickets[item.id].resume_from_s
