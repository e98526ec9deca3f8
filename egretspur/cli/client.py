"""HTTP client of the command line for control daemons."""

from __future__ import annotations

import urllib.parse
from collections.abc import Sequence
from typing import Any, Final, TypeVar

import attrs

from egretspur import codec, errors, transport

T = TypeVar("T")

# Time-out of an answer; exceeds the daemon's own time-outs on the log.
READ_TIMEOUT_S: Final = 15.0


@attrs.frozen
class Problem:
    """Why a command has no result."""

    kind: errors.ErrorKind
    message: str
    # Id by which the outcome can be looked up; empty if there is none.
    outcome_id: str = ""


class Client:
    """Calls the first control daemon that answers."""

    def __init__(self, addresses: Sequence[str], operator: str) -> None:
        self._addresses = list(addresses)
        self._operator = operator
        self._transport = transport.Transport(1.0, READ_TIMEOUT_S)

    def close(self) -> None:
        """Closes the connections."""
        self._transport.close()

    def get(self, path: str, cls: type[T]) -> T | Problem:
        """Reads a page."""
        return self._call("GET", path, None, cls)

    def post(self, path: str, message: Any, cls: type[T]) -> T | Problem:
        """Sends a command.

        Another daemon is tried only if the previous one can't have received it.
        """
        body = codec.dump(message) if message is not None else b"{}"
        return self._call("POST", path, body, cls)

    def get_from(self, address: str, path: str, cls: type[T]) -> T | Problem:
        """Reads a page of the daemon at an address."""
        return self._read(
            self._transport.call("GET", address, path, read_s=3.0), cls
        )

    def _call(
        self, method: str, path: str, body: bytes | None, cls: type[T]
    ) -> T | Problem:
        headers = {"X-Operator": urllib.parse.quote(self._operator)}
        last: T | Problem = Problem(
            errors.ErrorKind.BAD_REQUEST,
            "no control daemon is named; use --control IP:PORT or set"
            " EGRETSPUR_CONTROL",
        )
        for address in self._addresses:
            res = self._transport.call(method, address, path, body, headers)
            last = self._read(res, cls)
            if isinstance(res, transport.Failed) and (
                method == "GET" or not res.maybe_sent
            ):
                continue
            return last
        return last

    def _read(
        self, res: transport.Reply | transport.Failed, cls: type[T]
    ) -> T | Problem:
        if isinstance(res, transport.Failed):
            if res.maybe_sent:
                return Problem(
                    errors.ErrorKind.OUTCOME_UNKNOWN,
                    f"no answer: {res.reason}; see `egretspur history`",
                )
            return Problem(
                errors.ErrorKind.LOG_UNAVAILABLE,
                f"the control daemon can't be reached: {res.reason}",
            )
        try:
            if res.status >= 400:
                return _read_problem(res.read_json())
            return codec.load(res.body, cls)
        except (codec.DecodeError, KeyError, TypeError, ValueError) as exc:
            return Problem(
                errors.ErrorKind.INTERNAL,
                f"the answer is malformed: {exc}; do the command line and the"
                " control daemon have the same version?",
            )


def _read_problem(data: Any) -> Problem:
    error = data["error"]
    return Problem(
        errors.ErrorKind(error["kind"]), error["message"], error["ask_for"]
    )
