"""Updates that travel apart from the peer update.

Older builds check the length of a peer update, so it can't grow. What newer
builds send besides goes in datagrams of its own, each kind with a tag by which
they are told apart, and only while there is anything to send. Read next:
`egretspur.membership.exchange`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Generic, Protocol, TypeVar

import attrs

from egretspur.membership import datagrams


class Update(Protocol):
    """An update of any kind."""

    @property
    def host(self) -> str:
        """The sending host; see `egretspur.addresses`."""

    @property
    def data_centre(self) -> str:
        """Data centre of the sending host; its speaker passes it on."""

    def is_empty(self) -> bool:
        """Returns whether there is nothing to send."""


U = TypeVar("U", bound=Update)


@attrs.frozen
class Kind(Generic[U]):
    """One kind of update: its encoding, source and destination."""

    # How its datagrams begin.
    prefix: bytes
    encode: Callable[[U], bytes]
    decode: Callable[[bytes], U | datagrams.InvalidUpdate]
    # Returns this host's update, or as the speaker that of its data centre.
    make: Callable[[bool], U]
    # Receives the updates of others, oldest first.
    handle: Callable[[Sequence[U]], None]
    # Empty updates sent after the last one with content. They end what others
    # hold back for this host; one of them may be lost.
    end_updates: int = 0


class SideChannel(Generic[U]):
    """Sends and receives the updates of one kind."""

    def __init__(self, kind: Kind[U]) -> None:
        self.prefix = kind.prefix
        self._kind = kind
        # Empty updates still to be sent, to this data centre (False) and as its
        # speaker to others (True).
        self._left: dict[bool, int] = {}

    def make_update(self, is_speaker: bool) -> U | None:
        """Returns the update to send now; None if there is none."""
        update = self._kind.make(is_speaker)
        left = self._kind.end_updates
        if update.is_empty():
            left = self._left.get(is_speaker, 0) - 1
        self._left[is_speaker] = left
        return update if left >= 0 else None

    def encode(self, update: U) -> bytes:
        """Returns the datagram for an update."""
        return self._kind.encode(update)

    def decode(self, data: bytes) -> U | datagrams.InvalidUpdate:
        """Returns the update in a datagram, or why it is refused."""
        return self._kind.decode(data)

    def handle(self, updates: Sequence[U]) -> None:
        """Passes received updates on."""
        if updates:
            self._kind.handle(updates)


# A channel of any kind.
AnyChannel = SideChannel[Any]
