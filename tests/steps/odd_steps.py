"""Steps on requests with odd fields and methods."""

from __future__ import annotations

import io
import random
import time
from typing import Any, Final

import hypothesis
from behave import then, when
from hypothesis import strategies

from egretspur import errors, web
from egretspur.delivery import buffers, intake
from egretspur.platform import ingress, names
from tests import fleets

# Fields of a request that a host reads.
FIELDS: Final = (
    names.REQUEST_ID,
    names.RESUME_AFTER,
    names.TOKENS,
    names.LENGTH_ESTIMATE,
    names.SEGMENTS,
    names.DEADLINE,
    names.API_KEY,
    "Host",
)

# Values near those that are proper, and any others that a field may have.
VALUES: Final = strategies.one_of(
    strategies.integers(0, 6000).map(lambda count: "9" * count),
    strategies.text("09\xb2\xb9,:af ", max_size=4),
    strategies.from_regex(r"[0-9]{0,400}(,[0-9]{0,400})?", fullmatch=True),
    strategies.from_regex(r"([0-9a-f]{0,40}:[0-9]{0,9},?)*", fullmatch=True),
    strategies.text(strategies.characters(max_codepoint=255), max_size=40),
)


class Site:
    """A host's intake, which answers what it accepts with the job's size."""

    def __init__(self) -> None:
        # Nothing is sent: only whether a request is accepted is of interest.
        self._intake = intake.Intake(
            None,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            random.Random(1),
            buffers.BodyBuffers(fleets.MEMORY_BYTES),
        )
        self._intake.configure(fleets.make_config())
        self.app = web.App()
        self.app.add("*", "/{rest*}", self._serve)

    def _serve(self, req: web.Request) -> web.Response:
        inbound = ingress.read_request(req)
        job = self._intake.make_job(inbound, time.monotonic())
        if isinstance(job, errors.Refusal):
            return web.reply_refusal(job)
        assert job.tokens >= 0.0
        return web.Response(200)


def ask(
    context: Any,
    app: web.App,
    method: str,
    path: str,
    fields: dict[str, str],
) -> None:
    """Sends a request; keeps status, fields and body of the answer."""
    environ: dict[str, Any] = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "wsgi.input": io.BytesIO(b"{}"),
    }
    for name, value in fields.items():
        environ[f"HTTP_{name.upper().replace('-', '_')}"] = value

    def start(status: str, headers: list[tuple[str, str]]) -> None:
        context.status = int(status.split(" ")[0])
        context.fields = dict(headers)

    context.body = b"".join(app(environ, start))


def ask_route(context: Any, fields: dict[str, str], method: str) -> None:
    """Sends a request on a route."""
    proper = {"Host": "desk.example", names.API_KEY: "Bearer key"}
    ask(context, Site().app, method, "/notes/x", {**proper, **fields})


@when('a request comes with "{field}" of {digits:d} digits')
def step_digits(context: Any, field: str, digits: int) -> None:
    number = "9" * digits
    fields = {names.TOKENS: "20,20", field: number}
    if field == names.TOKENS:
        fields[field] = f"20,{number}"
    ask_route(context, fields, "POST")


@when('a request comes with the method "{method}"')
def step_method(context: Any, method: str) -> None:
    ask_route(context, {}, method)


@then('it is answered {status:d}, and the answer names "{named}"')
@then('it is answered {status:d}, and the answer names ""')
def step_named(context: Any, status: int, named: str = "") -> None:
    assert context.status == status, (context.status, context.body)
    assert named.encode() in context.body, context.body


@when("requests come with any values of the fields that a host reads")
def step_any(context: Any) -> None:
    context.errors_500 = []

    @hypothesis.settings(
        max_examples=600, derandomize=True, database=None, deadline=None
    )
    @hypothesis.given(
        strategies.dictionaries(strategies.sampled_from(FIELDS), VALUES)
    )
    def run(fields: dict[str, str]) -> None:
        ask_route(context, fields, "POST")
        if context.status >= 500:
            context.errors_500.append((fields, context.body))

    run()


@then("none of them is answered 500")
def step_none(context: Any) -> None:
    assert not context.errors_500, (
        len(context.errors_500),
        context.errors_500[:3],
    )


@when('the page "{path}" of methods GET and PUT is asked for with "{method}"')
def step_page(context: Any, path: str, method: str) -> None:
    app = web.App()
    for name in ("GET", "PUT"):
        app.add(name, "/pages/{name}", lambda req: web.Response(200))
    ask(context, app, method, path, {})


@then('it is answered {status:d}, and allows "{allowed}"')
@then('it is answered {status:d}, and allows ""')
def step_allows(context: Any, status: int, allowed: str = "") -> None:
    assert context.status == status, context.status
    assert context.fields.get("Allow", "") == allowed, context.fields
