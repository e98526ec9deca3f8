"""Retry-After of callers refused for a limit or a lack of capacity: pure.

Callers get successive times, in the order in which they were refused and at
the rate at which this host may send, or at which all hosts have capacity for
them. With one time for all, they would retry together, and all but the first
would be refused again. Read next: `egretspur.admission.throttle`,
`egretspur.routing.promises`.
"""

from __future__ import annotations

import collections
import math
import random
from typing import Final

from egretspur.admission import throttle
from egretspur.routing import jobs, promises

# Maximum Retry-After in seconds. A limit may be lifted long before the
# scheduled time.
MAX_RETRY_AFTER_S: Final = 10.0

# Fraction of its remaining time for which a caller honours Retry-After.
HONOURED_FRACTION: Final = 1 / 3

# Bounds of the random Retry-After in seconds while this host does not know the
# rate of a service. The jitter keeps callers that were refused together from
# retrying together.
UNKNOWN_RATE_DELAY_S: Final = (0.7, 2.0)

# Bounds of the delay in seconds of a caller that finds free capacity at another
# host, as far as this host knows. The refusal is not repeated before the retry
# has reached one.
FREE_DELAY_S: Final = (0.05, 0.1)

# Lower bound of the delay of a caller refused for lack of capacity. Peers count
# refusals by promises that are due more than a slot after an update; the next
# update is sent within a quarter second.
MIN_DELAY_S: Final = promises.SLOT_S + 0.25

# Fraction of the rate at which requests start that is assigned to returning
# callers: all that new ones leave free at a demand of 0.8 of the capacity.
RETURN_SHARE: Final = 0.2

# Fraction of refused attempts above which the fleet counts as overloaded. A
# caller that returns while this lasts is refused again with this probability;
# fewer than 5 in 100 may be.
MAX_REFUSED_SHARE: Final = 0.05

# Earliest return during an overload, as a fraction of the longest delay that
# the caller honours, for priority 0 and for each priority after it. It is
# unknown how long the overload lasts, so the return is late; the last quarter
# leaves room to spread the returns.
MIN_OVERLOAD_FRACTION: Final = 0.75
PRIORITY_FRACTION: Final = 0.05
MAX_OVERLOAD_FRACTION: Final = 0.9

# Number of answers from which the rate of a service is measured, at most and
# at least.
MAX_RATE_SAMPLES: Final = 16
MIN_RATE_SAMPLES: Final = 4


class RetrySchedule:
    """Schedules the retries of refused callers of one host."""

    def __init__(self) -> None:
        """Creates an empty schedule."""
        # Next unassigned retry time by service; monotonic.
        self._next_retry_s: dict[str, float] = {}

    def assign_delay_s(
        self,
        service: str,
        opening: throttle.Opening,
        waiting: int,
        now_s: float,
    ) -> float:
        """Assigns the next retry time; returns the seconds until then.

        Args:
            service: The service that the caller asked for.
            opening: When the service's upstreams accept the next request.
            waiting: Number of requests that wait for that on this host.
            now_s: Monotonic time.
        """
        first_s = now_s + opening.estimate_wait_s(waiting)
        at_s = max(first_s, self._next_retry_s.get(service, first_s))
        longest_s = now_s + MAX_RETRY_AFTER_S
        self._next_retry_s[service] = min(at_s + 1.0 / opening.per_s, longest_s)
        return min(at_s, longest_s) - now_s


