"""Looks for the paths of one host's requests: pure.

It brings together what engines offer (`egretspur.routing.fleet`), where a path
is looked for (`egretspur.routing.choice`) and what a running request may still
change of its path. Read next: `egretspur.routing.paths`.
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

# Where no path had room, none is looked for so long for a request that wants
# as much, unless this host learns of a change. While nothing has room requests
# queue up, and each tick and each arrival would look again: several
# milliseconds each time on a host with half a core. What changes by time alone,
# such as the end of an engine's pause, is noticed after it; a request waits up
# to 0.4 s.
NO_ROOM_S: Final = 0.05


@attrs.frozen
class _NoRoom:
    """No path had room for a request."""

    tokens: float
    until_s: float
    # Of what is known of the upstreams; see `fleet.Fleet.get_revision`.
    revision: int


class Search:
    """See the module's docstring."""

    def __init__(
        self,
        state: fleet.Fleet,
        using: mechanisms.Mechanisms,
        rng: random.Random,
    ) -> None:
        """Makes a search.

        Args:
            state: What is known of upstreams.
            using: What it decides by.
            rng: Draws data centres.
        """
        self._fleet = state
        self._using = using
        self._rng = rng
        # By service.
        self._no_room: dict[str, _NoRoom] = {}

    def offer(
        self, job: jobs.Job, spec: config.EngineSpec, now_s: float
    ) -> cards.Cards:
        """Returns the engines that may be given a request."""
        return self._fleet.offer(job.service, spec, now_s)

    def find(
        self,
        job: jobs.Job,
        spec: config.EngineSpec,
        failed: Container[str],
        now_s: float,
        refused: Collection[str] = (),
    ) -> tuple[paths.Part, ...] | None:
        """Finds a path, without engines that failed the request if it can.

        Which stage broke an answer often isn't known; the first is suspected.
        Where there is no way around it, it is tried again if it is alive.

        Args:
            job: The request.
            spec: Of its service.
            failed: Engines that failed it.
            now_s: Monotonic time.
            refused: Engines that turned it away just now.
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
        """Tells whether a request that wants no more has just found no path."""
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
        """Returns why there is no path for a request."""
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
    ) -> jobs.RerouteDecision:
        """Finds how a running request gets past engines that hold it up.

        Within its data centres if it can be. To another one its tokens so far
        would have to go layer by layer, 26 ms a request over a pipe that all
        share; sent anew, its text goes there once.

        Args:
            job: The request.
            spec: Of its service.
            parts: Its path.
            stalled: The engines to leave.
            may_resume: It may be ended and sent once more.
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
            return jobs.RerouteDecision(None, True)
        for places in (near, offers.places):
            if found is None and keeps_first:
                found = self._find_tail(
                    job, spec, parts[0], offers, places, math.inf
                )
        return jobs.RerouteDecision(found)

    def _find_tail(
        self,
        job: jobs.Job,
        spec: config.EngineSpec,
        first: paths.Part,
        offers: cards.Cards,
        places: Container[str],
        longest_s: float,
    ) -> tuple[paths.Part, ...] | None:
        """Finds a path with the same first part over some data centres."""
        home = self._fleet.data_centre
        # Offers just the first part, which the request has there.
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
