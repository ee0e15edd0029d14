"""How attempts multiply along a chain of hops that each retry within their own budget: the formula, and extrapolation
of measurements to depths that are too large to run. Does no I/O."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from ironscale.scale.fit import fit

INTERVAL_STANDARD_ERRORS = 2.0  # half width of a reported interval, in standard errors


def hop_attempts(failure_rate: float, retry_share: float, max_attempts: int) -> tuple[float, float]:
    """Returns (attempts per request, share of the requests that finally fail) for one hop. Each attempt fails with
    probability `failure_rate`; the hop may retry at most `retry_share` of its requests and sends each at most
    `max_attempts` times.

    Every attempt is equally likely to succeed, whether it is a first one or a retry. So the share of requests that
    succeed is attempts x (1 - failing), however many retries the budget refuses.
    """
    unlimited_attempts = (
        float(max_attempts) if failure_rate >= 1.0 else (1.0 - failure_rate**max_attempts) / (1.0 - failure_rate)
    )
    attempts = min(unlimited_attempts, 1.0 + retry_share)
    return attempts, max(0.0, 1.0 - attempts * (1.0 - failure_rate))


def attempts_at_bottom(failure_rate: float, hops: int, retry_share: float, max_attempts: int) -> list[float]:
    """Attempts that reach the bottom for one call at the top, for chains of 1 to `hops` hops. Each attempt at the
    bottom fails with probability `failure_rate`.

    Attempts x (1 - failing) is the share of calls that succeed at the top, so there are never more than
    1 / (1 - failing) attempts. They grow as (1 + share) ** hops only if hardly any attempt succeeds.
    """
    attempts_by_hops, product = [], 1.0
    for _ in range(hops):
        attempts, failure_rate = hop_attempts(failure_rate, retry_share, max_attempts)
        product *= attempts
        attempts_by_hops.append(product)
    return attempts_by_hops


@dataclass(frozen=True, slots=True)
class Extrapolation:
    """A metric extrapolated to a depth, by a line fitted to its logarithms or to its values."""

    depth: int
    value: float
    low: float
    high: float
    growth: float  # per hop: a factor, or an increment
    growth_low: float
    growth_high: float


def extrapolate(points: Sequence[tuple[float, float]], depth: int, by_factor: bool) -> Extrapolation:
    """Extrapolates points of (hops, value) to a depth, with an interval of INTERVAL_STANDARD_ERRORS of the slope to
    each side. With `by_factor` each hop multiplies the value, else each hop adds to it. Raises FitError for fewer than
    three chain lengths, and ValueError for a value that is not above 0 with `by_factor`."""
    if by_factor and min(value for _, value in points) <= 0:
        raise ValueError("expected values above 0, as each hop multiplies")
    fitted_points = [(hops, math.log(value)) for hops, value in points] if by_factor else list(points)
    line = fit(fitted_points)
    center = line.intercept + line.slope * depth
    slope_margin = INTERVAL_STANDARD_ERRORS * line.slope_error
    value_margin = slope_margin * abs(depth - sum(hops for hops, _ in points) / len(points))
    estimates = (
        center,
        center - value_margin,
        center + value_margin,
        line.slope,
        line.slope - slope_margin,
        line.slope + slope_margin,
    )
    return Extrapolation(depth, *(math.exp(v) for v in estimates)) if by_factor else Extrapolation(depth, *estimates)
