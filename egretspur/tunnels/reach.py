"""Which upstreams this host reaches over its own links: pure.

A connection fails because of the upstream or because of this host's links. If
another host connects to the same upstream, a helper, it was the links; if that
one fails as well, it was the upstream. Until helpers have been asked, nothing
is concluded. A connection that opens shows little by itself: something between
may accept it and pass nothing on. Only an answer shows that links work. Read
next: `egretspur.tunnels.dialer`.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Collection
from typing import Final

import attrs

# Upstreams to which connections must have failed, with no connection to any
# other since and no helper that failed there too, for a host to count as cut
# off: a single one has failed itself.
MIN_FAILED: Final = 2

# Time for which helpers are not asked again for an upstream that none of them
# reached: it is down, and each further question would delay a retry.
REFUTED_S: Final = 1.0


class ReachState(enum.Enum):
    """How this host reaches upstreams."""

    # Over its own links, at least some of them.
    SOUND = "sound"
    # Only through other hosts.
    HELPED = "helped"
    # Not at all.
    CUT_OFF = "cut_off"


@attrs.define
class _Failing:
    """An upstream to which this host's last connection failed."""

    failed_s: float
    # When a helper last connected to it, and when helpers last failed to.
    helped_s: float = -math.inf
    refuted_s: float = -math.inf
    # Connections for which helpers are being asked.
    questions: int = 0
    # The last failure was that of a connection for another host, which asks
    # others itself.
    is_for_other: bool = False

    @property
    def is_helped(self) -> bool:
        """Whether helpers reach it, as far as is known."""
        return self.helped_s > self.refuted_s


class Reach:
    """Outcomes of connections to upstreams, by address."""

    def __init__(self) -> None:
        self._failing: dict[str, _Failing] = {}
        # When this host last connected to any upstream by itself.
        self.connected_s = -math.inf
        # When an upstream last answered over a new connection of this host, and
        # when connections to upstreams last ended without any answer.
        self.answered_s = -math.inf
        self._fruitless_s: dict[str, float] = {}
        # Connections open but bring no answers, though helpers get some.
        self.is_lost = False

    def record_connected(self, address: str, now_s: float) -> None:
        """Records a connection over this host's own links."""
        if self.is_cut_off() and not self.is_lost:
            # The links are back, and with them the way to all upstreams.
            self._failing.clear()
        self._failing.pop(address, None)
        self.connected_s = now_s

    def record_answered(self, address: str, now_s: float) -> None:
        """Records an answer over a new connection of this host."""
        self.is_lost = False
        self.answered_s = now_s
        self._fruitless_s.pop(address, None)

    def record_lost(self) -> None:
        """Records that connections open but bring no answers."""
        self.is_lost = True

    def record_fruitless(self, address: str, now_s: float) -> None:
        """Records a connection that opened and ended without an answer."""
        self._fruitless_s[address] = now_s

    def has_fruitless(self) -> bool:
        """Returns whether connections open but may bring nothing."""
        found = [
            a for a, at_s in self._fruitless_s.items() if at_s > self.answered_s
        ]
        self._fruitless_s = {a: self._fruitless_s[a] for a in found}
        return len(found) >= MIN_FAILED

    def record_failed(self, address: str, now_s: float) -> None:
        """Records that this host's own links led to no connection."""
        failing = self._failing.setdefault(address, _Failing(now_s))
        failing.failed_s = now_s
        failing.is_for_other = False

    def record_failed_for_other(self, address: str, now_s: float) -> None:
        """Records that a connection for another host failed."""
        failing = self._failing.setdefault(
            address, _Failing(now_s, is_for_other=True)
        )
        failing.failed_s = now_s

    def record_question(self, address: str, now_s: float) -> None:
        """Records a failure about which helpers are asked now."""
        self.record_failed(address, now_s)
        self._failing[address].questions += 1

    def record_decided(self, address: str, now_s: float) -> None:
        """Records the end of a question, whatever its outcome."""
        failing = self._failing.get(address)
        if failing is not None:
            failing.questions = max(0, failing.questions - 1)

    def record_helped(self, address: str, now_s: float) -> None:
        """Records that a helper connected to an upstream."""
        if address in self._failing:
            self._failing[address].helped_s = now_s

    def record_refuted(self, address: str, now_s: float) -> None:
        """Records that helpers do not reach an upstream either."""
        if address in self._failing:
            self._failing[address].refuted_s = now_s

    def is_cut_off(self) -> bool:
        """Returns whether this host reaches no upstream by itself."""
        if self.is_lost:
            return True
        failed = sum(
            self._is_suspect(f) and not f.questions and not f.is_for_other
            for f in self._failing.values()
        )
        return failed >= MIN_FAILED

    def is_in_doubt(self) -> bool:
        """Returns whether this host may be cut off, for all that it knows."""
        failed = sum(self._is_suspect(f) for f in self._failing.values())
        return failed >= MIN_FAILED

    def _is_suspect(self, failing: _Failing) -> bool:
        """Returns whether this host's links may be why connections fail."""
        if failing.failed_s <= self.connected_s:
            return False
        refuted_s = failing.failed_s - failing.refuted_s
        return failing.is_helped or refuted_s >= REFUTED_S

    def get_state(self) -> ReachState:
        """Returns how this host reaches upstreams."""
        if not self.is_cut_off():
            return ReachState.SOUND
        if self.is_lost:
            return ReachState.HELPED
        is_helped = any(
            f.helped_s > self.connected_s for f in self._failing.values()
        )
        return ReachState.HELPED if is_helped else ReachState.CUT_OFF

    def needs_helper(self, address: str) -> bool:
        """Returns whether to ask a helper without trying the own links."""
        failing = self._failing.get(address)
        if failing is not None and failing.is_helped:
            return True
        return self.get_state() is ReachState.HELPED

    def may_ask_helper(self, address: str, now_s: float) -> bool:
        """Returns whether helpers may reach an upstream."""
        failing = self._failing.get(address)
        return failing is None or now_s - failing.refuted_s >= REFUTED_S

    def has_failed_lately(self, address: str, now_s: float) -> bool:
        """Returns whether connections to an upstream fail now."""
        failing = self._failing.get(address)
        return failing is not None and now_s - failing.failed_s < REFUTED_S

    def list_checks(self, listed: Collection[str]) -> list[str]:
        """Returns the upstreams to try over the own links again.

        Args:
            listed: Addresses of all upstreams; others are dropped.
        """
        for address in [a for a in self._failing if a not in listed]:
            del self._failing[address]
        if self.is_cut_off():
            # Those that failed may be down themselves by now.
            return list(listed)
        return [a for a, f in self._failing.items() if f.is_helped]

    def needs_checks(self) -> bool:
        """Returns whether there are upstreams to try again."""
        return self.is_cut_off() or any(
            f.is_helped for f in self._failing.values()
        )
