"""``egretspur-host``: router and control of one host in one process.

For installations where a platform's store keeps durable state, and memory is
paid for by the process. Connects the components, which make the decisions. Read
next: `egretspur.delivery.intake` and `egretspur.routing.broker`.
"""

from __future__ import annotations

import argparse
import functools
import math
import random
import signal
import sys
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final, TypeVar

import attrs

from egretspur import (
    addresses,
    codec,
    decisions,
    errors,
    guard,
    held,
    logs,
    mechanisms,
    unsent,
    web,
)
from egretspur.admission import repeats
from egretspur.catalog import (
    config,
    feeds,
    handover,
    positions,
    quarantined,
    reading,
    upstreams,
    versions,
)
from egretspur.daemons import fetch, follow, listed, meters, news, pages
from egretspur.delivery import buffers, intake, watch
from egretspur.membership import (
    contention,
    datagrams,
    duty,
    evidence,
    exchange,
    hosts,
    lists,
    seeds,
    sidechannels,
    slowness,
)
from egretspur.orders import ranges
from egretspur.platform import (
    control,
    ingress,
    names,
    node,
    store,
    upstream,
)
from egretspur.routing import broker, choice, desk, fleet, probes
from egretspur.tunnels import gate, reach, tunnels

T = TypeVar("T")

# Limit on concurrent requests; each occupies a thread, started on demand.
MAX_REQUESTS: Final = 600

# Limit on connections of callers, most of which are idle.
MAX_CALLER_CONNECTIONS: Final = 2000

# File descriptors that the process has open without any connection.
OWN_FDS: Final = 100

# Seconds between two checks of the settings file for changes.
SETTINGS_CHECK_PERIOD_S: Final = 1.0

# After a stop signal new connections are served for this long: the load
# balancer takes up to two seconds to notice that the host isn't ready.
UNREADY_LINGER_S: Final = 2.6

# Time between the end of the drain and the end of the platform's grace period,
# after which it kills the process.
STOP_MARGIN_S: Final = 0.6

# Idle connections are closed this much later than callers may reuse them, so
# that no request arrives on a connection that is being closed.
IDLE_SLACK_S: Final = 5.0


