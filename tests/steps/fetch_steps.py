"""Steps on pages that a host fetches from another one."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from typing import Any, Final

from behave import given, then, when

from egretspur import web
from egretspur.catalog import config, feeds, handover, positions
from egretspur.daemons import fetch, follow
from egretspur.platform import names, store
from tests import sites, stage
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
    step_one_version(context)
    res = context.topic.read_newest()
    assert isinstance(res, feeds.FullState), res
    context.position = res.next
    context.write_newer()


@given("a store with one version")
def step_one_version(context: Any) -> None:
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

    def write_newer() -> None:
        newer = sites.make_config(["k"], 3)
        stand_in.write(names.CONFIG_TOPIC, names.CONFIG_KEY, newer)

    context.write_newer = write_newer


@given("{count:d} other hosts that accept connections and answer nothing")
def step_silent(context: Any, count: int) -> None:
    context.silent = [
        socket.create_server(("127.0.0.1", 0)) for _ in range(count)
    ]
    for sock in context.silent:
        context.add_cleanup(sock.close)


@given("another host that sends a byte of its answer each {period_s:g} s")
def step_trickling(context: Any, period_s: float) -> None:
    sock = socket.create_server(("127.0.0.1", 0))
    context.silent = [sock]
    context.add_cleanup(sock.close)
    threading.Thread(target=trickle, args=(sock, period_s), daemon=True).start()


def trickle(sock: socket.socket, period_s: float) -> None:
    """Answers one question, a byte at a time."""
    conn, _ = sock.accept()
    try:
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
        for _ in range(1000):
            conn.sendall(b"x")
            time.sleep(period_s)
    except OSError:
        # The host that asked has left.
        pass
    finally:
        conn.close()


@when("the configuration is read, from these hosts first")
def step_read_first(context: Any) -> None:
    client = fetch.PageClient()
    context.add_cleanup(client.close)
    hosts = [f"127.0.0.1:{s.getsockname()[1]}" for s in context.silent]
    source = handover.HandoverSource(
        context.topic,
        lambda: hosts,
        lambda host, topic, since, timeouts: client.ask(host, PATH, timeouts),
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


class ResetOnce:
    """A topic whose first wait for changes is reset; see `handover.Topic`."""

    def __init__(self, topic: Any, write: Callable[[], None]) -> None:
        """Makes a topic.

        Args:
            topic: What is read afterwards.
            write: Called as the wait is reset.
        """
        self._topic = topic
        self._write = write
        self.reset_s = 0.0

    def __getattr__(self, name: str) -> Any:
        """Returns what the topic has under a name."""
        return getattr(self._topic, name)

    def read_changes(self, since: positions.Position, wait_s: float) -> Any:
        """Fails once, then reads."""
        if not self.reset_s:
            self.reset_s = time.monotonic()
            self._write()
            return feeds.Unavailable("connection reset")
        return self._topic.read_changes(since, wait_s)


@when("a reader's wait for changes is reset, and a newer version is written")
def step_reset(context: Any) -> None:
    client = fetch.PageClient()
    context.add_cleanup(client.close)
    hosts = [f"127.0.0.1:{s.getsockname()[1]}" for s in context.silent]
    context.topic = ResetOnce(context.topic, context.write_newer)
    source = handover.HandoverSource(
        context.topic,
        lambda: hosts,
        lambda host, topic, since, timeouts: client.ask(host, PATH, timeouts),
        lambda: False,
    )
    applied: list[float] = []
    context.applied = applied

    def apply(cfg: config.Configuration) -> None:
        if cfg.version == 3:
            applied.append(time.monotonic())

    feed = feeds.Feed(
        "config",
        source,
        follow.ConfigSink(apply, lambda: None, lambda: False),
        lambda: feeds.Timing(0.5, 0.0),
    )
    feed.start()
    try:
        stage.wait_until(lambda: bool(applied), 10.0, "the newer version")
    finally:
        feed.close()


@then("the reader has applied it within {allowed_s:g} s")
def step_applied(context: Any, allowed_s: float) -> None:
    took_s = context.applied[0] - context.topic.reset_s
    assert took_s < allowed_s, took_s
