"""A host's part of the rate limits that upstreams name for all hosts: pure.

An upstream in need names in its answers how many requests a second it takes,
from all hosts together, for as long as it says so. Each host sends its part of
them, by what it wants to send (`egretspur.admission.demand`).

A part is mostly less than one request in a while, and there are many hosts. So
it is not saved up: were it, each of sixty idle hosts would hold one request
ready, and all would send it in the same moment. A host has turns instead, one
in each period of its part, from a first one that it draws. A turn that isn't
used is soon lost. So what all hosts may send at once is a second's worth or
two, whenever they were told and whatever they did before.

Hosts tell each other what was named, and that it no longer is: one that sends
nothing has no answer to learn it from. The newest word counts.
"""

from __future__ import annotations

import math
import random
from collections.abc import Container
from typing import Final

import attrs

from egretspur.admission import demand

# Part of a limit that is used. The rest is for hosts that know too few others.
USED_FRACTION: Final = 0.9

# What all hosts together may hold ready: so many seconds of a limit, and so
# many requests besides, without which a low limit would hardly be used.
BURST_S: Final = 0.5
BURST_REQUESTS: Final = 1.0

# An upstream that takes less, or nothing, is sent so many requests a second:
# its answer to one is the only way to learn that it takes more again.
MIN_RATE_PER_S: Final = 0.05

# Seconds between two looks at what part of a limit is this host's.
SHARE_UPDATE_S: Final = 0.25

# How much older what another host tells is than it says: the way, and the wait
# for others that come at the same time, in seconds. Were it less, a word that
# goes round would become newer with each host.
PEER_DELAY_S: Final = 0.1

# That a limit is no longer named is told for so long, in seconds.
LIFTED_PUBLISH_S: Final = 3.0

# Limits in one datagram.
MAX_PUBLISHED: Final = 24


@attrs.frozen
class Limit:
    """What an upstream named last, as a host knows it."""

    # Requests a second from all hosts; None if its last answer named none.
    per_s: float | None
    # Monotonic time of that answer.
    at_s: float


@attrs.frozen
class PublishedLimit:
    """The same as hosts tell each other."""

    per_s: float | None
    # Since the answer, in seconds.
    age_s: float
    # Requests that the teller, or its data centre, wants to send there.
    wanted: int = 0


@attrs.frozen
class Opening:
    """When upstreams that are at their limits take more of this host."""

    # Seconds until the first of them does.
    wait_s: float
    # Requests a second that they take of this host from then on.
    per_s: float

    def estimate_wait_s(self, waiting: int) -> float:
        """Returns the seconds until one more, after those that wait, is due."""
        return self.wait_s + waiting / self.per_s

    def describe(self, waiting: int) -> str:
        """Returns why one more after those that wait comes too late."""
        return f"{waiting} wait for {self.per_s:.2f} a second"


@attrs.define
class _Pacer:
    """This host's turns at one upstream."""

    next_s: float
    period_s: float
    # How long a turn is kept.
    slot_ttl_s: float
    # When the period is to be looked at again.
    refresh_s: float


