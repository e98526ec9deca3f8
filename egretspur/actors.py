"""Base of all actors: typed messages in, typed answers out.

An actor owns its state; other threads reach it only by messages. Each actor
class has a `handle` with one rule per message class.
"""

from __future__ import annotations

from typing import Any, TypeVar

import pykka

A = TypeVar("A", bound="Actor")


class Actor(pykka.ThreadingActor):
    """An actor in a thread of its own that does not keep a process alive."""

    use_daemon_thread = True

    def on_receive(self, message: Any) -> Any:
        """Handles one message by the rule for its class."""
        return self.handle(message)

    def handle(self, message: Any) -> Any:
        """Handles one message; defined by each actor."""
        raise NotImplementedError


def ask(ref: pykka.ActorRef[A], message: Any) -> Any:
    """Sends a message and waits for its answer."""
    return ref.ask(message, block=True)


def make_unknown(message: object) -> TypeError:
    """Returns the error for a message that an actor has no rule for."""
    return TypeError(f"unknown message {message!r}")
