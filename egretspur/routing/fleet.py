"""What one host knows of upstreams beyond their list: pure.

It joins what the modules beside it hold: requests in flight
(`egretspur.routing.memory`), which upstreams failed of late
(`egretspur.routing.health`), how fast they are (`egretspur.routing.paces`),
what they ask of hosts (`egretspur.routing.backpressure`).
"""

from __future__ import annotations

import contextlib
import zlib
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final

import attrs

from egretspur import decisions
from egretspur.admission import quarantine, room, shared, throttle
from egretspur.catalog import config, upstreams
from egretspur.routing import (
    backpressure,
    cards,
    health,
    jobs,
    memory,
    moves,
    paces,
    paths,
)

# A data centre none of whose hosts was heard for so long is cut off from this
# one, or its hosts are down; its engines are used only if no others do. Its
# speaker is heard four times a second, through this one's; where either dies
# another speaks within 1.5 s, so data centres may come last in the choice for
# some 0.4 s.
CUT_OFF_S: Final = 1.3

# Weight of a new sample in the smoothed time of a plain service's answer.
TIME_WEIGHT: Final = 0.2

# How much slower a replica counts that stands in a data centre that is cut off.
CUT_OFF_COST: Final = 20.0

# Answer time assumed of a plain service before the first sample, in seconds.
FIRST_TIME_S: Final = 0.05


@attrs.frozen
class PeerNews:
    """What another host has in flight."""

    host: str
    data_centre: str
    usage: Mapping[str, jobs.Usage]
    # Engines that run slower than their kind.
    pace: Mapping[str, float]
    # Upstreams that it found dead.
    dead: tuple[str, ...]
    # Layers that engines reported to it.
    layers: Mapping[str, upstreams.AgedLayers]
    # Request memory beyond what the hosts count, by engine.
    excess: Mapping[str, float] = attrs.Factory(dict)
    # Upstreams that it, or a speaker's whole data centre, finds failing.
    suspects: tuple[str, ...] = ()
    # What it, or a speaker's whole data centre, spent of the retry budgets.
    spent: Mapping[str, shared.Spent] = attrs.Factory(dict)
    # Upstreams that ended under requests, by fingerprint; none where it was
    # answered.
    ended: Mapping[str, quarantine.Ends] = attrs.Factory(dict)
    # It does not know what was spent before it started.
    is_new: bool = False
    # Limits that upstreams named, or name no more, as far as it knows.
    limits: Mapping[str, throttle.Told] = attrs.Factory(dict)


@attrs.frozen
class _StepCosts:
    """What of an engine's times is the same for all engines of a service."""

    # Seconds of a step that one more request takes.
    request_s: float
    # Seconds of a whole chunk of a prompt.
    chunk_s: float

    @classmethod
    def make(cls, spec: config.EngineSpec) -> _StepCosts:
        """Returns the costs of a service's engines."""
        context = spec.typical_prompt_tokens + spec.typical_answer_tokens / 2
        return cls(
            spec.per_request_s + spec.per_token_s * context,
            spec.chunk_tokens / spec.prefill_tokens_per_s,
        )


