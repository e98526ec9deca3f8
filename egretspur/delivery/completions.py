"""The completions API: JSON requests, JSON or server-sent event responses.

The format is the OpenAI-style one that existing clients use, plus two headers
of this product, `WORKSPACE` and `PIPELINE`.
"""

from __future__ import annotations

import uuid
from collections.abc import Callable
from typing import Any, Final

import orjson

from egretspur import codec, errors, web
from egretspur.admission import fingerprint, segments
from egretspur.delivery import relay

WORKSPACE: Final = "X-Workspace"
REQUEST_ID: Final = "X-Request-Id"
PIPELINE: Final = "X-Pipeline"

DEFAULT_MAX_TOKENS: Final = 256

# Longer request ids from callers are replaced by new ones.
MAX_ID_CHARS: Final = 128

EVENTS_TYPE: Final = "text/event-stream"

# Unread bytes of an answer above which its caller counts as gone.
MAX_BACKLOG_BYTES: Final = 1_000_000

RelayFactory = Callable[[relay.Prompt, web.Request], relay.Relay]


class Completions:
    """Handler of ``POST /v1/completions``."""

    def __init__(self, make_relay: RelayFactory) -> None:
        self._make_relay = make_relay

    def handle(self, req: web.Request) -> web.Response:
        """Serves one completion."""
        request_id = get_request_id(req)
        parsed = parse_prompt(req, request_id)
        if isinstance(parsed, errors.Refusal):
            return _add_id(web.reply_refusal(parsed), request_id)
        prompt, is_stream = parsed
        job = self._make_relay(prompt, req)
        # No header is sent before the first tokens arrive, so a request that
        # fails before them gets an error status.
        try:
            first = job.begin()
            if isinstance(first, errors.Refusal):
                job.close()
                return _add_id(web.reply_refusal(first), request_id)
            if not is_stream:
                return _collect(request_id, prompt, job, first)
        except BaseException:
            job.close()
            raise
        headers = {
            "Content-Type": EVENTS_TYPE,
            "Cache-Control": "no-store",
            REQUEST_ID: request_id,
            PIPELINE: job.pipeline,
        }
        body = EventBody(request_id, prompt, job, first, req.count_unsent)
        return web.Response(200, headers, body)


class EventBody:
    """The server-sent events of one answer."""

    def __init__(
        self,
        request_id: str,
        prompt: relay.Prompt,
        job: relay.Relay,
        first: list[str] | relay.Completion,
        get_backlog: Callable[[], int],
    ) -> None:
        self._relay = job
        self._first = first
        self._get_backlog = get_backlog
        head = orjson.dumps(
            {
                "id": request_id,
                "object": "text_completion",
                "model": prompt.model,
            }
        )
        # Built once, so that only the text is encoded for each token.
        self._head = b"data: " + head[:-1] + b',"choices":[{"index":0,"text":'
        self._tail = b',"finish_reason":null}]}\n\n'

    def push(self, write: Callable[[bytes], Any]) -> None:
        """Writes the events; returns at the end of the answer."""

        def write_tokens(texts: list[str]) -> None:
            if self._get_backlog() > MAX_BACKLOG_BYTES:
                # The pump thread serves all callers and must not block on
                # this one.
                raise relay.SlowCallerError(
                    f"more than {MAX_BACKLOG_BYTES} bytes unread"
                )
            # Tokens that arrived together are sent as one event.
            text = texts[0] if len(texts) == 1 else "".join(texts)
            write(self._head + orjson.dumps(text) + self._tail)

        try:
            if isinstance(self._first, relay.Completion):
                write(_format_end(self._first))
                return
            write_tokens(self._first)
            result = self._relay.run(write_tokens)
            if isinstance(result, relay.Completion):
                write(_format_end(result))
            else:
                error = codec.dump_json(web.describe_refusal(result))
                write(b"event: error\ndata: " + error + b"\n\n")
        finally:
            self._relay.close()


def _format_end(completion: relay.Completion) -> bytes:
    last = {
        "choices": [{"index": 0, "text": "", "finish_reason": "stop"}],
        "usage": {"completion_tokens": completion.count},
        "pipeline": completion.pipeline,
    }
    return b"data: " + orjson.dumps(last) + b"\n\ndata: [DONE]\n\n"


def get_request_id(req: web.Request) -> str:
    """Returns the caller's request id, or a new one."""
    given = req.get_header(REQUEST_ID)
    if given and len(given) <= MAX_ID_CHARS and given.isprintable():
        return given
    return uuid.uuid4().hex


def parse_prompt(
    req: web.Request, request_id: str
) -> tuple[relay.Prompt, bool] | errors.Refusal:
    """Returns the prompt and whether to stream, or the refusal."""
    workspace = req.get_header(WORKSPACE)
    if not workspace:
        return errors.Refusal(
            errors.ErrorKind.BAD_REQUEST, f"header {WORKSPACE} is missing"
        )
    try:
        data = codec.load_json(req.read_body())
    except codec.DecodeError as exc:
        return errors.Refusal(errors.ErrorKind.BAD_REQUEST, str(exc))
    problem = find_body_error(data)
    if problem:
        return errors.Refusal(errors.ErrorKind.BAD_REQUEST, problem)
    max_tokens = data.get("max_tokens", DEFAULT_MAX_TOKENS)
    prompt = relay.Prompt(
        # The response carries the caller's id; the internal id must be unique
        # even if a caller sends two requests with the same id at once.
        f"{request_id}.{uuid.uuid4().hex[:8]}",
        workspace,
        data["model"],
        data["prompt"],
        max_tokens,
        fingerprint.compute(
            workspace, data["model"], data["prompt"], str(max_tokens)
        ),
        segments.split_text(data["model"], data["prompt"]),
    )
    return prompt, data.get("stream", False)


def find_body_error(data: Any) -> str:
    """Returns what is invalid in a request body; empty if nothing is."""
    if not isinstance(data, dict):
        return "the body is not a JSON object"
    for name in ("model", "prompt"):
        if not isinstance(data.get(name), str):
            return f"{name!r} must be a string"
    tokens = data.get("max_tokens", DEFAULT_MAX_TOKENS)
    if type(tokens) is not int or tokens < 1:
        return "'max_tokens' must be a whole number of at least 1"
    if not isinstance(data.get("stream", False), bool):
        return "'stream' must be true or false"
    return ""


def _collect(
    request_id: str,
    prompt: relay.Prompt,
    job: relay.Relay,
    first: list[str] | relay.Completion,
) -> web.Response:
    texts: list[str] = []
    result: relay.Result
    if isinstance(first, relay.Completion):
        result = first
    else:
        texts.extend(first)
        result = job.run(texts.extend)
    job.close()
    if isinstance(result, errors.Refusal):
        return _add_id(web.reply_refusal(result), request_id)
    body = {
        "id": request_id,
        "object": "text_completion",
        "model": prompt.model,
        "choices": [
            {"index": 0, "text": "".join(texts), "finish_reason": "stop"}
        ],
        "usage": {"completion_tokens": result.count},
    }
    headers = {
        "Content-Type": web.JSON_TYPE,
        REQUEST_ID: request_id,
        PIPELINE: job.pipeline,
    }
    return web.Response(200, headers, codec.dump_json(body))


def _add_id(res: web.Response, request_id: str) -> web.Response:
    res.headers[REQUEST_ID] = request_id
    return res
