"""Steps on leaving mechanisms out."""

from __future__ import annotations

import argparse
import contextlib
import io
import random
from typing import Any

import attrs
from behave import given, then, when

from bench import ablation
from egretspur import mechanisms
from egretspur.catalog import upstreams
from egretspur.routing import broker, jobs
from tests import fleets
from tests.steps import broker_steps


def parse(*args: str) -> mechanisms.Mechanisms:
    """Returns what a host started with these options uses."""
    parser = argparse.ArgumentParser()
    mechanisms.add_argument(parser)
    return mechanisms.make(parser.parse_args(args).without)


@then("a host started without options uses every mechanism")
def step_all(context: Any) -> None:
    assert all(attrs.astuple(parse()))


@then('a host started with each "--without" lacks that one alone')
def step_each(context: Any) -> None:
    for name in mechanisms.NAMES:
        found = attrs.asdict(parse("--without", name))
        assert [n for n, is_used in found.items() if not is_used] == [name]


@then("a host started without an unknown mechanism says what there is")
def step_unknown(context: Any) -> None:
    said = io.StringIO()
    with contextlib.redirect_stderr(said):
        try:
            parse("--without", "luck")
        except SystemExit as exc:
            assert exc.code == 2
    assert "silence" in said.getvalue(), said.getvalue()


@given('a broker without "{name}" and one with it, over two data centres')
def step_brokers(context: Any, name: str) -> None:
    entries = []
    for place in ("kl-hall", "pg-hall"):
        for engine, layers in broker_steps.CHAIN.items():
            entry = fleets.make_upstream(engine, layers, place)
            upstream_id = f"{engine}-{place}"
            entries.append(
                attrs.evolve(
                    entry,
                    id=upstream_id,
                    name=upstream_id,
                    address=f"{upstream_id}:80",
                )
            )
    context.brokers = []
    for using in (mechanisms.make([name]), mechanisms.ALL):
        state = broker.Broker("kl-hall", fleets.BUDGET, random.Random(7), using)
        state.configure(fleets.make_config())
        for entry in entries:
            upstreams.put_entry(state.fleet.roster, entry, 0.0)
        context.brokers.append(state)


@when("a request that runs near by has to leave an engine without a twin")
def step_leave(context: Any) -> None:
    context.detours = []
    for state in context.brokers:
        state.arrive(fleets.make_job("r"), 0.0)
        stalled = frozenset(["a100-1-kl-hall"])
        context.detours.append(state.reroute("r", stalled, 0.1))


@then("the one without sends its tokens over, the other one resumes it")
def step_detours(context: Any) -> None:
    without, whole = context.detours
    assert without.parts is not None and not without.is_ended
    assert any(p.id.endswith("pg-hall") for p in without.parts)
    assert whole == jobs.RerouteDecision(None, True)


@when("the commands for 2 sites, 1 day and 2 seeds are made")
def step_commands(context: Any) -> None:
    context.lines = list(
        ablation.make_commands(["a.toml", "b c.toml"], ["trouble-1"], [1, 2])
    )


@then("each mechanism is left out in a copy of its own, by 4 plays")
def step_copies(context: Any) -> None:
    for name in mechanisms.NAMES:
        folder = f"ablation/{name}"
        mine = [n for n in context.lines if folder in n]
        assert len(mine) == 6, mine
        assert f"--without {name}" in mine[1], mine
        assert sum("fleetbench run" in n for n in mine) == 4, mine
    assert "'b c.toml'" in context.lines[-1]
