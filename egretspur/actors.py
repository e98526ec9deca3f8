"""Base of all actors: typed messages in, typed answers out.

An actor owns its state; other threads reach it only by messages. Each actor
class has a `handle` with one rule per message class.
"""

from __future__ import annotations

from typing import Any, TypeVar

import attrs
import pykka

from egretspur import guard

A = TypeVar("A", bound="Actor")


@attrs.frozen
class _AwaitedMessage:
    """A message whose sender waits for the answer."""

    message: Any


class Actor(pykka.ThreadingActor):
    """An actor in a thread of its own that does not keep a process alive."""

    use_daemon_thread = True

    def on_receive(self, message: Any) -> Any:
        """Handles one message by the rule for its class.

        An exception goes to whoever asked. Nobody waits for the result of
        other messages, and an exception there would end the actor.
        """
        if isinstance(message, _AwaitedMessage):
            return self.handle(message.message)
        with guard.log_exceptions(type(self).__name__):
            return self.handle(message)
        self.on_message_failed(message)
        return None

    def on_message_failed(self, message: Any) -> None:
        """Told that a message that nobody waits for could not be handled."""

    def handle(self, message: Any) -> Any:
        """Handles one message; defined by each actor."""
        raise NotImplementedError


def ask(ref: pykka.ActorRef[A], message: Any) -> Any:
    """Sends a message and waits for its answer."""
    return ref.ask(_AwaitedMessage(message), block=True)


def make_unknown_message_error(message: object) -> TypeError:
    """Returns the error for a message that an actor has no rule for."""
    return TypeError(f"unknown message {message!r}")
