"""Threads that send messages to peers outside the actor.

If the actor itself waited for a peer's answer, two hosts that send to each
other at the same moment would both block until their time-outs, since each
host's actor has to answer the other.
"""

from __future__ import annotations

import logging
import queue
import threading
from collections.abc import Callable
from typing import Final

import attrs

from egretspur import codec, transport
from egretspur.membership import news

_LOG: Final = logging.getLogger(__name__)

THREADS: Final = 2

# Messages beyond this are dropped; later exchanges make up for them.
QUEUE_LENGTH: Final = 64


@attrs.frozen
class OutgoingMessage:
    """A message for a peer."""

    address: str
    path: str
    message: news.GossipMessage


class Sender:
    """Sends messages and passes the answers to a callback."""

    def __init__(self, on_answer: Callable[[news.GossipMessage], None]) -> None:
        self._on_answer = on_answer
        self._transport = transport.Transport(0.5, 1.0)
        self._queue: queue.Queue[OutgoingMessage | None] = queue.Queue(
            QUEUE_LENGTH
        )
        self._threads = [
            threading.Thread(target=self._run, name="peers", daemon=True)
            for _ in range(THREADS)
        ]
        # Bytes of message bodies sent and received, for the metrics.
        self.sent_bytes = 0
        self.received_bytes = 0

    def start(self) -> None:
        """Starts the threads."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stops the threads after the messages that they are sending."""
        for _ in self._threads:
            try:
                self._queue.put_nowait(None)
            except queue.Full:
                break
        self._transport.close()

    def send(self, parcel: OutgoingMessage) -> None:
        """Queues a message; drops it if the queue is full."""
        try:
            self._queue.put_nowait(parcel)
        except queue.Full:
            _LOG.debug(
                "send queue is full; message dropped",
                extra={"peer": parcel.address},
            )

    def _run(self) -> None:
        while True:
            parcel = self._queue.get()
            if parcel is None:
                return
            self._deliver(parcel)

    def _deliver(self, parcel: OutgoingMessage) -> None:
        data = news.pack_message(parcel.message)
        res = self._transport.call("POST", parcel.address, parcel.path, data)
        self.sent_bytes += len(data)
        if isinstance(res, transport.Failed) or res.status != 200:
            _LOG.debug(
                "peer did not answer with status 200",
                extra={"peer": parcel.address},
            )
            return
        self.received_bytes += len(res.body)
        try:
            self._on_answer(news.unpack_message(res.body))
        except codec.DecodeError as exc:
            _LOG.warning("peer's answer is malformed: %s", exc)
