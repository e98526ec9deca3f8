"""Steps on attempts that run beside silent ones."""

from __future__ import annotations

import time
from typing import Any

import attrs
from behave import given, then, when

from egretspur.delivery import handover, sending
from egretspur.routing import desk, jobs
from tests import fleets
from tests.steps import forward_steps


@attrs.define
class EndingDesk:
    """A desk at which the silent attempt ends as another one is chosen."""

    # Attempts that are chosen before that.
    before: int
    run: handover.Handover | None = None
    adopted: list[jobs.Start | None] = attrs.Factory(list)
    told: list[Any] = attrs.Factory(list)

    def start_handover(self, job_id: str, is_lost: bool) -> jobs.Start:
        """Chooses an attempt; see `desk.Desk.start_handover`."""
        assert self.run is not None
        if not self.before:
            self.adopted.append(self.run.adopt())
        self.before -= 1
        entry = fleets.make_upstream("a100-0", "0-25")
        return jobs.Start(job_id, entry, ())

    def tell(self, message: Any) -> None:
        """Takes a message."""
        self.told.append(message)


@given("a handover that is choosing its attempt first")
def step_first(context: Any) -> None:
    make(context, 0)


@given("a handover that is choosing its attempt after a refusal")
def step_refused(context: Any) -> None:
    make(context, 1)


def make(context: Any, before: int) -> None:
    """Makes a handover whose first attempts are refused."""
    refusal = sending.AttemptFailure(jobs.FailureKind.REFUSED, "test")
    scripts = [forward_steps.Script([], refusal=refusal)] * before
    context.sends = forward_steps.FakeUpstreams(scripts)
    context.desk = EndingDesk(before)
    context.before = before
    context.desk.run = context.run = handover.Handover(
        sending.Call("r", "POST", "/x/", {}, b"", ""),
        fleets.make_job("r", now_s=time.monotonic()),
        context.desk,
        context.sends,
        "4",
        4,
        False,
        lambda other: False,
    )


@when("the silent attempt ends meanwhile")
def step_ends(context: Any) -> None:
    context.run.start()
    assert context.run.ended.wait(5.0)


@then("nothing more is sent for it, and the desk learns that it was not")
def step_not_sent(context: Any) -> None:
    assert context.desk.adopted == [None], context.desk.adopted
    assert len(context.sends.starts) == context.before, context.sends.starts
    last = context.desk.told[-1]
    assert last == desk.DropHandover("r", None, is_sent=False), last
