"""Each router's share of a workspace's limit: pure.

All routers of a data centre compute the same division from the demand they
publish to each other (max-min fairness): those that need less than an even
share get what they need, the rest is divided evenly among the others. Without
current peer updates each assumes that all listed routers want an even share,
so a router that is cut off stays within its own.
"""

from __future__ import annotations

from collections.abc import Mapping


def compute_share(
    limit: int,
    own_host: str,
    demand: Mapping[str, int],
    router_count: int,
    has_current_peers: bool,
    settled: bool = True,
) -> int:
    """Returns how many concurrent requests this router may serve.

    Args:
        limit: Limit of the workspace in this data centre.
        own_host: Name of this router's host.
        demand: Concurrent requests, running and waiting, by host, this one
            included. Hosts that are absent need none.
        router_count: Routers in the data centre by the platform's list.
        has_current_peers: Whether the updates of peers are current.
        settled: Whether this router has wanted more than an even share for
            long enough to have received the demand of any others that do.
            Without this, two routers that a burst reaches at the same time
            each take the whole limit until they receive each other's demand.
    """
    if limit <= 0:
        return 0
    # At least one, so that a small limit does not shut out the workspace; the
    # excess is at most one per router.
    even_share = max(1, limit // max(1, router_count))
    if not has_current_peers:
        return even_share
    share = _divide(limit, own_host, demand, router_count)
    return share if settled else min(share, even_share)


def _divide(
    limit: int, own_host: str, demand: Mapping[str, int], router_count: int
) -> int:
    """Returns this router's max-min fair share of the limit."""
    left = limit
    open_hosts = {h: d for h, d in demand.items() if d > 0}
    shares = dict.fromkeys(open_hosts, 0)
    while left > 0 and open_hosts:
        even = left // len(open_hosts)
        if even == 0:
            for host in sorted(open_hosts)[:left]:
                shares[host] += 1
            break
        for host, wanted in list(open_hosts.items()):
            given = min(even, wanted - shares[host])
            shares[host] += given
            left -= given
            if shares[host] >= wanted:
                del open_hosts[host]
    # An even part of the unclaimed rest goes to this router's next arrivals, so
    # that a burst needn't wait for the next peer update.
    spare = left // max(1, router_count) if not open_hosts else 0
    return shares.get(own_host, 0) + spare
