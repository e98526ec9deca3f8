"""Decides which host may run a non-repeatable call: a pure fold of claims.

Claims are stored in partitions of the platform's log, by hash of their key. The
first claim of a key, by offset, wins. Having one host append and read a
partition only saves work: a host with a wrong view of the owner must still read
its own claim back before it grants the call.
"""

from __future__ import annotations

import hashlib
from typing import Final

import attrs

from egretspur import codec

# Claims kept per partition. An id is no longer protected once its claim is
# evicted, which takes over an hour at the target rates.
KEYS_MAX: Final = 100_000


@attrs.frozen
class Claim:
    """A host requests to run the call with this key."""

    # Unique per arrival at an entry host; the same if its append is retried.
    id: str
    # Workspace, service and the caller's request id.
    key: str
    by: str


@attrs.frozen
class Release:
    """A host gives up a claim whose call it has not sent and won't send."""

    id: str
    key: str
    by: str


CODEC: Final = codec.Union(Claim, Release)


@attrs.frozen
class Owner:
    """The claim that holds a key."""

    claim_id: str
    by: str
    offset: int


@attrs.define
class Partition:
    """Folded claims of one partition."""

    # Offset of the last record folded.
    offset: int = 0
    owners: dict[str, Owner] = attrs.Factory(dict)
    # Released claim ids; a late repeat of their append must take no effect.
    released: dict[str, int] = attrs.Factory(dict)


@attrs.frozen
class Granted:
    """The call may be sent, once."""


@attrs.frozen
class Taken:
    """Another arrival with the same key holds it."""

    by: str


@attrs.frozen
class Unread:
    """The claim has not been read back yet."""


Verdict = Granted | Taken | Unread


def fold(partition: Partition, offset: int, record: Claim | Release) -> None:
    """Folds one record; records at or below the offset are ignored."""
    if offset <= partition.offset:
        return
    partition.offset = offset
    if isinstance(record, Release):
        owner = partition.owners.get(record.key)
        partition.released[record.id] = offset
        if owner is not None and owner.claim_id == record.id:
            del partition.owners[record.key]
        _evict_oldest(partition.released)
        return
    if record.id in partition.released or record.key in partition.owners:
        return
    partition.owners[record.key] = Owner(record.id, record.by, offset)
    _evict_oldest(partition.owners)


def decide(partition: Partition, claim: Claim) -> Verdict:
    """Decides a claim from the records read so far."""
    if claim.id in partition.released:
        return Taken(claim.by)
    owner = partition.owners.get(claim.key)
    if owner is None:
        return Unread()
    if owner.claim_id == claim.id:
        return Granted()
    return Taken(owner.by)


def find_partition(key: str, count: int) -> int:
    """Returns the partition of a key; the same on every host."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % count


def find_owner(partition: int, hosts: list[str]) -> str:
    """Returns the host that serves a partition in this view of the hosts.

    Rendezvous hashing: if a host joins or leaves, only its partitions move.
    """
    return max(
        hosts,
        key=lambda h: hashlib.blake2b(
            f"{partition}/{h}".encode(), digest_size=8
        ).digest(),
    )


def make_stream_name(partition: int) -> str:
    """Returns the name of a partition's stream in the log."""
    return f"claims-{partition}"


def _evict_oldest(kept: dict[str, Owner] | dict[str, int]) -> None:
    if len(kept) > KEYS_MAX:
        del kept[next(iter(kept))]
