"""Choice of a plain service's replica: pure.

A replica's cost is its expected response time, raised by the requests that all
hosts have in flight there. Of two random replicas, the one of lower cost is
likelier to be chosen, in proportion to the difference. All hosts compare much
the same peer updates, which are a quarter of a second old: if each took the
lowest cost, all would choose the same replica until the next update. The host's
own data centre is preferred until it is clearly worse.
"""

from __future__ import annotations

import math
import random
import statistics
from collections.abc import Callable, Collection, Container, Sequence
from typing import Final

import attrs

from egretspur.admission import throttle
from egretspur.catalog import upstreams
from egretspur.routing import health, memory

# Response time assumed for a replica before its first answer.
INITIAL_RESPONSE_TIME_S: Final = 0.05

# Least weight of an answer in the smoothed response time; answers are weighted
# higher the older the estimate is.
RESPONSE_TIME_WEIGHT: Final = 0.2

# An estimate above that of the other replicas decays to theirs over this time.
# A replica that was slow must have its share again within 5 s, and the answers
# that began before its recovery take up to a second of these.
ESTIMATE_DECAY_S: Final = 4.0

# Ratio of two costs from which only the cheaper replica is chosen. A plain
# call's objective is three to four times its work, so a replica beyond this
# ratio would miss it.
CLEARLY_WORSE: Final = 3.0

# Ratio of costs up to which the own data centre is always chosen. A hop there
# and back takes 3 in 100 of a call's work; response times of equivalent
# replicas differ by more than that from call to call.
NEAR_TOLERANCE: Final = 1.1

# Load from which a replica of the own data centre is preferred only while the
# others are as loaded. Counts of peers are up to 0.3 s old, in which a replica
# gets several times what it has in flight, so the other half of its slots may
# be taken by now.
BUSY_LOAD: Final = 0.5

# Slots that count at most for the replica with the most. Requests in flight
# show that a replica is slow long before all of many slots are taken, and are
# all that a host with few requests of its own learns.
MAX_COUNTED_SLOTS: Final = 6

# A new or returned replica begins at twice its cost, which falls to the normal
# one over this time, well within the 5 s in which it must have its share.
SLOW_START_S: Final = 2.0

# Pause after a failed request, doubled with each consecutive one.
MIN_PAUSE_S: Final = health.MIN_REFUSAL_PAUSE_S
MAX_PAUSE_S: Final = health.MAX_REFUSAL_PAUSE_S

# The least number of the host's calls that go elsewhere meanwhile, doubled as
# well. A host with a call every few seconds would otherwise try the replica
# with each of them. A refusal costs a retry of the budget, and an error may be
# due to the request. A call that is cut can cost its caller the answer, so at
# most 3 in 100 calls risk it.
PAUSE_CALLS: Final = 4
PAUSE_CALLS_CUT: Final = 32
MAX_PAUSE_CALLS: Final = 64
MAX_DOUBLINGS: Final = 3

# How long other hosts learn that a request failed at a replica, and how long
# this host believes it: two datagrams, one of which may be lost. A host with a
# call every few seconds would otherwise learn of it by calls of its own.
PUBLISHED_S: Final = 0.6


