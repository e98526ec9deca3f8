"""The control daemon: follows the log, syncs with peers, gives orders.

One runs on every entry host, and all run the same code. This module connects
the components and serves the HTTP API; decisions are made in the components.
"""

from __future__ import annotations

import logging
import threading
import time
import urllib.parse
from collections.abc import Callable
from typing import Any, Final

from aioprometheus import collectors

from egretspur import actors, codec, errors, hostview, settings, web
from egretspur.admission import quarantine
from egretspur.clients import hosts as hostlist
from egretspur.clients import log as logs
from egretspur.clients import weights
from egretspur.daemons import status as statuses
from egretspur.intents import actor as configs
from egretspur.intents import desk as desks
from egretspur.intents import follower as followers
from egretspur.intents import records
from egretspur.intents import state as states
from egretspur.membership import actor as members
from egretspur.membership import news
from egretspur.orders import actor as orders
from egretspur.routing import tables

_LOG: Final = logging.getLogger(__name__)

# Threads that serve requests; the router's long poll occupies one of them.
REQUEST_THREADS: Final = 6

# Limit on the time that a router's report waits for a change.
MAX_REPORT_WAIT_S: Final = 1.0

# Seconds between two reads of the platform's host list.
HOSTS_PERIOD_S: Final = 1.0

# Default number of history lines in an answer.
DEFAULT_HISTORY_LINES: Final = 200


