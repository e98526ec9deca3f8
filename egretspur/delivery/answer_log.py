"""Logs the attempts of one request and how its answer ended.

Read next: `egretspur.decisions`, which defines the log lines.
"""

from __future__ import annotations

import time
from collections.abc import Sequence

import attrs

from egretspur import decisions, ends, errors
from egretspur.routing import jobs


@attrs.frozen
class _FailedAttempt:
    """A failed attempt."""

    upstream: str
    why: jobs.FailureKind
    ended_by: ends.EndedBy
    # Seconds without bytes before its end.
    silent_s: float

    def describe(self) -> str:
        """Returns it as the log has it."""
        return describe_attempt(
            self.upstream, self.why.value, self.ended_by.value, self.silent_s
        )


class AnswerLog:
    """What the log tells of one request; see the module's docstring."""

    def __init__(self, job: jobs.Job) -> None:
        """Makes a log without attempts."""
        self._job = job
        self._attempts = 0
        self._failed: list[_FailedAttempt] = []
        # Times of the first and the last event, and the longest gap between
        # two.
        self._first_event_s = 0.0
        self._last_event_s = 0.0
        self._max_gap_s = 0.0

    def note_attempt(self, start: jobs.Start) -> None:
        """Notes that an attempt begins or takes over."""
        self._attempts = max(self._attempts + 1, start.number)

    def note_event(self, now_s: float) -> float | None:
        """Notes an event; returns the seconds since the last one, if any."""
        gap_s = None
        if self._first_event_s:
            gap_s = now_s - self._last_event_s
            self._max_gap_s = max(self._max_gap_s, gap_s)
        else:
            self._first_event_s = now_s
        self._last_event_s = now_s
        return gap_s

    def record_failure(
        self,
        upstream: str,
        failure: jobs.Failure,
        silent_s: float,
        count: int,
        new_count: int,
    ) -> None:
        """Logs a failed attempt.

        Args:
            upstream: First upstream of its path.
            failure: How it failed.
            silent_s: Seconds without bytes before its end.
            count: Events that the caller has received.
            new_count: Events that the attempt produced.
        """
        self._failed.append(
            _FailedAttempt(upstream, failure.kind, failure.ended_by, silent_s)
        )
        record_attempt_failure(
            self._job, self._attempts, failure, silent_s, count, new_count
        )

    def record_left(self, count: int) -> None:
        """Logs that the caller left, having received some events."""
        now_s = time.monotonic()
        decisions.record(
            decisions.RequestLeft(
                self._job.id,
                count,
                self._get_silence_s(now_s),
                now_s - self._job.arrived_s,
            )
        )

    def record_cut(self, refusal: errors.Refusal, count: int) -> None:
        """Logs that the answer ended early, and why no attempt followed."""
        now_s = time.monotonic()
        decisions.record(
            decisions.RequestCut(
                self._job.id,
                refusal.reason,
                count,
                now_s - self._job.arrived_s,
                _find_ender(self._failed).value,
                tuple(
                    f.describe() for f in self._failed[-decisions.MAX_NAMED :]
                ),
                self._get_silence_s(now_s),
                self._job.deadline_s - now_s,
            )
        )

    def record_answered(self, status: int, count: int) -> None:
        """Logs that the caller received the whole answer."""
        now_s = time.monotonic()
        decisions.record(
            decisions.RequestAnswered(
                self._job.id,
                status,
                self._attempts,
                count,
                (self._first_event_s or now_s) - self._job.arrived_s,
                self._max_gap_s,
                now_s - self._job.arrived_s,
            )
        )

    def _get_silence_s(self, now_s: float) -> float:
        """Returns the seconds since the last event, or since arrival."""
        return now_s - (self._last_event_s or self._job.arrived_s)


def record_attempt_failure(
    job: jobs.Job,
    number: int,
    failure: jobs.Failure,
    silent_s: float,
    count: int,
    new_count: int,
) -> None:
    """Logs a failed attempt.

    Args:
        job: The request.
        number: Of the attempt, from 1.
        failure: How it failed.
        silent_s: Seconds without bytes before its end.
        count: Events that the caller has received.
        new_count: Events that the attempt produced.
    """
    decisions.record(
        decisions.AttemptFailed(
            job.id,
            number,
            failure.kind.value,
            failure.reason,
            failure.blamed,
            count,
            new_count,
            job.fingerprint,
            failure.has_head,
            failure.ended_by.value,
            silent_s,
        )
    )


def describe_attempt(
    upstream: str, why: str, ended_by: str, silent_s: float
) -> str:
    """Returns a failed attempt as `decisions.RequestCut` has it.

    Args:
        upstream: Upstream, or path, of the attempt.
        why: How it failed.
        ended_by: Who ended it.
        silent_s: Seconds without bytes before its end.
    """
    return f"{upstream} {why} by {ended_by} after {silent_s:.2f} s of silence"


def _find_ender(failed: Sequence[_FailedAttempt]) -> ends.EndedBy:
    """Returns who ended the last attempt that an upstream may have run."""
    for attempt in reversed(failed):
        if attempt.why not in jobs.NOT_RUN:
            return attempt.ended_by
    return ends.EndedBy.HOST
