"""Stand-in for a replica of the platform: a model engine or a plain service.

An engine streams events at a fixed interval if the path of a request covers
all layers and the engine holds its own part.

Faults: ``events`` (number per stream), ``pause_s`` (interval between them),
``cut_after`` (number of events after which a stream is cut off),
``break_after`` and ``break_share`` (number of events after which streams are
broken off, and the share of the streams that are, at random),
``stall_s`` (after it has broken one off, it accepts connections and answers
nothing on any of them for this time, as a process that stands still),
``resumed_status`` (status of a resumed stream), ``status`` (of a plain
answer), ``refuse`` (answers that the request was not executed), ``lose`` (a
plain answer is lost after its request ran), ``delay_s`` (delay of an answer),
``limit``, ``rest_s`` and ``leaving`` (limit, backoff and drain that it requests
in its answers; it refuses requests during a backoff), ``crash_on`` (the process
exits when it starts a request whose body or prompt segments contain this text),
``crash_after_head`` (it sends the head of the answer first, and as many events
as ``crash_events`` tells; with ``crash_closes`` its connection ends without a
reset), ``halt_s`` (all streams pause for this long, counted from when the fault
is set), ``unframed`` (answers have no length and no chunks
and end with their connection; plain ones come in as many parts as there are
``events``), ``reset_share`` (share of the
requests that were read and whose connection is then reset, at random),
``read_delay_s`` (a request that was sent is read so much later),
``late_share`` and ``late_s`` (share of the requests that are read later by a
random time up to this one; probes are answered), ``turn_s`` (requests and
probes are read one after the other, each so much after the one before),
``reads_from_s`` (monotonic time before which it reads no request; probes are
answered), ``refuse_share`` and ``misdirect_share`` (shares of the requests that
were read and that it refuses, or takes for another replica's, at random),
``work_s`` (it works on a plain request for a random time up to this one, and
answers 504 at the end of the time that it is handed), ``endless`` (name of the
bytes in `ENDLESS` that it answers without end, as fast as the connection takes
them, or at intervals of ``endless_pause_s``), ``answer_bytes`` (least length of
a plain answer), ``first_line`` (first line of the answer to each request that
it has run, in place of its own).
"""

from __future__ import annotations

import json
import os
import random
import socket
import sys
import threading
import time
from collections.abc import Callable, Mapping
from typing import Any, Final

from egretspur import web
from tests.fakes import base

# Least time between two stalls of a replica.
STALL_GAP_S: Final = 1.0

# Answers without end: what comes first, and what is repeated.
_CHUNKED: Final = b"HEADTransfer-Encoding: chunked\r\n\r\n"
ENDLESS: Final[Mapping[str, tuple[bytes, bytes]]] = {
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "header bytes": (b"HEADX-Long: ", b"a"),
    "header fields": (b"HEAD", b"X-More: 1\r\n" * 1000),
    "a chunked body": (_CHUNKED, b"8000\r\n" + b"b" * 0x8000 + b"\r\n"),
    "a body": (b"HEAD\r\n", b"b" * 0x8000),
    "trailers": (_CHUNKED + b"2\r\nok\r\n0\r\n", b"X-T: 1\r\n" * 1000),
    "bytes of trailers": (_CHUNKED + b"2\r\nok\r\n0\r\nX-T: ", b"a"),
}

# Least time that it works on a plain request if that varies.
MIN_WORK_S: Final = 0.02

# Requests at once; while it reads nothing, each that arrives takes one.
THREADS: Final = 256

# Time for the head of an answer to be sent before the process exits.
HEAD_DELAY_S: Final = 0.05


