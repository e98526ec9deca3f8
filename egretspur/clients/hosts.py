"""Client of the platform's list of live and leaving hosts.

Assumed wire form: ``GET /hosts?data_centre=&since=`` gives the fields of
`HostChanges`: what changed after version `since`, so that the bytes read grow
with the changes and not with the hosts. The list lags; nothing is decided from
it alone that a later look can't correct.
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
    # Layers it computes per second, over all tokens of a batch.
    layers_per_s: float = 0.0
    # Streams it batches at once.
    slots: int = 0
    # Bytes per second of its link to other hosts.
    link_bytes_s: float = 0.0
    # Whether its engine refuses an order with an old fencing number.
    checks_fence: bool = False


@attrs.frozen
class HostChanges:
    """The platform's answer."""

    # Version of the list; to be given as `since` next time.
    version: int
    # False if `since` is too old: `changed` then is the whole list.
    partial: bool
    changed: tuple[Host, ...]
    # Names no longer listed.
    removed: tuple[str, ...]


class HostsClient:
    """Reads the list."""

    def __init__(self, address: str, timeout_s: float) -> None:
        self._address = address
        self._transport = transport.Transport(timeout_s, timeout_s)

    def read(
        self, data_centre: str = "", role: str = "", since: int = 0
    ) -> HostChanges | errors.Refusal:
        """Returns what changed after a version.

        Args:
            data_centre: Only hosts there; all if empty.
            role: Only hosts of this role; all if empty.
            since: Version already known; 0 for the whole list.
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
    """Returns the list after changes."""
    hosts = dict(known) if changes.partial else {}
    for host in changes.changed:
        hosts[host.name] = host
    for name in changes.removed:
        hosts.pop(name, None)
    return hosts
