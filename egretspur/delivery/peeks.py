"""Which suspected stages of silent streams a host probes, and when: pure.

An engine that answered a probe while a stream over it was silent is not what
silences it. Under overload streams are silent for seconds over engines that
all answer, and hundreds of hosts probed each of these four times a second.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

import attrs

from egretspur.delivery import silence
from egretspur.routing import sharing

# Minimum interval between two probes of a stage.
MIN_INTERVAL_S: Final = 0.25

# Interval between probes of a stage that answered the last one, if nothing has
# changed since and other hosts probe it.
RELYING_INTERVAL_S: Final = 1.0


@attrs.frozen
class _Peek:
    """The last probe of a stage."""

    at_s: float
    is_answered: bool


class PeekSchedule:
    """When this host last probed each stage, and who else does."""

    def __init__(self, host: str = "") -> None:
        """Makes an empty schedule.

        Args:
            host: This host's address as others know it.
        """
        self._shares = sharing.CheckShares(host)
        self._peeks: dict[str, _Peek] = {}

    def apply_peer_usage(
        self, host: str, upstream_ids: Collection[str], now_s: float
    ) -> None:
        """Records the stages over which another host has requests."""
        self._shares.apply_peer_update(host, upstream_ids, now_s)

    def is_due(
        self,
        upstream_id: str,
        last_event_s: float,
        suspected_s: float,
        now_s: float,
    ) -> bool:
        """Tells whether a suspected stage is to be probed.

        Args:
            upstream_id: The stage.
            last_event_s: Last event of any stream over it that is now silent.
            suspected_s: When other hosts began to report it failing.
            now_s: Monotonic time.
        """
        peek = self._peeks.get(upstream_id)
        # A host that relies on others follows their findings at once.
        if peek is None or suspected_s > peek.at_s:
            return True
        age_s = now_s - peek.at_s
        if age_s < MIN_INTERVAL_S:
            return False
        return (
            not peek.is_answered
            or age_s >= RELYING_INTERVAL_S
            # A silence shorter than this was not yet one at the last probe.
            or last_event_s > peek.at_s - silence.MIN_SILENCE_S
            or self._shares.is_assigned(upstream_id, now_s)
        )

    def is_recent(self, upstream_id: str, now_s: float) -> bool:
        """Tells whether a stage was probed too recently to be again."""
        peek = self._peeks.get(upstream_id)
        return peek is not None and now_s - peek.at_s < MIN_INTERVAL_S

    def record(self, upstream_id: str, is_answered: bool, now_s: float) -> None:
        """Records a probe."""
        self._peeks[upstream_id] = _Peek(now_s, is_answered)

    def remove_old(self, now_s: float) -> None:
        """Drops what no longer has an effect."""
        self._shares.remove_silent(now_s)
        self._peeks = {
            i: p
            for i, p in self._peeks.items()
            if now_s - p.at_s < RELYING_INTERVAL_S
        }
