"""JSON-lines logging for all daemons."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger import json as jsonlogger


def start_logging(name: str, level: str) -> None:
    """Sends all log records to standard error, one JSON object a line."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        jsonlogger.JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"process": name},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # Waitress logs a warning for each request that waits for a thread; the
    # router's own queue metrics say the same without flooding the log.
    logging.getLogger("waitress.queue").setLevel(logging.ERROR)
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    logging.getLogger("pykka").setLevel(logging.WARNING)
