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
from egretspur.routing import cards, choice, fleet, jobs, paths

# After a search found no path, requests of the same or a larger size are not
# searched for again for this long, unless this host learns of a change. While
# all engines are full, each tick and arrival would otherwise search again, at
# several milliseconds each on a host with half a core. Changes by time alone,
# such as the end of an engine's pause, are seen after this delay, which is
# short against the 0.4 s that a request may wait.
NO_ROOM_S: Final = 0.05


@attrs.frozen
class _NoRoom:
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
        using: mechanisms.Mechanisms,
        rng: random.Random,
    ) -> None:
        """Makes a search.

        Args:
            state: View of the upstreams.
            using: Mechanisms that are switched on.
            rng: Shuffles the data centres.
        """
        self._fleet = state
        self._using = using
        self._rng = rng
        # Last failed search, by service.
        self._no_room: dict[str, _NoRoom] = {}

    def offer(
        self, job: jobs.Job, spec: config.EngineSpec, now_s: float
    ) -> cards.Cards:
        """Returns the candidate engines for a request."""
        return self._fleet.offer(job.service, spec, now_s)

    def find(
        self,
        job: jobs.Job,
        spec: config.EngineSpec,
        failed: Container[str],
        now_s: float,
        refused: Collection[str] = (),
    ) -> tuple[paths.Part, ...] | None:
        """Finds a path, avoiding engines that failed the request if possible.

        Often it is unknown which stage broke an answer, and the first one is
        blamed. If no path avoids the blamed engine, it is used again while it
        is usable.

        Args:
            job: The request.
            spec: Of the request's service.
            failed: Engines that failed the request.
            now_s: Monotonic time.
            refused: Engines that just refused the request; never used.
        """
        if self._is_hopeless(job, now_s):
            return None
        offers = self.offer(job, spec, now_s).leave_out(refused)
        parts = self.choose(job, spec, offers.leave_out(failed), now_s)
        if parts is None and failed:
            parts = self.choose(job, spec, offers, now_s)
        if parts is None and not refused:
            self._no_room[job.service] = _NoRoom(
                job.tokens, now_s + NO_ROOM_S, self._fleet.get_revision()
            )
        return parts

    def _is_hopeless(self, job: jobs.Job, now_s: float) -> bool:
        """Tells whether a request of at most this size just found no path."""
        known = self._no_room.get(job.service)
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
        offers: cards.Cards,
        now_s: float,
    ) -> tuple[paths.Part, ...] | None:
        """Finds a path; see `egretspur.routing.choice.choose`."""
        return choice.choose(
            job,
            spec,
            offers,
            self._fleet.list_cut_off(now_s),
            self._fleet.data_centre,
            self._rng,
            self._using.prompt_first,
        )

    def explain(
        self, job: jobs.Job, spec: config.EngineSpec, now_s: float
    ) -> decisions.PathMissing:
        """Returns why no path was found for a request."""
        offers = self.offer(job, spec, now_s).list_all()
        return self._fleet.explain_missing(spec, job, offers, now_s)

    def find_detour(
        self,
        job: jobs.Job,
        spec: config.EngineSpec,
        parts: Sequence[paths.Part],
        stalled: frozenset[str],
        may_resume: bool,
        now_s: float,
    ) -> jobs.Detour:
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
        offers = self.offer(job, spec, now_s).leave_out(stalled)
        entries = self._fleet.roster.entries
        near = {entries[p.id].data_centre for p in parts if p.id in entries}
        keeps_first = parts[0].id not in stalled
        bound_s = choice.compute_longest_pass(job.route)
        found = None
        if keeps_first:
            found = self._find_tail(job, spec, parts[0], offers, near, bound_s)
        if (
            found is None
            and may_resume
            and self.choose(job, spec, offers, now_s)
        ):
            return jobs.Detour(None, True)
        for places in (near, offers.places):
            if found is None and keeps_first:
                found = self._find_tail(
                    job, spec, parts[0], offers, places, math.inf
                )
        return jobs.Detour(found)

    def _find_tail(
        self,
        job: jobs.Job,
        spec: config.EngineSpec,
        first: paths.Part,
        offers: cards.Cards,
        places: Container[str],
        longest_s: float,
    ) -> tuple[paths.Part, ...] | None:
        """Finds a path in given data centres that keeps the first part."""
        home = self._fleet.data_centre
        # Stands for the first part, whose memory the request already holds.
        kept = paths.Card(
            first.id,
            first.address,
            home,
            first.first,
            first.last,
            0.0,
            job.tokens * spec.layers,
        )
        usable = offers.list_of(p for p in offers.places if p in places)
        tail = [
            attrs.evolve(c, first=max(c.first, first.last))
            for c in usable
            if c.id != first.id and c.last > first.last
        ]
        return paths.find_path(
            [kept, *tail],
            spec.layers,
            job.tokens,
            home,
            longest_pass_s=longest_s,
        )
