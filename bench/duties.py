"""Measures the processor time of an idle host's duties by deployment size.

``python -m bench.duties [--hosts N...] [--seconds S] [--reader]`` runs a host
in this process against a fake store that lists as many engines as hosts, and
sends it the peer updates that the other hosts would send. Prints JSON lines:
the share of a core by duty and number of hosts. Read next:
`egretspur.daemons.duties`.
"""

from __future__ import annotations

import argparse
import random
import socket
import threading
import time
from collections.abc import Sequence
from typing import Final

from bench import figures
from egretspur import bounds
from egretspur.catalog import reading, upstreams
from egretspur.daemons import duties, host
from egretspur.membership import datagrams, exchange
from egretspur.placement import ranges
from egretspur.platform import node
from egretspur.routing import jobs
from tests import fleets, listing, sites, stage
from tests.steps import platform_steps

HOST_COUNTS: Final = (8, 61, 195, 370)
DATA_CENTRES: Final = ("dc-a", "dc-b", "dc-c", "dc-d", "dc-e")

# Engines that serve a host's requests: six requests of five stages each.
IN_FLIGHT: Final = 30

# Relative numbers of accelerators in a data centre.
ACCELERATOR_WEIGHTS: Final = {"a100": 1, "l40s": 4, "l4": 6}

# From the host's readiness until the measurement begins.
SETTLE_S: Final = 4.0

# Thread that sends the peer updates; left out of the results.
SENDER_THREAD: Final = "bench"

# The hosts with the lowest addresses read the store for the others.
HOST_IP: Final = "127.0.250.1"
READER_IP: Final = "127.0.0.2"


def measure(hosts: int, seconds: float, ip: str) -> dict[str, float]:
    """Returns the share of a core that each duty takes.

    Args:
        hosts: Number of hosts in the deployment, and of engines.
        seconds: Duration of the measurement.
        ip: Address of the measured host.
    """
    scene = stage.Stage()
    try:
        scene.start("store", "tests.fakes.store")
        names = fill_store(scene, hosts)
        return _measure_host(scene, names, hosts, seconds, ip)
    finally:
        scene.close()


def _measure_host(
    scene: stage.Stage,
    engines: Sequence[str],
    hosts: int,
    seconds: float,
    ip: str,
) -> dict[str, float]:
    cfg = make_settings(scene.processes["store"].address, ip)
    subject = host.Host(cfg)
    subject.start()
    stop = threading.Event()
    neighbours = threading.Thread(
        target=send_peer_updates,
        args=(cfg, hosts, engines, stop),
        name=SENDER_THREAD,
    )
    neighbours.start()
    try:
        stage.wait_until(subject.is_ready, 20.0, "the host is ready")
        time.sleep(SETTLE_S)
        before, began_s = duties.read_cpu_seconds(), time.monotonic()
        time.sleep(seconds)
        after = duties.read_cpu_seconds()
        took_s = time.monotonic() - began_s
    finally:
        stop.set()
        neighbours.join()
        subject.close()
    return {
        duty: (after[duty] - before.get(duty, 0.0)) / took_s
        for duty in sorted(after)
        if duty not in (SENDER_THREAD, "main", duties.ENDED_THREADS)
        and not duty.startswith("Thread")
    }


def make_settings(store: str, ip: str) -> node.HostSettings:
    """Returns the settings of the measured host."""
    # The ports stay reserved until this returns; the bench opens no other
    # connection before the host binds them.
    reserved = [sites.reserve_port((ip,)) for _ in range(3)]
    ports = [port for port, _ in reserved]
    return node.HostSettings(
        name="host",
        ip=ip,
        data_centre=DATA_CENTRES[0],
        data_centres=DATA_CENTRES,
        listen=f"{ip}:{ports[0]}",
        listen_ready=f"{ip}:{ports[1]}",
        listen_control=f"{ip}:{ports[2]}",
        exchange_port=stage.find_udp_port([ip]),
        seeds=(),
        store=store,
        min_ttl_s=1.0,
        drain_s=4.0,
        grace_s=8.0,
        retry_ratio=0.2,
        retry_allowance=574.0,
        retry_window_s=10.0,
        bounds=bounds.Bounds(),
        max_fds=4100,
        memory_bytes=fleets.MEMORY_BYTES,
        held_bytes=60_000_000,
        unsent_bytes=37_500_000,
    )


