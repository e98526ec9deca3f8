"""Steps on pure decisions: dispatch, admission, placement."""

from __future__ import annotations

import random
from typing import Any

import attrs
from behave import given, then, when

from bench import worlds
from egretspur import errors, settings
from egretspur.admission import limits
from egretspur.admission import queue as queues
from egretspur.intents import records
from egretspur.intents import state as states
from egretspur.placement import planner, split
from egretspur.routing import dispatch, graph, loads, requests, tables

SLOTS = 1000


def make_dispatcher(names: list[str]) -> dispatch.Dispatcher:
    """Returns a dispatcher before single-stage upstreams."""
    dispatcher = dispatch.Dispatcher(
        "r1",
        "dc",
        settings.LimitSettings(),
        settings.TimingSettings(),
        settings.RetrySettings(),
        random.Random(5),
    )
    deployment = records.Deployment(
        "d",
        "m",
        "",
        "v",
        "dc",
        8,
        tuple(records.Chain(n, (records.Stage(n, 0, 8),), 1.0) for n in names),
    )
    table = tables.RoutingTable(
        1,
        (deployment,),
        (records.Binding("w", "m", ("d",), 5, 0),),
        {},
        tuple(
            tables.Upstream(n, n, "1", "dc", False, "", 100.0, SLOTS)
            for n in names
        ),
    )
    update = tables.RoutingUpdate(1, table, 1, {}, {}, (), 1)
    dispatcher.update(update, 0.0)
    return dispatcher


def get_upstream(effects: list[requests.Effect]) -> str:
    """Returns the upstream of a grant; empty if there is none."""
    for effect in effects:
        if isinstance(effect, requests.Grant):
            return effect.path.edges[0].upstream
    return ""


@given("{count:d} upstreams of which {broken:d} break every attempt")
def step_half(context: Any, count: int, broken: int) -> None:
    context.names = [f"u{i}" for i in range(count)]
    context.broken = set(context.names[:broken])
    context.dispatcher = make_dispatcher(context.names)


@when("{count:d} requests arrive at {rate:d} a second")
def step_arrive(context: Any, count: int, rate: int) -> None:
    for number in range(count):
        now = 1.0 + number / rate
        name = f"q{number}"
        context.dispatcher.tick(now)
        effects = context.dispatcher.arrive(
            requests.Arrival(name, "w", "m"), now
        )
        while (upstream := get_upstream(effects)) in context.broken:
            failure = requests.Failure(
                name, "reset", (upstream,), False, "", True, 0
            )
            effects = context.dispatcher.fail(failure, now)
        context.dispatcher.finish(name, now)


@then("attempts per request are at most {bound:g}")
def step_attempts(context: Any, bound: float) -> None:
    counts = context.dispatcher.counts
    assert counts.attempts / counts.arrived <= bound, counts


@given(
    "{count:d} upstreams with {busy:d} requests each, one of which has just"
    " recovered"
)
def step_back(context: Any, count: int, busy: int) -> None:
    context.names = [f"u{i}" for i in range(count)]
    context.dispatcher = make_dispatcher(context.names)
    for name in context.names[1:]:
        context.dispatcher.network.loads[name].others = busy
        context.dispatcher.network.loads[name].reported_at_s = 10.0
    back = context.dispatcher.network.loads["u0"]
    loads.note_failure(back, 5.0, random.Random(1), is_attributed=True)
    loads.note_success(back, 10.0)


@when("{count:d} requests arrive within {seconds:g} s")
def step_burst(context: Any, count: int, seconds: float) -> None:
    context.count = count
    context.got = send_burst(context, count, 10.0, seconds, "a")


def send_burst(
    context: Any, count: int, start_s: float, seconds: float, prefix: str
) -> int:
    """Sends requests; returns how many the first upstream got."""
    got = 0
    for number in range(count):
        now = start_s + seconds * number / count
        arrival = requests.Arrival(f"{prefix}{number}", "w", "m")
        got += get_upstream(context.dispatcher.arrive(arrival, now)) == "u0"
    return got


@then("the recovered one gets at most {bound:d} of them")
def step_spared(context: Any, bound: int) -> None:
    assert context.got <= bound, context.got


