"""Steps on requests that share a prompt segment; the model is `crashes`."""

from __future__ import annotations

import random
from typing import Any, Final

from behave import given, then, when

from tests.routing import crashes

# Seconds of sound requests before the first fatal one.
CALM_S: Final = 5.0

# Time from the last allowed crash until sound requests must be served again.
RECOVER_S: Final = 2 * crashes.SETTLE_S

# Crashes that are allowed before the bounds apply.
ALLOWED_CRASHES: Final = 5


def parse_segments(text: str) -> tuple[str, ...]:
    """Returns segments written with commas between them."""
    return tuple(text.split(","))


class Traffic:
    """Sends sound requests at a steady rate, and fatal ones beside them."""

    def __init__(
        self, world: crashes.World, rate: float, segments: tuple[str, ...]
    ) -> None:
        self.world = world
        self.sound: list[str] = []
        self.fatal_from_s = 0.0
        self._rate = rate
        self._segments = segments
        self._rng = random.Random(11)
        self._next_sound_s = world.now_s

    def play(self, seconds: float) -> None:
        """Runs the model for some seconds beside sound requests."""
        world = self.world
        end_s = world.now_s + seconds
        while world.now_s < end_s:
            if world.now_s >= self._next_sound_s:
                self._next_sound_s += 1 / self._rate
                name = f"sound-{len(self.sound)}"
                host = self._rng.choice(world.hosts)
                world.send(host, name, name, self._segments)
                self.sound.append(name)
            world.play(crashes.STEP_S)

    def send_fatal(self, segments: tuple[str, ...]) -> str:
        """Sends a request that is like no other."""
        world = self.world
        name = f"odd-{world.arrived}"
        return world.send(
            self._rng.choice(world.hosts), name, name, segments=segments
        )

    def get_first_share(self, from_s: float, to_s: float) -> float:
        """Returns the share of sound requests begun at their first attempt."""
        world = self.world
        sent = [n for n in self.sound if from_s <= world.arrived_s[n] < to_s]
        assert len(sent) >= 20, len(sent)
        begun = [
            n for n in sent if n in world.begun and world.begun[n].attempt == 1
        ]
        return len(begun) / len(sent)


@given('engines that crash under the prompt segment "{segment}"')
def step_fatal_segment(context: Any, segment: str) -> None:
    context.world.fatal_segments.add(segment)


@given('{rate:d} sound requests a second with the segments "{segments}"')
def step_sound(context: Any, rate: int, segments: str) -> None:
    context.traffic = Traffic(context.world, rate, parse_segments(segments))
    context.traffic.play(CALM_S)


@when(
    'a request with the segments "{segments}" arrives every {every_s:g} s at a'
    " random host for {seconds:g} s"
)
def step_fatal_requests(
    context: Any, segments: str, every_s: float, seconds: float
) -> None:
    traffic, world = context.traffic, context.world
    traffic.fatal_from_s = world.now_s
    end_s = world.now_s + seconds
    while world.now_s < end_s:
        traffic.send_fatal(parse_segments(segments))
        traffic.play(every_s)


@then(
    "such requests reached engines at most {most:d} times more than"
    " {after_s:g} s after the fifth crash"
)
def step_few_late(context: Any, most: int, after_s: float) -> None:
    world = context.world
    assert after_s == crashes.SETTLE_S
    assert len(world.crashed_s) >= 1
    late = world.count_late(ALLOWED_CRASHES)
    assert late <= most, (late, len(world.crashed_s))


@then(
    "sound requests begin at their first attempt at least half as often as"
    " before"
)
def step_sound_served(context: Any) -> None:
    world, traffic = context.world, context.traffic
    crashed_s = world.crashed_s[:ALLOWED_CRASHES]
    before = traffic.get_first_share(0.0, traffic.fatal_from_s)
    after = traffic.get_first_share(
        crashed_s[-1] + RECOVER_S, world.now_s - crashes.RUN_S * 2
    )
    assert after >= before / 2, (before, after, len(world.crashed_s))
