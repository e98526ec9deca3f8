"""Makes path candidates of engines, as one host expects them to run: pure.

Each path search needs all engines of a data centre. What only the list of
upstreams changes is cached until it does. Read next: `egretspur.routing.paths`.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from egretspur.admission import room
from egretspur.catalog import config, upstreams
from egretspur.routing import health, memory, paces, paths


@attrs.frozen
class _StepCosts:
    """Step times that all engines of a service have in common."""

    # Seconds that each further request adds to a step.
    request_s: float
    # Seconds that a full prompt chunk takes.
    chunk_s: float

    @classmethod
    def make(cls, spec: config.EngineSpec) -> _StepCosts:
        """Returns the costs of a service's engines."""
        context = spec.typical_prompt_tokens + spec.typical_answer_tokens / 2
        return cls(
            spec.per_request_s + spec.per_token_s * context,
            spec.chunk_tokens / spec.prefill_tokens_per_s,
        )


@attrs.frozen(eq=False)
class _ListedEngine:
    """What the list of upstreams tells of an engine."""

    kind: config.Accelerator
    layers: upstreams.Layers
    # Request memory that is allocated, in tokens times layers.
    size: float


@attrs.frozen(eq=False)
class _ListedService:
    """What holds for a service until its specification or the list changes."""

    spec: config.EngineSpec
    # Of the list of upstreams.
    revision: int
    costs: _StepCosts
    # By id, added on first use; None if it has no layers.
    engines: dict[str, _ListedEngine | None] = attrs.Factory(dict)

    def get(self, entry: upstreams.Upstream) -> _ListedEngine | None:
        """Returns what is known of an engine."""
        try:
            return self.engines[entry.id]
        except KeyError:
            found = self.engines[entry.id] = self._read(entry)
            return found

    def _read(self, entry: upstreams.Upstream) -> _ListedEngine | None:
        kind = self.spec.accelerators.get(entry.accelerator)
        if entry.layers is None or kind is None:
            return None
        size = room.compute_capacity(self.spec, entry) * room.USABLE_FRACTION
        return _ListedEngine(kind, entry.layers, size)


class CandidateMaker:
    """Makes candidates from the list and the state of the engines."""

    def __init__(
        self,
        roster: upstreams.Roster,
        usage: memory.Memory,
        speeds: paces.Paces,
        state: health.Health,
    ) -> None:
        """Creates a maker that reads the given state when it is called.

        Args:
            roster: The list of upstreams.
            usage: Requests in flight and request memory in use.
            speeds: Paces of the engines.
            state: Health of the engines.
        """
        self._roster = roster
        self._memory = usage
        self._paces = speeds
        self._health = state
        # By name.
        self._services: dict[str, _ListedService] = {}

    def list_candidates(
        self,
        entries: Iterable[upstreams.Upstream],
        spec: config.EngineSpec,
        now_s: float,
    ) -> list[paths.Candidate]:
        """Returns the engines that have layers as candidates.

        Args:
            entries: Their entries in the list.
            spec: Of their service.
            now_s: Monotonic time.
        """
        return [
            candidate
            for e in entries
            if (candidate := self.make(e, spec, now_s)) is not None
        ]

    def make(
        self, entry: upstreams.Upstream, spec: config.EngineSpec, now_s: float
    ) -> paths.Candidate | None:
        """Returns an engine as a candidate; None if it has no layers."""
        service = self._services.get(entry.service)
        if (
            service is None
            or service.spec is not spec
            or service.revision != self._roster.revision
        ):
            service = self._services[entry.service] = _ListedService(
                spec, self._roster.revision, _StepCosts.make(spec)
            )
        engine = service.get(entry)
        if engine is None:
            return None
        kind, layers, costs = engine.kind, engine.layers, service.costs
        usage = self._memory.get_usage(entry.id, now_s)
        step_s = spec.step_s + usage.count * costs.request_s
        slow = self._paces.get(entry.id, now_s)
        read_s = slow * kind.prefill_factor * costs.chunk_s
        pass_s = spec.stride * (step_s * kind.pace * slow + read_s)
        pace = kind.pace * slow * self._health.get_slowdown(entry.id, now_s)
        return paths.Candidate(
            entry.id,
            entry.address,
            entry.data_centre,
            layers.first,
            layers.last,
            step_s * pace / spec.layers,
            engine.size - usage.room - self._memory.get_excess(entry.id, now_s),
            pass_s / spec.layers,
        )
