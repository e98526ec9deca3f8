"""Simulated hosts that exchange peer updates as datagrams, without network."""

from __future__ import annotations

from collections.abc import Callable, Collection

import attrs

from egretspur.daemons import news
from egretspur.membership import datagrams, evidence
from egretspur.routing import broker

# Scheduled work: its time and the function to call.
Due = list[tuple[float, Callable[[], None]]]


@attrs.define(eq=False)
class Host:
    """A simulated host."""

    ip: str
    data_centre: str
    state: broker.Broker
    next_update_s: float = 0.0
    # Decodes the peer updates of the other hosts.
    decoder: datagrams.Decoder = attrs.Factory(datagrams.Decoder)


def send_update(
    host: Host,
    hosts: Collection[Host],
    is_delivered: Callable[[Host, Host], bool],
    now_s: float,
) -> list[Host]:
    """Sends a host's peer update to the other hosts.

    The first host of a data centre is its speaker and also sends to the other
    data centres.

    Args:
        host: The sender.
        hosts: All hosts.
        is_delivered: Whether a datagram from one host to another arrives.
        now_s: Simulated time.

    Returns:
        The hosts that received it.
    """
    receivers = []
    view = news.StoreView(1, 0.0, 0.0, False, 0)
    own = news.make_update(host.state, host.ip, view, {}, now_s)
    near_data = datagrams.encode_update(own)
    wide_data = datagrams.encode_update(news.aggregate(host.state, own, now_s))
    known = evidence.EvidenceUpdate(
        host.ip, host.data_centre, host.state.quarantine.make_evidence(now_s)
    )
    near = [h for h in hosts if h.data_centre == host.data_centre]
    for other in hosts:
        is_near = other.data_centre == host.data_centre
        if other is host or not (is_near or host is near[0]):
            continue
        if not is_delivered(host, other):
            continue
        found = other.decoder.decode(near_data if is_near else wide_data)
        assert not isinstance(found, datagrams.InvalidUpdate), found
        other.state.apply_peer_update(news.make_broker_update(found), now_s)
        if not known.is_empty():
            told = evidence.decode(evidence.encode(known))
            assert isinstance(told, evidence.EvidenceUpdate), told
            other.state.apply_evidence(told.evidence, now_s)
        receivers.append(other)
    return receivers


def run_due(due: Due, now_s: float) -> None:
    """Runs and removes the work that is due; it may schedule more."""
    now = [d for d in due if d[0] <= now_s]
    due[:] = [d for d in due if d[0] > now_s]
    for _, work in now:
        work()
