"""Quarantine of requests that crash the upstreams which run them: pure.

Such a request is also known as a poison request or query of death.

Without quarantine, one such request crashes engines in all data centres, a few
a second, and each takes dozens of running answers with it. A host reroutes the
request, and its caller retries it under another id and at another host; since
attempts are counted by id and host, each retry starts with a full allowance.

A request is therefore identified by its fingerprint. An upstream that crashed
under it counts against the fingerprint, once, whichever host saw the crash, and
hosts publish their crash records to each other. Three crashes quarantine a
request: no host sends it any more, whether it is new, waiting, retried or
resumed, until an operator releases it.

Requests that run beside it are cut and retried as well. They differ in that
they are answered in the end, which clears them, or were answered shortly
before, and that most had produced a part of their answer.

Sets of prompt segments are quarantined as well, under a key of their own, with
every request that has all of them; `egretspur.admission.segments` finds them.
"""

from __future__ import annotations

import collections
import enum
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import Final

import attrs

from egretspur.admission import fingerprint as fingerprints
from egretspur.admission import segments as segment_sets

# Crashes that quarantine a request, as for segments. One may be a coincidence,
# and two may come from the loss of a data centre that the request passed
# through.
CRASH_THRESHOLD: Final = segment_sets.CRASH_THRESHOLD

# Weight of a crash after the attempt had produced a part of the answer. A
# poison request mostly crashes its upstream before that. Four later crashes
# quarantine it as well; a request that only ran beside three is still sent.
LATE_CRASH_WEIGHT: Final = 0.75

# An upstream is probed as soon as an attempt there is cut, and again 0.15 s
# later. If its state is still unknown after this time, it counts as alive.
CRASH_CHECK_S: Final = 2.0

# Longest wait for a silent upstream to go on or to be known as ended: three
# heartbeats, after which the platform removes it, and a read of the list.
SILENCE_CHECK_S: Final = 5.0

# A change to a request's record is published for this long, in some forty
# datagrams, so that hosts which were cut off for some seconds receive it too.
PUBLISH_S: Final = 10.0

# Crashes are not counted against a request for this long after it was answered.
# Longer than `PUBLISH_S`, since peers that have not received the answer yet
# still publish its crashes.
ANSWER_TTL_S: Final = 20.0

# Crash records kept, the most recently changed ones: more than the requests in
# flight at one host of a large site, all of which may be cut at the same time.
# And answered requests kept: a look-up that many callers of a workspace send
# stays among the last thousand.
MAX_RECORDS: Final = 4096
MAX_ANSWERS: Final = 1024

# Retry-After of a quarantined request. An earlier retry is of no use: the
# request is refused until an operator has looked at it.
RETRY_AFTER_S: Final = 60.0

# Characters that identify one start of an upstream in peer updates. If two of
# the three collide, the request is sent once more.
_START_ID_CHARS: Final = 8


class UpstreamState(enum.Enum):
    """State of an upstream after an attempt there was cut."""

    # It crashed or can't be reached.
    CRASHED = "ended"
    # It answers and has not restarted.
    ALIVE = "alive"
    # The probes have not completed.
    UNKNOWN = "unknown"
    # It does not answer; a sound one may be silent for a second or two.
    SILENT = "silent"


@attrs.frozen
class CutAttempt:
    """An attempt that was cut, and the upstreams that may have crashed."""

    fingerprint: str
    # The upstream that received the request comes first.
    upstreams: tuple[str, ...]
    # Whether the attempt had produced a part of the answer.
    has_output: bool
    at_s: float
    # Prompt segments that other requests may share.
    segments: tuple[str, ...] = ()
    # Whether the head of an answer had arrived, and when it was sent.
    has_head: bool = False
    sent_s: float = 0.0
    # Whether the answer of some attempt was established; see `segments`.
    is_established: bool = False

    @property
    def weight(self) -> float:
        """Weight of this crash, if its upstream crashed."""
        return LATE_CRASH_WEIGHT if self.has_output else 1.0


# Crashes under one request: weight by id of the upstream's start.
CrashWeights = Mapping[str, float]


def has_new_crashes(known: CrashWeights, other: CrashWeights) -> bool:
    """Tells whether `known` has crashes that another record lacks."""
    return not set(known) <= set(other)


@attrs.frozen
class Change:
    """A request, or a set of segments, was quarantined or released."""

    # Or the key of the segments.
    fingerprint: str
    # Empty if it was released.
    crashes: CrashWeights
    # This host itself saw one of the crashes, or the answer.
    is_own: bool


@attrs.define
class _Record:
    """Crash record of one request."""

    crashes: dict[str, float] = attrs.Factory(dict)
    # Time of the last change.
    at_s: float = 0.0
    is_quarantined: bool = False
    is_released: bool = False
    # This host itself saw one of the crashes.
    is_own: bool = False

    def sum_weights(self) -> float:
        """Returns the total weight of its crashes."""
        return sum(self.crashes.values())


