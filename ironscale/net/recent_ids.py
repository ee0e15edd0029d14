"""Remembers the ids of requests that are over, so that a repeated id is not served again. Pure: no I/O, no clock.

The ids are kept as hashes in two generations; the older one is dropped as the newer one is full or old. An id is so
remembered for GENERATION_US at least, unless more than GENERATION_IDS others come after it.
"""

from __future__ import annotations

GENERATION_IDS = 4_096
GENERATION_US = 30_000_000


class RecentIds:
    """The ids of the latest requests, in bounded memory however many there are."""

    def __init__(self, now_us: int) -> None:
        self.newer: dict[int, None] = {}
        self.older: dict[int, None] = {}
        self.begun_us = now_us  # when the newer generation began

    def add(self, ident: str, now_us: int) -> None:
        self.expire(now_us)
        if len(self.newer) >= GENERATION_IDS:
            self.begin_generation(now_us)
        self.newer[hash(ident)] = None

    def contains(self, ident: str, now_us: int) -> bool:
        self.expire(now_us)
        key = hash(ident)  # salted by the interpreter: no client can choose two ids with one hash
        return key in self.newer or key in self.older

    def expire(self, now_us: int) -> None:
        """Drops ids that are older than two generations may be."""
        age_us = now_us - self.begun_us
        if age_us >= 2 * GENERATION_US:
            self.newer = {}
        if age_us >= GENERATION_US:
            self.begin_generation(now_us)

    def begin_generation(self, now_us: int) -> None:
        self.older, self.newer, self.begun_us = self.newer, {}, now_us
