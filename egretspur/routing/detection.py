"""Failure detection: what shows that an upstream has ended: pure.

Read next: `egretspur.routing.health`.
"""

from __future__ import annotations

from egretspur.admission import quarantine
from egretspur.routing import fleet as fleets

_State = quarantine.UpstreamState


def get_state(
    state: fleets.Fleet, upstream_id: str, counts_down: bool
) -> quarantine.UpstreamState:
    """Returns the state of an upstream that ended an attempt.

    Args:
        state: Upstreams.
        upstream_id: The upstream.
        counts_down: Whether one that is down counts as crashed; otherwise that
            is unknown.
    """
    if upstream_id not in state.roster.entries:
        return _State.CRASHED
    failed = state.health.failed.get(upstream_id)
    if failed is None:
        return _State.ALIVE
    if failed.is_down and counts_down:
        return _State.CRASHED
    return _State.UNKNOWN


def explain_end(state: fleets.Fleet, upstream_id: str, now_s: float) -> str:
    """Returns why an upstream counts as ended; empty if it does not."""
    if upstream_id not in state.roster.entries:
        return "not listed"
    failed = state.health.failed.get(upstream_id)
    if failed is None or not failed.is_down:
        return ""
    return f"down for {now_s - failed.since_s:.2f} s"
