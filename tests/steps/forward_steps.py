"""Steps on events and on the attempts of one request."""

from __future__ import annotations

import logging
import random
import threading
import time
from collections.abc import Mapping, Sequence
from typing import Any, Final

import attrs
from behave import given, then, when

from egretspur import decisions, ends, errors
from egretspur.admission import segments
from egretspur.catalog import upstreams
from egretspur.delivery import buffers, events, forward, sending, watch
from egretspur.routing import broker, desk, jobs, paths
from tests import fleets, stage
from tests.steps import broker_steps

# Interval of the desk's timers, in s.
TICK_S: Final = 0.02

# Engines for the first layers beside one that does not respond.
WATCH_TWINS: Final = 3

# Segment of the prompts of streams.
SEGMENT: Final = "m/5a"


def make_event(number: int) -> bytes:
    """Returns an event."""
    return f"id: {number}\ndata: text {number}\n\n".encode()


def make_bytes(text: str) -> bytes:
    """Returns bytes from a text such as ``1| 2| 3``; `|` ends an event."""
    data = b""
    for word in text.split():
        event = make_event(int(word.rstrip("|")))
        data += event if word.endswith("|") else event[:-6]
    return data


def read_ids(data: bytes) -> list[int]:
    """Returns the ids of the events in bytes."""
    return [
        int(line[3:]) for line in data.splitlines() if line.startswith(b"id:")
    ]


@when('the bytes "{text}" come')
def step_bytes(context: Any, text: str) -> None:
    feed(context, [make_bytes(text.replace("\\", ""))])


@when('the bytes "{text}" come one by one')
def step_one_by_one(context: Any, text: str) -> None:
    feed(context, [bytes([b]) for b in make_bytes(text)])


def feed(context: Any, pieces: list[bytes]) -> None:
    """Feeds bytes to the merge; keeps those to forward."""
    if not hasattr(context, "merge"):
        context.merge = events.EventMerge()
        context.passed = b""
    for piece in pieces:
        res = context.merge.feed(piece)
        if isinstance(res, events.StreamFault):
            context.passed = res
            return
        context.passed += res


@when("another attempt begins")
def step_another(context: Any) -> None:
    context.merge.begin()


@then('"{ids}" is forwarded and the rest is "{rest}"')
@then('"{ids}" is forwarded and the rest is ""')
def step_passed(context: Any, ids: str, rest: str = "") -> None:
    ids, _, flaw = ids.partition(", ")
    assert read_ids(context.passed) == [int(i) for i in ids.split()]
    assert (context.merge.fault.value if flaw else None) == (flaw or None)
    assert context.merge.has_partial_event() == bool(rest)
    if flaw:
        # Nothing after a fault is forwarded.
        assert context.merge.feed(make_event(9)) == context.merge.fault


@when("answers are interrupted and resumed at random")
def step_random_cuts(context: Any) -> None:
    context.results = []
    for seed in range(300):
        rng = random.Random(seed)
        count = rng.randint(1, 12)
        merge, passed = events.EventMerge(), b""
        while merge.count < count:
            merge.begin()
            first = (merge.last_id or 0) + 1
            first = max(1, first - rng.randint(0, 2))
            data = b"".join(make_event(i) for i in range(first, count + 1))
            data = data[: rng.randint(0, len(data))]
            while data:
                size = rng.randint(1, 40)
                res = merge.feed(data[:size])
                assert isinstance(res, bytes), res
                passed += res
                data = data[size:]
        context.results.append((count, passed))


@then("each event is forwarded once, complete and in order")
def step_once(context: Any) -> None:
    for count, passed in context.results:
        whole = b"".join(make_event(i) for i in range(1, count + 1))
        assert passed == whole


# Attempts.


@attrs.define
class Script:
    """What one attempt does."""

    # Bytes, failures, pauses in seconds, events to wait for, or "silence".
    pieces: list[bytes | sending.AttemptFailure | float | threading.Event | str]
    status: int = 200
    content_type: str = ""
    # Whether the head tells where the body ends.
    has_length: bool = True
    # Why it is refused; None if it is not.
    refusal: sending.AttemptFailure | None = None
    # Set once the attempt has begun.
    begun: threading.Event = attrs.Factory(threading.Event)


