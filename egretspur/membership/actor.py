"""Actor that holds a control daemon's view of its peers and gossips with them.

The merge rules are in `egretspur.membership.entries`. Urgent entries and new
configuration offsets are pushed at once to a few peers, which push them
further; the periodic exchange reaches the peers that a push missed. Each host
sends a fixed number of messages of bounded size, however many hosts there are.
"""

from __future__ import annotations

import functools
import hashlib
import logging
import math
import random
import time
from collections.abc import Callable
from typing import Any, Final

import attrs

from egretspur import actors, settings
from egretspur.admission import segments, throttle
from egretspur.clients import hosts as hostlist
from egretspur.membership import entries, news, sender

_LOG: Final = logging.getLogger(__name__)

# Peers that receive an urgent push directly.
PUSH_FAN_OUT: Final = 3

# Peers kept as contacts in each other data centre.
REMOTE_CONTACTS: Final = 3

# One exchange in this many goes to another data centre.
REMOTE_EXCHANGE_INTERVAL: Final = 5

# Leaving marks are kept far longer than the platform's host list can lag.
LEAVING_RETENTION_S: Final = 3600.0

# Routers remember crashes for as long as they run; hosts keep the entries for
# routers that start later.
CRASH_RETENTION_S: Final = 3600.0

# Limits that upstreams reported are passed on for this long.
LIMIT_RETENTION_S: Final = 3600.0

# What is known of prompt segments is passed on for this long; what is certain
# is quarantined by then.
EVIDENCE_RETENTION_S: Final = 600.0

# Newer answers to requests with a segment are published after this time.
ANSWER_INTERVAL_S: Final = 1.0

# Separates the fingerprint from the upstream's start in a crash entry's name.
CRASH_SEPARATOR: Final = "@"

# Routers receive the answer to a request that crashed upstreams for this long,
# about five exchanges.
ANSWER_RETENTION_S: Final = 10.0

# Limit on the workspaces whose demand one host publishes.
MAX_DEMAND_ENTRIES: Final = 16

# Kinds of entries that make requests fail until all hosts have them.
URGENT_KINDS: Final = (
    entries.Kind.LEAVING,
    entries.Kind.CRASHED,
    entries.Kind.LIMIT,
    entries.Kind.SEGMENT_CRASH,
    entries.Kind.SEGMENT_ANSWER,
)


@attrs.frozen
class Tick:
    """Starts a periodic exchange."""


@attrs.frozen
class Received:
    """A message from a peer; the actor replies with one of its own."""

    message: news.GossipMessage
    urgent: bool


@attrs.frozen
class AnswerReceived:
    """A peer's reply to a message of this host."""

    message: news.GossipMessage


@attrs.frozen
class SetNode:
    """This host's own state changed."""

    news: news.NodeState
    # Whether to push the new offset to peers at once.
    is_urgent: bool = False


@attrs.frozen
class AddLeaving:
    """An upstream reported that it is leaving."""

    upstream: str
    incarnation: str


@attrs.frozen
class SetDemand:
    """Concurrent requests per workspace at this host's router."""

    demand: dict[str, int]


@attrs.frozen
class AddCrashes:
    """Upstreams that crashed under requests, by request fingerprint.

    An empty table means that the request was answered.
    """

    crashes: dict[str, dict[str, float]]


@attrs.frozen
class AddEvidence:
    """What this host's router knows of prompt segments."""

    evidence: segments.Update


@attrs.frozen
class AddLimits:
    """Limits that upstreams set or lifted, by upstream start."""

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
    news: news.NodeState


@attrs.frozen
class PeerView:
    """This host's view of its data centre."""

    nodes: tuple[PeerNode, ...]
    # Leaving incarnations by upstream name.
    leaving: dict[str, tuple[str, ...]]
    # Concurrent requests by workspace, then by the host that reported them;
    # without this host's own.
    demand: dict[str, dict[str, int]]
    # Upstreams that crashed under requests, as in `AddCrashes`.
    ended: dict[str, dict[str, float]]
    limits: dict[str, throttle.PublishedLimit]
    # What all routers know of prompt segments.
    evidence: segments.Update
    # Rank of this host among those that follow the log, from 0.
    rank: int
    # Control addresses in other data centres, by data centre.
    remote: dict[str, tuple[str, ...]]
    # Bytes of message bodies sent and received since the start.
    sent_bytes: int
    received_bytes: int


