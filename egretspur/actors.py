"""Base class of actors: typed messages in, typed answers out.

An actor owns its state; other threads access it only by messages. Each actor
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
    """Wraps a message whose sender waits for the answer."""

    message: Any


class Actor(pykka.ThreadingActor):
    """An actor that runs in a daemon thread of its own."""

    use_daemon_thread = True

    def on_receive(self, message: Any) -> Any:
        """Handles one message by the rule for its class.

        An exception is passed to a sender that waits for the answer. Other
        messages have no such sender, and an exception would stop the actor;
        it is logged instead.
        """
        if isinstance(message, _AwaitedMessage):
            return self.handle(message.message)
        with guard.log_exceptions(type(self).__name__):
            return self.handle(message)
        self.on_message_failed(message)
        return None

    def on_message_failed(self, message: Any) -> None:
        """Called after a message without a waiting sender has failed."""

    def handle(self, message: Any) -> Any:
        """Handles one message; implemented by each actor."""
        raise NotImplementedError


def ask(ref: pykka.ActorRef[A], message: Any) -> Any:
    """Sends a message and waits for its answer."""
    return ref.ask(_AwaitedMessage(message), block=True)


def make_unknown_message_error(message: object) -> TypeError:
    """Returns the error for a message without a rule."""
    return TypeError(f"unknown message {message!r}")
