"""From a caller's request to its job: route, workspace, limits of time.

Refuses at once what no upstream need see. Read next:
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
from egretspur.delivery import forward
from egretspur.routing import desk, jobs

# Seconds after which to ask again a host that has just started.
STARTING_S: Final = 0.5

# Seconds after which to come back to another host; it is ready now.
STOPPING_S: Final = 0.05


@attrs.frozen
class Inbound:
    """A caller's request as it came."""

    call: forward.Call
    host: str
    # Path without the query.
    path: str
    # Empty if the caller sent none.
    key: str
    # How long the caller waits, in seconds; None if it doesn't say.
    patience_s: float | None
    # Sizes of a request for a model, in tokens; 0 for others.
    prompt: int
    longest: int
    estimate: int


class AnswerCutError(ConnectionAbortedError):
    """An answer ends early; the connection must not look complete."""


class Intake:
    """Serves callers' requests."""

    def __init__(
        self,
        to: desk.Desk,
        upstreams: forward.Upstreams,
        watch: forward.Watch,
        rng: random.Random,
    ) -> None:
        self._desk = to
        self._upstreams = upstreams
        self._watch = watch
        self._rng = rng
        self._cfg: config.Configuration | None = None
        self._lock = threading.Lock()
        self._is_stopping = False
        self.in_flight = 0

    def configure(self, cfg: config.Configuration) -> None:
        """Takes a configuration; it holds for requests that come later."""
        self._cfg = cfg

    def stop(self) -> None:
        """Refuses requests from now on; those under way go on.

        Symptom without it: a request that comes on a kept connection late in
        a stop is begun, and cut when the process must end.
        """
        self._is_stopping = True

    def serve(self, inbound: Inbound, req: web.Request) -> web.Response:
        """Answers one request."""
        job = self.make_job(inbound, time.monotonic())
        if isinstance(job, errors.Refusal):
            decisions.record(
                decisions.RequestRefused(
                    inbound.call.id,
                    job.kind.value,
                    job.reason,
                    job.retry_after_s,
                    0.0,
                )
            )
            return web.reply_refusal(job)
        self._record(job)
        run = forward.Forward(
            inbound.call, job, self._desk, self._upstreams, self._watch
        )
        with self._lock:
            self.in_flight += 1
        req.on_disconnect(run.leave)
        try:
            res = run.begin()
        except BaseException:
            self._end(run)
            raise
        if isinstance(res, errors.Refusal):
            run.record_end(0, None)
            self._end(run)
            return web.reply_refusal(res)
        if isinstance(res, forward.Whole):
            run.record_end(res.status, None)
            self._end(run)
            return web.Response(res.status, dict(res.headers), res.body)
        body = _StreamBody(run, self._end)
        return web.Response(res.status, dict(res.headers), body)

    def make_job(
        self, inbound: Inbound, now_s: float
    ) -> jobs.Job | errors.Refusal:
        """Returns the job of a request, or why there is none."""
        if self._is_stopping:
            return errors.Refusal(
                errors.ErrorKind.STOPPING, "stop signal", STOPPING_S
            )
        cfg = self._cfg
        if cfg is None:
            return errors.Refusal(
                errors.ErrorKind.NOT_CONFIGURED, "starting", STARTING_S
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
        wait_s = route.timeout_s
        if inbound.patience_s is not None:
            wait_s = min(wait_s, inbound.patience_s)
        priority = workspace.priority
        return jobs.Job(
            id=inbound.call.id,
            route=route,
            service=service,
            workspace=workspace.name,
            priority=route.priority if priority is None else priority,
            tokens=_estimate_tokens(cfg.services.get(service), inbound),
            arrived_s=now_s,
            deadline_s=now_s + wait_s,
            fingerprint=_compute_fingerprint(inbound, workspace),
        )

    def _record(self, job: jobs.Job) -> None:
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
            )
        )

    def _end(self, run: forward.Forward) -> None:
        run.close()
        with self._lock:
            self.in_flight -= 1


def _compute_fingerprint(inbound: Inbound, workspace: config.Workspace) -> str:
    """Returns by what the request is known again.

    A workspace may have several keys; on public routes any caller may send it.
    """
    call = inbound.call
    return fingerprint.compute(
        workspace.name,
        inbound.host.lower(),
        call.method,
        call.target,
        call.body,
    )


def _estimate_tokens(service: config.Service | None, inbound: Inbound) -> float:
    if service is None or service.engine is None:
        return 0.0
    spec = service.engine
    return room.estimate_tokens(
        inbound.prompt or spec.typical_prompt_tokens,
        inbound.longest,
        inbound.estimate,
        spec.typical_answer_tokens,
    )


class _StreamBody:
    """A stream that is pushed to the caller."""

    def __init__(
        self, run: forward.Forward, end: Callable[[forward.Forward], None]
    ) -> None:
        self._run = run
        self._end = end

    def push(self, write: Callable[[bytes], Any]) -> None:
        """Writes the events.

        Raises:
            AnswerCutError: The stream ended early.
        """
        refusal: errors.Refusal | None = None
        try:
            refusal = self._run.run(write)
        except web.CallerDisconnected:
            self._run.is_gone = True
            raise
        finally:
            self._run.record_end(200, refusal)
            self._end(self._run)
        if refusal is not None:
            raise AnswerCutError(refusal.reason)
