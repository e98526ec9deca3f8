"""Starts stand-ins and daemons as processes, for tests, demo and bench."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Sequence
from typing import Any, Final

import attrs

from egretspur import codec, transport

START_TIMEOUT_S: Final = 20.0

# Longest wait for the answers of callers that were stopped.
ANSWERS_TIMEOUT_S: Final = 15.0


@attrs.define
class Process:
    """A started process."""

    name: str
    popen: subprocess.Popen[str]
    address: str
    # Lines of its output, the newest last.
    lines: list[str] = attrs.Factory(list)
    # Monotonic time since which it is frozen; None if it is not.
    paused_s: float | None = None

    @property
    def is_paused(self) -> bool:
        """Whether it is frozen."""
        return self.paused_s is not None

    def get_paused_s(self) -> float:
        """Returns for how many seconds it has been frozen."""
        paused_s = self.paused_s
        return 0.0 if paused_s is None else time.monotonic() - paused_s

    def kill(self) -> None:
        """Kills it and waits for its exit."""
        self.popen.kill()
        self.popen.wait()

    def terminate(self) -> None:
        """Sends SIGTERM, on which it drains and stops."""
        self.popen.terminate()

    def pause(self) -> None:
        """Freezes it with SIGSTOP."""
        self.paused_s = time.monotonic()
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes it with SIGCONT."""
        self.popen.send_signal(signal.SIGCONT)
        self.paused_s = None


@attrs.define
class CallerThreads:
    """Threads of callers, until they are stopped."""

    stopped: threading.Event = attrs.Factory(threading.Event)
    _threads: list[threading.Thread] = attrs.Factory(list)

    def start(self, target: Callable[..., None], *args: Any) -> None:
        """Starts a thread."""
        thread = threading.Thread(target=target, args=args, daemon=True)
        self._threads.append(thread)
        thread.start()

    def close(self) -> None:
        """Stops the callers and waits for their answers."""
        self.stopped.set()
        for thread in list(self._threads):
            thread.join(ANSWERS_TIMEOUT_S)


@attrs.define
class Stage:
    """All processes of one scene."""

    folder: pathlib.Path = attrs.Factory(
        lambda: pathlib.Path(tempfile.mkdtemp(prefix="egretspur-"))
    )
    processes: dict[str, Process] = attrs.Factory(dict)
    # Former processes, whose name another one has now.
    ended: list[Process] = attrs.Factory(list)
    conns: transport.Transport = attrs.Factory(
        lambda: transport.Transport(1.0, 30.0)
    )

    def close(self) -> None:
        """Kills all processes and removes the folder."""
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
        for process in self.processes.values():
            process.popen.wait()
        self.conns.close()
        for file in self.folder.glob("*"):
            file.unlink()
        self.folder.rmdir()

    def start(self, name: str, module: str, *args: str) -> Process:
        """Starts a module and waits until it prints its address."""
        popen = subprocess.Popen(
            [sys.executable, "-m", module, *args],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        process = Process(name, popen, "")
        self.processes[name] = process
        found = threading.Event()
        threading.Thread(
            target=_read_lines, args=(process, found), daemon=True
        ).start()
        if not found.wait(START_TIMEOUT_S) or not process.address:
            raise RuntimeError(f"{name} did not start: {process.lines}")
        return process

    def start_daemon(
        self, name: str, module: str, cfg: dict[str, Any], *args: str
    ) -> Process:
        """Starts a daemon with settings given as nested dicts.

        Args:
            name: Name of the process.
            module: To run.
            cfg: The settings.
            *args: Arguments before the file of the settings.
        """
        path = self.folder / f"{name}.toml"
        path.write_text(format_toml(cfg), encoding="utf-8")
        return self.start(name, module, *args, str(path))

    def call(self, method: str, name: str, path: str, value: Any = None) -> Any:
        """Sends a JSON request to a process; returns the JSON response."""
        body = json.dumps(value).encode() if value is not None else None
        address = self.processes[name].address
        res = self.conns.call(method, address, path, body)
        if isinstance(res, transport.Failed):
            raise RuntimeError(res.reason)
        return codec.load_json(res.body)


def _read_lines(process: Process, found: threading.Event) -> None:
    assert process.popen.stdout is not None
    for line in process.popen.stdout:
        process.lines.append(line.rstrip())
        if not process.address and '"started"' in line:
            process.address = json.loads(line)["address"]
            found.set()
    found.set()


def format_toml(cfg: dict[str, Any], prefix: str = "") -> str:
    """Returns nested dicts as TOML; lists of dicts become table arrays."""
    lines = []
    tables = []
    for key, value in cfg.items():
        if isinstance(value, dict):
            tables.append(f"[{prefix}{key}]\n{format_toml(value)}")
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            tables += [f"[[{prefix}{key}]]\n{format_toml(v)}" for v in value]
        else:
            lines.append(f"{key} = {json.dumps(value)}")
    return "\n".join(lines + tables) + "\n"


def find_udp_port(hosts: Sequence[str]) -> int:
    """Returns a UDP port that is free on all of these addresses."""
    while True:
        socks = [
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in hosts
        ]
        try:
            socks[0].bind((hosts[0], 0))
            port = int(socks[0].getsockname()[1])
            for sock, host in zip(socks[1:], hosts[1:], strict=True):
                sock.bind((host, port))
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()
        return port


def wait_until(
    check: Callable[[], Any], wait_s: float = 20.0, what: str = ""
) -> Any:
    """Polls a check until its result is true; returns the result."""
    end = time.monotonic() + wait_s
    while True:
        result = check()
        if result:
            return result
        if time.monotonic() > end:
            raise AssertionError(f"not within {wait_s} s: {what or check}")
        time.sleep(0.05)
