"""Terms of leadership: which agent owns the record, and until when it may act on that. No I/O but the machine's clock.

A term is an epoch of the record together with a lease on it. Every write of the holder renews the lease in the same
transaction, and changes nothing if the record carries another epoch. From its own clock alone the holder knows when
another agent may have claimed the record: after that it sends nothing that has an effect.
"""

from __future__ import annotations

import math
import re
import time
import uuid
from dataclasses import dataclass
from pathlib import Path

LEASE_MARGIN = 0.1  # share of the lease: clocks drift, and messages leave a moment after the check


def clock_ms() -> int:
    """Milliseconds since the machine booted, including suspend. All processes share this clock, and setting the wall
    clock does not affect it."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


@dataclass(frozen=True, slots=True)
class Term:
    """A term of leadership as its holder knows it."""

    epoch: int = 0  # 0 = a record that only one agent ever opens
    until_ms: float = math.inf  # when the lease as last renewed runs out, by `clock_ms`
    lease_ms: int = 0

    def is_held(self, now_ms: int) -> bool:
        """Whether it is certain that no other agent has claimed the record yet."""
        return now_ms < self.until_ms - LEASE_MARGIN * self.lease_ms

    def is_over(self, now_ms: int) -> bool:
        """Whether the lease ran out at least one lease time ago: by then another agent has had time to take over."""
        return now_ms >= self.until_ms + self.lease_ms


@dataclass(frozen=True, slots=True)
class Owner:
    """The owner of a term as the record names it."""

    epoch: int
    holder: str
    place: str
    left_ms: int  # time left of its lease

    @property
    def api(self) -> str:
        found = re.search(r"\(api (http://\S+), control (\S+)\)$", self.place)
        return found[1] if found and self.left_ms > 0 else ""

    @property
    def control(self) -> str:
        found = re.search(r"\(api (http://\S+), control (\S+)\)$", self.place)
        return found[2] if found and self.left_ms > 0 else ""


def describe_place(host: str, data: Path, api: str = "", control: str = "") -> str:
    """Describes where an agent runs, for people; with its API and control addresses, which other agents read."""
    return f"{host}, {data}" + (f" (api {api}, control {control})" if api else "")


def holder_id(data: Path) -> str:
    """Id under which agents on this data folder claim the record; kept in a file. Only one runs at a time."""
    path = data / "holder"
    try:
        found = path.read_text(encoding="ascii").strip()
        if found:
            return found
    except FileNotFoundError:
        pass
    found = uuid.uuid4().hex
    temporary = data / ".holder"
    temporary.write_text(found + "\n", encoding="ascii")
    temporary.replace(path)
    return found
