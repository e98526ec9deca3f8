"""What upstreams may still read of the requests that a host sent: pure.

A request can't be taken back once it is written: its bytes stay in the receive
buffer of the upstream's machine, also after its connection was closed or reset
and after the process that sent it has ended. An upstream that reads nothing for
a while reads them when it goes on. Until something shows that an attempt has
been read, or never will be, it may arrive at any time.

An upstream that answers later attempts has read the earlier ones within a
window, since connections differ in how fast they are read. Read next:
`egretspur.admission.shared`, whose retries count until they have arrived.
"""

from __future__ import annotations

import math
from collections.abc import Container
from typing import Final

import attrs

from egretspur.admission import reactions

# An upstream is silent if it has answered nothing for this long although it was
# sent something, or for this many times as long as an answer is expected to
# take.
MIN_SILENCE_S: Final = 1.0
SILENCE_FACTOR: Final = 4.0

# The same before a retry of a plain request: there may be others to send it to.
RETRY_SILENCE_S: Final = 0.25

# How long a read shows that an upstream reads.
PROOF_S: Final = 1.0

# How long an upstream that left the list, or to which nothing opens, may still
# read what it was sent: it may stand still or be cut off, and go on.
LOST_S: Final = 60.0

# Attempts that show it although each was ended sooner: callers that leave early
# get no answer from a sound upstream either.
MIN_GIVEN_UP: Final = 3


@attrs.define(eq=False)
class Sending:
    """An attempt on its way to an upstream."""

    # Empty until it is sent.
    upstream_id: str = ""
    sent_s: float = -math.inf
    # Seconds in which an answer is expected.
    expected_s: float = 0.0
    # Whether the upstream answered a health check before it was written.
    is_checked: bool = False
    # When this side ended it, unanswered.
    ended_s: float = math.inf
    # By when it has been read, or never will be; infinite until that is known.
    read_by_s: float = math.inf

    @property
    def is_unread(self) -> bool:
        """Whether nothing shows yet by when it has been read."""
        return math.isinf(self.read_by_s)

    @property
    def is_given_up(self) -> bool:
        """Whether it ended unanswered, and may be read at any time."""
        return self.is_unread and math.isfinite(self.ended_s)

    def settle(self, now_s: float) -> None:
        """Records that it has been read, unless an earlier time is known."""
        self.read_by_s = min(self.read_by_s, now_s)


@attrs.define
class _Upstream:
    """Attempts that one upstream may not have read yet."""

    # Oldest first.
    unread: list[Sending] = attrs.Factory(list)
    # When the newest attempt was sent, and the newest of those that it read.
    sent_s: float = -math.inf
    read_sent_s: float = -math.inf
    # When it last read or answered an attempt.
    active_s: float = -math.inf
    # When it was last reported as silent.
    reported_s: float = -math.inf

    def get_silent_s(self, now_s: float) -> float:
        """Returns for how long it has answered nothing of what it was sent."""
        if not self.unread:
            return 0.0
        return now_s - max(self.active_s, self.unread[0].sent_s)

    def is_silent(
        self, now_s: float, min_silence_s: float = MIN_SILENCE_S
    ) -> bool:
        """Tells whether it should have answered something by now."""
        if not self.unread:
            return False
        least_s = max(min_silence_s, SILENCE_FACTOR * self.unread[0].expected_s)
        if self.get_silent_s(now_s) < least_s:
            return False
        return len(self.unread) >= MIN_GIVEN_UP or any(
            min(now_s, s.ended_s) - s.sent_s >= least_s for s in self.unread
        )

    def is_due(self, last_s: float, now_s: float) -> bool:
        """Tells whether it has been silent for twice as long as at a time."""
        return now_s - last_s >= self.get_silent_s(now_s) / 2

    def drop_read(self) -> None:
        """Drops what it has read, or will have by a known time."""
        self.unread = [s for s in self.unread if s.is_unread]


