"""Callers' requests as the platform's balancer hands them on."""

from __future__ import annotations

import uuid
from typing import Final

from egretspur import web
from egretspur.delivery import forward, intake
from egretspur.platform import decode, names

# Fields of one connection, the key, and what the product sets itself.
_NOT_PASSED: Final = frozenset(
    n.title()
    for n in (
        *names.CONNECTION_FIELDS,
        "expect",
        names.KEY,
        names.DEADLINE,
        names.EXPECTED_UPSTREAM,
        names.WORKSPACE,
        names.PATH,
        names.PRIORITY,
        names.RESUME_AFTER,
    )
)

_BEARER: Final = "bearer "


def read_request(req: web.Request) -> intake.InboundRequest:
    """Returns a request in the product's terms."""
    fields = req.get_headers()
    target = req.get_target()
    tokens = decode.decode_tokens(
        fields.get(names.TOKENS, ""), fields.get(names.LENGTH_ESTIMATE, "")
    )
    call = forward.Call(
        # One without an id can't be passed on; it is given one of its own.
        id=fields.get(names.REQUEST_ID) or uuid.uuid4().hex[:16],
        method=req.method,
        target=target,
        headers={n: v for n, v in fields.items() if n not in _NOT_PASSED},
        body=req.read_body(),
        resume_after=fields.get(names.RESUME_AFTER, ""),
    )
    return intake.InboundRequest(
        call=call,
        host=fields.get("Host", ""),
        path=target.partition("?")[0],
        key=_read_key(fields.get(names.KEY, "")),
        caller_timeout_s=_read_patience(fields.get(names.DEADLINE, "")),
        prompt_tokens=tokens.prompt if tokens else 0,
        max_answer_tokens=tokens.longest if tokens else 0,
        expected_answer_tokens=tokens.estimate if tokens else 0,
    )


def _read_key(value: str) -> str:
    if value.lower().startswith(_BEARER):
        return value[len(_BEARER) :].strip()
    return ""


def _read_patience(value: str) -> float | None:
    return int(value) / 1000 if value.isdigit() else None
