"""Checks that hosts comply with limits, backoffs and drains of upstreams.

The soak's oracle: replicas print each request that reaches them while they
request a limit, a backoff or a drain. Each caller sends to one host, so the id
of a request identifies its host. Requests of a host that was restarted, paused
or stopped since the demand are not counted.
"""

from __future__ import annotations

import collections
import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import attrs

# Time after an answer with a demand until its host must comply.
COMPLY_S: Final = 0.5
# Time after an upstream's first demand until all hosts together must comply.
PROPAGATION_S: Final = 3.0
# Number of requests allowed per window: LIMIT_FACTOR times
# the limit, plus LIMIT_MARGIN.
WINDOW_S: Final = 4.0
LIMIT_FACTOR: Final = 1.5
LIMIT_MARGIN: Final = 5
# Number of requests that one host may send during a backoff.
MAX_IN_BACKOFF: Final = 2

# Time after an upstream announced its drain in which requests may arrive.
DRAIN_S: Final = 2.0

# Longest interval between two requests that belong to the same demand.
MAX_DEMAND_GAP_S: Final = 6.0


@attrs.frozen
class Arrival:
    """A request that reached an upstream during a demand of that upstream."""

    host: str
    at_s: float
    demand: Mapping[str, str]


def read_arrivals(
    lines: Iterable[str], hosts: Mapping[str, str]
) -> list[Arrival]:
    """Returns the requests that an upstream printed.

    Args:
        lines: Lines of its output.
        hosts: Hosts by request id.
    """
    found = []
    for line in lines:
        if line.startswith("asked "):
            data = json.loads(line.removeprefix("asked "))
            host = hosts.get(data["id"])
            if host is not None:
                found.append(Arrival(host, data["at_s"], data["wish"]))
    return found


def find_violations(
    name: str,
    arrivals: Sequence[Arrival],
    fault_times: Mapping[str, Sequence[float]],
) -> list[str]:
    """Returns the violations of an upstream's demands.

    Args:
        name: Name of the upstream.
        arrivals: Requests that reached it, in order.
        fault_times: Start and end times of each host's own faults.
    """
    return [
        *_find_over_limit(name, arrivals, fault_times),
        *_find_in_backoff(name, arrivals, fault_times),
        *_find_after_leaving(name, arrivals, fault_times),
    ]


def _is_undisturbed(
    fault_times: Mapping[str, Sequence[float]],
    host: str,
    from_s: float,
    to_s: float,
) -> bool:
    return not any(from_s - PROPAGATION_S < t < to_s for t in fault_times[host])


def _find_over_limit(
    name: str,
    arrivals: Sequence[Arrival],
    fault_times: Mapping[str, Sequence[float]],
) -> list[str]:
    """Returns the worst window that exceeds a limit, one for each demand."""
    found = []
    episode: list[Arrival] = []
    episodes = [episode]
    for item in (c for c in arrivals if "Server-Limit" in c.demand):
        if episode and (
            item.at_s - episode[-1].at_s > MAX_DEMAND_GAP_S
            or item.demand["Server-Limit"] != episode[-1].demand["Server-Limit"]
        ):
            episode = []
            episodes.append(episode)
        episode.append(item)
    for episode in episodes:
        first_by_host: dict[str, float] = {}
        counted: list[float] = []
        for item in episode:
            first_s = first_by_host.setdefault(item.host, item.at_s)
            if item.at_s - first_s >= COMPLY_S and _is_undisturbed(
                fault_times, item.host, first_s, item.at_s
            ):
                counted.append(item.at_s)
        if not counted:
            continue
        allowed = (
            LIMIT_FACTOR * float(episode[0].demand["Server-Limit"]) * WINDOW_S
            + LIMIT_MARGIN
        )
        since_s = episode[0].at_s + PROPAGATION_S
        worst = max(
            (
                sum(t <= u < t + WINDOW_S for u in counted)
                for t in counted
                if t + WINDOW_S >= since_s
            ),
            default=0,
        )
        if worst > allowed:
            found.append(f"{name} got {worst} in 4 s, {allowed:g} allowed")
    return found


def _find_in_backoff(
    name: str,
    arrivals: Sequence[Arrival],
    fault_times: Mapping[str, Sequence[float]],
) -> list[str]:
    worst: collections.Counter[str] = collections.Counter()
    for asked in arrivals:
        if "Retry-After" not in asked.demand:
            continue
        end_s = asked.at_s + float(asked.demand["Retry-After"])
        got = sum(
            c.host == asked.host
            and asked.at_s + COMPLY_S <= c.at_s < end_s
            and _is_undisturbed(fault_times, c.host, asked.at_s, c.at_s)
            for c in arrivals
        )
        worst[asked.host] = max(worst[asked.host], got)
    return [
        f"{name} got {got} from {host} within its rest"
        for host, got in worst.items()
        if got > MAX_IN_BACKOFF
    ]


def _find_after_leaving(
    name: str,
    arrivals: Sequence[Arrival],
    fault_times: Mapping[str, Sequence[float]],
) -> list[str]:
    first_by_host: dict[str, float] = {}
    found = []
    for item in (c for c in arrivals if "Server-Leaving" in c.demand):
        first_s = first_by_host.setdefault(item.host, item.at_s)
        if item.at_s > first_s + DRAIN_S and _is_undisturbed(
            fault_times, item.host, first_s, item.at_s
        ):
            late_s = item.at_s - first_s
            found.append(
                f"{name} got one from {item.host} {late_s:.1f} s after"
            )
    return found
