"""Hosts that share a retry budget: a model without network, and its oracle.

Each host has the product's own `Repeats` and `Peers`; news go between them as
`egretspur.membership.exchange` sends them. Hosts start again, data centres are
cut off, news are late or lost. The oracle knows the requests and repeats of
all hosts, and nothing else: in no window may there be more repeats than are
allowed for the requests in it, in the one before, or half a window before.
"""

from __future__ import annotations

import bisect
import math
import random
from collections.abc import Collection, Iterable
from typing import Final

import attrs

from egretspur.admission import repeats, shared
from egretspur.catalog import reading
from egretspur.membership import datagrams, exchange

SERVICE: Final = "llm"
WINDOW_S: Final = 10.0
RATIO: Final = 0.2

# Between two news of a host; the hosts of one moment hear each other in turn.
NEWS_S: Final = exchange.PERIOD_S


@attrs.define(eq=False)
class Host:
    """One host: what it knows is gone when it starts again."""

    ip: str
    place: str
    repeats: repeats.Repeats
    peers: exchange.Peers
    # News that it has sent since its start, and whether it has had any.
    turn: int = 0
    has_heard: bool = False
    # It is alone: it hears nobody, and nobody hears it.
    is_cut_off: bool = False


class Fleet:
    """All hosts, and the requests and repeats that they sent."""

    def __init__(
        self, sizes: Collection[int], allowance: float, rng: random.Random
    ) -> None:
        """Starts hosts, of each data centre so many.

        Args:
            sizes: Hosts of each data centre.
            allowance: Repeats in a window beside those of requests.
            rng: Draws which news are lost.
        """
        self.now_s = 0.0
        self.rng = rng
        self.lost = 0.0
        # A host that starts has heard nobody.
        self.options = repeats.Options(RATIO, allowance, WINDOW_S, math.inf)
        self.sent: list[float] = []
        self.repeated: list[float] = []
        # Data centres that hear no other.
        self.apart: set[str] = set()
        self.hosts: list[Host] = []
        self._places = [f"dc-{d}" for d in range(len(sizes))]
        # As in the settings: one host of each data centre.
        self._seeds = [f"10.{d}.0.1" for d in range(len(sizes))]
        for d, size in enumerate(sizes):
            for i in range(size):
                self.add(f"10.{d}.0.{i + 1}", self._places[d])

    def add(self, ip: str, place: str) -> Host:
        """Adds a host, which has just started."""
        host = Host(ip, place, *self._make_state(ip, place))
        self.hosts.append(host)
        return host

    def start_again(self, hosts: Iterable[Host]) -> None:
        """Starts hosts again: they know nothing of before."""
        for host in hosts:
            host.repeats, host.peers = self._make_state(host.ip, host.place)
            host.turn = 0
            host.has_heard = False

    def _make_state(
        self, ip: str, place: str
    ) -> tuple[repeats.Repeats, exchange.Peers]:
        return (
            repeats.Repeats(place, self.options, self.rng),
            exchange.Peers(ip, place, self._seeds, self.rng, self._places),
        )

    def request(self, host: Host) -> None:
        """Has a host send a request."""
        host.repeats.earn(SERVICE, self.now_s)
        self.sent.append(self.now_s)

    def repeat(self, host: Host, most: int) -> None:
        """Has a host repeat as much as it may."""
        for _ in range(most):
            if not host.repeats.spend(SERVICE, self.now_s):
                return
            self.repeated.append(self.now_s)

    def tell(self) -> None:
        """Has each host send its news once, in a random order."""
        for host in self.rng.sample(self.hosts, len(self.hosts)):
            self._tell(host)
        for host in self.hosts:
            sharing = host.peers.count_sharing()
            if host.has_heard:
                host.repeats.hosts = max(sharing, len(self._seeds))

    def _tell(self, host: Host) -> None:
        host.turn += 1
        names = host.turn % exchange.PEERS_EVERY == 0
        named = host.peers.list_places(self.now_s) if names else {}
        is_speaker = host.peers.is_speaker(self.now_s)
        far = host.peers.list_far(self.now_s)
        own = host.repeats.list_spent(self.now_s)
        self._send(host, host.peers.list_near(self.now_s), own, named)
        if is_speaker:
            summed = host.repeats.sum_spent(self.now_s)
            self._send(host, far, summed, named)

    def _send(
        self,
        sender: Host,
        to: Collection[str],
        spent: dict[str, shared.Spent],
        named: dict[str, str],
    ) -> None:
        news = self._make_news(sender, spent, named)
        for host in self._find_reached(sender, to):
            self._take(host, news)
            is_far = host.place != sender.place
            if is_far and host.peers.is_speaker(self.now_s):
                near = host.peers.list_near(self.now_s)
                for other in self._find_reached(host, near):
                    self._take(other, news)

    def _find_reached(self, sender: Host, to: Collection[str]) -> list[Host]:
        """Returns the hosts that a datagram reaches."""
        up = {h.ip: h for h in self.hosts}
        return [up[i] for i in to if i in up and self._reaches(sender, up[i])]

    def _make_news(
        self,
        sender: Host,
        spent: dict[str, shared.Spent],
        named: dict[str, str],
    ) -> datagrams.News:
        known = reading.ReadState(1, 1, 0.0)
        return datagrams.News(
            sender.ip,
            sender.place,
            0.0,
            known,
            {},
            {},
            (),
            {},
            named,
            spent=spent,
            is_new=sender.repeats.is_new(self.now_s),
        )

    def _reaches(self, sender: Host, host: Host) -> bool:
        if sender is host or sender.is_cut_off or host.is_cut_off:
            return False
        if sender.place != host.place and {sender.place, host.place} & (
            self.apart
        ):
            return False
        return self.rng.random() >= self.lost

    def _take(self, host: Host, news: datagrams.News) -> None:
        host.has_heard = True
        host.peers.note(news, self.now_s)
        host.repeats.hear(
            news.host, news.data_centre, news.spent, self.now_s, news.is_new
        )

    def find_worst(self) -> tuple[float, int, float]:
        """Returns the worst window: part of what was allowed, sent, allowed."""
        worst = (0.0, 0, 0.0)
        for i, start_s in enumerate(self.repeated):
            end_s = start_s + WINDOW_S
            sent = bisect.bisect_left(self.repeated, end_s) - i
            allowed = self._get_allowed(start_s)
            worst = max(worst, (sent / allowed, sent, allowed))
        return worst

    def _get_allowed(self, start_s: float) -> float:
        """Returns the repeats allowed in the window that begins then."""
        counts = [
            bisect.bisect_left(self.sent, at_s + WINDOW_S)
            - bisect.bisect_left(self.sent, at_s)
            for at_s in (start_s, start_s - WINDOW_S / 2, start_s - WINDOW_S)
        ]
        return self.options.allowance + RATIO * max(counts)
