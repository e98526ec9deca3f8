"""Requests whose attempts fail, while hosts stop, are killed and start again.

``python -m tests.retrying HISTORY`` plays one history on a site of processes
and prints how much of the retry budget the worst window took, as the upstreams
counted it, and how many requests broke the other limits on retries. The
scenarios of `tests/daemons/retrying.feature` play small ones.
"""

from __future__ import annotations

import argparse
import collections
import itertools
import json
import pathlib
import sys
import time
from typing import Any, Final

import attrs
import urllib3

from tests import histories, retry_oracle, sites, stage
from tests.admission import sharing

# Upstreams that may run a request.
MAX_ATTEMPTS: Final = 4

# Seconds before upstreams fail, and after a history.
FAILING_S: Final = 8.0
AFTER_S: Final = 5.0

# Memory of an engine that holds all layers, in MB.
SINGLE_ENGINE_MB: Final = 2.0 * 1000.0 * sites.LAYERS

# Data centres without upstreams.
FAR: Final = ("pg-hall", "cj-hall")

# How long a caller waits, in s.
TIMEOUTS_S: Final = 9.0


@attrs.define
class Request:
    """One request, sent once."""

    id: str
    service: str
    sent_s: float
    # 0 if there was no answer.
    status: int = 0


@attrs.define
class Callers:
    """Callers that send requests at a given rate, to all hosts in turn."""

    site: sites.Site
    per_s: float
    # How long a caller waits, in seconds; of a stream if that differs.
    patience_s: float = TIMEOUTS_S
    stream_patience_s: float | None = None
    # Streams for each plain request; None for half a one.
    streams_per_plain: int | None = None
    # Path of plain requests, which tells whether they may run twice.
    plain_path: str = "/cards/x"
    requests: list[Request] = attrs.Factory(list)
    threads: stage.CallerThreads = attrs.Factory(stage.CallerThreads)

    def start(self) -> None:
        """Starts to send."""
        self.threads.start(self._send)

    def close(self) -> None:
        """Stops sending and waits for the answers."""
        self.threads.close()

    def _send(self) -> None:
        due_s = time.monotonic()
        for number in itertools.count():
            left_s = due_s - time.monotonic()
            due_s += 1.0 / (self.per_s * self.site.load)
            if self.threads.stopped.wait(max(0.0, left_s)):
                return
            service, turn = self._choose(number)
            host = self.site.hosts[turn % len(self.site.hosts)]
            request = Request(f"r{number}", service, time.monotonic())
            self.requests.append(request)
            self.threads.start(self._run, request, host)

    def _choose(self, number: int) -> tuple[str, int]:
        """Returns the service of a request, and whose turn it is.

        Each host gets requests of both services.
        """
        if self.streams_per_plain is None:
            return ("llm" if number % 3 == 2 else "desk"), number // 3
        period = self.streams_per_plain + 1
        return ("llm" if number % period else "desk"), number // period

    def _run(self, request: Request, host: str) -> None:
        patience_s = self.patience_s
        if request.service == "llm" and self.stream_patience_s is not None:
            patience_s = self.stream_patience_s
        # No pool: a connection that was cut must not be shared.
        pool = urllib3.PoolManager(retries=False, timeout=patience_s)
        path = "/notes/x" if request.service == "llm" else self.plain_path
        url = f"http://{self.site.get_address(host, 'frontend')}{path}"
        own = {
            "Attempt-Id": request.id,
            "Deadline-Ms": str(int(patience_s * 1000)),
        }
        fields = sites.make_fields("key-1", **own)
        try:
            res = pool.request("POST", url, body=b"{}", headers=fields)
            request.status = res.status
        except (urllib3.exceptions.HTTPError, OSError):
            # No whole answer, as it is recorded.
            pass
        finally:
            pool.clear()


