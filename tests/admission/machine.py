"""Fuzzing of the quarantine of several hosts against an oracle.

The oracle, in a few lines: which starts ended under each request, and whether
it was answered since. A host holds no request under which fewer ended than the
bound, counting cuts that are not explained yet; once all have heard each other,
all hold a request that was never answered if and only if enough ended under it,
and none one that was answered after its last end.
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

    # Weight of each start's end.
    crashes: dict[str, float] = attrs.Factory(dict)
    # Starts that attempts were cut at, ended or not.
    cut_starts: set[str] = attrs.Factory(set)
    was_answered: bool = False
    # Nothing ended under it since it was last answered.
    is_clear: bool = False

    def sum_weights(self) -> float:
        """Returns how much ended under it."""
        return sum(self.crashes.values())


class QuarantineMachine(stateful.RuleBasedStateMachine):
    """Hosts that see upstreams end, and tell each other."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.hosts = [quarantine.Quarantine() for _ in range(HOSTS)]
        self.histories = {f: RequestHistory() for f in "fg"}
        # Starts that answer no more; the others are being asked or live.
        self.crashed: set[str] = set()
        self.alive: set[str] = set()
        # Requests cut at starts of which nothing is known yet.
        self.unresolved: set[tuple[str, str]] = set()

    def get_state(self, start: str) -> quarantine.UpstreamState:
        """Returns what all hosts know of a start."""
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
        """Upstreams end under a request, and its hosts find out."""
        for host, start, brought in seen:
            self._crash_one(host, name, start, brought)

    def _crash_one(
        self, host: int, name: str, start: str, brought: bool
    ) -> None:
        self.crashed.add(start)
        for other, at in self.unresolved:
            if at == start:
                # It may have ended under that one.
                self.histories[other].crashes[start] = 1.0
                self.histories[other].is_clear = False
        cut = quarantine.CutAttempt(name, (start,), brought, self.now_s)
        state = self.hosts[host]
        state.record_cut(cut, self.now_s)
        state.resolve_cuts(self.get_state, self.now_s)
        truth = self.histories[name]
        weight = max(truth.crashes.get(start, 0.0), cut.weight)
        truth.crashes[start] = weight
        truth.cut_starts.add(start)
        truth.is_clear = False

    @stateful.rule(host=HOST, name=FINGERPRINT, start=START)
    def break_connection(self, host: int, name: str, start: str) -> None:
        """A connection breaks; nobody knows yet whether its upstream lives."""
        if start not in self.crashed:
            cut = quarantine.CutAttempt(name, (start,), False, self.now_s)
            self.hosts[host].record_cut(cut, self.now_s)
            self.histories[name].cut_starts.add(start)
            self.unresolved.add((name, start))

    @stateful.rule(start=START)
    def probe(self, start: str) -> None:
        """An upstream answers a probe, for now."""
        if start not in self.crashed:
            self.alive.add(start)
            for host in self.hosts:
                host.resolve_cuts(self.get_state, self.now_s)
            self.alive.discard(start)
            self.unresolved = {o for o in self.unresolved if o[1] != start}

    @stateful.rule(host=HOST, name=FINGERPRINT)
    def answer(self, host: int, name: str) -> None:
        """A request is answered to its end."""
        self.hosts[host].record_answer(name, self.now_s)
        self.histories[name].was_answered = True
        self.histories[name].is_clear = True

    @stateful.rule(teller=HOST, hearer=HOST)
    def publish(self, sender: int, receiver: int) -> None:
        """A datagram arrives; others are lost."""
        told = self.hosts[sender].list_updates(8, self.now_s)
        self.hosts[receiver].apply_peer_update(told, self.now_s)

    @stateful.rule(seconds=st.sampled_from([0.05, 0.2]))
    def wait(self, seconds: float) -> None:
        """A little time passes; all of a history is told while it is new."""
        self.now_s += seconds

    @stateful.rule()
    def converge(self) -> None:
        """What lives is found to live, and all hear each other."""
        self.alive = set("abcde") - self.crashed
        for host in self.hosts:
            host.resolve_cuts(self.get_state, self.now_s)
        self.alive = set()
        self.unresolved.clear()
        for _ in range(HOSTS):
            for teller in self.hosts:
                told = teller.list_updates(8, self.now_s)
                for hearer in self.hosts:
                    hearer.apply_peer_update(told, self.now_s)
        for name, truth in self.histories.items():
            held = [h.is_blocked(name) for h in self.hosts]
            if not truth.was_answered:
                is_due = truth.sum_weights() >= quarantine.CRASH_THRESHOLD
                assert held == [is_due] * HOSTS, (name, truth, held)
                self._check_ends(name, truth)
            elif truth.is_clear:
                assert not any(held), (name, truth, held)

    def _check_ends(self, name: str, truth: RequestHistory) -> None:
        """Checks that each host knows just what ended under a request."""
        ends = {
            quarantine.make_start_id(s): w for s, w in truth.crashes.items()
        }
        for host in self.hosts:
            known = host.list_updates(8, self.now_s).get(name, {})
            assert known == ends, (name, truth, known)

    @stateful.invariant()
    def check_quarantined(self) -> None:
        """Checks that nothing is held without enough ends or cuts."""
        for name, truth in self.histories.items():
            for host in self.hosts:
                if host.is_blocked(name):
                    assert (
                        len(truth.cut_starts) >= quarantine.CRASH_THRESHOLD
                    ), (
                        name,
                        truth,
                    )
                if name in host.list_quarantined():
                    assert truth.sum_weights() >= quarantine.CRASH_THRESHOLD, (
                        name,
                        truth,
                    )
