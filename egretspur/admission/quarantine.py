"""Requests that end the upstreams which begin to run them: pure.

Others call them poison requests, or queries of death.

Symptom without it: engines of all data centres end one after the other, a few
times a second, and with each the dozens of answers it was working on. One
request does it. A host repeats it elsewhere, its caller sends it again under
another id and to another host, and attempts are counted for an id at a host,
so that each begins anew.

So a request is known by its fingerprint, and an upstream that ended under it
counts against the fingerprint, once, whichever host saw it. Hosts tell each
other. Three ends put a request into quarantine: no host sends it any more,
whether it is new, waits, is repeated, or resumed, until an operator lets it go.

Those that run beside such a request are cut as well, and come again as well.
What tells them apart: they are answered in the end, which clears them, or were
answered shortly before, and most had brought a part of their answer.
"""

from __future__ import annotations

import collections
import enum
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from egretspur.admission import fingerprint as fingerprints

# Upstreams that a request may end before it is sent no more. One may end by
# chance, two in the fall of a data centre that the request went through.
CRASH_THRESHOLD: Final = 3.0

# What an end counts where the attempt had brought a part of the answer. A
# request that is to blame nearly always ends an upstream before that; were
# such ends not counted at all, one that doesn't would end upstreams for ever.
LATE_CRASH_WEIGHT: Final = 0.5

# An attempt's upstream is asked at once whether it lives, and again 0.15 s
# later. Where nothing is known of it after so long, it counts as alive.
CRASH_CHECK_S: Final = 2.0

# News of a request are told to other hosts for so long, in some forty
# datagrams: also to those that were cut off for some seconds.
PUBLISH_S: Final = 10.0

# A request that was answered so long ago ends nothing. Longer than others
# tell of its ends, who may not have heard of the answer yet.
ANSWER_TTL_S: Final = 20.0

# Requests that are remembered, those that ended something last: more than are
# under way at once at one host of a large site, all of which may be cut in one
# moment. And those that were answered: the same look-up that many callers of a
# workspace send stays among the last thousand.
MAX_RECORDS: Final = 4096
MAX_ANSWERS: Final = 1024

# Retry-After of a request in quarantine, in seconds: to come back sooner is of
# no use, it is refused until someone has looked at it.
RETRY_AFTER_S: Final = 60.0

# Characters by which hosts name an upstream's start to each other. Were two
# of the three alike, a request would be sent once more.
_START_ID_CHARS: Final = 8


class UpstreamState(enum.Enum):
    """What is known of an upstream after an attempt there was cut."""

    # It has ended, or can't be reached.
    CRASHED = "ended"
    # It answers, and is the same start as before.
    ALIVE = "alive"
    # It is being asked.
    UNKNOWN = "unknown"


@attrs.frozen
class CutAttempt:
    """An attempt that was cut, with upstreams of which one may have ended."""

    fingerprint: str
    # The one that it was sent to first.
    upstreams: tuple[str, ...]
    # Whether it had brought a part of the answer.
    has_output: bool
    at_s: float

    @property
    def weight(self) -> float:
        """What the end of its upstream counts."""
        return LATE_CRASH_WEIGHT if self.has_output else 1.0


# Ends of one request: what each counts, by name of the upstream's start.
Crashes = Mapping[str, float]


def has_new_crashes(known: Crashes, other: Crashes) -> bool:
    """Tells whether ends are known that another record lacks."""
    return not set(known) <= set(other)


@attrs.frozen
class Change:
    """A request was put into quarantine, or let go."""

    fingerprint: str
    # Empty where it was let go.
    crashes: Crashes
    # This host saw one of the ends, or the answer, itself.
    is_own: bool


@attrs.define
class _Record:
    """What is known of one request."""

    crashes: dict[str, float] = attrs.Factory(dict)
    # When it last changed.
    at_s: float = 0.0
    is_quarantined: bool = False
    # It was let go.
    is_released: bool = False
    # This host saw one of the ends itself.
    is_own: bool = False

    def sum_weights(self) -> float:
        """Returns how many upstreams ended under it."""
        return sum(self.crashes.values())


