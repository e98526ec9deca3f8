"""Has the desk do what came due, and probes upstreams that failed.

Symptom without probes: requests themselves find out whether an upstream is
back, each at the price of a time-out and a repeat. Read next:
`egretspur.routing.health`.
"""

from __future__ import annotations

import concurrent.futures
import threading
from collections.abc import Callable, Sequence
from typing import Final

from egretspur import guard
from egretspur.admission import quarantine
from egretspur.catalog import upstreams
from egretspur.routing import desk

# Seconds between two looks at what is due while a request waits or an upstream
# has just failed, and otherwise: then little comes due, entries that did not
# come back and probes of upstreams that are long dead.
PERIOD_S: Final = 0.05
REST_S: Final = 0.25

# Probes at once. A dark upstream holds one for the time of a time-out; half
# of a data centre may be dark.
THREADS: Final = 4

# Asks an upstream; returns its report, or None if it did not answer.
Probe = Callable[[upstreams.Upstream], upstreams.EngineReport | None]


class Prober:
    """See the module's docstring."""

    def __init__(
        self,
        to: desk.Desk,
        probe: Probe,
        hurry: Callable[[], None] = lambda: None,
        save: Callable[[Sequence[quarantine.Change]], None] = lambda c: None,
    ) -> None:
        """Makes a prober.

        Args:
            to: Knows what is due.
            probe: Asks an upstream.
            hurry: Called where other hosts should be told of a failing
                upstream, or of a request to be held, at once.
            save: Has changes of the quarantine written to the store.
        """
        self._desk = to
        self._probe = probe
        self._hurry = hurry
        self._save = save
        self._pool = concurrent.futures.ThreadPoolExecutor(
            THREADS, thread_name_prefix="probe"
        )
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="tick", daemon=True
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
            self._desk.wait_busy(REST_S - PERIOD_S)
            with guard.log_exceptions("tick"):
                due = self._desk.take_due()
                for entry in due.probes:
                    self._pool.submit(self._ask, entry)
                if due.has_suspects or due.unsaved:
                    self._hurry()
                if due.unsaved:
                    self._save(due.unsaved)

    def _ask(self, entry: upstreams.Upstream) -> None:
        report = None
        with guard.log_exceptions("probe"):
            report = self._probe(entry)
        # Told in any case, or it would never be asked again.
        self._desk.tell(desk.Probed(entry.id, report))
