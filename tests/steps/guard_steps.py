"""Steps on errors that nobody thought of, in actors and threads."""

from __future__ import annotations

import random
import socket
import time
from collections.abc import Callable
from typing import Any

from behave import given, then, when

from egretspur import addresses, errors
from egretspur.catalog import feeds, positions
from egretspur.delivery import watch
from egretspur.membership import duty, exchange, hosts, lists
from egretspur.orders import ranges
from egretspur.routing import actor as traffics
from egretspur.routing import (
    availability,
    desk,
    jobs,
    network,
    probes,
    requests,
)
from tests import fleets, stage
from tests.steps import entries_steps

CAUSE = "nobody thought of it"


class FailOnce:
    """Raises at its first call, then does what it is made with."""

    def __init__(
        self,
        then: Callable[..., Any] = lambda *args: None,
        error: type[Exception] = LookupError,
    ) -> None:
        self._then = then
        self._error = error
        self.calls = 0

    def __call__(self, *args: Any, **kwargs: Any) -> Any:
        """Fails or passes on."""
        self.calls += 1
        if self.calls == 1:
            raise self._error(CAUSE)
        return self._then(*args, **kwargs)


class FailingGroup:
    """A group whose first join raises; see `duty.Group`."""

    def __init__(self) -> None:
        self.join = FailOnce(lambda ttl_s: duty.JoinReply(True, 1))

    def leave(self) -> None:
        """Nothing to do."""

    def get_era(self) -> int:
        """The store has never come back from a copy."""
        return 0

    def list_members(self) -> lists.MemberList:
        """Nobody else."""
        return lists.MemberList((), True)


class Peers:
    """Nobody else; see `duty.Peers`."""

    def is_candidate(self) -> bool:
        """It may have the duty."""
        return True

    def may_be_deputy(self) -> bool:
        """Never asked for."""
        return False


def make_desk(context: Any) -> Any:
    """Returns the broker of a desk that is closed after the scenario."""
    state = fleets.make_broker([fleets.make_upstream("a100-0", "0-80")])
    state.fleet.roster.entries["a100-0"] = fleets.make_upstream("app-0")
    context.desk = desk.Desk(state)
    context.add_cleanup(context.desk.close)
    return state


def record_steps(context: Any) -> None:
    """Keeps the failed steps that are logged in the scenario."""
    recording = entries_steps.recording("step_failed")
    context.failed_steps = recording.__enter__()
    context.add_cleanup(lambda: recording.__exit__(None, None, None))


def ask(context: Any, name: str) -> Any:
    """Hands in a request; returns its decision."""
    job = fleets.make_job(name, "non_idempotent", now_s=time.monotonic())
    return context.desk.arrive(job).result(2.0)


@given("a host's desk whose broker fails on the next answer")
def step_answer_fails(context: Any) -> None:
    record_steps(context)
    make_desk(context).record_answer_start = FailOnce()


@given("a host's desk whose broker fails on the next arrival")
def step_arrival_fails(context: Any) -> None:
    record_steps(context)
    state = make_desk(context)
    state.arrive = FailOnce(state.arrive)


class FailingDispatcher:
    """A router's dispatcher that can decide on nothing."""

    def __init__(self) -> None:
        rng = random.Random(1)
        state = network.Network("kl-hall", rng)
        self.availability = availability.Availability("kl-hall", state, rng)

    def arrive(self, arrival: requests.Arrival, now_s: float) -> list[Any]:
        """Raises."""
        raise LookupError(CAUSE)


@given("a router's traffic whose dispatcher fails on the next arrival")
def step_router_fails(context: Any) -> None:
    record_steps(context)
    failing: Any = FailingDispatcher()
    context.traffic = traffics.Traffic(failing, lambda: None)
    context.add_cleanup(context.traffic.close)


@when("a request comes to the router")
def step_to_router(context: Any) -> None:
    arrival = requests.Arrival("x", "tailors", "m")
    context.first = context.traffic.arrive(arrival).result(2.0)


@when("an answer comes, and then a request")
def step_answer(context: Any) -> None:
    context.desk.tell(desk.AnswerStarted("x"))
    context.decision = ask(context, "x")


@when("a request comes, and then another")
def step_two(context: Any) -> None:
    context.first = ask(context, "x")
    context.decision = ask(context, "y")


@then("the request is started")
@then("the second one is started")
def step_started(context: Any) -> None:
    assert isinstance(context.decision, jobs.Start), context.decision


@then(
    'the first one gets its final answer at once, without a "not run" promise'
)
def step_final(context: Any) -> None:
    assert isinstance(context.first, errors.Refusal), context.first
    assert not context.first.answer.not_run


@then("the failed step is logged with its cause")
def step_logged(context: Any) -> None:
    stage.wait_until(lambda: context.failed_steps, 2.0, "a line")
    assert CAUSE in context.failed_steps[0]["reason"], context.failed_steps


class Source:
    """Changes, then whatever is asked for."""

    def read_newest(self) -> feeds.FullState[str]:
        """Returns a value."""
        return feeds.FullState({"k": "whole"}, positions.Position(1, 5))

    def read_changes(
        self, since: positions.Position, wait_s: float
    ) -> feeds.Changes[str]:
        """Returns a change."""
        following = positions.Position(since.era, since.offset + 1)
        return feeds.Changes((("k", "changed"),), following)


class Sink:
    """Counts what it is given; see `feeds.Sink`."""

    def __init__(self) -> None:
        self.wholes = 0
        self.apply_changes = FailOnce()

    def replace_all(self, values: Any) -> None:
        """Takes a whole."""
        self.wholes += 1

    def record_answer(self, is_back: bool) -> None:
        """Nothing to do."""


