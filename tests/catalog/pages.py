"""Fuzzing of hosts that read pages which may be older than their end.

The oracle checks that

- a host's value of a key never decreases, even if a page has an older one, and
  no removed key comes back;
- every host has what the store has, some seconds after pages are current.
"""

from __future__ import annotations

from typing import Any, Final

from hypothesis import stateful
from hypothesis import strategies as st

from egretspur.catalog import doubts, feeds, handover, positions, tables
from egretspur.platform import store
from tests import listing

KEYS: Final = st.sampled_from(["a", "b", "c"])

# The first one is the reader; the others ask another host first.
HOSTS: Final = 3
HOST: Final = st.integers(0, HOSTS - 1)


class Follower:
    """A host that follows the topic step by step."""

    def __init__(self, machine: PagesMachine, is_reader: bool) -> None:
        """Makes a host that has read nothing."""
        self.topic: store.Topic[int] = store.Topic(
            machine.log,  # type: ignore[arg-type]
            "keyed.test",
            lambda key, data: int(data),
            tables.Policy(lambda known, copied: known > copied),
            clock=lambda: machine.now_s,
        )
        # Hosts that it asks.
        self.giver: Follower | None = None
        self.source = handover.HandoverSource(
            self.topic,
            lambda: ["giver"],
            lambda host, topic, since, silence_s: self._fetch(since),
            lambda: not is_reader,
            clock=lambda: machine.now_s,
        )
        self.at: positions.Position | None = None
        self.values: dict[str, int] = {}
        # Lowest value of each key that it may have from now on.
        self.seen: dict[str, int] = {}

    def _fetch(
        self, since: positions.Position | None
    ) -> bytes | feeds.Unavailable | None:
        if self.giver is None:
            return feeds.Unavailable("stopped")
        return self.giver.topic.export(since)

    def read(self, giver: Follower | None) -> None:
        """Reads once, and on as long as that is due at once."""
        self.giver = giver
        was_expired = False
        for _ in range(20):
            res: Any = (
                self.source.read_newest()
                if self.at is None
                else self.source.read_changes(self.at, 0.0)
            )
            if isinstance(res, feeds.Expired):
                self.at = None
                if was_expired:
                    # The feed pauses.
                    return
                was_expired = True
                continue
            assert not isinstance(res, feeds.Unavailable), res
            self._apply(res)
            self.at = res.next
            if res.due_s > 0.0:
                return
        raise AssertionError("reads without a pause")

    def _apply(self, res: Any) -> None:
        if isinstance(res, feeds.FullState):
            self.values = {**res.values}  # type: ignore[dict-item]
        else:
            for key, value in res.values:
                if value is None:
                    # Only a later write brings the key back.
                    known = self.values.pop(key, None)
                    self.seen[key] = max(
                        self.seen.get(key, 0), known + 1 if known else 0
                    )
                else:
                    self.values[key] = value
        for key, value in self.values.items():
            assert value >= self.seen.get(key, 0), (key, value, self.seen)
            self.seen[key] = value


class PagesMachine(stateful.RuleBasedStateMachine):
    """A topic whose history is dropped, pages that are old, and hosts."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 10.0
        self.log = listing.Log()
        self.written = 0
        self.hosts = [Follower(self, i == 0) for i in range(HOSTS)]
        self.write("a")

    @stateful.rule(key=KEYS)
    def write(self, key: str) -> None:
        """A key is written."""
        self.written += 1
        self.log.write(key, self.written)

    @stateful.rule(key=KEYS)
    def remove(self, key: str) -> None:
        """A key is removed."""
        self.log.write(key, None)

    @stateful.rule(kept=st.integers(0, 2))
    def drop_history(self, kept: int) -> None:
        """All but the last records of the history are dropped."""
        start = max(0, len(self.log.records) - kept)
        self.log.start = max(self.log.start, start)

    @stateful.rule(is_end_shown=st.booleans())
    def fall_behind(self, is_end_shown: bool) -> None:
        """Pages show no later record from now on, or name no later end."""
        if self.log.shown is None:
            self.log.shown = len(self.log.records)
        self.log.is_end_shown = is_end_shown

    @stateful.rule()
    def catch_up(self) -> None:
        """Pages are current."""
        self.log.shown = None

    @stateful.rule(which=HOST, giver=HOST, is_up=st.booleans())
    def read(self, which: int, giver: int, is_up: bool) -> None:
        """A host reads; another one answers it, or none."""
        can_ask = is_up and which != giver
        self.hosts[which].read(self.hosts[giver] if can_ask else None)

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5]))
    def pass_time(self, seconds: float) -> None:
        """Advances the clock."""
        self.now_s += seconds

    def teardown(self) -> None:
        """Checks all hosts after pages have been current for long enough."""
        self.log.shown = None
        newest = dict(self.log.records)
        wanted = {k: int(raw) for k, raw in newest.items() if raw}
        # A host that took over a doubt last may wait for as long as that lasts.
        end_s = self.now_s + doubts.MAX_DOUBT_S + 2 * doubts.RECHECK_S
        while self.now_s < end_s:
            for host in self.hosts:
                host.read(self.hosts[0] if host is not self.hosts[0] else None)
            self.now_s += doubts.RECHECK_S
        for number, host in enumerate(self.hosts):
            assert host.values == wanted, (number, host.values, wanted)
