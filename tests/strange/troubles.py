"""Draws troubles of hosts, links and the store, some at the same time."""

from __future__ import annotations

import random
import threading
from collections.abc import Sequence
from typing import Final

from tests.strange import core, ledger, links, processes

# Shortest and longest time between the beginnings of two troubles, in seconds.
PAUSE_S: Final = (0.5, 4.0)


class Troubles:
    """Makes troubles until a play ends."""

    def __init__(
        self,
        play: ledger.Play,
        rng: random.Random,
        kinds: Sequence[str] = (),
        pause_s: tuple[float, float] = PAUSE_S,
    ) -> None:
        """Makes an object that has made no trouble.

        Args:
            play: The play.
            rng: Draws what happens.
            kinds: Troubles to draw from; all but optional ones if empty.
            pause_s: Shortest and longest time between two, in seconds.
        """
        own = ledger.Ledger(play, rng)
        store = core.StoreTroubles(own)
        makers = {
            **processes.ProcessTroubles(own).list_makers(),
            **links.LinkTroubles(own).list_makers(),
            **store.list_makers(),
        }
        self._kinds = list(kinds) or list(makers)
        self._makers = {**makers, **store.list_optional()}
        self._play = play
        self._rng = rng
        self._pause_s = pause_s

    def run(self) -> None:
        """Makes troubles until the play ends."""
        threads = []
        while not self._play.ended.wait(self._rng.uniform(*self._pause_s)):
            maker = self._makers[self._rng.choice(self._kinds)]
            thread = threading.Thread(target=maker)
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()
