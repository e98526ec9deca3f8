"""Fault soak: injects faults into a test site and checks all answers.

``python -m tests.soak [--seed N] [--seconds S] [--hosts N]``. Callers send
streams and plain calls to every host while engines, plain replicas, hosts and
the store fail by a seeded plan. These must hold under any fault:

- a stream that ends completely has every event once and in order;
- an answer belongs to its request;
- a non-idempotent request runs at most once, and never if its caller got a
  status that promises so;
- after the faults, every host serves again.

``--fatal`` adds a request, sent every second or so to a random host, that
crashes each engine which starts it. It may reach at most three more engines
later than 3 s after it has crashed the third.

``--asking`` makes upstreams request limits, backoffs and drains;
`tests.asking` defines which requests may still reach them.

``--copies`` also restores the store from older copies of itself.

``--stalls`` adds engines, and has some break off streams and then stand still;
no request may run on more engines that live than its route allows.

``--endless`` has upstreams answer bytes without end; no host may need more
memory than its settings allow.

``--held`` has upstreams read no request for a while, and all of them then.

In soaks with an odd seed, hosts start again with the settings of their first
start.

``--links`` also cuts hosts off from all upstreams (`tests.fakes.partition`).

Prints a JSON line for each finding and one with counts; the exit code is 1 if
there are findings. The same seed gives the same plan of faults; which requests
they affect depends on the machine.
"""

from __future__ import annotations

import argparse
import collections
import contextlib
import json
import math
import pathlib
import random
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Any, Final

import attrs
import urllib3

from tests import asking, fleets, sites, stage, streams
from tests.fakes import replica

EVENTS: Final = 5

# Seconds between two faults, and how long one lasts.
FAULT_INTERVAL_S: Final = (0.4, 1.6)
FAULT_DURATION_S: Final = (0.5, 2.5)

# Number of callers per host, and the paths that they request.
CALLERS: Final = 2
PATHS: Final = ("/notes/x", "/cards/x", "/orders/x")
NON_IDEMPOTENT_PATH: Final = "/orders/x"

# Statuses which guarantee that a request has not run.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})

# Body of a request that crashes engines, the interval between two of them, and
# the interval between two checks for crashed engines, in seconds.
FATAL: Final = '{"prompt": "fatal"}'
FATAL_INTERVAL_S: Final = (0.5, 1.5)
REPLACE_INTERVAL_S: Final = 1.0

# Time from the fatal request that causes the third crash until hosts must
# quarantine it: up to 1 s until the crash, and 3 s until all hosts know of it.
# MAX_LATE_RUNS is the number that may reach engines later.
QUARANTINE_DEADLINE_S: Final = 4.0
MAX_LATE_RUNS: Final = 3

# Longest time until a line that an upstream printed has been read.
RUNS_PRINTED_S: Final = 5.0

# Engines that ``--stalls`` adds.
MORE_ENGINES: Final = 8

# Pauses between two parts of an answer without end, in seconds.
ENDLESS_PAUSES_S: Final = (0.0, 0.01, 0.1)

# Age of the copy from which the store is restored, in seconds.
COPY_BACK_S: Final = 6.0


@attrs.frozen
class Answer:
    """Outcome of a request for its caller."""

    id: str
    path: str
    host: str
    # 0 if the connection ended before the end of the answer.
    status: int
    body: bytes = b""
    # Request id that the answer names.
    echoed: str = ""


