"""Threads that fetch records for a control daemon, from the log or from peers.

The first few hosts of a data centre, by rank, keep a long poll open at the
log. The others get records from peers and read the log only once in
`fallback_s`. Each host stays up to date if either the log or its peers are
reachable.
"""

from __future__ import annotations

import logging
import queue
import threading
import time
from collections.abc import Callable
from typing import Any, Final

import attrs

from egretspur import codec, errors, settings, transport
from egretspur.clients import log as logs
from egretspur.intents import actor as configs
from egretspur.intents import checkpoints, follow, records
from egretspur.intents import state as states

_LOG: Final = logging.getLogger(__name__)

# Longest time that the log holds a poll open.
LONG_POLL_S: Final = 5.0

# Backoff after the log did not answer; doubles up to the maximum.
MIN_BACKOFF_S: Final = 0.2
MAX_BACKOFF_S: Final = 5.0


@attrs.frozen
class Snapshot:
    """A peer's whole state."""

    offset: int
    packed: str


@attrs.frozen
class _PeerAhead:
    """A peer with a higher offset."""

    address: str
    offset: int


class Follower:
    """Keeps a `configs.Config` up to date."""

    def __init__(
        self,
        name: str,
        config: configs.Config,
        client: logs.LogClient,
        platform: settings.PlatformSettings,
        peers: settings.PeerSettings,
        get_rank: Callable[[], int],
    ) -> None:
        self._name = name
        self._config = config
        self._client = client
        self._retention_s = platform.retention_s
        self._peers = peers
        self._get_rank = get_rank
        self._transport = transport.Transport(0.5, 3.0)
        self._peers_ahead: queue.Queue[_PeerAhead | None] = queue.Queue(64)
        self._stop = threading.Event()
        self._next_offset = 1
        self._log_first_offset = 1
        self._checkpoint_offset = 0
        self._checkpoint_at_s = time.monotonic()
        self._log_complete_at_s = 0.0
        # True while the log answers.
        self.log_reachable = False
        self._threads = [
            threading.Thread(
                target=self._follow_log, name="follow", daemon=True
            ),
            threading.Thread(target=self._pull, name="pull", daemon=True),
        ]

    def start(self) -> None:
        """Starts the threads."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stops the threads."""
        self._stop.set()
        try:
            self._peers_ahead.put_nowait(None)
        except queue.Full:
            pass
        self._transport.close()

    def request_pull(self, address: str, offset: int) -> None:
        """Queues a read of records from a peer with a higher offset."""
        try:
            self._peers_ahead.put_nowait(_PeerAhead(address, offset))
        except queue.Full:
            _LOG.debug(
                "queue of peers with higher offsets is full; dropped one"
            )

    def read_now(self) -> None:
        """Reads the log to its head without waiting, after an own append."""
        self._read_log(0.0)

    def _follow_log(self) -> None:
        pause = MIN_BACKOFF_S
        while not self._stop.is_set():
            is_follower = self._get_rank() < self._peers.followers
            if self._read_log(LONG_POLL_S if is_follower else 0.0):
                pause = MIN_BACKOFF_S
                self._write_checkpoint()
                if not is_follower:
                    self._stop.wait(self._peers.fallback_s)
                continue
            self._stop.wait(pause)
            pause = min(pause * 2, MAX_BACKOFF_S)

    def _read_log(self, wait_s: float) -> bool:
        """Reads to the head of the log; returns False if it did not answer."""
        while not self._stop.is_set():
            res = self._client.read(records.STREAM, self._next_offset, wait_s)
            if isinstance(res, errors.Refusal):
                self.log_reachable = False
                return False
            self.log_reachable = True
            self._log_first_offset = res.first
            position = self._config.apply_batch(make_batch(res))
            self._next_offset = position.next
            if position.next >= res.head or not res.records:
                if position.offset + 1 > res.head:
                    _LOG.warning("the log's head is behind this host's state")
                return True
        return True

    def _write_checkpoint(self) -> None:
        now = time.monotonic()
        offset, checkpoint = self._config.read(
            lambda s: (s.offset, s.checkpoint)
        )
        if checkpoint != self._checkpoint_offset:
            self._checkpoint_offset = checkpoint
            self._checkpoint_at_s = now
        if self._log_first_offset <= checkpoint + 1:
            self._log_complete_at_s = now
        due = checkpoints.CheckpointStatus(
            offset,
            checkpoint,
            now - self._checkpoint_at_s,
            self._retention_s,
            self._get_rank(),
            self._log_first_offset,
            now - self._log_complete_at_s,
        )
        if not checkpoints.is_due(due):
            return
        parts = self._config.read(
            lambda s: checkpoints.split(s, self._name, _get_wall_ms())
        )
        for part in parts:
            # Each part is appended separately, so that after a lost answer
            # only one part is sent again. The id makes the repeat harmless.
            value = records.CODEC.encode(part)
            res = logs.append_with_retries(
                lambda v=value: self._client.append(  # type: ignore[misc]
                    records.STREAM, [v]
                ),
                timeout_s=5.0,
            )
            if isinstance(res, errors.Refusal):
                _LOG.warning(
                    "checkpoint not written, append failed: %s", res.reason
                )
                return
        _LOG.info(
            "checkpoint written",
            extra={"offset": offset, "parts": len(parts)},
        )

    def _pull(self) -> None:
        while not self._stop.is_set():
            ahead = self._peers_ahead.get()
            if ahead is None:
                return
            try:
                self._pull_from(ahead)
            except codec.DecodeError as exc:
                _LOG.warning("peer's records are malformed: %s", exc)

    def _pull_from(self, ahead: _PeerAhead) -> None:
        offset = self._config.read(lambda s: s.offset)
        if ahead.offset <= offset:
            return
        res = self._transport.call(
            "GET", ahead.address, f"/peer/records?from={offset + 1}"
        )
        if isinstance(res, transport.Failed) or res.status != 200:
            return
        batch = load_batch(res.body)
        if batch.first <= offset + 1:
            self._config.apply_batch(batch)
            return
        res = self._transport.call("GET", ahead.address, "/peer/snapshot")
        if isinstance(res, transport.Failed) or res.status != 200:
            return
        snapshot = codec.load(res.body, Snapshot)
        self._config.adopt_state(checkpoints.unpack(snapshot.packed))


