"""Steps on the configuration, the list of upstreams and their feeds."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import Any

import attrs
from behave import given, then, when

from egretspur.catalog import config, feeds, upstreams
from tests import fleets


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
    context.entry = attrs.evolve(fleets.make_upstream("l4-0", "0-20"), id=name)
    upstreams.put(context.roster, context.entry, 10.0)


@when('upstream "{other}" is listed at the address of "u"')
def step_same_address(context: Any, other: str) -> None:
    entry = attrs.evolve(context.entry, id=other)
    upstreams.put(context.roster, entry, 11.0)


@when('the entry of "u" is removed')
def step_removal(context: Any) -> None:
    upstreams.drop(context.roster, "u", 12.0)


@then('only "{name}" is listed')
def step_only(context: Any, name: str) -> None:
    assert set(context.roster.entries) == {name}, context.roster.entries


@when("it is listed as draining")
def step_draining(context: Any) -> None:
    entry = attrs.evolve(context.entry, is_draining=True)
    upstreams.put(context.roster, entry, 10.0)


@when("it is listed as ready again")
def step_ready(context: Any) -> None:
    upstreams.put(context.roster, context.entry, 10.0)


@then("it is still draining")
def step_still(context: Any) -> None:
    assert context.roster.entries["u"].is_draining


@when("the store returns and the entry is missing")
def step_returns(context: Any) -> None:
    upstreams.note_return(context.roster, 20.0)
    upstreams.replace(context.roster, {}, 20.0)


@then("it is kept for {kept:g} s and gone after {gone:g} s")
def step_kept(context: Any, kept: float, gone: float) -> None:
    upstreams.expire(context.roster, 20.0 + kept)
    assert "u" in context.roster.entries
    upstreams.expire(context.roster, 20.0 + gone)
    assert "u" not in context.roster.entries


@when("the entry is removed while the store is stable")
def step_removed(context: Any) -> None:
    upstreams.put(context.roster, context.entry, 30.0)
    upstreams.drop(context.roster, "u", 30.0)


@then("it is gone at once")
def step_gone(context: Any) -> None:
    assert "u" not in context.roster.entries


@when('it reports layers "{layers}" and an older entry says "{older}"')
def step_reports(context: Any, layers: str, older: str) -> None:
    part = fleets.parse_layers(layers)
    assert part is not None
    upstreams.learn(context.roster, "u", part, 10.0)
    step_entry(context, older, 0.5)


@when('its entry says "{layers}" {seconds:g} s later')
def step_entry(context: Any, layers: str, seconds: float) -> None:
    entry = attrs.evolve(context.entry, layers=fleets.parse_layers(layers))
    upstreams.put(context.roster, entry, 10.0 + seconds)


@then('it holds "{layers}"')
def step_holds(context: Any, layers: str) -> None:
    held = context.roster.entries["u"].layers
    assert held == fleets.parse_layers(layers), held


Result = feeds.Whole[str] | feeds.Changes[str] | feeds.Expired
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

    def take_whole(self, values: Mapping[str, str]) -> None:
        """Takes the newest state."""
        self.values = dict(values)

    def take_changes(self, values: tuple[tuple[str, str | None], ...]) -> None:
        """Takes changes."""
        for key, value in values:
            if value is None:
                self.values.pop(key, None)
            else:
                self.values[key] = value

    def note_contact(self, is_back: bool) -> None:
        """Keeps what it was told."""
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
        lambda: feeds.Pace(0.0, 60.0),
        sleep,
    )


@given("a feed whose source forgot its history and an entry")
def step_forgot(context: Any) -> None:
    make_feed(
        context,
        [
            feeds.Whole({"a": "1", "b": "2"}, 5),
            feeds.Expired(),
            feeds.Whole({"a": "1"}, 40),
            feeds.Changes((("c", "3"),), 41),
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


@given("a feed whose source fails {times:d} times")
def step_fails(context: Any, times: int) -> None:
    answers: list[Answer] = [feeds.Unavailable("down")] * times
    make_feed(context, [*answers, feeds.Whole({"a": "1"}, 5)])


@then("its pauses grow from {low:g} s to at most {high:g} s")
def step_pauses(context: Any, low: float, high: float) -> None:
    pauses = context.pauses[:-1]
    assert low / 2 <= pauses[0] <= low, pauses
    assert max(pauses) <= high and pauses[-1] > 2 * pauses[0], pauses


@then("the sink is told that the source is back")
def step_back(context: Any) -> None:
    assert context.sink.contacts == [True], context.sink.contacts


@given("a host that has configuration {version:d} in force")
def step_in_force(context: Any, version: int) -> None:
    context.versions = config.Versions()
    assert context.versions.take(fleets.make_config(version))


@when("configuration {version:d} is read")
def step_read(context: Any, version: int) -> None:
    context.versions.take(fleets.make_config(version))


@then("configuration {version:d} is in force")
def step_version(context: Any, version: int) -> None:
    assert context.versions.newest.version == version
