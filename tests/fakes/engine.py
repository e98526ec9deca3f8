"""Stand-in for a model engine that holds a range of layers.

It batches continuously: each step takes up to ``--slots`` tokens and lasts
tokens x layers / ``--layers-per-s``. Stages forward tokens to each other
directly; the last stage emits them and sends the next position to the first.

Faults: ``hang`` (no steps), ``silent`` (steps but emits nothing), ``repeat``
(emits each event twice and once more under the previous attempt), ``cross``
(emits events of another request), ``gap`` (position that is skipped),
``truncate`` (position at which the stream ends without an end event),
``wrong_layers`` (reports one layer too few), ``slow`` (factor), ``link_s``
(delay per forwarded batch in seconds), ``leaving`` (refuses new runs),
``lose_order_answers`` (number of orders that are applied but answered with
500), ``die`` (exits immediately).
"""

from __future__ import annotations

import collections
import hashlib
import os
import queue
import sys
import threading
import time
from collections.abc import Iterator
from typing import Any, Final

import orjson

from egretspur import transport, web
from tests.fakes import base

WORDS: Final = ("chest", "waist", "sleeve", "collar", "lapel", "seam", "hem")

# Capacity of the buffer of cache events.
MAX_CACHE_EVENTS: Final = 64


def make_token(prompt: str, version: str, position: int) -> str:
    """Returns the token of a position, identical on every engine."""
    seed = f"{prompt}/{version}/{position}".encode()
    digest = hashlib.blake2b(seed, digest_size=2).digest()
    return f" {WORDS[digest[0] % len(WORDS)]}{position}"


def make_text(prompt: str, version: str, count: int) -> str:
    """Returns the complete text expected for a prompt."""
    return "".join(make_token(prompt, version, i) for i in range(count))


