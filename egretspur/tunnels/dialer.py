"""Opens connections to upstreams, over the own links or through a helper.

A helper is another host that opens the connection and passes the bytes on
(`egretspur.tunnels.server`); requests, their limits and their retries remain
with the host that asks. Connections of requests, reports and orders are all
opened here, so what an upstream's failed connection shows has been confirmed by
another host where there is one. Read next: `egretspur.tunnels.reach`.
"""

from __future__ import annotations

import enum
import http
import math
import socket
import threading
import time
from collections.abc import Callable, Collection
from typing import Final

import attrs

from egretspur import addresses, decisions, transport
from egretspur.tunnels import frames, heads, helpers, pending, reach

# Longest wait for a helper's connection. Its own attempt to connect takes less.
HELPER_TIMEOUT_S: Final = 0.25

# Longest head of a helper's answer.
MAX_HEAD_BYTES: Final = 4096

# Helpers asked for one connection at most. One of them may be cut off as well
# and not know it yet, or have just died.
MAX_ASKED: Final = 3

# Helpers that must fail to reach an upstream before it counts as down, where
# this host's own links are known not to lead there: they may be cut off too.
MIN_REFUTING: Final = 2

# Shortest time between two checks of links that work as far as is known.
MIN_VERIFY_INTERVAL_S: Final = 1.0

# Time since this host last connected to an upstream from which failures may be
# those of its own links.
MIN_DOUBT_S: Final = 0.25

# Seconds without an acknowledgement after which TCP gives up on a connection,
# also while it only waits. Upstreams may be silent for a second.
UNACKNOWLEDGED_TIMEOUT_MS: Final = 2500
KEEPALIVE_S: Final = 1


class NoTunnel(enum.Enum):
    """Why a helper did not connect to an upstream."""

    # The helper did not answer, or knows nothing of tunnels.
    UNREACHABLE = "unreachable"
    # It is cut off itself, stops, or serves all that it can.
    REFUSED = "refused"
    # It does not reach the upstream either.
    UPSTREAM_DOWN = "upstream down"


@attrs.frozen
class Connection:
    """A connection to an upstream."""

    sock: socket.socket
    # Address of the host that passes the bytes on; empty for none.
    helper: str


