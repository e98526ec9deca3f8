"""Starts a small site for the cases of the second review.

Hosts are started with the command of the deploy file, the store is the
project's own stand-in. Plain replicas and callers are small stand-ins of this
file, on loopback addresses. Needs nothing but the standard library, and
`target/deps` for the processes that it starts.
"""

from __future__ import annotations

import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from collections.abc import Callable, Mapping
from typing import Any

Socket = socket.socket

ROOT = pathlib.Path(__file__).resolve().parent.parent
IP = "127.0.0.1"
HOST_NAME = "orders.example"
KEY = "key-of-tenant-1"
ZONE = "kl-hall"

# Bounds of the sheet of jahit-ukur.
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

# Results of a case. `run.sh` turns them into 0, 1 and 2, and all else into 2:
# an interpreter that fails by itself exits with 1.
HELD = 40
BROKEN = 41
NOT_RUN = 2

# Time after which a case counts as not run.
LIMIT_S = 110.0


class Record:
    """What was sent, answered and run, in the case's `record.txt`."""

    def __init__(self, path: pathlib.Path) -> None:
        self._began_s = time.monotonic()
        self._lock = threading.Lock()
        self._file = path.open("w", encoding="utf-8")

    def note(self, text: str) -> None:
        """Writes a line with the seconds since the start."""
        line = f"{time.monotonic() - self._began_s:8.3f} {text}"
        with self._lock:
            self._file.write(line + "\n")
            self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class Request:
    """A request as a replica read it."""

    def __init__(
        self, line: str, fields: Mapping[str, str], body: bytes
    ) -> None:
        self.method, self.target, _ = line.split(" ", 2)
        self.fields = fields
        self.body = body
        self.id = fields.get("attempt-id", "")


class Replica:
    """A plain replica: each connection is a thread, bytes are its own."""

    def __init__(
        self,
        record: Record,
        name: str,
        answer: Callable[[Replica, Request, socket.socket], None],
        service: str = "desk",
        address: str = "",
    ) -> None:
        self.record = record
        self.name = name
        self.service = service
        self.born_ms = int(time.time() * 1000)
        self.answer = answer
        # Ids of the requests that it began to work on, and when.
        self.runs: list[tuple[str, float]] = []
        # Ids of the requests that reached it, and when.
        self.arrivals: list[tuple[str, float]] = []
        self.is_ended = False
        self._conns: set[socket.socket] = set()
        self._lock = threading.Lock()
        bound = split(address) if address else (IP, 0)
        self._listener = socket.create_server(bound, backlog=128)
        self.address = f"{IP}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def make_entry(self, state: str = "ready") -> dict[str, Any]:
        """Returns its entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": ZONE,
            "version": "v1",
            "slots": 6,
            "state": state,
            "cold_left_ms": 0,
            "seq_no": 0,
            "born": self.born_ms,
        }

    def end(self) -> None:
        """Exits: closes the listening socket and all connections."""
        self.is_ended = True
        self.record.note(f"{self.name} exits")
        with self._lock:
            conns = list(self._conns)
        # A blocked accept keeps the socket open otherwise.
        for sock in (self._listener, *conns):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()

    def note_run(self, req: Request) -> None:
        """Records that it begins to work on a request."""
        self.runs.append((req.id, time.monotonic()))
        self.record.note(f"{self.name} runs {req.method} {req.id}")

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            with self._lock:
                self._conns.add(sock)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        try:
            while True:
                req = read_request(sock)
                if req is None:
                    return
                if req.target.startswith("/healthz"):
                    send(
                        sock,
                        200,
                        {"Replica-Id": self.name, **self.extra_fields()},
                        b"",
                    )
                    continue
                if req.target.startswith("/egretspur/"):
                    self.answer(self, req, sock)
                    continue
                self.arrivals.append((req.id, time.monotonic()))
                if req.fields.get("target-replica") != self.name:
                    send(sock, 421, {}, b"")
                    continue
                self.answer(self, req, sock)
        except OSError:
            pass
        finally:
            with self._lock:
                self._conns.discard(sock)
            sock.close()

    def extra_fields(self) -> dict[str, str]:
        """Returns further fields of all its answers."""
        return {}

    def sign(self, req: Request) -> dict[str, str]:
        """Returns the fields of an answer to a request."""
        return {
            "Attempt-Id": req.id,
            "Replica-Signature": f"sig-{self.name}-{req.id}",
            **self.extra_fields(),
        }


def read_request(sock: socket.socket) -> Request | None:
    """Returns the next request on a connection; None at its end."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(65536)
        if not part:
            return None
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", "0"))
    while len(body) < length:
        part = sock.recv(65536)
        if not part:
            return None
        body += part
    return Request(lines[0], fields, body)


