"""``egretspur-control``: entry point of the control daemon.

Thin: it makes the process lean before anything large is imported. Read next:
`egretspur.daemons.controller`.
"""

from __future__ import annotations

import sys
import threading
from collections.abc import Sequence
from typing import Any, Final

from egretspur import settings
from egretspur.daemons import base

STACK_BYTES: Final = 256 * 1024

# Modules kept out of the process. The control daemon speaks plain HTTP only;
# the libraries it uses do without TLS if it can't be imported, and hashlib
# falls back to its own code. This saves 4.8 of the 32 MB it may have.
LEFT_OUT: Final = ("ssl", "_hashlib")


def main(argv: Sequence[str] | None = None) -> int:
    """Entry point of ``egretspur-control``."""
    cfg = base.read_settings(
        "egretspur-control",
        "Follows the log, talks to peers, gives orders to engines.",
        argv,
        settings.ControlSettings,
    )
    if isinstance(cfg, int):
        return cfg
    leave_out_modules()
    # Imported only now: the import pulls in what was left out otherwise.
    from egretspur.daemons import controller

    threading.stack_size(STACK_BYTES)
    return base.run_daemon(controller.Control(cfg), cfg.node)


def leave_out_modules() -> None:
    """Makes the import of modules that are not needed fail at once."""
    modules: dict[str, Any] = sys.modules
    for name in LEFT_OUT:
        if name not in modules:
            modules[name] = None


if __name__ == "__main__":
    sys.exit(main())
