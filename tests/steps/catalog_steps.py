"""Steps on the configuration, the list of upstreams and their feeds."""

from __future__ import annotations

import math
import random
import time
import zlib
from collections.abc import Mapping
from typing import Any

import attrs
import orjson
from behave import given, then, when

from egretspur.catalog import (
    config,
    feeds,
    handover,
    positions,
    reading,
    upstreams,
    versions,
)
from tests import fleets
from tests.steps import platform_steps


@given('routes "{prefixes}" of host "{host}"')
def step_routes(context: Any, prefixes: str, host: str) -> None:
    route = fleets.make_route("a")
    context.cfg = attrs.evolve(
        fleets.make_config(),
        routes=tuple(
            attrs.evolve(route, prefix=p, host=host)
            for p in prefixes.split(", ")
        ),
    )


@then('the route for "{host}" and "{path}" is "{prefix}"')
def step_route(context: Any, host: str, path: str, prefix: str) -> None:
    found = context.cfg.find_route(host, path)
    assert (found.prefix if found else "none") == prefix, found


@given("a route split {first:d} to {second:d}")
def step_split(context: Any, first: int, second: int) -> None:
    context.route = attrs.evolve(
        fleets.make_route("a"),
        targets=(config.Target("x", first), config.Target("y", second)),
    )


@when("{count:d} services are chosen")
def step_chosen(context: Any, count: int) -> None:
    rng = random.Random(11)
    context.chosen = [
        config.choose_service(context.route, rng) for _ in range(count)
    ]


@then("between {low:d} and {high:d} are the first")
def step_between(context: Any, low: int, high: int) -> None:
    assert low <= context.chosen.count("x") <= high


@given('an upstream "{name}" that is listed')
def step_listed(context: Any, name: str) -> None:
    context.roster = upstreams.Roster()
    context.entry = attrs.evolve(
        fleets.make_upstream("l4-0", "0-20"), id=name, name=name
    )
    upstreams.put_entry(context.roster, context.entry, 10.0)


@when('upstream "{other}" is listed at the address of "u"')
def step_same_address(context: Any, other: str) -> None:
    entry = attrs.evolve(context.entry, id=other, name=other)
    upstreams.put_entry(context.roster, entry, 11.0)


@when('the entry of "u" is removed')
def step_removal(context: Any) -> None:
    upstreams.remove_entry(context.roster, "u", 12.0)


@then('only "{name}" is listed')
def step_only(context: Any, name: str) -> None:
    assert set(context.roster.entries) == {name}, context.roster.entries


@when("it is listed as draining")
def step_draining(context: Any) -> None:
    entry = attrs.evolve(context.entry, is_draining=True)
    upstreams.put_entry(context.roster, entry, 10.0)


@when("it is listed as ready again")
def step_ready(context: Any) -> None:
    upstreams.put_entry(context.roster, context.entry, 10.0)


@then("it is still draining")
def step_still(context: Any) -> None:
    assert context.roster.entries["u"].is_draining


@when("the store returns and the entry is missing")
def step_returns(context: Any) -> None:
    upstreams.start_grace(context.roster, 20.0)
    upstreams.replace_entries(context.roster, {}, 20.0)


@then("it is kept for {kept:g} s and gone after {gone:g} s")
def step_kept(context: Any, kept: float, gone: float) -> None:
    upstreams.expire_entries(context.roster, 20.0 + kept)
    assert "u" in context.roster.entries
    upstreams.expire_entries(context.roster, 20.0 + gone)
    assert "u" not in context.roster.entries


@when("the entry is removed while the store is stable")
def step_removed(context: Any) -> None:
    upstreams.put_entry(context.roster, context.entry, 30.0)
    upstreams.remove_entry(context.roster, "u", 30.0)


@then("it is gone at once")
def step_gone(context: Any) -> None:
    assert "u" not in context.roster.entries


@when('it reports layers "{layers}" and an older entry says "{older}"')
def step_reports(context: Any, layers: str, older: str) -> None:
    part = fleets.parse_layers(layers)
    assert part is not None
    upstreams.apply_reported_layers(context.roster, "u", part, 10.0)
    step_entry(context, older, 0.5)


@when('it reports layers "{layers}"')
def step_reports_only(context: Any, layers: str) -> None:
    part = fleets.parse_layers(layers)
    assert part is not None
    upstreams.apply_reported_layers(context.roster, "u", part, 10.0)


