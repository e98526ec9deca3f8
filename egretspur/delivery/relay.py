"""The relay: runs the attempts of one request and passes its tokens on.

One instance per request. The thread of the caller's connection opens attempts
and waits; the tokens in between are read, checked and written by the one
thread of `egretspur.delivery.pump`. The relay decides nothing:
`egretspur.delivery.attempts` says what an event means and
`egretspur.routing.dispatch` where the next attempt goes.
"""

from __future__ import annotations

import concurrent.futures
import logging
import time
from collections.abc import Callable
from typing import Final

import attrs

from egretspur import errors, web
from egretspur.clients import engine
from egretspur.delivery import attempts
from egretspur.delivery import pump as pumps
from egretspur.routing import actor as traffics
from egretspur.routing import requests

_LOG: Final = logging.getLogger(__name__)

# Seconds between two looks at whether a waiting caller is gone.
GONE_CHECK_S: Final = 0.1

# Seconds of a stream after which its progress is reported, so that a link
# that turned slow loses work while long answers still run.
PROGRESS_S: Final = 1.0


@attrs.frozen
class Prompt:
    """A caller's request for a model."""

    id: str
    workspace: str
    model: str
    text: str
    max_tokens: int
    # The same for the same request under another id.
    fingerprint: str = ""


@attrs.frozen
class Whole:
    """The answer is complete."""

    count: int
    pipeline: str


Result = Whole | errors.Refusal
Write = Callable[[list[str]], None]


class Canceller:
    """Tells stages to drop an attempt, in the background."""

    def __init__(self, engines: engine.EngineClient) -> None:
        self._engines = engines
        self._pool = concurrent.futures.ThreadPoolExecutor(
            4, thread_name_prefix="cancel"
        )

    def close(self) -> None:
        """Sends what is queued and stops."""
        self._pool.shutdown(wait=True)

    def cancel(self, grant: requests.Grant, attempt: int) -> None:
        """Cancels an attempt at every stage of its path."""
        for hop in grant.hops:
            self._pool.submit(
                self._engines.cancel, hop.address, grant.id, attempt
            )


class SlowCallerError(Exception):
    """The caller does not take its answer; it is treated as gone."""


@attrs.frozen
class Tools:
    """What all relays of a router share."""

    traffic: traffics.Traffic
    engines: engine.EngineClient
    canceller: Canceller
    pump: pumps.Pump
    # Longest silence in seconds before an attempt's first event.
    first_event_s: float


