"""Model of hosts and of engines that crash, without network or threads.

Engines crash a moment after they begin to run a fatal request, and restart some
seconds later. Hosts exchange the datagrams that they would send. Fatal requests
may arrive at any host; they have a fatal fingerprint, or a fatal segment in
their prompts.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Callable, Sequence
from typing import Final

import attrs

from egretspur import errors
from egretspur.admission import quarantine
from egretspur.catalog import upstreams
from egretspur.delivery import output as outputs
from egretspur.routing import broker, jobs, questions
from tests import fleets
from tests.routing import peers

# Time step of the model.
STEP_S: Final = 0.02

# Interval of the datagrams of a host.
UPDATE_PERIOD_S: Final = 0.25

# From the start of an attempt until its first event, or until its engine
# crashes.
RUN_S: Final = 0.1

# Duration of an undisturbed answer, unless a scenario says another one.
ANSWER_S: Final = 0.5

# Time from an engine's crash until it is removed from the list.
UNLIST_DELAY_S: Final = 2.0

# Time from an engine's crash until its restart.
RESTART_DELAY_S: Final = 4.0

# Time from the last crash that is allowed until the bound on further attempts
# applies.
SETTLE_S: Final = 3.0

# Layers of the engines of each data centre: two engines hold the first half,
# two the rest.
RANGES: Final = ("0-40", "0-40", "40-80", "40-80")

FATAL: Final = "fatal"

# Probes of an engine whose process stands still, or has ended.
SILENT: Final = upstreams.ProbeFailed("read timed out", is_connected=True)
REFUSED: Final = upstreams.ProbeFailed("refused", False, is_refused=True)


def make_doubt(name: str, has_output: bool) -> jobs.Failure:
    """Returns how a request has failed if its answer wasn't complete."""
    return jobs.Failure(
        name,
        jobs.FailureKind.CUT,
        "ended with its connection",
        has_output=has_output,
        has_head=True,
    )


@attrs.define
class Run:
    """An attempt in flight."""

    host: peers.Host
    job: jobs.Job
    start: jobs.Start
    began_s: float
    is_begun: bool = False
    output: outputs.AttemptOutput = attrs.Factory(outputs.AttemptOutput)


@attrs.frozen
class Begun:
    """A request that produced the first part of its answer."""

    at_s: float
    attempt: int


