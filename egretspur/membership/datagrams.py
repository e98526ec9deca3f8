"""Encoding of a host's peer update as a datagram.

A datagram is a list without field names, so that it fits into one packet. It
may come from any sender: a field of the wrong type is refused with the reason.
"""

from __future__ import annotations

import functools
from collections.abc import Callable, Mapping
from typing import Any, Final, TypeVar

import attrs
import orjson

from egretspur import addresses, checks, codec
from egretspur.admission import quarantine, shared, throttle
from egretspur.catalog import reading, upstreams
from egretspur.routing import jobs

# Limit on upstreams in one datagram, so that it fits into one packet.
MAX_ENTRIES: Final = 40

# Fields of what a host has read, without the flag that may follow.
_KNOWN_FIELDS: Final = 4

# Limit on failing upstreams in one datagram, for the same reason; a third of a
# data centre's upstreams.
MAX_SUSPECTS: Final = 24

# Limit on requests in one datagram that are quarantined or crashed upstreams,
# for the same reason: 0.6 kB with one crash each.
MAX_CRASHED_REQUESTS: Final = 16

# Limit on hosts whose last datagram is cached. A host receives datagrams from
# its data centre and from the speakers of the others.
MAX_CACHED_HOSTS: Final = 512

V = TypeVar("V")


@attrs.frozen
class PeerUpdate:
    """State of a host that it sends to the others."""

    # The sending host; see `egretspur.addresses`.
    host: str
    data_centre: str
    # Seconds since the store last answered the host.
    store_age_s: float
    # Versions that the host has read from the store's topics.
    known: reading.ReadState
    usage: Mapping[str, jobs.Usage]
    # Pace of engines that run slower than others of their kind.
    pace: Mapping[str, float]
    # Upstreams that the host found dead.
    dead: tuple[str, ...]
    # Layers that engines reported to the host after its orders.
    layers: Mapping[str, upstreams.AgedLayers]
    # Data centres of the hosts from which it receives datagrams; sent only in
    # some datagrams.
    peers: Mapping[str, str]
    # Key-value cache in use beyond what the hosts count, by engine.
    excess: Mapping[str, float] = attrs.Factory(dict)
    # Upstreams that the host finds failing, up to `MAX_SUSPECTS`.
    suspects: tuple[str, ...] = ()
    # Part of the retry budgets that the host spent, by service.
    spent: Mapping[str, shared.Spent] = attrs.Factory(dict)
    # Upstreams that crashed under requests, by request fingerprint; empty for
    # an answered request. Up to `MAX_CRASHED_REQUESTS`.
    ended: Mapping[str, quarantine.CrashWeights] = attrs.Factory(dict)
    # The host has received updates for less than a window of the retry budget
    # and does not know what was spent before.
    is_new: bool = False
    # Limits that upstreams set or lifted, whichever host received the answer.
    limits: Mapping[str, throttle.PublishedLimit] = attrs.Factory(dict)
    # Plain replicas at which the host's last request failed, up to
    # `MAX_SUSPECTS`; in a speaker's update, that of any host it heard.
    failing: tuple[str, ...] = ()


@functools.singledispatch
def map_hosts(update: Any, change: Callable[[str], str]) -> Any:
    """Returns an update of any kind with its hosts changed."""
    return attrs.evolve(update, host=change(update.host))


@map_hosts.register
def _(update: PeerUpdate, change: Callable[[str], str]) -> PeerUpdate:
    peers = {change(h): d for h, d in update.peers.items()}
    return attrs.evolve(update, host=change(update.host), peers=peers)


@attrs.frozen
class InvalidUpdate:
    """Reason why a datagram is not a valid peer update."""

    field: str
    problem: str


