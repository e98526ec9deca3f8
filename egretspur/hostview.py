"""One daemon's cached copy of the platform's host list.

Shared by orders, planning and the routing table. While the platform does not
answer, it keeps the hosts that it read last.
"""

from __future__ import annotations

import threading

from egretspur import errors
from egretspur.clients import hosts as hostlist


class HostView:
    """Hosts of one data centre, and all entry hosts."""

    def __init__(self, client: hostlist.HostsClient, data_centre: str) -> None:
        self._client = client
        self._data_centre = data_centre
        self._lock = threading.Lock()
        self._local: dict[str, hostlist.Host] = {}
        self._entry: dict[str, hostlist.Host] = {}
        # Hosts that a routing table needs, by name of their data centre.
        self._remote: dict[str, dict[str, hostlist.Host]] = {}
        self._versions: dict[str, int] = {}
        self.is_reachable = False

    def refresh(self, remote: frozenset[str] = frozenset()) -> bool:
        """Reads changes of the host list; returns whether there were any.

        Args:
            remote: Other data centres whose hosts are needed.
        """
        changed = self._refresh_part(self._data_centre, "", "local")
        changed |= self._refresh_part("", hostlist.Role.ENTRY.value, "entry")
        for name in sorted(remote - {self._data_centre}):
            changed |= self._refresh_part(
                name, hostlist.Role.ENGINE.value, name
            )
        return changed

    def get_local(self) -> dict[str, hostlist.Host]:
        """Returns the hosts of this data centre by name."""
        with self._lock:
            return self._local

    def get_entry(self) -> dict[str, hostlist.Host]:
        """Returns all entry hosts by name."""
        with self._lock:
            return self._entry

    def get_remote(self) -> dict[str, hostlist.Host]:
        """Returns known engines of other data centres by name."""
        with self._lock:
            return {
                n: h for part in self._remote.values() for n, h in part.items()
            }

    def get_version(self) -> int:
        """Returns the version of the list of local hosts; 0 if never read."""
        with self._lock:
            return self._versions.get("local", 0)

    def _refresh_part(self, data_centre: str, role: str, part: str) -> bool:
        since = self._versions.get(part, 0)
        res = self._client.read(data_centre, role, since)
        if isinstance(res, errors.Refusal):
            self.is_reachable = False
            return False
        self.is_reachable = True
        if res.version == since:
            return False
        with self._lock:
            self._versions[part] = res.version
            if part == "local":
                self._local = hostlist.apply_changes(self._local, res)
            elif part == "entry":
                self._entry = hostlist.apply_changes(self._entry, res)
            else:
                known = self._remote.get(part, {})
                self._remote[part] = hostlist.apply_changes(known, res)
        return True
