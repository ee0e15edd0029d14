"""Converts the start times of upstreams to this process's monotonic clock, which counts from the Unix time at its
start. Discovery reports them in wall-clock time, and the wall clock may be stepped. Does no I/O apart from reading the
clocks that are passed in."""

from __future__ import annotations

from collections.abc import Callable

from ironscale.interface import Upstream

STEP_US = 250_000  # a smaller change between the two clocks is ordinary drift, not a step
MAX_STEPS = 16  # only the offsets around the latest steps are remembered


class StartTimes:
    """Remembers the offset of the wall clock to the monotonic clock before and after each step of the wall clock."""

    def __init__(self, wall_us: Callable[[], int], monotonic_us: Callable[[], int]) -> None:
        self.wall_us, self.monotonic_us = wall_us, monotonic_us
        self.offsets_us = [self.offset_us()]  # before and after each step, oldest first

    def offset_us(self) -> int:
        return self.wall_us() - self.monotonic_us()

    def check_for_step(self) -> bool:
        """Records a step of the wall clock since the last check. Returns whether there was one."""
        offset_us = self.offset_us()
        stepped = abs(offset_us - self.offsets_us[-1]) > STEP_US
        if stepped:
            self.offsets_us = [*self.offsets_us[1 - MAX_STEPS:], offset_us]
        return stepped

    def set_start(self, entry: Upstream, known: Upstream | None) -> None:
        """Sets `entry.local_started_us`. A process that is already known keeps its start time, even if the wall clock
        was stepped since then."""
        if known is not None and known.started_us == entry.started_us:
            entry.local_started_us = known.local_started_us
        elif entry.started_us:
            entry.local_started_us = self.monotonic_start_us(entry.started_us)

    def monotonic_start_us(self, started_us: int) -> int | None:
        """Returns the start on the monotonic clock, or None if the wall-clock value can be used as it is.

        It is not known whether a start time was taken before or after a step, so the latest candidate that isn't in
        the future is used: an upstream believed too young gets too little load, but a cold one believed to be warm
        collapses under full load."""
        now_us = self.monotonic_us()
        candidates_us = [started_us - offset_us for offset_us in self.offsets_us]
        start_us = max((at_us for at_us in candidates_us if at_us <= now_us + STEP_US), default=now_us)
        return None if abs(start_us - started_us) <= STEP_US else start_us
