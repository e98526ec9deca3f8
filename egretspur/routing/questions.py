"""Futures that request threads wait on while an actor decides."""

from __future__ import annotations

import concurrent.futures
from typing import Generic, TypeVar

D = TypeVar("D")


class Questions(Generic[D]):
    """Open questions of requests, one each; owned by an actor."""

    def __init__(self) -> None:
        self._futures: dict[str, concurrent.futures.Future[D]] = {}

    def ask(self, request_id: str, fut: concurrent.futures.Future[D]) -> None:
        """Takes a request's question, in place of an older one."""
        self._futures[request_id] = fut

    def forget(self, request_id: str) -> None:
        """Drops the question of a request that is over."""
        self._futures.pop(request_id, None)

    def answer(self, request_id: str, decision: D) -> None:
        """Answers a question, unless it was dropped or its thread gave up."""
        fut = self._futures.pop(request_id, None)
        if fut is None or fut.done():
            return
        try:
            fut.set_result(decision)
        except concurrent.futures.InvalidStateError:
            # The thread gave up in this very moment; it asks no more.
            return
