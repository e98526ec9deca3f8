"""Steps on the commands about requests in quarantine."""

from __future__ import annotations

import json
from typing import Any

from behave import given, then, when

from egretspur import codec, transport
from egretspur.admission import fingerprint
from egretspur.routing import tables
from tests import scene, stage
from tests.steps import delivery_steps

CONTROLS = ("kl-1", "kl-2")
STONE = "a prompt that ends engines"
TOKENS = 4


@given("a data centre with two entry hosts in force")
def step_two_hosts(context: Any) -> None:
    play = delivery_steps.start_data_centre(context, entries=2)
    play.put_in_force("kl-1", "grooms", ["kl-hall"], replicas=2)
    for control in CONTROLS:
        wait_answered(context, control, "chest 98")


def ask(context: Any, control: str, prompt: str) -> transport.Reply:
    """Asks a host's router for a short answer."""
    body = {"model": scene.MODEL, "prompt": prompt, "max_tokens": TOKENS}
    res = context.play.conns.call(
        "POST",
        context.play.processes[f"{control}-router"].address,
        "/v1/completions",
        json.dumps(body).encode(),
        {"X-Workspace": "grooms", "Content-Type": "application/json"},
    )
    assert isinstance(res, transport.Reply), res
    return res


def wait_answered(context: Any, control: str, prompt: str) -> None:
    """Waits until a host answers a prompt."""
    stage.wait_until(
        lambda: ask(context, control, prompt).status == 200,
        what=f"{control} answers {prompt!r}",
    )


def wait_held(context: Any, control: str) -> None:
    """Waits until a host's router knows of the prompt.

    Asked for before that it is answered, which lets it go everywhere.
    """
    router = f"{control}-router"

    def is_known() -> bool:
        state = context.play.call("GET", router, "/state")
        return context.name in state["traffic"]["quarantine"]

    stage.wait_until(is_known, what=f"{router} has it in quarantine")


@when(
    "the router of one host reports that {count:d} engines crashed under a"
    " prompt"
)
def step_report(context: Any, count: int) -> None:
    context.name = fingerprint.compute(
        "grooms", scene.MODEL, STONE, str(TOKENS)
    )
    ends = {f"start-{i}": 1.0 for i in range(count)}
    report = tables.RouterReport(
        context.play.processes["kl-1-router"].address,
        0,
        0,
        1,
        (),
        {},
        {context.name: ends},
    )
    res = context.play.conns.call(
        "POST",
        context.play.processes["kl-1"].address,
        "/router/report",
        codec.dump(report),
    )
    assert res.status == 200, res


@then("the prompt is refused at both hosts, and other prompts are answered")
def step_refused(context: Any) -> None:
    for control in CONTROLS:
        wait_held(context, control)
        res = ask(context, control, STONE)
        assert res.status == 503, res
        assert res.headers["Retry-After"] == "60"
        wait_answered(context, control, "waist 82")


def list_held(context: Any, control: str) -> list[str]:
    """Returns the fingerprints that the command line lists."""
    code, out, err = context.play.run_cli(
        control, "--json", "quarantine", "list"
    )
    assert not code, err
    return [h["fingerprint"] for h in json.loads(out)]


@then("the command line lists it at both hosts")
def step_listed(context: Any) -> None:
    for control in CONTROLS:
        assert list_held(context, control) == [context.name]


@when("an operator releases it at the other host")
def step_release(context: Any) -> None:
    code, out, err = context.play.run_cli(
        "kl-2", "quarantine", "release", context.name
    )
    assert not code, err
    assert context.name in out


@then("the prompt is answered at both hosts")
def step_answered(context: Any) -> None:
    for control in CONTROLS:
        wait_answered(context, control, STONE)


@then("the command line lists none, and refuses to release an unknown one")
def step_none(context: Any) -> None:
    for control in CONTROLS:
        code, out, _ = context.play.run_cli(control, "quarantine", "list")
        assert (code, out) == (0, "no request is in quarantine\n"), out
    code, _, err = context.play.run_cli("kl-1", "quarantine", "release", "x")
    assert code == 1
    assert "nothing by this name" in err, err
