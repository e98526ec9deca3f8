"""HTTP pages of a host for operators and other hosts: metrics, state, snapshot.

Gauges are read from the broker when the metrics are requested, so they cost
nothing otherwise.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, Final, Protocol

import attrs

from egretspur import codec, logs, web
from egretspur.catalog import positions, versions
from egretspur.daemons import duties, meters
from egretspur.membership import contact, seeds
from egretspur.routing import broker, desk

if TYPE_CHECKING:
    from aioprometheus import collectors

# Help texts of gauges by name; ``egretspur_`` is put before each name.
_GAUGES: Final = {
    "requests_arrived": "Requests that named a route",
    "requests_started": "Attempts given to an upstream",
    "requests_queued": "Requests that waited for request memory",
    "requests_repeated": "Attempts beyond a request's first",
    "requests_over_limit": "Attempts at more upstreams than the route allows",
    "requests_refused": "Requests answered without an upstream's answer",
    "requests_finished": "Requests that are over",
    "requests_in_flight": "Requests at upstreams now",
    "requests_waiting": "Requests that wait now",
    "requests_quarantined": "Requests that are sent to no upstream",
    "upstreams_listed": "Upstreams on the list",
    "upstreams_down": "Upstreams that are given no work",
    "upstreams_limited": "Upstreams that name a limit of requests a second",
    "hosts_sharing": "Hosts that share the retry budget",
    "hosts_heard": "Hosts whose peer updates arrive",
    "hosts_unheard": "Known hosts whose peer updates do not arrive",
    "data_centres_unheard": "Data centres whose peer updates do not arrive",
    "list_age_seconds": "Seconds since the list of upstreams was read",
    "configuration_version": "Version of the configuration in force",
    "configuration_age_seconds": "Seconds since it was put in force",
    "configuration_newest_version": "Newest version that was heard of",
    "configuration_behind_seconds": (
        "Seconds since a newer version than that in force was heard of"
    ),
    "configuration_read_age_seconds": "Seconds since its topic was read",
    "store_era": "Times that the store has come back from an older copy",
    "log_lines_dropped": "Log lines dropped because nobody read them",
}

_BY_UPSTREAM: Final = {
    "upstream_in_flight": "Requests of all known hosts at an upstream",
    "upstream_memory_tokens": "Request memory given out, in tokens x layers",
}


_BY_DUTY: Final = {
    "processor_seconds": "Processor time since the start, by duty",
}


class Snapshots(Protocol):
    """A topic whose state can be sent to another host."""

    def export(self, since: positions.Position | None) -> bytes | None:
        """Returns the changes for a host that has read up to a position.

        None if this host has nothing to send.
        """


@attrs.frozen
class GaugeValues:
    """Values of the gauges that are read from the broker."""

    # Values of gauges without labels, by name.
    plain: Mapping[str, float]
    # Values by name and upstream.
    by_upstream: Mapping[str, Mapping[str, float]]


class _Gauges:
    """The gauges in the registry of the metrics library."""

    def __init__(self, registry: collectors.Registry) -> None:
        """Adds the gauges to a registry."""
        # `egretspur.daemons.meters` says why the import is delayed.
        from aioprometheus import collectors

        self._gauges = {
            name: collectors.Gauge(f"egretspur_{name}", text, registry=registry)
            for name, text in {**_GAUGES, **_BY_UPSTREAM, **_BY_DUTY}.items()
        }

    def set(
        self, broker_values: GaugeValues, process_values: Mapping[str, float]
    ) -> None:
        """Sets all gauges, from the values of the broker and the process."""
        for name, value in {**broker_values.plain, **process_values}.items():
            self._gauges[name].set({}, value)
        for name, values in broker_values.by_upstream.items():
            for upstream, value in values.items():
                self._gauges[name].set({"upstream": upstream}, value)
        for duty, seconds in duties.read_cpu_seconds().items():
            self._gauges["processor_seconds"].set({"duty": duty}, seconds)


def make_pages(
    broker_desk: desk.Desk,
    host_meters: meters.Meters,
    handler: logs.BoundedHandler | None,
    get_version_status: Callable[[], versions.Status],
    is_ready: Callable[[], bool],
    topics: Mapping[str, Snapshots],
    get_era: Callable[[], int],
    get_contact: Callable[[], contact.Contact],
    identity: seeds.Identity,
) -> web.App:
    """Returns the application that serves the pages."""
    gauges: list[_Gauges] = []

    def collect() -> collectors.Registry:
        registry = host_meters.collect()
        if not gauges:
            gauges.append(_Gauges(registry))
        reached = get_contact()
        process_values = {
            "hosts_heard": reached.heard,
            "hosts_unheard": len(reached.unheard),
            "data_centres_unheard": len(reached.silent_data_centres),
            **read_version_gauges(get_version_status()),
            "store_era": get_era(),
            "log_lines_dropped": handler.dropped if handler else 0,
        }
        gauges[0].set(broker_desk.query(read_gauges), process_values)
        return registry

    def get_snapshot(req: web.Request) -> web.Response:
        topic = topics.get(req.parts["topic"])
        data = topic.export(_read_position(req)) if topic else None
        return (
            web.Response(404) if data is None else web.Response(200, {}, data)
        )

    app = web.App()
    web.add_diagnostics(
        app, collect, lambda: broker_desk.query(dump_state), is_ready
    )
    app.add("GET", "/v1/snapshot/{topic}", get_snapshot)
    app.add(
        "GET",
        seeds.HOST_PATH,
        lambda req: web.reply_json(attrs.asdict(identity)),
    )
    return app


def make_snapshot_path(topic: str, since: positions.Position | None) -> str:
    """Returns the path at which another host serves a topic's snapshot."""
    path = f"/v1/snapshot/{topic}"
    if since is None:
        return path
    return f"{path}?era={since.era}&since={since.offset}"


