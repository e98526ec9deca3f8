"""Exchange of peer updates about requests in flight, by datagram.

Every host sends its whole state a few times a second to the other hosts of its
data centre, so a lost datagram costs a fraction of a second and nothing has to
be retransmitted. One host of each data centre, its speaker, sends the total of
its data centre to the speaker of each other data centre, which forwards it to
its own hosts. The bytes between data centres thus don't grow with the hosts; if
every host sent to every other, they would grow with the square of the hosts. A
host learns of others from its settings, the store's group and peer updates, and
drops those from which it receives none.
"""

from __future__ import annotations

import logging
import math
import socket
import threading
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, Final

from egretspur import addresses, decisions, guard
from egretspur.membership import contact, datagrams, hosts, sidechannels
from egretspur.tunnels import helpers

_LOG: Final = logging.getLogger(__name__)

# Seconds between two regular datagrams to each host.
SEND_PERIOD_S: Final = 0.25

# Least seconds between two datagrams, if the next one is urgent.
MIN_SEND_INTERVAL_S: Final = 0.05

# One datagram in this many also lists the peers of the host.
PEER_LIST_INTERVAL: Final = 8

# A host that has just started doesn't read the store for others until it has
# learned who does. Time for two datagrams, one of which may be lost.
STARTUP_WAIT_S: Final = 0.6

# Seconds to wait after a datagram for others to arrive; a fifth of the period
# between two datagrams of one host.
BATCH_WAIT_S: Final = 0.05

# Wait after an error of the socket, such as a lack of buffers.
RECEIVE_BACKOFF_S: Final = 0.1

# Limit on datagrams handled together, so that none waits for long.
MAX_BATCH: Final = 256

# Refused datagrams are logged once per sender and field in this period, for a
# limited number of these.
REFUSAL_LOG_PERIOD_S: Final = 60.0
MAX_LOGGED_REFUSALS: Final = 256

_MAX_DATAGRAM: Final = 65536

# Data with the sender's address and port.
_Datagram = tuple[bytes, tuple[str, int]]


