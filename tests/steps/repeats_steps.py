"""Steps on a host process whose retry budget is empty."""

from __future__ import annotations

import json
import time
from typing import Any

import urllib3
from behave import given, then, when

from tests import sites
from tests.steps import host_steps


@given("a site whose host has an empty retry budget")
def step_site(context: Any) -> None:
    context.play = sites.start_site(
        1, retry_budget_ratio=0.0, retry_allowance=0
    )


@when(
    "a caller sends {times:d} requests on one connection, and each run is cut"
)
def step_ask(context: Any, times: int) -> None:
    context.pool = urllib3.HTTPConnectionPool(
        "127.0.0.1", context.play.ports["frontend"], retries=False, timeout=5.0
    )
    context.times = times
    context.answers = []


@when("a new configuration comes after the third")
def step_configure(context: Any) -> None:
    for i in range(context.times):
        host_steps.set_faults(context, "e", cut_after=0)
        if i == 3:
            cfg = sites.make_config(["key-1"], 9)
            context.play.write("keyed.op", "config", cfg)
        context.answers.append(
            context.pool.request(
                "POST",
                "/notes/x",
                body=b"{}",
                headers={
                    "Host": sites.HOST,
                    "Attempt-Id": f"a{time.monotonic_ns()}",
                    "Token-Usage": "20,20",
                    "Deadline-Ms": "4000",
                    "Authorization": "Bearer key-1",
                },
            )
        )


@then("each answer is a complete 502, and the connection was kept")
def step_whole(context: Any) -> None:
    for res in context.answers:
        assert res.status == 502, (res.status, res.data)
        kind = json.loads(res.data)["error"]["kind"]
        assert kind == "upstream_failed", res.data
    assert context.pool.num_connections == 1, context.pool.num_connections
