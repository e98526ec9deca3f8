"""Starts a site of hosts against the second stand-in of the store."""

from __future__ import annotations

import json
import pathlib
import threading
import time
from collections.abc import Collection, Mapping
from typing import Any, Final

import attrs

from egretspur.platform import names
from tests import sites, stage
from tests.fakes import partition
from tests.strange import versions

# Hosts by their data centres.
ZONES: Final = (sites.HOME,) * 3 + ("pg-hall",) * 3 + ("cj-hall",) * 2

# Upstreams of each service.
UPSTREAMS: Final = 2

# Time between two writes of an upstream's entry, in seconds.
HEARTBEAT_S: Final = 1.2


@attrs.define
class StrangeSite(sites.Site):
    """A site whose hosts each have a listener of the store."""

    # Address of the store, by host.
    addresses: dict[str, str] = attrs.Factory(dict)
    # Starts of each host's process.
    boots: dict[str, int] = attrs.Factory(dict)
    # Hosts to which no other host can connect.
    _apart: set[str] = attrs.Factory(set)
    _links_lock: threading.Lock = attrs.Factory(threading.Lock)

    def get_store(self, host: str) -> str:
        """Returns the address at which a host finds the store."""
        return self.addresses[host]

    def write(self, topic: str, key: str, value: Any) -> None:
        """Writes to the store as operators and upstreams do.

        Raises:
            RuntimeError: The store has not acknowledged it.
        """
        body = {"topic": topic, "key": key, "value": value}
        res = self.stage.call("POST", "store", "/write", body)
        if "offset" not in res:
            raise RuntimeError(str(res))

    def set_faults(self, **faults: Any) -> None:
        """Sets faults of the store; see `tests.fakes.strangestore`."""
        self.set_fault("store", faults)

    def set_doors(self, ips: Collection[str], mode: str) -> None:
        """Sets what the listeners of some hosts do."""
        own = list(self.addresses)
        self.set_faults(doors={str(own.index(ip)): mode for ip in ips})

    def list_readers(self) -> list[str]:
        """Returns the hosts that wait for the next configuration."""
        own = list(self.addresses)
        found = self.stage.call("POST", "store", "/faults", {})
        return [own[int(door)] for door in found["waiting"]]

    def start_boot(self, ip: str) -> None:
        """Starts a host's process, once more if it ran before."""
        self.boots[ip] = self.boots.get(ip, 0) + 1
        with self._links_lock:
            sites.start_host(self, ip)
            self._write_links(ip)

    def cut(self, ips: Collection[str], is_cut: bool, is_apart: bool) -> None:
        """Loses the datagrams of some hosts, or no longer.

        Args:
            ips: The hosts.
            is_cut: Whether they are lost from now on.
            is_apart: Whether connections of other hosts to them hang too.
        """
        with self._links_lock:
            change = set.update if is_cut else set.difference_update
            change(self.mutes, ips)
            if is_apart:
                change(self._apart, ips)
            for ip in self.addresses:
                self._write_links(ip)

    def _write_links(self, ip: str) -> None:
        """Writes the state of a host's network."""
        how = partition.MUTE if ip in self.mutes else ""
        apart = [self.get_address(h, "control_plane") for h in self._apart]
        if apart and not how:
            how = "silent"
        path = self.get_partition_path(ip)
        new = path.with_suffix(".new")
        new.write_text(json.dumps({"how": how, "addresses": apart}))
        new.replace(path)

    def write_heartbeats(self) -> None:
        """Writes the entries of the upstreams until closed."""
        count = 0
        while not self.closed.wait(HEARTBEAT_S):
            count += 1
            for name, entry in self.entries.items():
                try:
                    self.write(
                        names.UPSTREAMS_TOPIC, name, {**entry, "seq_no": count}
                    )
                except RuntimeError:
                    continue


def start(
    first: Mapping[str, Any], seed: int, tree: pathlib.Path | None = None
) -> StrangeSite:
    """Starts all processes of a site; returns once all hosts are ready.

    Args:
        first: Configuration that is written before the hosts start.
        seed: Of what the store does.
        tree: Checkout whose hosts are started; this one if None.
    """
    site = StrangeSite(tree=tree)
    ips = tuple(f"127.0.0.{i + 1}" for i in range(len(ZONES)))
    site.ports.update(sites.reserve_ports(site, ips))
    site.zones.update(zip(ips, ZONES, strict=True))
    site.seeds += [
        site.get_address(ips[ZONES.index(z)], "control_plane")
        for z in dict.fromkeys(ZONES)
    ]
    store = site.stage.start(
        "store",
        "tests.fakes.strangestore",
        *("--doors", str(len(ips)), "--seed", str(seed)),
    )
    doors = json.loads(store.lines[0])["doors"]
    site.addresses.update(zip(ips, doors, strict=True))
    for i in range(UPSTREAMS * len(versions.SERVICES)):
        site.start_upstream(f"s{i}")
        entry = site.entries[f"s{i}"]
        entry["service"] = versions.SERVICES[i % len(versions.SERVICES)]
        entry["slots"] = 50
        site.write(names.UPSTREAMS_TOPIC, f"s{i}", entry)
    site.write(names.CONFIG_TOPIC, names.CONFIG_KEY, first)
    threading.Thread(target=site.write_heartbeats, daemon=True).start()
    for ip in ips:
        site.start_boot(ip)
    for ip in ips:
        stage.wait_until(lambda ip=ip: sites.is_ready(site, ip), 20.0, ip)  # type: ignore[misc]
    time.sleep(1.0)
    return site


def get_service(site: StrangeSite, signature: str) -> str:
    """Returns the service of the upstream that signed an answer."""
    return str(site.entries[signature.removeprefix("sig-")]["service"])
