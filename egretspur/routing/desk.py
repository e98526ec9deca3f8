"""Actor that owns a host's `Broker` and runs its effects.

Request threads and feeds use it through `Desk`. Streamed events of answers
bypass it, so each request costs the actor only a few messages.
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
from egretspur.admission import quarantine, segments
from egretspur.catalog import config, feeds, upstreams
from egretspur.membership import contention, slowness
from egretspur.routing import broker, fleet, jobs, questions, unproductive
from egretspur.tunnels import reach

Decision = jobs.Start | errors.Refusal
DecisionFuture = concurrent.futures.Future[Decision]


@attrs.frozen
class Arrive:
    """A new request, with the future that its thread waits on."""

    job: jobs.Job
    fut: DecisionFuture


@attrs.frozen
class Fail:
    """A failed attempt, with the future for the next start or refusal."""

    failure: jobs.Failure
    fut: DecisionFuture


@attrs.frozen
class Finish:
    """A request is over."""

    id: str
    # Whether an upstream answered it completely and without a failure.
    is_answered: bool
    # If only the end of a connection told that the answer is complete: how its
    # attempt has failed if its upstream crashed.
    doubt: jobs.Failure | None = None


@attrs.frozen
class AnswerStarted:
    """An upstream began to answer."""

    id: str
    # The answer is an error, which the caller gets.
    is_error: bool = False


@attrs.frozen
class AnswerEstablished:
    """An answer has brought output for a while, or is complete with some."""

    id: str


@attrs.frozen
class NoteSignals:
    """An answer came with flow-control signals of its upstream."""

    upstream_id: str
    answer: signals.Signals


@attrs.frozen
class Reroute:
    """Asks to reroute a running request around stalled engines."""

    id: str
    stalled: frozenset[str]
    # Whether its attempt has produced part of the answer.
    has_output: bool
    # Whether the answer of some attempt was established.
    is_established: bool


@attrs.frozen
class ReserveRetry:
    """Asks whether a running attempt may be ended and retried."""

    id: str


@attrs.frozen
class StartHandover:
    """Asks to start an attempt beside a silent one."""

    id: str
    # Whether the connection of the silent one is lost.
    is_lost: bool


@attrs.frozen
class DropHandover:
    """The attempt beside a silent one has ended."""

    id: str
    # None if the silent one went on first, or ended before it was sent.
    failure: jobs.Failure | None
    # Whether an upstream may have run it.
    is_sent: bool = True


@attrs.frozen
class TakeOver:
    """The attempt beside a silent one replaces it."""

    # How the silent one ended.
    failure: jobs.Failure


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
    """Changes of the list of upstreams by name; None removes one."""

    entries: tuple[
        tuple[str, upstreams.Upstream | feeds.Unreadable | None], ...
    ]


@attrs.frozen
class StoreAnswered:
    """The list of upstreams was read."""

    # Whether the read before it had failed.
    is_back: bool


@attrs.frozen
class PeerUpdates:
    """Peer updates, oldest first."""

    updates: tuple[fleet.PeerState, ...]
    # Number of hosts known to share the retry budget, this one included.
    hosts: int


@attrs.frozen
class HostsCounted:
    """Lists tell how many hosts share the budgets, and no update does."""

    hosts: int


@attrs.frozen
class PeerContention:
    """Contention updates of other hosts, oldest first."""

    updates: tuple[contention.ContentionUpdate, ...]


@attrs.frozen
class PeerSlowness:
    """Plain replicas that other hosts find slow, oldest first."""

    updates: tuple[slowness.SlownessUpdate, ...]


@attrs.frozen
class PeerEvidence:
    """What other hosts know of prompt segments, oldest first."""

    updates: tuple[segments.Update, ...]


@attrs.frozen
class MayQuery:
    """Asks whether an upstream may be queried now, given limit and backoff."""

    upstream_id: str


@attrs.frozen
class UpstreamFailed:
    """An upstream failed outside of any request."""

    upstream_id: str


@attrs.frozen
class EngineUnproductive:
    """An engine answers probes, but streams over it get no first event.

    Asks whether it was paused.
    """

    upstream_id: str


@attrs.frozen
class ReachChanged:
    """How this host reaches upstreams has changed."""

    state: reach.ReachState


@attrs.frozen
class LinkStalled:
    """Nothing comes over a link between two data centres."""

    source: str
    target: str


@attrs.frozen
class LayersReported:
    """An engine's report of the layers that it holds."""

    upstream_id: str
    layers: upstreams.Layers


