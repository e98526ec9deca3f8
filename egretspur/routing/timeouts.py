"""How long an upstream may work on a retry of a plain request: pure.

An upstream works on a request for the time that it is handed, from when it
reads it. Handed all that its caller has left, one that reads a retry late works
on after the caller has gone; handed less than an answer takes, it ends a sound
one. How late it reads is not known. Its reactions bound that from above, since
they hold the time of reading and the time of work. If all were fast, a retry is
handed all that is left; otherwise as much less as they were slow, but a few
times the usual answer at most. It isn't sent where not even the usual answer
would fit. Read next: `egretspur.admission.reactions`.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Final

from egretspur.admission import arrivals, reactions
from egretspur.routing import peer_table

# How much longer than its caller waits an upstream may work on a retry that it
# reads as late as it may have read others.
MAX_EXCESS_S: Final = 0.25

# What a retry is handed if its upstream may read it late: at least this and the
# usual answer, at most so many times the usual one.
MIN_S: Final = 0.1
SLOW_ANSWER_FACTOR: Final = 3.0

# Reactions at a service that show how late its upstreams read; with fewer, the
# part of what is left that a retry is handed, if that is more.
MIN_REACTIONS: Final = 12
UNKNOWN_PART: Final = 0.125

# How long it is told to other hosts that an upstream was slow. Many hosts see
# more of it than one, so one that reads again is believed sooner.
PUBLISHED_S: Final = 2.5

# How long what another host found counts: three updates, two of which may be
# lost.
PEER_TTL_S: Final = 0.9


class RetryTimeouts:
    """Bounds the time that upstreams are handed for retries."""

    def __init__(self, sent: arrivals.Arrivals, data_centre: str) -> None:
        """Makes it.

        Args:
            sent: Tells how slowly upstreams answer.
            data_centre: Of this host.
        """
        self._arrivals = sent
        self._peers: peer_table.PeerTable[Mapping[str, float]] = (
            peer_table.PeerTable(data_centre, PEER_TTL_S)
        )

    def apply_peer_update(
        self,
        host: str,
        data_centre: str,
        slowest_s: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Stores which upstreams another host, or data centre, finds slow.

        Args:
            host: Host that sent it.
            data_centre: Data centre of that host.
            slowest_s: Seconds by upstream.
            now_s: Monotonic time.
        """
        self._peers.replace(host, data_centre, slowest_s, now_s)

    def list_slow(
        self, upstream_ids: Collection[str], is_speaker: bool, now_s: float
    ) -> dict[str, float]:
        """Returns the slow ones of some upstreams, for other hosts.

        Args:
            upstream_ids: The upstreams.
            is_speaker: Whether to include what hosts of this data centre sent.
            now_s: Monotonic time.
        """
        found = {
            i: self._arrivals.get_slowest_s(i, now_s, PUBLISHED_S)
            for i in upstream_ids
        }
        if is_speaker:
            for report in self._peers.list_current(now_s):
                if not report.is_local:
                    continue
                for i, slowest_s in report.value.items():
                    found[i] = max(found.get(i, 0.0), slowest_s)
        return {i: s for i, s in found.items() if s > MAX_EXCESS_S}

    def _get_slowest_s(self, upstream_id: str, now_s: float) -> float:
        """Returns how long an upstream lately took, as any host knows."""
        return max(
            self._arrivals.get_slowest_s(upstream_id, now_s),
            *(
                r.value.get(upstream_id, 0.0)
                for r in self._peers.list_current(now_s)
            ),
            0.0,
        )

    def summarize(
        self, service: Collection[str], now_s: float
    ) -> reactions.Summary:
        """Returns how fast the upstreams of a service have lately been."""
        return self._arrivals.reactions.summarize(service, now_s)

    def compute_s(
        self,
        upstream_id: str,
        service: reactions.Summary,
        left_s: float,
        now_s: float,
    ) -> float | None:
        """Returns the seconds that an upstream is handed for a retry.

        Args:
            upstream_id: The upstream.
            service: How fast all upstreams of its service have been.
            left_s: Seconds that the caller still waits.
            now_s: Monotonic time.

        Returns:
            None if it might work on the retry for too long.
        """
        slowest_s = max(
            service.slowest_s, self._get_slowest_s(upstream_id, now_s)
        )
        is_known = service.count >= MIN_REACTIONS
        if is_known and slowest_s <= MAX_EXCESS_S:
            return left_s
        usual_s = service.usual_s or 0.0
        least_s = max(MIN_S, usual_s)
        most_s = max(MIN_S, SLOW_ANSWER_FACTOR * usual_s)
        if not is_known or service.usual_s is None:
            most_s = max(most_s, UNKNOWN_PART * left_s)
        spare_s = left_s + MAX_EXCESS_S - slowest_s
        if spare_s < min(left_s, least_s):
            return None
        return min(left_s, most_s, spare_s)
