"""A test site of the platform: store, upstreams, hosts and callers.

Store, upstreams and hosts are processes on this machine; each host has its own
address in the loopback range. Read next: `tests.soak`.
"""

from __future__ import annotations

import json
import os
import pathlib
import re
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator, Sequence
from typing import Any, Final

import attrs
import urllib3

from tests import stage
from tests.fakes import doors, partition
from tests.steps import platform_steps

LAYERS: Final = 8
HOST: Final = "notes.example"

# Address of all hosts where they share one.
SHARED_IP: Final = "127.0.0.1"

# What hosts serve, as in their settings.
LISTENING: Final = ("frontend", "ready", "control_plane")

# Data centre of the upstreams, and of hosts unless a test says otherwise.
HOME: Final = "kl-hall"

# Upstreams that may run a request, by its route.
MAX_ATTEMPTS: Final = 2

# Longest time of a request, by its route.
TIMEOUT_S: Final = 9.0

# Time for which a draining upstream continues to serve, in seconds.
DRAIN_S: Final = 2.5

# How long the entry of an upstream that stands still stays in the list: three
# heartbeats, in seconds.
ENTRY_LIFETIME_S: Final = 3.6

# Memory of an engine: it holds two of the layers, and what requests need.
ENGINE_MB: Final = 4000.0

SPEC: Final[dict[str, Any]] = {
    **platform_steps.ENGINE,
    "layer_count": LAYERS,
    "layer_mb": 1000.0,
    "kinds": [
        {"name": "l4", "size_mb": ENGINE_MB, "pace": 16.0, "read_factor": 8.2}
    ],
    "kv_token_bytes": 80_000,
    "load_s": 0.1,
}


