"""Actor that holds a control daemon's view of its peers and talks to them.

Pure decisions are in `egretspur.membership.entries`. Urgent entries and new
configuration offsets are pushed at once to a few peers, which push them on;
the periodic exchange reaches those the push missed. Both have a fixed number
of messages of bounded size, however many hosts there are.
"""

from __future__ import annotations

import functools
import hashlib
import logging
import random
import time
from collections.abc import Callable
from typing import Any, Final

import attrs

from egretspur import actors, settings
from egretspur.admission import throttle
from egretspur.clients import hosts as hostlist
from egretspur.membership import entries, news, sender

_LOG: Final = logging.getLogger(__name__)

# Peers that get an urgent push at once.
FAN_OUT: Final = 3

# Peers in other data centres that are known at a time, per data centre.
REMOTE_CONTACTS: Final = 3

# Every so many exchanges, one goes to another data centre.
REMOTE_EVERY: Final = 5

# Seconds a mark of a leaving upstream is kept; far above the platform's lag.
LEAVING_KEPT_S: Final = 3600.0

# Seconds that hosts tell each other of an upstream that ended under a request.
# Routers remember for as long as they run; this is for those that start.
ENDED_KEPT_S: Final = 3600.0

# Seconds that hosts tell each other of a limit that an upstream has named.
LIMIT_KEPT_S: Final = 3600.0

# Between the fingerprint and the start in the name of such an entry.
ENDED_MARK: Final = "@"

# Routers are told of an answer to such a request for so long, in seconds: some
# five exchanges.
ANSWERED_KEPT_S: Final = 10.0

# Workspaces whose demand a host states at most.
DEMANDS_KEPT: Final = 16

# Kinds of entries that cost requests until all hosts have them.
URGENT: Final = (
    entries.Kind.LEAVING,
    entries.Kind.ENDED,
    entries.Kind.LIMIT,
)


@attrs.frozen
class Tick:
    """Time for a periodic exchange."""


@attrs.frozen
class Received:
    """A message from a peer; answered with one of our own."""

    message: news.Exchange
    urgent: bool


@attrs.frozen
class Answered:
    """A peer's answer to a message of ours."""

    message: news.Exchange


@attrs.frozen
class SetNode:
    """This host's own news changed."""

    news: news.NodeNews
    # Whether peers are told at once that there are records to get.
    is_urgent: bool = False


@attrs.frozen
class AddLeaving:
    """An upstream said that it is leaving."""

    upstream: str
    incarnation: str


@attrs.frozen
class SetDemand:
    """Requests at once per workspace at this host's router."""

    demand: dict[str, int]


@attrs.frozen
class AddEnded:
    """Upstreams ended under requests, by fingerprint; none: it was answered."""

    ended: dict[str, dict[str, float]]


@attrs.frozen
class AddLimits:
    """Upstreams named limits, or name none any more, by their start."""

    limits: dict[str, throttle.PublishedLimit]


@attrs.frozen
class SetEntryHosts:
    """The platform's list of entry hosts changed."""

    hosts: tuple[hostlist.Host, ...]


@attrs.frozen
class GetView:
    """Asks for a `PeerView`."""


@attrs.frozen
class PeerNode:
    """A live entry host of this data centre."""

    name: str
    incarnation: int
    news: news.NodeNews


@attrs.frozen
class PeerView:
    """What this host knows of its data centre."""

    nodes: tuple[PeerNode, ...]
    # Leaving incarnation by upstream name; several may be known.
    leaving: dict[str, tuple[str, ...]]
    # Requests at once by workspace, at each other host that stated any.
    demand: dict[str, dict[str, int]]
    # Upstreams that ended under requests, as in `AddEnded`.
    ended: dict[str, dict[str, float]]
    limits: dict[str, throttle.PublishedLimit]
    # Place of this host among those that follow the log, from 0.
    rank: int
    # Control addresses in other data centres, by data centre.
    remote: dict[str, tuple[str, ...]]
    # Bytes of message bodies sent and received since the start.
    sent_bytes: int
    received_bytes: int


@attrs.frozen
class Events:
    """What the actor tells the rest of the daemon."""

    # A peer has a higher offset: its address and the offset.
    peer_ahead: Callable[[str, int], None]
    # Marks or demand changed.
    changed: Callable[[], None]