@attrs.define
class Play:
    """A site whose upstreams reset most requests, and its callers."""

    site: sites.Site
    callers: Callers
    allowance: float
    max_attempts: int = MAX_ATTEMPTS
    began_s: float = 0.0

    def close(self) -> None:
        """Stops all processes."""
        self.callers.threads.stopped.set()
        self.site.close()

    def run(self, history: str) -> dict[str, sharing.Window]:
        """Plays a history; returns the worst window of each service."""
        self.began_s = time.monotonic()
        self.callers.start()
        time.sleep(FAILING_S)
        histories.HISTORIES[history](self.site)
        time.sleep(AFTER_S)
        self.callers.close()
        return {s: self.find_worst(s) for s in ("desk", "llm")}

    def find_worst(self, service: str) -> sharing.Window:
        """Returns the worst window of a service."""
        sent = {
            r.id: r.sent_s
            for r in self.callers.requests
            if r.service == service
        }
        retry_times = retry_oracle.list_retry_times(
            self.list_arrivals(service), sent
        )
        return sharing.find_worst_window(
            retry_times, sorted(sent.values()), self.allowance
        )

    def list_arrivals(self, service: str) -> list[retry_oracle.Arrival]:
        """Returns what a service's upstreams got, from earliest to latest."""
        found = [
            retry_oracle.Arrival(request, at_s, name, left_ms / 1000.0)
            for name, entry in self.site.entries.items()
            if entry["service"] == service
            for request, at_s, left_ms in self.site.stage.call(
                "GET", name, "/arrivals"
            )
        ]
        return sorted(found, key=lambda a: a.at_s)

    def count_over_limit(self) -> int:
        """Returns how many requests reached more upstreams than allowed."""
        return retry_oracle.count_over_limit(
            self._list_all_arrivals(),
            {r.id for r in self.callers.requests},
            self.max_attempts,
        )

    def count_long_deadlines(self) -> int:
        """Returns how many attempts were handed more time than was left."""
        sent = {r.id: r.sent_s for r in self.callers.requests}
        first_end_s: dict[str, float] = {}
        count = 0
        for arrival in self._list_all_arrivals():
            if arrival.request not in sent:
                continue
            end_s = arrival.at_s + arrival.left_s
            first_s = first_end_s.setdefault(arrival.request, end_s)
            patience_s = self.callers.patience_s
            own_s = sent[arrival.request] + patience_s
            is_longer = arrival.left_s > patience_s + retry_oracle.SLACK_S
            is_later = end_s > max(first_s, own_s) + retry_oracle.SLACK_S
            count += is_longer or is_later or arrival.left_s < 0.0
        return count

    def count_late_retries(self) -> retry_oracle.LateRetries:
        """Returns how many plain retries were read late, or too long."""
        sent = {r.id: r.sent_s for r in self.callers.requests}
        return retry_oracle.count(
            self.list_arrivals("desk"), sent, self.callers.patience_s
        )

    def count_cut_retries(self) -> retry_oracle.CutRetries:
        """Returns how many plain retries ended with the time they had."""
        sent = {r.id: r.sent_s for r in self.callers.requests}
        timed_out = [
            (request, read_s)
            for name, entry in self.site.entries.items()
            if entry["service"] == "desk"
            for request, read_s in self.site.stage.call(
                "GET", name, "/timed-out"
            )
        ]
        return retry_oracle.count_cut(
            self.list_arrivals("desk"),
            timed_out,
            sent,
            self.callers.patience_s,
        )

    def _list_all_arrivals(self) -> list[retry_oracle.Arrival]:
        found = self.list_arrivals("desk") + self.list_arrivals("llm")
        return sorted(found, key=lambda a: a.at_s)


def start(
    hosts: int,
    upstreams: int,
    per_s: float,
    allowance: float,
    keeps_settings: bool = False,
    seed: int = 0,
    patience_s: float = TIMEOUTS_S,
    tree: pathlib.Path | None = None,
    far: int = 0,
    engine_mb: float = sites.ENGINE_MB,
    max_attempts: int = MAX_ATTEMPTS,
    replicas: int | None = None,
    shares_address: bool = False,
) -> Play:
    """Starts a site and waits until its hosts serve.

    Args:
        hosts: Number of hosts.
        upstreams: Number of engines, and of plain replicas if not given.
        per_s: Requests a second, two plain ones for each stream.
        allowance: Retries in a window in addition to those of the requests.
        keeps_settings: Whether a host starts again with the settings of its
            first start.
        seed: Draws random signals.
        patience_s: How long a caller waits.
        tree: Checkout whose hosts are played; this one if None.
        far: Hosts that are in two other data centres than the upstreams.
        engine_mb: Memory of an engine.
        max_attempts: Upstreams that may run a request.
        replicas: Number of plain replicas.
        shares_address: Whether hosts are told apart by their ports alone.
    """
    site = sites.start_site(
        hosts,
        [FAR[i % len(FAR)] for i in range(far)],
        tree=tree,
        shares_address=shares_address,
        retry_budget_ratio=sharing.RATIO,
        retry_allowance=allowance,
        budget_window_s=sharing.WINDOW_S,
    )
    site.keeps_settings = keeps_settings
    site.seed = seed
    site.write(
        "keyed.op",
        "config",
        sites.make_config(
            ["key-1"],
            3,
            max_attempts,
            engine_mb,
            max(patience_s, sites.TIMEOUT_S),
        ),
    )
    for number in range(4, upstreams):
        site.start_upstream(f"e{number}")
    for number in range(6, 4 + (replicas or upstreams)):
        site.start_upstream(f"s{number}")
    stage.wait_until(
        lambda: all(
            e["layer_count"]
            for e in site.entries.values()
            if e["service"] == "llm"
        ),
        30.0,
        "all engines hold layers",
    )
    callers = Callers(site, per_s, patience_s)
    return Play(site, callers, allowance, max_attempts)


