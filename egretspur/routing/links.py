"""Load of the links between data centres, and who may use them: pure.

A path across data centres sends the activations of each token over a link that
all requests share, one transfer after another. If hosts start more there than
the link carries, its queue grows beyond what callers wait: nothing arrives in
time, while each such request holds memory on all engines of its path, also on
those that paths within one data centre need.

Hosts hear of each other's starts a quarter of a second late, so a plain limit
would make all of them start and stop together. Each has a rate instead, which
falls while the link's load is above its limit and rises while it is below, and
draws from it how many requests it may start in the next quarter of a second.
All hosts see the same load, so their rates agree.
"""

from __future__ import annotations

import collections
import itertools
import math
import random
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import attrs

from egretspur.catalog import config
from egretspur.routing import paths, peer_table

# A link between two data centres, in order of their names. Transfers in both
# directions share it.
Link = tuple[str, str]

# Part of a link's time that requests may use. Above it, the queue is longer
# than the objective of a first event most of the time.
MAX_UTILIZATION: Final = 0.8

# Time over which starts on a link are summed up.
WINDOW_S: Final = 1.0

# How long a peer's load counts. Peers send it four times a second while they
# have any.
PEER_LOAD_TTL_S: Final = 1.0

# Interval at which rates are adjusted and allowances drawn; peer updates arrive
# as often.
INTERVAL_S: Final = 0.25

# Bounds of the factor by which one adjustment changes a rate.
MIN_FACTOR: Final = 0.25
MAX_FACTOR: Final = 2.0

# Adjustments that are made up for after a pause.
MAX_ADJUSTMENTS: Final = 20

# Factor on the rate after streams got nothing over the link.
STALL_FACTOR: Final = 0.5

# Multiples of a host's even part of a link. The lowest rate is safe even if all
# hosts use the link. A link that was idle begins at the second one and rises to
# the third while nobody uses it: when a data centre loses its last path, or
# gets memory back, its hosts cross before they know of each other.
MIN_PARTS: Final = 0.5
INITIAL_PARTS: Final = 2.0
MAX_IDLE_PARTS: Final = 8.0


@attrs.frozen
class _Start:
    """A request that was started over a link."""

    at_s: float
    link: Link
    # Time that its transfers take on the link.
    seconds: float


@attrs.define
class _Share:
    """What this host may start on one link."""

    # Seconds of transfers that it may start in a second.
    rate: float
    # Seconds that may still be started before `until_s`.
    left: float = 0.0
    until_s: float = -math.inf
    # When it was last lowered for a stall.
    stalled_s: float = -math.inf