class MembershipActor(actors.Actor):
    """Holds the view; see the messages above."""

    def __init__(
        self,
        node: settings.NodeSettings,
        address: str,
        opts: settings.PeerSettings,
        incarnation: int,
        events: Events,
    ) -> None:
        super().__init__()
        self._node = node
        self._address = address
        self._opts = opts
        self._incarnation = incarnation
        self._events = events
        self._random = random.Random(f"{node.name}/{incarnation}")
        self._view = entries.View()
        self._ages = entries.Ages(
            opts.gone_after_s,
            LEAVING_KEPT_S,
            opts.period_s * 5,
            ENDED_KEPT_S,
            LIMIT_KEPT_S,
        )
        self._sequence = 0
        self._round = 0
        self._news = news.NodeNews(address, node.data_centre, "", 0, 0, False)
        # Control addresses from the platform's list, by data centre.
        self._listed: dict[str, dict[str, str]] = {}
        self._sender = sender.Sender(self._tell_answered)

    def on_start(self) -> None:
        """Starts the threads that send."""
        self._sender.start()

    def on_stop(self) -> None:
        """Closes the connections to peers."""
        self._sender.close()

    @functools.singledispatchmethod
    def handle(self, message: object) -> Any:
        """Handles one message."""
        raise actors.make_unknown_message_error(message)

    @handle.register
    def _(self, message: Tick) -> None:
        now = time.monotonic()
        entries.drop_old(self._view, self._ages, now)
        self._state_self(now)
        self._round += 1
        address = self._choose_partner()
        if address:
            self._send(address, "/peer/exchange", self._make_message(now))

    @handle.register
    def _(self, message: Received) -> news.Exchange:
        now = time.monotonic()
        self._take(message.message, now)
        if message.urgent:
            return news.Exchange(
                self._node.name, self._address, self._news.offset, ()
            )
        return self._make_message(now)

    @handle.register
    def _(self, message: Answered) -> None:
        self._take(message.message, time.monotonic())

    @handle.register
    def _(self, message: SetNode) -> None:
        self._news = message.news
        if message.is_urgent:
            self._push(())

    @handle.register
    def _(self, message: AddLeaving) -> None:
        now = time.monotonic()
        known = self._get_leaving().get(message.upstream, ())
        if message.incarnation in known:
            return
        entry = self._state(
            entries.Kind.LEAVING,
            # The incarnation is part of the name: a mark of an old one must
            # not be replaced by, or stand for, that of a later one.
            f"{message.upstream}@{message.incarnation}",
            message.incarnation,
            now,
        )
        self._push((entries.Told(entry, 0.0),))
        self._events.changed()

    @handle.register
    def _(self, message: SetDemand) -> None:
        now = time.monotonic()
        top = sorted(message.demand.items(), key=lambda i: (-i[1], i[0]))
        for workspace, count in top[:DEMANDS_KEPT]:
            key = (entries.Kind.DEMAND, workspace, self._node.name)
            old = self._view.known.get(key)
            if old is not None and old.entry.value == str(count):
                age = now - old.since_s
                if age < self._opts.period_s * 2:
                    continue
            self._state(entries.Kind.DEMAND, workspace, str(count), now)

    @handle.register
    def _(self, message: AddEnded) -> None:
        known = self._get_ended()
        stated: list[entries.Entry] = []
        for fingerprint, ends in message.ended.items():
            if known.get(fingerprint) == {}:
                # A router that has yet to hear of the answer tells of the
                # ends before it.
                continue
            if not ends:
                stated.append(self._state_ended(fingerprint, "", 0.0))
                continue
            for start, weight in ends.items():
                if known.get(fingerprint, {}).get(start, 0.0) < weight:
                    stated.append(self._state_ended(fingerprint, start, weight))
        if stated:
            self._push(tuple(entries.Told(e, 0.0) for e in stated))
            self._events.changed()

    @handle.register
    def _(self, message: AddLimits) -> None:
        known = self._get_limits()
        now_s = time.monotonic()
        stated = []
        for start, told in message.limits.items():
            old = known.get(start)
            if old is not None and (
                old.per_s == told.per_s or old.age_s <= told.age_s
            ):
                continue
            value = "" if told.per_s is None else str(told.per_s)
            entry = self._state(entries.Kind.LIMIT, start, value, now_s)
            stated.append(entries.Told(entry, 0.0))
        if stated:
            self._push(tuple(stated))
            self._events.changed()

    @handle.register
    def _(self, message: SetEntryHosts) -> None:
        listed: dict[str, dict[str, str]] = {}
        for host in message.hosts:
            if host.name != self._node.name and host.state == hostlist.LIVE:
                listed.setdefault(host.data_centre, {})[host.name] = (
                    host.address
                )
        for data_centre, found in listed.items():
            if data_centre == self._node.data_centre:
                continue
            names = sorted(found)
            chosen = self._random.sample(
                names, min(REMOTE_CONTACTS, len(names))
            )
            listed[data_centre] = {n: found[n] for n in chosen}
        self._listed = listed

    @handle.register
    def _(self, message: GetView) -> PeerView:
        nodes = self._get_nodes()
        demand: dict[str, dict[str, int]] = {}
        for entry in entries.find(self._view, entries.Kind.DEMAND):
            if entry.origin != self._node.name:
                demand.setdefault(entry.name, {})[entry.origin] = int(
                    entry.value
                )
        return PeerView(
            tuple(nodes),
            self._get_leaving(),
            demand,
            self._get_ended(),
            self._get_limits(),
            compute_rank(self._node.name, [n.name for n in nodes]),
            {
                d: tuple(found.values())
                for d, found in self._listed.items()
                if d != self._node.data_centre
            },
            self._sender.sent_bytes,
            self._sender.received_bytes,
        )

    def _take(self, message: news.Exchange, now_s: float) -> None:
        fresh = entries.merge(self._view, message.told, self._ages, now_s)
        urgent = [e for e in fresh if e.kind in URGENT]
        if urgent:
            self._push(tuple(entries.Told(e, 0.0) for e in urgent))
        if any(e.kind is not entries.Kind.NODE for e in fresh):
            self._events.changed()
        if message.offset > self._news.offset:
            self._events.peer_ahead(message.address, message.offset)

    def _state_self(self, now_s: float) -> None:
        value = news.pack_node(self._news)
        self._state(entries.Kind.NODE, self._node.name, value, now_s)

    def _state(
        self, kind: entries.Kind, name: str, value: str, now_s: float
    ) -> entries.Entry:
        self._sequence += 1
        entry = entries.Entry(
            kind,
            name,
            self._node.name,
            self._incarnation,
            self._sequence,
            value,
        )
        told = entries.Told(entry, 0.0)
        entries.merge(self._view, [told], self._ages, now_s)
        return entry

    def _make_message(self, now_s: float) -> news.Exchange:
        told = entries.choose(self._view, self._opts.entries, now_s)
        return news.Exchange(
            self._node.name, self._address, self._news.offset, tuple(told)
        )

    def _choose_partner(self) -> str:
        remote = [
            a
            for d, found in self._listed.items()
            if d != self._node.data_centre
            for a in found.values()
        ]
        if remote and self._round % REMOTE_EVERY == 0:
            return self._random.choice(remote)
        local = self._get_local_addresses()
        if not local:
            return self._random.choice(remote) if remote else ""
        return self._random.choice(local)

    def _push(self, told: tuple[entries.Told, ...]) -> None:
        message = news.Exchange(
            self._node.name, self._address, self._news.offset, told
        )
        local = self._get_local_addresses()
        for address in self._random.sample(local, min(FAN_OUT, len(local))):
            self._send(address, "/peer/push", message)

    def _send(self, address: str, path: str, message: news.Exchange) -> None:
        self._sender.send(sender.Parcel(address, path, message))

    def _tell_answered(self, message: news.Exchange) -> None:
        self.actor_ref.tell(Answered(message))

    def _get_local_addresses(self) -> list[str]:
        found = dict(self._listed.get(self._node.data_centre, {}))
        for node in self._get_nodes():
            if node.name != self._node.name:
                found[node.name] = node.news.control
        return sorted(set(found.values()))

    def _get_nodes(self) -> list[PeerNode]:
        nodes = []
        for entry in entries.find(self._view, entries.Kind.NODE):
            said = news.unpack_node(entry.value)
            if said.data_centre == self._node.data_centre:
                nodes.append(PeerNode(entry.name, entry.incarnation, said))
        return nodes

    def _get_leaving(self) -> dict[str, tuple[str, ...]]:
        found: dict[str, set[str]] = {}
        for entry in entries.find(self._view, entries.Kind.LEAVING):
            name = entry.name.rpartition("@")[0]
            found.setdefault(name, set()).add(entry.value)
        return {n: tuple(sorted(i)) for n, i in found.items()}

    def _state_ended(
        self, fingerprint: str, start: str, weight: float
    ) -> entries.Entry:
        """States that an upstream ended under a request, or its answer."""
        return self._state(
            entries.Kind.ENDED,
            f"{fingerprint}{ENDED_MARK}{start}",
            str(weight),
            time.monotonic(),
        )

    def _get_limits(self) -> dict[str, throttle.PublishedLimit]:
        """Returns what each start of an upstream named last, of any host."""
        now_s = time.monotonic()
        known = [
            k
            for k in self._view.known.values()
            if k.entry.kind is entries.Kind.LIMIT
        ]
        return {
            k.entry.name: throttle.PublishedLimit(
                float(k.entry.value) if k.entry.value else None,
                now_s - k.since_s,
            )
            for k in sorted(known, key=lambda k: k.since_s)
        }

    def _get_ended(self) -> dict[str, dict[str, float]]:
        """Returns upstreams that ended under requests since their answers."""
        now_s = time.monotonic()
        known = [
            k
            for k in self._view.known.values()
            if k.entry.kind is entries.Kind.ENDED
        ]
        found: dict[str, dict[str, float]] = {}
        # By time, so that an answer takes back the ends before it.
        for item in sorted(known, key=lambda k: k.since_s):
            fingerprint, _, start = item.entry.name.partition(ENDED_MARK)
            if start:
                ends = found.setdefault(fingerprint, {})
                ends[start] = float(item.entry.value)
            elif now_s - item.since_s < ANSWERED_KEPT_S:
                found[fingerprint] = {}
            else:
                # Told again later, it would take back ends that are newer.
                found.pop(fingerprint, None)
        return found


def compute_rank(name: str, names: list[str]) -> int:
    """Returns a host's place among hosts, in an order all agree on.

    By hash, so that no host is set aside: the first few follow the log, and
    when one of them goes the next in order takes its place.
    """
    mine = hashlib.sha256(name.encode()).digest()
    return sum(
        1
        for other in set(names)
        if other != name and hashlib.sha256(other.encode()).digest() < mine
    )
