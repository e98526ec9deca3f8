"""Steps on a host whose neighbours know nothing newer than it does."""

from __future__ import annotations

import random
import threading
import time
from typing import Any, Final

import attrs
from behave import given, then, when

from egretspur import bounds, web
from egretspur.catalog import (
    feeds,
    handover,
    positions,
    quarantined,
    reading,
)
from egretspur.daemons import follow
from egretspur.membership import datagrams, hosts
from egretspur.platform import names, store
from egretspur.routing import desk
from tests import listing
from tests.fakes import store as fake_stores
from tests.steps import membership_steps

READER: Final = "10.1.0.1"
NEIGHBOUR: Final = "10.1.0.2"
HOST: Final = "10.1.0.3"
REMOTE: Final = "10.2.0.1"

OLD_DIGEST: Final = 1
NEW_DIGEST: Final = 2

# Seconds between two updates of a host.
PERIOD_S: Final = 0.25


class FakeDesk:
    """Notes when a draining upstream is heard of."""

    def __init__(self) -> None:
        self.has_list = threading.Event()
        self.drains_s: float | None = None

    def tell(self, message: Any) -> None:
        """Receives the list, or changes of it."""
        if isinstance(message, desk.ReplaceUpstreams):
            self._note(dict(message.entries).values())
            self.has_list.set()
        elif isinstance(message, desk.ChangeUpstreams):
            self._note(v for _, v in message.entries)

    def _note(self, values: Any) -> None:
        drains = any(getattr(v, "is_draining", False) for v in values)
        if drains and self.drains_s is None:
            self.drains_s = time.monotonic()


class LockedPeers:
    """The other hosts, as the exchange has them; see `follow.Hosts`."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._peers = hosts.Peers(HOST, "kl-hall", [], random.Random(7))

    def record(self, update: datagrams.PeerUpdate) -> None:
        """Records an update that has just arrived."""
        with self._lock:
            self._peers.record_update(update, time.monotonic())

    def is_reader(self) -> bool:
        """Returns whether this host reads for its data centre."""
        with self._lock:
            return self._peers.is_reader(time.monotonic())

    def is_cut_off(self) -> bool:
        """Returns false: the store serves this host."""
        return False

    def list_newest(self) -> list[str]:
        """Returns the hosts that have the newest configuration."""
        with self._lock:
            return self._peers.list_newest(time.monotonic())

    def list_fresh(self) -> list[str]:
        """Returns the hosts that read the list."""
        with self._lock:
            return self._peers.list_fresh(time.monotonic())

    def list_alive(self) -> list[str]:
        """Returns the live hosts in the order in which to ask them."""
        with self._lock:
            return self._peers.list_by_freshness(time.monotonic())


def make_update(
    host: str, data_centre: str, digest: int, list_age_s: float
) -> datagrams.PeerUpdate:
    """Returns an update of a host that has read the list."""
    news = membership_steps.make_news(host, data_centre, 0.0)
    return attrs.evolve(news, known=reading.ReadState(0, digest, list_age_s))


@given("a host that follows the list beside a reader and a neighbour")
def step_host(context: Any) -> None:
    context.store = fake_stores.Store()
    context.store.write(names.UPSTREAMS_TOPIC, "e-1", listing.make_entry(1))
    server = web.Server(fake_stores.make_app(context.store), "127.0.0.1:0", 8)
    server.start()
    context.add_cleanup(server.close)
    context.client = store.Store(server.address)
    context.add_cleanup(context.client.close)
    context.lists = {h: read_list(context) for h in (NEIGHBOUR, REMOTE)}
    # Hosts that run on.
    context.others = [NEIGHBOUR]
    context.peers = LockedPeers()
    tell(context, READER, OLD_DIGEST)
    tell(context, NEIGHBOUR, OLD_DIGEST)
    context.desk = FakeDesk()
    saver = quarantined.Writer(lambda key, ends: "", random.Random(7))
    context.feeds = follow.StoreFeeds(
        context.client,
        follow.PeerAccess(context.peers, make_ask(context), list),
        context.desk,
        follow.ConfigSink(lambda cfg: None, lambda: None, lambda: False),
        saver,
        bounds.Bounds(),
    )
    context.add_cleanup(context.feeds.close)


@given("another data centre whose reader has the newer list too")
def step_remote(context: Any) -> None:
    context.others.append(REMOTE)


def read_list(context: Any) -> store.Topic[Any]:
    """Returns the list as a host has read it from the store by now."""
    topic = store.make_upstreams_topic(
        context.client, bounds.Bounds().entry_ttl_s
    )
    res = topic.read_newest()
    assert isinstance(res, feeds.FullState), res
    return topic


def make_ask(context: Any) -> Any:
    """Returns what asks another host for a snapshot of the list."""

    def ask(
        host: str,
        topic: str,
        since: positions.Position | None,
        timeouts: handover.Timeouts,
    ) -> bytes | feeds.Unavailable | None:
        if host == READER:
            time.sleep(timeouts.silence_s)
            return feeds.Unavailable("it stands still")
        if topic != names.UPSTREAMS_TOPIC:
            return None
        data: bytes | None = context.lists[host].export(since)
        return data

    return ask


def tell(context: Any, host: str, digest: int) -> datagrams.PeerUpdate:
    """Has the host hear of another one; returns the update."""
    is_neighbour = host == NEIGHBOUR
    data_centre = "pg-hall" if host == REMOTE else "kl-hall"
    age_s = 6.0 if is_neighbour else 0.1
    update = make_update(host, data_centre, digest, age_s)
    context.peers.record(update)
    return update


@when(
    "the reader tells {after_s:g} s after an upstream drains that its list is"
    " newer, and stands still"
)
def step_tells(context: Any, after_s: float) -> None:
    context.feeds.start()
    assert context.desk.has_list.wait(5.0)
    # The feed is not kept by its least time between two reads.
    time.sleep(feeds.MIN_READ_INTERVAL_S)
    entry = listing.make_entry(1, state="draining", seq_no=2)
    context.store.write(names.UPSTREAMS_TOPIC, "e-1", entry)
    context.acked_s = time.monotonic()
    context.lists[REMOTE] = read_list(context)
    told_s = context.acked_s + after_s
    while time.monotonic() < told_s:
        for host in (READER, *context.others):
            tell(context, host, OLD_DIGEST)
        time.sleep(min(PERIOD_S, max(0.0, told_s - time.monotonic())))
    known = reading.ReadState(0, OLD_DIGEST, 6.0)
    updates = [tell(context, READER, NEW_DIGEST)]
    while context.desk.drains_s is None:
        for host in context.others:
            digest = NEW_DIGEST if host == REMOTE else OLD_DIGEST
            updates.append(tell(context, host, digest))
        if context.peers.is_reader():
            context.feeds.wake_all()
        context.feeds.wake_outdated(known, updates)
        updates.clear()
        time.sleep(PERIOD_S)
        assert time.monotonic() < told_s + 10.0, "never heard of"


@then(
    "the host knows within {within_s:g} s of the store's word that the upstream"
    " drains"
)
def step_knows(context: Any, within_s: float) -> None:
    took_s = context.desk.drains_s - context.acked_s
    assert took_s < within_s, took_s
