"""Refused callers that return to a random host: a model without a network.

Each host has the product's `Promises` and `ReturnTimes`. All hosts share one
pool of capacity; a request waits for it up to a bound and is then refused.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any, Final

import attrs

from egretspur.routing import jobs, promises, returns
from tests import fleets

# Requests that run at the same time, and the bounds of their times.
CAPACITY: Final = 200
RUN_S: Final = (1.6, 2.4)
RATE_PER_S: Final = CAPACITY / (sum(RUN_S) / 2)

# Bound of the wait at a host: 0.7 of an objective of 0.5 s.
WAIT_S: Final = 0.35

UPDATE_INTERVAL_S: Final = 0.25
LOSS_RATE: Final = 0.05

# Fraction of callers that return after a third of the time told.
EARLY_RATE: Final = 0.3

# Demand as a fraction of the capacity, with the times of its ends.
DEMAND: Final = ((30.0, 0.8), (35.0, 1.2), (47.0, 0.8))


@attrs.define(eq=False)
class Host:
    """One host and its state about returns."""

    name: str
    data_centre: str
    promises: promises.Promises
    times: returns.ReturnTimes


@attrs.define(eq=False)
class Caller:
    """A caller, and how its attempts ended."""

    job: jobs.Job
    is_early: bool
    host: Host
    attempts: int = 0
    # Whether each attempt that ended was refused.
    refused: list[bool] = attrs.Factory(list)


class World:
    """The hosts, their callers and the shared capacity."""

    def __init__(self, hosts: int, data_centres: int, seed: int) -> None:
        self.now_s = 0.0
        self.callers: list[Caller] = []
        # Time of the first refusal, and of the last return of a caller refused
        # during the overload.
        self.first_refusal_s = 0.0
        self.last_return_s = 0.0
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._number = itertools.count()
        self._waiting: dict[Caller, None] = {}
        self._running = 0
        # Changes of the number of running requests.
        self._history: list[tuple[float, int]] = []
        self._hosts: list[list[Host]] = [[] for _ in range(data_centres)]
        for i in range(hosts):
            place = i % data_centres
            promised = promises.Promises(f"dc-{place}")
            self._hosts[place].append(
                Host(
                    f"h{i}",
                    f"dc-{place}",
                    promised,
                    returns.ReturnTimes(promised, self._rng),
                )
            )
        self._all = [h for place in self._hosts for h in place]

    def play(self) -> None:
        """Plays the whole demand."""
        begin_s = 0.0
        for end_s, load in DEMAND:
            while (
                begin_s := begin_s + self._rng.expovariate(load * RATE_PER_S)
            ) < end_s:
                self._at(begin_s, self._arrive_new, None)
            begin_s = end_s
        for host in self._all:
            self._at(self._rng.random() * UPDATE_INTERVAL_S, self._send, host)
        while self._events and self.now_s < DEMAND[-1][0]:
            self.now_s, _, act, subject = heapq.heappop(self._events)
            act(subject)

    def compute_idle_share(self) -> float:
        """Returns the idle share while refused callers were to return."""
        idle = 0.0
        begin_s, end_s = self.first_refusal_s, self.last_return_s
        for (at_s, running), (next_s, _) in itertools.pairwise(self._history):
            overlap_s = min(next_s, end_s) - max(at_s, begin_s)
            idle += max(0.0, overlap_s) * (CAPACITY - running)
        return idle / CAPACITY / (end_s - begin_s)

    def _at(
        self, at_s: float, act: Callable[..., None], subject: object
    ) -> None:
        heapq.heappush(self._events, (at_s, next(self._number), act, subject))

    def _arrive_new(self, _: None) -> None:
        job = fleets.make_job(f"c{len(self.callers)}", now_s=self.now_s)
        job = attrs.evolve(job, priority=self._rng.randrange(3))
        is_early = self._rng.random() < EARLY_RATE
        caller = Caller(job, is_early, self._all[0])
        self.callers.append(caller)
        self._arrive(caller)

    def _arrive(self, caller: Caller) -> None:
        caller.attempts += 1
        caller.host = self._rng.choice(self._all)
        if self._running < CAPACITY:
            self._start(caller)
            return
        self._waiting[caller] = None
        self._at(self.now_s + WAIT_S, self._expire, (caller, caller.attempts))

    def _start(self, caller: Caller) -> None:
        caller.refused.append(False)
        self._running += 1
        self._history.append((self.now_s, self._running))
        caller.host.times.record_answer_start(caller.job.service, self.now_s)
        self._at(self.now_s + self._rng.uniform(*RUN_S), self._finish, None)

    def _finish(self, _: None) -> None:
        self._running -= 1
        self._history.append((self.now_s, self._running))
        if self._waiting:
            caller = next(iter(self._waiting))
            del self._waiting[caller]
            self._start(caller)

    def _expire(self, subject: tuple[Caller, int]) -> None:
        caller, attempt = subject
        if caller not in self._waiting or caller.attempts != attempt:
            return
        del self._waiting[caller]
        caller.refused.append(True)
        after_s = caller.host.times.assign_delay_s(
            caller.job, len(self._all), 0, True, self.now_s
        )
        left_s = caller.job.deadline_s - self.now_s
        assert 0.0 <= after_s <= left_s / 3 + 1e-9, (after_s, left_s)
        if not self.first_refusal_s:
            self.first_refusal_s = self.now_s
        back_s = self.now_s + after_s * (1 / 3 if caller.is_early else 1.0)
        if caller.job.arrived_s < DEMAND[1][0]:
            self.last_return_s = max(self.last_return_s, back_s)
        self._at(back_s, self._arrive, caller)

    def _send(self, host: Host) -> None:
        self._at(self.now_s + UPDATE_INTERVAL_S, self._send, host)
        for place in self._hosts:
            is_local = host in place
            if not is_local and host is not self._find_speaker(host):
                continue
            state = host.promises
            told = (
                state.list_returns(self.now_s)
                if is_local
                else state.sum_data_centre(self.now_s)
            )
            if not told:
                continue
            for other in place:
                if other is host or self._rng.random() < LOSS_RATE:
                    continue
                other.promises.apply_peer_returns(
                    host.name, host.data_centre, told, self.now_s
                )

    def _find_speaker(self, host: Host) -> Host:
        return next(p[0] for p in self._hosts if host in p)
