"""A model, without a network, of hosts that share engines.

Each host starts a stream every 0.35 s over random engines and pauses engines by
its own verdicts. Read next: `egretspur.delivery.first_events`.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection
from typing import Final

import attrs

from egretspur.catalog import upstreams
from egretspur.delivery import first_events, watch
from egretspur.routing import health, unproductive
from tests import fleets

# Ranges of layers, and engines that hold each.
RANGES: Final = 8
TWINS: Final = 6

STEP_S: Final = watch.MAX_CHECK_INTERVAL_S
END_S: Final = 8.0
START_INTERVAL_S: Final = 0.35
TIMEOUTS_S: Final = 2.0
ANSWER_S: Final = 2.0

# When the fault begins, and the engine that has it.
FAULT_S: Final = 3.0
FAULTY: Final = "a100-0-0"

# Draws the seconds to a first event, given the path and the time of its start.
Draw = Callable[[random.Random, Collection[str], float], float]


def draw_normal(
    rng: random.Random, path: Collection[str], at_s: float
) -> float:
    """The faulty engine produces nothing; other streams are in time."""
    first_s = rng.uniform(0.04, 0.15)
    is_stuck = FAULTY in path and at_s + first_s >= FAULT_S
    return math.inf if is_stuck else first_s


def draw_busy(rng: random.Random, path: Collection[str], at_s: float) -> float:
    """All engines become busy at once."""
    return rng.uniform(0.5, 1.8) if at_s > FAULT_S else rng.uniform(0.04, 0.15)


@attrs.define(eq=False)
class Stream:
    """A stream of a host."""

    path: tuple[str, ...]
    started_s: float
    # When its first event comes, and its last.
    first_s: float
    last_s: float

    def describe(self, now_s: float) -> first_events.Stream:
        """Returns the stream as its host sees it."""
        has_begun = self.first_s <= now_s
        return first_events.Stream(
            self.path,
            self.started_s,
            0.06,
            TIMEOUTS_S,
            self.first_s if has_begun else None,
            min(now_s, self.last_s) if has_begun else None,
        )


class Host:
    """A host with its streams, verdicts and pauses."""

    def __init__(
        self, roster: upstreams.Roster, draw: Draw, rng: random.Random
    ) -> None:
        self._draw = draw
        self._rng = rng
        self._health = health.Health(lambda *state: None)
        self._pauses = unproductive.UnproductiveEngines(roster, self._health)
        self._first_events = first_events.FirstEvents()
        self._streams: list[Stream] = []
        self._next_s = rng.uniform(0.0, START_INTERVAL_S)
        # Starts of streams beside the faulty engine that had an event.
        self._beside_s: list[float] = []
        # When the last of the streams that show the fault started; the verdict.
        self.shown_s = self.found_s = math.inf
        # Length of each pause of a working engine.
        self.wrong_s: list[float] = []

    def step(self, now_s: float) -> None:
        """Starts and ends streams and judges the late ones."""
        if now_s >= self._next_s:
            self._next_s += self._rng.expovariate(1 / START_INTERVAL_S)
            self._start((), now_s)
        for stream in list(self._streams):
            if now_s - STEP_S < stream.first_s <= now_s:
                for engine in stream.path:
                    self._health.record_success(engine, now_s)
                if FAULTY not in stream.path:
                    self._beside_s.append(stream.started_s)
            silent_since_s = stream.started_s
            if stream.first_s <= now_s:
                silent_since_s = min(stream.last_s, now_s)
            if (
                now_s - silent_since_s > TIMEOUTS_S
                or now_s > stream.first_s + ANSWER_S
            ):
                self._streams.remove(stream)
                self._first_events.record_ended(stream.describe(now_s))
        known = [s.describe(now_s) for s in self._streams]
        self._note_shown(known, now_s)
        found = self._first_events.find_suspects(known, now_s)
        verdict = self._first_events.judge(found, found.engines, now_s)
        paused = [
            e
            for e in sorted(verdict.unproductive)
            if self._pauses.pause(e, now_s)
        ]
        self._apply(paused, now_s)

    def _note_shown(
        self, known: Collection[first_events.Stream], now_s: float
    ) -> None:
        """Notes when two late streams and one beside them show the fault."""
        late = sorted(
            s.started_s
            for s in known
            if FAULTY in s.components
            and s.started_s > FAULT_S
            and s.is_past_bound(now_s)
        )
        beside = [t for t in self._beside_s if late and t > late[0]]
        if len(late) > 1 and beside:
            self.shown_s = min(self.shown_s, max(late[1], beside[0]))

    def _apply(self, paused: Collection[str], now_s: float) -> None:
        for engine in paused:
            if engine == FAULTY:
                self.found_s = min(self.found_s, now_s)
            else:
                until_s = self._health.refusals[engine].until_s
                self.wrong_s.append(until_s - now_s)
        for stream in list(self._streams):
            if stream.first_s > now_s and not set(paused).isdisjoint(
                stream.path
            ):
                self._streams.remove(stream)
                self._start(paused, now_s)

    def _start(self, avoided: Collection[str], now_s: float) -> None:
        path = tuple(
            self._rng.choice(
                [
                    e
                    for e in (f"a100-{i}-{k}" for k in range(TWINS))
                    if e not in avoided and self._health.is_usable(e, now_s)
                ]
            )
            for i in range(RANGES)
        )
        first_s = now_s + self._draw(self._rng, path, now_s)
        last_s = first_s + ANSWER_S
        if FAULTY in path and self._draw is draw_normal:
            last_s = min(last_s, FAULT_S)
        self._streams.append(Stream(path, now_s, first_s, last_s))


def run(count: int, draw: Draw, seed: int) -> list[Host]:
    """Runs hosts for some seconds and returns them."""
    roster = upstreams.Roster()
    for i in range(RANGES):
        for k in range(TWINS):
            layers = f"{10 * i}-{10 * i + 10}"
            entry = fleets.make_upstream(f"a100-{i}-{k}", layers)
            upstreams.put_entry(roster, entry, 0.0)
    rng = random.Random(seed)
    hosts = [Host(roster, draw, rng) for _ in range(count)]
    for i in range(int(END_S / STEP_S)):
        for host in hosts:
            host.step(i * STEP_S)
    return hosts