@attrs.define
class _Replica:
    """State of one replica."""

    # When it became usable; at the host's first choice, all have been for long.
    since_s: float = -math.inf
    # Smoothed response time, and the time of the last answer.
    response_s: float = INITIAL_RESPONSE_TIME_S
    answered_s: float = -math.inf
    # Consecutive failed requests, with the end of the pause after the last one
    # in time and in calls of this host.
    failures: int = 0
    failed_s: float = -math.inf
    # Until when requests of other hosts count as failing there.
    peers_fail_until_s: float = -math.inf
    paused_until_s: float = -math.inf
    paused_calls: int = 0

    def is_paused(self, now_s: float) -> bool:
        """Tells whether the pause after a failure is in force."""
        return now_s < self.paused_until_s or self.paused_calls > 0

    def is_distrusted(self, now_s: float) -> bool:
        """Tells whether its last request of any host is known as failed."""
        return self.failures > 0 or now_s < self.peers_fail_until_s

    def count_call(self, now_s: float) -> None:
        """Counts a call of this host towards the end of a pause."""
        if self.is_paused(now_s):
            self.paused_calls = max(0, self.paused_calls - 1)

    def estimate_s(self, typical_s: float, now_s: float) -> float:
        """Returns the expected response time, decayed to the typical one."""
        if self.response_s <= typical_s:
            return self.response_s
        left = max(0.0, 1.0 - (now_s - self.answered_s) / ESTIMATE_DECAY_S)
        return typical_s + left * (self.response_s - typical_s)

    def get_slow_start(self, now_s: float) -> float:
        """Returns the factor by which a slow start raises the cost."""
        return 2.0 - min(1.0, max(0.0, now_s - self.since_s) / SLOW_START_S)

    def get_distrust(self, now_s: float) -> float:
        """Returns the factor by which failures raise the cost.

        Paused replicas that are not excluded get calls once the others are
        loaded; one whose pause is over gets few until it has answered.
        """
        if self.is_paused(now_s):
            return CLEARLY_WORSE
        return 2.0 if self.is_distrusted(now_s) else 1.0


