r"""Client of model engines: orders, status, and token streams.

Assumed wire format (known only to this module)::

    PUT  /holdings  {"fence": n, "holdings": [...], "priority": n}
         -> 200, or 409 if the engine checks fencing numbers and n is old
    GET  /status    -> fields of `EngineStatus`
    POST /run       to the last stage of the route -> NDJSON events
    POST /cancel    {"request": id, "attempt": n}

The last stage sends the prompt to the first, and stages send activations to
each other directly. Events are ``{"r": request, "a": attempt, "p": position,
"t": text, "l": layers}``; the last is ``{"r", "a", "end": count, "load": n}``
or ``{"r", "a", "error": kind}``. ``l`` is the trail of layers that computed the
token, written by the stages: ``u1:0-12>u2:12-32``.
"""

from __future__ import annotations

import io
import math
import socket
import time
from typing import Any, Final

import attrs
import orjson
import urllib3
from urllib3 import exceptions

from egretspur import codec, ends, errors, signals, transport
from egretspur.clients import fields
from egretspur.intents import records

_MAX_READ_BYTES: Final = 65_536

# Timeout for the rest of a partially received event.
PARTIAL_EVENT_TIMEOUT_S: Final = 0.25

# Bytes of one event, and time from its first byte to its end. Longer than a
# sound engine or a link stands still.
MAX_EVENT_BYTES: Final = 1 << 20
MAX_EVENT_S: Final = 3.0

# Length of the line break that ends a chunk of a chunked response.
CHUNK_END_BYTES: Final = 2

# Kinds of `ErrorEvent` that callers treat differently from other failures.
BUSY: Final = "busy"
LEAVING: Final = "leaving"


@attrs.frozen
class Holding:
    """Layers of one model version that an engine holds or should hold."""

    model: str
    adapter: str
    version: str
    first: int
    last: int


@attrs.frozen
class Order:
    """The complete set of wanted holdings; idempotent."""

    # Offset of the lease under which the order is sent.
    fence: int
    holdings: tuple[Holding, ...]
    # Priority of its loads at the weight store.
    priority: int


@attrs.frozen
class EngineStatus:
    """An engine's report of itself."""

    name: str
    incarnation: str
    # Fully loaded.
    holdings: tuple[Holding, ...]
    # Ordered and still loading.
    loading: tuple[Holding, ...]
    # Fencing number of the order in effect.
    fence: int
    # Requests in progress.
    running: int
    leaving: bool


@attrs.frozen
class Hop:
    """One stage of a route, as sent to engines."""

    upstream: str
    address: str
    first: int
    last: int


@attrs.frozen
class RunCall:
    """One attempt of a request."""

    request: str
    attempt: int
    model: str
    adapter: str
    version: str
    prompt: str
    # Tokens delivered by earlier attempts; the engine recomputes or imports
    # their KV cache and resumes after them.
    done: tuple[str, ...]
    max_tokens: int
    priority: int
    route: tuple[Hop, ...]


@attrs.frozen
class TokenEvent:
    """One token."""

    request: str
    attempt: int
    position: int
    text: str
    layers: str


@attrs.frozen
class EndEvent:
    """The explicit end of an answer."""

    request: str
    attempt: int
    # Tokens of the whole answer, including those of earlier attempts.
    count: int
    # Requests in progress at the last stage, used as a load report.
    load: int


@attrs.frozen
class ErrorEvent:
    """The engine failed or refused the attempt."""

    request: str
    attempt: int
    # `BUSY`, `LEAVING`, ``not_loaded``, ``stage`` or ``malformed``.
    kind: str
    # Upstream at fault; empty if unknown.
    upstream: str


Event = TokenEvent | EndEvent | ErrorEvent


@attrs.frozen
class StreamFailure:
    """The stream was not opened, ended without an end event, or timed out."""

    reason: str
    # False only if no engine can have started the attempt.
    maybe_started: bool
    # True if the connection was refused or reset, so that the last stage is at
    # fault; false if it timed out, which any stage may have caused.
    upstream_failed: bool = False
    # The engine's error event, if it refused the attempt with one.
    refusal: ErrorEvent | None = None
    ended_by: ends.EndedBy = ends.EndedBy.UPSTREAM
    # Nothing arrived in time. The connection is still open, and the attempt
    # may go on.
    is_silent: bool = False


