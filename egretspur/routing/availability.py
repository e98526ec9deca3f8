"""Availability of upstreams by the signals in their answers: pure.

An upstream may ask a router for a rate limit or a backoff, or report that it is
leaving. Signals are kept by incarnation; see
`network.Network.make_incarnation_id`. Read next:
`egretspur.admission.throttle`, `egretspur.routing.dispatch`.
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
    """Signals of upstreams to one router; see the module's docstring."""

    def __init__(
        self, data_centre: str, network: networks.Network, rng: random.Random
    ) -> None:
        """Creates a state without signals.

        Args:
            data_centre: Data centre of this router.
            network: The upstreams, with their backoffs and leaving marks.
            rng: Source of random times for the first send to an upstream.
        """
        self.throttle = throttle.Throttle(data_centre, rng)
        self._network = network
        self._returns = returns.RetrySchedule()

    def note_signals(
        self, name: str, answer: signals.Signals, now_s: float
    ) -> bool:
        """Applies the signals of an upstream's answer.

        Returns:
            Whether to notify the other hosts.
        """
        for value in (answer.per_s, answer.backoff_s):
            if isinstance(value, signals.Unreadable):
                self._note_unreadable(name, value)
        if name not in self._network.upstreams:
            return False
        if isinstance(answer.backoff_s, float):
            self._network.note_backoff(name, answer.backoff_s, now_s)
        is_new = answer.is_leaving and self._network.note_leaving(name, now_s)
        incarnation_id = self._network.make_incarnation_id(name)
        per_s = answer.per_s
        if not isinstance(
            per_s, signals.Unreadable
        ) and self.throttle.record_limit(incarnation_id, per_s, now_s):
            is_new = True
            decisions.record(
                decisions.UpstreamLimited(incarnation_id, per_s, True)
            )
        return is_new

    def apply_update(self, message: tables.RoutingUpdate, now_s: float) -> None:
        """Applies the limits and host count of a control daemon's update."""
        self.throttle.demand.hosts = max(1, message.listed, message.sharing)
        listed = {
            self._network.make_incarnation_id(n)
            for n in self._network.upstreams
        }
        for incarnation_id, limit in message.limits.items():
            if incarnation_id in listed and self.throttle.apply_peer_update(
                "", "", incarnation_id, limit, now_s
            ):
                decisions.record(
                    decisions.UpstreamLimited(
                        incarnation_id, limit.per_s, False
                    )
                )
        self.throttle.remove_unlisted(listed)

    def is_open(self, name: str, now_s: float) -> bool:
        """Returns whether an upstream accepts a request of this router now."""
        return not self._network.get_backoff_s(
            name, now_s
        ) and self.throttle.can_send(
            self._network.make_incarnation_id(name), now_s
        )

    def list_closed(self, now_s: float) -> frozenset[str]:
        """Returns the upstreams that accept no request now.

        Empty if no upstream has a rate limit; `Network.list_backing_off` has
        the backoffs.
        """
        if not self.throttle.limited:
            return frozenset()
        return frozenset(
            n for n in self._network.upstreams if not self.is_open(n, now_s)
        )

    def consume_permit(self, name: str, now_s: float) -> None:
        """Counts a request sent to an upstream against its limit."""
        self.throttle.record_send(
            self._network.make_incarnation_id(name), now_s
        )

    def acquire_permit(self, name: str, now_s: float) -> bool:
        """Acquires a permit if a plain service's replica accepts a call now."""
        if not self.is_open(name, now_s):
            return False
        self.consume_permit(name, now_s)
        return True

    def get_retry_after_s(
        self, service: str, names: Collection[str], now_s: float
    ) -> float:
        """Returns the seconds after which a caller refused by all may retry.

        0 if one of these replicas accepts calls again.
        """
        opening = self.find_opening(names, now_s)
        if opening is None:
            return 0.0
        return self.reserve_retry(service, opening, 0, now_s)

    def find_opening(
        self, names: Collection[str], now_s: float
    ) -> throttle.Opening | None:
        """Returns when one of these upstreams accepts more requests.

        None unless all of them are in a backoff or all have a limit.
        """
        backoff_s = min(
            (self._network.get_backoff_s(n, now_s) for n in names), default=0.0
        )
        if backoff_s:
            return throttle.Opening(backoff_s, math.inf)
        ids = {self._network.make_incarnation_id(n) for n in names}
        if not ids <= self.throttle.limited:
            return None
        return self.throttle.find_opening(ids, now_s)

    def reserve_retry(
        self, key: str, opening: throttle.Opening, waiting: int, now_s: float
    ) -> float:
        """Returns the seconds until one more caller retries.

        See `returns.RetrySchedule`.
        """
        return self._returns.assign_delay_s(key, opening, waiting, now_s)

    def _note_unreadable(self, name: str, value: signals.Unreadable) -> None:
        if self.throttle.record_unreadable(
            self._network.make_incarnation_id(name)
        ):
            decisions.record(
                decisions.EntryLeftOut(
                    "answers", name, value.field, value.problem
                )
            )
