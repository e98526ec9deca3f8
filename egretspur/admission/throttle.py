"""A host's share of the rate limits that upstreams set for all hosts: pure.

An overloaded upstream states in its answers how many requests a second it
accepts from all hosts together. The limit holds until an answer omits it. Each
host sends a share in proportion to its demand (`egretspur.admission.demand`).

A share is often below one request a second, and there are many hosts. With a
token bucket per host, each of sixty idle hosts would save up one request, and
all could send it at the same time. So each host paces its requests instead: one
slot per period of its share, the first at a random time. An unused slot expires
soon. All hosts together can therefore send a burst of one or two seconds' worth
at most, whenever they learned of the limit and whatever they did before.

Hosts publish limits, and that a limit was lifted, to each other, since a host
that sends nothing gets no answers to learn from. The newest report counts.
"""

from __future__ import annotations

import math
import random
from collections.abc import Container
from typing import Final

import attrs

from egretspur.admission import demand

# Fraction of a limit that is used. The rest is for hosts that know too few of
# their peers, and therefore compute too large a share.
USED_FRACTION: Final = 0.9

# Burst of all hosts together: seconds of a limit, plus a number of requests,
# without which a low limit would hardly be used.
BURST_S: Final = 0.5
BURST_REQUESTS: Final = 1.0

# Lower bound of the rate to an upstream, even if its limit is lower or zero:
# only its answers show that it accepts more again.
MIN_RATE_PER_S: Final = 0.05

# Time between two computations of this host's share of a limit.
SHARE_UPDATE_S: Final = 0.25

# Added to the age of a limit that a peer publishes, for transmission and for
# the wait behind datagrams that arrive at the same time. With less, a report
# that is passed on would become newer at each host.
PEER_DELAY_S: Final = 0.1

# How long the lifting of a limit is published.
LIFTED_PUBLISH_S: Final = 3.0

# Maximum number of limits in one datagram.
MAX_PUBLISHED: Final = 24


@attrs.frozen
class Limit:
    """The newest limit of an upstream, as a host knows it."""

    # Requests a second from all hosts; None if its last answer set no limit.
    per_s: float | None
    # Monotonic time of that answer.
    at_s: float


@attrs.frozen
class PublishedLimit:
    """A limit as hosts publish it to each other."""

    per_s: float | None
    # Seconds since the upstream's answer.
    age_s: float
    # Requests that the sender, or its data centre, wants to send there.
    wanted: int = 0


@attrs.frozen
class Opening:
    """When upstreams that are at their limits accept more from this host."""

    # Seconds until the first of them does.
    wait_s: float
    # Requests a second that they accept from this host from then on.
    per_s: float

    def estimate_wait_s(self, waiting: int) -> float:
        """Returns the seconds until a request behind `waiting` ones starts."""
        return self.wait_s + waiting / self.per_s

    def describe(self, waiting: int) -> str:
        """Returns why a request behind `waiting` ones starts too late."""
        return f"{waiting} requests wait for {self.per_s:.2f} requests/s"


@attrs.define
class _Pacer:
    """Schedule of this host's requests to one upstream."""

    # Time of the next slot, and the interval between two slots.
    next_s: float
    period_s: float
    # How long an unused slot remains valid.
    slot_ttl_s: float
    # When the period is computed again.
    refresh_s: float