@attrs.define
class World:
    """Hosts, engines and the requests between them."""

    rng: random.Random
    now_s: float = 1.0
    hosts: list[peers.Host] = attrs.Factory(list)
    # Running engines by id; each start of an engine has its own.
    live: dict[str, upstreams.Upstream] = attrs.Factory(dict)
    # Scheduled calls.
    due: peers.Due = attrs.Factory(list)
    runs: dict[str, Run] = attrs.Factory(dict)
    # Requests without a decision yet, by id.
    waiting: dict[str, tuple[peers.Host, jobs.Job]] = attrs.Factory(dict)
    # When fatal requests reached an engine.
    reached_s: list[float] = attrs.Factory(list)
    # When engines crashed.
    crashed_s: list[float] = attrs.Factory(list)
    answered: set[str] = attrs.Factory(set)
    refused: dict[str, errors.Refusal] = attrs.Factory(dict)
    arrived: int = 0
    starts: int = 0
    # Whether a datagram between two hosts arrives.
    is_delivered: Callable[[peers.Host, peers.Host], bool] = lambda a, b: True
    # The quarantine as the store has it.
    stored: dict[str, quarantine.CrashWeights] = attrs.Factory(dict)
    # Whether fatal requests produce part of their answer before the crash.
    crashes_after_output: bool = False
    # Whether engines send the head of an answer before they crash.
    sends_head: bool = True
    # Prompt segments that crash engines.
    fatal_segments: set[str] = attrs.Factory(set)
    # Seconds for which fatal requests bring output before the crash.
    output_s: float = 0.0
    # Duration of an undisturbed answer, in seconds.
    answer_s: float = ANSWER_S
    # Whether the crash of an engine looks like the end of an answer.
    hides_crashes: bool = False
    # Time until which engines stand still, by id.
    still_until_s: dict[str, float] = attrs.Factory(dict)
    # Attempts by request, and when requests arrived and began to be answered.
    attempts: collections.Counter[str] = attrs.Factory(collections.Counter)
    arrived_s: dict[str, float] = attrs.Factory(dict)
    begun: dict[str, Begun] = attrs.Factory(dict)

    def add_hosts(self, count: int) -> None:
        """Starts hosts and engines in three data centres."""
        places = sorted(fleets.DATA_CENTRES)
        for i in range(count):
            self.add_host(places[i % len(places)])
        for place in places:
            for layers in RANGES:
                self.start_engine(place, layers)

    def add_host(self, place: str) -> peers.Host:
        """Starts a host that knows only the list and the store."""
        state = broker.Broker(place, fleets.BUDGET, random.Random(len(place)))
        state.configure(fleets.make_config())
        for entry in self.live.values():
            upstreams.put_entry(state.fleet.roster, entry, self.now_s)
        host = peers.Host(f"10.0.0.{len(self.hosts) + 1}", place, state)
        self.hosts.append(host)
        self.read_store(host)
        return host

    def read_store(self, host: peers.Host) -> None:
        """Has a host read the quarantine from the store."""
        self.apply(host, host.state.restore_quarantine(self.stored, self.now_s))

    def restart(self, host: peers.Host) -> peers.Host:
        """Restarts a host: it loses its state and its requests."""
        self.hosts.remove(host)
        for name, run in list(self.runs.items()):
            if run.host is host:
                del self.runs[name]
        for name, (owner, _) in list(self.waiting.items()):
            if owner is host:
                del self.waiting[name]
        new = self.add_host(host.data_centre)
        new.ip = host.ip
        return new

    def count_held(self) -> list[int]:
        """Returns how many requests each host has in quarantine."""
        return [len(h.state.quarantine.list_quarantined()) for h in self.hosts]

    def start_engine(self, place: str, layers: str) -> None:
        """Starts an engine and lists it."""
        self.starts += 1
        name = f"a100-{self.starts}"
        entry = fleets.make_upstream(name, layers, place)
        self.live[entry.id] = entry
        self._list(entry.name, entry)

    def crash_engine(self, upstream_id: str) -> None:
        """Crashes an engine; all attempts on it are cut."""
        if upstream_id in self.live:
            self.crash_engines([upstream_id])

    def crash_engines(self, upstream_ids: Sequence[str]) -> None:
        """Crashes engines at the same moment."""
        entries = [self.live.pop(i) for i in upstream_ids]
        self.crashed_s += [self.now_s] * len(entries)
        for name, run in list(self.runs.items()):
            if run.start.upstream in entries:
                self._cut(name, run)
        for entry in entries:
            self._schedule_restart(entry)

    def _schedule_restart(self, entry: upstreams.Upstream) -> None:
        assert entry.layers is not None
        layers = f"{entry.layers.first}-{entry.layers.last}"
        self.schedule(UNLIST_DELAY_S, lambda: self._unlist(entry))
        self.schedule(
            RESTART_DELAY_S,
            lambda: self.start_engine(entry.data_centre, layers),
        )

    def _unlist(self, entry: upstreams.Upstream) -> None:
        self._list(entry.name, None)

    def _list(self, name: str, entry: upstreams.Upstream | None) -> None:
        """Changes the entry of an engine on the list."""
        for host in self.hosts:
            changed = host.state.change_upstreams([(name, entry)], self.now_s)
            self.apply(host, changed)

    def schedule(self, seconds: float, work: Callable[[], None]) -> None:
        """Schedules a call."""
        self.due.append((self.now_s + seconds, work))

    def is_fatal(self, job: jobs.Job) -> bool:
        """Returns whether a request crashes the engines that run it."""
        return job.fingerprint.startswith(
            FATAL
        ) or not self.fatal_segments.isdisjoint(job.segments)

    def send(
        self,
        host: peers.Host,
        fingerprint: str,
        id_: str = "",
        segments: tuple[str, ...] = (),
    ) -> str:
        """Sends a request; returns its id."""
        self.arrived += 1
        name = id_ or f"r{self.arrived}"
        job = attrs.evolve(
            fleets.make_job(name, now_s=self.now_s),
            fingerprint=fingerprint,
            segments=segments,
        )
        self.arrived_s[name] = self.now_s
        self.waiting[name] = (host, job)
        self.apply(host, host.state.arrive(job, self.now_s))
        return name

    def apply(self, host: peers.Host, effects: list[jobs.Effect]) -> None:
        """Applies the decisions of a host."""
        for effect in effects:
            owner, job = self.waiting.pop(effect.id)
            assert owner is host
            if isinstance(effect, questions.Refuse):
                self.refused[effect.id] = effect.refusal
                continue
            self._begin(host, job, effect)

    def _begin(
        self, host: peers.Host, job: jobs.Job, start: jobs.Start
    ) -> None:
        run = Run(host, job, start, self.now_s)
        engine = start.upstream.id
        self.runs[job.id] = run
        self.attempts[job.id] += 1
        if engine not in self.live:
            failure = jobs.Failure(
                job.id, jobs.FailureKind.UNREACHABLE, "no listener"
            )
            self._fail(job.id, run, failure)
        elif self.is_fatal(job):
            self.reached_s.append(self.now_s)
            run.is_begun = self.crashes_after_output
            if self.output_s:
                self.schedule(RUN_S, lambda: self._begin_output(run))
            self.schedule(
                RUN_S + self.output_s, lambda: self.crash_engine(engine)
            )

    def _begin_output(self, run: Run) -> None:
        """Has an attempt bring the first part of its answer."""
        if self.runs.get(run.job.id) is not run:
            return
        run.is_begun = True
        self.begun.setdefault(
            run.job.id, Begun(self.now_s, self.attempts[run.job.id])
        )
        run.host.state.record_answer_start(run.job.id, self.now_s)
        run.output.note(self.now_s)

    def _note_output(self, run: Run, is_complete: bool = False) -> None:
        """Has a begun attempt bring more output."""
        is_new = run.output.note(self.now_s)
        if is_new or (is_complete and run.output.note_end()):
            run.host.state.record_established(run.job.id, self.now_s)

    def _cut(self, name: str, run: Run) -> None:
        """Cuts an attempt whose engine crashed."""
        if self.hides_crashes and run.is_begun:
            self._end(name, run)
            return
        reason = f"{run.start.upstream.id}: connection broken"
        failure = jobs.Failure(
            name,
            jobs.FailureKind.CUT,
            reason,
            is_begun=run.is_begun,
            has_output=run.is_begun,
            has_head=run.is_begun
            or (self.sends_head and self.is_fatal(run.job)),
            is_established=run.output.is_established,
        )
        self._fail(name, run, failure)

    def _end(self, name: str, run: Run) -> None:
        """Ends an answer whose end only its connection tells."""
        del self.runs[name]
        ended = run.host.state.finish(
            name, self.now_s, True, make_doubt(name, has_output=True)
        )
        self.apply(run.host, ended)

    def _fail(self, name: str, run: Run, failure: jobs.Failure) -> None:
        del self.runs[name]
        self.waiting[name] = (run.host, run.job)
        self.apply(run.host, run.host.state.fail(failure, self.now_s))

    def play(self, seconds: float) -> None:
        """Runs the model for some seconds."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += STEP_S
            peers.run_due(self.due, self.now_s)
            self._answer()
            for host in list(self.hosts):
                self.apply(host, host.state.tick(self.now_s))
                self._probe(host)
                self._save(host)
                if self.now_s >= host.next_update_s:
                    host.next_update_s = self.now_s + UPDATE_PERIOD_S
                    peers.send_update(
                        host, self.hosts, self.is_delivered, self.now_s
                    )

    def _save(self, host: peers.Host) -> None:
        for change in host.state.take_unsaved():
            self.stored[change.fingerprint] = change.crashes
            for other in self.hosts:
                self.read_store(other)

    def _answer(self) -> None:
        for name, run in list(self.runs.items()):
            if run.is_begun:
                self._note_output(run)
            if self.is_fatal(run.job):
                continue
            age_s = self.now_s - run.began_s
            if age_s >= RUN_S and not run.is_begun:
                self._begin_output(run)
            if age_s >= self.answer_s:
                del self.runs[name]
                self.answered.add(name)
                self._note_output(run, is_complete=True)
                self.finish(run.host, name)

    def finish(self, host: peers.Host, name: str) -> None:
        """Ends a request that was answered completely."""
        self.apply(host, host.state.finish(name, self.now_s, True))

    def _probe(self, host: peers.Host) -> None:
        for entry in host.state.fleet.take_probes(self.now_s):
            report: upstreams.EngineReport | upstreams.ProbeFailed = REFUSED
            if entry.id in self.live:
                report = upstreams.PLAIN_REPORT
            if self.now_s < self.still_until_s.get(entry.id, 0.0):
                report = SILENT
            host.state.fleet.apply_report(entry.id, report, self.now_s)

    def count_late(self, allowed: int = 3) -> int:
        """Returns how often fatal requests reached engines past the bound.

        Args:
            allowed: Crashes after which the bound applies.
        """
        if len(self.crashed_s) < allowed:
            return 0
        bound_s = self.crashed_s[allowed - 1] + SETTLE_S
        return sum(1 for t in self.reached_s if t > bound_s)
