"""Upstreams of the platform's list, and updates of that list; pure.

An upstream is one start of a server. A restarted server may keep the name under
which it is listed, but has lost its layers and its state. So each start has an
id, and all state of an upstream is kept by that id, so that none carries over
to the next start.

Entries are not trusted. One that does not fit the configuration in force is set
aside and replaces no upstream at its address; the next configuration checks it
again. Read next: `egretspur.catalog.feeds`.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

import attrs

from egretspur.catalog import config, feeds

# How long layers that an engine reported override its entry, which is written
# once a heartbeat and read once a second.
REPORTED_LAYERS_S: Final = 4.0

# Grace period for missing entries after an outage of the store. Entries that
# lapsed during the outage are written again within it if the upstream lives.
OUTAGE_GRACE_S: Final = 2.0

# An upstream whose newest record can't be read gets no requests, and is removed
# after this time: three heartbeats, as for a silent one. If it were removed at
# once, other engines would load its layers, for a record that its own next
# heartbeat replaces.
UNREADABLE_GRACE_S: Final = 4.0

# Separates the server's name from the time of its start in a start's id.
START_MARK: Final = "@"

# Servers whose newest start is remembered, several times those of a large site.
# An entry of an older start may arrive after the newer one was removed.
MAX_STARTS: Final = 8192


@attrs.frozen
class Layers:
    """A range of layers; `last` is exclusive."""

    first: int
    last: int

    @property
    def count(self) -> int:
        """Number of layers."""
        return self.last - self.first


@attrs.frozen
class AgedLayers:
    """Layers that an engine holds, as in a peer update."""

    layers: Layers
    # Since the sender learned of them.
    age_s: float


@attrs.frozen
class Upstream:
    """One start of an engine or plain service replica."""

    # Id of this start; see `make_start_id`.
    id: str
    service: str
    address: str
    data_centre: str
    is_draining: bool
    slots: int
    # Kind of accelerator; empty for plain services.
    accelerator: str
    # Layers of its service's model that it holds; None if it holds none.
    layers: Layers | None
    # Key of the server in the list; the same at each start.
    name: str = attrs.field(
        default=attrs.Factory(lambda self: self.id, takes_self=True)
    )
    # Unix time of the start in milliseconds, by the server's clock; None if
    # its entry has none, and then only the name distinguishes starts.
    born_ms: int | None = None


@attrs.frozen
class EngineReport:
    """An engine's report on its load, some hundred milliseconds old."""

    layers: Layers | None
    # Whether it is executing an order.
    is_busy: bool
    # Number of orders started since its start.
    orders: int
    # Key-value cache in use and in total, in tokens times layers.
    used: float
    size: float
    # Above 1 if it runs slower than its kind of accelerator.
    pace: float
    # Addresses of engines that stall its work.
    stalled: tuple[str, ...]
    # As in `Upstream`.
    born_ms: int | None = None


@attrs.frozen
class ProbeFailed:
    """A probe that got no answer."""

    reason: str
    # Whether a connection opened: then the upstream may only stand still.
    is_connected: bool
    # Whether the connection was refused: nobody listens at the address.
    is_refused: bool = False


# Report of a plain service, whose health page has no values.
PLAIN_REPORT: Final = EngineReport(None, False, 0, 0.0, 0.0, 1.0, ())


def make_start_id(name: str, born_ms: int | None) -> str:
    """Returns the id of a server's start.

    The milliseconds are in hexadecimal to keep ids short: a datagram of a peer
    update contains dozens.
    """
    return name if born_ms is None else f"{name}{START_MARK}{born_ms:x}"


def is_other_start(entry: Upstream, report: EngineReport) -> bool:
    """Returns whether a report is of another start than the entry."""
    return entry.born_ms != report.born_ms and None not in (
        entry.born_ms,
        report.born_ms,
    )


