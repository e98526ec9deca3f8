"""The closed list of error kinds and the response for each kind.

Every refusal in the product is a `Refusal` with one of these kinds, so that one
table defines the HTTP status, the "not run" promise and the user's message.
Decision code returns a `Refusal` instead of raising. Read next:
`egretspur.web`, which turns a refusal into an HTTP response.
"""

from __future__ import annotations

import enum
from typing import Final

import attrs


class ErrorKind(enum.Enum):
    """Every way in which a request or a command can be refused."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_KEY = "unknown_key"
    TIMED_OUT = "timed_out"
    LIMIT_REACHED = "limit_reached"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NO_ROUTE = "no_route"
    UPSTREAM_LIMITED = "upstream_limited"
    NOT_CONFIGURED = "not_configured"
    STOPPING = "stopping"
    QUARANTINED = "quarantined"
    UPSTREAM_FAILED = "upstream_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ALREADY_CLAIMED = "already_claimed"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    LOG_UNAVAILABLE = "log_unavailable"
    CONFLICT = "conflict"
    WRONG_STATE = "wrong_state"
    CALLER_GONE = "caller_gone"
    INTERNAL = "internal"


@attrs.frozen
class Answer:
    """Response to a caller or operator for one error kind."""

    # HTTP status code.
    status: int
    # True only if no upstream can have started the request.
    not_run: bool
    # True if the caller may send the same request again.
    may_repeat: bool
    # Text for the user; the refusal's reason follows it.
    message: str


ANSWERS: Final[dict[ErrorKind, Answer]] = {
    ErrorKind.BAD_REQUEST: Answer(
        400, True, False, "The request is malformed; correct it."
    ),
    ErrorKind.TOO_LARGE: Answer(
        413, True, False, "The request exceeds a size limit; make it smaller."
    ),
    ErrorKind.NOT_FOUND: Answer(
        404, True, False, "There is nothing by this name; check the name."
    ),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(
        405, True, False, "Nothing by this name takes this method; see Allow."
    ),
    ErrorKind.UNKNOWN_MODEL: Answer(
        404,
        True,
        False,
        "No confirmed intent serves this model for this workspace.",
    ),
    ErrorKind.UNKNOWN_SERVICE: Answer(
        404, True, False, "No service with this name is configured."
    ),
    ErrorKind.UNKNOWN_KEY: Answer(
        401, True, False, "The key is missing or belongs to no workspace."
    ),
    ErrorKind.TIMED_OUT: Answer(
        504, False, True, "There was no answer before the request's deadline."
    ),
    ErrorKind.LIMIT_REACHED: Answer(
        429, True, True, "The workspace is at its limit; try again later."
    ),
    ErrorKind.QUEUE_FULL: Answer(
        503, True, True, "All upstreams are busy and the queue is full."
    ),
    ErrorKind.DEADLINE: Answer(
        503, True, True, "The request can't be started before its deadline."
    ),
    ErrorKind.NO_ROUTE: Answer(
        503, True, True, "No complete chain of upstreams is available."
    ),
    ErrorKind.UPSTREAM_LIMITED: Answer(
        503, True, True, "Upstreams accept no more requests for now; try later."
    ),
    ErrorKind.NOT_CONFIGURED: Answer(
        503, True, True, "This process has not read its configuration yet."
    ),
    ErrorKind.STOPPING: Answer(
        503, True, True, "This process is stopping; other hosts serve."
    ),
    # A 503 instead of a client error: the request may only have run beside the
    # one that crashed the upstreams, and other hosts may know that already.
    ErrorKind.QUARANTINED: Answer(
        503,
        True,
        False,
        "Upstreams crashed while running this request; it is not sent again"
        " until an operator releases it.",
    ),
    ErrorKind.UPSTREAM_FAILED: Answer(
        502, False, True, "Upstreams failed after the request was sent."
    ),
    ErrorKind.OUTCOME_UNKNOWN: Answer(
        504,
        False,
        False,
        "The request was sent once and its outcome is unknown; look it up"
        " by its id before sending it again.",
    ),
    ErrorKind.ALREADY_CLAIMED: Answer(
        409,
        False,
        False,
        "A request with this id was accepted before; it is not run again.",
    ),
    ErrorKind.CLAIMS_UNAVAILABLE: Answer(
        503,
        True,
        True,
        "Calls that must not be repeated are refused while the log is down.",
    ),
    ErrorKind.LOG_UNAVAILABLE: Answer(
        503, False, True, "The platform's log service does not answer."
    ),
    ErrorKind.CONFLICT: Answer(
        409, True, False, "Another change came first; make a new plan."
    ),
    ErrorKind.WRONG_STATE: Answer(
        409, True, False, "The plan is not in a state that allows this."
    ),
    ErrorKind.CALLER_GONE: Answer(
        499, False, True, "The caller closed the connection."
    ),
    ErrorKind.INTERNAL: Answer(
        500, False, True, "Internal error; see the log of this process."
    ),
}


@attrs.frozen
class Refusal:
    """Returned by decision code instead of a result."""

    kind: ErrorKind
    # What happened, with the relevant names and numbers.
    reason: str
    # Seconds after which a retry makes sense; 0 if unknown.
    retry_after_s: float = 0.0
    # Id under which the outcome can be looked up; empty if there is none.
    ask_for: str = ""

    @property
    def answer(self) -> Answer:
        """The row of the answer table for this kind."""
        return ANSWERS[self.kind]
