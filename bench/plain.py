"""Relay baseline: reads with urllib3, sends with waitress, checks nothing."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import Any

import orjson

from egretspur import transport, web
from tests.fakes import base


def main() -> int:
    """Serves until the process is stopped."""
    parser = base.make_parser(__doc__ or "")
    parser.add_argument("--upstream", required=True)
    parser.add_argument("--threads", type=int, default=300)
    args = parser.parse_args()
    conns = transport.Transport(1.0, 60.0)
    app = web.App()

    def relay(req: web.Request) -> web.Response:
        call = orjson.loads(req.read_body())
        call |= {"request": "x", "attempt": 1, "route": []}
        res = conns.open("POST", args.upstream, "/run", orjson.dumps(call), {})
        assert not isinstance(res, transport.Failed)
        return web.Response(200, {}, forward(res))

    def forward(res: Any) -> Iterator[bytes]:
        while data := res.read1(65_536):
            for line in data.splitlines():
                event = orjson.loads(line)
                out = {
                    "id": "x",
                    "choices": [{"index": 0, "text": event.get("t", "")}],
                }
                yield b"data: " + orjson.dumps(out) + b"\n\n"

    app.add("POST", "/v1/completions", relay)
    return base.run(app, args.listen, args.threads)


if __name__ == "__main__":
    sys.exit(main())