@attrs.define
class FakeAnswer:
    """An answer that follows a script; see `sending.Answer`."""

    script: Script
    status: int = 200
    headers: Mapping[str, str] = attrs.Factory(dict)
    has_length: bool = True
    closed: threading.Event = attrs.Factory(threading.Event)
    deadline_s: float = 0.0

    def read_some(self) -> bytes | sending.AttemptFailure:
        """Returns the next piece; waits where the script says so."""
        if not self.script.pieces:
            return b""
        piece = self.script.pieces.pop(0)
        if piece == "silence":
            piece = 5.0
            self.script.pieces.insert(
                0,
                sending.AttemptFailure(
                    jobs.FailureKind.CUT, "closed or silent"
                ),
            )
        if isinstance(piece, threading.Event):
            while not piece.wait(TICK_S):
                if self._is_over():
                    return _make_closed()
            return self.read_some()
        if isinstance(piece, float):
            left_s = max(0.0, self.deadline_s - time.monotonic())
            if self.closed.wait(min(left_s, piece)):
                return _make_closed()
            return self.read_some()
        assert not isinstance(piece, str)
        return piece

    def _is_over(self) -> bool:
        return self.closed.is_set() or time.monotonic() >= self.deadline_s

    def abort(self) -> None:
        """Wakes the reader."""
        self.closed.set()

    def close(self) -> None:
        """Closes."""
        self.closed.set()


def _make_closed() -> sending.AttemptFailure:
    """Returns the failure of an attempt that the host closed."""
    return sending.AttemptFailure(
        jobs.FailureKind.CUT, "closed", ended_by=ends.EndedBy.HOST
    )


@attrs.define
class FakeUpstreams:
    """Attempts by script; see `sending.AttemptSender`."""

    scripts: list[Script] = attrs.Factory(list)
    starts: list[jobs.Start] = attrs.Factory(list)
    afters: list[str] = attrs.Factory(list)
    answers: list[FakeAnswer] = attrs.Factory(list)
    # Each attempt after those by script.
    later: Script = attrs.Factory(lambda: Script([]))

    def open(
        self,
        call: sending.Call,
        job: jobs.Job,
        start: jobs.Start,
        resume_after: str,
        abort: sending.AbortHandle,
    ) -> FakeAnswer | sending.AttemptFailure:
        """Begins the next attempt."""
        self.starts.append(start)
        self.afters.append(resume_after)
        script = self.scripts.pop(0) if self.scripts else self.later
        script.begun.set()
        if script.refusal is not None:
            return script.refusal
        headers = {"X": "1"}
        if script.content_type:
            headers["Content-Type"] = script.content_type
        answer = FakeAnswer(script, script.status, headers, script.has_length)
        answer.deadline_s = job.deadline_s
        self.answers.append(answer)
        abort.set_closer(answer.abort)
        return answer


@attrs.define
class FakeEngines:
    """Reports by script; see `watch.Engines`."""

    # Address of a stalled stage; "dark" if the engine does not respond.
    stalled: str = ""
    # Addresses that return a report though the others are dark.
    reporting: set[str] = attrs.Factory(set)
    # Addresses that answer no probe.
    dead: set[str] = attrs.Factory(set)
    moves: list[tuple[float, Sequence[paths.Part]]] = attrs.Factory(list)
    # Address of each report request or probe.
    asked: list[str] = attrs.Factory(list)

    def get_report(self, address: str) -> upstreams.EngineReport | str:
        """Answers as the script says."""
        self.asked.append(address)
        if address in self.reporting:
            return upstreams.PLAIN_REPORT
        if self.stalled == "dark":
            return "no answer"
        return upstreams.EngineReport(
            None, False, 1, 0.0, 1.0, 1.0, (self.stalled,)
        )

    def peek(self, address: str) -> upstreams.EngineReport | str:
        """Answers as the script says; see `watch.Engines`."""
        self.asked.append(address)
        if address in self.dead:
            return "no answer"
        return upstreams.PLAIN_REPORT

    def probe(
        self, address: str
    ) -> upstreams.EngineReport | upstreams.ProbeFailed:
        """Answers as `peek` does."""
        if address in self.dead:
            return upstreams.ProbeFailed("no answer", is_connected=True)
        return upstreams.PLAIN_REPORT

    def repath(
        self, address: str, request_id: str, parts: Sequence[paths.Part]
    ) -> str:
        """Records an order to reroute a request."""
        self.moves.append((time.monotonic(), parts))
        return ""