@then('it holds "{now}" until {kept:g} s later and "{then}" after {end:g} s')
def step_holds_until(
    context: Any, now: str, kept: float, then: str, end: float
) -> None:
    upstreams.expire_entries(context.roster, 10.0 + kept)
    step_holds(context, now)
    upstreams.expire_entries(context.roster, 10.0 + end)
    step_holds(context, then)


@when('its entry says "{layers}" {seconds:g} s later')
def step_entry(context: Any, layers: str, seconds: float) -> None:
    entry = attrs.evolve(context.entry, layers=fleets.parse_layers(layers))
    upstreams.put_entry(context.roster, entry, 10.0 + seconds)


@then('it holds "{layers}"')
def step_holds(context: Any, layers: str) -> None:
    held = context.roster.entries["u"].layers
    assert held == fleets.parse_layers(layers), held


Result = feeds.FullState[str] | feeds.Changes[str] | feeds.Expired
Answer = Result | feeds.Unavailable


@attrs.define
class Source:
    """A source that answers from a list; see `feeds.Source`."""

    answers: list[Answer]

    def read_newest(self) -> Any:
        """Returns the next answer."""
        return self.answers.pop(0)

    def read_changes(self, offset: int, wait_s: float) -> Any:
        """Returns the next answer."""
        return self.answers.pop(0)


@attrs.define
class Sink:
    """Keeps what it is given; see `feeds.Sink`."""

    values: dict[str, str] = attrs.Factory(dict)
    contacts: list[bool] = attrs.Factory(list)

    def replace_all(self, values: Mapping[str, Any]) -> None:
        """Takes the newest state."""
        self.values = dict(values)

    def apply_changes(self, values: tuple[tuple[str, Any], ...]) -> None:
        """Takes changes."""
        for key, value in values:
            if value is None:
                self.values.pop(key, None)
            else:
                self.values[key] = value

    def record_answer(self, is_back: bool) -> None:
        """Keeps whether the source is back."""
        self.contacts.append(is_back)


def make_feed(context: Any, answers: list[Answer]) -> None:
    """Makes a feed that stops once its source has no more answers."""
    context.source = Source(answers)
    context.sink = Sink()
    context.pauses = []

    def sleep(seconds: float) -> None:
        context.pauses.append(seconds)
        if not context.source.answers:
            context.feed.close()

    context.feed = feeds.Feed(
        "test",
        context.source,
        context.sink,
        lambda: feeds.Timing(0.0, 60.0),
        sleep,
    )


@given("a feed whose source forgot its history and an entry")
def step_forgot(context: Any) -> None:
    make_feed(
        context,
        [
            feeds.FullState({"a": "1", "b": "2"}, at(5)),
            feeds.Expired(),
            feeds.FullState({"a": "1"}, at(40)),
            feeds.Changes((("c", "3"),), at(41)),
        ],
    )


@when("it reads on")
@when("it runs until the source answers")
def step_runs(context: Any) -> None:
    context.feed.start()
    context.feed.join(5.0)


@then("it takes the newest state as a whole, without the entry")
def step_without(context: Any) -> None:
    assert context.sink.values == {"a": "1", "c": "3"}, context.sink.values


@then("it paused between {count:d} reads only")
def step_read_pauses(context: Any, count: int) -> None:
    # None between the end of the history and the newest state.
    assert len(context.pauses) == count + 1, context.pauses


@given("a reader with {left_s:g} s left until an entry lapses")
def step_lapsing(context: Any, left_s: float) -> None:
    context.timing = reading.get_list_timing(True, left_s)


@then("it reads the list again within {period_s:g} s")
def step_period(context: Any, period_s: float) -> None:
    assert context.timing.period_s == period_s, context.timing


@given("a feed whose source fails {times:d} times")
def step_fails(context: Any, times: int) -> None:
    answers: list[Answer] = [feeds.Unavailable("down")] * times
    make_feed(context, [*answers, feeds.FullState({"a": "1"}, at(5))])


@then("its pauses grow from {low:g} s to at most {high:g} s")
def step_pauses(context: Any, low: float, high: float) -> None:
    pauses = context.pauses[:-1]
    assert low / 2 <= pauses[0] <= low, pauses
    assert max(pauses) <= high and pauses[-1] > 2 * pauses[0], pauses


@then("the sink records that the source is back")
def step_back(context: Any) -> None:
    assert context.sink.contacts == [True], context.sink.contacts


