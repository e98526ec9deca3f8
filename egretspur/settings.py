"""Settings of every program: TOML files, validated completely at the start.

All mistakes of a file are reported together, each with its key and the expected
value, so that an operator can correct them at once. One options class per
program is passed down; there are no globals.
"""

from __future__ import annotations

import ipaddress
import pathlib
import tomllib
import typing
from typing import Any, Final, TypeVar

import attrs

from egretspur import held, unsent

T = TypeVar("T")

# Exit code of every program when its settings are wrong.
EXIT_SETTINGS: Final = 2


@attrs.frozen
class Mistake:
    """One mistake in a settings file."""

    file: str
    # Dotted key, for example ``timing.connect_s``.
    key: str
    expected: str

    def __str__(self) -> str:
        return f"{self.file}: {self.key}: expected {self.expected}"


def at_least(low: float) -> Any:
    """Field metadata: the smallest value allowed."""
    return {"low": low}


def choice(*values: str) -> Any:
    """Field metadata: the closed list of values allowed."""
    return {"choice": values}


ADDRESS: Final = {"address": True}


@attrs.frozen(kw_only=True)
class NodeSettings:
    """Identity and listening address of this process."""

    # Unique name of the entry host.
    name: str
    data_centre: str
    # IP address and port; port 0 lets the system choose.
    listen: str = attrs.field(metadata=ADDRESS)
    log_level: str = attrs.field(
        default="info", metadata=choice("debug", "info", "warning", "error")
    )


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Addresses and bounds of the platform's services."""

    log: str = attrs.field(metadata=ADDRESS)
    hosts: str = attrs.field(metadata=ADDRESS)
    weights: str = attrs.field(metadata=ADDRESS)
    # Seconds after which a call to the platform counts as unanswered.
    timeout_s: float = attrs.field(default=2.0, metadata=at_least(0.05))
    # Minimum seconds for which the log keeps a record.
    retention_s: float = attrs.field(default=86400.0, metadata=at_least(1))


@attrs.frozen(kw_only=True)
class LeaseSettings:
    """Bounds of the order lease; all in seconds."""

    # Renewed at half of it; a longer one costs fewer records of the log and
    # a later takeover, during which serving goes on.
    duration_s: float = attrs.field(default=12.0, metadata=at_least(0.2))
    # The holder stops this long before the lease ends.
    margin_s: float = attrs.field(default=1.0, metadata=at_least(0.02))
    # Longest time an order can be in transit.
    flight_s: float = attrs.field(default=1.0, metadata=at_least(0.02))
    # How long a retired holding stays loaded for requests in flight.
    drain_s: float = attrs.field(default=5.0, metadata=at_least(0))
    # Silence of an engine after which its layers go to a spare.
    dead_after_s: float = attrs.field(default=10.0, metadata=at_least(0.1))
    # Engines that load at the same time in a data centre, so that the weight
    # store's rate goes to the most urgent first.
    loads_at_once: int = attrs.field(default=8, metadata=at_least(1))
    # Engines polled per second that have no orders in progress.
    audit_per_s: float = attrs.field(default=5.0, metadata=at_least(0.1))
    # Seconds between two polls of engines with orders in progress.
    period_s: float = attrs.field(default=0.5, metadata=at_least(0.02))


@attrs.frozen(kw_only=True)
class PeerSettings:
    """Bounds of the exchange between entry hosts."""

    # Seconds between two exchanges started by this host.
    period_s: float = attrs.field(default=2.0, metadata=at_least(0.05))
    # Seconds without updates after which a peer counts as gone.
    gone_after_s: float = attrs.field(default=20.0, metadata=at_least(0.2))
    # Maximum number of entries in a message.
    entries: int = attrs.field(default=24, metadata=at_least(1))
    # Hosts per data centre that follow the log directly.
    followers: int = attrs.field(default=3, metadata=at_least(1))
    # Seconds between two reads of the log by a host that does not follow it.
    fallback_s: float = attrs.field(default=10.0, metadata=at_least(0.2))


@attrs.frozen(kw_only=True)
class ControlSettings:
    """All settings of ``egretspur-control``."""

    node: NodeSettings
    platform: PlatformSettings
    lease: LeaseSettings = LeaseSettings()
    peers: PeerSettings = PeerSettings()


@attrs.frozen(kw_only=True)
class LimitSettings:
    """Bounds on what callers may send and how many requests are held."""

    body_bytes: int = attrs.field(default=1_000_000, metadata=at_least(1))
    # Bytes of the bodies of all callers that are held at a time.
    held_bytes: int = attrs.field(
        default=held.DEFAULT_BYTES, metadata=at_least(1)
    )
    # Bytes of answers that all callers together have not taken.
    unsent_bytes: int = attrs.field(
        default=unsent.DEFAULT_BYTES, metadata=at_least(1)
    )
    header_bytes: int = attrs.field(default=32_768, metadata=at_least(256))
    header_count: int = attrs.field(default=100, metadata=at_least(1))
    # Seconds a caller may take to send a request.
    send_s: float = attrs.field(default=30.0, metadata=at_least(0.1))
    # Requests that may wait for an upstream, all workspaces together.
    queue_length: int = attrs.field(default=512, metadata=at_least(0))
    # Seconds for which a workspace must want more than an even share of its
    # limit at this router before it gets unused shares of other routers, so
    # that their demand is received first.
    settle_s: float = attrs.field(default=5.0, metadata=at_least(0))
    # Requests served at the same time; each takes a thread.
    streams: int = attrs.field(default=256, metadata=at_least(1))