class Engine:
    """One engine."""

    def __init__(
        self,
        name: str,
        layers_per_s: float,
        slots: int,
        checks_fence: bool,
        weights: str,
    ) -> None:
        self.name = name
        self.incarnation = f"{time.time_ns()}"
        self.faults: dict[str, Any] = {
            "hang": False,
            "silent": False,
            "repeat": False,
            "cross": False,
            "gap": -1,
            "truncate": -1,
            "wrong_layers": False,
            "slow": 1.0,
            "link_s": 0.0,
            "leaving": False,
            "lose_order_answers": 0,
            "die": False,
        }
        self._layers_per_s = layers_per_s
        self.slots = slots
        self._checks_fence = checks_fence
        self._weights = weights
        self._transport = transport.Transport(0.5, 30.0)
        self._lock = threading.RLock()
        self._work: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._out: dict[str, queue.SimpleQueue[Any]] = {}
        self._streams: dict[tuple[str, int], queue.SimpleQueue[Any]] = {}
        self._dropped: collections.deque[tuple[str, int]] = collections.deque(
            maxlen=4096
        )
        self.holdings: list[Any] = []
        self.loading: list[Any] = []
        self._wanted: list[Any] = []
        self.fence = 0
        self.orders = 0
        self.cache_events: collections.deque[Any] = collections.deque(
            maxlen=MAX_CACHE_EVENTS
        )
        # Counters: tokens processed, cancels received, runs requested.
        self.tokens = 0
        self.cancels = 0
        self.runs = 0
        threading.Thread(target=self._step_forever, daemon=True).start()

    # Orders.

    def order(self, data: Any) -> int:
        """Applies an order; returns the HTTP status."""
        with self._lock:
            self.orders += 1
            if self._checks_fence and data["fence"] < self.fence:
                return 409
            self.fence = data["fence"]
            self._wanted = data["holdings"]
            self.holdings = [h for h in self.holdings if h in self._wanted]
            for holding in self._wanted:
                if holding not in self.holdings + self.loading:
                    self.loading.append(holding)
                    threading.Thread(
                        target=self._load,
                        args=(holding, data["priority"]),
                        daemon=True,
                    ).start()
            if self.faults["lose_order_answers"] > 0:
                self.faults["lose_order_answers"] -= 1
                return 500
            return 200

    def _load(self, holding: Any, priority: int) -> None:
        if self._weights:
            res = self._transport.call(
                "GET", self._weights, f"/models/{holding['model']}"
            )
            assert isinstance(res, transport.Reply)
            spec = res.read_json()
            layers = holding["last"] - holding["first"]
            size = layers * spec["layer_bytes"]
            body = orjson.dumps({"bytes": size, "priority": priority})
            self._transport.call(
                "POST", self._weights, f"/loads/{holding['model']}", body
            )
        with self._lock:
            self.loading.remove(holding)
            if holding in self._wanted:
                self.holdings.append(holding)

    def get_status(self) -> Any:
        """Returns the engine's status report."""
        with self._lock:
            return {
                "name": self.name,
                "incarnation": self.incarnation,
                "holdings": list(self.holdings),
                "loading": list(self.loading),
                "fence": self.fence,
                "running": len(self._streams),
                "leaving": self.faults["leaving"],
            }

    # Requests.

    def start(self, call: Any) -> queue.SimpleQueue[Any] | str:
        """Starts an attempt as its last stage; returns a reason if refused."""
        self.runs += 1
        hop = call["route"][-1]
        if self.faults["leaving"]:
            return "leaving"
        if not self._holds(call, hop):
            return "not_loaded"
        key = (call["request"], call["attempt"])
        with self._lock:
            if len(self._streams) >= self.slots:
                return "busy"
            out: queue.SimpleQueue[Any] = queue.SimpleQueue()
            self._streams[key] = out
        self._note_prefix(call["prompt"])
        item = {
            "call": call,
            "position": len(call["done"]),
            "stage": 0,
            "trail": [],
        }
        self._send(call["route"][0]["address"], item, hop["address"])
        return out

    def end(self, call: Any) -> None:
        """Drops an attempt here; its sender must cancel the other stages."""
        self.drop((call["request"], call["attempt"]))

    def drop(self, key: tuple[str, int]) -> bool:
        """Drops an attempt; returns whether it had an open stream."""
        with self._lock:
            self._dropped.append(key)
            out = self._streams.pop(key, None)
        if out is not None:
            out.put(None)
        return out is not None

    def receive(self, items: list[Any]) -> None:
        """Queues tokens received from the previous stage."""
        for item in items:
            self._work.put(item)

    def fail(self, data: Any) -> None:
        """Emits the error that another stage reported for an attempt."""
        key = (data["request"], data["attempt"])
        with self._lock:
            out = self._streams.get(key)
        if out is not None:
            out.put(
                {
                    "r": key[0],
                    "a": key[1],
                    "error": data["kind"],
                    "upstream": data["upstream"],
                }
            )

    def _holds(self, call: Any, hop: Any) -> bool:
        wanted = {
            "model": call["model"],
            "adapter": call["adapter"],
            "version": call["version"],
            "first": hop["first"],
            "last": hop["last"],
        }
        return not self._weights or wanted in self.holdings

    def _note_prefix(self, prompt: str) -> None:
        # Drops one event in eight: real cache events arrive with gaps.
        prefix = prompt[:32]
        if hash(prefix) % 8:
            self.cache_events.append([time.time(), prefix])

    # Steps.

    def _step_forever(self) -> None:
        free_at = time.monotonic()
        while True:
            batch = [self._work.get()]
            while len(batch) < self.slots and not self._work.empty():
                batch.append(self._work.get())
            while self.faults["hang"]:
                time.sleep(0.05)
            dropped = set(self._dropped)
            batch = [i for i in batch if _get_key(i) not in dropped]
            work = sum(
                h["last"] - h["first"]
                for h in (i["call"]["route"][i["stage"]] for i in batch)
            )
            lasts = work / self._layers_per_s * self.faults["slow"]
            free_at = max(free_at, time.monotonic() - 0.01) + lasts
            pause = free_at - time.monotonic()
            if pause > 0.0005:
                time.sleep(pause)
            self.tokens += len(batch)
            for item in batch:
                self._finish_stage(item)

    def _finish_stage(self, item: Any) -> None:
        call = item["call"]
        hop = call["route"][item["stage"]]
        last_address = call["route"][-1]["address"]
        if not self._holds(call, hop) or hop["upstream"] != self.name:
            self._report_failure(call, last_address, "not_loaded", self.name)
            return
        mark = f"{self.name}:{hop['first']}-{hop['last']}"
        if self.faults["wrong_layers"]:
            mark = f"{self.name}:{hop['first']}-{hop['last'] - 1}"
        item["trail"].append(mark)
        item["stage"] += 1
        if item["stage"] < len(call["route"]):
            address = call["route"][item["stage"]]["address"]
            self._send(address, item, last_address)
            return
        self._emit(item)
        item["position"] += 1
        if item["position"] < call["max_tokens"]:
            item["stage"] = 0
            item["trail"] = []
            self._send(call["route"][0]["address"], item, last_address)

    def _emit(self, item: Any) -> None:
        call = item["call"]
        key = _get_key(item)
        with self._lock:
            out = self._streams.get(key)
        if out is None or self.faults["silent"]:
            return
        position = item["position"]
        event = {
            "r": key[0],
            "a": key[1],
            "p": position,
            "t": make_token(call["prompt"], call["version"], position),
            "l": ">".join(item["trail"]),
        }
        if self.faults["cross"]:
            event["r"] = "somebody-else"
        if position == self.faults["truncate"]:
            out.put(None)
            return
        if position != self.faults["gap"]:
            out.put(event)
        if self.faults["repeat"]:
            out.put(event)
            out.put({**event, "a": key[1] - 1})
        if position + 1 == call["max_tokens"]:
            out.put(
                {
                    "r": key[0],
                    "a": key[1],
                    "end": position + 1,
                    "load": len(self._streams) - 1,
                }
            )

    def _send(self, address: str, item: Any, last_address: str) -> None:
        """Queues a token for a stage; one thread per address sends batches."""
        if len(item["call"]["route"]) == 1:
            self._work.put(item)
            return
        with self._lock:
            out = self._out.get(address)
            if out is None:
                out = self._out[address] = queue.SimpleQueue()
                threading.Thread(
                    target=self._forward, args=(address, out), daemon=True
                ).start()
        out.put((item, last_address))

    def _forward(self, address: str, out: queue.SimpleQueue[Any]) -> None:
        while True:
            batch = [out.get()]
            while len(batch) < 64 and not out.empty():
                batch.append(out.get())
            if self.faults["link_s"]:
                time.sleep(self.faults["link_s"])
            items = [i for i, _ in batch]
            res = self._transport.call(
                "POST", address, "/pass", orjson.dumps(items), read_s=2.0
            )
            if isinstance(res, transport.Reply):
                continue
            for item, last_address in batch:
                route = item["call"]["route"]
                dead = next(h for h in route if h["address"] == address)
                self._report_failure(
                    item["call"], last_address, "stage", dead["upstream"]
                )

    def _report_failure(
        self, call: Any, last_address: str, kind: str, upstream: str
    ) -> None:
        data = {
            "request": call["request"],
            "attempt": call["attempt"],
            "kind": kind,
            "upstream": upstream,
        }
        if call["route"][-1]["upstream"] == self.name:
            self.fail(data)
            return
        self._transport.call(
            "POST", last_address, "/fail", orjson.dumps(data), read_s=1.0
        )