class Control:
    """A control daemon."""

    def __init__(self, cfg: settings.ControlSettings) -> None:
        self._cfg = cfg
        self._incarnation = time.time_ns() // 1_000_000
        self._instance = f"{cfg.node.name}/{self._incarnation}"
        platform = cfg.platform
        self._log = logs.LogClient(platform.log, platform.timeout_s)
        self._weights = weights.WeightsClient(
            platform.weights, platform.timeout_s
        )
        self._hosts_client = hostlist.HostsClient(
            platform.hosts, platform.timeout_s
        )
        self._hosts = hostview.HostView(
            self._hosts_client, cfg.node.data_centre
        )
        self._versions = _StateVersions()
        self._routing_offset = 0
        self._urgent_offset = 0
        self._config = configs.Config(self._handle_config_change)
        self._draining = threading.Event()
        self._router = tables.RouterReport("", 0, 0, 0, (), {})
        self._server = web.Server(
            self._make_app(), cfg.node.listen, REQUEST_THREADS
        )
        self.address = self._server.address
        self._members = members.MembershipActor.start(
            cfg.node,
            self.address,
            cfg.peers,
            self._incarnation,
            members.Events(self._note_ahead, self._versions.bump),
        )
        self._follower = followers.Follower(
            cfg.node.name,
            self._config,
            self._log,
            platform,
            cfg.peers,
            self._get_rank,
        )
        self._orders = orders.OrdersActor.start(
            self._instance,
            cfg.node.data_centre,
            cfg.lease,
            self._config,
            self._hosts,
            orders.Effects(self._append, self._publish_leaving),
        )
        self._desk = desks.OperatorCommands(
            cfg.node.name,
            desks.Dependencies(
                self._config,
                self._log,
                self._weights,
                self._list_hosts,
                self._follower.read_now,
            ),
        )
        self._threads = [
            _Periodic("hosts", HOSTS_PERIOD_S, self._refresh_hosts),
            _Periodic("exchange", cfg.peers.period_s, self._exchange),
            _Periodic("orders", cfg.lease.period_s, self._tick_orders),
        ]

    def start(self) -> None:
        """Starts serving."""
        self._server.start()
        self._refresh_hosts()
        self._follower.start()
        for thread in self._threads:
            thread.start()

    def drain(self) -> None:
        """Stops being ready; needs no wait, as commands are short."""
        self._draining.set()
        self._server.drain()

    def close(self) -> None:
        """Stops everything."""
        for thread in self._threads:
            thread.close()
        self._follower.close()
        self._orders.stop(block=False)
        self._members.stop(block=False)
        self._server.close()
        self._config.close()
        self._log.close()
        self._weights.close()
        self._hosts_client.close()

    # HTTP handlers.

    def _make_app(self) -> web.App:
        app = web.App()
        app.add("POST", "/v1/intents", self._create_intent)
        app.add("GET", "/v1/intents", self._get_intents)
        app.add("POST", "/v1/intents/{intent}/plan", self._make_plan)
        app.add("GET", "/v1/plans/{plan}", self._get_plan)
        app.add("POST", "/v1/plans/{plan}/confirm", self._confirm)
        app.add("POST", "/v1/plans/{plan}/reject", self._reject)
        app.add("GET", "/v1/records/{record}", self._get_record)
        app.add("GET", "/v1/status", self._get_status)
        app.add("GET", "/v1/history", self._get_history)
        app.add("GET", "/v1/quarantine", self._get_quarantine)
        app.add(
            "POST",
            "/v1/quarantine/{fingerprint}/release",
            self._release_quarantined,
        )
        app.add("POST", "/router/report", self._handle_report)
        app.add("POST", "/peer/exchange", self._handle_exchange)
        app.add("POST", "/peer/push", self._handle_push)
        app.add("GET", "/peer/records", self._get_records)
        app.add("GET", "/peer/snapshot", self._get_snapshot)
        registry = collectors.Registry()
        self._offset_gauge = collectors.Gauge(
            "egretspur_offset", "Offset folded", registry=registry
        )
        self._log_gauge = collectors.Gauge(
            "egretspur_log_reachable",
            "1 if the platform's log answers",
            registry=registry,
        )
        web.add_diagnostics(
            app, lambda: registry, self._dump_state, self._is_ready
        )
        return app

    def _create_intent(self, req: web.Request) -> web.Response:
        new = codec.load(req.read_body(), desks.NewIntent)
        return _reply(self._desk.create_intent(new), 201)

    def _get_intents(self, req: web.Request) -> web.Response:
        return web.reply_json(self._desk.get_intents())

    def _make_plan(self, req: web.Request) -> web.Response:
        return _reply(
            self._desk.make_plan(req.parts["intent"], _get_operator(req)), 201
        )

    def _get_plan(self, req: web.Request) -> web.Response:
        return _reply(self._desk.get_plan(req.parts["plan"]))

    def _confirm(self, req: web.Request) -> web.Response:
        return _reply(self._desk.confirm(req.parts["plan"], _get_operator(req)))

    def _reject(self, req: web.Request) -> web.Response:
        return _reply(self._desk.reject(req.parts["plan"], _get_operator(req)))

    def _get_record(self, req: web.Request) -> web.Response:
        offset = self._desk.get_record(req.parts["record"])
        return web.reply_json({"offset": offset, "in_log": offset > 0})

    def _get_status(self, req: web.Request) -> web.Response:
        view = self._get_view()
        offset, holders, plans = self._config.read(_read_status)
        hosts = [
            statuses.HostStatus(
                n.name,
                n.news.data_centre,
                n.news.offset,
                n.news.in_force,
                n.news.log_reachable,
            )
            for n in view.nodes
        ]
        known = {h.name for h in hosts}
        missing = sorted(n for n in self._list_entry_hosts() if n not in known)
        return web.reply_json(
            statuses.Status(
                self._cfg.node.data_centre,
                self._cfg.node.name,
                offset,
                tuple(hosts),
                holders,
                tuple(plans),
                self._describe_outages(missing),
                view.remote,
            )
        )

    def _describe_outages(self, missing: list[str]) -> str:
        parts = []
        if not self._follower.log_reachable and not self._is_log_read():
            parts.append(
                "cut off from the platform's log; serving by the last"
                " configuration"
            )
        if not self._hosts.is_reachable:
            parts.append("the platform's host list does not answer")
        if missing:
            parts.append("no news from: " + ", ".join(missing))
        return "; ".join(parts)

    def _is_log_read(self) -> bool:
        """Returns whether any host of the data centre can read the log."""
        return any(n.news.log_reachable for n in self._get_view().nodes)

    def _get_history(self, req: web.Request) -> web.Response:
        count = web.get_query_int(req, "limit", DEFAULT_HISTORY_LINES)
        lines = self._config.read(lambda s: list(s.history[-count:]))
        return web.reply_json(lines)

    def _list_quarantined(self) -> list[statuses.Quarantined]:
        return [
            statuses.Quarantined(fingerprint, len(ends))
            for fingerprint, ends in sorted(self._get_view().ended.items())
            if sum(ends.values()) >= quarantine.CRASH_THRESHOLD
        ]

    def _get_quarantine(self, req: web.Request) -> web.Response:
        return web.reply_json(self._list_quarantined())

    def _release_quarantined(self, req: web.Request) -> web.Response:
        """Has all routers accept a quarantined request again."""
        name = req.parts["fingerprint"]
        operator = _get_operator(req)
        found = next(
            (h for h in self._list_quarantined() if h.fingerprint == name), None
        )
        if found is None:
            return web.reply_refusal(
                errors.Refusal(errors.ErrorKind.NOT_FOUND, repr(name))
            )
        self._members.tell(members.AddCrashes({name: {}}))
        _LOG.info(
            "request released from quarantine",
            extra={"fingerprint": name, "operator": operator},
        )
        return web.reply_json(found)

    def _handle_report(self, req: web.Request) -> web.Response:
        report = codec.load(req.read_body(), tables.RouterReport)
        self._router = report
        for mark in report.leaving:
            self._publish_leaving(mark.upstream, mark.incarnation)
        self._members.tell(members.SetDemand(report.demand))
        if report.ended:
            self._members.tell(members.AddCrashes(report.ended))
        if not report.evidence.is_empty():
            self._members.tell(members.AddEvidence(report.evidence))
        if report.limits:
            self._members.tell(members.AddLimits(report.limits))
        self._publish_node_state(self._config.read(lambda s: s.offset))
        # A report of version 0 is answered without waiting: it only carries an
        # urgent leaving mark, or the router has just started.
        if report.version:
            self._versions.wait(report.version, MAX_REPORT_WAIT_S)
        return web.reply_json(self._make_update(report))

    def _make_update(self, report: tables.RouterReport) -> tables.RoutingUpdate:
        version = self._versions.version
        view = self._get_view()
        offset = self._config.read(lambda s: s.offset)
        table_version = self._versions.table_version
        table = None
        if offset and (
            table_version != report.table_version or not report.in_force
        ):
            table = self._make_table()
        return tables.RoutingUpdate(
            version,
            table,
            table_version,
            view.leaving,
            view.demand,
            tuple(
                tables.RouterNode(n.name, n.news.router)
                for n in view.nodes
                if n.news.router
            ),
            len(self._list_entry_hosts()),
            view.ended,
            view.limits,
            len(self._hosts.get_entry()),
            view.evidence,
        )

    def _list_entry_hosts(self) -> list[str]:
        """Returns this data centre's entry hosts in the platform's list."""
        return [
            h.name
            for h in self._hosts.get_entry().values()
            if h.data_centre == self._cfg.node.data_centre
        ]

    def _make_table(self) -> tables.RoutingTable:
        local = self._hosts.get_local()
        remote = self._hosts.get_remote()
        return self._config.read(
            lambda s: tables.make_table(
                s, self._cfg.node.data_centre, local, remote
            )
        )

    def _handle_exchange(self, req: web.Request) -> web.Response:
        return self._handle_gossip(req, is_urgent=False)

    def _handle_push(self, req: web.Request) -> web.Response:
        return self._handle_gossip(req, is_urgent=True)

    def _handle_gossip(self, req: web.Request, is_urgent: bool) -> web.Response:
        message = news.unpack_message(req.read_body())
        answer: news.GossipMessage = actors.ask(
            self._members, members.Received(message, is_urgent)
        )
        return web.Response(
            200,
            {"Content-Type": web.JSON_TYPE},
            news.pack_message(answer),
        )

    def _get_records(self, req: web.Request) -> web.Response:
        start = web.get_query_int(req, "from", 1)
        batch = self._config.get_recent(start)
        return web.Response(
            200,
            {"Content-Type": web.JSON_TYPE},
            followers.dump_batch(batch),
        )

    def _get_snapshot(self, req: web.Request) -> web.Response:
        return web.reply_json(self._config.read(followers.make_snapshot))

    def _dump_state(self) -> Any:
        summary: orders.Summary = actors.ask(self._orders, orders.GetSummary())
        return {
            "settings": codec.encode(self._cfg),
            "address": self.address,
            "incarnation": self._incarnation,
            "log_reachable": self._follower.log_reachable,
            "host_list_version": self._hosts.get_version(),
            "orders": codec.encode(summary),
            "membership": codec.encode(self._get_view()),
            "router": codec.encode(self._router),
            "config": self._config.read(codec.encode),
        }

    def _is_ready(self) -> bool:
        has_state = self._config.read(lambda s: s.offset) > 0
        return has_state and not self._draining.is_set()

    # Callbacks of components.

    def _handle_config_change(self, state: states.State) -> None:
        offset = state.offset
        if state.routing_offset != self._routing_offset:
            # Most records are leases and plans in progress, which don't change
            # routing; making a table for each would be most of the work.
            self._routing_offset = state.routing_offset
            self._versions.bump_table()
        self._offset_gauge.set({}, offset)
        # Runs in the config actor's thread, so a query to that actor here
        # would deadlock.
        is_urgent = state.news_offset != self._urgent_offset
        self._urgent_offset = state.news_offset
        self._publish_node_state(offset, is_urgent)

    def _note_ahead(self, address: str, offset: int) -> None:
        self._follower.request_pull(address, offset)

    def _publish_leaving(self, upstream: str, incarnation: str) -> None:
        self._members.tell(members.AddLeaving(upstream, incarnation))

    def _append(self, record: records.Record) -> bool:
        res = self._log.append(records.STREAM, [records.CODEC.encode(record)])
        if isinstance(res, errors.Refusal):
            _LOG.warning("append to the log not confirmed: %s", res.reason)
            return False
        return True

    def _list_hosts(
        self, data_centre: str
    ) -> list[hostlist.Host] | errors.Refusal:
        if data_centre == self._cfg.node.data_centre:
            return list(self._hosts.get_local().values())
        res = self._hosts_client.read(data_centre)
        if isinstance(res, errors.Refusal):
            return res
        return list(res.changed)

    def _refresh_hosts(self) -> None:
        remote = self._config.read(
            lambda s: tables.find_remote_data_centres(
                s, self._cfg.node.data_centre
            )
        )
        if not self._hosts.refresh(remote):
            return
        self._versions.bump_table()
        hosts = tuple(self._hosts.get_entry().values())
        self._members.tell(members.SetEntryHosts(hosts))

    def _exchange(self) -> None:
        self._log_gauge.set({}, int(self._follower.log_reachable))
        self._publish_node_state(self._config.read(lambda s: s.offset))
        self._members.tell(members.Tick())

    def _tick_orders(self) -> None:
        # Waits for the actor, so that ticks don't queue up behind a slow
        # engine.
        actors.ask(self._orders, orders.Tick())

    def _publish_node_state(self, offset: int, is_urgent: bool = False) -> None:
        self._members.tell(
            members.SetNode(
                news.NodeState(
                    self.address,
                    self._cfg.node.data_centre,
                    self._router.address,
                    offset,
                    self._router.in_force,
                    self._follower.log_reachable,
                ),
                is_urgent,
            )
        )

    def _get_view(self) -> members.PeerView:
        view: members.PeerView = actors.ask(self._members, members.GetView())
        return view

    def _get_rank(self) -> int:
        return self._get_view().rank


