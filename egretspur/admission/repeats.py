"""One host's view of the retry budgets of all services: pure.

Combines the retries that this host has sent with those that its peers
published. Read next:
`egretspur.admission.shared`.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from typing import Final

import attrs

from egretspur.admission import arrivals, backlogs, pauses, shared

# Windows for which a host counts as new at most while upstreams may hold
# requests of earlier processes: it has its whole part of the reserve then.
NEW_FRACTION: Final = 0.999


@attrs.frozen
class Options:
    """Retries allowed to all hosts together."""

    # Retries earned by each request.
    ratio: float
    # Retries allowed in a window in addition.
    allowance: float
    window_s: float
    # Time since which this host receives peer updates, or knows that it is the
    # only host; infinite if it doesn't yet. Nothing else tells what was spent
    # before its start: not even settings that call it the first one, since a
    # supervisor may start each later process with the same.
    since_s: float = math.inf


class RetryBudgets:
    """Retry budgets by service, as one host sees them."""

    def __init__(
        self,
        data_centre: str,
        options: Options,
        rng: random.Random | None = None,
    ) -> None:
        """Makes budgets of which nothing is spent.

        Args:
            data_centre: Data centre of this host.
            options: Limits of all hosts together for one service.
            rng: Draws the initial credit of a new host.
        """
        # Hosts that share the budgets, this one included.
        self.hosts = 1
        self.pauses = pauses.PauseDetector()
        self.arrivals = arrivals.Arrivals(options.window_s)
        self.backlogs = backlogs.Backlogs(options.window_s)
        self._options = options
        self._rng = rng or random.Random()
        self._since_s = options.since_s
        self._budgets: dict[str, shared.SharedBudget] = {}
        self._ledger = shared.PeerLedger(data_centre, options.window_s)

    def is_new(self, now_s: float) -> bool:
        """Tells whether retries from before this host's start may count."""
        return self._get_age_s(now_s) < self._options.window_s

    def _get_age_s(self, now_s: float) -> float:
        """Returns for how long this host has known of the others' retries."""
        return now_s - self._since_s

    def _get_known_s(self, service: str, now_s: float) -> float:
        """Returns for how long it has known of all retries to a service.

        It does not while an upstream may read what was sent before its start.
        """
        age_s = self._get_age_s(now_s)
        if self.backlogs.may_count(service, now_s):
            return min(age_s, NEW_FRACTION * self._options.window_s)
        return age_s

    def earn(self, service: str, now_s: float) -> None:
        """Counts a request that is read now.

        It counts from when it may have arrived: the requests that arrived
        during a pause are read within a moment, and beside those of the window
        after it they would earn the retries of more than a window.
        """
        arrived_s = self.pauses.get_earliest_arrival_s(now_s)
        self._get(service).earn(arrived_s)

    def spend(self, service: str, now_s: float) -> shared.Retry | None:
        """Takes one retry; returns None if none was available."""
        others = self._ledger.sum_peers(service, now_s)
        return self._get(service).spend(
            self.hosts, now_s, others, self._get_known_s(service, now_s)
        )

    def refund(self, service: str, retry: shared.Retry) -> None:
        """Returns a retry to a service's budget that was taken but not sent."""
        self._get(service).refund(retry)

    def reclaim(
        self, service: str, sending: arrivals.Sending
    ) -> shared.Retry | None:
        """Returns the retry of an attempt that was not sent, for another."""
        return self._get(service).reclaim(sending)

    def get_balance(self, service: str, now_s: float) -> shared.Balance:
        """Returns this host's balance of a service's budget."""
        others = self._ledger.sum_peers(service, now_s)
        return self._get(service).get_balance(
            self.hosts, now_s, others, self._get_known_s(service, now_s)
        )

    def get_heard_s(self, now_s: float) -> float | None:
        """Returns for how long it has known of the other hosts' retries.

        None if it doesn't yet.
        """
        age_s = self._get_age_s(now_s)
        return age_s if math.isfinite(age_s) else None

    def note_counted(self, hosts: int, now_s: float) -> None:
        """Records how many hosts there are, and that none tells of retries."""
        self.hosts = hosts
        self._since_s = min(self._since_s, now_s)

    def apply_peer_update(
        self,
        host: str,
        data_centre: str,
        spent: Mapping[str, shared.Spent],
        now_s: float,
        is_new: bool = False,
    ) -> None:
        """Stores what another host, or a whole data centre, has spent.

        Args:
            host: Host that sent the update.
            data_centre: Data centre of that host.
            spent: Spending by service.
            now_s: Monotonic time.
            is_new: Whether that host has received peer updates for less than
                a window.
        """
        self._since_s = min(self._since_s, now_s)
        self._ledger.apply_peer_update(host, data_centre, spent, now_s, is_new)

    def list_spent(self, now_s: float) -> dict[str, shared.Spent]:
        """Returns what this host has spent, by service."""
        return {
            service: budget.report_spent(
                self.hosts, now_s, self._get_known_s(service, now_s)
            )
            for service, budget in self._budgets.items()
        }

    def sum_local(self, now_s: float) -> dict[str, shared.Spent]:
        """Returns what all hosts of this data centre have spent."""
        return {
            service: own.add(
                self._ledger.sum_peers(service, now_s, local_only=True)
            )
            for service, own in self.list_spent(now_s).items()
        }

    def _get(self, service: str) -> shared.SharedBudget:
        budget = self._budgets.get(service)
        if budget is None:
            opts = self._options
            budget = shared.SharedBudget(
                opts.ratio, opts.allowance, opts.window_s, self._rng.random()
            )
            self._budgets[service] = budget
        return budget
