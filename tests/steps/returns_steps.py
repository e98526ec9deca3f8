"""Steps on the return times of refused callers."""

from __future__ import annotations

import logging
import random
import statistics
from typing import Any, Final

import attrs
from aioprometheus import renderer
from behave import given, then, when

from egretspur import decisions, errors, web
from egretspur.daemons import meters
from egretspur.routing import jobs, promises, returns, tickets
from tests import fleets
from tests.routing import returning

SERVICE: Final = "llm"
HOSTS: Final = 100


@when("{runs:d} runs of {hosts:d} hosts in {places:d} data centres have {what}")
def step_play(
    context: Any, runs: int, hosts: int, places: int, what: str
) -> None:
    worlds = [returning.World(hosts, places, seed) for seed in range(runs)]
    for world in worlds:
        world.play()
    back = [c for w in worlds for c in w.callers if len(c.refused) > 1]
    on_time = [c.refused[1] for c in back if not c.is_early]
    early = [c.refused[1] for c in back if c.is_early]
    context.on_time = statistics.fmean(on_time)
    context.early = statistics.fmean(early)
    context.idle = statistics.fmean(w.compute_idle_share() for w in worlds)
    print(
        f"{len(on_time)} on time {context.on_time:.4f},"
        f" {len(early)} early {context.early:.4f}, idle {context.idle:.4f}"
    )
    assert len(on_time) > 100 and len(early) > 30


@then("fewer than 5 in 100 of the callers that return on time are {what}")
def step_again(context: Any, what: str) -> None:
    assert context.on_time < 0.05, context.on_time


@then("callers that return early are refused at least as often")
def step_early(context: Any) -> None:
    assert context.early >= context.on_time, (context.early, context.on_time)


@then("less than 5 in 100 of the capacity is idle while callers are to return")
def step_idle(context: Any) -> None:
    assert context.idle < 0.05, context.idle


@given("a host that answers {rate:g} requests a second, one of 100")
@given("a host that answers {rate:g} request a second, one of 100")
def step_host(context: Any, rate: float) -> None:
    context.promises = promises.Promises("kl-hall")
    context.times = returns.ReturnTimes(context.promises, random.Random(5))
    context.now_s = 100.0
    for i in range(16 if rate else 0):
        at_s = context.now_s - (16 - i) / rate
        context.times.record_answer_start(SERVICE, at_s)


def refuse(
    context: Any, left_s: float = 20.0, priority: int = 1, is_full: bool = True
) -> float:
    """Refuses a caller; returns the time that it is told."""
    job = attrs.evolve(
        fleets.make_job("r"),
        priority=priority,
        deadline_s=context.now_s + left_s,
    )
    after_s: float = context.times.assign_delay_s(
        job, HOSTS, 0, is_full, context.now_s
    )
    return after_s


@when("{count:d} callers with {left:g} s left are refused")
def step_refuse(context: Any, count: int, left: float) -> None:
    context.told = [refuse(context, left) for _ in range(count)]


@then("they are told to return within {longest:g} s, at different times")
def step_within(context: Any, longest: float) -> None:
    assert all(0.0 <= t <= longest for t in context.told), context.told
    assert not longest or len(set(context.told)) == len(context.told)


@then("they are told to return after {low:g} to {high:g} s, at different times")
def step_spread(context: Any, low: float, high: float) -> None:
    assert all(low <= t <= high for t in context.told), context.told
    assert len(set(context.told)) == len(context.told)


@when("a caller is refused after failed attempts and nothing else is known")
def step_free(context: Any) -> None:
    context.told = [refuse(context, is_full=False)]


@then("it is told to return within {longest:g} s")
def step_soon(context: Any, longest: float) -> None:
    assert 0.0 < context.told[0] <= longest, context.told


@when("40 callers of priority 0 and 40 of priority 2 are refused in turn")
def step_urgent(context: Any) -> None:
    context.told = [
        (refuse(context, priority=0), refuse(context, priority=2))
        for _ in range(40)
    ]


@then("those of priority 0 are told earlier times on average")
def step_earlier(context: Any) -> None:
    first, second = zip(*context.told, strict=True)
    assert statistics.fmean(first) < statistics.fmean(second) - 0.2


@when("a peer has promised 30 callers the half second at 5 s")
def step_peer(context: Any) -> None:
    context.promises.apply_peer_returns(
        "10.0.0.2", "kl-hall", {SERVICE: [0] * 10 + [30]}, context.now_s
    )


