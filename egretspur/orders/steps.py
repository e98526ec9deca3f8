"""Computes due orders from the folded state and engine reports; pure.

Level-triggered: each round compares wanted holdings with reported ones. An
order that was lost, duplicated or delivered late from a former lease holder is
therefore corrected in the next round, whichever daemon runs it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from egretspur.clients import engine
from egretspur.intents import records
from egretspur.intents import state as states

# Weight-store priority of loads that repair a chain; no intent sets it.
REPAIR_PRIORITY: Final = 100


@attrs.frozen
class Wanted:
    """Holdings an upstream should have, and the priority of its loads."""

    holdings: frozenset[engine.Holding]
    priority: int


@attrs.frozen
class DueOrder:
    """Effect: send this order to an upstream."""

    upstream: str
    holdings: tuple[engine.Holding, ...]
    priority: int


@attrs.define
class Drains:
    """Holdings no longer wanted, kept for requests in flight."""

    # Monotonic time at which a holding was first seen as unwanted.
    unwanted_since_s: dict[tuple[str, engine.Holding], float] = attrs.Factory(
        dict
    )


@attrs.frozen
class Repair:
    """Effect: load the layers of a dead upstream on a spare."""

    deployment_id: str
    dead: str
    spare: str
    holding: engine.Holding


def compute_wanted(
    state: states.State, data_centre: str, repairs: Iterable[Repair] = ()
) -> dict[str, Wanted]:
    """Returns what each upstream of a data centre should hold."""
    priorities = _compute_priorities(state)
    holdings: dict[str, set[engine.Holding]] = {}
    urgency: dict[str, int] = {}
    for deployment in state.deployments.values():
        if deployment.data_centre != data_centre:
            continue
        priority = priorities.get(deployment.id, 0)
        for chain in deployment.chains:
            for stage in chain.stages:
                holding = make_holding(deployment, stage)
                holdings.setdefault(stage.upstream, set()).add(holding)
                urgency[stage.upstream] = max(
                    urgency.get(stage.upstream, 0), priority
                )
    for repair in repairs:
        holdings.setdefault(repair.spare, set()).add(repair.holding)
        urgency[repair.spare] = REPAIR_PRIORITY
    return {
        name: Wanted(frozenset(items), urgency[name])
        for name, items in holdings.items()
    }


def find_due_orders(
    wanted: Mapping[str, Wanted],
    reported: Mapping[str, engine.EngineStatus],
    drains: Drains,
    drain_s: float,
    now_s: float,
) -> list[DueOrder]:
    """Returns the orders to send now, highest priority first.

    Args:
        wanted: From `compute_wanted`.
        reported: Latest status of each upstream that answered.
        drains: Changed in place.
        drain_s: Seconds an unwanted holding stays for requests in flight.
        now_s: Monotonic time.
    """
    due = []
    none = Wanted(frozenset(), 0)
    for name, status in sorted(reported.items()):
        want = wanted.get(name, none)
        have = frozenset(status.holdings) | frozenset(status.loading)
        kept = _find_draining(name, status, want, drains, drain_s, now_s)
        target = want.holdings | kept
        if target != have:
            due.append(DueOrder(name, sort_holdings(target), want.priority))
    due.sort(key=lambda d: (-d.priority, d.upstream))
    return due


def limit_loads(
    due: list[DueOrder],
    reported: Mapping[str, engine.EngineStatus],
    at_once: int,
) -> list[DueOrder]:
    """Returns the orders that may be sent within the limit on parallel loads.

    All loads share a fixed rate of the weight store. Starting all of them at
    once would slow down those of high priority.
    """
    loading = sum(1 for status in reported.values() if status.loading)
    chosen = []
    for order in due:
        status = reported[order.upstream]
        held = set(status.holdings) | set(status.loading)
        if not set(order.holdings) - held or status.loading:
            chosen.append(order)
        elif loading < at_once:
            loading += 1
            chosen.append(order)
    return chosen


def find_prepared(
    state: states.State,
    data_centre: str,
    reported: Mapping[str, engine.EngineStatus],
) -> list[str]:
    """Returns plans whose loads in the data centre are all complete."""
    done = []
    for plan_id, plan in state.plans.items():
        if data_centre not in plan.pending:
            continue
        deployments = [
            state.deployments[name]
            for name in plan.plan.binding.deployments
            if name in state.deployments
        ]
        local = [d for d in deployments if d.data_centre == data_centre]
        if all(is_loaded(d, reported) for d in local):
            done.append(plan_id)
    return done


def is_loaded(
    deployment: records.Deployment,
    reported: Mapping[str, engine.EngineStatus],
) -> bool:
    """Tells whether every stage of every chain holds its layers."""
    for chain in deployment.chains:
        for stage in chain.stages:
            status = reported.get(stage.upstream)
            if status is None:
                return False
            if make_holding(deployment, stage) not in status.holdings:
                return False
    return True


def find_repairs(
    state: states.State,
    data_centre: str,
    dead: Iterable[str],
    spares: Iterable[str],
    in_progress: Iterable[Repair],
) -> list[Repair]:
    """Returns repairs to start: a free spare for each dead upstream in use.

    A repair changes neither model, adapter, version, layer ranges nor
    workspace; anything more needs an operator's confirmation.
    """
    in_progress = list(in_progress)
    gone = set(dead)
    free = [s for s in spares if s not in {r.spare for r in in_progress}]
    handled = {(r.deployment_id, r.dead) for r in in_progress}
    found = []
    for deployment in state.deployments.values():
        if deployment.data_centre != data_centre:
            continue
        for chain in deployment.chains:
            for stage in chain.stages:
                key = (deployment.id, stage.upstream)
                if stage.upstream not in gone or key in handled or not free:
                    continue
                handled.add(key)
                found.append(
                    Repair(
                        deployment.id,
                        stage.upstream,
                        free.pop(0),
                        make_holding(deployment, stage),
                    )
                )
    return found


def make_holding(
    deployment: records.Deployment, stage: records.Stage
) -> engine.Holding:
    """Returns the holding that a stage needs on its upstream."""
    return engine.Holding(
        deployment.model,
        deployment.adapter,
        deployment.version,
        stage.first,
        stage.last,
    )


def sort_holdings(
    holdings: Iterable[engine.Holding],
) -> tuple[engine.Holding, ...]:
    """Returns sorted holdings, so that equal orders are equal bytes."""
    return tuple(
        sorted(
            holdings,
            key=lambda h: (h.model, h.adapter, h.version, h.first, h.last),
        )
    )


def _compute_priorities(state: states.State) -> dict[str, int]:
    priorities: dict[str, int] = {}
    bindings = list(state.bindings.values())
    bindings += [p.plan.binding for p in state.plans.values() if p.pending]
    for binding in bindings:
        for name in binding.deployments:
            priorities[name] = max(priorities.get(name, 0), binding.priority)
    return priorities


def _find_draining(
    name: str,
    status: engine.EngineStatus,
    want: Wanted,
    drains: Drains,
    drain_s: float,
    now_s: float,
) -> frozenset[engine.Holding]:
    """Returns unwanted holdings that stay loaded until they have drained.

    Routers stop using a holding at the offset that retires it, but requests
    started before are still running; unloading at once would cut them off.
    """
    kept = set()
    for holding in status.holdings:
        key = (name, holding)
        if holding in want.holdings:
            drains.unwanted_since_s.pop(key, None)
            continue
        since = drains.unwanted_since_s.setdefault(key, now_s)
        if now_s < since + drain_s:
            kept.add(holding)
    return frozenset(kept)
