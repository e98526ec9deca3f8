"""Which upstreams failed or refused of late, and when to probe them: pure.

An upstream that failed is given no work until a probe succeeds; one that
refuses is left alone for a moment; one that fails some attempts gets fewer.
All of it is kept by the id of an upstream's start and ends with it.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Container
from typing import Any, Final

import attrs

# Pauses between two probes of an upstream that is down; the first doubles
# with each probe that fails.
FIRST_PROBE_S: Final = 0.15
LONGEST_PROBE_S: Final = 1.6

# An upstream that is down for so long and has failed so many probes counts as
# dead: its layers are given to others. Less would move layers for a lost
# packet; each further second costs the answers of a data centre.
DEAD_S: Final = 0.6
DEAD_PROBES: Final = 2

# Pauses after an engine refused a part of a path: it leaves, gives up layers
# or lacks memory. Doubles with each refusal in a row.
FIRST_REFUSED_S: Final = 0.25
LONGEST_REFUSED_S: Final = 2.0

# Weight of a new sample in the share of attempts that fail, and the seconds
# over which that share is forgiven.
FAULT_WEIGHT: Final = 0.25
FAULT_FORGIVEN_S: Final = 6.0

# A failed upstream is told to other hosts unless a probe answers within this
# time. One that refused for want of memory answers within 10 ms as a rule, and
# the others have their own word on its memory.
SUSPECT_S: Final = 0.06

# What another host suspects counts for so long: it tells again every 0.25 s,
# one of two datagrams may be lost, and nobody tells that it is over.
HEARD_S: Final = 0.6

# How much slower an upstream counts for the attempts that fail there: a
# failed one costs a repeat, and its caller the time until the failure shows.
FAULT_COST: Final = 6.0


@attrs.define
class Failed:
    """An upstream that failed; it is probed until it answers."""

    since_s: float
    # Given no work until a probe succeeds.
    is_down: bool
    next_probe_s: float
    # Probes that failed in a row.
    failures: int = 0
    is_probing: bool = False


@attrs.define
class Refusals:
    """An upstream that refuses work, though it is alive."""

    count: int = 0
    until_s: float = 0.0


@attrs.define
class Faults:
    """Share of attempts that failed at one upstream, forgiven with time."""

    share: float = 0.0
    at_s: float = 0.0

    def get(self, now_s: float) -> float:
        """Returns the share as it counts now."""
        age_s = max(0.0, now_s - self.at_s)
        return self.share * math.exp(-age_s / FAULT_FORGIVEN_S)

    def note(self, is_fault: bool, now_s: float) -> None:
        """Takes the end of an attempt."""
        old = self.get(now_s)
        self.share = old + FAULT_WEIGHT * (float(is_fault) - old)
        self.at_s = now_s


# Told which upstream is believed to be in which state, and why.
Note = Callable[[str, str, str], None]


class Health:
    """What one host believes of upstreams' health."""

    def __init__(self, note: Note) -> None:
        """Makes a state in which every upstream is well."""
        self._note = note
        self.failed: dict[str, Failed] = {}
        self.faults: dict[str, Faults] = {}
        self.refusals: dict[str, Refusals] = {}
        # What other hosts suspect, and until when that counts.
        self.heard: dict[str, float] = {}
        # Upstreams that want nothing from this host, and until when.
        self.backoffs: dict[str, float] = {}

    def is_usable(self, upstream_id: str, now_s: float) -> bool:
        """Tells whether an upstream may be given work."""
        return (
            not self.is_paused(upstream_id, now_s)
            and not self.is_backing_off(upstream_id, now_s)
            and not self.is_down(upstream_id)
            and not self.is_suspected(upstream_id, now_s)
        )

    def is_suspected(self, upstream_id: str, now_s: float) -> bool:
        """Tells whether another host found an upstream failing just now."""
        return now_s < self.heard.get(upstream_id, -math.inf)

    def is_paused(self, upstream_id: str, now_s: float) -> bool:
        """Tells whether an upstream refused of late."""
        refusals = self.refusals.get(upstream_id)
        return refusals is not None and now_s < refusals.until_s

    def is_backing_off(self, upstream_id: str, now_s: float) -> bool:
        """Tells whether an upstream asked this host for rest of late."""
        return now_s < self.backoffs.get(upstream_id, -math.inf)

    def note_backoff(self, upstream_id: str, until_s: float) -> None:
        """Takes that an upstream wants nothing from this host until then.

        An answer to an earlier request does not end that.
        """
        known_s = self.backoffs.get(upstream_id, -math.inf)
        self.backoffs[upstream_id] = max(known_s, until_s)

    def is_down(self, upstream_id: str) -> bool:
        """Tells whether an upstream is given no work until a probe succeeds."""
        failed = self.failed.get(upstream_id)
        return failed is not None and failed.is_down

    def is_dead(self, upstream_id: str, now_s: float) -> bool:
        """Tells whether an upstream is down for good, as far as one can see."""
        failed = self.failed.get(upstream_id)
        return (
            failed is not None
            and failed.is_down
            and failed.failures >= DEAD_PROBES
            and now_s - failed.since_s >= DEAD_S
        )

    def list_dead(self, now_s: float) -> tuple[str, ...]:
        """Returns the upstreams that are dead."""
        return tuple(i for i in self.failed if self.is_dead(i, now_s))

    def list_suspects(self, now_s: float) -> tuple[str, ...]:
        """Returns the upstreams that this host found failing, for others.

        Symptom without it: an engine dies, and each of two hundred hosts finds
        out by requests of its own that fail there, one after the other for
        each engine that died with it, until no repeats are left.
        """
        return tuple(
            i
            for i, f in self.failed.items()
            if f.is_down or now_s - f.since_s >= SUSPECT_S
        )

    def is_asking(self) -> bool:
        """Tells whether an upstream failed that is not yet known as dead."""
        return any(f.failures < DEAD_PROBES for f in self.failed.values())

    def hear_suspect(self, upstream_id: str, now_s: float) -> None:
        """Takes what another host suspects; it probes, this one need not."""
        if not self.is_suspected(upstream_id, now_s):
            self._note(
                upstream_id, "suspected", "another host finds it failing"
            )
        self.heard[upstream_id] = now_s + HEARD_S

    def list_heard(self, now_s: float) -> tuple[str, ...]:
        """Returns what other hosts suspect now."""
        return tuple(i for i, t in self.heard.items() if now_s < t)

    def note_fault(self, upstream_id: str, now_s: float) -> None:
        """Takes an attempt that failed and may be the upstream's fault.

        It keeps its work, though less of it, until a probe fails too: one
        answer may be lost where the next one comes.
        """
        self.faults.setdefault(upstream_id, Faults()).note(True, now_s)
        self.failed.setdefault(upstream_id, Failed(now_s, False, now_s))

    def note_refused(self, upstream_id: str, now_s: float) -> None:
        """Takes that an engine refused its part of a path."""
        refusals = self.refusals.setdefault(upstream_id, Refusals())
        if now_s < refusals.until_s:
            return
        pause_s = min(FIRST_REFUSED_S * 2**refusals.count, LONGEST_REFUSED_S)
        refusals.count += 1
        refusals.until_s = now_s + pause_s
        self._note(upstream_id, "refusing", f"paused {pause_s} s")

    def note_down(self, upstream_id: str, now_s: float) -> None:
        """Gives an upstream no work until a probe succeeds."""
        failed = self.failed.setdefault(
            upstream_id, Failed(now_s, False, now_s + FIRST_PROBE_S)
        )
        self._mark_down(upstream_id, failed, "failed", now_s)

    def _mark_down(
        self, upstream_id: str, failed: Failed, reason: str, now_s: float
    ) -> None:
        if not failed.is_down:
            failed.is_down = True
            failed.since_s = now_s
            self._note(upstream_id, "down", reason)

    def note_success(self, upstream_id: str, now_s: float) -> None:
        """Takes an answer."""
        self.refusals.pop(upstream_id, None)
        self.heard.pop(upstream_id, None)
        faults = self.faults.get(upstream_id)
        if faults is not None:
            faults.note(False, now_s)

    def take_due(self, listed: Container[str], now_s: float) -> list[str]:
        """Returns the upstreams to probe now, of those that are listed."""
        due = []
        for upstream_id, failed in self.failed.items():
            if upstream_id not in listed or failed.is_probing:
                continue
            if now_s >= failed.next_probe_s:
                failed.is_probing = True
                due.append(upstream_id)
        return due

    def note_probe(self, upstream_id: str, is_ok: bool, now_s: float) -> None:
        """Takes the result of a probe."""
        failed = self.failed.get(upstream_id)
        if failed is None:
            return
        if is_ok:
            if failed.is_down:
                self._note(upstream_id, "back", "answers probes")
            del self.failed[upstream_id]
            return
        failed.is_probing = False
        self._mark_down(upstream_id, failed, "does not answer probes", now_s)
        pause_s = FIRST_PROBE_S * 2**failed.failures
        failed.failures += 1
        if failed.failures == DEAD_PROBES:
            self._note(upstream_id, "dead", f"{DEAD_PROBES} probes failed")
        failed.next_probe_s = now_s + min(pause_s, LONGEST_PROBE_S)

    def note_unanswered(self, upstream_id: str) -> None:
        """Takes that a probe told nothing; the upstream is probed again."""
        failed = self.failed.get(upstream_id)
        if failed is not None:
            failed.is_probing = False

    def get_slowdown(self, upstream_id: str, now_s: float) -> float:
        """Returns how much slower an upstream counts for its faults."""
        faults = self.faults.get(upstream_id)
        return 1.0 + FAULT_COST * faults.get(now_s) if faults else 1.0

    def forget(self, listed: Container[str]) -> None:
        """Drops what is known of upstreams that are no longer listed."""
        tables: tuple[dict[str, Any], ...] = (
            self.failed,
            self.faults,
            self.refusals,
            self.heard,
            self.backoffs,
        )
        for table in tables:
            for upstream_id in [i for i in table if i not in listed]:
                del table[upstream_id]