@attrs.define
class Site:
    """All processes of a site."""

    stage: stage.Stage = attrs.Factory(stage.Stage)
    # Ports of the hosts that have an address of their own, by what they serve.
    ports: dict[str, int] = attrs.Factory(dict)
    # The same of hosts that share an address, by host.
    own_ports: dict[str, dict[str, int]] = attrs.Factory(dict)
    # Hosts that start with a network that loses all datagrams.
    mutes: set[str] = attrs.Factory(set)
    # Control addresses in the hosts' settings.
    seeds: list[str] = attrs.Factory(list)
    pool: urllib3.PoolManager = attrs.Factory(
        lambda: urllib3.PoolManager(retries=False, timeout=20.0, maxsize=16)
    )
    hosts: list[str] = attrs.Factory(list)
    closed: threading.Event = attrs.Factory(threading.Event)
    entries_lock: threading.Lock = attrs.Factory(threading.Lock)
    entries: dict[str, dict[str, Any]] = attrs.Factory(dict)
    # Engines that are started crash on a request that contains this, before or
    # after the head of the answer, and after so many events.
    crash_on: str = ""
    crash_after_head: bool = False
    crash_events: int = 0
    # Other faults of such engines.
    crash_faults: dict[str, Any] = attrs.Factory(dict)
    # Sockets that reserve the ports of the hosts.
    reserved: list[socket.socket] = attrs.Factory(list)
    # Bounds in the hosts' settings, in addition to those of all sites.
    bounds: dict[str, float] = attrs.Factory(dict)
    # Limits of a machine in the hosts' settings; theirs by default if empty.
    limits: dict[str, float] = attrs.Factory(dict)
    # Data centres of the hosts that are not in `HOME`, by address.
    zones: dict[str, str] = attrs.Factory(dict)
    # Whether a host starts again with the settings of its first start.
    keeps_settings: bool = False
    # Draws what happens at random.
    seed: int = 0
    # How many times as often as usual callers send.
    load: float = 1.0
    # Whether the entry of an upstream that stands still is removed after a
    # while, until it goes on.
    lapses: bool = False
    lapsed: set[str] = attrs.Factory(set)
    # Checkout whose hosts are started; this one if None.
    tree: pathlib.Path | None = None
    # Doors to the store of the hosts that have one, by host.
    doors: dict[str, doors.Door] = attrs.Factory(dict)

    def get_store(self, host: str) -> str:
        """Returns the address at which a host finds the store."""
        door = self.doors.get(host)
        return door.address if door else self.stage.processes["store"].address

    def get_ip(self, host: str) -> str:
        """Returns a host's address: its name, unless it shares one."""
        return SHARED_IP if host in self.own_ports else host

    def get_address(self, host: str, served: str) -> str:
        """Returns the address and port at which a host serves something."""
        ports = self.own_ports.get(host, self.ports)
        return f"{self.get_ip(host)}:{ports[served]}"

    def leave(self, name: str) -> None:
        """Removes an upstream from the list."""
        with self.entries_lock:
            self.entries.pop(name)
            self.write("keyed.servers", name, None)

    def close(self) -> None:
        """Stops all processes."""
        self.closed.set()
        self.stage.close()
        for door in self.doors.values():
            door.close()
        for sock in self.reserved:
            sock.close()

    def write(self, topic: str, key: str, value: Any) -> None:
        """Writes to the store as operators and upstreams do."""
        body = {"topic": topic, "key": key, "value": value}
        self.stage.call("POST", "store", "/write", body)

    def write_entries(self) -> None:
        """Writes the entries of all upstreams every 0.2 s until closed."""
        while not self.closed.wait(0.2):
            with self.entries_lock:
                for name in list(self.entries):
                    self.write_entry(name)

    def write_entry(self, name: str) -> None:
        """Writes one entry, with the layers that an engine reports."""
        entry = self.entries[name]
        process = self.stage.processes[name]
        if self.lapses and process.get_paused_s() >= ENTRY_LIFETIME_S:
            self._lapse(name)
            return
        self.lapsed.discard(name)
        try:
            # One that stands still is not asked; waiting for it would make the
            # entries of the others old.
            if entry["service"] == "llm" and not process.is_paused:
                report = self.stage.call("GET", name, "/egretspur/report")
                entry["layer_count"] = report["layer_count"]
            self.write("keyed.servers", name, entry)
        except RuntimeError:
            # The upstream was killed: its entry stays until it is removed.
            return

    def _lapse(self, name: str) -> None:
        """Removes the entry of an upstream that stands still, once."""
        if name not in self.lapsed:
            self.lapsed.add(name)
            self.write("keyed.servers", name, None)

    def ask(
        self, path: str, key: str, host: str = "127.0.0.1", **more: Any
    ) -> Any:
        """Sends a caller's request; returns the open answer."""
        return self.post(path, key, host, b"{}", more)

    def post(
        self,
        path: str,
        key: str,
        host: str,
        body: bytes | Iterator[bytes],
        more: dict[str, Any],
    ) -> Any:
        """Sends a caller's request with a body; returns the open answer.

        Args:
            path: Target of the request.
            key: Of the caller.
            host: That it is sent to.
            body: Sent in chunks if it comes in parts.
            more: Further header fields.
        """
        return self.pool.request(
            "POST",
            f"http://{self.get_address(host, 'frontend')}{path}",
            body=body,
            headers=make_fields(key, **more),
            preload_content=False,
        )

    def start_upstream(self, name: str) -> None:
        """Starts and lists an engine (``e...``) or a plain replica."""
        is_engine = name.startswith("e")
        args = ["--name", name]
        if is_engine:
            args += ["--layers", str(LAYERS)]
        process = self.stage.start(name, "tests.fakes.replica", *args)
        if is_engine and self.crash_on:
            self.set_crash(name)
        with self.entries_lock:
            self.entries[name] = {
                "service": "llm" if is_engine else "desk",
                "address": process.address,
                "zone": HOME,
                "version": "v1",
                "cold_left_ms": 0,
                "seq_no": 0,
                "slots": 6,
                "state": "ready",
                "route_kind": "l4" if is_engine else None,
                "layer_count": None,
            }

    def set_fault(self, name: str, faults: dict[str, Any]) -> None:
        """Sets faults of a stand-in.

        Raises:
            RuntimeError: The stand-in does not answer.
        """
        self.stage.call("POST", name, "/faults", faults)

    def hold(self, name: str, for_s: float) -> None:
        """Has an upstream read no request for a while, and all of them then."""
        self.set_fault(name, {"reads_from_s": time.monotonic() + for_s})

    def set_crash(self, name: str) -> None:
        """Makes an engine crash on requests that contain `crash_on`."""
        self.set_fault(
            name,
            {
                "crash_on": self.crash_on,
                "crash_after_head": self.crash_after_head,
                "crash_events": self.crash_events,
                **self.crash_faults,
            },
        )

    def partition(self, ip: str, how: str) -> None:
        """Cuts a host off from all upstreams; see `tests.fakes.partition`.

        Args:
            ip: Address of the host.
            how: Kind of the partition; empty to end it.
        """
        with self.entries_lock:
            addresses = [e["address"] for e in self.entries.values()]
        path = self.get_partition_path(ip)
        new = path.with_suffix(".new")
        new.write_text(json.dumps({"how": how, "addresses": addresses}))
        new.replace(path)

    def get_partition_path(self, ip: str) -> pathlib.Path:
        """Returns the file with the state of a host's network."""
        return self.stage.folder / f"{ip}.partition"

    def get_runs(self) -> list[dict[str, str]]:
        """Returns the requests that the listed upstreams ran."""
        runs = []
        for name in self.entries:
            runs += self.stage.call("GET", name, "/runs")
        return runs


