"""Runs the attempts of one request and forwards the answer to the caller.

There is one `Forwarder` for each request, in the thread of the caller's
connection. `egretspur.routing.broker` decides where an attempt is sent and
what follows a failure, `egretspur.delivery.answers` whether an answer is
usable, and `egretspur.delivery.events` which of its bytes are forwarded. Once
the caller has part of the answer, a silent attempt is replaced only by one that
has brought something (`egretspur.delivery.handover`).
"""

from __future__ import annotations

import concurrent.futures
import logging
import threading
import time
from collections.abc import Callable, Mapping
from typing import Final, Protocol

import attrs

from egretspur import ends, errors
from egretspur.catalog import config
from egretspur.delivery import (
    answer_log,
    answers,
    buffers,
    events,
    handover,
    output,
    sending,
    silence,
)
from egretspur.routing import desk, jobs, paces, paths

_LOG: Final = logging.getLogger(__name__)

# A timed-out request is answered this long before its deadline, since an
# answer sent at the deadline would reach the caller after it.
DEADLINE_MARGIN_S: Final = 0.05


@attrs.frozen
class CompleteAnswer:
    """An answer with its complete body."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@attrs.frozen
class _EndClaim:
    """An upstream ended a resumed answer without another event."""

    # Events that the caller had.
    count: int
    upstream: str

    def confirms(self, other: _EndClaim) -> bool:
        """Returns whether another upstream claimed the same end.

        A single one may have failed: its answer looks complete though events
        are missing.
        """
        return self.count == other.count and self.upstream != other.upstream


@attrs.frozen
class _TakenOver:
    """An attempt that took over from a failed one."""

    # How it failed before it brought anything; None if it did not.
    failure: sending.AttemptFailure | None


Write = Callable[[bytes], None]


class Forwarder:
    """Forwards one request and its answer.

    `begin` returns once the answer's status is known; for a stream, `run`
    forwards the rest; `close` must always be called.
    """

    def __init__(
        self,
        call: sending.Call,
        job: jobs.Job,
        to: desk.Desk,
        sender: sending.AttemptSender,
        bodies: buffers.BodyBuffers,
        watch: Watch | None = None,
    ) -> None:
        self.call = call
        self.job = job
        self._desk = to
        self._sender = sender
        self._watch = watch
        self._bodies = bodies
        # Bytes held of the body of a plain answer.
        self._body_bytes = 0
        self._abort = sending.AbortHandle()
        self._lock = threading.Lock()
        # An attempt that runs beside a silent one, and whether it takes over;
        # used under the lock.
        self._handover: handover.Handover | None = None
        self._is_handed_over = False
        self._is_closed = False
        # Bytes of the current attempt that were read before it took over.
        self._unread = b""
        self._fut: desk.DecisionFuture | None = None
        self._merge = events.EventMerge()
        self._answer: sending.Answer | None = None
        # An upstream's error response, returned to the caller if every later
        # attempt fails as well.
        self._error_answer: CompleteAnswer | None = None
        # Events read before the answer to the caller was begun.
        self._first_events = b""
        # The caller disconnected.
        self.is_caller_gone = False
        # An upstream's answer completed and was not an error.
        self._is_answered = False
        # How the current attempt has failed if its upstream crashed, where only
        # the end of a connection told that the answer is complete.
        self._doubt: jobs.Failure | None = None
        # Read by the stream watch: when the attempt was sent or last received
        # bytes, its path, and the stages of the path that are known to stall.
        self.last_activity_s = 0.0
        self.parts: tuple[paths.Part, ...] = ()
        self.stalled: set[str] = set()
        # When the attempt was sent or last rerouted, and the expected seconds
        # to a first event over the path that it was sent over.
        self.started_s = 0.0
        self.expected_first_s = 0.0
        # The current attempt has delivered an event, and the time of the first.
        self.has_begun = False
        self.begun_s = 0.0
        self.output = output.AttemptOutput()
        # First upstream of the current attempt.
        self._upstream = ""
        # That the answer ends after the events delivered; None if no resumed
        # attempt ended there.
        self._end_claim: _EndClaim | None = None
        # Smoothed seconds between two events.
        self.smoothed_gap_s = silence.INITIAL_GAP_S
        self._log = answer_log.AnswerLog(job)
        # Events forwarded before the current attempt.
        self._count_before = 0

    def abandon(self) -> None:
        """Ends the request after its caller disconnected; from any thread."""
        self.is_caller_gone = True
        self._abort.abort_all()
        self._cancel_handover()
        fut = self._fut
        if fut is not None:
            _resolve(
                fut,
                errors.Refusal(
                    errors.ErrorKind.CALLER_GONE, "caller disconnected"
                ),
            )

    @property
    def is_delivering(self) -> bool:
        """Whether the caller has received part of the answer."""
        return self._merge.count > 0

    def interrupt(self) -> None:
        """Ends the current attempt, so that another one follows.

        Only for answers that have not begun; see `hand_over`.
        """
        self._abort.abort_current()

    def hand_over(self, is_lost: bool = False) -> None:
        """Runs another attempt beside the current one, which may be dead.

        It takes over with its first bytes, unless the current one goes on
        before.

        Args:
            is_lost: Whether the connection of the current one is lost.
        """
        with self._lock:
            running = self._handover
            if self._is_closed or (running and not running.ended.is_set()):
                return
            if self._is_handed_over:
                return
            count = self._merge.count
            self._handover = handover.Handover(
                self.call,
                self.job,
                self._desk,
                self._sender,
                self._get_resume_after(),
                count,
                is_lost,
                lambda other: self._accept_handover(other, count),
            )
            self._handover.start()

    def _accept_handover(self, other: handover.Handover, count: int) -> bool:
        """Takes over an attempt unless the current one went on meanwhile.

        Args:
            other: The handover of the attempt.
            count: Number of events delivered when it was sent.
        """
        with self._lock:
            if self._is_closed or other is not self._handover:
                return False
            if self.is_caller_gone or self._merge.count != count:
                return False
            self._is_handed_over = True
            # Wakes the thread that reads the current attempt. Under the lock,
            # since that thread may have ended it by itself: the handle would
            # then be that of the attempt which takes over.
            self._abort.abort_current()
        return True

    def _cancel_handover(self) -> None:
        """Ends an attempt that has not taken over."""
        with self._lock:
            other = None if self._is_handed_over else self._handover
        if other is not None:
            other.cancel()

    def _get_resume_after(self) -> str:
        """Returns the id of the last event that the caller has."""
        if self._merge.last_id is None:
            return self.call.resume_after
        return str(self._merge.last_id)

    def has_lost_link(self, reach: Reach) -> bool:
        """Returns whether bytes of its connection no longer arrive."""
        first = self.parts[0].address
        return reach.has_lost(first, self._abort.helper)

    def begin(self) -> CompleteAnswer | sending.Answer | errors.Refusal:
        """Returns a complete answer, the start of a stream, or a refusal."""
        self._fut = self._desk.arrive(self.job)
        while True:
            decision = self._wait()
            if isinstance(decision, errors.Refusal):
                return self._error_answer or decision
            opened = self._open(decision, self.call.resume_after)
            res: CompleteAnswer | sending.Answer | sending.AttemptFailure = (
                opened
            )
            if not isinstance(opened, sending.AttemptFailure):
                res = self._read_first(opened)
            if not isinstance(res, sending.AttemptFailure):
                return res
            self._end_attempt(res)

    def run(self, write: Write) -> errors.Refusal | None:
        """Forwards a stream; returns why it ended early, if it did."""
        write(self._first_events)
        failure: sending.AttemptFailure | None = None
        while True:
            if failure is None:
                failure = self._forward_events(write)
            if failure is None:
                self._is_answered = True
                if self._doubt is None and self.output.note_end():
                    self._tell_established()
                return None
            if self.is_caller_gone:
                return errors.Refusal(
                    errors.ErrorKind.CALLER_GONE, "caller disconnected"
                )
            taken_over = self._take_over(failure)
            if taken_over is not None:
                failure = taken_over.failure
                continue
            self._end_attempt(failure)
            decision = self._wait()
            if isinstance(decision, errors.Refusal):
                return decision
            res = self._resume(decision, self._get_resume_after())
            failure = res if isinstance(res, sending.AttemptFailure) else None

    def _take_over(self, failure: sending.AttemptFailure) -> _TakenOver | None:
        """Replaces a failed attempt by the one beside it.

        Returns:
            None if there is none.
        """
        with self._lock:
            other, self._handover = self._handover, None
            self._is_handed_over = False
        start = other.adopt() if other else None
        if other is None or start is None:
            return None
        self._desk.tell(desk.TakeOver(self._close_attempt(failure)))
        self._begin_attempt(start)
        # It may be silent as well, and be replaced in turn.
        self._abort.set_closer(other.cancel, other.helper)
        if not other.ended.wait(self.job.deadline_s - time.monotonic()):
            other.cancel()
            other.ended.wait()
        if other.answer is None:
            return _TakenOver(
                other.failure
                or sending.AttemptFailure(
                    jobs.FailureKind.CUT,
                    "ended by an error of this host",
                    ended_by=ends.EndedBy.HOST,
                )
            )
        self._answer = other.answer
        self._abort.set_closer(other.answer.abort, other.helper)
        self._unread = other.first_bytes
        return _TakenOver(None)

    def close(self) -> None:
        """Ends the request and closes an open connection."""
        with self._lock:
            self._is_closed = True
            other = self._handover
        if other is not None:
            other.close()
        if self._watch is not None:
            self._watch.remove(self)
        if self._answer is not None:
            self._answer.close()
            self._answer = None
        self._resize_body(0)
        self._desk.tell(
            desk.Finish(self.job.id, self._is_answered, self._doubt)
        )

    def record_end(self, status: int, refusal: errors.Refusal | None) -> None:
        """Logs how the request ended for its caller.

        Args:
            status: Status of the answer that was forwarded; 0 if none was.
            refusal: Why the answer ended early, if it did.
        """
        count = self._merge.count
        if self.is_caller_gone:
            self._log.record_left(count)
        elif refusal is not None:
            self._log.record_cut(refusal, count)
        elif status:
            self._log.record_answered(status, count)

    def _wait(self) -> desk.Decision:
        """Waits for a decision, the caller's disconnect or the deadline."""
        fut = self._fut
        assert fut is not None
        if self.is_caller_gone:
            return errors.Refusal(
                errors.ErrorKind.CALLER_GONE, "caller disconnected"
            )
        remaining_s = self.job.deadline_s - DEADLINE_MARGIN_S - time.monotonic()
        try:
            return fut.result(max(0.0, remaining_s))
        except concurrent.futures.TimeoutError:
            return self._make_timeout("waiting for an upstream")

    def _make_timeout(self, reason: str) -> errors.Refusal:
        return errors.Refusal(errors.ErrorKind.TIMED_OUT, reason)

    def _open(
        self, start: jobs.Start, after: str
    ) -> sending.Answer | sending.AttemptFailure:
        self._begin_attempt(start)
        res = self._sender.open(self.call, self.job, start, after, self._abort)
        if isinstance(res, sending.AttemptFailure):
            return res
        self._answer = res
        self._abort.set_closer(res.abort)
        return res

    def _begin_attempt(self, start: jobs.Start) -> None:
        """Sets what is known of the current attempt."""
        self._log.note_attempt(start)
        self._upstream = start.upstream.id
        self.parts = start.parts
        self.last_activity_s = self.started_s = time.monotonic()
        self.expected_first_s = start.expected_first_s
        self.stalled = set()
        self.has_begun = False
        self._doubt = None
        self.output.begin()
        self._count_before = self._merge.count
        self._merge.begin()
        # Watched before the request is sent: the response headers arrive with
        # the first event, so a stage that is already dead delays both.
        if self._watch is not None and start.parts:
            self._watch.add(self)

    def _resume(
        self, start: jobs.Start, after: str
    ) -> sending.Answer | sending.AttemptFailure:
        """Opens an attempt that resumes an answer already begun."""
        res = self._open(start, after)
        if isinstance(res, sending.AttemptFailure):
            return res
        mode = self._classify(res, has_begun=True)
        if isinstance(mode, answers.Unusable):
            return sending.AttemptFailure(jobs.FailureKind.FAILED, mode.reason)
        return res

    def _classify(
        self, answer: sending.Answer, has_begun: bool
    ) -> answers.ForwardMode | answers.Unusable:
        return answers.classify(
            answer.status,
            answer.headers,
            self.job.route.kind is config.RouteKind.STREAMING,
            has_begun,
        )

    def _read_first(
        self, answer: sending.Answer
    ) -> CompleteAnswer | sending.Answer | sending.AttemptFailure:
        """Reads a plain answer completely, or a stream's first event."""
        if (
            self._classify(answer, has_begun=False)
            is answers.ForwardMode.BUFFERED
        ):
            body = self._read_body(answer)
            if isinstance(body, sending.AttemptFailure):
                return body
            complete = CompleteAnswer(answer.status, answer.headers, body)
            if answer.status == 200 or not self._may_retry(answer):
                self._is_answered = answer.status < 500
                self._desk.tell(
                    desk.AnswerStarted(self.job.id, answer.status >= 500)
                )
                if answer.status == 200:
                    self._tell_established()
                return complete
            self._error_answer = complete
            return sending.AttemptFailure(
                jobs.FailureKind.FAILED, f"status {answer.status}"
            )
        while not self._first_events:
            res = self._read_events(answer)
            if isinstance(res, sending.AttemptFailure):
                return res
            if res is None:
                break
            self._first_events += res
        self._desk.tell(desk.AnswerStarted(self.job.id))
        return answer

    def _may_retry(self, answer: sending.Answer) -> bool:
        """Returns whether a failed request may be sent to another upstream."""
        return (
            answer.status >= 500
            and self.job.route.kind is not config.RouteKind.NON_IDEMPOTENT
        )

    def _read_body(
        self, answer: sending.Answer
    ) -> bytes | sending.AttemptFailure:
        chunks: list[bytes] = []
        self._resize_body(0)
        while True:
            data = answer.read_some()
            if isinstance(data, sending.AttemptFailure):
                return data
            excess = self._resize_body(self._body_bytes + len(data))
            if excess:
                return sending.AttemptFailure(jobs.FailureKind.CUT, excess)
            if not data:
                self._complete(answer)
                return b"".join(chunks)
            chunks.append(data)

    def _resize_body(self, size: int) -> str:
        """Changes how many bytes of a body are held; returns why it can't."""
        excess = self._bodies.resize(self._body_bytes, size)
        if not excess:
            self._body_bytes = size
        return excess

    def _read_events(
        self, answer: sending.Answer
    ) -> bytes | sending.AttemptFailure | None:
        """Returns the next complete events; None at the end of the answer."""
        while True:
            data: bytes | sending.AttemptFailure
            data, self._unread = self._unread, b""
            data = data or answer.read_some()
            if isinstance(data, sending.AttemptFailure):
                return data
            self.last_activity_s = time.monotonic()
            if not data:
                return self._check_end(answer)
            passed = self._merge.feed(data)
            if isinstance(passed, events.StreamFault):
                return sending.AttemptFailure(
                    jobs.FailureKind.CUT, f"events: {passed.value}"
                )
            if passed:
                if not self.has_begun:
                    self.begun_s = self.last_activity_s
                self.has_begun = True
                if self.output.note(self.last_activity_s):
                    self._tell_established()
                self._record_event()
                if self._handover is not None:
                    self._cancel_handover()
                return passed

    def _tell_established(self) -> None:
        """Tells the broker that the prompt does not crash engines."""
        if self.parts:
            self._desk.tell(desk.AnswerEstablished(self.job.id))

    def _check_end(
        self, answer: sending.Answer
    ) -> sending.AttemptFailure | None:
        """Returns why a stream that ended is incomplete; None if it is not."""
        fault = self._merge.fault
        if fault is not None:
            return sending.AttemptFailure(
                jobs.FailureKind.CUT, f"events: {fault.value}"
            )
        if self._merge.has_partial_event():
            return sending.AttemptFailure(
                jobs.FailureKind.CUT, "ended within an event"
            )
        before, count = self._count_before, self._merge.count
        unusable = answers.check_end(answer.status, before > 0, count > before)
        if unusable is None:
            return None
        claim = _EndClaim(count, self._upstream)
        if self._end_claim is not None and claim.confirms(self._end_claim):
            return None
        self._end_claim = claim
        return sending.AttemptFailure(jobs.FailureKind.EMPTY, unusable.reason)

    def _record_event(self) -> None:
        gap_s = self._log.note_event(self.last_activity_s)
        if gap_s is None:
            return
        self.smoothed_gap_s = silence.smooth_gap(self.smoothed_gap_s, gap_s)
        if gap_s > (self.job.route.gap_s or paces.SUSPICIOUS_GAP_S):
            ids = tuple(p.id for p in self.parts)
            self._desk.tell(desk.AnswerPaused(ids))

    def _forward_events(self, write: Write) -> sending.AttemptFailure | None:
        """Forwards events until the answer ends; None if it is complete."""
        answer = self._answer
        assert answer is not None
        while True:
            res = self._read_events(answer)
            if isinstance(res, sending.AttemptFailure):
                return res
            if res is None:
                self._complete(answer)
                return None
            write(res)

    def _complete(self, answer: sending.Answer) -> None:
        """Closes an answer that is complete, as far as can be told."""
        if not answer.has_length:
            self._doubt = jobs.Failure(
                self.job.id,
                jobs.FailureKind.CUT,
                "ended with its connection",
                has_output=self._merge.count > self._count_before,
                has_head=True,
                is_established=self.output.is_established,
            )
        answer.close()
        self._answer = None

    def _end_attempt(self, failure: sending.AttemptFailure) -> None:
        """Closes a failed attempt and reports it to the broker."""
        self._fut = self._desk.fail(self._close_attempt(failure))

    def _close_attempt(self, failure: sending.AttemptFailure) -> jobs.Failure:
        """Closes and logs a failed attempt; returns its failure."""
        if self._watch is not None:
            self._watch.remove(self)
        has_head = self._answer is not None
        if self._answer is not None:
            self._answer.close()
            self._answer = None
        self._abort.set_closer(None)
        blamed = failure.blamed or tuple(self.stalled)
        count = self._merge.count
        new_count = count - self._count_before
        ended_by = failure.ended_by
        if self.is_caller_gone:
            ended_by = ends.EndedBy.CALLER
        silent_s = time.monotonic() - self.last_activity_s
        failed = jobs.Failure(
            self.job.id,
            failure.why,
            failure.reason,
            blamed,
            count > 0,
            new_count > 0,
            has_head,
            ended_by,
            self.output.is_established,
        )
        self._log.record_failure(
            self._upstream, failed, silent_s, count, new_count
        )
        return failed


class Reach(Protocol):
    """Knows over which links a host reaches upstreams."""

    def suspect(self) -> None:
        """Has this host's own links checked soon."""

    def has_lost(self, address: str, helper: str) -> bool:
        """Returns whether open connections to an upstream are lost.

        Args:
            address: Of the upstream.
            helper: Host that passes their bytes on; empty for none.
        """


class Watch(Protocol):
    """Watches streams for silence."""

    def add(self, forward: Forwarder) -> None:
        """Starts watching a stream."""

    def remove(self, forward: Forwarder) -> None:
        """Stops watching a stream."""


def _resolve(fut: desk.DecisionFuture, refusal: errors.Refusal) -> None:
    try:
        if not fut.done():
            fut.set_result(refusal)
    except concurrent.futures.InvalidStateError:
        # The broker's decision came first; the reading thread notices the
        # disconnect at its next write.
        _LOG.debug("caller disconnected after the broker's decision")
