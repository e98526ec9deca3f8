"""Follows the store's topics and applies their changes to the host.

There are three topics: the configuration, the list of upstreams, and the
quarantined requests. Each is read from other hosts if they have it
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
    """What reading the store needs to know of the other hosts."""

    def is_reader(self) -> bool:
        """Returns whether this host reads the store for its data centre."""

    def is_cut_off(self) -> bool:
        """Returns whether the store has not answered this host for long."""

    def list_newest(self) -> list[str]:
        """Returns the hosts that have the newest configuration."""

    def list_fresh(self) -> list[str]:
        """Returns the live hosts that read the list of upstreams."""

    def list_alive(self) -> list[str]:
        """Returns the live hosts, this data centre's reader first."""


class ConfigSink:
    """Applies configurations from the feed."""

    def __init__(
        self,
        apply: Callable[[config.Configuration], None],
        note_read: Callable[[], None],
        is_behind: Callable[[], bool],
    ) -> None:
        """Makes a sink.

        Args:
            apply: Puts a configuration in force unless it is older.
            note_read: Called after each read, from wherever.
            is_behind: Returns whether another host has a newer configuration.
        """
        self.is_behind = is_behind
        # Monotonic time of the store's last answer.
        self.answered_s = -math.inf
        self._apply = apply
        self._note_read = note_read

    def replace_all(
        self, values: Mapping[str, config.Configuration | feeds.Unreadable]
    ) -> None:
        """Applies the newest configuration."""
        self.apply_changes(tuple(values.items()))

    def apply_changes(
        self,
        values: tuple[
            tuple[str, config.Configuration | feeds.Unreadable | None], ...
        ],
    ) -> None:
        """Applies newer configurations; ignores one that can't be read."""
        for _, cfg in values:
            if isinstance(cfg, config.Configuration):
                self._apply(cfg)
        self._note_read()

    def record_answer(self, is_back: bool) -> None:
        """Records when the store last answered."""
        self.answered_s = time.monotonic()


class UpstreamsSink:
    """Passes the list of upstreams from the feed to the broker's desk."""

    def __init__(self, broker_desk: desk.Desk) -> None:
        self._desk = broker_desk
        self.has_list = False
        # Monotonic time of the store's last answer.
        self.answered_s = -math.inf

    def replace_all(
        self, values: Mapping[str, upstreams.Upstream | feeds.Unreadable]
    ) -> None:
        """Replaces the list."""
        self._desk.tell(desk.ReplaceUpstreams(values))
        self.has_list = True

    def apply_changes(
        self,
        values: tuple[
            tuple[str, upstreams.Upstream | feeds.Unreadable | None], ...
        ],
    ) -> None:
        """Applies changes to the list."""
        self._desk.tell(desk.ChangeUpstreams(values))

    def record_answer(self, is_back: bool) -> None:
        """Starts the grace period of entries that lapsed during an outage."""
        self.answered_s = time.monotonic()
        self._desk.tell(desk.StoreAnswered(is_back))


@attrs.frozen
class PeerAccess:
    """How topics are read from other hosts."""

    hosts: Hosts
    ask: handover.FetchSnapshot
    # Lists the hosts to ask until updates of others have arrived.
    list_at_start: handover.ListHosts


class CopyReports:
    """Logs in one line how all topics changed as a copy replaced the store.

    The threads of all feeds use it without a lock, since a dict's methods are
    atomic.
    """

    def __init__(self, topics: int) -> None:
        """Makes an object without reports.

        Args:
            topics: Number of topics whose reports make up a log line.
        """
        self._topics = topics
        self._reports: dict[int, dict[str, tables.RestoreReport[Any]]] = {}

    def add(self, report: tables.RestoreReport[Any]) -> None:
        """Adds a topic's report; logs all reports once they are complete."""
        reports = self._reports.setdefault(report.era, {})
        reports[report.topic] = report
        if len(reports) < self._topics:
            return
        # Reports on earlier copies stay incomplete if another copy followed.
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


