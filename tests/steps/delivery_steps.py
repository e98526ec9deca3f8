"""Steps on answers and the faults of stages."""

from __future__ import annotations

import concurrent.futures
import itertools
import json
from typing import Any

from behave import given, then, when

from tests import scene
from tests.fakes import engine

PROMPT = "notes for order 17"


def start_data_centre(context: Any, entries: int = 1) -> scene.Scene:
    """Starts a data centre with two chains of two engines."""
    play = scene.Scene()
    context.play = play
    play.start_platform()
    for rack in ("r1", "r2"):
        play.start_engine(f"{rack}-a", "kl-hall", "fast", 20, rack)
        play.start_engine(f"{rack}-b", "kl-hall", "slow", 16, rack)
    for number in range(1, entries + 1):
        play.start_entry(f"kl-{number}", "kl-hall")
    return play


@given("a data centre with two chains of two engines in force")
def step_in_force(context: Any) -> None:
    play = start_data_centre(context)
    play.put_in_force("kl-1", "grooms", ["kl-hall"], replicas=2)


@when(
    "a caller reads {early:d} tokens of {count:d} and the first stage is killed"
)
def step_kill(context: Any, early: int, count: int) -> None:
    res = context.play.open_completion("kl-1-router", "grooms", PROMPT, count)
    context.victim = res.headers["X-Pipeline"].split(":")[0]
    lines = scene.read_lines(res)
    head = list(itertools.islice((x for x in lines if x), early))
    context.play.processes[context.victim].kill()
    rest = [x for x in lines if x]
    context.count = count
    context.answers = [parse(head + rest)]


def parse(lines: list[str]) -> scene.Answer:
    """Returns the answer in the lines of an event stream."""
    text = ""
    pipeline = ""
    for line in lines:
        if line.startswith("data: {"):
            data = json.loads(line[6:])
            text += data["choices"][0]["text"] if "choices" in data else ""
            pipeline = data.get("pipeline", pipeline)
    whole = "data: [DONE]" in lines
    return scene.Answer(200, text, whole, {}, pipeline, {})


@when('the last stage of one chain has fault "{fault}" set to {value}')
def step_fault(context: Any, fault: str, value: str) -> None:
    context.play.call("POST", "r1-b", "/faults", {fault: json.loads(value)})


@when("{callers:d} callers ask for {count:d} tokens each")
def step_ask(context: Any, callers: int, count: int) -> None:
    ask(context, callers, count)


def ask(context: Any, callers: int, count: int) -> None:
    """Lets callers ask at once and keeps their answers."""
    context.count = count
    with concurrent.futures.ThreadPoolExecutor(callers) as pool:
        context.answers = list(
            pool.map(
                lambda _: context.play.complete(
                    "kl-1-router", "grooms", PROMPT, count
                ),
                range(callers),
            )
        )


@then("the answer is whole and in order")
@then("every answer is whole and in order")
def step_whole(context: Any) -> None:
    expected = engine.make_text(PROMPT, scene.VERSION, context.count)
    for answer in context.answers:
        assert answer.status == 200, answer
        assert answer.text == expected, answer
        assert answer.whole, answer


@then("the answer was resumed without the killed stage")
def step_elsewhere(context: Any) -> None:
    assert context.victim not in context.answers[0].pipeline