@attrs.define
class Roster:
    """The list of upstreams as one host knows it."""

    # Valid entries by id, including those of `unreadable` and `draining`.
    entries: dict[str, Upstream] = attrs.Factory(dict)
    # Newest decodable entry of each name, oldest first, whether or not it fits
    # the configuration.
    newest_entries: dict[str, Upstream] = attrs.Factory(dict)
    # Field that does not fit the configuration, by name of the entry.
    misfits: dict[str, str] = attrs.Factory(dict)
    # Services of the configuration in force. None before the first one: every
    # entry fits, and no requests are sent yet.
    services: Mapping[str, config.Service] | None = None
    # Layers in the list of engines whose reported layers override it, by id.
    listed_layers: dict[str, Layers | None] = attrs.Factory(dict)
    # Id of the newest entry of each address, and of each name.
    by_address: dict[str, str] = attrs.Factory(dict)
    by_name: dict[str, str] = attrs.Factory(dict)
    # Unix time of the newest start of each name, in ms.
    newest_starts: dict[str, int] = attrs.Factory(dict)
    # Monotonic time at which to remove a missing entry, by id.
    missing: dict[str, float] = attrs.Factory(dict)
    # Ids whose newest record can't be read or does not fit; these get no
    # requests.
    unreadable: set[str] = attrs.Factory(set)
    # Upstreams that were removed although nothing says that they ended: their
    # newest record can't be read or does not fit. By name.
    withdrawn: dict[str, Upstream] = attrs.Factory(dict)
    # Ids that have reported that they drain; a start never stops draining.
    draining: set[str] = attrs.Factory(set)
    # Layers that engines reported, and the monotonic time until which these
    # override the list, by id.
    reported_layers: dict[str, tuple[Layers, float]] = attrs.Factory(dict)
    # Monotonic end of the grace period for missing entries.
    grace_until_s: float = 0.0
    # Incremented with each change of `entries`, to invalidate caches.
    revision: int = 0


def start_grace(roster: Roster, now_s: float) -> None:
    """Starts the grace period: the store answers again after an outage."""
    roster.grace_until_s = now_s + OUTAGE_GRACE_S


def configure(
    roster: Roster, services: Mapping[str, config.Service], now_s: float
) -> None:
    """Sets the services in force and checks all entries against them."""
    roster.services = services
    winners: dict[str, Upstream] = {}
    for entry in roster.newest_entries.values():
        if not _check_fit(roster, entry):
            # Recorded as the newest start before the services were known.
            if roster.newest_starts.get(entry.name) == entry.born_ms:
                roster.newest_starts.pop(entry.name, None)
            continue
        rival = winners.get(entry.address)
        if rival is None or not _is_older(entry, rival):
            winners[entry.address] = entry
    ids = {e.id for e in winners.values()}
    for upstream_id in set(roster.entries) - ids - roster.unreadable:
        _remove_or_withdraw(roster, upstream_id)
    for entry in winners.values():
        if entry.id not in roster.entries or entry.id in roster.unreadable:
            _update_entry(roster, entry, now_s)


def has_ended(roster: Roster, upstream_id: str) -> bool:
    """Returns whether an upstream ended by the list.

    It was removed from the list, or another start at its address or under its
    name is known.
    """
    return upstream_id not in roster.entries and not any(
        e.id == upstream_id for e in roster.withdrawn.values()
    )


def supersedes_restored(known: Upstream, copied: Upstream) -> bool:
    """Returns whether a known entry supersedes that of a restored store.

    The restored entry may be of an earlier start, or from before the upstream
    reported that it drains. It may also have been written after the restore;
    where that is unclear, the known entry is kept until the next heartbeat.
    """
    if known.id == copied.id:
        return known.is_draining or not copied.is_draining
    return _is_older(copied, known)


def find_misfit(
    entry: Upstream, services: Mapping[str, config.Service] | None
) -> str:
    """Returns the field of an entry that does not fit; empty if all do."""
    if services is None:
        return ""
    service = services.get(entry.service)
    if service is None:
        return "service"
    spec = service.engine
    if spec is None:
        return ""
    if entry.accelerator not in spec.accelerators:
        return "accelerator"
    if entry.layers is not None and entry.layers.last > spec.layers:
        return "layers"
    return ""