@attrs.frozen
class Events:
    """Callbacks into the rest of the daemon."""

    # A peer has a higher offset; receives its address and the offset.
    peer_ahead: Callable[[str, int], None]
    # Entries other than those about hosts changed.
    changed: Callable[[], None]


class MembershipActor(actors.Actor):
    """Holds the view and handles the messages above."""

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
        self._retention = entries.Retention(
            opts.gone_after_s,
            LEAVING_RETENTION_S,
            opts.period_s * 5,
            CRASH_RETENTION_S,
            LIMIT_RETENTION_S,
            EVIDENCE_RETENTION_S,
        )
        self._sequence = 0
        self._round = 0
        self._own_state = news.NodeState(
            address, node.data_centre, "", 0, 0, False
        )
        # Control addresses from the platform's list, by data centre.
        self._listed: dict[str, dict[str, str]] = {}
        self._sender = sender.Sender(self._queue_answer)

    def on_start(self) -> None:
        """Starts the sender threads."""
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
        entries.drop_expired(self._view, self._retention, now)
        self._publish_self(now)
        self._round += 1
        address = self._choose_partner()
        if address:
            self._send(address, "/peer/exchange", self._make_message(now))

    @handle.register
    def _(self, message: Received) -> news.GossipMessage:
        now = time.monotonic()
        self._merge_message(message.message, now)
        if message.urgent:
            return news.GossipMessage(
                self._node.name, self._address, self._own_state.offset, ()
            )
        return self._make_message(now)

    @handle.register
    def _(self, message: AnswerReceived) -> None:
        self._merge_message(message.message, time.monotonic())

    @handle.register
    def _(self, message: SetNode) -> None:
        self._own_state = message.news
        if message.is_urgent:
            self._push(())

    @handle.register
    def _(self, message: AddLeaving) -> None:
        now = time.monotonic()
        known = self._get_leaving().get(message.upstream, ())
        if message.incarnation in known:
            return
        entry = self._publish(
            entries.Kind.LEAVING,
            # The incarnation is part of the name, so that the marks of an old
            # and a later incarnation neither replace nor stand for each other.
            f"{message.upstream}@{message.incarnation}",
            message.incarnation,
            now,
        )
        self._push((entries.AgedEntry(entry, 0.0),))
        self._events.changed()

    @handle.register
    def _(self, message: SetDemand) -> None:
        now = time.monotonic()
        top = sorted(message.demand.items(), key=lambda i: (-i[1], i[0]))
        for workspace, count in top[:MAX_DEMAND_ENTRIES]:
            key = (entries.Kind.DEMAND, workspace, self._node.name)
            old = self._view.known.get(key)
            if old is not None and old.entry.value == str(count):
                age = now - old.since_s
                if age < self._opts.period_s * 2:
                    continue
            self._publish(entries.Kind.DEMAND, workspace, str(count), now)

    @handle.register
    def _(self, message: AddCrashes) -> None:
        known = self._get_crashes()
        published: list[entries.Entry] = []
        for fingerprint, crashes in message.crashes.items():
            if known.get(fingerprint) == {}:
                # A router that has not received the answer yet still reports
                # the crashes before it.
                continue
            if not crashes:
                published.append(self._publish_crash(fingerprint, "", 0.0))
                continue
            for start, weight in crashes.items():
                if known.get(fingerprint, {}).get(start, 0.0) < weight:
                    published.append(
                        self._publish_crash(fingerprint, start, weight)
                    )
        if published:
            self._push(tuple(entries.AgedEntry(e, 0.0) for e in published))
            self._events.changed()

    @handle.register
    def _(self, message: AddEvidence) -> None:
        now_s = time.monotonic()
        published = []
        for crash in message.evidence.crashes:
            name, value = news.pack_crash(crash)
            if not self._knows(entries.Kind.SEGMENT_CRASH, name, -math.inf):
                published.append(
                    self._publish_aged(
                        entries.Kind.SEGMENT_CRASH,
                        name,
                        value,
                        crash.cut_age_s,
                        now_s,
                    )
                )
        for segment, age_s in message.evidence.answered.items():
            since_s = now_s - age_s - ANSWER_INTERVAL_S
            if not self._knows(entries.Kind.SEGMENT_ANSWER, segment, since_s):
                published.append(
                    self._publish_aged(
                        entries.Kind.SEGMENT_ANSWER, segment, "", age_s, now_s
                    )
                )
        if published:
            self._push(tuple(published))
            self._events.changed()

    @handle.register
    def _(self, message: AddLimits) -> None:
        known = self._get_limits()
        now_s = time.monotonic()
        published = []
        for start, limit in message.limits.items():
            old = known.get(start)
            if old is not None and (
                old.per_s == limit.per_s or old.age_s <= limit.age_s
            ):
                continue
            value = "" if limit.per_s is None else str(limit.per_s)
            entry = self._publish(entries.Kind.LIMIT, start, value, now_s)
            published.append(entries.AgedEntry(entry, 0.0))
        if published:
            self._push(tuple(published))
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
        nodes = self._get_local_nodes()
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
            self._get_crashes(),
            self._get_limits(),
            self._get_evidence(),
            compute_rank(self._node.name, [n.name for n in nodes]),
            {
                d: tuple(found.values())
                for d, found in self._listed.items()
                if d != self._node.data_centre
            },
            self._sender.sent_bytes,
            self._sender.received_bytes,
        )

    def _merge_message(self, message: news.GossipMessage, now_s: float) -> None:
        fresh = entries.merge(self._view, message.items, self._retention, now_s)
        urgent = [e for e in fresh if e.kind in URGENT_KINDS]
        if urgent:
            self._push(tuple(entries.AgedEntry(e, 0.0) for e in urgent))
        if any(e.kind is not entries.Kind.NODE for e in fresh):
            self._events.changed()
        if message.offset > self._own_state.offset:
            self._events.peer_ahead(message.address, message.offset)

    def _publish_self(self, now_s: float) -> None:
        value = news.pack_node(self._own_state)
        self._publish(entries.Kind.NODE, self._node.name, value, now_s)

    def _publish(
        self, kind: entries.Kind, name: str, value: str, now_s: float
    ) -> entries.Entry:
        return self._publish_aged(kind, name, value, 0.0, now_s).entry

    def _publish_aged(
        self,
        kind: entries.Kind,
        name: str,
        value: str,
        age_s: float,
        now_s: float,
    ) -> entries.AgedEntry:
        """Publishes what happened some time ago."""
        self._sequence += 1
        entry = entries.Entry(
            kind,
            name,
            self._node.name,
            self._incarnation,
            self._sequence,
            value,
        )
        item = entries.AgedEntry(entry, age_s)
        entries.merge(self._view, [item], self._retention, now_s)
        return item

    def _knows(self, kind: entries.Kind, name: str, since_s: float) -> bool:
        """Returns whether any host published an entry at or after a time."""
        return any(
            k.entry.kind is kind
            and k.entry.name == name
            and k.since_s >= since_s
            for k in self._view.known.values()
        )

    def _make_message(self, now_s: float) -> news.GossipMessage:
        chosen = entries.choose(self._view, self._opts.entries, now_s)
        return news.GossipMessage(
            self._node.name,
            self._address,
            self._own_state.offset,
            tuple(chosen),
        )

    def _choose_partner(self) -> str:
        remote = [
            a
            for d, found in self._listed.items()
            if d != self._node.data_centre
            for a in found.values()
        ]
        if remote and self._round % REMOTE_EXCHANGE_INTERVAL == 0:
            return self._random.choice(remote)
        local = self._get_local_addresses()
        if not local:
            return self._random.choice(remote) if remote else ""
        return self._random.choice(local)

    def _push(self, items: tuple[entries.AgedEntry, ...]) -> None:
        message = news.GossipMessage(
            self._node.name, self._address, self._own_state.offset, items
        )
        local = self._get_local_addresses()
        for address in self._random.sample(
            local, min(PUSH_FAN_OUT, len(local))
        ):
            self._send(address, "/peer/push", message)

    def _send(
        self, address: str, path: str, message: news.GossipMessage
    ) -> None:
        self._sender.send(sender.OutgoingMessage(address, path, message))

    def _queue_answer(self, message: news.GossipMessage) -> None:
        self.actor_ref.tell(AnswerReceived(message))

    def _get_local_addresses(self) -> list[str]:
        found = dict(self._listed.get(self._node.data_centre, {}))
        for node in self._get_local_nodes():
            if node.name != self._node.name:
                found[node.name] = node.news.control
        return sorted(set(found.values()))

    def _get_local_nodes(self) -> list[PeerNode]:
        nodes = []
        for entry in entries.find(self._view, entries.Kind.NODE):
            state = news.unpack_node(entry.value)
            if state.data_centre == self._node.data_centre:
                nodes.append(PeerNode(entry.name, entry.incarnation, state))
        return nodes

    def _get_leaving(self) -> dict[str, tuple[str, ...]]:
        found: dict[str, set[str]] = {}
        for entry in entries.find(self._view, entries.Kind.LEAVING):
            name = entry.name.rpartition("@")[0]
            found.setdefault(name, set()).add(entry.value)
        return {n: tuple(sorted(i)) for n, i in found.items()}

    def _publish_crash(
        self, fingerprint: str, start: str, weight: float
    ) -> entries.Entry:
        """Publishes a crash under a request or, with no start, its answer."""
        return self._publish(
            entries.Kind.CRASHED,
            f"{fingerprint}{CRASH_SEPARATOR}{start}",
            str(weight),
            time.monotonic(),
        )

    def _list_by_age(self, kind: entries.Kind) -> list[entries.StoredEntry]:
        """Returns the entries of a kind from any host, the oldest first."""
        return sorted(
            (k for k in self._view.known.values() if k.entry.kind is kind),
            key=lambda k: k.since_s,
        )

    def _get_limits(self) -> dict[str, throttle.PublishedLimit]:
        """Returns the latest limit of each upstream start, from any host."""
        now_s = time.monotonic()
        return {
            k.entry.name: throttle.PublishedLimit(
                float(k.entry.value) if k.entry.value else None,
                now_s - k.since_s,
            )
            for k in self._list_by_age(entries.Kind.LIMIT)
        }

    def _get_evidence(self) -> segments.Update:
        """Returns the latest crashes and answers, from any host."""
        now_s = time.monotonic()
        crashes = self._list_by_age(entries.Kind.SEGMENT_CRASH)
        answers = self._list_by_age(entries.Kind.SEGMENT_ANSWER)
        return segments.Update(
            tuple(
                news.unpack_crash(
                    k.entry.name, k.entry.value, now_s - k.since_s
                )
                for k in reversed(crashes[-segments.MAX_PUBLISHED :])
            ),
            # The last answer of each segment.
            {k.entry.name: now_s - k.since_s for k in answers},
        )

    def _get_crashes(self) -> dict[str, dict[str, float]]:
        """Returns upstreams that crashed under requests since their answers."""
        now_s = time.monotonic()
        found: dict[str, dict[str, float]] = {}
        # In order of time, so that an answer clears the crashes before it.
        for item in self._list_by_age(entries.Kind.CRASHED):
            fingerprint, _, start = item.entry.name.partition(CRASH_SEPARATOR)
            if start:
                crashes = found.setdefault(fingerprint, {})
                crashes[start] = float(item.entry.value)
            elif now_s - item.since_s < ANSWER_RETENTION_S:
                found[fingerprint] = {}
            else:
                # Passing the answer on later would clear newer crashes.
                found.pop(fingerprint, None)
        return found


def compute_rank(name: str, names: list[str]) -> int:
    """Returns a host's rank in an order that all hosts agree on.

    Hosts are ordered by the hash of their name, so that none needs to be
    appointed: the first few follow the log, and when one of them leaves, the
    next in order takes its place.
    """
    mine = hashlib.sha256(name.encode()).digest()
    return sum(
        1
        for other in set(names)
        if other != name and hashlib.sha256(other.encode()).digest() < mine
    )
