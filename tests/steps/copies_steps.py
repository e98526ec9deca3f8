"""Steps on hosts that follow the store across copies of it."""

from __future__ import annotations

import random
import time
from typing import Any

from behave import given, then, when

from egretspur import transport
from egretspur.admission import quarantine
from egretspur.catalog import feeds, positions, quarantined, tables
from egretspur.platform import store
from tests import listing
from tests.catalog import copies
from tests.steps import platform_steps

HOSTS = 3

CONFIG_KEY = "config"


@given('hosts that have read "{names}"')
def step_hosts(context: Any, names: str) -> None:
    context.now_s = 100.0
    context.log = listing.Log()
    context.hosts = [
        listing.Host(context.log, lambda: float(context.now_s))
        for _ in range(HOSTS)
    ]
    beat(context, names)
    read(context, context.hosts)


def beat(context: Any, names: str, **fields: Any) -> None:
    """Has servers write their entries; ``-`` for none."""
    for name in names.split():
        if name != "-":
            entry = listing.make_entry(ord(name), **fields)
            context.log.write(name, entry)


def read(context: Any, hosts: list[listing.Host]) -> None:
    """Has hosts read the store."""
    for host in hosts:
        host.read_changes(context.now_s)
        host.broker.tick(context.now_s)


@given('"{name}" is removed, and {who} have read that')
def step_removed(context: Any, name: str, who: str) -> None:
    context.log.write(name, None)
    read(context, choose(context, who))


@given('"{name}" says that it leaves, and all have read that')
def step_leaves(context: Any, name: str) -> None:
    beat(context, name, state="draining")
    read(context, context.hosts)


@when('the store loses the last {lost:d} records, and "{names}" are written')
def step_copied(context: Any, lost: int, names: str) -> None:
    context.log.restore(lost)
    beat(context, names)


@when("all of them read")
def step_all_read(context: Any) -> None:
    read(context, context.hosts)


@when("all but the last read")
def step_most_read(context: Any) -> None:
    read(context, context.hosts[:-1])


@when("the last takes what the first has")
def step_takes(context: Any) -> None:
    context.before = context.hosts[-1].topic.export(None)
    context.hosts[-1].take_from(context.hosts[0], context.now_s)


@when("another host starts and takes what they have")
def step_starts(context: Any) -> None:
    started = listing.Host(context.log, lambda: float(context.now_s))
    started.take_from(context.hosts[0], context.now_s)
    context.hosts.append(started)


@then('all but the last have "{names}"')
def step_most_have(context: Any, names: str) -> None:
    check(context, context.hosts[:-1], names)


@then('all have "{names}"')
def step_all_have(context: Any, names: str) -> None:
    check(context, context.hosts, names)


def check(context: Any, hosts: list[listing.Host], names: str) -> None:
    """Checks which upstreams hosts may send work to."""
    for host in hosts:
        usable = host.list_usable(context.now_s)
        found = sorted(i.partition("@")[0] for i in usable)
        assert found == sorted(names.split()), found


@then(
    'after another heartbeat of "{names}" and {seconds:g} s all have "{living}"'
)
def step_later(context: Any, names: str, seconds: float, living: str) -> None:
    end_s = context.now_s + seconds
    beat(context, names)
    while context.now_s < end_s:
        context.now_s += 0.8
        read(context, context.hosts)
    check(context, context.hosts, living)


@then('{seconds:g} s later all have "{living}"')
def step_after(context: Any, seconds: float, living: str) -> None:
    context.now_s += seconds
    read(context, context.hosts)
    check(context, context.hosts, living)


@then("the last one's era is the store's")
def step_era(context: Any) -> None:
    assert context.hosts[-1].position.era == context.log.era


