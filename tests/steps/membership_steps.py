"""Steps on the duty and on peer updates."""

from __future__ import annotations

import collections
import gc
import itertools
import json
import random
import socket
import time
from collections.abc import Sequence
from typing import Any
from unittest import mock

import attrs
import hypothesis
from behave import given, then, when
from hypothesis import strategies as st

from egretspur import addresses, decisions
from egretspur.admission import segments
from egretspur.catalog import feeds, reading, upstreams
from egretspur.membership import (
    contact,
    datagrams,
    duty,
    evidence,
    exchange,
    hosts,
    lists,
    sidechannels,
    slowness,
)
from egretspur.routing import jobs
from tests import stage

# Values of which each field of a datagram refuses most by their types.
WRONG: tuple[Any, ...] = (None, "", -1, [1], {"x": []}, {"": "x"}, "a", 1e300)

IPS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")


def make_news(
    host: str = "10.0.0.1", data_centre: str = "kl-hall", store_age_s: float = 0
) -> datagrams.PeerUpdate:
    """Returns the news of a host with nothing in flight."""
    return datagrams.PeerUpdate(
        host,
        data_centre,
        store_age_s,
        reading.ReadState(1, 7, store_age_s),
        {},
        {},
        (),
        {},
        {},
    )


@given("a lease that was asked for at {asked:f} s and dealt to this host")
def step_lease(context: Any, asked: float) -> None:
    context.lease = duty.Lease()
    context.lease.apply_reply(duty.JoinReply(True, 1), asked)


@when("the next answer says that another host has it")
def step_dealt(context: Any) -> None:
    context.lease.apply_reply(duty.JoinReply(False, 2), 10.4)


@then("orders may be given until {last:f} s and not at {after:f} s")
def step_until(context: Any, last: float, after: float) -> None:
    assert context.lease.is_held(last - 0.001, 0)
    assert not context.lease.is_held(after, 0)


@then("orders may not be given at {now:f} s")
def step_not_held(context: Any, now: float) -> None:
    assert not context.lease.is_held(now, 0)


@given('host "{ip}" in "{data_centre}"')
@given('host "{ip}" in "{data_centre}", cut off from the store')
def step_cut_off(context: Any, ip: str, data_centre: str) -> None:
    context.me = ip
    context.peers = hosts.Peers(ip, data_centre, [], random.Random(7))


@given(
    'it heard of host "{peer}" in "{data_centre}" {age:f} s ago,'
    " whose store answered {store:g} s ago"
)
def step_heard(
    context: Any, peer: str, data_centre: str, age: float, store: float
) -> None:
    context.peers.record_update(
        make_news(peer, data_centre, store), 100.0 - age
    )


@then("it {verdict} stand in")
def step_verdict(context: Any, verdict: str) -> None:
    assert context.peers.may_be_deputy(100.0) == (verdict == "may")


@then("it {verdict} ask for the duty")
def step_asks(context: Any, verdict: str) -> None:
    assert context.peers.is_candidate(100.0) == (verdict == "does")


@then("the store {verdict} to be away for it, asked {age:g} s ago")
def step_away(context: Any, verdict: str, age: float) -> None:
    is_away = context.peers.is_store_away(age, 100.0)
    assert is_away == (verdict == "counts")


@given("it heard now that {count:d} hosts have version {version:d}")
def step_versions(context: Any, count: int, version: int) -> None:
    step_heard_versions(context, 0.0, count, version)


@given("it heard {age:g} s ago that {count:d} hosts have version {version:d}")
def step_heard_versions(
    context: Any, age: float, count: int, version: int
) -> None:
    for i in range(count):
        peer = f"10.1.{version}.{i + 1}"
        record_version(context, peer, "kl-hall", version, age)


@given(
    'host "{peer}" in "{data_centre}" has sent version {version:d}'
    " {age:g} s ago"
)
def record_version(
    context: Any, peer: str, data_centre: str, version: int, age: float
) -> None:
    """Has the host hear of another one with a version."""
    known = reading.ReadState(version, 7, 0.5)
    news = attrs.evolve(make_news(peer, data_centre, 0.0), known=known)
    context.peers.record_update(news, 100.0 - age)