@attrs.define
class Play:
    """A desk with its fakes, closed with the scenario."""

    desk: desk.Desk
    sends: FakeUpstreams = attrs.Factory(FakeUpstreams)
    engines: FakeEngines = attrs.Factory(FakeEngines)
    watch: watch.StreamWatch | None = None
    closed: threading.Event = attrs.Factory(threading.Event)

    def start(self) -> None:
        """Starts to run the desk's timers, as a host does."""
        threading.Thread(target=self._tick, daemon=True).start()

    def _tick(self) -> None:
        while not self.closed.wait(TICK_S):
            for entry in self.desk.tick().probes:
                report = self.engines.probe(entry.address)
                self.desk.tell(desk.Probed(entry.id, report))

    def close(self) -> None:
        """Stops the threads."""
        self.closed.set()
        if self.watch:
            self.watch.close()
        self.desk.close()


@given("a desk before a chain of engines and two plain replicas")
def step_desk(context: Any) -> None:
    broker_steps.step_chain_plain(context)
    context.play = Play(desk.Desk(context.broker))
    context.play.start()


def parse_numbers(text: str) -> list[int]:
    """Returns numbers from ``1 and 2`` or ``3, 4``."""
    return [int(w) for w in text.replace(",", " ").split() if w.isdigit()]


@given("the {place} attempt is cut after events {numbers}")
def step_cut(context: Any, place: str, numbers: str) -> None:
    pieces: list[Any] = [make_event(i) for i in parse_numbers(numbers)]
    pieces.append(sending.AttemptFailure(jobs.FailureKind.CUT, "reset"))
    context.play.sends.scripts.append(Script(pieces))


@given("the {place} attempt sends events {numbers} and the end")
def step_sends(context: Any, place: str, numbers: str) -> None:
    pieces: list[Any] = [make_event(i) for i in parse_numbers(numbers)]
    context.play.sends.scripts.append(Script(pieces))


@given("the {place} attempt sends events {numbers} and closes")
def step_closes(context: Any, place: str, numbers: str) -> None:
    step_sends(context, place, numbers)
    context.play.sends.scripts[-1].has_length = False


@given("the {place} attempt answers {status:d} and closes")
def step_error_closes(context: Any, place: str, status: int) -> None:
    context.play.sends.scripts.append(
        Script([b"why"], status, has_length=False)
    )


@given('the {place} attempt answers {status:d} as "{kind}" with "{body}"')
@given('the {place} attempt answers {status:d} as "" with "{body}"')
@given('the {place} attempt answers {status:d} as "{kind}" with ""')
@given('the {place} attempt answers {status:d} as "" with ""')
def step_answers(
    context: Any, place: str, status: int, kind: str = "", body: str = ""
) -> None:
    data = body.encode()
    if body.startswith("id:"):
        data = b"".join(make_event(int(i[3:])) for i in body.split(", "))
    pieces: list[Any] = [data] if data else []
    context.play.sends.scripts.append(Script(pieces, status, kind))


@given("the first attempt ends within event 2")
def step_within(context: Any) -> None:
    context.play.sends.scripts.append(
        Script([make_event(1), make_event(2)[:9]])
    )


@given("the replicas answer {status:d}")
def step_status(context: Any, status: int) -> None:
    for _ in range(3):
        context.play.sends.scripts.append(Script([b"why"], status))


@given("all engines are full")
def step_full(context: Any) -> None:
    for name in broker_steps.CHAIN:
        context.broker.fleet.memory.add(name, 1, 1e9)


@given("an attempt that never sends anything")
def step_never(context: Any) -> None:
    context.play.sends.scripts.append(Script(["silence"]))


@given('a watch, and an engine whose stage "{name}" stalls after event 1')
def step_watch(context: Any, name: str) -> None:
    play = context.play
    play.sends.scripts.append(Script([make_event(1), "silence"]))
    play.engines.stalled = f"{name}:80"
    play.watch = watch.StreamWatch(play.desk, play.engines)
    play.watch.start()


