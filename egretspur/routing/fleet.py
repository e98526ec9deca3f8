"""One host's view of all upstreams, beyond the upstream list: pure.

Combines the requests in flight (`egretspur.routing.memory`), recent failures
(`egretspur.routing.health`), engine speeds (`egretspur.routing.paces`) and
the limits and backoffs that upstreams ask for
(`egretspur.routing.backpressure`).
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Iterator, Mapping, Sequence
from typing import Final

import attrs

from egretspur import decisions
from egretspur.admission import quarantine, room, shared, throttle
from egretspur.catalog import config, upstreams, views
from egretspur.routing import (
    backpressure,
    cards,
    engines,
    health,
    jobs,
    memory,
    moves,
    paces,
    paths,
    probing,
    replicas,
)
from egretspur.tunnels import reach

# A data centre that sent no peer update for this long counts as cut off: the
# network is partitioned or its hosts are down, and its engines are used only
# if no others can serve. Its speaker's updates arrive four times a second
# through the local speaker. If either speaker dies, another one takes over
# within 1.5 s, so a data centre may wrongly count as cut off for some 0.4 s.
CUT_OFF_AFTER_S: Final = 1.3


@attrs.frozen
class PeerState:
    """State of another host, as its peer update carries it."""

    host: str
    data_centre: str
    usage: Mapping[str, jobs.Usage]
    # Factors by which engines are slower than their accelerator type usually
    # is; slow engines only.
    pace: Mapping[str, float]
    # Upstreams whose probes failed until they counted as dead.
    dead: tuple[str, ...]
    # Layers that engines reported to the host.
    layers: Mapping[str, upstreams.AgedLayers]
    # Request memory in use beyond what the hosts count, by engine.
    excess: Mapping[str, float] = attrs.Factory(dict)
    # Upstreams that the host finds failing; in a speaker's update, those that
    # any host of its data centre finds failing.
    suspects: tuple[str, ...] = ()
    # Retry budget spent by the host; in a speaker's update, by its whole data
    # centre.
    spent: Mapping[str, shared.Spent] = attrs.Factory(dict)
    # Upstreams that crashed under requests, by the request's fingerprint; empty
    # once the request was answered.
    ended: Mapping[str, quarantine.CrashWeights] = attrs.Factory(dict)
    # The host started recently: its `spent` lacks what was spent before.
    is_new: bool = False
    # Rate limits that upstreams set or lifted.
    limits: Mapping[str, throttle.PublishedLimit] = attrs.Factory(dict)
    # Plain replicas at which the host's last request failed.
    failing: tuple[str, ...] = ()


class Fleet:
    """State of all upstreams; see the module's docstring."""

    def __init__(
        self,
        data_centre: str,
        is_counting_excess: bool = True,
        limits: throttle.Throttle | None = None,
        rng: random.Random | None = None,
        host: str = "",
    ) -> None:
        """Makes an empty fleet.

        Args:
            data_centre: Of this host.
            is_counting_excess: Whether memory that engines report beyond the
                hosts' own count reduces their free memory.
            limits: This host's shares of the upstreams' rate limits.
            rng: Draws replicas of plain services, and delays.
            host: This host's address as others know it.
        """
        rng = rng or random.Random()
        self.data_centre = data_centre
        # How this host reaches upstreams.
        self.reach_state = reach.ReachState.SOUND
        self.throttle = limits or throttle.Throttle()
        self._is_counting_excess = is_counting_excess
        self.roster = upstreams.Roster()
        self.memory = memory.Memory(data_centre)
        self.health = health.Health(self._log_state)
        self.paces = paces.Paces()
        self._candidates = engines.CandidateMaker(
            self.roster, self.memory, self.paces, self.health
        )
        self._probes = probing.ProbeSchedule(self.health, self.paces, host)
        self.layer_changes = moves.LayerChanges(self.roster)
        self._groups = views.Groups(self.roster)
        self._digest = views.Digest()
        # Suspects at the last call of `check_new_suspects`.
        self._suspects: set[str] = set()
        # Peer updates and probe results applied; each may reveal free memory.
        self._update_count = 0
        # State changes of upstreams that are not yet logged.
        self.log_events: list[decisions.Decision] = []
        self.backpressure = backpressure.Backpressure(
            data_centre,
            self.roster,
            self.health,
            self.throttle,
            self.log_events,
            rng,
        )
        self.replicas = replicas.Replicas(
            data_centre,
            rng,
            self.memory,
            self.health,
            self.throttle,
            self.list_usable,
            self.list_cut_off,
            self._log_state,
        )

    def is_cut_off(self) -> bool:
        """Returns whether this host reaches no upstream, nor a helper."""
        return self.reach_state is reach.ReachState.CUT_OFF

    def is_usable(self, entry: upstreams.Upstream, now_s: float) -> bool:
        """Tells whether an upstream may be given work."""
        return not self._is_closed(entry) and self.health.is_usable(
            entry.id, now_s
        )

    def _is_closed(self, entry: upstreams.Upstream) -> bool:
        """Tells whether an upstream takes no work until its entry changes."""
        return (
            self.backpressure.is_leaving(entry)
            or entry.id in self.roster.unreadable
        )

    def list_usable(
        self, service: str, now_s: float
    ) -> list[upstreams.Upstream]:
        """Returns a service's upstreams that may be given work.

        If other hosts suspect all of them, those that this host itself finds
        sound: a request that would be refused otherwise is better tried.
        """
        sound = [
            e
            for e in self.roster.entries.values()
            if e.service == service
            and not self._is_closed(e)
            and self.health.is_sound(e.id, now_s)
        ]
        return [
            e for e in sound if not self.health.is_suspected(e.id, now_s)
        ] or sound

    def list_service(self, service: str) -> set[str]:
        """Returns the ids of a service's upstreams, usable or not."""
        return {
            e.id for e in self.roster.entries.values() if e.service == service
        }

    def get_revision(self) -> int:
        """Returns a number that changes when capacity may have been freed.

        It stays the same while only time passes or less memory is free.
        """
        return self._update_count + self.get_own_revision()

    def get_own_revision(self) -> int:
        """Returns a number that changes when this host may see free capacity.

        It changes when a request of this host ends, the list changes, or an
        upstream sets or lifts a limit. Peer updates leave it unchanged.
        """
        return (
            self.roster.revision
            + self.memory.release_count
            + self.backpressure.changes
        )

    def apply_peer_update(self, update: PeerState, now_s: float) -> None:
        """Merges another host's peer update."""
        self._update_count += 1
        self.memory.apply_peer_update(
            update.host, update.data_centre, update.usage, update.excess, now_s
        )
        self.paces.apply_peer_paces(update.pace, now_s)
        self.replicas.record_peer_failures(update.failing, now_s)
        # Only hosts of this data centre reach upstreams the way this host does.
        if update.data_centre == self.data_centre:
            self._probes.apply_peer_suspects(
                update.host, update.suspects, now_s
            )
            for upstream_id in update.dead:
                if upstream_id in self.roster.entries:
                    self.health.record_peer_death(
                        upstream_id, update.host, now_s
                    )
        self._apply_peer_suspects(update, now_s)
        for upstream_id, layers in update.layers.items():
            self.layer_changes.apply_peer_layers(upstream_id, layers, now_s)
        self.backpressure.apply_peer_limits(
            update.host, update.data_centre, update.limits, now_s
        )

    def _apply_peer_suspects(self, update: PeerState, now_s: float) -> None:
        """Merges the upstreams that another host suspects.

        A host of another data centre is believed only about its own upstreams:
        when two other data centres are cut off from each other, each finds all
        upstreams of the other failing, though this host still reaches them.
        """
        for upstream_id in update.suspects:
            entry = self.roster.entries.get(upstream_id)
            if entry is not None and update.data_centre in (
                self.data_centre,
                entry.data_centre,
            ):
                self.health.record_peer_suspicion(
                    upstream_id, update.host, now_s
                )

    def list_dead(self, now_s: float) -> tuple[str, ...]:
        """Returns the dead upstreams to send to other hosts."""
        if self.reach_state is not reach.ReachState.SOUND:
            return ()
        return self.health.list_dead(now_s)

    def has_pending_probes(self) -> bool:
        """Tells whether a new failure or slowdown awaits a probe."""
        return self.health.has_pending_probes() or self.paces.has_suspects()

    def check_new_suspects(self, now_s: float) -> bool:
        """Tells whether there are new suspects since the last call."""
        before, self._suspects = (
            self._suspects,
            set(self.health.list_suspects(now_s)),
        )
        return not self._suspects <= before

    def list_suspects(self, now_s: float, is_speaker: bool) -> tuple[str, ...]:
        """Returns the suspects to send to other hosts.

        None of its own while this host reaches no upstream by itself: what
        fails there are its links.

        Args:
            now_s: Monotonic time.
            is_speaker: Whether the update goes to other data centres on behalf
                of this one. It then has the suspects of all local hosts, but
                only those in this data centre.
        """
        found = self.health.list_suspects(now_s)
        if self.reach_state is not reach.ReachState.SOUND:
            found = ()
        if not is_speaker:
            return found
        entries = self.roster.entries
        return tuple(
            i
            for i in dict.fromkeys(
                (*found, *self.health.list_peer_suspects(now_s))
            )
            if i in entries and entries[i].data_centre == self.data_centre
        )

    def list_cut_off(self, now_s: float) -> set[str]:
        """Returns the data centres of which no host sent updates recently."""
        last: dict[str, float] = {}
        for peer in self.memory.peers.values():
            known = last.get(peer.data_centre, 0.0)
            last[peer.data_centre] = max(known, peer.received_s)
        return {
            data_centre
            for data_centre, received_s in last.items()
            if data_centre != self.data_centre
            and now_s - received_s > CUT_OFF_AFTER_S
        }

    def record_error(self, upstream_id: str, now_s: float) -> None:
        """Records that an engine answered a request with an error."""
        entry = self.roster.entries.get(upstream_id)
        if entry is None or not entry.accelerator:
            return
        near = self._groups.list_by_data_centre(entry.service)[
            entry.data_centre
        ]
        ejection_s = self.health.record_error(
            upstream_id, [e.id for e in near], now_s
        )
        if ejection_s:
            self._log_state(
                upstream_id, "ejected", f"answers errors; for {ejection_s:g} s"
            )

    def _log_state(self, upstream_id: str, state: str, reason: str) -> None:
        self.log_events.append(
            decisions.UpstreamChanged(upstream_id, state, reason)
        )

    @contextlib.contextmanager
    def recording_list_changes(self, now_s: float) -> Iterator[None]:
        """Records the list changes made within the block.

        They go to the log, and changed layers to the other hosts.
        """
        before = dict(self.roster.entries)
        unreadable = set(self.roster.unreadable)
        unfit = dict(self.roster.misfits)
        changes = self.roster.revision
        yield
        self._log_rejected_entries(unfit, unreadable)
        if self.roster.revision == changes:
            return
        self._log_new_entries(
            [e for i, e in self.roster.entries.items() if i not in before]
        )
        for upstream_id, entry in self.roster.entries.items():
            old = before.get(upstream_id)
            if old and entry.layers is not None and entry.layers != old.layers:
                self.layer_changes.record_listed(
                    upstream_id, entry.layers, now_s
                )
            if entry.is_draining and not (old and old.is_draining):
                self._log_state(
                    upstream_id, "draining", "reported that it leaves"
                )
        for upstream_id in set(before) - set(self.roster.entries):
            is_again = before[upstream_id].name in self.roster.by_name
            self._log_state(
                upstream_id,
                "gone",
                "started again" if is_again else "no longer listed",
            )

    def _log_new_entries(self, entries: Sequence[upstreams.Upstream]) -> None:
        """Logs entries that are new on the list.

        Many new entries share one line: two hundred hosts that start before
        two hundred upstreams would otherwise write forty thousand lines.
        """
        if len(entries) > decisions.MAX_NAMED:
            names = decisions.limit_ids([e.id for e in entries])
            self.log_events.append(
                decisions.UpstreamsListed(len(entries), names)
            )
            return
        for entry in entries:
            self._log_state(entry.id, "listed", entry.address)

    def _log_rejected_entries(
        self, unfit: Mapping[str, str], unreadable: set[str]
    ) -> None:
        """Logs entries that were newly rejected as invalid."""
        for name, field in self.roster.misfits.items():
            if unfit.get(name) != field:
                self.log_events.append(
                    decisions.EntryLeftOut(
                        "upstreams",
                        name,
                        field,
                        "does not fit the configuration or the server",
                    )
                )
        for upstream_id in self.roster.unreadable - unreadable:
            self._log_state(
                upstream_id, "unreadable", "its newest record is invalid"
            )

    def apply_report(
        self,
        upstream_id: str,
        report: upstreams.EngineReport | upstreams.ProbeFailed,
        now_s: float,
    ) -> None:
        """Applies an engine's probe report, or why it gave none.

        A report of another incarnation says nothing about this one. A newer
        incarnation replaces the entry at once.
        """
        entry = self.roster.entries.get(upstream_id)
        if isinstance(report, upstreams.ProbeFailed):
            self.record_probe(upstream_id, False, 1.0, now_s, report)
            return
        if entry is None:
            self.record_probe(upstream_id, True, 1.0, now_s)
            return
        if not upstreams.is_other_start(entry, report):
            self._apply_memory_report(upstream_id, report, now_s)
            self.record_probe(upstream_id, True, report.pace, now_s)
            return
        with self.recording_list_changes(now_s):
            upstreams.apply_restart(self.roster, upstream_id, report, now_s)
        # If the entry remains, the report was of an older incarnation and the
        # upstream is probed again.
        self.health.record_inconclusive_probe(upstream_id)

    def record_probe(
        self,
        upstream_id: str,
        is_ok: bool,
        pace: float,
        now_s: float,
        failed: upstreams.ProbeFailed | None = None,
    ) -> None:
        """Records whether an upstream answered a probe, and its pace.

        Args:
            upstream_id: The upstream.
            is_ok: Whether it answered.
            pace: Its pace; see `upstreams.EngineReport`.
            now_s: Monotonic time.
            failed: What is known of a probe without an answer.
        """
        self._update_count += 1
        if is_ok and self.paces.record_pace(upstream_id, pace):
            is_slow = pace > paces.SLOW_THRESHOLD
            self._log_state(
                upstream_id, "slow" if is_slow else "back", f"pace {pace}"
            )
        self.health.record_probe(upstream_id, is_ok, now_s, failed)

    def _apply_memory_report(
        self, upstream_id: str, report: upstreams.EngineReport, now_s: float
    ) -> None:
        """Applies the memory usage that an engine reports."""
        if not self._is_counting_excess:
            return
        counted = self.memory.get_usage(upstream_id, now_s).room
        known = self.memory.get_excess(upstream_id, now_s)
        excess = self.memory.record_reported_usage(
            upstream_id, report.used, now_s
        )
        # Logged only when first exceeded: an engine that refuses work is probed
        # several times a second.
        if excess > memory.EXCESS_LOG_FRACTION * report.size > known:
            self._log_state(
                upstream_id,
                "fuller",
                f"{report.used:.0f} in use of {report.size:.0f},"
                f" {counted:.0f} counted",
            )

    def take_probes(self, now_s: float) -> list[upstreams.Upstream]:
        """Returns the upstreams to probe now for their health or pace."""
        listed = self.roster.entries
        due = self._probes.take_due(
            listed, self.backpressure.try_acquire_probe, now_s
        )
        return [listed[i] for i in due]

    def compute_digest(self) -> int:
        """Returns a checksum of the upstream list."""
        return self._digest.compute(self.roster)

    def remove_unlisted(self) -> None:
        """Drops the state of upstreams that are no longer listed."""
        listed = self.roster.entries
        for upstream_id in set(self.memory.excess) - set(listed):
            del self.memory.excess[upstream_id]
        self.replicas.remove_unlisted(listed)
        self.layer_changes.remove_unlisted(listed)
        self.paces.remove_unlisted(listed)
        self.health.remove_unlisted(listed)
        self.backpressure.remove_unlisted(listed)

    def list_candidates(
        self,
        service: str,
        spec: config.EngineSpec,
        now_s: float,
        believes_peers: bool = True,
    ) -> cards.Candidates:
        """Returns the candidates for a path: usable engines with layers.

        Args:
            service: Their service.
            spec: Of the service.
            now_s: Monotonic time.
            believes_peers: Whether to leave out those that only other hosts
                suspect.
        """
        by_data_centre = self._groups.list_by_data_centre(service)

        def read(data_centre: str) -> list[paths.Candidate]:
            unusable = self.health.list_unusable(now_s, believes_peers)
            usable = [
                e
                for e in by_data_centre[data_centre]
                if e.id not in unusable and not self._is_closed(e)
            ]
            return [
                candidate
                for c in self._candidates.list_candidates(usable, spec, now_s)
                if (candidate := self.backpressure.apply_limit(c, now_s))
            ]

        return cards.Candidates(by_data_centre, read)

    def list_too_slow(
        self, service: config.Service, max_pass_s: float, now_s: float
    ) -> set[str]:
        """Returns the slow engines that would make answers late.

        Args:
            service: Service of the engines.
            max_pass_s: Longest pass of one engine that keeps answers on
                time.
            now_s: Monotonic time.
        """
        spec = service.engine
        if spec is None:
            return set()
        return {
            c.id
            for c in self.list_candidates(service.name, spec, now_s).list_all()
            if self.paces.get(c.id, now_s) > paces.SLOW_THRESHOLD
            and (c.last - c.first) * c.pass_s > max_pass_s
        }

    def describe_path(
        self, spec: config.EngineSpec, parts: Sequence[paths.Part], now_s: float
    ) -> tuple[float, float]:
        """Returns a path's expected step time and least free memory.

        Args:
            spec: Of the path's service.
            parts: The path.
            now_s: Monotonic time.

        Returns:
            Seconds of one step, and the smallest free fraction, from 0 to 1, of
            any of its engines' request memory.
        """
        step_s = 0.0
        free = 1.0
        for part in parts:
            entry = self.roster.entries.get(part.id)
            if entry is None:
                continue
            candidate = self._candidates.make(entry, spec, now_s)
            if candidate is None:
                continue
            step_s += (part.last - part.first) * candidate.layer_s
            size = room.compute_capacity(spec, entry) * room.USABLE_FRACTION
            free = min(free, candidate.free / size if size else 0.0)
        return step_s, free
