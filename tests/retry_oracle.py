"""Oracle of retries, by what upstreams read and when."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from typing import Final

import attrs

# How much later a retry is read than the first attempt to count as late, and
# how much later than its caller's time it may end, in s.
SLACK_S: Final = 0.5

# How much sooner than its caller's time an upstream's may end, in s: a host
# needs some to pass its answer on.
EARLY_S: Final = 0.1

# Retries that may be handed more time than is left, or too little, and their
# share.
MAX_LONG: Final = 20
MAX_LONG_SHARE: Final = 0.2


@attrs.frozen
class Arrival:
    """A request that reached an upstream."""

    request: str
    at_s: float
    upstream: str
    # Seconds that its caller still waits, as the host says.
    left_s: float

    @property
    def end_s(self) -> float:
        """By when the upstream ends its work."""
        return self.at_s + self.left_s


@attrs.frozen
class LateRetries:
    """Retries that upstreams read late, by how long they may work for them."""

    # Read late, or handed too much time; and of these, the latter.
    late: int
    long: int

    @property
    def is_allowed(self) -> bool:
        """Whether few enough were handed too much time."""
        return _is_few(self.long, self.late)


@attrs.frozen
class CutRetries:
    """Retries, by whether their callers waited when their time was over."""

    retries: int
    # Ended by their upstreams at the end of the time that these were handed,
    # `EARLY_S` or more before their callers'.
    cut: int

    @property
    def is_allowed(self) -> bool:
        """Whether few enough ended too early."""
        return _is_few(self.cut, self.retries)


def _is_few(count: int, total: int) -> bool:
    return count <= MAX_LONG or count <= MAX_LONG_SHARE * total


def count(
    arrivals: Iterable[Arrival], sent: Mapping[str, float], patience_s: float
) -> LateRetries:
    """Returns how many retries were read late, or handed too much time.

    Late ones are read over `SLACK_S` after the first attempt; those that are
    handed too much time end so much later than it and its caller.

    Args:
        arrivals: What upstreams read, from earliest to latest.
        sent: When callers sent their requests; others don't count.
        patience_s: How long a caller waits.
    """
    first: dict[str, Arrival] = {}
    late = long = 0
    for arrival in arrivals:
        if arrival.request not in sent:
            continue
        before = first.setdefault(arrival.request, arrival)
        is_longer = arrival.left_s > patience_s + SLACK_S
        is_late = arrival.at_s - before.at_s > SLACK_S
        end_s = max(sent[arrival.request] + patience_s, before.end_s)
        is_later = arrival.end_s > end_s + SLACK_S
        is_long = is_longer or arrival.left_s < 0.0 or (is_late and is_later)
        late += is_late or is_long
        long += is_long
    return LateRetries(late, long)


def count_cut(
    arrivals: Iterable[Arrival],
    timed_out: Iterable[tuple[str, float]],
    sent: Mapping[str, float],
    patience_s: float,
) -> CutRetries:
    """Returns how many retries were ended while their callers waited.

    Args:
        arrivals: What upstreams read, from earliest to latest.
        timed_out: What upstreams ended since its time was over: request and
            when it was read.
        sent: When callers sent their requests; others don't count.
        patience_s: How long a caller waits.
    """
    ended = set(timed_out)
    seen: set[str] = set()
    retries = cut = 0
    for arrival in arrivals:
        if arrival.request in seen:
            retries += 1
            is_early = (
                arrival.end_s < sent[arrival.request] + patience_s - EARLY_S
            )
            cut += is_early and (arrival.request, arrival.at_s) in ended
        elif arrival.request in sent:
            seen.add(arrival.request)
    return CutRetries(retries, cut)


def list_retry_times(
    arrivals: Iterable[Arrival], sent: Container[str]
) -> list[float]:
    """Returns when upstreams read requests that had been read before.

    Args:
        arrivals: What upstreams read, from earliest to latest.
        sent: Requests of callers; others don't count.
    """
    seen: set[str] = set()
    times = []
    for arrival in arrivals:
        if arrival.request in seen:
            times.append(arrival.at_s)
        elif arrival.request in sent:
            seen.add(arrival.request)
    return times


def count_over_limit(
    arrivals: Iterable[Arrival], sent: Container[str], limit: int
) -> int:
    """Returns how many requests were read by more upstreams than a limit."""
    names: dict[str, set[str]] = {}
    for arrival in arrivals:
        if arrival.request in sent:
            names.setdefault(arrival.request, set()).add(arrival.upstream)
    return sum(len(found) > limit for found in names.values())
