"""Judges answers by rule CONFIG, as the page has it; pure.

An answer is late if only versions allow it of which the next one was
acknowledged more than two seconds before its request was sent. It regresses if
only versions older than what the same process has shown allow it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from typing import Final

import attrs

from tests.strange import versions

# `config_apply_ms`, `contact_ms` and `rollback_slack_ms` of the page, in
# seconds.
APPLY_S: Final = 2.0
CONTACT_S: Final = 3.0
ROLLBACK_S: Final = 0.25


@attrs.frozen
class Written:
    """A version that was written; monotonic times in seconds."""

    version: versions.Version
    sent_s: float
    acked_s: float


@attrs.frozen
class Answer:
    """An answer to a request; monotonic times in seconds."""

    host: str
    # Number of the process' start.
    boot: int
    question: versions.Question
    sent_s: float
    ended_s: float
    # Name of the service that ran it, or a status.
    shown: str


@attrs.define
class Trouble:
    """A trouble of hosts, or of the store as a whole."""

    kind: str
    # Empty if it is the store's.
    hosts: tuple[str, ...]
    began_s: float
    # Infinite until it is over.
    ended_s: float = math.inf
    # Whether it takes its hosts, or all of them, out of touch.
    is_binding: bool = True

    def affects(self, host: str, from_s: float, until_s: float) -> bool:
        """Returns whether a host is affected in a span of time."""
        is_meant = not self.hosts or host in self.hosts
        return is_meant and self.began_s <= until_s and self.ended_s >= from_s


@attrs.frozen
class Verdict:
    """An answer that an older version allows."""

    answer: Answer
    # Newest version that allows the answer; 0 if none does.
    shown: int
    # Since the acknowledgement of the first version after which none allows
    # it, in seconds.
    late_s: float
    # Version that the process had shown before, if it regresses; else 0.
    regressed_from: int
    is_in_touch: bool
    # Kinds of the troubles in the seconds before.
    kinds: tuple[str, ...]

    @property
    def is_breach(self) -> bool:
        """Whether it breaks the rule."""
        is_old = self.late_s > APPLY_S or bool(self.regressed_from)
        return self.is_in_touch and is_old


class Judge:
    """Judges the answers of a play."""

    def __init__(
        self, written: Sequence[Written], troubles: Sequence[Trouble]
    ) -> None:
        self._written = written
        self._troubles = troubles
        # What each process has shown: when, and the oldest version that it may
        # have been.
        self._proofs: dict[tuple[str, int], list[tuple[float, int]]] = {}

    def judge(self, answers: Iterable[Answer]) -> list[Verdict]:
        """Returns the answers that the newest acknowledged version forbids."""
        found = [self._judge(a) for a in sorted(answers, key=_get_end)]
        return [v for v in found if v is not None]

    def _judge(self, answer: Answer) -> Verdict | None:
        allowing = [
            i
            for i, w in enumerate(self._written)
            if w.sent_s <= answer.ended_s
            and answer.shown in w.version.list_allowed(answer.question)
        ]
        newest = allowing[-1] if allowing else -1
        following = self._written[newest + 1 : newest + 2]
        late_s = answer.sent_s - following[0].acked_s if following else 0.0
        regressed_from = self._find_regression(answer, newest)
        if allowing:
            self._note(answer, allowing[0])
        if late_s <= 0.0 and not regressed_from:
            return None
        return Verdict(
            answer,
            self._written[newest].version.number if allowing else 0,
            max(0.0, late_s),
            regressed_from,
            self.is_in_touch(answer),
            self._list_kinds(answer),
        )

    def _note(self, answer: Answer, oldest: int) -> None:
        proofs = self._proofs.setdefault((answer.host, answer.boot), [])
        if not proofs or oldest > proofs[-1][1]:
            proofs.append((answer.ended_s, oldest))

    def _find_regression(self, answer: Answer, newest: int) -> int:
        """Returns the version that a process had shown; 0 if not newer."""
        until_s = answer.sent_s - ROLLBACK_S
        proofs = self._proofs.get((answer.host, answer.boot), [])
        for at_s, oldest in reversed(proofs):
            if at_s < until_s and oldest > newest:
                return self._written[oldest].version.number
        return 0

    def is_in_touch(self, answer: Answer) -> bool:
        """Returns whether an answer's host was in touch all the while."""
        from_s = answer.sent_s - CONTACT_S
        return not any(
            t.is_binding and t.affects(answer.host, from_s, answer.ended_s)
            for t in self._troubles
        )

    def _list_kinds(self, answer: Answer) -> tuple[str, ...]:
        """Returns the kinds of troubles that may be why."""
        from_s = answer.sent_s - CONTACT_S - APPLY_S
        return tuple(
            sorted(
                {
                    t.kind
                    for t in self._troubles
                    if t.began_s <= answer.ended_s and t.ended_s >= from_s
                }
            )
        )


def _get_end(answer: Answer) -> float:
    return answer.ended_s
