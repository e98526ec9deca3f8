"""Messages and protocols of sending one attempt of a request.

Independent of the platform's format; `egretspur.platform.upstream` sends, and
`egretspur.delivery.forward` decides what follows.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from typing import Protocol

import attrs

from egretspur import ends
from egretspur.routing import jobs


@attrs.frozen
class Call:
    """A caller's complete request, independent of the platform's format."""

    id: str
    method: str
    # Path and query as the caller sent them.
    target: str
    # Headers to forward, without hop-by-hop headers and the API key.
    headers: Mapping[str, str]
    body: bytes
    # Id of the event after which the caller resumes, as sent.
    resume_after: str


@attrs.frozen
class AttemptFailure:
    """An attempt that returned no answer or an incomplete one."""

    why: jobs.FailureKind
    reason: str
    blamed: tuple[str, ...] = ()
    ended_by: ends.EndedBy = ends.EndedBy.UPSTREAM


class Answer(Protocol):
    """An upstream's answer whose body has not been read."""

    status: int
    headers: Mapping[str, str]
    # Whether its head tells where the body ends. Otherwise the connection does,
    # also that of an upstream that crashes.
    has_length: bool

    def read_some(self) -> bytes | AttemptFailure:
        """Blocks until bytes arrive and returns them; empty at the end."""

    def abort(self) -> None:
        """Ends the connection and wakes its reader; from any thread."""

    def close(self) -> None:
        """Closes the connection; from the reading thread only."""


class AttemptSender(Protocol):
    """Sends requests to upstreams."""

    def open(
        self,
        call: Call,
        job: jobs.Job,
        start: jobs.Start,
        resume_after: str,
        abort: AbortHandle,
    ) -> Answer | AttemptFailure:
        """Sends a request and returns its answer, body unread."""


class AbortHandle:
    """Aborts a request's upstream connection from another thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._close: Callable[[], None] | None = None
        self.is_aborted = False
        # Host that passes the current connection's bytes on; empty for none.
        self.helper = ""

    def abort_all(self) -> None:
        """Aborts the current connection and every later one."""
        with self._lock:
            self.is_aborted = True
            close = self._close
        if close is not None:
            close()

    def abort_current(self) -> None:
        """Aborts the current connection only."""
        with self._lock:
            close = self._close
        if close is not None:
            close()

    def set_closer(
        self, close: Callable[[], None] | None, helper: str | None = None
    ) -> None:
        """Sets how to close the current connection; closes it if aborted.

        Args:
            close: Closes it; None if there is none.
            helper: Host that passes its bytes on; None to keep what is set.
        """
        with self._lock:
            self._close = close
            if helper is not None:
                self.helper = helper
            should_close = self.is_aborted and close is not None
        if should_close and close is not None:
            close()
