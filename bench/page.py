"""Renders docs/CAPACITY.md; computes its figures from docs/capacity.jsonl."""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Any, Final

import attrs

from bench import fits, target

FILE: Final = pathlib.Path("docs/capacity.jsonl")
PAGE: Final = pathlib.Path("docs/CAPACITY.md")

MS_PER_S: Final = 1000.0


@attrs.frozen(kw_only=True)
class MeasuredSlope(fits.Fit):
    """A slope read from the file: its fitted line and the measured points."""

    name: str
    size_unit: str
    value_unit: str
    points: tuple[tuple[float, float], ...]

    @property
    def largest(self) -> float:
        """Largest size measured."""
        return max(x for x, _ in self.points)


Slopes = dict[str, MeasuredSlope]


def read_slopes(path: pathlib.Path) -> Slopes:
    """Returns the slopes of a file, keyed by name."""
    found = {}
    for line in path.read_text(encoding="utf-8").splitlines():
        data: dict[str, Any] = json.loads(line)
        data["points"] = tuple((x, y) for x, y in data["points"])
        found[data["name"]] = MeasuredSlope(**data)
    return found


def render(slopes: Slopes) -> str:
    """Returns the page as Markdown."""
    sizes = target.Sizes()
    requirements = target.compute_requirements(slopes, sizes)
    roles = target.compute_roles(slopes, sizes)
    parts = [
        _INTRO,
        "## The letter's target, line by line\n",
        _format_table(
            ["asked", "what the slopes give", "margin", "mechanism"],
            [[r.text, r.given, r.margin, r.mechanism] for r in requirements],
        ),
        "\n## Shortfalls, and what would close them\n",
        "\n".join(f"- {r.text}: {r.remedy}" for r in requirements if r.remedy),
        "\n\n## Each role at that size\n",
        _format_table(
            ["role", "state", "messages", "processor", "memory", "mechanism"],
            [
                [r.role, r.state, r.messages, r.cpu, r.memory, r.mechanism]
                for r in roles
            ],
        ),
        "\n## Failures\n",
        _format_table(
            ["what fails", "load", "messages", "time to recover"],
            [
                [f.cause, f.load, f.messages, f.recovery]
                for f in target.compute_failures(slopes, sizes)
            ],
        ),
        "\n## Slopes as measured\n",
        _format_table(
            [
                "slope",
                "per",
                "unit",
                "slope",
                "at 0",
                "R2",
                "worst residual",
                "measured to",
                "used at",
                "extrapolated",
            ],
            [_format_slope(s, sizes) for s in slopes.values()],
        ),
        _NOTES,
    ]
    return "\n".join(parts)


def _format_slope(slope: MeasuredSlope, sizes: target.Sizes) -> list[str]:
    used = target.get_used_size(slope.name, sizes)
    factor = used / slope.largest
    return [
        f"`{slope.name}`",
        slope.size_unit,
        slope.value_unit,
        f"{slope.slope:.3g}",
        f"{slope.intercept:.3g}",
        f"{slope.r2:.3f}",
        f"{slope.residual:.1%}",
        f"{slope.largest:g}",
        f"{used:g}",
        f"{factor:.1f} x" if factor > 1.05 else "no",
    ]


def _format_table(head: list[str], rows: list[list[str]]) -> str:
    lines = ["| " + " | ".join(head) + " |", "|" + "---|" * len(head)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines) + "\n"


_INTRO: Final = """# Capacity

Rendered by `make capacity` from `docs/capacity.jsonl`; change neither by hand.
Every figure is worked out from a slope of the last table: least squares over
at least four sizes, measured on one machine with small stand-ins. Names in
`code` are the lines of the file that a figure rests on.

**Control** is the whole `egretspur-control` process of an entry host: following
the log, talking to peers, lease and orders, operators' pages and the host's
router tables, the interpreter's own memory included. Bytes are those on the
network to other hosts; what passes between router and control daemon stays on
the host. The router's tokens and requests are not control.
"""

_NOTES: Final = """
## What the figures leave out

- The shares of claims among requests and of new chains in a change are
  assumptions, named constants of `bench/target.py`; the letter gives neither.
- One machine: the network's own delay and loss are not in any figure.
- A slope used outside its measured range says by how much in its last column.
"""


def main() -> int:
    """Writes the page."""
    PAGE.write_text(render(read_slopes(FILE)), encoding="utf-8")
    print(f"{PAGE} rendered", file=sys.stderr)
    return 0


if __name__ == "__main__":
    sys.exit(main())
