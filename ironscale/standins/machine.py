"""One stand-in server's cores, queue and warmth: pure, its times are handed to it.

Work is microseconds on a core of speed 1. A machine that has just started does a share of its work, and falls over for
good if it is sent more than so many times what it can do for so long.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")
BUCKETS = 10  # in which the work of the last `fall_us` is counted


@dataclass(frozen=True, slots=True)
class Shape:
    cores: int = 1
    speed: float = 1.0
    queue: int = 1_000
    cold_share: float = 1.0
    warm_up_us: int = 0
    overload_factor: float = 2.5
    fall_us: int = 1_000_000


class Machine(Generic[T]):
    """Jobs of any sort through so many cores, first come first served."""

    def __init__(self, shape: Shape, started_us: int) -> None:
        self.shape, self.started_us = shape, started_us
        self.queue: deque[tuple[T, int]] = deque()
        self.running = 0
        self.slow = 1.0  # times as long
        self.fallen = False
        self.sent: deque[tuple[int, float]] = deque()  # (start of its bucket, work) of the last fall_us

    def warmth(self, now_us: int) -> float:
        """Share of its speed that it has now."""
        s, age_us = self.shape, now_us - self.started_us
        if age_us >= s.warm_up_us:
            return 1.0
        return s.cold_share + (1.0 - s.cold_share) * max(0, age_us) / s.warm_up_us

    def offer(self, job: T, work_us: int, now_us: int) -> bool:
        """Takes a job, or turns it away."""
        self._count(work_us, now_us)
        if self.fallen or (self.running >= self.shape.cores and len(self.queue) >= self.shape.queue):
            return False
        self.queue.append((job, work_us))
        return True

    def start(self, now_us: int) -> tuple[T, int] | None:
        """The next job for a free core, and how long it takes; None if there is none of either."""
        if self.fallen or not self.queue or self.running >= self.shape.cores:
            return None
        job, work_us = self.queue.popleft()
        self.running += 1
        return job, int(work_us * self.slow / (self.shape.speed * self.warmth(now_us)))

    def end(self) -> None:
        self.running -= 1

    def _count(self, work_us: int, now_us: int) -> None:
        s = self.shape
        if self.warmth(now_us) == 1.0:
            self.sent.clear()
            return
        width_us = max(1, s.fall_us // BUCKETS)
        bucket_us = now_us - now_us % width_us
        if self.sent and self.sent[-1][0] == bucket_us:
            self.sent[-1] = bucket_us, self.sent[-1][1] + work_us
        else:
            self.sent.append((bucket_us, float(work_us)))
        while self.sent and self.sent[0][0] <= now_us - s.fall_us - width_us:
            self.sent.popleft()
        able_us = s.cores * s.speed * self.warmth(now_us) * s.fall_us
        if now_us - self.started_us >= s.fall_us and sum(w for _, w in self.sent) > s.overload_factor * able_us:
            self.fallen = True
            self.queue.clear()
