"""What a host tells the others of itself, and takes from what they tell: pure.

Translates between the broker's state and the datagrams of the exchange. Read
next: `egretspur.membership.exchange` and `egretspur.membership.datagrams`.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Final

import attrs

from egretspur.catalog import reading
from egretspur.membership import datagrams
from egretspur.routing import broker, fleet

# Layers that an engine reported after an order are told to other hosts until
# the list shows them, and no longer than this where it never does: a heartbeat,
# a read of the list, and the time after which the store counts as away. While
# it is away they are told until it is back.
LAYERS_TOLD_S: Final = 6.0

# Age told of a list that was never read.
NEVER_S: Final = 1e6


@attrs.frozen
class StoreView:
    """What a host has of the store."""

    # Version of the configuration in force; 0 for none.
    version: int
    # Seconds since the store answered this host, and gave it the list.
    age_s: float
    list_age_s: float
    # No host near by has the store.
    is_away: bool
    # Of the store as its list was read.
    era: int


def collect(
    state: broker.Broker,
    ip: str,
    view: StoreView,
    peers: Mapping[str, str],
    now_s: float,
) -> datagrams.PeerUpdate:
    """Returns what a host tells the others of its data centre.

    Args:
        state: What it knows of requests and upstreams.
        ip: Its address.
        view: What it has of the store.
        peers: Hosts to name, with their data centres.
        now_s: Monotonic time.
    """
    own = state.fleet
    return datagrams.PeerUpdate(
        host=ip,
        data_centre=own.data_centre,
        store_age_s=max(0.0, view.age_s),
        known=reading.ReadState(
            view.version,
            own.compute_digest(),
            min(max(0.0, view.list_age_s), NEVER_S),
            view.era,
        ),
        usage=dict(own.memory.own),
        pace=own.paces.list_slow(),
        dead=own.health.list_dead(now_s),
        layers=own.layer_changes.list_published(
            math.inf if view.is_away else LAYERS_TOLD_S, now_s
        ),
        peers=peers,
        excess=own.memory.list_excess(now_s),
        suspects=own.list_suspects(now_s, False),
        spent=state.retry_budgets.list_spent(now_s),
        ended=state.quarantine.list_updates(
            datagrams.MAX_CRASHED_REQUESTS, now_s
        ),
        is_new=state.retry_budgets.is_new(now_s),
        limits=state.throttle.list_updates(now_s),
    )


def widen(
    state: broker.Broker, news: datagrams.PeerUpdate, now_s: float
) -> datagrams.PeerUpdate:
    """Returns a host's news with what its whole data centre has."""
    return attrs.evolve(
        news,
        usage=state.fleet.memory.sum_data_centre(now_s),
        suspects=state.fleet.list_suspects(now_s, True),
        spent=state.retry_budgets.sum_local(now_s),
        limits=state.throttle.list_updates(now_s, is_speaker=True),
    )


def read(news: datagrams.PeerUpdate) -> fleet.PeerUpdate:
    """Returns what the broker takes of another host's news."""
    return fleet.PeerUpdate(
        host=news.host,
        data_centre=news.data_centre,
        usage=news.usage,
        pace=news.pace,
        dead=news.dead,
        layers=news.layers,
        excess=news.excess,
        suspects=news.suspects,
        spent=news.spent,
        ended=news.ended,
        is_new=news.is_new,
        limits=news.limits,
    )
