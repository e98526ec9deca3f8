"""Tells when the output of an attempt shows that its prompt is harmless: pure.

Upstreams may crash some events after the first one, so the first output of an
answer shows nothing; `egretspur.admission.segments` tells what follows.
"""

from __future__ import annotations

from typing import Final

import attrs

from egretspur.admission import segments

# Longest part of a gap between two events that counts as output: an engine that
# stands still or a host that is suspended brings none.
MAX_GAP_S: Final = 0.5


@attrs.define
class AttemptOutput:
    """Output of a request's attempts, one after the other."""

    # Whether that of some attempt was enough to show that the prompt is
    # harmless.
    is_established: bool = False
    # Whether that of the current one is.
    _is_enough: bool = False
    # Monotonic time of its last output; None before the first.
    _last_s: float | None = None
    # Seconds for which it has brought output.
    _brought_s: float = 0.0

    def begin(self) -> None:
        """Begins another attempt, or the same one over other engines."""
        self._is_enough = False
        self._last_s = None
        self._brought_s = 0.0

    def note(self, now_s: float) -> bool:
        """Notes some output; returns whether it establishes the answer."""
        if self._last_s is not None:
            self._brought_s += min(now_s - self._last_s, MAX_GAP_S)
        self._last_s = now_s
        return self._establish(self._brought_s >= segments.ESTABLISHED_S)

    def note_end(self) -> bool:
        """Notes a complete answer; returns whether it is established by it."""
        return self._establish(self._last_s is not None)

    def _establish(self, is_enough: bool) -> bool:
        is_new = is_enough and not self._is_enough
        self._is_enough |= is_enough
        self.is_established |= is_enough
        return is_new
