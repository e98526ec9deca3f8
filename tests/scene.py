"""A small complete system: platform, engines, entry hosts and clients."""

from __future__ import annotations

import contextlib
import functools
import io
import json
from collections.abc import Iterator
from typing import Any, Final

import attrs

from egretspur import transport
from egretspur.cli import main as cli
from tests import stage

MODEL: Final = "tailor-llm"
VERSION: Final = "v1"
LAYERS: Final = 32

# Speeds of the two kinds of accelerators, in layers per second.
LAYERS_PER_S: Final = {"fast": 16_000.0, "slow": 8_000.0}


@attrs.frozen
class Answer:
    """The answer to a completion."""

    status: int
    text: str
    # True if the end marker was received.
    whole: bool
    headers: dict[str, str]
    pipeline: str
    error: dict[str, Any]


@attrs.define
class Scene(stage.Stage):
    """The processes of a scene, with actions of operators and callers."""

    # Settings merged into those of every control daemon and router.
    control_cfg: dict[str, Any] = attrs.Factory(dict)
    router_cfg: dict[str, Any] = attrs.Factory(dict)
    # Address of the middlebox in front of the log; empty if there is none.
    middlebox_address: str = ""
    # Control daemons, in the order of their starts.
    controls: list[str] = attrs.Factory(list)

    def start_platform(
        self,
        *log_args: str,
        lag_s: float = 0.0,
        bytes_per_s: float = 1e9,
    ) -> None:
        """Starts log, host list and weight store."""
        self.start("log", "tests.fakes.log", *log_args)
        self.start("hosts", "tests.fakes.hosts", "--lag-s", str(lag_s))
        self.start(
            "weights", "tests.fakes.weights", "--bytes-per-s", str(bytes_per_s)
        )
        self.put_model(MODEL)

    def put_model(self, model: str, layer_bytes: int = 1_000_000) -> None:
        """Puts a model into the weight store."""
        spec = {
            "layers": LAYERS,
            "layer_bytes": layer_bytes,
            "adapter_layer_bytes": 10_000,
            "activation_bytes": 16_384,
            "versions": ["v1", "v2"],
            "adapters": ["wedding"],
        }
        self.call("PUT", "weights", f"/models/{model}", spec)

    def grow_engines(self, memory_bytes: int) -> None:
        """Raises the listed memory of all engines; waits until it is read."""
        listed = self.call("GET", "hosts", "/hosts?role=engine")
        for host in listed["changed"]:
            host["memory_bytes"] = memory_bytes
            self.call("PUT", "hosts", f"/hosts/{host['name']}", host)
        version = self.call("GET", "hosts", "/hosts")["version"]
        # Control daemons poll the list once a second, later under load. A plan
        # made before that finds no memory for its layers.
        for name in self.controls:
            stage.wait_until(
                functools.partial(self._has_read_hosts, name, version),
                20,
                f"{name} has read the host list",
            )

    def _has_read_hosts(self, control: str, version: int) -> bool:
        state = self.call("GET", control, "/state")
        return bool(state["host_list_version"] >= version)

    def start_engine(
        self,
        name: str,
        data_centre: str,
        kind: str = "fast",
        capacity: int = LAYERS,
        rack: str = "r1",
        slots: int = 16,
        checks_fence: bool = True,
        behind: bool = False,
    ) -> None:
        """Starts and lists an engine; `behind` puts a middlebox in front."""
        args = ["--name", name, "--layers-per-s", str(LAYERS_PER_S[kind])]
        args += ["--slots", str(slots)]
        args += ["--weights", self.processes["weights"].address]
        if checks_fence:
            args.append("--checks-fence")
        self.start(name, "tests.fakes.engine", *args)
        address = self.processes[name].address
        if behind:
            self.start(
                f"{name}-box", "tests.fakes.middlebox", "--target", address
            )
            address = self.call("GET", f"{name}-box", "/address")["address"]
        status = self.call("GET", name, "/status")
        self.list_host(
            name,
            data_centre,
            "engine",
            incarnation=status["incarnation"],
            address=address,
            rack=rack,
            accelerator=kind,
            memory_bytes=capacity * 1_000_000,
            layers_per_s=LAYERS_PER_S[kind],
            slots=slots,
            link_bytes_s=1e9,
            checks_fence=checks_fence,
        )

    def start_service(self, name: str, data_centre: str, service: str) -> None:
        """Starts a plain service and lists it."""
        self.start(name, "tests.fakes.service")
        self.list_host(name, data_centre, "service", service=service)

    def list_host(
        self, name: str, data_centre: str, role: str, **fields: Any
    ) -> None:
        """Puts a process into the platform's host list."""
        host = {
            "name": name,
            "role": role,
            "address": self.processes[name].address,
            "data_centre": data_centre,
            "incarnation": "1",
            **fields,
        }
        self.call("PUT", "hosts", f"/hosts/{name}", host)

    def start_entry(self, name: str, data_centre: str) -> None:
        """Starts an entry host: control ``<name>`` and ``<name>-router``."""
        self.start_control(name, data_centre)
        self.start_router(name, data_centre)

    def start_control(
        self, name: str, data_centre: str, listen: str = "127.0.0.1:0"
    ) -> None:
        """Starts a control daemon and lists it."""
        cfg: dict[str, Any] = {
            "node": {
                "name": name,
                "data_centre": data_centre,
                "listen": listen,
            },
            "platform": {
                "log": self.processes["log"].address,
                "hosts": self.processes["hosts"].address,
                "weights": self.processes["weights"].address,
            },
            "lease": {
                "duration_s": 2.0,
                "margin_s": 0.4,
                "flight_s": 0.6,
                "drain_s": 1.0,
                "dead_after_s": 2.0,
                "audit_per_s": 20,
                "period_s": 0.1,
            },
            "peers": {"period_s": 0.3, "gone_after_s": 4.0, "fallback_s": 2.0},
        }
        _merge(cfg, self.control_cfg)
        self.start_daemon(name, "egretspur.daemons.control", cfg)
        self.controls.append(name)
        self.list_host(name, data_centre, "entry")

    def partition(self, router: str, how: str) -> None:
        """Cuts a router off from all engines and plain services.

        Args:
            router: Started with `has_partition`.
            how: Kind of the partition; see `tests.fakes.partition`.
        """
        listed = self.call("GET", "hosts", "/hosts")["changed"]
        addresses = [h["address"] for h in listed if h["role"] != "entry"]
        path = self.folder / f"{router}.partition"
        new = path.with_suffix(".new")
        new.write_text(json.dumps({"how": how, "addresses": addresses}))
        new.replace(path)

    def start_router(
        self,
        name: str,
        data_centre: str,
        listen: str = "127.0.0.1:0",
        has_partition: bool = False,
    ) -> None:
        """Starts the router of an entry host."""
        cfg: dict[str, Any] = {
            "node": {
                "name": name,
                "data_centre": data_centre,
                "listen": listen,
            },
            "control": self.processes[name].address,
            "log": self.processes["log"].address,
            "tunnel_port": 0,
            "limits": {"streams": 128},
            "timing": {
                "first_event_s": 2.0,
                "between_events_s": 0.6,
                "service_s": 1.0,
                "linger_s": 0.5,
                "deadline_s": 6.0,
            },
        }
        _merge(cfg, self.router_cfg)
        router = f"{name}-router"
        module = "egretspur.daemons.router"
        if not has_partition:
            self.start_daemon(router, module, cfg)
            return
        self.partition(router, "")
        state = str(self.folder / f"{router}.partition")
        self.start_daemon(router, "tests.fakes.partition", cfg, state, module)

    # Operators.

    def run_cli(
        self, control: str, *args: str, operator: str = "ann"
    ) -> tuple[int, str, str]:
        """Runs the command line; returns its exit code and output."""
        argv = ["--control", self.processes[control].address]
        argv += ["--operator", operator, *args]
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = cli.main(argv)
        return code, out.getvalue(), err.getvalue()

    def make_intent(
        self,
        control: str,
        workspace: str,
        data_centres: list[str],
        operator: str = "ann",
        **fields: Any,
    ) -> dict[str, Any]:
        """Creates an intent; returns its plan."""
        intent = {
            "workspace": workspace,
            "model": MODEL,
            "version": VERSION,
            "data_centres": data_centres,
            "priority": 5,
            "replicas": 1,
            **fields,
        }
        path = self.folder / "intent.toml"
        path.write_text(stage.format_toml(intent), encoding="utf-8")
        code, out, err = self.run_cli(
            control, "--json", "intent", "create", str(path), operator=operator
        )
        if code:
            raise RuntimeError(err)
        plan: dict[str, Any] = json.loads(out)
        return plan

    def put_in_force(
        self,
        control: str,
        workspace: str,
        data_centres: list[str],
        **fields: Any,
    ) -> dict[str, Any]:
        """Creates an intent, confirms its plan, waits until it is in force."""
        plan = self.make_intent(control, workspace, data_centres, **fields)
        code, _, err = self.run_cli(control, "plan", "confirm", plan["id"])
        if code:
            raise RuntimeError(err)
        return self.wait_active(control, plan["id"])

    def wait_active(self, control: str, plan_id: str) -> dict[str, Any]:
        """Waits until a plan is in force in every router."""

        def is_active() -> dict[str, Any] | None:
            plan = self.call("GET", control, f"/v1/plans/{plan_id}")
            return plan if plan["status"] == "active" else None

        plan: dict[str, Any] = stage.wait_until(is_active, 30, plan_id)
        self.wait_in_force(plan["active_offset"])
        return plan

    def wait_in_force(self, offset: int, wait_s: float = 10.0) -> None:
        """Waits until every live router has an offset in force."""
        for name, process in self.processes.items():
            if name.endswith("-router") and process.popen.poll() is None:
                self._wait_router(name, offset, wait_s)

    def _wait_router(self, name: str, offset: int, wait_s: float) -> None:
        stage.wait_until(
            lambda: self.get_in_force(name) >= offset,
            wait_s,
            f"{name} at {offset}",
        )

    def get_in_force(self, router: str) -> int:
        """Returns the offset of a router's routing table."""
        offset: int = self.call("GET", router, "/state")["traffic"]["offset"]
        return offset

    # Callers.

    def complete(
        self,
        router: str,
        workspace: str,
        prompt: str,
        max_tokens: int = 16,
        request_id: str = "",
    ) -> Answer:
        """Sends a streaming completion and reads its answer."""
        return read_answer(
            self.open_completion(
                router, workspace, prompt, max_tokens, request_id
            )
        )

    def open_completion(
        self,
        router: str,
        workspace: str,
        prompt: str,
        max_tokens: int = 16,
        request_id: str = "",
    ) -> Any:
        """Sends a streaming completion; returns the open response."""
        body = {
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        headers = {"X-Workspace": workspace, "Content-Type": "application/json"}
        if request_id:
            headers["X-Request-Id"] = request_id
        res = self.conns.open(
            "POST",
            self.processes[router].address,
            "/v1/completions",
            json.dumps(body).encode(),
            headers,
        )
        if isinstance(res, transport.Failed):
            raise RuntimeError(res.reason)
        return res


def read_lines(res: Any) -> Iterator[str]:
    """Yields the lines of an open response as they arrive."""
    rest = b""
    while True:
        data = res.read1(65_536)
        if not data:
            return
        *lines, rest = (rest + data).split(b"\n")
        for line in lines:
            yield line.decode()


def read_answer(res: Any) -> Answer:
    """Reads an open completion to its end."""
    headers = {k.lower(): v for k, v in res.headers.items()}
    if res.status != 200:
        data = json.loads(res.read())
        return Answer(res.status, "", False, headers, "", data["error"])
    text = ""
    whole = False
    pipeline = ""
    error: dict[str, Any] = {}
    for line in read_lines(res):
        if line == "data: [DONE]":
            whole = True
        elif line.startswith("data: "):
            data = json.loads(line[6:])
            if "error" in data:
                error = data["error"]
                continue
            text += data["choices"][0]["text"]
            pipeline = data.get("pipeline", pipeline)
    res.release_conn()
    return Answer(200, text, whole, headers, pipeline, error)


def _merge(cfg: dict[str, Any], more: dict[str, Any]) -> None:
    for key, value in more.items():
        if isinstance(value, dict) and isinstance(cfg.get(key), dict):
            _merge(cfg[key], value)
        else:
            cfg[key] = value
