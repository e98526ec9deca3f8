"""Messages between a router and the control daemon of its host.

The router keeps one long-poll request open at the daemon, which answers as soon
as anything changed. While the daemon is unreachable, the router keeps serving
from its last table.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from egretspur.admission import segments, throttle
from egretspur.clients import hosts as hostlist
from egretspur.intents import records
from egretspur.intents import state as states


@attrs.frozen
class Upstream:
    """An engine or plain service as routers see it."""

    name: str
    address: str
    incarnation: str
    data_centre: str
    # True if the platform lists it as leaving.
    leaving: bool
    # Name of its plain service; empty for engines.
    service: str
    layers_per_s: float
    slots: int


@attrs.frozen
class RoutingTable:
    """The configuration in force, as far as one data centre needs it."""

    # Offset of the state it was made from.
    offset: int
    deployments: tuple[records.Deployment, ...]
    bindings: tuple[records.Binding, ...]
    # Number of data centres that share a binding's limit, by binding key.
    shares: dict[str, int]
    upstreams: tuple[Upstream, ...]


@attrs.frozen
class RouterNode:
    """Another entry host's router in this data centre."""

    name: str
    address: str


@attrs.frozen
class RoutingUpdate:
    """Answer to a router's report."""

    # Version of the content; equal versions of one daemon have equal contents.
    version: int
    # None if the router already has the table of `table_version`.
    table: RoutingTable | None
    table_version: int
    # Leaving incarnations by upstream.
    leaving: dict[str, tuple[str, ...]]
    # Running and waiting requests by binding key and other host.
    demand: dict[str, dict[str, int]]
    routers: tuple[RouterNode, ...]
    # Number of entry hosts in the data centre, by the platform's list.
    listed: int
    # Crashed upstreams by request fingerprint; empty for a request that was
    # answered or released.
    ended: dict[str, dict[str, float]] = attrs.Factory(dict)
    # Rate limits that upstreams set or lifted, by incarnation.
    limits: dict[str, throttle.PublishedLimit] = attrs.Factory(dict)
    # Number of entry hosts in all data centres, which may share an upstream.
    sharing: int = 1
    # What all routers know of prompt segments.
    evidence: segments.Update = attrs.Factory(segments.Update)


@attrs.frozen
class LeavingMark:
    """An incarnation of an upstream that reported that it is leaving."""

    upstream: str
    incarnation: str


@attrs.frozen
class RouterReport:
    """A router's report to its control daemon."""

    address: str
    # Version of the last answer; 0 before the first.
    version: int
    table_version: int
    # Offset of the table it routes by.
    in_force: int
    leaving: tuple[LeavingMark, ...]
    demand: dict[str, int]
    ended: dict[str, dict[str, float]] = attrs.Factory(dict)
    limits: dict[str, throttle.PublishedLimit] = attrs.Factory(dict)
    # What the router knows of prompt segments.
    evidence: segments.Update = attrs.Factory(segments.Update)


def make_table(
    state: states.State,
    data_centre: str,
    local: Mapping[str, hostlist.Host],
    remote: Mapping[str, hostlist.Host],
) -> RoutingTable:
    """Returns the table for routers of a data centre.

    Deployments of other data centres are omitted if the binding has one here,
    so that a table grows with its own data centre only.
    """
    chosen: dict[str, records.Deployment] = {}
    shares = {}
    for key, binding in state.bindings.items():
        found = [
            state.deployments[n]
            for n in binding.deployments
            if n in state.deployments
        ]
        here = [d for d in found if d.data_centre == data_centre]
        for deployment in here or found:
            chosen[deployment.id] = deployment
        shares[key] = max(1, len({d.data_centre for d in found}))
    names = {
        s.upstream for d in chosen.values() for c in d.chains for s in c.stages
    }
    hosts = {n: remote[n] for n in names if n in remote}
    hosts.update({n: h for n, h in local.items() if n in names or h.service})
    return RoutingTable(
        state.offset,
        tuple(chosen[n] for n in sorted(chosen)),
        tuple(state.bindings[k] for k in sorted(state.bindings)),
        shares,
        tuple(_make_upstreams(hosts.values())),
    )


def find_remote_data_centres(
    state: states.State, data_centre: str
) -> frozenset[str]:
    """Returns the other data centres whose hosts the table needs."""
    needed = set()
    for binding in state.bindings.values():
        places = {
            state.deployments[n].data_centre
            for n in binding.deployments
            if n in state.deployments
        }
        if data_centre not in places:
            needed |= places
    return frozenset(needed)


def _make_upstreams(hosts: Iterable[hostlist.Host]) -> list[Upstream]:
    return [
        Upstream(
            h.name,
            h.address,
            h.incarnation,
            h.data_centre,
            h.state != hostlist.LIVE,
            h.service,
            h.layers_per_s,
            h.slots,
        )
        for h in sorted(hosts, key=lambda h: h.name)
    ]
