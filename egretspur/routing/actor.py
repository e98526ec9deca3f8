"""Actor that owns a router's `Dispatcher` and runs its effects.

Request threads talk to it through `Traffic`. Tokens never pass through it;
a request costs it a few messages in all.
"""

from __future__ import annotations

import concurrent.futures
import functools
import logging
import time
from collections.abc import Callable
from typing import Any, Final

import attrs

from egretspur import actors, errors, signals
from egretspur.admission import throttle
from egretspur.routing import dispatch, questions, requests, tables

_LOG: Final = logging.getLogger(__name__)

Decision = requests.Grant | errors.Refusal
DecisionFuture = concurrent.futures.Future[Decision]


@attrs.frozen
class Arrive:
    """A request with the future that its thread waits on."""

    arrival: requests.Arrival
    fut: DecisionFuture


@attrs.frozen
class Fail:
    """A failed attempt with the future for what comes next."""

    failure: requests.Failure
    fut: DecisionFuture


@attrs.frozen
class Finish:
    """A request is over."""

    id: str
    is_answered: bool


@attrs.frozen
class Tick:
    """Time passed."""


@attrs.frozen
class GetService:
    """Asks for the replicas of a plain service."""

    name: str


@attrs.frozen
class IsHeld:
    """Asks whether a request or call may not be sent."""

    fingerprint: str


@attrs.frozen
class NoteCall:
    """A call was answered by a plain service, or its answer is lost."""

    upstream: str
    fingerprint: str
    is_answered: bool


@attrs.frozen
class NoteService:
    """A plain service answered or did not."""

    upstream: str
    is_ok: bool


@attrs.frozen
class NoteSignals:
    """An upstream asked something of the hosts beside an answer."""

    upstream: str
    answer: signals.Signals


@attrs.frozen
class TakeTurn:
    """Asks whether a plain service's replica may be sent a call now."""

    upstream: str


@attrs.frozen
class PromiseTurn:
    """Asks when a call may come back that none of some replicas takes."""

    service: str
    upstreams: tuple[str, ...]


@attrs.frozen
class GetReport:
    """Asks for a `Report`."""


@attrs.frozen
class Report:
    """What the control daemon is told."""

    in_force: int
    leaving: tuple[tables.LeavingMark, ...]
    demand: dict[str, int]
    ended: dict[str, dict[str, float]]
    limits: dict[str, throttle.PublishedLimit]


@attrs.frozen
class GetDump:
    """Asks for a `Dump`."""


@attrs.frozen
class UpstreamDump:
    """One upstream in the state dump."""

    name: str
    health: str
    own: int
    estimate: float


@attrs.frozen
class Dump:
    """Full state of the router's decisions."""

    offset: int
    counts: requests.Counts
    waiting: int
    running: dict[str, int]
    saved_retries: float
    upstreams: tuple[UpstreamDump, ...]
    leaving: dict[str, tuple[str, ...]]
    # Requests that are sent to no upstream, with the starts that ended.
    quarantine: dict[str, dict[str, float]]