def put_entry(roster: Roster, entry: Upstream, now_s: float) -> None:
    """Applies an entry that is newer than those before.

    It replaces the entry at its address: a restarted server may keep its
    address under another name, while its old entry stays on the list for some
    time. A path with both would contain the same engine twice.
    """
    if _is_of_older_start(roster, entry):
        # Delayed; a newer start has replaced it.
        return
    roster.newest_entries.pop(entry.name, None)
    roster.newest_entries[entry.name] = entry
    if not _check_fit(roster, entry):
        _suspend(roster, entry.name, now_s)
        return
    _record_start(roster, entry)
    for name, gone in list(roster.withdrawn.items()):
        if name == entry.name or gone.address == entry.address:
            del roster.withdrawn[name]
    known = roster.by_name.get(entry.name)
    if known is not None and known != entry.id:
        _remove(roster, known)
    rival = roster.by_address.get(entry.address)
    if rival is not None and rival != entry.id:
        if _is_older(entry, roster.entries[rival]):
            return
        _remove(roster, rival)
    _update_entry(roster, entry, now_s)


def _check_fit(roster: Roster, entry: Upstream) -> bool:
    """Returns whether an entry fits; records the field if it does not."""
    field = find_misfit(entry, roster.services)
    if field:
        roster.misfits[entry.name] = field
    else:
        roster.misfits.pop(entry.name, None)
    return not field


def _is_of_older_start(roster: Roster, entry: Upstream) -> bool:
    """Returns whether a newer start of the same server is known.

    If a start time is known, an entry without one is of an earlier start, or
    was not written by the server.
    """
    newest_ms = roster.newest_starts.get(entry.name)
    if newest_ms is None:
        return False
    return entry.born_ms is None or entry.born_ms < newest_ms


def _is_older(entry: Upstream, rival: Upstream) -> bool:
    """Returns whether an entry must not replace another at its address.

    A server either always writes its start time or never does. If the rival
    has one, an entry without it is not from the server at that address.
    """
    if rival.born_ms is None:
        return False
    return entry.born_ms is None or entry.born_ms < rival.born_ms


def _record_start(roster: Roster, entry: Upstream) -> None:
    if entry.born_ms is None:
        return
    # Reinserted as the newest; the oldest is evicted.
    roster.newest_starts.pop(entry.name, None)
    roster.newest_starts[entry.name] = entry.born_ms
    if len(roster.newest_starts) > MAX_STARTS:
        del roster.newest_starts[next(iter(roster.newest_starts))]


def _update_entry(roster: Roster, entry: Upstream, now_s: float) -> None:
    """Adds or updates a valid entry, with reported layers and draining."""
    roster.by_address[entry.address] = entry.id
    roster.by_name[entry.name] = entry.id
    layers, until_s = roster.reported_layers.get(entry.id, (None, 0.0))
    if layers is not None and now_s < until_s:
        roster.listed_layers[entry.id] = entry.layers
        entry = attrs.evolve(entry, layers=layers)
    if entry.is_draining:
        roster.draining.add(entry.id)
    elif entry.id in roster.draining:
        entry = attrs.evolve(entry, is_draining=True)
    old = roster.entries.get(entry.id)
    if old is not None and old.address != entry.address:
        _free_address(roster, old)
    if old != entry:
        roster.entries[entry.id] = entry
        roster.revision += 1
    roster.missing.pop(entry.id, None)
    roster.unreadable.discard(entry.id)


def apply_reported_layers(
    roster: Roster, upstream_id: str, layers: Layers, now_s: float
) -> None:
    """Applies the layers that an engine reported, over those of its entry."""
    entry = roster.entries.get(upstream_id)
    if entry is None:
        return
    roster.listed_layers.setdefault(upstream_id, entry.layers)
    roster.reported_layers[upstream_id] = (layers, now_s + REPORTED_LAYERS_S)
    if entry.layers != layers:
        roster.entries[upstream_id] = attrs.evolve(entry, layers=layers)
        roster.revision += 1


def get_listed_layers(roster: Roster, upstream_id: str) -> Layers | None:
    """Returns the layers of an engine in the list, without its reports."""
    entry = roster.entries.get(upstream_id)
    if entry is None:
        return None
    return roster.listed_layers.get(upstream_id, entry.layers)


