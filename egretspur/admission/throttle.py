"""How many requests upstreams take from all hosts together: pure.

An upstream in need names in its answers how many requests a second it takes,
for as long as it says so.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class Limit:
    """What an upstream named last."""

    # Requests a second from all hosts; None if its last answer named none.
    per_s: float | None
    # Monotonic time of that answer.
    at_s: float


class Throttle:
    """Limits that upstreams have named, as one host knows them."""

    def __init__(self) -> None:
        """Makes a state in which no upstream has named one."""
        # Upstreams with a limit. Replaced as a whole, never changed: other
        # threads read it.
        self.limited: frozenset[str] = frozenset()
        self._limits: dict[str, Limit] = {}

    def note(self, upstream_id: str, per_s: float | None, now_s: float) -> bool:
        """Takes what an answer named; tells whether that is new."""
        old = self._limits.get(upstream_id)
        if old is None and per_s is None:
            return False
        self._limits[upstream_id] = Limit(per_s, now_s)
        self._list_limited()
        return old is None or old.per_s != per_s

    def _list_limited(self) -> None:
        self.limited = frozenset(
            i for i, known in self._limits.items() if known.per_s is not None
        )
