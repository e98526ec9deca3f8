"""Steps on the retries of hosts that run as processes."""

from __future__ import annotations

from typing import Any, Final

from behave import given, then, when

from tests import histories, retrying, sites

# Engines, and plain replicas, of a small site.
UPSTREAMS: Final = 4


def start(context: Any, *args: Any, **options: Any) -> None:
    """Starts a site as `retrying.start` does, closed with the scenario."""
    context.retrying = retrying.start(*args, **options)
    context.add_cleanup(context.retrying.close)


@given(
    "a site of {hosts:d} hosts, with {per_s:d} requests a second and"
    " {allowance:d} retries allowed"
)
def step_site(context: Any, hosts: int, per_s: int, allowance: int) -> None:
    start(context, hosts, UPSTREAMS, per_s, allowance)


@given(
    "a site of {hosts:d} hosts and {engines:d} engines that hold all layers,"
    " with {per_s:d} requests a second and {allowance:d} retries allowed"
)
def step_single_engines(
    context: Any, hosts: int, engines: int, per_s: int, allowance: int
) -> None:
    start(
        context,
        hosts,
        engines,
        per_s,
        allowance,
        engine_mb=retrying.SINGLE_ENGINE_MB,
    )


@given(
    "a site of {hosts:d} hosts and {replicas:d} plain replicas, with {per_s:d}"
    " requests a second and {allowance:d} retries allowed"
)
def step_few_replicas(
    context: Any, hosts: int, replicas: int, per_s: int, allowance: int
) -> None:
    start(
        context,
        hosts,
        UPSTREAMS,
        per_s,
        allowance,
        max_attempts=sites.MAX_ATTEMPTS,
        replicas=replicas,
    )


@given("hosts that start again with the settings of their first start")
def step_keep_settings(context: Any) -> None:
    context.retrying.site.keeps_settings = True


@given("callers that wait for {seconds:g} s")
def step_patience(context: Any, seconds: float) -> None:
    context.retrying.callers.patience_s = seconds


def play(context: Any, history: str) -> None:
    """Plays a history; keeps the worst window of each service."""
    context.windows = context.retrying.run(history)


for _history in histories.HISTORIES:
    when(_history)(lambda context, history=_history: play(context, history))


@then("no window of a service has more retries than allowed")
def step_within_budget(context: Any) -> None:
    assert all(w.sent for w in context.windows.values()), context.windows
    assert all(w.use <= 1.0 for w in context.windows.values()), context.windows


@then("no request reaches more upstreams than allowed")
def step_within_attempts(context: Any) -> None:
    assert context.retrying.count_over_limit() == 0


@then("few late retries are handed more time than is left")
def step_within_time(context: Any) -> None:
    late = context.retrying.count_late_retries()
    assert late.is_allowed, late


@then("few retries are ended while their callers wait")
def step_not_cut(context: Any) -> None:
    cut = context.retrying.count_cut_retries()
    assert cut.is_allowed, cut


@given(
    "a site of {hosts:d} hosts at one address in {places}, with {per_s:d}"
    " requests a second and {allowance:d} retries allowed"
)
def step_one_address(
    context: Any, hosts: int, places: str, per_s: int, allowance: int
) -> None:
    start(
        context,
        hosts,
        UPSTREAMS,
        per_s,
        allowance,
        far=2 if places == "three data centres" else 0,
        shares_address=True,
    )


@then("at least a third of the retries that are allowed are sent")
def step_used(context: Any) -> None:
    assert all(3 * w.use >= 1.0 for w in context.windows.values()), (
        context.windows
    )


@then("each host shares the retry budget with the {others:d} others")
def step_shares(context: Any, others: int) -> None:
    site = context.retrying.site
    counts = [sites.read_state(site, host)["hosts"] for host in site.hosts]
    assert counts == [1 + others] * len(site.hosts), counts
