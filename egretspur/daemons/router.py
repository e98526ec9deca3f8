"""``egretspur-router``: serves callers' HTTP requests on an entry host.

Connects the components, which make the decisions. Requests are handled by
`egretspur.delivery.completions` or `egretspur.claims.calls`.
"""

from __future__ import annotations

import logging
import random
import sys
import threading
import time
from collections.abc import Callable, Sequence
from typing import Any, Final

import attrs
import urllib3
from aioprometheus import collectors

from egretspur import codec, errors, held, settings, unsent, web
from egretspur.claims import actor as claim_actor
from egretspur.claims import calls
from egretspur.clients import engine, fields, service
from egretspur.clients import log as logs
from egretspur.daemons import base
from egretspur.delivery import completions, pump, relay
from egretspur.routing import actor as traffics
from egretspur.routing import dispatch, link, tables
from egretspur.tunnels import gate, helpers, reach, tunnels

_LOG: Final = logging.getLogger(__name__)

# Seconds between two checks of deadlines and probes.
TICK_PERIOD_S: Final = 0.1

# Seconds between two updates of the gauges.
GAUGES_PERIOD_S: Final = 1.0

# Threads reserved for diagnostics and peers while all streams are in use.
SPARE_THREADS: Final = 8

# Stack size of a thread; each open request has a thread.
STACK_BYTES: Final = 256 * 1024

