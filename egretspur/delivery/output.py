"""Tells when the output of an attempt shows that its prompt is harmless: pure.

Upstreams may crash some events after the first one, so the first output of an
answer shows nothing; `egretspur.admission.segments` tells what follows.
"""

from __future__ import annotations

import math

import attrs

from egretspur.admission import segments


@attrs.define
class AttemptOutput:
    """Output of the current attempt of one request."""

    # Whether it is enough to show that the prompt is harmless.
    is_established: bool = False
    # Monotonic time of its first output.
    _first_s: float = math.inf

    def begin(self) -> None:
        """Begins another attempt."""
        self.is_established = False
        self._first_s = math.inf

    def note(self, now_s: float) -> bool:
        """Notes some output; returns whether it establishes the answer."""
        self._first_s = min(self._first_s, now_s)
        return self._establish(now_s - self._first_s >= segments.ESTABLISHED_S)

    def note_end(self) -> bool:
        """Notes a complete answer; returns whether it is established by it."""
        return self._establish(self._first_s < math.inf)

    def _establish(self, is_enough: bool) -> bool:
        is_new = is_enough and not self.is_established
        self.is_established |= is_enough
        return is_new
