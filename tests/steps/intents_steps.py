"""Steps on intents, plans, outages and checkpoints."""

from __future__ import annotations

import concurrent.futures
import json
import re
import time
from typing import Any

from behave import given, then, when

from egretspur import transport
from tests import scene, stage
from tests.fakes import engine

# Bytes of a layer that takes the weight store most of a second.
SLOW_LAYER = 400_000_000

PLACES = ("kl-hall", "pg-hall")
CONTROLS = ("kl-1", "kl-2", "pg-1", "pg-2")


@given("two data centres with two entry hosts each")
def step_places(context: Any) -> None:
    play = scene.Scene()
    context.play = play
    play.start_platform()
    start_box(play)
    for place in PLACES:
        short = place[:2]
        for rack in ("r1", "r2"):
            play.start_engine(f"{short}-{rack}-a", place, "fast", 20, rack)
            play.start_engine(f"{short}-{rack}-b", place, "slow", 16, rack)
        for number in (1, 2):
            if short == "pg":
                play.control_cfg = {"platform": {"log": play.middlebox_address}}
            play.start_entry(f"{short}-{number}", place)
    play.control_cfg = {}
    wait_leases(play, CONTROLS, 2)


def start_box(play: scene.Scene) -> None:
    """Starts a middlebox between one data centre and the log."""
    target = play.processes["log"].address
    play.start("box", "tests.fakes.middlebox", "--target", target)
    play.middlebox_address = play.call("GET", "box", "/address")["address"]


def wait_leases(
    play: scene.Scene, controls: tuple[str, ...], count: int
) -> None:
    """Waits until control daemons know the holders of all leases."""
    for name in controls:
        wait_lease(play, name, count)


def wait_lease(play: scene.Scene, control: str, count: int) -> None:
    """Waits until one control daemon knows the holders of all leases."""

    def is_known() -> bool:
        status = play.call("GET", control, "/v1/status")
        return len(status["leases"]) == count

    stage.wait_until(is_known, 30, f"leases known to {control}")


@given("an intent in force in both")
def step_both(context: Any) -> None:
    context.active = context.play.put_in_force(
        "kl-1", "grooms", list(PLACES), replicas=1
    )


@given('an intent in force in "{place}"')
def step_one(context: Any, place: str) -> None:
    context.active = context.play.put_in_force(
        context.control, "grooms", [place], replicas=2
    )


@when(
    'operators "{first}" and "{second}" make conflicting plans and confirm'
    " at once"
)
def step_conflict(context: Any, first: str, second: str) -> None:
    play = context.play
    plans = [
        play.make_intent(control, who, ["kl-hall"], operator=who, replicas=2)
        for control, who in (("kl-1", first), ("pg-1", second))
    ]
    context.plans = plans
    stage.wait_until(
        lambda: all(
            play.run_cli(c, "plan", "show", p["id"])[0] == 0
            for c, p in zip(("kl-1", "kl-2"), plans, strict=True)
        ),
        10,
        "both plans known to both daemons",
    )
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        context.results = list(
            pool.map(
                lambda item: confirm(play, *item),
                [("kl-1", plans[0], first), ("kl-2", plans[1], second)],
            )
        )


def confirm(
    play: scene.Scene, control: str, plan: dict[str, Any], operator: str
) -> tuple[int, str]:
    """Confirms a plan by HTTP; returns the status and the text."""
    res = play.conns.call(
        "POST",
        play.processes[control].address,
        f"/v1/plans/{plan['id']}/confirm",
        b"{}",
        {"X-Operator": operator},
    )
    assert isinstance(res, transport.Reply), res
    return res.status, res.body.decode()


@then("exactly one confirmation wins")
def step_one_wins(context: Any) -> None:
    statuses = sorted(status for status, _ in context.results)
    assert statuses == [200, 409], context.results


@then("the other is told which intent came first, with exit code {code:d}")
def step_told(context: Any, code: int) -> None:
    won = [s for s, _ in context.results].index(200)
    text = context.results[1 - won][1]
    assert context.plans[won]["intent"] in text, text
    again = context.play.run_cli(
        "kl-1", "plan", "confirm", context.plans[1 - won]["id"]
    )
    assert again[0] == code, again


@when("an operator confirms one plan twice")
def step_twice(context: Any) -> None:
    plan = context.play.make_intent("kl-1", "grooms", ["kl-hall"])
    context.plan = plan
    first = context.play.run_cli("kl-1", "plan", "confirm", plan["id"])
    assert first[0] == 0, first
    context.second = context.play.run_cli("kl-2", "plan", "confirm", plan["id"])


@then("the second confirmation is refused with exit code {code:d}")
def step_second(context: Any, code: int) -> None:
    assert context.second[0] == code, context.second


@then("the plan comes into force once")
def step_in_force_once(context: Any) -> None:
    context.play.wait_active("kl-1", context.plan["id"])
    assert get_history(context, "kl-1").count("in force") == 1


