"""Engines that a path may use, made out one data centre at a time: pure.

Most requests find a path in the data centre of their host. Making out what
every engine of all data centres has to offer, some two hundred, costs more
than that search itself.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable, Sequence

from egretspur.routing import paths


class Cards:
    """Usable engines by data centre."""

    def __init__(
        self,
        places: Iterable[str],
        read: Callable[[str], Sequence[paths.Card]],
    ) -> None:
        """Makes a view.

        Args:
            places: Data centres that have engines.
            read: Returns the usable ones of a data centre; called once for
                each at most.
        """
        self.places = tuple(places)
        self._read = read
        self._known: dict[str, Sequence[paths.Card]] = {}

    def get(self, place: str) -> Sequence[paths.Card]:
        """Returns the engines of a data centre."""
        found = self._known.get(place)
        if found is None:
            found = self._read(place) if place in self.places else ()
            self._known[place] = found
        return found

    def list_of(self, places: Iterable[str]) -> list[paths.Card]:
        """Returns the engines of some data centres."""
        return [c for p in places for c in self.get(p)]

    def list_all(self) -> list[paths.Card]:
        """Returns the engines of all data centres."""
        return self.list_of(self.places)

    def leave_out(self, ids: Container[str]) -> Cards:
        """Returns the engines but some."""
        return Cards(
            self.places,
            lambda place: [c for c in self.get(place) if c.id not in ids],
        )
