"""Turns a caller's request into a job: route, workspace and deadline.

Requests that no upstream can serve are refused here. Read next:
`egretspur.delivery.forward`.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from typing import Any, Final

import attrs

from egretspur import decisions, errors, web
from egretspur.admission import fingerprint, room
from egretspur.catalog import config
from egretspur.delivery import buffers, forward, sending
from egretspur.routing import desk, jobs

# Retry-After of a host that has no configuration yet.
STARTING_RETRY_AFTER_S: Final = 0.5

# Retry-After of a host that is stopping; the retry goes to another host,
# which is ready.
STOPPING_RETRY_AFTER_S: Final = 0.05

# Retry-After of a request whose time was over before a thread took it up, as it
# is where all threads are busy.
LATE_RETRY_AFTER_S: Final = 1.0


@attrs.frozen
class InboundRequest:
    """A caller's request as received."""

    call: sending.Call
    host: str
    # Path without the query.
    path: str
    # API key; empty if the caller sent none.
    key: str
    # Monotonic time at which its first byte arrived.
    began_s: float
    # Seconds that the caller waits for its answer; None if not stated.
    caller_timeout_s: float | None
    # Sizes of a request for a model, in tokens; 0 for others: the prompt, the
    # largest answer allowed and the answer expected.
    prompt_tokens: int
    max_answer_tokens: int
    expected_answer_tokens: int
    # Prompt segments that other requests may share, in their order.
    segments: tuple[str, ...] = ()


class AnswerInterruptedError(ConnectionAbortedError):
    """A streamed answer ended early; aborts the caller's connection."""


class Intake:
    """Serves callers' requests."""

    def __init__(
        self,
        to: desk.Desk,
        sender: sending.AttemptSender,
        watch: forward.Watch,
        rng: random.Random,
        bodies: buffers.BodyBuffers,
        retry_after_decimals: int = 0,
    ) -> None:
        """Makes an intake without a configuration.

        Args:
            to: Decides about requests.
            sender: Sends them to upstreams.
            watch: Watches streams for silence.
            rng: Draws the targets of split routes.
            bodies: Bounds the memory of plain answers.
            retry_after_decimals: Decimal places of Retry-After that the
                callers' clients read.
        """
        self._bodies = bodies
        self._decimals = retry_after_decimals
        self._desk = to
        self._sender = sender
        self._watch = watch
        self._rng = rng
        self._cfg: config.Configuration | None = None
        self._lock = threading.Lock()
        self._is_stopping = False
        self.in_flight = 0

    def configure(self, cfg: config.Configuration) -> None:
        """Sets the configuration of later requests."""
        self._cfg = cfg

    def stop(self) -> None:
        """Refuses new requests; running ones continue.

        Otherwise a request that arrives late in a stop on a keep-alive
        connection is started, and cut off when the process exits.
        """
        self._is_stopping = True

    def serve(self, inbound: InboundRequest, req: web.Request) -> web.Response:
        """Serves one request."""
        job = self.make_job(inbound, time.monotonic())
        if isinstance(job, errors.Refusal):
            return self.refuse(inbound.call.id, job)
        if job.arrived_s >= job.deadline_s:
            return self.refuse(inbound.call.id, _make_late_refusal(inbound))
        self._record_admitted(job, inbound.began_s)
        forwarder = forward.Forwarder(
            inbound.call,
            job,
            self._desk,
            self._sender,
            self._bodies,
            self._watch,
        )
        with self._lock:
            self.in_flight += 1
        req.on_disconnect(forwarder.abandon)
        try:
            res = forwarder.begin()
        except BaseException:
            self._end(forwarder)
            raise
        if isinstance(res, errors.Refusal):
            forwarder.record_end(0, None)
            self._end(forwarder)
            return web.reply_refusal(res, self._decimals)
        if isinstance(res, forward.CompleteAnswer):
            forwarder.record_end(res.status, None)
            self._end(forwarder)
            return web.Response(res.status, dict(res.headers), res.body)
        body = _StreamBody(forwarder, self._end)
        return web.Response(res.status, dict(res.headers), body)

    def refuse(self, request: str, refusal: errors.Refusal) -> web.Response:
        """Refuses a request that was not admitted."""
        decisions.record(
            decisions.RequestRefused(
                request,
                refusal.kind.value,
                refusal.reason,
                refusal.retry_after_s,
                0.0,
            )
        )
        return web.reply_refusal(refusal, self._decimals)

    def make_job(
        self, inbound: InboundRequest, now_s: float
    ) -> jobs.Job | errors.Refusal:
        """Returns the job of a request, or why it is refused."""
        if self._is_stopping:
            return errors.Refusal(
                errors.ErrorKind.STOPPING, "stop signal", STOPPING_RETRY_AFTER_S
            )
        cfg = self._cfg
        if cfg is None:
            return errors.Refusal(
                errors.ErrorKind.NOT_CONFIGURED,
                "starting",
                STARTING_RETRY_AFTER_S,
            )
        route = cfg.find_route(inbound.host, inbound.path)
        if route is None:
            return errors.Refusal(errors.ErrorKind.NOT_FOUND, "no such route")
        workspace = config.Workspace("", None)
        if cfg.keys is not None and not route.is_public:
            found = cfg.keys.get(inbound.key)
            if found is None:
                return errors.Refusal(errors.ErrorKind.UNKNOWN_KEY, "key")
            workspace = found
        service = config.choose_service(route, self._rng)
        deadline_s = _compute_deadline_s(inbound, route)
        priority = workspace.priority
        return jobs.Job(
            id=inbound.call.id,
            route=route,
            service=service,
            workspace=workspace.name,
            priority=route.priority if priority is None else priority,
            tokens=_estimate_tokens(cfg.services.get(service), inbound),
            arrived_s=now_s,
            deadline_s=deadline_s,
            fingerprint=_compute_fingerprint(inbound, workspace),
            segments=_scope_segments(cfg.services.get(service), inbound),
        )

    def _record_admitted(self, job: jobs.Job, began_s: float) -> None:
        version = self._cfg.version if self._cfg else 0
        decisions.record(
            decisions.RequestAdmitted(
                job.id,
                job.route.name,
                job.service,
                job.workspace,
                job.priority,
                job.tokens,
                job.deadline_s - job.arrived_s,
                version,
                job.fingerprint,
                job.segments[: decisions.MAX_NAMED],
                job.arrived_s - began_s,
            )
        )

    def _end(self, forwarder: forward.Forwarder) -> None:
        forwarder.close()
        with self._lock:
            self.in_flight -= 1


