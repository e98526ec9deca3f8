"""Fair queue of requests that wait for an upstream: pure.

Higher priority goes first; within a priority the workspace that has been
served least goes first, so that a large workspace can't starve a small one.
One start in `EVERYONE` ignores priority, so that low ones never stop entirely.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import attrs

from egretspur import errors

# One start in this many goes to the oldest request whatever its priority.
EVERYONE: Final = 10

# Weight of a new sample in the estimate of starts per second.
RATE_WEIGHT: Final = 0.1


@attrs.frozen
class Waiting:
    """A request in the queue."""

    id: str
    workspace: str
    # Graph it needs; only requests of graphs with a free path are started.
    graph: str
    priority: int
    arrived_s: float
    deadline_s: float


@attrs.define
class Queue:
    """All waiting requests of one router."""

    length: int
    waiting: dict[str, Waiting] = attrs.Factory(dict)
    # Requests started per workspace, on a common scale: a workspace that
    # returns after a pause begins at the present, not with saved-up turns.
    served: dict[str, float] = attrs.Factory(dict)
    clock: float = 0.0
    starts: int = 0
    # Starts per second by graph, smoothed, and when the last one was.
    rates: dict[str, float] = attrs.Factory(dict)
    last_start_s: dict[str, float] = attrs.Factory(dict)


@attrs.frozen
class Queued:
    """The request waits; `evicted` gave up its place to it, if any."""

    evicted: Waiting | None


def offer(queue: Queue, item: Waiting, now_s: float) -> Queued | errors.Refusal:
    """Puts a request into the queue or refuses it at once."""
    wait_s = estimate_wait(queue, item)
    if now_s + wait_s > item.deadline_s:
        return errors.Refusal(
            errors.ErrorKind.DEADLINE,
            f"expected wait {wait_s:.1f} s",
            retry_after_s=max(1.0, wait_s),
        )
    evicted = None
    if len(queue.waiting) >= queue.length:
        evicted = _find_evictable(queue, item)
        if evicted is None:
            return errors.Refusal(
                errors.ErrorKind.QUEUE_FULL,
                f"{len(queue.waiting)} requests wait",
                retry_after_s=max(1.0, wait_s),
            )
        del queue.waiting[evicted.id]
    queue.waiting[item.id] = item
    return Queued(evicted)


def estimate_wait(queue: Queue, item: Waiting) -> float:
    """Returns the seconds a request would wait by the recent rate."""
    rate = queue.rates.get(item.graph, 0.0)
    if rate <= 0:
        return 0.0
    ahead = sum(
        1
        for other in queue.waiting.values()
        if other.graph == item.graph and other.priority >= item.priority
    )
    return ahead / rate


def order(queue: Queue, is_held: Callable[[Waiting], bool]) -> list[Waiting]:
    """Returns one candidate for each graph: the request that is next.

    Args:
        queue: The queue.
        is_held: Tells whether a request's workspace is at its limit.
    """
    everyone = queue.starts % EVERYONE == EVERYONE - 1
    best: dict[str, Waiting] = {}
    for item in queue.waiting.values():
        if is_held(item):
            continue
        other = best.get(item.graph)
        if other is None or _rank(queue, item, everyone) < _rank(
            queue, other, everyone
        ):
            best[item.graph] = item
    return sorted(best.values(), key=lambda i: _rank(queue, i, everyone))


def start(queue: Queue, item: Waiting, now_s: float) -> None:
    """Takes a request off the queue because it is started."""
    queue.waiting.pop(item.id, None)
    note_start(queue, item.workspace, item.graph, now_s)


def note_start(queue: Queue, workspace: str, graph: str, now_s: float) -> None:
    """Counts a started request, queued before or not."""
    queue.starts += 1
    served = max(queue.served.get(workspace, 0.0), queue.clock)
    queue.clock = served
    queue.served[workspace] = served + 1.0
    if len(queue.served) > 4 * queue.length + 64:
        queue.served = {
            w: s for w, s in queue.served.items() if s > queue.clock
        }
    last = queue.last_start_s.get(graph)
    queue.last_start_s[graph] = now_s
    if last is None or now_s <= last:
        return
    rate = min(1.0 / (now_s - last), 10_000.0)
    old = queue.rates.get(graph)
    queue.rates[graph] = (
        rate
        if old is None
        else 1 / ((1 - RATE_WEIGHT) / old + RATE_WEIGHT / rate)
    )


def remove(queue: Queue, request_id: str) -> None:
    """Takes a request off the queue because its caller is gone."""
    queue.waiting.pop(request_id, None)


def expire(queue: Queue, now_s: float) -> list[Waiting]:
    """Takes off and returns requests whose deadline has come."""
    late = [w for w in queue.waiting.values() if now_s >= w.deadline_s]
    for item in late:
        del queue.waiting[item.id]
    return late


def _rank(
    queue: Queue, item: Waiting, everyone: bool
) -> tuple[float, float, float, str]:
    served = max(queue.served.get(item.workspace, 0.0), queue.clock)
    priority = 0.0 if everyone else -float(item.priority)
    if everyone:
        return priority, item.arrived_s, served, item.id
    return priority, served, item.arrived_s, item.id


def _find_evictable(queue: Queue, item: Waiting) -> Waiting | None:
    """Returns the request that must give way to a more important one."""
    lowest = max(
        queue.waiting.values(),
        key=lambda w: (-w.priority, w.arrived_s, w.id),
        default=None,
    )
    if lowest is None or lowest.priority >= item.priority:
        return None
    return lowest
