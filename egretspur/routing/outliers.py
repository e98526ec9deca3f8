"""Ejects engines that answer requests with errors: pure.

Such an engine answers probes, reports nothing wrong and fails at once, so by
load it looks like the best one and attracts the requests of all hosts. One that
fails several requests in a row gets none for a while; then one failure more
suffices. Other hosts are told through the suspects of the peer update.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Container
from typing import Final

import attrs

# Errors in a row from which an engine is ejected. A single one may be due to
# the request.
MIN_ERRORS: Final = 2

# Duration of an ejection; doubled with each further one until an answer.
MIN_EJECTION_S: Final = 0.5
MAX_EJECTION_S: Final = 4.0

# Part of a service's engines in a data centre that may be ejected at a time, at
# least one. Errors of most engines have another cause, and the last holders of
# some layers must stay.
MAX_EJECTED_PART: Final = 1 / 3


@attrs.define
class _Errors:
    """Errors of one engine since its last answer."""

    in_a_row: int = 0
    ejections: int = 0
    until_s: float = -math.inf


class Outliers:
    """Engines that one host ejected; by the id of an engine's incarnation."""

    def __init__(self) -> None:
        """Makes a state without ejected engines."""
        self._errors: dict[str, _Errors] = {}

    def is_ejected(self, upstream_id: str, now_s: float) -> bool:
        """Tells whether an engine gets no requests now."""
        errors = self._errors.get(upstream_id)
        return errors is not None and now_s < errors.until_s

    def list_ejected(self, now_s: float) -> tuple[str, ...]:
        """Returns the engines that get no requests now."""
        return tuple(i for i, e in self._errors.items() if now_s < e.until_s)

    def record_error(
        self, upstream_id: str, group: Collection[str], now_s: float
    ) -> float:
        """Records that an engine answered a request with an error.

        Args:
            upstream_id: The engine.
            group: Engines of its service and data centre, itself included.
            now_s: Monotonic time.

        Returns:
            Seconds for which it is ejected now; 0 if it is not.
        """
        errors = self._errors.setdefault(upstream_id, _Errors())
        errors.in_a_row += 1
        if errors.in_a_row < MIN_ERRORS or now_s < errors.until_s:
            return 0.0
        ejected = sum(self.is_ejected(i, now_s) for i in group)
        if ejected >= max(1, int(MAX_EJECTED_PART * len(group))):
            return 0.0
        ejection_s = min(
            MAX_EJECTION_S, math.ldexp(MIN_EJECTION_S, errors.ejections)
        )
        errors.ejections += 1
        errors.until_s = now_s + ejection_s
        return ejection_s

    def record_answer(self, upstream_id: str) -> None:
        """Records that an engine answered without an error."""
        self._errors.pop(upstream_id, None)

    def remove_unlisted(self, listed: Container[str]) -> None:
        """Drops the state of engines that are no longer listed."""
        for upstream_id in [i for i in self._errors if i not in listed]:
            del self._errors[upstream_id]
