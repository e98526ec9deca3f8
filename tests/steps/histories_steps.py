"""Steps on random histories of requests before one broker."""

from __future__ import annotations

import random
from typing import Any

import attrs
from behave import then, when

from egretspur import errors
from egretspur.routing import broker, jobs
from tests import fleets, fuzz
from tests.steps import broker_steps

HISTORIES = 400 if fuzz.IS_LONG else 60


@attrs.define
class Oracle:
    """What must hold of each request, kept apart from the broker."""

    state: broker.Broker
    kinds: dict[str, str] = attrs.Factory(dict)
    runs: dict[str, int] = attrs.Factory(dict)
    # Requests whose last question has an answer, and where they are.
    at: dict[str, jobs.Start] = attrs.Factory(dict)
    waiting: set[str] = attrs.Factory(set)
    over: set[str] = attrs.Factory(set)

    def take(self, effects: list[jobs.Effect]) -> None:
        """Checks each decision against what is allowed."""
        for effect in effects:
            assert effect.id in self.waiting, f"{effect.id} did not ask"
            self.waiting.discard(effect.id)
            if isinstance(effect, jobs.Start):
                self.at[effect.id] = effect
                continue
            if errors.ANSWERS[effect.refusal.kind].not_run:
                assert not self.runs[effect.id], effect
            self.over.add(effect.id)


def play_history(rng: random.Random, steps: int) -> None:
    """Plays one history and checks it."""
    chain = [
        fleets.make_upstream(n, layers)
        for n, layers in broker_steps.CHAIN.items()
    ]
    more = [fleets.make_upstream(n) for n in ("app-0", "app-1")]
    more.append(fleets.make_upstream("l40s-9", "20-40"))
    oracle = Oracle(fleets.make_broker([*chain, *more]))
    now_s = 0.0
    for i in range(steps):
        now_s += rng.expovariate(20.0)
        choice = rng.random()
        if choice < 0.45:
            kind = rng.choice(["streaming", "idempotent", "non_idempotent"])
            name = f"r{i}"
            oracle.kinds[name], oracle.runs[name] = kind, 0
            oracle.waiting.add(name)
            job = fleets.make_job(name, kind, rng.uniform(100, 9000), now_s)
            oracle.take(oracle.state.arrive(job, now_s))
        elif choice < 0.65 and oracle.at:
            fail_one(oracle, rng, now_s)
        elif choice < 0.9 and oracle.at:
            name = rng.choice(sorted(oracle.at))
            oracle.at.pop(name)
            oracle.over.add(name)
            oracle.take(oracle.state.finish(name, now_s))
        else:
            oracle.take(oracle.state.tick(now_s))
            for entry in oracle.state.fleet.take_probes(now_s):
                is_ok = rng.random() < 0.7
                oracle.state.fleet.record_probe(entry.id, is_ok, 1.0, now_s)
    finish_all(oracle, now_s)


def fail_one(oracle: Oracle, rng: random.Random, now_s: float) -> None:
    """Fails a random attempt."""
    name = rng.choice(sorted(oracle.at))
    start = oracle.at.pop(name)
    why = rng.choice(list(jobs.FailureKind))
    if why in (jobs.FailureKind.CUT, jobs.FailureKind.FAILED):
        oracle.runs[name] += 1
    allowed = 1 if oracle.kinds[name] == "non_idempotent" else 2
    assert oracle.runs[name] <= allowed, (name, oracle.runs[name])
    oracle.waiting.add(name)
    failure = jobs.Failure(name, why, "test", (start.upstream.id,))
    oracle.take(oracle.state.fail(failure, now_s))


def finish_all(oracle: Oracle, now_s: float) -> None:
    """Ends what is left; nothing may stay in flight."""
    for _ in range(100):
        now_s += 0.2
        oracle.take(oracle.state.tick(now_s))
        for name in sorted(oracle.at):
            oracle.at.pop(name)
            oracle.over.add(name)
            oracle.take(oracle.state.finish(name, now_s))
        if not oracle.at and not oracle.waiting:
            break
    assert not oracle.waiting and not oracle.at
    assert oracle.over == set(oracle.kinds)
    assert not oracle.state.fleet.memory.own, oracle.state.fleet.memory.own
    assert not oracle.state.tickets and not oracle.state.queue.waiting


@when("random histories of requests are played against an oracle")
def step_histories(context: Any) -> None:
    context.histories = HISTORIES
    for seed in range(HISTORIES):
        play_history(random.Random(seed), 300)


@then("nothing is left in flight once all requests are over")
@then("no request runs more often than its kind allows")
@then(
    "every request gets exactly one start or refusal for each decision it"
    " asks for"
)
def step_histories_played(context: Any) -> None:
    # The oracle checks every step of every history.
    assert context.histories == HISTORIES
