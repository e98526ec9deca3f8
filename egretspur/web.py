"""Minimal WSGI layer of every daemon: paths, JSON, errors, drain.

Waitress implements HTTP; this module only maps a method and a path to a handler
and a result to a response. Read next: `egretspur.errors` for the answer table.
"""

from __future__ import annotations

import contextlib
import logging
import socket
import struct
import sys
import threading
import time
import urllib.parse
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING, Any, Final, Protocol

import attrs
import waitress
import waitress.channel
import waitress.server
import waitress.task
import waitress.wasyncore

from egretspur import codec, errors, held, inbound, turns, unsent

if TYPE_CHECKING:
    from aioprometheus import collectors

_LOG: Final = logging.getLogger(__name__)

# Keys in the WSGI environment: of the connection, of the request target as it
# was sent, since WSGI itself only passes the decoded path, and of the monotonic
# time of the request's first byte.
_CHANNEL: Final = "egretspur.channel"
_TARGET: Final = "egretspur.target"
_BEGAN: Final = "egretspur.began"

# Threads that a server with on-demand threads adds at a time.
_THREADS_STEP: Final = 4

# Sockets that the library counts besides connections: the listening one, that
# which wakes its thread, and one connection for which none could be closed.
_OTHER_SOCKETS: Final = 3

# Connections that wait in the system to be accepted, and that are accepted
# before others are read.
_BACKLOG: Final = 1024

# Bytes read in a turn of what came with a head: the first turns of clients that
# come anew would otherwise keep each other waiting.
_TURN_BYTES: Final = 1024

JSON_TYPE: Final = "application/json"


