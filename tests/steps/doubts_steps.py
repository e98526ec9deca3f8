"""Steps on pages of the newest records that are older than their end."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from typing import Any, Final

from behave import given, then, when

from egretspur import web
from egretspur.catalog import (
    config,
    feeds,
    handover,
    positions,
    reading,
    tables,
)
from egretspur.platform import names, store
from tests import sites
from tests.fakes import store as fake_stores

TOPIC: Final = "keyed.test"

# Time within which a host follows a store that nothing disturbs, in seconds.
FOLLOW_S: Final = 2.0


def start_store(context: Any) -> None:
    """Starts a stand-in of the store."""
    context.stand_in = fake_stores.Store()
    app = fake_stores.make_app(context.stand_in)
    server = web.Server(app, "127.0.0.1:0", 8)
    server.start()
    context.add_cleanup(server.close)
    context.address = server.address
    # Monotonic time that the hosts' topics see, added to the real one.
    context.added_s = 0.0
    context.hosts = []


def make_client(context: Any) -> tuple[store.Store, list[float]]:
    """Returns a client, and the list of its calls that don't wait."""
    calls: list[float] = []
    client = store.Store(context.address, calls.append)
    context.add_cleanup(client.close)
    return client, calls


class ConfigHost:
    """A host whose feed follows the configuration; see `feeds.Sink`."""

    def __init__(self, context: Any, giver: ConfigHost | None) -> None:
        """Makes a host, which asks another one first if there is one."""
        self.is_stopped = False
        self.versions: list[int] = []
        self.topic = store.make_config_topic(make_client(context)[0])
        # None for the reader.
        self.giver = giver
        self.source: handover.HandoverSource[Any] = handover.HandoverSource(
            self.topic,
            lambda: ["giver"] if self.giver else [],
            self.fetch,
            lambda: self.giver is not None,
            lambda: ["giver"] if self.giver else [],
        )
        self.feed = feeds.Feed(
            "test",
            self.source,
            self,
            lambda: reading.get_config_timing(self.giver is None),
        )
        self.feed.start()
        # Before the store's server is closed.
        context.add_cleanup(self.feed.join, 5.0)
        context.add_cleanup(self.stop)

    def stop(self) -> None:
        """Stops the host."""
        self.is_stopped = True
        self.feed.close()

    def fetch(
        self,
        host: str,
        topic: str,
        since: positions.Position | None,
        timeouts: handover.Timeouts,
    ) -> bytes | feeds.Unavailable | None:
        """Returns what the other host has."""
        if self.giver is None or self.giver.is_stopped:
            return feeds.Unavailable("stopped")
        return self.giver.topic.export(since)

    def replace_all(self, values: Mapping[str, Any]) -> None:
        """Takes the newest state."""
        self.apply_changes(tuple(values.items()))

    def apply_changes(self, values: tuple[tuple[str, Any], ...]) -> None:
        """Takes changes; the version in force never goes back."""
        for _, cfg in values:
            if isinstance(cfg, config.Configuration):
                self.versions.append(max(cfg.version, self.get_version()))

    def record_answer(self, is_back: bool) -> None:
        """Does nothing."""

    def get_version(self) -> int:
        """Returns the version in force."""
        return self.versions[-1] if self.versions else 0


def await_version(context: Any, version: int, within_s: float) -> None:
    """Waits until all hosts have a version; wakes those behind, as updates."""
    end_s = time.monotonic() + within_s
    while True:
        running = [h for h in context.hosts if not h.is_stopped]
        found = [h.get_version() for h in running]
        if all(v >= version for v in found):
            return
        assert time.monotonic() < end_s, found
        for host in running:
            if host.get_version() < max(found):
                host.feed.wake()
        time.sleep(0.05)


def make_config(version: int) -> dict[str, Any]:
    """Returns a configuration as the operator writes it."""
    return sites.make_config(["k"], version)


def write_config(context: Any, version: int) -> None:
    """Writes a configuration."""
    context.stand_in.write(
        names.CONFIG_TOPIC, names.CONFIG_KEY, make_config(version)
    )


