"""Steps on requests that end engines, at the routers of a data centre."""

from __future__ import annotations

from typing import Any

import attrs
from behave import given, then, when

from egretspur import errors, settings
from egretspur.admission import segments
from egretspur.intents import records
from egretspur.membership import actor as membership
from egretspur.membership import news as peers
from egretspur.routing import (
    dispatch,
    requests,
    tables,
)
from tests.routing import crashes
from tests.steps import decisions_steps


def make_router(incarnations: dict[str, str]) -> dispatch.Dispatcher:
    """Returns a router before single-stage engines and plain replicas."""
    engines = [n for n in incarnations if n.startswith("u")]
    dispatcher = decisions_steps.make_dispatcher(engines)
    update_router(dispatcher, incarnations, {}, 0.0)
    return dispatcher


def update_router(
    dispatcher: dispatch.Dispatcher,
    incarnations: dict[str, str],
    ended: dict[str, dict[str, float]],
    now_s: float,
) -> None:
    """Gives a router the list as it is now."""
    engines = [n for n in incarnations if n.startswith("u")]
    chains = tuple(
        records.Chain(n, (records.Stage(n, 0, 8),), 1.0) for n in engines
    )
    table = tables.RoutingTable(
        1,
        (records.Deployment("d", "m", "", "v", "dc", 8, chains),),
        (records.Binding("w", "m", ("d",), 5, 0),),
        {},
        tuple(
            tables.Upstream(
                n, n, i, "dc", False, "" if n in engines else "desk", 100.0, 9
            )
            for n, i in incarnations.items()
        ),
    )
    update = tables.RoutingUpdate(1, table, 1, {}, {}, (), 1, ended)
    dispatcher.update(update, now_s)


@given("a router before {count:d} engines")
def step_router(context: Any, count: int) -> None:
    context.starts = {f"u{i}": "1" for i in range(count)}
    context.router = make_router(context.starts)
    context.now_s = 1.0


@given("a router before {count:d} engines and a plain service")
def step_router_service(context: Any, count: int) -> None:
    context.starts = {f"u{i}": "1" for i in range(count)}
    context.starts |= {f"s{i}": "1" for i in range(3)}
    context.router = make_router(context.starts)
    context.now_s = 1.0


def run_prompt(context: Any, name: str) -> list[requests.Effect]:
    """Sends the prompt; cuts every attempt; returns the last effects."""
    context.now_s += 0.01
    arrival = requests.Arrival(name, "w", "m", crashes.FATAL)
    effects: list[requests.Effect] = context.router.arrive(
        arrival, context.now_s
    )
    while effects and isinstance(effects[0], requests.Grant):
        edge = effects[0].path.edges[0].upstream
        context.reached.append(edge)
        if len(context.reached) >= context.most:
            break
        effects = context.router.fail(make_cut(name, edge), context.now_s)
    return effects


def make_cut(name: str, upstream: str) -> requests.Failure:
    """Returns the failure of an attempt whose connection broke."""
    return requests.Failure(
        name, "reset", (upstream,), False, "", True, 0, is_cut=True
    )


@when("a prompt comes {times:d} times that ends each engine it is sent to")
def step_prompt(context: Any, times: int) -> None:
    context.reached = []
    context.most = 100
    for number in range(times):
        context.effects = run_prompt(context, f"p{number}")


@then("it reached {count:d} engines, and the last was refused as not run")
def step_prompt_reached(context: Any, count: int) -> None:
    assert len(context.reached) == count, context.reached
    (effect,) = context.effects
    assert effect.refusal.kind is errors.ErrorKind.QUARANTINED
    assert effect.refusal.answer.not_run


@when("the list shows other starts of those engines")
def step_other_starts(context: Any) -> None:
    context.now_s += 3.0
    context.starts.update(dict.fromkeys(context.reached, "2"))
    update_router(context.router, context.starts, {}, context.now_s)
    share_evidence(context)


def share_evidence(context: Any) -> None:
    """Has routers hear of each other what they know of segments."""
    routers = getattr(context, "routers", ())
    for router in routers:
        update_router(router, context.starts, {}, context.now_s)
    for router in routers:
        known = router.quarantine.make_evidence(context.now_s)
        for other in routers:
            other.quarantine.apply_evidence(known, context.now_s)


@then("its router tells others of {count:d} ends")
def step_tells(context: Any, count: int) -> None:
    context.told = context.router.list_crashes(context.now_s)
    assert len(context.told[crashes.FATAL]) == count, context.told


@then("another router that hears of them does not send it")
def step_other_router(context: Any) -> None:
    context.router = make_router(context.starts)
    update_router(context.router, context.starts, context.told, context.now_s)
    context.reached = []
    run_prompt(context, "p")
    assert not context.reached


@when("a prompt comes whose connections break {times:d} times")
def step_breaks(context: Any, times: int) -> None:
    context.reached = []
    context.most = 100
    run_prompt(context, "p")
    assert len(context.reached) == times


@when("the list shows the same starts for {seconds:g} s")
def step_same_starts(context: Any, seconds: float) -> None:
    context.now_s += seconds
    update_router(context.router, context.starts, {}, context.now_s)
    context.router.tick(context.now_s)


@then("it is sent again")
def step_sent_again(context: Any) -> None:
    before = len(context.reached)
    context.most = before + 1
    run_prompt(context, "again")
    assert len(context.reached) == before + 1


@when("a call ends {count:d} replicas, one after the other")
def step_call_ends(context: Any, count: int) -> None:
    for number in range(count):
        name = f"s{number}"
        context.router.note_call(name, "call", False, context.now_s)
        context.now_s += 3.0
        context.starts[name] = "2"
        update_router(context.router, context.starts, {}, context.now_s)


