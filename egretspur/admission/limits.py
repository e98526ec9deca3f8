"""Each router's share of a workspace's limit: pure.

All routers of a data centre compute the same division from the demand they
tell each other: those that need less than an even share keep what they need,
the rest is divided evenly among the others. Without news each assumes that
all listed routers want their even share, so a cut-off one stays within it.
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
    """Returns how many requests at once this router may serve.

    Args:
        limit: Limit of the workspace in this data centre.
        own_host: Name of this router's host.
        demand: Requests at once, running and waiting, by host; this one's
            included. Hosts that state none need none.
        router_count: Routers in the data centre by the platform's list.
        has_current_peers: Whether news of peers is current.
        settled: Whether this router has wanted more than an even share for
            long enough that news of others who do must have come. Without
            this, two routers that a burst reaches together each take all of
            the limit until they hear of each other.
    """
    if limit <= 0:
        return 0
    # Rounded up to one so that a small limit does not shut out a workspace
    # altogether; the excess is at most one per router.
    even_share = max(1, limit // max(1, router_count))
    if not has_current_peers:
        return even_share
    share = _divide(limit, own_host, demand, router_count)
    return share if settled else min(share, even_share)


def _divide(
    limit: int, own_host: str, demand: Mapping[str, int], router_count: int
) -> int:
    """Returns this router's part of the limit by everyone's demand."""
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
    # What nobody asked for is left open to this router's next arrivals, in
    # an even part, so that a burst needn't wait for the next exchange.
    spare = left // max(1, router_count) if not open_hosts else 0
    return shares.get(own_host, 0) + spare