@when("a plan is made, then another one takes its hosts, then it is confirmed")
def step_stale(context: Any) -> None:
    play = context.play
    old = play.make_intent("kl-1", "grooms", ["kl-hall"], replicas=2)
    play.put_in_force("kl-1", "tailors", ["kl-hall"], replicas=2)
    context.second = play.run_cli("kl-1", "plan", "confirm", old["id"])


@then("the confirmation is refused with exit code {code:d}")
def step_refused(context: Any, code: int) -> None:
    assert context.second[0] == code, context.second
    assert "plan make" in context.second[2], context.second


@then('"history" shows the conflict')
def step_history_conflict(context: Any) -> None:
    assert "conflict" in get_history(context, "kl-1")


def get_history(context: Any, control: str) -> list[str]:
    """Returns what was done, oldest first."""
    code, out, err = context.play.run_cli(control, "--json", "history")
    assert code == 0, err
    return [line["what"] for line in json.loads(out)]


@when("an operator puts an intent in force")
def step_put(context: Any) -> None:
    context.play.put_in_force("kl-1", "grooms", ["kl-hall"])


@then("the history shows it asked, planned, confirmed and in force once each")
def step_once_each(context: Any) -> None:
    history = get_history(context, "kl-1")
    for what in ("asked", "planned", "confirmed", "in force"):
        assert history.count(what) == 1, history


@when("an operator creates an intent")
def step_create(context: Any) -> None:
    path = context.play.folder / "wish.toml"
    path.write_text(
        'workspace = "w"\nmodel = "tailor-llm"\nversion = "v1"\n'
        'data_centres = ["kl-hall"]\npriority = 1\nreplicas = 1\n'
    )
    context.result = context.play.run_cli("kl-1", "intent", "create", str(path))


@then('the command says "outcome unknown" with an id and exit code {code:d}')
def step_unknown(context: Any, code: int) -> None:
    found, _, err = context.result
    assert found == code, context.result
    match = re.search(r"egretspur outcome (r-\w+)", err)
    assert match, err
    context.record_id = match.group(1)


@when("the log is back")
def step_back(context: Any) -> None:
    context.play.call("POST", "log", "/faults", {"down": False})


@then("the outcome of that id can be looked up")
def step_look_up(context: Any) -> None:
    def look() -> str:
        code, out, _ = context.play.run_cli(
            "kl-2", "outcome", context.record_id
        )
        return out if code == 0 else ""

    out = stage.wait_until(look, 10, "outcome")
    # The stand-in refuses while it is down, so nothing took effect.
    assert "is not in the log" in out, out


@when("an operator asks for a version that the weight store doesn't have")
def step_no_version(context: Any) -> None:
    context.plan = context.play.make_intent(
        "kl-1", "grooms", ["kl-hall"], version="v9"
    )


@then("the plan says what is not met and nothing can be confirmed")
def step_unmet(context: Any) -> None:
    assert "v9" in context.plan["findings"]["unmet"][0], context.plan
    code, _, err = context.play.run_cli(
        "kl-1", "plan", "confirm", context.plan["id"]
    )
    assert code == 1 and "serves nothing" in err, err


@when("a slow plan is confirmed and withdrawn")
def step_withdraw(context: Any) -> None:
    play = context.play
    play.put_model("slow-llm", SLOW_LAYER)
    play.grow_engines(20 * SLOW_LAYER)
    plan = make_slow_plan(play, "kl-1", "grooms", 5)
    code, _, err = play.run_cli("kl-1", "plan", "confirm", plan["id"])
    assert code == 0, err
    stage.wait_until(lambda: count_loading(play) > 0, 10, "loads begun")
    code, _, err = play.run_cli("kl-1", "plan", "reject", plan["id"])
    assert code == 0, err


def make_slow_plan(
    play: scene.Scene, control: str, workspace: str, priority: int
) -> dict[str, Any]:
    """Makes a plan whose loads take some seconds."""
    return play.make_intent(
        control,
        workspace,
        ["kl-hall"],
        model="slow-llm",
        priority=priority,
    )


def count_loading(play: scene.Scene) -> int:
    """Returns how many engines load or hold anything."""
    count = 0
    for name, process in play.processes.items():
        is_engine = "-r1-" in name or "-r2-" in name or name[:2] == "r1"
        if is_engine and process.popen.poll() is None:
            status = play.call("GET", name, "/status")
            count += bool(status["loading"] or status["holdings"])
    return count


@then("no engine keeps layers of it")
def step_no_layers(context: Any) -> None:
    stage.wait_until(
        lambda: count_loading(context.play) == 0, 30, "loads undone"
    )


@then('"history" shows who withdrew it')
def step_who(context: Any) -> None:
    _, out, _ = context.play.run_cli("pg-1", "history")
    assert re.search(r"rejected\s+ann", out), out


@when("an operator confirms a further intent")
@when('an operator confirms a further intent for "{place}"')
def step_further(context: Any, place: str = "") -> None:
    play = context.play
    places = [place] if place else list(PLACES)
    plan = play.make_intent("kl-1", "lawyers", places)
    code, _, err = play.run_cli("kl-1", "plan", "confirm", plan["id"])
    assert code == 0, err
    context.confirmed_s = time.monotonic()
    context.plan = plan


