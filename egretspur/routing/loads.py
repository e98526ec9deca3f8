"""A router's estimate of each upstream's load, health and links: pure.

Load reports lag. An upstream's load is estimated as the requests of other
routers at its last report, decaying with time, plus this router's requests in
flight. Decay is safe because a wrong estimate costs one refusal, which carries
a fresh report.
"""

from __future__ import annotations

import enum
import math
import random
from typing import Final

import attrs

# Time constant with which reported load of other routers decays to 1/e.
LOAD_DECAY_S: Final = 2.0

# Backoff after a failure; doubles with each failure in a row up to the maximum.
INITIAL_BACKOFF_S: Final = 1.0
MAX_BACKOFF_S: Final = 15.0

# Time over which a recovered upstream returns to its full share of work.
# Without this ramp all routers prefer the one idle upstream at once, and the
# thundering herd overloads it again.
RAMP_S: Final = 4.0

# Share of work at the start of the ramp.
RAMP_START_SHARE: Final = 0.1

# Unattributed failures in a row that count as a failure of the upstream.
UNATTRIBUTED_LIMIT: Final = 2

# Time constant with which a link's slowness decays, so that a slow link is
# tried again and regains its work.
SLOWNESS_DECAY_S: Final = 4.0

# Upper bound on a link's slowness, so that one slow sample can't exclude it for
# long.
MAX_SLOWNESS: Final = 50.0


class Health(enum.Enum):
    """Whether an upstream may be given work."""

    UP = "up"
    # Failed; not probed before `UpstreamLoad.probe_at_s`.
    DOWN = "down"
    # One request probes it.
    PROBING = "probing"


@attrs.define
class UpstreamLoad:
    """Load and health of one upstream."""

    slots: int
    # Requests of this router in flight.
    own: int = 0
    # Requests of other routers at the last report.
    others: float = 0.0
    reported_at_s: float = 0.0
    health: Health = Health.UP
    failures: int = 0
    unattributed: int = 0
    probe_at_s: float = 0.0
    # Monotonic time of its recovery; start of the ramp.
    recovered_at_s: float = -math.inf

    def estimate(self, now_s: float) -> float:
        """Returns the estimated number of requests that it runs."""
        age = now_s - self.reported_at_s
        return self.own + self.others * math.exp(-age / LOAD_DECAY_S)

    def has_free_slot(self, now_s: float) -> bool:
        """Returns whether it is estimated to have a free slot."""
        if self.health is Health.PROBING:
            return self.own == 0
        # A whole slot must be free by the estimate. If a fraction sufficed, a
        # full upstream would look free as soon as its report decayed a little,
        # and would refuse each waiting request repeatedly: 23 attempts a
        # request at three times the load.
        return not self.slots or self.estimate(now_s) + 1.0 <= self.slots

    def get_ramp_share(self, now_s: float) -> float:
        """Returns the share of its usual work that it may be given, up to 1."""
        if self.health is not Health.UP:
            return RAMP_START_SHARE
        age = now_s - self.recovered_at_s
        if age >= RAMP_S:
            return 1.0
        return RAMP_START_SHARE + (1 - RAMP_START_SHARE) * age / RAMP_S


def note_report(load: UpstreamLoad, total: int, now_s: float) -> None:
    """Records an upstream's report of all requests that it runs."""
    load.others = max(0, total - load.own)
    load.reported_at_s = now_s


def note_busy(load: UpstreamLoad, now_s: float) -> None:
    """Records that an upstream refused a request as busy."""
    load.others = max(0, max(load.slots, 1) - load.own)
    load.reported_at_s = now_s


def note_failure(
    load: UpstreamLoad, now_s: float, rng: random.Random, is_attributed: bool
) -> bool:
    """Records a failure.

    Args:
        load: Load of the upstream, changed in place.
        now_s: Monotonic time.
        rng: Source of the backoff's jitter.
        is_attributed: False if another stage of the chain may be at fault.

    Returns:
        True if the upstream was up and is down now.
    """
    if not is_attributed:
        load.unattributed += 1
        if load.unattributed < UNATTRIBUTED_LIMIT:
            return False
    load.unattributed = 0
    was_up = load.health is Health.UP
    load.health = Health.DOWN
    load.failures += 1
    pause = min(INITIAL_BACKOFF_S * 2 ** (load.failures - 1), MAX_BACKOFF_S)
    # The wide jitter keeps routers that saw the failure together from probing
    # the upstream at the same moment.
    load.probe_at_s = now_s + pause * rng.uniform(0.5, 1.5)
    return was_up


def note_success(load: UpstreamLoad, now_s: float) -> bool:
    """Records a sign of life; returns whether the upstream recovered by it."""
    load.unattributed = 0
    if load.health is Health.UP:
        return False
    load.health = Health.UP
    load.failures = 0
    load.recovered_at_s = now_s
    return True


def is_probe_due(load: UpstreamLoad, now_s: float) -> bool:
    """Returns whether one request may probe an upstream that is down."""
    return load.health is Health.DOWN and now_s >= load.probe_at_s


@attrs.define
class LinkSpeed:
    """Observed slowness of the link between two stages, against its best."""

    # Best time per token, in seconds; drifts up with each slower sample.
    best_s: float = math.inf
    slowness: float = 1.0
    seen_at_s: float = 0.0

    def get_slowness(self, now_s: float) -> float:
        """Returns the slowness factor, which decays to 1 with time."""
        age = now_s - self.seen_at_s
        return 1.0 + (self.slowness - 1.0) * math.exp(-age / SLOWNESS_DECAY_S)


def note_speed(link: LinkSpeed, token_s: float, now_s: float) -> None:
    """Records the time per token of a stream that used a link.

    A stream is slow if any link of its path is. A fast stream lowers the
    slowness of all its links at once; a slow one raises it step by step, so
    that links shared with fast streams stay low and only the slow link rises.
    """
    link.best_s = min(link.best_s * 1.01, token_s)
    factor = min(token_s / link.best_s, MAX_SLOWNESS)
    current = link.get_slowness(now_s)
    if factor < current:
        link.slowness = factor
    else:
        link.slowness = current + 0.4 * (factor - current)
    link.seen_at_s = now_s
