"""What hosts tell each other of their requests in flight, by datagram.

Every host sends its whole state a few times a second to the others of its data
centre, so a lost datagram costs a fraction of a second and nothing has to be
repeated. One host of a data centre, its speaker, tells all hosts of the others
what its data centre has in flight in all: were every host to tell every other,
the bytes between data centres would grow with the square of the hosts. It tells
the speaker of each other data centre, which passes it on to its own hosts, so
that bytes between data centres don't grow with the hosts at all. A host knows
others from its settings, from the store's group and from what it hears; one
that isn't heard drops out.
"""

from __future__ import annotations

import collections
import ipaddress
import logging
import math
import random
import socket
import threading
import time
import zlib
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Final

import attrs

from egretspur import decisions, guard
from egretspur.catalog import reading
from egretspur.membership import datagrams

_LOG: Final = logging.getLogger(__name__)

# Seconds between two datagrams to each host.
PERIOD_S: Final = 0.25

# Seconds between two datagrams where there is something to tell at once.
HURRIED_S: Final = 0.05

# Datagrams to one that also lists the hosts that are heard.
PEERS_EVERY: Final = 8

# A host that hasn't been heard for so long is sent no more; seeds always are.
FORGET_S: Final = 20.0

# A host shares the retry budget until its data centre has been heard for so
# long without it. Long, since a host that some don't hear goes on.
SHARE_S: Final = 300.0

# Hosts of another data centre that are told beside those heard of it. Where its
# speaker has died, these know of it at least until another one speaks.
SPARES: Final = 1

# A host heard within this time is named to others.
TOLD_S: Final = 2.0

# A host heard within this time counts as alive: four datagrams may be lost.
ALIVE_S: Final = 1.2

# A host that had no answer of the store for so long is cut off from it; what
# duty it held has lapsed.
STORE_AWAY_S: Final = 3.0

# A host that has just started reads the store for nobody: it has yet to hear
# who does. Two datagrams, one of which may be lost.
SETTLE_S: Final = 0.6

# Hosts of a data centre that go on reading the store while none of them gets an
# answer: the first ones, and so many drawn anew each second. The store may turn
# away some hosts and serve others, so none is left out for long; were all to
# read, hundreds would ask a store that is down once a second.
FIRST_READERS: Final = 3
DRAWN_READERS: Final = 2
DRAW_S: Final = 1.0

# Hosts of a data centre that ask the store for the duty of giving orders: the
# first ones, so that one takes over at once where one or two are lost. Each
# asks once a second; were all to, the store's calls would grow with the hosts.
CANDIDATES: Final = 3

# After a datagram others are waited for so long, in seconds; a fifth of the
# time between two of one host.
GATHER_S: Final = 0.05

# Datagrams taken together at most, so that none waits for long.
MOST_AT_ONCE: Final = 256

# A sender's refused datagrams are logged again after so long, and of so many
# senders and reasons at most.
REFUSED_S: Final = 60.0
REFUSED_KEPT: Final = 256

_MAX_DATAGRAM: Final = 65536

# Bytes with the sender's address and port.
_Datagram = tuple[bytes, tuple[str, int]]


@attrs.frozen
class _Heard:
    at_s: float
    data_centre: str
    store_age_s: float
    list_age_s: float
    # Of the configuration that it has in force.
    version: int


