"""Streams that run while engines pause, refuse, are replaced or reconfigured.

``python -m tests.streams HISTORY`` plays one history on a site of processes and
prints which streams were cut. The scenarios of `tests/daemons/begun.feature`
play small ones.
"""

from __future__ import annotations

import argparse
import collections
import itertools
import json
import signal
import sys
import threading
import time
from collections.abc import Callable, Mapping
from typing import Any, Final

import attrs
import urllib3

from tests import sites, stage

# Events of a stream and the time between two of them, in s.
EVENTS: Final = 100
PAUSE_S: Final = 0.02

# Seconds for which streams run before and after a history.
BEFORE_S: Final = 3.0
AFTER_S: Final = 6.0

# Seconds for which a stream or a process pauses.
HALT_S: Final = 3.5

# Events after which engines break a stream off, and seconds for which they
# stall after that.
BREAK_EVENTS: Final = 4
STALL_S: Final = 1.2

# How often each engine breaks off one stream, and the seconds between two.
STALL_ROUNDS: Final = 3
STALL_PERIOD_S: Final = 3.5

# Seconds for which engines break off streams.
BREAKING_S: Final = 10.0

# Seconds between two starts or ends of engines that are replaced.
REPLACE_PERIOD_S: Final = 1.2

# Log lines that tell how an attempt, or a request, ended.
ENDING_EVENTS: Final = ("attempt_failed", "request_refused", "request_cut")

# Seconds for which a replaced engine drains before its process exits.
DRAIN_S: Final = 3.3


@attrs.define
class Stream:
    """One request for a stream, sent once."""

    id: str
    host: str
    sent_s: float
    # 0 if there was no answer.
    status: int = 0
    events: int = 0
    is_in_order: bool = True
    is_complete: bool = False
    ended_s: float = 0.0

    @property
    def is_whole(self) -> bool:
        """Whether its caller got every event once and the end."""
        return self.is_complete and self.is_in_order and self.events == EVENTS

    @property
    def is_cut(self) -> bool:
        """Whether its answer began and ended without being whole."""
        return self.status == 200 and not self.is_whole


@attrs.define
class Streams:
    """Callers that ask for streams at a fixed rate, from all hosts in turn."""

    site: sites.Site
    per_s: float
    streams: list[Stream] = attrs.Factory(list)
    threads: stage.CallerThreads = attrs.Factory(stage.CallerThreads)

    def start(self) -> None:
        """Starts the callers."""
        self.threads.start(self._send)

    def close(self) -> None:
        """Stops the callers and waits for their answers."""
        self.threads.close()

    def _send(self) -> None:
        for number in itertools.count():
            if self.threads.stopped.wait(1.0 / self.per_s):
                return
            hosts = self.site.hosts
            stream = Stream(
                f"stream-{number}", hosts[number % len(hosts)], time.monotonic()
            )
            self.streams.append(stream)
            self.threads.start(self._run, stream)

    def _run(self, stream: Stream) -> None:
        # No pool: a connection that was cut must not be shared.
        pool = urllib3.PoolManager(retries=False, timeout=20.0)
        address = self.site.get_address(stream.host, "frontend")
        url = f"http://{address}/notes/x"
        fields = sites.make_fields("key-1", **{"Attempt-Id": stream.id})
        try:
            res = pool.request(
                "POST", url, body=b"{}", headers=fields, preload_content=False
            )
            stream.status = res.status
            for line in _read_lines(res):
                if line.startswith(b"id: "):
                    stream.events += 1
                    is_next = int(line[4:]) == stream.events
                    stream.is_in_order = stream.is_in_order and is_next
            stream.is_complete = True
        except (urllib3.exceptions.HTTPError, OSError):
            # A cut answer, as it is recorded.
            pass
        finally:
            stream.ended_s = time.monotonic()
            pool.clear()


def _read_lines(res: urllib3.BaseHTTPResponse) -> Any:
    rest = b""
    for data in res.stream(65536):
        lines = (rest + data).split(b"\n")
        rest = lines.pop()
        yield from lines


def start(hosts: int, engines: int, per_s: float, **bounds: float) -> Streams:
    """Starts a site and its callers; see `sites.start_site`."""
    site = sites.start_site(hosts, (), None, False, False, **bounds)
    for number in range(4, engines):
        site.start_upstream(f"e{number}")
    for name in list_engines(site):
        site.set_fault(name, {"events": EVENTS, "pause_s": PAUSE_S})
    stage.wait_until(
        lambda: all(site.entries[n]["layer_count"] for n in list_engines(site)),
        30.0,
        "all engines hold layers",
    )
    time.sleep(1.0)
    streams = Streams(site, per_s)
    streams.start()
    return streams


