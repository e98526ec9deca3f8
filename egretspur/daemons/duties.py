"""Which duty of a process takes its processor time, for the metrics.

Each duty has threads of its own, named after it; the system counts a thread's
processor time anyway, so that asking costs nothing until someone asks. Where
the processor is short an operator sees what takes it. Read next:
`egretspur.daemons.pages`.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Mapping
from typing import Final

# Of what threads used that have ended since: those of the streams, mostly.
ENDED: Final = "ended"

# Duties whose threads' names are of other makers, by the start of the name.
_NAMES: Final = {
    "MainThread": "main",
    "DeskActor": "decisions",
    "waitress": "requests",
}


def read_seconds() -> Mapping[str, float]:
    """Returns the processor seconds of each duty since the process started."""
    seconds: dict[str, float] = {}
    for thread in threading.enumerate():
        duty = name_duty(thread.name)
        seconds[duty] = seconds.get(duty, 0.0) + _read_thread(thread)
    ended_s = time.process_time() - sum(seconds.values())
    # The two clocks are read one after the other.
    seconds[ENDED] = max(0.0, ended_s)
    return seconds


def name_duty(thread: str) -> str:
    """Returns the duty of a thread, by its name: ``probe_3`` is ``probe``."""
    for start, duty in _NAMES.items():
        if thread.startswith(start):
            return duty
    return thread.rstrip("0123456789").rstrip("-_ ") or thread


def _read_thread(thread: threading.Thread) -> float:
    if thread.ident is None:
        return 0.0
    try:
        clock = time.pthread_getcpuclockid(thread.ident)
        return time.clock_gettime(clock)
    except OSError:
        # It has ended meanwhile.
        return 0.0
