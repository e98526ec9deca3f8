"""Fuzzing of the evidence about prompt segments against an oracle.

One segment is bad: a request with it crashes the upstream that runs it, each
other request is answered. Hosts tell each other late or not at all. Whatever
they hear, no host blames segments without the bad one among them; and once all
have heard of enough crashes, none sends a request with what these have in
common.
"""

from __future__ import annotations

import itertools

from hypothesis import stateful
from hypothesis import strategies as st

from egretspur.admission import quarantine, segments
from egretspur.membership import evidence

HOSTS = 3
HOST = st.integers(0, HOSTS - 1)
BAD = "m/bad"
OTHERS = st.frozensets(
    st.sampled_from(["m/system", "m/manual", "m/session"]), max_size=3
)

# Seconds that a request runs until its upstream crashes or answers.
RUN_S = 0.1


class SegmentMachine(stateful.RuleBasedStateMachine):
    """Hosts that send requests, and tell each other what became of them."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.numbers = itertools.count()
        self.hosts = [quarantine.Quarantine() for _ in range(HOSTS)]
        for host in self.hosts:
            # Upstreams do answer requests without the bad segment.
            host.record_established((), self.now_s)
        # Crashed upstreams, and the segments of each request that crashed one.
        self.crashed: set[str] = set()
        self.fatal: list[frozenset[str]] = []

    def get_state(self, upstream: str) -> quarantine.UpstreamState:
        """Returns the state of an upstream, the same for all hosts."""
        if upstream in self.crashed:
            return quarantine.UpstreamState.CRASHED
        return quarantine.UpstreamState.ALIVE

    @stateful.rule(
        host=HOST,
        others=OTHERS,
        reached=st.sampled_from(["nothing", "head", "output"]),
    )
    def send_bad(self, host: int, others: frozenset[str], reached: str) -> None:
        """A request with the bad segment comes; it crashes an upstream."""
        found = others | {BAD}
        state = self.hosts[host]
        number = next(self.numbers)
        if state.is_blocked(f"request-{number}", tuple(found)):
            return
        sent_s = self.now_s
        self.now_s += RUN_S
        upstream = f"u{number}"
        self.crashed.add(upstream)
        self.fatal.append(found)
        cut = quarantine.CutAttempt(
            f"{number:06}",
            (upstream,),
            reached == "output",
            self.now_s,
            tuple(sorted(found)),
            reached != "nothing",
            sent_s,
        )
        state.record_cut(cut, self.now_s)
        state.resolve_cuts(self.get_state, self.now_s)

    @stateful.rule(host=HOST, others=OTHERS)
    def send_sound(self, host: int, others: frozenset[str]) -> None:
        """A request without the bad segment comes; it is answered."""
        state = self.hosts[host]
        name = f"request-{next(self.numbers)}"
        # No host may refuse it, whatever ran beside it.
        assert not state.is_blocked(name, tuple(others)), others
        self.now_s += RUN_S
        state.record_established(tuple(others), self.now_s)

    @stateful.rule(sender=HOST, receiver=HOST)
    def publish(self, sender: int, receiver: int) -> None:
        """One host receives another one's datagrams."""
        self._publish(sender, receiver)

    def _publish(self, sender: int, receiver: int) -> None:
        source, target = self.hosts[sender], self.hosts[receiver]
        told = evidence.EvidenceUpdate(
            "10.0.0.1", "kl-hall", source.make_evidence(self.now_s)
        )
        found = evidence.decode(evidence.encode(told))
        assert isinstance(found, evidence.EvidenceUpdate), found
        target.apply_evidence(found.evidence, self.now_s)
        records = source.list_updates(16, self.now_s)
        target.apply_peer_update(records, self.now_s)

    @stateful.rule(seconds=st.sampled_from([0.05, 0.3, 0.7]))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self.now_s += seconds
        for host in self.hosts:
            host.resolve_cuts(self.get_state, self.now_s)

    @stateful.rule()
    def converge(self) -> None:
        """All hosts hear of all, and time passes until all is certain."""
        for _ in range(2):
            for sender, receiver in itertools.permutations(range(HOSTS), 2):
                self._publish(sender, receiver)
            self.wait(segments.SETTLE_S)
        # Each crash is of another request, all sent one after the other: twice
        # the threshold, since a crash without a head weighs half.
        if len(self.fatal) >= 2 * segments.CRASH_THRESHOLD:
            common = tuple(frozenset.intersection(*self.fatal))
            for host in self.hosts:
                blocked = host.list_blocked_segments(common)
                assert blocked, (common, host.list_quarantined())

    @stateful.invariant()
    def check_blamed(self) -> None:
        """Checks that only sets with the bad segment are quarantined."""
        for host in self.hosts:
            for key in host.list_quarantined():
                found = segments.parse_key(key)
                assert not found or BAD in found, key
