"""Troubles between hosts, and of single hosts with the store."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from tests.fakes import strangestore
from tests.strange import judge, ledger

# Ways in which hosts are turned away.
WAYS: Final = (strangestore.SILENT, strangestore.RESET, "503", "429")

# How long the store is silent for a moment, and for some seconds.
BLINK_S: Final = (0.1, 0.6)
SILENCE_S: Final = (1.0, 4.0)


class LinkTroubles:
    """Makes troubles of single hosts' links."""

    def __init__(self, own: ledger.Ledger) -> None:
        self._own = own
        self._site = own.site

    def list_makers(self) -> Mapping[str, Callable[[], None]]:
        """Returns the troubles, by kind."""
        own = self._own
        return {
            "away": lambda: self._turn_away("away", own.draw_hosts(3, 3)),
            "cut": self._cut_off,
            "mute": self._lose_datagrams,
            "readers-away": lambda: self._turn_away(
                "readers-away", own.take_readers()
            ),
            "readers-blink": lambda: self._silence("readers-blink", BLINK_S),
            "readers-silence": lambda: self._silence(
                "readers-silence", SILENCE_S
            ),
        }

    def _turn_away(self, kind: str, hosts: Sequence[str]) -> None:
        """Has the store turn hosts away for a while, and writes versions."""
        if not hosts:
            return
        way = self._own.rng.choice(WAYS)
        trouble = self._own.begin(f"{kind}-{way}", hosts)
        self._site.set_doors(hosts, way)
        self._own.write_some(self._own.rng.uniform(5.0, 9.0))
        self._site.set_doors(hosts, strangestore.PASS)
        self._own.end(trouble)

    def _silence(self, kind: str, span_s: tuple[float, float]) -> None:
        """Answers the hosts nothing that wait for a version.

        The version before it has them begin their waits at about the same time.
        """
        self._own.play.write_version()
        self._own.wait(0.02, 0.2)
        hosts = self._own.take_readers()
        if not hosts:
            return
        trouble = self._own.begin(kind, hosts)
        self._site.set_doors(hosts, strangestore.SILENT)
        left_s = self._own.rng.uniform(*span_s)
        first_s = self._own.rng.uniform(0.0, min(left_s, BLINK_S[1]))
        time.sleep(first_s)
        self._own.play.write_version()
        time.sleep(left_s - first_s)
        self._site.set_doors(hosts, strangestore.PASS)
        self._own.end(trouble)
        # Further troubles would hide what follows.
        time.sleep(judge.CONTACT_S)

    def _lose_datagrams(self) -> None:
        """Loses all datagrams of some hosts."""
        hosts = self._own.draw_hosts(1, 3)
        if not hosts:
            return
        trouble = self._own.begin("mute", hosts)
        self._site.cut(hosts, True, False)
        self._own.wait(2.0, 7.0)
        self._site.cut(hosts, False, False)
        self._own.end(trouble)

    def _cut_off(self) -> None:
        """Cuts some hosts off from other hosts and the store."""
        hosts = self._own.draw_hosts(1, 4)
        if not hosts:
            return
        self._own.play.write_version()
        self._own.wait(0.0, 0.4)
        trouble = self._own.begin("cut", hosts)
        self._site.cut(hosts, True, True)
        self._site.set_doors(hosts, strangestore.SILENT)
        self._own.write_some(self._own.rng.uniform(1.0, 6.0))
        self._site.set_doors(hosts, strangestore.PASS)
        self._site.cut(hosts, False, True)
        self._own.end(trouble)
