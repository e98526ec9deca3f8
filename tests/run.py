"""Runs features in parallel and sums up their scenarios.

``python -m tests.run [--jobs N] [FEATURE...]``. Most scenarios wait for
processes rather than use the processor, so features run in parallel, each in
its own behave process. One with the tag ``@alone`` runs after all others, with
nothing beside it. A scenario named in KNOWN-RED.txt may fail; it is printed.
All others must pass.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys
import time
from collections.abc import Iterator, Sequence
from typing import Final

import attrs

ROOT: Final = pathlib.Path(__file__).parents[1]
KNOWN_RED: Final = ROOT / "KNOWN-RED.txt"

# A feature that takes longer is killed and counts as failed.
TIMEOUT_S: Final = 300.0

# Features run in parallel: half of the processors, since some scenarios start
# ten processes that must not wait for each other.
JOBS: Final = max(2, (os.cpu_count() or 2) // 2)

# Folders whose scenarios start processes; they take longest and run first.
SLOW_FOLDERS: Final = (
    "daemons",
    "intents",
    "orders",
    "claims",
    "delivery",
    "bench",
)

# Tag of features that run one at a time, since they need much of the machine.
ALONE: Final = "@alone"

_COUNTS: Final = re.compile(
    r"^(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?", re.MULTILINE
)
_FAILING: Final = re.compile(r"^  (tests/\S+:\d+)  (.+?) *$", re.MULTILINE)


@attrs.frozen
class Result:
    """Result of one feature."""

    feature: str
    passed: int
    # Names of scenarios that failed.
    failing: tuple[str, ...]
    output: str
    took_s: float


def run_feature(feature: str) -> Result:
    """Runs one feature."""
    began_s = time.monotonic()
    command = [
        str(pathlib.Path(sys.executable).with_name("behave")),
        "--no-color",
        "--format",
        # Prints the assertion of a step that failed.
        "progress3",
        feature,
    ]
    try:
        done = subprocess.run(
            command,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        output, code = done.stdout, done.returncode
    except subprocess.TimeoutExpired as exc:
        output, code = str(exc.stdout or ""), 1
    return read_result(feature, output, code, time.monotonic() - began_s)


def read_result(
    feature: str, output: str, code: int, took_s: float = 0.0
) -> Result:
    """Parses the output of behave for a feature."""
    counts = _COUNTS.search(output)
    failing = tuple(name for _, name in _FAILING.findall(output))
    if counts is None:
        return Result(feature, 0, (f"{feature}: no report",), output, took_s)
    failed = int(counts[2]) + int(counts[3] or 0)
    if failed != len(failing):
        failing = (*failing, *[f"{feature}: unnamed"] * (failed - len(failing)))
    if code and not failing:
        failing = (f"{feature}: exit code {code}",)
    return Result(feature, int(counts[1]), failing, output, took_s)


def read_known_red() -> set[str]:
    """Returns the names of scenarios that may fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text("utf-8").splitlines()
    return {n.partition(" | ")[0].strip() for n in lines if n.strip()}


def find_features() -> list[str]:
    """Returns all features, the slowest first."""

    def rank(path: pathlib.Path) -> tuple[bool, int]:
        is_slow = path.parent.name in SLOW_FOLDERS
        return not is_slow, -path.read_text("utf-8").count("Scenario")

    found = sorted((ROOT / "tests").rglob("*.feature"), key=rank)
    return [str(p.relative_to(ROOT)) for p in found]


def is_alone(feature: str) -> bool:
    """Returns whether a feature runs with nothing beside it."""
    text = (ROOT / feature.partition(":")[0]).read_text("utf-8")
    return ALONE in text.partition("Feature:")[0].split()


def run_all(features: Sequence[str], jobs: int) -> Iterator[Result]:
    """Runs features, those that run alone last; yields their results."""
    alone = [f for f in features if is_alone(f)]
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        yield from pool.map(
            run_feature, [f for f in features if f not in alone]
        )
    yield from map(run_feature, alone)


def report(results: Sequence[Result], known: set[str]) -> int:
    """Prints the failures and the totals; returns the exit code."""
    red = 0
    for result in results:
        unknown = [n for n in result.failing if n not in known]
        if result.failing:
            print(result.output)
        for name in result.failing:
            mark = "known red" if name in known else "FAILED"
            print(f"{mark}: {result.feature}: {name}")
        red += len(unknown)
    passed = sum(r.passed for r in results)
    failed = sum(len(r.failing) for r in results)
    print(
        f"{len(results)} features, {passed} scenarios passed, {failed} failed"
    )
    return 1 if red or not passed else 0


def main(argv: Sequence[str] | None = None) -> int:
    """Entry point."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=JOBS)
    parser.add_argument("features", nargs="*")
    args = parser.parse_args(argv)
    features = args.features or find_features()
    results = []
    for result in run_all(features, args.jobs):
        results.append(result)
        state = "failed" if result.failing else "ok"
        print(f"{result.took_s:6.1f} s  {state:6}  {result.feature}")
        sys.stdout.flush()
    return report(results, read_known_red())


if __name__ == "__main__":
    sys.exit(main())
