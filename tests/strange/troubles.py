"""Troubles of hosts, of the store and of the network, drawn by a seed."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable, Sequence
from typing import Final, Protocol

from tests.fakes import strangestore
from tests.strange import judge, site

# Ways in which hosts are turned away.
WAYS: Final = (strangestore.SILENT, strangestore.RESET, "503", "429")

# Hosts that no trouble touches at any time, at least.
MIN_CALM: Final = 2

# Shortest and longest time between the beginnings of two troubles, in seconds.
PAUSE_S: Final = (0.5, 4.0)

# Period in which a host that runs slowly runs once, in seconds.
SLOW_PERIOD_S: Final = 0.1


class Play(Protocol):
    """What troubles need of a play."""

    site: site.StrangeSite
    troubles: list[judge.Trouble]
    ended: threading.Event

    def write_version(self) -> None:
        """Writes the next version, and waits for its acknowledgement."""


class Troubles:
    """Makes troubles, some of them at the same time."""

    def __init__(
        self,
        play: Play,
        rng: random.Random,
        kinds: Sequence[str] = (),
        pause_s: tuple[float, float] = PAUSE_S,
    ) -> None:
        """Makes an object that has made no trouble.

        Args:
            play: The play.
            rng: Draws what happens.
            kinds: Troubles to draw from; all but optional ones if empty.
            pause_s: Shortest and longest time between two, in seconds.
        """
        self._play = play
        self._site = play.site
        self._rng = rng
        self._lock = threading.Lock()
        self._touched: set[str] = set()
        self._is_store_free = True
        self._makers: dict[str, Callable[[], None]] = {
            "stop": self.stop,
            "stop-after-version": self.stop_after_version,
            "herd": self.kill_herd,
            "all": self.kill_all,
            "term": self.terminate_in_turn,
            "away": self.turn_away,
            "readers-stop": self.stop_readers,
            "readers-killed": self.kill_readers,
            "readers-away": self.turn_readers_away,
            "readers-blink": self.blink_readers,
            "readers-silence": self.silence_readers,
            "cut": self.cut_off,
            "crawl": self.slow_hosts,
            "readers-crawl": self.slow_readers,
            "mute": self.lose_datagrams,
            "trim": self.drop_history,
            "hush": self.hush,
            "slow": self.slow_store,
            "lossy": self.lose_answers,
            "down": self.take_store_down,
            "deaf": self.deafen_waits,
            "deal": self.deal,
        }
        self._optional: dict[str, Callable[[], None]] = {
            "stale": self.show_old_pages
        }
        self._kinds = list(kinds) or list(self._makers)
        self._pause_s = pause_s
        self._makers.update(self._optional)

    def run(self) -> None:
        """Makes troubles until the play ends."""
        threads = []
        while not self._play.ended.wait(self._rng.uniform(*self._pause_s)):
            maker = self._makers[self._rng.choice(self._kinds)]
            thread = threading.Thread(target=maker)
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def _wait(self, seconds: float) -> None:
        time.sleep(seconds)

    def _draw_hosts(self, low: int, high: int) -> list[str]:
        """Returns hosts that no other trouble has; none if too few are."""
        with self._lock:
            free = [h for h in self._site.addresses if h not in self._touched]
            count = min(self._rng.randint(low, high), len(free) - MIN_CALM)
            found = self._rng.sample(free, max(0, count))
            self._touched.update(found)
        return found

    def _begin(self, kind: str, hosts: Sequence[str] = ()) -> judge.Trouble:
        trouble = judge.Trouble(kind, tuple(hosts), time.monotonic())
        self._play.troubles.append(trouble)
        return trouble

    def _end(self, trouble: judge.Trouble) -> None:
        trouble.ended_s = time.monotonic()
        with self._lock:
            self._touched.difference_update(trouble.hosts)

    def _take_store(self) -> bool:
        """Returns whether the store has no other trouble as a whole."""
        with self._lock:
            is_free, self._is_store_free = self._is_store_free, False
        return is_free

    def _free_store(self, trouble: judge.Trouble) -> None:
        self._end(trouble)
        self._is_store_free = True

    def stop(self, kind: str = "stop") -> None:
        """Has hosts stand still for a while."""
        hosts = self._draw_hosts(1, 4)
        if not hosts:
            return
        trouble = self._begin(kind, hosts)
        for ip in hosts:
            self._site.stage.processes[ip].pause()
        self._wait(self._rng.uniform(1.0, 6.0))
        for ip in hosts:
            self._site.stage.processes[ip].resume()
        self._end(trouble)

    def stop_after_version(self) -> None:
        """Has hosts stand still just after a version, and writes another."""
        self._play.write_version()
        self._wait(self._rng.uniform(0.0, 0.6))
        thread = threading.Thread(target=self.stop, args=("stop-after",))
        thread.start()
        self._wait(self._rng.uniform(0.2, 2.0))
        self._play.write_version()
        thread.join()

    def _take_readers(self) -> list[str]:
        """Returns the hosts that wait for a version, if free."""
        readers = self._site.list_readers()
        with self._lock:
            free = len(self._site.addresses) - len(self._touched)
            found = [h for h in readers if h not in self._touched]
            found = found[: max(0, free - MIN_CALM)]
            self._touched.update(found)
        return found

    def stop_readers(self) -> None:
        """Has the hosts stand still that wait for a version."""
        hosts = self._take_readers()
        if not hosts:
            return
        trouble = self._begin("readers-stop", hosts)
        for ip in hosts:
            self._site.stage.processes[ip].pause()
        self._write_some(self._rng.uniform(1.0, 6.0))
        for ip in hosts:
            self._site.stage.processes[ip].resume()
        self._end(trouble)

    def kill_readers(self) -> None:
        """Kills the hosts that wait for a version, and writes one."""
        hosts = self._take_readers()
        thread = threading.Thread(
            target=self._kill, args=("readers-killed", hosts)
        )
        thread.start()
        self._wait(self._rng.uniform(0.0, 0.3))
        self._play.write_version()
        thread.join()

    def turn_readers_away(self) -> None:
        """Turns the hosts away that wait for a version."""
        self._turn_away("readers-away", self._take_readers())

    def silence_readers(self) -> None:
        """Answers hosts nothing for some seconds that wait for a version."""
        self.blink_readers("readers-silence", self._rng.uniform(1.0, 4.0))

    def blink_readers(
        self, kind: str = "readers-blink", for_s: float = 0.0
    ) -> None:
        """Loses what hosts are answered that wait for a version, for a moment.

        The version before it has them begin their waits at about the same time.
        """
        self._play.write_version()
        self._wait(self._rng.uniform(0.02, 0.2))
        hosts = self._take_readers()
        if not hosts:
            return
        trouble = self._begin(kind, hosts)
        self._site.set_doors(hosts, strangestore.SILENT)
        left_s = for_s or self._rng.uniform(0.1, 0.6)
        first_s = self._rng.uniform(0.0, min(left_s, 0.6))
        self._wait(first_s)
        self._play.write_version()
        self._wait(left_s - first_s)
        self._site.set_doors(hosts, strangestore.PASS)
        self._end(trouble)
        self._wait(judge.CONTACT_S)

    def _write_some(self, for_s: float) -> None:
        """Writes versions for a while: at once, within it, and at its end."""
        first_s = self._rng.uniform(0.0, 0.6)
        then_s = (for_s - first_s) * self._rng.uniform(0.2, 0.8)
        for wait_s in (first_s, then_s, for_s - first_s - then_s):
            self._wait(wait_s)
            self._play.write_version()

    def kill_herd(self) -> None:
        """Kills some hosts and starts them again."""
        self._kill("herd", self._draw_hosts(1, 5))

    def kill_all(self) -> None:
        """Kills all hosts that no other trouble has."""
        with self._lock:
            hosts = [h for h in self._site.addresses if h not in self._touched]
            self._touched.update(hosts)
        self._kill("all", hosts)

    def _kill(self, kind: str, hosts: Sequence[str]) -> None:
        if not hosts:
            return
        trouble = self._begin(kind, hosts)
        for ip in hosts:
            self._site.stage.processes[ip].kill()
        self._wait(self._rng.uniform(0.2, 1.5))
        for ip in hosts:
            self._site.start_boot(ip)
        self._end(trouble)

    def terminate_in_turn(self) -> None:
        """Ends some hosts with SIGTERM, one after the other."""
        for ip in self._draw_hosts(1, 3):
            trouble = self._begin("term", [ip])
            process = self._site.stage.processes[ip]
            process.terminate()
            process.popen.wait()
            self._site.start_boot(ip)
            self._end(trouble)

    def turn_away(self) -> None:
        """Has the store turn three hosts away, and writes versions."""
        self._turn_away("away", self._draw_hosts(3, 3))

    def _turn_away(self, kind: str, hosts: Sequence[str]) -> None:
        if not hosts:
            return
        way = self._rng.choice(WAYS)
        trouble = self._begin(f"{kind}-{way}", hosts)
        self._site.set_doors(hosts, way)
        self._write_some(self._rng.uniform(5.0, 9.0))
        self._site.set_doors(hosts, strangestore.PASS)
        self._end(trouble)

    def lose_datagrams(self) -> None:
        """Loses all datagrams of some hosts."""
        hosts = self._draw_hosts(1, 3)
        if not hosts:
            return
        trouble = self._begin("mute", hosts)
        self._site.cut(hosts, True, False)
        self._wait(self._rng.uniform(2.0, 7.0))
        self._site.cut(hosts, False, False)
        self._end(trouble)

    def cut_off(self) -> None:
        """Cuts some hosts off from other hosts and the store."""
        hosts = self._draw_hosts(1, 4)
        if not hosts:
            return
        self._play.write_version()
        self._wait(self._rng.uniform(0.0, 0.4))
        trouble = self._begin("cut", hosts)
        self._site.cut(hosts, True, True)
        self._site.set_doors(hosts, strangestore.SILENT)
        self._write_some(self._rng.uniform(1.0, 6.0))
        self._site.set_doors(hosts, strangestore.PASS)
        self._site.cut(hosts, False, True)
        self._end(trouble)

    def slow_readers(self) -> None:
        """Has the hosts run slowly that wait for a version."""
        self._slow("readers-crawl", self._take_readers())

    def slow_hosts(self) -> None:
        """Has hosts run slowly."""
        self._slow("crawl", self._draw_hosts(1, 4))

    def _slow(self, kind: str, hosts: Sequence[str]) -> None:
        """Stops hosts most of the time."""
        if not hosts:
            return
        run_s = self._rng.uniform(0.002, 0.03)
        trouble = self._begin(kind, hosts)
        processes = [self._site.stage.processes[ip] for ip in hosts]
        writer = threading.Thread(
            target=self._write_some, args=(self._rng.uniform(2.0, 7.0),)
        )
        writer.start()
        while writer.is_alive():
            for process in processes:
                process.pause()
            self._wait(SLOW_PERIOD_S - run_s)
            for process in processes:
                process.resume()
            self._wait(run_s)
        self._end(trouble)

    def drop_history(self) -> None:
        """Drops the history of all topics around a version."""
        trouble = self._begin("trim")
        trouble.is_binding = False
        self._site.set_faults(events=["trim"])
        self._play.write_version()
        self._site.set_faults(events=["trim"])
        self._end(trouble)

    def deal(self) -> None:
        """Distributes the partitions of all groups anew."""
        trouble = self._begin("deal")
        trouble.is_binding = False
        self._site.set_faults(events=["deal"])
        self._end(trouble)

    def hush(self) -> None:
        """Silences all open connections to the store."""
        if not self._take_store():
            return
        trouble = self._begin("hush")
        self._site.set_faults(events=["hush"])
        self._free_store(trouble)

    def slow_store(self) -> None:
        """Has the store answer slowly."""
        self._disturb("slow", delay_s=0.2)

    def lose_answers(self) -> None:
        """Has the store lose answers."""
        self._disturb("lossy", lose=0.3)

    def take_store_down(self) -> None:
        """Takes the store down."""
        way = self._rng.choice(
            (strangestore.SILENT, strangestore.RESET, strangestore.REFUSED)
        )
        self._disturb(f"down-{way}", store=way)

    def _disturb(self, kind: str, **faults: object) -> None:
        """Disturbs the store as a whole for a while."""
        if not self._take_store():
            return
        trouble = self._begin(kind)
        self._site.set_faults(**faults)
        self._wait(self._rng.uniform(1.0, 5.0))
        calm = {"delay_s": 0.0, "lose": 0.0, "store": strangestore.PASS}
        self._site.set_faults(**calm)
        self._free_store(trouble)

    def deafen_waits(self) -> None:
        """Has waits hear nothing for a second, and drops what they missed."""
        if not self._take_store():
            return
        trouble = self._begin("deaf")
        self._site.set_faults(deaf=True)
        for _ in range(3):
            self._wait(0.3)
            self._play.write_version()
        self._site.set_faults(deaf=False, events=["trim", "cut"])
        self._free_store(trouble)

    def show_old_pages(self) -> None:
        """Has pages be older than their end, after a version was missed."""
        trouble = self._begin("stale")
        trouble.is_binding = False
        self._site.set_faults(deaf=True)
        self._play.write_version()
        self._site.set_faults(deaf=False, stale_s=2.0, events=["trim", "cut"])
        self._wait(self._rng.uniform(1.0, 3.0))
        self._site.set_faults(stale_s=0.0)
        self._end(trouble)
