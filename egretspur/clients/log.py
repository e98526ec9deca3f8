"""Client of the platform's append-only log service.

Assumed wire format (known only to this module)::

    POST /streams/<name>         {"records": [...]} -> {"offset": first one's}
    GET  /streams/<name>?from=&limit=&wait_ms=
         -> {"first": n, "next": n, "head": n, "records": [[offset, {...}]]}
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from typing import Any, Final

import attrs

from egretspur import codec, errors, transport

# Limit on the records of one read.
MAX_READ_RECORDS: Final = 500

# Added to a long poll's wait time to get its read timeout.
POLL_GRACE_S: Final = 2.0


@attrs.frozen
class Slice:
    """Records read from a stream."""

    # Offset of the oldest retained record.
    first: int
    # Offset after the last record returned.
    next: int
    # Offset after the newest record.
    head: int
    # Offset and JSON value of each record.
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
            or may not be in the log.
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
        """Reads records, starting at an offset.

        Args:
            stream: Name of the stream.
            start: First offset to read.
            wait_s: Longest wait for a record in seconds. A long poll has its
                own read timeout, after which its connection is replaced.
        """
        path = (
            f"/streams/{stream}?from={start}&limit={MAX_READ_RECORDS}"
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


def append_with_retries(
    append: Callable[[], int | errors.Refusal], timeout_s: float
) -> int | errors.Refusal:
    """Retries an append until it succeeds or the timeout expires.

    Retries are safe: records have ids, and readers apply each id only once, so
    an append whose response was lost can be sent again.

    Args:
        append: Sends the same records on each call.
        timeout_s: Time for all attempts, in seconds.
    """
    end = time.monotonic() + timeout_s
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
