"""One host's view of the retry budgets of all services: pure.

Joins what this host has spent with what the others said. Read next:
`egretspur.admission.shared`.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping

import attrs

from egretspur.admission import shared


@attrs.frozen
class Options:
    """Repeats allowed to all hosts together."""

    # Repeats earned by each request.
    ratio: float
    # Repeats allowed in a window besides.
    allowance: float
    window_s: float
    # Since when this host hears what the others spend; infinite where it has
    # heard nobody yet.
    since_s: float = -math.inf


class RetryBudgets:
    """See the module's docstring."""

    def __init__(
        self,
        data_centre: str,
        options: Options,
        rng: random.Random | None = None,
    ) -> None:
        """Makes a state in which nothing was spent.

        Args:
            data_centre: Of this host.
            options: What all hosts together may spend on one service.
            rng: Draws which new hosts repeat first.
        """
        # Hosts that share the budgets, this one included.
        self.hosts = 1
        self._options = options
        self._rng = rng or random.Random()
        self._since_s = options.since_s
        self._budgets: dict[str, shared.SharedBudget] = {}
        self._ledger = shared.PeerLedger(data_centre, options.window_s)

    def is_new(self, now_s: float) -> bool:
        """Tells whether repeats from before this host's start may count."""
        return self._get_age_s(now_s) < self._options.window_s

    def _get_age_s(self, now_s: float) -> float:
        """Returns how long this host has heard the others."""
        return now_s - self._since_s

    def earn(self, service: str, now_s: float) -> None:
        """Counts a request's first attempt."""
        self._get(service).earn(now_s)

    def spend(self, service: str, now_s: float) -> bool:
        """Takes one repeat; tells whether there was one."""
        others = self._ledger.sum_peers(service, now_s)
        return self._get(service).spend(
            self.hosts, now_s, others, self._get_age_s(now_s)
        )

    def refund(self, service: str, taken_s: float) -> None:
        """Returns a repeat that was taken then and not sent."""
        self._get(service).refund(taken_s)

    def get_balance(self, service: str, now_s: float) -> shared.Balance:
        """Returns where this host stands with a service's budget."""
        budget = self._get(service)
        return budget.get_balance(self.hosts, self._get_age_s(now_s))

    def apply_peer_update(
        self,
        host: str,
        data_centre: str,
        spent: Mapping[str, shared.Spent],
        now_s: float,
        is_new: bool = False,
    ) -> None:
        """Takes what another host, or a whole data centre, has spent.

        Args:
            host: Who said it.
            data_centre: Of that host.
            spent: By service.
            now_s: Monotonic time.
            is_new: That host has heard others for less than a window.
        """
        self._since_s = min(self._since_s, now_s)
        self._ledger.apply_peer_update(host, data_centre, spent, now_s, is_new)

    def list_spent(self, now_s: float) -> dict[str, shared.Spent]:
        """Returns what this host has spent, by service."""
        age_s = self._get_age_s(now_s)
        return {
            service: budget.report_spent(self.hosts, now_s, age_s)
            for service, budget in self._budgets.items()
        }

    def sum_local(self, now_s: float) -> dict[str, shared.Spent]:
        """Returns what the hosts of this data centre have spent."""
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
