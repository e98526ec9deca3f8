"""Steps on the fault soak."""

from __future__ import annotations

from typing import Any

from behave import then, when

from tests import asking, soak


def make_answer(path: str, status: int, ids: str, echoed: str) -> soak.Answer:
    """Returns an answer of request ``r`` with events of these ids."""
    body = "".join(f"id: {i}\n\n" for i in ids).encode()
    return soak.Answer("r", path, "127.0.0.1", status, body, echoed)


@when(
    'a request to "{path}" is answered {status:d} with "{ids}" after {runs:d}'
    " runs"
)
@when(
    'a request to "{path}" is answered {status:d} with "" after {runs:d} runs'
)
def step_answered(
    context: Any, path: str, status: int, runs: int, ids: str = ""
) -> None:
    context.found = soak.check(make_answer(path, status, ids, "r"), runs)


@when("a request gets the answer of another one")
def step_other(context: Any) -> None:
    answer = make_answer("/notes/x", 200, "12345", "q")
    context.found = soak.check(answer, 1)


@then('the soak says "{finding}"')
@then('the soak says ""')
def step_says(context: Any, finding: str = "") -> None:
    assert finding in context.found, context.found
    assert bool(finding) == bool(context.found), context.found


@when(
    "a site of {hosts:d} hosts is soaked for {seconds:d} s with seed {seed:d}"
)
def step_soaked(context: Any, hosts: int, seconds: int, seed: int) -> None:
    context.soak, context.found = soak.run(seed, seconds, hosts)


@when(
    "a site of {hosts:d} hosts at one address is soaked for {seconds:d} s with"
    " seed {seed:d}"
)
def step_soaked_address(
    context: Any, hosts: int, seconds: int, seed: int
) -> None:
    context.soak, context.found = soak.run(
        seed, seconds, hosts, shares_address=True
    )


@then("no fault is found, and answers of each kind arrived")
def step_nothing(context: Any) -> None:
    assert not context.found, context.found
    whole = {a.path for a in context.soak.answers if a.status == 200}
    assert whole == set(soak.PATHS), whole
    assert context.soak.faults, "no fault was made"


@when(
    "a site of {hosts:d} hosts is soaked for {seconds:d} s with seed {seed:d},"
    " and hosts that are cut off"
)
def step_soaked_links(
    context: Any, hosts: int, seconds: int, seed: int
) -> None:
    context.soak, context.found = soak.run(
        seed, seconds, hosts, extras=["links"]
    )


@then("hosts were cut off")
def step_were_cut_off(context: Any) -> None:
    assert any(n in soak.LINKS for n in context.soak.faults)


@when(
    "a site of {hosts:d} hosts is soaked for {seconds:d} s with seed {seed:d},"
    " and a request that crashes engines"
)
def step_soaked_fatal(
    context: Any, hosts: int, seconds: int, seed: int
) -> None:
    context.soak, context.found = soak.run(seed, seconds, hosts, True)


@when(
    "a site of {hosts:d} hosts is soaked for {seconds:d} s with seed {seed:d},"
    " and copies of the store"
)
def step_soaked_copies(
    context: Any, hosts: int, seconds: int, seed: int
) -> None:
    context.soak, context.found = soak.run(
        seed, seconds, hosts, extras=["copies"]
    )


@when(
    "a site of {hosts:d} hosts is soaked for {seconds:d} s with seed {seed:d},"
    " and engines that stand still"
)
def step_soaked_stalls(
    context: Any, hosts: int, seconds: int, seed: int
) -> None:
    context.soak, context.found = soak.run(
        seed, seconds, hosts, extras=["stalls"]
    )


@when(
    "a site of {hosts:d} hosts is soaked for {seconds:d} s with seed {seed:d},"
    " and upstreams that read nothing"
)
def step_soaked_held(context: Any, hosts: int, seconds: int, seed: int) -> None:
    context.soak, context.found = soak.run(
        seed, seconds, hosts, extras=["held"]
    )


@then("upstreams read nothing")
def step_read_nothing(context: Any) -> None:
    assert set(context.soak.faults) & set(soak.HELD)


@then("engines stood still")
def step_stood_still(context: Any) -> None:
    assert any(n in soak.STALLS for n in context.soak.faults)


@then("the store was replaced by copies")
def step_copies(context: Any) -> None:
    assert any(n.startswith("store_copy") for n in context.soak.faults)


@then("engines crashed under it")
def step_ended(context: Any) -> None:
    runs = context.soak.count_runs()
    assert any(runs[i] for i in context.soak.fatal)


@when("it was sent at {times} s and started {runs} times")
def step_sent_at(context: Any, times: str, runs: str) -> None:
    sent = {f"f{i}": float(t) for i, t in enumerate(times.split(", "))}
    begun = {f"f{i}": int(n) for i, n in enumerate(runs.split())}
    context.late = soak.count_late(sent, begun)


@then("the soak counts {late:d} beyond the bound")
def step_late(context: Any, late: int) -> None:
    assert context.late == late, context.late


@when(
    "a site of {hosts:d} hosts is soaked for {seconds:d} s with seed {seed:d},"
    " and upstreams that send throttling headers"
)
def step_soaked_asking(
    context: Any, hosts: int, seconds: int, seed: int
) -> None:
    context.soak, context.found = soak.run(
        seed, seconds, hosts, extras=["asking"]
    )


@then("upstreams sent throttling headers")
def step_asked(context: Any) -> None:
    assert set(context.soak.faults) & set(soak.ASKING)


@when('an upstream that sends "{wish}" gets requests of two hosts at {times} s')
def step_came(context: Any, wish: str, times: str) -> None:
    name, _, value = wish.partition(" ")
    came = [
        asking.Arrival(t[-1], float(t[:-1]), {name: value})
        for t in times.split()
    ]
    calm: dict[str, list[float]] = {"a": [], "b": []}
    context.found = asking.find_violations("one", came, calm)


@then('the soak finds "{finding}"')
@then('the soak finds ""')
def step_finds(context: Any, finding: str = "") -> None:
    assert bool(context.found) == bool(finding), context.found
    assert finding in "".join(context.found), context.found
