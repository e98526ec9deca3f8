"""``make bench``: prints all figures as JSON lines, each with a baseline."""

from __future__ import annotations

import sys
import time
from typing import Final

from bench import (
    choice,
    figures,
    fleet,
    policies,
    relay,
    saturation,
    slopes,
    worlds,
)
from egretspur.placement import grouping, planner, split
from tests import scene, stage

NODES: Final = 8


def main() -> int:
    """Runs all measurements in turn."""
    emit_policies()
    emit_choice()
    emit_placement()
    emit_fleet()
    emit_fold()
    relay.main()
    saturation.run()
    emit_in_force()
    emit_takeover()
    return 0


def emit_policies() -> None:
    """Prints p95 of the route choice and of simpler policies on one load."""
    figures.log_progress("routing policies")
    found = {n: policies.run(p) for n, p in policies.POLICIES.items()}
    ours = found["cheapest of two by speed"]
    for name, outcome in found.items():
        figures.emit(
            figures.Figure(
                f"request_p95 ({name})",
                outcome.p95_s,
                "s",
                "cheapest of two by speed",
                ours.p95_s,
            )
        )


def emit_choice() -> None:
    """Prints the duration of a route choice."""
    for replicas in choice.REPLICAS:
        figures.emit(
            figures.Figure(
                f"choice ({replicas} replicas of 4 stages)",
                choice.measure(replicas, 4),
                "us",
                "bound at 371 replicas",
                200.0,
            )
        )


def emit_fleet() -> None:
    """Prints the results of policies on the engine model, at three loads."""
    figures.log_progress("policies on the model of engines")
    loads = (1.0, 2.0, 3.0)
    fleet.emit(loads, fleet.compare(loads, fleet.POLICIES))


def emit_placement() -> None:
    """Prints all chains' joint rate over the bound, and an even split's."""
    hosts = [worlds.make_host(f"h{i}", i) for i in range(1484)]
    machines = planner.make_machines(hosts, worlds.make_spec("m"), "", {})
    pool = grouping.Pool(machines)
    rate = even = bound = 0.0
    while (group := pool.take_chain(worlds.LAYERS, {}, False)) is not None:
        rate += group.split.tokens_per_s
        flat = split.split_evenly(group.machines, worlds.LAYERS)
        even += flat.tokens_per_s if flat else 0.0
        bound += split.compute_bound(group.machines, worlds.LAYERS)
    figures.emit(
        figures.Figure(
            "placement_share_of_bound",
            rate / bound,
            "share",
            "even split of the same hosts",
            even / bound,
        )
    )


def emit_fold() -> None:
    """Prints the records folded a second."""
    slope = slopes.measure_fold((1600,))
    records, seconds = slope.points[0]
    figures.emit(
        figures.Figure(
            "fold", records / seconds, "records/s", "wanted", 20_000.0
        )
    )


def emit_in_force() -> None:
    """Prints seconds from confirmation to in force on routers of 8 nodes."""
    figures.log_progress(
        "confirmation to in force over 8 nodes in 2 data centres"
    )
    play = scene.Scene()
    try:
        play.start_platform()
        for data_centre in ("kl-hall", "pg-hall"):
            play.start_engine(f"{data_centre[:2]}-a", data_centre, "fast", 20)
            play.start_engine(f"{data_centre[:2]}-b", data_centre, "slow", 16)
        for number in range(NODES):
            data_centre = ("kl-hall", "pg-hall")[number % 2]
            play.start_entry(f"{data_centre[:2]}-{number}", data_centre)
        stage.wait_until(
            lambda: len(play.call("GET", "kl-0", "/v1/status")["leases"]) == 2,
            30,
        )
        data_centres = ["kl-hall", "pg-hall"]
        play.put_in_force("kl-0", "first", data_centres)
        times = []
        for number in range(5):
            plan = play.make_intent("kl-0", f"w{number}", data_centres)
            start = time.monotonic()
            code, _, err = play.run_cli("kl-0", "plan", "confirm", plan["id"])
            assert code == 0, err
            play.wait_active("kl-0", plan["id"])
            times.append(time.monotonic() - start)
    finally:
        play.close()
    figures.emit(
        figures.Figure(
            "confirmed_to_in_force_worst", max(times), "s", "bound", 5.0
        )
    )


def emit_takeover() -> None:
    """Prints seconds until a successor holds a crashed holder's lease."""
    figures.log_progress("takeover of the lease")
    play = scene.Scene()
    try:
        play.start_platform()
        for name in ("kl-1", "kl-2"):
            play.start_control(name, "kl-hall")

        def get_holder(name: str) -> str:
            leases = play.call("GET", name, "/v1/status")["leases"]
            return str(leases.get("kl-hall", "")).partition("/")[0]

        holder = stage.wait_until(lambda: get_holder("kl-1"), 20)
        stage.wait_until(lambda: get_holder("kl-2"), 20)
        other = "kl-2" if holder == "kl-1" else "kl-1"
        play.processes[holder].kill()
        start = time.monotonic()
        stage.wait_until(lambda: get_holder(other) == other, 60)
        took = time.monotonic() - start
    finally:
        play.close()
    figures.emit(
        figures.Figure(
            "lease_takeover",
            took,
            "s",
            "lease, margin and flight of this scene",
            3.0,
        )
    )


if __name__ == "__main__":
    sys.exit(main())
