"""Stand-in for the weight store: model sizes, and loads at a limited rate.

``POST /loads/<model>`` answers after the time that reading the bytes takes;
waiting loads run in order of priority.
"""

from __future__ import annotations

import sys
import threading
import time
from typing import Any

from egretspur import web
from tests.fakes import base


class Weights:
    """Model sizes and a read rate shared by all loads."""

    def __init__(self, bytes_per_s: float) -> None:
        self._rate = bytes_per_s
        self._models: dict[str, Any] = {}
        self._condition = threading.Condition()
        self._waiting: list[tuple[int, int]] = []
        self._count = 0

    def put(self, model: str, spec: Any) -> None:
        """Sets a model's sizes."""
        self._models[model] = {
            "model": model,
            "store_bytes_s": self._rate,
            **spec,
        }

    def get(self, model: str) -> Any:
        """Returns a model's sizes, or None."""
        return self._models.get(model)

    def load(self, size: int, priority: int) -> None:
        """Blocks for the time of the read; higher priorities go first."""
        with self._condition:
            self._count += 1
            turn = (-priority, self._count)
            self._waiting.append(turn)
            while min(self._waiting) != turn:
                self._condition.wait(1.0)
        time.sleep(size / self._rate)
        with self._condition:
            self._waiting.remove(turn)
            self._condition.notify_all()


def make_app(weights: Weights) -> web.App:
    """Returns the service's HTTP endpoints."""
    app = web.App()

    def get(req: web.Request) -> web.Response:
        spec = weights.get(req.parts["model"])
        return base.reply(spec) if spec else base.reply({}, 404)

    def put(req: web.Request) -> web.Response:
        weights.put(req.parts["model"], base.read_json(req))
        return base.reply({})

    def load(req: web.Request) -> web.Response:
        data = base.read_json(req)
        weights.load(data["bytes"], data["priority"])
        return base.reply({})

    app.add("GET", "/models/{model}", get)
    app.add("PUT", "/models/{model}", put)
    app.add("POST", "/loads/{model}", load)
    return app


def main() -> int:
    """Entry point."""
    parser = base.make_parser(__doc__ or "")
    parser.add_argument("--bytes-per-s", type=float, default=1e9)
    args = parser.parse_args()
    return base.run(make_app(Weights(args.bytes_per_s)), args.listen, 64)


if __name__ == "__main__":
    sys.exit(main())
