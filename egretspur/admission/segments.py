"""Finds prompt segments under which upstreams crash: pure.

Requests share segments of their prompts, such as a system prompt or a document.
One segment may crash each upstream that begins to answer a request with it. No
two such requests need be alike, so their fingerprints show nothing
(`egretspur.admission.quarantine`); what they have in common does.

Evidence against a segment is a sequence of crashes, each under a request with
it that was sent after the crash before, and none of these requests answered:

- An answer to any request with the segment refutes all crashes of requests
  that were sent before, once it is established: it has brought output for
  `ESTABLISHED_S`, or is complete. So segments of many requests, such as a
  system prompt, are not blamed while some of these are answered. The first
  output alone refutes nothing: upstreams may crash some events later.
- A power loss is one crash in this sense, however many upstreams it ends: the
  requests that it cut were all sent before it.
- Of the requests that an upstream ran when it crashed, those whose answers had
  begun with a head but no output come first. Those without a head count only if
  there are none such, and half. Those with some output count in full against
  segments that no established answer ever had, and half against others. Those
  whose answers were established show nothing.
- A segment whose requests bring output is blamed only if answers without it
  were established meanwhile. Otherwise the upstreams themselves may be at
  fault, as when all of them crash soon after each start.

What is blamed is the set of all segments that these requests have in common and
that no answer speaks for. Requests that have only some of them are sent; their
answers or crashes then show which one it is.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final

import attrs

from egretspur.admission import fingerprint

# Sum of weights of a sequence of crashes for which segments are blamed. Two may
# be a coincidence.
CRASH_THRESHOLD: Final = 3.0

# Weight of a crash before the upstream had sent the head of its answer.
HEADLESS_WEIGHT: Final = 0.5

# Weight of a crash after the first output, against segments that were answered
# before. Many requests that only run beside a fatal one have some output.
OUTPUT_WEIGHT: Final = 0.5

# Output for this long shows that an upstream does not crash under a prompt:
# several of the longest gaps between two events.
ESTABLISHED_S: Final = 2.0

# Different requests that must have crashed upstreams: a single one is known by
# its fingerprint.
MIN_REQUESTS: Final = 2

# Segments that were answered before are blamed this long after their last crash
# that is needed: until then other hosts may have an answer that refutes it.
SETTLE_S: Final = 0.6

# Time before the last crash in which an answer without the segment must have
# been established, if the segment itself never was answered.
CONTRAST_S: Final = 60.0

# Established answers kept to compare with.
MAX_ESTABLISHED: Final = 256

# Crashes kept, and segments of which the time of an answer is kept: more than a
# large site has of either within minutes.
MAX_CRASHES: Final = 1024
MAX_ANSWERED: Final = 8192

# A crash is published for this long after it was learned of, in some forty
# updates, so that hosts which were cut off for some seconds receive it too.
PUBLISH_S: Final = 10.0

# Crashes and segments in one update, so that it fits into one packet.
MAX_PUBLISHED: Final = 12
MAX_PUBLISHED_SEGMENTS: Final = 6
MAX_PUBLISHED_ANSWERS: Final = 24

# Segments that are blamed together at most.
MAX_BLAMED: Final = 6

# Characters that tell a request from others in updates.
_REQUEST_CHARS: Final = 6

# Lines of a prompt's text that count as segments: shorter ones, such as "Yes",
# are in many prompts by chance. And how many of them are kept.
MIN_LINE_CHARS: Final = 12
MAX_LINES: Final = 64

# How the key of a set of segments begins, and what separates its segments.
_KEY_PREFIX: Final = "segments:"
_KEY_SEPARATOR: Final = ","

# Characters of a key: the store keeps no longer ones.
_MAX_KEY_CHARS: Final = 250


@attrs.frozen
class Crash:
    """A crash under a request whose answer was not established."""

    # Start of the upstream, as `quarantine.make_start_id` names it.
    start: str
    # Begin of the request's fingerprint.
    request: str
    segments: frozenset[str]
    # Whether the head of an answer had arrived.
    has_head: bool
    # Monotonic times at which the request was sent, and cut.
    sent_s: float
    cut_s: float
    # Whether it had brought some output.
    has_output: bool = False

    def weigh(self, is_answered: bool) -> float:
        """Returns its weight in a sequence of crashes under a segment.

        Args:
            is_answered: Whether a request with the segment was ever answered.
        """
        if self.has_output and is_answered:
            return OUTPUT_WEIGHT
        return 1.0 if self.has_head else HEADLESS_WEIGHT


@attrs.frozen
class PublishedCrash:
    """A crash in an update to other hosts."""

    start: str
    request: str
    segments: tuple[str, ...]
    has_head: bool
    sent_age_s: float
    cut_age_s: float
    has_output: bool = False


@attrs.frozen
class Update:
    """What one host knows of crashes and segments, for other hosts."""

    crashes: tuple[PublishedCrash, ...] = ()
    # Seconds since a request with a segment was answered.
    answered: Mapping[str, float] = attrs.Factory(dict)

    def is_empty(self) -> bool:
        """Returns whether there is nothing to send."""
        return not self.crashes


@attrs.frozen
class Blame:
    """Segments that crash upstreams where they come together."""

    segments: frozenset[str]
    # Weight of each crash by upstream start.
    crashes: Mapping[str, float]
    # Starts of all upstreams that crashed under these segments.
    starts: frozenset[str]
    # Monotonic time of the crash that was one too many.
    at_s: float
    # Whether this host itself saw one of the crashes.
    is_own: bool


@attrs.frozen
class _KnownCrash:
    """A crash that this host knows of."""

    crash: Crash
    # Monotonic time at which it learned of it.
    learned_s: float
    is_own: bool


class SegmentEvidence:
    """One host's evidence about segments; see the module's docstring."""

    def __init__(self) -> None:
        # By start and request, oldest first.
        self._crashes: collections.OrderedDict[tuple[str, str], _KnownCrash] = (
            collections.OrderedDict()
        )
        # The same crashes by segment.
        self._by_segment: dict[str, dict[tuple[str, str], Crash]] = {}
        # Last answer by segment, the most recent last.
        self._answered_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Segments to be looked at again.
        self._unsettled: set[str] = set()
        # Segments and times of this host's established answers, oldest first.
        self._established: collections.deque[tuple[frozenset[str], float]] = (
            collections.deque(maxlen=MAX_ESTABLISHED)
        )

    def record_crash(self, crash: Crash, now_s: float) -> list[Blame]:
        """Adds a crash; returns what is to be blamed now."""
        if not crash.segments:
            return []
        self._add(_KnownCrash(crash, now_s, True))
        return self._find_blame(crash.segments, now_s)

    def list_suspected(self, crashes: Iterable[Crash]) -> list[frozenset[str]]:
        """Returns what is blamed if these crashes are certain, and only then.

        Not sets of segments that were all answered: other hosts may refute
        that.
        """
        added = {
            (c.start, c.request): _KnownCrash(c, c.cut_s, True)
            for c in crashes
            if (c.start, c.request) not in self._crashes
        }
        for crash in added.values():
            self._add(crash)
        touched = {s for k in added.values() for s in k.crash.segments}
        found = [
            b.segments
            for b in self._list_blames(touched)
            if not self._is_answered(b.segments)
        ]
        for key in added:
            if key in self._crashes:
                self._remove(key)
        return found

    def find_settled(self, now_s: float) -> list[Blame]:
        """Returns what is to be blamed by now."""
        unsettled, self._unsettled = self._unsettled, set()
        return self._find_blame(unsettled, now_s)

    def record_answer(self, segments: Collection[str], now_s: float) -> None:
        """Records an established answer to a request with these segments."""
        self._established.append((frozenset(segments), now_s))
        for segment in segments:
            self._set_answered(segment, now_s)

    def apply_update(self, update: Update, now_s: float) -> list[Blame]:
        """Merges another host's update; returns what is to be blamed now."""
        for segment, age_s in update.answered.items():
            self._set_answered(segment, now_s - age_s)
        touched: set[str] = set()
        for found in update.crashes:
            if (found.start, found.request) in self._crashes:
                continue
            crash = Crash(
                found.start,
                found.request,
                frozenset(found.segments),
                found.has_head,
                now_s - found.sent_age_s,
                now_s - found.cut_age_s,
                found.has_output,
            )
            self._add(_KnownCrash(crash, now_s, False))
            touched |= crash.segments
        return self._find_blame(touched, now_s)

    def make_update(self, now_s: float) -> Update:
        """Returns the recent crashes, and the answers that refute them."""
        recent = [
            k.crash
            for k in self._crashes.values()
            if now_s - k.learned_s < PUBLISH_S and not self._is_cleared(k.crash)
        ]
        recent.sort(key=lambda c: (c.has_head, c.cut_s), reverse=True)
        published = recent[:MAX_PUBLISHED]
        known = {s for c in published for s in c.segments}
        answered = sorted(
            (s for s in known if s in self._answered_s),
            key=lambda s: -self._answered_s[s],
        )
        return Update(
            tuple(self._publish(c, now_s) for c in published),
            {
                s: round(now_s - self._answered_s[s], 2)
                for s in answered[:MAX_PUBLISHED_ANSWERS]
            },
        )

    def _publish(self, crash: Crash, now_s: float) -> PublishedCrash:
        """Returns a crash with the segments that are most likely to blame."""
        ranked = sorted(
            crash.segments,
            key=lambda s: (
                self._is_refuted(s, crash),
                -len(self._by_segment[s]),
                s,
            ),
        )
        return PublishedCrash(
            crash.start,
            crash.request,
            tuple(ranked[:MAX_PUBLISHED_SEGMENTS]),
            crash.has_head,
            round(now_s - crash.sent_s, 2),
            round(now_s - crash.cut_s, 2),
            crash.has_output,
        )

    def _add(self, known: _KnownCrash) -> None:
        key = (known.crash.start, known.crash.request)
        if key in self._crashes:
            return
        self._crashes[key] = known
        for segment in known.crash.segments:
            self._by_segment.setdefault(segment, {})[key] = known.crash
        if len(self._crashes) > MAX_CRASHES:
            self._remove(next(iter(self._crashes)))

    def _remove(self, key: tuple[str, str]) -> None:
        for segment in self._crashes.pop(key).crash.segments:
            listed = self._by_segment[segment]
            del listed[key]
            if not listed:
                del self._by_segment[segment]

    def _set_answered(self, segment: str, at_s: float) -> None:
        known_s = self._answered_s.get(segment, -math.inf)
        self._answered_s[segment] = max(known_s, at_s)
        self._answered_s.move_to_end(segment)
        if len(self._answered_s) > MAX_ANSWERED:
            self._answered_s.popitem(last=False)

    def _is_answered(self, segments: Iterable[str]) -> bool:
        """Returns whether requests with each of these were ever answered."""
        return all(s in self._answered_s for s in segments)

    def _is_refuted(self, segment: str, crash: Crash) -> bool:
        """Returns whether a request with a segment was answered since."""
        return self._answered_s.get(segment, -math.inf) >= crash.sent_s

    def _is_cleared(self, crash: Crash) -> bool:
        """Returns whether an answer speaks for each segment of a request.

        Only for requests with output: the others show by their heads which
        request an upstream had begun last.
        """
        return crash.has_output and all(
            self._is_refuted(s, crash) for s in crash.segments
        )

    def _find_blame(
        self, segments: Collection[str], now_s: float
    ) -> list[Blame]:
        """Returns what is blamed of some segments, and is certain by now."""
        found = []
        for blame in self._list_blames(segments):
            is_answered = self._is_answered(blame.segments)
            if is_answered and now_s - blame.at_s < SETTLE_S:
                self._unsettled |= blame.segments
            else:
                found.append(blame)
        return found

    def _list_blames(self, segments: Collection[str]) -> list[Blame]:
        """Returns what the crashes show of some segments.

        Segments that were never answered come first, then those whose answer
        is the longest ago: what they explain is not held against the others.
        """
        # A sequence is no longer than the crashes of its segment.
        candidates = [
            s
            for s in segments
            if len(self._by_segment.get(s, ())) >= CRASH_THRESHOLD
        ]
        if not candidates:
            return []
        ranked = sorted(
            candidates,
            key=lambda s: (self._answered_s.get(s, -math.inf), s),
        )
        with_head = {
            k.crash.start
            for k in self._crashes.values()
            if k.crash.has_head and not k.crash.has_output
        }
        found: list[Blame] = []
        for segment in ranked:
            if any(segment in b.segments for b in found):
                continue
            blame = self._blame(segment, with_head, found)
            if blame is not None:
                found.append(blame)
        return found

    def _blame(
        self, segment: str, with_head: Collection[str], known: Collection[Blame]
    ) -> Blame | None:
        """Returns the blame of a segment; None if there is not enough.

        Args:
            segment: The segment.
            with_head: Starts that ran a request of which a head had arrived.
            known: What is blamed already.
        """
        against = sorted(
            (
                c
                for c in self._by_segment[segment].values()
                if not self._is_refuted(segment, c)
                and (c.has_head or c.start not in with_head)
                and not _is_explained(c, known)
            ),
            key=lambda c: c.cut_s,
        )
        chain = _find_sequence(against)
        is_answered = self._is_answered([segment])
        weights = {c.start: c.weigh(is_answered) for c in chain}
        if (
            sum(weights.values()) < CRASH_THRESHOLD
            or len({c.request for c in chain}) < MIN_REQUESTS
        ) or not self._has_contrast(segment, chain):
            return None
        common = frozenset.intersection(*(c.segments for c in against))
        unanswered = {
            s
            for s in common
            if not any(self._is_refuted(s, c) for c in against)
        }
        blamed = sorted(unanswered - {segment})[: MAX_BLAMED - 1]
        return Blame(
            frozenset([segment, *blamed]),
            weights,
            frozenset(c.start for c in against),
            _find_threshold(chain, weights),
            any(self._crashes[c.start, c.request].is_own for c in chain),
        )

    def _has_contrast(self, segment: str, chain: Sequence[Crash]) -> bool:
        """Returns whether crashes may be due to a segment, not to upstreams.

        Args:
            segment: The segment.
            chain: Crashes under it, at least one.
        """
        is_answered = self._is_answered([segment])
        has_output = any(
            c.has_output for c in self._by_segment[segment].values()
        )
        if not (is_answered or has_output):
            return True
        since_s = chain[-1].cut_s - CONTRAST_S
        if is_answered:
            since_s = chain[0].sent_s
        return any(
            at_s >= since_s and segment not in answered
            for answered, at_s in self._established
        )