class EngineClient:
    """Calls engines by address."""

    def __init__(
        self,
        connect_s: float,
        first_event_s: float,
        between_events_s: float,
        note_signals: signals.SignalsCallback = lambda upstream, answer: None,
        dial: transport.Dial | None = None,
    ) -> None:
        self._note_signals = note_signals
        self._first_event_s = first_event_s
        self._between_events_s = between_events_s
        self._transport = transport.Transport(connect_s, first_event_s, dial)

    def put_holdings(self, address: str, order: Order) -> None | errors.Refusal:
        """Sends an order; a conflict means that a newer lease exists."""
        res = self._transport.call(
            "PUT", address, "/holdings", codec.dump(order)
        )
        if isinstance(res, transport.Failed):
            return errors.Refusal(errors.ErrorKind.UPSTREAM_FAILED, res.reason)
        if res.status == 409:
            return errors.Refusal(
                errors.ErrorKind.CONFLICT, f"{address} knows a newer lease"
            )
        if res.status != 200:
            return errors.Refusal(
                errors.ErrorKind.UPSTREAM_FAILED, f"status {res.status}"
            )
        return None

    def get_status(self, address: str) -> EngineStatus | errors.Refusal:
        """Returns an engine's status, with its current holdings."""
        res = self._transport.call("GET", address, "/status")
        if isinstance(res, transport.Failed):
            return errors.Refusal(errors.ErrorKind.UPSTREAM_FAILED, res.reason)
        try:
            return codec.load(res.body, EngineStatus)
        except codec.DecodeError as exc:
            return errors.Refusal(errors.ErrorKind.UPSTREAM_FAILED, str(exc))

    def run(self, call: RunCall) -> EventStream | StreamFailure:
        """Starts an attempt at the last stage of its route."""
        address = call.route[-1].address
        res = self._transport.open(
            "POST",
            address,
            "/run",
            codec.dump(call),
            {"Content-Type": "application/json"},
            self._first_event_s,
            self._first_event_s + MAX_EVENT_S,
        )
        if isinstance(res, transport.Failed):
            return StreamFailure(
                res.reason,
                res.maybe_sent,
                upstream_failed=not res.is_timeout,
                ended_by=(
                    ends.EndedBy.HOST
                    if res.is_timeout
                    else ends.EndedBy.UPSTREAM
                ),
            )
        answer = fields.read(res.status, res.headers)
        self._note_signals(call.route[-1].upstream, answer)
        if res.status == 503:
            # With this status the engine confirms that it did not start.
            return self._read_refusal(address, res)
        if res.status != 200:
            self._transport.discard(address, res)
            return StreamFailure(
                f"{address}: status {res.status}", maybe_started=True
            )
        return EventStream(
            res, address, self._transport, self._between_events_s
        )

    def _read_refusal(
        self, address: str, res: urllib3.BaseHTTPResponse
    ) -> StreamFailure:
        try:
            event = parse_event(res.read(_MAX_READ_BYTES))
        except (exceptions.HTTPError, OSError) as exc:
            self._transport.discard(address, res)
            return StreamFailure(f"{address}: {exc}", maybe_started=False)
        res.release_conn()
        refusal = event if isinstance(event, ErrorEvent) else None
        return StreamFailure(
            f"{address} refused", maybe_started=False, refusal=refusal
        )

    def cancel(self, address: str, request: str, attempt: int) -> None:
        """Cancels an attempt at one stage.

        A failure is ignored: the stage drops the attempt at its own time limit.
        """
        body = codec.dump_json({"request": request, "attempt": attempt})
        self._transport.call("POST", address, "/cancel", body, read_s=1.0)

    def close(self) -> None:
        """Closes the connections."""
        self._transport.close()


