"""Prints measured values and their baselines as JSON lines."""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Final

import attrs

TICKS_PER_S: Final = 100


@attrs.frozen
class Figure:
    """One measured value."""

    figure: str
    value: float
    unit: str
    # Name of the value of the same run to compare with; empty if none.
    baseline: str = ""
    baseline_value: float = 0.0


def emit(figure: Figure) -> None:
    """Prints a figure as one JSON line."""
    data = attrs.asdict(figure)
    data["value"] = round(figure.value, 6)
    data["baseline_value"] = round(figure.baseline_value, 6)
    print(json.dumps(data), flush=True)


def read_cpu_s(pid: int) -> float:
    """Returns the processor seconds that a process has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_rss_mb(pid: int) -> float:
    """Returns the resident memory of a process in megabytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def log_progress(text: str) -> None:
    """Prints a progress message to standard error."""
    print(text, file=sys.stderr, flush=True)