def apply_restart(
    roster: Roster, upstream_id: str, report: EngineReport, now_s: float
) -> bool:
    """Applies a report of an engine that restarted after its entry.

    Its new entry follows up to a heartbeat later; until then requests would be
    sent to layers that it no longer holds.

    Returns:
        True if the report is of a newer start.
    """
    entry = roster.entries.get(upstream_id)
    born_ms = report.born_ms
    if entry is None or entry.born_ms is None or born_ms is None:
        return False
    if born_ms <= entry.born_ms:
        return False
    again = attrs.evolve(
        entry,
        id=make_start_id(entry.name, born_ms),
        born_ms=born_ms,
        is_draining=False,
        layers=report.layers,
    )
    put_entry(roster, again, now_s)
    return True


def remove_entry(roster: Roster, name: str, now_s: float) -> None:
    """Removes an entry, after the grace period if one is running."""
    roster.newest_entries.pop(name, None)
    roster.misfits.pop(name, None)
    roster.withdrawn.pop(name, None)
    upstream_id = roster.by_name.get(name)
    if upstream_id is None:
        return
    if now_s < roster.grace_until_s:
        roster.missing.setdefault(upstream_id, roster.grace_until_s)
        return
    _remove(roster, upstream_id)


def _suspend(roster: Roster, name: str, now_s: float) -> None:
    """Withholds requests from an upstream whose newest record is invalid."""
    upstream_id = roster.by_name.get(name)
    if upstream_id is None:
        return
    roster.unreadable.add(upstream_id)
    roster.missing.setdefault(upstream_id, now_s + UNREADABLE_GRACE_S)


def apply_record(
    roster: Roster,
    name: str,
    value: Upstream | feeds.Unreadable | None,
    now_s: float,
) -> None:
    """Applies the newest record under a name; None removes the entry."""
    if value is None:
        remove_entry(roster, name, now_s)
    elif isinstance(value, feeds.Unreadable):
        roster.newest_entries.pop(name, None)
        roster.misfits.pop(name, None)
        _suspend(roster, name, now_s)
    else:
        put_entry(roster, value, now_s)


def replace_entries(
    roster: Roster,
    values: Mapping[str, Upstream | feeds.Unreadable],
    now_s: float,
) -> None:
    """Applies a full read of the list, by name."""
    for name, value in values.items():
        apply_record(roster, name, value, now_s)
    for name in (set(roster.newest_entries) | set(roster.by_name)) - set(
        values
    ):
        remove_entry(roster, name, now_s)


def expire_entries(roster: Roster, now_s: float) -> bool:
    """Removes missing entries and reported layers whose time is over.

    The layers in the list then apply again, even if the entry was not
    rewritten.

    Returns:
        Whether the list changed.
    """
    late = [i for i, due_s in roster.missing.items() if now_s >= due_s]
    for upstream_id in late:
        _remove_or_withdraw(roster, upstream_id)
    old = [
        i
        for i, (_, until_s) in roster.reported_layers.items()
        if now_s >= until_s
    ]
    for upstream_id in old:
        del roster.reported_layers[upstream_id]
        entry = roster.entries[upstream_id]
        layers = roster.listed_layers.pop(upstream_id)
        roster.entries[upstream_id] = attrs.evolve(entry, layers=layers)
        roster.revision += 1
    return bool(late or old)


def _remove_or_withdraw(roster: Roster, upstream_id: str) -> None:
    """Removes an upstream; one whose record is invalid may go on."""
    entry = roster.entries.get(upstream_id)
    if entry is not None and (
        upstream_id in roster.unreadable or entry.name in roster.misfits
    ):
        roster.withdrawn[entry.name] = entry
    _remove(roster, upstream_id)


def _remove(roster: Roster, upstream_id: str) -> None:
    entry = roster.entries.pop(upstream_id, None)
    if entry is not None:
        roster.revision += 1
        _free_address(roster, entry)
        if roster.by_name.get(entry.name) == upstream_id:
            del roster.by_name[entry.name]
    roster.reported_layers.pop(upstream_id, None)
    roster.listed_layers.pop(upstream_id, None)
    roster.missing.pop(upstream_id, None)
    roster.unreadable.discard(upstream_id)


def _free_address(roster: Roster, entry: Upstream) -> None:
    if roster.by_address.get(entry.address) == entry.id:
        del roster.by_address[entry.address]
