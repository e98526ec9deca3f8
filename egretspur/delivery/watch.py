"""Watches streams for silence and reroutes them around dead stages.

Otherwise, when a stage dies, every answer over it stalls for two seconds until
the platform cuts it, by which time its caller has disconnected. Streams that
share a stage fall silent together (`egretspur.delivery.silence`): the stages
that may be the cause are probed at once, and streams are rerouted around those
that do not answer while others do. Streams that get no first event are
compared with each other (`egretspur.delivery.first_events`); a stage that they
share is paused even if it answers. A stalled stage that this misses is in the
report of the path's first engine some hundred milliseconds later.
"""

from __future__ import annotations

import concurrent.futures
import contextlib
import itertools
import math
import threading
import time
from collections.abc import Collection, Iterator, Mapping, Sequence
from typing import Final, Protocol

import attrs

from egretspur import decisions, guard
from egretspur.catalog import upstreams
from egretspur.delivery import (
    first_events,
    forward,
    peeks,
    peer_suspects,
    silence,
)
from egretspur.routing import desk, paths

# Shortest interval between checks, used when a stream is nearly silent, and
# longest one, used when all had recent events: below the shortest silence that
# counts.
MIN_CHECK_INTERVAL_S: Final = 0.02
MAX_CHECK_INTERVAL_S: Final = 0.045

# Longest wait for a first stream; `add` ends it early.
IDLE_WAIT_S: Final = 1.0

# Silence after which the first engine of a stream's path is asked for its
# report, if the stream's route sets no maximum gap. Events arrive every few
# tens of milliseconds.
MAX_SILENCE_S: Final = 0.3

# The same before the first event.
MAX_FIRST_EVENT_S: Final = first_events.MIN_BOUND_S

# Fraction of the caller's timeouts after which a silent attempt that can't be
# rerouted is ended, so that another one resumes the answer before the caller
# disconnects.
ABORT_TIMEOUTS_FRACTION: Final = 0.55

# Minimum interval between two requests for an engine's report.
REPORT_INTERVAL_S: Final = 0.25

# Maximum number of suspected stages probed at once. A path has about ten; if
# more are silent, this host itself is slow or cut off.
MAX_PROBES: Final = 12

# A live engine returns its report within 2 ms. If no suspect has by this time,
# an active stage is probed while the suspects' timeouts run.
PROMPT_REPORT_S: Final = 0.01

PeekCall = concurrent.futures.Future[upstreams.EngineReport | str]


class Engines(Protocol):
    """Fetches engines' reports and sends orders to engines."""

    def get_report(self, address: str) -> upstreams.EngineReport | str:
        """Returns an engine's report, or why there is none."""

    def peek(self, address: str) -> upstreams.EngineReport | str:
        """Like `get_report`, with a short time-out."""

    def repath(
        self, address: str, request_id: str, parts: Sequence[paths.Part]
    ) -> str:
        """Reroutes a running request; returns why it failed, if it did."""


