"""The status page of a control daemon, as the command line reads it."""

from __future__ import annotations

import attrs

from egretspur.intents import desk as desks


@attrs.frozen
class HostStatus:
    """One entry host in the status."""

    name: str
    data_centre: str
    # Log offset that its control daemon has applied.
    offset: int
    # Log offset of the routing table in force in its router.
    in_force: int
    log_reachable: bool


@attrs.frozen
class Status:
    """What one control daemon knows of its data centre."""

    data_centre: str
    asked: str
    offset: int
    hosts: tuple[HostStatus, ...]
    # Holder of the orders' lease, by data centre.
    leases: dict[str, str]
    plans: tuple[desks.PlanView, ...]
    # Why this data centre's state may be out of date; empty if it is not.
    warning: str
    # Addresses of control daemons in other data centres, which have the status
    # of theirs.
    remote: dict[str, tuple[str, ...]]


@attrs.frozen
class Quarantined:
    """A quarantined request, which the data centre's routers refuse."""

    fingerprint: str
    # Number of upstreams that crashed under it.
    ended: int
