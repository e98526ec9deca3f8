"""Simulated routers before rate-limited engines, without network or threads.

Each has the product's own `Dispatcher`; updates from their control daemons
arrive once a second. Requests are sent to the last stage of a path.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

import attrs

from egretspur import settings, signals
from egretspur.admission import throttle
from egretspur.intents import records
from egretspur.routing import dispatch, questions, requests, tables
from tests.routing import world

STEP_S: Final = 0.02
UPDATE_S: Final = 1.0
ANSWER_S: Final = 0.2
SLOTS: Final = 64


@attrs.define
class Routers:
    """Routers of one data centre, and the requests that last stages receive."""

    rng: random.Random
    now_s: float = 100.0
    routers: list[dispatch.Dispatcher] = attrs.Factory(list)
    limits: dict[str, float] = attrs.Factory(dict)
    # Times of the requests that reached each last stage.
    reached: dict[str, list[float]] = attrs.Factory(dict)
    refused: list[questions.Refuse] = attrs.Factory(list)
    # Last stages that refuse requests, with the backoff in seconds that they
    # ask for; then the time, stage and router of each backoff.
    away: dict[str, float] = attrs.Factory(dict)
    backoffs: list[tuple[float, str, dispatch.Dispatcher]] = attrs.Factory(list)
    # Last stages that report that they are leaving.
    leaving: set[str] = attrs.Factory(set)
    # Requests that a router sent to a stage within its backoff.
    sent_in_backoff: int = 0
    pending: list[tuple[float, Callable[[], None]]] = attrs.Factory(list)
    count: int = 0

    def add(self, count: int) -> None:
        """Adds routers and updates all of them."""
        for i in range(count):
            self.routers.append(
                dispatch.Dispatcher(
                    f"r{i}",
                    "dc",
                    settings.LimitSettings(),
                    settings.TimingSettings(deadline_s=2.0),
                    settings.RetrySettings(),
                    random.Random(self.rng.random()),
                )
            )
        self.update()

    def update(self) -> None:
        """Sends each router an update with the latest state of all routers."""
        newest: dict[str, throttle.PublishedLimit] = {}
        for router in self.routers:
            for start, limit in router.availability.throttle.list_updates(
                self.now_s
            ).items():
                known = newest.get(start)
                if known is None or limit.age_s < known.age_s:
                    newest[start] = limit
        for router in self.routers:
            update = self._make_update(newest)
            self._run_effects(router, router.update(update, self.now_s))

    def _make_update(
        self, limits: dict[str, throttle.PublishedLimit]
    ) -> tables.RoutingUpdate:
        table = tables.RoutingTable(
            1,
            (world.DEPLOYMENT,),
            (records.Binding("w", "m", ("d",), 5, 0),),
            {},
            tuple(
                tables.Upstream(n, n, "1", "dc", False, "", 100.0, SLOTS)
                for n in world.UPSTREAMS
            ),
        )
        count = len(self.routers)
        leaving = {
            name: tuple(marks)
            for router in self.routers
            for name, marks in router.network.leaving.items()
        }
        return tables.RoutingUpdate(
            1, table, 1, leaving, {}, (), count, {}, limits, count
        )

    def play(self, seconds: float, rate: float) -> None:
        """Simulates a period with a rate of requests over all routers.

        Args:
            seconds: Length of the period.
            rate: Requests a second.
        """
        end_s = self.now_s + seconds
        next_update_s = self.now_s + UPDATE_S
        while self.now_s < end_s:
            self.now_s += STEP_S
            now = [d for d in self.pending if d[0] <= self.now_s]
            self.pending = [d for d in self.pending if d[0] > self.now_s]
            for _, work in now:
                work()
            if self.now_s >= next_update_s:
                next_update_s += UPDATE_S
                self.update()
            for router in self.routers:
                self._run_effects(router, router.tick(self.now_s))
            for _ in range(int(rate * STEP_S + self.rng.random())):
                self.count += 1
                router = self.rng.choice(self.routers)
                arrival = requests.Arrival(f"q{self.count}", "w", "m")
                self._run_effects(router, router.arrive(arrival, self.now_s))

    def _run_effects(
        self, router: dispatch.Dispatcher, effects: list[requests.Effect]
    ) -> None:
        for effect in effects:
            if isinstance(effect, questions.Refuse):
                self.refused.append(effect)
                continue
            self._deliver(router, effect)

    def _deliver(
        self, router: dispatch.Dispatcher, grant: requests.Grant
    ) -> None:
        last = grant.path.edges[-1].upstream
        self.reached.setdefault(last, []).append(self.now_s)
        answer = signals.Signals(
            self.limits.get(last),
            self.away.get(last),
            last in self.leaving,
        )
        self.sent_in_backoff += any(
            name == last
            and who is router
            and 0.5 <= self.now_s - at_s < self.away.get(name, 0.0)
            for at_s, name, who in self.backoffs
        )
        if last in self.away:
            self.backoffs.append((self.now_s, last, router))
            router.note_signals(last, answer, self.now_s)
            failure = requests.Failure(
                grant.id, "busy", (last,), True, "", False, 0
            )
            self._run_effects(router, router.fail(failure, self.now_s))
            return

        def begin() -> None:
            _, effects = router.note_signals(last, answer, self.now_s)
            self._run_effects(router, effects)

        def end() -> None:
            self._run_effects(router, router.finish(grant.id, self.now_s, True))

        self.pending.append((self.now_s + 0.03, begin))
        self.pending.append((self.now_s + ANSWER_S, end))

    def find_worst(self, name: str, since_s: float, window_s: float) -> int:
        """Returns the most requests that reached a stage within any window.

        Args:
            name: Name of the last stage.
            since_s: Earliest start of a window.
            window_s: Length of a window.
        """
        times = [t for t in self.reached[name] if t >= since_s]
        return max(
            (sum(t <= u < t + window_s for u in times) for t in times),
            default=0,
        )
