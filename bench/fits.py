"""Least-squares lines through measured points, with their residuals."""

from __future__ import annotations

from collections.abc import Sequence

import attrs


@attrs.frozen
class Fit:
    """A line: value = intercept + slope * size."""

    slope: float
    intercept: float
    # Share of the variance explained.
    r2: float
    # Largest distance of a point from the line, as a share of the largest
    # value.
    residual: float

    def predict(self, size: float) -> float:
        """Returns the value at a size."""
        return self.intercept + self.slope * size


def fit_line(points: Sequence[tuple[float, float]]) -> Fit:
    """Returns the least-squares line through points of size and value."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residuals = [y - (intercept + slope * x) for x, y in points]
    total = sum((y - mean_y) ** 2 for _, y in points)
    r2 = 1.0 - sum(e * e for e in residuals) / total if total else 1.0
    largest = max(abs(y) for _, y in points) or 1.0
    return Fit(slope, intercept, r2, max(abs(e) for e in residuals) / largest)