@then('it asks "{peer}" first for the configuration, and for the list')
def step_asks_first(context: Any, peer: str) -> None:
    for hosts_found in (
        context.peers.list_newest(100.0),
        context.peers.list_by_freshness(100.0),
    ):
        assert hosts_found[0] == peer, hosts_found
        assert len(hosts_found) == 4, hosts_found


@then("{count:d} hosts are asked for the configuration, each as often")
def step_asked(context: Any, count: int) -> None:
    first = collections.Counter(
        context.peers.list_newest(100.0)[0] for _ in range(100 * count)
    )
    assert len(first) == count, first
    assert all(50 <= n <= 200 for n in first.values()), first


@then("it {verdict} read for the others")
def step_reads(context: Any, verdict: str) -> None:
    assert context.peers.is_reader(100.0) == (verdict == "must")


@given("a host with version {version:d}, digest {digest:d}, read {age:g} s ago")
def step_known(context: Any, version: int, digest: int, age: float) -> None:
    context.known = reading.ReadState(version, digest, age)


@when("it hears of version {version:d}, digest {digest:d}, read {age:g} s ago")
def step_told(context: Any, version: int, digest: int, age: float) -> None:
    context.told = reading.ReadState(version, digest, age)


@then('it reads "{what}"')
def step_reads_what(context: Any, what: str) -> None:
    due = [
        name
        for name, is_due in (
            ("configuration", reading.is_config_stale),
            ("list", reading.is_list_stale),
        )
        if is_due(context.known, context.told)
    ]
    assert due == ([] if what == "nothing" else what.split()), due


@attrs.define
class Group:
    """A group whose store answers as told; see `duty.Group`."""

    answer: duty.JoinReply | feeds.Unavailable
    joins: int = 0
    leaves: int = 0
    era: int = 0
    members: lists.MemberList = lists.MemberList(("10.1.0.20",), True)

    def join(self, ttl_s: float) -> duty.JoinReply | feeds.Unavailable:
        """Answers."""
        self.joins += 1
        return self.answer

    def leave(self) -> None:
        """Counts."""
        self.leaves += 1

    def get_era(self) -> int:
        """Answers as told."""
        return self.era

    def list_members(self) -> lists.MemberList | feeds.Unavailable:
        """Answers as told."""
        return self.members


@attrs.define
class Alone:
    """Peers of a host that hears nobody."""

    # Fewer than a few hosts come before it.
    may_join: bool = True

    def is_candidate(self) -> bool:
        """Answers as told."""
        return self.may_join

    def may_be_deputy(self) -> bool:
        """A host alone is the first."""
        return True


@given("a member that holds the duty")
def step_holder(context: Any) -> None:
    context.now_s = 50.0
    context.alone = Alone()
    context.group = Group(duty.JoinReply(True, 1))
    context.member = duty.Duty(
        context.group, context.alone, lambda: float(context.now_s)
    )
    context.member.join()
    assert context.member.is_held()


@when("it hears of three hosts that come before it")
def step_others_first(context: Any) -> None:
    context.alone.may_join = False
    context.now_s += duty.JOIN_PERIOD_S
    context.member.join()


@then("it gives the duty up and asks no more")
def step_given_up(context: Any) -> None:
    assert not context.member.is_held()
    assert context.group.leaves == 1
    joins = context.group.joins
    for _ in range(10):
        context.now_s += duty.JOIN_PERIOD_S
        context.member.join()
    assert context.group.joins == joins
    assert context.group.leaves == 1


@when("it comes first again, and the store does not answer")
def step_first_again(context: Any) -> None:
    context.alone.may_join = True
    context.asked_s = context.now_s
    context.group.answer = feeds.Unavailable("down")


@given("a member whose store answers once and never again")
def step_member(context: Any) -> None:
    context.now_s = context.asked_s = 50.0
    context.member = duty.Duty(
        Group(duty.JoinReply(False, 1)), Alone(), lambda: float(context.now_s)
    )
    context.member.join()
    context.member.group.answer = feeds.Unavailable("down")


