"""Steps on output that shows a prompt to be harmless."""

from __future__ import annotations

from typing import Any

from behave import given, then

from egretspur.delivery import output


def play(attempt: output.AttemptOutput, words: list[str]) -> list[str]:
    """Returns the words at which an answer becomes established."""
    found = []
    for word in words:
        is_new = False
        if word == "next":
            attempt.begin()
        elif word == "end":
            is_new = attempt.note_end()
        else:
            is_new = attempt.note(float(word))
        if is_new:
            found.append(word)
            assert attempt.is_established
    return found


@given('an attempt with output at "{words}" s')
def step_attempt(context: Any, words: str) -> None:
    context.attempt = output.AttemptOutput()
    given_words = [] if words == "none" else words.split()
    context.found = play(context.attempt, given_words)


@then('its answer is established by "{word}"')
def step_established(context: Any, word: str) -> None:
    wanted = [] if word == "never" else [word]
    assert context.found == wanted, context.found


@then("its prompt counts as harmless")
def step_harmless(context: Any) -> None:
    assert context.attempt.is_established


@then("output for 2 s more is told once again")
def step_told_again(context: Any) -> None:
    found = play(context.attempt, ["8.5", "9.0", "9.5", "10.0", "10.5"])
    assert found == ["10.0"], found
