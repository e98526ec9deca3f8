"""Steps on what the adapter translates."""

from __future__ import annotations

import base64
import io
import json
import pathlib
import re
import struct
from typing import Any

import attrs
import orjson
from behave import given, then, when

import egretspur
from egretspur import codec, transport, web
from egretspur.catalog import feeds, positions, tables
from egretspur.delivery import watch
from egretspur.platform import decode, ingress, node, store
from tests import fleets
from tests.steps import silence_steps

# Names that only the adapter may know.
NAMES = (
    "Attempt-Id",
    "Replica-Signature",
    "Replica-Id",
    "Hop-Count",
    "Prefix-Hash",
    "Token-Usage",
    "Target-Replica",
    "Not-Executed",
    "At-Server",
    "Length-Hint",
    "Deadline-Ms",
    "log-append",
    "log-newest",
    "log-read",
    "log-join",
    "keyed.op",
    "keyed.servers",
    "layer_count",
    "kv_token_bytes",
    "EGRETSPUR_NODE_FILE",
    "egretspur/report",
    "egretspur/order",
    "egretspur/readyz",
)

ENGINE = {
    "slots": 96,
    "kv_capacity": 50000,
    "kv_token_bytes": 1836000,
    "stride": 3,
    "models": [{"name": "m0", "pace": 1.0, "load_s": 14.0}],
    "step_ms": 1.02,
    "per_seq_ms": 0.01428,
    "context_per_k": 0.01912,
    "read_per_s": 105000.0,
    "loads_at_once": 5,
    "usual": {"prompt": 774, "answer": 203},
    "layer_count": 80,
    "layer_mb": 1750.0,
    "kinds": [
        {"name": "l4", "size_mb": 21600.0, "pace": 16.0, "read_factor": 8.2}
    ],
}

EXAMPLE = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "a.example",
            "path_prefix": "/x/",
            "route_kind": "streaming",
            "timeout_ms": 20000,
            "slo_ms": 500,
            "priority": 1,
            "split": [
                {"service": "llm", "weight": 90},
                {"service": "desk", "weight": 10},
            ],
            "max_attempts": 2,
            "public": False,
            "resumable": True,
            "target_gap_ms": 200,
        },
        {
            "name": "r2",
            "host": "a.example",
            "path_prefix": "/y/",
            "route_kind": "non_idempotent",
            "timeout_ms": 1000,
            "slo_ms": 200,
            "service": "desk",
            "max_attempts": 1,
        },
    ],
    "services": [
        {
            "name": "llm",
            "health_path": "/h",
            "max_conns": 1068,
            "inference_engine": ENGINE,
        },
        {"name": "desk", "health_path": "/h", "max_conns": 110},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "t1", "api_keys": ["k1", "k2"], "priority": 3}],
}

SETTINGS = {
    "node_name": "n",
    "ip": "10.0.0.1",
    "zone": "kl-hall",
    "zones": {"kl-hall": "my"},
    "listen": {
        "frontend": "10.0.0.1:1",
        "ready": "10.0.0.1:2",
        "control_plane": "10.0.0.1:3",
    },
    "port_range": [7340, 7355],
    "platform": {"address": "10.0.0.9:1"},
}


@then("no module outside the adapter contains one of the platform's names")
def step_names(context: Any) -> None:
    package = pathlib.Path(egretspur.__file__).parent
    words = re.compile("|".join(re.escape(n) for n in NAMES))
    found = [
        (str(path), match)
        for path in package.rglob("*.py")
        if path.parent.name != "platform"
        for match in words.findall(path.read_text("utf-8"))
    ]
    assert not found, found


@when("the platform's example configuration is decoded")
def step_decode(context: Any) -> None:
    context.cfg = decode.decode_config(EXAMPLE)


@then("its routes, services, limits and keys are in the product's terms")
def step_decoded(context: Any) -> None:
    cfg = context.cfg
    assert cfg.version == 7
    first, second = cfg.routes
    assert [t.service for t in first.targets] == ["llm", "desk"]
    assert first.is_resumable and first.gap_s == 0.2 and first.max_attempts == 2
    assert second.kind.value == "non_idempotent" and second.timeout_s == 1.0
    spec = cfg.services["llm"].engine
    assert spec.layers == 80 and spec.token_layer_bytes == 22950
    assert spec.layer_bytes == 1.75e9 and spec.step_s == 0.00102
    assert spec.accelerators["l4"].memory_bytes == 21.6e9
    assert cfg.services["desk"].engine is None
    assert cfg.limits.idle_s == 15.0
    assert cfg.keys["k2"].name == "t1" and cfg.keys["k2"].priority == 3


