"""Fuzzing of admission, routing, attempts and merging against an oracle.

The oracle checks: the output that a caller has received is a prefix of its own
answer; each caller gets one end or one refusal, never both; "not run" is said
only if no attempt was ever started; no attempt goes to an upstream whose
incarnation the router knows as leaving; retries stay within their budget.
"""

from __future__ import annotations

from typing import Any

import attrs
from hypothesis import stateful
from hypothesis import strategies as st

from egretspur import errors
from tests.routing import world

MARK = st.sampled_from(world.UPSTREAMS)


class RoutingMachine(stateful.RuleBasedStateMachine):
    """Routers, engines, faults and time."""

    def __init__(self) -> None:
        super().__init__()
        self.world = world.World()
        self.retried = 0

    @stateful.initialize(
        routers=st.sampled_from([1, 1, 2, 3]),
        limit=st.sampled_from([world.LIMIT, 0]),
    )
    def start(self, routers: int, limit: int) -> None:
        """Starts the routers."""
        self.world.start(routers, limit)

    @stateful.rule(
        data=st.data(),
        workspaces=st.lists(st.sampled_from(["w", "w", "vip"]), max_size=5),
    )
    def arrive(self, data: Any, workspaces: list[str]) -> None:
        """Requests arrive at some router."""
        number = data.draw(st.integers(0, self._last_router()))
        for workspace in workspaces:
            self.world.arrive(number, workspace)

    @stateful.rule(data=st.data(), count=st.integers(1, 6))
    def send_events(self, data: Any, count: int) -> None:
        """Engines send the next events of an attempt."""
        request = self._draw_running(data)
        for _ in range(count):
            if request is None or request.current is None:
                return
            event = self.world.make_event(request.current, request)
            self.world.deliver(request, event)

    @stateful.rule(data=st.data())
    def lose_event(self, data: Any) -> None:
        """An event is lost."""
        request = self._draw_running(data)
        if request is not None and request.current is not None:
            self.world.make_event(request.current, request)

    @stateful.rule(data=st.data(), back=st.integers(1, 3))
    def repeat_event(self, data: Any, back: int) -> None:
        """An event is delivered again."""
        request = self._draw_running(data)
        if request is None or request.current is None:
            return
        current = request.current
        old = attrs.evolve(current, position=max(0, current.position - back))
        self.world.deliver(request, self.world.make_event(old, request))

    @stateful.rule(data=st.data())
    def send_late_event(self, data: Any) -> None:
        """An event of an older attempt arrives on the current connection."""
        request = self._draw_running(data)
        if request is None or len(request.attempts) < 2:
            return
        assert request.current is not None
        old = data.draw(st.sampled_from(request.attempts[:-1]))
        if data.draw(st.booleans()):
            # On the same path again, only the attempt's number differs.
            old = attrs.evolve(request.current, number=old.number)
        self.world.deliver(request, self.world.make_event(old, request))

    @stateful.rule(data=st.data())
    def cross_event(self, data: Any) -> None:
        """Another request's event arrives on this one's connection."""
        first = self._draw_running(data)
        second = self._draw_running(data)
        if first is None or second is None or first is second:
            return
        assert first.current is not None
        # The event differs only in the id of its request.
        copy = attrs.evolve(first.current)
        self.world.deliver(first, self.world.make_event(copy, second))

    @stateful.rule(data=st.data())
    def end_early(self, data: Any) -> None:
        """The last event arrives although tokens before it were lost."""
        request = self._draw_running(data)
        if request is None or request.current is None:
            return
        early = attrs.evolve(request.current, position=world.TOKENS)
        self.world.deliver(request, self.world.make_event(early, request))

    @stateful.rule(data=st.data())
    def skip_layers(self, data: Any) -> None:
        """A token arrives that did not pass through all layers."""
        request = self._draw_running(data)
        if request is None or request.current is None:
            return
        bad = attrs.evolve(request.current, trail="a1:0-4>a2:4-7")
        self.world.deliver(request, self.world.make_event(bad, request))

    @stateful.rule(data=st.data(), blamed=st.booleans())
    def break_connection(self, data: Any, blamed: bool) -> None:
        """A connection breaks or goes silent."""
        request = self._draw_running(data)
        if request is None or request.current is None:
            return
        last = request.current.grant.path.edges[-1].upstream
        self.world.break_attempt(request, last if blamed else "", started=True)

    @stateful.rule(data=st.data(), busy=st.booleans())
    def refuse_connection(self, data: Any, busy: bool) -> None:
        """An engine is unreachable, or refuses a request without running it."""
        request = self._draw_running(data)
        if request is None or request.current is None:
            return
        if request.current.position > request.current.first:
            return
        last = request.current.grant.path.edges[-1].upstream
        self.world.break_attempt(request, last, started=False, busy=busy)

    @stateful.rule(data=st.data())
    def leave_caller(self, data: Any) -> None:
        """A caller closes its connection."""
        request = self._draw_running(data)
        if request is None:
            return
        request.gone = True
        request.current = None
        number = request.router
        router = self.world.routers[number]
        self.world.run(number, router.finish(request.id, self.world.now))

    @stateful.rule(name=MARK, data=st.data())
    def mark_leaving(self, name: str, data: Any) -> None:
        """A router receives an upstream's leaving mark."""
        number = data.draw(st.integers(0, self._last_router()))
        mark = (name, str(self.world.incarnations[name]))
        self.world.known_leaving[number].add(mark)
        self.world.update(number)

    @stateful.rule(name=MARK)
    def restart_upstream(self, name: str) -> None:
        """An upstream restarts with another incarnation."""
        self.world.incarnations[name] += 1
        self.world.offset += 1
        for number in range(len(self.world.routers)):
            self.world.update(number)

    @stateful.rule(seconds=st.sampled_from([0.05, 0.5, 2.0, 12.0]))
    def pass_time(self, seconds: float) -> None:
        """Time passes."""
        self.world.now += seconds
        for number, router in enumerate(self.world.routers):
            self.world.run(number, router.tick(self.world.now))
            for item in router.queue.waiting.values():
                assert self.world.now < item.deadline_s, item

    @stateful.invariant()
    def answers_are_right(self) -> None:
        """Checks every request against the oracle."""
        for request in self.world.requests.values():
            expected = [
                world.make_text(request.id, i)
                for i in range(len(request.texts))
            ]
            assert request.texts == expected, request
            assert request.answers <= 1, request
            if request.refusal is None:
                if request.answers:
                    assert len(request.texts) == world.TOKENS, request
                continue
            if request.texts:
                # A begun answer is cut only when its attempts or its time are
                # used up, not because no engine is free at the moment.
                reason = request.refusal.refusal.reason
                assert "no attempts left" in reason or (
                    "waited too long" in reason
                ), request
            answer = errors.ANSWERS[request.refusal.refusal.kind]
            if answer.not_run:
                assert not any(a.started for a in request.attempts), request
                assert not request.texts, request

    @stateful.invariant()
    def routers_are_sound(self) -> None:
        """Checks grants, counts and budgets."""
        assert not self.world.wrong_grants, self.world.wrong_grants
        for number, router in enumerate(self.world.routers):
            running = [
                r
                for r in self.world.requests.values()
                if r.router == number and r.current is not None
            ]
            own = sum(load.own for load in router.network.loads.values())
            assert own == 2 * len(running), (own, len(running))
            counts = router.counts
            allowed = 3.0 + 0.1 * counts.arrived
            assert counts.retries <= allowed, counts
            # A begun answer may wait even if the queue is full.
            waiting = router.queue.waiting.values()
            new = [w for w in waiting if not w.is_begun]
            assert len(new) <= world.QUEUE, new

    @stateful.invariant()
    def limits_hold(self) -> None:
        """Checks the workspace's limit, if there is only one router."""
        if self.world.limit and len(self.world.routers) == 1:
            running = self.world.routers[0].running.get("binding/w/m", 0)
            begun = sum(
                1
                for r in self.world.requests.values()
                if r.current is not None and r.texts
            )
            assert running <= self.world.limit + begun

    def teardown(self) -> None:
        """Finishes all requests; each must get an end or a refusal."""
        for request in list(self.world.requests.values()):
            for _ in range(200):
                if request.current is None:
                    break
                event = self.world.make_event(request.current, request)
                self.world.deliver(request, event)
        for _ in range(30):
            self.pass_time(2.0)
            for request in list(self.world.requests.values()):
                for _ in range(50):
                    if request.current is None:
                        break
                    event = self.world.make_event(request.current, request)
                    self.world.deliver(request, event)
        for request in self.world.requests.values():
            assert request.answers == 1 or request.gone, request

    def _last_router(self) -> int:
        return len(self.world.routers) - 1

    def _draw_running(self, data: Any) -> world.Request | None:
        running = [
            r for r in self.world.requests.values() if r.current is not None
        ]
        return data.draw(st.sampled_from(running)) if running else None