@given("a feed whose sink fails once, in the middle of changes")
def step_sink(context: Any) -> None:
    record_steps(context)
    context.sink = Sink()
    context.feed = feeds.Feed(
        "test", Source(), context.sink, lambda: feeds.Timing(0.0, 0.01)
    )


@when("it runs until the sink has received a snapshot")
def step_feed_runs(context: Any) -> None:
    context.feed.start()
    try:
        stage.wait_until(lambda: context.sink.wholes >= 2, 5.0, "a whole")
    finally:
        context.feed.close()


@given("{thread} whose first step fails")
def step_thread(context: Any, thread: str) -> None:
    record_steps(context)
    made: dict[str, Callable[[Any], tuple[Any, FailOnce]]] = {
        "the duty": make_duty,
        "the watch": make_watch,
        "the prober": make_prober,
        "the keeper": make_keeper,
        "the exchange": make_exchange,
        "the receiver": make_receiver,
        "a feed that asks how often to read": make_timed_feed,
        "a feed that notes an answer": make_noting_feed,
    }
    context.thread, context.step = made[thread](context)


def make_duty(context: Any) -> tuple[Any, FailOnce]:
    """Returns a duty that fails at its first join."""
    group = FailingGroup()
    return duty.Duty(group, Peers()), group.join


def make_watch(context: Any) -> tuple[Any, FailOnce]:
    """Returns a watch that fails at its first look."""
    found = watch.StreamWatch(None, None)  # type: ignore[arg-type]
    found.check_streams = FailOnce()  # type: ignore[method-assign]
    return found, found.check_streams


def make_prober(context: Any) -> tuple[Any, FailOnce]:
    """Returns a prober whose desk fails at the first question."""
    make_desk(context)
    context.desk.tick = FailOnce(desk.Due)
    found = probes.Prober(context.desk, lambda entry: probes.PROBE_ERROR)
    return found, context.desk.tick


def make_keeper(context: Any) -> tuple[Any, FailOnce]:
    """Returns a keeper of layers that fails in its first round."""
    found = ranges.RangeReconciler(None, None, None)  # type: ignore[arg-type]
    found.run_round = FailOnce()  # type: ignore[method-assign]
    return found, found.run_round


def make_exchange(context: Any) -> tuple[Any, FailOnce]:
    """Returns an exchange that fails when it first makes its news."""
    make_news = FailOnce(lambda peers: time.sleep(0.01))
    port = stage.find_udp_port(("127.0.0.1",))
    address = addresses.parse(f"127.0.0.1:{port}/{port}")
    found = exchange.Exchange(
        hosts.Peers(str(address), "kl-hall", ()),
        address,
        make_news,
        lambda news: news,
        lambda news, hosts: None,
    )
    return found, make_news


class FailingSocket:
    """A socket whose first read fails."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        # A read without a datagram ends by its time-out.
        self.recvfrom = FailOnce(self._time_out, OSError)

    def __getattr__(self, name: str) -> Any:
        """Returns what the socket has under a name."""
        return getattr(self._sock, name)

    def _time_out(self, size: int) -> Any:
        time.sleep(0.01)
        raise TimeoutError


def make_receiver(context: Any) -> tuple[Any, FailOnce]:
    """Returns an exchange whose socket fails once to read."""
    found, make_news = make_exchange(context)
    make_news.calls = 1
    found._sock = sock = FailingSocket(found._sock)
    return found, sock.recvfrom


class CalmSource:
    """A topic that never changes; see `feeds.Source`."""

    def read_newest(self) -> feeds.FullState[str]:
        """Returns an empty state."""
        return feeds.FullState({}, positions.Position(1, 1))

    def read_changes(
        self, since: positions.Position, wait_s: float
    ) -> feeds.Changes[str]:
        """Returns no changes."""
        return feeds.Changes((), since)


class CalmSink:
    """Takes nothing; see `feeds.Sink`."""

    def replace_all(self, values: Any) -> None:
        """Takes the newest state."""

    def apply_changes(self, values: Any) -> None:
        """Takes changes."""

    def record_answer(self, is_back: bool) -> None:
        """Takes that the source has answered."""


def make_timed_feed(context: Any) -> tuple[Any, FailOnce]:
    """Returns a feed that fails once to learn when to read next."""
    pace = FailOnce(lambda: feeds.Timing(0.0, 0.01))
    # The first question is part of a read.
    waits = iter([feeds.Timing(0.0, 0.01)])
    found: feeds.Feed[str] = feeds.Feed(
        "test",
        CalmSource(),
        CalmSink(),
        lambda: next(waits, None) or pace(),
    )
    return found, pace


def make_noting_feed(context: Any) -> tuple[Any, FailOnce]:
    """Returns a feed whose sink fails once to note an answer."""
    sink = CalmSink()
    sink.record_answer = FailOnce()  # type: ignore[method-assign]
    found: feeds.Feed[str] = feeds.Feed(
        "test", CalmSource(), sink, lambda: feeds.Timing(0.0, 0.01)
    )
    return found, sink.record_answer


@when("it runs for a while")
def step_runs(context: Any) -> None:
    context.thread.start()
    try:
        stage.wait_until(lambda: context.step.calls >= 2, 5.0, "a step")
    finally:
        context.thread.close()


@then("later steps were made")
def step_made(context: Any) -> None:
    assert context.step.calls >= 2
