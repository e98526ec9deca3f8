"""A small deployment for the cases: store, hosts, replicas and callers.

The store is the project's stand-in (`tests.fakes.store`) and hosts run by the
command of the deploy file. Replicas, the network between a host and a replica
and the callers live in the process of the case. Only loopback addresses are
used.
"""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.request
from collections.abc import Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONE = "kl-hall"
HOST_NAME = "notes.example"
KEY = "key-of-tailors"
HEARTBEAT_S = 1.2
CLOSE_WITH_RESET = struct.pack("ii", 1, 0)

# Bounds of the small deployments on the pages.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "strict_revoke": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_allowance": 200,
    "recovery_s": 12,
    "event_delay_ms": 120,
    "retry_after_s": 0,
    "stall_ms": 2000,
    "fencing": False,
}

LAYERS = 8
ENGINE = {
    "slots": 96,
    "kv_capacity": 50000,
    "kv_token_bytes": 80000,
    "link_mbps": 400000.0,
    "stride": 3,
    "models": [
        {"name": "m0", "pace": 1.0, "load_s": 0.1, "warmup_s": 0.0},
    ],
    "step_ms": 1.02,
    "per_seq_ms": 0.01428,
    "context_per_k": 0.01912,
    "read_per_s": 105000.0,
    "pairs_per_m": 0.309,
    "chunk": 512,
    "report_lag_ms": 200.0,
    "loads_at_once": 5,
    "usual": {"prompt": 774, "answer": 203},
    "layer_count": LAYERS,
    "layer_mb": 1750.0,
    "activation_bytes": 91800,
    "pipe_mbps": 18000.0,
    "kinds": [
        {"name": "a100", "size_mb": 72000.0, "pace": 2.4, "read_factor": 3.2}
    ],
}


class CannotRunError(Exception):
    """The case could not be run."""


class Record:
    """Writes ``record.txt``: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._lock = threading.Lock()
        self._began_s = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Writes one line with its time."""
        with self._lock:
            at_s = time.monotonic() - self._began_s
            self._file.write(f"{at_s:8.3f} {text}\n")
            self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class Request:
    """A request as a replica received it."""

    def __init__(self, line: str, fields: dict[str, str], body: bytes) -> None:
        self.method, self.target, _ = line.split(" ", 2)
        self.fields = fields
        self.body = body

    @property
    def id(self) -> str:
        """The caller's id of the request."""
        return self.fields.get("attempt-id", "")


Handler = Callable[[socket.socket, Request], None]


class Replica:
    """A replica: a plain service, or an engine that holds all layers."""

    def __init__(
        self,
        name: str,
        service: str,
        record: Record,
        serve: Handler,
        is_engine: bool = False,
        backlog: int = 256,
    ) -> None:
        self.name = name
        self.service = service
        self.is_engine = is_engine
        self.is_draining = False
        self.runs: list[str] = []
        self._record = record
        self._serve = serve
        # Set while the replica accepts new channels.
        self.accepting = threading.Event()
        self.accepting.set()
        self._lock = threading.Lock()
        self._is_ended = False
        # Open channels.
        self._socks: set[socket.socket] = set()
        self._orders = 0
        self._held: dict[str, int] | None = None
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=backlog)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def exit(self) -> None:
        """Ends the replica: its channels are reset, and no new ones open."""
        self._is_ended = True
        # Wakes the thread that accepts.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            socks = list(self._socks)
        for sock in socks:
            with contextlib.suppress(OSError):
                reset(sock)

    def make_entry(self) -> dict[str, Any]:
        """Returns its entry in the store."""
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": ZONE,
            "version": "v1",
            "slots": 96,
            "state": "draining" if self.is_draining else "ready",
            "cold_left_ms": 0,
            "seq_no": self._orders,
        }
        if self.is_engine:
            entry |= {"route_kind": "a100", "layer_count": self._held}
        return entry

    def _accept(self) -> None:
        while not self._is_ended:
            self.accepting.wait()
            try:
                sock, _ = self._listener.accept()
            except OSError:
                # The replica has ended.
                return
            threading.Thread(
                target=self._handle, args=(sock,), daemon=True
            ).start()

    def _handle(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError), sock:
            with self._lock:
                self._socks.add(sock)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                req = read_request(sock)
                if req is not None:
                    self._answer(sock, req)
            finally:
                with self._lock:
                    self._socks.discard(sock)

    def _answer(self, sock: socket.socket, req: Request) -> None:
        if req.target == "/egretspur/report":
            send_json(sock, 200, self._report())
        elif req.target == "/egretspur/order":
            send_json(sock, self._order(json.loads(req.body)), {})
        elif req.target == "/healthz":
            send_json(sock, 200, {})
        elif not self._is_for_me(req):
            send_json(sock, 421, {}, {"Replica-Id": self.name})
        else:
            with self._lock:
                self.runs.append(req.id)
            self._record.write(f"run {self.name} {req.id}")
            self._serve(sock, req)

    def _is_for_me(self, req: Request) -> bool:
        """Returns whether a request names this replica, and layers it holds."""
        if req.fields.get("target-replica") != self.name:
            return False
        path = f"{self.address}=0-{LAYERS}"
        return not self.is_engine or (
            self._held is not None and req.fields.get("hop-count") == path
        )

    def _report(self) -> dict[str, Any]:
        return {
            "phase": "unified",
            "models": [{"name": "m0", "version": 1, "adapters": []}],
            "busy": False,
            "seq_no": self._orders,
            "queued": 0,
            "in_flight": 0,
            "kv_in_use": 0,
            "kv_size": 400000,
            "sessions": 0,
            "pace": 1.0,
            "layer_count": self._held,
            "stalled_servers": [],
        }

    def _order(self, data: dict[str, Any]) -> int:
        if data["operation"] != "place":
            return 404
        if data.get("expected", self._orders) != self._orders:
            return 409
        self._orders += 1
        self._held = {"source": data["source"], "to": data["to"], "version": 1}
        return 202


