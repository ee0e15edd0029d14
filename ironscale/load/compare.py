"""Two runs side by side: what differs, and what is no more than noise. Pure; the resampling is seeded.

Requests of one moment share its fate, so single latencies are not independent and an interval of confidence from them
would be far too narrow. Whole stretches of a run are drawn again instead (the moving block bootstrap, Kunsch 1989).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from random import Random

from ironscale.load.histogram import quantiles
from ironscale.load.result import Interval, Result

ROUNDS = 400
CONFIDENCE = 0.95
LEAST_BLOCKS = 5  # of a run
LEAST_INTERVALS = 12  # fewer can't tell noise from a difference
COARSE_BITS = 8


@dataclass(frozen=True, slots=True)
class Row:
    """One figure of both runs. `low` and `high` bound B less A; None where there is too little to bound it by."""

    name: str
    unit: str
    a: float
    b: float
    low: float | None
    high: float | None
    higher_is_better: bool

    def verdict(self) -> str:
        if self.low is None or self.high is None:
            return "too short to say"
        if self.low <= 0 <= self.high:
            return "noise"
        return "better" if (self.low > 0) == self.higher_is_better else "worse"


# (name, unit, whether more is better), in the order in which `figures` gives them
FIGURES = (
    ("served", "%", True),
    ("refused", "%", False),
    ("mean from due", "ms", False),
    ("p50 from due", "ms", False),
    ("p90 from due", "ms", False),
    ("p99 from due", "ms", False),
    ("p99.9 from due", "ms", False),
    ("p99 from send", "ms", False),
)


def figures(intervals: Sequence[Interval]) -> list[float]:
    """Over all of them; one may stand there several times."""
    times = Counter(map(id, intervals))
    distinct = {id(i): i for i in intervals}
    due, served, refused = 0, 0, 0
    from_due: dict[int, int] = {}
    from_send: dict[int, int] = {}
    for ident, interval in distinct.items():
        n, ends = times[ident], interval.ends
        due += n * interval.due
        served += n * ends["served"]
        refused += n * (ends["refused"] + ends["refused_bare"])
        for total, part in ((from_due, interval.from_due), (from_send, interval.from_send)):
            get = total.get
            for value_us, count in part.items():
                total[value_us] = get(value_us, 0) + n * count
    answered = sum(from_due.values())
    mean_us = sum(v * n for v, n in from_due.items()) / answered if answered else 0.0
    return [
        100 * served / due if due else 0.0,
        100 * refused / due if due else 0.0,
        mean_us / 1000,
        *(v / 1000 for v in quantiles(from_due, (50.0, 90.0, 99.0, 99.9))),
        quantiles(from_send, (99.0,))[0] / 1000,
    ]


def level(interval: Interval) -> float:
    answered = sum(interval.from_due.values())
    return sum(v * n for v, n in interval.from_due.items()) / answered if answered else 0.0


def blocks(intervals: Sequence[Interval]) -> int:
    """Intervals in a block: the more a stretch is like the one before it, the longer (Carlstein's rule, 1986, for a
    first-order autoregression); at most so long that LEAST_BLOCKS fit."""
    levels = [level(i) for i in intervals]
    mean = sum(levels) / max(1, len(levels))
    spread = sum((x - mean) ** 2 for x in levels)
    rho = sum((x - mean) * (y - mean) for x, y in zip(levels, levels[1:], strict=False)) / spread if spread else 0.0
    rho = min(0.95, max(0.0, rho + (1 + 3 * rho) / max(1, len(levels))))  # less its bias in short series (Kendall 1954)
    size: float = (2 * rho / (1 - rho * rho)) ** (2 / 3) * len(intervals) ** (1 / 3)
    return max(1, min(round(size), len(intervals) // LEAST_BLOCKS))


def widening(count: int) -> float:
    """How much wider bounds from so few blocks must be: Student's quantile beside the normal one, and the variance that
    drawing them with replacement leaves out."""
    z, v = 1.96, max(1, count - 1)
    student = z + (z**3 + z) / (4 * v) + (5 * z**5 + 16 * z**3 + 3 * z) / (96 * v * v)
    root: float = (count / v) ** 0.5
    return student / z * root


def coarse(counts: Mapping[int, int]) -> Counter[int]:
    """To half a per cent: thousands of resampled runs need no more."""
    found: Counter[int] = Counter()
    for value_us, count in counts.items():
        shift = max(0, value_us.bit_length() - COARSE_BITS)
        found[(value_us >> shift << shift) + (1 << shift >> 1)] += count
    return found


def coarser(intervals: Sequence[Interval]) -> list[Interval]:
    return [Interval(i.due, i.ends, coarse(i.from_due), coarse(i.from_send)) for i in intervals]


def resampled(random: Random, intervals: Sequence[Interval], size: int) -> list[Interval]:
    found: list[Interval] = []
    while len(found) < len(intervals):
        start = random.randrange(len(intervals) - size + 1)
        found += intervals[start : start + size]
    return found[: len(intervals)]


def compare(a: Result, b: Result, seed: str = "compare") -> list[Row]:
    """Each figure of both, over the time that counts, and the bounds of its difference."""
    random = Random(seed)
    mine, others = a.counted(), b.counted()
    enough = min(len(mine), len(others)) >= LEAST_INTERVALS
    mine_coarse, others_coarse = coarser(mine), coarser(others)
    sizes = blocks(mine), blocks(others)
    drawn = []
    for _ in range(ROUNDS if enough else 0):
        x = figures(resampled(random, mine_coarse, sizes[0]))
        y = figures(resampled(random, others_coarse, sizes[1]))
        drawn.append([theirs - ours for ours, theirs in zip(x, y, strict=True)])
    here, there = figures(mine), figures(others)
    rows, tail = [], (1 - CONFIDENCE) / 2
    wider = widening(min(len(mine) // sizes[0], len(others) // sizes[1]))
    for n, (name, unit, higher) in enumerate(FIGURES):
        low = high = None
        if drawn:
            differences, found = sorted(one[n] for one in drawn), there[n] - here[n]
            low = min(found, found + wider * (differences[int(tail * ROUNDS)] - found))
            high = max(found, found + wider * (differences[int((1 - tail) * ROUNDS) - 1] - found))
        rows.append(Row(name, unit, here[n], there[n], low, high, higher))
    return rows


def warnings(a: Result, b: Result) -> list[str]:
    """Why the two may not be comparable."""
    found = []
    if a.schedule_digest != b.schedule_digest:
        found.append("they ran different schedules: what is seen may be the schedules' difference")
    for name, result in (("A", a), ("B", b)):
        if result.flagged():
            found.append(
                f"{name}: the generator fell behind in {len(result.flagged())} of {len(result.intervals)} intervals"
            )
    differing = sorted(
        key for key in a.machine if key not in ("sidecar_cpu_s",) and a.machine[key] != b.machine.get(key)
    )
    if differing:
        found.append(f"the machines differ: {', '.join(differing)}")
    return found