class Stream:
    """Response body of a run: events in the order of their emission."""

    def __init__(
        self, engine: Engine, call: Any, out: queue.SimpleQueue[Any]
    ) -> None:
        self._engine = engine
        self._call = call
        self._out = out
        self._has_ended = False

    def __iter__(self) -> Iterator[bytes]:
        """Returns itself."""
        return self

    def __next__(self) -> bytes:
        """Waits for an event; returns all that are queued."""
        if self._has_ended:
            raise StopIteration
        events = [self._out.get()]
        while not self._out.empty():
            events.append(self._out.get())
        lines = []
        for event in events:
            if event is None:
                self._has_ended = True
                break
            lines.append(orjson.dumps(event) + b"\n")
            if "end" in event or "error" in event:
                self._has_ended = True
        if not lines:
            raise StopIteration
        return b"".join(lines)

    def close(self) -> None:
        """Called when the stream has ended or its reader disconnected."""
        self._engine.end(self._call)


def _get_key(item: Any) -> tuple[str, int]:
    return item["call"]["request"], item["call"]["attempt"]


def make_app(engine: Engine) -> web.App:
    """Returns the engine's HTTP endpoints."""
    app = web.App()

    def run(req: web.Request) -> web.Response:
        call = base.read_json(req)
        out = engine.start(call)
        if isinstance(out, str):
            body = {
                "r": call["request"],
                "a": call["attempt"],
                "error": out,
                "upstream": engine.name,
            }
            return base.reply(body, 503)
        return web.Response(
            200,
            {"Content-Type": "application/x-ndjson"},
            Stream(engine, call, out),
        )

    def take(req: web.Request) -> web.Response:
        engine.receive(base.read_json(req))
        return base.reply({})

    def fail(req: web.Request) -> web.Response:
        engine.fail(base.read_json(req))
        return base.reply({})

    def cancel(req: web.Request) -> web.Response:
        data = base.read_json(req)
        engine.cancels += 1
        engine.drop((data["request"], data["attempt"]))
        return base.reply({})

    def order(req: web.Request) -> web.Response:
        return base.reply({}, engine.order(base.read_json(req)))

    def faults(req: web.Request) -> web.Response:
        engine.faults.update(base.read_json(req))
        if engine.faults["die"]:
            os._exit(1)
        return base.reply(engine.faults)

    def counts(req: web.Request) -> web.Response:
        return base.reply(
            {
                "tokens": engine.tokens,
                "cancels": engine.cancels,
                "runs": engine.runs,
                "orders": engine.orders,
            }
        )

    def cache(req: web.Request) -> web.Response:
        # Events are published with a delay of one second.
        old = time.time() - 1.0
        return base.reply([e for e in engine.cache_events if e[0] < old])

    app.add("POST", "/run", run)
    app.add("POST", "/pass", take)
    app.add("POST", "/fail", fail)
    app.add("POST", "/cancel", cancel)
    app.add("PUT", "/holdings", order)
    app.add("GET", "/status", lambda r: base.reply(engine.get_status()))
    app.add("GET", "/counts", counts)
    app.add("GET", "/cache/events", cache)
    app.add("POST", "/faults", faults)
    return app


def main() -> int:
    """Entry point."""
    parser = base.make_parser(__doc__ or "")
    parser.add_argument("--name", required=True)
    parser.add_argument("--layers-per-s", type=float, default=10_000.0)
    parser.add_argument("--slots", type=int, default=32)
    parser.add_argument("--checks-fence", action="store_true")
    parser.add_argument(
        "--weights", default="", help="weight store; empty: holds everything"
    )
    args = parser.parse_args()
    threading.stack_size(256 * 1024)
    sys.setswitchinterval(0.001)
    engine = Engine(
        args.name,
        args.layers_per_s,
        args.slots,
        args.checks_fence,
        args.weights,
    )
    return base.run(make_app(engine), args.listen, args.slots + 24)


if __name__ == "__main__":
    sys.exit(main())