def add_points(value: Any) -> Any:
    """Returns a value whose whole numbers are written with a decimal point."""
    if isinstance(value, dict):
        return {k: add_points(v) for k, v in value.items()}
    if isinstance(value, list):
        return [add_points(v) for v in value]
    return float(value) if type(value) is int else value


@when('the example configuration is decoded with each number as "2.0"')
def step_points(context: Any) -> None:
    raw = orjson.dumps(add_points(EXAMPLE))
    assert b"2.0" in raw, raw
    context.cfg = decode.decode_config(orjson.loads(raw))


@then("it equals the example configuration")
def step_equals(context: Any) -> None:
    example = decode.decode_config(EXAMPLE)
    assert context.cfg == example, context.cfg
    assert type(context.cfg.version) is int


@when('the example configuration with an engine\'s "{field}" of 0 is decoded')
def step_zero(context: Any, field: str) -> None:
    example: dict[str, Any] = EXAMPLE
    first, *others = example["services"]
    first = {**first, "inference_engine": {**ENGINE, field: 0}}
    data = {**example, "services": [first, *others]}
    context.problem = ""
    try:
        decode.decode_config(data)
    except codec.DecodeError as exc:
        context.problem = str(exc)


@when('the example configuration without "{field}" is decoded')
def step_without_field(context: Any, field: str) -> None:
    data = {k: v for k, v in EXAMPLE.items() if k != field}
    try:
        decode.decode_config(data)
    except codec.DecodeError as exc:
        context.problem = str(exc)


@then('the error names "{field}"')
@then('the problem names "{field}"')
def step_error(context: Any, field: str) -> None:
    assert field in context.problem, context.problem


@when('the entry "{entry}" is decoded')
def step_entry(context: Any, entry: str) -> None:
    data: dict[str, Any] = {
        "service": "llm",
        "address": "10.0.0.1:1",
        "zone": "kl-hall",
        "version": "v1",
        "cold_left_ms": 0,
        "slots": 96,
        "seq_no": 4,
        "route_kind": "l4",
        "layer_count": None,
    }
    state, _, layers = entry.partition(",layer_count=")
    data["state"] = state.removeprefix("state=")
    if layers:
        data["layer_count"] = json.loads(layers)
    context.entry = decode.decode_upstream("i-1", data)


@then('its state is "{state}" and its layers are "{layers}"')
def step_says(context: Any, state: str, layers: str) -> None:
    assert context.entry.is_draining == (state == "draining")
    held = context.entry.layers
    found = f"{held.first}-{held.last}" if held else "none"
    assert found == layers, found


@when('a read returns records "{records}" and {cut:d} bytes are cut off')
@when('a read returns records "" and {cut:d} bytes are cut off')
def step_records(context: Any, cut: int, records: str = "") -> None:
    data = struct.pack(">QQ", 9, 0)
    for text in records.split(",") if records else []:
        data += struct.pack(">I", len(text)) + text.encode()
    try:
        found = store.parse_records(data[: len(data) - cut])
        context.found = ",".join(r.decode() for r in found)
    except struct.error:
        context.found = "cut short"


@then('"{read}" is read')
@then('"" is read')
def step_read(context: Any, read: str = "") -> None:
    assert context.found == read, context.found


def encode_newest(entries: list[tuple[str, bytes]], more: bool) -> bytes:
    """Returns a page as the store sends it."""
    rows = [
        {"key": k, "value": base64.b64encode(v).decode(), "offset": 40 + i}
        for i, (k, v) in enumerate(entries)
    ]
    # The last record of the log is the newest of its key.
    page = {"entries": rows, "has_more": more, "end_offset": 40 + len(rows)}
    return json.dumps(page).encode()


@attrs.define
class Pages:
    """A store that answers with pages."""

    pages: list[bytes]
    queries: list[dict[str, Any]] = attrs.Factory(list)

    def get(
        self, path: str, query: dict[str, Any], read_s: float = 1.0
    ) -> transport.Reply:
        """Returns the next page."""
        self.queries.append(dict(query))
        return transport.Reply(200, {}, self.pages.pop(0))