@then("it gives no orders before {seconds:f} s have passed")
def step_waits(context: Any, seconds: float) -> None:
    while context.now_s < context.asked_s + seconds - 0.1:
        context.member.join()
        assert not context.member.is_held(), context.now_s
        context.now_s += 0.3


@then("it stands in afterwards")
def step_stands_in(context: Any) -> None:
    context.now_s += 0.5
    assert context.member.is_held()


@when("the store answers that another host has the duty")
def step_back(context: Any) -> None:
    context.member.group.answer = duty.JoinReply(False, 2)
    context.member.join()


@then("it stands in no more")
def step_ends(context: Any) -> None:
    assert not context.member.is_held()


@given("an update with requests in flight, slow and dead engines and layers")
def step_news(context: Any) -> None:
    context.news = datagrams.PeerUpdate(
        "10.1.0.4",
        "kl-hall",
        0.25,
        reading.ReadState(12, 345, 0.5),
        {"i-1": jobs.Usage(3, 40500.0), "i-2": jobs.Usage(1, 900.0)},
        {"i-3": 4.0},
        ("i-4",),
        {"i-5": upstreams.AgedLayers(upstreams.Layers(20, 31), 1.25)},
        {"10.1.0.5": "pg-hall"},
        {"i-6": 90000.0},
    )


@when("it is sent as a datagram")
def step_sent(context: Any) -> None:
    context.read = read_alone(datagrams.encode_update(context.news))


@then("the same update is decoded from it")
def step_same(context: Any) -> None:
    assert context.read == context.news, context.read


@when('the datagram "{data}" is read')
def step_datagram(context: Any, data: str) -> None:
    context.read = read_alone(data.encode())


@when("field {place:d} of its datagram is {value}")
def step_field(context: Any, place: int, value: str) -> None:
    row = json.loads(datagrams.encode_update(context.news))
    parts = [json.dumps(v) for v in row]
    parts[place] = value
    context.read = read_alone(f"[{','.join(parts)}]".encode())


@then('it is refused for its "{field}"')
def step_refused_field(context: Any, field: str) -> None:
    assert isinstance(context.read, datagrams.InvalidUpdate), context.read
    assert context.read.field == field, context.read


@then("it is ignored")
def step_ignored(context: Any) -> None:
    assert isinstance(context.read, datagrams.InvalidUpdate), context.read


def read_alone(data: bytes) -> datagrams.PeerUpdate | datagrams.InvalidUpdate:
    """Reads a datagram as the first one of its host."""
    return datagrams.Decoder().decode(data)


@when("one field of its datagram after the other is of another type")
def step_fields_broken(context: Any) -> None:
    row = json.loads(datagrams.encode_update(context.news))
    context.outcomes = []
    for place, wrong in itertools.product(range(len(row)), WRONG):
        if type(wrong) is type(row[place]):
            continue
        data = json.dumps([*row[:place], wrong, *row[place + 1 :]]).encode()
        decoder = datagrams.Decoder()
        before = decoder.decode(datagrams.encode_update(context.news))
        assert before == context.news, before
        context.outcomes.append((place, wrong, read_alone(data)))
        context.outcomes.append((place, wrong, decoder.decode(data)))


@then("each is refused, also after a whole one")
def step_all_refused(context: Any) -> None:
    assert len(context.outcomes) > 100, len(context.outcomes)
    for place, wrong, found in context.outcomes:
        assert isinstance(found, datagrams.InvalidUpdate), (place, wrong, found)