class Replica:
    """State of one replica."""

    def __init__(self, name: str, layers: int) -> None:
        self.name = name
        self.layers = layers
        self.faults: dict[str, Any] = {
            "events": 5,
            "pause_s": 0.02,
            "cut_after": -1,
            "break_after": -1,
            "break_share": 1.0,
            "stall_s": 0.0,
            "resumed_status": 200,
            "status": 200,
            "refuse": False,
            "lose": False,
            "delay_s": 0.0,
            "limit": "",
            "rest_s": "",
            "leaving": False,
            "crash_on": "",
            "crash_after_head": False,
            "crash_events": 0,
            "crash_closes": False,
            "halt_s": 0.0,
            "unframed": False,
            "reset_share": 0.0,
            "read_delay_s": 0.0,
            "late_share": 0.0,
            "late_s": 0.0,
            "turn_s": 0.0,
            "reads_from_s": 0.0,
            "refuse_share": 0.0,
            "misdirect_share": 0.0,
            "work_s": 0.0,
            "endless": "",
            "endless_pause_s": 0.0,
            "answer_bytes": 0,
            "first_line": "",
        }
        self.held: dict[str, int] | None = None
        self.orders = 0
        # Started requests: the header fields that a host sent.
        self.runs: list[dict[str, str]] = []
        # All requests that arrived: id, when, in monotonic seconds, and how
        # many milliseconds their callers still wait.
        self.arrivals: list[tuple[str, float, int]] = []
        # Requests that it ended at the end of the time that it was handed: id
        # and when it read them, in monotonic seconds.
        self.timed_out: list[tuple[str, float]] = []
        # Number of streams that the caller closed before their end.
        self.left = 0
        # Monotonic time until which it answers nothing.
        self.stalled_until_s = -STALL_GAP_S
        self.lock = threading.Lock()
        # Held by the request or probe that is read next.
        self.turn = threading.Lock()

    def wait_stalled(self) -> None:
        """Returns once the replica answers again."""
        while (left_s := self.stalled_until_s - time.monotonic()) > 0.0:
            time.sleep(left_s)

    def wait_turn(self) -> None:
        """Returns once the next request or probe is read."""
        if self.faults["turn_s"]:
            with self.turn:
                time.sleep(self.faults["turn_s"])

    def wait_read(self) -> None:
        """Returns once a request is read."""
        faults = self.faults
        time.sleep(faults["read_delay_s"])
        if random.random() < faults["late_share"]:
            time.sleep(random.uniform(0.0, faults["late_s"]))
        while (held_s := faults["reads_from_s"] - time.monotonic()) > 0.0:
            time.sleep(held_s)
        self.wait_turn()

    def work(self, fields: Mapping[str, str], read_s: float) -> bool:
        """Works on a plain request; returns whether its time is enough."""
        work_s = random.uniform(MIN_WORK_S, self.faults["work_s"])
        handed_s = int(fields["Deadline-Ms"]) / 1000.0
        time.sleep(min(work_s, handed_s))
        if work_s <= handed_s:
            return True
        self.timed_out.append((fields.get("Attempt-Id", ""), read_s))
        return False

    def break_off(self, write: Callable[[bytes], Any]) -> None:
        """Ends a stream within an event; the replica stalls if it is to."""
        write(b"id: 9")
        stall_s = self.faults["stall_s"]
        now_s = time.monotonic()
        if stall_s and now_s - self.stalled_until_s > STALL_GAP_S:
            self.stalled_until_s = now_s + stall_s
        raise ConnectionAbortedError("cut on request")

    def report(self) -> dict[str, Any]:
        """Returns the report."""
        return {
            "busy": False,
            "seq_no": self.orders,
            "layer_count": self.held,
            "pace": 1.0,
            "kv_in_use": 0,
            "kv_size": 1,
            "stalled_servers": [],
        }

    def order(self, data: dict[str, Any]) -> int:
        """Applies an order; returns the HTTP status."""
        if data["operation"] != "place":
            return 404
        if data.get("expected", self.orders) != self.orders:
            return 409
        self.orders += 1
        self.held = {"source": data["source"], "to": data["to"], "version": 1}
        return 202

    def covers(self, path: str) -> bool:
        """Returns whether a path covers each layer once and starts here."""
        at = 0
        for i, part in enumerate(path.split(",")):
            first, last = part.partition("=")[2].split("-")
            held = self.held
            if i == 0 and (
                held is None
                or int(first) < held["source"]
                or int(last) > held["to"]
            ):
                return False
            if int(first) != at:
                return False
            at = int(last)
        return at == self.layers


class Events:
    """Body of a stream; see `web.PushedBody`."""

    def __init__(self, replica: Replica, after: int) -> None:
        self._replica = replica
        self._after = after

    def push(self, write: Callable[[bytes], Any]) -> None:
        """Writes the events after the last one received by the caller."""
        faults = self._replica.faults
        if faults["unframed"]:
            end_with_connection(write)
        sent = 0
        has_halted = False
        is_broken = random.random() < faults["break_share"]
        try:
            for number in range(self._after + 1, faults["events"] + 1):
                self._replica.wait_stalled()
                if is_broken and sent == faults["break_after"]:
                    self._replica.break_off(write)
                if sent == faults["cut_after"]:
                    faults["cut_after"] = -1
                    self._replica.break_off(write)
                write(make_event(number))
                sent += 1
                if faults["halt_s"] and not has_halted:
                    has_halted = True
                    time.sleep(faults["halt_s"])
                time.sleep(faults["pause_s"])
        except web.CallerDisconnected:
            self._replica.left += 1
            raise


