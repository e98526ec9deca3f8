"""Messages and effects of the `Dispatcher`, and its state of a request."""

from __future__ import annotations

import attrs

from egretspur.intents import records
from egretspur.routing import graph as graphs
from egretspur.routing import questions, tables


@attrs.frozen
class Arrival:
    """A caller's request."""

    id: str
    workspace: str
    model: str
    # Equal for repeats of a request under other ids, at all routers.
    fingerprint: str = ""
    # Segments of its prompt that others may share; see
    # `egretspur.admission.segments`.
    segments: tuple[str, ...] = ()


@attrs.frozen
class Failure:
    """An attempt that ended without a complete answer."""

    id: str
    reason: str
    # Upstreams known to be at fault; empty if any on the path may be.
    blamed: tuple[str, ...]
    # The engine refused it as busy and did not start it.
    busy: bool
    # Upstream that reported that it is leaving; empty if none did.
    leaving: str
    # False only if no engine can have started it.
    maybe_started: bool
    # Tokens already delivered to the caller.
    delivered: int
    # Its connection broke or timed out, so an upstream of it may have crashed.
    is_cut: bool = False
    # This attempt itself returned tokens.
    has_brought: bool = False
    # The head of an answer had arrived.
    has_head: bool = False
    # An attempt had returned tokens for `segments.ESTABLISHED_S`.
    is_established: bool = False
    # This router or its helper ended it.
    is_own: bool = False


@attrs.frozen
class Established:
    """An answer has brought tokens for a while, or is complete with some."""

    id: str


@attrs.frozen
class Progress:
    """Tokens received over a path; also a sign of life of its stages."""

    id: str
    tokens: int
    seconds: float
    # Requests that the last stage runs; -1 if it has not reported.
    load: int


@attrs.frozen
class Grant:
    """Effect: start an attempt over this path."""

    id: str
    path: graphs.Path
    binding: records.Binding
    hops: tuple[tables.Upstream, ...]
    deployment: records.Deployment


Effect = Grant | questions.Refuse


@attrs.define
class Ticket:
    """A request this router has accepted."""

    arrival: Arrival
    key: str
    graph: str
    deadline_s: float
    priority: int
    attempts: int = 0
    busy_requeues: int = 0
    # Tokens were delivered, so it is resumed regardless of the retry budget.
    begun: bool = False
    maybe_started: bool = False
    path: graphs.Path | None = None
    # Of the path's upstreams; see `network.Network.make_incarnation_id`.
    incarnation_ids: tuple[str, ...] = ()
    # Monotonic time at which its current attempt was granted.
    sent_s: float = 0.0
    # Upstream incarnations of the attempts that these ended, once it had begun.
    ended_by: list[tuple[str, ...]] = attrs.Factory(list)
    # Attempts in a row that added nothing to the answer, and when the next one
    # may start.
    fruitless: int = 0
    resume_from_s: float = 0.0
    # Upstreams that failed it, and those that may have.
    failed: set[str] = attrs.Factory(set)
    suspected: set[str] = attrs.Factory(set)


@attrs.define
class Counts:
    """Totals since the router started, for metrics and benchmarks."""

    arrived: int = 0
    attempts: int = 0
    retries: int = 0
    resumes: int = 0
    busy: int = 0
    refused: int = 0
    finished: int = 0
