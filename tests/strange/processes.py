"""Troubles of the hosts' processes: stopped, slow, killed, ended."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from tests.strange import ledger

# Period in which a host that runs slowly runs once, and how long it runs then,
# in seconds.
SLOW_PERIOD_S: Final = 0.1
SLOW_RUN_S: Final = (0.002, 0.03)

# Between SIGKILL and the next start, in seconds.
DEAD_S: Final = (0.2, 1.5)


class ProcessTroubles:
    """Makes troubles of the hosts' processes."""

    def __init__(self, own: ledger.Ledger) -> None:
        self._own = own
        self._site = own.site

    def list_makers(self) -> Mapping[str, Callable[[], None]]:
        """Returns the troubles, by kind."""
        own = self._own
        return {
            "stop": lambda: self._stop("stop", own.draw_hosts(1, 4)),
            "stop-after-version": self._stop_after_version,
            "crawl": lambda: self._slow("crawl", own.draw_hosts(1, 4)),
            "herd": lambda: self._kill("herd", own.draw_hosts(1, 5)),
            "all": lambda: self._kill("all", own.take_all()),
            "term": self._terminate_in_turn,
            "readers-stop": self._stop_readers,
            "readers-crawl": lambda: self._slow(
                "readers-crawl", own.take_readers()
            ),
            "readers-killed": self._kill_readers,
        }

    def _stop(self, kind: str, hosts: Sequence[str]) -> None:
        """Has hosts stand still for a while."""
        if not hosts:
            return
        trouble = self._own.begin(kind, hosts)
        for ip in hosts:
            self._site.stage.processes[ip].pause()
        self._own.wait(1.0, 6.0)
        for ip in hosts:
            self._site.stage.processes[ip].resume()
        self._own.end(trouble)

    def _stop_after_version(self) -> None:
        """Has hosts stand still just after a version, and writes another."""
        self._own.play.write_version()
        self._own.wait(0.0, 0.6)
        thread = threading.Thread(
            target=self._stop,
            args=("stop-after-version", self._own.draw_hosts(1, 4)),
        )
        thread.start()
        self._own.wait(0.2, 2.0)
        self._own.play.write_version()
        thread.join()

    def _stop_readers(self) -> None:
        """Has hosts stand still that wait for a version, and writes some."""
        thread = threading.Thread(
            target=self._stop, args=("readers-stop", self._own.take_readers())
        )
        thread.start()
        self._own.write_some(self._own.rng.uniform(1.0, 6.0))
        thread.join()

    def _slow(self, kind: str, hosts: Sequence[str]) -> None:
        """Stops hosts most of the time, and writes versions."""
        if not hosts:
            return
        run_s = self._own.rng.uniform(*SLOW_RUN_S)
        trouble = self._own.begin(kind, hosts)
        processes = [self._site.stage.processes[ip] for ip in hosts]
        writer = threading.Thread(
            target=self._own.write_some, args=(self._own.rng.uniform(2.0, 7.0),)
        )
        writer.start()
        while writer.is_alive():
            for process in processes:
                process.pause()
            time.sleep(SLOW_PERIOD_S - run_s)
            for process in processes:
                process.resume()
            time.sleep(run_s)
        self._own.end(trouble)

    def _kill(self, kind: str, hosts: Sequence[str]) -> None:
        """Kills hosts and starts them again."""
        if not hosts:
            return
        trouble = self._own.begin(kind, hosts)
        for ip in hosts:
            self._site.stage.processes[ip].kill()
        self._own.wait(*DEAD_S)
        for ip in hosts:
            self._site.start_boot(ip)
        self._own.end(trouble)

    def _kill_readers(self) -> None:
        """Kills the hosts that wait for a version, and writes one."""
        thread = threading.Thread(
            target=self._kill, args=("readers-killed", self._own.take_readers())
        )
        thread.start()
        self._own.wait(0.0, 0.3)
        self._own.play.write_version()
        thread.join()

    def _terminate_in_turn(self) -> None:
        """Ends some hosts with SIGTERM, one after the other."""
        for ip in self._own.draw_hosts(1, 3):
            trouble = self._own.begin("term", [ip])
            process = self._site.stage.processes[ip]
            process.terminate()
            process.popen.wait()
            self._site.start_boot(ip)
            self._own.end(trouble)
