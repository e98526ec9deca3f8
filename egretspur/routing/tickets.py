"""A request that a host has accepted, with what became of its attempts.

Read next: `egretspur.routing.retries` and `egretspur.routing.broker`.
"""

from __future__ import annotations

import attrs

from egretspur.routing import jobs, paths


@attrs.define
class Ticket:
    """A request that this host has accepted."""

    job: jobs.Job
    # Sends that may have run.
    runs: int = 0
    refusals: int = 0
    # Times it was given to an upstream.
    attempts: int = 0
    is_begun: bool = False
    # Where it is now.
    upstream_id: str = ""
    parts: tuple[paths.Part, ...] = ()
    started_s: float = 0.0
    # Upstreams that failed it.
    failed: set[str] = attrs.Factory(set)
    # Upstreams that turned it away, and until when it is not sent there again.
    refused: dict[str, float] = attrs.Factory(dict)
    # When a repeat of the budget was taken for its next attempt; None if none
    # is held.
    repeat_s: float | None = None

    def list_refused(self, now_s: float) -> set[str]:
        """Returns the upstreams that turned it away just now."""
        return {i for i, t in self.refused.items() if now_s < t}

    def list_stages(self) -> tuple[str, ...]:
        """Returns the upstreams that work on it, its first one first."""
        if not self.upstream_id:
            return ()
        return (
            self.upstream_id,
            *(p.id for p in self.parts if p.id != self.upstream_id),
        )
