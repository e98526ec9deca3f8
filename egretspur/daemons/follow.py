"""What a host follows in the store, and hands to whoever needs it.

Three topics: the configuration, the list of upstreams, and the requests in
quarantine. Each is read from other hosts where they have it
(`egretspur.catalog.handover`). Read next: `egretspur.catalog.feeds`.
"""

from __future__ import annotations

import functools
import math
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol, TypeVar

import attrs

from egretspur import bounds, decisions
from egretspur.admission import quarantine
from egretspur.catalog import (
    config,
    feeds,
    handover,
    quarantined,
    reading,
    tables,
    upstreams,
)
from egretspur.membership import datagrams
from egretspur.platform import store as stores
from egretspur.routing import desk

T = TypeVar("T")


class Hosts(Protocol):
    """The other hosts, as far as reading the store needs them."""

    def is_reader(self) -> bool:
        """Tells whether this host reads the store for its data centre."""

    def list_newest(self) -> list[str]:
        """Returns the hosts that have the newest configuration."""

    def list_alive(self) -> list[str]:
        """Returns the hosts that are heard now, the reader near by first."""


class ConfigSink:
    """Takes configurations from the feed."""

    def __init__(self, take: Callable[[config.Configuration], None]) -> None:
        self._take = take

    def replace_all(
        self, values: Mapping[str, config.Configuration | feeds.Unreadable]
    ) -> None:
        """Takes the newest configuration."""
        self.apply_changes(tuple(values.items()))

    def apply_changes(
        self,
        values: tuple[
            tuple[str, config.Configuration | feeds.Unreadable | None], ...
        ],
    ) -> None:
        """Takes newer configurations; one that can't be read changes none."""
        for _, cfg in values:
            if isinstance(cfg, config.Configuration):
                self._take(cfg)

    def record_answer(self, is_back: bool) -> None:
        """Nothing depends on when the configuration was last asked for."""


class UpstreamsSink:
    """Takes the list of upstreams from the feed."""

    def __init__(self, to: desk.Desk) -> None:
        self._desk = to
        self.has_list = False
        # When the store itself last answered, on the monotonic clock.
        self.answered_s = -math.inf

    def replace_all(
        self, values: Mapping[str, upstreams.Upstream | feeds.Unreadable]
    ) -> None:
        """Takes the whole list."""
        self._desk.tell(desk.ReplaceUpstreams(values))
        self.has_list = True

    def apply_changes(
        self,
        values: tuple[
            tuple[str, upstreams.Upstream | feeds.Unreadable | None], ...
        ],
    ) -> None:
        """Takes changes."""
        self._desk.tell(desk.ChangeUpstreams(values))

    def record_answer(self, is_back: bool) -> None:
        """Starts the grace for entries that lapsed during an outage."""
        self.answered_s = time.monotonic()
        self._desk.tell(desk.StoreAnswered(is_back))


@attrs.frozen
class Neighbours:
    """How other hosts are asked for what they have read."""

    hosts: Hosts
    ask: handover.FetchSnapshot
    # Those to ask before anyone is heard.
    list_at_start: handover.ListHosts


class CopyAccount:
    """Joins what became of each topic at a copy of the store, for the log.

    Used by the threads of all feeds; a dict's methods are atomic.
    """

    def __init__(self, topics: int) -> None:
        """Makes an account that waits for so many topics."""
        self._topics = topics
        self._reports: dict[int, dict[str, tables.RestoreReport[Any]]] = {}

    def add(self, report: tables.RestoreReport[Any]) -> None:
        """Takes a topic's report, and logs them once all are there."""
        reports = self._reports.setdefault(report.era, {})
        reports[report.topic] = report
        if len(reports) < self._topics:
            return
        # A copy that was followed by another one is not completed.
        for era in [e for e in self._reports if e <= report.era]:
            self._reports.pop(era, None)
        names = slice(decisions.MAX_NAMED)
        decisions.record(
            decisions.StoreCopied(
                report.previous_era,
                report.era,
                {t: r.read for t, r in reports.items()},
                {t: tuple(r.kept)[names] for t, r in reports.items()},
                {t: r.withheld[names] for t, r in reports.items()},
            )
        )


