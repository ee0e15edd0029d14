"""Estimates that one sidecar of many makes: its share of traffic, latency by kind, failures by zone. Pure.

With 40 sidecars each one rarely uses any given upstream. So upstreams of a kind or zone share observations.
"""

import math

from ironscale import interface as api

RATE_TAU_US = 5_000_000  # time constant of the moving average of the send rate
LOAD_TAU_US = 1_000_000  # of outstanding attempts: several answer times, yet shorter than load changes
FAILURE_HALF_LIFE_US = 5_000_000  # without decay an upstream that is no longer tried would be avoided forever
MIN_ANSWERS = 8  # with fewer answers the latency of a kind is not judged
MAX_WEIGHT_FACTOR = 8.0
FAILURE_SHARE_STEP = 0.1  # change of a failure share that is reported
WARMING_SIDECARS = 20  # sidecars that send to a cold upstream: enough for their uneven traffic to even out
SMALL_UPSTREAM_PACE = 1.5  # pacing assumes mean capacity; a small upstream gets this multiple of its own
MIN_TURN_SHARE = 1 / 8  # of `fall_us`: during a shorter turn hardly any request would arrive
MAX_SHARE_FACTOR = 2.0  # times its even share: the most that one sidecar sends to a cold upstream


def turn_position(upstream: int, index: int, instances: int, offset: float = 0.0) -> float:
    """This sidecar's position from 0 to 1 in the round of sends to a cold upstream; 1 or more: it isn't among
    those that send. All sidecars compute the same order, as random positions would cluster."""
    first = (upstream % 0xFFFFFFFB) * 2654435761 % 2**32 * instances >> 32
    return ((index - first) % instances + offset) / min(WARMING_SIDECARS, instances)


def is_warming_sidecar(upstream: int, index: int, instances: int) -> bool:
    """Whether this sidecar sends to it while it is cold. If all might, and few did, capacity is wasted."""
    return turn_position(upstream, index, instances) < 1.0


def turn_lifetime_us(settings: api.Settings, capacity: float, is_one_of_many: bool) -> int:
    """Rule 4: how long an unused turn to send to a cold upstream stays valid; 0 = forever. Within `fall_us`
    it serves `capacity` requests and tolerates N + 2 sqrt(N) + 2, N = overload_factor x capacity (`allowed`);
    `due` new turns come up. After a lull all m senders may hold one: harmless if due + m is tolerated.
    Else they expire so that held (due x lifetime / fall_us) and new ones sum to N; the rest is randomness."""
    allowed, senders = settings.overload_factor * capacity, min(WARMING_SIDECARS, settings.instances)
    due = SMALL_UPSTREAM_PACE * capacity * (1.0 if is_one_of_many else max(1.0, settings.overload_factor / 2))
    expires = due + senders > allowed + 2.0 * math.sqrt(allowed) + 2.0
    return int(settings.fall_us * max(MIN_TURN_SHARE, allowed / due - 1.0)) if expires else 0


class TrafficShare:
    """This sidecar's share of the fleet's sends, estimated from its send rate and the tenants' allowances."""

    def __init__(self, allowed_per_s: float, instances: int, now_us: int) -> None:
        self.configure(allowed_per_s, instances)
        self.sends_per_s, self.updated_us = allowed_per_s / instances, now_us

    def configure(self, allowed_per_s: float, instances: int) -> None:
        self.allowed_per_s, self.instances = allowed_per_s, instances  # of the whole fleet; 0 = unknown

    def record_send(self, now_us: int) -> None:
        kept = math.exp((self.updated_us - now_us) / RATE_TAU_US)
        self.sends_per_s, self.updated_us = self.sends_per_s * kept + 1e6 / RATE_TAU_US, now_us

    def share(self) -> float:
        """From 0 to 1: the mean of an even share and the share of sends. By sends alone the shares of all
        would exceed 1 in an overload, and an idle sidecar would have none when its traffic begins."""
        even_share = 1.0 / self.instances
        if not self.allowed_per_s:
            return even_share
        return min(1.0, (even_share + self.sends_per_s / self.allowed_per_s) / 2)

    def share_of_cold_sends(self) -> float:
        """This sidecar's share of the sends to a cold upstream, among the sidecars that send there at all."""
        return min(MAX_SHARE_FACTOR, self.share() * self.instances) / min(WARMING_SIDECARS, self.instances)


class OutstandingAverage:
    """Moving average of outstanding attempts. Bursts of many sidecars alternate: only their means add up."""

    def __init__(self, now_us: int) -> None:
        self.mean, self.out, self.updated_us = 0.0, 0, now_us  # `out`: outstanding now

    def average_at(self, now_us: int) -> float:
        return self.out + (self.mean - self.out) * math.exp((self.updated_us - now_us) / LOAD_TAU_US)

    def change(self, now_us: int, step: int) -> None:
        self.mean, self.updated_us = self.average_at(now_us), now_us
        self.out += step

    def below_at_us(self, limit: float) -> int:
        """When the average falls below `limit` if no attempt starts or ends; 0 = never, or it is below."""
        if self.mean < limit or self.out >= limit:
            return 0
        return self.updated_us + int(LOAD_TAU_US * math.log((self.mean - self.out) / (limit - self.out))) + 1


class LatencyAverage:
    """Moving average of answer times of one kind of upstreams, or of all, in slow thresholds."""

    def __init__(self) -> None:
        self.mean, self.count = 0.0, 0

    def add(self, slowness: float) -> None:
        self.count += 1
        self.mean += (slowness - self.mean) * max(1 / 16, 1 / self.count)

    def exceeds(self, limit: float) -> bool:
        return self.count >= MIN_ANSWERS and self.mean >= limit

    def weight_factor(self, of_all: "LatencyAverage") -> float:
        """Factor on a kind's weight in the random choice: the square of its speed relative to all."""
        if self.count < MIN_ANSWERS or not self.mean:
            return 1.0
        return min(MAX_WEIGHT_FACTOR, max(1 / MAX_WEIGHT_FACTOR, (of_all.mean / self.mean) ** 2))


class FailureShare:
    """Share of attempts that fail at one upstream or in one zone: a moving average that decays with time."""

    def __init__(self) -> None:
        self.value, self.updated_us, self.reported = 0.0, 0, 0.0  # as of `ended_us`

    def record(self, now_us: int, is_fault: bool, weight: float) -> bool:
        """Records an attempt. True if the weights of all upstreams that share this have to be recomputed."""
        share = self.share(now_us)
        self.value, self.updated_us = share + (is_fault - share) * weight, now_us
        changed = abs(self.value - self.reported) > FAILURE_SHARE_STEP
        if changed:
            self.reported = self.value
        return changed

    def share(self, now_us: int) -> float:
        kept: float = 0.5 ** min(30.0, (now_us - self.updated_us) / FAILURE_HALF_LIFE_US)
        return self.value * kept
