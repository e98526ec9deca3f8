"""A simulation of routers and engines for fuzz tests: pure.

Dispatchers and merges are the product's own; engines, connections and time are
simulated here. The oracle is in `machine`.
"""

from __future__ import annotations

import random
from typing import Final

import attrs

from egretspur import settings
from egretspur.clients import engine
from egretspur.delivery import attempts
from egretspur.intents import records
from egretspur.routing import dispatch, questions, tables
from egretspur.routing import requests as messages

LAYERS: Final = 8
TOKENS: Final = 3
UPSTREAMS: Final = ("a1", "a2", "b1", "b2", "c1", "c2")
LIMIT: Final = 2
SLOTS: Final = 1
QUEUE: Final = 4

DEPLOYMENT: Final = records.Deployment(
    "d",
    "m",
    "",
    "v",
    "dc",
    LAYERS,
    tuple(
        records.Chain(
            row,
            (
                records.Stage(f"{row}1", 0, 4),
                records.Stage(f"{row}2", 4, LAYERS),
            ),
            1.0,
        )
        for row in "abc"
    ),
)


@attrs.define
class Attempt:
    """An attempt as the engines see it."""

    grant: messages.Grant
    number: int
    trail: str
    # Position of its first event and of its next event.
    first: int
    position: int
    # Whether the engines accepted it, and whether they still run it.
    started: bool = True
    alive: bool = True


@attrs.define
class Request:
    """A caller's request and its history."""

    id: str
    router: int
    merge: attempts.TokenMerge
    current: Attempt | None = None
    # All attempts started so far; late events may come from any.
    attempts: list[Attempt] = attrs.Factory(list)
    texts: list[str] = attrs.Factory(list)
    answers: int = 0
    refusal: questions.Refuse | None = None
    gone: bool = False