@given("a host that has configuration {version:d} in force")
def step_in_force(context: Any, version: int) -> None:
    context.now_s = 100.0
    context.versions = versions.Versions(lambda: context.now_s)
    step_read(context, version)
    assert context.versions.get_version() == version
    context.versions.note_read()


@when("configuration {version:d} is read")
def step_read(context: Any, version: int) -> None:
    cfg = fleets.make_config(version)
    if context.versions.is_newer(cfg):
        context.versions.note_applied(cfg)


@when("another host names configuration {version:d}, and 3 s pass")
def step_named(context: Any, version: int) -> None:
    context.now_s += 2.0
    context.versions.note_heard(version)
    context.now_s += 3.0


@when("the topic is read, and 3 s pass")
def step_topic_read(context: Any) -> None:
    context.now_s += 2.0
    context.versions.note_read()
    context.now_s += 3.0


@when("configuration {version:d} is read, and 3 s pass")
def step_version_read(context: Any, version: int) -> None:
    step_read(context, version)
    step_topic_read(context)


@then("the newest version is {newest:d}, and it is behind for {behind_s:g} s")
def step_status(context: Any, newest: int, behind_s: float) -> None:
    status = context.versions.get_status()
    assert status.newest == newest, status
    assert status.behind_s == behind_s, status


@then("the topic was read {read_s:g} s ago")
def step_read_age(context: Any, read_s: float) -> None:
    assert context.versions.get_status().read_age_s == read_s


@then("configuration {version:d} is in force")
def step_version(context: Any, version: int) -> None:
    assert context.versions.current.version == version


@given('a topic that was read whole up to offset {end:d} with keys "{keys}"')
def step_newest(context: Any, end: int, keys: str) -> None:
    context.newest = handover.NewestRecords()
    records = [
        handover.Record(i, key, b"1") for i, key in enumerate(keys.split(", "))
    ]
    context.newest.replace(records, at(end))


@when('"b" is dropped, "c" written and "a" written as it was')
def step_written(context: Any) -> None:
    context.newest.put(handover.Record(10, "b", b""))
    context.newest.put(handover.Record(11, "c", b"2"))
    # A record that changes nothing is not put.
    context.end = 13
    context.newest.advance(at(context.end))


@when("{count:d} other keys are written and dropped")
def step_many_dropped(context: Any, count: int) -> None:
    for i in range(count):
        context.newest.put(handover.Record(10 + 2 * i, f"x{i}", b"1"))
        context.newest.put(handover.Record(11 + 2 * i, f"x{i}", b""))
    context.end = 10 + 2 * count
    context.newest.advance(at(context.end))


@then("at most {count:d} changes are ever handed over")
def step_kept_keys(context: Any, count: int) -> None:
    every = [context.newest.list_since(at(i)) for i in range(context.end + 1)]
    changes = [len(s.records) for s in every if not s.is_full]
    # Those that have read less than the oldest that is kept get everything.
    assert max(changes) <= count, max(changes)
    assert every[0].is_full and every[12].is_full


@then('a host that has read up to {offset:d} is handed all of "{keys}"')
def step_handed_all(context: Any, offset: int, keys: str) -> None:
    found = hand_over(context, offset)
    assert found.is_full and found.next == at(context.end), found
    assert [r.key for r in found.records] == keys.split(", "), found


@then('a host that has read up to {offset:d} is handed changes "{keys}"')
def step_handed_changes(context: Any, offset: int, keys: str) -> None:
    found = hand_over(context, offset)
    assert not found.is_full and found.next == at(13), found
    named = [r.key if r.raw else f"-{r.key}" for r in found.records]
    assert ", ".join(named) == keys, found


@then('a host that has read up to {offset:d} is handed changes ""')
def step_handed_none(context: Any, offset: int) -> None:
    step_handed_changes(context, offset, "")


@then("a host that has read up to {offset:d} is handed nothing")
def step_handed_nothing(context: Any, offset: int) -> None:
    assert context.newest.list_since(at(offset)) is None