def main() -> int:
    """Entry point."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("history", choices=histories.HISTORIES)
    parser.add_argument("--hosts", type=int, default=8)
    parser.add_argument("--upstreams", type=int, default=8)
    parser.add_argument("--replicas", type=int, help="plain ones")
    parser.add_argument("--per-s", type=float, default=90.0)
    parser.add_argument("--allowance", type=float, default=30.0)
    parser.add_argument(
        "--kept-settings",
        action="store_true",
        help="start hosts again with the settings of their first start",
    )
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--timeouts-s", type=float, default=TIMEOUTS_S)
    parser.add_argument("--stream-timeouts-s", type=float)
    parser.add_argument("--streams-per-plain", type=int)
    parser.add_argument(
        "--once",
        action="store_true",
        help="plain requests may not run twice",
    )
    parser.add_argument(
        "--single-engines",
        action="store_true",
        help="each engine has memory for all layers",
    )
    parser.add_argument(
        "--far", type=int, default=0, help="hosts in other data centres"
    )
    parser.add_argument(
        "--max-attempts",
        type=int,
        default=MAX_ATTEMPTS,
        help="upstreams that may run a request",
    )
    parser.add_argument(
        "--tree", type=pathlib.Path, help="checkout whose hosts are played"
    )
    parser.add_argument(
        "--one-address",
        action="store_true",
        help="hosts are told apart by their ports alone",
    )
    parser.add_argument("--dump", help="file for arrivals, requests and logs")
    args = parser.parse_args()
    play = start(
        args.hosts,
        args.upstreams,
        args.per_s,
        args.allowance,
        args.kept_settings,
        args.seed,
        args.patience_s,
        args.tree,
        args.far,
        SINGLE_ENGINE_MB if args.single_engines else sites.ENGINE_MB,
        args.max_attempts,
        args.replicas,
        args.one_address,
    )
    play.callers.stream_patience_s = args.stream_patience_s
    play.callers.streams_per_plain = args.streams_per_plain
    if args.once:
        play.callers.plain_path = "/orders/x"
    try:
        for service, window in play.run(args.history).items():
            print(
                f"{args.history}: {service}: {window.sent} of"
                f" {window.allowed:.0f} ({window.use:.2f}) from"
                f" {window.start_s - play.began_s:.1f} s"
            )
        for service in ("desk", "llm"):
            statuses = collections.Counter(
                r.status for r in play.callers.requests if r.service == service
            )
            print(f"statuses of {service}: {dict(statuses)}")
        late = play.count_late_retries()
        print(
            f"on more upstreams than allowed: {play.count_over_limit()};"
            f" attempts with too much time: {play.count_long_deadlines()};"
            f" of {late.late} late plain retries: {late.long}"
        )
        cut = play.count_cut_retries()
        print(f"of {cut.retries} plain retries ended too early: {cut.cut}")
        if args.dump:
            dump(play, args.dump)
    finally:
        play.close()
    return 0


def dump(play: Play, path: str) -> None:
    """Writes what a play left, for a closer look."""
    data: dict[str, Any] = {
        "began_s": play.began_s,
        "arrivals": {
            s: [(a.request, a.at_s) for a in play.list_arrivals(s)]
            for s in ("desk", "llm")
        },
        "requests": [attrs.asdict(r) for r in play.callers.requests],
        "logs": [
            (p.name, list(p.lines))
            for p in (
                *play.site.stage.ended,
                *(play.site.stage.processes[ip] for ip in play.site.hosts),
            )
        ],
    }
    with open(path, "w", encoding="utf-8") as file:
        json.dump(data, file)


if __name__ == "__main__":
    sys.exit(main())
