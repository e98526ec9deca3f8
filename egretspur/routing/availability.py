"""What upstreams ask of one router in their answers, and who takes work: pure.

Limits of requests a second, rest, and an upstream's own word that it leaves.
All of it is kept by starts of upstreams; see `network.Network.name_start`. Read
next: `egretspur.admission.throttle`, `egretspur.routing.dispatch`.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection

from egretspur import decisions, signals
from egretspur.admission import throttle
from egretspur.routing import network as networks
from egretspur.routing import returns, tables


class Availability:
    """See the module's docstring."""

    def __init__(
        self, data_centre: str, network: networks.Network, rng: random.Random
    ) -> None:
        """Makes a state in which no upstream has asked for anything.

        Args:
            data_centre: Of this router.
            network: The upstreams, with their backoffs and marks of leaving.
            rng: Draws first turns.
        """
        self.throttle = throttle.Throttle(data_centre, rng)
        self._network = network
        self._returns = returns.Returns()

    def note_signals(
        self, name: str, answer: signals.Signals, now_s: float
    ) -> bool:
        """Takes what an upstream asked of the hosts beside an answer.

        Returns:
            Whether the other hosts are to be told.
        """
        for value in (answer.per_s, answer.backoff_s):
            if isinstance(value, signals.Unreadable):
                self._note_unreadable(name, value)
        if name not in self._network.upstreams:
            return False
        if isinstance(answer.backoff_s, float):
            self._network.note_backoff(name, answer.backoff_s, now_s)
        is_new = answer.is_leaving and self._network.note_leaving(name, now_s)
        start = self._network.name_start(name)
        per_s = answer.per_s
        if not isinstance(
            per_s, signals.Unreadable
        ) and self.throttle.record_limit(start, per_s, now_s):
            is_new = True
            decisions.record(decisions.UpstreamLimited(start, per_s, True))
        return is_new

    def hear(self, message: tables.RoutingUpdate, now_s: float) -> None:
        """Takes limits that other hosts were told by upstreams."""
        self.throttle.demand.hosts = max(1, message.listed, message.sharing)
        listed = {self._network.name_start(n) for n in self._network.upstreams}
        for start, told in message.limits.items():
            if start in listed and self.throttle.apply_peer_update(
                "", "", start, told, now_s
            ):
                decisions.record(
                    decisions.UpstreamLimited(start, told.per_s, False)
                )
        self.throttle.remove_unlisted(listed)

    def is_open(self, name: str, now_s: float) -> bool:
        """Tells whether an upstream takes a request of this router now."""
        return not self._network.get_backoff_s(
            name, now_s
        ) and self.throttle.can_send(self._network.name_start(name), now_s)

    def list_closed(self, now_s: float) -> frozenset[str]:
        """Returns the upstreams that take none, where any has a limit."""
        if not self.throttle.limited:
            return frozenset()
        return frozenset(
            n for n in self._network.upstreams if not self.is_open(n, now_s)
        )

    def take(self, name: str, now_s: float) -> None:
        """Counts a request that is sent to an upstream."""
        self.throttle.record_send(self._network.name_start(name), now_s)

    def take_turn(self, name: str, now_s: float) -> bool:
        """Takes a turn at a plain service's replica, if it takes a call now."""
        if not self.is_open(name, now_s):
            return False
        self.take(name, now_s)
        return True

    def promise_turn(
        self, service: str, names: Collection[str], now_s: float
    ) -> float:
        """Returns when a call may come back that none of these took.

        In seconds; 0 where they take calls again by now.
        """
        opening = self.find_opening(names, now_s)
        if opening is None:
            return 0.0
        return self.promise(service, opening, 0, now_s)

    def find_opening(
        self, names: Collection[str], now_s: float
    ) -> throttle.Opening | None:
        """Returns when one of these upstreams takes more.

        None where one is held back by neither a limit nor a rest.
        """
        backoff_s = min(
            (self._network.get_backoff_s(n, now_s) for n in names), default=0.0
        )
        if backoff_s:
            return throttle.Opening(backoff_s, math.inf)
        starts = {self._network.name_start(n) for n in names}
        if not starts <= self.throttle.limited:
            return None
        return self.throttle.find_opening(starts, now_s)

    def promise(
        self, key: str, opening: throttle.Opening, waiting: int, now_s: float
    ) -> float:
        """Returns when one more caller may come back; see `returns.Returns`."""
        return self._returns.promise(key, opening, waiting, now_s)

    def _note_unreadable(self, name: str, value: signals.Unreadable) -> None:
        if self.throttle.record_unreadable(self._network.name_start(name)):
            decisions.record(
                decisions.EntryLeftOut(
                    "answers", name, value.field, value.problem
                )
            )
