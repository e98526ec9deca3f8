"""Fuzzing of the quarantine of several hosts against an oracle.

The oracle records which starts crashed under each request, and whether it was
answered since. No host blocks a request with fewer crashes than the threshold,
counting unresolved cuts. Once all hosts have received each other's updates, all
block a request that was never answered if and only if its crashes reach the
threshold, and none blocks one that was answered after its last crash.
"""

from __future__ import annotations

import attrs
from hypothesis import stateful
from hypothesis import strategies as st

from egretspur.admission import quarantine

HOSTS = 3
HOST = st.integers(0, HOSTS - 1)
FINGERPRINT = st.sampled_from(["f", "g"])
START = st.sampled_from(["a", "b", "c", "d", "e"])


@attrs.define
class RequestHistory:
    """What happened to one request."""

    # Weight of the crash of each start.
    crashes: dict[str, float] = attrs.Factory(dict)
    # Starts at which attempts were cut, crashed or not.
    cut_starts: set[str] = attrs.Factory(set)
    was_answered: bool = False
    # No start crashed under it since it was last answered.
    is_clear: bool = False

    def sum_weights(self) -> float:
        """Returns the total weight of its crashes."""
        return sum(self.crashes.values())


class QuarantineMachine(stateful.RuleBasedStateMachine):
    """Hosts that see upstreams crash, and publish that to each other."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.hosts = [quarantine.Quarantine() for _ in range(HOSTS)]
        self.histories = {f: RequestHistory() for f in "fg"}
        # Crashed starts, and those that answer a probe at this moment.
        self.crashed: set[str] = set()
        self.alive: set[str] = set()
        # Requests that were cut, with the start, whose state is still unknown.
        self.unresolved: set[tuple[str, str]] = set()

    def get_state(self, start: str) -> quarantine.UpstreamState:
        """Returns the state of a start, the same for all hosts."""
        if start in self.crashed:
            return quarantine.UpstreamState.CRASHED
        if start in self.alive:
            return quarantine.UpstreamState.ALIVE
        return quarantine.UpstreamState.UNKNOWN

    @stateful.rule(
        name=FINGERPRINT,
        seen=st.lists(
            st.tuples(HOST, START, st.booleans()), min_size=1, max_size=4
        ),
    )
    def crash(self, name: str, seen: list[tuple[int, str, bool]]) -> None:
        """Upstreams crash under a request, and its hosts see it."""
        for host, start, has_output in seen:
            self._crash_one(host, name, start, has_output)

    def _crash_one(
        self, host: int, name: str, start: str, has_output: bool
    ) -> None:
        self.crashed.add(start)
        for other, at in self.unresolved:
            if at == start:
                # It may have crashed under that request.
                self.histories[other].crashes[start] = 1.0
                self.histories[other].is_clear = False
        cut = quarantine.CutAttempt(name, (start,), has_output, self.now_s)
        state = self.hosts[host]
        state.record_cut(cut, self.now_s)
        state.resolve_cuts(self.get_state, self.now_s)
        history = self.histories[name]
        weight = max(history.crashes.get(start, 0.0), cut.weight)
        history.crashes[start] = weight
        history.cut_starts.add(start)
        history.is_clear = False

    @stateful.rule(host=HOST, name=FINGERPRINT, start=START)
    def break_connection(self, host: int, name: str, start: str) -> None:
        """A connection breaks; the state of its upstream is unknown."""
        if start not in self.crashed:
            cut = quarantine.CutAttempt(name, (start,), False, self.now_s)
            self.hosts[host].record_cut(cut, self.now_s)
            self.histories[name].cut_starts.add(start)
            self.unresolved.add((name, start))

    @stateful.rule(start=START)
    def probe(self, start: str) -> None:
        """An upstream answers a probe; it may crash later."""
        if start not in self.crashed:
            self.alive.add(start)
            for host in self.hosts:
                host.resolve_cuts(self.get_state, self.now_s)
            self.alive.discard(start)
            self.unresolved = {o for o in self.unresolved if o[1] != start}

    @stateful.rule(host=HOST, name=FINGERPRINT)
    def answer(self, host: int, name: str) -> None:
        """A request is answered completely."""
        self.hosts[host].record_answer(name, self.now_s)
        self.histories[name].was_answered = True
        self.histories[name].is_clear = True

    @stateful.rule(sender=HOST, receiver=HOST)
    def publish(self, sender: int, receiver: int) -> None:
        """One host receives another one's datagram."""
        records = self.hosts[sender].list_updates(8, self.now_s)
        self.hosts[receiver].apply_peer_update(records, self.now_s)

    @stateful.rule(seconds=st.sampled_from([0.05, 0.2]))
    def wait(self, seconds: float) -> None:
        """Time passes, so little that no record of a history expires."""
        self.now_s += seconds

    @stateful.rule()
    def converge(self) -> None:
        """All probes complete, and all hosts receive all updates."""
        self.alive = set("abcde") - self.crashed
        for host in self.hosts:
            host.resolve_cuts(self.get_state, self.now_s)
        self.alive = set()
        self.unresolved.clear()
        for _ in range(HOSTS):
            for sender in self.hosts:
                records = sender.list_updates(8, self.now_s)
                for receiver in self.hosts:
                    receiver.apply_peer_update(records, self.now_s)
        for name, history in self.histories.items():
            blocked = [h.is_blocked(name) for h in self.hosts]
            if not history.was_answered:
                is_due = history.sum_weights() >= quarantine.CRASH_THRESHOLD
                assert blocked == [is_due] * HOSTS, (name, history, blocked)
                self._check_crashes(name, history)
            elif history.is_clear:
                assert not any(blocked), (name, history, blocked)

    def _check_crashes(self, name: str, history: RequestHistory) -> None:
        """Checks that each host knows exactly the crashes of a request."""
        crashes = {
            quarantine.make_start_id(s): w for s, w in history.crashes.items()
        }
        for host in self.hosts:
            known = host.list_updates(8, self.now_s).get(name, {})
            assert known == crashes, (name, history, known)

    @stateful.invariant()
    def check_quarantined(self) -> None:
        """Checks that nothing is blocked without enough crashes or cuts."""
        for name, history in self.histories.items():
            for host in self.hosts:
                if host.is_blocked(name):
                    assert (
                        len(history.cut_starts) >= quarantine.CRASH_THRESHOLD
                    ), (
                        name,
                        history,
                    )
                if name in host.list_quarantined():
                    assert (
                        history.sum_weights() >= quarantine.CRASH_THRESHOLD
                    ), (
                        name,
                        history,
                    )
