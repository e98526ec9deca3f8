"""Hosts before upstreams that ask for less, without network or threads.

Each host has the product's own `Broker`; hosts tell each other by the datagrams
that they would send. Upstreams name in their answers how many requests a second
they take from all hosts, turn requests away and ask for rest, or tell that they
leave. The oracle sees only what reaches an upstream, from whom, and when a host
had an answer that asked for something.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection
from typing import Final

import attrs

from egretspur import decisions, errors, signals
from egretspur.catalog import upstreams
from egretspur.membership import exchange
from egretspur.routing import broker, jobs, questions
from tests import fleets
from tests.routing import peers

# Seconds between two steps of the model and two datagrams of a host.
STEP_S: Final = 0.02
NEWS_S: Final = exchange.PERIOD_S

# From the sending of a request to the end of its answer, in seconds.
ANSWER_S: Final = {"llm": 1.5, "desk": 0.04}

# A host is bound by an answer this long after it.
TOLD_S: Final = 0.5

# From when an upstream first names a limit until it holds, the window it is
# counted in, and what may come beyond it.
CONTACT_S: Final = 3.0
WINDOW_S: Final = 4.0
SLACK: Final = 1.5
SPARE: Final = 5

# Seconds that a host has been up, with callers, before a history begins.
LEAD_S: Final = 2.0


@attrs.define(eq=False)
class Host(peers.Host):
    """A host's decisions, and what it was told."""

    # When it first had an answer that named a limit, by upstream.
    told_s: dict[str, float] = attrs.Factory(dict)


@attrs.frozen
class Arrival:
    """A request that reached an upstream."""

    at_s: float
    host: Host
    # Its host had had an answer that named the limit for `TOLD_S`.
    is_told: bool