@given('a watch, and a stage "{name}" that stalls after event 1')
def step_stage_stalls(context: Any, name: str) -> None:
    play = context.play
    play.sends.scripts.append(Script([make_event(1)]))
    play.engines.stalled = f"{name}:80"
    play.watch = watch.StreamWatch(play.desk, play.engines)
    play.watch.start()


@given(
    "the engines that take over are cut {seconds:g} s after event 2,"
    " {pause_s:g} s later"
)
def step_take_over_cut(context: Any, seconds: float, pause_s: float) -> None:
    lost = sending.AttemptFailure(jobs.FailureKind.CUT, "reset")
    (script,) = context.play.sends.scripts
    script.pieces += [pause_s, make_event(2), seconds, lost]


@when("a stream is asked for and the engine is ordered to reroute it")
def step_asked_and_moved(context: Any) -> None:
    run(context, "streaming", 3.0)
    assert len(context.play.engines.moves) == 1, context.play.engines.moves
    assert context.play.sends.answers[0].closed.is_set()


@given("a watch, and an engine that stops responding after event 1")
def step_dark(context: Any) -> None:
    step_watch(context, "none")
    context.play.engines.stalled = "dark"
    # Another engine for the first layers, so that there is a path left.
    twin = fleets.make_upstream("a100-twin", "0-25")
    upstreams.put_entry(context.broker.fleet.roster, twin, 0.0)


@given('a twin of "{name}" at the desk')
def step_desk_twin(context: Any, name: str) -> None:
    layers = broker_steps.CHAIN[name]
    twin = fleets.make_upstream("a100-twin", layers)
    upstreams.put_entry(context.broker.fleet.roster, twin, 0.0)


def start_watch(context: Any) -> None:
    """Starts a watch whose first engine does not respond, with a twin."""
    play = context.play
    play.engines.stalled = "dark"
    play.watch = watch.StreamWatch(play.desk, play.engines)
    play.watch.start()
    for i in range(WATCH_TWINS):
        twin = fleets.make_upstream(f"a100-twin{i}", "0-25")
        upstreams.put_entry(context.broker.fleet.roster, twin, 0.0)


@given("every other first engine returns its report")
def step_twins_report(context: Any) -> None:
    context.play.engines.reporting |= {
        f"a100-twin{i}:80" for i in range(WATCH_TWINS)
    }


@given(
    "a watch, and an engine that pauses {seconds:g} s after event 1 of {last:d}"
)
def step_pauses(context: Any, seconds: float, last: int) -> None:
    pieces: list[Any] = [make_event(1), seconds]
    pieces += [make_event(i) for i in range(2, last + 1)]
    context.play.sends.scripts.append(Script(pieces))
    start_watch(context)


@given("two more engines for the first layers")
def step_more_engines(context: Any) -> None:
    for i in range(2):
        twin = fleets.make_upstream(f"a100-twin{i}", "0-25")
        upstreams.put_entry(context.broker.fleet.roster, twin, 0.0)


@given("a watch, and an engine that is cut {seconds:g} s after event 1")
def step_cut_later(context: Any, seconds: float) -> None:
    lost = sending.AttemptFailure(jobs.FailureKind.CUT, "reset")
    context.play.sends.scripts.append(Script([make_event(1), seconds, lost]))
    start_watch(context)


@given("the second attempt brings nothing for {seconds:g} s")
def step_brings_nothing(context: Any, seconds: float) -> None:
    context.play.sends.scripts.append(Script([float(seconds)]))


@given("the second attempt sends events 2 and 3 once a third one is silent")
def step_once_third(context: Any) -> None:
    third = threading.Event()
    context.play.sends.scripts += [
        Script([third, make_event(2), make_event(3)]),
        Script([5.0], begun=third),
    ]


@given("every other attempt is refused")
def step_all_refused(context: Any) -> None:
    refusal = sending.AttemptFailure(jobs.FailureKind.REFUSED, "full")
    context.play.sends.later = Script([], refusal=refusal)


@given("the second attempt pauses {seconds:g} s before events 2 and 3")
def step_second_pauses(context: Any, seconds: float) -> None:
    context.play.sends.scripts.append(
        Script([float(seconds), make_event(2), make_event(3)])
    )


