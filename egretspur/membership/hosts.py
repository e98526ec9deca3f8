"""The other hosts as this host knows them from their peer updates: pure.

Says which hosts to send to, who speaks for a data centre, who reads the store,
and how many hosts share a budget. Read next:
`egretspur.membership.exchange`, which sends and receives the updates.
"""

from __future__ import annotations

import collections
import itertools
import math
import random
from collections.abc import Iterable
from typing import Final

import attrs

from egretspur import addresses
from egretspur.catalog import reading
from egretspur.membership import contact, contention, datagrams
from egretspur.tunnels import helpers

# A host is sent no more datagrams after this long without an update from it or
# a mention of it; seeds are always sent to.
PEER_EXPIRY_S: Final = 20.0

# A host counts for the retry budget until its data centre has sent updates for
# this long without it. Long, since a host that is cut off from some hosts still
# spends retries.
BUDGET_SHARE_EXPIRY_S: Final = 300.0

# Hosts of another data centre that receive updates in addition to its speakers.
# If its speaker has died, these receive them until another one takes over.
SPARE_CONTACTS: Final = 1

# Hosts that sent an update within this time are listed to others.
PEER_LIST_MAX_AGE_S: Final = 2.0

# A host that sent an update within this time counts as alive: four datagrams
# may be lost.
ALIVE_TIMEOUT_S: Final = 1.2

# A host whose last update is older than this is asked after the others: two of
# its datagrams are missing, and it may stand still.
RECENT_UPDATE_S: Final = 0.6

# Hosts of other data centres that were listed within this time may be asked for
# help: each datagram that lists them follows two seconds after the last one.
HELPER_MAX_AGE_S: Final = 5.0

# A host that had no answer from the store for this long is cut off from it; any
# duty that it held has expired.
STORE_TIMEOUT_S: Final = 3.0

# Hosts of a data centre that keep reading the store while none of them gets an
# answer: those with the lowest addresses, and some of the others, by turns.
# The store may refuse some hosts and serve others, so each host has to find
# out; if all read, hundreds would call a store that is down once a second.
FIRST_READERS: Final = 3
TURN_READERS: Final = 2
READER_TURN_S: Final = 1.0

# Others than the first ones always have turns, since a host that waits for the
# store does not ask the hosts that have a newer configuration.
MIN_READER_TURNS: Final = 2

# Hosts of a data centre that ask the store for the duty: those with the lowest
# addresses, so that another takes over at once when one or two are lost. Each
# asks once a second; if all did, calls to the store would grow with the hosts.
MAX_CANDIDATES: Final = 3


@attrs.frozen
class _PeerStatus:
    at_s: float
    data_centre: str
    store_age_s: float
    list_age_s: float
    # Version of the configuration that the host has in force.
    version: int
    # Whether its last call to the store for the configuration failed.
    is_config_lost: bool


