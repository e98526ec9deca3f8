"""Probes upstreams that failed, until they answer.

Symptom without it: requests themselves find out whether an upstream is back,
each at the price of a time-out and a repeat.
"""

from __future__ import annotations

import concurrent.futures
import threading
from collections.abc import Callable
from typing import Final

from egretspur import guard
from egretspur.catalog import upstreams
from egretspur.routing import desk

# Seconds between two looks at what is due.
PERIOD_S: Final = 0.1

# Probes at once. A dark upstream holds one for the time of a time-out; half
# of a data centre may be dark.
THREADS: Final = 4

# Asks an upstream; returns its report, or None if it did not answer.
Probe = Callable[[upstreams.Upstream], upstreams.EngineReport | None]


class Prober:
    """See the module's docstring."""

    def __init__(self, to: desk.Desk, probe: Probe) -> None:
        self._desk = to
        self._probe = probe
        self._pool = concurrent.futures.ThreadPoolExecutor(
            THREADS, thread_name_prefix="probe"
        )
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="probes", daemon=True
        )

    def start(self) -> None:
        """Starts to look."""
        self._thread.start()

    def close(self) -> None:
        """Stops; probes under way are left to their bounds."""
        self._stop.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _run(self) -> None:
        while not self._stop.wait(PERIOD_S):
            with guard.surviving("probes"):
                for entry in self._desk.take_probes():
                    self._pool.submit(self._ask, entry)

    def _ask(self, entry: upstreams.Upstream) -> None:
        report = None
        with guard.surviving("probe"):
            report = self._probe(entry)
        # Told in any case, or it would never be asked again.
        self._desk.tell(desk.Probed(entry.id, report))