@attrs.define
class Request:
    """One HTTP request."""

    method: str
    path: str
    # Decoded query; the last of equal names wins.
    query: Mapping[str, str]
    environ: dict[str, Any]
    # Path parts matched by ``{name}`` in the route.
    parts: dict[str, str] = attrs.Factory(dict)

    def get_header(self, name: str) -> str:
        """Returns a header field; empty if it is absent."""
        key = name.upper().replace("-", "_")
        if key in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            return str(self.environ.get(key, ""))
        return str(self.environ.get(f"HTTP_{key}", ""))

    def read_body(self) -> bytes:
        """Returns the whole body."""
        # The server's own buffer, without a copy.
        data: bytes = self.environ["wsgi.input"].getvalue()
        return data

    def count_unsent(self) -> int:
        """Returns the bytes written that are not yet sent to the caller."""
        channel = self.environ.get(_CHANNEL)
        return int(channel.total_outbufs_len) if channel else 0

    def get_began_s(self) -> float:
        """Returns the monotonic time at which its first byte arrived."""
        return float(self.environ.get(_BEGAN, time.monotonic()))

    def get_target(self) -> str:
        """Returns path and query without decoding."""
        return str(self.environ.get(_TARGET, self.path))

    def get_headers(self) -> dict[str, str]:
        """Returns all header fields, by names in title case."""
        found = {
            key[5:].replace("_", "-").title(): str(value)
            for key, value in self.environ.items()
            if key.startswith("HTTP_")
        }
        for key in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            if self.environ.get(key):
                found[key.replace("_", "-").title()] = self.environ[key]
        return found

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Registers a function to call when the caller closes the connection.

        It is called from the server's thread and must not block. If the
        connection is closed already, it is called at once.
        """
        channel = self.environ.get(_CHANNEL)
        if channel is None:
            return
        channel.on_disconnect = callback
        if not channel.connected:
            callback()

    def is_disconnected(self) -> bool:
        """Tells whether the caller has closed the connection."""
        check = self.environ.get("waitress.client_disconnected")
        return bool(check and check())


class PushedBody(Protocol):
    """A body that writes itself, from any thread."""

    def push(self, write: Callable[[bytes], Any]) -> None:
        """Writes the body; returns when it is complete.

        `write` raises `CallerDisconnected` once the caller has disconnected.
        """


# Raised by the write function of a pushed body.
CallerDisconnected = waitress.channel.ClientDisconnected


@attrs.define
class Response:
    """One HTTP response; the body may be a stream."""

    status: int = 200
    headers: dict[str, str] = attrs.Factory(dict)
    body: bytes | Iterable[bytes] | PushedBody = b""


Handler = Callable[[Request], Response]


def reply_json(message: Any, status: int = 200) -> Response:
    """Returns a response with a message or plain values as JSON."""
    return Response(status, {"Content-Type": JSON_TYPE}, codec.dump(message))


def reply_refusal(refusal: errors.Refusal, decimals: int = 0) -> Response:
    """Returns the response for a refusal by the answer table.

    Args:
        refusal: The refusal.
        decimals: Decimal places of Retry-After that the clients read; HTTP
            itself has whole seconds only.
    """
    answer = refusal.answer
    headers = {"Content-Type": JSON_TYPE}
    if refusal.retry_after_s > 0:
        after_s = max(10.0**-decimals, refusal.retry_after_s)
        headers["Retry-After"] = f"{after_s:.{decimals}f}"
    return Response(
        answer.status, headers, codec.dump_json(describe_refusal(refusal))
    )


def describe_refusal(refusal: errors.Refusal) -> dict[str, Any]:
    """Returns the error object of a response."""
    answer = refusal.answer
    return {
        "error": {
            "kind": refusal.kind.value,
            "message": f"{answer.message} ({refusal.reason})",
            "not_run": answer.not_run,
            "may_repeat": answer.may_repeat,
            "retry_after_s": refusal.retry_after_s,
            "ask_for": refusal.ask_for,
        }
    }


class App:
    """A WSGI application built from routes."""

    def __init__(self) -> None:
        self._routes: list[tuple[str, list[str], Handler]] = []

    def add(self, method: str, pattern: str, handler: Handler) -> None:
        """Adds a route.

        Args:
            method: HTTP method, or ``*`` for any.
            pattern: Path such as ``/v1/plans/{plan}/confirm``; a last part
                ``{rest*}`` matches everything that follows.
            handler: Called with the request.
        """
        self._routes.append((method, pattern.strip("/").split("/"), handler))

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Serves one request; called by the WSGI server."""
        req = _make_request(environ)
        res = self._handle(req)
        headers = list(res.headers.items())
        body = res.body
        if isinstance(body, bytes):
            headers.append(("Content-Length", str(len(body))))
            body = [body]
        write = start_response(f"{res.status} {_phrase(res.status)}", headers)
        if hasattr(body, "push"):
            body.push(write)
            return []
        return body

    def _handle(self, req: Request) -> Response:
        handler = self._find(req)
        if handler is None:
            return self._reply_unhandled(req)
        try:
            return handler(req)
        except codec.DecodeError as exc:
            return reply_refusal(
                errors.Refusal(errors.ErrorKind.BAD_REQUEST, str(exc))
            )
        except Exception as exc:
            _LOG.exception("request failed", extra={"path": req.path})
            return reply_refusal(
                errors.Refusal(errors.ErrorKind.INTERNAL, repr(exc))
            )

    def _reply_unhandled(self, req: Request) -> Response:
        """Answers a request that no route takes."""
        have = req.path.strip("/").split("/")
        allowed = {m for m, w, _ in self._routes if _match(w, have) is not None}
        if not allowed:
            return reply_refusal(
                errors.Refusal(
                    errors.ErrorKind.NOT_FOUND, f"{req.method} {req.path}"
                )
            )
        fields = {"Allow": ", ".join(sorted(allowed | {"OPTIONS"}))}
        if req.method == "OPTIONS":
            return Response(200, fields)
        res = reply_refusal(
            errors.Refusal(
                errors.ErrorKind.METHOD_NOT_ALLOWED, f"{req.method} {req.path}"
            )
        )
        res.headers.update(fields)
        return res

    def _find(self, req: Request) -> Handler | None:
        have = req.path.strip("/").split("/")
        for method, want, handler in self._routes:
            if method in ("*", req.method):
                parts = _match(want, have)
                if parts is not None:
                    req.parts = parts
                    return handler
        return None


