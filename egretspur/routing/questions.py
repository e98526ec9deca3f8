"""Futures on which request threads wait for an actor's decision."""

from __future__ import annotations

import concurrent.futures
from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar

import attrs

from egretspur import errors


class Start(Protocol):
    """An effect that starts an attempt of a request."""

    @property
    def id(self) -> str:
        """Id of the request."""


@attrs.frozen
class Refuse:
    """Effect: give the caller its final answer."""

    id: str
    refusal: errors.Refusal


S = TypeVar("S", bound=Start)
D = TypeVar("D")


class PendingDecisions(Generic[S]):
    """Unresolved futures, one for each request; owned by an actor."""

    def __init__(self) -> None:
        self._futures: dict[
            str, concurrent.futures.Future[S | errors.Refusal]
        ] = {}

    def add(
        self,
        request_id: str,
        fut: concurrent.futures.Future[S | errors.Refusal],
    ) -> None:
        """Adds the future of a request; replaces an older one."""
        self._futures[request_id] = fut

    def forget(self, request_id: str) -> None:
        """Drops the future of a finished request."""
        self._futures.pop(request_id, None)

    def resolve(self, effects: Iterable[S | Refuse]) -> None:
        """Resolves the futures of the requests that were decided."""
        for effect in effects:
            if isinstance(effect, Refuse):
                self._resolve(effect.id, effect.refusal)
            else:
                self._resolve(effect.id, effect)

    def _resolve(self, request_id: str, decision: S | errors.Refusal) -> None:
        """Resolves a request's future, unless it was dropped."""
        fut = self._futures.pop(request_id, None)
        if fut is not None:
            resolve_future(fut, decision)


def resolve_future(fut: concurrent.futures.Future[D], decision: D) -> None:
    """Resolves a future, unless its thread gave up and resolved it itself."""
    if fut.done():
        return
    try:
        fut.set_result(decision)
    except concurrent.futures.InvalidStateError:
        # The thread gave up after the check above.
        return


def refuse_failed(message: object) -> None:
    """Refuses the request of a message that raised an error in the actor.

    Otherwise, its thread waits for the decision, and its caller for an answer,
    until the request's deadline.

    Args:
        message: Has a future as `fut` if a thread waits for a decision.
    """
    fut = getattr(message, "fut", None)
    if isinstance(fut, concurrent.futures.Future):
        resolve_future(
            fut,
            errors.Refusal(
                errors.ErrorKind.INTERNAL, "the scheduling actor failed"
            ),
        )