@given("its first engine answers no probe")
def step_dead(context: Any) -> None:
    context.play.engines.dead.add("a100-0:80")


@given("the second attempt is cut {seconds:g} s later")
def step_second_cut(context: Any, seconds: float) -> None:
    lost = sending.AttemptFailure(jobs.FailureKind.CUT, "reset")
    context.play.sends.scripts.append(Script([float(seconds), lost]))


@then("the second attempt's connection is closed")
def step_second_closed(context: Any) -> None:
    assert len(context.play.sends.answers) == 2, context.play.sends.answers
    check_closed(context, 2)


@then("the connection of attempt {number:d} is closed")
def step_closed_of(context: Any, number: int) -> None:
    assert len(context.play.sends.answers) == 3, context.play.sends.answers
    check_closed(context, number)


def check_closed(context: Any, number: int) -> None:
    """Checks that the connection of an attempt is closed soon."""
    assert context.play.sends.answers[number - 1].closed.wait(1.0)


@then("the connections of {count:d} attempts are closed within {seconds:g} s")
def step_all_closed(context: Any, count: int, seconds: float) -> None:
    answers = context.play.sends.answers
    assert len(answers) == count, answers
    assert all(a.closed.wait(seconds) for a in answers), answers


@then("the first attempt is logged as ended by the host")
def step_by_host(context: Any) -> None:
    (line,) = [
        f
        for f in context.lines.fields
        if f.get("event") == "attempt_failed" and f["attempt"] == 1
    ]
    assert line["ended_by"] == "host", line
    assert context.play.sends.answers[0].closed.is_set()


@then("{count:d} attempts were made")
def step_count_attempts(context: Any, count: int) -> None:
    assert len(context.play.sends.starts) == count, context.play.sends.starts


def make_forward(context: Any, kind: str, live_s: float) -> forward.Forwarder:
    """Returns a request that arrives now."""
    now_s = time.monotonic()
    job = attrs.evolve(
        fleets.make_job("r", kind, now_s=now_s),
        deadline_s=now_s + live_s,
        segments=(SEGMENT,),
    )
    call = sending.Call("r", "POST", "/x/", {}, b"", "")
    play = context.play
    bodies = buffers.BodyBuffers(fleets.MEMORY_BYTES)
    return forward.Forwarder(
        call, job, play.desk, play.sends, bodies, play.watch
    )


class Lines(logging.Handler):
    """Keeps the fields of what is logged."""

    def __init__(self) -> None:
        super().__init__()
        self.fields: list[dict[str, Any]] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keeps a line's fields."""
        self.fields.append(dict(record.__dict__))


def run(context: Any, kind: str, live_s: float = 10.0) -> None:
    """Runs a request to its end."""
    context.lines = Lines()
    level = decisions.LOGGER.level
    decisions.LOGGER.setLevel(logging.INFO)
    decisions.LOGGER.addHandler(context.lines)
    context.add_cleanup(decisions.LOGGER.setLevel, level)
    context.add_cleanup(decisions.LOGGER.removeHandler, context.lines)
    context.began_s = time.monotonic()
    context.forward = req = make_forward(context, kind, live_s)
    context.written = b""
    context.end = context.result = None
    context.result = req.begin()
    if isinstance(context.result, FakeAnswer):

        def write(data: bytes) -> None:
            context.written += data

        context.end = req.run(write)
    req.close()
    context.took_s = time.monotonic() - context.began_s


@when("a stream is asked for")
def step_stream(context: Any) -> None:
    if context.play.engines.stalled and context.play.engines.stalled != "dark":
        context.thread = threading.Thread(
            target=run, args=(context, "streaming")
        )
        context.thread.start()
        return
    run(context, "streaming")


@then("the segments of its prompt count as {answered}")
def step_answered(context: Any, answered: str) -> None:
    crash = segments.PublishedCrash("u", "q", (SEGMENT,), True, 0.2, 0.1)

    def read(state: broker.Broker) -> bool:
        now_s = time.monotonic()
        state.apply_evidence(segments.Update((crash,)), now_s)
        return SEGMENT in state.quarantine.make_evidence(now_s).answered

    found = context.play.desk.query(read)
    assert found == (answered == "answered"), found


