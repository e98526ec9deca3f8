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