@then("it may not be sent, and other calls may")
def step_call_held(context: Any) -> None:
    assert context.router.quarantine.is_blocked("call")
    assert not context.router.quarantine.is_blocked("other")


@given(
    "{count:d} routers before {engines:d} engines that crash under the line"
    ' "{line}"'
)
def step_routers(context: Any, count: int, engines: int, line: str) -> None:
    context.starts = {f"u{i}": "1" for i in range(engines)}
    context.routers = [make_router(context.starts) for _ in range(count)]
    context.fatal = line
    context.now_s = 1.0
    context.reached = []


def send_prompt(context: Any, lines: str, number: int) -> list[Any]:
    """Sends a prompt like no other; its attempts crash or are answered."""
    router = context.routers[number % len(context.routers)]
    context.now_s += 0.1
    name = f"p{context.now_s:.1f}"
    arrival = requests.Arrival(name, "w", "m", name, tuple(lines.split(",")))
    effects: list[Any] = router.arrive(arrival, context.now_s)
    while effects and isinstance(effects[0], requests.Grant):
        edge = effects[0].path.edges[0].upstream
        if context.fatal not in lines:
            router.record_established(requests.Established(name), context.now_s)
            return effects
        context.reached.append(edge)
        context.now_s += 0.1
        failure = attrs.evolve(make_cut(name, edge), has_head=True)
        effects = router.fail(failure, context.now_s)
    return effects


@when(
    'prompts with the lines "{lines}" come at the routers in turn, {times:d}'
    " times"
)
def step_prompts(context: Any, lines: str, times: int) -> None:
    context.before = len(context.reached)
    for number in range(times):
        context.effects = send_prompt(context, lines, number)


@then(
    "at most {most:d} engines were reached, and the last prompt was refused as"
    " not run"
)
def step_prompts_reached(context: Any, most: int) -> None:
    assert 0 < len(context.reached) <= most, context.reached
    (effect,) = context.effects
    assert effect.refusal.kind is errors.ErrorKind.QUARANTINED
    assert effect.refusal.answer.not_run
    # The list of the next steps is that of the first router.
    context.router = context.routers[0]


@then("no further engine was reached")
def step_no_further(context: Any) -> None:
    assert len(context.reached) == context.before, context.reached


@then('a prompt with the lines "{lines}" is sent')
def step_prompt_sent(context: Any, lines: str) -> None:
    for number in range(len(context.routers)):
        (effect,) = send_prompt(context, lines, number)
        assert isinstance(effect, requests.Grant), effect


@then('a prompt "{text}" has {count:d} segments')
@then('a prompt "" has {count:d} segments')
def step_split(context: Any, count: int, text: str = "") -> None:
    found = segments.split_text("m", text.replace("/", "\n"))
    assert len(found) == count, found


# Control daemons.


@given("two control daemons that exchange entries")
def step_daemons(context: Any) -> None:
    context.members = [
        membership.MembershipActor(
            settings.NodeSettings(
                name=f"h{i}", data_centre="dc", listen="127.0.0.1:0"
            ),
            f"127.0.0.1:{i}",
            settings.PeerSettings(),
            1,
            membership.Events(lambda a, o: None, lambda: None),
        )
        for i in range(2)
    ]


def exchange(context: Any) -> None:
    """Has each tell the other."""
    first, second = context.members
    for sender, receiver in ((first, second), (second, first)):
        message = sender.handle(
            membership.Received(peers.GossipMessage("x", "", 0, ()), False)
        )
        receiver.handle(membership.Received(message, False))


@when("the router of the first reports {count:d} ends under a request")
def step_reports(context: Any, count: int) -> None:
    context.ends = {f"start-{i}": 1.0 for i in range(count)}
    added = membership.AddCrashes({crashes.FATAL: context.ends})
    context.members[0].handle(added)
    exchange(context)


@then("the other one tells its router of them")
def step_other_tells(context: Any) -> None:
    view = context.members[1].handle(membership.GetView())
    assert view.ended == {crashes.FATAL: context.ends}, view.ended


@when("the router of the other reports that it was answered")
def step_reports_answer(context: Any) -> None:
    context.members[1].handle(membership.AddCrashes({crashes.FATAL: {}}))
    exchange(context)
    # Its router has yet to hear of it.
    late = membership.AddCrashes({crashes.FATAL: context.ends})
    context.members[0].handle(late)
    exchange(context)


@then("neither tells of any end")
def step_tells_none(context: Any) -> None:
    for member in context.members:
        view = member.handle(membership.GetView())
        assert not any(view.ended.values()), view.ended


@when("the router of the first reports a crash under segments, and an answer")
def step_reports_evidence(context: Any) -> None:
    context.evidence = segments.Update(
        (segments.PublishedCrash("start", "req", ("s", "t"), True, 0.9, 0.5),),
        {"s": 0.25},
    )
    for _ in range(2):
        # A report repeats what was reported before.
        context.members[0].handle(membership.AddEvidence(context.evidence))
    exchange(context)


@then("the other one tells its router of both, with their ages")
def step_tells_evidence(context: Any) -> None:
    found = context.members[1].handle(membership.GetView()).evidence
    (crash,) = found.crashes
    (told,) = context.evidence.crashes
    assert crash.segments == told.segments and crash.start == told.start
    assert crash.has_head and crash.request == told.request
    ran_s = crash.sent_age_s - crash.cut_age_s
    assert abs(ran_s - 0.4) < 0.01, crash
    assert 0.5 <= crash.cut_age_s < 2.0, crash
    assert 0.25 <= found.answered["s"] < 2.0, found