class Parts:
    """Body of a plain answer that ends with its connection."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    def push(self, write: Callable[[bytes], Any]) -> None:
        """Writes all parts."""
        faults = self._replica.faults
        end_with_connection(write)
        for number in range(1, faults["events"] + 1):
            write(f"part {number}\n".encode())
            time.sleep(faults["pause_s"])


class EndlessBody:
    """Answers bytes without end, until the host closes the connection."""

    def __init__(self, replica: Replica, request_id: str) -> None:
        self._replica = replica
        self._id = request_id

    def push(self, write: Callable[[bytes], Any]) -> None:
        """Writes to the connection itself, past the server."""
        sock = write.__self__.channel.socket  # type: ignore[attr-defined]
        first, unit = ENDLESS[self._replica.faults["endless"]]
        pause_s = self._replica.faults["endless_pause_s"]
        head = (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {self._id}\r\n"
            f"Replica-Signature: sig-{self._replica.name}\r\n"
        )
        data = first.replace(b"HEAD", head.encode())
        try:
            while True:
                data = data[_send_some(sock, data) :] or unit
                time.sleep(pause_s)
        except OSError as exc:
            raise ConnectionAbortedError("the host has closed") from exc


class OddAnswer:
    """An answer with a first line of any kind; closes the connection."""

    def __init__(self, line: str, head: Mapping[str, str]) -> None:
        fields = [f"{name}: {value}" for name, value in head.items()]
        lines = (line, *fields, "Content-Length: 2", "", "ok")
        self._data = "\r\n".join(lines).encode()

    def push(self, write: Callable[[bytes], Any]) -> None:
        """Writes to the connection itself, past the server."""
        sock = write.__self__.channel.socket  # type: ignore[attr-defined]
        _send_some(sock, self._data)
        raise ConnectionAbortedError("the answer is complete")


def _send_some(sock: socket.socket, data: bytes) -> int:
    """Sends what a connection takes now; returns how much that was."""
    try:
        return sock.send(data)
    except BlockingIOError:
        time.sleep(0.002)
        return 0


def end_with_connection(write: Callable[[bytes], Any]) -> None:
    """Makes an answer that begins end with its connection."""
    # The server uses no chunks in an answer of this version.
    write.__self__.version = "1.0"  # type: ignore[attr-defined]


class CrashingBody:
    """Body of an answer under which the process exits."""

    def __init__(self, replica: Replica, after: int) -> None:
        self._replica = replica
        self._after = after

    def push(self, write: Callable[[bytes], Any]) -> None:
        """Has the head and some events sent, and exits."""
        try:
            self._push(write)
        finally:
            # Also if the host has left meanwhile.
            os._exit(1)

    def _push(self, write: Callable[[bytes], Any]) -> None:
        faults = self._replica.faults
        if faults["unframed"]:
            end_with_connection(write)
        write(b"")
        for number in range(1, faults["crash_events"] + 1):
            write(make_event(self._after + number))
            time.sleep(faults["pause_s"])
        time.sleep(HEAD_DELAY_S)
        if faults["crash_closes"]:
            sock = write.__self__.channel.socket  # type: ignore[attr-defined]
            sock.shutdown(socket.SHUT_WR)


def make_event(number: int) -> bytes:
    """Returns an event of a stream."""
    return f"id: {number}\ndata: text {number}\n\n".encode()


def make_app(replica: Replica) -> web.App:
    """Returns the replica's HTTP endpoints."""
    app = web.App()

    def report(req: web.Request) -> web.Response:
        replica.wait_stalled()
        return base.reply(replica.report())

    def order(req: web.Request) -> web.Response:
        replica.wait_stalled()
        return base.reply({}, replica.order(base.read_json(req)))

    def check_health(req: web.Request) -> web.Response:
        replica.wait_turn()
        return base.reply({})

    def run(req: web.Request) -> web.Response:
        fields = req.get_headers()
        replica.wait_read()
        read_s = time.monotonic()
        replica.arrivals.append(
            (
                fields.get("Attempt-Id", ""),
                read_s,
                int(fields.get("Deadline-Ms") or -1),
            )
        )
        body = req.read_body()
        replica.wait_stalled()
        if random.random() < replica.faults["reset_share"]:
            raise ConnectionAbortedError("reset on request")
        head = {
            "Attempt-Id": fields.get("Attempt-Id", ""),
            "Replica-Signature": f"sig-{replica.name}",
        }
        demand = read_demand(replica)
        if demand:
            # `tests.asking` reads this to check that hosts complied.
            head.update(demand)
            print_demand(fields.get("Attempt-Id", ""), demand)
        if replica.faults["rest_s"]:
            return web.Response(503, {"Not-Executed": "1", **demand}, b"")
        if (
            replica.faults["refuse"]
            or random.random() < replica.faults["refuse_share"]
        ):
            return web.Response(503, {"Not-Executed": "1"}, b"")
        if (
            fields.get("Target-Replica") != replica.name
            or random.random() < replica.faults["misdirect_share"]
        ):
            return web.Response(421, {"Replica-Id": replica.name}, b"")
        if replica.faults["endless"]:
            endless = EndlessBody(replica, fields.get("Attempt-Id", ""))
            return web.Response(200, head, endless)
        path = fields.get("Hop-Count", "")
        if replica.layers and not replica.covers(path):
            return web.Response(421, {"Replica-Id": replica.name}, b"")
        with replica.lock:
            replica.runs.append({**fields, "target": req.get_target()})
            # Runs can be counted even after this process was killed.
            print(
                f"ran {fields.get('Attempt-Id')}", file=sys.stderr, flush=True
            )
        if replica.faults["first_line"]:
            odd = OddAnswer(replica.faults["first_line"], head)
            return web.Response(200, head, odd)
        crash_on = str(replica.faults["crash_on"])
        is_fatal = crash_on and (
            crash_on.encode() in body
            or crash_on in fields.get("Prefix-Hash", "")
        )
        if is_fatal and replica.faults["crash_after_head"]:
            head["Content-Type"] = "text/event-stream"
            crashing = CrashingBody(replica, read_after(fields))
            return web.Response(200, head, crashing)
        if is_fatal:
            os._exit(1)
        time.sleep(replica.faults["delay_s"])
        if not replica.layers:
            status = replica.faults["status"]
            if replica.faults["work_s"] and not replica.work(fields, read_s):
                return web.Response(504, head, b"")
            if replica.faults["lose"]:
                raise ConnectionAbortedError("answer lost on request")
            if replica.faults["unframed"]:
                return web.Response(status, head, Parts(replica))
            answer = replica.name.encode()
            padded = answer.ljust(replica.faults["answer_bytes"])
            return web.Response(status, head, padded)
        after = read_after(fields)
        if after and replica.faults["resumed_status"] != 200:
            return web.Response(replica.faults["resumed_status"], head, b"")
        head["Content-Type"] = "text/event-stream"
        return web.Response(200, head, Events(replica, after))

    app.add("GET", "/egretspur/report", report)
    app.add("POST", "/egretspur/order", order)
    app.add("GET", "/healthz", check_health)
    app.add("GET", "/runs", lambda r: base.reply(replica.runs))
    app.add("GET", "/arrivals", lambda r: base.reply(replica.arrivals))
    app.add("GET", "/timed-out", lambda r: base.reply(replica.timed_out))
    app.add("GET", "/left", lambda r: base.reply(replica.left))
    base.add_faults(app, replica.faults)
    app.add("*", "/{rest*}", run)
    return app


