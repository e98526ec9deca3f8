"""How often a host reads the store, so that calls don't grow with hosts: pure.

In each data centre one host reads both topics all the time and tells the
others what it has: the configuration's version and a digest of the list. When
that differs from their own, the others read the configuration from the store
and ask that host for the list (`egretspur.catalog.handover`); now and then they
do so all the same.
"""

from __future__ import annotations

from typing import Final

import attrs

from egretspur.catalog import feeds, positions

# How long a read of the configuration waits for a change. A connection that
# went silent is noticed after it.
CONFIG_WAIT_S: Final = 1.5

# Seconds between two reads of the list of upstreams. Work to one that leaves
# must end two seconds after its report.
LIST_PERIOD_S: Final = 0.8

# A host that doesn't read for the others reads both topics so rarely, unless
# it is told of something newer.
SPARE_PERIOD_S: Final = 12.0

# A list that was read so long ago is no reason for others to read theirs, and
# its host is no reader: with the period, a datagram that was lost and one that
# is about to come, all hosts read within two seconds of a change.
FRESH_S: Final = 1.5


@attrs.frozen
class Known:
    """What a host has read, as it tells others."""

    # Version of the configuration; 0 for none.
    version: int
    # Of the list of upstreams.
    digest: int
    # Seconds since the list was read.
    list_age_s: float
    # Of the store when the list was read.
    era: int = 0


def get_config_pace(is_reader: bool) -> feeds.Pace:
    """Returns how to read the configuration."""
    if is_reader:
        return feeds.Pace(CONFIG_WAIT_S, 0.0)
    return feeds.Pace(0.0, SPARE_PERIOD_S)


def get_list_pace(is_reader: bool) -> feeds.Pace:
    """Returns how to read the list of upstreams."""
    return feeds.Pace(0.0, LIST_PERIOD_S if is_reader else SPARE_PERIOD_S)


def is_config_due(mine: Known, other: Known) -> bool:
    """Tells whether another host has a newer configuration."""
    return other.version > mine.version


def is_copy_due(mine: Known, other: Known) -> bool:
    """Tells whether another host has read a copy of the store after this one.

    Hosts that the store turns away learn of the copy by it.
    """
    standing = positions.compare_eras(mine.era, other.era)
    return standing is positions.Standing.NEWER


def is_list_due(mine: Known, other: Known) -> bool:
    """Tells whether another host has a list that is newer and differs."""
    return (
        other.list_age_s < FRESH_S
        and other.list_age_s < mine.list_age_s
        and other.digest != mine.digest
    )
