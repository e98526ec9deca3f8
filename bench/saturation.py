"""Throughput, overload and recovery over real processes and stand-ins."""

from __future__ import annotations

import threading
import time
from typing import Final

import attrs

from bench import figures, load
from tests import scene, stage

ROUTERS: Final = 2
TOKENS: Final = 20

# Layers per second of the four chains' stages, two kinds each: slow enough
# that the stand-ins take little of this machine.
SPEEDS: Final = {"fast": 3200.0, "slow": 1600.0}

# Ratio of the first-token time that still counts as prompt after a failure.
PROMPT: Final = 1.5
WINDOW_S: Final = 0.5


@attrs.define
class Bed:
    """A scene with four chains of two stages, fast and slow."""

    play: scene.Scene
    # Tokens per second that the chains could deliver.
    bound: float = 0.0

    @property
    def addresses(self) -> list[str]:
        """Addresses of the routers."""
        return [
            self.play.processes[f"kl-{n}-router"].address
            for n in range(1, ROUTERS + 1)
        ]


def start_bed(limit: int = 0) -> Bed:
    """Starts the scene with three workspaces of unlike priority."""
    scene.LAYERS_PER_S.update(SPEEDS)
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
    bed = Bed(play, sum(2 * s / 16 for s in SPEEDS.values()))
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
    return bed


def run_saturation(bed: Bed, factor: float, seconds: float) -> load.Result:
    """Sends a multiple of the bound."""
    rate = factor * bed.bound / TOKENS
    shape = load.Shape(
        rate,
        seconds,
        (("large", 0.8), ("small", 0.1), ("urgent", 0.1)),
        TOKENS,
    )
    return load.run_load(bed.addresses, shape)


def measure_share(bed: Bed, factor: float) -> float:
    """Returns the share of the bound that is delivered at so much load."""
    seconds = 12.0
    result = run_saturation(bed, factor, seconds)
    done = result.count_tokens(2.0, seconds) / (seconds - 2.0)
    return done / bed.bound


def emit_saturation(bed: Bed) -> None:
    """Throughput at the bound, and goodput at three times it."""
    figures.say("throughput at 1.2 times the bound")
    figures.emit(
        figures.Figure(
            "throughput_share_of_bound",
            measure_share(bed, 1.2),
            "share",
            "bound, tokens/s",
            bed.bound,
        )
    )
    figures.say("goodput at three times the bound")
    figures.emit(
        figures.Figure(
            "goodput_share_at_3x",
            measure_share(bed, 3.0),
            "share",
            "throughput wanted",
            0.85,
        )
    )


def emit_recovery(bed: Bed) -> None:
    """One of four replicas dies under 80% load."""
    figures.say("recovery after one of four replicas dies")
    seconds, kill_at = 14.0, 6.0
    killer = threading.Timer(kill_at, bed.play.processes["r3-a"].kill)
    killer.start()
    # 80% of what is left would be more than the rest can take; the load is
    # 80% of the four, as the issue asks, and the rest carries 96% of its own.
    result = run_saturation(bed, 0.8, seconds)
    before = get_p95(result, 1.0, kill_at)
    recovered = seconds - kill_at
    start = kill_at
    while start + WINDOW_S <= seconds:
        if get_p95(result, start, start + WINDOW_S) <= PROMPT * before:
            recovered = start - kill_at
            break
        start += WINDOW_S / 5
    figures.emit(
        figures.Figure(
            "recovery_s",
            recovered,
            "s",
            "p95 of first token before, ms",
            before * 1000,
        )
    )
    lost = [s for s in result.samples if s.status == 200 and not s.whole]
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
    """A workspace's limit over two routers, and with news of peers stopped."""
    figures.say("a workspace's limit over two routers")
    limit = 12
    bed = start_bed(limit)
    try:
        for name, is_cut in (("together", False), ("cut off", True)):
            if is_cut:
                for number in range(1, ROUTERS + 1):
                    bed.play.processes[f"kl-{number}"].pause()
                # Longer than news count as current.
                time.sleep(4.0)
            worst = watch_limit(bed)
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
        bed.play.close()


def watch_limit(bed: Bed) -> int:
    """Overloads the limited workspace; returns the most it ran at once."""
    shape = load.Shape(3.0 * bed.bound / TOKENS, 5.0, (("large", 1.0),), TOKENS)
    sender = threading.Thread(target=load.run_load, args=(bed.addresses, shape))
    sender.start()
    worst = 0
    while sender.is_alive():
        running = 0
        for number in range(1, ROUTERS + 1):
            dump = bed.play.call("GET", f"kl-{number}-router", "/state")
            running += sum(dump["traffic"]["running"].values())
        worst = max(worst, running)
        time.sleep(0.1)
    return worst


def get_p95(result: load.Result, start_s: float, end_s: float) -> float:
    """Returns p95 of the first token of requests sent in a window."""
    times = sorted(
        s.first_s if s.whole else 60.0
        for s in result.samples
        if start_s <= s.sent_s < end_s and s.status == 200
    )
    return times[int(len(times) * 0.95)] if times else 60.0


def run() -> None:
    """Emits the figures."""
    bed = start_bed()
    try:
        emit_saturation(bed)
        time.sleep(1.0)
        emit_recovery(bed)
    finally:
        bed.play.close()
    emit_limit()


if __name__ == "__main__":
    run()