class StreamWatch:
    """Detects silent streams in a thread and reroutes or ends them."""

    def __init__(
        self,
        to: desk.Desk,
        engines: Engines,
        checks_shared_silence: bool = True,
        host: str = "",
        reach: forward.Reach | None = None,
        max_silence_s: float = math.inf,
    ) -> None:
        """Creates a watch; `start` starts its thread.

        Args:
            to: Chooses other paths.
            engines: Fetches reports and sends orders.
            checks_shared_silence: Whether to check for streams that fall
                silent together or get no first event.
            host: This host's address as others know it.
            reach: Knows which connections are lost; None if nothing does.
            max_silence_s: Silence after which a connection may be lost though
                nothing shows it.
        """
        self._max_silence_s = max_silence_s
        self._reach = reach
        self._desk = to
        self._checks_shared_silence = checks_shared_silence
        self._engines = engines
        self._lock = threading.Lock()
        self._streams: set[forward.Forwarder] = set()
        # When each rerouted stream was rerouted.
        self._rerouted_s: dict[forward.Forwarder, float] = {}
        # When attempts with a lost connection were last to be ended.
        self._lost_s: dict[forward.Forwarder, float] = {}
        # When a first engine was last asked for its report, by id.
        self._last_report_s: dict[str, float] = {}
        self._peeks = peeks.PeekSchedule(host)
        # Used under the lock.
        self._peer_suspects = peer_suspects.PeerSuspects()
        # When streams without a first event were last compared.
        self._first_events_s = -math.inf
        # Used under the lock.
        self._first_events = first_events.FirstEvents()
        # Set while there are streams.
        self._has_streams = threading.Event()
        self._pool = concurrent.futures.ThreadPoolExecutor(
            MAX_PROBES, thread_name_prefix="peek"
        )
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="watch", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stops the thread and the probes."""
        self._stop.set()
        self._has_streams.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def add(self, stream: forward.Forwarder) -> None:
        """Starts watching a stream."""
        with self._lock:
            self._streams.add(stream)
            self._has_streams.set()

    def remove(self, stream: forward.Forwarder) -> None:
        """Stops watching a stream."""
        with self._lock:
            if stream in self._streams and stream.has_begun:
                self._first_events.record_ended(_describe(stream))
            self._streams.discard(stream)
            self._rerouted_s.pop(stream, None)
            if not self._streams:
                self._has_streams.clear()

    def record_peer_suspects(self, suspects: Collection[str]) -> None:
        """Records upstreams that other hosts report failing."""
        if suspects:
            with self._lock:
                self._peer_suspects.record(suspects, time.monotonic())

    def record_peer_usage(
        self, host: str, upstream_ids: Collection[str]
    ) -> None:
        """Records the upstreams over which a near host has requests."""
        with self._lock:
            self._peeks.apply_peer_usage(host, upstream_ids, time.monotonic())

    def _run(self) -> None:
        while not self._stop.wait(self._compute_wait(time.monotonic())):
            self._has_streams.wait(IDLE_WAIT_S)
            with guard.log_exceptions("watch"):
                self.check_streams(time.monotonic())

    def _compute_wait(self, now_s: float) -> float:
        """Returns the seconds until the next check."""
        with self._lock:
            last_activity_s = min(
                (s.last_activity_s for s in self._streams), default=now_s
            )
        wait_s = last_activity_s + silence.MIN_SILENCE_S - now_s
        return min(max(wait_s, MIN_CHECK_INTERVAL_S), MAX_CHECK_INTERVAL_S)

    def check_streams(self, now_s: float) -> None:
        """Handles the streams that are silent now."""
        with self._lock:
            streams = list(self._streams)
        streams = self._end_lost(streams, now_s)
        if self._checks_shared_silence:
            self._check_shared_silence(streams, now_s)
            self._check_first_events(streams, now_s)
        by_first: dict[paths.Part, list[forward.Forwarder]] = {}
        for stream in streams:
            if is_silent(stream, now_s):
                by_first.setdefault(stream.parts[0], []).append(stream)
        for first, silent in by_first.items():
            if (
                now_s - self._last_report_s.get(first.id, -REPORT_INTERVAL_S)
                < REPORT_INTERVAL_S
            ):
                continue
            if not self._desk.may_query(first.id):
                continue
            self._last_report_s[first.id] = now_s
            self._check_first_engine(first, silent)

    def _end_lost(
        self, streams: Sequence[forward.Forwarder], now_s: float
    ) -> list[forward.Forwarder]:
        """Ends silent attempts whose connection is lost; returns the others.

        Another attempt resumes the answer over the way that is left. Without
        this, its caller would leave, since the engine itself is sound.
        """
        reach = self._reach
        if reach is None:
            return list(streams)
        lost = [
            s for s in streams if is_silent(s, now_s) and s.has_lost_link(reach)
        ]
        for stream in lost:
            asked_s = self._lost_s.get(stream, -math.inf)
            if now_s - asked_s >= REPORT_INTERVAL_S:
                self._lost_s[stream] = now_s
                self._end_attempt(stream, is_lost=True)
        self._lost_s = {s: t for s, t in self._lost_s.items() if s in lost}
        return [s for s in streams if s not in lost]

    def _suspect_own_links(self) -> None:
        """Has this host's links checked: it hears nothing of any engine."""
        if self._reach is not None:
            self._reach.suspect()

    def _check_shared_silence(
        self, streams: Sequence[forward.Forwarder], now_s: float
    ) -> None:
        """Finds dead stages from silent streams, before a report names them."""
        begun = [s for s in streams if s.has_begun]
        # Fast path: checks are frequent and nearly all find no silent stream.
        if all(
            now_s - s.last_activity_s <= silence.MIN_SILENCE_S for s in begun
        ):
            return
        suspects = silence.find_suspects(
            [
                silence.StreamActivity(
                    tuple(p.id for p in s.parts),
                    now_s - s.last_activity_s,
                    s.smoothed_gap_s,
                )
                for s in begun
            ]
        ) | self._list_peer_suspects(begun, now_s)
        addresses = self._list_due(streams, suspects, now_s)
        if len(addresses) > MAX_PROBES:
            self._suspect_own_links()
            return
        if not addresses:
            return
        addresses = {
            i: a for i, a in addresses.items() if self._desk.may_query(i)
        }
        active = _find_active_stage(begun, suspects)
        # Otherwise a suspect that answered recently.
        active = active or _find_active_stage(begun, addresses)
        found = self._probe(addresses, active, now_s)
        # If no probe is answered, this host itself may be slow or cut off.
        if not any(found.values()):
            if found:
                self._suspect_own_links()
            return
        dead = frozenset(
            i for i, is_answered in found.items() if not is_answered
        )
        if dead:
            self._handle_dead(dead, streams)

    def _check_first_events(
        self, streams: Sequence[forward.Forwarder], now_s: float
    ) -> None:
        """Finds what keeps streams from their first event."""
        # Fast path, as in `_check_shared_silence`. The bounds are long, so the
        # longer interval between checks is enough.
        if now_s - self._first_events_s < MAX_CHECK_INTERVAL_S or all(
            s.has_begun or now_s - s.started_s <= MAX_FIRST_EVENT_S
            for s in streams
        ):
            return
        self._first_events_s = now_s
        # A stream that was rerouted has no event on its path before the next.
        on_path = [
            s
            for s in streams
            if s.parts and (not s.has_begun or s.last_activity_s >= s.started_s)
        ]
        with self._lock:
            found = self._first_events.find_suspects(
                [_describe(s) for s in on_path], now_s
            )
        if (
            not found
            or len(found.engines) > MAX_PROBES
            or any(self._peeks.is_recent(i, now_s) for i in found.engines)
        ):
            return
        addresses = {
            p.id: p.address
            for s in on_path
            for p in _list_to_probe(s.parts, found)
            if not self._peeks.is_recent(p.id, now_s)
            and self._desk.may_query(p.id)
        }
        if not addresses:
            return
        active = _find_active_stage(
            [s for s in on_path if s.has_begun], found.engines
        )
        # Nothing is known of a suspect that may not be probed now.
        found = attrs.evolve(
            found, engines=found.engines & frozenset(addresses)
        )
        reports = self._probe(addresses, active, now_s)
        answered = [i for i, is_answered in reports.items() if is_answered]
        with self._lock:
            verdict = self._first_events.judge(found, answered, now_s)
        self._handle_verdict(verdict, streams, now_s)

    def _handle_verdict(
        self,
        verdict: first_events.Verdict,
        streams: Sequence[forward.Forwarder],
        now_s: float,
    ) -> None:
        """Reports a verdict to the desk and moves the streams concerned."""
        if verdict.dead:
            self._handle_dead(verdict.dead, streams)
        for source, target in verdict.links:
            self._desk.tell(desk.LinkStalled(source, target))
        # Events that came during the probes clear their path.
        silent = [
            s for s in streams if not s.has_begun or s.last_activity_s <= now_s
        ]
        cleared = {p.id for s in streams if s not in silent for p in s.parts}
        paused = frozenset(
            i
            for i in sorted(verdict.unproductive - cleared)
            if self._desk.pause_unproductive(i)
        )
        if not paused:
            return
        for stream in self._reroute_around(paused, silent):
            if not stream.has_begun and _describe(stream).is_past_bound(now_s):
                self._end_attempt(stream)

    def _list_due(
        self,
        streams: Sequence[forward.Forwarder],
        suspects: Collection[str],
        now_s: float,
    ) -> dict[str, str]:
        """Returns the addresses of the suspects that are to be probed."""
        addresses: dict[str, str] = {}
        with self._lock:
            last_event_s: dict[str, float] = {}
            for stream in sorted(streams, key=lambda s: s.last_activity_s):
                is_quiet = (
                    now_s - stream.last_activity_s > silence.MIN_SILENCE_S
                )
                for part in stream.parts:
                    if part.id not in suspects:
                        continue
                    addresses[part.id] = part.address
                    if stream.has_begun and is_quiet:
                        last_event_s[part.id] = stream.last_activity_s
            return {
                i: a
                for i, a in addresses.items()
                if self._peeks.is_due(
                    i,
                    last_event_s.get(i, -math.inf),
                    self._peer_suspects.get_first_s(i),
                    now_s,
                )
            }

    def _list_peer_suspects(
        self, streams: Sequence[forward.Forwarder], now_s: float
    ) -> set[str]:
        """Returns stages of silent streams that other hosts report failing."""
        with self._lock:
            suspects = self._peer_suspects.list_current(now_s)
        if not suspects:
            return set()
        return {
            p.id
            for s in streams
            if now_s - s.last_activity_s > silence.MIN_SILENCE_S
            for p in s.parts
            if p.id in suspects
        }

    def _probe(
        self,
        addresses: Mapping[str, str],
        active: paths.Part | None,
        now_s: float,
    ) -> dict[str, bool]:
        """Probes suspected stages; returns whether each answered.

        Args:
            addresses: Of the stages, by id.
            active: A working stage, probed as well unless a suspect answers
                promptly: it shows whether this host reaches any engine.
            now_s: Monotonic time.
        """
        calls = {
            i: self._pool.submit(self._engines.peek, a)
            for i, a in addresses.items()
        }
        if (
            active is not None
            and not _has_prompt_report(calls.values())
            and self._desk.may_query(active.id)
        ):
            calls[active.id] = self._pool.submit(
                self._engines.peek, active.address
            )
        found = {i: call.result() for i, call in calls.items()}
        for upstream_id, report in found.items():
            if not isinstance(report, str):
                self._desk.tell(desk.Probed(upstream_id, report))
        answered = {i: not isinstance(r, str) for i, r in found.items()}
        with self._lock:
            self._peeks.remove_old(now_s)
            for upstream_id, is_answered in answered.items():
                self._peeks.record(upstream_id, is_answered, now_s)
        return answered

    def _handle_dead(
        self, dead: frozenset[str], streams: Sequence[forward.Forwarder]
    ) -> None:
        """Reports dead stages to the desk and reroutes streams around them."""
        for upstream_id in dead:
            self._desk.tell(desk.UpstreamFailed(upstream_id))
        self._reroute_around(dead, streams)

    def _reroute_around(
        self, stages: frozenset[str], streams: Sequence[forward.Forwarder]
    ) -> list[forward.Forwarder]:
        """Reroutes streams around stages, the least late ones first.

        Returns:
            The streams that could not be rerouted.
        """
        affected = [s for s in streams if stages & {p.id for p in s.parts}]

        def reroute(stream: forward.Forwarder) -> bool:
            stalled = frozenset(p.id for p in stream.parts) & stages
            stream.stalled |= stalled
            return self._reroute(stream, stalled)

        # In parallel, since each waits for an engine's reply.
        least_late = sorted(affected, key=lambda s: -s.last_activity_s)
        rerouted = list(self._pool.map(reroute, least_late))
        return [
            s
            for s, is_ok in zip(least_late, rerouted, strict=True)
            if not is_ok
        ]

    def _check_first_engine(
        self, first: paths.Part, streams: Sequence[forward.Forwarder]
    ) -> None:
        report = self._engines.get_report(first.address)
        if isinstance(report, str):
            self._desk.tell(desk.UpstreamFailed(first.id))
            for stream in streams:
                stream.stalled.add(first.id)
                self._end_attempt(stream)
            return
        for stream in streams:
            stalled = frozenset(
                p.id for p in stream.parts if p.address in report.stalled
            )
            for upstream_id in stalled:
                self._desk.tell(desk.UpstreamFailed(upstream_id))
            stream.stalled |= stalled
            if stalled and self._reroute(stream, stalled):
                continue
            silent_s = time.monotonic() - stream.last_activity_s
            limit_s = self._max_silence_s
            if stalled:
                limit_s = _get_abort_silence_s(stream)
            if silent_s > limit_s:
                self._end_attempt(stream)

    def _end_attempt(
        self, stream: forward.Forwarder, is_lost: bool = False
    ) -> None:
        """Replaces a silent attempt if a retry is allowed.

        Otherwise it continues: its engine may only be slow, and if it is dead
        the platform cuts the answer itself. For the same reason, the attempt
        of an answer that has begun also continues until another one has
        brought something.

        Args:
            stream: The stream.
            is_lost: Whether the connection of its attempt is lost.
        """
        if stream.is_delivering:
            stream.hand_over(is_lost)
        elif self._desk.reserve_retry(stream.job.id):
            stream.interrupt()

    def _reroute(
        self, stream: forward.Forwarder, stalled: frozenset[str]
    ) -> bool:
        """Reroutes a stream; returns whether it was, now or recently.

        A stream whose attempt the desk decides to end is interrupted, and
        counts as rerouted.
        """
        now_s = time.monotonic()
        rerouted_s = self._rerouted_s.get(stream)
        if rerouted_s is not None:
            return now_s - rerouted_s < _get_abort_silence_s(stream)
        decision = self._desk.reroute(
            stream.job.id,
            stalled,
            stream.has_begun,
            stream.output.is_established,
        )
        if decision.is_ended:
            if stream.is_delivering:
                stream.hand_over()
            else:
                stream.interrupt()
            return True
        if decision.parts is None:
            return False
        parts = decision.parts
        problem = self._engines.repath(parts[0].address, stream.call.id, parts)
        decisions.record(
            decisions.RequestMoved(
                stream.job.id,
                tuple(sorted(stalled)),
                now_s - stream.last_activity_s,
                problem,
                paths.format_path(parts),
            )
        )
        if problem:
            return False
        stream.parts = parts
        stream.started_s = now_s
        # What the former engines brought shows nothing of the new ones.
        stream.output.begin()
        with self._lock:
            if stream in self._streams:
                self._rerouted_s[stream] = now_s
        return True


