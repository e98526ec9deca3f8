"""Calls to plain services, repeatable or not.

A repeatable call that fails is tried at another replica, up to a limit of
attempts. A non-repeatable call is claimed in the log and sent once. If its
answer is lost, the service is queried for the outcome, where it has a path for
that.
"""

from __future__ import annotations

import logging
import uuid
from typing import Final

import attrs

from egretspur import errors, settings, transport
from egretspur.admission import fingerprint, quarantine
from egretspur.claims import actor as claim_actor
from egretspur.claims import table
from egretspur.clients import fields
from egretspur.clients import service as services
from egretspur.routing import actor as traffics
from egretspur.routing import tables

_LOG: Final = logging.getLogger(__name__)

# Attempts at a repeatable call.
CALL_ATTEMPTS: Final = 2


@attrs.frozen
class Call:
    """A call with its workspace and request id."""

    workspace: str
    service: str
    # The caller's id, or one that the router generated.
    request_id: str
    # False if the id was generated here, so that no other call can have it.
    has_caller_id: bool
    call: services.ServiceCall

    @property
    def fingerprint(self) -> str:
        """Identifies the same call under another request id."""
        sent = self.call
        return fingerprint.compute(
            self.workspace, self.service, sent.method, sent.path, sent.body
        )


@attrs.frozen
class Answered:
    """The service's answer and the replica that sent it."""

    reply: transport.Reply
    upstream: str


Result = Answered | errors.Refusal


