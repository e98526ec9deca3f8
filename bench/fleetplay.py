"""Simulates a day's load on modelled engines with the router's own decisions.

Each data centre runs the product's broker, layer planning, admission and path
search; the engines are modelled by `bench.passes`. A day consists of traffic
by data centre and a list of faults.
"""

from __future__ import annotations

import functools
import math
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Final

import attrs

from bench import passes
from egretspur import mechanisms
from egretspur.admission import repeats, room
from egretspur.catalog import config, upstreams
from egretspur.placement import ranges
from egretspur.routing import (
    broker,
    cards,
    fleet,
    jobs,
    links,
    memory,
    paths,
    questions,
    returns,
    search,
)

# An answer is late if its first event or a gap between events takes longer.
OBJECTIVE_S: Final = 0.5
GAP_S: Final = 0.2

# Weight of a late answer; a prompt one counts 1.
LATE_WEIGHT: Final = 0.26

# From an engine's crash until its requests are rerouted.
CRASH_DETECTION_S: Final = 0.4

# From an engine's crash until its layers are planned again.
REPLAN_DELAY_S: Final = 0.9

# Callers give up after this time without an event.
CALLER_TIMEOUT_S: Final = 2.0

TICK_S: Final = 0.05
PEER_UPDATE_PERIOD_S: Final = 0.25


@attrs.frozen
class Policy:
    """The parameters that a comparison varies."""

    name: str
    # Minimum key-value capacity per layer of a layout, in tokens, best first.
    kv_tokens_levels: tuple[float, ...] = ranges.KV_TOKENS_LEVELS
    # Whether layers are spread evenly over all engines, the baseline.
    is_even: bool = False
    # Whether a crashed engine's requests are rerouted; else they are resumed.
    is_rerouting: bool = True
    # Whether the faster of two random paths is chosen, not the cheapest of all.
    is_random: bool = False
    # Bounds of the delay after which a refused caller retries, once; each
    # delay is drawn between the two.
    retry_after_s: tuple[float, float] = returns.UNKNOWN_RATE_DELAY_S
    # Decision mechanisms that the hosts use.
    using: mechanisms.Mechanisms = mechanisms.ALL


@attrs.frozen
class Fault:
    """A fault of engines, or a burst of traffic."""

    # One of: crash, slow, burst, leave.
    kind: str
    at_s: float
    for_s: float = 5.0
    # Data centre; empty for all of them.
    data_centre: str = ""
    # Number of engines, drawn from those with requests.
    count: int = 1
    # Factor on the traffic of a burst, or on a slow engine's pass times.
    factor: float = 1.0
    # Whether the engine never restarts.
    is_permanent: bool = False


@attrs.frozen
class Day:
    """Traffic and faults of one simulated day."""

    name: str
    # Requests per second by data centre.
    rates: Mapping[str, float]
    faults: tuple[Fault, ...] = ()
    length_s: float = 34.0
    seed: int = 1


@attrs.define
class Outcome:
    """Counts of requests by result, and of preemptions."""

    arrived: int = 0
    prompt: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    preempted: int = 0

    @property
    def worth(self) -> float:
        """Weighted share of requests that were answered, from 0 to 1."""
        return (self.prompt + LATE_WEIGHT * self.late) / max(1, self.arrived)


@attrs.define(eq=False)
class _Request:
    job: jobs.Job
    data_centre: str
    prompt_tokens: int
    answer_tokens: int
    run: passes.Run | None = None
    written: int = 0
    first_s: float = 0.0
    last_s: float = 0.0
    gap_s: float = 0.0
    is_over: bool = False
    # Whether it was refused before.
    is_retry: bool = False


class RandomSearch(search.Search):
    """Chooses the faster of two random paths: the baseline of path search."""

    def __init__(self, state: fleet.Fleet, rng: random.Random) -> None:
        load = links.Links(state.data_centre, rng)
        super().__init__(state, mechanisms.ALL, rng, load)
        self._home = state.data_centre
        self._draws = rng

    def choose(
        self,
        job: jobs.Job,
        spec: config.EngineSpec,
        candidates: cards.Candidates,
        now_s: float,
    ) -> tuple[paths.Part, ...] | None:
        """See `search.Search.choose`."""
        for near in (candidates.get(self._home), candidates.list_all()):
            drawn = [
                d
                for _ in range(2)
                if (d := self._draw(near, spec.layers, job.tokens))
            ]
            if drawn:
                return min(drawn, key=lambda d: paths.compute_path_s(d, near))
        return None

    def _draw(
        self, cards: Sequence[paths.Candidate], layers: int, tokens: float
    ) -> tuple[paths.Part, ...]:
        """Returns a random path of engines with capacity, or an empty one."""
        parts: list[paths.Part] = []
        at = 0
        while at < layers:
            fitting = [
                c
                for c in cards
                if c.first <= at < c.last
                and (c.last - at) * tokens <= c.free
                and c.id not in {p.id for p in parts}
            ]
            if not fitting or len(parts) == paths.MAX_PARTS:
                return ()
            card = self._draws.choice(fitting)
            parts.append(paths.Part(card.id, card.address, at, card.last))
            at = card.last
        return tuple(parts)