class Host:
    """The process of one host."""

    def __init__(
        self,
        cfg: node.HostSettings,
        handler: logs.BoundedHandler | None = None,
        enabled: mechanisms.Mechanisms = mechanisms.ALL,
    ) -> None:
        """Makes a host.

        Args:
            cfg: Its settings.
            handler: Log handler, whose dropped lines the metrics show.
            enabled: Optional mechanisms that are enabled.
        """
        self._cfg = cfg
        # This host as others know it.
        self._host = str(cfg.address)
        self._mechanisms = enabled
        rng = random.Random()
        self._desk = desk.Desk(
            broker.Broker(
                cfg.data_centre,
                repeats.Options(
                    cfg.retry_ratio, cfg.retry_allowance, cfg.retry_window_s
                ),
                rng,
                enabled,
                self._host,
            )
        )
        self._listed = listed.ListedAddresses(self._desk)
        self._tunnels = tunnels.Tunnels(
            cfg.ip,
            cfg.exchange_port,
            rng,
            lambda: self._exchange.list_helpers(),
            gate.Sources(
                self._listed.get,
                lambda ip: self._exchange.is_known(ip),
                lambda: self._draining.is_set(),
                self._note_answer,
            ),
            lambda state: self._desk.tell(desk.ReachChanged(state)),
            names.REPORT_PATH,
        )
        self._dialer = self._tunnels.dialer
        self._engines = control.ControlClient(self._dialer)
        self._watch = watch.StreamWatch(
            self._desk,
            self._engines,
            enabled.silence,
            self._host,
            self._dialer,
            cfg.bounds.max_silence_s,
        )
        self._intake = intake.Intake(
            self._desk,
            upstream.UpstreamClient(
                self._desk.note_signals, self._dialer, self._is_responsive
            ),
            self._watch,
            rng,
            buffers.BodyBuffers(cfg.memory_bytes),
            names.RETRY_AFTER_DECIMALS,
        )
        self._meters = meters.Meters()
        decisions.LOGGER.addHandler(self._meters)
        self._store = store.Store(cfg.store, self._meters.note_store_call)
        self._versions = versions.Versions()
        self._exchange = exchange.Exchange(
            hosts.Peers(
                self._host,
                cfg.data_centre,
                cfg.list_seeds(),
                data_centres=cfg.data_centres,
            ),
            cfg.address,
            self._make_update,
            self._aggregate,
            self._handle_updates,
            self._make_kinds(),
        )
        self._page_client = fetch.PageClient()
        self._seed_finder = seeds.SeedFinder(
            self._exchange, self._page_client.fetch
        )
        groups = {
            d: store.Group(self._store, f"orders-{d}", self._host)
            for d in cfg.data_centres
        }
        group = groups[cfg.data_centre]
        self._members = duty.Members(group, self._host, rng)
        self._saver = quarantined.Writer(
            functools.partial(store.write_quarantine, self._store), rng
        )
        self._feeds = follow.StoreFeeds(
            self._store,
            follow.PeerAccess(
                self._exchange, self._ask_host, self._members.list_hosts
            ),
            self._desk,
            follow.ConfigSink(
                self.configure,
                self._versions.note_read,
                self._versions.is_behind,
            ),
            self._saver,
            cfg.bounds,
        )
        self._prober = probes.Prober(
            self._desk,
            self._probe,
            self._exchange.send_soon,
            self._saver.queue_changes,
        )
        member_lists = lists.MemberLists(
            groups, cfg.data_centre, self._exchange, self._handle_counted
        )
        self._duty = duty.Duty(
            group, self._exchange, read_lists=member_lists.read
        )
        self._keeper = ranges.RangeReconciler(self._duty, self._engines, self)
        # What this host has read, as last sent to others.
        self._known = reading.ReadState(0, 0, math.inf)
        self._was_reader = False
        self._settings_file = node.SettingsFile()
        self._is_reload_due = False
        self._draining = threading.Event()
        self._stop = threading.Event()
        budget = held.Budget(cfg.held_bytes)
        bound = unsent.Unsent(cfg.unsent_bytes)
        self._server = web.Server(
            self._make_app(),
            cfg.listen,
            MAX_REQUESTS,
            starts_on_demand=True,
            connections=_count_connections(cfg.max_fds),
            budget=budget,
            bound=bound,
        )
        self._ready_server = web.Server(
            self._make_ready_app(),
            cfg.listen_ready,
            1,
            budget=budget,
            bound=bound,
        )
        self._pages_server = web.Server(
            pages.make_pages(
                self._desk,
                self._meters,
                handler,
                self.get_version_status,
                self.is_ready,
                self._feeds.topics,
                lambda: self._store.eras.newest,
                self._exchange.get_contact,
                seeds.Identity(self._host, cfg.data_centre),
            ),
            cfg.listen_control,
            1,
            budget=budget,
            bound=bound,
        )
        self._reloader = threading.Thread(
            target=self._watch_settings, name="settings", daemon=True
        )

    def start(self) -> None:
        """Starts serving; ready once configuration and list are read."""
        self._feeds.start()
        self._saver.start()
        self._server.start()
        self._ready_server.start()
        self._pages_server.start()
        self._reloader.start()
        self._watch.start()
        self._prober.start()
        self._exchange.start()
        self._seed_finder.start()
        self._tunnels.start()
        self._duty.start()
        self._keeper.start()

    def drain(self) -> None:
        """Completes requests in flight within the platform's grace period."""
        began_s = time.monotonic()
        end_s = began_s + self._cfg.grace_s - STOP_MARGIN_S
        self._draining.set()
        decisions.record(decisions.Stopping(self._intake.in_flight))
        self._keeper.close()
        self._duty.close()
        self._server.drain()
        # New requests arrive until the load balancer has noticed.
        time.sleep(min(UNREADY_LINGER_S, self._cfg.grace_s / 2))
        self._intake.stop()
        self._server.close_idle()
        while (
            self._intake.in_flight or self._tunnels.open_tunnels
        ) and time.monotonic() < end_s:
            time.sleep(0.05)

    def close(self) -> None:
        """Stops everything."""
        self._stop.set()
        self._keeper.close()
        self._duty.close()
        self._feeds.close()
        self._saver.close()
        self._seed_finder.close()
        self._exchange.close()
        self._tunnels.close()
        self._watch.close()
        self._prober.close()
        self._server.close()
        self._ready_server.close()
        self._pages_server.close()
        self._page_client.close()
        decisions.record(decisions.Stopped(self._intake.in_flight))

    def configure(self, cfg: config.Configuration) -> None:
        """Puts a configuration in force, unless a newer one already is.

        It is noted as in force once every part has applied it: after a part has
        failed, the feed reads the topic again, and the version is applied anew.
        """
        if not self._versions.is_newer(cfg):
            return
        # The intake makes requests by its configuration and the broker routes
        # them by its own, so the broker must know a service first.
        self._desk.configure(cfg)
        self._intake.configure(cfg)
        self._server.set_limits(
            cfg.limits.header_bytes,
            cfg.limits.body_bytes,
            cfg.limits.idle_s + IDLE_SLACK_S,
        )
        behind_s = self._versions.get_status().behind_s
        self._versions.note_applied(cfg)
        if self._exchange.is_reader():
            # The others of the data centre may know of it from this host only,
            # which may stop at any time.
            self._exchange.send_soon()
        workspace_names = {w.name for w in (cfg.keys or {}).values()}
        decisions.record(
            decisions.ConfigurationApplied(
                cfg.version, len(cfg.routes), len(workspace_names), behind_s
            )
        )

    def get_version_status(self) -> versions.Status:
        """Returns what this host knows of the configuration's versions."""
        return self._versions.get_status()

    def is_ready(self) -> bool:
        """Returns whether the load balancer should send new requests here."""
        return (
            not self._draining.is_set()
            and self._versions.current is not None
            and self._feeds.upstreams_sink.has_list
            and self._dialer.get_state() is not reach.ReachState.CUT_OFF
        )

    def _ask_host(
        self,
        host: str,
        topic: str,
        since: positions.Position | None,
        timeouts: handover.Timeouts,
    ) -> bytes | feeds.Unavailable | None:
        """Returns another host's changes of a topic since a position."""
        to = addresses.parse(self._cfg.address.complete(host))
        path = pages.make_snapshot_path(topic, since)
        return self._page_client.ask(to.control, path, timeouts)

    def _make_app(self) -> web.App:
        app = web.App()
        # Routes name no methods; the upstream decides.
        app.add("*", "/{rest*}", self._serve)
        return app

    def _serve(self, req: web.Request) -> web.Response:
        try:
            inbound = ingress.read_request(req)
        except codec.DecodeError as exc:
            refusal = errors.Refusal(errors.ErrorKind.BAD_REQUEST, str(exc))
            return self._intake.refuse(ingress.read_id(req), refusal)
        return self._intake.serve(inbound, req)

    def _make_ready_app(self) -> web.App:
        def get_ready(req: web.Request) -> web.Response:
            if self.is_ready():
                return web.Response(200)
            return web.reply_refusal(
                errors.Refusal(errors.ErrorKind.NOT_CONFIGURED, "not ready")
            )

        app = web.App()
        app.add("GET", names.READY_PATH, get_ready)
        return app

    def record_layers(self, upstream_id: str, layers: upstreams.Layers) -> None:
        """Passes on the layers that an engine reports after an order."""
        self._desk.tell(desk.LayersReported(upstream_id, layers))

    def get_snapshot(self) -> ranges.FleetSnapshot:
        """Returns the state by which the reconciler places layers."""

        def read(state: broker.Broker) -> ranges.FleetSnapshot:
            now_s = time.monotonic()
            view = state.fleet
            live = [
                e
                for e in view.roster.entries.values()
                if not view.backpressure.is_leaving(e)
                and not view.health.is_dead(e.id, now_s)
            ]
            home = self._cfg.data_centre
            cfg = self._versions.current
            return ranges.FleetSnapshot(
                cfg,
                tuple(e for e in live if e.data_centre == home),
                tuple(e for e in live if e.data_centre != home),
                frozenset(
                    e.id
                    for e in live
                    if not view.memory.get_usage(e.id, now_s).count
                ),
                self._find_slow_engines(view, now_s),
            )

        scene: ranges.FleetSnapshot = self._desk.query(read)
        return scene

    def _find_slow_engines(
        self, view: fleet.Fleet, now_s: float
    ) -> frozenset[str]:
        """Returns the engines that are too slow for the routes' time limits."""
        cfg = self._versions.current
        if cfg is None or not self._mechanisms.replacing_slow:
            return frozenset()
        return frozenset(
            upstream_id
            for service in cfg.find_engine_services()
            for upstream_id in view.list_too_slow(
                service,
                choice.compute_min_pass_limit_s(cfg, service.name),
                now_s,
            )
        )

    def _probe(
        self, entry: upstreams.Upstream
    ) -> upstreams.EngineReport | upstreams.ProbeFailed:
        service = self._find_service(entry)
        if service is None or service.engine is not None:
            return self._engines.probe(entry.address)
        failed = self._engines.check(entry.address, service.health_path)
        return failed or upstreams.PLAIN_REPORT

    def _is_responsive(self, entry: upstreams.Upstream) -> bool:
        """Returns whether a plain replica reads what it is sent."""
        service = self._find_service(entry)
        if service is None:
            return True
        return self._engines.is_responsive(entry.address, service.health_path)

    def _find_service(self, entry: upstreams.Upstream) -> config.Service | None:
        """Returns the service of an upstream in the newest configuration."""
        cfg = self._versions.current
        return cfg.services.get(entry.service) if cfg else None

    def _make_update(self, peers: Mapping[str, str]) -> datagrams.PeerUpdate:
        """Returns this host's update for the others of its data centre."""
        self._update_role()
        now_s = time.monotonic()
        age_s = now_s - self._store.answered_s
        view = news.StoreView(
            self._versions.get_version(),
            age_s,
            now_s - self._feeds.upstreams_sink.answered_s,
            self._exchange.is_store_away(age_s),
            self._feeds.get_era(),
            self._feeds.is_config_lost(),
        )
        update: datagrams.PeerUpdate = self._desk.query(
            lambda state: news.make_update(
                state, self._host, view, peers, now_s
            )
        )
        self._known = update.known
        return update

    def _aggregate(self, own: datagrams.PeerUpdate) -> datagrams.PeerUpdate:
        """Returns the update of this data centre for other data centres."""
        total: datagrams.PeerUpdate = self._desk.query(
            lambda state: news.aggregate(state, own, time.monotonic())
        )
        return total

    def _make_kinds(self) -> tuple[sidechannels.Kind[Any], ...]:
        """Returns the updates that go to other hosts besides peer updates."""
        return (
            sidechannels.Kind(
                contention.PREFIX,
                contention.encode,
                contention.decode,
                self._make_update_of(news.make_contention),
                self._handle_contention,
                contention.END_UPDATES,
            ),
            sidechannels.Kind(
                evidence.PREFIX,
                evidence.encode,
                evidence.decode,
                self._make_update_of(news.make_evidence),
                self._handle_evidence,
            ),
            sidechannels.Kind(
                slowness.PREFIX,
                slowness.encode,
                slowness.decode,
                self._make_update_of(news.make_slowness),
                self._handle_slowness,
            ),
        )

    def _make_update_of(
        self, make: Callable[[broker.Broker, str, bool, float], T]
    ) -> Callable[[bool], T]:
        """Returns what makes updates of this host, or its data centre."""

        def make_update(is_speaker: bool) -> T:
            update: T = self._desk.query(
                lambda state: make(
                    state, self._host, is_speaker, time.monotonic()
                )
            )
            return update

        return make_update

    def _handle_contention(
        self, updates: Sequence[contention.ContentionUpdate]
    ) -> None:
        self._desk.tell(desk.PeerContention(tuple(updates)))

    def _handle_slowness(
        self, updates: Sequence[slowness.SlownessUpdate]
    ) -> None:
        self._desk.tell(desk.PeerSlowness(tuple(updates)))

    def _handle_evidence(
        self, updates: Sequence[evidence.EvidenceUpdate]
    ) -> None:
        self._desk.tell(desk.PeerEvidence(tuple(u.evidence for u in updates)))

    def _note_answer(
        self, upstream_id: str, status: int, fields: Mapping[str, str]
    ) -> None:
        """Heeds what an upstream asks for in its answer to another host."""
        answer = upstream.read_signals(status, fields)
        if answer is not None:
            self._desk.note_signals(upstream_id, answer)

    def _update_role(self) -> None:
        """Wakes the feeds to read at their new pace if the role changed."""
        is_reader = self._exchange.is_reader()
        if is_reader != self._was_reader:
            self._was_reader = is_reader
            self._feeds.wake_all()

    def _handle_updates(
        self, updates: Sequence[datagrams.PeerUpdate], hosts: int
    ) -> None:
        # Also where this host's own updates wait for its broker.
        self._update_role()
        for update in updates:
            if self._versions.note_heard(update.known.version):
                decisions.record(
                    decisions.ConfigurationHeard(
                        update.known.version,
                        update.host,
                        self._versions.get_version(),
                    )
                )
        # The version may have been applied since the last update was sent.
        known = attrs.evolve(self._known, version=self._versions.get_version())
        self._feeds.wake_outdated(known, updates)
        if self._versions.must_give_up_read():
            self._feeds.give_up_config_read()
        self._watch.record_peer_suspects(
            {i for u in updates for i in u.suspects}
        )
        for update in updates:
            if update.data_centre == self._cfg.data_centre:
                self._watch.record_peer_usage(update.host, update.usage)
        broker_updates = tuple(news.make_broker_update(u) for u in updates)
        self._desk.tell(
            desk.PeerUpdates(broker_updates, self._count_sharing(hosts))
        )

    def _handle_counted(self, hosts: int) -> None:
        """Applies how many hosts there are, by lists."""
        self._desk.tell(desk.HostsCounted(self._count_sharing(hosts)))

    def _count_sharing(self, known: int) -> int:
        """Returns how many hosts share the budgets: at least the seeds."""
        return max(known, len(self._cfg.seeds))

    def reload(self) -> None:
        """Requests a reload of the settings; safe in a signal handler."""
        self._is_reload_due = True

    def _reload(self) -> None:
        """Applies changed settings, except those that need a restart."""
        try:
            cfg = node.load_settings()
        except node.SettingsError as exc:
            # The previous settings stay in force.
            decisions.record(decisions.Reloaded(str(exc)))
            return
        self._cfg = cfg
        self._exchange.set_seeds(cfg.list_seeds())
        decisions.record(decisions.Reloaded(""))

    def _watch_settings(self) -> None:
        while not self._stop.wait(SETTINGS_CHECK_PERIOD_S):
            with guard.log_exceptions("settings"):
                if self._settings_file.is_changed() or self._is_reload_due:
                    self._is_reload_due = False
                    self._reload()


def _count_connections(max_fds: int) -> int:
    """Returns the limit on connections of callers.

    As many again are for connections to upstreams, and for those of hosts and
    operators.
    """
    return min(MAX_CALLER_CONNECTIONS, (max_fds - OWN_FDS) // 2)


def main(argv: Sequence[str] | None = None) -> int:
    """Entry point of ``egretspur-host``."""
    parser = argparse.ArgumentParser(description=__doc__)
    mechanisms.add_argument(parser)
    args = parser.parse_args(argv)
    try:
        cfg = node.load_settings()
    except node.SettingsError as exc:
        print(exc, file=sys.stderr)
        return 2
    threading.stack_size(256 * 1024)
    handler = logs.start_logging(cfg.name, "info")
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda signum, frame: stop.set())
    signal.signal(signal.SIGINT, lambda signum, frame: stop.set())
    host = Host(cfg, handler, mechanisms.make(args.without))
    signal.signal(signal.SIGHUP, lambda signum, frame: host.reload())
    host.start()
    decisions.record(decisions.Started(cfg.listen))
    stop.wait()
    host.drain()
    host.close()
    handler.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