class Dialer:
    """See the module's docstring; shared between threads."""

    def __init__(
        self,
        ip: str,
        port: int,
        choice: helpers.Helpers,
        list_candidates: Callable[[], helpers.Candidates],
        on_change: Callable[[reach.ReachState], None] = lambda state: None,
    ) -> None:
        """Makes a dialer.

        Args:
            ip: This host's address; helpers know it by this.
            port: TCP port on which hosts accept tunnels that are known by
                their IP alone.
            choice: Chooses helpers.
            list_candidates: Returns the hosts that are alive.
            on_change: Receives each new state of this host's links; must not
                block.
        """
        self._ip = ip
        self._port = port
        self._helpers = choice
        self._list_candidates = list_candidates
        self._lock = threading.Lock()
        self._reach = reach.Reach()
        self._state = reach.ReachState.SOUND
        self._on_change = on_change
        # Set while own links are to be checked.
        self.needs_checks = threading.Event()
        self._pending = pending.PendingAnswers()
        # Whether the links may be down though connections open, and when that
        # was last checked.
        self._is_suspected = False
        self._verified_s = -math.inf

    def dial(self, address: str, timeout_s: float) -> socket.socket:
        """Returns a connected socket; see `open`."""
        return self.open(address, timeout_s).sock

    def dial_known(self, address: str, timeout_s: float) -> socket.socket:
        """Connects in the way that is known to work, and no other.

        For questions that ask whether an upstream is there, within a time that
        is too short to ask helpers or to conclude anything about the links.

        Raises:
            OSError: There was no connection.
        """
        if self.needs_helper(address):
            return self.dial(address, timeout_s)
        return connect(address, timeout_s)

    def open(self, address: str, timeout_s: float) -> Connection:
        """Connects to an upstream.

        Args:
            address: IP and port.
            timeout_s: Longest wait for a connection over the own links.

        Raises:
            OSError: Neither this host nor any helper reaches it.
        """
        with self._lock:
            is_direct = not self._reach.needs_helper(address)
        if is_direct:
            return self._open_or_ask(address, timeout_s)
        link = self.open_through_helper(address)
        if link is not None:
            return link
        return Connection(self.open_direct(address, timeout_s), "")

    def _open_or_ask(self, address: str, timeout_s: float) -> Connection:
        """Connects over the own links; asks helpers if that fails."""
        try:
            sock = self.connect_direct(address, timeout_s)
        except OSError:
            with self._lock:
                self._reach.record_question(address, time.monotonic())
            try:
                link = self.open_through_helper(address)
            finally:
                with self._lock:
                    self._reach.record_decided(address, time.monotonic())
                self._note_changes(address)
            if link is None:
                raise
            return link
        self.record_direct(address, True)
        return Connection(sock, "")

    def connect_direct(self, address: str, timeout_s: float) -> socket.socket:
        """Connects over the own links and records nothing.

        Raises:
            OSError: There was no connection.
        """
        return connect(address, timeout_s)

    def open_direct(self, address: str, timeout_s: float) -> socket.socket:
        """Connects over the own links only.

        Raises:
            OSError: There was no connection.
        """
        try:
            sock = self.connect_direct(address, timeout_s)
        except OSError:
            self.record_direct(address, False)
            raise
        self.record_direct(address, True)
        return sock

    def record_direct(self, address: str, is_connected: bool) -> None:
        """Records the outcome of a connection over the own links."""
        now_s = time.monotonic()
        with self._lock:
            if is_connected:
                self._reach.record_connected(address, now_s)
            else:
                self._reach.record_failed(address, now_s)
        self._note_changes(address)

    def record_for_other(self, address: str, is_connected: bool) -> None:
        """Records a connection over the own links for another host.

        If it failed and this host has connected to nothing lately, its own
        links are checked: the other host takes its word for it.
        """
        if is_connected:
            self.record_direct(address, True)
            return
        now_s = time.monotonic()
        with self._lock:
            self._reach.record_failed_for_other(address, now_s)
            connected_s = self._reach.connected_s
        if now_s - connected_s >= MIN_VERIFY_INTERVAL_S:
            self.suspect()

    def may_judge(self) -> bool:
        """Returns whether a failure shows another host that it is upstream's.

        Not if this host may be cut off itself: some connections failed, and
        none was made since.
        """
        with self._lock:
            quiet_s = time.monotonic() - self._reach.connected_s
            if self._reach.is_lost:
                return False
            return quiet_s < MIN_DOUBT_S or not self._reach.is_in_doubt()

    def expect_answer(self, address: str, abort: Callable[[], None]) -> int:
        """Notes a request over an own connection; returns its id.

        Args:
            address: Of the upstream.
            abort: Ends the request's connection, from any thread.
        """
        return self._pending.add(address, abort, time.monotonic())

    def end_answer(self, number: int) -> None:
        """Forgets a request whose answer began or that ended."""
        self._pending.remove(number)

    def record_answered(self, address: str) -> None:
        """Records an answer over a new connection of this host."""
        with self._lock:
            was_lost = self._reach.is_lost
            self._reach.record_answered(address, time.monotonic())
        if was_lost:
            self._note_changes(address)

    def record_fruitless(self, address: str) -> None:
        """Records that an own connection opened and ended with no answer."""
        with self._lock:
            self._reach.record_fruitless(address, time.monotonic())
            is_suspect = self._reach.has_fruitless()
        if is_suspect:
            self.suspect()

    def record_unanswered_probe(self, address: str) -> None:
        """Records that a probe's own connection opened and brought nothing.

        The upstream may have stopped. If nothing has answered lately, the links
        are checked: while upstreams count as down, no request may be sent that
        would show it.
        """
        self.record_fruitless(address)
        with self._lock:
            quiet_s = time.monotonic() - self._reach.answered_s
        if quiet_s >= MIN_VERIFY_INTERVAL_S:
            self.suspect()

    def record_lost(self, address: str) -> None:
        """Records that own connections bring nothing, though helpers' do."""
        with self._lock:
            self._reach.record_lost()
        self._pending.abort_overdue(time.monotonic())
        self._note_changes(address)

    def check_overdue(self) -> None:
        """Has the links checked if answers are overdue and none came."""
        now_s = time.monotonic()
        with self._lock:
            is_quiet = now_s - self._reach.answered_s >= pending.OVERDUE_S
        if is_quiet and self._pending.has_overdue(now_s):
            self.suspect()

    def _note_changes(self, address: str) -> None:
        """Passes on a change of the links' state; starts or stops checks."""
        with self._lock:
            if self._reach.needs_checks() or self._is_suspected:
                self.needs_checks.set()
            else:
                self.needs_checks.clear()
            state = self._reach.get_state()
            if state is self._state:
                return
            self._state = state
            # Under the lock, so that the last state is passed on last.
            self._on_change(state)
        decisions.record(decisions.ReachChanged(state.value, address))

    def suspect(self) -> None:
        """Has this host's own links checked soon; see `forward.Reach`."""
        with self._lock:
            if time.monotonic() - self._verified_s < MIN_VERIFY_INTERVAL_S:
                return
            self._is_suspected = True
        self.needs_checks.set()

    def keep_suspicion(self) -> None:
        """Has the own links checked again, since a check showed nothing."""
        with self._lock:
            self._is_suspected = True
        self.needs_checks.set()

    def take_suspicion(self) -> bool:
        """Returns whether to check links that work as far as is known."""
        with self._lock:
            is_due = self._is_suspected and not self._reach.is_cut_off()
            self._is_suspected = False
            if is_due:
                self._verified_s = time.monotonic()
            return is_due

    def has_lost(self, address: str, helper: str) -> bool:
        """Returns whether open connections are lost; see `forward.Reach`."""
        if not helper:
            return self.needs_helper(address)
        candidates = self._list_candidates()
        with self._lock:
            is_paused = self._helpers.is_paused(helper, time.monotonic())
        return is_paused or helper not in (
            *candidates.local,
            *candidates.remote,
        )

    def get_state(self) -> reach.ReachState:
        """Returns how this host reaches upstreams."""
        with self._lock:
            return self._reach.get_state()

    def is_cut_off(self) -> bool:
        """Returns whether this host reaches no upstream by itself."""
        with self._lock:
            return self._reach.is_cut_off()

    def is_lost(self) -> bool:
        """Returns whether own connections open but bring no answers."""
        with self._lock:
            return self._reach.is_lost

    def needs_helper(self, address: str) -> bool:
        """Returns whether only helpers reach an upstream."""
        with self._lock:
            return self._reach.needs_helper(address)

    def has_failed_lately(self, address: str) -> bool:
        """Returns whether this host's own connections fail there now."""
        with self._lock:
            return self._reach.has_failed_lately(address, time.monotonic())

    def list_checks(self, listed: Collection[str]) -> list[str]:
        """Returns the upstreams to try over the own links again.

        Args:
            listed: Addresses of all upstreams.
        """
        with self._lock:
            found = self._reach.list_checks(listed)
        # Those that failed may not be listed any more.
        self._note_changes("")
        return found

    def ask(self, host: str, address: str) -> socket.socket | NoTunnel:
        """Asks a host for a connection; returns why there is none, if so."""
        try:
            sock = socket.create_connection(
                self._get_endpoint(host), HELPER_TIMEOUT_S, (self._ip, 0)
            )
        except OSError:
            return NoTunnel.UNREACHABLE
        try:
            set_options(sock)
            sock.sendall(_make_question(address))
            head, early = _read_head(sock)
        except OSError:
            sock.close()
            return NoTunnel.UNREACHABLE
        status, fields = heads.parse(head) or (0, {})
        if status == http.HTTPStatus.OK:
            is_framed = fields.get(frames.FIELD) == frames.VERSION
            return frames.TunnelSocket(sock, early, is_framed)
        sock.close()
        if status == http.HTTPStatus.BAD_GATEWAY:
            return NoTunnel.UPSTREAM_DOWN
        return NoTunnel.REFUSED if status else NoTunnel.UNREACHABLE

    def _get_endpoint(self, host: str) -> tuple[str, int]:
        ip, port = addresses.parse(host).endpoint
        return ip, port or self._port

    def open_through_helper(self, address: str) -> Connection | None:
        """Asks helpers for a connection; None if none of them has one."""
        with self._lock:
            if not self._reach.may_ask_helper(address, time.monotonic()):
                return None
            is_link_suspect = self._reach.is_in_doubt() or (
                self._reach.needs_helper(address)
            )
        needed = MIN_REFUTING if is_link_suspect else 1
        candidates = self._list_candidates()
        tried: set[str] = set()
        refuting = 0
        while len(tried) < MAX_ASKED and refuting < needed:
            with self._lock:
                host = self._helpers.choose(candidates, tried, time.monotonic())
            if host is None:
                break
            tried.add(host)
            answer = self.ask(host, address)
            if isinstance(answer, socket.socket):
                self._record_helped(host, address)
                return Connection(answer, host)
            decisions.record(decisions.HelpRefused(host, address, answer.value))
            if answer is NoTunnel.UPSTREAM_DOWN:
                refuting += 1
                continue
            with self._lock:
                self._helpers.record_refused(host, time.monotonic())
        if refuting:
            with self._lock:
                self._reach.record_refuted(address, time.monotonic())
        return None

    def _record_helped(self, host: str, address: str) -> None:
        with self._lock:
            self._helpers.record_helped(host)
            self._reach.record_helped(address, time.monotonic())
        self._note_changes(address)


