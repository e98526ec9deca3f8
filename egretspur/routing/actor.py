"""Actor that owns a router's `Dispatcher` and runs its effects.

Request threads reach it through `Traffic`. A request costs it a few messages
in all, since tokens do not pass through it.
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
from egretspur.admission import segments, throttle
from egretspur.routing import dispatch, questions, requests, tables

_LOG: Final = logging.getLogger(__name__)

Decision = requests.Grant | errors.Refusal
DecisionFuture = concurrent.futures.Future[Decision]


@attrs.frozen
class Arrive:
    """Submits a request; its thread waits on the future."""

    arrival: requests.Arrival
    fut: DecisionFuture


@attrs.frozen
class Fail:
    """Reports a failed attempt; the future receives the next decision."""

    failure: requests.Failure
    fut: DecisionFuture


@attrs.frozen
class MayReplace:
    """Asks whether a silent attempt may be ended and replaced."""

    id: str


@attrs.frozen
class Finish:
    """Reports that a request has ended."""

    id: str
    is_answered: bool


@attrs.frozen
class Tick:
    """Triggers the dispatcher's periodic work."""


@attrs.frozen
class GetReplicas:
    """Asks for the replicas of a plain service."""

    name: str


@attrs.frozen
class IsQuarantined:
    """Asks whether a request or call is quarantined."""

    fingerprint: str


@attrs.frozen
class NoteCall:
    """Reports whether a plain service answered a call or the answer is lost."""

    upstream: str
    fingerprint: str
    is_answered: bool


@attrs.frozen
class NoteService:
    """Reports whether a plain service answered."""

    upstream: str
    is_ok: bool


@attrs.frozen
class NoteSignals:
    """Reports an upstream's limit, backoff or leaving signals."""

    upstream: str
    answer: signals.Signals


@attrs.frozen
class AcquirePermit:
    """Asks for a permit to send a call to a plain service's replica now."""

    upstream: str


@attrs.frozen
class GetRetryAfter:
    """Asks when to retry a call that none of these replicas accepts."""

    service: str
    upstreams: tuple[str, ...]


@attrs.frozen
class GetReport:
    """Asks for a `Report`."""


@attrs.frozen
class Report:
    """The router's part of its report to the control daemon."""

    in_force: int
    leaving: tuple[tables.LeavingMark, ...]
    demand: dict[str, int]
    ended: dict[str, dict[str, float]]
    limits: dict[str, throttle.PublishedLimit]
    evidence: segments.Update


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
    # Quarantined requests, with the upstream incarnations that crashed.
    quarantine: dict[str, dict[str, float]]