def _read_position(req: web.Request) -> positions.Position | None:
    """Returns the requesting host's position; None if it has read nothing."""
    offset = web.get_query_int(req, "since", -1)
    if offset < 0:
        return None
    return positions.Position(web.get_query_int(req, "era", 0), offset)


def read_version_gauges(status: versions.Status) -> dict[str, float]:
    """Returns the gauges' values of the configuration's versions."""
    return {
        "configuration_version": status.version,
        "configuration_age_seconds": status.age_s,
        "configuration_newest_version": status.newest,
        "configuration_behind_seconds": status.behind_s,
        "configuration_read_age_seconds": status.read_age_s,
    }


def read_gauges(state: broker.Broker) -> GaugeValues:
    """Returns the gauges' values of a broker."""
    now_s = time.monotonic()
    fleet = state.fleet
    usages = {i: fleet.memory.get_usage(i, now_s) for i in fleet.roster.entries}
    counts = state.counts
    return GaugeValues(
        {
            "requests_arrived": counts.arrived,
            "requests_started": counts.started,
            "requests_queued": counts.queued,
            "requests_repeated": counts.repeats,
            "requests_over_limit": counts.over_limit,
            "requests_refused": counts.refused,
            "requests_finished": counts.finished,
            "requests_in_flight": sum(
                t.current is not None for t in state.tickets.values()
            ),
            "requests_waiting": len(state.queue.waiting),
            "requests_quarantined": len(state.quarantine.list_quarantined()),
            "upstreams_listed": len(fleet.roster.entries),
            "upstreams_down": sum(
                h.is_down for h in fleet.health.failed.values()
            ),
            "upstreams_limited": len(fleet.throttle.limited),
            "hosts_sharing": state.retry_budgets.hosts,
            "list_age_seconds": now_s - state.list_read_s,
        },
        {
            "upstream_in_flight": {i: u.count for i, u in usages.items()},
            "upstream_memory_tokens": {i: u.room for i, u in usages.items()},
        },
    )


def dump_state(state: broker.Broker) -> dict[str, Any]:
    """Returns a broker's state as values that JSON can represent."""
    now_s = time.monotonic()
    fleet = state.fleet
    return {
        "counts": codec.encode(state.counts),
        "hosts": state.retry_budgets.hosts,
        "reach": fleet.reach_state.value,
        "list_age_s": round(now_s - state.list_read_s, 3),
        "waiting": [codec.encode(w) for w in state.queue.waiting.values()],
        "running": {
            t.job.id: [f"{p.id}:{p.first}-{p.last}" for p in t.current.parts]
            or [t.current.upstream_id]
            for t in state.tickets.values()
            if t.current is not None
        },
        "upstreams": {
            i: {
                **codec.encode(e),
                "usage": codec.encode(fleet.memory.get_usage(i, now_s)),
                "usable": fleet.is_usable(e, now_s),
                "pace": fleet.paces.get(i, now_s),
                "limit_per_s": fleet.throttle.get_limit(i),
            }
            for i, e in sorted(fleet.roster.entries.items())
        },
        "health": {i: codec.encode(f) for i, f in fleet.health.failed.items()},
        "quarantine": state.quarantine.list_quarantined(),
        "contention": state.contention.dump(now_s),
        "peers": {
            h: {
                "heard_s": round(now_s - p.received_s, 3),
                "count": len(p.usage),
            }
            for h, p in sorted(fleet.memory.peers.items())
        },
    }