@then("{seconds:d} s later it gets its share again")
def step_share(context: Any, seconds: int) -> None:
    for number in range(context.count):
        context.dispatcher.finish(f"a{number}", 10.0 + seconds)
    got = send_burst(context, 80, 10.0 + seconds, 0.2, "b")
    assert got >= 80 / 8 * 0.6, got


@given("two chains of two stages of equal speed")
def step_two_chains(context: Any) -> None:
    deployment = worlds.make_deployment(0, 2, 2)
    names = [s.upstream for c in deployment.chains for s in c.stages]
    context.graph = graph.Graph(
        "d",
        worlds.LAYERS,
        [deployment],
        dict.fromkeys(names, 100.0),
        lambda name: True,
    )
    context.links = {}
    context.slow = ("u0-0-0", "u0-0-1")
    context.ways = [
        (a, b) for a in ("u0-0-0", "u0-1-0") for b in ("u0-0-1", "u0-1-1")
    ]
    context.now = 0.0
    observe(context, 0.05, 2)


def observe(context: Any, slow_s: float, rounds: int) -> None:
    """Lets streams over all ways report their time per token."""
    for _ in range(rounds):
        context.now += 1.0
        for way in context.ways:
            token_s = slow_s if way == context.slow else 0.05
            for key in (("", way[0]), way):
                link = context.links.setdefault(key, loads.LinkSpeed())
                loads.note_speed(link, token_s, context.now)


@when(
    "streams over the link of the first chain take ten times as long for"
    " {seconds:d} s"
)
def step_slow(context: Any, seconds: int) -> None:
    observe(context, 0.5, seconds)


@when("streams over it are as fast as before")
def step_fast(context: Any) -> None:
    observe(context, 0.05, 1)


def count_share(context: Any, now_s: float) -> float:
    """Returns how many in 100 choices go over the slow link, as work grows."""
    names = {n for way in context.ways for n in way}
    upstreams = {n: loads.UpstreamLoad(0) for n in names}
    known = graph.NetworkState(upstreams, context.links, now_s)
    rng = random.Random(3)
    hits = 0
    for _ in range(1000):
        path = graph.choose_path(context.graph, known, rng)
        assert path is not None
        for edge in path.edges:
            upstreams[edge.upstream].own += 1
        way = (path.edges[0].upstream, path.edges[1].upstream)
        hits += way == context.slow
    return hits / 10


@then("at most {bound:d} in 100 choices go over that link")
def step_few(context: Any, bound: int) -> None:
    share = count_share(context, context.now)
    assert share <= bound, share


@then("at least {bound:d} in 100 choices go over that link")
def step_many(context: Any, bound: int) -> None:
    share = count_share(context, context.now)
    assert share >= bound, share


@then(
    "after {seconds:d} s without samples at least {bound:d} in 100 choices go"
    " over that link"
)
def step_forgiven(context: Any, seconds: int, bound: int) -> None:
    share = count_share(context, context.now + seconds)
    assert share >= bound, share


@given(
    "an upstream that reported {others:d} requests of others {age:d} s ago and"
    " runs {own:d} of ours"
)
def step_reported(context: Any, others: int, age: int, own: int) -> None:
    context.load = loads.UpstreamLoad(SLOTS, own=own)
    loads.note_report(context.load, others + own, 100.0 - age)


@then("its load is estimated at {estimate:g}")
def step_estimate(context: Any, estimate: float) -> None:
    assert abs(context.load.estimate(100.0) - estimate) < 0.05


def make_waiting(
    number: int, workspace: str, priority: int, deadline_s: float = 1e9
) -> queues.Waiting:
    """Returns a waiting request."""
    return queues.Waiting(
        f"{workspace}{number}", workspace, "g", priority, number, deadline_s
    )


@given(
    'a queue with {many:d} requests of "{first}" and then {few:d} of "{second}"'
)
def step_queue(
    context: Any, many: int, first: str, few: int, second: str
) -> None:
    context.queue = queues.Queue(100)
    for number in range(many + few):
        name = first if number < many else second
        queues.enqueue(context.queue, make_waiting(number, name, 5), 0.0)


@given(
    "a queue with {many:d} requests of priority {high:d} and then {few:d} of"
    " priority {low:d}"
)
def step_priorities(
    context: Any, many: int, high: int, few: int, low: int
) -> None:
    context.queue = queues.Queue(100)
    item = make_waiting(0, "low", low)
    queues.enqueue(context.queue, attrs.evolve(item, arrived_s=-1.0), 0.0)
    for number in range(many):
        queues.enqueue(context.queue, make_waiting(number, "high", high), 0.0)


