"""Steps about one process that applies batches of a log."""

from __future__ import annotations

import copy
from typing import Any

from behave import given, then, when

from egretspur.intents import checkpoints, fold, follow, records
from egretspur.intents import state as states


@given(
    "a log of {count:d} records whose first {gone:d} have expired, with a"
    " checkpoint at {place:d}"
)
def step_log(context: Any, count: int, gone: int, place: int) -> None:
    context.first = gone + 1
    context.entries = []
    context.states = [states.State()]
    state = states.State()
    for offset in range(1, count + 1):
        record: records.Record = records.LeaseTaken(
            f"r{offset}", "c", 0, f"dc{offset}", "c", 5.0, 0
        )
        if offset == place:
            record = checkpoints.split(context.states[-1], "c", 0)[0]
        entry = records.Entry(offset, record)
        context.entries.append(entry)
        fold.apply(state, entry)
        context.states.append(copy.deepcopy(state))


def read(context: Any, start: int) -> follow.Batch:
    """Returns the log's records from an offset on."""
    start = max(start, context.first)
    found = tuple(context.entries[start - 1 :])
    head = len(context.entries) + 1
    return follow.Batch(context.first, head, head, found)


@given("a process that has folded {count:d} records")
def step_process(context: Any, count: int) -> None:
    context.state = copy.deepcopy(context.states[count])
    context.reader = follow.CheckpointScan()
    context.next = count + 1


def take(context: Any, batch: follow.Batch) -> None:
    """Applies a batch to the process's state."""
    found = follow.apply_batch(context.state, batch, context.reader)
    context.state, context.next = found.state, found.next


@when("a batch that starts at offset {start:d} arrives")
def step_batch(context: Any, start: int) -> None:
    take(context, read(context, start))


@when("it reads to the head")
def step_read(context: Any) -> None:
    for _ in range(5):
        take(context, read(context, context.next))


@when("a peer offers its state at offset {offset:d}")
def step_offer(context: Any, offset: int) -> None:
    packed = checkpoints.pack(context.states[offset])
    context.state = follow.adopt(context.state, checkpoints.unpack(packed))


@then("its offset is still {offset:d} and it reads from {following:d} next")
def step_stands(context: Any, offset: int, following: int) -> None:
    assert context.state.offset == offset, context.state.offset
    assert context.next == following, context.next


@then("its offset is {offset:d} and its state equals the log's")
def step_at(context: Any, offset: int) -> None:
    assert context.state.offset == offset, context.state.offset
    digests = [
        states.compute_digest(s)
        for s in (context.state, context.states[offset])
    ]
    assert digests[0] == digests[1]