@given(
    "a store with configuration {version:d}, a reader and a host that asks the"
    " reader"
)
def step_config_hosts(context: Any, version: int) -> None:
    start_store(context)
    write_config(context, version)
    context.hosts.append(ConfigHost(context, None))
    await_version(context, version, FOLLOW_S)
    context.hosts.append(ConfigHost(context, context.hosts[0]))
    await_version(context, version, FOLLOW_S)


@when("history is dropped with configuration {version:d}, and pages are behind")
def step_config_dropped(context: Any, version: int) -> None:
    context.dropped_s = time.monotonic()
    show_records(context, context.stand_in.count(names.CONFIG_TOPIC))
    context.stand_in.drop_history(
        names.CONFIG_TOPIC, names.CONFIG_KEY, make_config(version)
    )
    time.sleep(0.5)


def show_records(context: Any, count: int | None) -> None:
    """Has pages show so many of a log's records; None for all."""
    context.stand_in.faults["newest_records"] = {
        names.CONFIG_TOPIC: count,
        TOPIC: count,
    }


@when("nothing else happens")
def step_nothing(context: Any) -> None:
    """Nothing."""


@when("another host takes over the reader's state")
def step_takes_over(context: Any) -> None:
    context.hosts.append(ConfigHost(context, context.hosts[0]))
    await_version(context, 3, FOLLOW_S)


@when("that host's reader stops after the handover")
def step_reader_stops(context: Any) -> None:
    step_takes_over(context)
    context.hosts[0].stop()
    del context.hosts[1]
    # The host is the reader now, and told so.
    context.hosts[1].giver = None
    context.hosts[1].feed.wake()


@when("another key is written")
def step_other_key(context: Any) -> None:
    context.stand_in.write(names.CONFIG_TOPIC, "other", {})


@when("the host that asks the reader reads the store")
def step_reads_itself(context: Any) -> None:
    host = context.hosts[1]
    host.giver = None
    host.feed.wake()
    time.sleep(0.3)
    host.giver = context.hosts[0]


@when("pages are current again after {seconds:g} s")
def step_current_after(context: Any, seconds: float) -> None:
    time.sleep(max(0.0, context.dropped_s + seconds - time.monotonic()))
    show_records(context, None)


@when("configuration {version:d} is written")
def step_config_written(context: Any, version: int) -> None:
    write_config(context, version)


@then("all hosts have configuration {version:d} within {seconds:g} s")
def step_config_within(context: Any, version: int, seconds: float) -> None:
    await_version(context, version, seconds)


class ListHost:
    """A host that reads a list of numbers step by step."""

    def __init__(self, context: Any) -> None:
        """Makes a host that has read nothing."""
        client, self.calls = make_client(context)
        self.topic = make_topic(context, client)
        self.source = handover.HandoverSource(
            self.topic,
            list,
            lambda host, topic, since, timeouts: None,
            lambda: False,
            clock=lambda: time.monotonic() + float(context.added_s),
        )
        self.values: dict[str, Any] = {}
        # Keys that it had at any moment.
        self.had: set[str] = set()
        self.feed = feeds.Feed(
            "test", self.source, self, lambda: feeds.Timing(0.0, 12.0)
        )
        self.at: positions.Position | None = None

    def read(self) -> None:
        """Reads until nothing is due at once, as the feed does."""
        for _ in range(4):
            res = self.feed.read_once(self.at, 0.0)
            assert not isinstance(res, feeds.Unavailable), res
            self.at = self.feed.deliver(res)

    def take_from(self, other: ListHost) -> None:
        """Applies what another host has."""
        data = other.topic.export(self.at)
        if data is not None:
            res = self.topic.read_snapshot(data)
            assert not isinstance(res, feeds.Unavailable), res
            self.at = self.feed.deliver(res)

    def replace_all(self, values: Mapping[str, Any]) -> None:
        """Takes the newest state."""
        self.values = dict(values)
        self.had |= set(values)

    def apply_changes(self, values: tuple[tuple[str, Any], ...]) -> None:
        """Takes changes."""
        for key, value in values:
            if value is None:
                self.values.pop(key, None)
            else:
                self.values[key] = value
                self.had.add(key)

    def record_answer(self, is_back: bool) -> None:
        """Does nothing."""