def split_text(model: str, text: str) -> tuple[str, ...]:
    """Returns the segments of a prompt that comes as one text.

    These are its lines, which prompts share where they share a document or
    instructions, but the last: that is the request's own.

    Args:
        model: That is to read the prompt.
        text: The prompt.
    """
    lines = {
        line.strip()
        for line in text.splitlines()[:-1]
        if len(line.strip()) >= MIN_LINE_CHARS
    }
    # The smallest digests, so that all routers choose the same lines.
    return tuple(
        sorted(fingerprint.compute(model, line) for line in lines)[:MAX_LINES]
    )


def make_key(segments: Collection[str]) -> str:
    """Returns the key of a set of segments, for records and the store."""
    kept = sorted(segments)
    while True:
        key = _KEY_PREFIX + _KEY_SEPARATOR.join(kept)
        if len(key) <= _MAX_KEY_CHARS or len(kept) == 1:
            return key[:_MAX_KEY_CHARS]
        # Fewer segments are a wider set of requests.
        kept.pop()


def parse_key(key: str) -> frozenset[str]:
    """Returns the segments of a key; none if it is that of a request."""
    if not key.startswith(_KEY_PREFIX):
        return frozenset()
    return frozenset(key[len(_KEY_PREFIX) :].split(_KEY_SEPARATOR))


def make_request_mark(fingerprint: str) -> str:
    """Returns what tells a request from others in updates."""
    return fingerprint[:_REQUEST_CHARS]


def _is_explained(crash: Crash, known: Iterable[Blame]) -> bool:
    """Returns whether other segments explain why an upstream crashed."""
    return any(
        crash.start in b.starts and not b.segments <= crash.segments
        for b in known
    )


def _find_sequence(crashes: Iterable[Crash]) -> list[Crash]:
    """Returns crashes each of which was sent after the one before.

    Args:
        crashes: Ordered by the time at which they were cut.
    """
    chain: list[Crash] = []
    for crash in crashes:
        if not chain or crash.sent_s >= chain[-1].cut_s:
            chain.append(crash)
    return chain


def _find_threshold(
    chain: Iterable[Crash], weights: Mapping[str, float]
) -> float:
    """Returns the time of the crash with which a sequence sufficed."""
    weight = 0.0
    for crash in chain:
        weight += weights[crash.start]
        if weight >= CRASH_THRESHOLD:
            return crash.cut_s
    return math.inf
