"""Converts between the broker's state and peer updates: pure functions.

Peer updates are what hosts send to each other in the datagrams of the exchange.
Read next: `egretspur.membership.exchange` and
`egretspur.membership.datagrams`.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Final

import attrs

from egretspur.catalog import reading
from egretspur.membership import contention, datagrams, evidence, slowness
from egretspur.routing import broker, fleet

# Layers that an engine reported after an order are published to other hosts
# until the list shows them, but no longer than this: a heartbeat, a read of the
# list, and the time after which the store counts as away. While the store is
# away they are published without limit.
LAYERS_PUBLISHED_S: Final = 6.0

# Age sent for a list that was never read.
NEVER_READ_AGE_S: Final = 1e6


@attrs.frozen
class StoreView:
    """What a host has read from the store, and when."""

    # Version of the configuration in force; 0 for none.
    version: int
    # Seconds since the store last answered this host.
    age_s: float
    # Seconds since the host last read the list of upstreams.
    list_age_s: float
    # No host of this data centre gets answers from the store.
    is_away: bool
    # Era of the store when the list was read.
    era: int
    # Whether the last call to the store for the configuration failed.
    is_config_lost: bool = False


def make_update(
    state: broker.Broker,
    host: str,
    store_view: StoreView,
    peers: Mapping[str, str],
    now_s: float,
) -> datagrams.PeerUpdate:
    """Returns a host's update for the others of its data centre.

    Args:
        state: State of the host's broker.
        host: The host; see `egretspur.addresses`.
        store_view: What the host has read from the store.
        peers: Other hosts to list, with their data centres.
        now_s: Monotonic time.
    """
    own = state.fleet
    return datagrams.PeerUpdate(
        host=host,
        data_centre=own.data_centre,
        store_age_s=max(0.0, store_view.age_s),
        known=reading.ReadState(
            store_view.version,
            own.compute_digest(),
            min(max(0.0, store_view.list_age_s), NEVER_READ_AGE_S),
            store_view.era,
            store_view.is_config_lost,
        ),
        usage=dict(own.memory.own),
        pace=own.paces.list_slow(),
        dead=own.list_dead(now_s),
        layers=own.layer_changes.list_published(
            math.inf if store_view.is_away else LAYERS_PUBLISHED_S, now_s
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
        failing=own.replicas.list_failing(now_s, is_speaker=False),
    )


def aggregate(
    state: broker.Broker, own: datagrams.PeerUpdate, now_s: float
) -> datagrams.PeerUpdate:
    """Returns a host's update with the totals of its data centre."""
    return attrs.evolve(
        own,
        usage=state.fleet.memory.sum_data_centre(now_s),
        suspects=state.fleet.list_suspects(now_s, True),
        spent=state.retry_budgets.sum_local(now_s),
        limits=state.throttle.list_updates(now_s, is_speaker=True),
        failing=state.fleet.replicas.list_failing(now_s, is_speaker=True),
    )


def make_broker_update(update: datagrams.PeerUpdate) -> fleet.PeerState:
    """Returns the part of another host's update that the broker applies."""
    return fleet.PeerState(
        host=update.host,
        data_centre=update.data_centre,
        usage=update.usage,
        pace=update.pace,
        dead=update.dead,
        layers=update.layers,
        excess=update.excess,
        suspects=update.suspects,
        spent=update.spent,
        ended=update.ended,
        is_new=update.is_new,
        limits=update.limits,
        failing=update.failing,
    )


def make_contention(
    state: broker.Broker, host: str, is_speaker: bool, now_s: float
) -> contention.ContentionUpdate:
    """Returns a host's contention update.

    Args:
        state: State of the host's broker.
        host: The host; see `egretspur.addresses`.
        is_speaker: Whether it goes to other data centres, with the totals of
            this one.
        now_s: Monotonic time.
    """
    make = (
        state.contention.aggregate
        if is_speaker
        else state.contention.make_update
    )
    return make(host, state.fleet.data_centre, now_s)


def make_slowness(
    state: broker.Broker, host: str, is_speaker: bool, now_s: float
) -> slowness.SlownessUpdate:
    """Returns a host's update on slow replicas; see `make_contention`."""
    replicas = state.fleet.replicas.list_known()
    return slowness.SlownessUpdate(
        host,
        state.fleet.data_centre,
        state.timeouts.list_slow(replicas, is_speaker, now_s),
    )


def make_evidence(
    state: broker.Broker, host: str, is_speaker: bool, now_s: float
) -> evidence.EvidenceUpdate:
    """Returns a host's update on prompt segments; see `make_contention`.

    Other data centres get what this one knows by itself too.
    """
    return evidence.EvidenceUpdate(
        host,
        state.fleet.data_centre,
        state.quarantine.make_evidence(now_s),
    )
