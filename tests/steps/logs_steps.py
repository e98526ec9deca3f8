"""Steps on logs of decisions and on the story of a request."""

from __future__ import annotations

import contextlib
import io
import json
import logging
import os
import pathlib
import tempfile
import threading
import time
import typing
from typing import Any

import attrs
from behave import given, then, when

from egretspur import decisions, logs
from egretspur.cli import explain, main

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "OPERATIONS.md"

SAMPLES: dict[Any, Any] = {
    "str": "text",
    "int": 3,
    "float": 0.25,
    "float | None": None,
    "bool": True,
    "tuple[str, ...]": ("a", "b"),
    "dict[str, int]": {"a": 3},
    "dict[str, tuple[str, ...]]": {"a": ("b", "c")},
}


def make_decision(cls: type) -> Any:
    """Returns a decision of a class with sample values."""
    values = {f.name: SAMPLES[f.type] for f in attrs.fields(cls)}
    return cls(**values)


@attrs.define
class Log:
    """A logger with a bounded handler, closed with the scenario."""

    handler: logs.BoundedHandler
    files: list[Any] = attrs.Factory(list)

    def close(self) -> None:
        """Stops the handler."""
        for file in self.files:
            with contextlib.suppress(OSError):
                file.close()
        self.handler.close()

    def log(self, decision: Any) -> None:
        """Logs one decision through the handler."""
        fields = decisions.describe(decision)
        fields[decisions.ROUTINE_KEY] = isinstance(decision, decisions.ROUTINE)
        record = logging.LogRecord("x", logging.INFO, "", 0, "m", None, None)
        record.__dict__.update(fields)
        self.handler.emit(record)


@given("a log into a pipe that nobody reads")
def step_pipe(context: Any) -> None:
    read_end, write_end = os.pipe()
    reader, writer = os.fdopen(read_end, "r"), os.fdopen(write_end, "w")
    context.play = Log(logs.make_handler("t", writer), [reader])


@when("{count:d} lines are logged")
def step_many(context: Any, count: int) -> None:
    context.longest = 0.0
    decision = make_decision(decisions.PathChosen)
    for _ in range(count):
        began = time.monotonic()
        context.play.log(decision)
        context.longest = max(context.longest, time.monotonic() - began)


@then("none of them took longer than {seconds:g} s and lines were dropped")
def step_quick(context: Any, seconds: float) -> None:
    assert context.longest < seconds, context.longest
    assert context.play.handler.dropped > 1000, context.play.handler.dropped


class HeldStream(io.StringIO):
    """A stream whose first write waits until it is let go."""

    def __init__(self) -> None:
        super().__init__()
        self.entered = threading.Event()
        self.free = threading.Event()

    def write(self, text: str) -> int:
        """Writes once it may."""
        self.entered.set()
        self.free.wait(10.0)
        return super().write(text)


@given("a log that holds {count:d} lines and whose writer is blocked")
def step_held(context: Any, count: int) -> None:
    context.stream = HeldStream()
    context.play = Log(logs.make_handler("t", context.stream, count))
    context.play.log(make_decision(decisions.Started))
    assert context.stream.entered.wait(5.0)


@when(
    "{first:d} routine lines, {failures:d} lines of failures and"
    " {last:d} routine lines are logged"
)
def step_kinds(context: Any, first: int, failures: int, last: int) -> None:
    for cls, count in (
        (decisions.RequestAdmitted, first),
        (decisions.AttemptFailed, failures),
        (decisions.PathChosen, last),
    ):
        for _ in range(count):
            context.play.log(make_decision(cls))


@when("the writer resumes")
def step_goes_on(context: Any) -> None:
    context.stream.free.set()
    context.play.handler.close()
    context.lines = [
        json.loads(line) for line in context.stream.getvalue().splitlines()
    ]


@then("all {count:d} lines of failures are written")
def step_failures(context: Any, count: int) -> None:
    found = [n for n in context.lines if n.get("event") == "attempt_failed"]
    assert len(found) == count, context.lines


@then("{count:d} lines are counted as dropped, by kind")
def step_dropped(context: Any, count: int) -> None:
    notices = [n for n in context.lines if n["message"] == "lines dropped"]
    assert notices[0]["counts"] == {"request_admitted": 4, "path_chosen": 4}
    assert context.play.handler.dropped == count


