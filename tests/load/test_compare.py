"""Two runs beside each other: a difference is told from noise."""

from __future__ import annotations

from collections import Counter
from random import Random

from ironscale.load.compare import blocks, compare, resampled, warnings
from ironscale.load.histogram import rounded
from ironscale.load.result import Interval, Result


def made(
    seed: str, mean_us: float = 20_000, intervals: int = 40, each: int = 100, refused: float = 0.0, drift: float = 0.0
) -> Result:
    """A run whose latencies are exponential, about a level that wanders from interval to interval."""
    random, found, level = Random(seed), [], mean_us
    for _ in range(intervals):
        level += drift * mean_us * (random.random() - 0.5) + (mean_us - level) * 0.2
        i = Interval(each)
        i.ends = Counter({"refused": sum(random.random() < refused for _ in range(each))})
        i.ends["served"] = each - i.ends["refused"]
        for _ in range(i.ends["served"]):
            value = rounded(int(random.expovariate(1 / level)) + 1_000)
            i.from_due[value] += 1
            i.from_send[value] += 1
        found.append(i)
    return Result(
        "t",
        "",
        "",
        "",
        "same",
        1_000_000,
        0,
        intervals * 1_000_000,
        intervals * each,
        0,
        found,
        {},
        {},
        [],
        {"cores": 8},
    )


def test_the_same_thing_twice_is_noise_in_about_as_many_figures_as_said() -> None:
    verdicts = Counter(
        row.verdict() for n in range(4) for row in compare(made(f"a{n}", drift=0.3), made(f"b{n}", drift=0.3))
    )
    # 95 % bounds; the figures of a pair are not independent, so this holds with room to spare or not at all
    assert verdicts["noise"] >= 0.75 * sum(verdicts.values()), verdicts


def test_a_real_difference_is_told_either_way() -> None:
    rows = {row.name: row for row in compare(made("a"), made("b", mean_us=26_000))}
    assert rows["p50 from due"].verdict() == rows["mean from due"].verdict() == "worse"
    rows = {row.name: row for row in compare(made("a", refused=0.1), made("b", refused=0.02))}
    assert rows["served"].verdict() == rows["refused"].verdict() == "better"
    low, high = rows["served"].low, rows["served"].high
    assert low is not None and high is not None and low < 8 < high


def test_requests_of_one_moment_are_not_taken_for_independent() -> None:
    """One bad stretch in 40 s: by single requests the means would differ beyond all doubt, by stretches they do not."""
    a, b = made("a"), made("b")
    for i in b.intervals[10:13]:
        i.from_due = Counter({rounded(v * 4): n for v, n in i.from_due.items()})
    rows = {row.name: row for row in compare(a, b)}
    assert rows["mean from due"].b > 1.1 * rows["mean from due"].a
    assert rows["mean from due"].verdict() == "noise"


def test_a_run_too_short_says_so() -> None:
    assert {row.verdict() for row in compare(made("a", intervals=5), made("b", intervals=40))} == {"too short to say"}


def test_bounds_are_the_same_each_time_and_blocks_stay_whole() -> None:
    assert compare(made("a"), made("b")) == compare(made("a"), made("b"))
    intervals = made("a").intervals
    found = resampled(Random("x"), intervals, 4)
    assert len(found) == 40 and found[1] is intervals[(intervals.index(found[0]) + 1) % 40]
    assert blocks(intervals) <= 2 < 5 < blocks(made("a", drift=0.5).intervals)


def test_what_makes_two_runs_differ_for_other_reasons_is_said() -> None:
    a, b = made("a"), made("b")
    assert warnings(a, b) == []
    b.schedule_digest, b.machine = "other", {"cores": 4}
    b.intervals[3].flags.append("late")
    assert [
        "schedules" in warnings(a, b)[0],
        "B: the generator" in warnings(a, b)[1],
        "cores" in warnings(a, b)[2],
    ] == [True] * 3