class Peers:
    """Known hosts and the latest status of each."""

    def __init__(
        self,
        me: str,
        data_centre: str,
        seeds: Iterable[str],
        rng: random.Random | None = None,
        data_centres: Iterable[str] = (),
    ) -> None:
        """Makes a state without any update.

        Args:
            me: This host; see `egretspur.addresses`.
            data_centre: Its data centre.
            seeds: Hosts that the settings name by their control addresses;
                their other ports are assumed to be this host's.
            rng: Shuffles hosts to ask for the configuration, and spare hosts to
                send to.
            data_centres: Data centres that are known to have hosts.
        """
        self._rng = rng or random.Random()
        self._me = me
        self._data_centre = data_centre
        self._data_centres = frozenset(data_centres)
        self._seeds: frozenset[str] = frozenset()
        self.set_seeds(seeds)
        # Time of the last update of, or mention of, each host.
        self._known: dict[str, float] = {}
        # When each host of these became known.
        self._known_since: dict[str, float] = {}
        self._began_s: float | None = None
        # Data centre of each host that sent an update or was listed in one.
        self._host_data_centres: dict[str, str] = {}
        # Time of the last update from each data centre.
        self._data_centre_updates: dict[str, float] = {}
        self._peer_statuses: dict[str, _PeerStatus] = {}
        # Newest version of the configuration that a host has told of.
        self._newest_version = 0
        # Status of this host as it was last sent to others.
        self._own_status: _PeerStatus | None = None

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replaces the seed hosts."""
        own = addresses.parse(self._me).control
        self._seeds = frozenset(
            s for s in seeds if addresses.parse(s).control != own
        )

    def _list_open_seeds(self) -> set[str]:
        """Returns the seeds but for those that are known by other ports."""
        if self._seeds <= self._known.keys():
            return set(self._seeds)
        known = {addresses.parse(h).control for h in self._known}
        return {
            s
            for s in self._seeds
            if s in self._known or addresses.parse(s).control not in known
        }

    def list_unheard_seeds(self, now_s: float) -> list[str]:
        """Returns the control addresses of seeds that are not known yet."""
        return sorted(
            addresses.parse(s).control
            for s in self._list_open_seeds()
            if now_s - self._known.get(s, -math.inf) >= PEER_EXPIRY_S
        )

    def record_update(self, update: datagrams.PeerUpdate, now_s: float) -> None:
        """Records the update of a host."""
        self._peer_statuses[update.host] = _make_status(update, now_s)
        self._newest_version = max(self._newest_version, update.known.version)
        self._host_data_centres[update.host] = update.data_centre
        self._data_centre_updates[update.data_centre] = now_s
        for host, data_centre in update.peers.items():
            self._host_data_centres.setdefault(host, data_centre)
        self.add_members((update.host, *update.peers), now_s)

    def record_own_update(
        self, update: datagrams.PeerUpdate, now_s: float
    ) -> None:
        """Records the update that this host sends."""
        self._own_status = _make_status(update, now_s)

    def add_members(
        self, hosts: Iterable[str], now_s: float, data_centre: str | None = None
    ) -> None:
        """Adds hosts that another source lists, with or without an update.

        Args:
            hosts: The hosts; this one may be among them.
            now_s: Monotonic time.
            data_centre: Their data centre, if that is known.
        """
        for host in hosts:
            if host == self._me:
                continue
            self._known[host] = now_s
            self._known_since.setdefault(host, now_s)
            if data_centre is not None:
                self._host_data_centres.setdefault(host, data_centre)

    def list_unknown_data_centres(self) -> list[str]:
        """Returns the data centres of which no host is known."""
        known = {self._get_data_centre(h) for h in self._known}
        return sorted(self._data_centres - known - {self._data_centre})

    def has_heard(self) -> bool:
        """Returns whether any host has ever sent an update to this one."""
        return bool(self._peer_statuses)

    def list_local(self, now_s: float) -> list[str]:
        """Returns the hosts to send to: those not known to be remote."""
        self._known = {
            h: t for h, t in self._known.items() if self._shares_budget(h, t)
        }
        self._known_since = {
            h: t for h, t in self._known_since.items() if h in self._known
        }
        hosts = self._list_open_seeds() | {
            h for h, t in self._known.items() if now_s - t < PEER_EXPIRY_S
        }
        return sorted(h for h in hosts if not self._is_remote_host(h))

    def list_remote(self, now_s: float) -> list[str]:
        """Returns the hosts of other data centres to send to.

        For each data centre, its speakers, which forward the update, and a
        spare host; all its known hosts if it has no speaker.
        """
        found: list[str] = []
        for hosts in self._group_remote(now_s).values():
            speaking = [h for h in hosts if self._is_alive(h, now_s)]
            others = [h for h in hosts if h not in speaking]
            self._rng.shuffle(others)
            found += speaking
            found += others[:SPARE_CONTACTS] if speaking else others
        return sorted(found)

    def _group_remote(self, now_s: float) -> dict[str, list[str]]:
        """Returns the hosts of each other data centre that are still known."""
        groups: dict[str, list[str]] = {}
        for host, known_s in self._known.items():
            if now_s - known_s < PEER_EXPIRY_S and self._is_remote_host(host):
                groups.setdefault(self._host_data_centres[host], []).append(
                    host
                )
        return groups

    def _is_alive(self, host: str, now_s: float) -> bool:
        status = self._peer_statuses.get(host)
        return status is not None and now_s - status.at_s < ALIVE_TIMEOUT_S

    def _is_remote_host(self, host: str) -> bool:
        data_centre = self._host_data_centres.get(host)
        return data_centre is not None and data_centre != self._data_centre

    def count_budget_sharers(self) -> int:
        """Returns how many hosts share the retry budget, with this one.

        Hosts of other data centres are known from their speakers' lists. A data
        centre without any update, because this host started during a network
        partition, is assumed to be as large as the largest one known.
        """
        counts = collections.Counter({self._data_centre: 1})
        for host, known_s in self._known.items():
            if self._shares_budget(host, known_s):
                counts[self._get_data_centre(host)] += 1
        unheard = self._data_centres - set(counts)
        return counts.total() + len(unheard) * max(counts.values())

    def _shares_budget(self, host: str, known_s: float) -> bool:
        """Returns whether a host last known of at `known_s` shares the budget.

        The hosts of a data centre that sends no updates at all still count: it
        is cut off and keeps spending retries. If each side dropped the hosts
        of the other, each would have the whole budget.
        """
        heard_s = self._data_centre_updates.get(
            self._get_data_centre(host), known_s
        )
        return heard_s - known_s < BUDGET_SHARE_EXPIRY_S

    def _get_data_centre(self, host: str) -> str:
        """Returns a host's data centre; this host's own until it is known."""
        return self._host_data_centres.get(host, self._data_centre)

    def is_sole(self) -> bool:
        """Returns whether no source has named any other host."""
        others = self._data_centres - {self._data_centre}
        return not (self._seeds or self._known or others)

    def is_alone(self, now_s: float) -> bool:
        """Returns whether no local host has sent an update recently."""
        return not any(
            t.data_centre == self._data_centre
            and now_s - t.at_s < PEER_EXPIRY_S
            for t in self._peer_statuses.values()
        )

    def is_remote(
        self, update: datagrams.PeerUpdate | contention.ContentionUpdate
    ) -> bool:
        """Returns whether an update is from another data centre."""
        return update.data_centre != self._data_centre

    def is_speaker(self, now_s: float) -> bool:
        """Returns whether this host sends to the other data centres."""
        return self._precedes(self._find_local_alive(now_s))

    def list_recent(self, now_s: float) -> dict[str, str]:
        """Returns the data centre of each host with a recent update."""
        return {
            h: t.data_centre
            for h, t in sorted(self._peer_statuses.items())
            if now_s - t.at_s < PEER_LIST_MAX_AGE_S
        }

    def get_contact(self, now_s: float) -> contact.Contact:
        """Returns which hosts send updates to this one, and which don't."""
        if self._began_s is None:
            self._began_s = now_s
        since_s = now_s - contact.UNHEARD_AFTER_S
        places = self._data_centres - {self._data_centre}
        return contact.Contact(
            len(self.list_recent(now_s)),
            tuple(
                h
                for h in self.list_local(now_s)
                if self._is_unheard(h, since_s)
            ),
            tuple(
                sorted(
                    p
                    for p in places
                    if self._data_centre_updates.get(p, self._began_s) < since_s
                )
            ),
        )

    def _is_unheard(self, host: str, since_s: float) -> bool:
        """Returns whether a host is named, and not heard since a time.

        One that is named no longer has probably ended.
        """
        status = self._peer_statuses.get(host)
        if status is None:
            known_s = self._known_since.get(host, self._began_s)
            return known_s is not None and known_s < since_s
        named_s = self._known.get(host, -math.inf)
        return status.at_s < since_s and named_s >= since_s

    def list_helpers(self, now_s: float) -> helpers.Candidates:
        """Returns the hosts that may connect upstreams for this one.

        Hosts of other data centres are mostly known from the lists of others.
        """
        local = self._find_local_alive(now_s)
        remote = [
            h
            for h, t in self._known.items()
            if now_s - t < HELPER_MAX_AGE_S and self._is_remote_host(h)
        ]
        return helpers.Candidates(sorted(local), sorted(remote))

    def is_known(self, ip: str, now_s: float) -> bool:
        """Returns whether an IP is that of one of the installation's hosts.

        A connection's other port says nothing of the host that opened it.
        """
        recent = (
            h for h, t in self._known.items() if now_s - t < PEER_EXPIRY_S
        )
        return any(
            addresses.shorten(h) == ip
            for h in itertools.chain(self._seeds, recent)
        )

    def list_by_freshness(self, now_s: float) -> list[str]:
        """Returns the live hosts in the order in which to ask for the list.

        These are this data centre's hosts with a fresh list, beginning with its
        reader, then its other hosts, then remote hosts; and last those whose
        updates are missing.
        """

        def rank(host: str) -> tuple[bool, bool, bool, addresses.HostAddress]:
            status = alive[host]
            return (
                not _is_recent(status, now_s),
                status.data_centre != self._data_centre,
                not _is_fresh(status, now_s),
                addresses.parse(host),
            )

        alive = self._find_alive(now_s)
        return sorted(alive, key=rank)

    def list_fresh(self, now_s: float) -> list[str]:
        """Returns the live hosts with a fresh list; see `list_by_freshness`.

        The others may know nothing newer than the host that asks them.
        """
        return [
            h
            for h in self.list_by_freshness(now_s)
            if _is_fresh(self._peer_statuses[h], now_s)
        ]

    def list_newest(self, now_s: float) -> list[str]:
        """Returns the hosts with the newest configuration, local ones first.

        Empty if the hosts that had the newest one are not alive. Those whose
        updates are missing come last. Otherwise the order is random: each host
        that fetches the configuration serves it in turn, so that the others of
        a data centre don't all fill the link of one host.
        """
        alive = self._find_alive(now_s)
        found = [
            h for h, t in alive.items() if t.version >= self._newest_version
        ]
        self._rng.shuffle(found)
        return sorted(
            found,
            key=lambda h: (
                not _is_recent(alive[h], now_s),
                self._is_remote_host(h),
            ),
        )

    def is_candidate(self, now_s: float) -> bool:
        """Returns whether this host asks for its data centre's duty."""
        return (
            self._count_preceding(self._find_local_alive(now_s))
            < MAX_CANDIDATES
        )

    def is_store_away(self, age_s: float, now_s: float) -> bool:
        """Returns whether no live host of this data centre has the store.

        Args:
            age_s: Seconds since the store answered this host; large where the
                host doesn't ask because others do.
            now_s: Monotonic time.
        """
        local = self._find_local_alive(now_s).values()
        ages = [age_s, *(h.store_age_s for h in local)]
        return min(ages) >= STORE_TIMEOUT_S

    def is_reader(self, now_s: float) -> bool:
        """Returns whether this host reads the store for its data centre.

        The reader is the first host whose list is fresh and that can read the
        configuration too. If there is none, the former reader may be stuck in a
        call or refused by the store, and a few other hosts try. The one that
        the store serves stays the reader. A host that has no answer from the
        store leaves it to such a reader, since it would wait for the store
        before it asks that one.
        """
        local = self._find_local_alive(now_s)
        readers = [h for h, t in local.items() if _reads_both(t, now_s)]
        own = self._own_status
        if readers:
            is_lost = own is not None and own.is_config_lost
            return self._precedes(readers) and not (
                is_lost or self.is_cut_off(now_s)
            )
        if own is not None and _is_fresh(own, now_s):
            return True
        rank = self._count_preceding(local) - FIRST_READERS
        others = len(local) + 1 - FIRST_READERS
        return rank < 0 or _has_turn(rank, others, now_s)

    def is_cut_off(self, now_s: float) -> bool:
        """Returns whether the store has not answered this host for long."""
        own = self._own_status
        return own is not None and (
            own.store_age_s + now_s - own.at_s >= STORE_TIMEOUT_S
        )

    def may_be_deputy(self, now_s: float) -> bool:
        """Returns whether this is the first host while none has the store."""
        local = self._find_local_alive(now_s)
        if any(h.store_age_s < STORE_TIMEOUT_S for h in local.values()):
            return False
        return self._precedes(local)

    def _find_local_alive(self, now_s: float) -> dict[str, _PeerStatus]:
        """Returns the hosts of this data centre that are alive."""
        return {
            host: status
            for host, status in self._find_alive(now_s).items()
            if status.data_centre == self._data_centre
        }

    def _find_alive(self, now_s: float) -> dict[str, _PeerStatus]:
        """Returns the hosts that are alive."""
        return {
            host: status
            for host, status in self._peer_statuses.items()
            if now_s - status.at_s < ALIVE_TIMEOUT_S
        }

    def _precedes(self, hosts: Iterable[str]) -> bool:
        """Returns whether this host's address is the lowest of these."""
        me = addresses.parse(self._me)
        return all(me <= addresses.parse(h) for h in hosts)

    def _count_preceding(self, hosts: Iterable[str]) -> int:
        """Returns how many of these hosts have a lower address."""
        me = addresses.parse(self._me)
        return sum(addresses.parse(h) < me for h in hosts)


