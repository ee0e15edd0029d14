"""How attempts multiply over hops that each repeat by a budget of their own: the law, and what was measured carried on
to depths that nobody could start. Pure."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from ironscale.scale.fit import fit

SURE = 2.0  # standard errors to each side that are told


def one_hop(failing: float, share: float, most: int) -> tuple[float, float]:
    """(attempts a request, share of the requests that fail in the end) of a hop of which each attempt fails with the
    chance `failing`, that may repeat so large a `share` of its requests, and sends each `most` times at most.

    An attempt that is granted succeeds as often as any other, so what comes through is attempts x (1 - failing),
    whatever the budget leaves out.
    """
    wanted = float(most) if failing >= 1.0 else (1.0 - failing**most) / (1.0 - failing)
    attempts = min(wanted, 1.0 + share)
    return attempts, max(0.0, 1.0 - attempts * (1.0 - failing))


def bottom(failing: float, hops: int, share: float, most: int) -> list[float]:
    """Attempts at the bottom for one call at the top, for 1 to so many hops, where the bottom fails that often.

    Their product with (1 - failing) is what succeeds at the top, so they never pass 1 / (1 - failing): only where
    hardly anything succeeds do they grow as (1 + share) ** hops.
    """
    found, product = [], 1.0
    for _ in range(hops):
        attempts, failing = one_hop(failing, share, most)
        product *= attempts
        found.append(product)
    return found


@dataclass(frozen=True, slots=True)
class Carried:
    """What a figure comes to at a depth, by a line through its logarithms (`growth`) or through itself."""

    depth: int
    value: float
    low: float
    high: float
    growth: float  # by hop: a factor, or what is added
    growth_low: float
    growth_high: float


def carry(points: Sequence[tuple[float, float]], depth: int, by_factor: bool) -> Carried:
    """(hops, value) to a depth, with SURE standard errors of the line's steepness to each side. `by_factor`: each hop
    multiplies; else each hop adds. Raises FitError under three lengths, ValueError for a factor of what is not above
    0."""
    if by_factor and min(value for _, value in points) <= 0:
        raise ValueError("expected values above 0, as each hop multiplies")
    through = [(hops, math.log(value)) for hops, value in points] if by_factor else list(points)
    line = fit(through)
    middle = line.intercept + line.slope * depth
    unsure = SURE * line.slope_error
    away = unsure * abs(depth - sum(hops for hops, _ in points) / len(points))
    found = (middle, middle - away, middle + away, line.slope, line.slope - unsure, line.slope + unsure)
    return Carried(depth, *(math.exp(v) for v in found)) if by_factor else Carried(depth, *found)
