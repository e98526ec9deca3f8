"""Steps on output that shows a prompt to be harmless."""

from __future__ import annotations

from typing import Any

from behave import given, then

from egretspur.delivery import output


def play(words: list[str]) -> list[str]:
    """Returns the words at which an answer becomes established."""
    attempt = output.AttemptOutput()
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
    context.found = play([] if words == "none" else words.split())


@then('its answer is established by "{word}"')
def step_established(context: Any, word: str) -> None:
    wanted = [] if word == "never" else [word]
    assert context.found == wanted, context.found