def reset(sock: socket.socket) -> None:
    """Closes a connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, CLOSE_WITH_RESET)
    sock.close()


def read_request(sock: socket.socket) -> Request | None:
    """Reads one request; None if the connection ends before it is complete."""
    sock.settimeout(30.0)
    data = b""
    while b"\r\n\r\n" not in data:
        more = sock.recv(65536)
        if not more:
            return None
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length") or 0)
    while len(body) < length:
        more = sock.recv(65536)
        if not more:
            return None
        body += more
    return Request(lines[0], fields, body)


def make_head(
    status: str, fields: dict[str, str], req: Request, replica: str
) -> bytes:
    """Returns the head of a replica's answer to a request."""
    both = {
        "Attempt-Id": req.id,
        "Replica-Signature": f"{replica}.{req.id}",
        **fields,
    }
    lines = [f"HTTP/1.1 {status}"] + [f"{k}: {v}" for k, v in both.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def send_json(
    sock: socket.socket,
    status: int,
    value: Any,
    fields: dict[str, str] | None = None,
) -> None:
    """Sends an answer that is not one to a caller's request."""
    body = json.dumps(value).encode()
    both = {
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        "Connection": "close",
        **(fields or {}),
    }
    head = "".join(f"{k}: {v}\r\n" for k, v in both.items())
    sock.sendall(f"HTTP/1.1 {status} Status\r\n{head}\r\n".encode() + body)


class Answer:
    """What a caller received."""

    def __init__(self) -> None:
        self.status = 0
        self.fields: dict[str, str] = {}
        self.body = b""
        # Whether the answer ended as HTTP says that a complete one ends.
        self.is_complete = False
        self.problem = ""

    @property
    def is_success(self) -> bool:
        """Whether the caller has a complete answer with a status 2xx."""
        return 200 <= self.status < 300 and self.is_complete

    def describe(self) -> str:
        """Returns a line for the record."""
        end = "complete" if self.is_complete else f"incomplete: {self.problem}"
        return f"status {self.status}, {len(self.body)} bytes, {end}"


class Caller:
    """A client that reads answers strictly, byte by byte of the protocol."""

    def __init__(self, address: str) -> None:
        self._address = address

    def ask(
        self,
        method: str,
        path: str,
        request_id: str,
        body: bytes = b"",
        fields: dict[str, str] | None = None,
        pause_s: float = 0.0,
        read_bytes: int = 65536,
        receive_buffer: int = 0,
        deadline_ms: int = 20000,
        on_sent: Callable[[], None] = lambda: None,
    ) -> Answer:
        """Sends one request on a new channel and reads its answer.

        Args:
            method: HTTP method.
            path: Path.
            request_id: Id of the request.
            body: Its body.
            fields: More header fields.
            pause_s: Pause between two reads.
            read_bytes: Bytes of one read.
            receive_buffer: Size of the receive buffer; 0 for the default.
            deadline_ms: How long the caller waits.
            on_sent: Called once the request was sent.
        """
        host, _, port = self._address.rpartition(":")
        answer = Answer()
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        with sock:
            sock.settimeout(deadline_ms / 1000 + 5.0)
            try:
                sock.connect((host, int(port)))
                both = {
                    "Host": HOST_NAME,
                    "Attempt-Id": request_id,
                    "Deadline-Ms": str(deadline_ms),
                    "Authorization": f"Bearer {KEY}",
                    "Content-Length": str(len(body)),
                    **(fields or {}),
                }
                head = "".join(f"{k}: {v}\r\n" for k, v in both.items())
                sock.sendall(
                    f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body
                )
                on_sent()
                reader = _Reader(sock, pause_s, read_bytes)
                reader.read_answer(answer)
            except (OSError, EOFError, ValueError) as exc:
                answer.problem = repr(exc)
        return answer


class _Reader:
    def __init__(
        self, sock: socket.socket, pause_s: float, read_bytes: int
    ) -> None:
        self._sock = sock
        self._pause_s = pause_s
        self._read_bytes = read_bytes
        self._data = b""

    def _fill(self) -> None:
        if self._pause_s:
            time.sleep(self._pause_s)
        more = self._sock.recv(self._read_bytes)
        if not more:
            raise EOFError("the channel was closed")
        self._data += more

    def _read_line(self) -> bytes:
        while b"\r\n" not in self._data:
            self._fill()
        line, _, self._data = self._data.partition(b"\r\n")
        return line

    def read_answer(self, answer: Answer) -> None:
        line = self._read_line()
        answer.status = int(line.split()[1])
        while line := self._read_line():
            name, _, value = line.decode("latin-1").partition(":")
            answer.fields[name.strip().lower()] = value.strip()
        if answer.fields.get("transfer-encoding", "").lower() == "chunked":
            self._read_chunks(answer)
        else:
            self._read_length(answer)
        answer.is_complete = True

    def _read_length(self, answer: Answer) -> None:
        left = int(answer.fields["content-length"])
        while left:
            if not self._data:
                self._fill()
            part, self._data = self._data[:left], self._data[left:]
            answer.body += part
            left -= len(part)

    def _read_chunks(self, answer: Answer) -> None:
        while True:
            size = int(self._read_line().split(b";")[0], 16)
            while len(self._data) < size + 2:
                self._fill()
            answer.body += self._data[:size]
            self._data = self._data[size + 2 :]
            if not size:
                return


class Site:
    """Store, hosts and replicas of a case."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = ""
        self.processes: list[subprocess.Popen[str]] = []
        self.replicas: list[Replica] = []
        self.zones = [ZONE]
        # Held while an entry is written.
        self.write_lock = threading.RLock()
        self._closed = threading.Event()
        self._ports: dict[str, int] = {}

    def close(self) -> None:
        """Ends all processes."""
        self._closed.set()
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for file in self.folder.glob("*"):
            file.unlink()
        self.folder.rmdir()

    def _start(
        self, args: list[str], name: str, more: dict[str, str]
    ) -> subprocess.Popen[str]:
        env = {
            k: os.environ[k]
            for k in ("PATH", "HOME", "LANG")
            if k in os.environ
        }
        env["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}:{ROOT}"
        env["PYTHONUNBUFFERED"] = "1"
        log = (self.folder / f"{name}.log").open("w", encoding="utf-8")
        with log:
            process = subprocess.Popen(
                args,
                cwd=ROOT,
                env={**env, **more},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                text=True,
            )
        self.processes.append(process)
        return process

    def start_store(self) -> None:
        """Starts the store."""
        self._start([sys.executable, "-m", "tests.fakes.store"], "store", {})
        log = self.folder / "store.log"

        def find() -> bool:
            found = re.search(r'"address": "([^"]+)"', log.read_text())
            self.store = found.group(1) if found else ""
            return bool(found)

        wait_until(find, 20.0, "the store starts")

    def write(self, topic: str, key: str, value: Any) -> None:
        """Writes to the store as operator and replicas do."""
        self.set_store("/write", {"topic": topic, "key": key, "value": value})

    def set_store(self, path: str, value: dict[str, Any]) -> None:
        """Sets a fault of the store, or restores it from a copy."""
        urllib.request.urlopen(
            urllib.request.Request(
                f"http://{self.store}{path}", json.dumps(value).encode()
            ),
            timeout=10.0,
        ).close()

    def start_beats(self) -> None:
        """Writes the entries of all replicas until the site is closed."""
        self._write_entries()
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self) -> None:
        while not self._closed.wait(HEARTBEAT_S / 2):
            with contextlib.suppress(OSError):
                self._write_entries()

    def _write_entries(self) -> None:
        for replica in list(self.replicas):
            with self.write_lock:
                if replica in self.replicas:
                    self.write_entry(replica)

    def write_entry(self, replica: Replica) -> None:
        """Writes the entry of a replica."""
        self.write("keyed.servers", replica.name, replica.make_entry())

    def reserve_ports(self, ips: list[str]) -> None:
        """Chooses ports that are free at all addresses of hosts."""
        for name in ("frontend", "ready", "control_plane", "exchange"):
            self._ports[name] = find_port(ips)

    def start_host(
        self, ip: str, ips: list[str], zone: str = ZONE
    ) -> tuple[subprocess.Popen[str], Caller]:
        """Starts a host by the command of the deploy file.

        Args:
            ip: Its address.
            ips: Addresses of the hosts to contact first.
            zone: Its zone.

        Returns:
            Its process, and a caller of it.
        """
        listen = {
            n: f"{ip}:{self._ports[n]}"
            for n in ("frontend", "ready", "control_plane")
        }
        path = self.folder / f"{ip}.json"
        settings = {
            "node_name": f"edge-{ip}",
            "role": "host",
            "machine_class": "edge",
            "serves": ["edge", "control_plane"],
            "ip": ip,
            "zone": zone,
            "region": "my-west",
            "zones": dict.fromkeys(self.zones, "my-west"),
            "listen": listen,
            "port_range": [self._ports["exchange"], self._ports["exchange"]],
            "seeds": [f"{i}:{self._ports['control_plane']}" for i in ips],
            "bootstrap": True,
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "bounds": BOUNDS,
            "platform": {
                "address": self.store,
                "form": "log",
                "min_ttl_ms": 1000,
            },
        }
        path.write_text(json.dumps(settings), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        args = deploy["roles"]["host"]["run"].split()
        process = self._start(args, ip, {"EGRETSPUR_NODE_FILE": str(path)})
        ready = f"http://{listen['ready']}/egretspur/readyz"
        wait_until(lambda: get_status(ready) == 200, 30.0, f"{ip} is ready")
        return process, Caller(listen["frontend"])

    def read_log(self, ip: str) -> str:
        """Returns what a host logged."""
        return (self.folder / f"{ip}.log").read_text()


def get_status(url: str) -> int:
    """Returns the status of a GET; 0 without an answer."""
    try:
        with urllib.request.urlopen(url, timeout=1.0) as res:
            return int(res.status)
    except OSError:
        return 0


def find_port(ips: list[str]) -> int:
    """Returns a port that is free for TCP and UDP at all addresses."""
    while True:
        socks: list[socket.socket] = []
        try:
            port = 0
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = socket.socket(type=kind)
                    socks.append(sock)
                    sock.bind((ip, port))
                    port = sock.getsockname()[1]
            return port
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()


def wait_until(check: Callable[[], bool], wait_s: float, what: str) -> None:
    """Waits until a check holds.

    Raises:
        CannotRunError: It did not hold in time.
    """
    end_s = time.monotonic() + wait_s
    while not check():
        if time.monotonic() > end_s:
            raise CannotRunError(f"not within {wait_s} s: {what}")
        time.sleep(0.05)


def make_config(routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns a configuration with a model's service and a plain one."""
    return {
        "version": 3,
        "routes": [
            {
                "host": HOST_NAME,
                "timeout_ms": 20000,
                "slo_ms": 500,
                "priority": 1,
                "max_attempts": 2,
                "public": False,
                "sticky": False,
                "resumable": False,
                **route,
            }
            for route in routes
        ],
        "services": [
            {
                "name": "tailor-llm",
                "health_path": "/healthz",
                "max_conns": 1068,
                "protocol": "h1",
                "tls": False,
                "inference_engine": ENGINE,
            },
            {
                "name": "order-desk",
                "health_path": "/healthz",
                "max_conns": 110,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "tailors", "api_keys": [KEY], "priority": 1}],
    }


def run_case(
    folder: pathlib.Path, play: Callable[[Site, bool], list[str]]
) -> int:
    """Runs a case; returns its exit code.

    Args:
        folder: Of the case.
        play: Plays it, with the disruption or without; returns the broken
            rules.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write(f"disruption: {has_trouble}")
    site = Site(record)
    try:
        broken = play(site, has_trouble)
    except CannotRunError as exc:
        record.write(f"could not run: {exc}")
        print(f"could not run: {exc}")
        return 2
    finally:
        site.close()
    for line in broken:
        record.write(f"BROKEN {line}")
        print(line)
    record.write("result: broken" if broken else "result: held")
    record.close()
    return 1 if broken else 0
