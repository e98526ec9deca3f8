"""Compares processor time and memory of the router with a plain relay."""

from __future__ import annotations

import time
from typing import Final

import attrs

from bench import figures, sink
from tests import scene, stage

EVENTS_PER_S: Final = 20.0
WARM_UP_S: Final = 1.5


@attrs.frozen
class Cost:
    """Processor time and memory that a relaying process used."""

    streams: int
    events_per_s: float
    # Events per second that the source sent.
    offered_per_s: float
    cpu_s_per_event: float
    cpu_share: float
    rss_mb: float


def measure(process: stage.Process, streams: int, seconds: float) -> Cost:
    """Opens streams through a process and measures its resource use."""
    reader = sink.Sink(process.address, streams, "/v1/completions")
    reader.count(WARM_UP_S + streams / 100)
    before = figures.read_cpu_s(process.popen.pid)
    counted = reader.count(seconds)
    used = figures.read_cpu_s(process.popen.pid) - before
    rss = figures.read_rss_mb(process.popen.pid)
    reader.close()
    time.sleep(0.5)
    return Cost(
        streams,
        counted.events / counted.seconds,
        streams * EVENTS_PER_S,
        used / max(1, counted.events),
        used / counted.seconds,
        rss,
    )


def start_router(
    play: scene.Scene, slots: int, events_per_s: float = EVENTS_PER_S
) -> stage.Process:
    """Starts a router and one chain whose two stages are one event source."""
    play.start_platform()
    source = play.start(
        "source", "bench.source", "--events-per-s", str(events_per_s)
    )
    for name in ("s1", "s2"):
        play.processes[name] = source
        play.list_host(
            name,
            "kl-hall",
            "engine",
            rack="r1",
            accelerator="fast",
            memory_bytes=16_000_000,
            layers_per_s=1e6,
            slots=slots,
            link_bytes_s=1e9,
        )
    play.router_cfg = {
        "limits": {"streams": slots},
        "timing": {"between_events_s": 10.0, "first_event_s": 10.0},
    }
    play.start_entry("kl-1", "kl-hall")
    put_in_force(play)
    return play.processes["kl-1-router"]


def put_in_force(play: scene.Scene) -> None:
    """Appends a deployment to the log; the source serves all its layers."""
    deployment = {
        "id": "p.kl-hall",
        "model": scene.MODEL,
        "adapter": "",
        "version": "v1",
        "data_centre": "kl-hall",
        "layers": 32,
        "chains": [
            {
                "id": "c",
                "stages": [
                    {"upstream": "s1", "first": 0, "last": 16},
                    {"upstream": "s2", "first": 16, "last": 32},
                ],
                "tokens_per_s": 1.0,
            }
        ],
    }
    write_binding(play, "grooms", [deployment])


def write_binding(
    play: scene.Scene, workspace: str, deployments: list[dict[str, object]]
) -> None:
    """Appends the records that put a plan in force without loading layers."""
    names = [d["id"] for d in deployments]
    author = {"by": "bench", "at_ms": 0}
    findings = {
        "before_tokens_per_s": 0.0,
        "after_tokens_per_s": 1.0,
        "bound_tokens_per_s": 1.0,
        "load_s": 0.0,
        "unmet": [],
        "worse": [],
    }
    intent = {
        "id": f"i-{workspace}",
        "workspace": workspace,
        "model": scene.MODEL,
        "adapter": "",
        "version": "v1",
        "data_centres": ["kl-hall"],
        "priority": 1,
        "replicas": 1,
        "limit": 0,
        "racks": 1,
    }
    plan_id = f"p-{workspace}"
    records = [
        {
            "type": "IntentCreated",
            "id": f"r1-{workspace}",
            "intent": intent,
            **author,
        },
        {
            "type": "PlanMade",
            "id": f"r2-{workspace}",
            "plan_id": plan_id,
            "intent_id": f"i-{workspace}",
            "base_offset": 0,
            "reads": [],
            "writes": [],
            "deployments": deployments,
            "binding": {
                "workspace": workspace,
                "model": scene.MODEL,
                "deployments": names,
                "priority": 1,
                "limit": 0,
            },
            "findings": findings,
            **author,
        },
        {
            "type": "PlanConfirmed",
            "id": f"r3-{workspace}",
            "plan_id": plan_id,
            **author,
        },
        {
            "type": "LeaseTaken",
            "id": f"r4-{workspace}",
            "data_centre": "kl-hall",
            "holder": "bench",
            "duration_s": 600.0,
            "expects": 0,
            **author,
        },
    ]
    found = play.call("POST", "log", "/streams/config", {"records": records})
    # Another holder may have the lease already; a Prepared record counts only
    # with the fence of the lease in force, so one is written for each lease.
    offset = found["offset"] + 3
    status = play.call("GET", "log", "/streams/config?limit=500")
    leases = [o for o, r in status["records"] if r["type"] == "LeaseTaken"]
    prepared = [
        {
            "type": "Prepared",
            "id": f"r5-{workspace}-{fence}",
            "plan_id": plan_id,
            "data_centre": "kl-hall",
            "fence": fence,
            **author,
        }
        for fence in {offset, *leases}
    ]
    play.call("POST", "log", "/streams/config", {"records": prepared})
    play.wait_in_force(offset)


def run(streams: int = 200, seconds: float = 5.0) -> tuple[Cost, Cost]:
    """Measures the router and the plain relay under the same load."""
    play = scene.Scene()
    try:
        router = start_router(play, streams + 50)
        router_cost = measure(router, streams, seconds)
        plain = play.start(
            "plain",
            "bench.plain",
            "--upstream",
            play.processes["source"].address,
            "--threads",
            str(streams + 20),
        )
        return router_cost, measure(plain, streams, seconds)
    finally:
        play.close()


def main() -> None:
    """Measures and prints the figures."""
    figures.log_progress("relay: 200 streams at 20 events/s")
    router_cost, plain = run()
    figures.emit(
        figures.Figure(
            "cpu_per_relayed_event",
            router_cost.cpu_s_per_event * 1000,
            "ms",
            "urllib3 to waitress, nothing checked",
            plain.cpu_s_per_event * 1000,
        )
    )
    figures.emit(
        figures.Figure(
            "relayed_events",
            router_cost.events_per_s,
            "events/s",
            "offered",
            router_cost.offered_per_s,
        )
    )


if __name__ == "__main__":
    main()