class Throttle:
    """Rate limits of upstreams, and this host's pacing of requests."""

    def __init__(
        self, data_centre: str = "", rng: random.Random | None = None
    ) -> None:
        """Makes a throttle without limits.

        Args:
            data_centre: Data centre of this host.
            rng: Draws the time of the first slot.
        """
        # Upstreams with a limit. Replaced instead of changed, since other
        # threads read it.
        self.limited: frozenset[str] = frozenset()
        self.demand = demand.Demand(data_centre)
        self._rng = rng or random.Random()
        self._limits: dict[str, Limit] = {}
        self._pacers: dict[str, _Pacer] = {}
        # Upstreams whose last answer had a limit that could not be parsed.
        self._unreadable: set[str] = set()

    def record_limit(
        self, upstream_id: str, per_s: float | None, now_s: float
    ) -> bool:
        """Stores the limit of an answer; returns whether it changed."""
        self._unreadable.discard(upstream_id)
        if per_s is None and upstream_id not in self._limits:
            return False
        return self._set_limit(upstream_id, Limit(per_s, now_s))

    def record_unreadable(self, upstream_id: str) -> bool:
        """Records an unreadable limit; returns whether that is new.

        The previous limit still holds.
        """
        is_new = upstream_id not in self._unreadable
        self._unreadable.add(upstream_id)
        return is_new

    def apply_peer_update(
        self,
        host: str,
        data_centre: str,
        upstream_id: str,
        published: PublishedLimit,
        now_s: float,
    ) -> bool:
        """Merges a limit from a peer; returns whether the limit changed.

        Args:
            host: Host that sent it, in other data centres for all hosts there.
            data_centre: Data centre of that host.
            upstream_id: The upstream.
            published: Limit and demand that the peer published.
            now_s: Monotonic time.
        """
        self.demand.apply_peer_update(
            host, data_centre, upstream_id, published.wanted, now_s
        )
        known = self._limits.get(upstream_id)
        received = Limit(
            published.per_s, now_s - published.age_s - PEER_DELAY_S
        )
        if known is not None and received.at_s <= known.at_s:
            return False
        return self._set_limit(upstream_id, received)

    def list_updates(
        self, now_s: float, is_speaker: bool = False
    ) -> dict[str, PublishedLimit]:
        """Returns the limits to publish to other hosts, newest first.

        Args:
            now_s: Monotonic time.
            is_speaker: Whether this is for other data centres, with the demand
                of all hosts of this one.
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
        """Returns an upstream's limit in requests a second, if it has one."""
        known = self._limits.get(upstream_id)
        return known.per_s if known else None

    def can_send(self, upstream_id: str, now_s: float) -> bool:
        """Tells whether this host may send an upstream a request now."""
        if upstream_id not in self.limited:
            return True
        return self._get_pacer(upstream_id, now_s).next_s <= now_s

    def record_send(self, upstream_id: str, now_s: float) -> None:
        """Takes a slot for a request that is sent."""
        if upstream_id in self.limited:
            pacer = self._get_pacer(upstream_id, now_s)
            pacer.next_s += pacer.period_s

    def find_opening(
        self, upstream_ids: Container[str], now_s: float
    ) -> Opening | None:
        """Returns when the first of some upstreams accepts more.

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
        """Drops the state of upstreams that are no longer listed."""
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
        """Returns the pacer of an upstream with a limit, as of now."""
        pacer = self._pacers.get(upstream_id)
        if pacer is None or now_s >= pacer.refresh_s:
            pacer = self._make_pacer(upstream_id, pacer, now_s)
            self._pacers[upstream_id] = pacer
        late_s = now_s - pacer.slot_ttl_s - pacer.next_s
        if late_s > 0:
            pacer.next_s += math.ceil(late_s / pacer.period_s) * pacer.period_s
        return pacer

    def _make_pacer(
        self, upstream_id: str, old: _Pacer | None, now_s: float
    ) -> _Pacer:
        """Returns a pacer for this host's current share."""
        per_s = max(MIN_RATE_PER_S, self._limits[upstream_id].per_s or 0.0)
        share = self.demand.get_share(upstream_id, now_s)
        period_s = 1.0 / (USED_FRACTION * per_s * share)
        if old is None:
            next_s = now_s + self._rng.uniform(0.0, period_s)
        else:
            # The elapsed fraction of the old period counts towards the slot.
            ahead_s = old.next_s - now_s
            scale = period_s / old.period_s if ahead_s > 0 else 1.0
            next_s = now_s + ahead_s * scale
        return _Pacer(
            next_s,
            period_s,
            BURST_S + BURST_REQUESTS / per_s,
            now_s + SHARE_UPDATE_S,
        )