class Followed:
    """The feeds of a host."""

    def __init__(
        self,
        store: stores.Store,
        near: Neighbours,
        to: desk.Desk,
        configure: Callable[[config.Configuration], None],
        saver: quarantined.Writer,
        limits: bounds.Bounds,
    ) -> None:
        """Makes feeds that have read nothing.

        Args:
            store: Where the topics are.
            near: The other hosts.
            to: Takes upstreams and requests in quarantine.
            configure: Takes configurations.
            saver: Writes requests in quarantine.
            limits: How long entries may be missing.
        """
        self._near = near
        self.listed = UpstreamsSink(to)
        hosts = near.hosts
        configs = stores.make_config_topic(store)
        listed = stores.make_upstreams_topic(store, limits.entry_ttl_s)
        held = stores.make_quarantine_topic(store)
        self._configs = feeds.Feed(
            "config",
            self._join(configs, hosts.list_newest),
            ConfigSink(configure),
            lambda: reading.get_config_timing(hosts.is_reader()),
        )
        self._listed = feeds.Feed(
            "upstreams",
            self._join(listed, hosts.list_alive),
            self.listed,
            lambda: reading.get_list_timing(hosts.is_reader()),
        )
        self._held = feeds.Feed(
            "quarantine",
            self._join(held, hosts.list_alive),
            quarantined.Sink(to, saver),
            lambda: quarantined.get_timing(hosts.is_reader()),
        )
        self._all: tuple[feeds.Feed[Any], ...] = (
            self._configs,
            self._listed,
            self._held,
        )
        # By name, for hosts that ask this one.
        self.topics: Mapping[str, stores.Topic[Any]] = {
            t.name: t for t in (configs, listed, held)
        }
        self._copies = CopyAccount(len(self.topics))
        self._upstreams = listed
        for topic in self.topics.values():
            topic.table.on_restore = self._copies.add
        held.table.on_restore = functools.partial(self._note_held_copy, saver)

    def _note_held_copy(
        self,
        saver: quarantined.Writer,
        report: tables.RestoreReport[quarantine.CrashWeights],
    ) -> None:
        self._copies.add(report)
        saver.rewrite_lost(report, self._near.hosts.is_reader())

    def get_era(self) -> int:
        """Returns the era of the store as the list was last read."""
        at = self._upstreams.table.get_position()
        return at.era if at else 0

    def _join(
        self, topic: stores.Topic[T], list_hosts: handover.ListHosts
    ) -> handover.HandoverSource[T]:
        """Returns a topic that is read from other hosts too."""
        near = self._near
        return handover.HandoverSource(
            topic,
            list_hosts,
            near.ask,
            lambda: not near.hosts.is_reader(),
            near.list_at_start,
        )

    def start(self) -> None:
        """Starts to follow."""
        for feed in self._all:
            feed.start()

    def close(self) -> None:
        """Stops; reads that wait are left to their bounds."""
        for feed in self._all:
            feed.close()

    def poke(
        self, known: reading.ReadState, heard: Sequence[datagrams.PeerUpdate]
    ) -> None:
        """Has read what another host has read already.

        Args:
            known: What this host has, as it last told others.
            heard: News of others.
        """
        if any(reading.is_era_stale(known, n.known) for n in heard):
            self.poke_all()
            return
        if any(reading.is_config_stale(known, n.known) for n in heard):
            self._configs.wake()
        if any(reading.is_list_stale(known, n.known) for n in heard):
            self._listed.wake()

    def poke_all(self) -> None:
        """Has all read now: the reader, or the store's era, is another."""
        for feed in self._all:
            feed.wake()