def send(
    sock: socket.socket, status: int, fields: Mapping[str, str], body: bytes
) -> None:
    """Sends an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    sock.sendall("\r\n".join(lines).encode() + body)


class Site:
    """The processes of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[subprocess.Popen[str]] = []
        self._listed: dict[str, Replica] = {}
        self._lock = threading.Lock()
        self._closed = threading.Event()
        env = {
            **os.environ,
            "PYTHONPATH": f"{ROOT / 'target' / 'deps'}:{ROOT}",
            "PYTHONUNBUFFERED": "1",
        }
        self._env = env
        store = subprocess.Popen(
            [sys.executable, "-m", "tests.fakes.store"],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            env=env,
            cwd=ROOT,
        )
        self.store = store
        self.processes.append(store)
        self.store_address = self._read_address(store)
        threading.Thread(target=self._write_entries, daemon=True).start()

    def _read_address(self, process: subprocess.Popen[str]) -> str:
        assert process.stdout is not None
        for line in process.stdout:
            if '"started"' in line:
                address = str(json.loads(line)["address"])
                threading.Thread(
                    target=process.stdout.read, daemon=True
                ).start()
                return address
        raise RuntimeError("a stand-in did not start")

    def write(self, topic: str, key: str, value: Any) -> None:
        """Writes to the store, as the operator and the replicas do."""
        host, port = self.store_address.split(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=10)
        body = json.dumps({"topic": topic, "key": key, "value": value})
        conn.request("POST", "/write", body)
        status = conn.getresponse().status
        conn.close()
        if status != 200:
            raise RuntimeError(f"store: status {status}")

    def list_replica(self, replica: Replica) -> None:
        """Lists a replica, whose entry is written again at each heartbeat."""
        with self._lock:
            self._listed[replica.name] = replica
            self.write("keyed.servers", replica.name, replica.make_entry())

    def stop_heartbeat(self, replica: Replica) -> None:
        """Stops writing the entry of a replica, which stays for now."""
        with self._lock:
            self._listed.pop(replica.name, None)

    def remove_entry(self, replica: Replica) -> None:
        """Removes the entry of a replica."""
        with self._lock:
            self._listed.pop(replica.name, None)
            self.write("keyed.servers", replica.name, None)

    def _write_entries(self) -> None:
        while not self._closed.wait(1.2):
            with self._lock:
                for name, replica in self._listed.items():
                    entry = replica.make_entry()
                    try:
                        self.write("keyed.servers", name, entry)
                    except (OSError, RuntimeError, http.client.HTTPException):
                        return

    def start_host(self, number: int = 1, **limits: Any) -> Host:
        """Starts a host and waits until it is ready."""
        host = Host(self, number, limits)
        host.start(self._env)
        return host

    def close(self) -> None:
        """Ends all processes and removes the folder."""
        self._closed.set()
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


