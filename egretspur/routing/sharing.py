"""Which hosts of a data centre make a check on behalf of all: pure.

When an engine fails, all hosts of a data centre would check the same engine at
the same time. The hosts that a check concerns are ranked by a hash of host and
upstream; the first ones make it as often as they would alone, the others rely
on their peer updates. Nobody assigns the checks, and a host that no longer
sends peer updates loses its rank.
"""

from __future__ import annotations

import zlib
from collections.abc import Collection
from typing import Final

import attrs

# Hosts that make the same check: one may be lost or cut off from the upstream.
MAX_CHECKERS: Final = 3

# How long a host's peer update counts: two updates, one of which may be lost.
PEER_TTL_S: Final = 0.6


@attrs.frozen
class _Concern:
    """Upstreams that concern another host."""

    upstream_ids: Collection[str]
    until_s: float


class CheckShares:
    """This host's rank among the hosts that check an upstream."""

    def __init__(self, host: str) -> None:
        """Makes a state without other hosts.

        Args:
            host: This host's address as others know it. If empty, this host
                makes all checks itself.
        """
        self._host = host
        # By host.
        self._peers: dict[str, _Concern] = {}

    def apply_peer_update(
        self, host: str, upstream_ids: Collection[str], now_s: float
    ) -> frozenset[str]:
        """Records the upstreams that a check of another host concerns.

        Returns:
            Those that concerned it before and no longer do.
        """
        before = self._peers.get(host)
        self._peers[host] = _Concern(upstream_ids, now_s + PEER_TTL_S)
        # Fast path: most updates equal the previous one.
        if before is None or before.upstream_ids == upstream_ids:
            return frozenset()
        return frozenset(before.upstream_ids) - frozenset(upstream_ids)

    def is_assigned(self, upstream_id: str, now_s: float) -> bool:
        """Tells whether this host is one of the first by rank."""
        if not self._host:
            return True
        own_rank = rank(self._host, upstream_id)
        ahead = sum(
            now_s < concern.until_s
            and upstream_id in concern.upstream_ids
            and rank(host, upstream_id) < own_rank
            for host, concern in self._peers.items()
        )
        return ahead < MAX_CHECKERS

    def remove_silent(self, now_s: float) -> None:
        """Drops hosts that sent no update recently."""
        self._peers = {
            h: c for h, c in self._peers.items() if now_s < c.until_s
        }


def rank(host: str, upstream_id: str) -> tuple[float, str]:
    """Returns a host's rank; the address settles equal hashes."""
    return zlib.crc32(f"{host} {upstream_id}".encode()), host
