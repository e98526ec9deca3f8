"""Steps on a host process whose store comes back from an older copy."""

from __future__ import annotations

import json
import time
from typing import Any

import urllib3
from behave import then, when

from tests import stage
from tests.steps import host_steps


@when("the store comes back from a copy of {back_s:d} s ago")
def step_copy(context: Any, back_s: int) -> None:
    # The first configuration and the first entries of all are in the copy.
    keep = {"keyed.op": 1, "keyed.servers": 6}
    data = {"back_s": back_s, "keep": keep}
    context.play.stage.call("POST", "store", "/copy", data)


@when("an upstream leaves")
def step_leaves(context: Any) -> None:
    host_steps.step_upstream_leaves(context)


@then(
    "within {seconds:g} s the host knows that it left, and no request reaches"
    " it"
)
def step_known(context: Any, seconds: float) -> None:
    process = context.play.stage.processes["127.0.0.1"]

    def is_gone() -> bool:
        lines = [json.loads(n) for n in process.lines if '"s4"' in n]
        return any(n.get("state") == "gone" for n in lines)

    # That some requests go elsewhere may be chance.
    stage.wait_until(is_gone, seconds, "the host reads that it left")
    host_steps.step_no_reach(context, seconds)


@then('for {seconds:d} s "{path}" with key "{key}" is answered {status:d}')
def step_for(
    context: Any, seconds: int, path: str, key: str, status: int
) -> None:
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        res = context.play.ask(path, key)
        res.read()
        assert res.status == status, res.status
        time.sleep(0.05)


@then('within {seconds:g} s it answers "{path}" with key "{key}" {status:d}')
def step_within(
    context: Any, seconds: float, path: str, key: str, status: int
) -> None:
    def is_answered() -> bool:
        try:
            res = context.play.ask(path, key, "127.0.0.2")
            res.read()
        except urllib3.exceptions.HTTPError:
            return False
        return bool(res.status == status)

    stage.wait_until(is_answered, seconds, f"{path} is {status}")


@then('it answers "{path}" with key "{key}" {status:d}')
def step_other(context: Any, path: str, key: str, status: int) -> None:
    res = context.play.ask(path, key, "127.0.0.2")
    res.read()
    assert res.status == status, res.status


@then("for {seconds:d} s no request reaches it")
def step_no_reach(context: Any, seconds: int) -> None:
    before = len(context.play.stage.call("GET", "s4", "/runs"))
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        host_steps.step_times(context, "/cards/x", 2, "key-1")
        time.sleep(0.05)
    assert len(context.play.stage.call("GET", "s4", "/runs")) == before


@then(
    "the host logs the copy in one line, and its metrics show the store's era"
)
def step_tells(context: Any) -> None:
    process = context.play.stage.processes["127.0.0.1"]

    def list_lines() -> list[dict[str, Any]]:
        return [json.loads(n) for n in process.lines if "store_copied" in n]

    stage.wait_until(list_lines, 4.0, "the line")
    lines = list_lines()
    assert [(n["before"], n["era"]) for n in lines] == [(1, 2)], lines
    assert lines[0]["kept"]["keyed.op"] == ["config"], lines
    text = host_steps.get_page(context, "/metrics").decode()
    found = [n for n in text.splitlines() if n.startswith("egretspur_store")]
    assert any(n.split()[-1] in ("2", "2.0") for n in found), found
