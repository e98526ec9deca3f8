"""Runs the attempts of one request and relays its tokens to the caller.

There is one `Relay` for each request. The thread of the caller's connection
opens attempts and waits; after the first tokens, the single thread of
`egretspur.delivery.pump` reads, checks and writes them.
`egretspur.delivery.attempts` decides whether an event is accepted and
`egretspur.routing.dispatch` where the next attempt is sent.
"""

from __future__ import annotations

import concurrent.futures
import time
from collections.abc import Callable
from typing import Final

import attrs

from egretspur import decisions, ends, errors, web
from egretspur.clients import engine
from egretspur.delivery import answer_log, attempts, output
from egretspur.delivery import pump as pumps
from egretspur.routing import actor as traffics
from egretspur.routing import requests

# Interval between checks whether a waiting caller has disconnected.
DISCONNECT_CHECK_INTERVAL_S: Final = 0.1

# Interval of progress reports, so that a link that has become slow gets less
# work while long answers still run.
PROGRESS_INTERVAL_S: Final = 1.0


@attrs.frozen
class Prompt:
    """A caller's request for a model."""

    id: str
    workspace: str
    model: str
    text: str
    max_tokens: int
    # The same for retries of a request under other ids.
    fingerprint: str = ""
    # Segments of the text that other prompts may share.
    segments: tuple[str, ...] = ()


@attrs.frozen
class Completion:
    """The answer is complete."""

    count: int
    pipeline: str


Result = Completion | errors.Refusal
Write = Callable[[list[str]], None]


class Canceller:
    """Cancels attempts at their stages, in background threads."""

    def __init__(self, engines: engine.EngineClient) -> None:
        self._engines = engines
        self._pool = concurrent.futures.ThreadPoolExecutor(
            4, thread_name_prefix="cancel"
        )

    def close(self) -> None:
        """Sends the queued cancellations and stops."""
        self._pool.shutdown(wait=True)

    def cancel(self, grant: requests.Grant, attempt: int) -> None:
        """Cancels an attempt at every stage of its path."""
        for hop in grant.hops:
            self._pool.submit(
                self._engines.cancel, hop.address, grant.id, attempt
            )


class SlowCallerError(Exception):
    """The caller reads too slowly and is treated as disconnected."""


@attrs.frozen
class RelayDependencies:
    """Objects shared by all relays of a router."""

    traffic: traffics.Traffic
    engines: engine.EngineClient
    canceller: Canceller
    pump: pumps.Pump
    # Maximum seconds until an attempt's first event.
    first_event_s: float