class _DrainingTask(waitress.task.WSGITask):  # type: ignore[misc]
    """Closes keep-alive connections once the server drains."""

    def build_response_header(self) -> Any:
        # Otherwise a load balancer keeps its connections to a process that is
        # stopping, and its next request on one fails on a closed socket.
        if self.channel.server.adj.egretspur_draining.is_set():
            self.set_close_on_finish()
        header = super().build_response_header()
        if self.has_body and not self._tells_length():
            self.channel.break_on_close()
        return header

    def service(self) -> None:
        """Serves the request; nobody is told of a disconnect any more."""
        try:
            super().service()
        finally:
            # It holds the request, with its body, and the connection may stay
            # open for long.
            self.channel.on_disconnect = None

    def finish(self) -> None:
        """Ends a response that is complete."""
        super().finish()
        self.channel.is_whole = True

    def _tells_length(self) -> bool:
        """Returns whether the response itself tells where its body ends."""
        return self.chunked_response or any(
            name == "Content-Length" for name, _ in self.response_headers
        )

    def get_environment(self) -> Any:
        """Returns the WSGI environment, with the connection in it."""
        environ = super().get_environment()
        environ[_CHANNEL] = self.channel
        environ[_BEGAN] = self.request.began_s
        words = self.request.first_line.split(b" ")
        if len(words) == 3:
            environ[_TARGET] = words[1].decode("latin-1")
        return environ