class Fleet:
    """State of all upstreams; see the module's docstring."""

    def __init__(
        self,
        data_centre: str,
        is_counting_excess: bool = True,
        limits: throttle.Throttle | None = None,
    ) -> None:
        """Makes a state that knows no upstream.

        Args:
            data_centre: Of this host.
            is_counting_excess: Engines' own words on their memory count.
            limits: This host's part of the limits that upstreams name.
        """
        self.data_centre = data_centre
        self.throttle = limits or throttle.Throttle()
        self._is_counting_excess = is_counting_excess
        self.roster = upstreams.Roster()
        self.memory = memory.Memory(data_centre)
        self.health = health.Health(self._note)
        self.paces = paces.Paces()
        # Smoothed seconds of a plain service's answers.
        self.times: dict[str, float] = {}
        self.moves = moves.Moves(self.roster)
        # Upstreams by service and data centre, as of a change of the list:
        # each choice of a path asks for them.
        self._grouped: dict[str, dict[str, list[upstreams.Upstream]]] = {}
        self._grouped_at = -1
        # Found failing as other hosts were last told.
        self._suspects: set[str] = set()
        # News and probes taken, each of which may show room.
        self._learned = 0
        # What changed in the beliefs about upstreams, for the log.
        self.notes: list[decisions.Decision] = []
        self.backpressure = backpressure.Backpressure(
            data_centre, self.roster, self.health, self.throttle, self.notes
        )

    def is_usable(self, entry: upstreams.Upstream, now_s: float) -> bool:
        """Tells whether an upstream may be given work."""
        if (
            self.backpressure.is_leaving(entry)
            or entry.id in self.roster.unreadable
        ):
            return False
        return self.health.is_usable(entry.id, now_s)

    def list_usable(
        self, service: str, now_s: float
    ) -> list[upstreams.Upstream]:
        """Returns a service's upstreams that may be given work."""
        return [
            e
            for e in self.roster.entries.values()
            if e.service == service and self.is_usable(e, now_s)
        ]

    def get_revision(self) -> int:
        """Returns a number that differs once there may be room anew.

        It stays the same while only time passes, and where there is less room.
        """
        return self._learned + self.get_own_revision()

    def get_own_revision(self) -> int:
        """Returns a number that differs once there may be room by this host.

        That is where it gives some back, and where the list or what an
        upstream asks for changes; not where others tell of their requests.
        """
        return (
            self.roster.revision
            + self.memory.releases
            + self.backpressure.changes
        )

    def hear(self, news: PeerNews, now_s: float) -> None:
        """Takes what another host said."""
        self._learned += 1
        self.memory.hear(
            news.host, news.data_centre, news.usage, news.excess, now_s
        )
        self.paces.hear(news.pace, now_s)
        # A host in the same data centre sees what this one would see.
        if news.data_centre == self.data_centre:
            for upstream_id in news.dead:
                if upstream_id in self.roster.entries:
                    self.health.note_down(upstream_id, now_s)
        self._hear_suspects(news, now_s)
        for upstream_id, told in news.layers.items():
            self.moves.hear(upstream_id, told, now_s)
        self.backpressure.hear(news.host, news.data_centre, news.limits, now_s)

    def _hear_suspects(self, news: PeerNews, now_s: float) -> None:
        """Takes what another host finds failing.

        From another data centre only what it says of its own upstreams: where
        the two others are cut off from each other, each finds all upstreams
        of the other failing, which are well for this one.
        """
        for upstream_id in news.suspects:
            entry = self.roster.entries.get(upstream_id)
            if entry is not None and news.data_centre in (
                self.data_centre,
                entry.data_centre,
            ):
                self.health.hear_suspect(upstream_id, now_s)

    def is_asking(self) -> bool:
        """Tells whether an upstream is to be asked that has just failed."""
        return self.health.is_asking() or self.paces.is_asking()

    def take_new_suspects(self, now_s: float) -> bool:
        """Tells whether upstreams were found failing since the last call."""
        before, self._suspects = (
            self._suspects,
            set(self.health.list_suspects(now_s)),
        )
        return not self._suspects <= before

    def list_suspects(self, now_s: float, is_speaker: bool) -> tuple[str, ...]:
        """Returns the upstreams to tell other hosts of as failing.

        Args:
            now_s: Monotonic time.
            is_speaker: For other data centres, to which this host speaks for
                its own: what any of its hosts finds of its upstreams.
        """
        found = self.health.list_suspects(now_s)
        if not is_speaker:
            return found
        entries = self.roster.entries
        return tuple(
            i
            for i in dict.fromkeys((*found, *self.health.list_heard(now_s)))
            if i in entries and entries[i].data_centre == self.data_centre
        )

    def list_cut_off(self, now_s: float) -> set[str]:
        """Returns the data centres whose hosts fell silent, all of them."""
        last: dict[str, float] = {}
        for peer in self.memory.peers.values():
            known = last.get(peer.data_centre, 0.0)
            last[peer.data_centre] = max(known, peer.heard_s)
        return {
            place
            for place, heard_s in last.items()
            if place != self.data_centre and now_s - heard_s > CUT_OFF_S
        }

    def _note(self, upstream_id: str, state: str, reason: str) -> None:
        self.notes.append(decisions.UpstreamChanged(upstream_id, state, reason))

    def note_time(self, upstream_id: str, seconds: float) -> None:
        """Takes the time of a plain service's answer."""
        old = self.times.get(upstream_id, seconds)
        self.times[upstream_id] = old + TIME_WEIGHT * (seconds - old)

    @contextlib.contextmanager
    def noting_changes(self, now_s: float) -> Iterator[None]:
        """Notes what changes on the list within the block.

        For the log, and layers for the other hosts.
        """
        before = dict(self.roster.entries)
        unreadable = set(self.roster.unreadable)
        unfit = dict(self.roster.misfits)
        changes = self.roster.revision
        yield
        self._note_strange(unfit, unreadable)
        if self.roster.revision == changes:
            return
        self._note_listed(
            [e for i, e in self.roster.entries.items() if i not in before]
        )
        for upstream_id, entry in self.roster.entries.items():
            old = before.get(upstream_id)
            if old and entry.layers is not None and entry.layers != old.layers:
                self.moves.note_listed(upstream_id, entry.layers, now_s)
            if entry.is_draining and not (old and old.is_draining):
                self._note(upstream_id, "draining", "reported that it leaves")
        for upstream_id in set(before) - set(self.roster.entries):
            is_again = before[upstream_id].name in self.roster.by_name
            self._note(
                upstream_id,
                "gone",
                "started again" if is_again else "no longer listed",
            )

    def _note_listed(self, entries: Sequence[upstreams.Upstream]) -> None:
        """Notes entries that are new on the list.

        In one line where they are many: two hundred hosts that start before
        two hundred upstreams would write forty thousand.
        """
        if len(entries) > decisions.NAMED:
            names = _name_some([e.id for e in entries])
            self.notes.append(decisions.UpstreamsListed(len(entries), names))
            return
        for entry in entries:
            self._note(entry.id, "listed", entry.address)

    def _note_strange(
        self, unfit: Mapping[str, str], unreadable: set[str]
    ) -> None:
        """Notes entries that have turned out to be no upstream's own."""
        for name, field in self.roster.misfits.items():
            if unfit.get(name) != field:
                self.notes.append(
                    decisions.EntryLeftOut(
                        "upstreams",
                        name,
                        field,
                        "does not fit the configuration or the server",
                    )
                )
        for upstream_id in self.roster.unreadable - unreadable:
            self._note(
                upstream_id, "unreadable", "its newest record can't be used"
            )

    def note_report(
        self,
        upstream_id: str,
        report: upstreams.EngineReport | None,
        now_s: float,
    ) -> None:
        """Takes an engine's answer to a probe; None if there was none.

        A report of another start tells nothing of this one. A newer start
        takes its place at once.
        """
        entry = self.roster.entries.get(upstream_id)
        if report is None or entry is None:
            self.note_probe(upstream_id, report is not None, 1.0, now_s)
            return
        if not upstreams.is_other_start(entry, report):
            self._note_memory(upstream_id, report, now_s)
            self.note_probe(upstream_id, True, report.pace, now_s)
            return
        with self.noting_changes(now_s):
            upstreams.apply_restart(self.roster, upstream_id, report, now_s)
        # Asked again if it still counts: the report was of an older start.
        self.health.note_unanswered(upstream_id)

    def note_probe(
        self, upstream_id: str, is_ok: bool, pace: float, now_s: float
    ) -> None:
        """Takes whether an upstream answered a probe, and its pace."""
        self._learned += 1
        if is_ok and self.paces.note(upstream_id, pace):
            is_slow = pace > paces.USUAL
            self._note(
                upstream_id, "slow" if is_slow else "back", f"pace {pace}"
            )
        self.health.note_probe(upstream_id, is_ok, now_s)

    def _note_memory(
        self, upstream_id: str, report: upstreams.EngineReport, now_s: float
    ) -> None:
        """Takes an engine's own word on its memory."""
        if not self._is_counting_excess:
            return
        counted = self.memory.get_usage(upstream_id, now_s).room
        known = self.memory.get_excess(upstream_id, now_s)
        beyond = self.memory.note_used(upstream_id, report.used, now_s)
        # An engine is asked several times a second while it refuses.
        if beyond > memory.EXCESS_NOTED * report.size > known:
            self._note(
                upstream_id,
                "fuller",
                f"{report.used:.0f} in use of {report.size:.0f},"
                f" {counted:.0f} counted",
            )

    def take_probes(self, now_s: float) -> list[upstreams.Upstream]:
        """Returns the upstreams to ask now, for their health or pace."""
        listed = self.roster.entries
        due = [
            i for i in self.paces.take_due(now_s) if i not in self.health.failed
        ]
        due += self.health.take_due(listed, now_s)
        late = [i for i in due if not self.backpressure.may_ask(i, now_s)]
        for upstream_id in late:
            self.health.note_unanswered(upstream_id)
            self.paces.put_off(upstream_id)
        due = [i for i in due if i not in late]
        return [listed[i] for i in due if i in listed]

    def compute_digest(self) -> int:
        """Returns a number that differs where the list differs.

        Of layers it takes what the list says, not what an engine said since:
        that ends, and then all hosts must have the same list.
        """
        roster = self.roster
        rows = []
        for entry in roster.entries.values():
            layers = upstreams.get_listed_layers(roster, entry.id)
            held = f"{layers.first}-{layers.last}" if layers else "none"
            if entry.id in roster.unreadable:
                # A host that has read the list anew does not know it at all.
                continue
            rows.append(
                f"{entry.id} {entry.address} {entry.is_draining} {held}"
            )
        return zlib.crc32("\n".join(sorted(rows)).encode())

    def forget_gone(self) -> None:
        """Drops what is known of upstreams that are no longer listed."""
        listed = self.roster.entries
        tables: tuple[dict[str, Any], ...] = (
            self.times,
            self.memory.excess,
        )
        for table in tables:
            for upstream_id in set(table) - set(listed):
                del table[upstream_id]
        self.moves.forget(listed)
        self.paces.forget(listed)
        self.health.forget(listed)
        self.backpressure.forget(listed)

    def offer(
        self, service: str, spec: config.EngineSpec, now_s: float
    ) -> cards.Cards:
        """Returns a service's usable engines that hold layers."""
        places = self._group_by_place(service)
        costs = _StepCosts.make(spec)

        def read(place: str) -> list[paths.Card]:
            return [
                card
                for e in places[place]
                if self.is_usable(e, now_s)
                and (card := self._make_card(e, spec, costs, now_s))
                and (card := self.backpressure.hold_back(card, now_s))
            ]

        return cards.Cards(places, read)

    def _group_by_place(
        self, service: str
    ) -> Mapping[str, Sequence[upstreams.Upstream]]:
        """Returns a service's upstreams by data centre, in their order."""
        if self._grouped_at != self.roster.revision:
            self._grouped_at = self.roster.revision
            self._grouped.clear()
        groups = self._grouped.get(service)
        if groups is None:
            groups = {}
            for entry in self.roster.entries.values():
                if entry.service == service:
                    groups.setdefault(entry.data_centre, []).append(entry)
            self._grouped[service] = dict(sorted(groups.items()))
        return self._grouped[service]

    def _make_card(
        self,
        entry: upstreams.Upstream,
        spec: config.EngineSpec,
        costs: _StepCosts,
        now_s: float,
    ) -> paths.Card | None:
        """Returns what an engine offers; None if it holds no layers."""
        kind = spec.accelerators.get(entry.accelerator)
        if entry.layers is None or kind is None:
            return None
        usage = self.memory.get_usage(entry.id, now_s)
        size = room.compute_size(spec, entry) * room.USABLE
        step_s = spec.step_s + usage.count * costs.request_s
        slow = self.paces.get(entry.id, now_s)
        read_s = slow * kind.prefill_factor * costs.chunk_s
        pass_s = spec.stride * (step_s * kind.pace * slow + read_s)
        pace = kind.pace * slow * self.health.get_slowdown(entry.id, now_s)
        return paths.Card(
            entry.id,
            entry.address,
            entry.data_centre,
            entry.layers.first,
            entry.layers.last,
            step_s * pace / spec.layers,
            size - usage.room - self.memory.get_excess(entry.id, now_s),
            pass_s / spec.layers,
        )

    def explain_missing(
        self,
        spec: config.EngineSpec,
        job: jobs.Job,
        offers: Sequence[paths.Card],
        now_s: float,
    ) -> decisions.PathMissing:
        """Returns why there is no path for a request.

        Args:
            spec: Of its service.
            job: The request.
            offers: Usable engines, as a path was last looked for.
            now_s: Monotonic time.
        """
        held = [(c.first, c.last) for c in offers]
        entries = [
            e for e in self.roster.entries.values() if e.service == job.service
        ]
        full = [
            c.id for c in offers if c.free < (c.last - c.first) * job.tokens
        ]
        paused = [
            e.id
            for e in entries
            if self.health.is_paused(e.id, now_s)
            or self.health.is_backing_off(e.id, now_s)
        ]
        down = [
            e.id
            for e in entries
            if self.health.is_down(e.id)
            or self.health.is_suspected(e.id, now_s)
        ]
        leaving = [e.id for e in entries if self.backpressure.is_leaving(e)]
        limited = [e.id for e in entries if e.id in self.throttle.limited]
        return decisions.PathMissing(
            request=job.id,
            layers=" ".join(
                f"{a}-{b}" for a, b in paths.find_gaps(held, spec.layers)
            ),
            full=_name_some(full),
            paused=_name_some(paused),
            down=_name_some(down),
            leaving=_name_some(leaving),
            limited=_name_some(limited),
            cut_off=tuple(sorted(self.list_cut_off(now_s))),
        )

    def list_late(
        self, service: config.Service, longest_pass_s: float, now_s: float
    ) -> set[str]:
        """Returns the engines that are too slow for prompt answers.

        Args:
            service: Theirs.
            longest_pass_s: Longest pass of an engine on a prompt path.
            now_s: Monotonic time.
        """
        spec = service.engine
        if spec is None:
            return set()
        return {
            c.id
            for c in self.offer(service.name, spec, now_s).list_all()
            if self.paces.get(c.id, now_s) > paces.USUAL
            and (c.last - c.first) * c.pass_s > longest_pass_s
        }

    def describe_path(
        self, spec: config.EngineSpec, parts: Sequence[paths.Part], now_s: float
    ) -> tuple[float, float]:
        """Returns a path's expected step and its tightest stage.

        Args:
            spec: Of the path's service.
            parts: The path.
            now_s: Monotonic time.

        Returns:
            Seconds of one step, and the least free part of a stage's request
            memory, from 0 to 1.
        """
        step_s = 0.0
        free = 1.0
        costs = _StepCosts.make(spec)
        for part in parts:
            entry = self.roster.entries.get(part.id)
            if entry is None:
                continue
            card = self._make_card(entry, spec, costs, now_s)
            if card is None:
                continue
            step_s += (part.last - part.first) * card.layer_s
            size = room.compute_size(spec, entry) * room.USABLE
            free = min(free, card.free / size if size else 0.0)
        return step_s, free

    def choose_replica(
        self, service: str, avoid: set[str], refused: set[str], now_s: float
    ) -> upstreams.Upstream | None:
        """Returns a plain service's replica with the shortest expected wait.

        Args:
            service: Its name.
            avoid: Replicas that are chosen only where there is no other.
            refused: Replicas that are not chosen.
            now_s: Monotonic time.
        """
        usable = [
            e
            for e in self.list_usable(service, now_s)
            if e.id not in refused and self.throttle.is_open(e.id, now_s)
        ]
        fresh = [e for e in usable if e.id not in avoid] or usable
        cut_off = self.list_cut_off(now_s)

        def expect_s(entry: upstreams.Upstream) -> float:
            time_s = self.times.get(entry.id, FIRST_TIME_S)
            waiting = self.memory.get_usage(entry.id, now_s).count
            turns = 1 + waiting / max(1, entry.slots)
            near = 1.0 if entry.data_centre == self.data_centre else 1.2
            if entry.data_centre in cut_off:
                near = CUT_OFF_COST
            slowdown = self.health.get_slowdown(entry.id, now_s)
            return time_s * turns * near * slowdown

        return min(fresh, key=expect_s, default=None)


def _name_some(ids: Sequence[str]) -> tuple[str, ...]:
    """Returns as many ids as a log line names."""
    return tuple(sorted(ids)[: decisions.NAMED])