def list_engines(site: sites.Site) -> list[str]:
    """Returns the engines on the list, of like layers next to each other."""
    with site.entries_lock:
        names = [n for n in site.entries if n.startswith("e")]
        entries = dict(site.entries)

    def rank(name: str) -> tuple[int, str]:
        held = entries[name]["layer_count"] or {"source": 0}
        return held["source"], name

    return sorted(names, key=rank)


def split_engines(site: sites.Site) -> tuple[list[str], list[str]]:
    """Returns two halves of the engines, each with about all layers."""
    names = list_engines(site)
    return names[::2], names[1::2]


# Histories.


def pause(site: sites.Site, names: list[str], is_on: bool) -> None:
    """Makes each stream of engines pause once; they answer reports."""
    for name in names:
        site.set_fault(name, {"halt_s": HALT_S if is_on else 0.0})


def refuse(site: sites.Site, names: list[str], is_on: bool) -> None:
    """Makes engines refuse new requests, or no longer."""
    for name in names:
        site.set_fault(name, {"refuse": is_on})


def play_half_pauses(site: sites.Site) -> None:
    """Half of the engines pause while the others refuse."""
    paused, others = split_engines(site)
    refuse(site, others, True)
    pause(site, paused, True)
    time.sleep(4.0)
    pause(site, paused, False)
    refuse(site, others, False)


def play_all_pause(site: sites.Site) -> None:
    """All engines pause."""
    pause(site, list_engines(site), True)
    time.sleep(4.0)
    pause(site, list_engines(site), False)


def play_half_stand_still(site: sites.Site) -> None:
    """The processes of half of the engines stop, while the others refuse."""
    stopped, others = split_engines(site)
    refuse(site, others, True)
    processes = [site.stage.processes[n].popen for n in stopped]
    for process in processes:
        process.send_signal(signal.SIGSTOP)
    time.sleep(HALT_S)
    for process in processes:
        process.send_signal(signal.SIGCONT)
    time.sleep(0.5)
    refuse(site, others, False)


def play_replaced(site: sites.Site, is_drained: bool = True) -> None:
    """Half of the engines are replaced one after the other."""
    enders = []
    for number, name in enumerate(list_engines(site)[::2]):
        new = f"er{number}"
        site.start_upstream(new)
        site.set_fault(new, {"events": EVENTS, "pause_s": PAUSE_S})
        if is_drained:
            with site.entries_lock:
                site.entries[name]["state"] = "draining"
                site.write_entry(name)
        enders.append(
            threading.Timer(
                DRAIN_S if is_drained else 0.1, _end_engine, (site, name)
            )
        )
        enders[-1].start()
        time.sleep(REPLACE_PERIOD_S)
    for ender in enders:
        ender.join()


def play_exit(site: sites.Site) -> None:
    """Half of the engines just exit, one after the other, and are replaced."""
    play_replaced(site, is_drained=False)


def play_dropped_service(site: sites.Site) -> None:
    """The streams' service leaves the configuration while engines pause."""
    cfg = sites.make_config(["key-1"], 3)
    cfg["services"] = [s for s in cfg["services"] if s["name"] != "llm"]
    cfg["routes"] = [r for r in cfg["routes"] if r["service"] != "llm"]
    site.write("keyed.op", "config", cfg)
    time.sleep(0.7)
    # Streams that run now are of the configuration before.
    pause(site, list_engines(site), True)
    time.sleep(4.0)
    pause(site, list_engines(site), False)
    site.write("keyed.op", "config", sites.make_config(["key-1"], 4))


def play_broken_off(site: sites.Site, stall_s: float = 0.0) -> None:
    """All engines break each stream off."""
    for name in list_engines(site):
        site.set_fault(name, {"break_after": BREAK_EVENTS, "stall_s": stall_s})
    time.sleep(BREAKING_S)
    for name in list_engines(site):
        site.set_fault(name, {"break_after": -1, "stall_s": 0.0})


def play_broken_stall(site: sites.Site) -> None:
    """All engines break each stream off, and stall after that."""
    play_broken_off(site, STALL_S)


