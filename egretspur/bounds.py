"""Time bounds set by an installation's operators, and times derived from them.

Created from the settings when a process starts and passed down. Times that
depend on a route, such as how long its callers wait, are in
`egretspur.catalog.config`.
"""

from __future__ import annotations

from typing import Final

import attrs

# Time in which stalled work is cut and the cut reaches this host.
CUT_DELAY_S: Final = 0.5

# Heartbeats that an upstream may miss before its entry expires.
MISSED_HEARTBEATS: Final = 3

# Delay between writing a record and its being read.
READ_DELAY_S: Final = 0.4


def _check_positive(
    bounds: Bounds, field: attrs.Attribute[float], value: float
) -> None:
    # Loading the library's own validators takes a fiftieth of a host's start.
    if value <= 0:
        raise ValueError(f"{field.name}: must be above 0, not {value}")


@attrs.frozen(kw_only=True)
class Bounds:
    """Time bounds of one installation."""

    # Work that depends on a failed stage is held for this time, and then cut.
    stall_s: float = attrs.field(default=2.0, validator=_check_positive)
    # Interval between two heartbeats of an upstream.
    heartbeat_s: float = attrs.field(default=1.2, validator=_check_positive)

    @property
    def max_silence_s(self) -> float:
        """Longest silence of a stream whose upstream and connection are sound.

        The platform cuts stalled work by then, and the cut reaches this host.
        """
        return self.stall_s + CUT_DELAY_S

    @property
    def entry_ttl_s(self) -> float:
        """Time after which an entry that is not renewed expires."""
        return MISSED_HEARTBEATS * self.heartbeat_s + READ_DELAY_S