class Throttle:
    """Limits that upstreams have named, and this host's turns."""

    def __init__(
        self, data_centre: str = "", rng: random.Random | None = None
    ) -> None:
        """Makes a state in which no upstream has named one.

        Args:
            data_centre: Of this host.
            rng: Draws first turns.
        """
        # Upstreams with a limit. Replaced as a whole, never changed: other
        # threads read it.
        self.limited: frozenset[str] = frozenset()
        self.demand = demand.Demand(data_centre)
        self._rng = rng or random.Random()
        self._limits: dict[str, Limit] = {}
        self._pacers: dict[str, _Pacer] = {}
        # Upstreams whose last answer named something that is no limit.
        self._unreadable: set[str] = set()

    def record_limit(
        self, upstream_id: str, per_s: float | None, now_s: float
    ) -> bool:
        """Takes what an answer named; tells whether that is new."""
        self._unreadable.discard(upstream_id)
        if per_s is None and upstream_id not in self._limits:
            return False
        return self._set_limit(upstream_id, Limit(per_s, now_s))

    def record_unreadable(self, upstream_id: str) -> bool:
        """Takes that an answer named no limit; tells whether that is new.

        What was named before holds.
        """
        is_new = upstream_id not in self._unreadable
        self._unreadable.add(upstream_id)
        return is_new

    def apply_peer_update(
        self,
        host: str,
        data_centre: str,
        upstream_id: str,
        told: PublishedLimit,
        now_s: float,
    ) -> bool:
        """Takes what another host told; tells whether the limit is new.

        Args:
            host: Who told it, in other data centres for all hosts there.
            data_centre: Of that host.
            upstream_id: The upstream.
            told: The limit that it named.
            now_s: Monotonic time.
        """
        self.demand.apply_peer_update(
            host, data_centre, upstream_id, told.wanted, now_s
        )
        known = self._limits.get(upstream_id)
        heard = Limit(told.per_s, now_s - told.age_s - PEER_DELAY_S)
        if known is not None and heard.at_s <= known.at_s:
            return False
        return self._set_limit(upstream_id, heard)

    def list_updates(
        self, now_s: float, is_speaker: bool = False
    ) -> dict[str, PublishedLimit]:
        """Returns what the other hosts are to be told, the newest first.

        Args:
            now_s: Monotonic time.
            is_speaker: For other data centres, for all hosts of this one.
        """
        count = self.demand.count_local if is_speaker else self.demand.count_own
        rows = [
            (
                i,
                PublishedLimit(
                    k.per_s, max(0.0, now_s - k.at_s), count(i, now_s)
                ),
            )
            for i, k in self._limits.items()
            if k.per_s is not None or now_s - k.at_s < LIFTED_PUBLISH_S
        ]
        rows.sort(key=lambda row: row[1].age_s)
        return dict(rows[:MAX_PUBLISHED])

    def get_limit(self, upstream_id: str) -> float | None:
        """Returns what an upstream takes of all hosts a second, if it says."""
        known = self._limits.get(upstream_id)
        return known.per_s if known else None

    def can_send(self, upstream_id: str, now_s: float) -> bool:
        """Tells whether this host may send an upstream a request now."""
        if upstream_id not in self.limited:
            return True
        return self._get_pacer(upstream_id, now_s).next_s <= now_s

    def record_send(self, upstream_id: str, now_s: float) -> None:
        """Counts a request that is sent."""
        if upstream_id in self.limited:
            turns = self._get_pacer(upstream_id, now_s)
            turns.next_s += turns.period_s

    def find_opening(
        self, upstream_ids: Container[str], now_s: float
    ) -> Opening | None:
        """Returns when the first of some upstreams takes more.

        None if none of them has a limit.
        """
        found = [
            self._get_pacer(i, now_s) for i in self.limited if i in upstream_ids
        ]
        if not found:
            return None
        return Opening(
            max(0.0, min(t.next_s for t in found) - now_s),
            sum(1.0 / t.period_s for t in found),
        )

    def remove_unlisted(self, listed: Container[str]) -> None:
        """Drops what is known of upstreams that are no longer listed."""
        self._unreadable = {i for i in self._unreadable if i in listed}
        gone = [i for i in self._limits if i not in listed]
        for upstream_id in gone:
            del self._limits[upstream_id]
            self._pacers.pop(upstream_id, None)
            self.demand.remove_upstream(upstream_id)
        if gone:
            self._update_limited()

    def _set_limit(self, upstream_id: str, limit: Limit) -> bool:
        old = self._limits.get(upstream_id)
        self._limits[upstream_id] = limit
        if old is not None and old.per_s == limit.per_s:
            return False
        if limit.per_s is None:
            self._pacers.pop(upstream_id, None)
        elif upstream_id in self._pacers:
            self._pacers[upstream_id].refresh_s = -math.inf
        self._update_limited()
        return True

    def _update_limited(self) -> None:
        self.limited = frozenset(
            i for i, known in self._limits.items() if known.per_s is not None
        )

    def _get_pacer(self, upstream_id: str, now_s: float) -> _Pacer:
        """Returns the turns at an upstream with a limit, as of now."""
        turns = self._pacers.get(upstream_id)
        if turns is None or now_s >= turns.refresh_s:
            turns = self._make_pacer(upstream_id, turns, now_s)
            self._pacers[upstream_id] = turns
        late_s = now_s - turns.slot_ttl_s - turns.next_s
        if late_s > 0:
            turns.next_s += math.ceil(late_s / turns.period_s) * turns.period_s
        return turns

    def _make_pacer(
        self, upstream_id: str, old: _Pacer | None, now_s: float
    ) -> _Pacer:
        """Returns the turns by this host's present part."""
        per_s = max(MIN_RATE_PER_S, self._limits[upstream_id].per_s or 0.0)
        part = self.demand.get_share(upstream_id, now_s)
        period_s = 1.0 / (USED_FRACTION * per_s * part)
        if old is None:
            next_s = now_s + self._rng.uniform(0.0, period_s)
        else:
            # What has passed of the period has earned its part of a turn.
            ahead_s = old.next_s - now_s
            scale = period_s / old.period_s if ahead_s > 0 else 1.0
            next_s = now_s + ahead_s * scale
        return _Pacer(
            next_s,
            period_s,
            BURST_S + BURST_REQUESTS / per_s,
            now_s + SHARE_UPDATE_S,
        )