@when("hosts send arbitrary updates, one after the other")
def step_any_news(context: Any) -> None:
    usage = st.dictionaries(
        st.sampled_from(("i-1", "i-2")),
        st.builds(jobs.Usage, st.integers(0, 2), st.integers(0, 2)),
    )
    ids = st.lists(st.sampled_from(("i-1", "i-2")), max_size=2).map(tuple)
    ends = st.dictionaries(
        st.sampled_from(("f-1", "f-2")),
        st.dictionaries(st.sampled_from(("i-1", "i-2")), st.just(1.0)),
    )
    drawn = st.builds(
        attrs.evolve,
        st.sampled_from(("10.0.0.1", "10.0.0.2")).map(make_news),
        store_age_s=st.sampled_from((0.0, 0.25)),
        usage=usage,
        dead=ids,
        suspects=ids,
        ended=ends,
        is_new=st.booleans(),
    )
    context.checked = 0

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(st.lists(drawn, max_size=8))
    def check(told: list[datagrams.PeerUpdate]) -> None:
        decoder = datagrams.Decoder()
        for news in told:
            assert decoder.decode(datagrams.encode_update(news)) == news
            context.checked += 1

    check()


@then("each is decoded as it was sent")
def step_each_read(context: Any) -> None:
    assert context.checked > 300, context.checked


@when("more hosts send updates than are cached")
def step_many_hosts(context: Any) -> None:
    context.decoder = datagrams.Decoder()
    for i in range(datagrams.MAX_CACHED_HOSTS + 10):
        news = make_news(f"10.0.{i // 250}.{i % 250}")
        assert context.decoder.decode(datagrams.encode_update(news)) == news


@then("only as many last datagrams are in memory as are cached")
def step_kept(context: Any) -> None:
    (last,) = [
        v for v in gc.get_referents(context.decoder) if isinstance(v, dict)
    ]
    assert len(last) == datagrams.MAX_CACHED_HOSTS, len(last)


@given("hosts {hosts} of {data_centre} that were heard now")
def step_hosts_heard(context: Any, hosts: str, data_centre: str) -> None:
    for host in hosts.split(", "):
        context.peers.record_update(make_news(host, data_centre), 100.0)


@then("it sends to {hosts} each time")
def step_near(context: Any, hosts: str) -> None:
    assert context.peers.list_local(100.1) == hosts.split(", ")


@then("as speaker to {hosts}")
def step_far(context: Any, hosts: str) -> None:
    assert context.peers.is_speaker(100.1)
    assert context.peers.list_remote(100.1) == hosts.split(", ")


@given("{count:d} more hosts of {place} that it only knows of")
def step_known_of(context: Any, count: int, place: str) -> None:
    context.known = [f"10.2.1.{i + 1}" for i in range(count)]
    teller = make_news("10.1.0.99", "kl-hall")
    peers = dict.fromkeys(context.known, place)
    context.peers.record_update(attrs.evolve(teller, peers=peers), 100.0)


@then("it sends to {host} of them and one more")
def step_tells_one(context: Any, host: str) -> None:
    told = context.peers.list_remote(100.1)
    assert len(told) == 2
    assert host in told


@then("it sends to {count:d} of them")
def step_tells_all(context: Any, count: int) -> None:
    assert len(context.peers.list_remote(100.1)) == count


@given("a host of kl-hall and four of pg-hall on this machine, and no spares")
def step_two_places(context: Any) -> None:
    patch = mock.patch.object(hosts, "SPARE_CONTACTS", 0)
    patch.start()
    context.add_cleanup(patch.stop)
    context.play = Talkers()
    found = make_addresses([f"127.0.0.{i + 1}" for i in range(5)])
    for address in found:
        ip = str(address)
        place = "kl-hall" if address is found[0] else "pg-hall"
        heard: dict[str, datagrams.PeerUpdate] = {}
        context.play.heard[ip] = heard
        item = exchange.Exchange(
            hosts.Peers(ip, place, map(str, found)),
            address,
            make_sender(ip, place),
            lambda news: news,
            make_taker(heard),
            (make_evidence_kind(context.play, ip, place),),
        )
        context.play.exchanges.append(item)
        item.start()


def make_evidence_kind(
    play: Talkers, ip: str, place: str
) -> sidechannels.Kind[evidence.EvidenceUpdate]:
    """Returns the exchange of evidence; a host tells what `play` has of it."""

    def make(is_speaker: bool) -> evidence.EvidenceUpdate:
        known = play.known.get(ip, segments.Update())
        return evidence.EvidenceUpdate(ip, place, known)

    def handle(updates: Sequence[evidence.EvidenceUpdate]) -> None:
        play.learned.setdefault(ip, []).extend(updates)

    return sidechannels.Kind(
        evidence.PREFIX, evidence.encode, evidence.decode, make, handle
    )