def make_fields(key: str, **more: str) -> dict[str, str]:
    """Returns the header fields of a caller's request."""
    return {
        "Host": HOST,
        "Attempt-Id": f"a{time.monotonic_ns()}",
        "Token-Usage": "20,20",
        "Deadline-Ms": "9000",
        "Authorization": f"Bearer {key}",
        **more,
    }


def make_config(
    keys: list[str],
    version: int,
    max_attempts: int = MAX_ATTEMPTS,
    engine_mb: float = ENGINE_MB,
    timeout_s: float = TIMEOUT_S,
) -> dict[str, Any]:
    """Returns a configuration in the form that operators write."""
    kinds = [{**SPEC["kinds"][0], "size_mb": engine_mb}]
    routes = []
    for prefix, kind, service in (
        ("/notes/", "streaming", "llm"),
        ("/cards/", "idempotent", "desk"),
        ("/orders/", "non_idempotent", "desk"),
    ):
        routes.append(
            {
                "name": prefix,
                "host": HOST,
                "path_prefix": prefix,
                "route_kind": kind,
                "timeout_ms": int(1000 * timeout_s),
                "slo_ms": 500,
                "priority": 1,
                "service": service,
                "max_attempts": max_attempts,
                "resumable": kind == "streaming",
            }
        )
    services = [
        {
            "name": "llm",
            "health_path": "/healthz",
            "max_conns": 100,
            "inference_engine": {**SPEC, "kinds": kinds},
        },
        {"name": "desk", "health_path": "/healthz", "max_conns": 100},
    ]
    return {
        **platform_steps.EXAMPLE,
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": [{"name": "tailors", "api_keys": keys, "priority": 1}],
    }


def reserve_port(hosts: tuple[str, ...]) -> tuple[int, list[socket.socket]]:
    """Returns a TCP port that is free on all of these addresses.

    The returned sockets reserve the port until they are closed. Without them
    a connection of another test can take it before a host listens there.
    """
    while True:
        socks: list[socket.socket] = []
        port = 0
        try:
            for host in hosts:
                sock = socket.socket()
                socks.append(sock)
                # Lets a host listen on the reserved port.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind((host, port))
                port = int(sock.getsockname()[1])
        except OSError:
            for sock in socks:
                sock.close()
            continue
        return port, socks


def reserve_exchange_port(
    hosts: tuple[str, ...],
) -> tuple[int, list[socket.socket]]:
    """Returns a TCP port that is also free for UDP; see `reserve_port`."""
    while True:
        port, socks = reserve_port(hosts)
        try:
            for host in hosts:
                with socket.socket(type=socket.SOCK_DGRAM) as sock:
                    sock.bind((host, port))
        except OSError:
            for reserved in socks:
                reserved.close()
            continue
        return port, socks


def reserve_ports(site: Site, ips: tuple[str, ...]) -> dict[str, int]:
    """Returns the ports of hosts at these addresses, by what they serve."""
    ports = {}
    for name in LISTENING:
        ports[name], socks = reserve_port(ips)
        site.reserved += socks
    ports["exchange"], socks = reserve_exchange_port(ips)
    site.reserved += socks
    return ports