@then('attempt {number:d} is logged as {why}: "{reason}"')
def step_attempt_logged(
    context: Any, number: int, why: str, reason: str
) -> None:
    found = [
        (f["attempt"], f["why"], f["reason"])
        for f in context.lines.fields
        if f.get("event") == "attempt_failed"
    ]
    matching = [f for f in found if f[0] == number]
    assert len(matching) == 1, found
    assert matching[0][1] == why, found
    assert reason in matching[0][2], found


@then(
    "attempt {number:d} is logged with the head of an answer and without events"
)
def step_head_logged(context: Any, number: int) -> None:
    (found,) = [
        f
        for f in context.lines.fields
        if f.get("event") == "attempt_failed" and f["attempt"] == number
    ]
    assert found["has_head"] is True, found
    assert found["brought"] == 0, found


@then("the engine of attempt 2 gets no further attempt of the request")
def step_not_again(context: Any) -> None:
    assert len(context.play.sends.starts) == 2, context.play.sends.starts


class EagerDesk(desk.Desk):
    """Starts each request at once; allows a fixed number of attempts."""

    def __init__(self, attempts: int) -> None:
        self._left = attempts
        self.failed: list[jobs.Failure] = []

    def arrive(self, job: jobs.Job) -> desk.DecisionFuture:
        """Starts the first attempt."""
        return self._decide()

    def fail(self, failure: jobs.Failure) -> desk.DecisionFuture:
        """Starts another one, or gives up."""
        self.failed.append(failure)
        return self._decide()

    def tell(self, message: Any) -> None:
        """Ignores messages without a reply."""

    def _decide(self) -> desk.DecisionFuture:
        fut: desk.DecisionFuture = desk.DecisionFuture()
        self._left -= 1
        if self._left < 0:
            kind = errors.ErrorKind.UPSTREAM_FAILED
            fut.set_result(errors.Refusal(kind, "no attempts left"))
        else:
            entry = fleets.make_upstream("a100-0", "0-80")
            fut.set_result(jobs.Start("r", entry, ()))
        return fut


def draw_script(rng: random.Random, after: int, count: int) -> Script:
    """Draws an attempt that is asked to resume after an event."""
    numbers = list(range(after + 1 - rng.choice((0, 0, 1, 2)), count + 1))
    numbers = [n for n in numbers if n > 0]
    whole = b"".join(make_event(n) for n in numbers)
    cut = whole[: rng.randint(0, len(whole))]
    gap = b"".join(make_event(n) for n in numbers if n != after + 2)
    lost = sending.AttemptFailure(jobs.FailureKind.CUT, "reset")
    drawn: list[Script] = [
        Script([whole], 200, "text/event-stream"),
        Script([cut, lost], 200, "text/event-stream"),
        Script([cut + b"id: 7", b""], 200, "text/event-stream"),
        Script([whole, lost], 200, "text/event-stream"),
        Script([gap, lost], 200, "text/event-stream"),
        Script([whole], 200, "text/html"),
        Script([], 200, rng.choice(("", "text/event-stream"))),
        Script([whole], rng.choice((204, 302, 401, 404, 429, 500, 503))),
    ]
    # A first attempt may not draw a plain answer, which is forwarded as it is.
    return rng.choice(drawn if after else drawn[:5])


class DrawnUpstreams(FakeUpstreams):
    """Attempts drawn at random."""

    def __init__(self, rng: random.Random, count: int) -> None:
        super().__init__()
        self._rng = rng
        self._count = count

    def open(
        self,
        call: sending.Call,
        job: jobs.Job,
        start: jobs.Start,
        resume_after: str,
        abort: sending.AbortHandle,
    ) -> FakeAnswer | sending.AttemptFailure:
        """Begins an attempt of any kind."""
        after = int(resume_after or 0)
        self.scripts = [draw_script(self._rng, after, self._count)]
        return super().open(call, job, start, resume_after, abort)


