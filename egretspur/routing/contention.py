"""What one host knows of the fleet's scarce capacity: pure.

Collects the parts whose state hosts exchange in contention updates
(`egretspur.membership.contention`). With plenty of capacity there is none, and
no update is sent.
"""

from __future__ import annotations

from typing import Any

from egretspur.admission import queue as queues
from egretspur.admission import turns
from egretspur.membership import contention
from egretspur.routing import links, promises


class Contention:
    """See the module's docstring."""

    def __init__(
        self,
        load: links.Links,
        promised: promises.Promises,
        shared_turns: turns.Turns,
        queue: queues.Queue,
    ) -> None:
        """Makes a view.

        Args:
            load: Load of the links between data centres.
            promised: Times at which refused callers were told to return.
            shared_turns: Requests that wait at other hosts.
            queue: Requests that wait at this host.
        """
        self.links = load
        self._promises = promised
        self._turns = shared_turns
        self._queue = queue

    def set_host_count(self, hosts: int) -> None:
        """Sets how many hosts, with this one, share the capacity."""
        self.links.hosts = hosts
        self._turns.hosts = hosts

    def apply_peer_update(
        self, update: contention.ContentionUpdate, now_s: float
    ) -> None:
        """Applies another host's update."""
        self.links.apply_peer_load(
            update.host, update.data_centre, update.links, now_s
        )
        self._promises.apply_peer_returns(
            update.host, update.data_centre, update.returns, now_s
        )
        self._turns.apply_peer_waiting(
            update.host, update.data_centre, update.waiting, now_s
        )

    def make_update(
        self, host: str, data_centre: str, now_s: float
    ) -> contention.ContentionUpdate:
        """Returns this host's update for the others of its data centre."""
        return contention.ContentionUpdate(
            host,
            data_centre,
            links=self.links.get_own_load(now_s),
            waiting=self._list_waiting(),
            returns=self._promises.list_returns(now_s),
        )

    def aggregate(
        self, host: str, data_centre: str, now_s: float
    ) -> contention.ContentionUpdate:
        """Returns an update with the totals of the data centre."""
        return contention.ContentionUpdate(
            host,
            data_centre,
            links=self.links.sum_data_centre(now_s),
            waiting=self._turns.sum_local(self._list_waiting(), now_s),
            returns=self._promises.sum_data_centre(now_s),
        )

    def dump(self, now_s: float) -> dict[str, Any]:
        """Returns the state as values that JSON can represent."""
        load = self.links.get_load(now_s)
        return {
            "links": {
                " ".join(link): {
                    "busy": round(seconds, 3),
                    "own_rate": round(self.links.get_rate(link), 3),
                }
                for link, seconds in sorted(load.items())
            },
            "waiting_here": self._list_waiting(),
            "waiting_elsewhere": self._turns.list_elsewhere(now_s),
            "returns_promised_here": self._promises.list_returns(now_s),
        }

    def _list_waiting(self) -> dict[str, dict[int, int]]:
        return self._turns.list_waiting(self._queue.waiting.values())