# Header fields that belong to one connection and are not forwarded.
HOP_BY_HOP: Final = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class Router:
    """A router daemon."""

    def __init__(self, cfg: settings.RouterSettings) -> None:
        self._cfg = cfg
        threading.stack_size(STACK_BYTES)
        timing = cfg.timing
        dispatcher = dispatch.Dispatcher(
            cfg.node.name,
            cfg.node.data_centre,
            cfg.limits,
            timing,
            cfg.retries,
            random.Random(),
        )
        self._traffic = traffics.Traffic(dispatcher, self._report_now)
        # The upstreams of the table in force by address, and other routers.
        self._upstreams: dict[str, str] = {}
        self._routers: tuple[tables.RouterNode, ...] = ()
        self._tunnels = tunnels.Tunnels(
            cfg.node.listen.rpartition(":")[0],
            cfg.tunnel_port,
            random.Random(),
            self._list_helpers,
            gate.Sources(
                lambda: self._upstreams,
                self._is_router,
                lambda: self._draining.is_set(),
                lambda name, status, given: self._traffic.note_signals(
                    name, fields.read(status, given)
                ),
            ),
        )
        dial = self._tunnels.dialer.dial
        self._engines = engine.EngineClient(
            timing.connect_s,
            timing.first_event_s,
            timing.between_events_s,
            self._traffic.note_signals,
            dial,
        )
        self._tools = relay.RelayDependencies(
            self._traffic,
            self._engines,
            relay.Canceller(self._engines),
            pump.Pump(),
            timing.first_event_s,
        )
        self._services = service.ServiceClient(
            timing.connect_s, timing.service_s, dial
        )
        self._claims = claim_actor.Claims(
            cfg.node.name, logs.LogClient(cfg.log, 1.0)
        )
        self._calls = calls.CallRunner(
            cfg.node.name,
            cfg.services,
            self._traffic,
            self._claims,
            self._services,
        )
        self._link = link.Link(cfg.control, self._traffic, self._handle_update)
        self._stop = threading.Event()
        self._draining = threading.Event()
        self._has_table = threading.Event()
        self._in_flight = 0
        self._lock = threading.Lock()
        self._registry = collectors.Registry()
        self._requests = collectors.Counter(
            "egretspur_requests_total",
            "Requests by result kind",
            registry=self._registry,
        )
        self._gauges = {
            name: collectors.Gauge(
                f"egretspur_{name}", text, registry=self._registry
            )
            for name, text in _GAUGES.items()
        }
        self._completions = completions.Completions(self._make_relay)
        self._server = web.Server(
            self._make_app(),
            cfg.node.listen,
            cfg.limits.streams + SPARE_THREADS,
            cfg.limits.body_bytes,
            cfg.limits.header_bytes,
            cfg.limits.send_s,
            budget=held.Budget(cfg.limits.held_bytes),
            bound=unsent.Unsent(cfg.limits.unsent_bytes),
        )
        self._ticker = threading.Thread(
            target=self._tick, name="tick", daemon=True
        )
        self.address = self._server.address

    def start(self) -> None:
        """Starts serving."""
        self._tools.pump.start()
        self._server.start()
        self._tunnels.start()
        self._link.start(self.address)
        self._ticker.start()

    def drain(self) -> None:
        """Completes all requests in flight.

        The load balancer still sends requests for a while after `/ready` fails.
        Refusing them would fail callers, so they are served until it has
        noticed.
        """
        self._draining.set()
        self._server.drain()
        time.sleep(self._cfg.timing.linger_s)
        end = time.monotonic() + self._cfg.timing.drain_s
        while time.monotonic() < end:
            with self._lock:
                if not self._in_flight and not self._tunnels.open_tunnels:
                    break
            time.sleep(0.05)
        # Lets the server flush the last answers from its buffers.
        time.sleep(0.2)

    def close(self) -> None:
        """Stops everything."""
        self._stop.set()
        self._link.close()
        self._server.close()
        self._tunnels.close()
        self._tools.pump.close()
        self._tools.canceller.close()
        self._claims.close()
        self._traffic.close()
        self._engines.close()
        self._services.close()

    def _make_app(self) -> web.App:
        app = web.App()
        app.add("POST", "/v1/completions", self._complete)
        app.add("*", "/services/{service}/{rest*}", self._call_service)
        app.add("POST", "/claims", self._claim)
        web.add_diagnostics(
            app, lambda: self._registry, self._dump_state, self._is_ready
        )
        return app

    def _complete(self, req: web.Request) -> web.Response:
        problem = self._check_request(req)
        if problem is not None:
            return web.reply_refusal(problem)
        self._count_started()
        try:
            res = self._completions.handle(req)
        except BaseException:
            self._count_ended(500)
            raise
        if isinstance(res.body, completions.EventBody):
            res.body = _CountedBody(res.body, self._count_ended)
        else:
            self._count_ended(res.status)
        return res

    def _make_relay(
        self, prompt: relay.Prompt, req: web.Request
    ) -> relay.Relay:
        return relay.Relay(prompt, self._tools, req.is_disconnected)

    def _call_service(self, req: web.Request) -> web.Response:
        problem = self._check_request(req)
        if problem is not None:
            return web.reply_refusal(problem)
        self._count_started()
        try:
            res = self._run_call(req)
        except BaseException:
            self._count_ended(500)
            raise
        self._count_ended(res.status)
        return res

    def _run_call(self, req: web.Request) -> web.Response:
        given = req.get_header(completions.REQUEST_ID)
        request_id = completions.get_request_id(req)
        workspace = req.get_header(completions.WORKSPACE)
        if not workspace:
            return web.reply_refusal(
                errors.Refusal(
                    errors.ErrorKind.BAD_REQUEST,
                    f"header {completions.WORKSPACE} is missing",
                )
            )
        query = req.environ.get("QUERY_STRING", "")
        path = "/" + req.parts["rest"] + (f"?{query}" if query else "")
        headers = _get_passed_headers(req)
        headers[completions.REQUEST_ID] = request_id
        call = calls.Call(
            workspace,
            req.parts["service"],
            request_id,
            given == request_id,
            service.ServiceCall(req.method, path, headers, req.read_body()),
        )
        result = self._calls.run(call)
        if isinstance(result, errors.Refusal):
            res = web.reply_refusal(result)
        else:
            reply = result.reply
            res = web.Response(
                reply.status,
                {
                    k: v
                    for k, v in reply.headers.items()
                    if k.lower() not in HOP_BY_HOP
                },
                reply.body,
            )
            res.headers[completions.PIPELINE] = result.upstream
        res.headers[completions.REQUEST_ID] = request_id
        return res

    def _claim(self, req: web.Request) -> web.Response:
        message = codec.load(req.read_body(), claim_actor.ClaimCall)
        verdict = self._claims.decide_locally(message.claim)
        return web.reply_json(claim_actor.make_reply(verdict))

    def _check_request(self, req: web.Request) -> errors.Refusal | None:
        """Returns a refusal by header count or load, before the body is read.

        None if the request is accepted.
        """
        count = sum(1 for k in req.environ if k.startswith("HTTP_"))
        if count > self._cfg.limits.header_count:
            return errors.Refusal(
                errors.ErrorKind.TOO_LARGE,
                f"{count} header fields, {self._cfg.limits.header_count}"
                " are allowed",
            )
        with self._lock:
            full = self._in_flight >= self._cfg.limits.streams
        if full:
            return errors.Refusal(
                errors.ErrorKind.QUEUE_FULL,
                f"{self._cfg.limits.streams} requests are open here",
                retry_after_s=1.0,
            )
        return None

    def _count_started(self) -> None:
        with self._lock:
            self._in_flight += 1

    def _count_ended(self, status: int) -> None:
        with self._lock:
            self._in_flight -= 1
        self._requests.inc({"status": str(status)})

    def _list_helpers(self) -> helpers.Candidates:
        """Returns the hosts of the other routers."""
        return helpers.Candidates([_get_ip(r) for r in self._routers], [])

    def _is_router(self, host: str) -> bool:
        return host in self._list_helpers().local

    def _handle_update(self, update: tables.RoutingUpdate) -> None:
        self._routers = tuple(
            r for r in update.routers if r.name != self._cfg.node.name
        )
        if update.table is not None:
            self._upstreams = {
                u.address: u.name for u in update.table.upstreams
            }
        self._has_table.set()
        self._claims.set_routers(
            {
                r.name: r.address
                for r in update.routers
                if r.name != self._cfg.node.name
            }
        )

    def _report_now(self) -> None:
        self._link.report_now()

    def _is_ready(self) -> bool:
        return (
            self._has_table.is_set()
            and not self._draining.is_set()
            and self._tunnels.dialer.get_state() is not reach.ReachState.CUT_OFF
        )

    def _dump_state(self) -> Any:
        return {
            "settings": codec.encode(self._cfg),
            "address": self.address,
            "draining": self._draining.is_set(),
            "in_flight": self._in_flight,
            "reach": self._tunnels.dialer.get_state().value,
            "open_tunnels": self._tunnels.open_tunnels,
            "traffic": codec.encode(self._traffic.get_dump()),
        }

    def _tick(self) -> None:
        gauges_s = time.monotonic()
        while not self._stop.wait(TICK_PERIOD_S):
            self._traffic.tell(traffics.Tick())
            if time.monotonic() - gauges_s >= GAUGES_PERIOD_S:
                gauges_s = time.monotonic()
                self._set_gauges()

    def _set_gauges(self) -> None:
        dump = self._traffic.get_dump()
        values = {
            "in_flight": self._in_flight,
            "waiting": dump.waiting,
            "offset_in_force": dump.offset,
            "attempts": dump.counts.attempts,
            "retries": dump.counts.retries,
            "resumes": dump.counts.resumes,
            "busy_refusals": dump.counts.busy,
            "upstreams_down": sum(
                1 for u in dump.upstreams if u.health != "up"
            ),
        }
        for name, value in values.items():
            self._gauges[name].set({}, value)