@then("it is in force in every router within {seconds:d} s")
def step_within(context: Any, seconds: int) -> None:
    context.play.wait_active("kl-1", context.plan["id"])
    took = time.monotonic() - context.confirmed_s
    assert took < seconds, took


@then("callers in both data centres are served")
def step_served(context: Any) -> None:
    for name in ("kl-1-router", "pg-1-router"):
        answer = context.play.complete(name, "grooms", "still here", 8)
        expected = engine.make_text("still here", scene.VERSION, 8)
        assert answer.whole and answer.text == expected, answer


@then('"status" warns that the data centres are cut off')
def step_warns(context: Any) -> None:
    def get_warning() -> bool:
        out: str = context.play.run_cli("kl-1", "status")[1]
        return out.count("cut off from the platform's log") == 2

    stage.wait_until(get_warning, 15, "warning in status")


@when('control daemon "{name}" and its router are replaced')
def step_replaced(context: Any, name: str) -> None:
    play = context.play
    for process in (f"{name}-router", name):
        play.processes[process].kill()
    play.start_entry(name, "kl-hall")
    context.router = f"{name}-router"


@then("the replaced router serves callers")
def step_replaced_serves(context: Any) -> None:
    def is_served() -> bool:
        answer = context.play.complete(context.router, "grooms", "new", 8)
        return bool(answer.whole)

    stage.wait_until(is_served, 15, "replaced router serving")


@when("all control daemons are killed")
def step_all_killed(context: Any) -> None:
    for name in CONTROLS:
        context.play.processes[name].kill()


@when('data centre "{place}" is cut off from the log')
def step_cut(context: Any, place: str) -> None:
    context.play.call("POST", "box", "/faults", {"cut": True})


@when('data centre "{place}" is joined again')
def step_join(context: Any, place: str) -> None:
    context.play.wait_active("kl-1", context.plan["id"])
    context.play.call("POST", "box", "/faults", {"cut": False})


@then("all hosts reach the same offset and digest within {seconds:d} s")
def step_same(context: Any, seconds: int) -> None:
    def are_same() -> bool:
        found = set()
        for name in CONTROLS:
            config = context.play.call("GET", name, "/state")["config"]
            config.pop("parts_seen")
            found.add(json.dumps(config, sort_keys=True))
        return len(found) == 1

    stage.wait_until(are_same, seconds, "equal states")


@given("two hosts before a log that keeps records for {seconds:d} s")
def step_short_log(context: Any, seconds: int) -> None:
    play = scene.Scene()
    context.play = play
    context.control = "kl-1"
    play.control_cfg = {"platform": {"retention_s": seconds}}
    play.start_platform("--retention-s", str(seconds))
    for rack in ("r1", "r2"):
        play.start_engine(f"{rack}-a", "kl-hall", "fast", 20, rack)
        play.start_engine(f"{rack}-b", "kl-hall", "slow", 16, rack)
    play.start_entry("kl-1", "kl-hall")
    play.start_control("kl-2", "kl-hall")
    wait_leases(play, ("kl-1", "kl-2"), 1)


@when("{seconds:d} s pass")
def step_pass(context: Any, seconds: int) -> None:
    time.sleep(seconds)


@when("the log is out for {seconds:d} s")
def step_out(context: Any, seconds: int) -> None:
    context.play.call("POST", "log", "/faults", {"down": True})
    time.sleep(seconds)
    context.play.call("POST", "log", "/faults", {"down": False})


@when("every control daemon but one is killed once a checkpoint is back")
def step_checkpoint_back(context: Any) -> None:
    def has_checkpoint() -> bool:
        found = context.play.call("GET", "log", "/streams/config?limit=999")
        return any(r[1]["type"] == "CheckpointPart" for r in found["records"])

    stage.wait_until(has_checkpoint, 15, "checkpoint written back")
    context.play.processes["kl-2"].kill()


@when("every control daemon is killed and one starts anew")
def step_anew(context: Any) -> None:
    for name in ("kl-1", "kl-2"):
        context.play.processes[name].kill()
    context.play.call("DELETE", "hosts", "/hosts/kl-2")
    context.play.start_control("kl-1", "kl-hall")


@when('control daemon "{name}" is replaced and holds the intent')
def step_replace_one(context: Any, name: str) -> None:
    context.play.processes[name].kill()
    context.play.start_control(name, "kl-hall")
    wait_held(context.play, name)


@then("it holds the intent")
def step_holds(context: Any) -> None:
    wait_held(context.play, "kl-1")


def wait_held(play: scene.Scene, control: str) -> None:
    """Waits until a control daemon holds the intent in force."""

    def holds() -> bool:
        code, out, _ = play.run_cli(control, "intent", "list")
        return code == 0 and "grooms" in out and "active" in out

    stage.wait_until(holds, 15, "intent held by the new process")