class _DrainingChannel(waitress.channel.HTTPChannel):  # type: ignore[misc]
    task_class = _DrainingTask
    parser_class = inbound.Parser

    # The request that is being read; None before its first byte.
    request: inbound.Parser | None = None

    # Called when the caller disconnects while its request is being served.
    on_disconnect: Callable[[], None] | None = None

    # Whether the last response was written completely.
    is_whole = False

    # Whether it is closed whatever its caller has not taken.
    is_dropped = False

    # Whether a close resets the connection.
    breaks_on_close = False

    # Whether it was there when the server began to wait for events. Others may
    # be those of an earlier connection with the same descriptor.
    is_awaited = False

    # Whether it waits for its turn to read more of a body.
    is_queued = False

    def __init__(
        self, server: Any, sock: socket.socket, addr: Any, adj: Any, **more: Any
    ) -> None:
        """Adds a connection; closes an idle one if there are too many."""
        _make_room(server.active_channels, adj.egretspur_connections)
        super().__init__(server, sock, addr, adj, **more)

    def break_on_close(self) -> None:
        """Makes each end of the connection a reset, also that by the kernel.

        For a response that ends with its connection, as HTTP/1.0 has it: its
        caller would take any other end for that of the whole response.
        """
        self.is_whole = False
        self.breaks_on_close = True
        self._set_reset(True)

    def _set_reset(self, is_on: bool) -> None:
        sock = self.socket
        if sock is None:
            # Closed already: a connection may be closed more than once.
            return
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", is_on, 0)
            )

    def write_soon(self, data: bytes) -> int:
        """Writes to the caller, or keeps what it does not take yet."""
        if self.total_outbufs_len + len(data) <= unsent.FREE_BYTES:
            return int(super().write_soon(data))
        bound = self.server.adj.egretspur_unsent
        bound.begin(self, len(data))
        try:
            for begin in range(0, len(data), unsent.FREE_BYTES):
                # A buffer is freed once all of it is sent: each has one part.
                self.current_outbuf_count = self.adj.outbuf_high_watermark
                super().write_soon(data[begin : begin + unsent.FREE_BYTES])
        finally:
            bound.end(len(data))
        return len(data)

    def readable(self) -> bool:
        """Returns whether to wait for bytes; called before each wait."""
        if self.is_dropped and self.connected:
            # A caller that takes nothing never makes the socket writable, at
            # which the library would close it.
            self.handle_close()
        if self.request is not None and self.request.completed:
            self._answer_refused()
        self.is_awaited = True
        return bool(
            self.connected and not self.is_queued and super().readable()
        )

    def writable(self) -> bool:
        """Returns whether to wait until the caller takes more."""
        return bool(self.connected and super().writable())

    def _answer_refused(self) -> None:
        """Answers a request that was refused before it was complete."""
        with self.requests_lock:
            self.requests.append(self.request)
            self.request = None
            if len(self.requests) == 1:
                self.server.add_task(self)

    def handle_read(self) -> None:
        """Reads from the socket; notifies the handler of a disconnect."""
        if not self.is_awaited:
            return
        work = None if self.request is None else self.request.work
        if work is None:
            self._read()
        else:
            self._wait_for_turn(work)

    def _wait_for_turn(self, work: int) -> None:
        self.is_queued = True
        self.server.adj.egretspur_turns.add(self, work)

    def take_turn(self) -> None:
        """Reads more of a body in chunks."""
        self.is_queued = False
        request = self.request
        # Meanwhile it may have been closed, or refused for lack of room.
        if not self.connected or request is None or request.completed:
            return
        if not request.rest:
            self._read()
            return
        part, rest = request.rest[:_TURN_BYTES], request.rest[_TURN_BYTES:]
        request.rest = b""
        self.received(part)
        if not rest or request.error:
            return
        # Another request may have begun behind the end of the body.
        current = self.request
        if current is None or current.work is None:
            self.received(rest)
            return
        current.rest += rest
        if not self.is_queued:
            self._wait_for_turn(current.work)

    def received(self, data: bytes) -> bool:
        """Takes bytes; a body in chunks that began among them waits."""
        is_taken = bool(super().received(data))
        request = self.request
        if request is not None and request.rest and request.work is not None:
            self._wait_for_turn(request.work)
        return is_taken

    def _read(self) -> None:
        super().handle_read()
        if not self.connected:
            self._notify_disconnect()

    def handle_close(self) -> None:
        """Closes the socket and notifies the handler."""
        if not self.is_awaited:
            return
        if (
            self.breaks_on_close
            and self.is_whole
            and not self.total_outbufs_len
        ):
            self._set_reset(False)
        if self.request is not None:
            self.request.close()
        if self.is_queued:
            self.is_queued = False
            self.server.adj.egretspur_turns.discard(self)
        super().handle_close()
        self._notify_disconnect()

    def _notify_disconnect(self) -> None:
        callback, self.on_disconnect = self.on_disconnect, None
        if callback is not None:
            callback()


def _make_room(channels: Mapping[int, Any], limit: int) -> None:
    """Makes room for a connection.

    Closes the one that has been quiet for longest and waits for no answer. Its
    request, if there is one, was not read completely.
    """
    if len(channels) < limit:
        return
    idle = [c for c in channels.values() if not c.requests]
    if idle:
        min(idle, key=lambda c: c.last_activity).handle_close()


class _OnDemandDispatcher(waitress.task.ThreadedTaskDispatcher):  # type: ignore[misc]
    """Starts threads on demand, up to a limit.

    Each stream occupies a thread while it lasts. Starting enough threads for
    the largest burst in advance would cost memory that is seldom used.
    """

    def __init__(self, max_threads: int) -> None:
        super().__init__()
        self._max_threads = max_threads
        self._growth_lock = threading.Lock()

    def add_task(self, task: Any) -> None:
        """Queues a task and starts more threads if all are busy."""
        super().add_task(task)
        with self._growth_lock:
            have = len(self.threads)
            if self.active_count + len(self.queue) >= have < self._max_threads:
                self.set_thread_count(
                    min(self._max_threads, have + _THREADS_STEP)
                )


