"""What a figure does as the size grows: a line through measured points, its scatter, and the verdict in words. Pure."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from scipy import stats

LEAST_SIZES = 3
FLAT, PROPORTIONAL, WITH_BASE, FASTER, FALLS = (
    "flat", "proportional", "proportional with a base", "grows faster", "falls")
# Over the measured sizes the line moves by less than this share of its middle, or by less than its scatter.
FLAT_SHARE = 0.1
# The base's share of the value at the largest size under which there is no base to speak of.
BASE_SHARE = 0.1
# From the first stretch between sizes to the last, the steepness grows by more than this.
STEEPER = 1.5


class FitError(Exception):
    """Points that no line can be put through; the text is one line."""


@dataclass(frozen=True, slots=True)
class Fit:
    intercept: float
    slope: float  # of the value, for one more
    slope_error: float  # its standard error
    r2: float
    exponent: float | None  # of a line through the logarithms; None where a value is not above 0
    mean: float
    verdict: str

    def at(self, size: float) -> float:
        """The value at a size: of what is flat, its mean."""
        return self.mean if self.verdict == FLAT else self.intercept + self.slope * size


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """Points of (size, value), each repeat one of its own. Raises FitError under three sizes."""
    sizes = sorted({size for size, _ in points})
    if len(sizes) < LEAST_SIZES:
        raise FitError(f"expected points at {LEAST_SIZES} sizes at least, got {len(sizes)}")
    if not all(math.isfinite(size) and math.isfinite(value) for size, value in points):
        raise FitError("expected finite numbers, got " + ", ".join(f"{s:g}: {v:g}" for s, v in points))
    x, y = (np.array(column, dtype=float) for column in zip(*points, strict=True))
    line = stats.linregress(x, y)
    exponent = None
    if bool((y > 0).all()) and bool((x > 0).all()):
        exponent = float(stats.linregress(np.log(x), np.log(y)).slope)
    error = float(line.stderr) if math.isfinite(line.stderr) else 0.0
    r2 = float(line.rvalue) ** 2 if math.isfinite(line.rvalue) else 1.0
    middles = [float(np.median(y[x == size])) for size in sizes]
    scatter = max(float(np.ptp(y[x == size])) for size in sizes)
    return Fit(float(line.intercept), float(line.slope), error, r2, exponent, float(y.mean()),
               _verdict(sizes, middles, scatter, float(line.slope), float(line.intercept)))


def _verdict(sizes: list[float], middles: list[float], scatter: float, slope: float, intercept: float) -> str:
    moved, middle = slope * (sizes[-1] - sizes[0]), sum(middles) / len(middles)
    if abs(moved) <= max(FLAT_SHARE * abs(middle), scatter):
        return FLAT
    if moved < 0:
        return FALLS
    first = (middles[1] - middles[0]) / (sizes[1] - sizes[0])
    last = (middles[-1] - middles[-2]) / (sizes[-1] - sizes[-2])
    # faster than in proportion: the last stretch is steeper than the first, multiplies the value by more than the size,
    # and lifts the end by more than repeats at one size differ
    grown = middles[-1] * sizes[-2] > middles[-2] * sizes[-1]
    if grown and last > STEEPER * max(first, 0.0) and (last - first) * (sizes[-1] - sizes[-2]) > max(
            scatter, FLAT_SHARE * abs(middles[-1])):
        return FASTER
    return WITH_BASE if abs(intercept) > BASE_SHARE * abs(middles[-1]) else PROPORTIONAL
