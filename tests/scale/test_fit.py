"""Points of known functions with noise: the verdict names the function, and the line predicts the value at a size."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from ironscale.scale.fit import FALLS, FASTER, FLAT, PROPORTIONAL, WITH_BASE, FitError, fit

SIZES = (250, 750, 2300)
LAWS: list[tuple[str, Callable[[float], float]]] = [
    (FLAT, lambda n: 40.0),
    (PROPORTIONAL, lambda n: 0.012 * n),
    (WITH_BASE, lambda n: 30 + 0.02 * n),
    (FASTER, lambda n: 2e-5 * n * n),
    (FASTER, lambda n: 100 + 1e-3 * n**1.7),
    (FALLS, lambda n: 100 - 0.03 * n),
]


@pytest.mark.parametrize("seed", range(25))
def test_the_verdict_matches_the_generating_function(seed: int) -> None:
    rng = random.Random(seed)
    for verdict, law in LAWS:
        points = [(n, law(n) * rng.uniform(0.98, 1.02)) for n in SIZES for _ in range(3)]
        found = fit(points)
        assert found.verdict == verdict, (seed, points, found)
        if verdict in (FLAT, PROPORTIONAL, WITH_BASE):
            assert found.at(5000) == pytest.approx(law(5000), rel=0.1), (seed, found)


def test_slope_exponent_and_scatter() -> None:
    exact = fit([(n, 5 + 0.5 * n) for n in SIZES])
    assert exact.slope == pytest.approx(0.5) and exact.intercept == pytest.approx(5) and exact.r2 == pytest.approx(1)
    assert fit([(n, 3.0 * n * n) for n in SIZES]).exponent == pytest.approx(2)
    rng = random.Random(1)
    noisy = fit([(n, 5 + 0.5 * n + rng.gauss(0, 30)) for n in SIZES for _ in range(5)])
    assert noisy.slope_error > 0 and abs(noisy.slope - 0.5) < 4 * noisy.slope_error
    assert fit([(n, 0.0) for n in SIZES]).exponent is None and fit([(n, 0.0) for n in SIZES]).verdict == FLAT


def test_noise_alone_is_flat() -> None:
    """Repetitions at one size differ more than the sizes do."""
    assert fit([(250, 1), (250, 9), (750, 2), (750, 8), (2300, 3), (2300, 9)]).verdict == FLAT


def test_steepening_below_proportional_growth_is_not_faster_growth() -> None:
    """As measured once, when the smallest size took longer than the next one."""
    assert fit([(250, 0.27), (750, 0.23), (2300, 0.66)]).verdict == WITH_BASE


@pytest.mark.parametrize("points", [[], [(1, 1)], [(1, 1), (2, 2), (2, 2.5)], [(1, 1), (2, 2), (3, float("nan"))]])
def test_too_few_sizes_or_values_that_are_not_finite_are_refused(points: list[tuple[float, float]]) -> None:
    with pytest.raises(FitError):
        fit(points)
