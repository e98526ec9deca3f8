"""Hosts before plain replicas that read late or fail: without network.

Each host has the product's own `Broker`. A replica keeps what it was sent until
it reads it, also when its sender has ended it or has ended itself. The oracle
knows only when callers sent requests, and what replicas read when. Read next:
`tests.retry_oracle` and `tests.admission.sharing`.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection
from typing import Final

import attrs
from hypothesis import stateful
from hypothesis import strategies as st

from egretspur import ends
from egretspur.admission import repeats
from egretspur.catalog import upstreams
from egretspur.daemons import news
from egretspur.routing import broker, jobs, questions
from tests import fleets, retry_oracle, timeline
from tests.admission import sharing

HOSTS: Final = 4
REPLICAS: Final = 3
ALLOWANCE: Final = 200.0
SERVICE: Final = "desk"

# Interval of peer updates and of ticks, in s.
UPDATE_PERIOD_S: Final = 0.25

# Least and usual work of a request; the answer to a health check, and how long
# it is awaited.
MIN_WORK_S: Final = 0.02
WORK_S: Final = 0.045
CHECK_S: Final = 0.002
CHECK_TIMEOUT_S: Final = 0.25

# A host ends a request so long before its caller's deadline.
MARGIN_S: Final = 0.05

# How long everything is sound at the end, so that all is read.
END_S: Final = 12.0


@attrs.define(eq=False)
class Replica:
    """A replica that reads requests."""

    id: str
    # It reads nothing until then; whether it answers health checks meanwhile.
    stopped_until_s: float = 0.0
    is_checkable: bool = False
    # Share of the requests that it reads late, and how late at most.
    late_share: float = 0.0
    late_s: float = 0.0
    # Share of the requests that it resets once it has read them.
    reset_share: float = 0.0
    # The same of those that it refuses.
    refuse_share: float = 0.0
    # Longest work of a request; `WORK_S` for all if 0.
    work_s: float = 0.0


@attrs.define(eq=False)
class Host:
    """One start of a host."""

    ip: str
    state: broker.Broker
    # Attempt that each request waits for, by its number.
    running: dict[str, int] = attrs.Factory(dict)
    is_alive: bool = True


class Site(timeline.Timeline):
    """Hosts, replicas and callers."""

    def __init__(self, patience_s: float, rng: random.Random) -> None:
        """Starts hosts that have been up for long.

        Args:
            patience_s: How long a caller waits.
            rng: Draws how replicas read.
        """
        super().__init__(100.0)
        self.patience_s = patience_s
        self.rng = rng
        self.sent: dict[str, float] = {}
        self._jobs: dict[str, jobs.Job] = {}
        self.arrivals: list[retry_oracle.Arrival] = []
        # Requests that ended with the time that they had, and when they were
        # read.
        self.timed_out: list[tuple[str, float]] = []
        self.replicas = {
            i: Replica(i) for i in (f"app-{n}" for n in range(REPLICAS))
        }
        self.hosts = [
            self._start(f"10.1.0.{n}", -math.inf) for n in range(HOSTS)
        ]
        self._at(0.0, self._update)

    def _start(self, ip: str, since_s: float) -> Host:
        options = repeats.Options(
            sharing.RATIO, ALLOWANCE, sharing.WINDOW_S, since_s
        )
        seed = self.rng.randrange(1 << 30)
        state = broker.Broker("kl-hall", options, random.Random(seed), host=ip)
        state.configure(fleets.make_config(), self.now_s)
        state.set_host_count(HOSTS)
        state.replace_upstreams(self._make_entries(), self.now_s)
        return Host(ip, state)

    def _make_entries(self) -> dict[str, upstreams.Upstream]:
        """Returns the upstream list."""
        return {i: fleets.make_upstream(i) for i in self.replicas}

    def kill(self, numbers: Collection[int]) -> None:
        """Kills hosts, which start again at once and know nothing."""
        for number in numbers:
            self.hosts[number].is_alive = False
            self.hosts[number] = self._start(self.hosts[number].ip, math.inf)

    def play(self, seconds: float, rate: float) -> None:
        """Has callers send requests to all hosts in turn."""
        end_s = self.now_s + seconds
        while self.now_s + 1.0 / rate < end_s:
            self._run_until(self.now_s + 1.0 / rate)
            number = len(self.sent)
            self._arrive(f"r{number}", self.hosts[number % HOSTS])
        self._run_until(end_s)

    def _update(self) -> None:
        """Has each host tick and send its update to all others."""
        self._at(UPDATE_PERIOD_S, self._update)
        for host in self.hosts:
            self._apply(host, host.state.tick(self.now_s))
            own = host.state.retry_budgets
            spent, is_new = own.list_spent(self.now_s), own.is_new(self.now_s)
            slow = news.make_slowness(host.state, host.ip, False, self.now_s)
            for other in self.hosts:
                if other is not host:
                    other.state.retry_budgets.apply_peer_update(
                        host.ip, "kl-hall", spent, self.now_s, is_new
                    )
                    other.state.timeouts.apply_peer_update(
                        host.ip, "kl-hall", slow.slowest_s, self.now_s
                    )

    def _arrive(self, name: str, host: Host) -> None:
        self.sent[name] = self.now_s
        job = attrs.evolve(
            fleets.make_job(name, "idempotent", now_s=self.now_s),
            deadline_s=self.now_s + self.patience_s,
        )
        self._jobs[name] = job
        self._at(self.patience_s - MARGIN_S, self._expire, host, job)
        self._apply(host, host.state.arrive(job, self.now_s))

    def _expire(self, host: Host, job: jobs.Job) -> None:
        if host.is_alive and host.running.pop(job.id, None) is not None:
            self._apply(host, host.state.finish(job.id, self.now_s))

    def _apply(self, host: Host, effects: list[jobs.Effect]) -> None:
        host.state.take_notes()
        for effect in effects:
            if isinstance(effect, questions.Refuse):
                host.running.pop(effect.id, None)
            else:
                self._send(host, self._jobs[effect.id], effect)

    def _send(self, host: Host, job: jobs.Job, start: jobs.Start) -> None:
        host.running[job.id] = start.number
        replica = self.replicas[start.upstream.id]
        if not start.needs_check:
            self._write(host, job, start)
        elif self.now_s < replica.stopped_until_s and not replica.is_checkable:
            why = jobs.FailureKind.UNRESPONSIVE
            self._at(CHECK_TIMEOUT_S, self._fail, host, job, start, why)
        else:
            self._at(CHECK_S, self._write, host, job, start)

    def _write(self, host: Host, job: jobs.Job, start: jobs.Start) -> None:
        if not self._is_current(host, job, start):
            return
        left_s = min(job.deadline_s - self.now_s, start.handed_s)
        replica = self.replicas[start.upstream.id]
        delay_s = 0.0
        if self.rng.random() < replica.late_share:
            delay_s = self.rng.uniform(0.0, replica.late_s)
        self._at(delay_s, self._read, host, job, start, left_s)

    def _read(
        self, host: Host, job: jobs.Job, start: jobs.Start, left_s: float
    ) -> None:
        replica = self.replicas[start.upstream.id]
        if self.now_s < replica.stopped_until_s:
            delay_s = replica.stopped_until_s - self.now_s
            self._at(delay_s, self._read, host, job, start, left_s)
            return
        self.arrivals.append(
            retry_oracle.Arrival(job.id, self.now_s, replica.id, left_s)
        )
        if self.rng.random() < replica.refuse_share:
            self._fail(host, job, start, jobs.FailureKind.REFUSED)
        elif self.rng.random() < replica.reset_share:
            self._fail(host, job, start, jobs.FailureKind.CUT)
        else:
            self._work(host, job, start, left_s)

    def _work(
        self, host: Host, job: jobs.Job, start: jobs.Start, left_s: float
    ) -> None:
        longest_s = self.replicas[start.upstream.id].work_s
        work_s = WORK_S
        if longest_s:
            work_s = self.rng.uniform(MIN_WORK_S, longest_s)
        if work_s > left_s:
            self.timed_out.append((job.id, self.now_s))
        is_error = work_s > left_s
        self._at(min(work_s, left_s), self._answer, host, job, start, is_error)

    def _is_current(self, host: Host, job: jobs.Job, start: jobs.Start) -> bool:
        is_running = host.running.get(job.id) == start.number
        return host.is_alive and is_running

    def _fail(
        self,
        host: Host,
        job: jobs.Job,
        start: jobs.Start,
        why: jobs.FailureKind,
    ) -> None:
        if not self._is_current(host, job, start):
            return
        ender = ends.EndedBy.UPSTREAM
        if why is jobs.FailureKind.UNRESPONSIVE:
            ender = ends.EndedBy.HOST
        failure = jobs.Failure(job.id, why, "in the model", ended_by=ender)
        self._apply(host, host.state.fail(failure, self.now_s))

    def _answer(
        self, host: Host, job: jobs.Job, start: jobs.Start, is_error: bool
    ) -> None:
        if self._is_current(host, job, start):
            del host.running[job.id]
            host.state.record_answer_start(job.id, self.now_s, is_error)
            effects = host.state.finish(job.id, self.now_s, not is_error)
            self._apply(host, effects)

    def check(self) -> None:
        """Checks all rules on retries, and that few are ended too early."""
        window = sharing.find_worst_window(
            retry_oracle.list_retry_times(self.arrivals, self.sent),
            sorted(self.sent.values()),
            ALLOWANCE,
        )
        assert window.use <= 1.0, window
        limit = fleets.make_route("status").max_attempts
        assert not retry_oracle.count_over_limit(
            self.arrivals, self.sent, limit
        )
        late = retry_oracle.count(self.arrivals, self.sent, self.patience_s)
        assert late.is_allowed, late
        cut = retry_oracle.count_cut(
            self.arrivals, self.timed_out, self.sent, self.patience_s
        )
        assert cut.is_allowed, cut


class LateMachine(stateful.RuleBasedStateMachine):
    """Replicas read late, vary and fail, hosts are killed, loads change."""

    site: Site
    rate: float = 40.0

    @stateful.initialize(
        patience_s=st.sampled_from([1.0, 2.5, 20.0]),
        seed=st.integers(0, 99),
        part=st.sampled_from([0.0, 0.3, 0.8]),
    )
    def start(self, patience_s: float, seed: int, part: float) -> None:
        """Starts a site whose replicas fail most requests."""
        self.site = Site(patience_s, random.Random(seed))
        self.fail(0.75)
        self.vary_work(part)
        self.site.play(5.0, self.rate)

    @stateful.rule(share=st.sampled_from([0.2, 0.75, 1.0]))
    def fail(self, share: float) -> None:
        """All replicas reset so many of the requests that they read."""
        for replica in self.site.replicas.values():
            replica.reset_share = share

    @stateful.rule(
        names=st.sets(st.integers(0, REPLICAS - 1), min_size=1, max_size=2),
        seconds=st.sampled_from([0.5, 2.0, 5.0]),
        is_checkable=st.booleans(),
    )
    def stop(
        self, names: Collection[int], seconds: float, is_checkable: bool
    ) -> None:
        """Some replicas read nothing for a while."""
        for name in names:
            replica = self.site.replicas[f"app-{name}"]
            replica.stopped_until_s = self.site.now_s + seconds
            replica.is_checkable = is_checkable
        self.site.play(1.0, self.rate)

    @stateful.rule(
        share=st.sampled_from([0.0, 0.4]), late_s=st.sampled_from([1.0, 2.5])
    )
    def read_late(self, share: float, late_s: float) -> None:
        """Replicas read a part of the requests late."""
        for replica in self.site.replicas.values():
            replica.late_share = share
            replica.late_s = late_s

    @stateful.rule(share=st.sampled_from([0.0, 0.2, 0.75]))
    def refuse(self, share: float) -> None:
        """All replicas refuse so many of the requests that they read."""
        for replica in self.site.replicas.values():
            replica.refuse_share = share

    @stateful.rule(part=st.sampled_from([0.0, 0.3, 0.8]))
    def vary_work(self, part: float) -> None:
        """Requests take up to a part of the time that callers wait."""
        for replica in self.site.replicas.values():
            replica.work_s = part * self.site.patience_s

    @stateful.rule(numbers=st.sets(st.integers(0, HOSTS - 1), min_size=1))
    def kill(self, numbers: Collection[int]) -> None:
        """Some hosts are killed and start again."""
        self.site.kill(numbers)

    @stateful.rule(rate=st.sampled_from([10.0, 40.0, 100.0]))
    def change_load(self, rate: float) -> None:
        """Callers send more or fewer requests."""
        self.rate = rate

    @stateful.rule(seconds=st.sampled_from([2.0, 8.0]))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self.site.play(seconds, self.rate)

    def teardown(self) -> None:
        """Checks the whole history once all has been read."""
        if hasattr(self, "site"):
            for replica in self.site.replicas.values():
                replica.late_share = 0.0
            self.site.play(END_S, self.rate)
            self.site.check()
