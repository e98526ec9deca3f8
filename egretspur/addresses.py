"""Where a host listens, which is also how other hosts know it: pure.

Hosts may share an IP address and differ by their ports alone, so a host is
identified by all of them, written ``IP:EXCHANGE/CONTROL``. Whoever knows a host
thereby knows where to send to it. Hosts of older builds send their IP alone;
they are found only where ports are the same on all hosts.
"""

from __future__ import annotations

import functools
import ipaddress
from typing import Final

import attrs

_MAX_PORT: Final = 65535


@attrs.frozen(order=True)
class HostAddress:
    """Where a host listens; a host of an older build has ports 0."""

    ip: ipaddress.IPv4Address
    # For peer updates (UDP) and tunnels (TCP).
    exchange_port: int = 0
    # For its pages.
    control_port: int = 0

    def __str__(self) -> str:
        if not self.exchange_port:
            return str(self.ip)
        return f"{self.ip}:{self.exchange_port}/{self.control_port}"

    @property
    def endpoint(self) -> tuple[str, int]:
        """Address and port of its peer updates and tunnels, for a socket."""
        return str(self.ip), self.exchange_port

    @property
    def control(self) -> str:
        """Address and port of its pages."""
        return f"{self.ip}:{self.control_port}"

    def complete(self, host: str) -> str:
        """Returns a host with its ports: this one's if it names none."""
        parsed = parse(host)
        if parsed.exchange_port:
            return str(parsed)
        return str(attrs.evolve(self, ip=parsed.ip))


# A host receives datagrams from about a hundred others several times a second.
@functools.lru_cache(maxsize=2048)
def parse(host: str) -> HostAddress:
    """Returns where a host listens; raises ValueError."""
    ip, colon, rest = host.partition(":")
    address = ipaddress.IPv4Address(ip)
    if not colon:
        return HostAddress(address)
    exchange, _, control = rest.partition("/")
    return HostAddress(address, _parse_port(exchange), _parse_port(control))


def parse_control(address: str, exchange_port: int) -> HostAddress:
    """Returns the host with a control address; raises ValueError.

    Args:
        address: IP and port of its pages.
        exchange_port: Its other port, as far as is known.
    """
    ip, _, port = address.rpartition(":")
    return HostAddress(
        ipaddress.IPv4Address(ip), exchange_port, _parse_port(port)
    )


def is_short(host: str) -> bool:
    """Returns whether a host is named as older builds do, without ports."""
    return not parse(host).exchange_port


def shorten(host: str) -> str:
    """Returns a host as older builds know it."""
    return str(parse(host).ip)


def _parse_port(text: str) -> int:
    port = int(text) if text.isdecimal() else 0
    if not 0 < port <= _MAX_PORT:
        raise ValueError(f"not a port: {text!r:.20}")
    return port
