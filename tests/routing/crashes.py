"""Hosts before engines that end under a request, without network or threads.

Engines end a moment after they begin to run a request that crashes them, and
another start of each is back some seconds later. Hosts tell each other by the
datagrams that they would send. Whoever sends the request may choose any host.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

import attrs

from egretspur import errors
from egretspur.admission import quarantine
from egretspur.catalog import upstreams
from egretspur.routing import broker, jobs, questions
from tests import fleets
from tests.routing import peers

# Seconds between two steps of the model, two datagrams of a host, and from the
# start of a run to the end of its engine.
STEP_S: Final = 0.02
NEWS_S: Final = 0.25
RUN_S: Final = 0.1

# An answer that nothing disturbs takes so long, in seconds.
ANSWER_S: Final = 0.5

# An engine that ended is off the list after the first, and back after the
# second time, in seconds.
LISTED_S: Final = 2.0
AWAY_S: Final = 4.0

# Hosts are held to the bound so long after the third end, in seconds.
CONTACT_S: Final = 3.0

# Whole chains of a data centre: two engines hold the first half of the layers,
# two the rest.
RANGES: Final = ("0-40", "0-40", "40-80", "40-80")

FATAL: Final = "fatal"


@attrs.define
class Run:
    """An attempt under way."""

    host: peers.Host
    job: jobs.Job
    start: jobs.Start
    began_s: float
    is_begun: bool = False


@attrs.define
class World:
    """Hosts, engines and the requests between them."""

    rng: random.Random
    now_s: float = 1.0
    hosts: list[peers.Host] = attrs.Factory(list)
    # Engines that live, by id of their start.
    live: dict[str, upstreams.Upstream] = attrs.Factory(dict)
    # What is due: time, and what is to be done.
    due: peers.Due = attrs.Factory(list)
    runs: dict[str, Run] = attrs.Factory(dict)
    # Requests that wait for a decision, by id.
    waiting: dict[str, tuple[peers.Host, jobs.Job]] = attrs.Factory(dict)
    # When requests that crash engines reached one, and when one ended.
    reached_s: list[float] = attrs.Factory(list)
    ended_s: list[float] = attrs.Factory(list)
    answered: set[str] = attrs.Factory(set)
    refused: dict[str, errors.Refusal] = attrs.Factory(dict)
    arrived: int = 0
    starts: int = 0
    # Whether a datagram between two hosts arrives.
    is_heard: Callable[[peers.Host, peers.Host], bool] = lambda a, b: True
    # Ends of requests as the store has them.
    stored: dict[str, quarantine.Ends] = attrs.Factory(dict)
    # Runs of which requests bring a part of their answer before engines end.
    has_late_ends: bool = False

    def add_hosts(self, count: int) -> None:
        """Starts hosts and engines in three data centres."""
        places = sorted(fleets.DATA_CENTRES)
        for i in range(count):
            self.add_host(places[i % len(places)])
        for place in places:
            for layers in RANGES:
                self.start_engine(place, layers)

    def add_host(self, place: str) -> peers.Host:
        """Starts a host that knows the list and nothing else."""
        state = broker.Broker(place, fleets.BUDGET, random.Random(len(place)))
        state.configure(fleets.make_config())
        for entry in self.live.values():
            upstreams.put_entry(state.fleet.roster, entry, self.now_s)
        host = peers.Host(f"10.0.0.{len(self.hosts) + 1}", place, state)
        self.hosts.append(host)
        self.read_store(host)
        return host

    def read_store(self, host: peers.Host) -> None:
        """Has a host read the requests in quarantine."""
        self.take(host, host.state.restore(self.stored, self.now_s))

    def restart(self, host: peers.Host) -> peers.Host:
        """Puts a host that knows nothing in the place of another one."""
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
        return [len(h.state.quarantine.list_held()) for h in self.hosts]

    def start_engine(self, place: str, layers: str) -> None:
        """Starts an engine and lists it."""
        self.starts += 1
        name = f"a100-{self.starts}"
        entry = fleets.make_upstream(name, layers, place)
        self.live[entry.id] = entry
        for host in self.hosts:
            host.state.change_list([(entry.name, entry)], self.now_s)

    def end_engine(self, upstream_id: str) -> None:
        """Ends an engine with all that it runs."""
        entry = self.live.pop(upstream_id, None)
        if entry is None:
            return
        self.ended_s.append(self.now_s)
        assert entry.layers is not None
        layers = f"{entry.layers.first}-{entry.layers.last}"
        for name, run in list(self.runs.items()):
            if run.start.upstream.id == upstream_id:
                self._lose(name, run)
        self.after(LISTED_S, lambda: self._unlist(entry))
        self.after(AWAY_S, lambda: self.start_engine(entry.data_centre, layers))

    def _unlist(self, entry: upstreams.Upstream) -> None:
        for host in self.hosts:
            host.state.change_list([(entry.name, None)], self.now_s)

    def after(self, seconds: float, work: Callable[[], None]) -> None:
        """Has something done later."""
        self.due.append((self.now_s + seconds, work))

    def send(self, host: peers.Host, fingerprint: str, id_: str = "") -> str:
        """Sends a request; returns its id."""
        self.arrived += 1
        name = id_ or f"r{self.arrived}"
        job = attrs.evolve(
            fleets.make_job(name, now_s=self.now_s), fingerprint=fingerprint
        )
        self.waiting[name] = (host, job)
        self.take(host, host.state.arrive(job, self.now_s))
        return name

    def take(self, host: peers.Host, effects: list[jobs.Effect]) -> None:
        """Runs what a host decided."""
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
        if engine not in self.live:
            failure = jobs.Failure(job.id, jobs.Why.UNREACHABLE, "no listener")
            self._fail(job.id, run, failure)
        elif job.fingerprint.startswith(FATAL):
            self.reached_s.append(self.now_s)
            self.after(RUN_S, lambda: self.end_engine(engine))
            run.is_begun = self.has_late_ends

    def _lose(self, name: str, run: Run) -> None:
        """Takes that an attempt's engine ended."""
        reason = f"{run.start.upstream.id}: connection broken"
        failure = jobs.Failure(
            name,
            jobs.Why.CUT,
            reason,
            is_begun=run.is_begun,
            has_brought=run.is_begun,
        )
        self._fail(name, run, failure)

    def _fail(self, name: str, run: Run, failure: jobs.Failure) -> None:
        del self.runs[name]
        self.waiting[name] = (run.host, run.job)
        self.take(run.host, run.host.state.fail(failure, self.now_s))

    def play(self, seconds: float) -> None:
        """Lets time pass."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += STEP_S
            peers.do_due(self.due, self.now_s)
            self._answer()
            for host in list(self.hosts):
                self.take(host, host.state.tick(self.now_s))
                self._probe(host)
                self._save(host)
                if self.now_s >= host.next_news_s:
                    host.next_news_s = self.now_s + NEWS_S
                    peers.tell(host, self.hosts, self.is_heard, self.now_s)

    def _save(self, host: peers.Host) -> None:
        for change in host.state.take_unsaved():
            self.stored[change.fingerprint] = change.ends
            for other in self.hosts:
                self.read_store(other)

    def _answer(self) -> None:
        for name, run in list(self.runs.items()):
            if run.job.fingerprint.startswith(FATAL):
                continue
            age_s = self.now_s - run.began_s
            if age_s >= RUN_S and not run.is_begun:
                run.is_begun = True
                run.host.state.note_answer(name, self.now_s)
            if age_s >= ANSWER_S:
                del self.runs[name]
                self.answered.add(name)
                self.finish(run.host, name)

    def finish(self, host: peers.Host, name: str) -> None:
        """Ends a request whose answer its caller has."""
        self.take(host, host.state.finish(name, self.now_s, True))

    def _probe(self, host: peers.Host) -> None:
        for entry in host.state.fleet.take_probes(self.now_s):
            report = upstreams.PLAIN_REPORT if entry.id in self.live else None
            host.state.fleet.note_report(entry.id, report, self.now_s)

    def count_late(self) -> int:
        """Returns how often engines were reached after the bound began."""
        if len(self.ended_s) < 3:
            return 0
        bound_s = self.ended_s[2] + CONTACT_S
        return sum(1 for t in self.reached_s if t > bound_s)
