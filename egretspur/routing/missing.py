"""Why no path was found for a request, for the log: pure."""

from __future__ import annotations

from collections.abc import Sequence

from egretspur import decisions
from egretspur.catalog import config
from egretspur.routing import fleet as fleets
from egretspur.routing import jobs, paths


def explain(
    fleet: fleets.Fleet,
    spec: config.EngineSpec,
    job: jobs.Job,
    candidates: Sequence[paths.Candidate],
    now_s: float,
) -> decisions.PathMissing:
    """Returns why no path was found for a request.

    Args:
        fleet: The upstreams as the host sees them.
        spec: Of the request's service.
        job: The request.
        candidates: Candidates of the last path search.
        now_s: Monotonic time.
    """
    health = fleet.health
    held = [(c.first, c.last) for c in candidates]
    ids = fleet.list_service(job.service)
    gaps = paths.find_gaps(held, spec.layers)
    return decisions.PathMissing(
        request=job.id,
        layers=" ".join(f"{a}-{b}" for a, b in gaps),
        full=decisions.limit_ids(
            c.id for c in candidates if c.free < (c.last - c.first) * job.tokens
        ),
        paused=decisions.limit_ids(
            i
            for i in ids
            if health.is_paused(i, now_s) or health.is_backing_off(i, now_s)
        ),
        down=decisions.limit_ids(
            i for i in ids if health.is_down(i) or health.is_suspected(i, now_s)
        ),
        leaving=decisions.limit_ids(
            i
            for i in ids
            if fleet.backpressure.is_leaving(fleet.roster.entries[i])
        ),
        limited=decisions.limit_ids(
            i for i in ids if i in fleet.throttle.limited
        ),
        cut_off=tuple(sorted(fleet.list_cut_off(now_s))),
    )