@then("it refuses what a host hands it that has not read the copy")
def step_refuses(context: Any) -> None:
    assert context.before is not None
    res = context.hosts[-1].topic.read_snapshot(context.before)
    assert isinstance(res, feeds.Unavailable), res
    # Nor does it hand over itself to one that has read a later copy.
    later = positions.Position(context.log.era + 1, 0)
    assert context.hosts[-1].topic.export(later) is None


def choose(context: Any, who: str) -> list[listing.Host]:
    """Returns the hosts of a sentence."""
    found: list[listing.Host] = context.hosts
    return found[:-1] if who.endswith("but the last") else found


class Connection:
    """Answers calls with an era; see `egretspur.transport.Transport`."""

    era = 2

    def call(self, *args: Any) -> transport.Reply:
        """Answers."""
        return transport.Reply(200, {"Store-Era": str(self.era)}, b"{}")


@given("a client of a store in its second era")
def step_client(context: Any) -> None:
    context.store = store.Store("10.0.0.1:1")
    context.conn = Connection()
    context.store._transport = context.conn
    assert isinstance(context.store.get("/x", {}), transport.Reply)


@when("an answer of the first era comes")
def step_old_answer(context: Any) -> None:
    context.conn.era = 1
    context.res = context.store.get("/x", {})


@then("it counts as no answer, and one of the third era is taken")
def step_dropped(context: Any) -> None:
    assert isinstance(context.res, feeds.Unavailable), context.res
    context.conn.era = 3
    assert isinstance(context.store.get("/x", {}), transport.Reply)
    assert context.store.eras.newest == 3


class ConfigHost:
    """A host that follows the configuration."""

    def __init__(self, log: listing.Log) -> None:
        self.topic = store.make_config_topic(log)  # type: ignore[arg-type]
        self.at: positions.Position | None = None

    def read(self) -> None:
        """Reads the store."""
        res: Any = feeds.Expired()
        if self.at is not None:
            res = self.topic.read_changes(self.at, 0.0)
        if isinstance(res, feeds.Expired):
            res = self.topic.read_newest()
        self.at = res.next

    def get_version(self) -> int:
        """Returns the version that it has, or hands to others."""
        value = self.topic.table.get_value(CONFIG_KEY)
        assert value is not None and not isinstance(value, feeds.Unreadable)
        return value.version


def write_config(context: Any, version: int) -> None:
    """Writes a configuration as operators do."""
    cfg = {**platform_steps.EXAMPLE, "version": version}
    context.log.write(CONFIG_KEY, cfg)


@given("hosts that have read configuration {first:d} and then {second:d}")
def step_config_hosts(context: Any, first: int, second: int) -> None:
    context.log = listing.Log()
    context.hosts = [ConfigHost(context.log) for _ in range(HOSTS)]
    for version in (first, second):
        write_config(context, version)
        for host in context.hosts:
            host.read()


@when(
    "the store loses the last {lost:d} records,"
    " and configuration {version} comes"
)
def step_config_copied(context: Any, lost: int, version: str) -> None:
    context.log.restore(lost)
    if version != "none":
        write_config(context, int(version))
    for host in context.hosts:
        host.read()


@when("configurations {first:d} and {second:d} come and are read in turn")
def step_config_again(context: Any, first: int, second: int) -> None:
    for version in (first, second):
        write_config(context, version)
        for host in context.hosts:
            host.read()


@then("one that has read the store itself before it asks them")
def step_config_asks(context: Any) -> None:
    started = ConfigHost(context.log)
    started.read()
    assert started.get_version() == 8
    data = context.hosts[0].topic.export(started.at)
    assert data is not None
    started.topic.read_snapshot(data)
    assert started.get_version() == 9


@then("all have configuration {version:d}, and so has a host that starts")
def step_config_now(context: Any, version: int) -> None:
    assert [h.get_version() for h in context.hosts] == [version] * HOSTS
    started = ConfigHost(context.log)
    for since in (None, context.hosts[0].at):
        # Also one that has read the copy itself before it asks.
        data = context.hosts[0].topic.export(since)
        if data is not None:
            started.topic.read_snapshot(data)
    assert started.get_version() == version


