"""What one host knows of upstreams beyond their list: pure.

Requests in flight, this host's and what the other hosts say of theirs; which
upstreams failed of late; how fast they are.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

import attrs

from egretspur.admission import room
from egretspur.catalog import config, upstreams
from egretspur.routing import jobs, paths

# Pause after a failure of an upstream; doubles with each in a row.
FIRST_PAUSE_S: Final = 1.0
LONGEST_PAUSE_S: Final = 8.0

# What another host said counts for so long. Hosts tell several times a
# second; one that fell silent has lost its callers too.
USAGE_KEPT_S: Final = 2.0

# Weight of a new sample in the smoothed time of a plain service's answer.
TIME_WEIGHT: Final = 0.2

# Answer time assumed of a plain service before the first sample, in seconds.
FIRST_TIME_S: Final = 0.05


@attrs.define
class Health:
    """Failures of one upstream, as this host saw them."""

    failures: int = 0
    # Given no work before this monotonic time.
    down_until_s: float = 0.0


@attrs.frozen
class PeerUsage:
    """What another host has in flight, by upstream."""

    heard_s: float
    usage: Mapping[str, jobs.Usage]


class Fleet:
    """State of all upstreams; see the module's docstring."""

    def __init__(self, data_centre: str) -> None:
        self.data_centre = data_centre
        self.roster = upstreams.Roster()
        self.own: dict[str, jobs.Usage] = {}
        self.peers: dict[str, PeerUsage] = {}
        self.health: dict[str, Health] = {}
        # Factor by which an engine runs slower than its kind.
        self.pace: dict[str, float] = {}
        # Smoothed seconds of a plain service's answers.
        self.times: dict[str, float] = {}

    def is_usable(self, entry: upstreams.Upstream, now_s: float) -> bool:
        """Tells whether an upstream may be given work."""
        if entry.is_draining:
            return False
        health = self.health.get(entry.id)
        return health is None or now_s >= health.down_until_s

    def list_usable(
        self, service: str, now_s: float
    ) -> list[upstreams.Upstream]:
        """Returns a service's upstreams that may be given work."""
        return [
            e
            for e in self.roster.entries.values()
            if e.service == service and self.is_usable(e, now_s)
        ]

    def add(self, upstream_id: str, count: int, used: float) -> None:
        """Changes what this host has in flight at an upstream."""
        old = self.own.get(upstream_id, jobs.Usage())
        left = jobs.Usage(old.count + count, max(0.0, old.room + used))
        if left.count > 0:
            self.own[upstream_id] = left
        else:
            self.own.pop(upstream_id, None)

    def get_usage(self, upstream_id: str, now_s: float) -> jobs.Usage:
        """Returns what all hosts have in flight at an upstream."""
        total = self.own.get(upstream_id, jobs.Usage())
        count, used = total.count, total.room
        for peer in self.peers.values():
            usage = peer.usage.get(upstream_id)
            if usage is not None and now_s - peer.heard_s < USAGE_KEPT_S:
                count += usage.count
                used += usage.room
        return jobs.Usage(count, used)

    def note_failure(self, upstream_id: str, now_s: float) -> None:
        """Gives an upstream no work for a while."""
        health = self.health.setdefault(upstream_id, Health())
        if now_s < health.down_until_s:
            return
        health.failures += 1
        pause = FIRST_PAUSE_S * 2 ** (health.failures - 1)
        health.down_until_s = now_s + min(pause, LONGEST_PAUSE_S)

    def note_success(self, upstream_id: str) -> None:
        """Takes an upstream's proof of life."""
        self.health.pop(upstream_id, None)

    def note_time(self, upstream_id: str, seconds: float) -> None:
        """Takes the time of a plain service's answer."""
        old = self.times.get(upstream_id, seconds)
        self.times[upstream_id] = old + TIME_WEIGHT * (seconds - old)

    def forget_gone(self) -> None:
        """Drops what is known of upstreams that are no longer listed."""
        known = self.roster.entries
        for table in (self.health, self.pace, self.times):
            for upstream_id in set(table) - set(known):
                del table[upstream_id]

    def make_cards(
        self, service: str, spec: config.EngineSpec, now_s: float
    ) -> list[paths.Card]:
        """Returns a service's usable engines that hold layers."""
        cards = []
        for entry in self.list_usable(service, now_s):
            kind = spec.accelerators.get(entry.accelerator)
            if entry.layers is None or kind is None:
                continue
            usage = self.get_usage(entry.id, now_s)
            size = room.compute_size(spec, entry) * room.USABLE
            context = spec.usual_prompt + spec.usual_answer / 2
            step_s = spec.step_s + usage.count * (
                spec.per_request_s + spec.per_token_s * context
            )
            pace = kind.pace * self.pace.get(entry.id, 1.0)
            cards.append(
                paths.Card(
                    entry.id,
                    entry.address,
                    entry.data_centre,
                    entry.layers.first,
                    entry.layers.last,
                    step_s * pace / spec.layers,
                    size - usage.room,
                )
            )
        return cards

    def choose_replica(
        self, service: str, avoid: set[str], now_s: float
    ) -> upstreams.Upstream | None:
        """Returns a plain service's replica with the shortest expected wait."""
        usable = self.list_usable(service, now_s)
        fresh = [e for e in usable if e.id not in avoid] or usable

        def expect_s(entry: upstreams.Upstream) -> float:
            time_s = self.times.get(entry.id, FIRST_TIME_S)
            waiting = self.get_usage(entry.id, now_s).count
            turns = 1 + waiting / max(1, entry.slots)
            near = 1.0 if entry.data_centre == self.data_centre else 1.2
            return time_s * turns * near

        return min(fresh, key=expect_s, default=None)
