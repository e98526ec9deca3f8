"""One host's view of the retry budgets of all services: pure.

Joins what this host has spent with what the others said. Read next:
`egretspur.admission.shared`.
"""

from __future__ import annotations

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


class Repeats:
    """See the module's docstring."""

    def __init__(self, data_centre: str, options: Options) -> None:
        """Makes a state in which nothing was spent.

        Args:
            data_centre: Of this host.
            options: What all hosts together may spend on one service.
        """
        # Hosts that share the budgets, this one included.
        self.hosts = 1
        self._options = options
        self._budgets: dict[str, shared.SharedBudget] = {}
        self._ledger = shared.Ledger(data_centre)

    def earn(self, service: str, now_s: float) -> None:
        """Counts a request's first attempt."""
        self._get(service).earn(now_s)

    def spend(self, service: str, now_s: float) -> bool:
        """Takes one repeat; tells whether there was one."""
        others = self._ledger.sum_up(service, now_s)
        return self._get(service).spend(self.hosts, now_s, others)

    def get_standing(self, service: str) -> shared.Standing:
        """Returns where this host stands with a service's budget."""
        return self._get(service).get_standing(self.hosts)

    def hear(
        self,
        host: str,
        data_centre: str,
        spent: Mapping[str, shared.Spent],
        now_s: float,
    ) -> None:
        """Takes what another host, or a whole data centre, has spent."""
        self._ledger.hear(host, data_centre, spent, now_s)

    def list_spent(self, now_s: float) -> dict[str, shared.Spent]:
        """Returns what this host has spent, by service."""
        return {
            service: budget.tell(self.hosts, now_s)
            for service, budget in self._budgets.items()
        }

    def sum_spent(self, now_s: float) -> dict[str, shared.Spent]:
        """Returns what the hosts of this data centre have spent."""
        return {
            service: own.add(
                self._ledger.sum_up(service, now_s, near_only=True)
            )
            for service, own in self.list_spent(now_s).items()
        }

    def _get(self, service: str) -> shared.SharedBudget:
        budget = self._budgets.get(service)
        if budget is None:
            opts = self._options
            budget = shared.SharedBudget(
                opts.ratio, opts.allowance, opts.window_s
            )
            self._budgets[service] = budget
        return budget
