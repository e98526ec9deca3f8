"""Measures throughput, overload and recovery of routers on fake engines."""

from __future__ import annotations

import threading
import time
from typing import Final

import attrs

from bench import figures, load
from tests import scene, stage

ROUTERS: Final = 2
TOKENS: Final = 20

# Layers per second of each kind of engine; two of the four chains are of each
# kind. Slow enough that the fake engines use little of this machine's CPU.
LAYERS_PER_S: Final = {"fast": 3200.0, "slow": 1600.0}

# After a failure, load is recovered once p95 of the first token is within this
# ratio of the value before it.
RECOVERED_P95_RATIO: Final = 1.5
P95_WINDOW_S: Final = 0.5


@attrs.define
class Testbed:
    """A scene with four chains of two stages, two fast and two slow."""

    play: scene.Scene
    # Tokens per second that the chains can deliver at most.
    bound_tokens_per_s: float = 0.0

    @property
    def addresses(self) -> list[str]:
        """Addresses of the routers."""
        return [
            self.play.processes[f"kl-{n}-router"].address
            for n in range(1, ROUTERS + 1)
        ]


def start_testbed(limit: int = 0) -> Testbed:
    """Starts the scene with three workspaces, one of higher priority."""
    scene.LAYERS_PER_S.update(LAYERS_PER_S)
    play = scene.Scene()
    play.router_cfg = {
        "limits": {"streams": 400, "queue_length": 64},
        "timing": {"deadline_s": 3.0},
    }
    play.start_platform()
    for rack, kind in (
        ("r1", "fast"),
        ("r2", "fast"),
        ("r3", "slow"),
        ("r4", "slow"),
    ):
        for part in ("a", "b"):
            play.start_engine(f"{rack}-{part}", "kl-hall", kind, 16, rack, 8)
    for number in range(1, ROUTERS + 1):
        play.start_entry(f"kl-{number}", "kl-hall")
    testbed = Testbed(play, sum(2 * s / 16 for s in LAYERS_PER_S.values()))
    stage.wait_until(
        lambda: play.call("GET", "kl-1", "/v1/status")["leases"], 30, "lease"
    )
    for workspace, priority in (("large", 5), ("small", 5), ("urgent", 9)):
        play.put_in_force(
            "kl-1",
            workspace,
            ["kl-hall"],
            replicas=4,
            priority=priority,
            limit=limit if workspace == "large" else 0,
        )
    return testbed


def run_saturation(
    testbed: Testbed, factor: float, seconds: float
) -> load.Result:
    """Sends requests at a multiple of the bound."""
    rate = factor * testbed.bound_tokens_per_s / TOKENS
    shape = load.Shape(
        rate,
        seconds,
        (("large", 0.8), ("small", 0.1), ("urgent", 0.1)),
        TOKENS,
    )
    return load.run_load(testbed.addresses, shape)


def measure_share(testbed: Testbed, factor: float) -> float:
    """Returns the delivered share of the bound at a multiple of the bound."""
    seconds = 12.0
    result = run_saturation(testbed, factor, seconds)
    done = result.count_tokens(2.0, seconds) / (seconds - 2.0)
    return done / testbed.bound_tokens_per_s


def emit_saturation(testbed: Testbed) -> None:
    """Prints throughput at 1.2 times the bound and goodput at 3 times."""
    figures.log_progress("throughput at 1.2 times the bound")
    figures.emit(
        figures.Figure(
            "throughput_share_of_bound",
            measure_share(testbed, 1.2),
            "share",
            "bound, tokens/s",
            testbed.bound_tokens_per_s,
        )
    )
    figures.log_progress("goodput at three times the bound")
    figures.emit(
        figures.Figure(
            "goodput_share_at_3x",
            measure_share(testbed, 3.0),
            "share",
            "throughput wanted",
            0.85,
        )
    )


def emit_recovery(testbed: Testbed) -> None:
    """Prints the recovery after one of four replicas crashes at 80% load."""
    figures.log_progress("recovery after one of four replicas dies")
    seconds, kill_at = 14.0, 6.0
    killer = threading.Timer(kill_at, testbed.play.processes["r3-a"].kill)
    killer.start()
    # The load is 80% of the bound of all four replicas. The three that remain
    # then carry 96% of their own bound.
    result = run_saturation(testbed, 0.8, seconds)
    before = get_p95(result, 1.0, kill_at)
    recovered = seconds - kill_at
    start = kill_at
    while start + P95_WINDOW_S <= seconds:
        if (
            get_p95(result, start, start + P95_WINDOW_S)
            <= RECOVERED_P95_RATIO * before
        ):
            recovered = start - kill_at
            break
        start += P95_WINDOW_S / 5
    figures.emit(
        figures.Figure(
            "recovery_s",
            recovered,
            "s",
            "p95 of first token before, ms",
            before * 1000,
        )
    )
    lost = [s for s in result.samples if s.status == 200 and not s.is_complete]
    figures.emit(
        figures.Figure(
            "answers_not_whole_after_death",
            len(lost),
            "answers",
            "answers",
            sum(1 for s in result.samples if s.status == 200),
        )
    )


def emit_limit() -> None:
    """Prints requests running at a limit, with and without peer updates."""
    figures.log_progress("a workspace's limit over two routers")
    limit = 12
    testbed = start_testbed(limit)
    try:
        for name, is_cut in (("together", False), ("cut off", True)):
            if is_cut:
                for number in range(1, ROUTERS + 1):
                    testbed.play.processes[f"kl-{number}"].pause()
                # Longer than peer updates count as current.
                time.sleep(4.0)
            worst = measure_peak_running(testbed)
            figures.emit(
                figures.Figure(
                    f"running_at_limit ({name})",
                    worst,
                    "requests",
                    "limit",
                    limit,
                )
            )
    finally:
        testbed.play.close()


def measure_peak_running(testbed: Testbed) -> int:
    """Overloads the limited workspace; returns its peak of running requests."""
    shape = load.Shape(
        3.0 * testbed.bound_tokens_per_s / TOKENS,
        5.0,
        (("large", 1.0),),
        TOKENS,
    )
    sender = threading.Thread(
        target=load.run_load, args=(testbed.addresses, shape)
    )
    sender.start()
    worst = 0
    while sender.is_alive():
        running = 0
        for number in range(1, ROUTERS + 1):
            dump = testbed.play.call("GET", f"kl-{number}-router", "/state")
            running += sum(dump["traffic"]["running"].values())
        worst = max(worst, running)
        time.sleep(0.1)
    return worst


def get_p95(result: load.Result, start_s: float, end_s: float) -> float:
    """Returns p95 of the first-token time of requests sent in a window.

    Requests that did not complete count as 60 s, as does an empty window.
    """
    times = sorted(
        s.first_s if s.is_complete else 60.0
        for s in result.samples
        if start_s <= s.sent_s < end_s and s.status == 200
    )
    return times[int(len(times) * 0.95)] if times else 60.0


def run() -> None:
    """Measures and prints the figures."""
    testbed = start_testbed()
    try:
        emit_saturation(testbed)
        time.sleep(1.0)
        emit_recovery(testbed)
    finally:
        testbed.play.close()
    emit_limit()


if __name__ == "__main__":
    run()
