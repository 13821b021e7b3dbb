"""Straight lines through measured points."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

__all__ = ["Slope", "fit_slope"]


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """A measured line: ``y = intercept + slope * x``.

    ``residual`` is the largest distance of a point from the line, as a part of the largest y.
    """

    name: str
    x: str
    y: str
    points: tuple[tuple[float, float], ...]
    intercept: float
    slope: float
    residual: float

    def at(self, x: float) -> float:
        """Return the line's value."""
        return self.intercept + self.slope * x


def fit_slope(*, name: str, x: str, y: str, points: Sequence[tuple[float, float]]) -> Slope:
    """Fit a line by least squares; at least two points with different x are needed."""
    count = len(points)
    mean_x = sum(px for px, _ in points) / count
    mean_y = sum(py for _, py in points) / count
    spread = sum((px - mean_x) ** 2 for px, _ in points)
    slope = sum((px - mean_x) * (py - mean_y) for px, py in points) / spread
    intercept = mean_y - slope * mean_x
    largest = max(abs(py) for _, py in points) or 1.0
    residual = max(abs(py - intercept - slope * px) for px, py in points) / largest
    return Slope(
        name=name,
        x=x,
        y=y,
        points=tuple((round(px, 6), round(py, 6)) for px, py in points),
        intercept=round(intercept, 6),
        slope=round(slope, 9),
        residual=round(residual, 4),
    )
