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
ENDS: Final = 3.0

# What an end counts where the attempt had brought a part of the answer. A
# request that is to blame nearly always ends an upstream before that; were
# such ends not counted at all, one that doesn't would end upstreams for ever.
LATER_END: Final = 0.5

# An attempt's upstream is asked at once whether it lives, and again 0.15 s
# later. Where nothing is known of it after so long, it counts as alive.
SETTLE_S: Final = 2.0

# News of a request are told to other hosts for so long, in some forty
# datagrams: also to those that were cut off for some seconds.
TOLD_S: Final = 10.0

# A request that was answered so long ago ends nothing. Longer than others
# tell of its ends, who may not have heard of the answer yet.
ANSWERED_S: Final = 20.0

# Requests that are remembered, those that ended something last: more than are
# under way at once at one host of a large site, all of which may be cut in one
# moment. And those that were answered: the same look-up that many callers of a
# workspace send stays among the last thousand.
KEPT: Final = 4096
ANSWERS_KEPT: Final = 1024

# Retry-After of a request in quarantine, in seconds: to come back sooner is of
# no use, it is refused until someone has looked at it.
RETRY_AFTER_S: Final = 60.0

# Characters by which hosts name an upstream's start to each other. Were two
# of the three alike, a request would be sent once more.
_NAME_CHARS: Final = 8


class State(enum.Enum):
    """What is known of an upstream after an attempt there was cut."""

    # It has ended, or can't be reached.
    ENDED = "ended"
    # It answers, and is the same start as before.
    ALIVE = "alive"
    # It is being asked.
    UNKNOWN = "unknown"


@attrs.frozen
class Cut:
    """An attempt that was cut, with upstreams of which one may have ended."""

    fingerprint: str
    # The one that it was sent to first.
    upstreams: tuple[str, ...]
    # Whether it had brought a part of the answer.
    has_brought: bool
    at_s: float

    @property
    def weight(self) -> float:
        """What the end of its upstream counts."""
        return LATER_END if self.has_brought else 1.0


# Ends of one request: what each counts, by name of the upstream's start.
Ends = Mapping[str, float]


def has_more_ends(known: Ends, other: Ends) -> bool:
    """Tells whether ends are known that another record lacks."""
    return not set(known) <= set(other)


@attrs.frozen
class Change:
    """A request was put into quarantine, or let go."""

    fingerprint: str
    # Empty where it was let go.
    ends: Ends
    # This host saw one of the ends, or the answer, itself.
    is_own: bool


@attrs.define
class _Record:
    """What is known of one request."""

    ends: dict[str, float] = attrs.Factory(dict)
    # When it last changed.
    at_s: float = 0.0
    is_held: bool = False
    # It was let go.
    is_released: bool = False
    # This host saw one of the ends itself.
    is_own: bool = False

    def weigh(self) -> float:
        """Returns how many upstreams ended under it."""
        return sum(self.ends.values())