class EventStream:
    """Events of one attempt, in the order they arrive."""

    def __init__(
        self,
        res: urllib3.BaseHTTPResponse,
        address: str,
        conns: transport.Transport,
        max_silence_s: float,
    ) -> None:
        self._res = res
        self._address = address
        self._transport = conns
        self._partial_line = b""
        # Monotonic time by which the event that has begun must have ended.
        self._event_by_s = math.inf
        self._bounds = transport.get_bounds(res)
        # Longest silence in seconds between two events.
        self.max_silence_s = max_silence_s
        # Set after an end or error event.
        self.ended = False
        # Failure after the events that were last returned.
        self.failure: StreamFailure | None = None
        buffer: Any = res._fp.fp  # type: ignore[attr-defined]
        self._buffer: io.BufferedReader = buffer
        self.sock: socket.socket = buffer.raw._sock

    def read(self) -> list[Event] | StreamFailure:
        """Waits for the next events and returns them.

        A connection that is silent beyond its read timeout counts as failed.
        """
        events: list[Event] = []
        while not events:
            # Silence ends by the socket's time-out, that before a first event
            # later than others.
            silence_s = self.sock.gettimeout() or 0.0
            data = self._read_some(silence_s + MAX_EVENT_S)
            if isinstance(data, StreamFailure):
                return data
            events = self._parse(data)
        return events

    def read_ready(self) -> list[Event] | StreamFailure:
        """Returns the events that have arrived, without waiting for more.

        To be called when the socket is readable. If the peer stops in the
        middle of an event, this blocks the caller, which reads many streams,
        and fails after `PARTIAL_EVENT_TIMEOUT_S`.
        """
        events: list[Event] = []
        while not self.ended:
            data = self._read_some(PARTIAL_EVENT_TIMEOUT_S)
            if isinstance(data, StreamFailure):
                self.failure = data
                return events or data
            events += self._parse(data)
            if not self.has_buffered():
                break
        return events

    def set_event_timeout(self) -> None:
        """Sets the read timeout for the rest of a partial event."""
        self.sock.settimeout(PARTIAL_EVENT_TIMEOUT_S)

    def finish(self) -> None:
        """Releases the connection for reuse after the end event."""
        try:
            self.sock.settimeout(PARTIAL_EVENT_TIMEOUT_S)
            self._bounds.deadline_s = time.monotonic() + PARTIAL_EVENT_TIMEOUT_S
            if self._partial_line or self._res.read(1):
                # On a reused connection, stray bytes after the end would be
                # read as the start of the next response.
                self.discard()
                return
        except (exceptions.HTTPError, OSError):
            self.discard()
            return
        self._res.release_conn()

    def discard(self) -> None:
        """Closes the connection, to prevent its reuse."""
        self._transport.discard(self._address, self._res)

    def _read_some(self, wait_s: float) -> bytes | StreamFailure:
        """Reads some bytes.

        Args:
            wait_s: Longest time until some have come, in seconds.
        """
        # Bytes of the framing may come without end as well.
        self._bounds.deadline_s = min(
            time.monotonic() + wait_s, self._event_by_s
        )
        try:
            data = self._res.read1(_MAX_READ_BYTES)
        except (exceptions.ReadTimeoutError, TimeoutError) as exc:
            return StreamFailure(
                f"{self._address}: {exc}",
                maybe_started=True,
                ended_by=ends.classify_error(exc),
            )
        except (exceptions.HTTPError, OSError, ValueError) as exc:
            ender = ends.classify_error(exc)
            return StreamFailure(
                f"{self._address}: {exc}",
                maybe_started=True,
                upstream_failed=ender is not ends.EndedBy.HELPER,
                ended_by=ender,
            )
        if not data:
            return StreamFailure(
                f"{self._address}: closed without end event",
                maybe_started=True,
            )
        if len(self._partial_line) + len(data) > MAX_EVENT_BYTES:
            return StreamFailure(
                f"{self._address}: an event of more than"
                f" {MAX_EVENT_BYTES} bytes",
                maybe_started=True,
            )
        return data

    def has_buffered(self) -> bool:
        """Returns whether received bytes are still unread.

        Bytes in the buffer don't make the socket readable again; without this
        check they would stay unread until the next event arrives. The line
        break that ends a chunk does not count: it is read together with the
        next chunk, so that reading it alone would block until that arrives.
        """
        self.sock.settimeout(0)
        try:
            return len(self._buffer.peek(1)) > CHUNK_END_BYTES
        except OSError:
            return True
        finally:
            self.sock.settimeout(PARTIAL_EVENT_TIMEOUT_S)

    def _parse(self, data: bytes) -> list[Event]:
        lines = (self._partial_line + data).split(b"\n")
        self._partial_line = lines.pop()
        events = [parse_event(line) for line in lines if line]
        if events and not self._partial_line:
            self._event_by_s = math.inf
        elif events or math.isinf(self._event_by_s):
            self._event_by_s = time.monotonic() + MAX_EVENT_S
        if events and not isinstance(events[-1], TokenEvent):
            self.ended = True
        return events


def parse_event(line: bytes) -> Event:
    """Parses one line; anything malformed becomes an error event."""
    try:
        data = orjson.loads(line)
        if "t" in data:
            return TokenEvent(
                data["r"], data["a"], data["p"], data["t"], data["l"]
            )
        if "end" in data:
            return EndEvent(data["r"], data["a"], data["end"], data["load"])
        return ErrorEvent(
            data["r"], data["a"], data["error"], data.get("upstream", "")
        )
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return ErrorEvent("", -1, "malformed", "")


def format_trail(stages: tuple[records.Stage, ...] | tuple[Hop, ...]) -> str:
    """Returns the trail of layers that a valid token carries.

    Example: ``u1:0-12>u2:12-32``.
    """
    return ">".join(f"{s.upstream}:{s.first}-{s.last}" for s in stages)