def play_each_stalls(site: sites.Site) -> None:
    """Each engine breaks off one stream every few seconds, and stalls."""
    names = list_engines(site)
    fault = {"cut_after": BREAK_EVENTS, "stall_s": STALL_S}
    for _ in range(STALL_ROUNDS):
        for name in names:
            site.set_fault(name, fault)
        time.sleep(STALL_PERIOD_S)
    for name in names:
        site.set_fault(name, {"cut_after": -1, "stall_s": 0.0})


def play_some_stall(site: sites.Site) -> None:
    """Engines break off one stream each, two a second, and stall after that."""
    names = list_engines(site)
    end_s = time.monotonic() + BREAKING_S
    for name in itertools.cycle(names):
        if time.monotonic() >= end_s:
            break
        site.set_fault(name, {"cut_after": BREAK_EVENTS, "stall_s": STALL_S})
        time.sleep(0.5)
    for name in names:
        site.set_fault(name, {"cut_after": -1, "stall_s": 0.0})


def _end_engine(site: sites.Site, name: str) -> None:
    process = site.stage.processes[name].popen
    process.terminate()
    process.wait()
    site.leave(name)


HISTORIES: Final[Mapping[str, Callable[[sites.Site], None]]] = {
    "half pause, the others refuse": play_half_pauses,
    "all pause": play_all_pause,
    "half stand still, the others refuse": play_half_stand_still,
    "half are replaced": play_replaced,
    "half exit": play_exit,
    "the service is dropped": play_dropped_service,
    "all break off": play_broken_off,
    "all break off and stall": play_broken_stall,
    "some break off and stall": play_some_stall,
    "each breaks off once and stalls": play_each_stalls,
}


def play(streams: Streams, history: str) -> list[Stream]:
    """Plays a history; returns the streams that ran during it."""
    time.sleep(BEFORE_S)
    began_s = time.monotonic()
    HISTORIES[history](streams.site)
    ended_s = time.monotonic()
    time.sleep(AFTER_S)
    streams.close()
    return [
        s
        for s in streams.streams
        if s.sent_s < ended_s and s.ended_s > began_s and s.status == 200
    ]


def count_engines(site: sites.Site) -> dict[str, int]:
    """Returns on how many engines each request ran, as the engines saw it."""
    ran: dict[str, set[str]] = {}
    for run in site.get_runs():
        names = ran.setdefault(run["Attempt-Id"], set())
        names.add(run["Target-Replica"])
    return {request: len(names) for request, names in ran.items()}


def find_lines(site: sites.Site, request: str) -> list[dict[str, Any]]:
    """Returns the log lines of the hosts that name a request."""
    return [
        fields
        for ip in site.hosts
        for line in list(site.stage.processes[ip].lines)
        if f'"{request}"' in line
        for fields in [json.loads(line[line.index("{") :])]
    ]


def find_ends(site: sites.Site, request: str) -> list[tuple[str, str]]:
    """Returns how a request and its attempts ended, as hosts logged it."""
    return [
        (fields["event"], fields["reason"])
        for fields in find_lines(site, request)
        if fields["event"] in ENDING_EVENTS
    ]


def main() -> int:
    """Entry point."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("history", choices=HISTORIES)
    parser.add_argument("--hosts", type=int, default=8)
    parser.add_argument("--engines", type=int, default=14)
    parser.add_argument("--streams-per-s", type=float, default=8.0)
    parser.add_argument(
        "--over",
        action="store_true",
        help="show the streams that ran on more engines than their route has"
        " attempts, instead of those that were cut",
    )
    args = parser.parse_args()
    streams = start(args.hosts, args.engines, args.streams_per_s)
    try:
        ran = play(streams, args.history)
        cut = [s for s in ran if s.is_cut]
        whole = sum(s.is_whole for s in streams.streams)
        print(f"whole: {whole} of {len(streams.streams)}")
        refused = [s for s in streams.streams if s.status != 200]
        print(f"{args.history}: cut {len(cut)} of {len(ran)}")
        print(f"of all {len(streams.streams)}, without a 200: {len(refused)}")
        counts = count_engines(streams.site)
        ids = {s.id for s in streams.streams}
        spread = collections.Counter(n for i, n in counts.items() if i in ids)
        print(f"streams by the number of engines that ran them: {spread}")
        if args.over:
            cut = [s for s in streams.streams if counts.get(s.id, 0) > 2]
        for stream in cut:
            print(json.dumps(attrs.asdict(stream)))
            for fields in find_lines(streams.site, stream.id):
                print("   ", json.dumps(fields))
    finally:
        streams.site.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
