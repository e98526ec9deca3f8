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

# Tick interval while a request waits or an upstream has just failed.
BUSY_TICK_S: Final = 0.05

# Tick interval otherwise. Little is due then: removal of list entries that did
# not come back, and probes of upstreams that have been down for long.
IDLE_TICK_S: Final = 0.25

# Maximum concurrent probes. An unreachable upstream occupies a thread until the
# probe times out, and half of a data centre may be unreachable.
MAX_PROBES: Final = 4

# Probes an upstream; returns its report, or why there is none.
Probe = Callable[
    [upstreams.Upstream], upstreams.EngineReport | upstreams.ProbeFailed
]

# Result of a probe that ended by an error of this host.
PROBE_ERROR: Final = upstreams.ProbeFailed(
    "an error of this host", is_connected=True
)


class Prober:
    """See the module's docstring."""

    def __init__(
        self,
        to: desk.Desk,
        probe: Probe,
        send_update: Callable[[], None] = lambda: None,
        save: Callable[[Sequence[quarantine.Change]], None] = lambda c: None,
    ) -> None:
        """Creates a prober; `start` runs it.

        Args:
            to: Returns the work that is due and receives probe results.
            probe: Probes an upstream.
            send_update: Has a peer update sent at once, because of a failing
                upstream or a change of the quarantine.
            save: Has changes of the quarantine written to the store.
        """
        self._desk = to
        self._probe = probe
        self._send_update = send_update
        self._save = save
        self._pool = concurrent.futures.ThreadPoolExecutor(
            MAX_PROBES, thread_name_prefix="probe"
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
        while not self._stop.wait(BUSY_TICK_S):
            self._desk.wait_busy(IDLE_TICK_S - BUSY_TICK_S)
            with guard.log_exceptions("tick"):
                due = self._desk.tick()
                for entry in due.probes:
                    self._pool.submit(self._probe_upstream, entry)
                if due.has_suspects or due.unsaved:
                    self._send_update()
                if due.unsaved:
                    self._save(due.unsaved)

    def _probe_upstream(self, entry: upstreams.Upstream) -> None:
        report: upstreams.EngineReport | upstreams.ProbeFailed = PROBE_ERROR
        with guard.log_exceptions("probe"):
            report = self._probe(entry)
        # Sent also after an error; without a result, the upstream would never
        # be probed again.
        self._desk.tell(desk.Probed(entry.id, report))
