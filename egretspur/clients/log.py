"""Client of the platform's append-only log service.

Assumed wire form (the only place that knows it)::

    POST /streams/<name>         {"records": [...]} -> {"offset": first given}
    GET  /streams/<name>?from=&limit=&wait_ms=
         -> {"first": n, "next": n, "head": n, "records": [[offset, {...}]]}
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from typing import Any, Final

import attrs

from egretspur import codec, errors, transport

# Records asked for in one read.
READ_LIMIT: Final = 500

# Added to a long poll's own wait before its connection counts as silent.
POLL_GRACE_S: Final = 2.0


@attrs.frozen
class Slice:
    """Records read from a stream."""

    # Offset of the oldest record kept.
    first: int
    # Offset after the last record returned.
    next: int
    # Offset after the newest record.
    head: int
    # Offset and plain value of each record.
    records: tuple[tuple[int, Any], ...]


class LogClient:
    """Appends to and reads from streams."""

    def __init__(self, address: str, timeout_s: float) -> None:
        self._address = address
        self._transport = transport.Transport(timeout_s, timeout_s)

    def append(
        self, stream: str, values: Sequence[Any]
    ) -> int | errors.Refusal:
        """Appends records in order.

        Returns:
            The offset of the first; or a refusal, after which the records may
            or may not stand in the log.
        """
        body = codec.dump_json({"records": list(values)})
        res = self._transport.call(
            "POST", self._address, f"/streams/{stream}", body
        )
        data = _read(res)
        if isinstance(data, errors.Refusal):
            return data
        return int(data["offset"])

    def read(
        self, stream: str, start: int, wait_s: float = 0.0
    ) -> Slice | errors.Refusal:
        """Reads records from an offset on.

        Args:
            stream: Name of the stream.
            start: First offset wanted.
            wait_s: Longest wait for a record in seconds; a long poll has its
                own bound on silence, past which its connection is replaced.
        """
        path = (
            f"/streams/{stream}?from={start}&limit={READ_LIMIT}"
            f"&wait_ms={int(wait_s * 1000)}"
        )
        read_s = wait_s + POLL_GRACE_S if wait_s else None
        res = self._transport.call("GET", self._address, path, read_s=read_s)
        data = _read(res)
        if isinstance(data, errors.Refusal):
            return data
        return Slice(
            int(data["first"]),
            int(data["next"]),
            int(data["head"]),
            tuple((int(o), v) for o, v in data["records"]),
        )

    def close(self) -> None:
        """Closes the connections."""
        self._transport.close()


def append_until(
    append: Callable[[], int | errors.Refusal], deadline_s: float
) -> int | errors.Refusal:
    """Repeats an append until it is answered or the time is over.

    Safe because records carry ids and the fold counts an id once: an append
    whose answer was lost is simply sent again.

    Args:
        append: Sends the same records each time.
        deadline_s: Seconds to keep trying.
    """
    end = time.monotonic() + deadline_s
    pause = 0.05
    while True:
        res = append()
        if not isinstance(res, errors.Refusal):
            return res
        if time.monotonic() + pause >= end:
            return res
        time.sleep(pause)
        pause = min(pause * 2, 1.0)


def _read(res: transport.Reply | transport.Failed) -> Any:
    if isinstance(res, transport.Failed):
        return errors.Refusal(errors.ErrorKind.LOG_UNAVAILABLE, res.reason)
    if res.status != 200:
        return errors.Refusal(
            errors.ErrorKind.LOG_UNAVAILABLE, f"status {res.status}"
        )
    try:
        return res.read_json()
    except codec.DecodeError as exc:
        return errors.Refusal(errors.ErrorKind.LOG_UNAVAILABLE, str(exc))