@when("attempts of all kinds follow each other")
def step_any_attempts(context: Any) -> None:
    context.results = []
    for seed in range(400):
        rng = random.Random(seed)
        count = rng.randint(1, 6)
        job = fleets.make_job("r", now_s=time.monotonic())
        call = sending.Call("r", "POST", "/x/", {}, b"", "")
        sends = DrawnUpstreams(rng, count)
        bodies = buffers.BodyBuffers(fleets.MEMORY_BYTES)
        run = forward.Forwarder(call, job, EagerDesk(4), sends, bodies)
        written: list[bytes] = []
        res = run.begin()
        end = (
            res if isinstance(res, errors.Refusal) else run.run(written.append)
        )
        run.close()
        context.results.append((seed, count, b"".join(written), end))


@then("no incomplete answer looks complete")
def step_none_lacks(context: Any) -> None:
    wholes = 0
    for seed, count, written, end in context.results:
        ids = read_ids(written)
        assert ids == list(range(1, len(ids) + 1)), (seed, ids)
        if end is None:
            wholes += 1
            assert len(ids) == count, (seed, count, ids)
    assert wholes > 100, wholes


@when("an idempotent call is made")
def step_idempotent(context: Any) -> None:
    run(context, "idempotent")


@when("a call that may not be repeated is made")
def step_not_repeated(context: Any) -> None:
    run(context, "non_idempotent")


@when("a call with {seconds:g} s to live is made")
def step_short(context: Any, seconds: float) -> None:
    run(context, "non_idempotent", seconds)


@when("a stream is asked for and the caller leaves after {seconds:g} s")
def step_leaves(context: Any, seconds: float) -> None:
    thread = threading.Thread(target=run, args=(context, "streaming"))
    thread.start()
    time.sleep(seconds)
    context.forward.abandon()
    context.left_s = time.monotonic()
    thread.join(5.0)
    assert not thread.is_alive()


@then("the caller gets events {first:d} to {last:d} and a {kind} answer")
def step_gets(context: Any, first: int, last: int, kind: str) -> None:
    whole = b"".join(make_event(i) for i in range(first, last + 1))
    assert context.written == whole, context.written
    assert (context.end is None) == (kind == "whole"), context.end


@then("the second attempt was asked to resume after event {number:d}")
def step_after(context: Any, number: int) -> None:
    assert context.play.sends.afters == ["", str(number)]


@then("the caller gets the service's own {status:d} after {count:d} attempts")
def step_own(context: Any, status: int, count: int) -> None:
    assert isinstance(context.result, forward.CompleteAnswer), context.result
    assert context.result.status == status
    assert context.result.body == b"why"
    assert len(context.play.sends.starts) == count


@then("nothing was sent and nothing waits")
def step_nothing(context: Any) -> None:
    assert not context.play.sends.starts
    assert context.result.kind is errors.ErrorKind.CALLER_GONE

    def is_empty() -> bool:
        return not context.play.desk.query(lambda b: len(b.queue.waiting))

    stage.wait_until(is_empty, 2.0, "nothing waits")


@then("the attempt's connection is closed within {seconds:g} s")
def step_closed(context: Any, seconds: float) -> None:
    assert context.play.sends.answers[0].closed.wait(seconds)


@then("the caller gets {status:d} within {seconds:g} s")
def step_final(context: Any, status: int, seconds: float) -> None:
    assert context.result.answer.status == status, context.result
    assert context.took_s <= seconds, context.took_s


@then("the engine is ordered to reroute over the twin within {seconds:g} s")
def step_told(context: Any, seconds: float) -> None:
    moves = context.play.engines.moves
    stage.wait_until(lambda: moves, 5.0, "an order to move")
    at_s, parts = moves[0]
    # The engine is asked after 0.3 s of silence and at most 0.1 s more.
    assert at_s - context.began_s <= seconds, at_s - context.began_s
    assert [p.id for p in parts][:2] == ["a100-0", "a100-twin"], parts
    context.forward.abandon()
    # It must not outlive its scenario and write into the next one's context.
    context.thread.join(5.0)
    assert not context.thread.is_alive()


@then("the first engine gets no further attempts")
def step_no_work(context: Any) -> None:
    starts = context.play.sends.starts
    assert [s.upstream.id for s in starts] == ["a100-0", "a100-twin"]

    def is_down() -> bool:
        return bool(
            context.play.desk.query(lambda b: "a100-0" in b.fleet.health.failed)
        )

    assert is_down()