@attrs.define
class Soak:
    """A site under faults, with the observed answers."""

    site: sites.Site
    ips: Sequence[str]
    rng: random.Random
    answers: list[Answer] = attrs.Factory(list)
    faults: collections.Counter[str] = attrs.Factory(collections.Counter)
    stopped: threading.Event = attrs.Factory(threading.Event)
    # Targets with a current fault; each has at most one at a time.
    busy: set[str] = attrs.Factory(set)
    starts: int = 0
    # Send time of each fatal request, by its id.
    fatal: dict[str, float] = attrs.Factory(dict)
    # Names of faults that are injected besides; see `EXTRAS`.
    extras: frozenset[str] = frozenset()
    # Host of each request, by its id, and start and end times of the faults of
    # each target.
    request_hosts: dict[str, str] = attrs.Factory(dict)
    fault_times: collections.defaultdict[str, list[float]] = attrs.Factory(
        lambda: collections.defaultdict(list)
    )

    def run_caller(self, number: int) -> None:
        """Sends requests to one host until stopped; runs in a thread."""
        rng = random.Random(number)
        ip = self.ips[number % len(self.ips)]
        count = 0
        while not self.stopped.is_set():
            count += 1
            request_id = f"soak-{number}-{count}"
            self.answers.append(self.ask(request_id, rng.choice(PATHS), ip))
            time.sleep(0.02)

    def ask(self, request_id: str, path: str, ip: str) -> Answer:
        """Sends one request."""
        self.request_hosts[request_id] = ip
        try:
            res = self.site.ask(path, "key-1", ip, **{"Attempt-Id": request_id})
            body = res.read()
        except (urllib3.exceptions.HTTPError, OSError):
            return Answer(request_id, path, ip, 0)
        echoed = res.headers.get("Attempt-Id", "")
        return Answer(request_id, path, ip, res.status, body, echoed)

    def send_fatal(self, seed: int) -> None:
        """Sends the fatal request until stopped; runs in a thread."""
        rng = random.Random(seed)
        while not self.stopped.wait(rng.uniform(*FATAL_INTERVAL_S)):
            name = f"fatal-{len(self.fatal)}"
            self.fatal[name] = time.monotonic()
            body = FATAL.encode()
            fields = {"Attempt-Id": name}
            try:
                self.site.post(
                    PATHS[0], "key-1", rng.choice(self.ips), body, fields
                ).read()
            except (urllib3.exceptions.HTTPError, OSError):
                # The host is failing, or the answer was cut off.
                continue

    def start_fatal(self, seed: int) -> None:
        """Starts to send the fatal request and to replace crashed engines."""
        self.site.crash_on = FATAL
        for name in self._list_victims("engine_"):
            self.site.set_crash(name)
        for work, args in (
            (self.send_fatal, (seed,)),
            (self.replace_crashed, ()),
        ):
            threading.Thread(target=work, args=args, daemon=True).start()

    def replace_crashed(self) -> None:
        """Replaces engines that a request has crashed; runs in a thread."""
        while not self.stopped.wait(REPLACE_INTERVAL_S):
            for name in self._list_victims("engine_"):
                process = self.site.stage.processes[name].popen
                if process.poll() is not None and name not in self.busy:
                    self.busy.add(name)
                    self.replace(name, 0.0, False)
                    self.busy.discard(name)

    def inject_fault(self) -> None:
        """Starts one fault in its own thread, which also ends it."""
        faults = dict(FAULTS)
        for extra in self.extras:
            faults.update(EXTRAS[extra].faults)
        name = self.rng.choice(sorted(faults))
        lasts_s = self.rng.uniform(*FAULT_DURATION_S)
        victims = self._list_victims(name)
        if not victims:
            # All of them are being replaced.
            return
        victim = self.rng.choice(victims)
        if victim in self.busy:
            return
        self.busy.add(victim)
        self.faults[name] += 1

        def run() -> None:
            try:
                self.fault_times[victim].append(time.monotonic())
                faults[name](self, victim, lasts_s)
            except RuntimeError:
                # A request has crashed the target: it does not answer.
                if self.site.stage.processes[victim].popen.poll() is None:
                    raise
            finally:
                self.fault_times[victim].append(time.monotonic())
                self.busy.discard(victim)

        threading.Thread(target=run, daemon=True).start()

    def _list_victims(self, fault: str) -> list[str]:
        kind = fault.partition("_")[0]
        if kind == "store":
            return ["store"]
        if kind == "host":
            return list(self.ips)
        first = "e" if kind == "engine" else "s"
        return sorted(n for n in self.site.entries if n.startswith(first))

    def set_fault(self, name: str, lasts_s: float, **faults: Any) -> None:
        """Sets faults of a stand-in for `lasts_s` seconds."""
        self.site.set_fault(name, faults)
        time.sleep(lasts_s)
        self.site.set_fault(name, {k: FAULTS_OFF[k] for k in faults})

    def cut(self, name: str, lasts_s: float) -> None:
        """Makes an engine cut a stream off; every second time none resumes it.

        The other engines then refuse to resume streams.
        """
        others = []
        if self.faults["engine_cut"] % 2:
            others = [n for n in self.site.entries if n.startswith("e")]
        for other in others:
            self._set_resumed(other, 500)
        self.set_fault(name, lasts_s, cut_after=2)
        for other in others:
            self._set_resumed(other, 200)

    def stall(self, lasts_s: float) -> None:
        """Has each engine break off a stream, and stand still after it."""
        fault = {"cut_after": 2, "stall_s": streams.STALL_S}
        off = {k: FAULTS_OFF[k] for k in fault}
        engines = self._list_victims("engine_")
        for faults in (fault, off):
            for name in engines:
                with contextlib.suppress(RuntimeError):
                    # The engine may have been killed.
                    self.site.set_fault(name, faults)
            time.sleep(lasts_s)

    def _set_resumed(self, name: str, status: int) -> None:
        with contextlib.suppress(RuntimeError):
            # The engine may have been killed.
            self.site.set_fault(name, {"resumed_status": status})

    def hold(self, name: str, lasts_s: float) -> None:
        """Has an upstream read no request for a while, and all of them then."""
        self.site.hold(name, lasts_s)
        time.sleep(lasts_s)

    def send_endless(self, name: str, lasts_s: float) -> None:
        """Has an upstream answer bytes without end, at some speed."""
        # Apart from the plan's draws, which other threads go on with.
        rng = random.Random(f"{name} {lasts_s}")
        kind = rng.choice(sorted(replica.ENDLESS))
        pause_s = rng.choice(ENDLESS_PAUSES_S)
        self.set_fault(name, lasts_s, endless=kind, endless_pause_s=pause_s)

    def copy(self, name: str, lasts_s: float) -> None:
        """Takes the store down and restores it from a copy.

        Upstreams then write their entries again.
        """
        self.set_fault(name, lasts_s, down=True)
        data = {"back_s": COPY_BACK_S, "keep": {"keyed.op": 1}}
        self.site.stage.call("POST", name, "/copy", data)

    def pause(self, name: str, lasts_s: float) -> None:
        """Freezes a process for `lasts_s` seconds."""
        process = self.site.stage.processes[name]
        process.pause()
        time.sleep(lasts_s)
        process.resume()

    def cut_links(self, ip: str, lasts_s: float, how: str) -> None:
        """Cuts a host off from all upstreams."""
        self.site.partition(ip, how)
        time.sleep(lasts_s)
        self.site.partition(ip, "")

    def kill_host(self, ip: str, lasts_s: float) -> None:
        """Kills and restarts a host."""
        self.site.stage.processes[ip].kill()
        time.sleep(lasts_s)
        sites.start_host(self.site, ip)

    def stop_host(self, ip: str, lasts_s: float) -> None:
        """Stops a host with SIGTERM and restarts it."""
        process = self.site.stage.processes[ip]
        process.terminate()
        process.popen.wait()
        sites.start_host(self.site, ip)

    def replace(self, name: str, lasts_s: float, is_drained: bool) -> None:
        """Kills an upstream, after a drain if asked to, and starts another."""
        if is_drained:
            with self.site.entries_lock:
                self.site.entries[name]["state"] = "draining"
            time.sleep(sites.DRAIN_S)
        self.site.stage.processes[name].kill()
        time.sleep(lasts_s)
        self.site.leave(name)
        self.starts += 1
        self.site.start_upstream(f"{name[0]}n{self.starts}")

    def drain_in_answers(self, name: str, lasts_s: float) -> None:
        """Drains an upstream that announces it only in its answers."""
        self.site.set_fault(name, {"leaving": True})
        time.sleep(2 * sites.DRAIN_S)
        self.replace(name, lasts_s, False)

    def find_violations(self) -> list[str]:
        """Returns the violations seen in the soak."""
        self._await_runs()
        runs = self.count_runs()
        found = [f for a in self.answers if (f := check(a, runs[a.id]))]
        for name, process in self.site.stage.processes.items():
            arrivals = asking.read_arrivals(
                list(process.lines), self.request_hosts
            )
            found += asking.find_violations(name, arrivals, self.fault_times)
        if "links" not in self.extras:
            found += self._find_spread()
        found += self._find_large()
        late = count_late(self.fatal, runs)
        if late > MAX_LATE_RUNS:
            found.append(f"what ended three engines reached {late} more")
        return found

    def _find_large(self) -> list[str]:
        """Returns the hosts that have needed too much memory."""
        peaks = {ip: sites.read_peak_kb(self.site, ip) for ip in self.ips}
        return [
            f"{ip} needed {peak} kB"
            for ip, peak in peaks.items()
            if peak > fleets.MEMORY_BYTES / 1000
        ]

    def _find_spread(self) -> list[str]:
        """Returns the requests that ran on more engines than allowed.

        Engines that have ended don't count.
        """
        ran: collections.defaultdict[str, set[str]] = collections.defaultdict(
            set
        )
        for name, process in self.site.stage.processes.items():
            if process.popen.poll() is None:
                for request in list_runs(process):
                    ran[request].add(name)
        return [
            f"{request}: ran on {sorted(names)}"
            for request, names in ran.items()
            if len(names) > sites.MAX_ATTEMPTS
        ]

    def _await_runs(self) -> None:
        """Waits for what upstreams printed of the last answers' runs."""
        answered = {a.id for a in self.answers if a.status == 200}
        with contextlib.suppress(AssertionError):
            stage.wait_until(
                lambda: not answered - set(self.count_runs()),
                RUNS_PRINTED_S,
                "the runs of all answers are printed",
            )

    def count_runs(self) -> collections.Counter[str]:
        """Returns how often each request ran, including on killed upstreams."""
        runs: collections.Counter[str] = collections.Counter()
        for process in self.site.stage.processes.values():
            runs.update(list_runs(process))
        return runs


