"""Runs an attempt beside a silent one until it brings the rest of an answer.

The silent attempt goes on meanwhile, so nothing is lost if no upstream accepts
another. Read next: `egretspur.routing.handovers`, which chooses the path, and
`egretspur.delivery.forward`, which takes the new attempt over.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Final

import attrs

from egretspur import ends, guard
from egretspur.delivery import answer_log, answers, sending
from egretspur.routing import desk, jobs

# Attempts in a row, if upstreams refuse them or can't be reached.
MAX_TRIES: Final = 3


class Handover:
    """See the module's docstring; `start` is called once."""

    def __init__(
        self,
        call: sending.Call,
        job: jobs.Job,
        to: desk.Desk,
        sender: sending.AttemptSender,
        resume_after: str,
        count: int,
        is_lost: bool,
        accept: Callable[[Handover], bool],
    ) -> None:
        """Makes a handover that has not started.

        Args:
            call: The request.
            job: Its properties.
            to: Chooses the path and learns how the attempt ends.
            sender: Sends it.
            resume_after: Id of the last event that the caller has.
            count: Number of events that the caller has.
            is_lost: Whether the silent attempt's connection is lost, so that
                its first upstream may run the other one.
            accept: Called in this object's thread when the attempt has brought
                bytes; returns whether it takes over.
        """
        self._call = call
        self._job = job
        self._desk = to
        self._sender = sender
        self._resume_after = resume_after
        self._is_lost = is_lost
        self._accept = accept
        self._count = count
        self._sent_s = 0.0
        self._abort = sending.AbortHandle()
        self._lock = threading.Lock()
        # The attempt that runs or takes over; None if there is none.
        self._attempt: jobs.Start | None = None
        self._is_adopted = False
        # Set once no more changes: it takes over, failed or was not possible.
        self.ended = threading.Event()
        # Of the attempt that takes over.
        self.answer: sending.Answer | None = None
        self.first_bytes = b""
        # How the last attempt failed.
        self.failure: sending.AttemptFailure | None = None

    @property
    def helper(self) -> str:
        """Host that passes the attempt's bytes on; empty for none."""
        return self._abort.helper

    def start(self) -> None:
        """Starts the attempt, in a thread of its own."""
        threading.Thread(target=self._run, name="handover", daemon=True).start()

    def adopt(self) -> jobs.Start | None:
        """Makes its attempt the only one of the request.

        Returns:
            The attempt, whose outcome is known once `ended` is set; None if no
            attempt runs. Then none is sent any more.
        """
        with self._lock:
            self._is_adopted = True
            return self._attempt

    def cancel(self) -> None:
        """Ends the attempt; from any thread."""
        self._abort.abort_all()

    def close(self) -> None:
        """Ends the attempt and closes its connection once it has ended."""
        self.cancel()
        if self.ended.is_set() and self.answer is not None:
            self.answer.close()

    def _run(self) -> None:
        try:
            with guard.log_exceptions("handover"):
                self._run_attempts()
        finally:
            self.ended.set()

    def _run_attempts(self) -> None:
        for _ in range(MAX_TRIES):
            start = self._desk.start_handover(self._job.id, self._is_lost)
            if start is None:
                return
            self._sent_s = time.monotonic()
            with self._lock:
                is_late = self._is_adopted
                if not is_late:
                    self._attempt = start
            if is_late:
                # The request went on without it while it was being chosen.
                self._desk.tell(
                    desk.DropHandover(self._job.id, None, is_sent=False)
                )
                return
            self.failure = self._run_attempt(start)
            if self.failure is None or not self._end_attempt():
                return

    def _run_attempt(self, start: jobs.Start) -> sending.AttemptFailure | None:
        """Runs an attempt until it takes over; returns its failure if any."""
        opened = self._sender.open(
            self._call, self._job, start, self._resume_after, self._abort
        )
        if isinstance(opened, sending.AttemptFailure):
            return opened
        self.answer = opened
        self._abort.set_closer(opened.abort)
        first = self._read_first(opened)
        if isinstance(first, sending.AttemptFailure):
            return first
        self.first_bytes = first
        if self._accept(self):
            return None
        with self._lock:
            if self._is_adopted:
                return None
        self.cancel()
        return sending.AttemptFailure(
            jobs.FailureKind.CUT,
            "the attempt beside it went on",
            ended_by=ends.EndedBy.HOST,
        )

    def _read_first(
        self, answer: sending.Answer
    ) -> bytes | sending.AttemptFailure:
        """Returns the first bytes of an answer that continues the stream."""
        mode = answers.classify(
            answer.status,
            answer.headers,
            is_streaming=True,
            has_begun=True,
        )
        if isinstance(mode, answers.Unusable):
            return sending.AttemptFailure(jobs.FailureKind.FAILED, mode.reason)
        data = answer.read_some()
        if data == b"":
            return sending.AttemptFailure(
                jobs.FailureKind.EMPTY, "no events after those delivered"
            )
        return data

    def _end_attempt(self) -> bool:
        """Ends a failed attempt; returns whether another may follow."""
        has_head = self.answer is not None
        if self.answer is not None:
            self.answer.close()
            self.answer = None
        with self._lock:
            if self._is_adopted:
                # Reported by the thread that waits for its outcome.
                return False
            start, self._attempt = self._attempt, None
        failure = self.failure
        assert failure is not None and start is not None
        is_cancelled = self._abort.is_aborted
        reported = jobs.Failure(
            self._job.id,
            failure.why,
            failure.reason,
            failure.blamed,
            is_begun=True,
            has_head=has_head,
            ended_by=failure.ended_by,
        )
        if not is_cancelled:
            self._log_failure(start, reported)
        self._desk.tell(
            desk.DropHandover(self._job.id, None if is_cancelled else reported)
        )
        return not is_cancelled and failure.why in jobs.NOT_RUN

    def _log_failure(self, start: jobs.Start, failure: jobs.Failure) -> None:
        reason = f"beside a silent attempt: {failure.reason}"
        answer_log.record_attempt_failure(
            self._job,
            start.number,
            attrs.evolve(failure, reason=reason),
            time.monotonic() - self._sent_s,
            self._count,
            0,
        )