@then("a configuration of {count:d} routes takes a tenth when handed over")
def step_compressed(context: Any, count: int) -> None:
    example: dict[str, Any] = platform_steps.EXAMPLE
    routes = [
        {
            **example["routes"][0],
            "name": f"r{i}",
            "path_prefix": f"/{random.Random(i).getrandbits(32):x}/",
        }
        for i in range(count)
    ]
    raw = orjson.dumps({**example, "routes": routes})
    newest = handover.NewestRecords()
    newest.replace([handover.Record(3, "config", raw)], at(4))
    packed = newest.pack_since(None)
    assert packed is not None
    assert len(packed) < 0.1 * len(raw), (len(packed), len(raw))
    # Handed over as it was, to the next host too.
    assert newest.pack_since(None) is packed
    found = handover.unpack_snapshot(packed, 5.0)
    assert isinstance(found, handover.Snapshot)
    assert found.records[0].raw == raw
    newest.put(handover.Record(5, "config", b"{}"))
    newest.advance(at(6))
    newer = handover.unpack_snapshot(newest.pack_since(None) or b"", 5.0)
    assert isinstance(newer, handover.Snapshot)
    assert newer.records[0].raw == b"{}"


def at(offset: int) -> Any:
    """Returns a position in the store's first era; None below 0."""
    return positions.Position(1, offset) if offset >= 0 else None


def hand_over(context: Any, offset: int) -> handover.Snapshot:
    """Returns what a host gets, after its way over the network."""
    found: handover.Snapshot = context.newest.list_since(at(offset))
    res = handover.unpack_snapshot(handover.pack_snapshot(found, 5.0), 5.0)
    assert res == found, res
    return found


def make_snapshot(
    record: str,
    at: str = "[1,2]",
    dropped: str = "[]",
    left: str = "",
    more: str = "",
) -> bytes:
    """Returns a snapshot of one record as JSON; good as it is by default."""
    overruled = f"[{left}]"
    return f"[{at},true,[{record}],{dropped},{overruled}{more}]".encode()


@when("a host hands over bytes that are no snapshot")
def step_bad_snapshot(context: Any) -> None:
    context.bad = [
        handover.unpack_snapshot(data, 5.0)
        for data in (
            b"",
            b"[1]",
            b'[1,true,[["x"]]]',
            zlib.compress(b""),
            zlib.compress(b"[1]"),
            zlib.compress(make_snapshot('["x"]')),
            zlib.compress(make_snapshot('[1,"a",7]')),
            zlib.compress(make_snapshot('[1,"a","\u20ac"]')),
            zlib.compress(make_snapshot('[1,"a","b"]', at="1")),
            zlib.compress(make_snapshot('[1,"a","b"]', at="[-1,2]")),
            zlib.compress(make_snapshot('[1,"a","b"]', dropped="[7]")),
            zlib.compress(make_snapshot('[1,"a","b"]', left='["a",-1,2]')),
            zlib.compress(make_snapshot('[1,"a","b"]', left='["a",1,"x"]')),
            zlib.compress(make_snapshot('[1,"a","b"]', more=",7")),
            zlib.compress(make_snapshot('[1,"a","b"]', more=",[1,2]")),
            zlib.compress(make_snapshot('[1,"a","b"]', more=",[-1,2,0.5]")),
            zlib.compress(make_snapshot('[1,"a","b"]', more=',[1,2,"x"]')),
            zlib.compress(make_snapshot('[1,"a","b"]', more=",[1,2,0.5],7")),
            # Cut short, and one that would fill the memory.
            zlib.compress(make_snapshot('[1,"a","b"]'))[:-6],
            zlib.compress(b" " * (handover.MAX_UNPACKED_BYTES + 1)),
        )
    ]


@then("they count as no answer")
def step_no_answer(context: Any) -> None:
    assert all(isinstance(b, feeds.Unavailable) for b in context.bad)
    good = handover.unpack_snapshot(
        zlib.compress(make_snapshot('[1,"a","b"]', left='["a",1,2.5]')), 5.0
    )
    assert isinstance(good, handover.Snapshot), good
    doubtful = handover.unpack_snapshot(
        zlib.compress(make_snapshot('[1,"a","b"]', more=",[1,2,0.5]")), 5.0
    )
    assert isinstance(doubtful, handover.Snapshot), doubtful
    assert doubtful.doubt is not None and doubtful.doubt.until_s == 5.5
    packed = handover.pack_snapshot(doubtful, 5.0)
    assert handover.unpack_snapshot(packed, 5.0) == doubtful