@attrs.frozen
class RestoreQuarantine:
    """The store's quarantine; a released request has no crashes."""

    ends: Mapping[str, quarantine.CrashWeights]


@attrs.frozen
class Tick:
    """Runs the broker's timers; asks for the work due outside the actor."""


@attrs.frozen
class Due:
    """Work that is due outside the actor."""

    # Upstreams to probe now.
    probes: tuple[upstreams.Upstream, ...] = ()
    # Whether failing upstreams were found that no peer update has named yet.
    has_suspects: bool = False
    # Quarantine changes to be written to the store.
    unsaved: tuple[quarantine.Change, ...] = ()


@attrs.frozen
class Probed:
    """The result of a probe."""

    upstream_id: str
    report: upstreams.EngineReport | upstreams.ProbeFailed


@attrs.frozen
class AnswerPaused:
    """An answer paused on a path over these engines."""

    upstream_ids: tuple[str, ...]


@attrs.frozen
class Query:
    """Calls a function with the broker and returns its result."""

    read: Callable[[broker.Broker], Any]


class DeskActor(actors.Actor):
    """Runs the broker; handles the messages above."""

    def __init__(self, state: broker.Broker, busy: threading.Event) -> None:
        """Creates the actor.

        Args:
            state: Owned by the actor from now on.
            busy: Set while `Tick` is to be sent at short intervals.
        """
        super().__init__()
        self._broker = state
        self._unproductive = unproductive.UnproductiveEngines(
            state.fleet.roster, state.fleet.health
        )
        self._busy = busy
        self._pending: questions.PendingDecisions[jobs.Start] = (
            questions.PendingDecisions()
        )

    @functools.singledispatchmethod
    def handle(self, message: object) -> Any:
        """Handles one message."""
        raise actors.make_unknown_message_error(message)

    @handle.register
    def _(self, message: Arrive) -> None:
        self._pending.add(message.job.id, message.fut)
        self._pending.resolve(
            self._broker.arrive(message.job, time.monotonic())
        )

    @handle.register
    def _(self, message: Fail) -> None:
        self._pending.add(message.failure.id, message.fut)
        self._pending.resolve(
            self._broker.fail(message.failure, time.monotonic())
        )

    @handle.register
    def _(self, message: Finish) -> None:
        self._pending.forget(message.id)
        self._pending.resolve(
            self._broker.finish(
                message.id,
                time.monotonic(),
                message.is_answered,
                message.doubt,
            )
        )

    @handle.register
    def _(self, message: AnswerStarted) -> None:
        self._broker.record_answer_start(
            message.id, time.monotonic(), message.is_error
        )

    @handle.register
    def _(self, message: AnswerEstablished) -> None:
        self._broker.record_established(message.id, time.monotonic())

    @handle.register
    def _(self, message: NoteSignals) -> None:
        self._pending.resolve(
            self._broker.note_signals(
                message.upstream_id, message.answer, time.monotonic()
            )
        )

    @handle.register
    def _(self, message: Reroute) -> jobs.RerouteDecision:
        return self._broker.reroute(
            message.id,
            message.stalled,
            time.monotonic(),
            message.has_output,
            message.is_established,
        )

    @handle.register
    def _(self, message: ReserveRetry) -> bool:
        return self._broker.reserve_retry(message.id, time.monotonic())

    @handle.register
    def _(self, message: StartHandover) -> jobs.Start | None:
        return self._broker.handovers.start(
            message.id, message.is_lost, time.monotonic()
        )

    @handle.register
    def _(self, message: DropHandover) -> None:
        now_s = time.monotonic()
        self._broker.handovers.drop(
            message.id, message.failure, now_s, message.is_sent
        )
        self._pending.resolve(self._broker.refresh(now_s))

    @handle.register
    def _(self, message: TakeOver) -> None:
        now_s = time.monotonic()
        self._broker.handovers.take_over(message.failure, now_s)
        self._pending.resolve(self._broker.refresh(now_s))

    @handle.register
    def _(self, message: Configure) -> None:
        self._pending.resolve(
            self._broker.configure(message.cfg, time.monotonic())
        )

    @handle.register
    def _(self, message: ReplaceUpstreams) -> None:
        now_s = time.monotonic()
        self._pending.resolve(
            self._broker.replace_upstreams(message.entries, now_s)
        )

    @handle.register
    def _(self, message: ChangeUpstreams) -> None:
        now_s = time.monotonic()
        self._pending.resolve(
            self._broker.change_upstreams(message.entries, now_s)
        )

    @handle.register
    def _(self, message: StoreAnswered) -> None:
        now_s = time.monotonic()
        if message.is_back:
            upstreams.start_grace(self._broker.fleet.roster, now_s)

    @handle.register
    def _(self, message: PeerUpdates) -> None:
        self._broker.set_host_count(message.hosts)
        now_s = time.monotonic()
        for update in message.updates:
            self._broker.apply_peer_update(update, now_s)

    @handle.register
    def _(self, message: HostsCounted) -> None:
        self._broker.retry_budgets.note_counted(message.hosts, time.monotonic())

    @handle.register
    def _(self, message: PeerContention) -> None:
        now_s = time.monotonic()
        for update in message.updates:
            self._broker.contention.apply_peer_update(update, now_s)

    @handle.register
    def _(self, message: PeerSlowness) -> None:
        now_s = time.monotonic()
        for update in message.updates:
            self._broker.timeouts.apply_peer_update(
                update.host, update.data_centre, update.slowest_s, now_s
            )

    @handle.register
    def _(self, message: PeerEvidence) -> None:
        now_s = time.monotonic()
        for update in message.updates:
            self._broker.apply_evidence(update, now_s)

    @handle.register
    def _(self, message: MayQuery) -> bool:
        return self._broker.fleet.backpressure.try_acquire_probe(
            message.upstream_id, time.monotonic()
        )

    @handle.register
    def _(self, message: UpstreamFailed) -> None:
        self._broker.fleet.health.mark_down(
            message.upstream_id,
            time.monotonic(),
            "a stream over it is stalled",
        )

    @handle.register
    def _(self, message: EngineUnproductive) -> bool:
        return self._unproductive.pause(message.upstream_id, time.monotonic())

    @handle.register
    def _(self, message: ReachChanged) -> None:
        self._pending.resolve(
            self._broker.set_reach_state(message.state, time.monotonic())
        )

    @handle.register
    def _(self, message: LinkStalled) -> None:
        self._broker.note_link_stalled(
            message.source, message.target, time.monotonic()
        )

    @handle.register
    def _(self, message: LayersReported) -> None:
        now_s = time.monotonic()
        self._broker.fleet.layer_changes.record_reported(
            message.upstream_id, message.layers, now_s
        )
        self._pending.resolve(self._broker.refresh(now_s))

    @handle.register
    def _(self, message: RestoreQuarantine) -> None:
        self._pending.resolve(
            self._broker.restore_quarantine(message.ends, time.monotonic())
        )

    @handle.register
    def _(self, message: Tick) -> Due:
        now_s = time.monotonic()
        suspended_s = time.clock_gettime(time.CLOCK_BOOTTIME) - now_s
        self._pending.resolve(self._broker.tick(now_s, suspended_s))
        state = self._broker.fleet
        return Due(
            tuple(state.take_probes(now_s)),
            state.check_new_suspects(now_s),
            tuple(self._broker.take_unsaved()),
        )

    @handle.register
    def _(self, message: Probed) -> None:
        now_s = time.monotonic()
        self._broker.fleet.apply_report(
            message.upstream_id, message.report, now_s
        )
        self._pending.resolve(self._broker.refresh(now_s))

    @handle.register
    def _(self, message: AnswerPaused) -> None:
        self._broker.fleet.paces.suspect(message.upstream_ids)

    @handle.register
    def _(self, message: Query) -> Any:
        return message.read(self._broker)

    def on_receive(self, message: Any) -> Any:
        """Handles one message and logs the decisions it led to."""
        try:
            return super().on_receive(message)
        finally:
            for note in self._broker.take_notes():
                decisions.record(note)
            if not self._broker.is_busy():
                self._busy.clear()
            elif not self._busy.is_set():
                self._busy.set()

    def on_message_failed(self, message: Any) -> None:
        """Refuses the request whose message raised an error."""
        questions.refuse_failed(message)


