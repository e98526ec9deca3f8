"""Model of hosts and upstreams with flow control, without network or threads.

Each host has the product's own `Broker`; hosts exchange the datagrams that they
would send. In their answers, upstreams set a limit in requests a second for all
hosts together, refuse requests with a backoff, or announce that they leave. The
oracle sees only which requests reach an upstream, from which host, and when a
host received an answer with such a signal.
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

# Time step of the model.
STEP_S: Final = 0.02

# Interval of the datagrams of a host.
UPDATE_PERIOD_S: Final = exchange.SEND_PERIOD_S

# Duration of an answer by service, in seconds.
ANSWER_S: Final = {"llm": 1.5, "desk": 0.04}

# Time from an answer with a signal until the host must follow it.
REACTION_S: Final = 0.5

# Time from an upstream's first limit until the limit is checked.
SETTLE_S: Final = 3.0

# Window in which requests are counted.
WINDOW_S: Final = 4.0

# Factor and number of requests by which a window may exceed the limit.
SLACK: Final = 1.5
EXTRA_REQUESTS: Final = 5

# Time that hosts run, with callers, before a history begins.
WARMUP_S: Final = 2.0


@attrs.define(eq=False)
class Host(peers.Host):
    """A host with the signals that it received."""

    # When it first received an answer with a limit, by upstream.
    limited_s: dict[str, float] = attrs.Factory(dict)


@attrs.frozen
class Arrival:
    """A request that reached an upstream."""

    at_s: float
    host: Host
    # Whether its host received the limit at least `REACTION_S` before.
    is_informed: bool


@attrs.define
class World:
    """Hosts, upstreams and the requests between them."""

    rng: random.Random
    now_s: float = 100.0
    hosts: list[Host] = attrs.Factory(list)
    entries: dict[str, upstreams.Upstream] = attrs.Factory(dict)
    # Current limits of upstreams.
    limits: dict[str, float] = attrs.Factory(dict)
    # Times and values of their limits, oldest first.
    limit_history: dict[str, list[tuple[float, float]]] = attrs.Factory(dict)
    arrivals: dict[str, list[Arrival]] = attrs.Factory(dict)
    due: peers.Due = attrs.Factory(list)
    # Requests without a decision yet: when each arrived.
    waiting: dict[str, float] = attrs.Factory(dict)
    answered: list[float] = attrs.Factory(list)
    # Arrival time, waiting time and answer of each refused request.
    refused: list[tuple[float, float, errors.Refusal]] = attrs.Factory(list)
    # Fraction of datagrams that are lost.
    loss_rate: float = 0.0
    # Data centres that exchange no datagrams with others.
    partitioned: frozenset[str] = frozenset()
    count: int = 0
    # Upstreams that refuse all requests, with their backoff in seconds.
    away: dict[str, float] = attrs.Factory(dict)
    # Upstreams that announce that they leave.
    leaving: set[str] = attrs.Factory(set)
    # Backoffs that hosts received: upstream, host, time and seconds.
    backoffs: list[tuple[str, Host, float, float]] = attrs.Factory(list)
    # When a host first received that an upstream leaves, by id and host's IP.
    leaving_s: dict[tuple[str, str], float] = attrs.Factory(dict)
    # Logged reasons why requests had no path.
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
            host.state.change_upstreams([(entry.name, entry)], self.now_s)

    def set_limit(self, upstream_id: str, per_s: float | None) -> None:
        """Sets the limit of an upstream; None lifts it."""
        if per_s is None:
            del self.limits[upstream_id]
            del self.limit_history[upstream_id]
            return
        self.limits[upstream_id] = per_s
        self.limit_history.setdefault(upstream_id, []).append(
            (self.now_s, per_s)
        )

    def restart(self, hosts: Collection[Host]) -> None:
        """Restarts hosts; they lose their state."""
        for host in hosts:
            host.state = self._make(host.data_centre)
            host.limited_s.clear()

    def send(self, host: Host, kind: str) -> None:
        """Has a caller's request arrive at a host."""
        self.count += 1
        job = fleets.make_job(f"r{self.count}", kind, now_s=self.now_s)
        self.waiting[job.id] = self.now_s
        self._apply(host, host.state.arrive(job, self.now_s))

    def _apply(self, host: Host, effects: list[jobs.Effect]) -> None:
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
            self._deliver(host, effect, arrived_s)

    def _deliver(self, host: Host, start: jobs.Start, arrived_s: float) -> None:
        upstream_id = start.upstream.id
        since_s = host.limited_s.get(upstream_id, self.now_s)
        is_informed = self.now_s - since_s >= REACTION_S
        self.arrivals[upstream_id].append(
            Arrival(self.now_s, host, is_informed)
        )
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
                host.limited_s.setdefault(upstream_id, self.now_s)
            if answer.is_leaving:
                self.leaving_s.setdefault((upstream_id, host.ip), self.now_s)
            self._apply(
                host, state.note_signals(upstream_id, answer, self.now_s)
            )
            state.record_answer_start(start.id, self.now_s)

        def end() -> None:
            if host.state is not state:
                return
            self.answered.append(arrived_s)
            self._apply(host, state.finish(start.id, self.now_s, True))

        def turn_away() -> None:
            if host.state is not state:
                return
            assert isinstance(answer.backoff_s, float)
            self.backoffs.append(
                (upstream_id, host, self.now_s, answer.backoff_s)
            )
            self._apply(
                host, state.note_signals(upstream_id, answer, self.now_s)
            )
            self.waiting[start.id] = arrived_s
            failure = jobs.Failure(start.id, jobs.FailureKind.REFUSED, "503")
            self._apply(host, state.fail(failure, self.now_s))

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
        """Runs the model for some seconds.

        Args:
            seconds: How long.
            rate: Requests a second that arrive at all hosts together.
            kind: Kind of these requests.
            to: Hosts where they arrive; all if None.
        """
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += STEP_S
            peers.run_due(self.due, self.now_s)
            for host in self.hosts:
                # Like the ticker of `egretspur.routing.probes`.
                if host.state.is_busy():
                    self._apply(host, host.state.tick(self.now_s))
                if self.now_s >= host.next_update_s:
                    host.next_update_s = (
                        self.now_s
                        + UPDATE_PERIOD_S * self.rng.uniform(0.95, 1.05)
                    )
                    self._send_update(host)
            for _ in range(self._draw(rate * STEP_S)):
                self.send(self.rng.choice(list(to or self.hosts)), kind)

    def _draw(self, mean: float) -> int:
        """Draws a number of requests from a Poisson distribution."""
        count = 0
        left = self.rng.expovariate(1.0)
        while left < mean:
            count += 1
            left += self.rng.expovariate(1.0)
        return count

    def _send_update(self, host: Host) -> None:
        heard = peers.send_update(
            host, self.hosts, self._is_delivered, self.now_s
        )
        for other in heard:
            other.state.set_host_count(len(self.hosts))

    def _is_delivered(self, host: peers.Host, other: peers.Host) -> bool:
        """Returns whether a datagram between two hosts arrives."""
        places = {host.data_centre, other.data_centre}
        if len(places) > 1 and places & self.partitioned:
            return False
        return self.rng.random() >= self.loss_rate

    def find_worst(self, upstream_id: str) -> tuple[float, int, float]:
        """Returns the worst window: requests per allowed one, and both."""
        since_s = self.limit_history[upstream_id][0][0] + SETTLE_S
        times = [
            a.at_s
            for a in self.arrivals[upstream_id]
            if a.is_informed and a.at_s >= since_s - WINDOW_S
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
        """Returns how many requests may arrive in the window from `start_s`.

        The highest limit that was in force in the window counts.
        """
        named = self.limit_history[upstream_id]
        ends = [at_s for at_s, _ in named[1:]] + [math.inf]
        highest = max(
            per_s
            for (at_s, per_s), until_s in zip(named, ends, strict=True)
            if at_s < start_s + WINDOW_S and until_s > start_s
        )
        return SLACK * highest * WINDOW_S + EXTRA_REQUESTS

    def find_backoff_violation(self) -> tuple[int, str, str]:
        """Returns the most requests that a host sent during one backoff.

        The upstream's id and the host's IP address follow.
        """
        worst = (0, "", "")
        for upstream_id, host, at_s, backoff_s in self.backoffs:
            got = sum(
                a.host is host
                and at_s + REACTION_S <= a.at_s < at_s + backoff_s
                for a in self.arrivals[upstream_id]
            )
            worst = max(worst, (got, upstream_id, host.ip))
        return worst

    def count_reached(self, upstream_id: str, since_s: float) -> int:
        """Returns how many requests reached an upstream since `since_s`."""
        return sum(a.at_s >= since_s for a in self.arrivals[upstream_id])
