"""Processor time of a process by duty, that is by kind of thread, for metrics.

Each duty has threads of its own, named after it. The operating system counts
the processor time of each thread anyway, so there is no cost until the metrics
are read. Where the processor is overloaded, they show an operator by what. Read
next: `egretspur.daemons.pages`.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Mapping
from typing import Final

# Duty that stands for all threads that have ended, mostly those of streams.
ENDED_THREADS: Final = "ended"

# Duties of threads that libraries or the interpreter name, by prefix of the
# name.
_DUTY_BY_PREFIX: Final = {
    "MainThread": "main",
    "DeskActor": "decisions",
    "waitress": "requests",
}


def read_cpu_seconds() -> Mapping[str, float]:
    """Returns the processor seconds of each duty since the process started."""
    seconds: dict[str, float] = {}
    for thread in threading.enumerate():
        duty = get_duty(thread.name)
        seconds[duty] = seconds.get(duty, 0.0) + _read_thread(thread)
    ended_s = time.process_time() - sum(seconds.values())
    # The clocks are read one after the other: the difference may be negative.
    seconds[ENDED_THREADS] = max(0.0, ended_s)
    return seconds


def get_duty(thread: str) -> str:
    """Returns the duty of a thread from its name: ``probe_3`` is ``probe``."""
    for start, duty in _DUTY_BY_PREFIX.items():
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
        # The thread has ended in the meantime.
        return 0.0
