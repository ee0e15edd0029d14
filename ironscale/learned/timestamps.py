"""Timestamps that allow computing an age although the wall clock may step.

Only `current_timestamp` and `machine_boot_id` do I/O.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

STEP_TOLERANCE_US = 2_000_000  # smaller differences between wall and running time are not reported as a step
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")


class TimestampError(Exception):
    """A timestamp that is invalid or lies in the future; the message is a phrase."""


@dataclass(frozen=True, slots=True)
class Timestamp:
    """One point in time on the clocks of a machine."""

    boot: str  # the boot id of the machine; the running time counts from this boot
    running_us: int  # CLOCK_BOOTTIME: never steps, includes time suspended
    wall_us: int  # Unix time, may step

    def __post_init__(self) -> None:
        if min(self.running_us, self.wall_us) < 0:
            raise TimestampError(f"expected times of 0 or more, got {self.running_us} and {self.wall_us}")


def machine_boot_id() -> str:
    try:
        return BOOT_ID_PATH.read_text().strip()
    except OSError:
        return ""  # an unknown boot matches no other, so the wall clock is used


def current_timestamp(boot: str) -> Timestamp:
    return Timestamp(boot, time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000, time.time_ns() // 1000)


def elapsed_between(then: Timestamp, later: Timestamp) -> tuple[int, str]:
    """Microseconds from `then` to `later`, and a phrase if the wall clock is known to have stepped in between.

    Within one boot of the machine the running time is exact. Across boots only the wall clock is available: a step
    forward makes values look older than they are, which does no harm; a step backward is noticed only if it goes back
    before `then`. Raises TimestampError if `later` is before `then`.
    """
    wall_us = later.wall_us - then.wall_us
    if then.boot and then.boot == later.boot:
        passed_us = later.running_us - then.running_us
        if passed_us < 0:
            raise TimestampError(f"a time in the future, by {-passed_us / 1e6:.1f} s of the machine's running time")
        stepped_us = wall_us - passed_us
        return passed_us, (f"the clock stepped by {stepped_us / 1e6:+.1f} s since"
                           if abs(stepped_us) > STEP_TOLERANCE_US else "")
    if wall_us < 0:
        raise TimestampError(f"a time in the future, by {-wall_us / 1e6:.1f} s; the clock stepped back or is not ours")
    return wall_us, ""
