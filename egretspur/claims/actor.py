"""Actor that appends claims in batches and reads them back.

One partition's claims that arrive while an append is under way go together
into the next one, so that appends stay few however many calls there are. Read
`egretspur.claims.table` for who wins.
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

# Partitions of the claim streams; fixed, since it decides where a key is.
PARTITIONS: Final = 16

# Shortest time between two appends to one partition by one host.
FLUSH_S: Final = 0.02

# Times an append and its read-back are tried before a claim is given up.
TRIES: Final = 4

VerdictFuture = concurrent.futures.Future[table.Granted | table.Taken | None]


@attrs.frozen
class Submit:
    """A claim with the future for its verdict."""

    claim: table.Claim
    fut: VerdictFuture


@attrs.frozen
class Drop:
    """A claim whose call was not sent."""

    claim: table.Claim


@attrs.frozen
class ClaimCall:
    """A claim sent to the host that serves its partition."""

    claim: table.Claim


@attrs.frozen
class ClaimReply:
    """Its verdict: ``granted``, ``taken`` or ``unavailable``."""

    verdict: str
    by: str


@attrs.frozen
class _Flush:
    """Time to append what has gathered."""


class PartitionActor(actors.Actor):
    """Appends and folds one partition."""

    def __init__(self, number: int, client: logs.LogClient) -> None:
        super().__init__()
        self._stream = table.make_stream(number)
        self._client = client
        self._partition = table.Partition()
        self._pending: list[Submit] = []
        self._dropped: list[table.Claim] = []
        self._scheduled = False

    @functools.singledispatchmethod
    def handle(self, message: object) -> Any:
        """Handles one message."""
        raise actors.make_unknown_message_error(message)

    @handle.register
    def _(self, message: Submit) -> None:
        self._pending.append(message)
        self._schedule()

    @handle.register
    def _(self, message: Drop) -> None:
        self._dropped.append(message.claim)
        self._schedule()

    @handle.register
    def _(self, message: _Flush) -> None:
        self._scheduled = False
        batch, self._pending = self._pending, []
        dropped, self._dropped = self._dropped, []
        verdicts = self._decide(batch, dropped)
        for item in batch:
            if not item.fut.done():
                item.fut.set_result(verdicts.get(item.claim.id))

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            timer = threading.Timer(FLUSH_S, self._tell_flush)
            timer.daemon = True
            timer.start()

    def _tell_flush(self) -> None:
        if self.actor_ref.is_alive():
            self.actor_ref.tell(_Flush())

    def _decide(
        self, batch: list[Submit], dropped: list[table.Claim]
    ) -> dict[str, table.Granted | table.Taken]:
        records: list[table.Claim | table.Release] = [s.claim for s in batch]
        records += [table.Release(c.id, c.key, c.by) for c in dropped]
        values = [table.CODEC.encode(r) for r in records]
        found: dict[str, table.Granted | table.Taken] = {}
        for attempt in range(TRIES):
            # The append is repeated if its answer is lost. Its claims may
            # then stand in the log twice; the ids are the same, so the second
            # changes nothing.
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
    """Front of the claim slice for request threads of one router."""

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
        """Takes the addresses of all routers of the data centre, by host."""
        self._routers = routers

    def claim(
        self, claim: table.Claim
    ) -> table.Granted | table.Taken | errors.Refusal:
        """Asks whether a call may be sent; blocks until it is decided."""
        number = table.find_partition(claim.key, PARTITIONS)
        hosts = sorted({self._name, *self._routers})
        owner = table.find_owner(number, hosts)
        if owner != self._name:
            verdict = self._ask_owner(self._routers[owner], claim)
            if verdict is not None:
                return verdict
        return self.claim_here(claim)

    def claim_here(
        self, claim: table.Claim
    ) -> table.Granted | table.Taken | errors.Refusal:
        """Decides a claim on this host, whoever serves its partition."""
        number = table.find_partition(claim.key, PARTITIONS)
        fut = make_future()
        self._get_actor(number).tell(Submit(claim, fut))
        verdict = fut.result()
        if verdict is None:
            return errors.Refusal(
                errors.ErrorKind.CLAIMS_UNAVAILABLE,
                "the claim could not be read back from the log",
                retry_after_s=2.0,
            )
        return verdict

    def drop(self, claim: table.Claim) -> None:
        """Gives a claim back, so that the caller may send its id again.

        Only for a call that was not sent. Until the log has the release the
        id stays taken, which is safe.
        """
        number = table.find_partition(claim.key, PARTITIONS)
        self._get_actor(number).tell(Drop(claim))

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


def describe_verdict(
    verdict: table.Granted | table.Taken | errors.Refusal,
) -> ClaimReply:
    """Returns a verdict as it is sent to another host."""
    if isinstance(verdict, table.Granted):
        return ClaimReply("granted", "")
    if isinstance(verdict, table.Taken):
        return ClaimReply("taken", verdict.by)
    return ClaimReply("unavailable", "")
