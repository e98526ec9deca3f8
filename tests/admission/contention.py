"""Hosts that compete for the same capacity: a model without a network.

Each host has the product's queue, `Turns` and `QueueServer`. Capacity is a
number of requests that run at once; a host knows what the others use from
updates sent four times a second, and is refused if all is in use.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Final

import attrs

from egretspur.admission import queue as queues
from egretspur.admission import turns
from egretspur.membership import exchange
from egretspur.routing import (
    attempts,
    broker,
    jobs,
    memory,
    probes,
    tickets,
    waiting,
)
from tests import fleets

# Objective of each priority, as the customers' routes have them.
OBJECTIVES_S: Final = {0: 0.5, 1: 0.5, 5: 1.0}

# An answer takes two to six seconds.
ANSWER_S: Final = (2.0, 6.0)

# Requests that run at once, by host: 190 at 88 hosts.
CAPACITY_PER_HOST: Final = 2.2

LOST: Final = 0.05

# Counting starts once the capacity has filled.
WARM_UP_S: Final = 5.0

ENTRY: Final = fleets.make_upstream("a100-0", "0-80")


class Host:
    """One host."""

    def __init__(self, name: str, data_centre: str, fleet: Fleet) -> None:
        self.name = name
        self.data_centre = data_centre
        self.queue = queues.Queue(broker.MAX_QUEUED)
        self.tickets: dict[str, tickets.Ticket] = {}
        self.turns = turns.Turns(data_centre, fleet.rng)
        self.server = waiting.QueueServer(
            self.queue,
            self.tickets,
            self.turns,
            lambda ticket, now_s: fleet.try_start(self, ticket),
            lambda: self.ended,
        )
        self.running = 0
        self.ended = 0
        # Requests of others that run, by host or data centre, and their sum.
        self.known: dict[str, int] = {}
        self.known_sum = 0
        self.is_deaf = False
        self.is_stopped = False


class Fleet:
    """All hosts, with counts of what arrived and what was started."""

    def __init__(self, count: int, data_centres: int) -> None:
        """Starts hosts that get twice as many requests as there is capacity."""
        self.rng = random.Random(1)
        self.capacity = round(CAPACITY_PER_HOST * count)
        self.now_s = 0.0
        self.running = 0
        # By host and priority.
        self.arrived: Counter[tuple[str, int]] = Counter()
        self.started: Counter[tuple[str, int]] = Counter()
        # Seconds in which requests waited, and of these the idle capacity's.
        self.waited_s = 0.0
        self.idle_s = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self.hosts: list[Host] = []
        rate = 2.0 * self.capacity / (sum(ANSWER_S) / 2) / count
        draw_s = functools.partial(self.rng.expovariate, rate)
        for i in range(count):
            host = Host(f"h{i}", f"dc-{i % data_centres}", self)
            host.turns.hosts = count
            self.hosts.append(host)
            self._repeat(draw_s, self._arrive, host)
            self._repeat(lambda: exchange.SEND_PERIOD_S, self._send, host)
            self._repeat(lambda: probes.BUSY_TICK_S, self._tick, host)

    def _schedule(self, delay_s: float, work: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._due, (self.now_s + delay_s, self._count, work))

    def _repeat(
        self,
        draw_s: Callable[[], float],
        work: Callable[[Host], None],
        host: Host,
    ) -> None:
        """Has a host work again and again until it stops."""

        def run() -> None:
            if not host.is_stopped:
                work(host)
                self._schedule(draw_s(), run)

        self._schedule(self.rng.random() * draw_s(), run)

    def run(self, until_s: float) -> None:
        """Runs until a time."""
        while self._due[0][0] < until_s:
            at_s, _, work = heapq.heappop(self._due)
            if at_s > WARM_UP_S and any(h.queue.waiting for h in self.hosts):
                self.waited_s += at_s - self.now_s
                idle = 1.0 - self.running / self.capacity
                self.idle_s += (at_s - self.now_s) * idle
            self.now_s = at_s
            work()

    def stop(self, host: Host) -> None:
        """Stops a host; the others count what it runs for a while."""
        host.is_stopped = True
        host.queue.waiting.clear()
        for other in self.hosts:
            self._expire(other, {host.name, host.data_centre})

    def cut_off(self, host: Host) -> None:
        """Lets a host receive no more updates."""
        host.is_deaf = True
        self._expire(host, set(host.known))

    def _expire(self, host: Host, senders: set[str]) -> None:
        def forget() -> None:
            for sender in senders:
                host.known_sum -= host.known.pop(sender, 0)

        self._schedule(memory.PEER_USAGE_TTL_S, forget)

    def _arrive(self, host: Host) -> None:
        priority, objective_s = self.rng.choice(list(OBJECTIVES_S.items()))
        workspace = f"w{self.rng.randrange(24)}"
        job = fleets.make_job(
            f"r{self._count}", now_s=self.now_s, workspace=workspace
        )
        route = attrs.evolve(job.route, objective_s=objective_s)
        job = attrs.evolve(job, route=route, priority=priority)
        host.tickets[job.id] = ticket = tickets.Ticket(job)
        self.arrived[host.name, priority] += self.now_s > WARM_UP_S
        # As `Broker._admit` does.
        if host.server.has_waiting(job.service, self.now_s):
            host.server.serve(self.now_s)
        item = waiting.make_item(ticket, self.now_s)
        if (
            host.server.has_waiting(job.service, self.now_s)
            or host.server.must_yield(item, self.now_s)
            or not self.try_start(host, ticket)
        ):
            host.queue.waiting[job.id] = item
        else:
            queues.record_start(host.queue, job.workspace)

    def try_start(
        self, host: Host, ticket: tickets.Ticket
    ) -> jobs.Start | None:
        """Starts a request if its host knows of capacity that is free."""
        if (
            ticket.list_refused(self.now_s)
            or host.running + host.known_sum >= self.capacity
        ):
            return None
        if self.running >= self.capacity:
            ticket.refused[ENTRY.id] = self.now_s + attempts.REFUSAL_DELAY_S
            return None
        host.running += 1
        self.running += 1
        job = host.tickets.pop(ticket.job.id).job
        self.started[host.name, job.priority] += job.arrived_s > WARM_UP_S
        self._schedule(
            self.rng.uniform(*ANSWER_S), lambda: self._end(host, job)
        )
        return jobs.Start(job.id, ENTRY, ())

    def _end(self, host: Host, job: jobs.Job) -> None:
        host.running -= 1
        self.running -= 1
        host.ended += 1
        queues.record_finish(host.queue, job.service, self.now_s)
        if not host.is_stopped:
            host.server.serve_if_due(self.now_s)

    def _tick(self, host: Host) -> None:
        for item in queues.expire(host.queue, self.now_s):
            del host.tickets[item.id]
        host.server.serve_if_due(self.now_s)

    def _send(self, host: Host) -> None:
        """Sends a host's update; a speaker's also to other data centres."""
        near = [
            h
            for h in self.hosts
            if h.data_centre == host.data_centre and not h.is_stopped
        ]
        own = host.turns.list_waiting(host.queue.waiting.values())
        for other in near:
            self._deliver(host, other, host.name, host.running, own)
        if host is not near[0]:
            return
        local = host.turns.sum_local(own, self.now_s)
        running = host.running + sum(host.known.get(h.name, 0) for h in near)
        for other in self.hosts:
            if other.data_centre != host.data_centre:
                self._deliver(host, other, host.data_centre, running, local)

    def _deliver(
        self,
        host: Host,
        other: Host,
        sender: str,
        running: int,
        counts: turns.Counts,
    ) -> None:
        if host is other or other.is_deaf or self.rng.random() < LOST:
            return
        other.known_sum += running - other.known.get(sender, 0)
        other.known[sender] = running
        other.turns.apply_peer_waiting(
            host.name, host.data_centre, counts, self.now_s
        )

    def get_served(
        self, hosts: Iterable[Host], priorities: Iterable[int] = OBJECTIVES_S
    ) -> float:
        """Returns the fraction started of the requests of these hosts."""
        keys = list(itertools.product((h.name for h in hosts), priorities))
        started = sum(self.started[k] for k in keys)
        return started / sum(self.arrived[k] for k in keys)
