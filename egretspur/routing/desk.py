"""Actor that owns a host's `Broker` and runs its effects.

Request threads and feeds talk to it through `Desk`. Events of answers never
pass through it; a request costs it a few messages in all.
"""

from __future__ import annotations

import concurrent.futures
import functools
import threading
import time
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from egretspur import actors, decisions, errors, signals
from egretspur.admission import quarantine
from egretspur.catalog import config, feeds, upstreams
from egretspur.routing import broker, fleet, jobs, questions

Decision = jobs.Start | errors.Refusal
DecisionFuture = concurrent.futures.Future[Decision]


@attrs.frozen
class Arrive:
    """A request with the future that its thread waits on."""

    job: jobs.Job
    fut: DecisionFuture


@attrs.frozen
class Fail:
    """A failed attempt with the future for what comes next."""

    failure: jobs.Failure
    fut: DecisionFuture


@attrs.frozen
class Finish:
    """A request is over."""

    id: str
    # An upstream answered it to the end, and not with a failure.
    is_answered: bool


@attrs.frozen
class Answered:
    """An upstream began to answer."""

    id: str


@attrs.frozen
class NoteSignals:
    """An upstream asked something of the hosts beside an answer."""

    upstream_id: str
    answer: signals.Signals


@attrs.frozen
class Repath:
    """Asks for another path of a running request."""

    id: str
    stalled: frozenset[str]
    # Its attempt has brought a part of the answer.
    has_brought: bool


@attrs.frozen
class SecureRepeat:
    """Asks whether a running attempt may be ended for another one."""

    id: str


@attrs.frozen
class Configure:
    """A new configuration."""

    cfg: config.Configuration


@attrs.frozen
class ReplaceUpstreams:
    """The whole list of upstreams."""

    entries: Mapping[str, upstreams.Upstream | feeds.Unreadable]


@attrs.frozen
class ChangeUpstreams:
    """Changes of the list of upstreams; None for a removal."""

    entries: tuple[
        tuple[str, upstreams.Upstream | feeds.Unreadable | None], ...
    ]


@attrs.frozen
class StoreAnswered:
    """The list of upstreams was read."""

    # The read before it had failed.
    is_back: bool


@attrs.frozen
class Heard:
    """What other hosts said, oldest first."""

    news: tuple[fleet.PeerNews, ...]
    # Hosts that share the retry budget, as far as this one knows.
    hosts: int


@attrs.frozen
class AskTurn:
    """Asks whether an upstream may be asked something now."""

    upstream_id: str


@attrs.frozen
class NoteFailed:
    """An upstream failed outside of any request."""

    upstream_id: str


@attrs.frozen
class Learn:
    """An engine's own word on the layers it holds."""

    upstream_id: str
    layers: upstreams.Layers


@attrs.frozen
class Restore:
    """Requests that the store has in quarantine; no ends for one let go."""

    ends: Mapping[str, quarantine.Ends]


@attrs.frozen
class TakeDue:
    """Time passed; asks for what is to be done outside of the actor."""


@attrs.frozen
class Due:
    """What is to be done outside of the actor."""

    # Upstreams to probe now.
    probes: tuple[upstreams.Upstream, ...] = ()
    # Upstreams were found failing that other hosts haven't been told of.
    has_suspects: bool = False
    # Changes of the quarantine that the store is to be told of.
    unsaved: tuple[quarantine.Change, ...] = ()


@attrs.frozen
class Probed:
    """The result of a probe."""

    upstream_id: str
    # None if it did not answer.
    report: upstreams.EngineReport | None


@attrs.frozen
class Suspect:
    """An answer over these engines paused."""

    upstream_ids: tuple[str, ...]


@attrs.frozen
class Look:
    """Runs a function on the broker and returns what it returns."""

    read: Callable[[broker.Broker], Any]