def encode_update(update: PeerUpdate) -> bytes:
    """Returns the datagram for an update.

    Only the `MAX_ENTRIES` engines that use most memory are included.
    """
    rows = sorted(update.usage.items(), key=lambda i: -i[1].room)[:MAX_ENTRIES]
    return orjson.dumps(
        [
            update.host,
            update.data_centre,
            round(update.store_age_s, 2),
            _encode_known(update.known),
            {i: [u.count, int(u.room)] for i, u in rows},
            dict(update.pace),
            list(update.dead),
            {
                i: [a.layers.first, a.layers.last, round(a.age_s, 2)]
                for i, a in update.layers.items()
            },
            dict(update.peers),
            dict(update.excess),
            list(update.suspects[:MAX_SUSPECTS]),
            {
                service: [
                    s.hosts,
                    s.requests,
                    round(s.borrowed, 1),
                    s.borrowers,
                ]
                for service, s in update.spent.items()
            },
            {f: dict(ends) for f, ends in update.ended.items()},
            update.is_new,
            {
                i: [t.per_s, round(t.age_s, 2), t.wanted]
                for i, t in update.limits.items()
            },
            list(update.failing[:MAX_SUSPECTS]),
        ]
    )


def _encode_known(known: reading.ReadState) -> list[Any]:
    """Returns the field of what a host has read.

    Hosts of older builds refuse a row with a flag at its end, so it is there in
    the rare case only in which the host should not read for them.
    """
    row = [known.version, known.digest, round(known.list_age_s, 2), known.era]
    return [*row, True] if known.is_config_lost else row


class Decoder:
    """Decodes the datagrams of many hosts.

    A host sends its whole state several times a second, and most fields do not
    change between two datagrams: an unchanged field is not decoded again.
    """

    def __init__(self) -> None:
        # Last datagram of each host, by address; the longest silent host first.
        self._last: dict[str, _LastDatagram] = {}

    def decode(self, data: bytes) -> PeerUpdate | InvalidUpdate:
        """Returns the update in a datagram, or why it is refused."""
        try:
            row = checks.check_row(
                codec.load_json(data), "news", len(_FIELD_DECODERS)
            )
            host = check_host(row[0])
            latest = _decode_changed_fields(
                row, self._last.pop(host, _NO_DATAGRAM)
            )
        except checks.FieldError as exc:
            return InvalidUpdate(exc.field, str(exc))
        except codec.DecodeError as exc:
            return InvalidUpdate("bytes", str(exc))
        if len(self._last) >= MAX_CACHED_HOSTS:
            del self._last[next(iter(self._last))]
        self._last[host] = latest
        return PeerUpdate(*latest.decoded)


@attrs.frozen(eq=False)
class _LastDatagram:
    """A host's last datagram."""

    # The list as received.
    row: list[Any]
    # The fields of `PeerUpdate` decoded from it.
    decoded: list[Any]


def _decode_changed_fields(
    row: list[Any], last: _LastDatagram
) -> _LastDatagram:
    """Decodes the fields that differ from the host's last datagram."""
    parts = [
        part if value == known else decode(value)
        for decode, value, known, part in zip(
            _FIELD_DECODERS, row, last.row, last.decoded, strict=True
        )
    ]
    return _LastDatagram(row, parts)


def _decode_known(value: Any) -> reading.ReadState:
    row = checks.check_list(value, "known")
    flag = row[_KNOWN_FIELDS:] or [False]
    version, digest, list_age_s, era, is_config_lost = checks.check_row(
        [*row[:_KNOWN_FIELDS], *flag], "known", _KNOWN_FIELDS + 1
    )
    return reading.ReadState(
        checks.check_count(version, "version"),
        checks.check_count(digest, "digest"),
        checks.check_number(list_age_s, "list_age"),
        checks.check_count(era, "era"),
        checks.check_flag(is_config_lost, "is_config_lost"),
    )


def _decode_peers(value: Any) -> dict[str, str]:
    return {
        check_host(h): checks.check_text(p, "peers")
        for h, p in _get_items(value, "peers")
    }


def _decode_numbers(value: Any, field: str) -> dict[str, float]:
    return {
        i: checks.check_number(n, field) for i, n in _get_items(value, field)
    }