class ReturnTimes:
    """Assigns return times to callers refused for lack of capacity."""

    def __init__(self, promised: promises.Promises, rng: random.Random) -> None:
        """Makes a state in which no rate is known.

        Args:
            promised: Promises of this host and its peers; those assigned are
                added.
            rng: Draws times within a slot.
        """
        self._promises = promised
        self._rng = rng
        # Times of this host's last answers that began, by service.
        self._answers: dict[str, collections.deque[float]] = {}

    def record_answer_start(self, service: str, now_s: float) -> None:
        """Counts an answer that began, from which the rate is measured."""
        times = self._answers.setdefault(
            service, collections.deque(maxlen=MAX_RATE_SAMPLES)
        )
        times.append(now_s)

    def assign_delay_s(
        self,
        job: jobs.Job,
        hosts: int,
        waiting: int,
        is_full: bool,
        now_s: float,
    ) -> float:
        """Assigns a return time; returns the seconds until then.

        Args:
            job: The refused request.
            hosts: Number of hosts, with this one, that serve the callers.
            waiting: Requests that wait for the same service at all hosts.
            is_full: Whether no upstream had capacity for it. Otherwise, only
                those that this host tried could not run it.
            now_s: Monotonic time.
        """
        left_s = max(0.0, job.deadline_s - now_s)
        longest_s = min(left_s * HONOURED_FRACTION, MAX_RETRY_AFTER_S)
        own_per_s = self._measure_rate(job.service, now_s)
        if own_per_s is None:
            low_s, high_s = UNKNOWN_RATE_DELAY_S
            scale = min(1.0, longest_s / high_s)
            delay_s = self._rng.uniform(low_s * scale, high_s * scale)
        else:
            delay_s = self._find_delay_s(
                job, own_per_s * hosts, waiting, is_full, longest_s, now_s
            )
        self._promises.add(job.service, now_s + delay_s, now_s)
        return delay_s

    def _find_delay_s(
        self,
        job: jobs.Job,
        per_s: float,
        waiting: int,
        is_full: bool,
        longest_s: float,
        now_s: float,
    ) -> float:
        """Returns the delay of a caller, given the rate of all hosts."""
        slots = self._promises.count_by_slot(job.service, now_s)
        refused = self._promises.count_refused(job.service, now_s)
        if not (is_full or waiting or any(slots) or refused >= 1.0):
            low_s, high_s = FREE_DELAY_S
            return min(longest_s, self._rng.uniform(low_s, high_s))
        refused += 1.0
        attempts = refused + per_s * promises.REFUSAL_WINDOW_S
        severity = min(1.0, refused / (MAX_REFUSED_SHARE * attempts))
        fraction = MIN_OVERLOAD_FRACTION + PRIORITY_FRACTION * job.priority
        late_s = longest_s * min(MAX_OVERLOAD_FRACTION, fraction)
        earliest_s = MIN_DELAY_S + waiting / per_s
        earliest_s += severity * max(0.0, late_s - earliest_s)
        # The less urgent a caller, the more of each slot it leaves to others.
        room = RETURN_SHARE * per_s * promises.SLOT_S / (1 + job.priority / 4)
        # Leaves room for jitter where the caller honours less than the minimum.
        earliest_s = min(earliest_s, longest_s * MAX_OVERLOAD_FRACTION)
        return self._draw(slots, room, earliest_s, longest_s)

    def _draw(
        self,
        slots: list[int],
        room: float,
        earliest_s: float,
        longest_s: float,
    ) -> float:
        """Returns a time in the first slot with room, else the emptiest."""
        last = promises.MAX_SLOTS - 1
        ends_s = [(i + 1) * promises.SLOT_S for i in range(last)]
        # Later returns are counted in the last slot.
        ends_s.append(max(promises.MAX_SLOTS * promises.SLOT_S, longest_s))
        chosen: tuple[float, float] | None = None
        lowest = math.inf
        for i, end_s in enumerate(ends_s):
            start_s = i * promises.SLOT_S
            if end_s <= earliest_s or start_s > longest_s:
                continue
            per_slot = slots[i] * promises.SLOT_S / (end_s - start_s)
            if per_slot < lowest:
                chosen = max(earliest_s, start_s), min(longest_s, end_s)
                lowest = per_slot
            if per_slot < room:
                break
        return self._rng.uniform(*chosen) if chosen else longest_s

    def _measure_rate(self, service: str, now_s: float) -> float | None:
        """Returns this host's answers per second; None if too few began."""
        times = self._answers.get(service)
        if times is None or len(times) < MIN_RATE_SAMPLES:
            return None
        # The interval before the first one is not measured.
        return (len(times) - 1) / max(1e-3, now_s - times[0])
