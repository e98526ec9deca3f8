"""Steps on how hosts know and find each other."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterable
from typing import Any, Final
from unittest import mock

import attrs
import orjson
from behave import given, then, when

from egretspur import addresses, codec, decisions
from egretspur.catalog import feeds
from egretspur.membership import (
    datagrams,
    exchange,
    hosts,
    lists,
    seeds,
)
from egretspur.platform import node, store
from tests import stage
from tests.steps import membership_steps, platform_steps

ME: Final = "10.1.0.1:7340/8229"
IP: Final = "127.0.0.1"

# Partitions of the duty's topic.
PARTITIONS: Final = 12

# Seconds between two joins of a host in its group.
STEP_S: Final = 1.0


@given("the settings of a host, and others that differ in {difference}")
def step_settings(context: Any, difference: str) -> None:
    first = platform_steps.SETTINGS
    second = codec.load_json(orjson.dumps(first))
    if difference == "the IP":
        second["ip"] = "10.0.0.77"
    elif difference == "the ports of updates":
        second["port_range"] = [7360, 7375]
    else:
        second["listen"]["control_plane"] += "1"
    context.found = [
        str(node.decode_settings(s).address) for s in (first, second)
    ]


@then("the two are different hosts to a third one")
def step_two(context: Any) -> None:
    peers = hosts.Peers(ME, "kl-hall", [])
    for host in context.found:
        peers.record_update(membership_steps.make_news(host), 100.0)
    assert peers.count_budget_sharers() == 3


@given('settings whose seeds are "{one}", "{other}" and "{third}"')
def step_seeds(context: Any, one: str, other: str, third: str) -> None:
    context.settings = {
        **platform_steps.SETTINGS,
        "seeds": [one, other, third],
    }


@then('the host knows the seed "{seed}" alone')
def step_seed(context: Any, seed: str) -> None:
    assert node.decode_settings(context.settings).list_seeds() == [seed]


@given('settings whose IP is "{ip}"')
def step_ip(context: Any, ip: str) -> None:
    context.settings = {**platform_steps.SETTINGS, "ip": ip}


@then("the host refuses them")
def step_refused(context: Any) -> None:
    try:
        node.decode_settings(context.settings)
    except ValueError:
        return
    raise AssertionError("accepted")


@given('a host "{host}"')
def step_host(context: Any, host: str) -> None:
    context.address = addresses.parse(host)


@then("{text} is {host} to it")
def step_named(context: Any, text: str, host: str) -> None:
    try:
        found = context.address.complete(text)
    except ValueError:
        found = "refused"
    assert found == host, found


@given("three hosts at one address of which two know only the first's pages")
def step_one_address(context: Any) -> None:
    context.play = membership_steps.Talkers()
    ports: set[int] = set()
    while len(ports) < 3:
        ports.add(stage.find_udp_port([IP]))
    found = [
        addresses.parse(f"{IP}:{port}/{9001 + i}")
        for i, port in enumerate(sorted(ports))
    ]
    membership_steps.start_three(context, found)
    answer = orjson.dumps(
        attrs.asdict(seeds.Identity(str(found[0]), "kl-hall"))
    )

    def fetch(address: str, path: str) -> bytes | None:
        assert path == seeds.HOST_PATH
        return answer if address == found[0].control else None

    for item in context.play.exchanges:
        finder = seeds.SeedFinder(item, fetch)
        finder.start()
        context.add_cleanup(finder.close)


@when("a host of an older build, which names itself by its IP, sends it one")
def step_older(context: Any) -> None:
    context.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.add_cleanup(context.sock.close)
    context.sock.bind(("127.0.0.2", context.port))
    news = datagrams.encode_update(membership_steps.make_news("127.0.0.2"))
    context.sock.sendto(news, (IP, context.port))


@then("it answers in the form that the older build reads")
def step_answers(context: Any) -> None:
    context.sock.settimeout(5.0)
    for _ in range(3 * exchange.PEER_LIST_INTERVAL):
        row = json.loads(context.sock.recv(65536))
        assert row[0] == IP, row
        if row[8]:
            break
    assert row[8] == {"127.0.0.2": "kl-hall"}, row
    assert context.goes == [[f"127.0.0.2:{context.port}/{context.port}"]]


@when("another process sends it an update in its own name")
def step_as_this(context: Any) -> None:
    context.recorded = []
    host = f"{IP}:{context.port}/{context.port}"
    data = datagrams.encode_update(membership_steps.make_news(host))
    with mock.patch.object(decisions, "record", context.recorded.append):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(data, (IP, context.port))
        stage.wait_until(lambda: context.recorded, 5.0, "it is logged")


@then("it logs that, and takes no update from it")
def step_logged(context: Any) -> None:
    (left_out,) = context.recorded
    assert left_out.field == "host", left_out
    assert "another process" in left_out.problem, left_out
    assert not context.goes, context.goes


@attrs.define
class Store:
    """Answers with the owners of partitions, or not at all; see `Group`."""

    owners: Iterable[str] | None
    eras: Any = None

    def get(self, path: str, query: Any) -> Any:
        """Returns the owners."""
        if self.owners is None:
            return feeds.Unavailable("down")
        rows = [["duty", i, o, 0] for i, o in enumerate(self.owners)]
        reply = mock.Mock()
        reply.read_json = lambda: {"parts": rows}
        return reply


def make_owners(members: str) -> list[str] | None:
    """Returns the owners of the partitions of a group."""
    if members == "not available":
        return None
    named = {
        "it and h2": [ME, make_name(2)],
        "it and a gap": [ME, ""],
        "12 hosts": [ME, *map(make_name, range(2, 13))],
        "h3": [make_name(3)],
        "nobody": [""],
    }[members]
    return [named[i % len(named)] for i in range(PARTITIONS)]


def make_name(number: int) -> str:
    """Returns a host that a list names."""
    return f"10.1.0.{number}:7340/8229"


@given(
    "a host that hears nobody and whose settings name {named} of 2 data centres"
)
def step_hears_nobody(context: Any, named: str) -> None:
    context.counted = []
    address = addresses.parse(ME)
    known = [make_name(2)] if named == "a host" else []
    context.exchange = exchange.Exchange(
        hosts.Peers(ME, "kl-hall", known, data_centres=("kl-hall", "pg-hall")),
        address,
        membership_steps.make_sender(ME),
        lambda news: news,
        lambda news, sharing: None,
    )


@when(
    "it reads the lists for {seconds:d} s, which name {own} in its own and"
    " {other} in the other"
)
def step_reads_lists(context: Any, seconds: int, own: str, other: str) -> None:
    now_s = 100.0
    groups = {
        place: store.Group(Store(make_owners(members)), place, ME)  # type: ignore[arg-type]
        for place, members in (("kl-hall", own), ("pg-hall", other))
    }
    found = lists.MemberLists(
        groups,
        "kl-hall",
        context.exchange,
        context.counted.append,
        lambda: now_s,
    )
    with mock.patch("time.monotonic", lambda: now_s):
        while now_s <= 100.0 + seconds:
            found.read(1)
            now_s += STEP_S
    context.exchange.close()


@then("it counts {count} hosts")
def step_counts(context: Any, count: str) -> None:
    last = str(context.counted[-1]) if context.counted else "no"
    assert last == count, context.counted
