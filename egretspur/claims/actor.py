"""Actor that appends claims in batches and reads them back.

Claims of one partition that arrive during an append are batched into the next
one, which limits the rate of appends under load. Read next:
`egretspur.claims.table`, which decides which claim wins.
"""

from __future__ import annotations

import concurrent.futures
import functools
import logging
import threading
import time
from typing import Any, Final

import attrs
import pykka

from egretspur import actors, codec, errors, transport
from egretspur.claims import table
from egretspur.clients import log as logs

_LOG: Final = logging.getLogger(__name__)

# Partitions of the claims. Fixed, since it determines the partition of a key.
PARTITIONS: Final = 16

# Shortest time between two appends by one host to one partition.
FLUSH_INTERVAL_S: Final = 0.02

# Attempts at an append and its read-back before a claim is refused.
APPEND_ATTEMPTS: Final = 4

VerdictFuture = concurrent.futures.Future[table.Granted | table.Taken | None]


@attrs.frozen
class SubmitClaim:
    """Submits a claim; the future gets its verdict."""

    claim: table.Claim
    fut: VerdictFuture


@attrs.frozen
class ReleaseClaim:
    """Releases a claim whose call was not sent."""

    claim: table.Claim


@attrs.frozen
class ClaimCall:
    """A claim sent to the host that serves its partition."""

    claim: table.Claim


@attrs.frozen
class ClaimReply:
    """Verdict on a claim: ``granted``, ``taken`` or ``unavailable``."""

    verdict: str
    by: str


@attrs.frozen
class _Flush:
    """Appends the pending claims and releases."""


class PartitionActor(actors.Actor):
    """Appends and folds one partition."""

    def __init__(self, number: int, client: logs.LogClient) -> None:
        super().__init__()
        self._stream = table.make_stream_name(number)
        self._client = client
        self._partition = table.Partition()
        self._pending: list[SubmitClaim] = []
        self._releases: list[table.Claim] = []
        self._scheduled = False

    @functools.singledispatchmethod
    def handle(self, message: object) -> Any:
        """Handles one message."""
        raise actors.make_unknown_message_error(message)

    @handle.register
    def _(self, message: SubmitClaim) -> None:
        self._pending.append(message)
        self._schedule_flush()

    @handle.register
    def _(self, message: ReleaseClaim) -> None:
        self._releases.append(message.claim)
        self._schedule_flush()

    @handle.register
    def _(self, message: _Flush) -> None:
        self._scheduled = False
        batch, self._pending = self._pending, []
        released, self._releases = self._releases, []
        verdicts = self._decide(batch, released)
        for item in batch:
            if not item.fut.done():
                item.fut.set_result(verdicts.get(item.claim.id))

    def _schedule_flush(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            timer = threading.Timer(FLUSH_INTERVAL_S, self._send_flush)
            timer.daemon = True
            timer.start()

    def _send_flush(self) -> None:
        if self.actor_ref.is_alive():
            self.actor_ref.tell(_Flush())

    def _decide(
        self, batch: list[SubmitClaim], released: list[table.Claim]
    ) -> dict[str, table.Granted | table.Taken]:
        records: list[table.Claim | table.Release] = [s.claim for s in batch]
        records += [table.Release(c.id, c.key, c.by) for c in released]
        values = [table.CODEC.encode(r) for r in records]
        found: dict[str, table.Granted | table.Taken] = {}
        for attempt in range(APPEND_ATTEMPTS):
            # The append is retried if its answer is lost. The log may then
            # hold its claims twice; the second is ignored by its id.
            res = self._client.append(self._stream, values)
            self._read()
            for submit in batch:
                verdict = table.decide(self._partition, submit.claim)
                if not isinstance(verdict, table.Unread):
                    found[submit.claim.id] = verdict
            if not isinstance(res, errors.Refusal) and len(found) == len(
                {s.claim.id for s in batch}
            ):
                break
            time.sleep(0.05 * attempt)
        return found

    def _read(self) -> None:
        while True:
            start = self._partition.offset + 1
            res = self._client.read(self._stream, start)
            if isinstance(res, errors.Refusal):
                return
            for offset, value in res.records:
                table.fold(self._partition, offset, table.CODEC.decode(value))
            self._partition.offset = max(self._partition.offset, res.next - 1)
            if res.next >= res.head:
                return


class Claims:
    """Claims calls for the request threads of one router."""

    def __init__(self, name: str, client: logs.LogClient) -> None:
        self._name = name
        self._client = client
        self._lock = threading.Lock()
        self._actors: dict[int, pykka.ActorRef[PartitionActor]] = {}
        self._routers: dict[str, str] = {}
        self._transport = transport.Transport(0.3, 1.5)

    def close(self) -> None:
        """Stops the actors."""
        with self._lock:
            actors = list(self._actors.values())
        for actor in actors:
            actor.stop(block=False)
        self._transport.close()
        self._client.close()

    def set_routers(self, routers: dict[str, str]) -> None:
        """Sets the addresses of the data centre's routers, by host."""
        self._routers = routers

    def claim(
        self, claim: table.Claim
    ) -> table.Granted | table.Taken | errors.Refusal:
        """Claims a call; blocks until it is decided whether it may be sent."""
        number = table.find_partition(claim.key, PARTITIONS)
        hosts = sorted({self._name, *self._routers})
        owner = table.find_owner(number, hosts)
        if owner != self._name:
            verdict = self._ask_owner(self._routers[owner], claim)
            if verdict is not None:
                return verdict
        return self.decide_locally(claim)

    def decide_locally(
        self, claim: table.Claim
    ) -> table.Granted | table.Taken | errors.Refusal:
        """Decides a claim here, even if another host serves its partition."""
        number = table.find_partition(claim.key, PARTITIONS)
        fut = make_future()
        self._get_actor(number).tell(SubmitClaim(claim, fut))
        verdict = fut.result()
        if verdict is None:
            return errors.Refusal(
                errors.ErrorKind.CLAIMS_UNAVAILABLE,
                "the claim could not be read back from the log",
                retry_after_s=2.0,
            )
        return verdict

    def release(self, claim: table.Claim) -> None:
        """Releases a claim, so that the caller may send its id again.

        Only for a call that was not sent. The id stays taken until the release
        is in the log, which is safe.
        """
        number = table.find_partition(claim.key, PARTITIONS)
        self._get_actor(number).tell(ReleaseClaim(claim))

    def _ask_owner(
        self, address: str, claim: table.Claim
    ) -> table.Granted | table.Taken | None:
        res = self._transport.call(
            "POST", address, "/claims", codec.dump(ClaimCall(claim))
        )
        if isinstance(res, transport.Failed) or res.status != 200:
            return None
        reply = codec.load(res.body, ClaimReply)
        if reply.verdict == "granted":
            return table.Granted()
        if reply.verdict == "taken":
            return table.Taken(reply.by)
        return None

    def _get_actor(self, number: int) -> pykka.ActorRef[PartitionActor]:
        with self._lock:
            actor = self._actors.get(number)
            if actor is None or not actor.is_alive():
                actor = PartitionActor.start(number, self._client)
                self._actors[number] = actor
            return actor


def make_future() -> VerdictFuture:
    """Returns a future for a claim's verdict; None means undecided."""
    return concurrent.futures.Future()


def make_reply(
    verdict: table.Granted | table.Taken | errors.Refusal,
) -> ClaimReply:
    """Returns a verdict in the form that is sent to another host."""
    if isinstance(verdict, table.Granted):
        return ClaimReply("granted", "")
    if isinstance(verdict, table.Taken):
        return ClaimReply("taken", verdict.by)
    return ClaimReply("unavailable", "")