class CallRunner:
    """Runs calls to plain services."""

    def __init__(
        self,
        name: str,
        service_settings: tuple[settings.ServiceSettings, ...],
        traffic: traffics.Traffic,
        claims: claim_actor.Claims,
        client: services.ServiceClient,
    ) -> None:
        self._name = name
        self._opts = {o.name: o for o in service_settings}
        self._traffic = traffic
        self._claims = claims
        self._client = client

    def run(self, call: Call) -> Result:
        """Runs one call; returns its answer, or a refusal with the reason."""
        opts = self._opts.get(call.service)
        if opts is None:
            return errors.Refusal(
                errors.ErrorKind.UNKNOWN_SERVICE, repr(call.service)
            )
        if self._traffic.is_quarantined(call.fingerprint):
            return errors.Refusal(
                errors.ErrorKind.QUARANTINED,
                "replicas crashed under this call before",
                quarantine.RETRY_AFTER_S,
            )
        if is_non_repeatable(opts, call.call.method, call.call.path):
            return self._run_non_repeatable(call, opts)
        return self._run_repeatable(call)

    def _run_repeatable(self, call: Call) -> Result:
        last: transport.Failed | None = None
        limited: list[str] = []
        replicas = self._traffic.get_replicas(call.service)
        # A single replica is tried twice: a middlebox may have dropped the
        # pooled connection of the first attempt, and the pool is empty by now.
        for upstream in (replicas * CALL_ATTEMPTS)[:CALL_ATTEMPTS]:
            if not self._traffic.acquire_permit(upstream.name):
                limited.append(upstream.name)
                continue
            res = self._client.call(upstream.address, call.call)
            self._report_call(upstream, call, res)
            if not isinstance(res, transport.Failed):
                self._report_result(upstream, res)
                return Answered(res, upstream.name)
            if not res.is_timeout or last is not None:
                self._report_result(upstream, res)
            last = res
        if last is None and limited:
            return self._refuse_limited(call.service, limited)
        if last is None:
            return _refuse_no_replica(call)
        return errors.Refusal(
            errors.ErrorKind.UPSTREAM_FAILED
            if last.maybe_sent
            else errors.ErrorKind.NO_ROUTE,
            last.reason,
            retry_after_s=1.0,
        )

    def _run_non_repeatable(
        self, call: Call, opts: settings.ServiceSettings
    ) -> Result:
        replicas = self._traffic.get_replicas(call.service)
        if not replicas:
            return _refuse_no_replica(call)
        if not call.has_caller_id:
            # No other arrival can have an id that was generated here, so the
            # call needs no claim.
            return self._send_once(call, opts, replicas, None)
        claim = table.Claim(
            f"{self._name}-{uuid.uuid4().hex}",
            f"{call.workspace}/{call.service}/{call.request_id}",
            self._name,
        )
        verdict = self._claims.claim(claim)
        if isinstance(verdict, table.Taken):
            return self._resolve_taken_claim(call, opts, replicas, verdict)
        if isinstance(verdict, errors.Refusal):
            if opts.log_outage != "run":
                # The log may hold the claim although the append's answer was
                # lost. It is released, since its call is not sent.
                self._claims.release(claim)
                return verdict
            _LOG.warning(
                "claims unavailable; call sent without a claim",
                extra={"request": call.request_id, "service": call.service},
            )
        return self._send_once(call, opts, replicas, claim)

    def _send_once(
        self,
        call: Call,
        opts: settings.ServiceSettings,
        replicas: list[tables.Upstream],
        claim: table.Claim | None,
    ) -> Result:
        limited: list[str] = []
        for upstream in replicas:
            if not self._traffic.acquire_permit(upstream.name):
                limited.append(upstream.name)
                continue
            res = self._client.call(upstream.address, call.call)
            self._report_result(upstream, res)
            self._report_call(upstream, call, res)
            if not isinstance(res, transport.Failed):
                return Answered(res, upstream.name)
            if res.maybe_sent:
                return self._resolve_lost_answer(call, opts, upstream, res)
        if claim is not None:
            self._claims.release(claim)
        if limited:
            return self._refuse_limited(call.service, limited)
        return errors.Refusal(
            errors.ErrorKind.NO_ROUTE,
            "no replica accepted a connection",
            retry_after_s=1.0,
        )

    def _resolve_lost_answer(
        self,
        call: Call,
        opts: settings.ServiceSettings,
        upstream: tables.Upstream,
        failed: transport.Failed,
    ) -> Result:
        """Queries the outcome of a call whose answer was lost.

        The replica that the call was sent to is queried first, then the
        others, since replicas of one service usually share their state. The
        call is never sent again, even if no replica knows it: it may still be
        in transit.
        """
        others = self._traffic.get_replicas(call.service)
        asked = [upstream, *(u for u in others if u.name != upstream.name)]
        found = self._ask_outcome(call, opts, asked)
        if found is not None:
            return found
        return errors.Refusal(
            errors.ErrorKind.OUTCOME_UNKNOWN,
            failed.reason,
            ask_for=call.request_id,
        )

    def _resolve_taken_claim(
        self,
        call: Call,
        opts: settings.ServiceSettings,
        replicas: list[tables.Upstream],
        taken: table.Taken,
    ) -> Result:
        found = self._ask_outcome(call, opts, replicas)
        if found is not None:
            return found
        return errors.Refusal(
            errors.ErrorKind.ALREADY_CLAIMED,
            f"accepted by {taken.by}",
            ask_for=call.request_id,
        )

    def _ask_outcome(
        self,
        call: Call,
        opts: settings.ServiceSettings,
        replicas: list[tables.Upstream],
    ) -> Answered | None:
        if not opts.outcome_path:
            return None
        for upstream in replicas:
            if not self._traffic.acquire_permit(upstream.name):
                continue
            res = self._client.get_outcome(
                upstream.address, opts.outcome_path, call.request_id
            )
            if isinstance(res, transport.Failed) or res.status != 200:
                continue
            return Answered(res, upstream.name)
        return None

    def _refuse_limited(self, service: str, limited: list[str]) -> Result:
        """Refuses a call, with the delay that the limited replicas ask for."""
        return errors.Refusal(
            errors.ErrorKind.UPSTREAM_LIMITED,
            f"{len(limited)} replicas at their limits, or in backoff",
            self._traffic.get_retry_after_s(service, tuple(limited)),
        )

    def _report_call(
        self,
        upstream: tables.Upstream,
        call: Call,
        res: transport.Reply | transport.Failed,
    ) -> None:
        """Reports the end of a call that the replica may have begun to run."""
        is_answered = not isinstance(res, transport.Failed)
        if isinstance(res, transport.Failed) and not res.maybe_sent:
            return
        self._traffic.tell(
            traffics.NoteCall(upstream.name, call.fingerprint, is_answered)
        )

    def _report_result(
        self,
        upstream: tables.Upstream,
        res: transport.Reply | transport.Failed,
    ) -> None:
        if isinstance(res, transport.Reply):
            answer = fields.read(res.status, res.headers)
            self._traffic.note_signals(upstream.name, answer)
        self._traffic.tell(
            traffics.NoteService(
                upstream.name, not isinstance(res, transport.Failed)
            )
        )


def is_non_repeatable(
    opts: settings.ServiceSettings, method: str, path: str
) -> bool:
    """Returns True if the settings list a call as non-repeatable."""
    call = f"{method} {path.partition('?')[0]}"
    return any(call.startswith(prefix) for prefix in opts.never_repeat)


def _refuse_no_replica(call: Call) -> errors.Refusal:
    return errors.Refusal(
        errors.ErrorKind.NO_ROUTE,
        f"service {call.service!r} has no live replica",
        retry_after_s=1.0,
    )