class Links:
    """One host's view of the links; see the module's docstring."""

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        """Makes a view in which all links are idle.

        Args:
            data_centre: Of this host.
            rng: Draws what this host may start on a link.
        """
        self._rng = rng
        self._starts: collections.deque[_Start] = collections.deque()
        # Seconds of transfers that other hosts put on each link.
        self._peers: peer_table.PeerTable[Mapping[Link, float]] = (
            peer_table.PeerTable(data_centre, PEER_LOAD_TTL_S)
        )
        # Number of hosts that share the links, this one included.
        self.hosts = 1
        # Links that were used lately, by this host or others.
        self._shares: dict[Link, _Share] = {}
        self._adjusted_s = -math.inf

    def record_path(
        self,
        spec: config.EngineSpec,
        parts: Sequence[paths.Part],
        tokens: float,
        now_s: float,
    ) -> None:
        """Records that a request was started over a path.

        Args:
            spec: Of the request's service.
            parts: The path.
            tokens: Tokens of the request whose activations are sent.
            now_s: Monotonic time.
        """
        seconds = _compute_transfer_s(spec, tokens)
        if not seconds:
            return
        for link in list_crossed(parts):
            self._starts.append(_Start(now_s, link, seconds))
            self._get_share(link).left -= seconds

    def record_stall(self, link: Link, now_s: float) -> None:
        """Records that streams over a link got nothing for too long."""
        self._adjust(now_s)
        share = self._get_share(link)
        # Both directions may stall at once.
        if now_s - share.stalled_s >= INTERVAL_S:
            share.stalled_s = now_s
            self._change_rate(link, STALL_FACTOR)

    def apply_peer_load(
        self,
        host: str,
        data_centre: str,
        seconds: Mapping[Link, float],
        now_s: float,
    ) -> None:
        """Applies the load that another host, or a data centre, reports.

        Args:
            host: Host that sent it.
            data_centre: Data centre of that host.
            seconds: Seconds of transfers started within `WINDOW_S`, by link.
            now_s: Monotonic time.
        """
        self._peers.replace(host, data_centre, seconds, now_s)

    def get_own_load(self, now_s: float) -> dict[Link, float]:
        """Returns the seconds that starts within `WINDOW_S` take on links."""
        while self._starts and now_s - self._starts[0].at_s > WINDOW_S:
            self._starts.popleft()
        return _sum_loads([{s.link: s.seconds} for s in self._starts])

    def sum_data_centre(self, now_s: float) -> dict[Link, float]:
        """Returns the load by this data centre's hosts, as `get_load`."""
        near = [r.value for r in self._peers.list_current(now_s) if r.is_local]
        return _sum_loads([self.get_own_load(now_s), *near])

    def get_load(self, now_s: float) -> dict[Link, float]:
        """Returns the load by all hosts, in seconds within `WINDOW_S`."""
        peers = [r.value for r in self._peers.list_current(now_s)]
        return _sum_loads([self.get_own_load(now_s), *peers])

    def list_closed(
        self,
        spec: config.EngineSpec,
        data_centres: Sequence[str],
        tokens: float,
        now_s: float,
    ) -> frozenset[Link]:
        """Returns the links that a request must not use now.

        Args:
            spec: Of the request's service.
            data_centres: Data centres between which to look.
            tokens: Tokens of the request whose activations are sent.
            now_s: Monotonic time.
        """
        seconds = _compute_transfer_s(spec, tokens)
        if not seconds:
            return frozenset()
        self._adjust(now_s)
        links = itertools.combinations(sorted(data_centres), 2)
        return frozenset(
            link for link in links if not self._is_open(link, seconds, now_s)
        )

    def _is_open(self, link: Link, seconds: float, now_s: float) -> bool:
        """Returns whether this host may start a transfer of some seconds.

        What it may start is drawn once in `INTERVAL_S`: a waiting request asks
        many times.
        """
        share = self._get_share(link)
        if now_s >= share.until_s:
            share.until_s = now_s + INTERVAL_S
            count, part = divmod(share.rate * INTERVAL_S, seconds)
            if self._rng.random() * seconds < part:
                count += 1
            share.left = count * seconds
        return share.left > 0

    def get_rate(self, link: Link) -> float:
        """Returns the seconds of transfers that this host may start in 1 s."""
        share = self._shares.get(link)
        return share.rate if share else self._compute_initial_rate()

    def _compute_initial_rate(self) -> float:
        return min(1.0, INITIAL_PARTS / self.hosts) * MAX_UTILIZATION

    def _get_share(self, link: Link) -> _Share:
        share = self._shares.get(link)
        if share is None:
            share = _Share(self._compute_initial_rate())
            self._shares[link] = share
        return share

    def _change_rate(
        self, link: Link, factor: float, most: float = MAX_UTILIZATION
    ) -> None:
        share = self._get_share(link)
        least = min(1.0, MIN_PARTS / self.hosts) * MAX_UTILIZATION
        share.rate = min(most, max(least, share.rate * factor))

    def _adjust(self, now_s: float) -> None:
        """Adjusts the rates to the load, once in an interval."""
        paused_s = now_s - self._adjusted_s
        if paused_s < INTERVAL_S:
            return
        self._adjusted_s = now_s
        load = self.get_load(now_s)
        steps = min(MAX_ADJUSTMENTS, paused_s // INTERVAL_S)
        # A link that no search considers any more begins anew.
        self._shares = {
            k: s
            for k, s in self._shares.items()
            if k in load or now_s - s.until_s < WINDOW_S
        }
        idle = min(1.0, MAX_IDLE_PARTS / self.hosts) * MAX_UTILIZATION
        for link in {*load, *self._shares}:
            factor = _compute_factor(load.get(link, 0.0))
            if factor > 1.0:
                factor = math.pow(factor, steps)
            most = MAX_UTILIZATION if link in load else idle
            self._change_rate(link, factor, most)


def list_crossed(parts: Sequence[paths.Part]) -> list[Link]:
    """Returns the links that a path crosses, in its order."""
    return [
        make_link(a.data_centre, b.data_centre)
        for a, b in itertools.pairwise(parts)
        if a.data_centre != b.data_centre
    ]


def make_link(source: str, target: str) -> Link:
    """Returns the link between two data centres, in either direction."""
    return (source, target) if source < target else (target, source)


def _compute_transfer_s(spec: config.EngineSpec, tokens: float) -> float:
    """Returns the time that a request's tokens take on a link."""
    if not spec.link_bytes_per_s:
        return 0.0
    return tokens * spec.activation_bytes / spec.link_bytes_per_s


def _compute_factor(seconds: float) -> float:
    """Returns the factor on a link's rate for a load within `WINDOW_S`."""
    if not seconds:
        return MAX_FACTOR
    ratio = MAX_UTILIZATION * WINDOW_S / seconds
    return min(MAX_FACTOR, max(MIN_FACTOR, ratio))


def _sum_loads(
    loads: Iterable[Mapping[Link, float]],
) -> dict[Link, float]:
    total: dict[Link, float] = {}
    for load in loads:
        for link, seconds in load.items():
            total[link] = total.get(link, 0.0) + seconds
    return total
