"""Steps on starts of upstreams and on entries from other writers."""

from __future__ import annotations

import contextlib
import json
import logging
from collections.abc import Iterator
from typing import Any

import attrs
from behave import given, then, when

from egretspur import decisions
from egretspur.catalog import upstreams
from egretspur.routing import fleet, jobs
from tests import fleets, listing

AGAIN_MS = listing.BORN_MS + 5000


class Lines(logging.Handler):
    """Keeps decisions of one class as the log has them; see `recording`."""

    def __init__(self, event: str) -> None:
        super().__init__()
        self.event = event
        self.found: list[dict[str, Any]] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Takes a line."""
        if record.__dict__.get(decisions.EVENT_KEY) == self.event:
            self.found.append(record.__dict__)


@contextlib.contextmanager
def recording(event: str) -> Iterator[list[dict[str, Any]]]:
    """Gives the lines of one kind that are logged within the block."""
    lines, logger = Lines(event), decisions.LOGGER
    level, logger.propagate = logger.level, False
    logger.setLevel(logging.INFO)
    logger.addHandler(lines)
    try:
        yield lines.found
    finally:
        logger.removeHandler(lines)
        logger.setLevel(level)
        logger.propagate = True


def settle(context: Any) -> None:
    """Has all hosts read the list, each in its way, and log."""
    for i, host in enumerate(context.hosts):
        with recording("entry_left_out") as lines:
            if i == 0:
                host.read_changes(context.now_s)
            elif i == 1:
                host.read_whole(context.now_s)
            else:
                host.take_from(context.hosts[0], context.now_s)
            host.broker.tick(context.now_s)
            for note in host.broker.take_notes():
                decisions.record(note)
        context.lines[i] += [(f["key"], f["field"]) for f in lines]


def get_name(upstream_id: str) -> str:
    """Returns the name of the server of a start."""
    return upstream_id.partition(upstreams.START_MARK)[0]


def find(host: listing.Host, name: str) -> upstreams.Upstream:
    """Returns the entry that a host has of a server."""
    return host.roster.entries[host.roster.by_name[name]]


def check_usable(context: Any, names: set[str], hosts: list[Any]) -> None:
    """Checks which upstreams hosts may use."""
    for host in hosts:
        found = {get_name(i) for i in host.list_usable(context.now_s)}
        assert found == names, (context.hosts.index(host), found)


@given("a list with engines e-1 and e-2, and hosts that read it")
def step_list(context: Any) -> None:
    context.log = listing.Log()
    context.now_s = 10.0
    context.entries = {f"e-{i}": listing.make_entry(i) for i in (1, 2)}
    for name, entry in context.entries.items():
        context.log.write(name, entry)
    context.hosts = [listing.Host(context.log) for _ in range(3)]
    context.lines = [[], [], []]
    for host in context.hosts:
        host.broker.configure(fleets.make_config(), context.now_s)
        host.read_whole(context.now_s)


@when('an entry "x" at the address of e-1 is added with {field} = {value}')
def step_strange(context: Any, field: str, value: str) -> None:
    entry = listing.make_entry(1, **{field: json.loads(value)})
    context.log.write("x", entry)
    settle(context)
    # It is written anew every heartbeat.
    context.log.write("x", entry)
    settle(context)


@when('the bytes {text} are written as "x"')
def step_bytes(context: Any, text: str) -> None:
    raw = text.encode().decode("unicode_escape").encode("latin-1")
    context.log.write("x", raw)
    settle(context)


@when("the record of e-1 is replaced by one with {field} = {value}")
def step_replaced(context: Any, field: str, value: str) -> None:
    entry = {**context.entries["e-1"], field: json.loads(value)}
    context.log.write("e-1", entry)
    settle(context)
    fresh = listing.Host(context.log)
    fresh.broker.configure(fleets.make_config(), context.now_s)
    fresh.read_whole(context.now_s)
    context.fresh = fresh


@when("e-1 writes its entry again")
def step_again(context: Any) -> None:
    context.log.write("e-1", context.entries["e-1"])
    settle(context)


@when("{seconds:g} s pass on the hosts' clocks")
def step_pass(context: Any, seconds: float) -> None:
    context.now_s += seconds
    settle(context)


@when('an entry "{name}" of service "{service}" is added')
def step_later(context: Any, name: str, service: str) -> None:
    context.log.write(name, listing.make_entry(3, service=service))
    settle(context)


@when('a configuration with service "{service}" is in force')
def step_configured(context: Any, service: str) -> None:
    cfg = fleets.make_config(2)
    engine = attrs.evolve(cfg.services["llm"], name=service)
    services = {**cfg.services, service: engine}
    for host in context.hosts:
        host.broker.configure(
            attrs.evolve(cfg, services=services), context.now_s
        )


@when("e-1 says that it is draining")
def step_draining(context: Any) -> None:
    entry = {**context.entries["e-1"], "state": "draining"}
    context.log.write("e-1", entry)
    settle(context)


@when("e-1 starts again, empty")
def step_restart(context: Any) -> None:
    context.log.write(
        "e-1",
        {**context.entries["e-1"], "born": AGAIN_MS, "layer_count": None},
    )
    settle(context)


@when("its entry from before is written once more")
def step_late(context: Any) -> None:
    context.log.write("e-1", context.entries["e-1"])
    settle(context)


@when("the entry of e-1 is removed")
def step_removed(context: Any) -> None:
    context.log.write("e-1", None)
    settle(context)


@when("e-1 was down, refused, failed, was slow and had requests")
def step_known(context: Any) -> None:
    for host in context.hosts:
        state = host.broker.fleet
        mine = find(host, "e-1").id
        state.health.mark_down(mine, context.now_s)
        state.health.record_refusal(mine, context.now_s)
        state.health.record_fault(mine, context.now_s)
        state.paces.record_pace(mine, 5.0)
        state.memory.add(mine, 3, 900.0)
        state.layer_changes.record_reported(
            mine, upstreams.Layers(0, 31), context.now_s
        )


@when("a probe of e-1 brings a report of a newer start")
def step_newer_report(context: Any) -> None:
    host = context.hosts[0]
    report = attrs.evolve(upstreams.PLAIN_REPORT, born_ms=AGAIN_MS)
    host.broker.fleet.apply_report(find(host, "e-1").id, report, context.now_s)


@when("a probe of e-1 brings a report of its former start")
def step_older_report(context: Any) -> None:
    report = attrs.evolve(
        upstreams.PLAIN_REPORT,
        born_ms=listing.BORN_MS,
        layers=upstreams.Layers(0, 31),
        pace=9.0,
    )
    for host in context.hosts:
        mine = find(host, "e-1").id
        host.broker.fleet.apply_report(mine, report, context.now_s)
        assert host.broker.fleet.paces.get(mine, context.now_s) == 1.0


@when(
    "a peer update says that the former start of e-1 is dead and holds"
    ' "{layers}"'
)
def step_news(context: Any, layers: str) -> None:
    former = upstreams.make_start_id("e-1", listing.BORN_MS)
    held = fleets.parse_layers(layers)
    assert held is not None
    news = fleet.PeerState(
        "10.0.0.99",
        "kl-hall",
        {former: jobs.Usage(40, 1e6)},
        {former: 9.0},
        (former,),
        {former: upstreams.AgedLayers(held, 0.0)},
    )
    for host in context.hosts:
        host.broker.fleet.apply_peer_update(news, context.now_s)
        host.broker.refresh(context.now_s)


@when('an entry "{name}" without born is added')
def step_no_born(context: Any, name: str) -> None:
    entry = listing.make_entry(3)
    del entry["born"]
    context.log.write(name, entry)
    settle(context)


@when('an entry "x" without born is added at the address of e-1')
def step_no_born_there(context: Any) -> None:
    entry = listing.make_entry(1)
    del entry["born"]
    context.log.write("x", entry)
    settle(context)


@then("every host uses {names}")
def step_uses(context: Any, names: str) -> None:
    wanted = names.removesuffix(" alone").replace(" and ", ", ").split(", ")
    hosts = [*context.hosts]
    if getattr(context, "fresh", None) is not None:
        hosts.append(context.fresh)
        context.fresh.read_whole(context.now_s)
    for host in hosts:
        found = {get_name(i) for i in host.list_usable(context.now_s)}
        assert found == set(wanted), found


@then("every host that knew its new start uses e-2 alone")
def step_knew(context: Any) -> None:
    check_usable(context, {"e-2"}, context.hosts)


@then('every host has logged "x" once, for "{field}"')
def step_logged(context: Any, field: str) -> None:
    assert context.lines == [[("x", field)]] * 3, context.lines


@then("the hosts that knew e-1 still count its layers")
def step_counts(context: Any) -> None:
    for host in context.hosts:
        assert find(host, "e-1").layers == upstreams.Layers(0, 20)


@then("no host knows e-1")
def step_unknown(context: Any) -> None:
    for host in context.hosts:
        assert "e-1" not in host.roster.by_name


@then("every host knows that e-1 holds nothing")
def step_nothing(context: Any) -> None:
    for host in context.hosts:
        assert find(host, "e-1").layers is None, find(host, "e-1")


@then("the host that asked knows that e-1 holds nothing")
def step_asked(context: Any) -> None:
    assert find(context.hosts[0], "e-1").layers is None
    # The entry from before does not undo it.
    context.log.write("e-1", context.entries["e-1"])
    context.hosts[0].read_changes(context.now_s)
    assert find(context.hosts[0], "e-1").layers is None


@then("nothing of that is known of e-1")
def step_not_known(context: Any) -> None:
    for host in context.hosts:
        state = host.broker.fleet
        entry = find(host, "e-1")
        assert state.is_usable(entry, context.now_s)
        assert not state.health.is_dead(entry.id, context.now_s)
        assert state.health.get_slowdown(entry.id, context.now_s) == 1.0
        assert state.paces.get(entry.id, context.now_s) == 1.0
        assert state.memory.get_usage(entry.id, context.now_s) == jobs.Usage()
        assert entry.layers is None
        former = upstreams.make_start_id("e-1", listing.BORN_MS)
        assert former not in state.layer_changes.list_published(
            2.0, context.now_s
        )
