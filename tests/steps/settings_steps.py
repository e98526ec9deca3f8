"""Steps on settings files."""

from __future__ import annotations

import contextlib
import io
import pathlib
import subprocess
import sys
import tempfile
from typing import Any

from behave import given, then, when

from egretspur.cli import main as cli


@given("a router settings file with")
def step_file(context: Any) -> None:
    folder = pathlib.Path(tempfile.mkdtemp())
    context.file = folder / "router.toml"
    context.file.write_text(context.text.replace("\\n", "\n"))


@when("the router is started with it")
def step_start(context: Any) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "egretspur.daemons.router", str(context.file)],
        capture_output=True,
        text=True,
        timeout=30,
    )
    context.code, context.message = done.returncode, done.stderr


@when("the settings file is checked with the command line")
def step_check(context: Any) -> None:
    err = io.StringIO()
    with contextlib.redirect_stderr(err):
        context.code = cli.main(["settings", "check", str(context.file)])
    context.message = err.getvalue()


@then("it exits with code {code:d}")
def step_code(context: Any, code: int) -> None:
    assert context.code == code, (context.code, context.message)


@then('it names the keys "{keys}"')
def step_keys(context: Any, keys: str) -> None:
    lines = context.message.strip().splitlines()
    found = {line.split(": ")[1] for line in lines}
    assert found == set(keys.split(", ")), found


@then('the message has "{text}"')
def step_message(context: Any, text: str) -> None:
    assert text in context.message, context.message
