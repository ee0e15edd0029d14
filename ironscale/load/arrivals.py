"""Arrival processes: when requests are due. Pure; the same on every machine.

Times are whole microseconds from the start of the run, rates requests a second. Only addition, multiplication,
division and square roots are used, which IEEE 754 rounds alike everywhere: a logarithm from the C library differs in
its last bit between machines, and with it a schedule. Exponential gaps come from comparisons of uniform numbers alone
(von Neumann, "Various techniques used in connection with random digits", 1951).
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from random import Random

US = 1_000_000
# Shares of a day's peak by the hour, midnight first: school evenings, with the rush of what is due next morning.
HOURS = (
    0.10,
    0.06,
    0.04,
    0.03,
    0.03,
    0.05,
    0.12,
    0.30,
    0.38,
    0.34,
    0.32,
    0.33,
    0.36,
    0.40,
    0.42,
    0.45,
    0.52,
    0.63,
    0.78,
    0.94,
    1.00,
    0.86,
    0.52,
    0.24,
)


def exponential(random: Random) -> float:
    """One draw of mean 1. A run of falling uniforms has odd length with probability exp(-first)."""
    draw = random.random
    whole = 0.0
    while True:
        first = last = draw()
        odd = True
        while (following := draw()) < last:
            last, odd = following, not odd
        if odd:
            return whole + first
        whole += 1.0


@dataclass(frozen=True, slots=True)
class Segment:
    """The rate goes in a straight line from `first` to `last` between two times."""

    start_us: int
    end_us: int
    first: float
    last: float

    def count(self) -> float:
        """How many arrivals are due in it."""
        return (self.first + self.last) / 2 * (self.end_us - self.start_us) / US


Rate = Sequence[Segment]


def constant(rate: float, start_us: int, end_us: int) -> Rate:
    return [Segment(start_us, end_us, rate, rate)]


def ramp(first: float, last: float, start_us: int, end_us: int) -> Rate:
    return [Segment(start_us, end_us, first, last)]


def steps(rates: Sequence[float], start_us: int, end_us: int) -> Rate:
    """Steps of equal length."""
    return [
        Segment(
            start_us + (end_us - start_us) * i // len(rates),
            start_us + (end_us - start_us) * (i + 1) // len(rates),
            rate,
            rate,
        )
        for i, rate in enumerate(rates)
    ]


def day(peak: float, hours: Sequence[float], from_hour: float, to_hour: float, start_us: int, end_us: int) -> Rate:
    """The part of a day between two hours in the time given; straight lines between the full hours."""
    edges = [from_hour, *(float(h) for h in range(math.floor(from_hour) + 1, math.ceil(to_hour))), to_hour]

    def share(hour: float) -> float:
        whole = math.floor(hour)
        first, last = hours[whole % len(hours)], hours[(whole + 1) % len(hours)]
        return first + (last - first) * (hour - whole)

    def at_us(hour: float) -> int:
        return start_us + int((end_us - start_us) * (hour - from_hour) / (to_hour - from_hour))

    return [
        Segment(at_us(a), at_us(b), peak * share(a), peak * share(b)) for a, b in zip(edges, edges[1:], strict=False)
    ]


def bursts(
    random: Random, rate: float, rest: float, on_us: int, off_us: int, is_random: bool, start_us: int, end_us: int
) -> Rate:
    """`rate` for a while, then `rest` for a while; with `is_random` their lengths are exponential of those means."""
    found: list[Segment] = []
    at_us, on = start_us, True
    while at_us < end_us:
        mean_us = on_us if on else off_us
        length_us = max(1, int(exponential(random) * mean_us)) if is_random else mean_us
        until_us = min(end_us, at_us + length_us)
        level = rate if on else rest
        found.append(Segment(at_us, until_us, level, level))
        at_us, on = until_us, not on
    return found


def even(rate: Rate) -> Iterator[int]:
    """Arrivals in even steps of the rate's integral: the k-th is due where it reaches k - 1/2."""
    carried = 0.5  # of an arrival, since the last one
    for s in rate:
        length_s, total = (s.end_us - s.start_us) / US, s.count()
        slope = (s.last - s.first) / length_s if length_s > 0 else 0.0
        due = 1
        while total > 0 and due - carried <= total + 1e-9:
            wanted = due - carried
            # first * t + slope / 2 * t^2 = wanted, in the form that does not cancel
            root = math.sqrt(max(0.0, s.first * s.first + 2.0 * slope * wanted))
            at_s = 2.0 * wanted / (s.first + root) if s.first + root > 0 else length_s
            yield min(s.end_us, s.start_us + int(at_s * US + 0.5))
            due += 1
        carried = max(0.0, carried + total - (due - 1))


def poisson(random: Random, rate: Rate) -> Iterator[int]:
    """A Poisson process; where the rate changes, thinned from the segment's greatest (Lewis and Shedler, 1979)."""
    for s in rate:
        most = max(s.first, s.last)
        if most <= 0:
            continue
        gap_us, length_us = US / most, s.end_us - s.start_us
        at_us = exponential(random) * gap_us
        while at_us < length_us:
            if s.first == s.last or random.random() * most < s.first + (s.last - s.first) * (at_us / length_us):
                yield s.start_us + int(at_us)
            at_us += exponential(random) * gap_us


def rescaled(random: Random, times_us: Iterable[int], speed: float, rate: float) -> Iterator[tuple[int, int]]:
    """A recorded trace, `speed` times as fast and with `rate` times the requests: (due, index in the trace).

    Of more requests the further ones come between the recorded one and the next, of fewer each is kept by chance, so
    that where the record is dense the replay is.
    """
    whole, part = int(rate), rate - int(rate)
    times = [int(t / speed) for t in times_us]
    for index, at_us in enumerate(times):
        gap_us = times[index + 1] - at_us if index + 1 < len(times) else 0
        copies = whole + (part > 0 and random.random() < part)
        further = sorted(int(random.random() * gap_us) for _ in range(copies - 1))
        for offset_us in [0, *further] if copies > 0 else []:
            yield at_us + offset_us, index
