"""``make capacity``: measures the slopes and writes them as JSON lines."""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Any, Final

from bench import figures, fits, slopes

FILE: Final = pathlib.Path("docs/capacity.jsonl")

DIGITS: Final = 4


def main() -> int:
    """Measures the slopes and writes the file that the page renders."""
    lines = [make_line(s) for s in slopes.measure_all()]
    text = "".join(json.dumps(line) + "\n" for line in lines)
    print(text, end="")
    FILE.write_text(text, encoding="utf-8")
    figures.log_progress(f"{len(lines)} slopes written to {FILE}")
    return 0


def make_line(slope: slopes.Slope) -> dict[str, Any]:
    """Returns a slope with its fit, as values for JSON."""
    points = [(_round(x), _round(y)) for x, y in slope.points]
    fit = fits.fit_line(points)
    return {
        "name": slope.name,
        "size_unit": slope.size_unit,
        "value_unit": slope.value_unit,
        "points": points,
        "slope": _round(fit.slope),
        "intercept": _round(fit.intercept),
        "r2": _round(fit.r2),
        "residual": _round(fit.residual),
    }


def _round(value: float) -> float:
    return float(f"{value:.{DIGITS}g}")


if __name__ == "__main__":
    sys.exit(main())