class TrafficActor(actors.Actor):
    """Holds the dispatcher; see the messages above."""

    def __init__(
        self, dispatcher: dispatch.Dispatcher, marked: Callable[[], None]
    ) -> None:
        super().__init__()
        self._dispatcher = dispatcher
        self._marked = marked
        self._questions: questions.Questions[requests.Grant] = (
            questions.Questions()
        )

    @functools.singledispatchmethod
    def handle(self, message: object) -> Any:
        """Handles one message."""
        raise actors.make_unknown_message_error(message)

    @handle.register
    def _(self, message: Arrive) -> None:
        self._questions.ask(message.arrival.id, message.fut)
        now = time.monotonic()
        self._questions.run(self._dispatcher.arrive(message.arrival, now))

    @handle.register
    def _(self, message: Fail) -> None:
        self._questions.ask(message.failure.id, message.fut)
        now = time.monotonic()
        self._questions.run(self._dispatcher.fail(message.failure, now))
        if message.failure.leaving:
            self._marked()

    @handle.register
    def _(self, message: Finish) -> None:
        self._questions.forget(message.id)
        self._questions.run(
            self._dispatcher.finish(
                message.id, time.monotonic(), message.is_answered
            )
        )

    @handle.register
    def _(self, message: requests.Progress) -> None:
        self._dispatcher.progress(message, time.monotonic())

    @handle.register
    def _(self, message: tables.RoutingUpdate) -> None:
        self._questions.run(self._dispatcher.update(message, time.monotonic()))

    @handle.register
    def _(self, message: Tick) -> None:
        self._questions.run(self._dispatcher.tick(time.monotonic()))

    @handle.register
    def _(self, message: GetService) -> list[tables.Upstream]:
        return self._dispatcher.get_services(message.name, time.monotonic())

    @handle.register
    def _(self, message: NoteService) -> None:
        self._dispatcher.note_service(
            message.upstream, message.is_ok, time.monotonic()
        )

    @handle.register
    def _(self, message: IsHeld) -> bool:
        return self._dispatcher.quarantine.is_blocked(message.fingerprint)

    @handle.register
    def _(self, message: NoteCall) -> None:
        self._dispatcher.note_call(
            message.upstream,
            message.fingerprint,
            message.is_answered,
            time.monotonic(),
        )

    @handle.register
    def _(self, message: NoteSignals) -> None:
        is_new, effects = self._dispatcher.note_signals(
            message.upstream, message.answer, time.monotonic()
        )
        self._questions.run(effects)
        if is_new:
            self._marked()

    @handle.register
    def _(self, message: TakeTurn) -> bool:
        state = self._dispatcher.availability
        return state.take_turn(message.upstream, time.monotonic())

    @handle.register
    def _(self, message: PromiseTurn) -> float:
        return self._dispatcher.availability.promise_turn(
            message.service, message.upstreams, time.monotonic()
        )

    @handle.register
    def _(self, message: GetReport) -> Report:
        marks = tuple(
            tables.LeavingMark(name, incarnation)
            for name, found in sorted(self._dispatcher.network.leaving.items())
            for incarnation in sorted(found)
        )
        return Report(
            self._dispatcher.network.offset,
            marks,
            self._dispatcher.get_demand(),
            self._dispatcher.list_ended(time.monotonic()),
            self._dispatcher.availability.throttle.list_updates(
                time.monotonic()
            ),
        )

    @handle.register
    def _(self, message: GetDump) -> Dump:
        now = time.monotonic()
        state = self._dispatcher
        return Dump(
            state.network.offset,
            attrs.evolve(state.counts),
            len(state.queue.waiting),
            dict(state.running),
            round(state.budget.saved, 2),
            tuple(
                UpstreamDump(
                    name,
                    load.health.value,
                    load.own,
                    round(load.estimate(now), 1),
                )
                for name, load in sorted(state.network.loads.items())
            ),
            {n: tuple(sorted(f)) for n, f in state.network.leaving.items()},
            {
                f: dict(e)
                for f, e in state.quarantine.list_quarantined().items()
            },
        )

    def on_message_failed(self, message: Any) -> None:
        """Answers the request that could not be decided on."""
        questions.answer_failed(message)


class Traffic:
    """Typed front of the actor for request threads."""

    def __init__(
        self, dispatcher: dispatch.Dispatcher, marked: Callable[[], None]
    ) -> None:
        """Starts the actor.

        Args:
            dispatcher: Owned by the actor from now on.
            marked: Called when an upstream said something that the other
                hosts are to be told at once.
        """
        self._throttle = dispatcher.availability.throttle
        self._ref = TrafficActor.start(dispatcher, marked)

    def close(self) -> None:
        """Stops the actor."""
        self._ref.stop()

    def arrive(self, arrival: requests.Arrival) -> DecisionFuture:
        """Hands in a request; the future gives its first path or refusal."""
        fut: DecisionFuture = concurrent.futures.Future()
        self._ref.tell(Arrive(arrival, fut))
        return fut

    def fail(self, failure: requests.Failure) -> DecisionFuture:
        """Reports a failed attempt; the future gives the next path."""
        fut: DecisionFuture = concurrent.futures.Future()
        self._ref.tell(Fail(failure, fut))
        return fut

    def finish(self, request_id: str, is_answered: bool) -> None:
        """Reports that a request is over, its answer whole or given up."""
        self._ref.tell(Finish(request_id, is_answered))

    def is_held(self, fingerprint: str) -> bool:
        """Tells whether a request or call may not be sent."""
        held: bool = actors.ask(self._ref, IsHeld(fingerprint))
        return held

    def tell(
        self,
        message: requests.Progress
        | tables.RoutingUpdate
        | Tick
        | NoteService
        | NoteCall,
    ) -> None:
        """Sends a message that needs no answer."""
        self._ref.tell(message)

    def note_signals(self, upstream: str, answer: signals.Signals) -> None:
        """Takes what an answer asks of the hosts; most ask nothing."""
        if answer != signals.NO_SIGNALS or self._throttle.limited:
            self._ref.tell(NoteSignals(upstream, answer))

    def take_turn(self, upstream: str) -> bool:
        """Takes a turn at a replica, if it takes a call now."""
        is_taken: bool = actors.ask(self._ref, TakeTurn(upstream))
        return is_taken

    def promise_turn(self, service: str, upstreams: tuple[str, ...]) -> float:
        """Returns the seconds until a call that none took may come back."""
        after_s: float = actors.ask(self._ref, PromiseTurn(service, upstreams))
        return after_s

    def get_services(self, name: str) -> list[tables.Upstream]:
        """Returns a plain service's replicas, least busy first."""
        found: list[tables.Upstream] = actors.ask(self._ref, GetService(name))
        return found

    def get_report(self) -> Report:
        """Returns what the control daemon is to be told."""
        report: Report = actors.ask(self._ref, GetReport())
        return report

    def get_dump(self) -> Dump:
        """Returns the state dump."""
        dump: Dump = actors.ask(self._ref, GetDump())
        return dump