@given("one of them knows no such evidence")
def step_older_build(context: Any) -> None:
    context.play.exchanges[-1]._channels.clear()


@when("the host of kl-hall knows of a crash under prompt segments")
def step_knows_crash(context: Any) -> None:
    crash = segments.PublishedCrash("start", "req", ("m/s",), True, 0.9, 0.5)
    context.told = segments.Update((crash,), {"m/t": 0.25})
    context.play.known[next(iter(context.play.heard))] = context.told


@then("all four of pg-hall learn of it")
def step_learn(context: Any) -> None:
    others = list(context.play.heard)[1:]
    stage.wait_until(
        lambda: all(ip in context.play.learned for ip in others),
        10.0,
        "all four learn of it",
    )
    for ip in others:
        found = context.play.learned[ip][0]
        assert found.evidence == context.told, found
        assert found.data_centre == "kl-hall", found


@when("the datagram {data} of slow replicas is read")
def step_read_slow(context: Any, data: str) -> None:
    assert data.encode().startswith(slowness.PREFIX)
    context.read = slowness.decode(data.encode())


@given("a host that finds {count:d} replicas slow")
def step_finds_slow(context: Any, count: int) -> None:
    context.slow = {f"i-{n}": float(n) for n in range(1, 1 + count)}


@when("its news of them is read")
def step_slow_read(context: Any) -> None:
    news = slowness.SlownessUpdate("10.0.0.1", "kl-hall", context.slow)
    context.read = slowness.decode(slowness.encode(news))


@then("it names the {count:d} slowest")
def step_names_slowest(context: Any, count: int) -> None:
    slowest = dict(sorted(context.slow.items(), key=lambda i: -i[1])[:count])
    assert context.read.slowest_s == slowest, context.read


@when("the datagram {data} of evidence is read")
def step_read_evidence(context: Any, data: str) -> None:
    assert data.encode().startswith(evidence.PREFIX)
    context.read = evidence.decode(data.encode())


@when("all have heard of each other")
def step_all_heard(context: Any) -> None:
    first = context.play.exchanges[0]
    stage.wait_until(
        lambda: (
            len(first._peers._host_data_centres) == 4
            and len(first._peers.list_remote(time.monotonic())) == 1
        ),
        20.0,
        "one speaker",
    )


@then("the host of kl-hall sends to one of pg-hall")
def step_tells(context: Any) -> None:
    first = context.play.exchanges[0]
    second = list(context.play.heard)[1]
    assert first._peers.list_remote(time.monotonic()) == [second]


@then("all four keep receiving its updates")
def step_passed_on(context: Any) -> None:
    first = next(iter(context.play.heard))
    others = [h for ip, h in context.play.heard.items() if ip != first]
    for heard in others:
        heard.clear()
    stage.wait_until(
        lambda: all(first in h for h in others), 10.0, "all four hear it"
    )


@then("it is not the speaker")
def step_no_speaker(context: Any) -> None:
    assert not context.peers.is_speaker(100.1)


@attrs.define
class Talkers:
    """Exchanges on this machine, closed with the scenario."""

    exchanges: list[exchange.Exchange] = attrs.Factory(list)
    heard: dict[str, dict[str, datagrams.PeerUpdate]] = attrs.Factory(dict)
    # What hosts know of prompt segments, and learned of others.
    known: dict[str, segments.Update] = attrs.Factory(dict)
    learned: dict[str, list[evidence.EvidenceUpdate]] = attrs.Factory(dict)

    def close(self) -> None:
        """Closes all of them."""
        for item in self.exchanges:
            item.close()


@given("three hosts on this machine of which two know only the first")
def step_three(context: Any) -> None:
    context.play = Talkers()
    start_three(context, make_addresses(IPS))


