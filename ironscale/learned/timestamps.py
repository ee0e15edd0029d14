"""When something was written, on clocks that may step: pure, but for `now`."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

STEP_US = 2_000_000  # wall and running time may drift apart by less than this without a word
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


class MomentError(Exception):
    """A moment that can't be placed; the text is a phrase."""


@dataclass(frozen=True, slots=True)
class Moment:
    """One moment on three clocks."""

    boot: str  # of the machine; running time counts from it
    running_us: int  # CLOCK_BOOTTIME: never steps, counts suspension too
    wall_us: int  # may step

    def __post_init__(self) -> None:
        if min(self.running_us, self.wall_us) < 0:
            raise MomentError(f"expected times of 0 or more, got {self.running_us} and {self.wall_us}")


def machine_boot() -> str:
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""  # as if every process had its own machine: the wall clock decides


def now(boot: str) -> Moment:
    return Moment(boot, time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000, time.time_ns() // 1000)


def between(then: Moment, later: Moment) -> tuple[int, str]:
    """Microseconds from one to the other, and a phrase on a clock that stepped meanwhile, if it can be told.

    Within one boot of the machine the running time is exact. Across boots only the wall clock is there: a step forward
    makes things older than they are, which does no harm; one backward shows only where it goes before `then`.
    Raises MomentError where `later` is not later.
    """
    wall_us = later.wall_us - then.wall_us
    if then.boot and then.boot == later.boot:
        passed_us = later.running_us - then.running_us
        if passed_us < 0:
            raise MomentError(f"a time in the future, by {-passed_us / 1e6:.1f} s of the machine's running time")
        stepped_us = wall_us - passed_us
        return passed_us, f"the clock stepped by {stepped_us / 1e6:+.1f} s since" if abs(stepped_us) > STEP_US else ""
    if wall_us < 0:
        raise MomentError(f"a time in the future, by {-wall_us / 1e6:.1f} s; the clock stepped back or it is not ours")
    return wall_us, ""
