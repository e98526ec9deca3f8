"""Searches paths for one host's requests: pure.

Combines the candidate engines (`egretspur.routing.fleet`) with the order in
which data centres are searched (`egretspur.routing.choice`), and reroutes
running requests. Read next: `egretspur.routing.paths`.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Container, Sequence
from typing import Final

import attrs

from egretspur import decisions, mechanisms
from egretspur.catalog import config
from egretspur.routing import cards, choice, fleet, jobs, links, missing, paths

# After a search found no path, requests of the same or a larger size are not
# searched for again for this long, unless this host learns of a change. While
# all engines are full, each tick and arrival would otherwise search again, at
# several milliseconds each on a host with half a core. Changes by time alone,
# such as the end of an engine's pause, are seen after this delay, which is
# short against the 0.4 s that a request may wait.
NO_PATH_RETRY_DELAY_S: Final = 0.05


@attrs.frozen
class _FailedSearch:
    """A search that found no path with enough free memory."""

    tokens: float
    until_s: float
    # State of the upstreams at the search; see `fleet.Fleet.get_revision`.
    revision: int


class Search:
    """Path search of one host; see the module's docstring."""

    def __init__(
        self,
        state: fleet.Fleet,
        enabled: mechanisms.Mechanisms,
        rng: random.Random,
        load: links.Links,
    ) -> None:
        """Makes a search.

        Args:
            state: View of the upstreams.
            enabled: Mechanisms that are switched on.
            rng: Shuffles the data centres.
            load: Load of the links between data centres.
        """
        self._links = load
        self._fleet = state
        self._mechanisms = enabled
        self._rng = rng
        # Last failed search, by service.
        self._failed_searches: dict[str, _FailedSearch] = {}

    def list_candidates(
        self,
        job: jobs.Job,
        spec: config.EngineSpec,
        now_s: float,
        believes_peers: bool = True,
    ) -> cards.Candidates:
        """Returns the candidate engines for a request.

        Args:
            job: The request.
            spec: Of the request's service.
            now_s: Monotonic time.
            believes_peers: Whether to leave out those that only other hosts
                suspect.
        """
        return self._fleet.list_candidates(
            job.service, spec, now_s, believes_peers
        )

    def find_path(
        self,
        job: jobs.Job,
        spec: config.EngineSpec,
        failed: Container[str],
        now_s: float,
        refused: Collection[str] = (),
        first_choices: Collection[str] | None = None,
    ) -> tuple[paths.Part, ...] | None:
        """Finds a path, avoiding engines that failed the request if possible.

        Often it is unknown which stage broke an answer, and the first one is
        blamed. If no path avoids the blamed engine, it is used again while it
        is usable. If there is none at all, engines are used that only other
        hosts suspect: a request that would be refused otherwise is better
        tried.

        Args:
            job: The request.
            spec: Of the request's service.
            failed: Engines that failed the request.
            now_s: Monotonic time.
            refused: Engines that just refused the request; never used.
            first_choices: Engines that a path may begin with; None for any.
        """
        if self._has_just_failed(job, now_s):
            return None

        def find(believes_peers: bool) -> tuple[paths.Part, ...] | None:
            found = self.list_candidates(job, spec, now_s, believes_peers)
            candidates = found.exclude(refused)
            if first_choices is not None:
                candidates = candidates.limit_first(first_choices)
            parts = self.choose(job, spec, candidates.exclude(failed), now_s)
            if parts is None and failed:
                parts = self.choose(job, spec, candidates, now_s)
            return parts

        parts = find(believes_peers=True)
        if parts is None and self._fleet.health.has_hearsay(now_s):
            parts = find(believes_peers=False)
        if parts is None and not refused and first_choices is None:
            self._failed_searches[job.service] = _FailedSearch(
                job.tokens,
                now_s + NO_PATH_RETRY_DELAY_S,
                self._fleet.get_revision(),
            )
        return parts

    def _has_just_failed(self, job: jobs.Job, now_s: float) -> bool:
        """Tells whether a request of at most this size just found no path."""
        known = self._failed_searches.get(job.service)
        return (
            known is not None
            and job.tokens >= known.tokens
            and now_s < known.until_s
            and known.revision == self._fleet.get_revision()
        )

    def choose(
        self,
        job: jobs.Job,
        spec: config.EngineSpec,
        candidates: cards.Candidates,
        now_s: float,
    ) -> tuple[paths.Part, ...] | None:
        """Finds a path; see `egretspur.routing.choice.choose`."""
        return choice.choose(
            job,
            spec,
            candidates,
            self._fleet.list_cut_off(now_s),
            self._fleet.data_centre,
            self._rng,
            self._mechanisms.prompt_first,
            lambda: self._list_closed(job, spec, candidates, now_s),
        )

    def _list_closed(
        self,
        job: jobs.Job,
        spec: config.EngineSpec,
        candidates: cards.Candidates,
        now_s: float,
    ) -> frozenset[links.Link]:
        """Returns the links between data centres not to use for a request."""
        return self._links.list_closed(
            spec, candidates.data_centres, job.tokens, now_s
        )

    def explain_missing(
        self, job: jobs.Job, spec: config.EngineSpec, now_s: float
    ) -> decisions.PathMissing:
        """Returns why no path was found for a request."""
        candidates = self.list_candidates(job, spec, now_s).list_all()
        return missing.explain(self._fleet, spec, job, candidates, now_s)

    def find_reroute(
        self,
        job: jobs.Job,
        spec: config.EngineSpec,
        parts: Sequence[paths.Part],
        stalled: frozenset[str],
        may_resume: bool,
        now_s: float,
    ) -> jobs.RerouteDecision:
        """Finds how to reroute a running request around stalled engines.

        Prefers a new tail within the data centres that the path already uses.
        To move a running request to another data centre, the activations of
        its tokens cross the shared link layer by layer, 26 ms a request; a
        retry sends the text once, so it comes second.

        Args:
            job: The request.
            spec: Of the request's service.
            parts: The request's path.
            stalled: Engines to avoid.
            may_resume: Whether the request may be ended and retried.
            now_s: Monotonic time.
        """
        candidates = self.list_candidates(job, spec, now_s).exclude(stalled)
        entries = self._fleet.roster.entries
        near = {entries[p.id].data_centre for p in parts if p.id in entries}
        keeps_first = parts[0].id not in stalled
        max_pass_s = choice.compute_max_pass_s(job.route)
        found = None
        closed: Container[links.Link] = ()
        if keeps_first:
            closed = self._list_closed(job, spec, candidates, now_s)
            found = self._find_tail(
                job, spec, parts[0], candidates, near, max_pass_s, closed
            )
        if (
            found is None
            and may_resume
            and self.choose(job, spec, candidates, now_s)
        ):
            return jobs.RerouteDecision(None, True)
        for data_centres in (near, candidates.data_centres):
            if found is None and keeps_first:
                found = self._find_tail(
                    job,
                    spec,
                    parts[0],
                    candidates,
                    data_centres,
                    math.inf,
                    closed,
                )
        return jobs.RerouteDecision(found)

    def _find_tail(
        self,
        job: jobs.Job,
        spec: config.EngineSpec,
        first: paths.Part,
        candidates: cards.Candidates,
        data_centres: Container[str],
        max_pass_s: float,
        closed: Container[links.Link],
    ) -> tuple[paths.Part, ...] | None:
        """Finds a path in given data centres that keeps the first part."""
        home = self._fleet.data_centre
        # Stands for the first part, whose memory the request already holds.
        kept = paths.Candidate(
            first.id,
            first.address,
            first.data_centre or home,
            first.first,
            first.last,
            0.0,
            job.tokens * spec.layers,
        )
        usable = candidates.list_in(
            p for p in candidates.data_centres if p in data_centres
        )
        tail = [
            attrs.evolve(c, first=max(c.first, first.last))
            for c in usable
            if c.id != first.id and c.last > first.last
        ]
        found = paths.find_path(
            [kept, *tail],
            spec.layers,
            job.tokens,
            home,
            max_pass_s=max_pass_s,
            closed=closed,
        )
        return (first, *found[1:]) if found else None