@attrs.define
class World:
    """Hosts, upstreams and the requests between them."""

    rng: random.Random
    now_s: float = 100.0
    hosts: list[Host] = attrs.Factory(list)
    entries: dict[str, upstreams.Upstream] = attrs.Factory(dict)
    # What upstreams name now, and what they have named since when.
    limits: dict[str, float] = attrs.Factory(dict)
    named: dict[str, list[tuple[float, float]]] = attrs.Factory(dict)
    arrivals: dict[str, list[Arrival]] = attrs.Factory(dict)
    due: peers.Due = attrs.Factory(list)
    # Requests that wait for a decision: when each arrived.
    waiting: dict[str, float] = attrs.Factory(dict)
    answered: list[float] = attrs.Factory(list)
    # When each refused request arrived, how long it waited, what it was told.
    refused: list[tuple[float, float, errors.Refusal]] = attrs.Factory(list)
    # Part of the datagrams that are lost, and data centres that hear no other.
    lost: float = 0.0
    apart: frozenset[str] = frozenset()
    count: int = 0
    # Upstreams that turn requests away, with the seconds of rest that they ask
    # for, and those that tell that they leave.
    away: dict[str, float] = attrs.Factory(dict)
    leaving: set[str] = attrs.Factory(set)
    # When hosts were asked for rest and how long, and told that one leaves.
    backoffs: list[tuple[str, Host, float, float]] = attrs.Factory(list)
    farewells: dict[tuple[str, str], float] = attrs.Factory(dict)
    # Why requests waited for a path.
    notes: list[decisions.PathMissing] = attrs.Factory(list)

    def add_hosts(self, count: int) -> None:
        """Starts hosts in three data centres."""
        places = sorted(fleets.DATA_CENTRES)
        for i in range(count):
            place = places[i % len(places)]
            self.hosts.append(
                Host(f"10.0.{i // 200}.{i % 200 + 1}", place, self._make(place))
            )

    def _make(self, place: str) -> broker.Broker:
        state = broker.Broker(
            place, fleets.BUDGET, random.Random(self.rng.random())
        )
        state.configure(fleets.make_config(), self.now_s)
        for entry in self.entries.values():
            upstreams.put_entry(state.fleet.roster, entry, self.now_s)
        return state

    def add_replicas(self, names: Collection[str]) -> None:
        """Lists plain replicas, one in each data centre in turn."""
        places = sorted(fleets.DATA_CENTRES)
        for i, name in enumerate(names):
            self.add(fleets.make_upstream(name, data_centre=places[i % 3]))

    def add_engines(self) -> None:
        """Lists a chain of engines in each data centre."""
        for i, place in enumerate(sorted(fleets.DATA_CENTRES)):
            for j, layers in enumerate(("0-27", "27-54", "54-80")):
                name = f"a100-{3 * i + j}"
                self.add(fleets.make_upstream(name, layers, place))

    def add(self, entry: upstreams.Upstream) -> None:
        """Lists an upstream, or another start of one, at all hosts."""
        self.entries[entry.name] = entry
        self.arrivals.setdefault(entry.id, [])
        for host in self.hosts:
            host.state.change_list([(entry.name, entry)], self.now_s)

    def name_limit(self, upstream_id: str, per_s: float | None) -> None:
        """Has an upstream name a limit, or none any more."""
        if per_s is None:
            del self.limits[upstream_id]
            del self.named[upstream_id]
            return
        self.limits[upstream_id] = per_s
        self.named.setdefault(upstream_id, []).append((self.now_s, per_s))

    def restart(self, hosts: Collection[Host]) -> None:
        """Starts hosts again: they know nothing of before."""
        for host in hosts:
            host.state = self._make(host.data_centre)
            host.told_s.clear()

    def send(self, host: Host, kind: str) -> None:
        """Has a caller's request arrive at a host."""
        self.count += 1
        job = fleets.make_job(f"r{self.count}", kind, now_s=self.now_s)
        self.waiting[job.id] = self.now_s
        self._take(host, host.state.arrive(job, self.now_s))

    def _take(self, host: Host, effects: list[jobs.Effect]) -> None:
        self.notes += [
            n
            for n in host.state.take_notes()
            if isinstance(n, decisions.PathMissing)
        ]
        for effect in effects:
            arrived_s = self.waiting.pop(effect.id)
            if isinstance(effect, questions.Refuse):
                waited_s = self.now_s - arrived_s
                self.refused.append((arrived_s, waited_s, effect.refusal))
                continue
            self._reach(host, effect, arrived_s)

    def _reach(self, host: Host, start: jobs.Start, arrived_s: float) -> None:
        upstream_id = start.upstream.id
        told_s = host.told_s.get(upstream_id, self.now_s)
        is_told = self.now_s - told_s >= TOLD_S
        self.arrivals[upstream_id].append(Arrival(self.now_s, host, is_told))
        state = host.state
        answer = signals.Signals(
            self.limits.get(upstream_id),
            self.away.get(upstream_id),
            upstream_id in self.leaving,
        )

        def begin() -> None:
            if host.state is not state:
                return
            if answer.per_s is not None:
                host.told_s.setdefault(upstream_id, self.now_s)
            if answer.is_leaving:
                self.farewells.setdefault((upstream_id, host.ip), self.now_s)
            self._take(
                host, state.note_signals(upstream_id, answer, self.now_s)
            )
            state.note_answer(start.id, self.now_s)

        def end() -> None:
            if host.state is not state:
                return
            self.answered.append(arrived_s)
            self._take(host, state.finish(start.id, self.now_s, True))

        def turn_away() -> None:
            if host.state is not state:
                return
            assert isinstance(answer.backoff_s, float)
            self.backoffs.append(
                (upstream_id, host, self.now_s, answer.backoff_s)
            )
            self._take(
                host, state.note_signals(upstream_id, answer, self.now_s)
            )
            self.waiting[start.id] = arrived_s
            failure = jobs.Failure(start.id, jobs.Why.REFUSED, "503")
            self._take(host, state.fail(failure, self.now_s))

        if answer.backoff_s is not None:
            self.due.append((self.now_s, turn_away))
            return
        total_s = ANSWER_S[start.upstream.service]
        self.due.append((self.now_s + 0.03, begin))
        self.due.append((self.now_s + total_s, end))

    def play(
        self,
        seconds: float,
        rate: float = 0.0,
        kind: str = "non_idempotent",
        to: Collection[Host] | None = None,
    ) -> None:
        """Lets time pass, with so many requests a second over all hosts."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += STEP_S
            peers.do_due(self.due, self.now_s)
            for host in self.hosts:
                # As its ticker does.
                if host.state.is_busy():
                    self._take(host, host.state.tick(self.now_s))
                if self.now_s >= host.next_news_s:
                    host.next_news_s = self.now_s + NEWS_S * self.rng.uniform(
                        0.95, 1.05
                    )
                    self._tell(host)
            for _ in range(self._draw(rate * STEP_S)):
                self.send(self.rng.choice(list(to or self.hosts)), kind)

    def _draw(self, mean: float) -> int:
        """Returns a number of requests whose mean is given."""
        count = 0
        left = self.rng.expovariate(1.0)
        while left < mean:
            count += 1
            left += self.rng.expovariate(1.0)
        return count

    def _tell(self, host: Host) -> None:
        heard = peers.tell(host, self.hosts, self._is_heard, self.now_s)
        for other in heard:
            other.state.note_hosts(len(self.hosts))

    def _is_heard(self, host: peers.Host, other: peers.Host) -> bool:
        """Tells whether a datagram between two hosts arrives."""
        places = {host.data_centre, other.data_centre}
        if len(places) > 1 and places & self.apart:
            return False
        return self.rng.random() >= self.lost

    def find_worst(self, upstream_id: str) -> tuple[float, int, float]:
        """Returns the worst window: how far beyond, requests, allowed."""
        since_s = self.named[upstream_id][0][0] + CONTACT_S
        times = [
            a.at_s
            for a in self.arrivals[upstream_id]
            if a.is_told and a.at_s >= since_s - WINDOW_S
        ]
        worst = (0.0, 0, 0.0)
        for i, start_s in enumerate(times):
            end_s = start_s + WINDOW_S
            if end_s < since_s:
                continue
            got = sum(1 for t in times[i:] if t < end_s)
            allowed = self._get_allowed(upstream_id, start_s)
            worst = max(worst, (got / allowed, got, allowed))
        return worst

    def _get_allowed(self, upstream_id: str, start_s: float) -> float:
        """Returns what may come in the window that begins then.

        By the highest limit that was in force in it.
        """
        named = self.named[upstream_id]
        ends = [at_s for at_s, _ in named[1:]] + [math.inf]
        highest = max(
            per_s
            for (at_s, per_s), until_s in zip(named, ends, strict=True)
            if at_s < start_s + WINDOW_S and until_s > start_s
        )
        return SLACK * highest * WINDOW_S + SPARE

    def find_unrested(self) -> tuple[int, str, str]:
        """Returns the most that reached an upstream within a rest it had."""
        worst = (0, "", "")
        for upstream_id, host, at_s, backoff_s in self.backoffs:
            got = sum(
                a.host is host and at_s + TOLD_S <= a.at_s < at_s + backoff_s
                for a in self.arrivals[upstream_id]
            )
            worst = max(worst, (got, upstream_id, host.ip))
        return worst

    def count_reached(self, upstream_id: str, since_s: float) -> int:
        """Returns the requests that reached an upstream since then."""
        return sum(a.at_s >= since_s for a in self.arrivals[upstream_id])