# Longest wait for an event, after which idle connections are looked for.
WAIT_S: Final = 1.0

# Longest wait for the server's thread on close.
CLOSE_TIMEOUT_S: Final = 0.3


class Server:
    """A waitress server in a thread of its own."""

    def __init__(
        self,
        app: App,
        listen: str,
        threads: int,
        body_bytes: int = 10_000_000,
        header_bytes: int = 65_536,
        idle_s: float = 120.0,
        starts_on_demand: bool = False,
        connections: int = 0,
        budget: held.Budget | None = None,
        bound: unsent.Unsent | None = None,
    ) -> None:
        """Binds the address.

        Args:
            app: Serves the requests.
            listen: IP address and port.
            threads: Requests served at once.
            body_bytes: Maximum size of a body.
            header_bytes: Maximum size of a header.
            idle_s: Seconds after which an idle connection is closed.
            starts_on_demand: Whether threads are started on demand.
            connections: Maximum open connections; 0 for a multiple of threads.
                Beyond it, one that is quiet is closed for each new one; if all
                wait for answers, no new one is accepted.
            budget: Bounds the bytes of bodies that the process holds; None for
                one of its own.
            bound: Bounds the bytes of answers that callers don't take; None for
                one of its own.
        """
        host, _, port = listen.rpartition(":")
        dispatcher = None
        if starts_on_demand:
            dispatcher = _OnDemandDispatcher(threads)
            dispatcher.set_thread_count(min(threads, _THREADS_STEP))
        limit = connections or threads * 4 + 100
        self._draining = threading.Event()
        self._server = waitress.server.create_server(
            app,
            _dispatcher=dispatcher,
            host=host,
            port=int(port),
            threads=threads,
            connection_limit=limit + _OTHER_SOCKETS,
            channel_request_lookahead=1,
            channel_timeout=max(1, int(idle_s)),
            cleanup_interval=max(1, int(idle_s / 4)),
            # The library refuses what reaches its limits.
            max_request_body_size=body_bytes + 1,
            max_request_header_size=header_bytes + 1,
            # All stays in memory: files count as memory too.
            inbuf_overflow=sys.maxsize,
            outbuf_overflow=sys.maxsize,
            ident="egretspur",
            clear_untrusted_proxy_headers=False,
            backlog=_BACKLOG,
            # Answers that are cut deliberately, or whose caller disconnects,
            # end with a socket error; both are logged as decisions.
            log_socket_errors=False,
        )
        self._server.adj.egretspur_draining = self._draining
        self._server.adj.egretspur_connections = limit
        self._server.adj.egretspur_bodies = held.Bodies(budget or held.Budget())
        self._turns = turns.Turns()
        self._server.adj.egretspur_turns = self._turns
        bound = bound or unsent.Unsent()
        bound.add_server(self._server.active_channels)
        self._server.adj.egretspur_unsent = bound
        self._server.channel_class = _DrainingChannel
        self._server.handle_accept = self._accept_waiting
        self._thread = threading.Thread(
            target=self._run, name="http", daemon=True
        )
        self.address = f"{host}:{self._server.effective_port}"

    def start(self) -> None:
        """Starts to serve."""
        self._thread.start()

    def set_limits(
        self, header_bytes: int, body_bytes: int, idle_s: float
    ) -> None:
        """Changes the limits of callers, for requests that begin later."""
        adj = self._server.adj
        adj.max_request_header_size = header_bytes + 1
        adj.max_request_body_size = body_bytes + 1
        adj.channel_timeout = max(1, int(idle_s))
        adj.cleanup_interval = max(1, int(idle_s / 4))

    def drain(self) -> None:
        """Makes all further responses close their connections."""
        self._draining.set()

    def close_idle(self) -> None:
        """Closes keep-alive connections without a request in progress."""
        for channel in list(self._server.active_channels.values()):
            if not channel.requests and channel.request is None:
                channel.will_close = True
        self._server.pull_trigger()

    def close(self) -> None:
        """Stops serving; open connections are closed.

        Answers in progress are cut. Their threads end once their connections
        are closed, so this does not wait for them: a host that is stopping
        would be killed before it has closed anything.
        """
        self._server.task_dispatcher.shutdown(timeout=0)
        self._server.close()
        self._thread.join(timeout=CLOSE_TIMEOUT_S)

    def _accept_waiting(self) -> None:
        """Accepts all connections that wait.

        The library accepts one before it reads each open connection: a crowd
        would keep those behind it waiting.
        """
        server = self._server
        for _ in range(_BACKLOG):
            if len(server._map) >= server.adj.connection_limit:
                return
            try:
                accepted = server.accept()
                if accepted is None:
                    return
                sock, address = accepted
                server.set_socket_options(sock)
            except OSError:
                # No descriptor is free, or its caller has left.
                return
            server.channel_class(
                server,
                sock,
                server.fix_addr(address),
                server.adj,
                map=server._map,
            )

    def _run(self) -> None:
        channels = self._server._map
        try:
            while channels:
                self._turns.run()
                waitress.wasyncore.loop(
                    0.0 if self._turns else WAIT_S,
                    use_poll=True,
                    map=channels,
                    count=1,
                )
        except OSError:
            # The listening socket was closed by `close` under the poll.
            _LOG.debug("server closed")


