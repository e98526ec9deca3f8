"""What a host tells the others, as a datagram.

Lists without field names, since it must fit into one packet. A datagram may
come from anyone: whatever is of another type is refused with the reason.
"""

from __future__ import annotations

import functools
import ipaddress
from collections.abc import Callable, Mapping
from typing import Any, Final, TypeVar

import attrs
import orjson

from egretspur import checks, codec
from egretspur.admission import quarantine, shared, throttle
from egretspur.catalog import reading, upstreams
from egretspur.routing import jobs

# Upstreams in one datagram; it must fit into one packet.
MAX_ENTRIES: Final = 40

# Failing upstreams in one datagram: a third of a data centre's, for the same
# reason.
MAX_SUSPECTS: Final = 24

# Requests in quarantine, or under which upstreams ended, in one datagram: with
# an end each 0.6 kB, for the same reason.
MAX_ENDED: Final = 16

# Hosts whose last datagram is kept; a host hears those of its data centre and
# the speakers of the others.
KEPT_HOSTS: Final = 512

V = TypeVar("V")


@attrs.frozen
class News:
    """What a host tells the others."""

    # Its address.
    host: str
    data_centre: str
    # Seconds since the store last answered it.
    store_age_s: float
    # What it has read of the store's topics.
    known: reading.ReadState
    usage: Mapping[str, jobs.Usage]
    # Engines that run slower than their kind.
    pace: Mapping[str, float]
    # Upstreams it found dead.
    dead: tuple[str, ...]
    # Layers that engines reported to it after its orders.
    layers: Mapping[str, upstreams.AgedLayers]
    # Hosts it hears, with their data centres; in some datagrams only.
    peers: Mapping[str, str]
    # Request memory in use beyond what the hosts count, by engine.
    excess: Mapping[str, float] = attrs.Factory(dict)
    # Upstreams that it finds failing; no more than `MAX_SUSPECTS`.
    suspects: tuple[str, ...] = ()
    # What it spent of the retry budgets, by service.
    spent: Mapping[str, shared.Spent] = attrs.Factory(dict)
    # Upstreams that ended under requests, by fingerprint; none where it was
    # answered. No more than `MAX_ENDED`.
    ended: Mapping[str, quarantine.Ends] = attrs.Factory(dict)
    # It has heard others for less than a window of the retry budget, and does
    # not know what was spent before.
    is_new: bool = False
    # Limits that upstreams named, or name no more, whoever had the answer.
    limits: Mapping[str, throttle.Told] = attrs.Factory(dict)


@attrs.frozen
class NotNews:
    """Why a datagram holds no news."""

    field: str
    problem: str


def encode_news(news: News) -> bytes:
    """Returns a datagram."""
    rows = sorted(news.usage.items(), key=lambda i: -i[1].room)[:MAX_ENTRIES]
    return orjson.dumps(
        [
            news.host,
            news.data_centre,
            round(news.store_age_s, 2),
            [
                news.known.version,
                news.known.digest,
                round(news.known.list_age_s, 2),
                news.known.era,
            ],
            {i: [u.count, int(u.room)] for i, u in rows},
            dict(news.pace),
            list(news.dead),
            {
                i: [a.layers.first, a.layers.last, round(a.age_s, 2)]
                for i, a in news.layers.items()
            },
            dict(news.peers),
            dict(news.excess),
            list(news.suspects[:MAX_SUSPECTS]),
            {
                service: [
                    s.hosts,
                    s.requests,
                    round(s.borrowed, 1),
                    s.borrowers,
                ]
                for service, s in news.spent.items()
            },
            {f: dict(ends) for f, ends in news.ended.items()},
            news.is_new,
            {
                i: [t.per_s, round(t.age_s, 2), t.wanted]
                for i, t in news.limits.items()
            },
        ]
    )


class Decoder:
    """Reads datagrams of many hosts.

    A host tells its whole state several times a second, most of it as it told
    it last: a part that is the same is not read again.
    """

    def __init__(self) -> None:
        # What each host told last, by its address; the longest silent first.
        self._last: dict[str, _Told] = {}

    def decode(self, data: bytes) -> News | NotNews:
        """Returns the news in a datagram, or why it holds none."""
        try:
            row = checks.check_row(codec.load_json(data), "news", len(_PARTS))
            host = _check_host(row[0])
            told = _decode_parts(row, self._last.pop(host, _NOTHING_TOLD))
        except checks.FieldError as exc:
            return NotNews(exc.field, str(exc))
        except codec.DecodeError as exc:
            return NotNews("bytes", str(exc))
        if len(self._last) >= KEPT_HOSTS:
            del self._last[next(iter(self._last))]
        self._last[host] = told
        return News(*told.parts)


@attrs.frozen(eq=False)
class _Told:
    """A host's last datagram."""

    # Its list as it came.
    row: list[Any]
    # The fields of `News` read from it.
    parts: list[Any]


def _decode_parts(row: list[Any], last: _Told) -> _Told:
    """Reads those parts of a datagram that differ from the host's last one."""
    parts = [
        part if value == known else decode(value)
        for decode, value, known, part in zip(
            _PARTS, row, last.row, last.parts, strict=True
        )
    ]
    return _Told(row, parts)


def _decode_known(value: Any) -> reading.ReadState:
    version, digest, list_age_s, era = checks.check_row(value, "known", 4)
    return reading.ReadState(
        checks.check_count(version, "version"),
        checks.check_count(digest, "digest"),
        checks.check_number(list_age_s, "list_age"),
        checks.check_count(era, "era"),
    )


def _decode_peers(value: Any) -> dict[str, str]:
    return {
        _check_host(h): checks.check_text(p, "peers")
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
    """Returns what is in flight by engine.

    Dozens stand in each datagram, and a hundred and fifty datagrams come in a
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


def _decode_limit(value: Any) -> throttle.Told:
    per_s, age_s, wanted = checks.check_row(value, "limits", 3)
    return throttle.Told(
        None if per_s is None else checks.check_number(per_s, "limits"),
        checks.check_number(age_s, "limits"),
        checks.check_count(wanted, "limits"),
    )


def decode_ends(value: Any) -> dict[str, float]:
    """Returns upstreams that ended under a request, with what each counts."""
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


def _check_host(host: Any) -> str:
    """Returns an address as written; raises `checks.FieldError`."""
    try:
        return str(parse_address(checks.check_text(host, "host")))
    except ValueError as exc:
        raise checks.FieldError("host", str(exc)) from exc


# A host hears some hundred others several times a second.
@functools.lru_cache(maxsize=1024)
def parse_address(host: str) -> ipaddress.IPv4Address:
    """Returns an address, which sorts as a number; may raise ValueError."""
    return ipaddress.IPv4Address(host)


# How each field of `News` is read from its place in a datagram.
_PARTS: Final[tuple[Callable[[Any], Any], ...]] = (
    _check_host,
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
    functools.partial(_decode_table, field="ended", decode=decode_ends),
    functools.partial(checks.check_flag, field="is_new"),
    functools.partial(_decode_table, field="limits", decode=_decode_limit),
)

# Of a host that has told nothing yet: what is equal to no value.
_NOTHING_TOLD: Final = _Told([object()] * len(_PARTS), [None] * len(_PARTS))