@given("a store whose newest records come in pages of 2")
def step_pages(context: Any) -> None:
    rows = [(f"k{i}", json.dumps(i + 1).encode()) for i in range(5)]
    context.store = Pages(
        [
            encode_newest(rows[:2], True),
            encode_newest(rows[2:4], True),
            encode_newest(rows[4:], False),
        ]
    )


@given("a store with a good record and a broken one")
def step_broken(context: Any) -> None:
    rows = [("good", b"1"), ("bad", b"{")]
    context.store = Pages([encode_newest(rows, False)])


@when("{count:d} entries are read")
@when("both are read")
def step_newest(context: Any, count: int = 2) -> None:
    topic: store.Topic[int] = store.Topic(
        context.store,
        "keyed.test",
        lambda key, data: int(data),
        tables.Policy(lambda known, copied: known > copied),
    )
    context.whole = topic.read_newest()


@then("all 5 are known and the next read starts at the first page's end")
def step_all(context: Any) -> None:
    assert isinstance(context.whole, feeds.FullState)
    assert context.whole.values == {f"k{i}": i + 1 for i in range(5)}
    # Later pages may hold changes made meanwhile; those are read again.
    assert context.whole.next == positions.Position(0, 42)
    after = [q.get("after") for q in context.store.queries]
    assert after == [None, "k1", "k3"], after


@then("the good one is known and the broken one is unreadable")
def step_good(context: Any) -> None:
    values = dict(context.whole.values)
    assert isinstance(values.pop("bad"), feeds.Unreadable), context.whole
    assert values == {"good": 1}, context.whole


@when('settings without "{field}" are decoded')
def step_settings(context: Any, field: str) -> None:
    assert node.decode_settings(SETTINGS).exchange_port == 7340
    data = {k: v for k, v in SETTINGS.items() if k != field}
    try:
        node.decode_settings(data)
        context.problem = ""
    except KeyError as exc:
        context.problem = repr(exc)


@when('a request states "{usage}" and "{estimate}"')
@when('a request states "{usage}" and ""')
@when('a request states "" and "{estimate}"')
def step_usage(context: Any, usage: str = "", estimate: str = "") -> None:
    context.tokens = decode.decode_tokens(usage, estimate)


@then('its tokens are "{tokens}"')
def step_tokens(context: Any, tokens: str) -> None:
    found = context.tokens
    text = (
        f"{found.prompt} {found.max_output} {found.estimate}"
        if found
        else "none"
    )
    assert text == tokens, text


@when("a caller's request with its own key, deadline and path is read")
def step_request(context: Any) -> None:
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": "/x/a b",
        "egretspur.target": "/x/a%20b?q=1%2F2",
        "wsgi.input": io.BytesIO(b"body\x00\xff"),
        "CONTENT_TYPE": "text/plain",
        "CONTENT_LENGTH": "6",
        "HTTP_HOST": "a.example",
        "HTTP_ATTEMPT_ID": "9c41",
        "HTTP_AUTHORIZATION": "Bearer k1",
        "HTTP_DEADLINE_MS": "2500",
        "HTTP_HOP_COUNT": "10.0.0.1:1=0-80",
        "HTTP_TENANT": "somebody",
        "HTTP_REQUEST_PRIORITY": "0",
        "HTTP_X_OWN": "kept",
    }
    context.inbound = ingress.read_request(
        web.Request("POST", "/x/a b", {}, environ)
    )


@then("the key, the deadline and the path are not forwarded")
def step_not_passed(context: Any) -> None:
    passed = context.inbound.call.headers
    assert set(passed) == {"Host", "Attempt-Id", "X-Own", "Content-Type"}
    assert context.inbound.key == "k1"
    assert context.inbound.caller_timeout_s == 2.5


@then("the target and the body are unchanged")
def step_as_sent(context: Any) -> None:
    call = context.inbound.call
    assert call.target == "/x/a%20b?q=1%2F2"
    assert context.inbound.path == "/x/a%20b"
    assert call.body == b"body\x00\xff" and call.id == "9c41"