def start_host(site: Site, ip: str) -> None:
    """Starts a host process; `ip` is its name if it shares an address."""
    listen = {name: site.get_address(ip, name) for name in LISTENING}
    path = site.stage.folder / f"{ip}.json"
    zone = site.zones.get(ip, HOME)
    cfg = {
        "node_name": f"host-{ip}",
        "ip": site.get_ip(ip),
        "zone": zone,
        "zones": dict.fromkeys((HOME, *site.zones.values()), "my"),
        "listen": listen,
        "port_range": [
            site.own_ports.get(ip, site.ports)["exchange"],
            0,
        ],
        "seeds": site.seeds,
        "bootstrap": site.keeps_settings or not path.exists(),
        "platform": {"address": site.get_store(ip)},
        "bounds": {"grace_s": 7, **site.bounds},
        "limits": site.limits,
    }
    path.write_text(json.dumps(cfg), "utf-8")
    site.partition(ip, partition.MUTE if ip in site.mutes else "")
    popen = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "tests.fakes.partition",
            str(site.get_partition_path(ip)),
            "egretspur.daemons.host",
        ],
        stdout=subprocess.PIPE,
        env={**os.environ, "EGRETSPUR_NODE_FILE": str(path)},
        cwd=site.tree,
        text=True,
    )
    process = stage.Process(ip, popen, listen["frontend"])
    if ip in site.stage.processes:
        site.stage.ended.append(site.stage.processes[ip])
    threading.Thread(target=collect_lines, args=(process,), daemon=True).start()
    site.stage.processes[ip] = process
    site.hosts.append(ip)


def collect_lines(process: stage.Process) -> None:
    """Collects the log lines of a host."""
    assert process.popen.stdout is not None
    for line in process.popen.stdout:
        process.lines.append(line)


def read_peak_kb(site: Site, ip: str) -> int:
    """Returns the most memory that a host has used."""
    pid = site.stage.processes[ip].popen.pid
    status = pathlib.Path(f"/proc/{pid}/status").read_text("utf-8")
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found is not None, status
    return int(found[1])


def is_ready(site: Site, ip: str = "127.0.0.1") -> bool:
    """Returns whether a host is ready."""
    url = f"http://{site.get_address(ip, 'ready')}/egretspur/readyz"
    try:
        return bool(site.pool.request("GET", url, timeout=1.0).status == 200)
    except urllib3.exceptions.HTTPError:
        return False


def read_state(site: Site, ip: str) -> dict[str, Any]:
    """Returns the state dump of a host."""
    url = f"http://{site.get_address(ip, 'control_plane')}/state"
    state: dict[str, Any] = site.pool.request("GET", url).json()
    return state


def can_stream(site: Site, ip: str = "127.0.0.1") -> bool:
    """Returns whether a host answers a stream completely."""
    try:
        res = site.ask("/notes/x", "key-1", ip)
        return bool(res.status == 200 and b"id: 5" in res.read())
    except urllib3.exceptions.HTTPError:
        return False


def start_site(
    hosts: int,
    zones: Sequence[str] = (),
    tree: pathlib.Path | None = None,
    shares_address: bool = False,
    has_doors: bool = False,
    **bounds: float,
) -> Site:
    """Starts a site with four engines, two plain replicas and hosts.

    Args:
        hosts: Number of hosts.
        zones: Data centres of the last hosts; the others are in `HOME`.
        tree: Checkout whose hosts are started; this one if None.
        shares_address: Whether all hosts are at one address, told apart by
            their ports alone.
        has_doors: Whether each host has a door to the store.
        **bounds: Bounds in the hosts' settings.
    """
    site = Site(bounds=bounds, tree=tree)
    count = max(2, hosts)
    if shares_address:
        ips = tuple(f"host-{i + 1}" for i in range(count))
        for name in ips:
            site.own_ports[name] = reserve_ports(site, (SHARED_IP,))
    else:
        ips = tuple(f"127.0.0.{i + 1}" for i in range(count))
        site.ports.update(reserve_ports(site, ips))
    site.seeds.append(site.get_address(ips[0], "control_plane"))
    site.zones.update(zip(ips[hosts - len(zones) : hosts], zones, strict=True))
    store = site.stage.start("store", "tests.fakes.store")
    if has_doors:
        site.doors.update((ip, doors.Door(store.address)) for ip in ips)
    for i in range(6):
        site.start_upstream(f"e{i}" if i < 4 else f"s{i}")
    site.write("keyed.op", "config", make_config(["key-1"], 2))
    threading.Thread(target=site.write_entries, daemon=True).start()
    for ip in ips[:hosts]:
        start_host(site, ip)
    for ip in ips[:hosts]:
        wait_serving(site, ip)
    return site


def wait_serving(site: Site, ip: str) -> None:
    """Waits until a host is ready and answers streams."""
    stage.wait_until(lambda: is_ready(site, ip), 20.0, f"{ip} is ready")
    stage.wait_until(lambda: can_stream(site, ip), 20.0, f"{ip} finds paths")