class QuarantineHost:
    """A host's writer, and the records that it wrote."""

    def __init__(self, seed: int) -> None:
        self.written: list[str] = []
        self.writer = quarantined.Writer(self.write, random.Random(seed))

    def write(self, fingerprint: str, ends: quarantine.CrashWeights) -> str:
        """Takes a record as the store does."""
        self.written.append(fingerprint)
        return ""


ENDS = {"a": 1.0, "b": 1.0, "c": 1.0}


@given('three quarantine writers, the first of which recently wrote "{name}"')
def step_writers(context: Any, name: str) -> None:
    context.quarantine_hosts = [QuarantineHost(seed) for seed in range(HOSTS)]
    first = context.quarantine_hosts[0]
    first.writer.queue_changes([quarantine.Change(name, ENDS, True)])
    assert first.writer.write_due()
    first.written.clear()


@given('all know "{first}" and "{second}" from the store')
def step_know(context: Any, first: str, second: str) -> None:
    context.report = tables.RestoreReport(
        "t", 1, 2, 0, {first: ENDS, second: ENDS}, ()
    )


@when("the store comes back without both")
def step_without_both(context: Any) -> None:
    for host in context.quarantine_hosts:
        host.writer.rewrite_lost(context.report, is_reader=True)


@then('the first writes "{name}" at once')
def step_at_once(context: Any, name: str) -> None:
    for host in context.quarantine_hosts:
        host.writer.write_due()
    assert [h.written for h in context.quarantine_hosts] == [[name], [], []]
    for host in context.quarantine_hosts:
        host.writer.cancel_rewrite(name)


@then('one of them has "{name}" written within {seconds:g} s')
def step_written_by(context: Any, name: str, seconds: float) -> None:
    end_s = time.monotonic() + seconds
    while not any(name in h.written for h in context.quarantine_hosts):
        assert time.monotonic() < end_s, name
        for host in context.quarantine_hosts:
            host.writer.write_due()
            if name in host.written:
                break
        time.sleep(0.02)
    # All hosts read it.
    for host in context.quarantine_hosts:
        host.writer.cancel_rewrite(name)


@then("what is seen written meanwhile is written by nobody else")
def step_nobody_else(context: Any) -> None:
    time.sleep(quarantined.REWRITE_DELAY_S[1])
    for host in context.quarantine_hosts:
        host.writer.write_due()
    written = [n for h in context.quarantine_hosts for n in h.written]
    assert sorted(written) == ["f1", "f2"], written


@given("three hosts with the list of three upstreams")
def step_machine(context: Any) -> None:
    context.machine = copies.CopiesMachine()
    context.machine.pass_time(5.0)


@when("the store loses its last record, and then an upstream leaves")
def step_lost_then_left(context: Any) -> None:
    context.machine.copy(1, 0)
    context.machine.end(1)


@when(
    "the first host reads, all read 5 s later, and the second one gives the"
    " first a snapshot"
)
def step_read_and_give(context: Any) -> None:
    context.machine.read(0)
    context.machine.pass_time(5.0)
    context.machine.hand_over(1, 0)


@given(
    "three hosts that know one upstream as draining and one as started again"
)
def step_drained_and_started(context: Any) -> None:
    context.machine = copies.CopiesMachine()
    context.machine.drain(2)
    context.machine.restart(1)
    context.machine.pass_time(5.0)


@when(
    "the store loses both records, all read 5 s later, and the second one"
    " leaves"
)
def step_lost_both(context: Any) -> None:
    context.machine.copy(2, 0)
    context.machine.pass_time(5.0)
    context.machine.end(1)
    context.machine.pass_time(5.0)


@then(
    "all hosts list the upstreams that are alive, once these have written again"
)
def step_lists(context: Any) -> None:
    context.machine.teardown()
