"""Futures that request threads wait on while an actor decides."""

from __future__ import annotations

import concurrent.futures
from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar

import attrs

from egretspur import errors


class Start(Protocol):
    """An effect that starts an attempt; the answer to its question."""

    @property
    def id(self) -> str:
        """Request."""


@attrs.frozen
class Refuse:
    """Effect: give the caller its final answer."""

    id: str
    refusal: errors.Refusal


S = TypeVar("S", bound=Start)
D = TypeVar("D")


class Questions(Generic[S]):
    """Open questions of requests, one each; owned by an actor."""

    def __init__(self) -> None:
        self._futures: dict[
            str, concurrent.futures.Future[S | errors.Refusal]
        ] = {}

    def ask(
        self,
        request_id: str,
        fut: concurrent.futures.Future[S | errors.Refusal],
    ) -> None:
        """Takes a request's question, in place of an older one."""
        self._futures[request_id] = fut

    def forget(self, request_id: str) -> None:
        """Drops the question of a request that is over."""
        self._futures.pop(request_id, None)

    def run(self, effects: Iterable[S | Refuse]) -> None:
        """Answers the questions that were decided."""
        for effect in effects:
            if isinstance(effect, Refuse):
                self._answer(effect.id, effect.refusal)
            else:
                self._answer(effect.id, effect)

    def _answer(self, request_id: str, decision: S | errors.Refusal) -> None:
        """Answers a question, unless it was dropped."""
        fut = self._futures.pop(request_id, None)
        if fut is not None:
            answer(fut, decision)


def answer(fut: concurrent.futures.Future[D], decision: D) -> None:
    """Answers a question, unless its thread gave up."""
    if fut.done():
        return
    try:
        fut.set_result(decision)
    except concurrent.futures.InvalidStateError:
        # The thread gave up in this very moment; it asks no more.
        return


def answer_failed(message: object) -> None:
    """Answers a message's question, which could not be decided.

    Symptom without it: a caller hears nothing until its deadline, since its
    thread waits for a decision that has raised an error in the actor.

    Args:
        message: With a future as `fut`, if it asks anything.
    """
    fut = getattr(message, "fut", None)
    if isinstance(fut, concurrent.futures.Future):
        answer(fut, errors.Refusal(errors.ErrorKind.INTERNAL, "not decided"))
