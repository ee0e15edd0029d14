"""What one of many sidecars can know of the rest: its part of all traffic, and what upstreams share. Pure.

With 40 sidecars each meets most upstreams seldom. What holds for one of a kind or zone holds for its like;
and what this sidecar sends, beside what the tenants are allowed, tells how much of the load is its own.
"""

import math

from ironscale import interface as api

RATE_MEMORY_US = 5_000_000
OUT_MEMORY_US = 1_000_000  # some answers' time, and short beside what moves load
FAULT_HALVES_US = 5_000_000  # hazard: what is drawn no more shows no more, and would be left out for good
FEW = 8  # answers of a kind that tell nothing yet
MOST_FAVOUR = 8.0
STEP = 0.1  # of the share of faults
WARMING = 20  # sidecars that send to a cold upstream: so many that their uneven traffic evens out
SMALL = 1.5  # times as much as it can do, what a small upstream is paced to
LEAST_TURN = 1 / 8  # of the rule's window: a shorter one would hardly meet a request
MOST_PART = 2.0  # of a cold upstream's even parts, however much one of them sends


def turn(upstream: int, index: int, instances: int, chance: float = 0.0) -> float:
    """Of 1, where in a round of turns to send to a cold upstream this sidecar's is, by everyone's reckoning
    alike; from 1 on it is none of those that warm it. Hazard: turns drawn at random bunch."""
    first = (upstream % 0xFFFFFFFB) * 2654435761 % 2**32 * instances >> 32
    return ((index - first) % instances + chance) / min(WARMING, instances)


def warms(upstream: int, index: int, instances: int) -> bool:
    """Hazard: if all may send to a cold upstream and few do, what all leave over is unused."""
    return turn(upstream, index, instances) < 1.0


def turn_us(settings: api.Settings, able: float, is_one_of_many: bool) -> int:
    """Rule 4: how long a turn to send to a cold upstream stands unused; 0 = for good. In the rule's window
    it does `able`; N = factor x able and 2 root N + 2 are borne. `paced` turns come in it; after a lull
    those of all m warmers stand for a burst: no harm where paced + m are borne. Else turns end, so that what
    stands (paced x turn / window) and what comes are N; the rest is chance's."""
    borne, warmers = settings.overload_factor * able, min(WARMING, settings.instances)
    paced = SMALL * able * (1.0 if is_one_of_many else max(1.0, settings.overload_factor / 2))
    ends = paced + warmers > borne + 2.0 * math.sqrt(borne) + 2.0
    return int(settings.fall_us * max(LEAST_TURN, borne / paced - 1.0)) if ends else 0


class Traffic:
    """This sidecar's sends beside those of all."""

    def __init__(self, allowed_per_s: float, instances: int, now_us: int) -> None:
        self.settle(allowed_per_s, instances)
        self.sends_per_s, self.counted_us = allowed_per_s / instances, now_us

    def settle(self, allowed_per_s: float, instances: int) -> None:
        self.allowed_per_s, self.instances = allowed_per_s, instances  # the whole fleet's; 0 = not told

    def count(self, now_us: int) -> None:
        faded = math.exp((self.counted_us - now_us) / RATE_MEMORY_US)
        self.sends_per_s, self.counted_us = self.sends_per_s * faded + 1e6 / RATE_MEMORY_US, now_us

    def part(self) -> float:
        """Of 1, about this sidecar's. Half by number, half by what it sends. Hazard: by sends alone the parts
        of all come to more than 1 in an overload, and a quiet one would have none if traffic comes."""
        by_number = 1.0 / self.instances
        if not self.allowed_per_s:
            return by_number
        return min(1.0, (by_number + self.sends_per_s / self.allowed_per_s) / 2)

    def part_of_cold(self) -> float:
        """Of what a cold upstream gets: by its part of the traffic, among those that send there at all."""
        return min(MOST_PART, self.part() * self.instances) / min(WARMING, self.instances)


class Mean:
    """How many are out, smoothed over some answers' time. The sum over many sidecars is what upstreams feel:
    what one sends at once, others do not, and only its mean adds up."""

    def __init__(self, now_us: int) -> None:
        self.mean, self.out, self.moved_us = 0.0, 0, now_us

    def at(self, now_us: int) -> float:
        return self.out + (self.mean - self.out) * math.exp((self.moved_us - now_us) / OUT_MEMORY_US)

    def move(self, now_us: int, step: int) -> None:
        self.mean, self.moved_us = self.at(now_us), now_us
        self.out += step

    def falls_us(self, limit: float) -> int:
        """When it falls under the limit if nothing more ends; 0 = not by time alone."""
        if self.mean < limit or self.out >= limit:
            return 0
        return self.moved_us + int(OUT_MEMORY_US * math.log((self.mean - self.out) / (limit - self.out))) + 1


class Slowness:
    """How slowly the upstreams of one kind, or all, answer: smoothed, in slow times."""

    def __init__(self) -> None:
        self.mean, self.count = 0.0, 0

    def add(self, slowness: float) -> None:
        self.count += 1
        self.mean += (slowness - self.mean) * max(1 / 16, 1 / self.count)

    def exceeds(self, limit: float) -> bool:
        return self.count >= FEW and self.mean >= limit

    def favour(self, of_all: "Slowness") -> float:
        """Of a kind, beside all: the square of how much quicker it answers."""
        if self.count < FEW or not self.mean:
            return 1.0
        return min(MOST_FAVOUR, max(1 / MOST_FAVOUR, (of_all.mean / self.mean) ** 2))


class Faults:
    """The share of attempts that fail, at one upstream or in one zone: smoothed, fading with time."""

    def __init__(self) -> None:
        self.last, self.ended_us, self.told = 0.0, 0, 0.0  # as of `ended_us`

    def end(self, now_us: int, is_fault: bool, weight: float) -> bool:
        """True where so much has changed that all that share it are to be looked at anew."""
        share = self.share(now_us)
        self.last, self.ended_us = share + (is_fault - share) * weight, now_us
        changed = abs(self.last - self.told) > STEP
        if changed:
            self.told = self.last
        return changed

    def share(self, now_us: int) -> float:
        faded: float = 0.5 ** min(30.0, (now_us - self.ended_us) / FAULT_HALVES_US)
        return self.last * faded
