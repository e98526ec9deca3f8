"""``egretspur-control``: entry point of the control daemon.

To save memory it blocks the import of modules that the daemon can do without,
before it imports the rest. Read next: `egretspur.daemons.controller`.
"""

from __future__ import annotations

import sys
import threading
from collections.abc import Sequence
from typing import Any, Final

from egretspur import settings
from egretspur.daemons import base

STACK_BYTES: Final = 256 * 1024

# Modules whose import is blocked. The control daemon uses plain HTTP only; its
# libraries work without TLS if it can't be imported, and hashlib falls back to
# its own code. This saves 4.8 MB of the daemon's limit of 32 MB.
BLOCKED_MODULES: Final = ("ssl", "_hashlib")


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
    block_imports()
    # Imported after the block, since it would import the blocked modules.
    from egretspur.daemons import controller

    threading.stack_size(STACK_BYTES)
    return base.run_daemon(controller.Control(cfg), cfg.node)


def block_imports() -> None:
    """Makes the import of modules that are not needed fail."""
    modules: dict[str, Any] = sys.modules
    for name in BLOCKED_MODULES:
        if name not in modules:
            modules[name] = None


if __name__ == "__main__":
    sys.exit(main())