class Quarantine:
    """What one host knows of requests under which upstreams ended."""

    def __init__(self, settle_s: float = SETTLE_S) -> None:
        """Makes a state that knows of none.

        Args:
            settle_s: How long an upstream may stay unknown after a cut; then
                it counts as alive.
        """
        self._settle_s = settle_s
        # The one that changed last is at the end.
        self._records: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )
        # When requests were answered, the last one at the end.
        self._answered: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._cuts: list[Cut] = []
        self._changes: list[Change] = []

    def is_held(self, fingerprint: str) -> bool:
        """Tells whether a request may not be sent.

        Cuts count from the first moment, as if the upstream had ended: the
        next send would come before it is known.
        """
        record = self._records.get(fingerprint)
        ends = dict(record.ends) if record else {}
        for cut in self._cuts:
            if cut.fingerprint == fingerprint:
                ends.setdefault(name_start(cut.upstreams[0]), cut.weight)
        return sum(ends.values()) >= ENDS

    def get_retry_after_s(self, fingerprint: str) -> float:
        """Returns when one that is held may come back, in seconds."""
        record = self._records.get(fingerprint)
        is_sure = record is not None and record.is_held
        return RETRY_AFTER_S if is_sure else self._settle_s

    def note_cut(self, cut: Cut, now_s: float) -> None:
        """Takes an attempt that was cut; `settle` tells what follows."""
        if cut.fingerprint and not self._was_answered(cut.fingerprint, now_s):
            self._cuts.append(cut)

    def settle(self, look: Callable[[str], State], now_s: float) -> None:
        """Counts the cuts of which it is known by now what became of them.

        Args:
            look: Returns what is known of an upstream.
            now_s: Monotonic time.
        """
        cuts, self._cuts = self._cuts, []
        for cut in cuts:
            states = {u: look(u) for u in cut.upstreams}
            ended = [u for u, s in states.items() if s is State.ENDED]
            if ended:
                ends = {name_start(ended[0]): cut.weight}
                self._add(cut.fingerprint, ends, True, now_s)
            elif (
                State.UNKNOWN in states.values()
                and now_s - cut.at_s < self._settle_s
            ):
                self._cuts.append(cut)

    def note_answered(self, fingerprint: str, now_s: float) -> None:
        """Takes that a request was answered to its end, so it ends nothing."""
        if not fingerprint:
            return
        self._answered[fingerprint] = now_s
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > ANSWERS_KEPT:
            self._answered.popitem(last=False)
        self._cuts = [c for c in self._cuts if c.fingerprint != fingerprint]
        self._clear(fingerprint, True, now_s)

    def hear(self, told: Mapping[str, Ends], now_s: float) -> None:
        """Takes what another host or the store tells.

        Args:
            told: Ends of requests; none where one was answered, or let go.
            now_s: Monotonic time.
        """
        for fingerprint, ends in told.items():
            if not ends:
                self._clear(fingerprint, False, now_s)
            elif self._was_answered(fingerprint, now_s):
                self._contradict(fingerprint, now_s)
            else:
                self._add(fingerprint, ends, False, now_s)

    def list_told(self, most: int, now_s: float) -> dict[str, dict[str, float]]:
        """Returns what to tell other hosts: what is held, and what is new.

        Args:
            most: Requests to tell of at most. Held ones go first and those
                that were let go, then those that ended most.
            now_s: Monotonic time.
        """
        found = [
            (f, r)
            for f, r in self._records.items()
            if r.is_held or now_s - r.at_s < TOLD_S
        ]
        found.sort(
            key=lambda i: (
                not (i[1].is_held or i[1].is_released),
                -i[1].weigh(),
                -i[1].at_s,
            )
        )
        return {f: dict(r.ends) for f, r in found[:most]}

    def take_changes(self) -> list[Change]:
        """Returns what was held or let go since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def list_held(self) -> dict[str, Ends]:
        """Returns the requests in quarantine."""
        return {f: dict(r.ends) for f, r in self._records.items() if r.is_held}

    def is_settling(self) -> bool:
        """Tells whether `settle` has something to do."""
        return bool(self._cuts)

    def _was_answered(self, fingerprint: str, now_s: float) -> bool:
        """Tells whether a request was answered of late, so it ends nothing."""
        at_s = self._answered.get(fingerprint)
        if at_s is not None and now_s - at_s < ANSWERED_S:
            return True
        record = self._records.get(fingerprint)
        return (
            record is not None
            and not record.ends
            and now_s - record.at_s < ANSWERED_S
        )

    def _add(
        self, fingerprint: str, ends: Ends, is_own: bool, now_s: float
    ) -> None:
        """Counts ends of a request."""
        record = self._touch(fingerprint)
        record.is_own |= is_own
        for name, weight in ends.items():
            if record.ends.get(name, 0.0) < weight:
                record.ends[name] = weight
                record.at_s = now_s
        if record.is_held or record.weigh() < ENDS:
            return
        record.is_held = True
        record.is_released = False
        self._changes.append(
            Change(fingerprint, dict(record.ends), record.is_own)
        )

    def _clear(self, fingerprint: str, is_own: bool, now_s: float) -> None:
        """Takes that a request ends nothing."""
        record = self._records.get(fingerprint)
        if record is None or not record.ends:
            return
        if record.is_held:
            record.is_released = True
            self._changes.append(Change(fingerprint, {}, is_own))
        record.ends.clear()
        record.is_held = record.is_own = False
        record.at_s = now_s

    def _contradict(self, fingerprint: str, now_s: float) -> None:
        """Has a host told of an answer that it doesn't know of."""
        record = self._touch(fingerprint)
        record.at_s = now_s

    def _touch(self, fingerprint: str) -> _Record:
        """Returns a request's record, as the one that changed last."""
        record = self._records.get(fingerprint)
        if record is None:
            record = self._records[fingerprint] = _Record()
        self._records.move_to_end(fingerprint)
        if len(self._records) > KEPT:
            self._drop_oldest()
        return record

    def _drop_oldest(self) -> None:
        """Drops the record that changed first; a held one if all are."""
        oldest = next(
            (f for f, r in self._records.items() if not r.is_held), ""
        )
        del self._records[oldest or next(iter(self._records))]


def name_start(upstream: str) -> str:
    """Returns the name by which hosts tell each other of a start."""
    return fingerprints.compute(upstream)[:_NAME_CHARS]
