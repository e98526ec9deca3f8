"""Gossip messages between control daemons and their compact JSON encoding.

Entries are encoded as lists without field names: with 24 entries in a message,
the names would be two thirds of the bytes.
"""

from __future__ import annotations

from typing import Any, Final

import attrs

from egretspur import checks, codec
from egretspur.admission import segments
from egretspur.membership import entries

# Separates the request from the upstream's start in the name of a crash.
_CRASH_SEPARATOR: Final = "@"


@attrs.frozen
class NodeState:
    """State that an entry host publishes about itself."""

    # Address of its control daemon.
    control: str
    data_centre: str
    # Address of its router; empty until the router has reported.
    router: str
    # Offset of the log up to which it has applied the configuration.
    offset: int
    # Offset of the configuration that its router uses.
    in_force: int
    # False if the host can't read the platform's log.
    log_reachable: bool


@attrs.frozen
class GossipMessage:
    """A message of the periodic exchange or of an urgent push."""

    sender: str
    address: str
    offset: int
    items: tuple[entries.AgedEntry, ...]


def pack_node(state: NodeState) -> str:
    """Encodes a host's state as the value of an entry."""
    flag = "1" if state.log_reachable else "0"
    return (
        f"{state.control}|{state.data_centre}|{state.router}|{state.offset}"
        f"|{state.in_force}|{flag}"
    )


def unpack_node(text: str) -> NodeState:
    """Decodes a host's state from the value of an entry.

    Raises:
        codec.DecodeError: The text has another form.
    """
    parts = text.split("|")
    if len(parts) != 6:
        raise codec.DecodeError(f"malformed node state: {text!r}")
    try:
        return NodeState(
            parts[0],
            parts[1],
            parts[2],
            int(parts[3]),
            int(parts[4]),
            parts[5] == "1",
        )
    except ValueError as exc:
        raise codec.DecodeError(f"malformed node state: {text!r}") from exc


def pack_crash(crash: segments.PublishedCrash) -> tuple[str, str]:
    """Encodes a crash as name and value of an entry published at its time."""
    ran_s = round(crash.sent_age_s - crash.cut_age_s, 2)
    value = [list(crash.segments), crash.has_head, ran_s]
    if crash.has_output:
        value.append(True)
    return (
        f"{crash.request}{_CRASH_SEPARATOR}{crash.start}",
        codec.dump_json(value).decode(),
    )


def unpack_crash(
    name: str, value: str, age_s: float
) -> segments.PublishedCrash:
    """Decodes a crash from an entry of some age.

    Raises:
        codec.DecodeError: The entry has another form.
    """
    request, _, start = name.partition(_CRASH_SEPARATOR)
    row = checks.check_list(codec.load_json(value.encode()), "crash")
    # One before the first output has no fourth value.
    found, has_head, ran_s, has_output = checks.check_row(
        [*row, False] if len(row) == 3 else row, "crash", 4
    )
    return segments.PublishedCrash(
        start,
        request,
        tuple(
            checks.check_text(s, "crash")
            for s in checks.check_list(found, "crash")
        ),
        checks.check_flag(has_head, "crash"),
        age_s + checks.check_number(ran_s, "crash"),
        age_s,
        checks.check_flag(has_output, "crash"),
    )


def pack_message(message: GossipMessage) -> bytes:
    """Encodes a message as JSON bytes."""
    return codec.dump_json(
        [
            message.sender,
            message.address,
            message.offset,
            [_pack_entry(i) for i in message.items],
        ]
    )


def unpack_message(data: bytes) -> GossipMessage:
    """Decodes a message from JSON bytes.

    Raises:
        codec.DecodeError: The bytes have another form.
    """
    value = codec.load_json(data)
    try:
        sender, address, offset, items = value
        return GossipMessage(
            str(sender),
            str(address),
            int(offset),
            tuple(_unpack_entry(i) for i in items),
        )
    except (TypeError, ValueError) as exc:
        raise codec.DecodeError(f"malformed gossip message: {exc}") from exc


def _pack_entry(item: entries.AgedEntry) -> list[Any]:
    entry = item.entry
    # The origin is omitted where it equals the name, as in node entries.
    origin = "" if entry.origin == entry.name else entry.origin
    return [
        entry.kind.value,
        entry.name,
        origin,
        entry.incarnation,
        entry.sequence,
        entry.value,
        round(item.age_s, 1),
    ]


def _unpack_entry(value: list[Any]) -> entries.AgedEntry:
    kind, name, origin, incarnation, sequence, text, age_s = value
    entry = entries.Entry(
        entries.Kind(kind),
        str(name),
        str(origin or name),
        int(incarnation),
        int(sequence),
        str(text),
    )
    return entries.AgedEntry(entry, float(age_s))
