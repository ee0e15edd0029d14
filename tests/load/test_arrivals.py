"""Arrival processes against theory, and the same on every machine."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironscale.load import arrivals as a

S = 1_000_000


def gaps(times: list[int]) -> list[int]:
    return [y - x for x, y in zip(times, times[1:], strict=False)]


def ks(values: list[float], cumulative: Callable[[float], float]) -> float:
    """Kolmogorov and Smirnov's greatest distance, in units of its 1 / sqrt(n)."""
    values, n = sorted(values), len(values)
    worst = max(max((i + 1) / n - cumulative(v), cumulative(v) - i / n) for i, v in enumerate(values))
    return worst * math.sqrt(n)


def test_exponential_draws_follow_their_law() -> None:
    random = Random("exponential")
    draws = [a.exponential(random) for _ in range(50_000)]
    assert ks(draws, lambda x: 1 - math.exp(-x)) < 1.95  # 1 in 1,000 would pass it; the seed is fixed
    assert abs(sum(draws) / len(draws) - 1) < 0.02
    assert abs(sum(d * d for d in draws) / len(draws) - 2) < 0.1


def test_uniform_draws_would_not_pass_for_exponential_ones() -> None:
    random = Random("uniform")
    assert ks([2 * random.random() for _ in range(50_000)], lambda x: 1 - math.exp(-x)) > 10


def test_poisson_counts_and_gaps_follow_theory() -> None:
    times = list(a.poisson(Random("p"), a.constant(1_000, 0, 100 * S)))
    assert abs(len(times) - 100_000) < 5 * math.sqrt(100_000)
    assert ks([gap / 1000 for gap in gaps(times)], lambda x: 1 - math.exp(-x)) < 1.95
    counts = [0] * 1_000
    for at_us in times:
        counts[at_us // 100_000] += 1
    mean = sum(counts) / len(counts)
    dispersion = sum((c - mean) ** 2 for c in counts) / len(counts) / mean
    assert 0.85 < dispersion < 1.15


def test_a_ramp_has_as_many_in_each_second_as_its_area() -> None:
    rate = a.ramp(0, 1_000, 0, 10 * S)
    for times, slack in ((list(a.even(rate)), 1.0), (list(a.poisson(Random("r"), rate)), 140.0)):
        for second in range(10):
            found = sum(1 for t in times if t // S == second)
            assert abs(found - (100 * second + 50)) <= slack, (second, found)


def test_even_arrivals_are_evenly_apart_and_of_the_exact_number() -> None:
    times = list(a.even(a.constant(500, 0, 10 * S)))
    assert len(times) == 5_000 and set(gaps(times)) == {2_000}


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(1, 3_000_000), st.floats(0, 2_000), st.floats(0, 2_000)), min_size=1, max_size=6))
def test_even_arrivals_stay_within_one_of_the_integral(pieces: list[tuple[int, float, float]]) -> None:
    rate, at_us = [], 0
    for length_us, first, last in pieces:
        rate.append(a.Segment(at_us, at_us + length_us, first, last))
        at_us += length_us
    times = list(a.even(rate))
    assert times == sorted(times) and all(0 <= t <= at_us for t in times)
    for segment in rate:
        area = sum(s.count() for s in rate if s.end_us <= segment.end_us)
        assert abs(sum(1 for t in times if t <= segment.end_us) - area) <= 1.001


def test_steps_and_the_day_follow_their_curve() -> None:
    times = list(a.even(a.steps([100, 0, 300], 0, 3 * S)))
    assert [sum(1 for t in times if t // S == s) for s in range(3)] == [100, 0, 300]
    day = a.day(1_000, a.HOURS, 0, 24, 0, 24 * S)
    at_hour = [next(s.first for s in day if s.start_us == hour * S) for hour in range(24)]
    assert max(at_hour) == at_hour[20] == 1_000  # the 8 pm rush
    over_midnight = a.day(1_000, a.HOURS, 22.5, 25.5, 0, 3 * S)
    assert over_midnight[0].first == pytest.approx(380) and over_midnight[-1].end_us == 3 * S
    assert [s.end_us for s in over_midnight[:-1]] == [s.start_us for s in over_midnight[1:]]


def test_bursts_are_on_and_off() -> None:
    rate = a.bursts(Random("b"), 1_000, 0, 100_000, 400_000, False, 0, 5 * S)
    times = list(a.poisson(Random("b2"), rate))
    assert all(t % 500_000 < 100_000 for t in times)
    assert abs(len(times) - 1_000) < 5 * math.sqrt(1_000)
    lengths = [s.end_us - s.start_us for s in a.bursts(Random("l"), 1, 0, 1_000, 3_000, True, 0, 20 * S)]
    on, off = lengths[0::2], lengths[1::2]
    assert abs(sum(on) / len(on) - 1_000) < 60 and abs(sum(off) / len(off) - 3_000) < 180


def test_a_replay_keeps_the_shape_of_bursts() -> None:
    # a burst of 1,000 in 10 ms each second, nothing between
    trace = [second * S + i * 10 for second in range(20) for i in range(1_000)]
    for speed, rate in ((1.0, 1.0), (2.0, 1.0), (1.0, 3.0), (1.0, 0.5), (0.5, 2.5)):
        found = sorted(a.rescaled(Random("t"), trace, speed, rate))
        assert abs(len(found) - 20_000 * rate) <= 5 * math.sqrt(20_000 * rate) * (rate % 1 > 0)
        period, burst = int(S / speed), int(10_000 / speed)
        inside = sum(1 for at_us, _ in found if at_us % period <= burst)
        # the copies of a burst's last request lie in the pause behind it
        assert inside >= len(found) - 20 * (math.ceil(rate) - 1), (speed, rate)


def test_schedules_are_the_same_on_every_machine() -> None:
    """The numbers were computed once and stand here: another machine, library or version must find them again."""
    random = Random("pinned")
    assert [round(a.exponential(random) * 1e12) for _ in range(3)] == PINNED_EXPONENTIAL
    assert list(a.poisson(Random("pinned"), a.ramp(10, 200, 0, S)))[-3:] == PINNED_POISSON


PINNED_EXPONENTIAL = [362885379741, 592396600562, 524147218071]
PINNED_POISSON = [991588, 997848, 999873]