@when("{count:d} requests are started")
def step_start(context: Any, count: int) -> None:
    context.started = []
    for _ in range(count):
        item = queues.list_candidates(context.queue, lambda w: False)[0]
        queues.start(context.queue, item)
        context.started.append(item)


@then('both of "{name}" are among them')
def step_among(context: Any, name: str) -> None:
    found = [w for w in context.started if w.workspace == name]
    assert len(found) == 2, context.started


@then(
    "{many:d} of priority {high:d} and {few:d} of priority {low:d} are among"
    " them"
)
def step_mixed(context: Any, many: int, high: int, few: int, low: int) -> None:
    found = [w.priority for w in context.started]
    assert found.count(high) == many and found.count(low) == few, found


@given("a full queue of {count:d} requests of priority {priority:d}")
def step_full(context: Any, count: int, priority: int) -> None:
    context.queue = queues.Queue(count)
    for number in range(count):
        queues.enqueue(context.queue, make_waiting(number, "a", priority), 0.0)


@when("a request of priority {priority:d} is offered")
def step_offer(context: Any, priority: int) -> None:
    item = make_waiting(99, f"p{priority}", priority)
    context.offered = queues.enqueue(context.queue, item, 0.0)


@then("it is queued and one of priority {priority:d} gives way")
def step_gives_way(context: Any, priority: int) -> None:
    assert isinstance(context.offered, queues.Queued), context.offered
    evicted = context.offered.evicted
    assert evicted is not None and evicted.priority == priority


@given("a queue that starts {rate:d} requests a second and holds {count:d}")
def step_rate(context: Any, rate: int, count: int) -> None:
    context.queue = queues.Queue(100)
    for number in range(20):
        queues.record_finish(context.queue, "g", number / rate)
    for number in range(count):
        queues.enqueue(context.queue, make_waiting(number, "a", 5), 10.0)


@when("a request with a deadline in {seconds:d} s is offered")
def step_deadline(context: Any, seconds: int) -> None:
    item = make_waiting(99, "a", 5, deadline_s=10.0 + seconds)
    context.offered = queues.enqueue(context.queue, item, 10.0)


@given('a full queue of {count:d} requests of "{name}" and one of "{other}"')
def step_full_of(context: Any, count: int, name: str, other: str) -> None:
    context.queue = queues.Queue(count + 1)
    for number in range(count):
        queues.enqueue(context.queue, make_waiting(number, name, 5), 0.0)
    queues.enqueue(context.queue, make_waiting(0, other, 5), 0.0)


@when('a request of "{name}" is offered')
def step_offer_of(context: Any, name: str) -> None:
    item = make_waiting(99, name, 5)
    context.offered = queues.enqueue(context.queue, item, 0.0)


@then('it is queued and the newest of "{name}" gives way')
def step_newest(context: Any, name: str) -> None:
    evicted = context.offered.evicted
    assert evicted is not None and evicted.workspace == name, evicted
    assert evicted.arrived_s == 4, evicted


@given('{count:d} requests of "{name}" wait, {pause:g} s between two ends')
def step_wait(context: Any, count: int, name: str, pause: float) -> None:
    context.queue = queues.Queue(100)
    for number in range(20):
        queues.record_finish(context.queue, "g", number * pause)
    for number in range(count):
        item = make_waiting(number, name, 5, deadline_s=10.0)
        context.queue.waiting[item.id] = item


@then("those that can't start by their deadline are told at once")
def step_told(context: Any) -> None:
    late = queues.expire(context.queue, 0.0)
    assert {w.arrived_s for w in late} == {8, 7, 6, 5}, late


@then('it is refused as "{kind}"')
@then('it is refused as "{kind}" with a time to come back')
def step_refused(context: Any, kind: str) -> None:
    assert isinstance(context.offered, errors.Refusal), context.offered
    assert context.offered.kind.value == kind
    assert context.offered.retry_after_s > 0


@given("a limit of {limit:d} and {listed:d} routers listed")
def step_limit(context: Any, limit: int, listed: int) -> None:
    context.limit, context.listed = limit, listed


