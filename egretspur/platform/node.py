"""Decodes the platform's settings file into the product's settings."""

from __future__ import annotations

import os
import pathlib
from typing import Any, Final

import attrs
import orjson

from egretspur import addresses, bounds, decisions, held, unsent
from egretspur.platform import names

# For fields that the file omits.
_DEFAULT_BOUNDS: Final = {
    "drain_ms": 2000,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "retry_allowance": 200,
    "budget_window_s": 10,
    "stall_ms": 2000,
}

_DEFAULT_HEARTBEAT_MS: Final = 1200
_DEFAULT_MEMORY_MB: Final = 300
_DEFAULT_MAX_FDS: Final = 4100


@attrs.frozen(kw_only=True)
class HostSettings:
    """Settings of a host's process."""

    name: str
    ip: str
    data_centre: str
    data_centres: tuple[str, ...]
    # Addresses for callers and for the load balancer's readiness checks.
    listen: str
    listen_ready: str
    # Address for operators: metrics and state dump.
    listen_control: str
    # Port for peer updates (UDP) and tunnels (TCP).
    exchange_port: int
    # Addresses of a few hosts to contact first; may be stale.
    seeds: tuple[str, ...]
    store: str
    # Shortest time to live of a membership in a store group, in seconds.
    min_ttl_s: float
    drain_s: float
    grace_s: float
    retry_ratio: float
    retry_allowance: float
    retry_window_s: float
    bounds: bounds.Bounds
    # File descriptors that the process may use.
    max_fds: int
    # Memory that the process may use.
    memory_bytes: int
    # Part of it for the bodies of callers.
    held_bytes: int
    # Part of it for answers that callers have not taken.
    unsent_bytes: int

    @property
    def address(self) -> addresses.HostAddress:
        """Where this host listens for others."""
        return addresses.parse_control(
            f"{self.ip}:{self.listen_control.rpartition(':')[2]}",
            self.exchange_port,
        )

    def list_seeds(self) -> list[str]:
        """Returns the seeds, with this host's own port for peer updates.

        A malformed one is left out and logged: others may be sound.
        """
        found = []
        for seed in self.seeds:
            try:
                host = addresses.parse_control(seed, self.exchange_port)
            except ValueError as exc:
                decisions.record(
                    decisions.EntryLeftOut("settings", seed, "seeds", str(exc))
                )
                continue
            found.append(str(host))
        return found


class SettingsError(ValueError):
    """The settings file is unreadable, or a field is missing or wrong."""


def load_settings() -> HostSettings:
    """Reads the settings file; the environment has its path.

    Raises:
        SettingsError: Names the wrong field or why the file is unreadable.
    """
    path = os.environ.get(names.SETTINGS_VARIABLE, "")
    try:
        data = orjson.loads(pathlib.Path(path).read_bytes())
    except (OSError, orjson.JSONDecodeError) as exc:
        raise SettingsError(f"{path or 'no settings file'}: {exc}") from exc
    try:
        return decode_settings(data)
    except (KeyError, IndexError, TypeError, ValueError) as exc:
        raise SettingsError(f"{path}: missing or wrong: {exc!r}") from exc


class SettingsFile:
    """Detects changes of the settings file."""

    def __init__(self) -> None:
        self._version = self._get_version()

    def is_changed(self) -> bool:
        """Returns whether the file has changed since the previous call."""
        before, self._version = self._version, self._get_version()
        return before != self._version

    def _get_version(self) -> tuple[float, int]:
        try:
            stat = os.stat(os.environ.get(names.SETTINGS_VARIABLE, ""))
        except OSError:
            return 0.0, 0
        return stat.st_mtime, stat.st_ino


def decode_settings(data: dict[str, Any]) -> HostSettings:
    """Decodes the platform's settings."""
    limits = {**_DEFAULT_BOUNDS, **data.get("bounds", {})}
    machine = data.get("limits", {})
    memory_mb = machine.get("memory_mb", _DEFAULT_MEMORY_MB)
    held_mb = machine.get("held_body_mb", memory_mb * held.TOTAL_FRACTION)
    unsent_mb = machine.get("unsent_mb", memory_mb * unsent.TOTAL_FRACTION)
    store = data["platform"]
    cfg = HostSettings(
        name=data["node_name"],
        ip=data["ip"],
        data_centre=data["zone"],
        data_centres=tuple(sorted(data["zones"])),
        listen=data["listen"]["frontend"],
        listen_ready=data["listen"]["ready"],
        listen_control=data["listen"]["control_plane"],
        exchange_port=int(data["port_range"][0]),
        seeds=tuple(data.get("seeds") or ()),
        store=store["address"],
        min_ttl_s=store.get("min_ttl_ms", 1000) / 1000,
        drain_s=limits["drain_ms"] / 1000,
        grace_s=float(limits["grace_s"]),
        retry_ratio=float(limits["retry_budget_ratio"]),
        retry_allowance=float(limits["retry_allowance"]),
        retry_window_s=float(limits["budget_window_s"]),
        bounds=bounds.Bounds(
            stall_s=limits["stall_ms"] / 1000,
            heartbeat_s=data.get("heartbeat_ms", _DEFAULT_HEARTBEAT_MS) / 1000,
        ),
        max_fds=int(machine.get("max_fds", _DEFAULT_MAX_FDS)),
        memory_bytes=int(memory_mb * 1e6),
        held_bytes=int(held_mb * 1e6),
        unsent_bytes=int(unsent_mb * 1e6),
    )
    # Raises ValueError if it is malformed.
    _ = cfg.address
    return cfg
