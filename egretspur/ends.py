"""Tells who ended an attempt; free of I/O.

An error of a connection does not say so by itself: a time-out of this host, a
reset by the upstream and a network that drops packets raise similar errors.
Read next: `egretspur.delivery.forward`.
"""

from __future__ import annotations

import enum
import errno
from collections.abc import Iterator
from typing import Final

_NETWORK_ERRNOS: Final = (
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
)


class EndedBy(enum.Enum):
    """Who ended an attempt or an answer."""

    # This host: a time-out, a decision or a stop.
    HOST = "host"
    # The upstream: it refused, failed, reset or closed the connection, or sent
    # data that can't be forwarded.
    UPSTREAM = "upstream"
    CALLER = "caller"
    # The host that passed its bytes on.
    HELPER = "helper"
    # Neither end: packets on an open connection were no longer acknowledged.
    NETWORK = "network"

    @property
    def is_own_side(self) -> bool:
        """Whether this host, or the helper that it asked, ended it."""
        return self in (EndedBy.HOST, EndedBy.HELPER)


class HelperLostError(ConnectionError):
    """A connection through another host ended, though not by the upstream."""


def classify_error(exc: BaseException) -> EndedBy:
    """Returns who ended a connection, given the error that it raised."""
    causes = list(_list_causes(exc))
    if any(isinstance(e, HelperLostError) for e in causes):
        return EndedBy.HELPER
    if any(getattr(e, "errno", None) in _NETWORK_ERRNOS for e in causes):
        return EndedBy.NETWORK
    # Without an error number, it is a time-out set on the socket.
    if any(isinstance(e, TimeoutError) and e.errno is None for e in causes):
        return EndedBy.HOST
    return EndedBy.UPSTREAM


def is_refused(exc: BaseException) -> bool:
    """Returns whether a connection failed since nobody listens there."""
    return any(isinstance(e, ConnectionRefusedError) for e in _list_causes(exc))


def _list_causes(exc: BaseException | None) -> Iterator[BaseException]:
    """Yields an error and those that led to it."""
    seen: set[int] = set()
    while exc is not None and id(exc) not in seen:
        seen.add(id(exc))
        yield exc
        exc = exc.__cause__ or exc.__context__
