"""What hosts sent to upstreams that asked for less, from the upstreams' words.

The oracle of the soak: replicas print each request that reaches them while they
ask for something. All callers of a host have ids of their own, so an id names
its host. Hosts that were started again, paused or stopped since are left out.
"""

from __future__ import annotations

import collections
import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import attrs

# A host is bound so long after the answer; an upstream's limit holds so long
# after it was first named, in a window, by so much; what may come in a rest.
TOLD_S: Final = 0.5
CONTACT_S: Final = 3.0
WINDOW_S: Final = 4.0
SLACK: Final = 1.5
SPARE: Final = 5
IN_REST: Final = 2

# Requests may come to an upstream for so long after it said that it leaves.
DRAIN_S: Final = 2.0

# Of one print to the next of an upstream that goes on asking for the same.
PAUSE_S: Final = 6.0


@attrs.frozen
class Came:
    """A request that reached an upstream while it asked for something."""

    host: str
    at_s: float
    wish: Mapping[str, str]


def read(lines: Iterable[str], hosts: Mapping[str, str]) -> list[Came]:
    """Returns what an upstream printed.

    Args:
        lines: Of its output.
        hosts: By the ids of requests.
    """
    found = []
    for line in lines:
        if line.startswith("asked "):
            data = json.loads(line.removeprefix("asked "))
            host = hosts.get(data["id"])
            if host is not None:
                found.append(Came(host, data["at_s"], data["wish"]))
    return found


def find(
    name: str, came: Sequence[Came], troubled: Mapping[str, Sequence[float]]
) -> list[str]:
    """Returns what reached an upstream in spite of what it asked for.

    Args:
        name: Of the upstream.
        came: What reached it, in order.
        troubled: When each host was in trouble of its own.
    """
    return [
        *_find_beyond(name, came, troubled),
        *_find_in_rest(name, came, troubled),
        *_find_after_leaving(name, came, troubled),
    ]


def _is_calm(
    troubled: Mapping[str, Sequence[float]],
    host: str,
    from_s: float,
    to_s: float,
) -> bool:
    return not any(from_s - CONTACT_S < t < to_s for t in troubled[host])


def _find_beyond(
    name: str, came: Sequence[Came], troubled: Mapping[str, Sequence[float]]
) -> list[str]:
    """Returns windows with more than a limit allows, one for each spell."""
    found = []
    spell: list[Came] = []
    spells = [spell]
    for item in (c for c in came if "Server-Limit" in c.wish):
        if spell and (
            item.at_s - spell[-1].at_s > PAUSE_S
            or item.wish["Server-Limit"] != spell[-1].wish["Server-Limit"]
        ):
            spell = []
            spells.append(spell)
        spell.append(item)
    for spell in spells:
        told: dict[str, float] = {}
        bound: list[float] = []
        for item in spell:
            told_s = told.setdefault(item.host, item.at_s)
            if item.at_s - told_s >= TOLD_S and _is_calm(
                troubled, item.host, told_s, item.at_s
            ):
                bound.append(item.at_s)
        if not bound:
            continue
        allowed = (
            SLACK * float(spell[0].wish["Server-Limit"]) * WINDOW_S + SPARE
        )
        since_s = spell[0].at_s + CONTACT_S
        worst = max(
            (
                sum(t <= u < t + WINDOW_S for u in bound)
                for t in bound
                if t + WINDOW_S >= since_s
            ),
            default=0,
        )
        if worst > allowed:
            found.append(f"{name} got {worst} in 4 s, {allowed:g} allowed")
    return found


def _find_in_rest(
    name: str, came: Sequence[Came], troubled: Mapping[str, Sequence[float]]
) -> list[str]:
    worst: collections.Counter[str] = collections.Counter()
    for asked in came:
        if "Retry-After" not in asked.wish:
            continue
        end_s = asked.at_s + float(asked.wish["Retry-After"])
        got = sum(
            c.host == asked.host
            and asked.at_s + TOLD_S <= c.at_s < end_s
            and _is_calm(troubled, c.host, asked.at_s, c.at_s)
            for c in came
        )
        worst[asked.host] = max(worst[asked.host], got)
    return [
        f"{name} got {got} from {host} within its rest"
        for host, got in worst.items()
        if got > IN_REST
    ]


def _find_after_leaving(
    name: str, came: Sequence[Came], troubled: Mapping[str, Sequence[float]]
) -> list[str]:
    told: dict[str, float] = {}
    found = []
    for item in (c for c in came if "Server-Leaving" in c.wish):
        told_s = told.setdefault(item.host, item.at_s)
        if item.at_s > told_s + DRAIN_S and _is_calm(
            troubled, item.host, told_s, item.at_s
        ):
            late_s = item.at_s - told_s
            found.append(
                f"{name} got one from {item.host} {late_s:.1f} s after"
            )
    return found
