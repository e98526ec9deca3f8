"""Steps on the datagrams of contention updates."""

from __future__ import annotations

from typing import Any

from behave import given, then

from egretspur.membership import contention, datagrams


@given("a contention update with links, waiting requests and promised returns")
def step_update(context: Any) -> None:
    context.update = contention.ContentionUpdate(
        "10.1.0.9",
        "kl-hall",
        {("kl-hall", "pg-hall"): 0.25, ("cj-hall", "kl-hall"): 0.5},
        {"tailor-llm": {0: 3, 1: 7}},
        {"tailor-llm": [0, 2, 5]},
    )


@given(
    "a contention update with {links:d} links, {services:d} services and"
    " {requests:d} requests"
)
def step_large(context: Any, links: int, services: int, requests: int) -> None:
    names = [f"service-{i}" for i in range(services)]
    context.update = contention.ContentionUpdate(
        "10.1.0.9",
        "kl-hall",
        {("kl-hall", f"place-{i}"): 0.1 * i for i in range(links)},
        {n: dict.fromkeys(range(10), requests) for n in names},
        {n: [requests] * 12 for n in names},
    )


@then("it is read with its busiest link, in less than {most:d} bytes")
def step_read_large(context: Any, most: int) -> None:
    data = contention.encode(context.update)
    found = contention.decode(data)
    assert isinstance(found, contention.ContentionUpdate), found
    assert max(context.update.links, key=context.update.links.get) in (
        found.links
    )
    assert len(data) < most, len(data)


@then("it is read as it was sent, in less than {most:d} bytes")
def step_read(context: Any, most: int) -> None:
    data = contention.encode(context.update)
    assert data.startswith(contention.PREFIX)
    assert contention.decode(data) == context.update
    assert len(data) < most, len(data)


@then('the datagram {data} is refused for its "{field}"')
def step_refused(context: Any, data: str, field: str) -> None:
    found = contention.decode(data.encode())
    assert isinstance(found, datagrams.InvalidUpdate), found
    assert found.field == field, found


@then("the datagram {data} is read as empty")
def step_empty(context: Any, data: str) -> None:
    found = contention.decode(data.encode())
    assert isinstance(found, contention.ContentionUpdate), found
    assert found.is_empty()
