"""Decodes callers' requests as the platform's load balancer forwards them."""

from __future__ import annotations

import uuid
from typing import Final

from egretspur import web
from egretspur.delivery import intake, sending
from egretspur.platform import decode, names

# Header fields not forwarded to upstreams: hop-by-hop fields, the key, and
# fields that the product sets itself.
_DROPPED_HEADERS: Final = frozenset(
    n.title()
    for n in (
        *names.CONNECTION_FIELDS,
        "expect",
        names.API_KEY,
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
    """Decodes a caller's request.

    Raises:
        codec.DecodeError: A field has a value that it can't have.
    """
    fields = req.get_headers()
    target = req.get_target()
    tokens = decode.decode_tokens(
        fields.get(names.TOKENS, ""), fields.get(names.LENGTH_ESTIMATE, "")
    )
    call = sending.Call(
        id=read_id(req),
        method=req.method,
        target=target,
        headers={n: v for n, v in fields.items() if n not in _DROPPED_HEADERS},
        body=req.read_body(),
        resume_after=fields.get(names.RESUME_AFTER, ""),
    )
    return intake.InboundRequest(
        call=call,
        host=fields.get("Host", ""),
        path=target.partition("?")[0],
        key=_read_key(fields.get(names.API_KEY, "")),
        began_s=req.get_began_s(),
        caller_timeout_s=decode.decode_deadline_s(
            fields.get(names.DEADLINE, "")
        ),
        prompt_tokens=tokens.prompt if tokens else 0,
        max_answer_tokens=tokens.max_output if tokens else 0,
        expected_answer_tokens=tokens.estimate if tokens else 0,
        segments=decode.decode_segments(fields.get(names.SEGMENTS, "")),
    )


def read_id(req: web.Request) -> str:
    """Returns a request's id; a new one if it has none.

    Upstreams require an id.
    """
    return req.get_header(names.REQUEST_ID) or uuid.uuid4().hex[:16]


def _read_key(value: str) -> str:
    if value.lower().startswith(_BEARER):
        return value[len(_BEARER) :].strip()
    return ""
