"""Steps on a host's figures."""

from __future__ import annotations

import logging
import threading
import time
from typing import Any

import attrs
from aioprometheus import renderer
from behave import given, then, when

from egretspur import decisions
from egretspur.daemons import duties, meters
from tests import stage


@given("the meters of a host that has just started")
def step_meters(context: Any) -> None:
    context.meters = meters.Meters()


@when("{count:d} requests are refused and the store answers once")
def step_refused(context: Any, count: int) -> None:
    refused = decisions.RequestRefused("r", "deadline", "test", 0.0, 0.1)
    record = logging.LogRecord("d", logging.INFO, "", 0, "", None, None)
    record.__dict__[decisions.EVENT_KEY] = "request_refused"
    record.__dict__.update(attrs.asdict(refused))
    for _ in range(count):
        context.meters.handle(record)
    context.meters.note_store_call(0.004)


@then("the metrics library is not loaded")
def step_not_loaded(context: Any) -> None:
    assert context.meters._loaded is None


@when("the metrics are read")
def step_asked(context: Any) -> None:
    body, _ = renderer.render(context.meters.collect(), [])
    context.figures = body.decode()


@then("they count {refusals:d} refusals and {calls:d} call to the store")
@then("they count {refusals:d} refusals and {calls:d} calls to the store")
def step_counted(context: Any, refusals: int, calls: int) -> None:
    figures = {}
    for line in context.figures.splitlines():
        if not line.startswith("#"):
            name, _, value = line.rpartition(" ")
            figures[name] = float(value)
    labels = '{cause="deadline",event="request_refused"}'
    assert figures[f"egretspur_decisions_total{labels}"] == refusals, figures
    assert figures["egretspur_store_call_seconds_count"] == calls, figures
    assert figures["egretspur_queue_wait_seconds_count"] == refusals, figures


@then("fewer than {count:d} samples are pending")
def step_wait(context: Any, count: int) -> None:
    stage.wait_until(
        lambda: len(context.meters._pending) < count, 10.0, "samples taken"
    )


@then('the thread "{thread}" has the duty "{duty}"')
def step_duty(context: Any, thread: str, duty: str) -> None:
    assert duties.get_duty(thread) == duty, duties.get_duty(thread)


@when('a thread named "{name}" uses the processor')
def step_busy(context: Any, name: str) -> None:
    ready, stop = threading.Event(), threading.Event()

    def use() -> None:
        while time.thread_time() < 0.05:
            pass
        ready.set()
        stop.wait()

    context.before = duties.read_cpu_seconds()
    thread = threading.Thread(target=use, name=name)
    thread.start()
    ready.wait()
    context.after = duties.read_cpu_seconds()
    stop.set()
    thread.join()


@then('more than half of the time since then is counted for "{duty}"')
def step_busy_told(context: Any, duty: str) -> None:
    used = {
        name: seconds - context.before.get(name, 0.0)
        for name, seconds in context.after.items()
    }
    assert used[duty] > 0.5 * sum(used.values()), used
