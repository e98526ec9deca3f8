"""Steps on what shows that upstreams read requests."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from egretspur.admission import arrivals
from egretspur.routing import proofs

SERVICE = "desk"


def send(context: Any, name: str, ago_s: float) -> arrivals.Sending:
    """Sends a request so long ago."""
    sending = arrivals.Sending()
    context.sent.send(sending, name, context.now_s - ago_s)
    return sending


@given('upstreams "{names}" that answered requests {ago_s:g} s ago')
def step_answered(context: Any, names: str, ago_s: float) -> None:
    context.now_s = 100.0
    context.names = set(names.split())
    context.sent = arrivals.Arrivals(10.0)
    context.proofs = proofs.ReadingProofs(context.sent)
    for name in context.names:
        sending = send(context, name, ago_s + 0.05)
        context.sent.settle(sending, context.now_s - ago_s)


@given("answers that took {seconds:g} s")
def step_slow(context: Any, seconds: float) -> None:
    for name in context.names:
        context.sent.settle(send(context, name, seconds), context.now_s)


@when(
    '"{name}" leaves a retry unanswered for {seconds:g} s after a health check'
)
def step_unanswered(context: Any, name: str, seconds: float) -> None:
    sending = send(context, name, 0.0)
    sending.is_checked = True
    context.retry = sending
    context.now_s += seconds
    list_usable(context)


@when('"{name}" fails a request')
def step_failed(context: Any, name: str) -> None:
    sending = send(context, name, 0.01)
    context.sent.settle(sending, context.now_s, is_answer=False)


@when("it is read, and more than a minute passes")
def step_pass(context: Any) -> None:
    context.sent.settle(context.retry, context.now_s)
    context.now_s += 61.0


def list_usable(context: Any) -> set[str]:
    """Returns the upstreams that a retry may go to now."""
    summary = context.sent.reactions.summarize(context.names, context.now_s)
    unproven: set[str] = context.proofs.list_unproven(
        SERVICE, context.names, summary, context.now_s
    )
    return set(context.names) - unproven


@then('a retry may go to "{names}"')
def step_usable(context: Any, names: str) -> None:
    assert list_usable(context) == set(names.split()), list_usable(context)


@then('a retry may go to ""')
def step_none_usable(context: Any) -> None:
    assert not list_usable(context), list_usable(context)


@then('the log names "{name}"')
def step_logged(context: Any, name: str) -> None:
    (note,) = context.proofs.notes
    assert note.upstreams == (name,), note
