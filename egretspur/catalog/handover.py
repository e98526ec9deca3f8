"""State from other hosts, for one that starts while the store is away.

Symptom without it: a host that is restarted during an outage knows no
configuration and refuses every caller until the store is back, while its
neighbours serve. What they know may be old, but never older than what they
serve by.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final, Generic, Protocol, TypeVar

from egretspur.catalog import feeds

_LOG: Final = logging.getLogger(__name__)

T = TypeVar("T")

# Hosts that are asked before giving up; each may take a time-out.
HOSTS_ASKED: Final = 3


class Topic(feeds.Source[T], Protocol[T]):
    """A source whose newest state can be carried between hosts."""

    name: str

    def read_snapshot(self, data: bytes) -> feeds.Whole[T] | feeds.Unavailable:
        """Returns the state that another host's snapshot holds."""


# Returns hosts that are alive, the nearest first.
ListHosts = Callable[[], list[str]]

# Returns a host's snapshot of a topic, or None if it gave none.
AskHost = Callable[[str, str], bytes | None]


class HandoverSource(Generic[T]):
    """A topic that falls back on other hosts; see `feeds.Source`."""

    def __init__(
        self, topic: Topic[T], list_hosts: ListHosts, ask: AskHost
    ) -> None:
        """Makes a source.

        Args:
            topic: Read first.
            list_hosts: Hosts to ask when it does not answer.
            ask: Asks one of them.
        """
        self._topic = topic
        self._list_hosts = list_hosts
        self._ask = ask

    def read_newest(self) -> feeds.Whole[T] | feeds.Unavailable:
        """Returns the newest state, from the store or from another host."""
        res = self._topic.read_newest()
        if isinstance(res, feeds.Whole):
            return res
        for host in self._list_hosts()[:HOSTS_ASKED]:
            data = self._ask(host, self._topic.name)
            if data is None:
                continue
            found = self._topic.read_snapshot(data)
            if isinstance(found, feeds.Whole):
                _LOG.info(
                    "state taken from another host",
                    extra={"host": host, "topic": self._topic.name},
                )
                return found
        return res

    def read_changes(
        self, offset: int, wait_s: float
    ) -> feeds.Changes[T] | feeds.Expired | feeds.Unavailable:
        """Returns what was written since."""
        return self._topic.read_changes(offset, wait_s)