def list_runs(process: stage.Process) -> list[str]:
    """Returns the request of each run that an upstream printed."""
    return [
        line.split()[1]
        for line in list(process.lines)
        if line.startswith("ran ")
    ]


def check(answer: Answer, runs: int) -> str:
    """Returns the violation in an answer; empty if there is none."""
    request = f"{answer.id} {answer.path} at {answer.host}: "
    if answer.path == NON_IDEMPOTENT_PATH and runs > 1:
        return f"{request}ran {runs} times"
    if (
        answer.path == NON_IDEMPOTENT_PATH
        and answer.status in NOT_RUN_STATUSES
        and runs
    ):
        return f"{request}answered {answer.status}, though it ran"
    if answer.status != 200:
        return ""
    if answer.echoed != answer.id:
        return f"{request}got the answer of {answer.echoed!r}"
    if not runs:
        return f"{request}answered without a run"
    lines = answer.body.decode("utf-8", "replace").split("\n")
    ids = [n[4:] for n in lines if n.startswith("id: ")]
    if answer.path == PATHS[0] and ids != [str(i + 1) for i in range(EVENTS)]:
        return f"{request}whole, but its events are {ids}"
    return ""


def count_late(sent: Mapping[str, float], runs: Mapping[str, int]) -> int:
    """Returns the number of fatal requests that ran when quarantined.

    Args:
        sent: Send times of the fatal requests, by id.
        runs: Number of runs, by id.
    """
    ended = 0
    bound_s = math.inf
    late = 0
    for name, at_s in sorted(sent.items(), key=lambda i: i[1]):
        if at_s > bound_s:
            late += runs.get(name, 0)
        ended += runs.get(name, 0)
        if ended >= 3 and bound_s == math.inf:
            bound_s = at_s + QUARANTINE_DEADLINE_S
    return late


