"""Hosts that share a retry budget: a model without network, and its oracle.

Each host has the product's `RetryBudgets` and `Peers`; peer updates are passed
between them as `egretspur.membership.exchange` sends them. Hosts restart and
pause, data centres are cut off, updates are late or lost, and upstreams read
retries late. The oracle knows only when callers sent requests and upstreams got
retries: no window may have more retries than are allowed for the requests in
it, in the one before, or half a window before.
"""

from __future__ import annotations

import bisect
import math
import random
from collections.abc import Collection, Iterable, Sequence
from typing import Final

import attrs

from egretspur.admission import repeats, shared
from egretspur.catalog import reading
from egretspur.membership import datagrams, exchange, hosts

SERVICE: Final = "llm"
WINDOW_S: Final = 10.0
RATIO: Final = 0.2

# Interval between two updates of a host. The updates of one round are sent and
# received one after the other.
UPDATE_INTERVAL_S: Final = exchange.SEND_PERIOD_S


@attrs.frozen
class Window:
    """Retries that a service got in a window, and what all hosts may send."""

    start_s: float
    sent: int
    allowed: float

    @property
    def use(self) -> float:
        """Retries as a fraction of those allowed."""
        return self.sent / self.allowed


@attrs.define(eq=False)
class Host:
    """One host, whose state is lost when it restarts."""

    ip: str
    data_centre: str
    repeats: repeats.RetryBudgets
    peers: hosts.Peers
    # Updates sent since its start, and whether it has received any.
    update_count: int = 0
    has_received: bool = False
    # Whether it neither sends nor receives updates.
    is_cut_off: bool = False
    # Whether it does nothing, and the requests it has to read after that.
    is_paused: bool = False
    unread: int = 0