@when('the demand is "{demand}" and news are {news}')
def step_demand(context: Any, demand: str, news: str) -> None:
    wanted = {k: int(v) for k, v in (d.split("=") for d in demand.split())}
    context.shares = {
        name: limits.compute_share(
            context.limit,
            name,
            wanted,
            context.listed,
            has_current_peers=news != "stale",
            settled=news != "early",
        )
        for name in wanted
    }


@then('the shares are "{shares}"')
def step_shares(context: Any, shares: str) -> None:
    wanted = {k: int(v) for k, v in (d.split("=") for d in shares.split())}
    assert context.shares == wanted, context.shares
    assert sum(wanted.values()) <= context.limit


@given('machines with speed and room "{machines}"')
def step_machines(context: Any, machines: str) -> None:
    pairs = [m.split(":") for m in machines.split()]
    context.machines = [
        split.Machine(f"m{i}", "r", "k", int(room), float(speed), 1e9)
        for i, (speed, room) in enumerate(pairs)
    ]


@given("a link of the second that carries {rate:d} tokens/s")
def step_link(context: Any, rate: int) -> None:
    context.machines[1] = attrs.evolve(
        context.machines[1], link_tokens_per_s=float(rate)
    )


@when("{layers:d} layers are split")
def step_split(context: Any, layers: int) -> None:
    context.split = split.split_layers(context.machines, layers)
    context.even = split.split_evenly(context.machines, layers)


@then('the layers are "{counts}" at {rate:g} tokens/s, even split {even:g}')
def step_counts(context: Any, counts: str, rate: float, even: float) -> None:
    if counts == "none":
        assert context.split is None and context.even is None
        return
    assert context.split.counts == tuple(int(c) for c in counts.split())
    assert abs(context.split.tokens_per_s - rate) < 0.05, context.split
    assert abs(context.even.tokens_per_s - even) < 0.05, context.even


@then("the chain runs at {rate:g} tokens/s")
def step_rate_of_chain(context: Any, rate: float) -> None:
    assert context.split.tokens_per_s == rate


@given("{racks:d} racks with {count:d} equal hosts each")
def step_racks(context: Any, racks: int, count: int) -> None:
    context.hosts = tuple(
        attrs.evolve(
            worlds.make_host(f"h{r}-{i}", 0),
            rack=f"rack{r}",
            memory_bytes=16_000_000,
        )
        for r in range(racks)
        for i in range(count)
    )


def plan(
    context: Any, state: states.State, workspace: str, chains: int, racks: int
) -> planner.Draft:
    """Returns the plan for an intent."""
    intent = records.Intent(
        f"i-{workspace}", workspace, "m", "", "v1", ("dc",), 5, chains, 0, racks
    )
    inputs = planner.Inputs(state, intent, worlds.make_spec("m"), context.hosts)
    return planner.make_plan(inputs, f"p-{workspace}")


@when("an intent asks for {chains:d} chains over {racks:d} racks")
def step_intent(context: Any, chains: int, racks: int) -> None:
    context.draft = plan(context, states.State(), "w", chains, racks)


@then("the chains stand in {count:d} racks and the plan has nothing unmet")
def step_stand(context: Any, count: int) -> None:
    chains = context.draft.deployments[0].chains
    racks = {c.stages[0].upstream.partition("-")[0] for c in chains}
    assert len(racks) == count, chains
    assert context.draft.findings.unmet == ()


@then('the plan has {count:d} chains and says "{text}"')
def step_says(context: Any, count: int, text: str) -> None:
    assert len(context.draft.deployments[0].chains) == count
    assert any(text in u for u in context.draft.findings.unmet)


@when("two workspaces ask for the same model")
def step_two(context: Any) -> None:
    state = states.State(offset=5)
    first = plan(context, state, "first", 2, 1)
    for deployment in first.deployments:
        state.deployments[deployment.id] = deployment
    state.bindings["binding/first/m"] = first.binding
    context.draft = plan(context, state, "second", 2, 1)


@then("the second plan loads nothing and names the first as sharing")
def step_shares_first(context: Any) -> None:
    assert context.draft.deployments == ()
    assert context.draft.binding.deployments == ("p-first.dc",)
    assert "first" in context.draft.findings.worse[0]