class Quarantine:
    """What one host knows of requests under which upstreams ended."""

    def __init__(self, crash_check_s: float = CRASH_CHECK_S) -> None:
        """Makes a state that knows of none.

        Args:
            crash_check_s: How long an upstream may stay unknown after a cut; then
                it counts as alive.
        """
        self._crash_check_s = crash_check_s
        # The one that changed last is at the end.
        self._records: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )
        # When requests were answered, the last one at the end.
        self._answered_at_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._cuts: list[CutAttempt] = []
        self._changes: list[Change] = []

    def is_blocked(self, fingerprint: str) -> bool:
        """Tells whether a request may not be sent.

        Cuts count from the first moment, as if the upstream had ended: the
        next send would come before it is known.
        """
        record = self._records.get(fingerprint)
        ends = dict(record.crashes) if record else {}
        for cut in self._cuts:
            if cut.fingerprint == fingerprint:
                ends.setdefault(make_start_id(cut.upstreams[0]), cut.weight)
        return sum(ends.values()) >= CRASH_THRESHOLD

    def get_retry_after_s(self, fingerprint: str) -> float:
        """Returns when one that is held may come back, in seconds."""
        record = self._records.get(fingerprint)
        is_sure = record is not None and record.is_quarantined
        return RETRY_AFTER_S if is_sure else self._crash_check_s

    def record_cut(self, cut: CutAttempt, now_s: float) -> None:
        """Takes an attempt that was cut; `settle` tells what follows."""
        if cut.fingerprint and not self._was_answered(cut.fingerprint, now_s):
            self._cuts.append(cut)

    def resolve_cuts(
        self, look: Callable[[str], UpstreamState], now_s: float
    ) -> None:
        """Counts the cuts of which it is known by now what became of them.

        Args:
            look: Returns what is known of an upstream.
            now_s: Monotonic time.
        """
        cuts, self._cuts = self._cuts, []
        for cut in cuts:
            states = {u: look(u) for u in cut.upstreams}
            ended = [u for u, s in states.items() if s is UpstreamState.CRASHED]
            if ended:
                ends = {make_start_id(ended[0]): cut.weight}
                self._add_crashes(cut.fingerprint, ends, True, now_s)
            elif (
                UpstreamState.UNKNOWN in states.values()
                and now_s - cut.at_s < self._crash_check_s
            ):
                self._cuts.append(cut)

    def record_answer(self, fingerprint: str, now_s: float) -> None:
        """Takes that a request was answered to its end, so it ends nothing."""
        if not fingerprint:
            return
        self._answered_at_s[fingerprint] = now_s
        self._answered_at_s.move_to_end(fingerprint)
        if len(self._answered_at_s) > MAX_ANSWERS:
            self._answered_at_s.popitem(last=False)
        self._cuts = [c for c in self._cuts if c.fingerprint != fingerprint]
        self._clear_crashes(fingerprint, True, now_s)

    def apply_peer_update(
        self, told: Mapping[str, Crashes], now_s: float
    ) -> None:
        """Takes what another host or the store tells.

        Args:
            told: Ends of requests; none where one was answered, or let go.
            now_s: Monotonic time.
        """
        for fingerprint, ends in told.items():
            if not ends:
                self._clear_crashes(fingerprint, False, now_s)
            elif self._was_answered(fingerprint, now_s):
                self._republish_answer(fingerprint, now_s)
            else:
                self._add_crashes(fingerprint, ends, False, now_s)

    def list_updates(
        self, max_count: int, now_s: float
    ) -> dict[str, dict[str, float]]:
        """Returns what to tell other hosts: what is held, and what is new.

        Args:
            max_count: Requests to tell of at most. Held ones go first and those
                that were let go, then those that ended most.
            now_s: Monotonic time.
        """
        found = [
            (f, r)
            for f, r in self._records.items()
            if r.is_quarantined or now_s - r.at_s < PUBLISH_S
        ]
        found.sort(
            key=lambda i: (
                not (i[1].is_quarantined or i[1].is_released),
                -i[1].sum_weights(),
                -i[1].at_s,
            )
        )
        return {f: dict(r.crashes) for f, r in found[:max_count]}

    def take_changes(self) -> list[Change]:
        """Returns what was held or let go since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def list_quarantined(self) -> dict[str, Crashes]:
        """Returns the requests in quarantine."""
        return {
            f: dict(r.crashes)
            for f, r in self._records.items()
            if r.is_quarantined
        }

    def has_pending_cuts(self) -> bool:
        """Tells whether `settle` has something to do."""
        return bool(self._cuts)

    def _was_answered(self, fingerprint: str, now_s: float) -> bool:
        """Tells whether a request was answered of late, so it ends nothing."""
        at_s = self._answered_at_s.get(fingerprint)
        if at_s is not None and now_s - at_s < ANSWER_TTL_S:
            return True
        record = self._records.get(fingerprint)
        return (
            record is not None
            and not record.crashes
            and now_s - record.at_s < ANSWER_TTL_S
        )

    def _add_crashes(
        self, fingerprint: str, ends: Crashes, is_own: bool, now_s: float
    ) -> None:
        """Counts ends of a request."""
        record = self._get_record(fingerprint)
        record.is_own |= is_own
        for name, weight in ends.items():
            if record.crashes.get(name, 0.0) < weight:
                record.crashes[name] = weight
                record.at_s = now_s
        if record.is_quarantined or record.sum_weights() < CRASH_THRESHOLD:
            return
        record.is_quarantined = True
        record.is_released = False
        self._changes.append(
            Change(fingerprint, dict(record.crashes), record.is_own)
        )

    def _clear_crashes(
        self, fingerprint: str, is_own: bool, now_s: float
    ) -> None:
        """Takes that a request ends nothing."""
        record = self._records.get(fingerprint)
        if record is None or not record.crashes:
            return
        if record.is_quarantined:
            record.is_released = True
            self._changes.append(Change(fingerprint, {}, is_own))
        record.crashes.clear()
        record.is_quarantined = record.is_own = False
        record.at_s = now_s

    def _republish_answer(self, fingerprint: str, now_s: float) -> None:
        """Has a host told of an answer that it doesn't know of."""
        record = self._get_record(fingerprint)
        record.at_s = now_s

    def _get_record(self, fingerprint: str) -> _Record:
        """Returns a request's record, as the one that changed last."""
        record = self._records.get(fingerprint)
        if record is None:
            record = self._records[fingerprint] = _Record()
        self._records.move_to_end(fingerprint)
        if len(self._records) > MAX_RECORDS:
            self._drop_oldest()
        return record

    def _drop_oldest(self) -> None:
        """Drops the record that changed first; a held one if all are."""
        oldest = next(
            (f for f, r in self._records.items() if not r.is_quarantined), ""
        )
        del self._records[oldest or next(iter(self._records))]


def make_start_id(upstream: str) -> str:
    """Returns the name by which hosts tell each other of a start."""
    return fingerprints.compute(upstream)[:_START_ID_CHARS]
