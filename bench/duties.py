"""What each duty of an idle host costs, against the hosts and engines it knows.

``python -m bench.duties [--hosts N...] [--seconds S] [--reader]`` runs the
host's own parts in this process, before a stand-in of the store and as many
engines as hosts, and sends it the datagrams that its neighbours would. Prints
JSON lines: parts of a core by duty and size. Read next:
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

SIZES: Final = (8, 61, 195, 370)
PLACES: Final = ("dc-a", "dc-b", "dc-c", "dc-d", "dc-e")

# Engines that a host's own requests are at: half a dozen of five stages each.
IN_FLIGHT: Final = 30

# Accelerators of a data centre, by share.
SHARES: Final = {"a100": 1, "l40s": 4, "l4": 6}

# From the start until a host's idle costs are measured, in seconds.
SETTLE_S: Final = 4.0

# Name of the thread that speaks for the neighbours.
BENCH: Final = "bench"

# Hosts whose addresses come before this one's read the store for it.
IP: Final = "127.0.250.1"
READER_IP: Final = "127.0.0.2"


def measure(hosts: int, seconds: float, ip: str) -> dict[str, float]:
    """Returns the parts of a core that each duty takes.

    Args:
        hosts: Of the deployment, in `PLACES`; as many engines.
        seconds: How long it is measured.
        ip: Address of the host that is measured.
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
        target=tell, args=(cfg, hosts, engines, stop), name=BENCH
    )
    neighbours.start()
    try:
        stage.wait_until(subject.is_ready, 20.0, "the host is ready")
        time.sleep(SETTLE_S)
        before, began_s = duties.read_seconds(), time.monotonic()
        time.sleep(seconds)
        after = duties.read_seconds()
        took_s = time.monotonic() - began_s
    finally:
        stop.set()
        neighbours.join()
        subject.close()
    return {
        duty: (after[duty] - before.get(duty, 0.0)) / took_s
        for duty in sorted(after)
        if duty not in (BENCH, "main", duties.ENDED)
        and not duty.startswith("Thread")
    }


def make_settings(store: str, ip: str) -> node.HostSettings:
    """Returns the settings of the host that is measured."""
    # Held until this returns; nothing else of the bench connects meanwhile.
    held = [sites.reserve_port((ip,)) for _ in range(3)]
    ports = [port for port, _ in held]
    return node.HostSettings(
        name="host",
        ip=ip,
        data_centre=PLACES[0],
        data_centres=PLACES,
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
    )


def fill_store(scene: stage.Stage, engines: int) -> list[str]:
    """Writes a configuration and engines that hold their layers."""
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
    for place in PLACES:
        count = -(-engines // len(PLACES))
        for name, layers in lay_out(place, count).items():
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


def lay_out(place: str, count: int) -> dict[str, upstreams.Layers]:
    """Returns what the engines of a data centre are to hold, by name."""
    rng = random.Random(place)
    kinds = rng.choices(list(SHARES), list(SHARES.values()), k=count)
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


def tell(
    cfg: node.HostSettings,
    hosts: int,
    engines: Sequence[str],
    stop: threading.Event,
) -> None:
    """Sends what the neighbours of a host tell it, until told to stop."""
    near = -(-hosts // len(PLACES)) - 1
    told = [make_news(i, PLACES[0], engines) for i in range(near)]
    told += [
        make_news(near + i, place, engines)
        for i, place in enumerate(PLACES[1:])
    ]
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    with sock:
        while not stop.wait(exchange.SEND_PERIOD_S):
            for news in told:
                # Hosts don't send in one moment.
                stop.wait(exchange.SEND_PERIOD_S / len(told) / 2)
                data = datagrams.encode_update(news)
                sock.sendto(data, (cfg.ip, cfg.exchange_port))


def make_news(
    number: int, place: str, engines: Sequence[str]
) -> datagrams.PeerUpdate:
    """Returns what one neighbour tells."""
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
    """Prints the duties' costs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=SIZES)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--reader", action="store_true")
    args = parser.parse_args(argv)
    ip = READER_IP if args.reader else IP
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
