"""Failure detection: what shows that an upstream has ended: pure.

An upstream that is silent gets no requests, but may be sound and go on. Where
it matters whether it has ended, only these show it: it is no longer listed,
another start of it is known, its connections are refused, or none opens for
seconds. Read next: `egretspur.routing.health`.
"""

from __future__ import annotations

from egretspur.admission import quarantine
from egretspur.catalog import upstreams
from egretspur.routing import fleet as fleets
from egretspur.tunnels import reach

_State = quarantine.UpstreamState


def get_state(
    state: fleets.Fleet, upstream_id: str
) -> quarantine.UpstreamState:
    """Returns the state of an upstream that ended an attempt."""
    if explain_end(state, upstream_id):
        return _State.CRASHED
    if upstream_id not in state.roster.entries:
        return _State.UNKNOWN
    failed = state.health.failed.get(upstream_id)
    if failed is None:
        return _State.ALIVE
    return _State.SILENT if failed.is_down else _State.UNKNOWN


def is_gone_or_silent(state: fleets.Fleet, upstream_id: str) -> bool:
    """Returns whether an upstream ended, or can't be used until it answers."""
    found = get_state(state, upstream_id)
    return found in (_State.CRASHED, _State.SILENT)


def has_ended(state: fleets.Fleet, upstream_id: str) -> bool:
    """Returns whether an upstream's process is sure to have ended.

    One that stands still or is cut off may leave the list, or open no
    connection, and go on later.
    """
    return (
        state.reach_state is reach.ReachState.SOUND
        and state.health.is_refusing(upstream_id)
    )


def explain_end(state: fleets.Fleet, upstream_id: str) -> str:
    """Returns what shows that an upstream ended or is cut off; empty if none.

    A host whose own links fail finds upstreams unreachable that are not.
    """
    if upstreams.has_ended(state.roster, upstream_id):
        return "not listed"
    if state.reach_state is not reach.ReachState.SOUND:
        return ""
    return state.health.explain_end(upstream_id)
