"""The status page of a control daemon, as the command line reads it."""

from __future__ import annotations

import attrs

from egretspur.intents import desk as desks


@attrs.frozen
class HostStatus:
    """One entry host in the status."""

    name: str
    data_centre: str
    # Offset folded by its control daemon and in force in its router.
    offset: int
    in_force: int
    log_reachable: bool


@attrs.frozen
class Status:
    """What one control daemon knows of its data centre."""

    data_centre: str
    asked: str
    offset: int
    hosts: tuple[HostStatus, ...]
    # Holder of the order lease in each data centre.
    leases: dict[str, str]
    plans: tuple[desks.PlanView, ...]
    # Why this data centre may be behind; empty if it is not.
    warning: str
    # Control addresses in other data centres, to ask for theirs.
    remote: dict[str, tuple[str, ...]]


@attrs.frozen
class Quarantined:
    """A request that no router of the data centre sends any more."""

    fingerprint: str
    # Upstreams that ended under it.
    ended: int
