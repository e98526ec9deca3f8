"""Steps that run the state machines."""

from __future__ import annotations

from typing import Any

from behave import then, when

from tests import fuzz
from tests.admission import machine as quarantine
from tests.admission import segments
from tests.catalog import copies, pages
from tests.catalog import machine as entries
from tests.claims import machine as claims
from tests.intents import machine as intents
from tests.membership import machine as membership
from tests.orders import machine as orders
from tests.routing import late, recovering
from tests.routing import machine as routing
from tests.tunnels import machine as tunnels

MACHINES: dict[str, Any] = {
    "entries": entries.EntriesMachine,
    "copies": copies.CopiesMachine,
    "pages": pages.PagesMachine,
    "claims": claims.ClaimsMachine,
    "intents": intents.IntentsMachine,
    "late": late.LateMachine,
    "recovering": recovering.RecoveringMachine,
    "lease": orders.LeaseMachine,
    "membership": membership.MembershipMachine,
    "quarantine": quarantine.QuarantineMachine,
    "routing": routing.RoutingMachine,
    "segments": segments.SegmentMachine,
    "tunnels": tunnels.TunnelMachine,
}


@when("the {name} machine runs {histories:d} histories of {steps:d} steps")
def step_run(context: Any, name: str, histories: int, steps: int) -> None:
    fuzz.run_machine(MACHINES[name], histories, steps)
    context.finished = True


@then("the oracle found nothing")
def step_found_nothing(context: Any) -> None:
    assert context.finished