def make_topic(context: Any, client: store.Store) -> store.Topic[int]:
    """Returns a topic of numbers."""
    return store.Topic(
        client,
        TOPIC,
        lambda key, data: int(data),
        tables.Policy(lambda known, copied: known > copied),
        clock=lambda: time.monotonic() + float(context.added_s),
    )


def write(context: Any, keys: str) -> None:
    """Writes keys, each after the one before."""
    for key in keys.split():
        context.stand_in.write(TOPIC, key, 1)


def check(host: ListHost, keys: str) -> None:
    """Checks what a host has, and would hand to a host that starts."""
    assert sorted(host.values) == keys.split(), host.values
    data = host.topic.export(None)
    assert data is not None
    snapshot = handover.unpack_snapshot(data, 0.0)
    assert isinstance(snapshot, handover.Snapshot), snapshot
    assert sorted(r.key for r in snapshot.records) == keys.split(), snapshot


@given('a host that reads "{keys}", then "{more}" and the removal of "{gone}"')
def step_list_host(context: Any, keys: str, more: str, gone: str) -> None:
    start_store(context)
    write(context, keys)
    host = ListHost(context)
    host.read()
    write(context, more)
    context.stand_in.write(TOPIC, gone, None)
    host.read()
    context.hosts.append(host)


@when('history is dropped with "{key}", and pages are from before "c"')
def step_dropped_behind(context: Any, key: str) -> None:
    show_records(context, 2)
    context.stand_in.drop_history(TOPIC, key, 1)


@when('history is dropped with the removal of "{key}", and pages are current')
def step_dropped_removal(context: Any, key: str) -> None:
    context.stand_in.drop_history(TOPIC, key, None)


@when("it reads further")
@when("the first reads further")
def step_reads(context: Any) -> None:
    context.hosts[0].read()


@when("it reads further for {seconds:g} s")
def step_reads_for(context: Any, seconds: float) -> None:
    for _ in range(int(2 * seconds)):
        context.hosts[0].read()
        context.added_s += 0.5


@when("{seconds:g} s pass, pages are current again, and it reads further")
def step_current(context: Any, seconds: float) -> None:
    context.added_s += seconds
    show_records(context, None)
    step_reads(context)


@when("{seconds:g} s pass twice, and it reads further after each")
def step_reads_twice(context: Any, seconds: float) -> None:
    for _ in range(2):
        context.added_s += seconds
        step_reads(context)


@then('it has "{keys}"')
def step_has(context: Any, keys: str) -> None:
    check(context.hosts[0], keys)


@then('it has "{keys}", and no doubt')
def step_has_surely(context: Any, keys: str) -> None:
    host = context.hosts[0]
    check(host, keys)
    calls = len(host.calls)
    context.added_s += 1.0
    host.read()
    # Four reads of changes, and no page.
    assert len(host.calls) == calls + 4, host.calls


@given('a host that reads "{keys}", and another one that takes its state')
def step_two(context: Any, keys: str) -> None:
    start_store(context)
    write(context, keys)
    context.hosts += [ListHost(context), ListHost(context)]
    step_reads(context)
    context.hosts[1].take_from(context.hosts[0])


@when('history is dropped with "{key}", and pages are behind')
def step_dropped(context: Any, key: str) -> None:
    show_records(context, context.stand_in.count(TOPIC))
    context.stand_in.drop_history(TOPIC, key, 1)


@when(
    'the first reads further, the other takes its state, and "{key}" is written'
)
def step_first_then_other(context: Any, key: str) -> None:
    step_first_and_other(context)
    write(context, key)


@when(
    "the other reads the store, then {seconds:g} s pass, and pages are current"
    " again"
)
def step_other_reads(context: Any, seconds: float) -> None:
    first, other = context.hosts
    other.read()
    assert other.at.offset > first.at.offset, (first.at, other.at)
    context.added_s += seconds
    show_records(context, None)


@when("the first reads further, and the other takes its state")
def step_first_and_other(context: Any) -> None:
    first, other = context.hosts
    first.read()
    other.take_from(first)


@then('both have "{keys}"')
def step_both(context: Any, keys: str) -> None:
    for host in context.hosts:
        check(host, keys)


@given('a store with "{keys}", and then "{last}"')
def step_list(context: Any, keys: str, last: str) -> None:
    start_store(context)
    write(context, f"{keys} {last}")