def make_batch(read: logs.Slice) -> follow.Batch:
    """Returns records read from the log, decoded.

    A record that can't be decoded was written by a newer version or by another
    program. It is replaced by `records.Unreadable`, which keeps its offset, so
    that readers proceed past it; it changes nothing in any process of this
    version.
    """
    entries = []
    for offset, value in read.records:
        record: records.Record
        try:
            record = records.CODEC.decode(value)
        except codec.DecodeError as exc:
            _LOG.error("record %d is malformed: %s", offset, exc)
            record = records.Unreadable(f"unreadable-{offset}", str(exc))
        entries.append(records.Entry(offset, record))
    return follow.Batch(read.first, read.next, read.head, tuple(entries))


def dump_batch(batch: follow.Batch) -> bytes:
    """Returns a batch as JSON bytes for a peer."""
    value: list[Any] = [
        batch.first,
        batch.next,
        batch.head,
        [
            [e.offset, records.CODEC.encode(e.record)]
            for e in batch.entries
            if not isinstance(e.record, records.Unreadable)
        ],
    ]
    return codec.dump_json(value)


def load_batch(data: bytes) -> follow.Batch:
    """Returns a batch from a peer.

    Raises:
        codec.DecodeError: The bytes have another form.
    """
    try:
        first, following, head, entries = codec.load_json(data)
        return follow.Batch(
            first,
            following,
            head,
            tuple(
                records.Entry(offset, records.CODEC.decode(value))
                for offset, value in entries
            ),
        )
    except (TypeError, ValueError) as exc:
        raise codec.DecodeError(
            f"batch of records is malformed: {exc}"
        ) from exc


def make_snapshot(state: states.State) -> Snapshot:
    """Returns the state for a peer."""
    return Snapshot(state.offset, checkpoints.pack(state))


def _get_wall_ms() -> int:
    return time.time_ns() // 1_000_000
