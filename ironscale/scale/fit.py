"""Fits a line to a metric measured at several sizes and classifies how the metric grows. Does no I/O."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from scipy import stats

MIN_SIZES = 3
FLAT, PROPORTIONAL, WITH_BASE, FASTER, FALLS = (
    "flat", "proportional", "proportional with a base", "grows faster", "falls")
# A metric is flat if its line changes over the measured sizes by no more than this share of the mean, or no more than
# the scatter.
FLAT_MAX_SHARE = 0.1
# An intercept up to this share of the value at the largest size is ignored: the metric counts as proportional.
INTERCEPT_MIN_SHARE = 0.1
# A metric grows faster than in proportion only if its last segment is more than this many times as steep as its first.
FASTER_MIN_STEEPENING = 1.5


class FitError(Exception):
    """Points that no line can be fitted to; the message is a single line."""


@dataclass(frozen=True, slots=True)
class Fit:
    intercept: float
    slope: float  # change of the value per unit of size
    slope_error: float  # standard error of the slope
    r2: float
    exponent: float | None  # slope of the log-log fit; None if a size or value is not above 0
    mean: float
    verdict: str

    def at(self, size: float) -> float:
        """The value that the fit predicts at a size; the mean if the metric is flat."""
        return self.mean if self.verdict == FLAT else self.intercept + self.slope * size


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """Fits points of (size, value), one for each repetition. Raises FitError for fewer than three sizes."""
    sizes = sorted({size for size, _ in points})
    if len(sizes) < MIN_SIZES:
        raise FitError(f"expected points at {MIN_SIZES} sizes at least, got {len(sizes)}")
    if not all(math.isfinite(size) and math.isfinite(value) for size, value in points):
        raise FitError("expected finite numbers, got " + ", ".join(f"{s:g}: {v:g}" for s, v in points))
    x, y = (np.array(column, dtype=float) for column in zip(*points, strict=True))
    line = stats.linregress(x, y)
    exponent = None
    if bool((y > 0).all()) and bool((x > 0).all()):
        exponent = float(stats.linregress(np.log(x), np.log(y)).slope)
    slope_error = float(line.stderr) if math.isfinite(line.stderr) else 0.0
    r2 = float(line.rvalue) ** 2 if math.isfinite(line.rvalue) else 1.0
    medians = [float(np.median(y[x == size])) for size in sizes]
    scatter = max(float(np.ptp(y[x == size])) for size in sizes)
    return Fit(float(line.intercept), float(line.slope), slope_error, r2, exponent, float(y.mean()),
               _verdict(sizes, medians, scatter, float(line.slope), float(line.intercept)))


def _verdict(sizes: list[float], medians: list[float], scatter: float, slope: float, intercept: float) -> str:
    total_change, mean = slope * (sizes[-1] - sizes[0]), sum(medians) / len(medians)
    if abs(total_change) <= max(FLAT_MAX_SHARE * abs(mean), scatter):
        return FLAT
    if total_change < 0:
        return FALLS
    first_slope = (medians[1] - medians[0]) / (sizes[1] - sizes[0])
    last_slope = (medians[-1] - medians[-2]) / (sizes[-1] - sizes[-2])
    # Faster than in proportion: the last segment is steeper than the first, the value grows by a larger factor in it
    # than the size, and the extra rise exceeds the scatter of repetitions at one size.
    outgrows_size = medians[-1] * sizes[-2] > medians[-2] * sizes[-1]
    if outgrows_size and last_slope > FASTER_MIN_STEEPENING * max(first_slope, 0.0) and (
            last_slope - first_slope) * (sizes[-1] - sizes[-2]) > max(scatter, FLAT_MAX_SHARE * abs(medians[-1])):
        return FASTER
    return WITH_BASE if abs(intercept) > INTERCEPT_MIN_SHARE * abs(medians[-1]) else PROPORTIONAL