class Simulation:
    """A simulation of one day under one policy."""

    def __init__(
        self,
        spec: config.EngineSpec,
        kinds: Mapping[str, Mapping[str, int]],
        day: Day,
        policy: Policy,
    ) -> None:
        """Sets up the engines and the brokers.

        Args:
            spec: Sizes and speeds of the engines.
            kinds: Engines by data centre and accelerator.
            day: Traffic and faults.
            policy: Parameters under comparison.
        """
        self._spec = spec
        self._day = day
        self._policy = policy
        self._rng = random.Random(day.seed)
        self._timeline = passes.Timeline()
        self._engines = passes.Engines(spec, self._timeline)
        for place, counts in kinds.items():
            for kind, count in counts.items():
                for i in range(count):
                    self._engines.add(
                        passes.Engine(
                            f"{place}/{kind}-{i}",
                            place,
                            spec.accelerators[kind],
                        )
                    )
        options = repeats.Options(0.2, 200.0, 10.0, -math.inf)
        self._brokers = {
            place: broker.Broker(
                place, options, random.Random(day.seed), policy.using
            )
            for place in kinds
        }
        if policy.is_random:
            for state in self._brokers.values():
                state.search = RandomSearch(state.fleet, self._rng)
        self._requests: dict[str, _Request] = {}
        self._loading: dict[str, ranges.Engine] = {}
        self._dead_since_s: dict[str, float] = {}
        self._outcome = Outcome()

    def run(self) -> Outcome:
        """Runs the simulation and returns its counts."""
        cfg = self._make_config()
        for place, state in self._brokers.items():
            state.configure(cfg)
            state.retry_budgets.hosts = 8
            if self._policy.is_even:
                self._assign_evenly(place)
            else:
                self._plan(place, load_factor=0.0)
                self._plan(place, load_factor=0.0)
        self._list_engines()
        for place, rate in self._day.rates.items():
            self._schedule_arrival(place, rate)
        for fault in self._day.faults:
            self._timeline.schedule(fault.at_s, self._make_fault(fault))
        self._timeline.schedule(TICK_S, self._tick)
        self._timeline.schedule(PEER_UPDATE_PERIOD_S, self._exchange)
        # Requests that arrive within the day may end after it.
        self._timeline.run(self._day.length_s + 20.0)
        for req in list(self._requests.values()):
            self._close(req, "failed")
        self._outcome.preempted = sum(
            e.preempted for e in self._engines.engines.values()
        )
        return self._outcome

    # Layers.

    def _plan(self, place: str, load_factor: float = 1.0) -> None:
        """Plans a data centre's layers and starts the loads that it orders."""
        engines, elsewhere = [], []
        for engine in self._engines.engines.values():
            if self._is_known_dead(engine.id):
                continue
            held = upstreams.Layers(*engine.held) if engine.held else None
            loading = self._loading.get(engine.id)
            if engine.data_centre == place:
                engines.append(
                    loading
                    or ranges.Engine(
                        engine.id,
                        engine.accelerator,
                        held,
                        is_idle=not engine.resident,
                    )
                )
            elif held:
                elsewhere.append(held)
        orders = ranges.plan_orders(
            engines, self._spec, elsewhere, self._policy.kv_tokens_levels
        )
        for engine_id, layers in orders.items():
            self._load(engine_id, layers, load_factor)

    def _load(
        self, engine_id: str, layers: upstreams.Layers, load_factor: float
    ) -> None:
        engine = self._engines.engines[engine_id]
        before = range(*engine.held) if engine.held else range(0)
        new = sum(
            1 for i in range(layers.first, layers.last) if i not in before
        )
        load_s = load_factor * self._spec.load_s * new / self._spec.layers
        self._loading[engine_id] = ranges.Engine(
            engine_id, engine.accelerator, layers
        )

        def finish() -> None:
            engine.held = (layers.first, layers.last)
            self._loading.pop(engine_id, None)
            self._list_engines()

        if load_s:
            self._timeline.schedule(load_s, finish)
        else:
            finish()

    def _assign_evenly(self, place: str) -> None:
        """Spreads the layers over all engines by memory; the baseline."""
        engines = [
            e for e in self._engines.engines.values() if e.data_centre == place
        ]
        total = sum(e.accelerator.memory_bytes for e in engines)
        at = 0.0
        for engine in engines:
            share = engine.accelerator.memory_bytes / total
            first, at = round(at), at + share * self._spec.layers
            if round(at) > first:
                engine.held = (first, round(at))

    def _list_engines(self) -> None:
        """Puts the live engines into each broker's roster."""
        for state in self._brokers.values():
            for engine in self._engines.engines.values():
                if engine.id in self._dead_since_s:
                    continue
                held = upstreams.Layers(*engine.held) if engine.held else None
                entry = upstreams.Upstream(
                    engine.id,
                    "llm",
                    engine.id,
                    engine.data_centre,
                    False,
                    self._spec.slots,
                    engine.accelerator.name,
                    held,
                )
                upstreams.put_entry(
                    state.fleet.roster, entry, self._timeline.now_s
                )

    def _is_known_dead(self, engine_id: str) -> bool:
        since_s = self._dead_since_s.get(engine_id)
        return (
            since_s is not None
            and self._timeline.now_s - since_s > REPLAN_DELAY_S
        )

    # Traffic.

    def _schedule_arrival(self, place: str, rate: float) -> None:
        now_s = self._timeline.now_s
        factor = 1.0
        for fault in self._day.faults:
            is_active = fault.at_s <= now_s < fault.at_s + fault.for_s
            if fault.kind == "burst" and is_active:
                factor *= fault.factor
        pause_s = self._rng.expovariate(rate * factor)
        if now_s + pause_s > self._day.length_s:
            return

        def act() -> None:
            self._arrive(place)
            self._schedule_arrival(place, rate)

        self._timeline.schedule(pause_s, act)

    def _arrive(self, place: str) -> None:
        now_s = self._timeline.now_s
        prompt = min(2300, int(40 + self._rng.lognormvariate(6.3, 0.8)))
        answer = max(3, min(591, int(self._rng.expovariate(1 / 203))))
        hint = max(3, int(answer * self._rng.lognormvariate(0.0, 0.5)))
        tokens = room.estimate_tokens(
            prompt, 591, hint, self._spec.typical_answer_tokens
        )
        self._outcome.arrived += 1
        self._submit(
            _Request(
                self._make_job(f"r{self._outcome.arrived}", tokens),
                place,
                prompt,
                answer,
                last_s=now_s,
            )
        )

    def _make_job(self, name: str, tokens: float) -> jobs.Job:
        now_s = self._timeline.now_s
        return jobs.Job(
            name,
            _ROUTE,
            "llm",
            "w",
            1,
            tokens,
            now_s,
            now_s + _ROUTE.timeout_s,
        )

    def _submit(self, req: _Request) -> None:
        self._requests[req.job.id] = req
        state = self._brokers[req.data_centre]
        self._apply_effects(
            req.data_centre, state.arrive(req.job, self._timeline.now_s)
        )

    def _retry(self, req: _Request) -> None:
        """Submits a refused request again, with its first arrival time."""
        job = self._make_job(f"{req.job.id}b", req.job.tokens)
        again = _Request(
            attrs.evolve(job, arrived_s=req.job.arrived_s),
            req.data_centre,
            req.prompt_tokens,
            req.answer_tokens,
            last_s=self._timeline.now_s,
            is_retry=True,
        )
        self._submit(again)

    def _apply_effects(
        self, place: str, effects: Sequence[jobs.Effect]
    ) -> None:
        for effect in effects:
            req = self._requests.get(effect.id)
            if req is None:
                continue
            if isinstance(effect, questions.Refuse):
                self._close(req, "failed" if req.written else "refused")
            else:
                self._start(req, effect)
        self._brokers[place].take_notes()

    def _start(self, req: _Request, start: jobs.Start) -> None:
        run = passes.Run(
            req.job.id,
            start.parts,
            req.prompt_tokens + req.written,
            req.answer_tokens - req.written,
        )
        run.on_event = lambda: self._record_event(req)
        run.on_end = lambda: self._close(req, "answered")
        req.run = run
        if not self._engines.start(run):
            req.run = None
            self._timeline.schedule(
                0.002, lambda: self._fail(req, jobs.FailureKind.REFUSED)
            )

    def _fail(self, req: _Request, why: jobs.FailureKind) -> None:
        if req.is_over:
            return
        if req.run is not None:
            self._engines.end(req.run)
            req.run = None
        failure = jobs.Failure(req.job.id, why, "model", (), req.written > 0)
        state = self._brokers[req.data_centre]
        self._apply_effects(
            req.data_centre, state.fail(failure, self._timeline.now_s)
        )

    def _record_event(self, req: _Request) -> None:
        now_s = self._timeline.now_s
        if not req.first_s:
            req.first_s = now_s
        else:
            req.gap_s = max(req.gap_s, now_s - req.last_s)
        req.last_s = now_s
        req.written += self._spec.stride

    def _close(self, req: _Request, how: str) -> None:
        if req.is_over:
            return
        req.is_over = True
        del self._requests[req.job.id]
        if req.run is not None:
            self._engines.end(req.run)
        if how == "answered":
            first_s = req.first_s - req.job.arrived_s
            if first_s <= OBJECTIVE_S and req.gap_s <= GAP_S:
                self._outcome.prompt += 1
            else:
                self._outcome.late += 1
        elif how == "refused" and not req.is_retry:
            after_s = self._rng.uniform(*self._policy.retry_after_s)
            self._timeline.schedule(after_s, lambda: self._retry(req))
        elif how == "refused":
            self._outcome.refused += 1
        else:
            self._outcome.failed += 1
        state = self._brokers[req.data_centre]
        effects = state.finish(req.job.id, self._timeline.now_s)
        self._apply_effects(req.data_centre, effects)

    # Periodic work.

    def _tick(self) -> None:
        now_s = self._timeline.now_s
        for place, state in self._brokers.items():
            self._apply_effects(place, state.tick(now_s))
            if not self._policy.is_even:
                self._plan(place)
        for req in list(self._requests.values()):
            if req.run is not None and now_s - req.last_s > CALLER_TIMEOUT_S:
                self._close(req, "failed")
        self._timeline.schedule(TICK_S, self._tick)

    def _exchange(self) -> None:
        now_s = self._timeline.now_s
        for place, state in self._brokers.items():
            for other, peer in self._brokers.items():
                if other != place:
                    own = dict(peer.fleet.memory.own)
                    state.fleet.memory.set_peer_usage(
                        other, memory.PeerUsage(now_s, own, other)
                    )
        self._timeline.schedule(PEER_UPDATE_PERIOD_S, self._exchange)

    # Faults.

    def _make_fault(self, fault: Fault) -> Callable[[], None]:
        def act() -> None:
            for engine in self._choose(fault):
                if fault.kind == "slow":
                    engine.pace = fault.factor
                    self._timeline.schedule(
                        fault.for_s,
                        functools.partial(self._set_pace, engine),
                    )
                elif fault.kind in ("crash", "leave"):
                    self._crash(engine, fault)

        return act

    def _choose(self, fault: Fault) -> list[passes.Engine]:
        if fault.kind == "burst":
            return []
        found = [
            e
            for e in self._engines.engines.values()
            if e.resident
            and not e.is_dead
            and fault.data_centre in ("", e.data_centre)
        ]
        return self._rng.sample(found, min(fault.count, len(found)))

    def _set_pace(self, engine: passes.Engine) -> None:
        engine.pace = 1.0

    def _crash(self, engine: passes.Engine, fault: Fault) -> None:
        now_s = self._timeline.now_s
        engine.is_dead = True
        self._dead_since_s[engine.id] = now_s
        self._timeline.schedule(
            CRASH_DETECTION_S, lambda: self._reroute_requests(engine)
        )
        if fault.is_permanent:
            return

        def restart() -> None:
            # A restarted engine holds no layers.
            engine.is_dead = False
            engine.held = None
            engine.waiting.clear()
            engine.resident.clear()
            del self._dead_since_s[engine.id]
            self._list_engines()

        self._timeline.schedule(max(fault.for_s, REPLAN_DELAY_S + 0.1), restart)

    def _reroute_requests(self, engine: passes.Engine) -> None:
        """Reroutes the requests of a crashed engine, as the watch does."""
        now_s = self._timeline.now_s
        for state in self._brokers.values():
            upstreams.remove_entry(state.fleet.roster, engine.id, now_s)
        for run in list(engine.resident):
            req = self._requests.get(run.id)
            if req is None or req.run is not run:
                continue
            state = self._brokers[req.data_centre]
            parts = None
            if self._policy.is_rerouting:
                stalled = frozenset([engine.id])
                parts = state.reroute(run.id, stalled, now_s).parts
            if parts is not None and self._can_run(parts):
                self._engines.reroute(run, parts)
            else:
                self._fail(req, jobs.FailureKind.CUT)

    def _can_run(self, parts: Sequence[paths.Part]) -> bool:
        return not any(self._engines.engines[p.id].is_dead for p in parts)

    def _make_config(self) -> config.Configuration:
        service = config.Service("llm", "/", 1000, self._spec)
        limits = config.Limits(16384, 1 << 22, 3.0, 15.0)
        return config.Configuration(
            1, (_ROUTE,), {"llm": service}, limits, None
        )


_ROUTE: Final = config.Route(
    name="model",
    host="",
    prefix="/",
    kind=config.RouteKind.STREAMING,
    timeout_s=20.0,
    objective_s=OBJECTIVE_S,
    priority=1,
    targets=(config.Target("llm", 1.0),),
    max_attempts=2,
    is_public=True,
    is_resumable=True,
    gap_s=GAP_S,
)
