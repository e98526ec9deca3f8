"""Simulated time of models: what is due runs in order."""

from __future__ import annotations

import functools
import heapq
import itertools
from collections.abc import Callable
from typing import Any


class Timeline:
    """Base of models whose time jumps from one event to the next."""

    def __init__(self, now_s: float) -> None:
        """Makes a time with nothing due.

        Args:
            now_s: When it begins.
        """
        self.now_s = now_s
        self._counter = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []

    def _at(self, delay_s: float, act: Callable[..., None], *args: Any) -> None:
        """Has something happen after a delay."""
        run: Callable[[], None] = functools.partial(act, *args)
        heapq.heappush(
            self._due, (self.now_s + delay_s, next(self._counter), run)
        )

    def _run_until(self, end_s: float) -> None:
        """Lets time pass; runs what is due until then."""
        while self._due and self._due[0][0] <= end_s:
            self.now_s, _, act = heapq.heappop(self._due)
            act()
        self.now_s = end_s
