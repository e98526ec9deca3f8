"""Messages between request threads and the `Broker`."""

from __future__ import annotations

import enum
import math
from typing import Final

import attrs

from egretspur import ends
from egretspur.catalog import config, upstreams
from egretspur.routing import paths, questions


@attrs.frozen
class Job:
    """The properties of a caller's request that decisions use."""

    id: str
    route: config.Route
    service: str
    workspace: str
    # 0 is the most urgent.
    priority: int
    # Request memory needed on each layer, in tokens; 0 for plain services.
    tokens: float
    # Monotonic times.
    arrived_s: float
    deadline_s: float
    # Identifies the same request under other ids and at other hosts; see
    # `egretspur.admission.fingerprint`.
    fingerprint: str = ""
    # Prompt segments that other requests may share, with the model; see
    # `egretspur.admission.segments`.
    segments: tuple[str, ...] = ()


class FailureKind(enum.Enum):
    """How an attempt failed."""

    # No connection could be made; nothing was sent.
    UNREACHABLE = "unreachable"
    # The upstream did not answer a health check in time; nothing was sent.
    UNRESPONSIVE = "unresponsive"
    # The upstream reported that it has not run the request.
    REFUSED = "refused"
    # Another upstream has the address, or an engine lacks the layers asked for.
    MISDIRECTED = "misdirected"
    # The request was sent; then the connection broke, went silent or carried
    # invalid data.
    CUT = "cut"
    # The upstream answered with a failure.
    FAILED = "failed"
    # The upstream ended the answer without anything after what the caller has.
    EMPTY = "empty"


# Failures after which no upstream has run the request.
NOT_RUN: Final = (
    FailureKind.UNREACHABLE,
    FailureKind.UNRESPONSIVE,
    FailureKind.REFUSED,
    FailureKind.MISDIRECTED,
)


@attrs.frozen
class Failure:
    """A failed attempt."""

    id: str
    kind: FailureKind
    reason: str
    # Ids of upstreams known to be at fault; empty if any on the path may be.
    blamed: tuple[str, ...] = ()
    # Whether the caller has received part of the answer.
    is_begun: bool = False
    # Whether this attempt produced part of the answer.
    has_output: bool = False
    # Whether the head of an answer had arrived.
    has_head: bool = False
    # Who ended it.
    ended_by: ends.EndedBy = ends.EndedBy.UPSTREAM
    # Whether an attempt had produced output for `segments.ESTABLISHED_S`.
    is_established: bool = False

    @property
    def was_read(self) -> bool:
        """Whether it shows that an upstream had read the request."""
        is_upstream = self.ended_by is ends.EndedBy.UPSTREAM
        return is_upstream or self.has_head or self.has_output


@attrs.frozen
class Start:
    """Effect: send the request to this upstream."""

    id: str
    upstream: upstreams.Upstream
    # Path through the engines; empty for plain services.
    parts: tuple[paths.Part, ...]
    # Expected seconds until the first event; 0 for plain services.
    expected_first_s: float = 0.0
    # Counts the request's attempts, from 1.
    number: int = 0
    # Seconds that the upstream may work on it, from when it is written; no more
    # than are left until the request's deadline.
    handed_s: float = math.inf
    # Whether the upstream must answer a health check before it is sent.
    needs_check: bool = False


@attrs.frozen
class RerouteDecision:
    """How a running request is rerouted around stalled engines."""

    # The new path, with the same first stage; None if there is none.
    parts: tuple[paths.Part, ...] | None
    # Whether its attempt is to be ended. It then counts as failed and may, for
    # example, resume in another data centre.
    is_ended: bool = False


Effect = Start | questions.Refuse


@attrs.define
class Counts:
    """Totals since the process started, for metrics."""

    arrived: int = 0
    started: int = 0
    queued: int = 0
    repeats: int = 0
    # Attempts at more upstreams than a route allows, of which some don't count.
    over_limit: int = 0
    refused: int = 0
    finished: int = 0


# Never modified, but not frozen as other messages are: a host decodes five
# thousand a second from peer updates, and freezing doubles the time per object.
@attrs.define
class Usage:
    """Use of one upstream by requests in flight."""

    count: int = 0
    # Request memory, in tokens times layers.
    room: float = 0.0
