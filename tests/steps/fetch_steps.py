"""Steps on pages that a host fetches from another one."""

from __future__ import annotations

import socket
import time
from typing import Any, Final

from behave import given, then, when

from egretspur import web
from egretspur.catalog import config, feeds, handover
from egretspur.daemons import fetch
from egretspur.platform import names, store
from tests import sites
from tests.fakes import middlebox
from tests.fakes import store as fake_stores

PATH: Final = "/page"
PAGE: Final = b"page"


def start_server(context: Any) -> str:
    """Starts the pages of a host; returns their address."""
    app = web.App()
    app.add("GET", PATH, lambda req: web.Response(200, {}, PAGE))
    server = web.Server(app, "127.0.0.1:0", 2)
    server.start()
    context.add_cleanup(server.close)
    return server.address


@given(
    "{count:d} other hosts, each behind a middlebox, whose pages were fetched"
)
def step_hosts(context: Any, count: int) -> None:
    context.boxes = [
        middlebox.Middlebox(start_server(context)) for _ in range(count)
    ]
    context.client = fetch.PageClient()
    context.add_cleanup(context.client.close)
    for box in context.boxes:
        assert context.client.fetch(box.address, PATH) == PAGE


@when("the middleboxes forget their connections")
@when("the middlebox forgets its connections")
def step_forget(context: Any) -> None:
    for box in context.boxes:
        box.set_faults({"forget": True})


@then("the page of each is fetched at once")
def step_fetched(context: Any) -> None:
    began_s = time.monotonic()
    for box in context.boxes:
        assert context.client.fetch(box.address, PATH) == PAGE
    took_s = time.monotonic() - began_s
    assert took_s < fetch.READ_TIMEOUT_S, took_s


@given("a store behind a middlebox, of which a topic was read")
def step_store(context: Any) -> None:
    app = fake_stores.make_app(fake_stores.Store())
    server = web.Server(app, "127.0.0.1:0", 4)
    server.start()
    context.add_cleanup(server.close)
    context.boxes = [middlebox.Middlebox(server.address)]
    client = store.Store(context.boxes[0].address)
    context.add_cleanup(client.close)
    context.topic = store.make_config_topic(client)
    res = context.topic.read_newest()
    assert isinstance(res, feeds.FullState), res
    context.position = res.next


@then("the next read that waits for changes is answered")
def step_waits(context: Any) -> None:
    res = context.topic.read_changes(context.position, 0.2)
    assert isinstance(res, feeds.Changes), res


@given("a store with a newer version than one that was read")
def step_newer(context: Any) -> None:
    stand_in = fake_stores.Store()
    stand_in.write(
        names.CONFIG_TOPIC, names.CONFIG_KEY, sites.make_config(["k"], 2)
    )
    server = web.Server(fake_stores.make_app(stand_in), "127.0.0.1:0", 4)
    server.start()
    context.add_cleanup(server.close)
    client = store.Store(server.address)
    context.add_cleanup(client.close)
    context.topic = store.make_config_topic(client)
    res = context.topic.read_newest()
    assert isinstance(res, feeds.FullState), res
    context.position = res.next
    stand_in.write(
        names.CONFIG_TOPIC, names.CONFIG_KEY, sites.make_config(["k"], 3)
    )


@given("{count:d} other hosts that accept connections and answer nothing")
def step_silent(context: Any, count: int) -> None:
    context.silent = [
        socket.create_server(("127.0.0.1", 0)) for _ in range(count)
    ]
    for sock in context.silent:
        context.add_cleanup(sock.close)


@when("the configuration is read, from these hosts first")
def step_read_first(context: Any) -> None:
    client = fetch.PageClient()
    context.add_cleanup(client.close)
    hosts = [f"127.0.0.1:{s.getsockname()[1]}" for s in context.silent]
    source = handover.HandoverSource(
        context.topic,
        lambda: hosts,
        lambda host, topic, since, silence_s: client.ask(host, PATH, silence_s),
        lambda: True,
    )
    began_s = time.monotonic()
    context.res = source.read_changes(context.position, 0.0)
    context.took_s = time.monotonic() - began_s


@then("the newer version is read within {allowed_s:g} s")
def step_read_within(context: Any, allowed_s: float) -> None:
    assert isinstance(context.res, feeds.Changes), context.res
    [(_, cfg)] = context.res.values
    assert isinstance(cfg, config.Configuration) and cfg.version == 3, cfg
    assert context.took_s < allowed_s, context.took_s