class Host:
    """A host's process."""

    def __init__(
        self, site: Site, number: int, limits: Mapping[str, Any]
    ) -> None:
        self._site = site
        self.ip = f"127.0.0.{number}"
        ports = find_ports(self.ip, 4)
        self.listen = f"{self.ip}:{ports[0]}"
        self.ready = f"{self.ip}:{ports[1]}"
        self.control = f"{self.ip}:{ports[2]}"
        self.settings = {
            "node_name": f"edge-{number}",
            "role": "host",
            "machine_class": "edge",
            "serves": ["edge", "control_plane"],
            "ip": self.ip,
            "zone": ZONE,
            "region": "my-west",
            "zones": {ZONE: "my-west"},
            "listen": {
                "frontend": self.listen,
                "ready": self.ready,
                "control_plane": self.control,
            },
            "port_range": [ports[3], ports[3]],
            "seeds": [self.control],
            "bootstrap": True,
            "limits": {
                "cpu_fraction": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
                **limits,
            },
            "data_dir": None,
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {
                "address": site.store_address,
                "form": "log",
                "keep_s": 300,
                "min_ttl_ms": 1000,
            },
        }
        self.process: subprocess.Popen[str] | None = None

    def start(self, env: Mapping[str, str]) -> None:
        """Starts the process and waits until it is ready."""
        path = self._site.folder / f"{self.ip}.json"
        path.write_text(json.dumps(self.settings), encoding="utf-8")
        log = (self._site.folder / f"{self.ip}.log").open("w")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "egretspur.daemons.host"],
            stdout=log,
            stderr=subprocess.STDOUT,
            text=True,
            env={**env, "EGRETSPUR_NODE_FILE": str(path)},
            cwd=ROOT,
        )
        self._site.processes.append(self.process)
        wait_until(self.is_ready, 20.0, "a host is ready")
        self._site.record.note(f"host {self.ip} is ready")

    def is_ready(self) -> bool:
        """Returns whether it says that it is ready."""
        try:
            conn = http.client.HTTPConnection(*split(self.ready), timeout=1.0)
            conn.request("GET", "/egretspur/readyz")
            is_ready = conn.getresponse().status == 200
            conn.close()
        except (OSError, http.client.HTTPException):
            return False
        return is_ready

    def send_signal(self, number: int) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self._site.record.note(f"host {self.ip}: signal {number}")
        self.process.send_signal(number)


def split(address: str) -> tuple[str, int]:
    """Returns host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def find_ports(ip: str, count: int) -> list[int]:
    """Returns free ports, also for datagrams."""
    socks = []
    ports: list[int] = []
    while len(ports) < count:
        sock = socket.socket()
        sock.bind((ip, 0))
        socks.append(sock)
        port = int(sock.getsockname()[1])
        with socket.socket(type=socket.SOCK_DGRAM) as other:
            try:
                other.bind((ip, port))
            except OSError:
                continue
        ports.append(port)
    for sock in socks:
        sock.close()
    return ports


def wait_until(check: Callable[[], Any], wait_s: float, what: str) -> None:
    """Waits until a check is true."""
    end_s = time.monotonic() + wait_s
    while not check():
        if time.monotonic() > end_s:
            raise RuntimeError(f"not within {wait_s} s: {what}")
        time.sleep(0.05)


def make_config(
    version: int = 2, kind: str = "non_idempotent", timeout_ms: int = 20000
) -> dict[str, Any]:
    """Returns a configuration with a plain service."""
    routes = []
    for prefix, route_kind in (("/orders/", kind), ("/cards/", "idempotent")):
        routes.append(
            {
                "name": prefix.strip("/"),
                "host": HOST_NAME,
                "path_prefix": prefix,
                "route_kind": route_kind,
                "timeout_ms": timeout_ms,
                "slo_ms": 200,
                "priority": 1,
                "service": "desk",
                "max_attempts": 2,
            }
        )
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "desk", "health_path": "/healthz", "max_conns": 110}
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 30000,
        },
        "tenants": [{"name": "tenant-1", "api_keys": [KEY], "priority": 1}],
    }


_COUNT = [0]


def make_fields(deadline_ms: int = 20000) -> dict[str, str]:
    """Returns the fields of a request, with a new id."""
    _COUNT[0] += 1
    return {
        "Host": HOST_NAME,
        "Attempt-Id": f"{_COUNT[0]:016x}",
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
    }


def run_case(file: str, play: Callable[[Site, bool], int]) -> None:
    """Plays a case and exits with its result.

    Args:
        file: Of the script; `record.txt` is written beside it.
        play: Gets the site, and whether there is trouble.
    """
    folder = pathlib.Path(file).resolve().parent
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    result = NOT_RUN
    site = None
    signal.signal(signal.SIGALRM, _stop_late)
    signal.alarm(int(LIMIT_S))
    try:
        site = Site(folder)
        site.record.note(f"trouble: {has_trouble}")
        result = play(site, has_trouble)
        site.record.note(f"result: {result}")
    except BaseException:
        traceback.print_exc()
        result = NOT_RUN
    finally:
        signal.alarm(0)
        if site is not None:
            site.close()
    sys.stderr.flush()
    os._exit(result)


def _stop_late(number: int, frame: Any) -> None:
    raise TimeoutError(f"not over within {LIMIT_S} s")
