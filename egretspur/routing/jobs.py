"""Messages between request threads and the `Broker`."""

from __future__ import annotations

import enum

import attrs

from egretspur.catalog import config, upstreams
from egretspur.routing import paths, questions


@attrs.frozen
class Job:
    """A caller's request as decisions see it."""

    id: str
    route: config.Route
    service: str
    workspace: str
    # 0 is the most urgent.
    priority: int
    # Request memory wanted on each layer, in tokens; 0 for plain services.
    tokens: float
    # Monotonic times.
    arrived_s: float
    deadline_s: float
    # The same for the same request under another id, at any host; see
    # `egretspur.admission.fingerprint`.
    fingerprint: str = ""


class Why(enum.Enum):
    """How an attempt ended that brought no answer."""

    # Nothing was sent: no connection.
    UNREACHABLE = "unreachable"
    # The upstream's word that it has not run the request.
    REFUSED = "refused"
    # Another upstream has the address, or an engine lacks its layers.
    MISDIRECTED = "misdirected"
    # Sent, and the connection broke, fell silent or made no sense.
    CUT = "cut"
    # An answer came that tells of a failure.
    FAILED = "failed"


@attrs.frozen
class Failure:
    """A failed attempt."""

    id: str
    why: Why
    reason: str
    # Ids of upstreams known to be at fault; empty if any on the path may be.
    blamed: tuple[str, ...] = ()
    # The caller has a part of the answer.
    is_begun: bool = False
    # This attempt brought a part of it.
    has_brought: bool = False


@attrs.frozen
class Start:
    """Effect: send the request to this upstream."""

    id: str
    upstream: upstreams.Upstream
    # Empty for plain services.
    parts: tuple[paths.Part, ...]


@attrs.frozen
class Detour:
    """How a running request gets past stages that hold it up."""

    # The path it is to go on over, with the same first stage; None if there
    # is none.
    parts: tuple[paths.Part, ...] | None
    # Its attempt is to be ended; what follows is decided as after a failed
    # one, such as to go on within another data centre.
    is_ended: bool = False


Effect = Start | questions.Refuse


@attrs.define
class Counts:
    """Totals since the start, for metrics."""

    arrived: int = 0
    started: int = 0
    queued: int = 0
    repeats: int = 0
    refused: int = 0
    finished: int = 0


# Not frozen, as other messages are: a host makes five thousand a second of what
# its neighbours tell, and freezing doubles the time that takes. Nobody changes
# one.
@attrs.define
class Usage:
    """What requests in flight use of one upstream."""

    count: int = 0
    # Request memory, in tokens times layers.
    room: float = 0.0
