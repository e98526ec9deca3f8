"""Hosts of the models without network, which tell each other by datagrams."""

from __future__ import annotations

from collections.abc import Callable, Collection

import attrs

from egretspur.daemons import news
from egretspur.membership import datagrams
from egretspur.routing import broker

# Work that is due: when, and what is to be done.
Due = list[tuple[float, Callable[[], None]]]


@attrs.define(eq=False)
class Host:
    """A host's decisions."""

    ip: str
    data_centre: str
    state: broker.Broker
    next_news_s: float = 0.0
    # Reads what the other hosts tell it.
    decoder: datagrams.Decoder = attrs.Factory(datagrams.Decoder)


def tell(
    host: Host,
    hosts: Collection[Host],
    is_heard: Callable[[Host, Host], bool],
    now_s: float,
) -> list[Host]:
    """Has a host tell the others, for its data centre if it is first.

    Args:
        host: Who tells.
        hosts: All of them.
        is_heard: Whether a datagram from one to another arrives.
        now_s: Time of the model.

    Returns:
        Those that heard it.
    """
    heard = []
    view = news.StoreView(1, 0.0, 0.0, False, 0)
    own = news.collect(host.state, host.ip, view, {}, now_s)
    near_data = datagrams.encode_update(own)
    wide_data = datagrams.encode_update(news.widen(host.state, own, now_s))
    near = [h for h in hosts if h.data_centre == host.data_centre]
    for other in hosts:
        is_near = other.data_centre == host.data_centre
        if other is host or not (is_near or host is near[0]):
            continue
        if not is_heard(host, other):
            continue
        found = other.decoder.decode(near_data if is_near else wide_data)
        assert not isinstance(found, datagrams.InvalidUpdate), found
        other.state.hear(news.read(found), now_s)
        heard.append(other)
    return heard


def do_due(due: Due, now_s: float) -> None:
    """Does what is due and drops it; what is done may make more due."""
    now = [d for d in due if d[0] <= now_s]
    due[:] = [d for d in due if d[0] > now_s]
    for _, work in now:
        work()