class Desk:
    """Typed interface to the actor."""

    def __init__(self, state: broker.Broker) -> None:
        """Starts the actor, which owns the broker from then on."""
        self._busy = threading.Event()
        self._throttle = state.throttle
        self._backpressure = state.fleet.backpressure
        self._ref = DeskActor.start(state, self._busy)

    def close(self) -> None:
        """Stops the actor."""
        self._ref.stop()

    def arrive(self, job: jobs.Job) -> DecisionFuture:
        """Submits a request; the future returns its start or refusal."""
        fut: DecisionFuture = concurrent.futures.Future()
        self._ref.tell(Arrive(job, fut))
        return fut

    def fail(self, failure: jobs.Failure) -> DecisionFuture:
        """Reports a failed attempt; the future returns what follows."""
        fut: DecisionFuture = concurrent.futures.Future()
        self._ref.tell(Fail(failure, fut))
        return fut

    def configure(self, cfg: config.Configuration) -> None:
        """Applies a configuration; returns once it is in force."""
        actors.ask(self._ref, Configure(cfg))

    def tell(self, message: Any) -> None:
        """Sends a message without waiting for a reply."""
        self._ref.tell(message)

    def note_signals(self, upstream_id: str, answer: signals.Signals) -> None:
        """Reports the signals of an answer; skips those that change nothing."""
        if (
            answer == signals.NO_SIGNALS
            and upstream_id not in self._throttle.limited
        ):
            return
        self._ref.tell(NoteSignals(upstream_id, answer))

    def reroute(
        self,
        job_id: str,
        stalled: frozenset[str],
        has_output: bool,
        is_established: bool,
    ) -> jobs.RerouteDecision:
        """Reroutes a running request around stalled engines."""
        found: jobs.RerouteDecision = actors.ask(
            self._ref, Reroute(job_id, stalled, has_output, is_established)
        )
        return found

    def reserve_retry(self, job_id: str) -> bool:
        """Returns whether a running attempt may be ended and retried."""
        is_reserved: bool = actors.ask(self._ref, ReserveRetry(job_id))
        return is_reserved

    def start_handover(self, job_id: str, is_lost: bool) -> jobs.Start | None:
        """Starts an attempt beside a silent one; None if none is possible."""
        start: jobs.Start | None = actors.ask(
            self._ref, StartHandover(job_id, is_lost)
        )
        return start

    def pause_unproductive(self, upstream_id: str) -> bool:
        """Pauses an unproductive engine; returns whether it was paused."""
        is_paused: bool = actors.ask(self._ref, EngineUnproductive(upstream_id))
        return is_paused

    def may_query(self, upstream_id: str) -> bool:
        """Returns whether an upstream may be queried; counts the query."""
        if self._backpressure.is_unrestricted(upstream_id):
            return True
        may_query: bool = actors.ask(self._ref, MayQuery(upstream_id))
        return may_query

    def tick(self) -> Due:
        """Runs the broker's timers; returns work due outside the actor."""
        due: Due = actors.ask(self._ref, Tick())
        return due

    def wait_busy(self, wait_s: float) -> None:
        """Waits until the broker is busy, for at most `wait_s`."""
        self._busy.wait(wait_s)

    def query(self, read: Callable[[broker.Broker], Any]) -> Any:
        """Returns the result of a function called with the broker."""
        return actors.ask(self._ref, Query(read))