def fill_store(scene: stage.Stage, engines: int) -> list[str]:
    """Writes a configuration and engines with layers, returns their names."""
    cfg = sites.make_config(["key-1"], 2)
    cfg["services"][0]["inference_engine"] = {
        **platform_steps.ENGINE,
        "layer_count": fleets.SPEC.layers,
        "kinds": [
            {
                "name": kind.name,
                "size_mb": kind.memory_bytes / 1e6,
                "pace": kind.pace,
                "read_factor": kind.prefill_factor,
            }
            for kind in fleets.ACCELERATORS.values()
        ],
    }
    site = sites.Site(stage=scene)
    site.write("keyed.op", "config", cfg)
    names = []
    for place in DATA_CENTRES:
        count = -(-engines // len(DATA_CENTRES))
        for name, layers in plan_layers(place, count).items():
            names.append(name)
            number = len(names)
            site.write(
                "keyed.servers",
                name,
                listing.make_entry(
                    number,
                    address=f"127.0.9.{number % 250 + 1}:{number + 2000}",
                    zone=place,
                    route_kind=name.partition("-")[0],
                    layer_count={
                        "source": layers.first,
                        "to": layers.last,
                        "version": 1,
                    },
                ),
            )
    return names


def plan_layers(place: str, count: int) -> dict[str, upstreams.Layers]:
    """Plans the layers of a data centre's engines, returned by engine name."""
    rng = random.Random(place)
    kinds = rng.choices(
        list(ACCELERATOR_WEIGHTS), list(ACCELERATOR_WEIGHTS.values()), k=count
    )
    names = [f"{kind}-{place}-{i}" for i, kind in enumerate(kinds)]
    held: dict[str, upstreams.Layers] = {}
    while True:
        engines = [
            ranges.Engine(
                name,
                fleets.ACCELERATORS[name.partition("-")[0]],
                held.get(name),
            )
            for name in names
        ]
        orders = ranges.plan_orders(engines, fleets.SPEC, [])
        if not orders:
            return held
        held.update(orders)


def send_peer_updates(
    cfg: node.HostSettings,
    hosts: int,
    engines: Sequence[str],
    stop: threading.Event,
) -> None:
    """Sends the host the peer updates of all other hosts until stopped."""
    near = -(-hosts // len(DATA_CENTRES)) - 1
    updates = [
        make_peer_update(i, DATA_CENTRES[0], engines) for i in range(near)
    ]
    updates += [
        make_peer_update(near + i, place, engines)
        for i, place in enumerate(DATA_CENTRES[1:])
    ]
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    with sock:
        while not stop.wait(exchange.SEND_PERIOD_S):
            for update in updates:
                # Spreads the updates out, as hosts do not send in step.
                stop.wait(exchange.SEND_PERIOD_S / len(updates) / 2)
                data = datagrams.encode_update(update)
                sock.sendto(data, (cfg.ip, cfg.exchange_port))


def make_peer_update(
    number: int, place: str, engines: Sequence[str]
) -> datagrams.PeerUpdate:
    """Returns the peer update of one other host."""
    rng = random.Random(number)
    used = rng.sample(list(engines), min(IN_FLIGHT, len(engines)))
    return datagrams.PeerUpdate(
        f"127.0.{100 + number // 250}.{number % 250 + 1}",
        place,
        0.1,
        reading.ReadState(2, 1, 1e6),
        {name: jobs.Usage(1, rng.uniform(1e3, 2e4)) for name in used},
        {},
        (),
        {},
        {},
    )


def main(argv: Sequence[str] | None = None) -> int:
    """Prints the share of a core by duty and number of hosts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=HOST_COUNTS)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--reader", action="store_true")
    args = parser.parse_args(argv)
    ip = READER_IP if args.reader else HOST_IP
    found = {n: measure(n, args.seconds, ip) for n in args.hosts}
    for hosts, costs in found.items():
        for duty, part in {**costs, "all": sum(costs.values())}.items():
            figures.emit(
                figures.Figure(
                    f"duty {duty}, {hosts} hosts", 100 * part, "% of a core"
                )
            )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