class Fleet:
    """All hosts, and the requests and retries that they sent."""

    def __init__(
        self, sizes: Collection[int], allowance: float, rng: random.Random
    ) -> None:
        """Starts the hosts.

        Args:
            sizes: Number of hosts of each data centre.
            allowance: Retries in a window in addition to those of requests.
            rng: Draws which updates are lost.
        """
        self.now_s = 0.0
        self.rng = rng
        self.loss_rate = 0.0
        # A host that starts has not received any peer update.
        self.options = repeats.Options(RATIO, allowance, WINDOW_S, math.inf)
        self.request_times: list[float] = []
        self.retry_times: list[float] = []
        # How late upstreams read retries, and those not read yet, with the
        # times at which they are.
        self.read_delay_s = 0.0
        self._unread: list[tuple[float, shared.Retry]] = []
        # Data centres that are cut off from all others.
        self.partitioned: set[str] = set()
        self.hosts: list[Host] = []
        self._data_centres = [f"dc-{d}" for d in range(len(sizes))]
        # One host of each data centre, as in the settings.
        self._seeds = [f"10.{d}.0.1" for d in range(len(sizes))]
        for d, size in enumerate(sizes):
            for i in range(size):
                self.add(f"10.{d}.0.{i + 1}", self._data_centres[d])

    def add(self, ip: str, data_centre: str) -> Host:
        """Adds a host, which has just started."""
        host = Host(ip, data_centre, *self._make_state(ip, data_centre))
        self.hosts.append(host)
        return host

    def restart(self, hosts: Iterable[Host]) -> None:
        """Restarts hosts, which lose their state."""
        for host in hosts:
            host.repeats, host.peers = self._make_state(
                host.ip, host.data_centre
            )
            host.update_count = 0
            host.has_received = False
            host.is_paused = False
            host.unread = 0

    def _make_state(
        self, ip: str, data_centre: str
    ) -> tuple[repeats.RetryBudgets, hosts.Peers]:
        return (
            repeats.RetryBudgets(data_centre, self.options, self.rng),
            hosts.Peers(
                ip, data_centre, self._seeds, self.rng, self._data_centres
            ),
        )

    def send_request(self, host: Host) -> None:
        """Sends a request to a host, which passes it on unless it pauses."""
        self.request_times.append(self.now_s)
        if host.is_paused:
            host.unread += 1
        else:
            host.repeats.earn(SERVICE, self.now_s)

    def send_retries(self, host: Host, max_count: int) -> None:
        """Has a host send all retries that it may, up to a maximum."""
        if host.is_paused:
            return
        for _ in range(max_count):
            retry = host.repeats.spend(SERVICE, self.now_s)
            if retry is None:
                return
            bisect.insort(self.retry_times, self.now_s + self.read_delay_s)
            self._unread.append((self.now_s + self.read_delay_s, retry))

    def run_hosts(self) -> None:
        """Has hosts that don't pause read what has arrived."""
        arrived = [r for at_s, r in self._unread if at_s <= self.now_s]
        self._unread = [u for u in self._unread if u[0] > self.now_s]
        for retry in arrived:
            retry.sending.settle(self.now_s)
        for host in self.hosts:
            if host.is_paused:
                continue
            host.repeats.pauses.tick(self.now_s, 0.0)
            for _ in range(host.unread):
                host.repeats.earn(SERVICE, self.now_s)
            host.unread = 0

    def send_updates(self) -> None:
        """Has each host send its update once, in random order."""
        self.run_hosts()
        for host in self.rng.sample(self.hosts, len(self.hosts)):
            self._send_update(host)
        for host in self.hosts:
            sharing = host.peers.count_budget_sharers()
            if host.has_received:
                host.repeats.hosts = max(sharing, len(self._seeds))

    def _send_update(self, host: Host) -> None:
        if host.is_paused:
            return
        host.update_count += 1
        names = host.update_count % exchange.PEER_LIST_INTERVAL == 0
        named = host.peers.list_recent(self.now_s) if names else {}
        is_speaker = host.peers.is_speaker(self.now_s)
        far = host.peers.list_remote(self.now_s)
        own = host.repeats.list_spent(self.now_s)
        self._send(host, host.peers.list_local(self.now_s), own, named)
        if is_speaker:
            summed = host.repeats.sum_local(self.now_s)
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
            self._receive(host, news)
            is_far = host.data_centre != sender.data_centre
            if is_far and host.peers.is_speaker(self.now_s):
                near = host.peers.list_local(self.now_s)
                for other in self._find_reached(host, near):
                    self._receive(other, news)

    def _find_reached(self, sender: Host, to: Collection[str]) -> list[Host]:
        """Returns the hosts that a datagram reaches."""
        up = {h.ip: h for h in self.hosts}
        return [up[i] for i in to if i in up and self._reaches(sender, up[i])]

    def _make_news(
        self,
        sender: Host,
        spent: dict[str, shared.Spent],
        named: dict[str, str],
    ) -> datagrams.PeerUpdate:
        known = reading.ReadState(1, 1, 0.0)
        return datagrams.PeerUpdate(
            sender.ip,
            sender.data_centre,
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
        if host.is_paused:
            return False
        if sender.data_centre != host.data_centre and {
            sender.data_centre,
            host.data_centre,
        } & (self.partitioned):
            return False
        return self.rng.random() >= self.loss_rate

    def _receive(self, host: Host, news: datagrams.PeerUpdate) -> None:
        host.has_received = True
        host.peers.record_update(news, self.now_s)
        host.repeats.apply_peer_update(
            news.host, news.data_centre, news.spent, self.now_s, news.is_new
        )

    def find_worst_window(self) -> Window:
        """Returns the worst window of the history."""
        return find_worst_window(
            self.retry_times, self.request_times, self.options.allowance
        )


def count_judged(request_times: Sequence[float], start_s: float) -> int:
    """Returns the requests by which the window from a time on is judged."""
    return max(
        bisect.bisect_left(request_times, at_s + WINDOW_S)
        - bisect.bisect_left(request_times, at_s)
        for at_s in (start_s, start_s - WINDOW_S / 2, start_s - WINDOW_S)
    )


def find_worst_window(
    retry_times: Sequence[float],
    request_times: Sequence[float],
    allowance: float,
) -> Window:
    """Returns the window with the most retries, compared to those allowed.

    Args:
        retry_times: When upstreams got retries, from earliest to latest.
        request_times: When callers sent requests, from earliest to latest.
        allowance: Retries in a window in addition to those of the requests.
    """
    worst = Window(0.0, 0, allowance)
    for i, start_s in enumerate(retry_times):
        sent = bisect.bisect_left(retry_times, start_s + WINDOW_S) - i
        requests = count_judged(request_times, start_s)
        window = Window(start_s, sent, allowance + RATIO * requests)
        worst = max(worst, window, key=lambda w: w.use)
    return worst