def start_three(context: Any, found: Sequence[addresses.HostAddress]) -> None:
    """Starts hosts of which each knows the first."""
    for address in found:
        ip = str(address)
        heard: dict[str, datagrams.PeerUpdate] = {}
        context.play.heard[ip] = heard
        context.play.exchanges.append(
            exchange.Exchange(
                hosts.Peers(ip, "kl-hall", [str(found[0])]),
                address,
                make_sender(ip),
                lambda news: news,
                make_taker(heard),
            )
        )
    for item in context.play.exchanges:
        item.start()


def make_addresses(ips: Sequence[str]) -> list[addresses.HostAddress]:
    """Returns hosts on this machine, with ports that are the same for all."""
    port = stage.find_udp_port(ips)
    return [addresses.parse(f"{ip}:{port}/{port}") for ip in ips]


def make_sender(ip: str, place: str = "kl-hall") -> Any:
    """Returns what makes a host's news."""

    def make(heard: dict[str, str]) -> datagrams.PeerUpdate:
        usage = {f"i-{ip}": jobs.Usage(1, 900.0)}
        news = make_news(ip, place)
        return attrs.evolve(news, usage=usage, peers=heard)

    return make


def make_taker(heard: dict[str, datagrams.PeerUpdate]) -> Any:
    """Returns what takes others' news."""

    def take(news: Sequence[datagrams.PeerUpdate], hosts: int) -> None:
        heard.update({n.host: n for n in news})

    return take


@then("within {seconds:d} s each hears the other two")
def step_hear(context: Any, seconds: int) -> None:
    def all_heard() -> bool:
        return all(len(h) == 2 for h in context.play.heard.values())

    stage.wait_until(all_heard, seconds, "each hears two")


@then("each knows what the others have in flight")
def step_in_flight(context: Any) -> None:
    for ip, heard in context.play.heard.items():
        for other, news in heard.items():
            assert ip != other
            assert news.usage == {f"i-{other}": jobs.Usage(1, 900.0)}


@given("a host that has heard of {count:d} others")
def step_others(context: Any, count: int) -> None:
    context.peers = hosts.Peers("10.1.0.1", "kl-hall", [])
    for i in range(count):
        context.peers.record_update(make_news(f"10.1.0.{i + 2}"), 100.0)


@given(
    "a host of one of 3 data centres that has heard of {count:d} others in its"
    " own"
)
def step_one_place(context: Any, count: int) -> None:
    places = ("kl-hall", "pg-hall", "cj-hall")
    context.peers = hosts.Peers("10.1.0.1", "kl-hall", [], data_centres=places)
    for i in range(count):
        context.peers.record_update(make_news(f"10.1.0.{i + 2}"), 100.0)


@when("for {seconds:d} s it hears {what}")
def step_hears_on(context: Any, seconds: int, what: str) -> None:
    for i in range(seconds):
        if what == "one of them":
            context.peers.record_update(make_news("10.1.0.2"), 101.0 + i)
        # Forgets who is not counted any more.
        context.peers.list_local(101.0 + i)


@then("{count:d} hosts share the retry budget")
def step_share(context: Any, count: int) -> None:
    sharing = context.peers.count_budget_sharers()
    assert sharing == count, sharing


@given("a host that receives updates")
def step_taker(context: Any) -> None:
    context.play = Talkers()
    context.goes = []
    (address,) = make_addresses(IPS[:1])
    context.port = address.exchange_port
    taker = exchange.Exchange(
        hosts.Peers(str(address), "kl-hall", []),
        address,
        make_sender(str(address)),
        lambda news: news,
        lambda news, hosts: context.goes.append([n.host for n in news]),
    )
    context.play.exchanges.append(taker)
    taker.start()


@when("{count:d} hosts send it datagrams at once, one of them malformed")
def step_at_once(context: Any, count: int) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for i in range(count - 1):
            data = datagrams.encode_update(make_news(f"10.0.1.{i}"))
            sock.sendto(data, (IPS[0], context.port))
        sock.sendto(b"[]", (IPS[0], context.port))


@then("it receives {count:d} updates, in fewer than {goes:d} batches")
def step_goes(context: Any, count: int, goes: int) -> None:
    stage.wait_until(
        lambda: sum(len(g) for g in context.goes) == count, 5.0, "all heard"
    )
    assert len(context.goes) < goes, context.goes