class Exchange:
    """Sends and receives peer updates."""

    def __init__(
        self,
        peers: hosts.Peers,
        address: addresses.HostAddress,
        make_update: Callable[[Mapping[str, str]], datagrams.PeerUpdate],
        aggregate: Callable[[datagrams.PeerUpdate], datagrams.PeerUpdate],
        handle_updates: Callable[[Sequence[datagrams.PeerUpdate], int], None],
        kinds: Sequence[sidechannels.Kind[Any]] = (),
    ) -> None:
        """Makes an exchange.

        Args:
            peers: State of the other hosts; the exchange owns it from now on.
            address: Where this host listens.
            make_update: Returns this host's update, given the peers to list.
            aggregate: Returns the update of the whole data centre, given this
                host's; the speaker sends it to the other data centres.
            handle_updates: Receives the updates of others, oldest first, and
                the number of hosts that share a retry budget.
            kinds: Updates that are exchanged besides.
        """
        self._address = address
        self._host = str(address)
        # Hosts of older builds, to which this one is known by its IP alone.
        self._older: set[str] = set()
        self._make_update = make_update
        self._aggregate = aggregate
        self._handle_updates = handle_updates
        self._channels = [sidechannels.SideChannel(k) for k in kinds]
        self._lock = threading.Lock()
        self._peers = peers
        self._contact_log = contact.ContactLog()
        self._decoder = datagrams.Decoder()
        # Senders and fields of refused datagrams logged in this period.
        self._refused: set[tuple[str, str]] = set()
        self._refused_since_s = 0.0
        self._began_s = -math.inf
        self._stop = threading.Event()
        self._send_requested = threading.Event()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        # The same socket in non-blocking mode, to read what has arrived.
        self._waiting = self._sock.dup()
        self._threads = [
            threading.Thread(target=self._send, name="news-out", daemon=True),
            threading.Thread(target=self._receive, name="news-in", daemon=True),
        ]

    def start(self) -> None:
        """Binds the socket and starts the threads."""
        self._began_s = time.monotonic()
        self._sock.bind(self._address.endpoint)
        self._sock.settimeout(1.0)
        self._waiting.setblocking(False)
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stops the threads and closes the socket."""
        self._stop.set()
        self._sock.close()
        self._waiting.close()

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replaces the seed hosts."""
        with self._lock:
            self._peers.set_seeds(seeds)

    def add_members(
        self, hosts: Iterable[str], data_centre: str | None = None
    ) -> None:
        """Adds hosts that the store lists as members, or a seed names."""
        found = tuple(self._address.complete(h) for h in hosts)
        with self._lock:
            self._peers.add_members(found, time.monotonic(), data_centre)

    def count_sharing(self) -> int:
        """Returns how many hosts share the retry budget, with this one."""
        with self._lock:
            return self._peers.count_budget_sharers()

    def is_sole(self) -> bool:
        """Returns whether no source has named any other host."""
        with self._lock:
            return self._peers.is_sole()

    def has_heard(self) -> bool:
        """Returns whether any host has ever sent an update to this one."""
        with self._lock:
            return self._peers.has_heard()

    def list_unknown_data_centres(self) -> list[str]:
        """Returns the data centres of which no host is known.

        Empty while the first updates may still arrive.
        """
        if time.monotonic() - self._began_s < STARTUP_WAIT_S:
            return []
        with self._lock:
            return self._peers.list_unknown_data_centres()

    def list_unheard_seeds(self) -> list[str]:
        """Returns the control addresses of seeds that are not known yet."""
        with self._lock:
            return self._peers.list_unheard_seeds(time.monotonic())

    def may_be_deputy(self) -> bool:
        """Returns whether this is the first host while none has the store."""
        with self._lock:
            return self._peers.may_be_deputy(time.monotonic())

    def is_reader(self) -> bool:
        """Returns whether this host reads the store for its data centre."""
        now_s = time.monotonic()
        if now_s - self._began_s < STARTUP_WAIT_S:
            return False
        with self._lock:
            return self._peers.is_reader(now_s)

    def is_cut_off(self) -> bool:
        """Returns whether the store has not answered this host for long."""
        with self._lock:
            return self._peers.is_cut_off(time.monotonic())

    def is_candidate(self) -> bool:
        """Returns whether this host asks for its data centre's duty."""
        with self._lock:
            return self._peers.is_candidate(time.monotonic())

    def is_store_away(self, age_s: float) -> bool:
        """Returns whether no local host has the store; see `Peers`."""
        with self._lock:
            return self._peers.is_store_away(age_s, time.monotonic())

    def list_newest(self) -> list[str]:
        """Returns the hosts that have the newest configuration."""
        with self._lock:
            return self._peers.list_newest(time.monotonic())

    def list_fresh(self) -> list[str]:
        """Returns the live hosts that read the list of upstreams."""
        with self._lock:
            return self._peers.list_fresh(time.monotonic())

    def list_alive(self) -> list[str]:
        """Returns the live hosts, this data centre's reader first."""
        with self._lock:
            return self._peers.list_by_freshness(time.monotonic())

    def list_helpers(self) -> helpers.Candidates:
        """Returns the hosts that may connect upstreams for this one."""
        with self._lock:
            return self._peers.list_helpers(time.monotonic())

    def is_known(self, ip: str) -> bool:
        """Returns whether an IP is that of one of the installation's hosts."""
        with self._lock:
            return self._peers.is_known(ip, time.monotonic())

    def is_alone(self) -> bool:
        """Returns whether no local host has sent an update recently."""
        with self._lock:
            return self._peers.is_alone(time.monotonic())

    def get_contact(self) -> contact.Contact:
        """Returns which hosts send updates to this one, and which don't."""
        with self._lock:
            return self._peers.get_contact(time.monotonic())

    def send_soon(self) -> None:
        """Sends the next update early: requests fail until peers have it."""
        self._send_requested.set()

    def _send(self) -> None:
        turn = 0
        while not self._stop.wait(MIN_SEND_INTERVAL_S):
            self._send_requested.wait(SEND_PERIOD_S - MIN_SEND_INTERVAL_S)
            self._send_requested.clear()
            turn += 1
            with guard.log_exceptions("news-out"):
                self._send_once(turn)
                if turn % PEER_LIST_INTERVAL == 0:
                    self._contact_log.note(self.get_contact())

    def _send_once(self, turn: int) -> None:
        now_s = time.monotonic()
        with self._lock:
            local = self._peers.list_local(now_s)
            remote = self._peers.list_remote(now_s)
            is_speaker = self._peers.is_speaker(now_s)
            listed = self._peers.list_recent(now_s)
        peers = listed if turn % PEER_LIST_INTERVAL == 0 else {}
        update = self._make_update(peers)
        with self._lock:
            self._peers.record_own_update(update, now_s)
        self._send_update(local, update)
        self._send_others(local, False)
        if is_speaker and remote:
            self._send_update(remote, self._aggregate(update))
            self._send_others(remote, True)

    def _send_update(
        self, hosts: Iterable[str], update: datagrams.PeerUpdate
    ) -> None:
        self._send_encoded(hosts, update, datagrams.encode_update)

    def _send_others(self, hosts: Sequence[str], is_speaker: bool) -> None:
        """Sends the updates of other kinds that have anything to tell."""
        for channel in self._channels:
            update = channel.make_update(is_speaker)
            if update is not None:
                self._send_encoded(hosts, update, channel.encode)

    def _send_encoded(
        self,
        hosts: Iterable[str],
        update: datagrams.PeerUpdate | sidechannels.Update,
        encode: Callable[[Any], bytes],
        data: bytes = b"",
    ) -> None:
        """Sends an update, to hosts of older builds as they read it.

        Args:
            hosts: The hosts to send to.
            update: The update.
            encode: Returns the datagram for an update of its kind.
            data: The datagram, if there is one already.
        """
        older = self._older.intersection(hosts)
        newer = [h for h in hosts if h not in older]
        if newer:
            self._send_to(newer, data or encode(update))
        if older:
            short = datagrams.map_hosts(update, addresses.shorten)
            self._send_to(older, encode(short))

    def _send_to(self, hosts: Iterable[str], data: bytes) -> None:
        for host in hosts:
            try:
                self._sock.sendto(data, addresses.parse(host).endpoint)
            except OSError as exc:
                _LOG.debug("peer update not sent", extra={"reason": str(exc)})

    def _receive(self) -> None:
        while not self._stop.is_set():
            with guard.log_exceptions("news-in") as failure:
                self._receive_batch()
            if failure.reason:
                self._stop.wait(RECEIVE_BACKOFF_S)

    def _receive_batch(self) -> None:
        try:
            first: _Datagram = self._sock.recvfrom(_MAX_DATAGRAM)
        except TimeoutError:
            return
        except OSError:
            if self._stop.is_set():
                # The socket was closed.
                return
            raise
        # With many hosts, more datagrams follow at once; waking up for each
        # costs more than reading it.
        time.sleep(BATCH_WAIT_S)
        self._handle_batch([first, *self._read_waiting()])

    def _read_waiting(self) -> list[_Datagram]:
        """Returns the datagrams that have arrived, up to a limit."""
        waiting: list[_Datagram] = []
        while len(waiting) < MAX_BATCH:
            try:
                waiting.append(self._waiting.recvfrom(_MAX_DATAGRAM))
            except OSError:
                # No datagram is left, or the socket was closed.
                break
        return waiting

    def _handle_batch(self, received: Iterable[_Datagram]) -> None:
        now_s = time.monotonic()
        updates = []
        others: dict[bytes, list[Any]] = {}
        forwarded = []
        for data, sender in received:
            channel = self._find_channel(data)
            update = self._read_update(data, channel, sender)
            if isinstance(update, datagrams.InvalidUpdate):
                self._log_refused(sender[0], update, now_s)
                continue
            if update.host == self._host:
                continue
            encode = channel.encode if channel else datagrams.encode_update
            if channel is not None:
                others.setdefault(channel.prefix, []).append(update)
            else:
                updates.append(update)
            is_direct = sender == addresses.parse(update.host).endpoint
            if is_direct and self._peers.is_remote(update):
                forwarded.append((update, encode, data))
        if not updates and not others:
            return
        with self._lock:
            for peer_update in updates:
                self._peers.record_update(peer_update, now_s)
            host_count = self._peers.count_budget_sharers()
            is_forwarding = bool(forwarded) and self._peers.is_speaker(now_s)
            local = self._peers.list_local(now_s) if is_forwarding else []
        for remote, encode, data in forwarded:
            self._send_encoded(local, remote, encode, data)
        if updates:
            self._handle_updates(updates, host_count)
        for channel in self._channels:
            channel.handle(others.get(channel.prefix, ()))

    def _read_update(
        self,
        data: bytes,
        channel: sidechannels.AnyChannel | None,
        sender: tuple[str, int],
    ) -> Any:
        """Returns the update in a datagram, or why it is refused."""
        update = (channel or self._decoder).decode(data)
        if isinstance(update, datagrams.InvalidUpdate):
            return update
        if addresses.is_short(update.host):
            update = datagrams.map_hosts(update, self._address.complete)
            self._older.add(update.host)
        else:
            self._older.discard(update.host)
        if update.host == self._host and sender != self._address.endpoint:
            return datagrams.InvalidUpdate(
                "host", "another process sends as this host"
            )
        return update

    def _find_channel(self, data: bytes) -> sidechannels.AnyChannel | None:
        """Returns the channel of a datagram; None for a peer update."""
        for channel in self._channels:
            if data.startswith(channel.prefix):
                return channel
        return None

    def _log_refused(
        self, sender: str, refused: datagrams.InvalidUpdate, now_s: float
    ) -> None:
        """Logs a refused datagram, once per sender and field in a period."""
        if now_s - self._refused_since_s > REFUSAL_LOG_PERIOD_S:
            self._refused_since_s = now_s
            self._refused.clear()
        cause = (sender, refused.field)
        if cause in self._refused or len(self._refused) >= MAX_LOGGED_REFUSALS:
            return
        self._refused.add(cause)
        decisions.record(
            decisions.EntryLeftOut(
                "news", sender, refused.field, refused.problem
            )
        )
