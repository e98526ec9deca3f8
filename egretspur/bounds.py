"""Times that an installation's operators set, and what follows from them.

Made at the edge from the settings, passed down to whoever needs it. What
follows from a route, such as how long its callers wait, stands in
`egretspur.catalog.config`.
"""

from __future__ import annotations

from typing import Final

import attrs

# What work that was held up takes to be cut, and that to arrive, in seconds.
CUT_DELAY_S: Final = 0.5

# Heartbeats that an upstream may miss before its entry lapses.
MISSED_HEARTBEATS: Final = 3

# Seconds between a record's writing and its being read by a reader.
READ_DELAY_S: Final = 0.4


def _check_positive(
    bounds: Bounds, field: attrs.Attribute[float], value: float
) -> None:
    # The library's own checks cost a fiftieth of a host's start to load.
    if value <= 0:
        raise ValueError(f"{field.name}: must be above 0, not {value}")


@attrs.frozen(kw_only=True)
class Bounds:
    """See the module's docstring."""

    # Work that depends on a dead stage is held for so long, and then cut.
    stall_s: float = attrs.field(default=2.0, validator=_check_positive)
    # Between two heartbeats of an upstream.
    heartbeat_s: float = attrs.field(default=1.2, validator=_check_positive)

    @property
    def max_silence_s(self) -> float:
        """Longest silence of a stream whose connection may be alive.

        An answer that is held up may still go on; ended sooner than the
        platform does, it would be lost by this host's own doing.
        """
        return self.stall_s + CUT_DELAY_S

    @property
    def entry_ttl_s(self) -> float:
        """Time after which an entry that is not written again is gone."""
        return MISSED_HEARTBEATS * self.heartbeat_s + READ_DELAY_S
