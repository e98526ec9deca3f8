"""Which hosts have a trouble, and which troubles there were."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Sequence
from typing import Final, Protocol

from tests.strange import judge, site

# Hosts that no trouble touches at any time, at least.
MIN_CALM: Final = 2

# Longest time from the beginning of a trouble to the version just after it, in
# seconds.
FIRST_VERSION_S: Final = 0.6


class Play(Protocol):
    """What troubles need of a play."""

    site: site.StrangeSite
    troubles: list[judge.Trouble]
    ended: threading.Event

    def write_version(self) -> None:
        """Writes the next version, and waits for its acknowledgement."""


class Ledger:
    """Gives hosts to troubles, and notes these for the judge."""

    def __init__(self, play: Play, rng: random.Random) -> None:
        """Makes an empty ledger.

        Args:
            play: The play.
            rng: Draws what happens.
        """
        self.play = play
        self.site = play.site
        self.rng = rng
        self._lock = threading.Lock()
        self._touched: set[str] = set()
        self._is_store_free = True

    def draw_hosts(self, low: int, high: int) -> list[str]:
        """Returns hosts that no other trouble has; none if too few are."""
        with self._lock:
            free = [h for h in self.site.addresses if h not in self._touched]
            count = min(self.rng.randint(low, high), len(free) - MIN_CALM)
            found = self.rng.sample(free, max(0, count))
            self._touched.update(found)
        return found

    def take_readers(self) -> list[str]:
        """Returns the hosts that wait for a version, if free."""
        readers = self.site.list_readers()
        with self._lock:
            free = len(self.site.addresses) - len(self._touched)
            found = [h for h in readers if h not in self._touched]
            found = found[: max(0, free - MIN_CALM)]
            self._touched.update(found)
        return found

    def take_all(self) -> list[str]:
        """Returns all hosts that no other trouble has."""
        with self._lock:
            found = [h for h in self.site.addresses if h not in self._touched]
            self._touched.update(found)
        return found

    def take_store(self) -> bool:
        """Returns whether the store has no other trouble as a whole."""
        with self._lock:
            is_free, self._is_store_free = self._is_store_free, False
        return is_free

    def begin(
        self, kind: str, hosts: Sequence[str] = (), is_binding: bool = True
    ) -> judge.Trouble:
        """Notes the beginning of a trouble; see `judge.Trouble`."""
        trouble = judge.Trouble(
            kind, tuple(hosts), time.monotonic(), is_binding=is_binding
        )
        self.play.troubles.append(trouble)
        return trouble

    def end(self, trouble: judge.Trouble) -> None:
        """Notes the end of a trouble, and frees its hosts."""
        trouble.ended_s = time.monotonic()
        with self._lock:
            self._touched.difference_update(trouble.hosts)

    def end_of_store(self, trouble: judge.Trouble) -> None:
        """Notes the end of a trouble of the store as a whole."""
        self.end(trouble)
        with self._lock:
            self._is_store_free = True

    def wait(self, low_s: float, high_s: float) -> None:
        """Waits for a random time."""
        time.sleep(self.rng.uniform(low_s, high_s))

    def write_some(self, for_s: float) -> None:
        """Writes versions for a while: at once, within it, and at its end."""
        first_s = min(for_s, self.rng.uniform(0.0, FIRST_VERSION_S))
        then_s = (for_s - first_s) * self.rng.uniform(0.2, 0.8)
        for wait_s in (first_s, then_s, for_s - first_s - then_s):
            time.sleep(wait_s)
            self.play.write_version()
