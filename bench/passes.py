"""Model of engines that hold ranges of layers: passes and key-value memory.

A deterministic discrete-event simulation that takes seconds to run. An engine
takes all waiting work into a pass; a pass runs a few token steps for every
request in decode and prefills a bounded chunk of waiting prompts. A request's
tokens take memory on every layer of its path; when that runs out, the newest
request is preempted. The model leaves out the network's bandwidth and the
processor time of hosts. Read next: `bench.fleetplay`, which drives it with the
router's own decisions.
"""

from __future__ import annotations

import functools
import heapq
import itertools
from collections.abc import Callable
from typing import Final

import attrs

from egretspur.catalog import config
from egretspur.routing import paths

# Latency from one stage to the next within a data centre.
HOP_S: Final = 0.0004

# Prompt tokens prefilled with each token step of a pass.
PREFILL_CHUNK_TOKENS: Final = 512

# From the preemption of a run until it restarts.
RESTART_DELAY_S: Final = 0.05


class Timeline:
    """Simulated clock with a queue of timed callbacks."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.now_s = 0.0

    def schedule(self, seconds: float, act: Callable[[], None]) -> None:
        """Schedules a callback after a delay."""
        entry = (self.now_s + seconds, next(self._numbers), act)
        heapq.heappush(self._heap, entry)

    def run(self, until_s: float) -> None:
        """Runs the callbacks that are due and advances the clock."""
        while self._heap and self._heap[0][0] <= until_s:
            self.now_s, _, act = heapq.heappop(self._heap)
            act()
        self.now_s = until_s


@attrs.define(eq=False)
class Run:
    """One attempt of a request on a path of engines."""

    id: str
    parts: tuple[paths.Part, ...]
    prompt_tokens: int
    # Tokens to generate, and generated so far.
    answer_tokens: int
    written: int = 0
    # Tokens left to prefill at the current stage.
    prefill_left: int = 0
    stage: int = 0
    # Whether it ended or was replaced by another attempt.
    is_over: bool = False
    started_s: float = 0.0
    on_event: Callable[[], None] = attrs.field(default=lambda: None)
    on_end: Callable[[], None] = attrs.field(default=lambda: None)

    @property
    def tokens(self) -> int:
        """Tokens that take memory on every layer of the path."""
        return self.prompt_tokens + self.written


@attrs.define(eq=False)
class Engine:
    """State of one engine."""

    id: str
    data_centre: str
    accelerator: config.Accelerator
    held: tuple[int, int] | None = None
    pace: float = 1.0
    is_dead: bool = False
    is_busy: bool = False
    waiting: list[Run] = attrs.Factory(list)
    # Runs whose path includes this engine, with the layers they use here.
    resident: dict[Run, int] = attrs.Factory(dict)
    # Number of preemptions for lack of memory.
    preempted: int = 0


class Engines:
    """All engines and the runs on them."""

    def __init__(self, spec: config.EngineSpec, timeline: Timeline) -> None:
        self.spec = spec
        self.timeline = timeline
        self.engines: dict[str, Engine] = {}

    def add(self, engine: Engine) -> None:
        """Adds an engine."""
        self.engines[engine.id] = engine

    def start(self, run: Run) -> bool:
        """Starts a run; False if a stage lacks its layers or has crashed."""
        for part in run.parts:
            engine = self.engines[part.id]
            if engine.is_dead or engine.held is None:
                return False
            if part.first < engine.held[0] or part.last > engine.held[1]:
                return False
        run.started_s = self.timeline.now_s
        run.prefill_left = run.tokens
        for part in run.parts:
            layers = part.last - part.first
            self.engines[part.id].resident[run] = layers
        self._enqueue(run)
        return True

    def reroute(self, run: Run, parts: tuple[paths.Part, ...]) -> None:
        """Reroutes a run to other stages, which prefill its tokens first."""
        self._remove(run)
        run.parts = parts
        run.stage = 0
        run.prefill_left = run.tokens
        for part in parts:
            self.engines[part.id].resident[run] = part.last - part.first
        self._enqueue(run)

    def end(self, run: Run) -> None:
        """Ends a run, complete or not."""
        run.is_over = True
        self._remove(run)

    def compute_kv_used(self, engine: Engine) -> float:
        """Returns the key-value memory in use, in tokens times layers."""
        return sum(r.tokens * n for r, n in engine.resident.items())

    def compute_kv_size(self, engine: Engine) -> float:
        """Returns an engine's key-value memory, in tokens times layers."""
        if engine.held is None:
            return 0.0
        layers = engine.held[1] - engine.held[0]
        free = engine.accelerator.memory_bytes - layers * self.spec.layer_bytes
        return free / self.spec.token_layer_bytes

    def _remove(self, run: Run) -> None:
        for part in run.parts:
            engine = self.engines[part.id]
            engine.resident.pop(run, None)
            if run in engine.waiting:
                engine.waiting.remove(run)

    def _enqueue(self, run: Run) -> None:
        if run.is_over:
            return
        engine = self.engines[run.parts[run.stage].id]
        engine.waiting.append(run)
        self._begin_pass(engine)

    def _begin_pass(self, engine: Engine) -> None:
        if engine.is_busy or engine.is_dead or not engine.waiting:
            return
        self._preempt_newest(engine)
        decoding = [r for r in engine.waiting if not r.prefill_left]
        steps = self.spec.stride if decoding else 1
        seconds = 0.0
        if decoding:
            seconds = steps * self._compute_step_s(engine, decoding)
        done = list(decoding)
        budget = steps * PREFILL_CHUNK_TOKENS
        for run in [r for r in engine.waiting if r.prefill_left]:
            chunk = min(run.prefill_left, budget)
            if not chunk:
                break
            budget -= chunk
            seconds += self._compute_prefill_s(engine, run, chunk)
            run.prefill_left -= chunk
            if not run.prefill_left:
                done.append(run)
        engine.waiting = [r for r in engine.waiting if r not in done]
        engine.is_busy = True
        self.timeline.schedule(seconds, lambda: self._end_pass(engine, done))

    def _end_pass(self, engine: Engine, done: list[Run]) -> None:
        engine.is_busy = False
        if engine.is_dead:
            return
        for run in done:
            if not run.is_over and run in engine.resident:
                self._advance(run)
        self._begin_pass(engine)

    def _advance(self, run: Run) -> None:
        """Sends a run to its next stage, or records the tokens it wrote."""
        run.stage += 1
        if run.stage < len(run.parts):
            # Each stage prefills the prompt before its first token step.
            run.prefill_left = run.tokens if run.written == 0 else 0
            self.timeline.schedule(HOP_S, lambda: self._enqueue(run))
            return
        run.stage = 0
        run.written += self.spec.stride
        run.on_event()
        if run.written >= run.answer_tokens:
            self.end(run)
            run.on_end()
            return
        self.timeline.schedule(HOP_S, lambda: self._enqueue(run))

    def _preempt_newest(self, engine: Engine) -> None:
        """Preempts the newest runs while memory is short."""
        size = self.compute_kv_size(engine)
        while engine.resident and self.compute_kv_used(engine) > size:
            newest = max(engine.resident, key=lambda r: r.started_s)
            if len(engine.resident) == 1:
                return
            engine.preempted += 1
            self._remove(newest)
            restart = functools.partial(self._restart, newest)
            self.timeline.schedule(RESTART_DELAY_S, restart)

    def _restart(self, run: Run) -> None:
        if run.is_over:
            return
        run.started_s = self.timeline.now_s
        run.stage = 0
        run.prefill_left = run.tokens
        for part in run.parts:
            self.engines[part.id].resident[run] = part.last - part.first
        self._enqueue(run)

    def _compute_step_s(self, engine: Engine, decoding: list[Run]) -> float:
        """Returns the seconds of one token step of a pass."""
        spec = self.spec
        total = 0.0
        # Runs use different numbers of layers; the fixed cost of a step is
        # that of the largest.
        widest = max(engine.resident.get(r, 0) for r in decoding)
        total += spec.step_s * widest / spec.layers
        for run in decoding:
            layers = engine.resident.get(run, 0)
            each = spec.per_request_s + spec.per_token_s * run.tokens
            total += each * layers / spec.layers
        return total * engine.accelerator.pace * engine.pace

    def _compute_prefill_s(self, engine: Engine, run: Run, chunk: int) -> float:
        """Returns the seconds of prefilling a chunk of a prompt."""
        layers = engine.resident.get(run, 0)
        seconds = chunk / self.spec.prefill_tokens_per_s
        factor = engine.accelerator.prefill_factor * engine.pace
        return seconds * factor * layers / self.spec.layers