class Relay:
    """Relays one request and its answer.

    `begin` runs until the first tokens arrive, so that a request that fails
    before them gets an error status; `run` relays the rest; `close` must
    always be called and cancels an unfinished attempt at every stage.
    """

    def __init__(
        self,
        prompt: Prompt,
        deps: RelayDependencies,
        is_caller_gone: Callable[[], bool],
    ) -> None:
        self._prompt = prompt
        self._deps = deps
        self._traffic = deps.traffic
        self._is_caller_gone = is_caller_gone
        self._merge = attempts.TokenMerge(prompt.id)
        # Path of the current attempt, to cancel it if the caller disconnects.
        self._grant: requests.Grant | None = None
        self._stream: engine.EventStream | None = None
        # Sends tokens to the caller; set before the pump runs a stream.
        self._write: Write | None = None
        self._fault: attempts.Fault | None = None
        self._caller_error: Exception | None = None
        # Time and token count of the last progress report.
        self._reported_s = 0.0
        self._reported_tokens = 0
        # Position at which the current attempt began.
        self._first_position = 0
        self._output = output.AttemptOutput()
        # Failure after the tokens that `begin` returned, handled by `run`.
        self._pending_failure: requests.Failure | None = None
        self.pipeline = ""
        # For the log: when the request came, when events last arrived or an
        # attempt began, the failed attempts, and who ended the last one.
        self._began_s = self._active_s = time.monotonic()
        self._failed: list[str] = []
        self._ended_by = ends.EndedBy.HOST.value

    def begin(self) -> list[str] | Result:
        """Returns the first tokens, or the result if there are none."""
        prompt = self._prompt
        arrival = requests.Arrival(
            prompt.id,
            prompt.workspace,
            prompt.model,
            prompt.fingerprint,
            prompt.segments,
        )
        fut = self._traffic.arrive(arrival)
        while True:
            decision = self._wait(fut)
            if isinstance(decision, errors.Refusal):
                return decision
            texts: list[str] = []
            failure = self._open(decision) or self._read_first(decision, texts)
            if failure is None and self._merge.finished and not texts:
                return self._make_completion()
            if texts:
                self._pending_failure = failure
                self._note_output(True)
                return texts
            if failure is not None:
                fut = self._traffic.fail(failure)

    def run(self, write: Write) -> Result:
        """Relays the rest of the answer; returns how it ended."""
        self._write = write
        failure = self._pending_failure
        while True:
            if failure is None and not self._merge.finished:
                failure = self._run_stream()
            if failure is None:
                return self._make_completion()
            decision = self._wait(self._traffic.fail(failure))
            if isinstance(decision, errors.Refusal):
                self._record_cut(decision)
                return decision
            failure = self._open(decision)

    def close(self) -> None:
        """Ends the request; cancels an unfinished attempt."""
        self._cancel_attempt()
        self._traffic.finish(self._prompt.id, self._merge.finished)

    def handle_events(self, events: list[engine.Event]) -> bool:
        """Handles events from the pump; False once the attempt has ended."""
        texts: list[str] = []
        self._active_s = time.monotonic()
        self._fault = self._accept(events, texts)
        if texts:
            assert self._write is not None
            try:
                self._write(texts)
            except (web.CallerDisconnected, SlowCallerError) as exc:
                self._caller_error = exc
                return False
            self._report_progress(-1)
        self._note_output(bool(texts))
        return self._fault is None and not self._merge.finished

    def _note_output(self, has_output: bool) -> None:
        """Tells the broker once the prompt is shown not to crash engines."""
        is_new = has_output and self._output.note(self._active_s)
        if self._merge.finished:
            is_new |= self._output.note_end()
        if is_new:
            self._traffic.tell(requests.Established(self._prompt.id))

    def _make_completion(self) -> Completion:
        return Completion(len(self._merge.tokens), self.pipeline)

    def _wait(
        self, fut: traffics.DecisionFuture
    ) -> requests.Grant | errors.Refusal:
        while True:
            try:
                return fut.result(DISCONNECT_CHECK_INTERVAL_S)
            except concurrent.futures.TimeoutError:
                if self._is_caller_gone():
                    return errors.Refusal(
                        errors.ErrorKind.CALLER_GONE,
                        "caller disconnected while waiting",
                    )

    def _open(self, grant: requests.Grant) -> requests.Failure | None:
        """Starts an attempt; returns its failure if it can't start."""
        call = self._make_call(grant)
        self._grant = grant
        opened = self._deps.engines.run(call)
        if isinstance(opened, engine.StreamFailure):
            return self._end_broken(grant, opened)
        self._stream = opened
        self._output.begin()
        self._reported_s = self._active_s = time.monotonic()
        self._reported_tokens = len(self._merge.tokens)
        self._first_position = len(self._merge.tokens)
        return None

    def _read_first(
        self, grant: requests.Grant, texts: list[str]
    ) -> requests.Failure | None:
        """Reads until the first tokens or the end of the attempt."""
        stream = self._stream
        assert stream is not None
        while not texts:
            events = stream.read()
            if isinstance(events, engine.StreamFailure):
                return self._end_broken(grant, events)
            fault = self._accept(events, texts)
            if fault is not None:
                return self._end_fault(grant, fault)
            if self._merge.finished:
                self._finish_stream()
                return None
        return None

    def _run_stream(self) -> requests.Failure | None:
        """Runs the stream in the pump; returns the attempt's failure."""
        grant, stream = self._grant, self._stream
        assert grant is not None and stream is not None
        # The long limit covers the prefill; after this attempt's first token
        # the short one applies, so that a silent stage is noticed.
        max_silence_s = stream.max_silence_s
        if len(self._merge.tokens) == self._first_position:
            max_silence_s = self._deps.first_event_s
        broken = self._deps.pump.run(stream, self, max_silence_s)
        while broken is not None and self._may_go_on(broken):
            broken = self._deps.pump.run(stream, self, stream.max_silence_s)
        if self._caller_error is not None:
            raise self._caller_error
        if broken is not None:
            return self._end_broken(grant, broken)
        if self._fault is not None:
            return self._end_fault(grant, self._fault)
        self._finish_stream()
        return None

    def _may_go_on(self, broken: engine.StreamFailure) -> bool:
        """Returns whether a silent attempt is read further.

        Its engines may only be slow, so it is ended only if there is another
        path; its caller decides how long to wait.
        """
        return (
            broken.is_silent
            and self._caller_error is None
            and not self._is_caller_gone()
            and not self._traffic.may_replace(self._prompt.id)
        )

    def _finish_stream(self) -> None:
        """Returns the connection of a finished attempt to its pool."""
        stream, self._stream, self._grant = self._stream, None, None
        if stream is not None:
            stream.finish()

    def _make_call(self, grant: requests.Grant) -> engine.RunCall:
        hops = tuple(
            engine.Hop(e.upstream, u.address, e.first, e.last)
            for e, u in zip(grant.path.edges, grant.hops, strict=True)
        )
        trail = engine.format_trail(hops)
        attempt = attempts.begin_attempt(self._merge, trail)
        self.pipeline = trail
        prompt = self._prompt
        return engine.RunCall(
            prompt.id,
            attempt,
            prompt.model,
            grant.deployment.adapter,
            grant.deployment.version,
            prompt.text,
            tuple(self._merge.tokens),
            prompt.max_tokens,
            grant.binding.priority,
            hops,
        )

    def _accept(
        self, events: list[engine.Event], texts: list[str]
    ) -> attempts.Fault | None:
        for event in events:
            decision = attempts.apply_event(self._merge, event)
            if isinstance(decision, attempts.Deliver):
                texts.append(decision.text)
            elif isinstance(decision, attempts.Fault):
                return decision
            elif isinstance(decision, attempts.Finish):
                self._report_progress(decision.load)
                return None
        return None

    def _report_progress(self, load: int) -> None:
        now = time.monotonic()
        elapsed_s = now - self._reported_s
        if load < 0 and elapsed_s < PROGRESS_INTERVAL_S:
            return
        count = len(self._merge.tokens)
        self._traffic.tell(
            requests.Progress(
                self._prompt.id, count - self._reported_tokens, elapsed_s, load
            )
        )
        self._reported_s = now
        self._reported_tokens = count

    def _record_failure(
        self, why: str, reason: str, blamed: tuple[str, ...], ended_by: str
    ) -> None:
        """Logs a failed attempt."""
        count = len(self._merge.tokens)
        silent_s = time.monotonic() - self._active_s
        where = ", ".join(blamed) or self.pipeline
        self._failed.append(
            answer_log.describe_attempt(where, why, ended_by, silent_s)
        )
        self._ended_by = ended_by
        decisions.record(
            decisions.AttemptFailed(
                self._prompt.id,
                self._merge.attempt,
                why,
                reason,
                blamed,
                count,
                count - self._first_position,
                self._prompt.fingerprint,
                self._stream is not None,
                ended_by,
                silent_s,
            )
        )

    def _record_cut(self, refusal: errors.Refusal) -> None:
        """Logs that an answer ended early."""
        now_s = time.monotonic()
        if refusal.kind is errors.ErrorKind.CALLER_GONE:
            decisions.record(
                decisions.RequestLeft(
                    self._prompt.id,
                    len(self._merge.tokens),
                    now_s - self._active_s,
                    now_s - self._began_s,
                )
            )
            return
        decisions.record(
            decisions.RequestCut(
                self._prompt.id,
                refusal.reason,
                len(self._merge.tokens),
                now_s - self._began_s,
                self._ended_by,
                tuple(self._failed[-decisions.MAX_NAMED :]),
                now_s - self._active_s,
                # Prompts have no deadline of their own once they have begun.
                0.0,
            )
        )

    def _end_broken(
        self, grant: requests.Grant, broken: engine.StreamFailure
    ) -> requests.Failure:
        """Ends an attempt whose connection failed.

        If the connection was refused or reset, the last stage is at fault. If
        it was silent, any stage may be: the last one sends nothing when an
        earlier one is dead.
        """
        blamed: tuple[str, ...] = ()
        if broken.upstream_failed:
            blamed = (grant.path.edges[-1].upstream,)
        if broken.refusal:
            return self._end_refused(grant, broken)
        self._record_failure(
            "cut", broken.reason, blamed, broken.ended_by.value
        )
        has_head = self._stream is not None
        if broken.maybe_started:
            self._cancel_attempt()
        self._grant = None
        self._stream = None
        return attrs.evolve(
            self._make_failure(broken.reason, blamed, broken.maybe_started),
            is_cut=(
                broken.maybe_started
                and broken.ended_by is not ends.EndedBy.HELPER
            ),
            has_brought=len(self._merge.tokens) > self._first_position,
            has_head=has_head,
            is_established=self._output.is_established,
            is_own=broken.ended_by.is_own_side,
        )

    def _end_refused(
        self, grant: requests.Grant, broken: engine.StreamFailure
    ) -> requests.Failure:
        self._grant = None
        refusal = broken.refusal
        assert refusal is not None
        upstream = refusal.upstream or grant.path.edges[-1].upstream
        return attrs.evolve(
            self._make_failure(
                f"{upstream}: {refusal.kind}", (upstream,), maybe_started=False
            ),
            busy=refusal.kind == engine.BUSY,
            leaving=upstream if refusal.kind == engine.LEAVING else "",
        )

    def _end_fault(
        self, grant: requests.Grant, fault: attempts.Fault
    ) -> requests.Failure:
        blamed = (fault.upstream,) if fault.upstream else ()
        self._record_failure(
            fault.cause.value,
            fault.reason,
            blamed,
            ends.EndedBy.UPSTREAM.value,
        )
        self._cancel_attempt()
        failure = self._make_failure(
            f"{fault.cause.value}: {fault.reason}", blamed, maybe_started=True
        )
        if fault.reason == engine.LEAVING:
            return attrs.evolve(failure, leaving=fault.upstream)
        if fault.reason == engine.BUSY:
            return attrs.evolve(failure, busy=True)
        return failure

    def _make_failure(
        self, reason: str, blamed: tuple[str, ...], maybe_started: bool
    ) -> requests.Failure:
        return requests.Failure(
            self._prompt.id,
            reason,
            blamed,
            busy=False,
            leaving="",
            maybe_started=maybe_started,
            delivered=len(self._merge.tokens),
        )

    def _cancel_attempt(self) -> None:
        """Closes an unfinished attempt's stream and cancels its work."""
        if self._stream is not None:
            self._stream.discard()
            self._stream = None
        if self._grant is not None:
            self._deps.canceller.cancel(self._grant, self._merge.attempt)
            self._grant = None
