"""Messages and effects of the `Dispatcher`, and what it keeps of a request."""

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
    # The same for the same request under another id, at any router.
    fingerprint: str = ""


@attrs.frozen
class Failure:
    """An attempt that ended without the whole answer."""

    id: str
    reason: str
    # Upstreams known to be at fault; empty if any of the path could be.
    blamed: tuple[str, ...]
    # The engine refused it as busy and has not started it.
    busy: bool
    # Upstream that said it is leaving; empty if none did.
    leaving: str
    # False only if no engine can have started it.
    maybe_started: bool
    # Tokens already delivered to the caller.
    delivered: int
    # Its connection broke or fell silent, so a stage of it may have ended.
    is_cut: bool = False
    # It brought tokens itself.
    has_brought: bool = False


@attrs.frozen
class Progress:
    """Tokens that came over a path; also a proof of life of its stages."""

    id: str
    tokens: int
    seconds: float
    # Requests the last stage works on, or -1 if it has not said.
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
    busy_tries: int = 0
    # Tokens were delivered: it must be resumed, whatever the budget.
    begun: bool = False
    maybe_started: bool = False
    path: graphs.Path | None = None
    # Starts of the upstreams of the path; see `network.Network.name_start`.
    starts: tuple[str, ...] = ()
    # Upstreams that failed it for sure, and those that may have.
    failed: set[str] = attrs.Factory(set)
    suspected: set[str] = attrs.Factory(set)


@attrs.define
class Counts:
    """Totals since the start, for metrics and measurements."""

    arrived: int = 0
    attempts: int = 0
    retries: int = 0
    resumes: int = 0
    busy: int = 0
    refused: int = 0
    finished: int = 0
