"""Decides which tunnels a host opens for others.

Read next: `egretspur.tunnels.server`.
"""

from __future__ import annotations

import http
from collections.abc import Callable, Mapping

import attrs

from egretspur.tunnels import dialer, heads


@attrs.frozen
class Sources:
    """What tunnels need to know of the host."""

    # Returns the ids or names of the listed upstreams by address.
    list_upstreams: Callable[[], Mapping[str, str]]
    # Returns whether an IP is that of a host.
    is_known: Callable[[str], bool]
    # Returns whether this host is stopping.
    is_stopping: Callable[[], bool]
    # Called with an upstream's id or name, and status and header fields of its
    # answer to another host.
    note_answer: Callable[[str, int, Mapping[str, str]], None]


class Gate:
    """Opens tunnels to listed upstreams for known hosts; see `server.Rules`."""

    def __init__(self, own: dialer.Dialer, sources: Sources) -> None:
        self._dialer = own
        self._sources = sources

    def check(self, host: str, address: str) -> http.HTTPStatus:
        """Returns the answer to a host that asks for an upstream."""
        if (
            not self._sources.is_known(host)
            or address not in self._sources.list_upstreams()
        ):
            return http.HTTPStatus.FORBIDDEN
        if self._sources.is_stopping():
            return http.HTTPStatus.SERVICE_UNAVAILABLE
        if self._dialer.is_lost() or self._dialer.has_failed_lately(address):
            return self._get_failure()
        return http.HTTPStatus.OK

    def record(self, address: str, is_connected: bool) -> http.HTTPStatus:
        """Records whether this host connected; returns the answer to that."""
        self._dialer.record_for_other(address, is_connected)
        return http.HTTPStatus.OK if is_connected else self._get_failure()

    def _get_failure(self) -> http.HTTPStatus:
        """Returns the answer where there is no connection.

        A host that may reach no upstream at all says nothing of this one.
        """
        if self._dialer.may_judge():
            return http.HTTPStatus.BAD_GATEWAY
        return http.HTTPStatus.SERVICE_UNAVAILABLE

    def note_head(self, address: str, head: bytes) -> None:
        """Passes on the head of an upstream's answer."""
        upstream = self._sources.list_upstreams().get(address)
        answer = heads.parse(head)
        if upstream is not None and answer is not None:
            self._sources.note_answer(upstream, *answer)
