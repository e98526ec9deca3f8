"""Health of upstreams: failures, refusals, and when to probe: pure.

An upstream that failed gets no requests until a probe succeeds. One that
refuses a request is paused briefly, and one that fails some attempts gets
fewer requests. The state is kept by the id of an upstream's incarnation and is
dropped with it.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Container
from typing import Any, Final

import attrs

from egretspur.catalog import upstreams
from egretspur.routing import outliers

# Backoff between two probes of an upstream that is down: the minimum doubles
# with each failed probe, up to the maximum.
MIN_PROBE_INTERVAL_S: Final = 0.15
MAX_PROBE_INTERVAL_S: Final = 1.6

# Interval between two probes of a dead upstream by a host that relies on
# others to probe it (see `egretspur.routing.sharing`); those may be the ones
# that are cut off from it.
RELYING_PROBE_INTERVAL_S: Final = 12.8

# An upstream that is down for this time and failed this many probes counts as
# dead, and its layers are assigned to others. Lower values would move layers
# for a lost packet; each further second costs the answers of a data centre.
DEAD_AFTER_S: Final = 0.6
DEAD_PROBE_FAILURES: Final = 2

# An upstream to which no connection opens for this time is cut off or without
# power. The platform gives up work that depends on a silent one after 2 s.
CUT_OFF_AFTER_S: Final = 2.5

# Pause after an engine refused a part of a path, because it leaves, drops
# layers or lacks memory. Doubles with each consecutive refusal.
MIN_REFUSAL_PAUSE_S: Final = 0.25
MAX_REFUSAL_PAUSE_S: Final = 2.0

# Weight of a new sample in the share of failed attempts, and the time constant
# with which that share decays.
FAULT_WEIGHT: Final = 0.25
FAULT_DECAY_S: Final = 6.0

# A failed upstream that answers no probe within this time is sent to other
# hosts as a suspect. One that refused for lack of memory usually answers within
# 10 ms, and peer updates carry its memory separately.
SUSPECT_AFTER_S: Final = 0.06

# How long another host's suspicion counts: it is sent again every 0.25 s, one
# of two datagrams may be lost, and its end is not sent.
PEER_SUSPICION_TTL_S: Final = 0.6

# Weight of the share of failed attempts in an upstream's expected time: a
# failed attempt costs a retry, and its caller the time to detect the failure.
FAULT_SLOWDOWN: Final = 6.0


@attrs.define
class Failed:
    """An upstream that failed and is probed until it answers."""

    since_s: float
    # Gets no requests until a probe succeeds.
    is_down: bool
    next_probe_s: float
    # Consecutive failed probes.
    failures: int = 0
    is_probing: bool = False
    # Whether a connection broke or could not be opened.
    is_cut: bool = False
    # Whether it, or one that was dead as well, answered since its last probe.
    is_recovering: bool = False
    # Time of the last failed probe.
    probed_s: float = -math.inf
    # Whether that probe's connection was refused.
    is_refused: bool = False
    # Time of the first of the failed probes in a row for which no connection
    # opened; None if one opened for the last.
    unopened_s: float | None = None


@attrs.define
class _Claim:
    """What another host says, without a break, of a failing upstream."""

    first_s: float
    until_s: float


@attrs.define
class Refusals:
    """Consecutive refusals of an upstream that is alive."""

    count: int = 0
    until_s: float = 0.0


@attrs.define
class Faults:
    """Share of failed attempts at one upstream; decays with time."""

    share: float = 0.0
    at_s: float = 0.0

    def get(self, now_s: float) -> float:
        """Returns the decayed share."""
        age_s = max(0.0, now_s - self.at_s)
        return self.share * math.exp(-age_s / FAULT_DECAY_S)

    def record(self, is_fault: bool, now_s: float) -> None:
        """Adds the outcome of an attempt."""
        old = self.get(now_s)
        self.share = old + FAULT_WEIGHT * (float(is_fault) - old)
        self.at_s = now_s


# Called with an upstream's id, its new state and the reason.
StateListener = Callable[[str, str, str], None]


class Health:
    """One host's view of the health of upstreams."""

    def __init__(self, on_state_change: StateListener) -> None:
        """Makes a state in which every upstream is healthy."""
        self._on_state_change = on_state_change
        self.failed: dict[str, Failed] = {}
        self.faults: dict[str, Faults] = {}
        self.refusals: dict[str, Refusals] = {}
        # Upstreams that other hosts suspect, with the end of the suspicion.
        self.peer_suspects: dict[str, float] = {}
        # What other hosts say, by upstream and host.
        self._claims: dict[str, dict[str, _Claim]] = {}
        # When upstreams last answered this host, a request or a probe.
        self._answered_s: dict[str, float] = {}
        # Upstreams that asked this host for a backoff, with its end.
        self.backoffs: dict[str, float] = {}
        # Engines that answer with errors.
        self.outliers = outliers.Outliers()
        # When the dead upstreams were last probed because one recovered.
        self._advanced_s = -math.inf

    def is_usable(self, upstream_id: str, now_s: float) -> bool:
        """Tells whether an upstream may get requests."""
        return self.is_sound(upstream_id, now_s) and not self.is_suspected(
            upstream_id, now_s
        )

    def is_sound(self, upstream_id: str, now_s: float) -> bool:
        """Tells whether an upstream is usable by what this host saw itself."""
        return (
            not self.is_paused(upstream_id, now_s)
            and not self.is_backing_off(upstream_id, now_s)
            and not self.is_down(upstream_id)
            and not self.outliers.is_ejected(upstream_id, now_s)
        )

    def list_unusable(
        self, now_s: float, believes_peers: bool = True
    ) -> set[str]:
        """Returns the upstreams that are not usable; see `is_usable`.

        A path search asks for all upstreams, few of which have any state.

        Args:
            now_s: Monotonic time.
            believes_peers: Whether those count that only others suspect.
        """
        ejected = self.outliers.list_ejected(now_s)
        return set(ejected) | {
            i
            for table in (
                self.refusals,
                self.backoffs,
                self.failed,
                self.peer_suspects,
            )
            for i in table
            if not self.is_sound(i, now_s)
            or (believes_peers and self.is_suspected(i, now_s))
        }

    def has_hearsay(self, now_s: float) -> bool:
        """Returns whether others suspect upstreams that this host does not."""
        return any(
            now_s < until_s and self.is_sound(i, now_s)
            for i, until_s in self.peer_suspects.items()
        )

    def is_suspected(self, upstream_id: str, now_s: float) -> bool:
        """Tells whether another host suspects an upstream."""
        return now_s < self.peer_suspects.get(upstream_id, -math.inf)

    def is_paused(self, upstream_id: str, now_s: float) -> bool:
        """Tells whether an upstream is paused after a refusal."""
        refusals = self.refusals.get(upstream_id)
        return refusals is not None and now_s < refusals.until_s

    def is_backing_off(self, upstream_id: str, now_s: float) -> bool:
        """Tells whether a backoff of an upstream is in force."""
        return now_s < self.backoffs.get(upstream_id, -math.inf)

    def record_backoff(self, upstream_id: str, until_s: float) -> None:
        """Records a backoff that an upstream asked for.

        An answer to an earlier request does not end the backoff.
        """
        known_s = self.backoffs.get(upstream_id, -math.inf)
        self.backoffs[upstream_id] = max(known_s, until_s)

    def is_down(self, upstream_id: str) -> bool:
        """Tells whether an upstream gets no requests until a probe succeeds."""
        failed = self.failed.get(upstream_id)
        return failed is not None and failed.is_down

    def is_dead(self, upstream_id: str, now_s: float) -> bool:
        """Tells whether an upstream counts as dead; see `DEAD_AFTER_S`."""
        failed = self.failed.get(upstream_id)
        return (
            failed is not None
            and failed.is_down
            and failed.failures >= DEAD_PROBE_FAILURES
            and now_s - failed.since_s >= DEAD_AFTER_S
        )

    def list_dead(self, now_s: float) -> tuple[str, ...]:
        """Returns the upstreams that are dead."""
        return tuple(i for i in self.failed if self.is_dead(i, now_s))

    def list_suspects(self, now_s: float) -> tuple[str, ...]:
        """Returns the failing upstreams, to send to other hosts.

        Without this exchange each of two hundred hosts detects a dead engine
        only when its own requests fail there, one by one for all engines that
        died together, until the retry budget is empty.
        """
        failing = (
            i
            for i, f in self.failed.items()
            if f.is_down or now_s - f.since_s >= SUSPECT_AFTER_S
        )
        ejected = self.outliers.list_ejected(now_s)
        return tuple(dict.fromkeys((*failing, *ejected)))

    def has_pending_probes(self) -> bool:
        """Tells whether a failed upstream awaits probes to count as dead."""
        return any(
            f.failures < DEAD_PROBE_FAILURES for f in self.failed.values()
        )

    def record_peer_suspicion(
        self, upstream_id: str, host: str, now_s: float
    ) -> None:
        """Records another host's suspicion; that host probes the upstream.

        It is dropped if the upstream has answered this host since the other
        one began to say so: then it is that host's links that are down.
        """
        if self._is_refuted(upstream_id, host, now_s):
            return
        if not self.is_suspected(upstream_id, now_s):
            self._on_state_change(
                upstream_id, "suspected", f"host {host} finds it failing"
            )
        self.peer_suspects[upstream_id] = now_s + PEER_SUSPICION_TTL_S

    def record_peer_death(
        self, upstream_id: str, host: str, now_s: float
    ) -> None:
        """Has an upstream probed that another host finds dead."""
        if not self._is_refuted(upstream_id, host, now_s):
            self.failed.setdefault(
                upstream_id, Failed(now_s, False, now_s, is_cut=True)
            )

    def _is_refuted(self, upstream_id: str, host: str, now_s: float) -> bool:
        """Records what a host says; returns whether this one knows better."""
        claims = self._claims.setdefault(upstream_id, {})
        claim = claims.get(host)
        if claim is None or now_s > claim.until_s:
            claim = claims[host] = _Claim(now_s, now_s)
        claim.until_s = now_s + PEER_SUSPICION_TTL_S
        answered_s = self._answered_s.get(upstream_id, -math.inf)
        return answered_s > claim.first_s

    def list_peer_suspects(self, now_s: float) -> tuple[str, ...]:
        """Returns the upstreams that other hosts suspect now."""
        return tuple(i for i, t in self.peer_suspects.items() if now_s < t)

    def suspect(self, upstream_id: str, now_s: float) -> None:
        """Has an upstream probed, which still gets requests meanwhile."""
        self.failed.setdefault(upstream_id, Failed(now_s, False, now_s))

    def record_fault(
        self, upstream_id: str, now_s: float, is_cut: bool = True
    ) -> None:
        """Records a failed attempt that may be the upstream's fault.

        The upstream still gets requests, though fewer, until a probe fails too:
        a single lost answer does not show that it is down.

        Args:
            upstream_id: The upstream.
            now_s: Monotonic time.
            is_cut: Whether a connection broke; otherwise work was refused.
        """
        self.faults.setdefault(upstream_id, Faults()).record(True, now_s)
        self.suspect(upstream_id, now_s)
        self.failed[upstream_id].is_cut |= is_cut

    def record_error(
        self, upstream_id: str, group: Collection[str], now_s: float
    ) -> float:
        """Records that an engine answered a request with an error.

        Returns:
            Seconds for which it is ejected now; see `outliers.Outliers`.
        """
        self.faults.setdefault(upstream_id, Faults()).record(True, now_s)
        return self.outliers.record_error(upstream_id, group, now_s)

    def record_refusal(
        self, upstream_id: str, now_s: float, state: str = "refusing"
    ) -> None:
        """Pauses an engine that refused its part of a path.

        Args:
            upstream_id: The engine.
            now_s: Monotonic time.
            state: State to log.
        """
        refusals = self.refusals.setdefault(upstream_id, Refusals())
        if now_s < refusals.until_s:
            return
        pause_s = min(
            MIN_REFUSAL_PAUSE_S * 2**refusals.count, MAX_REFUSAL_PAUSE_S
        )
        refusals.count += 1
        refusals.until_s = now_s + pause_s
        self._on_state_change(upstream_id, state, f"paused {pause_s} s")

    def mark_down(
        self, upstream_id: str, now_s: float, reason: str = "failed"
    ) -> None:
        """Stops requests to an upstream until a probe succeeds.

        Args:
            upstream_id: The upstream.
            now_s: Monotonic time.
            reason: What showed it, for the log.
        """
        failed = self.failed.setdefault(
            upstream_id, Failed(now_s, False, now_s + MIN_PROBE_INTERVAL_S)
        )
        self._set_down(upstream_id, failed, reason, now_s)

    def _set_down(
        self, upstream_id: str, failed: Failed, reason: str, now_s: float
    ) -> None:
        if not failed.is_down:
            failed.is_down = True
            failed.since_s = now_s
            self._on_state_change(upstream_id, "down", reason)

    def record_success(self, upstream_id: str, now_s: float) -> None:
        """Records an answer."""
        self._answered_s[upstream_id] = now_s
        self.refusals.pop(upstream_id, None)
        self.peer_suspects.pop(upstream_id, None)
        self.outliers.record_answer(upstream_id)
        faults = self.faults.get(upstream_id)
        if faults is not None:
            faults.record(False, now_s)

    def list_due(self, listed: Container[str], now_s: float) -> list[str]:
        """Returns the listed upstreams to probe now, the latest ones first."""
        return sorted(
            (
                i
                for i, f in self.failed.items()
                if i in listed and not f.is_probing and now_s >= f.next_probe_s
            ),
            key=lambda i: self.failed[i].next_probe_s,
        )

    def is_urgent(self, upstream_id: str) -> bool:
        """Tells whether a due probe is likely to find an upstream dead or back.

        One that only refused work is probably full.
        """
        failed = self.failed[upstream_id]
        return failed.is_recovering or (
            failed.failures < DEAD_PROBE_FAILURES
            and (failed.is_cut or failed.is_down)
        )

    def record_probe_start(self, upstream_id: str) -> None:
        """Records that an upstream is being probed."""
        self.failed[upstream_id].is_probing = True

    def may_rely_on_peers(self, upstream_id: str, now_s: float) -> bool:
        """Tells whether the probes of other hosts suffice for an upstream."""
        failed = self.failed[upstream_id]
        return (
            self.is_dead(upstream_id, now_s)
            and not failed.is_recovering
            and now_s - failed.probed_s < RELYING_PROBE_INTERVAL_S
        )

    def postpone_probe(self, upstream_id: str, now_s: float) -> None:
        """Postpones a probe that other hosts make."""
        failed = self.failed[upstream_id]
        failed.next_probe_s = now_s + MAX_PROBE_INTERVAL_S

    def advance_probe(self, upstream_id: str, now_s: float) -> None:
        """Has an upstream probed at once that has probably recovered."""
        failed = self.failed.get(upstream_id)
        if failed is not None:
            failed.next_probe_s = min(failed.next_probe_s, now_s)
            failed.is_recovering = True

    def record_probe(
        self,
        upstream_id: str,
        is_ok: bool,
        now_s: float,
        why: upstreams.ProbeFailed | None = None,
    ) -> None:
        """Records the result of a probe.

        Args:
            upstream_id: The upstream.
            is_ok: Whether it answered.
            now_s: Monotonic time.
            why: What is known of a probe without an answer.
        """
        if is_ok:
            self._answered_s[upstream_id] = now_s
            self.peer_suspects.pop(upstream_id, None)
        failed = self.failed.get(upstream_id)
        if failed is None:
            return
        if is_ok:
            if failed.is_down:
                self._on_state_change(upstream_id, "back", "answers probes")
            del self.failed[upstream_id]
            if failed.failures >= DEAD_PROBE_FAILURES:
                self._advance_dead(now_s)
            return
        failed.is_probing = failed.is_recovering = False
        failed.probed_s = now_s
        failed.is_refused = why is not None and why.is_refused
        if why is None or why.is_connected:
            failed.unopened_s = None
        elif failed.unopened_s is None:
            failed.unopened_s = now_s
        reason = "does not answer probes"
        if failed.is_refused:
            reason = "refuses connections"
        self._set_down(upstream_id, failed, reason, now_s)
        pause_s = MIN_PROBE_INTERVAL_S * 2**failed.failures
        failed.failures += 1
        if failed.failures == DEAD_PROBE_FAILURES:
            self._on_state_change(
                upstream_id, "dead", f"{DEAD_PROBE_FAILURES} probes failed"
            )
        failed.next_probe_s = now_s + min(pause_s, MAX_PROBE_INTERVAL_S)

    def list_mute(self) -> list[str]:
        """Returns upstreams that accept connections and never answered."""
        return [
            i
            for i, f in self.failed.items()
            if f.failures
            and not f.is_refused
            and f.unopened_s is None
            and i not in self._answered_s
        ]

    def explain_end(self, upstream_id: str) -> str:
        """Returns what shows that an upstream ended or is cut off.

        That it is silent does not: a sound one may stand still for a second or
        two, and then go on.

        Returns:
            Empty if nothing shows it, or it has answered since.
        """
        failed = self._find_unanswered(upstream_id)
        if failed is None:
            return ""
        if failed.is_refused:
            return "refuses connections"
        if failed.unopened_s is None:
            return ""
        unopened_s = failed.probed_s - failed.unopened_s
        if unopened_s < CUT_OFF_AFTER_S:
            return ""
        return f"no connection for {unopened_s:.1f} s"

    def is_refusing(self, upstream_id: str) -> bool:
        """Tells whether nobody listens at an upstream's address."""
        failed = self._find_unanswered(upstream_id)
        return failed is not None and failed.is_refused

    def has_answered_since(self, upstream_id: str, since_s: float) -> bool:
        """Tells whether an upstream answered this host after some time."""
        return self._answered_s.get(upstream_id, -math.inf) > since_s

    def _find_unanswered(self, upstream_id: str) -> Failed | None:
        """Returns a failed upstream's state unless it has answered since."""
        failed = self.failed.get(upstream_id)
        if failed is None:
            return None
        if self._answered_s.get(upstream_id, -math.inf) > failed.probed_s:
            return None
        return failed

    def _advance_dead(self, now_s: float) -> None:
        """Has all dead upstreams probed at once, as one has recovered.

        Those that a network partition cut off come back together.
        """
        if now_s - self._advanced_s < MAX_PROBE_INTERVAL_S:
            return
        self._advanced_s = now_s
        for upstream_id, failed in self.failed.items():
            if failed.failures >= DEAD_PROBE_FAILURES:
                self.advance_probe(upstream_id, now_s)

    def record_inconclusive_probe(self, upstream_id: str) -> None:
        """Records a probe without a result; the upstream is probed again."""
        failed = self.failed.get(upstream_id)
        if failed is not None:
            failed.is_probing = False

    def get_slowdown(self, upstream_id: str, now_s: float) -> float:
        """Returns the factor by which faults raise the expected time."""
        faults = self.faults.get(upstream_id)
        return 1.0 + FAULT_SLOWDOWN * faults.get(now_s) if faults else 1.0

    def remove_unlisted(self, listed: Container[str]) -> None:
        """Drops the state of upstreams that are no longer listed."""
        tables: tuple[dict[str, Any], ...] = (
            self.failed,
            self.faults,
            self.refusals,
            self.peer_suspects,
            self.backoffs,
            self._claims,
            self._answered_s,
        )
        for table in tables:
            for upstream_id in [i for i in table if i not in listed]:
                del table[upstream_id]
        self.outliers.remove_unlisted(listed)