def read_after(fields: Mapping[str, str]) -> int:
    """Returns the id of the last event that the caller has; 0 for none."""
    return int(fields.get("Last-Event-Id") or 0)


def read_demand(replica: Replica) -> dict[str, str]:
    """Returns the header fields that request a limit, backoff or drain."""
    faults = replica.faults
    fields = {
        "Server-Limit": faults["limit"],
        "Retry-After": faults["rest_s"],
        "Server-Leaving": "1" if faults["leaving"] else "",
    }
    return {name: str(value) for name, value in fields.items() if value}


def print_demand(request_id: str, demand: Mapping[str, str]) -> None:
    """Prints the id and time of a request that arrived during a demand."""
    fields = {"id": request_id, "at_s": time.monotonic(), "wish": demand}
    # A single write, because other threads print lines as well.
    sys.stderr.write(f"asked {json.dumps(fields)}\n")
    sys.stderr.flush()


def main() -> int:
    """Entry point."""
    parser = base.make_parser(__doc__ or "")
    parser.add_argument("--name", required=True, help="id of this start")
    parser.add_argument(
        "--layers", type=int, default=0, help="of the model; 0 for a service"
    )
    args = parser.parse_args()
    replica = Replica(args.name, args.layers)
    return base.run(make_app(replica), args.listen, THREADS)


if __name__ == "__main__":
    sys.exit(main())