class TrafficActor(actors.Actor):
    """Applies the messages above to the dispatcher."""

    def __init__(
        self, dispatcher: dispatch.Dispatcher, on_urgent: Callable[[], None]
    ) -> None:
        super().__init__()
        self._dispatcher = dispatcher
        self._on_urgent = on_urgent
        self._questions: questions.PendingDecisions[requests.Grant] = (
            questions.PendingDecisions()
        )

    @functools.singledispatchmethod
    def handle(self, message: object) -> Any:
        """Handles one message."""
        raise actors.make_unknown_message_error(message)

    @handle.register
    def _(self, message: Arrive) -> None:
        self._questions.add(message.arrival.id, message.fut)
        now = time.monotonic()
        self._questions.resolve(self._dispatcher.arrive(message.arrival, now))

    @handle.register
    def _(self, message: Fail) -> None:
        self._questions.add(message.failure.id, message.fut)
        now = time.monotonic()
        self._questions.resolve(self._dispatcher.fail(message.failure, now))
        if message.failure.leaving:
            self._on_urgent()

    @handle.register
    def _(self, message: MayReplace) -> bool:
        return self._dispatcher.may_replace(message.id, time.monotonic())

    @handle.register
    def _(self, message: Finish) -> None:
        self._questions.forget(message.id)
        self._questions.resolve(
            self._dispatcher.finish(
                message.id, time.monotonic(), message.is_answered
            )
        )

    @handle.register
    def _(self, message: requests.Progress) -> None:
        self._dispatcher.progress(message, time.monotonic())

    @handle.register
    def _(self, message: requests.Established) -> None:
        self._dispatcher.record_established(message, time.monotonic())

    @handle.register
    def _(self, message: tables.RoutingUpdate) -> None:
        self._questions.resolve(
            self._dispatcher.update(message, time.monotonic())
        )

    @handle.register
    def _(self, message: Tick) -> None:
        self._questions.resolve(self._dispatcher.tick(time.monotonic()))

    @handle.register
    def _(self, message: GetReplicas) -> list[tables.Upstream]:
        return self._dispatcher.get_replicas(message.name, time.monotonic())

    @handle.register
    def _(self, message: NoteService) -> None:
        self._dispatcher.note_service(
            message.upstream, message.is_ok, time.monotonic()
        )

    @handle.register
    def _(self, message: IsQuarantined) -> bool:
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
        self._questions.resolve(effects)
        if is_new:
            self._on_urgent()

    @handle.register
    def _(self, message: AcquirePermit) -> bool:
        state = self._dispatcher.availability
        return state.acquire_permit(message.upstream, time.monotonic())

    @handle.register
    def _(self, message: GetRetryAfter) -> float:
        return self._dispatcher.availability.get_retry_after_s(
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
            self._dispatcher.list_crashes(time.monotonic()),
            self._dispatcher.availability.throttle.list_updates(
                time.monotonic()
            ),
            self._dispatcher.quarantine.make_evidence(time.monotonic()),
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
        """Refuses the request whose handling raised an exception."""
        questions.refuse_failed(message)


class Traffic:
    """Typed interface to the actor for request threads."""

    def __init__(
        self, dispatcher: dispatch.Dispatcher, on_urgent: Callable[[], None]
    ) -> None:
        """Starts the actor.

        Args:
            dispatcher: Owned by the actor from now on.
            on_urgent: Called when an upstream's signal must reach the other
                hosts at once.
        """
        self._throttle = dispatcher.availability.throttle
        self._ref = TrafficActor.start(dispatcher, on_urgent)

    def close(self) -> None:
        """Stops the actor."""
        self._ref.stop()

    def arrive(self, arrival: requests.Arrival) -> DecisionFuture:
        """Submits a request; the future gives its first path or refusal."""
        fut: DecisionFuture = concurrent.futures.Future()
        self._ref.tell(Arrive(arrival, fut))
        return fut

    def fail(self, failure: requests.Failure) -> DecisionFuture:
        """Reports a failed attempt; the future gives a new path or refusal."""
        fut: DecisionFuture = concurrent.futures.Future()
        self._ref.tell(Fail(failure, fut))
        return fut

    def may_replace(self, request_id: str) -> bool:
        """Returns whether a silent attempt may be ended and replaced."""
        may_replace: bool = actors.ask(self._ref, MayReplace(request_id))
        return may_replace

    def finish(self, request_id: str, is_answered: bool) -> None:
        """Reports that a request was answered completely or has ended."""
        self._ref.tell(Finish(request_id, is_answered))

    def is_quarantined(self, fingerprint: str) -> bool:
        """Returns whether a request or call is quarantined."""
        held: bool = actors.ask(self._ref, IsQuarantined(fingerprint))
        return held

    def tell(
        self,
        message: requests.Progress
        | requests.Established
        | tables.RoutingUpdate
        | Tick
        | NoteService
        | NoteCall,
    ) -> None:
        """Sends a message that needs no answer."""
        self._ref.tell(message)

    def note_signals(self, upstream: str, answer: signals.Signals) -> None:
        """Reports the signals of an answer; most answers have none."""
        if answer != signals.NO_SIGNALS or self._throttle.limited:
            self._ref.tell(NoteSignals(upstream, answer))

    def acquire_permit(self, upstream: str) -> bool:
        """Acquires a permit if a replica accepts a call now."""
        is_taken: bool = actors.ask(self._ref, AcquirePermit(upstream))
        return is_taken

    def get_retry_after_s(
        self, service: str, upstreams: tuple[str, ...]
    ) -> float:
        """Returns the seconds after which a caller refused by all may retry."""
        after_s: float = actors.ask(
            self._ref, GetRetryAfter(service, upstreams)
        )
        return after_s

    def get_replicas(self, name: str) -> list[tables.Upstream]:
        """Returns a plain service's replicas, available and idle ones first."""
        found: list[tables.Upstream] = actors.ask(self._ref, GetReplicas(name))
        return found

    def get_report(self) -> Report:
        """Returns the router's part of its report to the control daemon."""
        report: Report = actors.ask(self._ref, GetReport())
        return report

    def get_dump(self) -> Dump:
        """Returns the state dump."""
        dump: Dump = actors.ask(self._ref, GetDump())
        return dump
