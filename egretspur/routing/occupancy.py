"""Counts what attempts in flight use: request memory, links, rate limits.

Read next: `egretspur.routing.memory`, `egretspur.routing.links`.
"""

from __future__ import annotations

from egretspur.admission import throttle
from egretspur.catalog import config
from egretspur.routing import fleet, jobs, links, tickets


class Occupancy:
    """Use of upstreams and links by one host's attempts."""

    def __init__(
        self, state: fleet.Fleet, limits: throttle.Throttle, load: links.Links
    ) -> None:
        """Makes a count of no attempts.

        Args:
            state: Upstreams with their request memory.
            limits: Rate limits of upstreams.
            load: Load of the links between data centres.
        """
        self._fleet = state
        self._throttle = limits
        self._links = load

    def add(
        self,
        job: jobs.Job,
        attempt: tickets.Attempt,
        spec: config.EngineSpec | None,
        now_s: float,
    ) -> None:
        """Counts an attempt that is sent now."""
        self._add_memory_use(job, attempt, 1)
        self._record_link_use(job, attempt, spec, now_s)
        self._throttle.record_send(attempt.upstream_id, now_s)

    def move(
        self,
        job: jobs.Job,
        before: tickets.Attempt,
        after: tickets.Attempt,
        spec: config.EngineSpec,
        now_s: float,
    ) -> None:
        """Counts an attempt that was rerouted."""
        self._add_memory_use(job, before, -1)
        self._add_memory_use(job, after, 1)
        self._record_link_use(job, after, spec, now_s)

    def remove(self, job: jobs.Job, attempt: tickets.Attempt) -> None:
        """Counts an attempt no longer."""
        self._add_memory_use(job, attempt, -1)

    def _add_memory_use(
        self, job: jobs.Job, attempt: tickets.Attempt, sign: int
    ) -> None:
        memory = self._fleet.memory
        if not attempt.parts:
            memory.add(attempt.upstream_id, sign, 0.0)
        for part in attempt.parts:
            used = (part.last - part.first) * job.tokens
            memory.add(part.id, sign, sign * used)

    def _record_link_use(
        self,
        job: jobs.Job,
        attempt: tickets.Attempt,
        spec: config.EngineSpec | None,
        now_s: float,
    ) -> None:
        if spec is not None:
            self._links.record_path(spec, attempt.parts, job.tokens, now_s)
