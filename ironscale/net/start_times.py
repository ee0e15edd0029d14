"""When upstreams started, on this process's own clock. Discovery tells starts in wall time, which may step. Pure, but
for the clocks that are handed to it."""

from __future__ import annotations

from collections.abc import Callable

from ironscale.interface import Upstream

STEP_US = 250_000  # wall and running time drift apart by less than this without a step
MOST_STEPS = 16  # remembered, the latest


class StartTimes:
    """Knows how far the wall clock has been ahead of the own one, before and after each of its steps."""

    def __init__(self, wall_us: Callable[[], int], own_us: Callable[[], int]) -> None:
        self.wall_us, self.own_us = wall_us, own_us
        self.ahead_us = [self.ahead()]  # before and after each step, the latest last

    def ahead(self) -> int:
        return self.wall_us() - self.own_us()

    def look(self) -> bool:
        """Notes a step since the last look; whether there was one."""
        ahead_us = self.ahead()
        stepped = abs(ahead_us - self.ahead_us[-1]) > STEP_US
        if stepped:
            self.ahead_us = [*self.ahead_us[1 - MOST_STEPS:], ahead_us]
        return stepped

    def place(self, entry: Upstream, known: Upstream | None) -> None:
        """Sets `entry.local_started_us`. A process that is known already keeps its start, whatever the clock has done
        since."""
        if known is not None and known.started_us == entry.started_us:
            entry.local_started_us = known.local_started_us
        elif entry.started_us:
            entry.local_started_us = self.begun_us(entry.started_us)

    def begun_us(self, started_us: int) -> int | None:
        """On the own clock; None where the wall clock can be taken for it. Nobody knows on which side of a step a start
        was told: the latest that is not yet to come is taken. A cold upstream taken for a warm one falls."""
        now_us = self.own_us()
        possible = [started_us - ahead_us for ahead_us in self.ahead_us]
        latest_us = max((at_us for at_us in possible if at_us <= now_us + STEP_US), default=now_us)
        return None if abs(latest_us - started_us) <= STEP_US else latest_us