def _decode_table(
    value: Any, field: str, decode: Callable[[Any], V]
) -> dict[str, V]:
    return {i: decode(v) for i, v in _get_items(value, field)}


def _decode_ids(value: Any, field: str) -> tuple[str, ...]:
    return tuple(
        checks.check_text(i, field) for i in checks.check_list(value, field)
    )


def _get_items(value: Any, field: str) -> Any:
    return checks.Table(value, field).items()


def _decode_usage(value: Any) -> dict[str, jobs.Usage]:
    """Returns the requests in flight by engine.

    A datagram has dozens of rows, and a hundred and fifty datagrams arrive per
    second, so this is one plain loop.
    """
    usage: dict[str, jobs.Usage] = {}
    for name, row in _get_items(value, "usage"):
        if type(row) is not list or len(row) != 2:
            raise checks.FieldError("usage", f"not two counts: {row!r:.60}")
        count, used = row
        if type(count) is not int or type(used) is not int:
            raise checks.FieldError("usage", f"not two counts: {row!r:.60}")
        if count < 0 or used < 0:
            raise checks.FieldError("usage", f"negative: {row!r:.60}")
        usage[name] = jobs.Usage(count, used)
    return usage


def _decode_spent(value: Any) -> shared.Spent:
    hosts, requests, borrowed, borrowers = checks.check_row(value, "spent", 4)
    return shared.Spent(
        checks.check_count(hosts, "spent"),
        checks.check_count(requests, "spent"),
        checks.check_number(borrowed, "spent"),
        checks.check_count(borrowers, "spent"),
    )


def _decode_limit(value: Any) -> throttle.PublishedLimit:
    per_s, age_s, wanted = checks.check_row(value, "limits", 3)
    return throttle.PublishedLimit(
        None if per_s is None else checks.check_number(per_s, "limits"),
        checks.check_number(age_s, "limits"),
        checks.check_count(wanted, "limits"),
    )


def decode_crashes(value: Any) -> dict[str, float]:
    """Returns upstreams that crashed under a request, with their weights."""
    return {
        checks.check_text(n, "ended"): checks.check_number(w, "ended")
        for n, w in _get_items(value, "ended")
    }


def _decode_layers(value: Any) -> upstreams.AgedLayers:
    first, last, age_s = checks.check_row(value, "layers", 3)
    found = upstreams.Layers(
        checks.check_count(first, "layers"), checks.check_count(last, "layers")
    )
    if found.count <= 0:
        raise checks.FieldError("layers", f"{first} to {last}")
    return upstreams.AgedLayers(found, checks.check_number(age_s, "layers"))


def check_host(host: Any) -> str:
    """Returns a host as written; raises `checks.FieldError`."""
    try:
        return str(addresses.parse(checks.check_text(host, "host")))
    except ValueError as exc:
        raise checks.FieldError("host", str(exc)) from exc


# Decoders of the fields of `PeerUpdate`, in their order in a datagram.
_FIELD_DECODERS: Final[tuple[Callable[[Any], Any], ...]] = (
    check_host,
    functools.partial(checks.check_text, field="data_centre"),
    functools.partial(checks.check_number, field="store_age"),
    _decode_known,
    _decode_usage,
    functools.partial(_decode_numbers, field="pace"),
    functools.partial(_decode_ids, field="dead"),
    functools.partial(_decode_table, field="layers", decode=_decode_layers),
    _decode_peers,
    functools.partial(_decode_numbers, field="excess"),
    functools.partial(_decode_ids, field="suspects"),
    functools.partial(_decode_table, field="spent", decode=_decode_spent),
    functools.partial(_decode_table, field="ended", decode=decode_crashes),
    functools.partial(checks.check_flag, field="is_new"),
    functools.partial(_decode_table, field="limits", decode=_decode_limit),
    functools.partial(_decode_ids, field="failing"),
)

# Stands for the last datagram of a new host: its objects equal no value.
_NO_DATAGRAM: Final = _LastDatagram(
    [object()] * len(_FIELD_DECODERS), [None] * len(_FIELD_DECODERS)
)