class Peers:
    """Which hosts are known and what was heard of each last."""

    def __init__(
        self,
        me: str,
        data_centre: str,
        seeds: Iterable[str],
        rng: random.Random | None = None,
        data_centres: Iterable[str] = (),
    ) -> None:
        """Makes a state that has heard nobody.

        Args:
            me: This host's address.
            data_centre: Its data centre.
            seeds: Hosts to begin with.
            rng: Draws whom to ask for the configuration.
            data_centres: Those that have hosts, as far as is known.
        """
        self._rng = rng or random.Random()
        self._me = me
        self._data_centre = data_centre
        self._data_centres = frozenset(data_centres)
        self._seeds = frozenset(s for s in seeds if s != me)
        # When each host was last heard or named by one that was.
        self._known: dict[str, float] = {}
        # Data centre of each host that was ever heard, or listed by one.
        self._places: dict[str, str] = {}
        # When each data centre was last heard.
        self._places_heard: dict[str, float] = {}
        self._heard: dict[str, _Heard] = {}

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Takes other hosts to begin with."""
        self._seeds = frozenset(s for s in seeds if s != self._me)

    def note(self, news: datagrams.News, now_s: float) -> None:
        """Takes news of a host."""
        self._heard[news.host] = _Heard(
            now_s,
            news.data_centre,
            news.store_age_s,
            news.known.list_age_s,
            news.known.version,
        )
        self._places[news.host] = news.data_centre
        self._places_heard[news.data_centre] = now_s
        for host, place in news.peers.items():
            self._places.setdefault(host, place)
        self.note_members((news.host, *news.peers), now_s)

    def note_members(self, hosts: Iterable[str], now_s: float) -> None:
        """Takes hosts that someone knows, heard or not."""
        for host in hosts:
            if host != self._me:
                self._known[host] = now_s

    def list_near(self, now_s: float) -> list[str]:
        """Returns the hosts to send to: those near by, and unheard ones."""
        self._known = {
            h: t for h, t in self._known.items() if self._is_sharing(h, t)
        }
        hosts = self._seeds | {
            h for h, t in self._known.items() if now_s - t < FORGET_S
        }
        return sorted(h for h in hosts if not self._is_far(h))

    def list_far(self, now_s: float) -> list[str]:
        """Returns the hosts to tell of other data centres.

        Of each those that speak for it, which pass it on, and a spare; all
        that are known of one where none speaks.
        """
        found: list[str] = []
        for hosts in self._group_far(now_s).values():
            speaking = [h for h in hosts if self._is_alive(h, now_s)]
            others = [h for h in hosts if h not in speaking]
            self._rng.shuffle(others)
            found += speaking
            found += others[:SPARES] if speaking else others
        return sorted(found)

    def _group_far(self, now_s: float) -> dict[str, list[str]]:
        """Returns the hosts of each other data centre."""
        groups: dict[str, list[str]] = {}
        for host, known_s in self._known.items():
            if now_s - known_s < FORGET_S and self._is_far(host):
                groups.setdefault(self._places[host], []).append(host)
        return groups

    def _is_alive(self, host: str, now_s: float) -> bool:
        heard = self._heard.get(host)
        return heard is not None and now_s - heard.at_s < ALIVE_S

    def _is_far(self, host: str) -> bool:
        place = self._places.get(host)
        return place is not None and place != self._data_centre

    def count_sharing(self) -> int:
        """Returns how many hosts share the retry budget, this one included.

        Hosts of other data centres are known by their speakers' lists. One
        that was never heard, since this host started behind a cut, is taken
        for as large as the largest that was.
        """
        counts = collections.Counter({self._data_centre: 1})
        for host, known_s in self._known.items():
            if self._is_sharing(host, known_s):
                counts[self._get_place(host)] += 1
        unheard = self._data_centres - set(counts)
        return counts.total() + len(unheard) * max(counts.values())

    def _is_sharing(self, host: str, known_s: float) -> bool:
        """Tells whether a host that was last known of then shares the budget.

        A data centre that isn't heard at all is cut off, and its hosts go on:
        were they to drop out here and these there, each side would have the
        whole budget.
        """
        heard_s = self._places_heard.get(self._get_place(host), known_s)
        return heard_s - known_s < SHARE_S

    def _get_place(self, host: str) -> str:
        """Returns a host's data centre; the own one until it is known."""
        return self._places.get(host, self._data_centre)

    def is_alone(self, now_s: float) -> bool:
        """Tells whether no host of this data centre was heard of late."""
        return not any(
            t.data_centre == self._data_centre and now_s - t.at_s < FORGET_S
            for t in self._heard.values()
        )

    def is_of_far(self, news: datagrams.News) -> bool:
        """Tells whether news are of another data centre."""
        return news.data_centre != self._data_centre

    def is_speaker(self, now_s: float) -> bool:
        """Tells whether this host tells the other data centres."""
        return self._is_before(self._find_near(now_s))

    def list_places(self, now_s: float) -> dict[str, str]:
        """Returns the hosts that were heard of late, with data centres."""
        return {
            h: t.data_centre
            for h, t in sorted(self._heard.items())
            if now_s - t.at_s < TOLD_S
        }

    def list_best_read(self, now_s: float) -> list[str]:
        """Returns the hosts that are alive, those to ask for the list first.

        That is this data centre's reader, then its other hosts, then others.
        """

        def rank(host: str) -> tuple[bool, bool, ipaddress.IPv4Address]:
            heard = alive[host]
            return (
                heard.data_centre != self._data_centre,
                not _is_fresh(heard, now_s),
                datagrams.parse_address(host),
            )

        alive = {
            h: t for h, t in self._heard.items() if now_s - t.at_s < ALIVE_S
        }
        return sorted(alive, key=rank)

    def list_newest(self, now_s: float) -> list[str]:
        """Returns the hosts with the newest configuration, near ones first.

        In a random order: those that have it grow by as many as ask, so that
        no host's link is filled by all the others of its data centre.
        """
        alive = {
            h: t for h, t in self._heard.items() if now_s - t.at_s < ALIVE_S
        }
        newest = max((t.version for t in alive.values()), default=0)
        found = [h for h, t in alive.items() if t.version == newest]
        self._rng.shuffle(found)
        return sorted(found, key=self._is_far)

    def is_candidate(self, now_s: float) -> bool:
        """Tells whether this host asks for its data centre's duty."""
        return self._count_before(self._find_near(now_s)) < CANDIDATES

    def is_store_away(self, age_s: float, now_s: float) -> bool:
        """Tells whether no host that hears this one near by has the store.

        Args:
            age_s: Since the store answered this host; long where it doesn't
                ask, since others do.
            now_s: Monotonic time.
        """
        near = self._find_near(now_s).values()
        ages = [age_s, *(h.store_age_s for h in near)]
        return min(ages) >= STORE_AWAY_S

    def is_reader(self, now_s: float) -> bool:
        """Tells whether this host reads the store for its data centre.

        That is the first of those whose list is fresh. Where none is, whoever
        read before may be stuck in a call or turned away, and a few others try.
        """
        near = self._find_near(now_s)
        fresh = [h for h, t in near.items() if _is_fresh(t, now_s)]
        if fresh:
            return self._is_before(fresh)
        return self._count_before(near) < FIRST_READERS or self._is_drawn(
            len(near) + 1, now_s
        )

    def _is_drawn(self, hosts: int, now_s: float) -> bool:
        """Tells whether this host is one of a few drawn for this moment."""
        draw = f"{self._me} {int(now_s / DRAW_S)}".encode()
        return zlib.crc32(draw) % hosts < DRAWN_READERS

    def is_first_cut_off(self, now_s: float) -> bool:
        """Tells whether this is the first of a data centre without store."""
        near = self._find_near(now_s)
        if any(h.store_age_s < STORE_AWAY_S for h in near.values()):
            return False
        return self._is_before(near)

    def _find_near(self, now_s: float) -> dict[str, _Heard]:
        """Returns the hosts of this data centre that are alive."""
        return {
            host: heard
            for host, heard in self._heard.items()
            if heard.data_centre == self._data_centre
            and now_s - heard.at_s < ALIVE_S
        }

    def _is_before(self, hosts: Iterable[str]) -> bool:
        """Tells whether this host's address comes before all of these."""
        me = datagrams.parse_address(self._me)
        return all(me <= datagrams.parse_address(h) for h in hosts)

    def _count_before(self, hosts: Iterable[str]) -> int:
        """Returns how many of these come before this host's address."""
        me = datagrams.parse_address(self._me)
        return sum(datagrams.parse_address(h) < me for h in hosts)


