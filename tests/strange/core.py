"""Troubles of the store as a whole, and changes of it that are none."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Final

from tests.fakes import strangestore
from tests.strange import ledger

# Ways in which the store is down.
DOWN: Final = (strangestore.SILENT, strangestore.RESET, strangestore.REFUSED)

# Delay of a slow store's answers, in seconds, and share of the answers that
# are lost.
DELAY_S: Final = 0.2
LOST_SHARE: Final = 0.3

# Age of old pages, in seconds.
STALE_S: Final = 2.0

_CALM: Final = {"delay_s": 0.0, "lose": 0.0, "store": strangestore.PASS}


class StoreTroubles:
    """Makes troubles of the store."""

    def __init__(self, own: ledger.Ledger) -> None:
        self._own = own
        self._site = own.site

    def list_makers(self) -> Mapping[str, Callable[[], None]]:
        """Returns the troubles, by kind."""
        return {
            "trim": self._drop_history,
            "deal": self._deal,
            "hush": self._hush,
            "slow": lambda: self._disturb("slow", delay_s=DELAY_S),
            "lossy": lambda: self._disturb("lossy", lose=LOST_SHARE),
            "down": self._take_down,
            "deaf": self._deafen_waits,
        }

    def list_optional(self) -> Mapping[str, Callable[[], None]]:
        """Returns troubles that the page does not name, by kind."""
        return {"stale": self._show_old_pages}

    def _drop_history(self) -> None:
        """Drops the history of all topics around a version."""
        trouble = self._own.begin("trim", is_binding=False)
        self._site.set_faults(events=["trim"])
        self._own.play.write_version()
        self._site.set_faults(events=["trim"])
        self._own.end(trouble)

    def _deal(self) -> None:
        """Distributes the partitions of all groups anew."""
        trouble = self._own.begin("deal", is_binding=False)
        self._site.set_faults(events=["deal"])
        self._own.end(trouble)

    def _hush(self) -> None:
        """Silences all open connections to the store."""
        if not self._own.take_store():
            return
        trouble = self._own.begin("hush")
        self._site.set_faults(events=["hush"])
        self._own.end_of_store(trouble)

    def _take_down(self) -> None:
        """Takes the store down."""
        way = self._own.rng.choice(DOWN)
        self._disturb(f"down-{way}", store=way)

    def _disturb(self, kind: str, **faults: Any) -> None:
        """Disturbs the store as a whole for a while."""
        if not self._own.take_store():
            return
        trouble = self._own.begin(kind)
        self._site.set_faults(**faults)
        self._own.wait(1.0, 5.0)
        self._site.set_faults(**_CALM)
        self._own.end_of_store(trouble)

    def _deafen_waits(self) -> None:
        """Has waits hear nothing for a second, and drops what they missed."""
        if not self._own.take_store():
            return
        trouble = self._own.begin("deaf")
        self._site.set_faults(deaf=True)
        for _ in range(3):
            self._own.wait(0.3, 0.35)
            self._own.play.write_version()
        self._site.set_faults(deaf=False, events=["trim", "cut"])
        self._own.end_of_store(trouble)

    def _show_old_pages(self) -> None:
        """Has pages be older than their end, after a version was missed."""
        trouble = self._own.begin("stale", is_binding=False)
        self._site.set_faults(deaf=True)
        self._own.play.write_version()
        self._site.set_faults(
            deaf=False, stale_s=STALE_S, events=["trim", "cut"]
        )
        self._own.wait(1.0, 3.0)
        self._site.set_faults(stale_s=0.0)
        self._own.end(trouble)