@when("it has seen that the store came back from a copy")
def step_copy_seen(context: Any) -> None:
    context.group.era += 1


@then("it gives no orders until it has joined again")
def step_until_joined(context: Any) -> None:
    assert not context.member.is_held()
    context.group.answer = duty.JoinReply(True, 1, context.group.era)
    context.member.join()
    # It held the duty all the while, so nobody else did.
    assert context.member.is_held()


@then(
    "one that did not hold it waits for {seconds:d} s after the store deals it"
    " the duty"
)
def step_not_holder(context: Any, seconds: int) -> None:
    group = Group(duty.JoinReply(False, 7, 1), era=1)
    member = duty.Duty(group, Alone(), lambda: float(context.now_s))
    member.join()
    group.era = 2
    group.answer = duty.JoinReply(True, 5, 2)
    began_s = context.now_s
    while context.now_s < began_s + seconds:
        member.join()
        assert not member.is_held(), context.now_s - began_s
        context.now_s += 0.5
    member.join()
    assert member.is_held()


@given(
    "{hosts:d} hosts of a data centre that hear each other and have no answer"
)
def step_no_answer(context: Any, hosts: int) -> None:
    context.ips = [f"10.1.{i // 200}.{i % 200 + 1}" for i in range(hosts)]


def list_readers(context: Any, now_s: float) -> set[str]:
    """Returns the hosts that read the store at a moment."""
    readers = set()
    for me in context.ips:
        peers = hosts.Peers(me, "kl-hall", ())
        if hear_all(peers, context.ips, me, now_s).is_reader(now_s):
            readers.add(me)
    return readers


@then("in each second {first:d} of them read, and {drawn:d} others in the mean")
def step_readers(context: Any, first: int, drawn: int) -> None:
    seconds = 6
    readers = [
        list_readers(context, 100.0 + second) for second in range(seconds)
    ]
    always = set.intersection(*readers)
    assert always == set(context.ips[:first]), always
    others = sum(len(r - always) for r in readers) / seconds
    assert others <= 1.5 * drawn, others


@given(
    'it heard of hosts "{failing}" and "{other}", of which the first fails to'
    " read the configuration"
)
def step_fails_to_read(context: Any, failing: str, other: str) -> None:
    for host in (failing, other):
        news = make_news(host, "kl-hall", 0.5)
        known = attrs.evolve(news.known, is_config_lost=host == failing)
        # As the other host gets it.
        sent = datagrams.encode_update(attrs.evolve(news, known=known))
        found = datagrams.Decoder().decode(sent)
        assert isinstance(found, datagrams.PeerUpdate), found
        if host == context.me:
            context.peers.record_own_update(found, 100.0)
        else:
            context.peers.record_update(found, 100.0)


@when("the store answered it {store:g} s ago")
def step_own_store(context: Any, store: float) -> None:
    own = make_news("10.1.0.20", "kl-hall", store)
    context.peers.record_own_update(own, 100.0)


@when("the store answers the last one")
def step_last_served(context: Any) -> None:
    context.me = context.ips[-1]
    context.peers = hosts.Peers(context.me, "kl-hall", ())


@then("it reads for the others in each second of a minute")
def step_reads_on(context: Any) -> None:
    for second in range(60):
        now_s = 100.0 + second
        hear_all(context.peers, context.ips, context.me, now_s)
        served = make_news(context.me, "kl-hall", reading.LIST_PERIOD_S)
        context.peers.record_own_update(served, now_s)
        assert context.peers.is_reader(now_s), second