def _make_question(address: str) -> bytes:
    field = f"{frames.FIELD}: {frames.VERSION}"
    return f"CONNECT {address} HTTP/1.1\r\n{field}\r\n\r\n".encode()


def _read_head(sock: socket.socket) -> tuple[bytes, bytes]:
    """Returns the head of a helper's answer, and the bytes that came after it.

    Raises:
        OSError: There is none.
    """
    data = b""
    while heads.END not in data and len(data) < MAX_HEAD_BYTES:
        part = sock.recv(MAX_HEAD_BYTES)
        if not part:
            raise ConnectionResetError("closed within the head")
        data += part
    head, end, early = data.partition(heads.END)
    return head + end, early


def connect(address: str, timeout_s: float) -> socket.socket:
    """Returns a connection over this host's own links.

    Raises:
        OSError: There was no connection.
    """
    sock = socket.create_connection(transport.split_address(address), timeout_s)
    set_options(sock)
    return sock


def set_options(sock: socket.socket) -> None:
    """Sets the options of connections that wait for an upstream's answer."""
    for level, name, value in _OPTIONS:
        sock.setsockopt(level, name, value)


_OPTIONS: Final = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S),
    # It decides also when keep-alive probes give up, whatever their count.
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        UNACKNOWLEDGED_TIMEOUT_MS,
    ),
)