def _has_prompt_report(calls: Collection[PeekCall]) -> bool:
    """Waits briefly for the first report; returns whether it came."""
    with contextlib.suppress(TimeoutError):
        for call in concurrent.futures.as_completed(calls, PROMPT_REPORT_S):
            if not isinstance(call.result(), str):
                return True
    return False


def _find_active_stage(
    streams: Sequence[forward.Forwarder], suspects: Collection[str]
) -> paths.Part | None:
    """Returns a working stage, to be probed together with the suspects.

    If it does not answer either, this host itself is slow or cut off.
    """
    for stream in sorted(streams, key=lambda s: -s.last_activity_s):
        for part in stream.parts:
            if part.id not in suspects:
                return part
    return None


def _list_to_probe(
    parts: Sequence[paths.Part], found: first_events.Suspects
) -> Iterator[paths.Part]:
    """Yields the suspects on a path and the engines at both ends of a link."""
    for part in parts:
        if part.id in found.engines:
            yield part
    for pair in itertools.pairwise(parts):
        if found.links & set(first_events.list_components(pair)):
            yield from pair


def _describe(stream: forward.Forwarder) -> first_events.Stream:
    """Returns a stream as far as its first event is concerned."""
    first_event_s = last_event_s = None
    if stream.has_begun:
        last_event_s = stream.last_activity_s
        # An event before the stream was rerouted took another path.
        is_on_path = stream.begun_s >= stream.started_s
        first_event_s = stream.begun_s if is_on_path else -math.inf
    return first_events.Stream(
        first_events.list_components(stream.parts),
        stream.started_s,
        stream.expected_first_s,
        stream.job.route.caller_silence_s,
        first_event_s,
        last_event_s,
    )


def is_silent(stream: forward.Forwarder, now_s: float) -> bool:
    """Returns whether a stream has had no event for too long."""
    limit_s = MAX_FIRST_EVENT_S
    if stream.has_begun:
        limit_s = stream.job.route.gap_s or MAX_SILENCE_S
    return bool(stream.parts) and now_s - stream.last_activity_s > limit_s


def _get_abort_silence_s(stream: forward.Forwarder) -> float:
    """Returns the seconds of silence after which an attempt is ended."""
    return ABORT_TIMEOUTS_FRACTION * stream.job.route.caller_silence_s