class Replicas:
    """Chooses replicas as one host sees them."""

    def __init__(
        self,
        data_centre: str,
        rng: random.Random,
        usage: memory.Memory,
        state: health.Health,
        limits: throttle.Throttle,
        list_usable: Callable[[str, float], Sequence[upstreams.Upstream]],
        list_cut_off: Callable[[float], Container[str]],
        on_state_change: health.StateListener,
    ) -> None:
        """Makes a state without any replica.

        Args:
            data_centre: Of this host.
            rng: Draws the replicas to compare.
            usage: Requests in flight.
            state: Health of the replicas.
            limits: Rate limits of the replicas.
            list_usable: Returns the usable replicas of a service.
            list_cut_off: Returns the data centres that are cut off.
            on_state_change: Receives pauses of replicas for the log.
        """
        self._data_centre = data_centre
        self._rng = rng
        self._usage = usage
        self._health = state
        self._throttle = limits
        self._list_usable = list_usable
        self._list_cut_off = list_cut_off
        self._on_state_change = on_state_change
        # Those that were usable at some choice.
        self._replicas: dict[str, _Replica] = {}
        # Usable replicas at the last choice, by service.
        self._usable: dict[str, set[str]] = {}

    def get_response_s(self, upstream_id: str) -> float:
        """Returns the smoothed response time; 0 unless it is a replica."""
        replica = self._replicas.get(upstream_id)
        return replica.response_s if replica else 0.0

    def record_answer(
        self, upstream_id: str, seconds: float, now_s: float
    ) -> None:
        """Adds the response time of an answer; ends the pause in calls.

        Args:
            upstream_id: The upstream; no effect unless it is a replica.
            seconds: From the start of the request to its answer.
            now_s: Monotonic time.
        """
        replica = self._replicas.get(upstream_id)
        if replica is None:
            return
        age = (now_s - replica.answered_s) / ESTIMATE_DECAY_S
        weight = min(1.0, max(RESPONSE_TIME_WEIGHT, age))
        replica.response_s += weight * (seconds - replica.response_s)
        replica.answered_s = now_s
        replica.failures = 0
        replica.paused_calls = 0

    def record_failure(
        self, upstream_id: str, is_cut: bool, now_s: float
    ) -> None:
        """Records that a request failed at an upstream.

        Args:
            upstream_id: The upstream; no effect unless it is a replica.
            is_cut: Whether the answer broke off.
            now_s: Monotonic time.
        """
        replica = self._replicas.get(upstream_id)
        if replica is None or replica.is_paused(now_s):
            # An engine, or the request was sent before the pause.
            return
        factor = 2 ** min(replica.failures, MAX_DOUBLINGS)
        replica.failures += 1
        replica.failed_s = now_s
        pause_s = min(MAX_PAUSE_S, factor * MIN_PAUSE_S)
        replica.paused_until_s = now_s + pause_s
        calls = PAUSE_CALLS_CUT if is_cut else PAUSE_CALLS
        replica.paused_calls = min(MAX_PAUSE_CALLS, factor * calls)
        self._on_state_change(
            upstream_id,
            "paused",
            f"a request failed; for {pause_s:g} s and"
            f" {replica.paused_calls} calls",
        )

    def list_known(self) -> list[str]:
        """Returns the replicas that were usable at some choice."""
        return list(self._replicas)

    def is_failing(self, upstream_id: str) -> bool:
        """Tells whether more than one request in a row failed there."""
        return self._get(upstream_id).failures > 1

    def list_free(self, service: str, now_s: float) -> set[str]:
        """Returns the usable replicas that take requests, not paused."""
        return {
            e.id
            for e in self._list_usable(service, now_s)
            if not self._get(e.id).is_paused(now_s)
            and self._get_load(e, now_s) < 1
        }

    def list_failing(self, now_s: float, is_speaker: bool) -> tuple[str, ...]:
        """Returns the replicas that failed a request, for other hosts.

        Args:
            now_s: Monotonic time.
            is_speaker: Whether to include those of other hosts.
        """
        return tuple(
            i
            for i, r in self._replicas.items()
            if (
                r.failures
                and now_s < max(r.failed_s + PUBLISHED_S, r.paused_until_s)
            )
            or (is_speaker and now_s < r.peers_fail_until_s)
        )

    def record_peer_failures(
        self, upstream_ids: Collection[str], now_s: float
    ) -> None:
        """Records replicas at which requests of another host failed."""
        for upstream_id in upstream_ids:
            replica = self._replicas.get(upstream_id)
            if replica is not None:
                replica.peers_fail_until_s = now_s + PUBLISHED_S

    def remove_unlisted(self, listed: Container[str]) -> None:
        """Drops the state of replicas that are no longer listed."""
        for upstream_id in [i for i in self._replicas if i not in listed]:
            del self._replicas[upstream_id]

    def choose(
        self,
        service: str,
        avoid: Collection[str],
        refused: Collection[str],
        now_s: float,
        silent: Collection[str] = (),
    ) -> upstreams.Upstream | None:
        """Returns the replica for a request; None if there is none.

        Args:
            service: Name of the service.
            avoid: Replicas to use only if there is no other.
            refused: Replicas never to use.
            now_s: Monotonic time.
            silent: Replicas that may read nothing, to use only if all may.
        """
        usable = self._list_usable(service, now_s)
        self._note_usable(service, {e.id for e in usable}, now_s)
        excluded = self._list_excluded(usable, now_s)
        allowed = [
            e
            for e in usable
            if e.id not in refused and self._throttle.can_send(e.id, now_s)
        ]
        cut_off = self._list_cut_off(now_s)
        # Each condition holds only if it leaves a replica. A paused one may be
        # idle by now, so it is tried before those that failed this request.
        allowed = [e for e in allowed if e.id not in silent] or allowed
        allowed = [e for e in allowed if e.id not in avoid] or allowed
        allowed = [
            e for e in allowed if e.data_centre not in cut_off
        ] or allowed
        allowed = [e for e in allowed if e.id not in excluded] or allowed
        if avoid:
            # Each call tries at most one replica that has failed before.
            allowed = [
                e for e in allowed if not self._get(e.id).is_distrusted(now_s)
            ] or allowed
        if not allowed:
            return None
        # A request that waits is looked after many times; only its start is a
        # call that goes elsewhere.
        for entry in usable:
            self._get(entry.id).count_call(now_s)
        if len(allowed) == 1:
            return allowed[0]
        return self._choose_cheap(allowed, now_s)

    def _choose_cheap(
        self, allowed: Sequence[upstreams.Upstream], now_s: float
    ) -> upstreams.Upstream:
        """Returns one of several replicas, by their costs.

        Those of the own data centre are compared like all others once they are
        the more loaded ones.
        """
        costs = self._compute_costs(allowed, now_s)
        near = [e for e in allowed if e.data_centre == self._data_centre]
        far = [e for e in allowed if e.data_centre != self._data_centre]
        if not near or not far:
            return self._choose_of_two(near or far, costs)
        mine = self._choose_of_two(near, costs)
        other = self._choose_of_two(far, costs)
        load = self._get_load(mine, now_s)
        if load >= BUSY_LOAD and load > self._get_load(other, now_s):
            return self._choose_of_two(allowed, costs)
        is_mine = self._draw(costs[mine.id] / costs[other.id], NEAR_TOLERANCE)
        return mine if is_mine else other

    def _get_load(self, entry: upstreams.Upstream, now_s: float) -> float:
        """Returns the requests in flight for each slot."""
        usage = self._usage.get_usage(entry.id, now_s)
        return usage.count / max(1, entry.slots)

    def _choose_of_two(
        self,
        equivalent: Sequence[upstreams.Upstream],
        costs: dict[str, float],
    ) -> upstreams.Upstream:
        """Returns one of two random replicas, likelier the cheaper one."""
        if len(equivalent) == 1:
            return equivalent[0]
        one, other = self._rng.sample(equivalent, 2)
        is_one = self._draw(costs[one.id] / costs[other.id], 1 / CLEARLY_WORSE)
        return one if is_one else other

    def _draw(self, ratio: float, certain: float) -> bool:
        """Draws whether the first of two replicas is chosen.

        Args:
            ratio: Its cost, divided by that of the other.
            certain: Ratio up to which it is always chosen; the probability
                falls to zero at `CLEARLY_WORSE`.
        """
        worse = math.log(CLEARLY_WORSE)
        chance = (worse - math.log(ratio)) / (worse - math.log(certain))
        return self._rng.random() < chance

    def _compute_costs(
        self, allowed: Sequence[upstreams.Upstream], now_s: float
    ) -> dict[str, float]:
        """Returns the costs of replicas, in seconds."""
        known = [self._get(e.id) for e in allowed]
        fresh = [r for r in known if now_s - r.answered_s < ESTIMATE_DECAY_S]
        typical_s = statistics.median_low(
            [r.response_s for r in fresh or known]
        )
        most_slots = max(1, *(e.slots for e in allowed))
        scale = min(1.0, MAX_COUNTED_SLOTS / most_slots)
        costs = {}
        for entry, replica in zip(allowed, known, strict=True):
            queue_factor = 1 + self._get_load(entry, now_s) / scale
            costs[entry.id] = (
                max(1e-4, replica.estimate_s(typical_s, now_s))
                * queue_factor
                * replica.get_slow_start(now_s)
                * replica.get_distrust(now_s)
                * self._health.get_slowdown(entry.id, now_s)
            )
        return costs

    def _list_excluded(
        self, usable: Sequence[upstreams.Upstream], now_s: float
    ) -> set[str]:
        """Returns the paused replicas to exclude from a call.

        At most half are excluded, those whose pause ends last: when all are
        full, the rest would otherwise get the load of all. The pause in calls
        holds only while another replica has a free slot.
        """
        paused = {
            e.id: r for e in usable if (r := self._get(e.id)).is_paused(now_s)
        }
        if not any(
            self._get_load(e, now_s) < 1 for e in usable if e.id not in paused
        ):
            paused = {
                i: r for i, r in paused.items() if now_s < r.paused_until_s
            }
        last = sorted(paused, key=lambda i: -paused[i].paused_until_s)
        return set(last[: len(usable) // 2])

    def _note_usable(
        self, service: str, usable: set[str], now_s: float
    ) -> None:
        """Starts the slow start of replicas that are new or usable again.

        Those that were usable at the host's first choice are not new.
        """
        before = self._usable.get(service)
        self._usable[service] = usable
        for upstream_id in usable - (usable if before is None else before):
            self._get(upstream_id).since_s = now_s

    def _get(self, upstream_id: str) -> _Replica:
        return self._replicas.setdefault(upstream_id, _Replica())