class Relay:
    """Attempts and answer of one request.

    `begin` runs until the first tokens are there, so that a request without
    any gets an honest status; `run` passes on the rest; `close` is called in
    any case and cancels whatever is still under way at every stage.
    """

    def __init__(
        self,
        prompt: Prompt,
        tools: Tools,
        is_caller_gone: Callable[[], bool],
    ) -> None:
        self._prompt = prompt
        self._tools = tools
        self._traffic = tools.traffic
        self._is_caller_gone = is_caller_gone
        self._merge = attempts.Merge(prompt.id)
        # The attempt under way, to be cancelled if the caller leaves.
        self._grant: requests.Grant | None = None
        self._stream: engine.EventStream | None = None
        # Where tokens go; set while the pump runs a stream.
        self._write: Write | None = None
        self._fault: attempts.Fault | None = None
        self._caller_error: Exception | None = None
        self._marked_s = 0.0
        self._marked_tokens = 0
        # Position at which the attempt under way began.
        self._first_position = 0
        # Failure that followed the tokens which `begin` returned.
        self._pending: requests.Failure | None = None
        self.pipeline = ""

    def begin(self) -> list[str] | Result:
        """Returns the first tokens, or the result if there are none."""
        prompt = self._prompt
        arrival = requests.Arrival(
            prompt.id, prompt.workspace, prompt.model, prompt.fingerprint
        )
        fut = self._traffic.arrive(arrival)
        while True:
            decision = self._wait(fut)
            if isinstance(decision, errors.Refusal):
                return decision
            texts: list[str] = []
            failure = self._open(decision) or self._read_first(decision, texts)
            if failure is None and self._merge.finished and not texts:
                return self._make_whole()
            if texts:
                # What failed after these tokens is met again by `run`.
                self._pending = failure
                return texts
            if failure is not None:
                fut = self._traffic.fail(failure)

    def run(self, write: Write) -> Result:
        """Passes on the rest of the answer; returns how it ended."""
        self._write = write
        failure = self._pending
        while True:
            if failure is None and not self._merge.finished:
                failure = self._run_stream()
            if failure is None:
                return self._make_whole()
            decision = self._wait(self._traffic.fail(failure))
            if isinstance(decision, errors.Refusal):
                return decision
            failure = self._open(decision)

    def close(self) -> None:
        """Ends the request; cancels an attempt that is not over."""
        self._drop_attempt()
        self._traffic.finish(self._prompt.id, self._merge.finished)

    def take(self, events: list[engine.Event]) -> bool:
        """Takes events from the pump; False once the attempt is over."""
        texts: list[str] = []
        self._fault = self._accept(events, texts)
        if texts:
            assert self._write is not None
            try:
                self._write(texts)
            except (web.CallerGone, SlowCallerError) as exc:
                self._caller_error = exc
                return False
            self._report_progress(-1)
        return self._fault is None and not self._merge.finished

    def _make_whole(self) -> Whole:
        return Whole(len(self._merge.tokens), self.pipeline)

    def _wait(
        self, fut: traffics.DecisionFuture
    ) -> requests.Grant | errors.Refusal:
        while True:
            try:
                return fut.result(GONE_CHECK_S)
            except concurrent.futures.TimeoutError:
                if self._is_caller_gone():
                    return errors.Refusal(
                        errors.ErrorKind.CALLER_GONE, "while waiting"
                    )

    def _open(self, grant: requests.Grant) -> requests.Failure | None:
        """Starts an attempt; returns its failure if it can't be."""
        call = self._make_call(grant)
        self._grant = grant
        opened = self._tools.engines.run(call)
        if isinstance(opened, engine.StreamFailure):
            return self._end_broken(grant, opened)
        self._stream = opened
        self._marked_s = time.monotonic()
        self._marked_tokens = len(self._merge.tokens)
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
        """Lets the pump run the stream; returns the attempt's failure."""
        grant, stream = self._grant, self._stream
        assert grant is not None and stream is not None
        # The long bound is for the prefill; once this attempt has given a
        # token, a stage that falls silent must be noticed by the short one.
        bound_s = stream.max_silence_s
        if len(self._merge.tokens) == self._first_position:
            bound_s = self._tools.first_event_s
        broken = self._tools.pump.run(stream, self, bound_s)
        if self._caller_error is not None:
            raise self._caller_error
        if broken is not None:
            return self._end_broken(grant, broken)
        if self._fault is not None:
            return self._end_fault(grant, self._fault)
        self._finish_stream()
        return None

    def _finish_stream(self) -> None:
        """Gives back the connection of a finished attempt."""
        stream, self._stream, self._grant = self._stream, None, None
        if stream is not None:
            stream.finish()

    def _make_call(self, grant: requests.Grant) -> engine.RunCall:
        hops = tuple(
            engine.Hop(e.upstream, u.address, e.first, e.last)
            for e, u in zip(grant.path.edges, grant.hops, strict=True)
        )
        trail = engine.format_trail(hops)
        attempt = attempts.begin(self._merge, trail)
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
            decision = attempts.accept(self._merge, event)
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
        passed = now - self._marked_s
        if load < 0 and passed < PROGRESS_S:
            return
        count = len(self._merge.tokens)
        self._traffic.tell(
            requests.Progress(
                self._prompt.id, count - self._marked_tokens, passed, load
            )
        )
        self._marked_s = now
        self._marked_tokens = count

    def _end_broken(
        self, grant: requests.Grant, broken: engine.StreamFailure
    ) -> requests.Failure:
        """Describes an attempt whose connection failed.

        Refused or reset, the last stage is at fault. Silent, any stage may
        be: the last one has nothing to say when an earlier one is dead.
        """
        blamed: tuple[str, ...] = ()
        if broken.upstream_failed:
            blamed = (grant.path.edges[-1].upstream,)
        if broken.refusal:
            return self._end_refused(grant, broken)
        if broken.maybe_started:
            self._drop_attempt()
        self._grant = None
        self._stream = None
        return attrs.evolve(
            self._make_failure(broken.reason, blamed, broken.maybe_started),
            is_cut=broken.maybe_started,
            has_brought=len(self._merge.tokens) > self._first_position,
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
        _LOG.info(
            "attempt failed",
            extra={
                "request": self._prompt.id,
                "attempt": self._merge.attempt,
                "why": fault.why.value,
                "reason": fault.reason,
                "position": len(self._merge.tokens),
            },
        )
        self._drop_attempt()
        blamed = (fault.upstream,) if fault.upstream else ()
        failure = self._make_failure(
            f"{fault.why.value}: {fault.reason}", blamed, maybe_started=True
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

    def _drop_attempt(self) -> None:
        """Closes the stream of an unfinished attempt and cancels its work."""
        if self._stream is not None:
            self._stream.discard()
            self._stream = None
        if self._grant is not None:
            self._tools.canceller.cancel(self._grant, self._merge.attempt)
            self._grant = None
