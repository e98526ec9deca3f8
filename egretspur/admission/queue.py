"""Fair queue of requests that wait for an upstream: pure.

Higher priority goes first; within a priority the workspace that has been
served least goes first, so that a large workspace can't starve a small one.
One start in `IGNORE_PRIORITY_EVERY` ignores priority, so that low priorities
are never starved entirely.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import attrs

from egretspur import errors

# One start in this many goes to the oldest request whatever its priority.
IGNORE_PRIORITY_EVERY: Final = 10

# Weight of a new sample in the moving average of the interval between two
# requests that finish.
INTERVAL_WEIGHT: Final = 0.05

# Lower bound of a sample, since several requests can finish at the same time.
MIN_INTERVAL_S: Final = 1e-4


@attrs.frozen
class Waiting:
    """A request in the queue."""

    id: str
    workspace: str
    # Graph it needs; a request is started only if its graph has a free path.
    graph: str
    priority: int
    arrived_s: float
    deadline_s: float
    # Its caller has a part of the answer: it goes first, is never evicted and
    # expires only at its deadline.
    is_begun: bool = False
    # It could use free capacity. A begun answer that waits for the retry
    # budget can't, and others need not leave any to it.
    needs_capacity: bool = True


@attrs.define
class Queue:
    """Waiting requests of one router."""

    max_length: int
    waiting: dict[str, Waiting] = attrs.Factory(dict)
    # Requests started per workspace, in virtual time: a workspace that returns
    # after a pause starts at `virtual_time` and has no credit for the time.
    served: dict[str, float] = attrs.Factory(dict)
    virtual_time: float = 0.0
    starts: int = 0
    # Mean seconds between two requests that finish, and when the last one did;
    # by graph.
    intervals_s: dict[str, float] = attrs.Factory(dict)
    last_finish_s: dict[str, float] = attrs.Factory(dict)


@attrs.frozen
class Queued:
    """The request was queued; `evicted` was removed to make room, if any."""

    evicted: Waiting | None


def enqueue(
    queue: Queue, item: Waiting, now_s: float
) -> Queued | errors.Refusal:
    """Adds a request to the queue, or refuses it at once."""
    wait_s = estimate_wait(queue, item)
    if now_s + wait_s > item.deadline_s:
        return errors.Refusal(
            errors.ErrorKind.DEADLINE,
            f"expected wait {wait_s:.1f} s",
            retry_after_s=max(1.0, wait_s),
        )
    evicted = None
    if len(queue.waiting) >= queue.max_length:
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
    """Returns the seconds until a request starts, at the recent rate.

    Ahead of it are all requests of higher priority, the earlier ones of its own
    workspace, and of each other workspace at most as many as its own workspace
    starts until then.
    """
    interval_s = queue.intervals_s.get(item.graph, 0.0)
    if not interval_s:
        return 0.0
    higher = 0
    mine = 0
    others: dict[str, int] = {}
    for other in queue.waiting.values():
        if other.graph != item.graph or other.id == item.id:
            continue
        if not other.needs_capacity:
            continue
        if other.priority > item.priority:
            higher += 1
        elif other.priority < item.priority:
            continue
        elif other.workspace != item.workspace:
            others[other.workspace] = others.get(other.workspace, 0) + 1
        elif other.arrived_s <= item.arrived_s:
            mine += 1
    ahead = higher + mine + sum(min(n, mine + 1) for n in others.values())
    return ahead * interval_s


def is_priority_ignored(queue: Queue) -> bool:
    """Returns whether the next start goes to the oldest request."""
    return queue.starts % IGNORE_PRIORITY_EVERY == IGNORE_PRIORITY_EVERY - 1


def list_candidates(
    queue: Queue, is_limited: Callable[[Waiting], bool]
) -> list[Waiting]:
    """Returns the next request of each graph, in starting order.

    Args:
        queue: The queue.
        is_limited: Tells whether a request's workspace is at its limit.
    """
    ignores_priority = is_priority_ignored(queue)
    best: dict[str, Waiting] = {}
    for item in queue.waiting.values():
        if is_limited(item):
            continue
        other = best.get(item.graph)
        if other is None or _rank(queue, item, ignores_priority) < _rank(
            queue, other, ignores_priority
        ):
            best[item.graph] = item
    return sorted(
        best.values(), key=lambda i: _rank(queue, i, ignores_priority)
    )


def start(queue: Queue, item: Waiting) -> None:
    """Removes a request from the queue because it is started."""
    queue.waiting.pop(item.id, None)
    record_start(queue, item.workspace)


def record_start(queue: Queue, workspace: str) -> None:
    """Counts a started request, whether or not it was queued."""
    queue.starts += 1
    served = max(queue.served.get(workspace, 0.0), queue.virtual_time)
    queue.virtual_time = served
    queue.served[workspace] = served + 1.0
    if len(queue.served) > 4 * queue.max_length + 64:
        queue.served = {
            w: s for w, s in queue.served.items() if s > queue.virtual_time
        }


def record_finish(queue: Queue, graph: str, now_s: float) -> None:
    """Updates the mean interval between requests that finish.

    A waiting request can start only when another one finishes.
    """
    last = queue.last_finish_s.get(graph)
    queue.last_finish_s[graph] = now_s
    if last is None:
        return
    interval_s = max(now_s - last, MIN_INTERVAL_S)
    old = queue.intervals_s.get(graph, interval_s)
    queue.intervals_s[graph] = (
        1 - INTERVAL_WEIGHT
    ) * old + INTERVAL_WEIGHT * interval_s


def remove(queue: Queue, request_id: str) -> None:
    """Removes a request from the queue because its caller disconnected."""
    queue.waiting.pop(request_id, None)


def expire(queue: Queue, now_s: float) -> list[Waiting]:
    """Removes and returns requests that can't be started in time.

    Includes requests that no longer can because others were queued ahead of
    them, so that their callers can try elsewhere before the deadline.
    """
    late = [
        w
        for w in queue.waiting.values()
        if now_s >= w.deadline_s
        or (not w.is_begun and now_s + estimate_wait(queue, w) >= w.deadline_s)
    ]
    for item in late:
        del queue.waiting[item.id]
    return late


def _rank(
    queue: Queue, item: Waiting, ignores_priority: bool
) -> tuple[bool, float, float, float, str]:
    served = max(queue.served.get(item.workspace, 0.0), queue.virtual_time)
    priority = 0.0 if ignores_priority else -float(item.priority)
    if ignores_priority:
        return not item.is_begun, priority, item.arrived_s, served, item.id
    return not item.is_begun, priority, served, item.arrived_s, item.id


def _find_evictable(queue: Queue, item: Waiting) -> Waiting | None:
    """Returns the request to evict for another one, if any.

    That is the newest of the lowest priority. If none is lower, it is the
    newest of the workspace with most requests in the queue, provided that it
    has at least two more than the new request's workspace: a large workspace
    must not keep a small one out.
    """
    movable = [w for w in queue.waiting.values() if not w.is_begun]
    if not movable:
        return None
    counts: dict[str, int] = {}
    for other in movable:
        counts[other.workspace] = counts.get(other.workspace, 0) + 1
    lowest = max(
        movable,
        key=lambda w: (-w.priority, counts[w.workspace], w.arrived_s, w.id),
    )
    if lowest.priority < item.priority:
        return lowest
    if lowest.priority > item.priority:
        return None
    if counts[lowest.workspace] > counts.get(item.workspace, 0) + 1:
        return lowest
    return None