def _has_turn(rank: int, hosts: int, now_s: float) -> bool:
    """Returns whether it is a host's turn to read the store.

    Args:
        rank: Of the host among those that read by turns; 0 for the first.
        hosts: Number of these hosts.
        now_s: Monotonic time.
    """
    turns = max(MIN_READER_TURNS, math.ceil(hosts / TURN_READERS))
    return rank % turns == int(now_s / READER_TURN_S) % turns


def _make_status(update: datagrams.PeerUpdate, now_s: float) -> _PeerStatus:
    """Returns the status of a host that sent an update now."""
    return _PeerStatus(
        now_s,
        update.data_centre,
        update.store_age_s,
        update.known.list_age_s,
        update.known.version,
        update.known.is_config_lost,
    )


def _is_fresh(status: _PeerStatus, now_s: float) -> bool:
    """Returns whether a host has read the list recently."""
    return status.list_age_s + now_s - status.at_s < reading.MAX_LIST_AGE_S


def _is_recent(status: _PeerStatus, now_s: float) -> bool:
    """Returns whether a host sends its updates as it should."""
    return now_s - status.at_s < RECENT_UPDATE_S


def _reads_both(status: _PeerStatus, now_s: float) -> bool:
    """Returns whether a host reads both the list and the configuration."""
    return _is_fresh(status, now_s) and not status.is_config_lost