@then("each kind has a name of its own and a page that describes its fields")
def step_page(context: Any) -> None:
    page = PAGE.read_text("utf-8")
    classes = typing.get_args(decisions.Decision)
    names = {decisions.make_event_name(c.__name__) for c in classes}
    assert len(names) == len(classes)
    missing = [n for n in sorted(names) if f"`{n}`" not in page]
    assert not missing, missing


@then("each kind is written as one JSON object with its fields")
def step_json(context: Any) -> None:
    stream = io.StringIO()
    context.play = Log(logs.make_handler("t", stream))
    classes = typing.get_args(decisions.Decision)
    for cls in classes:
        context.play.log(make_decision(cls))
    context.play.handler.close()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert len(lines) == len(classes)
    for line, cls in zip(lines, classes, strict=True):
        names = {f.name for f in attrs.fields(cls)}
        assert names <= set(line) and line["process"] == "t", line
        assert decisions.ROUTINE_KEY not in line


def parse_value(text: str) -> Any:
    """Returns a number where a text is one."""
    try:
        return float(text) if "." in text else int(text)
    except ValueError:
        return text


@given('the log of host "{host}"')
def step_log(context: Any, host: str) -> None:
    if not hasattr(context, "log_texts"):
        context.log_texts = []
    for row in context.table:
        seconds = float(row["at"])
        fields = dict(w.split("=", 1) for w in row["fields"].split())
        line = {k: parse_value(v) for k, v in fields.items()}
        line |= {
            "time": f"2026-01-01 00:00:{seconds:06.3f}".replace(".", ","),
            "process": host,
            "event": row["event"],
        }
        if "path" in line:
            line["path"] = str(line["path"]).replace(",", " ")
        if "failed" in line:
            line["failed"] = [line["failed"]]
        if row["request"]:
            line["request"] = row["request"]
        context.log_texts.append(f"  {seconds} {host} {json.dumps(line)}")


@given("broken lines in it")
def step_broken(context: Any) -> None:
    context.log_texts += [
        "{half a line",
        "no json at all",
        "",
        '{"event": "x"}',
    ]


@when('request "{request}" is explained')
def step_explain(context: Any, request: str) -> None:
    context.request = request
    context.story = explain.trace_request(request, context.log_texts)
    context.told = explain.format_trace(context.story)


@then('it names "{others}" as the same request')
def step_same(context: Any, others: str) -> None:
    assert f"the same request came as: {others}" in context.told, context.told


@then(
    'the story has {count:d} lines of request "{request}"'
    " in order of time, from both hosts"
)
@then(
    'the story has {count:d} lines of request "{request}"'
    ' in order of time, from host "{host}"'
)
def step_story(
    context: Any, count: int, request: str, host: str = "kl-1, kl-2"
) -> None:
    lines = context.story.lines
    assert len(lines) == count, lines
    assert all(n.fields["request"] == request for n in lines)
    assert [n.time_s for n in lines] == sorted(n.time_s for n in lines)
    assert context.told[0] == f"request r1 on {host}"


@then("it shows {count:d} change, of the configuration")
def step_configured(context: Any, count: int) -> None:
    changes = [n for n in context.told if " s * " in n]
    assert len(changes) == count, context.told
    assert "configuration applied" in changes[0], context.told


@then('it shows the change of "{shown}" and not the one of "{hidden}"')
def step_changes(context: Any, shown: str, hidden: str) -> None:
    text = "\n".join(context.told)
    assert f"* kl-2  upstream changed  upstream={shown}" in text, text
    assert f"upstream={hidden}" not in text


@then('it ends with "{end}"')
def step_end(context: Any, end: str) -> None:
    assert f"end: {end}" in context.told, context.told


@when(
    '`egretspur explain` is run for "{request}" with a file and for "{other}"'
)
def step_run(context: Any, request: str, other: str) -> None:
    out, err = io.StringIO(), io.StringIO()
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "log"
        path.write_text("\n".join(context.log_texts), "utf-8")
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            context.codes = [
                main.main(["explain", name, str(path)])
                for name in (request, other)
            ]
    context.err = err.getvalue()


@then(
    "it exits with {first:d} and {second:d} and says that {count:d} lines"
    " were skipped"
)
def step_codes(context: Any, first: int, second: int, count: int) -> None:
    assert context.codes == [first, second]
    assert f"{count} lines were skipped" in context.err, context.err