class DeskActor(actors.Actor):
    """Holds the broker; see the messages above."""

    def __init__(self, state: broker.Broker, busy: threading.Event) -> None:
        """Makes an actor.

        Args:
            state: Owned by it from now on.
            busy: Set while something may come due at any moment.
        """
        super().__init__()
        self._broker = state
        self._busy = busy
        self._questions: questions.Questions[jobs.Start] = questions.Questions()

    @functools.singledispatchmethod
    def handle(self, message: object) -> Any:
        """Handles one message."""
        raise actors.make_unknown(message)

    @handle.register
    def _(self, message: Arrive) -> None:
        self._questions.ask(message.job.id, message.fut)
        self._questions.run(self._broker.arrive(message.job, time.monotonic()))

    @handle.register
    def _(self, message: Fail) -> None:
        self._questions.ask(message.failure.id, message.fut)
        self._questions.run(
            self._broker.fail(message.failure, time.monotonic())
        )

    @handle.register
    def _(self, message: Finish) -> None:
        self._questions.forget(message.id)
        self._questions.run(
            self._broker.finish(
                message.id, time.monotonic(), message.is_answered
            )
        )

    @handle.register
    def _(self, message: Answered) -> None:
        self._broker.note_answer(message.id, time.monotonic())

    @handle.register
    def _(self, message: NoteSignals) -> None:
        self._questions.run(
            self._broker.note_signals(
                message.upstream_id, message.answer, time.monotonic()
            )
        )

    @handle.register
    def _(self, message: Repath) -> jobs.Detour:
        return self._broker.repath(
            message.id,
            message.stalled,
            time.monotonic(),
            message.has_brought,
        )

    @handle.register
    def _(self, message: SecureRepeat) -> bool:
        return self._broker.secure_repeat(message.id, time.monotonic())

    @handle.register
    def _(self, message: Configure) -> None:
        self._questions.run(
            self._broker.configure(message.cfg, time.monotonic())
        )

    @handle.register
    def _(self, message: ReplaceUpstreams) -> None:
        now_s = time.monotonic()
        self._questions.run(self._broker.replace_list(message.entries, now_s))

    @handle.register
    def _(self, message: ChangeUpstreams) -> None:
        now_s = time.monotonic()
        self._questions.run(self._broker.change_list(message.entries, now_s))

    @handle.register
    def _(self, message: StoreAnswered) -> None:
        now_s = time.monotonic()
        if message.is_back:
            upstreams.start_grace(self._broker.fleet.roster, now_s)

    @handle.register
    def _(self, message: Heard) -> None:
        self._broker.note_hosts(message.hosts)
        now_s = time.monotonic()
        for news in message.news:
            self._broker.hear(news, now_s)

    @handle.register
    def _(self, message: AskTurn) -> bool:
        return self._broker.fleet.backpressure.may_ask(
            message.upstream_id, time.monotonic()
        )

    @handle.register
    def _(self, message: NoteFailed) -> None:
        self._broker.fleet.health.note_down(
            message.upstream_id, time.monotonic()
        )

    @handle.register
    def _(self, message: Learn) -> None:
        now_s = time.monotonic()
        self._broker.fleet.moves.note_reported(
            message.upstream_id, message.layers, now_s
        )
        self._questions.run(self._broker.refresh(now_s))

    @handle.register
    def _(self, message: Restore) -> None:
        self._questions.run(
            self._broker.restore(message.ends, time.monotonic())
        )

    @handle.register
    def _(self, message: TakeDue) -> Due:
        now_s = time.monotonic()
        self._questions.run(self._broker.tick(now_s))
        state = self._broker.fleet
        return Due(
            tuple(state.take_probes(now_s)),
            state.take_new_suspects(now_s),
            tuple(self._broker.take_unsaved()),
        )

    @handle.register
    def _(self, message: Probed) -> None:
        now_s = time.monotonic()
        self._broker.fleet.note_report(
            message.upstream_id, message.report, now_s
        )
        self._questions.run(self._broker.refresh(now_s))

    @handle.register
    def _(self, message: Suspect) -> None:
        self._broker.fleet.paces.suspect(message.upstream_ids)

    @handle.register
    def _(self, message: Look) -> Any:
        return message.read(self._broker)

    def on_receive(self, message: Any) -> Any:
        """Handles one message and logs what was decided by it."""
        try:
            return super().on_receive(message)
        finally:
            for note in self._broker.take_notes():
                decisions.record(note)
            if not self._broker.is_busy():
                self._busy.clear()
            elif not self._busy.is_set():
                self._busy.set()

    def note_failed(self, message: Any) -> None:
        """Answers the request that could not be decided on."""
        questions.answer_failed(message)


class Desk:
    """Typed front of the actor."""

    def __init__(self, state: broker.Broker) -> None:
        """Starts the actor, which owns the broker from now on."""
        self._busy = threading.Event()
        self._throttle = state.throttle
        self._backpressure = state.fleet.backpressure
        self._ref = DeskActor.start(state, self._busy)

    def close(self) -> None:
        """Stops the actor."""
        self._ref.stop()

    def arrive(self, job: jobs.Job) -> DecisionFuture:
        """Hands in a request; the future gives its start or refusal."""
        fut: DecisionFuture = concurrent.futures.Future()
        self._ref.tell(Arrive(job, fut))
        return fut

    def fail(self, failure: jobs.Failure) -> DecisionFuture:
        """Reports a failed attempt; the future gives what comes next."""
        fut: DecisionFuture = concurrent.futures.Future()
        self._ref.tell(Fail(failure, fut))
        return fut

    def configure(self, cfg: config.Configuration) -> None:
        """Puts a configuration in force; returns once it is."""
        actors.ask(self._ref, Configure(cfg))

    def tell(self, message: Any) -> None:
        """Sends a message that needs no answer."""
        self._ref.tell(message)

    def note_signals(self, upstream_id: str, answer: signals.Signals) -> None:
        """Takes what an answer asks of the hosts; most ask nothing."""
        if answer == signals.NONE and upstream_id not in self._throttle.limited:
            return
        self._ref.tell(NoteSignals(upstream_id, answer))

    def repath(
        self, job_id: str, stalled: frozenset[str], has_brought: bool
    ) -> jobs.Detour:
        """Returns how a running request gets past stages, and moves it."""
        found: jobs.Detour = actors.ask(
            self._ref, Repath(job_id, stalled, has_brought)
        )
        return found

    def secure_repeat(self, job_id: str) -> bool:
        """Tells whether a running attempt may be ended for another one."""
        is_secured: bool = actors.ask(self._ref, SecureRepeat(job_id))
        return is_secured

    def may_ask(self, upstream_id: str) -> bool:
        """Tells whether an upstream may be asked something; counts it."""
        if self._backpressure.is_free(upstream_id):
            return True
        may_ask: bool = actors.ask(self._ref, AskTurn(upstream_id))
        return may_ask

    def take_due(self) -> Due:
        """Does what came due, and returns what is left to do for others."""
        due: Due = actors.ask(self._ref, TakeDue())
        return due

    def wait_busy(self, wait_s: float) -> None:
        """Waits until something may come due at any moment, or so long."""
        self._busy.wait(wait_s)

    def look(self, read: Callable[[broker.Broker], Any]) -> Any:
        """Returns what a function reads from the broker."""
        return actors.ask(self._ref, Look(read))