@given('a store with "{keys}", and then the removal of "{gone}"')
def step_list_removed(context: Any, keys: str, gone: str) -> None:
    start_store(context)
    write(context, keys)
    context.stand_in.write(TOPIC, gone, None)


@when("a host reads all and then changes")
def step_reads_all(context: Any) -> None:
    host = ListHost(context)
    context.hosts.append(host)
    for _ in range(2):
        res = host.feed.read_once(host.at, 0.0)
        host.at = host.feed.deliver(res)  # type: ignore[arg-type]


@when('a host reads all while pages are from before "b"')
def step_reads_behind(context: Any) -> None:
    show_records(context, 1)
    step_reads_all(context)


@then('it has "{keys}" after at most {calls:d} calls')
def step_has_after(context: Any, keys: str, calls: int) -> None:
    check(context.hosts[0], keys)
    assert len(context.hosts[0].calls) <= calls, context.hosts[0].calls


@when('it reads all while pages and their end are from before "c"')
def step_end_behind(context: Any) -> None:
    host = context.hosts[0]
    show_records(context, 2)
    context.stand_in.faults.update({"is_end_shown": True, "short_reads": True})
    host.had.clear()
    host.at = None
    host.read()
    assert host.at.offset == context.stand_in.count(TOPIC), host.at


@then('it has "{keys}", and did not have "{gone}" meanwhile')
def step_did_not_have(context: Any, keys: str, gone: str) -> None:
    check(context.hosts[0], keys)
    assert gone not in context.hosts[0].had, context.hosts[0].had


class ExpiringSource:
    """A source whose changes have always expired; see `feeds.Source`."""

    def __init__(self) -> None:
        """Makes a source that was not called."""
        self.calls = 0

    def read_newest(self) -> feeds.FullState[int]:
        """Returns a state."""
        self.calls += 1
        return feeds.FullState({"a": 1}, positions.Position(1, 5))

    def read_changes(
        self, since: positions.Position, wait_s: float
    ) -> feeds.Expired:
        """Has no changes."""
        self.calls += 1
        return feeds.Expired()


@given("a feed whose source returns the newest state and then no changes")
def step_expiring(context: Any) -> None:
    start_store(context)
    context.source = ExpiringSource()
    context.feed = feeds.Feed(
        "test",
        context.source,
        ListHost(context),
        lambda: reading.get_config_timing(True),
    )


@when("it runs for {seconds:g} s")
def step_runs_for(context: Any, seconds: float) -> None:
    context.feed.start()
    time.sleep(seconds)
    context.feed.close()
    context.feed.join(5.0)


@when("it reads changes from a position ahead of the log")
def step_reads_ahead(context: Any) -> None:
    host = context.hosts[0]
    ahead = positions.Position(host.at.era, host.at.offset + 1)
    context.stand_in.faults["serves_ahead"] = True
    context.res = host.topic.read_changes(ahead, 0.0)


@then("it must read all again")
def step_must_read(context: Any) -> None:
    assert isinstance(context.res, feeds.Expired), context.res


@given('a store with "{keys}", and a feed that reads every 12 s')
def step_feed(context: Any, keys: str) -> None:
    start_store(context)
    write(context, keys)
    host = ListHost(context)
    context.hosts.append(host)
    host.feed.start()
    context.add_cleanup(host.feed.join, 5.0)
    context.add_cleanup(host.feed.close)
    wait_for(lambda: sorted(host.values) == keys.split(), FOLLOW_S, host)


def wait_for(
    is_done: Callable[[], bool], within_s: float, host: ListHost
) -> None:
    """Waits until a host has what it should."""
    end_s = time.monotonic() + within_s
    while not is_done():
        assert time.monotonic() < end_s, host.values
        time.sleep(0.02)


@when('"{keys}" are written at once, of which a read returns one')
def step_short_reads(context: Any, keys: str) -> None:
    context.stand_in.faults["short_reads"] = True
    write(context, keys)
    context.hosts[0].feed.wake()


@then('it has "{keys}" within {seconds:g} s of its next read')
def step_has_within(context: Any, keys: str, seconds: float) -> None:
    host = context.hosts[0]
    wait_for(lambda: sorted(host.values) == keys.split(), seconds, host)
