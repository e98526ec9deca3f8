"""Steps on plays against the second stand-in of the store."""

from __future__ import annotations

import collections
from typing import Any, Final

from behave import given, then, when

from tests.strange import judge, play, versions

# Host of the scenarios in which one answer is judged.
HOST: Final = "127.0.0.1"

# Time between two troubles that do not overlap: all hosts are in touch again.
APART_S: Final = (6.0, 7.0)


@when(
    "seed {seed:d} is played for {seconds:g} s by eight hosts of three data"
    " centres"
)
def step_play(context: Any, seed: int, seconds: float) -> None:
    context.play = play.Play(seed)
    context.verdicts = context.play.run(seconds)


@when(
    "seed {seed:d} is played for {seconds:g} s by eight hosts of three data"
    ' centres, with "{kind}" alone'
)
def step_play_kind(context: Any, seed: int, seconds: float, kind: str) -> None:
    context.play = play.Play(seed, [kind], pause_s=APART_S)
    context.verdicts = context.play.run(seconds)


@then("no host in touch serves an older configuration after {after_s:g} s")
def step_none_old(context: Any, after_s: float) -> None:
    assert after_s == judge.APPLY_S, after_s
    breaches = [v for v in context.verdicts if v.is_breach]
    assert not breaches, breaches


@then("each host answered {count:d} times or more")
def step_asked(context: Any, count: int) -> None:
    asked = collections.Counter(a.host for a in context.play.answers)
    assert len(asked) == len(context.play.site.addresses), asked
    assert min(asked.values()) >= count, asked


@given(
    "versions of which the second one adds a route, acknowledged at {at_s:g} s"
)
def step_versions(context: Any, at_s: float) -> None:
    question = versions.Question("added", "key")
    first = versions.Version(2, {"kept": "desk"}, ("key",), question)
    second = versions.Version(
        3, {"kept": "desk", "added": "till"}, ("key",), question
    )
    context.written = [
        judge.Written(first, 0.0, 0.0),
        judge.Written(second, at_s, at_s),
    ]
    context.answers = []


def answer(context: Any, shown: str, sent_s: float) -> None:
    """Adds an answer to a request for the route that was added."""
    question = context.written[1].version.question
    context.answers.append(
        judge.Answer(HOST, 1, question, sent_s, sent_s + 0.01, shown)
    )


@when("a host answers 404 for that route to a request sent at {sent_s:g} s")
@when("another one answers 404 to a request sent at {sent_s:g} s")
@when("the same host answers 404 to a request sent at {sent_s:g} s")
def step_not_found(context: Any, sent_s: float) -> None:
    answer(context, versions.NO_ROUTE, sent_s)


@when("a host runs a request for that route at {sent_s:g} s")
def step_run(context: Any, sent_s: float) -> None:
    answer(context, "till", sent_s)


def is_breach(context: Any, index: int, *troubles: judge.Trouble) -> bool:
    """Returns whether an answer breaks the rule."""
    verdicts = judge.Judge(context.written, troubles).judge(context.answers)
    found = context.answers[index]
    return any(v.is_breach for v in verdicts if v.answer == found)


@then("the first answer keeps the rule and the second one breaks it")
def step_second(context: Any) -> None:
    assert not is_breach(context, 0)
    assert is_breach(context, 1)


@then("the second answer breaks the rule")
def step_regressed(context: Any) -> None:
    assert is_breach(context, 1)


@then("the second one keeps it if the host stood still until {until_s:g} s")
def step_in_touch(context: Any, until_s: float) -> None:
    for ended_s, is_expected in ((until_s, False), (until_s - 0.2, True)):
        stood = judge.Trouble("stop", (HOST,), ended_s - 1.0, ended_s)
        assert is_breach(context, 1, stood) == is_expected, ended_s
        other = judge.Trouble("stop", ("127.0.0.2",), ended_s - 1.0, ended_s)
        assert is_breach(context, 1, other)