def _is_fresh(heard: _Heard, now_s: float) -> bool:
    """Tells whether a host has read the list of late."""
    return heard.list_age_s + now_s - heard.at_s < reading.MAX_LIST_AGE_S


class Exchange:
    """Sends and receives news."""

    def __init__(
        self,
        peers: Peers,
        ip: str,
        port: int,
        make_news: Callable[[Mapping[str, str]], datagrams.News],
        widen: Callable[[datagrams.News], datagrams.News],
        take_news: Callable[[Sequence[datagrams.News], int], None],
    ) -> None:
        """Makes an exchange.

        Args:
            peers: What is known of other hosts; used by this from now on.
            ip: This host's address.
            port: UDP port of all hosts.
            make_news: Returns this host's news, given the hosts to name.
            widen: Returns the news of the whole data centre, given this
                host's; for the speaker's news to the others.
            take_news: Takes others' news, oldest first, and the number of
                hosts that share a budget.
        """
        self._ip = ip
        self._port = port
        self._make_news = make_news
        self._widen = widen
        self._take_news = take_news
        self._lock = threading.Lock()
        self._peers = peers
        self._decoder = datagrams.Decoder()
        # Senders of datagrams that were refused, with the reasons; since when.
        self._refused: set[tuple[str, str]] = set()
        self._refused_since_s = 0.0
        self._began_s = -math.inf
        self._stop = threading.Event()
        self._is_hurried = threading.Event()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        # The same socket, read without waiting.
        self._waiting = self._sock.dup()
        self._threads = [
            threading.Thread(target=self._send, name="news-out", daemon=True),
            threading.Thread(target=self._receive, name="news-in", daemon=True),
        ]

    def start(self) -> None:
        """Starts to send and receive."""
        self._began_s = time.monotonic()
        self._sock.bind((self._ip, self._port))
        self._sock.settimeout(1.0)
        self._waiting.setblocking(False)
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stops."""
        self._stop.set()
        self._sock.close()
        self._waiting.close()

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Takes other hosts to begin with."""
        with self._lock:
            self._peers.set_seeds(seeds)

    def note_members(self, hosts: tuple[str, ...]) -> None:
        """Takes hosts that the store knows."""
        with self._lock:
            self._peers.note_members(hosts, time.monotonic())

    def is_first_cut_off(self) -> bool:
        """Tells whether this is the first of a data centre without store."""
        with self._lock:
            return self._peers.is_first_cut_off(time.monotonic())

    def is_reader(self) -> bool:
        """Tells whether this host reads the store for its data centre."""
        now_s = time.monotonic()
        if now_s - self._began_s < SETTLE_S:
            return False
        with self._lock:
            return self._peers.is_reader(now_s)

    def is_candidate(self) -> bool:
        """Tells whether this host asks for its data centre's duty."""
        with self._lock:
            return self._peers.is_candidate(time.monotonic())

    def is_store_away(self, age_s: float) -> bool:
        """Tells whether no host near by has the store; see `Peers`."""
        with self._lock:
            return self._peers.is_store_away(age_s, time.monotonic())

    def list_newest(self) -> list[str]:
        """Returns the hosts that have the newest configuration."""
        with self._lock:
            return self._peers.list_newest(time.monotonic())

    def list_alive(self) -> list[str]:
        """Returns the hosts that are heard now, the reader near by first."""
        with self._lock:
            return self._peers.list_best_read(time.monotonic())

    def is_alone(self) -> bool:
        """Tells whether no host of this data centre was heard of late."""
        with self._lock:
            return self._peers.is_alone(time.monotonic())

    def hurry(self) -> None:
        """Has news sent at once: something was learned that costs requests."""
        self._is_hurried.set()

    def _send(self) -> None:
        turn = 0
        while not self._stop.wait(HURRIED_S):
            self._is_hurried.wait(PERIOD_S - HURRIED_S)
            self._is_hurried.clear()
            turn += 1
            with guard.surviving("news-out"):
                self._send_once(turn)

    def _send_once(self, turn: int) -> None:
        now_s = time.monotonic()
        with self._lock:
            near = self._peers.list_near(now_s)
            far = self._peers.list_far(now_s)
            is_speaker = self._peers.is_speaker(now_s)
            named = self._peers.list_places(now_s)
        peers = named if turn % PEERS_EVERY == 0 else {}
        news = self._make_news(peers)
        self._tell(near, news)
        if is_speaker and far:
            self._tell(far, self._widen(news))

    def _tell(self, hosts: Iterable[str], news: datagrams.News) -> None:
        self._send_to(hosts, datagrams.encode_news(news))

    def _send_to(self, hosts: Iterable[str], data: bytes) -> None:
        for host in hosts:
            try:
                self._sock.sendto(data, (host, self._port))
            except OSError as exc:
                _LOG.debug("news not sent", extra={"reason": str(exc)})

    def _receive(self) -> None:
        while not self._stop.is_set():
            try:
                first: _Datagram = self._sock.recvfrom(_MAX_DATAGRAM)
            except TimeoutError:
                continue
            except OSError:
                return
            # Among many hosts others follow at once; waking up for each costs
            # more than reading it.
            time.sleep(GATHER_S)
            with guard.surviving("news-in"):
                self._take([first, *self._read_waiting()])

    def _read_waiting(self) -> list[_Datagram]:
        """Returns the datagrams that have come meanwhile."""
        waiting: list[_Datagram] = []
        while len(waiting) < MOST_AT_ONCE:
            try:
                waiting.append(self._waiting.recvfrom(_MAX_DATAGRAM))
            except OSError:
                # None is left, or the socket was closed.
                break
        return waiting

    def _take(self, received: Iterable[_Datagram]) -> None:
        now_s = time.monotonic()
        heard = []
        passed_on = []
        for data, (sender, _) in received:
            news = self._decoder.decode(data)
            if isinstance(news, datagrams.NotNews):
                self._note_refused(sender, news, now_s)
            elif news.host != self._ip:
                heard.append(news)
                if sender == news.host and self._peers.is_of_far(news):
                    passed_on.append(data)
        if not heard:
            return
        with self._lock:
            for news in heard:
                self._peers.note(news, now_s)
            shared = self._peers.count_sharing()
            is_passing = bool(passed_on) and self._peers.is_speaker(now_s)
            near = self._peers.list_near(now_s) if is_passing else []
        for data in passed_on:
            self._send_to(near, data)
        self._take_news(heard, shared)

    def _note_refused(
        self, sender: str, refused: datagrams.NotNews, now_s: float
    ) -> None:
        """Logs a datagram that holds no news, once a sender and reason."""
        if now_s - self._refused_since_s > REFUSED_S:
            self._refused_since_s = now_s
            self._refused.clear()
        cause = (sender, refused.field)
        if cause in self._refused or len(self._refused) >= REFUSED_KEPT:
            return
        self._refused.add(cause)
        decisions.record(
            decisions.EntryLeftOut(
                "news", sender, refused.field, refused.problem
            )
        )
