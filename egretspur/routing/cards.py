"""Path candidates, computed lazily by data centre: pure.

Most requests find a path in the data centre of their host. Computing the
candidates of all data centres, some two hundred engines, costs more than that
search itself.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable, Sequence

from egretspur.routing import paths


class Candidates:
    """Usable engines by data centre, computed on first use."""

    def __init__(
        self,
        data_centres: Iterable[str],
        read: Callable[[str], Sequence[paths.Candidate]],
    ) -> None:
        """Makes a view.

        Args:
            data_centres: Data centres that have engines.
            read: Returns a data centre's usable engines; called at most once
                for each.
        """
        self.data_centres = tuple(data_centres)
        self._read = read
        self._known: dict[str, Sequence[paths.Candidate]] = {}

    def get(self, data_centre: str) -> Sequence[paths.Candidate]:
        """Returns the engines of a data centre."""
        found = self._known.get(data_centre)
        if found is None:
            found = (
                self._read(data_centre)
                if data_centre in self.data_centres
                else ()
            )
            self._known[data_centre] = found
        return found

    def list_in(self, data_centres: Iterable[str]) -> list[paths.Candidate]:
        """Returns the engines of some data centres."""
        return [c for p in data_centres for c in self.get(p)]

    def list_all(self) -> list[paths.Candidate]:
        """Returns the engines of all data centres."""
        return self.list_in(self.data_centres)

    def limit_first(self, ids: Container[str]) -> Candidates:
        """Returns the candidates without other engines for the first layer."""
        return Candidates(
            self.data_centres,
            lambda d: [c for c in self.get(d) if c.first or c.id in ids],
        )

    def exclude(self, ids: Container[str]) -> Candidates:
        """Returns the candidates without the given engines."""
        if not ids:
            return self
        return Candidates(
            self.data_centres,
            lambda d: [c for c in self.get(d) if c.id not in ids],
        )
