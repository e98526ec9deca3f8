"""Client of the platform's list of live and leaving hosts.

Assumed wire format: ``GET /hosts?data_centre=&role=&since=`` returns the fields
of `HostChanges`: the changes after version `since`, so that the bytes read grow
with the changes and not with the hosts. The list lags, so only decisions that a
later read can correct may depend on it alone.
"""

from __future__ import annotations

import enum
import urllib.parse
from typing import Final

import attrs

from egretspur import codec, errors, transport

LIVE: Final = "live"


class Role(enum.Enum):
    """What a host does."""

    ENGINE = "engine"
    SERVICE = "service"
    ENTRY = "entry"


@attrs.frozen
class Host:
    """One host as the platform lists it."""

    name: str
    role: Role
    address: str
    data_centre: str
    # Changes whenever the host is restarted or replaced.
    incarnation: str
    # ``live`` or ``leaving``.
    state: str = LIVE
    rack: str = ""
    # Name of the plain service; empty for other roles.
    service: str = ""
    accelerator: str = ""
    memory_bytes: int = 0
    # Layers computed per second, over all tokens of a batch.
    layers_per_s: float = 0.0
    # Streams batched at once.
    slots: int = 0
    # Capacity of its link to other hosts, in bytes per second.
    link_bytes_s: float = 0.0
    # Whether its engine refuses an order with an old fencing number.
    checks_fence: bool = False


@attrs.frozen
class HostChanges:
    """Changes of the list of hosts since a version."""

    # Version of the list, for `since` in the next read.
    version: int
    # False if `since` is too old; `changed` is then the complete list.
    partial: bool
    changed: tuple[Host, ...]
    # Names no longer listed.
    removed: tuple[str, ...]


class HostsClient:
    """Reads the list of hosts."""

    def __init__(self, address: str, timeout_s: float) -> None:
        self._address = address
        self._transport = transport.Transport(timeout_s, timeout_s)

    def read(
        self, data_centre: str = "", role: str = "", since: int = 0
    ) -> HostChanges | errors.Refusal:
        """Returns the changes after a version.

        Args:
            data_centre: Only hosts in this data centre; all if empty.
            role: Only hosts with this role; all if empty.
            since: Version already known; 0 for the complete list.
        """
        query = urllib.parse.urlencode(
            {"data_centre": data_centre, "role": role, "since": since}
        )
        res = self._transport.call("GET", self._address, f"/hosts?{query}")
        if isinstance(res, transport.Failed):
            return errors.Refusal(
                errors.ErrorKind.UPSTREAM_FAILED, f"host list: {res.reason}"
            )
        try:
            return codec.load(res.body, HostChanges)
        except codec.DecodeError as exc:
            return errors.Refusal(
                errors.ErrorKind.UPSTREAM_FAILED, f"host list: {exc}"
            )

    def close(self) -> None:
        """Closes the connections."""
        self._transport.close()


def apply_changes(
    known: dict[str, Host], changes: HostChanges
) -> dict[str, Host]:
    """Returns the list with changes applied."""
    hosts = dict(known) if changes.partial else {}
    for host in changes.changed:
        hosts[host.name] = host
    for name in changes.removed:
        hosts.pop(name, None)
    return hosts