class Arrivals:
    """Attempts of one host that upstreams may not have read yet."""

    def __init__(self, window_s: float) -> None:
        """Makes a state without attempts.

        Args:
            window_s: By how much other connections may be slower than the one
                that shows that an upstream reads.
        """
        self._window_s = window_s
        self._upstreams: dict[str, _Upstream] = {}
        self.reactions = reactions.Reactions()

    def send(
        self,
        sending: Sending,
        upstream_id: str,
        now_s: float,
        expected_s: float = 0.0,
    ) -> None:
        """Records that an attempt is sent.

        Args:
            sending: The attempt.
            upstream_id: The upstream that it is sent to.
            now_s: Monotonic time.
            expected_s: Seconds in which an answer is expected.
        """
        sending.upstream_id = upstream_id
        sending.sent_s = now_s
        sending.expected_s = expected_s
        upstream = self._upstreams.setdefault(upstream_id, _Upstream())
        upstream.unread.append(sending)
        upstream.sent_s = now_s

    def settle(
        self, sending: Sending, now_s: float, is_answer: bool = True
    ) -> None:
        """Records that an upstream answered or ended an attempt.

        It has read it then, and reads others as well.

        Args:
            sending: The attempt.
            now_s: Monotonic time.
            is_answer: Whether it succeeded.
        """
        if sending.is_unread and sending.upstream_id:
            kind = (
                reactions.Kind.ANSWERED if is_answer else reactions.Kind.ENDED
            )
            self.reactions.record(
                sending.upstream_id, now_s - sending.sent_s, kind, now_s
            )
        sending.settle(now_s)
        upstream = self._upstreams.get(sending.upstream_id)
        if upstream is None:
            return
        upstream.active_s = now_s
        upstream.read_sent_s = max(upstream.read_sent_s, sending.sent_s)
        for other in upstream.unread:
            if other.is_given_up and other.sent_s <= sending.sent_s:
                other.settle(now_s + self._window_s)
        upstream.drop_read()

    def cancel(self, sending: Sending, now_s: float) -> None:
        """Records that an attempt was not written, so it is never read."""
        sending.settle(now_s)
        upstream = self._upstreams.get(sending.upstream_id)
        if upstream is not None:
            upstream.drop_read()

    def give_up(self, sending: Sending, now_s: float) -> None:
        """Records that this side has ended an attempt, unless it was read."""
        if not sending.is_unread:
            return
        sending.ended_s = now_s
        upstream = self._upstreams.get(sending.upstream_id)
        if upstream is None:
            # It was never sent.
            sending.settle(now_s)
            return
        self.reactions.record(
            sending.upstream_id,
            now_s - sending.sent_s,
            reactions.Kind.GIVEN_UP,
            now_s,
        )
        if upstream.read_sent_s >= sending.sent_s:
            sending.settle(now_s + self._window_s)
            upstream.drop_read()

    def list_pending(self) -> list[str]:
        """Returns the upstreams that may read attempts that were given up."""
        return [
            i
            for i, u in self._upstreams.items()
            if any(s.is_given_up for s in u.unread)
        ]

    def note_end(self, upstream_id: str, now_s: float) -> None:
        """Records that an upstream has ended: it reads nothing any more."""
        self._settle_given_up(upstream_id, now_s)

    def note_lost(self, upstream_id: str, now_s: float) -> None:
        """Records that an upstream has ended, or may go on later."""
        self._settle_given_up(upstream_id, now_s + LOST_S)

    def _settle_given_up(self, upstream_id: str, read_by_s: float) -> None:
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            return
        for sending in upstream.unread:
            if sending.is_given_up:
                sending.settle(read_by_s)
        upstream.drop_read()

    def get_slowest_s(
        self,
        upstream_id: str,
        now_s: float,
        memory_s: float = reactions.MEMORY_S,
    ) -> float:
        """Returns how long an upstream lately took, or takes, to answer.

        It reads what it is sent no later than that, as far as is known.

        Args:
            upstream_id: The upstream.
            now_s: Monotonic time.
            memory_s: Seconds for which what it took counts.
        """
        slowest_s = self.reactions.get_slowest_s(upstream_id, now_s, memory_s)
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            return slowest_s
        waiting = (min(now_s, s.ended_s) - s.sent_s for s in upstream.unread)
        return max(slowest_s, *waiting, 0.0)

    def list_silent(
        self, now_s: float, min_silence_s: float = MIN_SILENCE_S
    ) -> set[str]:
        """Returns the upstreams that answer nothing of what they are sent.

        Args:
            now_s: Monotonic time.
            min_silence_s: Least time without an answer.
        """
        return {
            i
            for i, u in self._upstreams.items()
            if u.is_silent(now_s, min_silence_s)
        }

    def list_reading(self, now_s: float, within_s: float = PROOF_S) -> set[str]:
        """Returns the upstreams that have lately read what they were sent.

        Args:
            now_s: Monotonic time.
            within_s: How long ago at most.
        """
        return {
            i
            for i, u in self._upstreams.items()
            if now_s - u.active_s < within_s
        }

    def list_unread_checked(self, min_s: float, now_s: float) -> set[str]:
        """Returns the upstreams that answered a check and not what followed.

        Args:
            min_s: For how long at least.
            now_s: Monotonic time.
        """
        return {
            i
            for i, u in self._upstreams.items()
            if any(
                s.is_checked and min(now_s, s.ended_s) - s.sent_s >= min_s
                for s in u.unread
            )
        }

    def list_unproven(self, now_s: float) -> list[str]:
        """Returns the silent upstreams that have never answered anything."""
        return [
            i
            for i, u in self._upstreams.items()
            if math.isinf(u.active_s) and u.is_silent(now_s)
        ]

    def list_avoided(self, now_s: float) -> set[str]:
        """Returns the silent upstreams that are not due for another request.

        They are tried each time that they have been silent for twice as long.
        """
        return {
            i
            for i, u in self._upstreams.items()
            if u.is_silent(now_s) and not u.is_due(u.sent_s, now_s)
        }

    def take_suspects(self, now_s: float) -> list[str]:
        """Returns silent upstreams to be probed, each from time to time."""
        suspects = []
        for upstream_id, upstream in self._upstreams.items():
            if not upstream.is_silent(now_s):
                continue
            if upstream.is_due(upstream.reported_s, now_s):
                upstream.reported_s = now_s
                suspects.append(upstream_id)
        return suspects

    def remove_unused(self, listed: Container[str]) -> None:
        """Drops the state of unlisted upstreams that have nothing to read."""
        for upstream_id, upstream in list(self._upstreams.items()):
            if upstream_id not in listed and not upstream.unread:
                del self._upstreams[upstream_id]
        self.reactions.remove_unlisted(listed)
