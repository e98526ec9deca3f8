"""What a router knows of each upstream's load, health and links: pure.

Load reports lag: an upstream's load is what it last reported of others, fading
with time, plus what this router itself has in flight. Fading is safe because a
wrong guess costs one refusal, which carries a fresh report.
"""

from __future__ import annotations

import enum
import math
import random
from typing import Final

import attrs

# Seconds after which a report of others' load counts 1/e.
FADE_S: Final = 2.0

# Pause after a failure; doubles with each failure in a row up to the longest.
FIRST_PAUSE_S: Final = 1.0
LONGEST_PAUSE_S: Final = 15.0

# Seconds over which an upstream that came back gets its full share again.
# Without a ramp every router prefers the one idle upstream at once, and the
# herd knocks it over a second time.
RAMP_S: Final = 4.0

# Smallest share during the ramp.
RAMP_START: Final = 0.1

# Unattributed failures in a row that count as one of the upstream's own.
STRIKES: Final = 2

# A link that looks slow is forgiven over this many seconds, so that it is
# tried again and gets its work back.
FORGIVE_S: Final = 4.0

# Slowest factor remembered; one slow sample can't shut out a link for long.
MAX_SLOWNESS: Final = 50.0


class Health(enum.Enum):
    """Whether an upstream may be given work."""

    UP = "up"
    # Failed; not before `UpstreamLoad.retry_at_s`.
    DOWN = "down"
    # One request is trying it out.
    PROBING = "probing"


@attrs.define
class UpstreamLoad:
    """Load and health of one upstream."""

    slots: int
    # Requests of this router in flight.
    own: int = 0
    # Requests of others at the last report.
    others: float = 0.0
    reported_at_s: float = 0.0
    health: Health = Health.UP
    failures: int = 0
    strikes: int = 0
    retry_at_s: float = 0.0
    # Monotonic time at which it came back; for the ramp.
    back_at_s: float = -math.inf

    def estimate(self, now_s: float) -> float:
        """Returns the requests it probably works on."""
        age = now_s - self.reported_at_s
        return self.own + self.others * math.exp(-age / FADE_S)

    def is_free(self, now_s: float) -> bool:
        """Tells whether it probably has a slot for one more request."""
        if self.health is Health.PROBING:
            return self.own == 0
        # A whole slot must be free by the estimate. Were any part of one
        # enough, a report of a full upstream would count as faded a moment
        # later, and every waiting request would be refused by it again and
        # again: measured, 23 attempts a request at three times the load.
        return not self.slots or self.estimate(now_s) + 1.0 <= self.slots

    def get_share(self, now_s: float) -> float:
        """Returns the part of its usual work it may be given, to 1."""
        if self.health is not Health.UP:
            return RAMP_START
        age = now_s - self.back_at_s
        if age >= RAMP_S:
            return 1.0
        return RAMP_START + (1 - RAMP_START) * age / RAMP_S


def note_report(load: UpstreamLoad, total: int, now_s: float) -> None:
    """Takes an upstream's report of all requests it works on."""
    load.others = max(0, total - load.own)
    load.reported_at_s = now_s


def note_full(load: UpstreamLoad, now_s: float) -> None:
    """Takes an upstream's refusal because it was busy."""
    load.others = max(0, max(load.slots, 1) - load.own)
    load.reported_at_s = now_s


def note_failure(
    load: UpstreamLoad, now_s: float, rng: random.Random, sure: bool
) -> bool:
    """Takes a failure.

    Args:
        load: Changed in place.
        now_s: Monotonic time.
        rng: For the spread of the pause.
        sure: False if another stage of the chain may be at fault.

    Returns:
        True if the upstream is down from now on and was not before.
    """
    if not sure:
        load.strikes += 1
        if load.strikes < STRIKES:
            return False
    load.strikes = 0
    was_up = load.health is Health.UP
    load.health = Health.DOWN
    load.failures += 1
    pause = min(FIRST_PAUSE_S * 2 ** (load.failures - 1), LONGEST_PAUSE_S)
    # Spread widely: routers that saw the failure together must not all try
    # the upstream again in the same moment.
    load.retry_at_s = now_s + pause * rng.uniform(0.5, 1.5)
    return was_up


def note_success(load: UpstreamLoad, now_s: float) -> bool:
    """Takes a proof of life; tells whether the upstream came back by it."""
    load.strikes = 0
    if load.health is Health.UP:
        return False
    load.health = Health.UP
    load.failures = 0
    load.back_at_s = now_s
    return True


def is_probe_due(load: UpstreamLoad, now_s: float) -> bool:
    """Tells whether one request may try out an upstream that is down."""
    return load.health is Health.DOWN and now_s >= load.retry_at_s


@attrs.define
class LinkSpeed:
    """How slow the way between two stages looks, against its best."""

    # Seconds per token at its best, drifting up slowly.
    best_s: float = math.inf
    slowness: float = 1.0
    seen_at_s: float = 0.0

    def get_slowness(self, now_s: float) -> float:
        """Returns the factor by which it looks slow, forgiven with time."""
        age = now_s - self.seen_at_s
        return 1.0 + (self.slowness - 1.0) * math.exp(-age / FORGIVE_S)


def note_speed(link: LinkSpeed, token_s: float, now_s: float) -> None:
    """Takes the time per token of a stream that went over a link.

    A stream is slow if any part of its way is. A fast one clears all parts at
    once; a slow one raises its parts only step by step, so that parts shared
    with fast streams stay clear and the slow one stands out.
    """
    link.best_s = min(link.best_s * 1.01, token_s)
    factor = min(token_s / link.best_s, MAX_SLOWNESS)
    current = link.get_slowness(now_s)
    if factor < current:
        link.slowness = factor
    else:
        link.slowness = current + 0.4 * (factor - current)
    link.seen_at_s = now_s