@attrs.frozen(kw_only=True)
class TimingSettings:
    """Time bounds of requests; all in seconds."""

    connect_s: float = attrs.field(default=0.5, metadata=at_least(0.01))
    # Silence allowed before the first event of an attempt.
    first_event_s: float = attrs.field(default=5.0, metadata=at_least(0.05))
    # Silence allowed between two events of an attempt.
    between_events_s: float = attrs.field(default=2.0, metadata=at_least(0.05))
    # Time allowed for a plain service's answer.
    service_s: float = attrs.field(default=10.0, metadata=at_least(0.05))
    # A request that can't be started within this time is refused.
    deadline_s: float = attrs.field(default=10.0, metadata=at_least(0.05))
    # How long a load balancer may still send requests after this process
    # reports that it is not ready.
    linger_s: float = attrs.field(default=3.0, metadata=at_least(0))
    # Longest wait for requests in flight at shutdown.
    drain_s: float = attrs.field(default=300.0, metadata=at_least(0))


@attrs.frozen(kw_only=True)
class RetrySettings:
    """Bounds of retries."""

    # Retries granted per request, on average.
    ratio: float = attrs.field(default=0.1, metadata=at_least(0))
    # Retries that may be saved up.
    burst: float = attrs.field(default=10.0, metadata=at_least(0))
    # Attempts of one request, resumed ones included.
    attempts: int = attrs.field(default=6, metadata=at_least(1))


@attrs.frozen(kw_only=True)
class ServiceSettings:
    """One plain service and its calls that must not be repeated."""

    name: str
    # ``METHOD /path`` prefixes, for example ``POST /orders``.
    never_repeat: tuple[str, ...] = ()
    # Path to query for the outcome of an id, with ``{id}``; empty if the
    # service has none.
    outcome_path: str = ""
    # Whether such calls are refused or run while the log is unavailable.
    log_outage: str = attrs.field(
        default="refuse", metadata=choice("refuse", "run")
    )


@attrs.frozen(kw_only=True)
class RouterSettings:
    """All settings of ``egretspur-router``."""

    node: NodeSettings
    # Address of the control daemon on the same host.
    control: str = attrs.field(metadata=ADDRESS)
    # Address of the platform's log service, for claims.
    log: str = attrs.field(metadata=ADDRESS)
    limits: LimitSettings = LimitSettings()
    timing: TimingSettings = TimingSettings()
    retries: RetrySettings = RetrySettings()
    services: tuple[ServiceSettings, ...] = ()
    # TCP port on which routers connect upstreams for each other, the same on
    # all hosts; 0 for none.
    tunnel_port: int = attrs.field(default=7072, metadata=at_least(0))


def load_settings(path: pathlib.Path, cls: type[T]) -> T | list[Mistake]:
    """Reads and checks one file.

    Returns:
        The options, or every mistake found.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as exc:
        return [Mistake(str(path), "-", f"a readable file ({exc.strerror})")]
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        return [Mistake(str(path), "-", f"TOML ({exc})")]
    checker = Checker(str(path))
    options = checker.check_table("", data, cls)
    return checker.mistakes or options


class Checker:
    """Walks a parsed file along an options class and collects mistakes."""

    def __init__(self, file: str) -> None:
        self._file = file
        self.mistakes: list[Mistake] = []

    def check_table(self, prefix: str, data: Any, cls: type[T]) -> T:
        """Returns the options of a table; meaningless if there are mistakes.

        Args:
            prefix: Key of the table, with a dot behind, or empty.
            data: Parsed table.
            cls: Options class it must fit.
        """
        fields = {a.name: a for a in attrs.fields(cls)}  # type: ignore[arg-type]
        for key in data:
            if key not in fields:
                known = ", ".join(sorted(fields))
                self._add(prefix + key, f"a known key, one of: {known}")
        hints = typing.get_type_hints(cls)
        values: dict[str, Any] = {}
        for name, field in fields.items():
            if name in data:
                values[name] = self._check_value(
                    prefix + name, data[name], hints[name], field.metadata
                )
            elif field.default is attrs.NOTHING:
                self._add(prefix + name, "a value; the key is missing")
        if self.mistakes:
            return typing.cast(T, None)
        return cls(**values)

    def _check_value(
        self, key: str, value: Any, kind: Any, metadata: Any
    ) -> Any:
        if attrs.has(kind):
            if not isinstance(value, dict):
                self._add(key, "a table")
                return None
            return self.check_table(key + ".", value, kind)
        if typing.get_origin(kind) is tuple:
            return self._check_list(key, value, typing.get_args(kind)[0])
        return self._check_scalar(key, value, kind, metadata)

    def _check_list(self, key: str, value: Any, kind: Any) -> Any:
        if not isinstance(value, list):
            self._add(key, "a list")
            return ()
        return tuple(
            self._check_value(f"{key}[{i}]", item, kind, {})
            for i, item in enumerate(value)
        )

    def _check_scalar(
        self, key: str, value: Any, kind: Any, metadata: Any
    ) -> Any:
        if kind is float and type(value) is int:
            value = float(value)
        if type(value) is not kind:
            self._add(key, f"{kind.__name__}, got {value!r}")
            return value
        low = metadata.get("low")
        if low is not None and not value >= low:
            self._add(key, f"at least {low}, got {value!r}")
        values = metadata.get("choice")
        if values is not None and value not in values:
            self._add(key, f"one of {', '.join(values)}, got {value!r}")
        if metadata.get("address") and not is_address(value):
            self._add(key, f"IP:port, got {value!r}")
        return value

    def _add(self, key: str, expected: str) -> None:
        self.mistakes.append(Mistake(self._file, key, expected))


def is_address(text: str) -> bool:
    """Tells whether text is an IP address with a port, as ``10.0.0.1:80``."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        return 0 <= int(port) <= 65535
    except ValueError:
        return False