class StoreFeeds:
    """The feeds of a host, one for each topic."""

    def __init__(
        self,
        store: stores.Store,
        peer_access: PeerAccess,
        broker_desk: desk.Desk,
        config_sink: ConfigSink,
        saver: quarantined.Writer,
        limits: bounds.Bounds,
    ) -> None:
        """Makes feeds that have read nothing.

        Args:
            store: Store with the topics.
            peer_access: Access to the other hosts.
            broker_desk: Receives upstreams and quarantined requests.
            config_sink: Receives configurations.
            saver: Writes quarantined requests to the store.
            limits: Bounds of the host, with the time after which an entry
                that is missing from the list lapses.
        """
        self._peer_access = peer_access
        self._config_sink = config_sink
        self.upstreams_sink = UpstreamsSink(broker_desk)
        hosts = peer_access.hosts
        config_topic = stores.make_config_topic(store)
        upstreams_topic = stores.make_upstreams_topic(store, limits.entry_ttl_s)
        quarantine_topic = stores.make_quarantine_topic(store)
        self._config_feed = feeds.Feed(
            "config",
            self._make_source(
                config_topic,
                lambda: hosts.list_newest() or hosts.list_alive(),
                hosts.list_newest,
                lambda: hosts.is_cut_off() and config_sink.is_behind(),
            ),
            config_sink,
            lambda: reading.get_config_timing(
                hosts.is_reader(), hosts.is_cut_off()
            ),
        )
        self._upstreams_feed = feeds.Feed(
            "upstreams",
            self._make_source(
                upstreams_topic, hosts.list_alive, hosts.list_fresh
            ),
            self.upstreams_sink,
            lambda: reading.get_list_timing(
                hosts.is_reader(), upstreams_topic.table.get_due_s()
            ),
        )
        self._quarantine_feed = feeds.Feed(
            "quarantine",
            self._make_source(
                quarantine_topic, hosts.list_alive, hosts.list_fresh
            ),
            quarantined.Sink(broker_desk, saver),
            lambda: quarantined.get_timing(hosts.is_reader()),
        )
        self._feeds: tuple[feeds.Feed[Any], ...] = (
            self._config_feed,
            self._upstreams_feed,
            self._quarantine_feed,
        )
        # Topics by name, served to other hosts.
        self.topics: Mapping[str, stores.Topic[Any]] = {
            t.name: t for t in (config_topic, upstreams_topic, quarantine_topic)
        }
        self._config_topic = config_topic
        self._copies = CopyReports(len(self.topics))
        self._upstreams_topic = upstreams_topic
        for topic in self.topics.values():
            topic.table.on_restore = self._copies.add
        quarantine_topic.table.on_restore = functools.partial(
            self._handle_quarantine_copy, saver
        )

    def _handle_quarantine_copy(
        self,
        saver: quarantined.Writer,
        report: tables.RestoreReport[quarantine.CrashWeights],
    ) -> None:
        self._copies.add(report)
        saver.rewrite_lost(report, self._peer_access.hosts.is_reader())

    def get_era(self) -> int:
        """Returns the store's era at the last read of the upstream list."""
        at = self._upstreams_topic.table.get_position()
        return at.era if at else 0

    def is_config_lost(self) -> bool:
        """Returns whether this host can't read the configuration for others."""
        now_s = time.monotonic()
        return reading.is_config_lost(
            self._config_feed.is_store_lost(),
            now_s - self._config_sink.answered_s,
            now_s - self.upstreams_sink.answered_s,
        )

    def give_up_config_read(self) -> None:
        """Ends a wait for the store: other hosts have a newer version.

        The read fails, and the version is read from the others.
        """
        if self._config_topic.stop_waiting():
            decisions.record(decisions.ReadGivenUp(self._config_topic.name))

    def _make_source(
        self,
        topic: stores.Topic[T],
        list_hosts: handover.ListHosts,
        list_current_hosts: handover.ListHosts,
        must_ask: Callable[[], bool] = lambda: False,
    ) -> handover.HandoverSource[T]:
        """Returns a source that reads a topic from other hosts or the store.

        Args:
            topic: The topic in the store.
            list_hosts: Returns the hosts to ask when the store failed.
            list_current_hosts: Returns the hosts to ask before the store.
            must_ask: Returns whether even a reader asks them before the store.
        """
        access = self._peer_access
        return handover.HandoverSource(
            topic,
            list_hosts,
            access.ask,
            lambda: must_ask() or not access.hosts.is_reader(),
            access.list_at_start,
            list_current_hosts=list_current_hosts,
        )

    def start(self) -> None:
        """Starts the feeds."""
        for feed in self._feeds:
            feed.start()

    def close(self) -> None:
        """Stops the feeds; reads in progress end by their own time-outs."""
        for feed in self._feeds:
            feed.close()

    def wake_outdated(
        self, known: reading.ReadState, updates: Sequence[datagrams.PeerUpdate]
    ) -> None:
        """Wakes the feeds for which another host has read something newer.

        Args:
            known: What this host has read, as last sent to others.
            updates: Updates of other hosts.
        """
        if any(reading.is_era_stale(known, u.known) for u in updates):
            self.wake_all()
            return
        if any(reading.is_config_stale(known, u.known) for u in updates):
            self._config_feed.wake()
        if any(reading.is_list_stale(known, u.known) for u in updates):
            self._upstreams_feed.wake()

    def wake_all(self) -> None:
        """Wakes all feeds: the reader or the era of the store has changed."""
        for feed in self._feeds:
            feed.wake()