def add_diagnostics(
    app: App,
    collect: Callable[[], collectors.Registry],
    dump_state: Callable[[], Any],
    is_ready: Callable[[], bool],
) -> None:
    """Adds the endpoints of every daemon: metrics, state, ready, live.

    Args:
        app: Application to add them to.
        collect: Returns the current metrics.
        dump_state: Returns the state as plain values.
        is_ready: Tells whether this process accepts new callers.
    """

    def get_metrics(req: Request) -> Response:
        # Imported on first use; see `egretspur.daemons.meters`.
        from aioprometheus import renderer

        body, headers = renderer.render(collect(), [])
        return Response(200, dict(headers), body)

    def get_ready(req: Request) -> Response:
        ready = is_ready()
        return reply_json({"ready": ready}, 200 if ready else 503)

    app.add("GET", "/metrics", get_metrics)
    app.add("GET", "/state", lambda req: reply_json(dump_state()))
    app.add("GET", "/ready", get_ready)
    app.add("GET", "/live", lambda req: reply_json({"live": True}))


def get_query_int(req: Request, name: str, default: int) -> int:
    """Returns a number from the query.

    Raises:
        codec.DecodeError: It is not a number.
    """
    text = req.query.get(name)
    if text is None:
        return default
    try:
        return int(text)
    except ValueError as exc:
        raise codec.DecodeError(f"{name}: not a number: {text!r}") from exc


def _make_request(environ: dict[str, Any]) -> Request:
    query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
    return Request(
        environ["REQUEST_METHOD"], environ["PATH_INFO"], query, environ
    )


def _match(pattern: list[str], path_parts: list[str]) -> dict[str, str] | None:
    parts: dict[str, str] = {}
    for i, part in enumerate(pattern):
        if part.startswith("{") and part.endswith("*}"):
            parts[part[1:-2]] = "/".join(path_parts[i:])
            return parts
        if i >= len(path_parts):
            return None
        if part.startswith("{"):
            parts[part[1:-1]] = urllib.parse.unquote(path_parts[i])
        elif part != path_parts[i]:
            return None
    return parts if len(pattern) == len(path_parts) else None


_PHRASES: Final = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    429: "Too Many Requests",
    421: "Misdirected Request",
    431: "Request Header Fields Too Large",
    499: "Client Closed Request",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def _phrase(status: int) -> str:
    return _PHRASES.get(status, "Status")