# Values of the faults when off.
FAULTS_OFF: Final[dict[str, Any]] = {
    "down": False,
    "refuse": False,
    "lose": False,
    "cut_after": -1,
    "status": 200,
    "delay_s": 0.0,
    "limit": "",
    "rest_s": "",
    "stall_s": 0.0,
    "endless": "",
    "endless_pause_s": 0.0,
}

Fault = Callable[[Soak, str, float], None]

# By name; the part before the first underscore is the kind of target.
FAULTS: Final[dict[str, Fault]] = {
    "engine_cut": lambda s, n, t: s.cut(n, t),
    "engine_refuse": lambda s, n, t: s.set_fault(n, t, refuse=True),
    "engine_pause": lambda s, n, t: s.pause(n, t),
    "engine_crash": lambda s, n, t: s.replace(n, t, False),
    "engine_leave": lambda s, n, t: s.replace(n, t, True),
    "plain_refuse": lambda s, n, t: s.set_fault(n, t, refuse=True),
    "plain_lose": lambda s, n, t: s.set_fault(n, t, lose=True),
    "plain_fail": lambda s, n, t: s.set_fault(n, t, status=500),
    "plain_slow": lambda s, n, t: s.set_fault(n, t, delay_s=0.8),
    "plain_leave": lambda s, n, t: s.replace(n, t, True),
    "host_kill": lambda s, n, t: s.kill_host(n, t),
    "host_stop": lambda s, n, t: s.stop_host(n, t),
    "host_pause": lambda s, n, t: s.pause(n, t),
    "store_down": lambda s, n, t: s.set_fault(n, t, down=True),
    "store_pause": lambda s, n, t: s.pause(n, t),
}