class Quarantine:
    """One host's records of requests under which upstreams crashed."""

    def __init__(self, crash_check_s: float = CRASH_CHECK_S) -> None:
        """Makes an empty quarantine.

        Args:
            crash_check_s: Seconds for which the state of an upstream may stay
                unknown after a cut; then it counts as alive.
        """
        self._crash_check_s = crash_check_s
        # By fingerprint or key of segments, the most recently changed last.
        self._records: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )
        # Time of the answer by fingerprint, the most recent last.
        self._answered_at_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._cuts: list[CutAttempt] = []
        self._changes: list[Change] = []
        self._evidence = segment_sets.SegmentEvidence()
        # Sets of segments to quarantine if the pending cuts were crashes.
        self._suspected: list[frozenset[str]] = []
        # Quarantined sets of segments, by key.
        self._blocked_segments: dict[str, frozenset[str]] = {}

    def is_blocked(
        self, fingerprint: str, segments: Sequence[str] = ()
    ) -> bool:
        """Tells whether a request must not be sent.

        A cut counts as a crash until the upstream's state is known, since a
        retry would be sent before that.

        Args:
            fingerprint: Of the request.
            segments: Of its prompt.
        """
        if self.list_blocked_segments(segments) or any(
            s.issubset(segments) for s in self._suspected
        ):
            return True
        record = self._records.get(fingerprint)
        crashes = dict(record.crashes) if record else {}
        for cut in self._cuts:
            if cut.fingerprint == fingerprint:
                crashes.setdefault(make_start_id(cut.upstreams[0]), cut.weight)
        return sum(crashes.values()) >= CRASH_THRESHOLD

    def list_blocked_segments(self, segments: Sequence[str]) -> list[str]:
        """Returns the keys of quarantined segments that a prompt has."""
        if not self._blocked_segments or not segments:
            return []
        found = frozenset(segments)
        return [k for k, s in self._blocked_segments.items() if s <= found]

    def get_retry_after_s(
        self, fingerprint: str, segments: Sequence[str] = ()
    ) -> float:
        """Returns the Retry-After of a blocked request, in seconds."""
        record = self._records.get(fingerprint)
        is_confirmed = (
            record is not None and record.is_quarantined
        ) or self.list_blocked_segments(segments)
        return RETRY_AFTER_S if is_confirmed else self._crash_check_s

    def record_cut(self, cut: CutAttempt, now_s: float) -> None:
        """Adds a cut attempt, for `resolve_cuts` to evaluate."""
        if self._was_answered(cut.fingerprint, now_s):
            cut = attrs.evolve(cut, fingerprint="")
        if cut.fingerprint or cut.segments:
            self._cuts.append(cut)
            self._update_suspected()

    def resolve_cuts(
        self, get_state: Callable[[str], UpstreamState], now_s: float
    ) -> None:
        """Evaluates the cuts whose upstreams' states are known by now.

        Args:
            get_state: Returns the state of an upstream.
            now_s: Monotonic time.
        """
        cuts, self._cuts = self._cuts, []
        for cut in cuts:
            states = {u: get_state(u) for u in cut.upstreams}
            crashed = [
                u for u, s in states.items() if s is UpstreamState.CRASHED
            ]
            if crashed:
                self._record_crash(cut, make_start_id(crashed[0]), now_s)
            elif now_s - cut.at_s < self._get_check_s(states.values()):
                self._cuts.append(cut)
        self._add_blames(self._evidence.find_settled(now_s), now_s)
        if cuts:
            self._update_suspected()

    def _get_check_s(self, states: Collection[UpstreamState]) -> float:
        """Returns how long to wait for these states to become known."""
        if UpstreamState.SILENT in states:
            return max(self._crash_check_s, SILENCE_CHECK_S)
        return self._crash_check_s if UpstreamState.UNKNOWN in states else 0.0

    def _update_suspected(self) -> None:
        """Finds the segments to blame if the pending cuts were crashes."""
        self._suspected = self._evidence.list_suspected(
            _make_crash(c, make_start_id(c.upstreams[0]))
            for c in self._cuts
            if c.segments and c.has_head and not c.is_established
        )

    def _record_crash(self, cut: CutAttempt, start: str, now_s: float) -> None:
        """Counts a crash against a request and the segments of its prompt."""
        if cut.fingerprint:
            crashes = {start: cut.weight}
            self._add_crashes(cut.fingerprint, crashes, True, now_s)
        if not cut.is_established:
            crash = _make_crash(cut, start)
            self._add_blames(self._evidence.record_crash(crash, now_s), now_s)

    def _add_blames(
        self, blames: Iterable[segment_sets.Blame], now_s: float
    ) -> None:
        """Quarantines sets of segments."""
        for blame in blames:
            key = segment_sets.make_key(blame.segments)
            if not self._was_answered(key, now_s):
                self._add_crashes(key, blame.crashes, blame.is_own, now_s)

    def record_established(self, segments: Sequence[str], now_s: float) -> None:
        """Records an established answer to a request with these segments.

        They are released if they are quarantined.
        """
        self._evidence.record_answer(segments, now_s)
        for key in self.list_blocked_segments(segments):
            self.record_answer(key, now_s)

    def apply_evidence(self, update: segment_sets.Update, now_s: float) -> None:
        """Merges what another host knows of segments."""
        self._add_blames(self._evidence.apply_update(update, now_s), now_s)

    def make_evidence(self, now_s: float) -> segment_sets.Update:
        """Returns what this host knows of segments, for other hosts."""
        return self._evidence.make_update(now_s)

    def record_answer(self, fingerprint: str, now_s: float) -> None:
        """Clears a request that was answered completely."""
        if not fingerprint:
            return
        self._answered_at_s[fingerprint] = now_s
        self._answered_at_s.move_to_end(fingerprint)
        if len(self._answered_at_s) > MAX_ANSWERS:
            self._answered_at_s.popitem(last=False)
        self._cuts = [
            attrs.evolve(c, fingerprint="")
            if c.fingerprint == fingerprint
            else c
            for c in self._cuts
        ]
        self._clear_crashes(fingerprint, True, now_s)

    def apply_peer_update(
        self, records: Mapping[str, CrashWeights], now_s: float
    ) -> None:
        """Merges records from another host or the store.

        Args:
            records: Crashes by request; none if it was answered or released.
            now_s: Monotonic time.
        """
        for fingerprint, crashes in records.items():
            if not crashes:
                self._clear_crashes(fingerprint, False, now_s)
            elif self._was_answered(fingerprint, now_s):
                self._republish_answer(fingerprint, now_s)
            else:
                self._add_crashes(fingerprint, crashes, False, now_s)

    def list_updates(
        self, max_count: int, now_s: float
    ) -> dict[str, dict[str, float]]:
        """Returns the quarantined and recently changed records to publish.

        Args:
            max_count: Maximum number of records. Quarantined and released
                requests go first, then those with most crashes.
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
        """Returns the requests quarantined or released since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def list_quarantined(self) -> dict[str, CrashWeights]:
        """Returns the requests in quarantine."""
        return {
            f: dict(r.crashes)
            for f, r in self._records.items()
            if r.is_quarantined
        }

    def has_pending_cuts(self) -> bool:
        """Tells whether `resolve_cuts` has cuts to evaluate."""
        return bool(self._cuts)

    def _was_answered(self, fingerprint: str, now_s: float) -> bool:
        """Tells whether a request was answered recently."""
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
        self,
        fingerprint: str,
        crashes: CrashWeights,
        is_own: bool,
        now_s: float,
    ) -> None:
        """Adds crashes to a record and quarantines it at the threshold."""
        record = self._get_record(fingerprint)
        record.is_own |= is_own
        for name, weight in crashes.items():
            if record.crashes.get(name, 0.0) < weight:
                record.crashes[name] = weight
                record.at_s = now_s
        if record.is_quarantined or record.sum_weights() < CRASH_THRESHOLD:
            return
        record.is_quarantined = True
        record.is_released = False
        blocked = segment_sets.parse_key(fingerprint)
        if blocked:
            self._blocked_segments[fingerprint] = blocked
        self._changes.append(
            Change(fingerprint, dict(record.crashes), record.is_own)
        )

    def _clear_crashes(
        self, fingerprint: str, is_own: bool, now_s: float
    ) -> None:
        """Removes a record's crashes and releases it from quarantine."""
        record = self._records.get(fingerprint)
        if record is None or not record.crashes:
            return
        if record.is_quarantined:
            record.is_released = True
            self._changes.append(Change(fingerprint, {}, is_own))
        self._blocked_segments.pop(fingerprint, None)
        record.crashes.clear()
        record.is_quarantined = record.is_own = False
        record.at_s = now_s

    def _republish_answer(self, fingerprint: str, now_s: float) -> None:
        """Publishes an answer again, for a host that has not received it."""
        record = self._get_record(fingerprint)
        record.at_s = now_s

    def _get_record(self, fingerprint: str) -> _Record:
        """Returns a request's record after moving it to the end."""
        record = self._records.get(fingerprint)
        if record is None:
            record = self._records[fingerprint] = _Record()
        self._records.move_to_end(fingerprint)
        if len(self._records) > MAX_RECORDS:
            self._drop_oldest()
        return record

    def _drop_oldest(self) -> None:
        """Drops the oldest record; a quarantined one only if all are."""
        oldest = next(
            (f for f, r in self._records.items() if not r.is_quarantined), ""
        )
        dropped = oldest or next(iter(self._records))
        del self._records[dropped]
        self._blocked_segments.pop(dropped, None)


def _make_crash(cut: CutAttempt, start: str) -> segment_sets.Crash:
    """Returns the crash of an upstream start under a cut attempt."""
    return segment_sets.Crash(
        start,
        segment_sets.make_request_mark(cut.fingerprint),
        frozenset(cut.segments),
        cut.has_head,
        cut.sent_s,
        cut.at_s,
        cut.has_output,
    )


def make_start_id(upstream: str) -> str:
    """Returns the id of an upstream's start in peer updates."""
    return fingerprints.compute(upstream)[:_START_ID_CHARS]
