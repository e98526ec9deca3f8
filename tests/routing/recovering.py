"""Hosts before engines that stand still, and replicas that fail: no network.

Extends the model of `tests.routing.late` by engines, streams and probes. The
oracle knows when engines ran, and which streams were refused.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from typing import Final

from hypothesis import stateful
from hypothesis import strategies as st

from egretspur.catalog import upstreams
from egretspur.routing import jobs, questions
from tests import fleets
from tests.routing import late

# Engines by the layers that they hold; a stream needs all of them.
ENGINES: Final = {"a100-0": "0-25", "a100-1": "25-50", "a100-2": "50-80"}

# Interval of ticks and probes; how long probes take that are answered, and that
# are not.
TICK_S: Final = 0.05
PROBE_S: Final = 0.002
PROBE_TIMEOUT_S: Final = 0.5

# How long a stream takes.
STREAM_S: Final = 0.3

# Time after which hosts use engines that run again: twice the longest interval
# between two probes. How long streams are then sent.
RECOVERED_S: Final = 3.2
SENT_S: Final = 4.0

# Streams a second.
STREAMS_PER_S: Final = 10.0


class Site(late.Site):
    """Hosts, engines, replicas and callers."""

    def __init__(self, rng: random.Random) -> None:
        """Starts hosts; all engines run."""
        # By engine.
        self.stopped_until_s: dict[str, float] = {}
        self.refused: set[str] = set()
        self._streams: dict[str, jobs.Job] = {}
        super().__init__(1.0, rng)
        self._at(TICK_S, self._probe)
        self._at(0.0, self._send_stream)

    def _make_entries(self) -> dict[str, upstreams.Upstream]:
        engines = {
            i: fleets.make_upstream(i, held) for i, held in ENGINES.items()
        }
        return {**super()._make_entries(), **engines}

    def stop(self, engines: Collection[str], seconds: float) -> None:
        """Has engines stand still; hosts learn it from their streams."""
        for engine in engines:
            self.stopped_until_s[engine] = self.now_s + seconds
            for host in self.hosts:
                host.state.fleet.health.mark_down(engine, self.now_s)

    def list_late_refusals(self, since_s: float) -> list[str]:
        """Returns the refused streams that were sent after some time."""
        return [i for i in self.refused if self._streams[i].arrived_s > since_s]

    def _is_stopped(self, engine: str) -> bool:
        return self.now_s < self.stopped_until_s.get(engine, 0.0)

    def _probe(self) -> None:
        """Has each host tick and probe what is due."""
        self._at(TICK_S, self._probe)
        for host in self.hosts:
            self._apply(host, host.state.tick(self.now_s))
            for entry in host.state.fleet.take_probes(self.now_s):
                is_ok = not self._is_stopped(entry.id)
                delay_s = PROBE_S if is_ok else PROBE_TIMEOUT_S
                self._at(delay_s, self._end_probe, host, entry.id, is_ok)

    def _end_probe(self, host: late.Host, name: str, is_ok: bool) -> None:
        why = None
        if not is_ok:
            why = upstreams.ProbeFailed("read timed out", is_connected=True)
        host.state.fleet.record_probe(name, is_ok, 1.0, self.now_s, why)

    def _send_stream(self) -> None:
        self._at(1.0 / STREAMS_PER_S, self._send_stream)
        number = len(self._streams)
        host = self.hosts[number % late.HOSTS]
        job = fleets.make_job(f"s{number}", now_s=self.now_s)
        self._streams[job.id] = job
        self._apply(host, host.state.arrive(job, self.now_s))

    def _apply(self, host: late.Host, effects: list[jobs.Effect]) -> None:
        self.refused |= {
            e.id
            for e in effects
            if isinstance(e, questions.Refuse) and e.id in self._streams
        }
        super()._apply(
            host,
            [
                e
                for e in effects
                if e.id not in self._streams or not self._run_stream(host, e)
            ],
        )

    def _run_stream(self, host: late.Host, effect: jobs.Effect) -> bool:
        """Runs a stream that was started; returns whether it was."""
        if not isinstance(effect, jobs.Start):
            return False
        engines = [p.id for p in effect.parts]
        ends_s = [self.stopped_until_s.get(i, 0.0) for i in engines]
        delay_s = max(0.0, *(e - self.now_s for e in ends_s)) + STREAM_S
        self._at(delay_s, self._end_stream, host, effect.id)
        return True

    def _end_stream(self, host: late.Host, name: str) -> None:
        host.state.record_answer_start(name, self.now_s)
        self._apply(host, host.state.finish(name, self.now_s, True))


class RecoveringMachine(stateful.RuleBasedStateMachine):
    """Engines stand still and go on while replicas fail requests."""

    site: Site
    rate: float = 40.0

    @stateful.initialize(seed=st.integers(0, 99))
    def start(self, seed: int) -> None:
        """Starts a site whose replicas fail most requests."""
        self.site = Site(random.Random(seed))
        self.fail(0.75)
        self.site.play(2.0, self.rate)

    @stateful.rule(share=st.sampled_from([0.0, 0.2, 0.75, 1.0]))
    def fail(self, share: float) -> None:
        """All replicas reset so many of the requests that they read."""
        for replica in self.site.replicas.values():
            replica.reset_share = share

    @stateful.rule(share=st.sampled_from([0.0, 0.2, 0.75]))
    def refuse(self, share: float) -> None:
        """All replicas refuse so many of the requests that they read."""
        for replica in self.site.replicas.values():
            replica.refuse_share = share

    @stateful.rule(
        engines=st.sets(st.sampled_from(sorted(ENGINES)), min_size=1),
        seconds=st.sampled_from([0.5, 2.0, 5.0]),
    )
    def stop(self, engines: Collection[str], seconds: float) -> None:
        """Some engines stand still for a while."""
        self.site.stop(engines, seconds)
        self.site.play(1.0, self.rate)

    @stateful.rule(numbers=st.sets(st.integers(0, late.HOSTS - 1), min_size=1))
    def kill(self, numbers: Collection[int]) -> None:
        """Some hosts are killed and start again."""
        self.site.kill(numbers)

    @stateful.rule(rate=st.sampled_from([10.0, 40.0, 100.0]))
    def change_load(self, rate: float) -> None:
        """Callers send more or fewer plain requests."""
        self.rate = rate

    @stateful.rule(seconds=st.sampled_from([1.0, 4.0]))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self.site.play(seconds, self.rate)

    def teardown(self) -> None:
        """Checks that no stream is refused once engines have recovered."""
        if not hasattr(self, "site"):
            return
        site = self.site
        left_s = max(site.stopped_until_s.values(), default=0.0) - site.now_s
        site.play(max(0.0, left_s) + RECOVERED_S, self.rate)
        since_s = site.now_s
        site.play(SENT_S, self.rate)
        assert not site.list_late_refusals(since_s)
