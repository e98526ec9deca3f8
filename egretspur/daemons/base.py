"""Code shared by the daemons' entry points: arguments, settings, signals."""

from __future__ import annotations

import argparse
import logging
import pathlib
import signal
import sys
import threading
from collections.abc import Sequence
from typing import Final, Protocol, TypeVar

from egretspur import logs, settings

_LOG: Final = logging.getLogger(__name__)

T = TypeVar("T", settings.RouterSettings, settings.ControlSettings)


class Daemon(Protocol):
    """A process that is started, drained and closed."""

    # Address it listens on, known after `start`.
    address: str

    def start(self) -> None:
        """Starts serving."""

    def drain(self) -> None:
        """Completes the work in flight, then returns."""

    def close(self) -> None:
        """Stops everything."""


def read_settings(
    prog: str, description: str, argv: Sequence[str] | None, cls: type[T]
) -> T | int:
    """Parses the command line and reads the settings file that it names.

    Returns:
        The settings, or the exit code after printing the mistakes in them.
    """
    parser = argparse.ArgumentParser(prog=prog, description=description)
    parser.add_argument(
        "settings", type=pathlib.Path, help="settings file in TOML"
    )
    args = parser.parse_args(argv)
    cfg = settings.load_settings(args.settings, cls)
    if isinstance(cfg, list):
        for mistake in cfg:
            print(mistake, file=sys.stderr)
        return settings.EXIT_SETTINGS
    return cfg


def run_daemon(daemon: Daemon, node: settings.NodeSettings) -> int:
    """Runs a daemon until SIGTERM or SIGINT, then drains and closes it."""
    handler = logs.start_logging(node.name, node.log_level)
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda signum, frame: stop.set())
    signal.signal(signal.SIGINT, lambda signum, frame: stop.set())
    daemon.start()
    _LOG.info("started", extra={"address": daemon.address})
    stop.wait()
    _LOG.info("draining")
    daemon.drain()
    daemon.close()
    _LOG.info("stopped")
    handler.close()
    return 0