@when("a caller with 20 s left is refused during an overload")
def step_overload(context: Any) -> None:
    context.told = [refuse(context)]


@then("it is told to return after more than {least:g} s")
def step_after(context: Any, least: float) -> None:
    assert context.told[0] > least, context.told


@when("the peer has been silent for 1 s")
def step_silent(context: Any) -> None:
    context.now_s += 1.0


@then("no promises are known but this host's own")
def step_own(context: Any) -> None:
    known = context.promises.count_by_slot(SERVICE, context.now_s)
    assert sum(known) == len(context.told), known


@when("two speakers of another data centre and a local peer publish 4 promises")
def step_speakers(context: Any) -> None:
    for host, place in (("9.1", "pg"), ("9.2", "pg"), ("0.2", "kl")):
        context.promises.apply_peer_returns(
            f"10.0.{host}", f"{place}-hall", {SERVICE: [1, 3]}, context.now_s
        )


@when("a peer publishes negative, huge, fractional and too many numbers")
def step_invalid(context: Any) -> None:
    for i, counts in enumerate(([1, -1], [10**9], [0.5], [1] * 13, [True])):
        context.promises.apply_peer_returns(
            f"10.0.0.{i}", "kl-hall", {SERVICE: counts}, context.now_s
        )


@then("{count:d} promises are known")
def step_known(context: Any, count: int) -> None:
    known = context.promises.count_by_slot(SERVICE, context.now_s)
    assert sum(known) == count, known


@then("the sum of this data centre has {count:d} promises")
def step_sum(context: Any, count: int) -> None:
    found = context.promises.sum_data_centre(context.now_s)
    assert found == {SERVICE: [1, 3]} and count == 4, found


def refuse_job(context: Any, number: int, name: str = "r") -> jobs.Job:
    """Refuses a request with a fingerprint; returns it."""
    job = attrs.evolve(fleets.make_job(name), fingerprint=f"f{number}")
    refusal = context.broker.refusals.make(
        tickets.Ticket(job), errors.ErrorKind.DEADLINE, "full", context.now_s
    )
    context.told_s = refusal.retry_after_s
    return job


@when("a request that finds no capacity is refused, and its caller {what}")
def step_back_early(context: Any, what: str) -> None:
    job = refuse_job(context, 0)
    context.now_s += context.told_s / 2
    context.broker.arrive(attrs.evolve(job, id="again"), context.now_s)
    context.notes = context.broker.take_notes()


@then("the log has its return as early, and the metrics count it")
def step_logged(context: Any) -> None:
    (found,) = [
        n for n in context.notes if isinstance(n, decisions.CallerReturned)
    ]
    assert found.request == "again" and found.is_early, found
    assert abs(found.came_s - found.told_s / 2) < 1e-6, found
    handler = meters.Meters()
    fields = {"msg": "", **decisions.describe(found)}
    handler.emit(logging.makeLogRecord(fields))
    text = renderer.render(handler.collect(), ["text/plain"])[0].decode()
    assert 'cause="True",event="caller_returned"} 1' in text, text
    assert "egretspur_caller_return_seconds_count 1" in text, text


@when("it is refused again")
def step_refused_again(context: Any) -> None:
    refuse_job(context, 0, "again")
    # Another caller's request with the same fingerprint.
    refuse_job(context, 0, "other")


@when("{count:d} requests are refused and all their callers return")
def step_many(context: Any, count: int) -> None:
    for job in [refuse_job(context, i) for i in range(count)]:
        context.broker.refusals.note_arrival(job, context.now_s + 9.0)


@then("{count:d} return is counted, of which {again:d} was refused again")
@then("{count:d} returns are counted, of which {again:d} were refused again")
def step_counted(context: Any, count: int, again: int) -> None:
    found = context.broker.refusals.return_counts
    assert (found.returned, found.refused_again) == (count, again), found


@then(
    "a retry time of {seconds:g} s with {decimals:d} decimals is sent as"
    ' "{text}"'
)
def step_sent(context: Any, seconds: float, decimals: int, text: str) -> None:
    refusal = errors.Refusal(errors.ErrorKind.QUEUE_FULL, "full", seconds)
    res = web.reply_refusal(refusal, decimals)
    assert res.headers["Retry-After"] == text, res.headers
