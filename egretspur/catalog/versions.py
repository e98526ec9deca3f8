"""Which configuration a host has in force, and what it has heard of newer ones.

A version that comes late, one that the host has never heard of and a topic that
can't be read look the same to callers; see `Status`. Read next:
`egretspur.daemons.follow`.
"""

from __future__ import annotations

import math
import threading
import time
from collections.abc import Callable
from typing import Final

import attrs

from egretspur.catalog import config


@attrs.frozen
class Status:
    """What a host knows of the configuration's versions."""

    # Version in force, and for how many seconds; 0 and infinite before the
    # first one.
    version: int
    age_s: float
    # Newest version that was read or that another host named.
    newest: int
    # Seconds since a version newer than the one in force was first heard of; 0
    # if there is none.
    behind_s: float
    # Seconds since the topic was last read, from the store or another host;
    # infinite before the first read.
    read_age_s: float


# How long a host waits for its own read of a version that others have. Reads of
# several hosts end at the same moment, where the store answers all of them.
OWN_READ_S: Final = 0.3


class Versions:
    """The versions of the configuration; thread-safe."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Makes an object without versions.

        Args:
            clock: Monotonic time, in seconds.
        """
        self._clock = clock
        self._lock = threading.Lock()
        # In force.
        self.current: config.Configuration | None = None
        self._applied_s = -math.inf
        self._newest = 0
        # When a version newer than that in force was first heard of.
        self._behind_since_s: float | None = None
        self._read_s = -math.inf
        # Newest version that others had for so long that the own read was, or
        # is to be, given up.
        self._given_up = 0

    def note_read(self) -> None:
        """Notes that the topic was read."""
        with self._lock:
            self._read_s = self._clock()

    def note_heard(self, version: int) -> bool:
        """Notes that a version exists; returns whether it is the newest."""
        with self._lock:
            if version <= self._newest:
                return False
            self._newest = version
            if self._behind_since_s is None:
                self._behind_since_s = self._clock()
            return True

    def is_newer(self, cfg: config.Configuration) -> bool:
        """Notes a configuration that was read; returns whether to apply it."""
        self.note_heard(cfg.version)
        with self._lock:
            return self.current is None or config.is_newer(cfg, self.current)

    def note_applied(self, cfg: config.Configuration) -> None:
        """Notes that every part of the host has applied a configuration."""
        with self._lock:
            self.current = cfg
            self._applied_s = self._clock()
            if cfg.version >= self._newest:
                self._behind_since_s = None

    def must_give_up_read(self) -> bool:
        """Returns whether to give up the own read; once for each version."""
        with self._lock:
            since_s = self._behind_since_s
            if (
                since_s is None
                or self._newest <= self._given_up
                or self._clock() - since_s < OWN_READ_S
            ):
                return False
            self._given_up = self._newest
            return True

    def is_behind(self) -> bool:
        """Returns whether a version newer than that in force was heard of."""
        return self._behind_since_s is not None

    def get_version(self) -> int:
        """Returns the version in force; 0 if there is none."""
        cfg = self.current
        return cfg.version if cfg else 0

    def get_status(self) -> Status:
        """Returns what is known now."""
        with self._lock:
            now_s = self._clock()
            since_s = self._behind_since_s
            return Status(
                self.get_version(),
                now_s - self._applied_s,
                self._newest,
                0.0 if since_s is None else now_s - since_s,
                now_s - self._read_s,
            )