class _StateVersions:
    """Version numbers of the state sent to routers; reports wait on them."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self.version = 1
        self.table_version = 1

    def bump(self) -> None:
        """Counts a change other than of the table, and wakes waiters."""
        with self._condition:
            self.version += 1
            self._condition.notify_all()

    def bump_table(self) -> None:
        """Counts a change of the routing table, and wakes waiters."""
        with self._condition:
            self.table_version += 1
        self.bump()

    def wait(self, version: int, wait_s: float) -> None:
        """Waits until the version differs from `version`, or `wait_s`."""
        with self._condition:
            self._condition.wait_for(
                lambda: self.version != version, timeout=wait_s
            )


class _Periodic:
    """A thread that calls a function periodically."""

    def __init__(
        self, name: str, period_s: float, work: Callable[[], None]
    ) -> None:
        self._period_s = period_s
        self._work = work
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stops the thread after its current call."""
        self._stop.set()

    def _run(self) -> None:
        while not self._stop.wait(self._period_s):
            try:
                self._work()
            except Exception:
                if self._stop.is_set():
                    return
                _LOG.exception("periodic task failed")


def _read_status(
    state: states.State,
) -> tuple[int, dict[str, str], list[desks.PlanView]]:
    open_plans = [
        p
        for p, plan in state.plans.items()
        if plan.status
        in (states.PlanStatus.PROPOSED, states.PlanStatus.PREPARING)
    ]
    views = [desks.view_plan(state, p) for p in open_plans]
    return (
        state.offset,
        {d: lease.holder for d, lease in sorted(state.leases.items())},
        [v for v in views if v is not None],
    )


def _reply(result: Any, status: int = 200) -> web.Response:
    if isinstance(result, errors.Refusal):
        return web.reply_refusal(result)
    return web.reply_json(result, status)


def _get_operator(req: web.Request) -> str:
    name = req.get_header("X-Operator")
    if not name:
        raise codec.DecodeError("header X-Operator is missing")
    return urllib.parse.unquote(name)