@attrs.define
class World:
    """Several routers in front of the same engines."""

    now: float = 100.0
    incarnations: dict[str, int] = attrs.Factory(
        lambda: dict.fromkeys(UPSTREAMS, 1)
    )
    # Upstreams that each router knows to be leaving, with incarnation.
    known_leaving: list[set[tuple[str, str]]] = attrs.Factory(list)
    requests: dict[str, Request] = attrs.Factory(dict)
    routers: list[dispatch.Dispatcher] = attrs.Factory(list)
    # Upstreams used for an attempt while known to be leaving; must stay empty.
    wrong_grants: list[str] = attrs.Factory(list)
    offset: int = 1

    def start(self, routers: int, limit: int) -> None:
        """Makes the routers and sends them the routing table."""
        for number in range(routers):
            self.routers.append(self._make_router(number))
            self.known_leaving.append(set())
        self.limit = limit
        for number in range(routers):
            self.update(number)

    limit: int = 0

    def _make_router(self, number: int) -> dispatch.Dispatcher:
        return dispatch.Dispatcher(
            f"r{number}",
            "dc",
            settings.LimitSettings(queue_length=QUEUE),
            settings.TimingSettings(deadline_s=10.0),
            settings.RetrySettings(burst=3.0, attempts=4),
            random.Random(number),
        )

    def update(self, number: int) -> None:
        """Sends a router the current routing table."""
        table = tables.RoutingTable(
            self.offset,
            (DEPLOYMENT,),
            (
                records.Binding("w", "m", ("d",), 5, self.limit),
                records.Binding("vip", "m", ("d",), 9, 0),
            ),
            {},
            tuple(
                tables.Upstream(
                    n,
                    n,
                    str(self.incarnations[n]),
                    "dc",
                    False,
                    "",
                    100.0,
                    SLOTS,
                )
                for n in UPSTREAMS
            ),
        )
        leaving: dict[str, tuple[str, ...]] = {}
        for name, incarnation in sorted(self.known_leaving[number]):
            leaving[name] = (*leaving.get(name, ()), incarnation)
        demand = {
            f"r{i}": r.running.get("binding/w/m", 0)
            for i, r in enumerate(self.routers)
            if i != number
        }
        update = tables.RoutingUpdate(
            1,
            table,
            1,
            leaving,
            {"binding/w/m": demand},
            (),
            len(self.routers),
        )
        self.run(number, self.routers[number].update(update, self.now))

    def arrive(self, number: int, workspace: str) -> None:
        """Sends a caller's request to a router."""
        name = f"q{len(self.requests)}"
        self.requests[name] = Request(name, number, attempts.TokenMerge(name))
        arrival = messages.Arrival(name, workspace, "m")
        self.run(number, self.routers[number].arrive(arrival, self.now))

    def run(self, number: int, effects: list[messages.Effect]) -> None:
        """Carries out a router's effects as the actor and the relay do."""
        for effect in effects:
            request = self.requests[effect.id]
            if isinstance(effect, questions.Refuse):
                request.refusal = effect
                request.answers += 1
                request.current = None
                continue
            self._start_attempt(request, number, effect)

    def _start_attempt(
        self, request: Request, number: int, grant: messages.Grant
    ) -> None:
        for edge in grant.path.edges:
            mark = (edge.upstream, str(self.incarnations[edge.upstream]))
            if mark in self.known_leaving[number]:
                self.wrong_grants.append(edge.upstream)
        hops = tuple(
            engine.Hop(e.upstream, e.upstream, e.first, e.last)
            for e in grant.path.edges
        )
        trail = engine.format_trail(hops)
        attempt = attempts.begin_attempt(request.merge, trail)
        request.current = Attempt(
            grant,
            attempt,
            trail,
            len(request.merge.tokens),
            len(request.merge.tokens),
        )
        request.attempts.append(request.current)

    def deliver(self, request: Request, event: engine.Event) -> None:
        """Delivers an event on the request's current connection."""
        if request.current is None:
            return
        decision = attempts.apply_event(request.merge, event)
        if isinstance(decision, attempts.Deliver):
            request.texts.append(decision.text)
            # A delivered event must belong to this request and its current
            # attempt, and have run every layer once, in order.
            assert isinstance(event, engine.TokenEvent)
            assert event.request == request.id
            assert event.attempt == request.current.number
            assert covers_once(event.layers), event
        elif isinstance(decision, attempts.Finish):
            request.answers += 1
            request.current = None
            number = request.router
            self.run(number, self.routers[number].finish(request.id, self.now))
        elif isinstance(decision, attempts.Fault):
            self.break_attempt(request, decision.upstream, started=True)

    def break_attempt(
        self, request: Request, blamed: str, started: bool, busy: bool = False
    ) -> None:
        """Ends the current attempt before its answer is complete."""
        if request.current is None:
            return
        request.current.started = started
        request.current = None
        failure = messages.Failure(
            request.id,
            "broken",
            (blamed,) if blamed else (),
            busy,
            "",
            started,
            len(request.merge.tokens),
        )
        number = request.router
        self.run(number, self.routers[number].fail(failure, self.now))

    def make_event(self, attempt: Attempt, request: Request) -> engine.Event:
        """Returns the next event that engines send for an attempt."""
        if attempt.position == TOKENS:
            return engine.EndEvent(request.id, attempt.number, TOKENS, 0)
        event = engine.TokenEvent(
            request.id,
            attempt.number,
            attempt.position,
            make_text(request.id, attempt.position),
            attempt.trail,
        )
        attempt.position += 1
        return event


def make_text(request_id: str, position: int) -> str:
    """Returns the token that a request must receive at a position."""
    return f"{request_id}:{position}"


def covers_once(layers: str) -> bool:
    """Tells whether a trail covers all layers once, in order."""
    at = 0
    for part in layers.split(">"):
        first, last = part.partition(":")[2].split("-")
        if int(first) != at:
            return False
        at = int(last)
    return at == LAYERS