# Added by ``--asking``. Limits and backoffs last longer than other faults; a
# drain lasts until the end of the upstream's process.
ASKING: Final[dict[str, Fault]] = {
    "engine_limit": lambda s, n, t: s.set_fault(n, 5 * t, limit="1.5"),
    "engine_rest": lambda s, n, t: s.set_fault(n, 3 * t, rest_s="1.5"),
    "plain_limit": lambda s, n, t: s.set_fault(n, 5 * t, limit="2"),
    "plain_limit_low": lambda s, n, t: s.set_fault(n, 5 * t, limit="0.2"),
    "plain_rest": lambda s, n, t: s.set_fault(n, 3 * t, rest_s="1.5"),
    "plain_farewell": lambda s, n, t: s.drain_in_answers(n, t),
}

# Added by ``--links``; longer than other faults, so that hosts that are cut off
# meet faults of those that help them.
LINKS: Final[dict[str, Fault]] = {
    "host_links_silent": lambda s, n, t: s.cut_links(n, 2 * t, "silent"),
    "host_links_reset": lambda s, n, t: s.cut_links(n, 2 * t, "reset"),
    "host_links_kept": lambda s, n, t: s.cut_links(n, 2 * t, "kept"),
}

# Added by ``--stalls``; three times as likely as each of the others. All
# engines take part in one, so one is made at a time, like a fault of the store.
STALLS: Final[dict[str, Fault]] = {
    f"store_engines_stall{i}": lambda s, n, t: s.stall(t) for i in range(3)
}

# Added by ``--endless``; twice as likely at plain replicas.
ENDLESS: Final[dict[str, Fault]] = {
    name: lambda s, n, t: s.send_endless(n, t)
    for name in ("engine_endless", "plain_endless0", "plain_endless1")
}

# Added by ``--copies``; three times as likely as each of the others.
COPIES: Final[dict[str, Fault]] = {
    f"store_copy{i}": lambda s, n, t: s.copy(n, t) for i in range(3)
}

# Added by ``--held``; longer than other faults, so that hosts end requests that
# are read later. Twice as likely at plain replicas.
HELD: Final[dict[str, Fault]] = {
    name: lambda s, n, t: s.hold(n, 3 * t)
    for name in ("engine_held", "plain_held0", "plain_held1")
}