# Help texts of gauges by name; ``egretspur_`` is put before each name.
_GAUGES: Final = {
    "in_flight": "Requests being served",
    "waiting": "Requests waiting for an upstream",
    "offset_in_force": "Offset of the table in force",
    "attempts": "Attempts started since the start",
    "retries": "Attempts that repeated an unbegun request",
    "resumes": "Attempts that went on with a begun answer",
    "busy_refusals": "Attempts refused by a busy upstream, not started",
    "upstreams_down": "Upstreams that are given no work or one probe",
}


@attrs.define
class _CountedBody:
    """A pushed body that calls a function at its end."""

    body: web.PushedBody
    on_end: Callable[[int], None]

    def push(self, write: Callable[[bytes], Any]) -> None:
        """Writes the body."""
        try:
            self.body.push(write)
        finally:
            self.on_end(200)


def _get_ip(router: tables.RouterNode) -> str:
    return router.address.rpartition(":")[0]


def _get_passed_headers(req: web.Request) -> dict[str, str]:
    headers = {}
    for key, value in req.environ.items():
        if not key.startswith("HTTP_"):
            continue
        name = key[5:].replace("_", "-").title()
        if name.lower() not in HOP_BY_HOP:
            headers[name] = value
    if req.environ.get("CONTENT_TYPE"):
        headers["Content-Type"] = req.environ["CONTENT_TYPE"]
    return headers


def main(argv: Sequence[str] | None = None) -> int:
    """Entry point of ``egretspur-router``."""
    cfg = base.read_settings(
        "egretspur-router",
        "Routes callers' requests to pipelines and services.",
        argv,
        settings.RouterSettings,
    )
    if isinstance(cfg, int):
        return cfg
    # Hundreds of streams have a thread each: shorter intervals than the default
    # keep each from waiting long for the interpreter lock.
    sys.setswitchinterval(0.001)
    urllib3.disable_warnings()
    return base.run_daemon(Router(cfg), cfg.node)


if __name__ == "__main__":
    sys.exit(main())
