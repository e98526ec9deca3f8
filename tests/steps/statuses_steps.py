"""Steps on answers of replicas whose status is none."""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Iterator
from typing import Any, Final

import attrs
from behave import then, when

from tests import sites

# Calls that may be repeated, that may not, streams and resumed streams: path
# and header fields.
CALLS: Final[tuple[tuple[str, dict[str, str]], ...]] = (
    ("/cards/x", {}),
    ("/orders/x", {}),
    ("/notes/x", {}),
    ("/notes/x", {"Last-Event-Id": "2"}),
)

# Calls of each kind.
COUNT: Final = 3

# Time for a host to learn that it is cut off from the replicas.
CUT_S: Final = 3.0

# What an answer takes at the most.
ANSWER_S: Final = 12.0

# Promises that a request has not run.
NOT_RUN: Final = (408, 421, 429, 503)


@attrs.frozen
class Answer:
    """What a caller read, and for which request."""

    id: str
    data: bytes

    def get_status(self) -> int:
        """Returns the status; 0 if there is none of three digits."""
        words = self.data.split(b"\r\n")[0].split(b" ")
        is_status = len(words) > 1 and len(words[1]) == 3
        return int(words[1]) if is_status and words[1].isdigit() else 0


@when('all replicas answer "{line}" to calls of each kind')
def step_answer(context: Any, line: str) -> None:
    for name in context.play.entries:
        context.play.set_fault(name, {"first_line": line})
    context.answers = list(call_each(context.play))


@when('all replicas answer "{line}" to calls that another host passes on')
def step_passed_on(context: Any, line: str) -> None:
    context.play.partition(context.play.hosts[0], "reset")
    time.sleep(CUT_S)
    context.answers += call_each(context.play)


def call_each(site: sites.Site) -> Iterator[Answer]:
    """Makes calls of each kind at the first host; yields the answers."""
    for number in range(COUNT):
        for path, more in CALLS:
            yield call(site, path, more, number)


def call(
    site: sites.Site, path: str, more: dict[str, str], number: int
) -> Answer:
    """Makes a call and reads all bytes that come."""
    # A body of its own, since equal requests that fail count as one.
    body = json.dumps([path, more, number, time.monotonic()])
    fields = sites.make_fields(
        "key-1",
        Connection="close",
        **{"Content-Length": str(len(body)), **more},
    )
    lines = [f"POST {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    host, _, port = site.get_address(site.hosts[0], "frontend").rpartition(":")
    data = b""
    with socket.create_connection((host, int(port)), ANSWER_S) as sock:
        sock.sendall("\r\n".join((*lines, "", body)).encode())
        try:
            while part := sock.recv(65_536):
                data += part
        except ConnectionResetError:
            data += b""
    return Answer(fields["Attempt-Id"], data)


@then("no caller gets an answer that is a replica's")
def step_none_passed_on(context: Any) -> None:
    wrong = [
        a.data
        for a in context.answers
        if b"replica-signature" in a.data.lower()
        or a.get_status() not in (502, 503, 504)
    ]
    assert not wrong, (len(wrong), len(context.answers), wrong)


@then("no request that ran is promised not to have run")
def step_promises(context: Any) -> None:
    ran = {run["Attempt-Id"] for run in context.play.get_runs()}
    statuses = {a.id: a.get_status() for a in context.answers}
    assert ran & set(statuses), "no request ran"
    wrong = {i for i in ran if statuses.get(i) in NOT_RUN}
    assert not wrong, (wrong, statuses)