@attrs.define
class Topic:
    """A topic of a store, and what other hosts have; see `handover.Topic`."""

    name: str = "t"
    is_up: bool = True
    calls: int = 0

    def read_newest(self) -> Any:
        """Reads the store."""
        res = self.read_changes(at(0), 0.0)
        if isinstance(res, feeds.Unavailable):
            return res
        return feeds.FullState({}, at(0))

    def read_changes(self, since: positions.Position, wait_s: float) -> Any:
        """Reads the store."""
        self.calls += 1
        if not self.is_up:
            return feeds.Unavailable("turned away")
        return feeds.Changes((), since)

    def read_snapshot(self, data: bytes) -> Any:
        """Takes what a host has."""
        value = data.decode()
        return feeds.Changes((("k", value),), at(9), is_from_peer=True)

    def compute_recheck_s(self, is_reader: bool) -> float:
        """Has nothing to read again."""
        return math.inf

    def read_again(self) -> Any:
        """Has nothing to read again."""
        raise AssertionError("not due")


@given("a source that asks {first} first")
def step_handover(context: Any, first: str) -> None:
    context.topic = Topic()
    context.handed = {"h1": None, "h2": None}
    context.source = handover.HandoverSource(
        context.topic,
        lambda: list(context.handed),
        lambda host, topic, since, timeouts: context.handed[host],
        lambda: first == "other hosts",
    )


@when("it reads while a host answers")
def step_host_answers(context: Any) -> None:
    context.handed["h2"] = b"new"
    context.res = context.source.read_changes(at(3), 0.0)


@given("a source that asks other hosts at its start")
def step_source_start(context: Any) -> None:
    context.now_s = 10.0
    context.topic = Topic()
    context.handed = {"h1": None, "h2": None}
    context.source = handover.HandoverSource(
        context.topic,
        list,
        lambda host, topic, since, timeouts: context.handed[host],
        lambda: False,
        lambda: ["h1", "h2"],
        lambda: context.now_s,
    )


@when("it reads all while a host answers")
def step_first_answered(context: Any) -> None:
    context.handed["h2"] = b"new"
    context.res = context.source.read_newest()


@when("it reads all {pause_s:g} s later while a host answers")
def step_read_later(context: Any, pause_s: float) -> None:
    context.now_s += pause_s
    step_first_answered(context)


@then("the store was called {calls:d} times")
def step_store_calls(context: Any, calls: int) -> None:
    assert context.topic.calls == calls, context.topic.calls


@when("it reads all while no host answers")
@when("it reads all once more")
def step_read_all(context: Any) -> None:
    context.res = context.source.read_newest()


@when("it reads while no host answers")
def step_none_answers(context: Any) -> None:
    context.handed["h2"] = None
    context.res = context.source.read_changes(at(3), 0.0)


@when("it reads while the store is away and a host answers")
def step_turned_away(context: Any) -> None:
    context.topic.is_up = False
    step_host_answers(context)


@then("the store was not called")
def step_not_called(context: Any) -> None:
    assert context.topic.calls == 0
    assert context.res.values == (("k", "new"),), context.res
    assert not context.res.failure


@then("the store was asked for all once")
def step_asked_all(context: Any) -> None:
    assert context.topic.calls == 1
    assert not context.res.is_from_peer


@then("the store was called once")
def step_called(context: Any) -> None:
    assert context.topic.calls == 1
    assert context.res == feeds.Changes((), at(3)), context.res


@then("what the host has is taken, and the store counts as lost")
def step_instead(context: Any) -> None:
    assert context.res.values == (("k", "new"),), context.res
    assert context.res.failure == "turned away"
    answers: list[Answer] = [context.res, feeds.Changes((), at(9))]
    make_feed(context, answers)
    step_runs(context)
    assert context.sink.values == {"k": "new"}
    assert context.sink.contacts == [True], context.sink.contacts


@attrs.define
class FailingSource:
    """A store that turns a host away."""

    calls: int = 0

    def read_newest(self) -> Any:
        """Refuses."""
        self.calls += 1
        return feeds.Unavailable("turned away")

    def read_changes(self, since: positions.Position, wait_s: float) -> Any:
        """Refuses."""
        return self.read_newest()


@given("a feed whose source always fails")
def step_always_fails(context: Any) -> None:
    context.source = FailingSource()
    context.feed = feeds.Feed(
        "test", context.source, Sink(), lambda: feeds.Timing(0.0, 60.0)
    )


@when("it is woken {times:d} times within {seconds:g} s")
def step_poked(context: Any, times: int, seconds: float) -> None:
    context.feed.start()
    for _ in range(times):
        context.feed.wake()
        time.sleep(seconds / times)
    context.feed.close()
    context.feed.join(5.0)


@then("its source was called at most {times:d} times")
def step_calls(context: Any, times: int) -> None:
    # Pauses double from 0.1 s, each shortened by half at most.
    assert 1 <= context.source.calls <= times, context.source.calls
