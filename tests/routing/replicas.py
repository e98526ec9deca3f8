"""Model of hosts and replicas of a plain service, without network or threads.

Each host has the product's own `Broker`. Every `UPDATE_PERIOD_S` it receives
what its peers had in flight `DELAY_S` ago. A replica runs as many requests at a
time as it has slots; the others wait in it.
"""

from __future__ import annotations

import collections
import itertools
import math
import random
from collections.abc import Callable
from typing import Final

import attrs

from egretspur.admission import repeats
from egretspur.catalog import upstreams
from egretspur.routing import broker, jobs, memory, questions
from tests import fleets, timeline

UPDATE_PERIOD_S: Final = 0.25

# Age of what a peer update contains: sent to a speaker, and passed on by it.
DELAY_S: Final = 0.06

# Bounds of the work of a request, and a hop there and back, in seconds.
WORK_S: Final = (0.045, 0.069)
HOPS_S: Final = 0.0015

# Retries allowed in a window, as the users' sheet has it for 61 hosts.
RETRIES_PER_HOST: Final = 306 / 61


@attrs.define(eq=False)
class Replica:
    """A replica that runs requests."""

    entry: upstreams.Upstream
    slowdown: float = 1.0
    # How it fails all requests; None if it does not.
    failure: jobs.FailureKind | None = None
    # Requests that run, and those that wait for a slot.
    running: int = 0
    queue: collections.deque[Callable[[], None]] = attrs.Factory(
        collections.deque
    )


class World(timeline.Timeline):
    """Hosts in three data centres before some replicas."""

    def __init__(self, hosts: int, places: list[str]) -> None:
        """Makes hosts before one replica in each place; nothing is sent yet."""
        self.rng = random.Random(11)
        super().__init__(100.0)
        # Time, host and replica of each request sent.
        self.sent: list[tuple[float, broker.Broker, str]] = []
        # Times from arrival to answer.
        self.answered_s: list[float] = []
        # When each caller came first, by request.
        self._arrived_s: dict[str, float] = {}
        # Callers that were refused, and again when they returned.
        self.refused = 0
        # Replicas that each request was sent to.
        self.sent_to: dict[str, set[str]] = {}
        self.replicas: dict[str, Replica] = {}
        self._in_flight: collections.Counter[str] = collections.Counter()
        options = repeats.Options(
            0.2, hosts * RETRIES_PER_HOST, 10.0, -math.inf
        )
        self.hosts = [
            broker.Broker(p, options, random.Random(i))
            for i, p in zip(
                range(hosts), itertools.cycle(fleets.DATA_CENTRES), strict=False
            )
        ]
        for host in self.hosts:
            host.configure(fleets.make_config())
            host.set_host_count(hosts)
            self._at(self.rng.uniform(0, UPDATE_PERIOD_S), self._update, host)
        for place in places:
            self.add(place)

    def add(self, place: str) -> None:
        """Lists another replica at all hosts."""
        name = f"app-{len(self.replicas)}"
        entry = fleets.make_upstream(name, data_centre=place)
        self.replicas[name] = Replica(entry)
        for host in self.hosts:
            host.change_upstreams([(name, entry)], self.now_s)

    def play(self, seconds: float, rate: float, place: str = "") -> None:
        """Has requests arrive at all hosts, or at those of a data centre."""
        hosts = [h for h in self.hosts if place in ("", h.fleet.data_centre)]
        end_s = self.now_s + seconds
        at_s = self.now_s + self.rng.expovariate(rate)
        while at_s < end_s:
            self._run_until(at_s)
            name = f"r{next(self._counter)}"
            self._arrived_s[name] = at_s
            self._arrive(self.rng.choice(hosts), name)
            at_s += self.rng.expovariate(rate)
        self._run_until(end_s)

    def _arrive(self, host: broker.Broker, name: str) -> None:
        job = fleets.make_job(name, "non_idempotent", now_s=self.now_s)
        self._apply(host, host.arrive(job, self.now_s))

    def get_share(self, name: str, seconds: float) -> float:
        """Returns a replica's share of the last requests; 1 if it is even."""
        names = [n for t, _, n in self.sent if t >= self.now_s - seconds]
        return names.count(name) / len(names) * len(self.replicas)

    def _update(self, host: broker.Broker) -> None:
        """Has a host tick, and sends it what the others have in flight."""
        self._at(UPDATE_PERIOD_S, self._update, host)
        self._apply(host, host.tick(self.now_s))
        own = host.fleet.memory.own
        usage = {
            i: jobs.Usage(n - (own[i].count if i in own else 0))
            for i, n in self._in_flight.items()
        }
        failing = {
            i
            for h in self.hosts
            if h is not host
            for i in h.fleet.replicas.list_failing(self.now_s, False)
        }
        self._at(DELAY_S, self._receive, host, usage, failing)

    def _receive(
        self,
        host: broker.Broker,
        usage: dict[str, jobs.Usage],
        failing: set[str],
    ) -> None:
        update = memory.PeerUsage(self.now_s, usage)
        host.fleet.memory.set_peer_usage("peers", update)
        host.fleet.replicas.record_peer_failures(failing, self.now_s)

    def _apply(self, host: broker.Broker, effects: list[jobs.Effect]) -> None:
        host.take_notes()
        for effect in effects:
            if isinstance(effect, questions.Refuse):
                self._refuse(effect)
            else:
                self._send(host, effect)

    def _refuse(self, effect: questions.Refuse) -> None:
        """Has a caller return once, to any host, when it is told to."""
        name, _, times = effect.id.partition("+")
        if times:
            self.refused += 1
            return
        self._arrived_s[f"{name}+1"] = self._arrived_s[name]
        after_s = effect.refusal.retry_after_s
        self._at(after_s, self._return, f"{name}+1")

    def _return(self, name: str) -> None:
        self._arrive(self.rng.choice(self.hosts), name)

    def _send(self, host: broker.Broker, start: jobs.Start) -> None:
        replica = self.replicas[start.upstream.id]
        entry = replica.entry
        self.sent.append((self.now_s, host, entry.id))
        self.sent_to.setdefault(start.id, set()).add(entry.id)
        self._in_flight[entry.id] += 1
        hops_s = HOPS_S * (host.fleet.data_centre != entry.data_centre)

        def fail(kind: jobs.FailureKind) -> None:
            self._in_flight[entry.id] -= 1
            failure = jobs.Failure(start.id, kind, "in the model")
            self._apply(host, host.fail(failure, self.now_s))

        def run() -> None:
            replica.running += 1
            self._at(self.rng.uniform(*WORK_S) * replica.slowdown, end)

        def end() -> None:
            replica.running -= 1
            if replica.queue:
                replica.queue.popleft()()
            self._at(hops_s, answer)

        def answer() -> None:
            self._in_flight[entry.id] -= 1
            host.record_answer_start(start.id, self.now_s)
            self._apply(host, host.finish(start.id, self.now_s, True))
            self.answered_s.append(self.now_s - self._arrived_s[start.id])

        if replica.failure is not None:
            self._at(0.001 + hops_s, fail, replica.failure)
        elif replica.running < entry.slots:
            run()
        else:
            replica.queue.append(run)
