"""One play: versions, troubles, and requests to every host, all at once."""

from __future__ import annotations

import collections
import http.client
import math
import pathlib
import random
import threading
import time
from collections.abc import Sequence
from typing import Final

import attrs

from egretspur.platform import names
from tests.strange import judge, site, troubles, versions

# Time between two requests to a host, and the longest wait for an answer.
ASK_PERIOD_S: Final = 0.1
ASK_TIMEOUT_S: Final = 2.0

# Newest versions that are asked for.
ASKED_VERSIONS: Final = 4

# Between single versions, and in a storm, in seconds.
SINGLE_S: Final = (2.5, 5.0)
STORM_S: Final = 0.1
STORM_VERSIONS: Final = 10
STORM_SHARE: Final = 0.15

# Statuses that show which version is in force.
SHOWING: Final = (401, 404)


class Play:
    """A play on real processes."""

    def __init__(
        self,
        seed: int,
        kinds: Sequence[str] = (),
        tree: pathlib.Path | None = None,
        pause_s: tuple[float, float] = troubles.PAUSE_S,
    ) -> None:
        """Starts the processes.

        Args:
            seed: Draws versions, troubles and requests.
            kinds: Troubles to draw from; see `tests.strange.troubles`.
            tree: Checkout whose hosts are started; this one if None.
            pause_s: Shortest and longest time between two troubles, in seconds.
        """
        self._pause_s = pause_s
        self._rng = random.Random(seed)
        self._series = versions.Series(random.Random(seed + 1))
        self.site = site.start(self._series.newest.make_config(), seed, tree)
        self.troubles: list[judge.Trouble] = []
        self.ended = threading.Event()
        self.answers: list[judge.Answer] = []
        self.written = [judge.Written(self._series.newest, 0.0, 0.0)]
        self._write_lock = threading.Lock()
        self._kinds = kinds
        # Wall-clock time at the monotonic time 0, for the logs.
        self.wall_s = time.time() - time.monotonic()

    def close(self) -> None:
        """Stops all processes."""
        self.site.close()

    def run(self, seconds: float) -> list[judge.Verdict]:
        """Plays for a while; returns the answers of older versions."""
        made = troubles.Troubles(
            self,
            random.Random(self._rng.random()),
            self._kinds,
            self._pause_s,
        )
        threads = [
            threading.Thread(target=made.run),
            threading.Thread(target=self._write_series),
        ]
        threads += [
            threading.Thread(
                target=self._ask, args=(ip, random.Random(self._rng.random()))
            )
            for ip in self.site.addresses
        ]
        for thread in threads:
            thread.start()
        time.sleep(seconds)
        self.ended.set()
        for thread in threads:
            thread.join()
        return judge.Judge(self.written, self.troubles).judge(self.answers)

    def write_version(self) -> None:
        """Writes the next version, and waits for its acknowledgement.

        Does nothing while the store is down: the operator reaches it no better
        than hosts do.
        """
        with self._write_lock:
            if any(
                t.kind.startswith("down") and math.isinf(t.ended_s)
                for t in self.troubles
            ):
                return
            version = self._series.draw()
            sent_s = time.monotonic()
            written = judge.Written(version, sent_s, math.inf)
            self.written.append(written)
            self._write(version)
            self.written[-1] = attrs.evolve(written, acked_s=time.monotonic())

    def _write(self, version: versions.Version) -> None:
        """Writes a version until the store acknowledges it."""
        cfg = version.make_config()
        while True:
            try:
                self.site.write(names.CONFIG_TOPIC, names.CONFIG_KEY, cfg)
            except RuntimeError:
                time.sleep(STORM_S)
            else:
                return

    def _write_series(self) -> None:
        while not self.ended.wait(self._rng.uniform(*SINGLE_S)):
            if self._rng.random() < STORM_SHARE:
                for _ in range(STORM_VERSIONS - 1):
                    self.write_version()
                    time.sleep(STORM_S)
            self.write_version()

    def _ask(self, ip: str, rng: random.Random) -> None:
        """Asks a host ten times a second what its configuration allows."""
        address = self.site.get_address(ip, "frontend")
        while not self.ended.wait(ASK_PERIOD_S):
            newest = self.written[-ASKED_VERSIONS:]
            question = rng.choice(newest).version.question
            boot = self.site.boots[ip]
            sent_s = time.monotonic()
            shown = self._ask_once(address, question)
            if shown and boot == self.site.boots[ip]:
                self.answers.append(
                    judge.Answer(
                        ip, boot, question, sent_s, time.monotonic(), shown
                    )
                )

    def _ask_once(self, address: str, question: versions.Question) -> str:
        """Returns what an answer shows; empty if that is nothing."""
        conn = http.client.HTTPConnection(address, timeout=ASK_TIMEOUT_S)
        headers = {
            "Host": "notes.example",
            "Attempt-Id": f"a{time.monotonic_ns()}",
            "Deadline-Ms": str(int(1000 * ASK_TIMEOUT_S)),
            "Authorization": f"Bearer {question.key}",
        }
        try:
            conn.request("POST", f"/{question.route}/x", b"{}", headers)
            res = conn.getresponse()
            res.read()
        except (OSError, http.client.HTTPException):
            return ""
        finally:
            conn.close()
        if res.status in SHOWING:
            return str(res.status)
        signature = res.headers.get("Replica-Signature")
        if res.status != 200 or signature is None:
            return ""
        return site.get_service(self.site, signature)

    def save_logs(self, folder: pathlib.Path) -> None:
        """Writes the logs of all hosts' processes to files."""
        folder.mkdir(parents=True, exist_ok=True)
        counts: collections.Counter[str] = collections.Counter()
        found = [*self.site.stage.ended, *self.site.stage.processes.values()]
        for process in found:
            counts[process.name] += 1
            path = folder / f"{process.name}-{counts[process.name]}.log"
            path.write_text("".join(process.lines), "utf-8")