@then(
    "within {seconds:d} s each has read, so that one that is served finds out"
)
def step_each_reads(context: Any, seconds: int) -> None:
    for me in context.ips[:: max(1, len(context.ips) // 28)]:
        peers = hosts.Peers(me, "kl-hall", ())
        moments = (100.0 + i for i in range(seconds))
        assert any(
            hear_all(peers, context.ips, me, now_s).is_reader(now_s)
            for now_s in moments
        ), me


@then("each reads within {seconds:d} s from any moment")
def step_reads_in_turn(context: Any, seconds: int) -> None:
    for me in context.ips[:: max(1, len(context.ips) // 14)]:
        peers = hosts.Peers(me, "kl-hall", ())
        unread = 0
        for second in range(100, 100 + 3 * seconds + 3):
            now_s = float(second)
            hear_all(peers, context.ips, me, now_s)
            is_reader = peers.is_reader(now_s)
            unread = 0 if is_reader else unread + 1
            assert unread <= seconds, (me, second, unread)


def hear_all(
    peers: hosts.Peers, hosts: list[str], me: str, now_s: float
) -> hosts.Peers:
    """Has a host hear the others, whose lists are old."""
    for host in hosts:
        if host != me:
            peers.record_update(make_news(host, "kl-hall", 5.0), now_s)
    return peers


@then('it may ask "{near}" near by and "{far}" elsewhere')
def step_may_ask(context: Any, near: str, far: str) -> None:
    found = context.peers.list_helpers(100.0)
    assert (list(found.local), list(found.remote)) == ([near], [far]), found


@then('it opens tunnels for "{known}" and not for "{unknown}"')
def step_opens_for(context: Any, known: str, unknown: str) -> None:
    assert context.peers.is_known(known, 100.0)
    assert not context.peers.is_known(unknown, 100.0)


@given("one host, which {knows}")
def step_knows(context: Any, knows: str) -> None:
    (address,) = make_addresses(IPS[:1])
    seeds = IPS[1:2] if knows == "has another seed" else (str(address),)
    places = ["kl-hall"]
    if knows == "knows that there is another data centre":
        places.append("pg-hall")
    peers = hosts.Peers(str(address), "kl-hall", seeds, data_centres=places)
    if knows == "has been told of another":
        peers.record_update(make_news(IPS[1]), 0.0)
    context.sole = 0

    def count(hosts_sharing: int) -> None:
        assert hosts_sharing == 1, hosts_sharing
        context.sole += 1

    context.exchange = exchange.Exchange(
        peers,
        address,
        make_sender(str(address)),
        lambda news: news,
        lambda news, hosts: None,
    )
    context.group = Group(duty.JoinReply(True, 1))
    groups = {"kl-hall": context.group}
    context.lists = lists.MemberLists(
        groups, "kl-hall", context.exchange, count
    )


@when("the store lists {members} as members")
def step_lists(context: Any, members: str) -> None:
    listed = {
        "itself": IPS[:1],
        "itself and another": IPS[:2],
        "another": IPS[1:2],
    }
    context.group.members = lists.MemberList(tuple(listed[members]), True)
    context.lists.read(1)
    context.exchange.close()


@then("it {verb} the only host as far as it knows")
def step_sole(context: Any, verb: str) -> None:
    assert context.sole == (verb == "is"), context.sole


@given("a host of kl-hall whose settings name a second host and pg-hall")
def step_two_named(context: Any) -> None:
    context.peers = hosts.Peers(
        "10.1.0.1",
        "kl-hall",
        ["10.1.0.2"],
        data_centres=("kl-hall", "pg-hall"),
    )


@when("updates of {heard} reach it for 10 s")
def step_reports(context: Any, heard: str) -> None:
    context.recorded = []
    log = contact.ContactLog()
    with mock.patch.object(decisions, "record", context.recorded.append):
        for second in range(11):
            log.note(context.peers.get_contact(float(second)))
            if heard != "nobody":
                context.peers.record_update(make_news("10.1.0.2"), second)
            if heard.endswith("all"):
                news = make_news("10.2.0.1", "pg-hall")
                context.peers.record_update(news, second)


@then("it reports {unheard} unheard and {places} silent, once")
def step_reported(context: Any, unheard: str, places: str) -> None:
    hosts_named = () if unheard == "no host" else (unheard,)
    places_named = () if places == "none" else (places,)
    found = [(e.hosts, e.data_centres) for e in context.recorded]
    expected = [(hosts_named, places_named)]
    assert found == [e for e in expected if any(e)], context.recorded