@when("settings have stalls of {stall:d} ms and heartbeats of {beat:d} ms")
def step_bounds(context: Any, stall: int, beat: int) -> None:
    data = {**SETTINGS, "heartbeat_ms": beat, "bounds": {"stall_ms": stall}}
    try:
        context.bounds = node.decode_settings(data).bounds
    except ValueError as exc:
        context.bounds = exc


@then("they are refused")
def step_bounds_refused(context: Any) -> None:
    assert isinstance(context.bounds, ValueError), context.bounds


@when("a route has an objective of {objective:d} ms and gaps of {gap:d} ms")
def step_route_times(context: Any, objective: int, gap: int) -> None:
    example: dict[str, Any] = EXAMPLE
    route = {
        **example["routes"][0],
        "slo_ms": objective,
        "target_gap_ms": gap,
    }
    cfg = decode.decode_config({**example, "routes": [route]})
    (context.route,) = cfg.routes


@then(
    "a silent stream times out after {silence:g} s and entries expire after"
    " {lapse:g} s"
)
def step_bounds_times(context: Any, silence: float, lapse: float) -> None:
    assert abs(context.bounds.max_silence_s - silence) < 1e-9
    assert abs(context.bounds.entry_ttl_s - lapse) < 1e-9


@then(
    "its caller gives up after {timeouts:g} s, and its stages are probed after"
    " {asked:g} s"
)
def step_patience(context: Any, timeouts: float, asked: float) -> None:
    assert abs(context.route.caller_silence_s - timeouts) < 1e-9
    job = attrs.evolve(fleets.make_job("r"), route=context.route)
    stream: Any = silence_steps.Stream(job, ("part",), last_activity_s=10.0)
    assert not watch.is_silent(stream, 10.0 + asked - 0.01)
    assert watch.is_silent(stream, 10.0 + asked + 0.01)


def make_routes(count: int) -> list[dict[str, Any]]:
    """Returns routes as operators write them."""
    example: dict[str, Any] = EXAMPLE
    return [
        {**example["routes"][i % 2], "name": f"r{i}", "path_prefix": f"/{i}/"}
        for i in range(count)
    ]


@given("a configuration of {count:d} routes that was decoded")
def step_routes_decoded(context: Any, count: int) -> None:
    context.decoder = decode.ConfigDecoder()
    context.routes = make_routes(count)
    context.first = context.decoder.decode(
        {**EXAMPLE, "routes": context.routes}
    )


@when("versions arrive with a route changed, added, removed or renamed")
def step_versions_come(context: Any) -> None:
    routes = context.routes
    versions = [
        [{**routes[0], "timeout_ms": 7}, *routes[1:]],
        [*routes, {**routes[0], "name": "new", "path_prefix": "/new/"}],
        routes[1:],
        [{**routes[0], "name": "other"}, *routes[1:]],
        # Names of two routes change places.
        [
            {**routes[1], "name": "r0"},
            {**routes[0], "name": "r1"},
            *routes[2:],
        ],
        routes,
    ]
    context.pairs = [
        (decode.decode_config(cfg), context.decoder.decode(cfg))
        for number, found in enumerate(versions, 8)
        for cfg in ({**EXAMPLE, "version": number, "routes": found},)
    ]


@then("each is decoded as if it were the first")
def step_as_first(context: Any) -> None:
    for anew, found in context.pairs:
        assert found == anew, found.version


@then("unchanged routes are not decoded again")
def step_kept_routes(context: Any) -> None:
    known = {id(r) for r in context.first.routes}
    for _, found in context.pairs:
        kept = sum(id(r) in known for r in found.routes)
        assert kept >= len(context.first.routes) - 2, kept


@when('the prompt segments "{value}" are decoded')
@when('the prompt segments "" are decoded')
def step_segments(context: Any, value: str = "") -> None:
    context.segments = decode.decode_segments(value)


@when("a request with {count:d} prompt segments is decoded")
def step_many_segments(context: Any, count: int) -> None:
    value = ",".join(f"{i + 1:x}:1" for i in range(count))
    context.segments = decode.decode_segments(value)


@then('the shared segments are "{segments}"')
@then('the shared segments are ""')
def step_shared(context: Any, segments: str = "") -> None:
    assert context.segments == tuple(segments.split()), context.segments


@then("it has {count:d} shared segments")
def step_shared_count(context: Any, count: int) -> None:
    assert len(context.segments) == count, len(context.segments)
