"""Runs the broker's timers and probes upstreams that failed.

Without probes, requests themselves would find out whether an upstream has
recovered, each at the cost of a timeout and a retry. Read next:
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

# Tick intervals in seconds: `PERIOD_S` while a request waits or an upstream has
# just failed, else `REST_S`. Little is due then: removal of list entries that
# did not come back, and probes of upstreams that have been down for long.
PERIOD_S: Final = 0.05
REST_S: Final = 0.25

# Maximum concurrent probes. An unreachable upstream occupies a thread until the
# probe times out, and half of a data centre may be unreachable.
THREADS: Final = 4

# Probes an upstream; returns its report, or None if it did not answer.
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
        """Creates a prober; `start` runs it.

        Args:
            to: Returns the work that is due and receives probe results.
            probe: Probes an upstream.
            hurry: Called when a peer update about a failing upstream or a
                quarantined request should be sent at once.
            save: Called with quarantine changes to be written to the store.
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
        """Starts the ticker thread."""
        self._thread.start()

    def close(self) -> None:
        """Stops the ticker; running probes end by their own timeouts."""
        self._stop.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _run(self) -> None:
        while not self._stop.wait(PERIOD_S):
            self._desk.wait_busy(REST_S - PERIOD_S)
            with guard.surviving("tick"):
                due = self._desk.take_due()
                for entry in due.probes:
                    self._pool.submit(self._ask, entry)
                if due.has_suspects or due.unsaved:
                    self._hurry()
                if due.unsaved:
                    self._save(due.unsaved)

    def _ask(self, entry: upstreams.Upstream) -> None:
        report = None
        with guard.surviving("probe"):
            report = self._probe(entry)
        # Sent also after an error; without a result, the upstream would never
        # be probed again.
        self._desk.tell(desk.Probed(entry.id, report))