def _compute_fingerprint(
    inbound: InboundRequest, workspace: config.Workspace
) -> str:
    """Returns the fingerprint that is the same for retries of a request.

    It contains the workspace instead of the API key, since a workspace may
    have several keys and public routes need none.
    """
    call = inbound.call
    return fingerprint.compute(
        workspace.name,
        inbound.host.lower(),
        call.method,
        call.target,
        call.body,
    )


def _make_late_refusal(inbound: InboundRequest) -> errors.Refusal:
    """Returns the refusal of a request whose time is over already."""
    held_s = time.monotonic() - inbound.began_s
    return errors.Refusal(
        errors.ErrorKind.DEADLINE,
        f"began to arrive {held_s:.1f} s ago",
        LATE_RETRY_AFTER_S,
    )


def _compute_deadline_s(inbound: InboundRequest, route: config.Route) -> float:
    """Returns the monotonic time at which a request ends at the latest.

    Its time begins with its first byte: its caller waits from then on, also
    while the request comes slowly or waits for a thread.
    """
    wait_s = route.timeout_s
    if inbound.caller_timeout_s is not None:
        wait_s = min(wait_s, inbound.caller_timeout_s)
    return inbound.began_s + wait_s


def _scope_segments(
    service: config.Service | None, inbound: InboundRequest
) -> tuple[str, ...]:
    """Returns a prompt's segments with the model that is to read them.

    A segment that crashes the engines of one model may be harmless to another.
    """
    if service is None or service.engine is None:
        return ()
    model = service.engine.model
    return tuple(f"{model}/{s}" for s in inbound.segments)


def _estimate_tokens(
    service: config.Service | None, inbound: InboundRequest
) -> float:
    if service is None or service.engine is None:
        return 0.0
    spec = service.engine
    return room.estimate_tokens(
        inbound.prompt_tokens or spec.typical_prompt_tokens,
        inbound.max_answer_tokens,
        inbound.expected_answer_tokens,
        spec.typical_answer_tokens,
    )


class _StreamBody:
    """The body of a streamed answer."""

    def __init__(
        self,
        forwarder: forward.Forwarder,
        end: Callable[[forward.Forwarder], None],
    ) -> None:
        self._forwarder = forwarder
        self._end = end

    def push(self, write: Callable[[bytes], Any]) -> None:
        """Writes the events.

        Raises:
            AnswerInterruptedError: The stream ended early.
        """
        refusal: errors.Refusal | None = None
        try:
            refusal = self._forwarder.run(write)
        except web.CallerDisconnected:
            self._forwarder.is_caller_gone = True
            raise
        finally:
            self._forwarder.record_end(200, refusal)
            self._end(self._forwarder)
        if refusal is not None:
            raise AnswerInterruptedError(refusal.reason)