@attrs.frozen
class Extra:
    """Faults that a soak injects besides those of all soaks."""

    faults: Mapping[str, Fault]
    # For the command line.
    help: str


EXTRAS: Final[Mapping[str, Extra]] = {
    "copies": Extra(COPIES, "have the store come from copies"),
    "asking": Extra(ASKING, "have upstreams ask for less"),
    "links": Extra(LINKS, "cut hosts off from upstreams"),
    "stalls": Extra(STALLS, "have engines stand still"),
    "endless": Extra(ENDLESS, "have upstreams answer no end"),
    "held": Extra(HELD, "have upstreams read nothing for a while"),
}


def run(
    seed: int,
    seconds: float,
    hosts: int,
    has_fatal: bool = False,
    extras: Collection[str] = (),
    shares_address: bool = False,
) -> tuple[Soak, list[str]]:
    """Runs a soak; returns its record and the violations.

    Args:
        seed: Of the faults.
        seconds: For which faults are injected.
        hosts: Number of hosts.
        has_fatal: Whether to send a request that crashes engines.
        extras: Names of more faults, of `EXTRAS`.
        shares_address: Whether hosts are told apart by their ports alone.
    """
    site = sites.start_site(hosts, shares_address=shares_address)
    site.keeps_settings = seed % 2 == 1
    if "stalls" in extras:
        # Three hold each layer, so that a request may reach a third one.
        for number in range(MORE_ENGINES):
            site.start_upstream(f"em{number}")
    rng = random.Random(seed)
    soak = Soak(site, site.hosts[:hosts], rng, extras=frozenset(extras))
    if has_fatal:
        soak.start_fatal(seed)
    callers = [
        threading.Thread(target=soak.run_caller, args=(i,), daemon=True)
        for i in range(CALLERS * hosts)
    ]
    try:
        for caller in callers:
            caller.start()
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            time.sleep(soak.rng.uniform(*FAULT_INTERVAL_S))
            soak.inject_fault()
        stage.wait_until(lambda: not soak.busy, 60.0, "all faults are over")
        soak.stopped.set()
        for caller in callers:
            caller.join(20.0)
        found = soak.find_violations()
        for ip in soak.ips:
            try:
                sites.wait_serving(site, ip)
            except AssertionError as exc:
                found.append(f"after the faults: {exc}")
        if found:
            found.append(f"logs of the hosts: {keep_logs(site)}")
        return soak, found
    finally:
        soak.stopped.set()
        site.close()


def keep_logs(site: sites.Site) -> pathlib.Path:
    """Writes what the hosts logged to files; returns their folder."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="egretspur-soak-"))
    for ip in site.hosts:
        lines = list(site.stage.processes[ip].lines)
        (folder / f"{ip}.log").write_text("".join(lines), "utf-8")
    return folder


def main(argv: Sequence[str] | None = None) -> int:
    """Entry point."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=7, help="of the faults")
    parser.add_argument("--seconds", type=float, default=60.0, help="of faults")
    parser.add_argument("--hosts", type=int, default=3, help="hosts")
    parser.add_argument(
        "--fatal", action="store_true", help="send a request that ends engines"
    )
    parser.add_argument(
        "--one-address",
        action="store_true",
        help="hosts are told apart by their ports alone",
    )
    for name, extra in EXTRAS.items():
        parser.add_argument(f"--{name}", action="store_true", help=extra.help)
    args = parser.parse_args(argv)
    soak, found = run(
        args.seed,
        args.seconds,
        args.hosts,
        args.fatal,
        [name for name in EXTRAS if getattr(args, name)],
        args.one_address,
    )
    for finding in found:
        print(json.dumps({"finding": finding}))
    statuses = collections.Counter(a.status for a in soak.answers)
    counts = {
        "seed": args.seed,
        "findings": len(found),
        "statuses": dict(sorted(statuses.items())),
        "faults": dict(sorted(soak.faults.items())),
        "fatal": len(soak.fatal),
        "ended": sum(soak.count_runs()[i] for i in soak.fatal),
    }
    print(json.dumps(counts))
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
