"""Timing of reads, so that calls to the store don't grow with hosts; pure.

In each data centre one host, the reader, reads both topics continuously. Its
peer updates contain the configuration's version and a digest of the list of
upstreams. When these differ from their own, the other hosts read the
configuration from the store and fetch the list from the reader
(`egretspur.catalog.handover`). They also do so at long intervals regardless.
"""

from __future__ import annotations

import math
from typing import Final

import attrs

from egretspur.catalog import feeds, positions

# How long the store may wait for a change in a read of the configuration. A
# dead connection is detected after this and a grace period.
CONFIG_WAIT_S: Final = 0.8

# The same while the store does not answer. With the time-out of a call it is
# shorter than the time within which a configuration must be in force.
CUT_OFF_WAIT_S: Final = 0.5

# Age of a reader's last answer for the configuration from which on it counts as
# lost: a wait, and an answer that comes late.
MAX_CONFIG_AGE_S: Final = 1.2

# Time between the reader's reads of the list. Requests to a draining upstream
# must stop within two seconds of its report.
LIST_PERIOD_S: Final = 0.8

# Time between reads of a host that is not the reader, unless a peer update
# shows newer state.
NON_READER_PERIOD_S: Final = 12.0

# Maximum age of a list that makes other hosts read, and whose host counts as a
# reader. Even if one datagram is lost, all hosts read within two seconds of a
# change.
MAX_LIST_AGE_S: Final = 1.5


@attrs.frozen
class ReadState:
    """What a host has read, as in its peer updates."""

    # Of the configuration; 0 for none.
    version: int
    # Of the list of upstreams.
    digest: int
    # Seconds since the list was read.
    list_age_s: float
    # The store's era when the list was read.
    era: int = 0
    # Whether its last call to the store for the configuration failed, or it
    # reads the list and no answer for the configuration has come for long.
    is_config_lost: bool = False


def get_config_timing(
    is_reader: bool, is_cut_off: bool = False
) -> feeds.Timing:
    """Returns the timing of the feed of the configuration.

    Args:
        is_reader: Whether this host reads the store for its data centre.
        is_cut_off: Whether the store no longer answers it. Its reads then are
            likely to end by their time-out, before which no other host is
            asked.
    """
    if is_reader and is_cut_off:
        return feeds.Timing(CUT_OFF_WAIT_S, 0.0)
    if is_reader:
        return feeds.Timing(CONFIG_WAIT_S, 0.0)
    return feeds.Timing(0.0, NON_READER_PERIOD_S)


def get_list_timing(is_reader: bool, due_s: float = math.inf) -> feeds.Timing:
    """Returns the timing of the feed of the list of upstreams.

    Args:
        is_reader: Whether this host reads the store for its data centre.
        due_s: Seconds until the list changes without a record.
    """
    period_s = LIST_PERIOD_S if is_reader else NON_READER_PERIOD_S
    return feeds.Timing(0.0, min(period_s, due_s))


def is_config_lost(has_failed: bool, age_s: float, list_age_s: float) -> bool:
    """Returns whether a host can't read the configuration for others.

    Args:
        has_failed: Whether its last call for the configuration failed.
        age_s: Seconds since the store's last answer for the configuration.
        list_age_s: Seconds since the list was read. A host that does not read
            the list is no reader, and need not read the configuration.
    """
    is_reading = list_age_s < MAX_LIST_AGE_S
    return has_failed or (is_reading and age_s >= MAX_CONFIG_AGE_S)


def is_config_stale(mine: ReadState, other: ReadState) -> bool:
    """Returns whether another host has a newer configuration."""
    return other.version > mine.version


def is_era_stale(mine: ReadState, other: ReadState) -> bool:
    """Returns whether another host has read a newer era of the store.

    Hosts that the store refuses detect a restore in this way.
    """
    order = positions.compare_eras(mine.era, other.era)
    return order is positions.EraOrder.NEWER


def is_list_stale(mine: ReadState, other: ReadState) -> bool:
    """Returns whether another host has a different list that is newer."""
    return (
        other.list_age_s < MAX_LIST_AGE_S
        and other.list_age_s < mine.list_age_s
        and other.digest != mine.digest
    )
