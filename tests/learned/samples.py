"""Snapshots for tests."""

from __future__ import annotations

import random

from ironscale.learned.codec import IDLE_TIME_BUCKETS, Snapshot, UpstreamSnapshot
from ironscale.learned.timestamps import Timestamp

NOW = Timestamp("boot-a", 5_000_000_000, 1_790_000_000_000_000)


def upstream_sample(name: str, rng: random.Random | None = None, **changes: object) -> UpstreamSnapshot:
    rng = rng or random.Random(name)
    values: dict[str, object] = {
        "name": name, "started_us": rng.randrange(10**15), "age_us": rng.randrange(10**7), "slots": 2.5,
        "min_latency_us": rng.randrange(10**6), "failing": False, "timeout_doublings": 1, "cold_for_us": 0,
        "first_hand": True, **changes}
    return UpstreamSnapshot(**values)  # type: ignore[arg-type]


def snapshot(count: int = 3, serial: int = 0, **changes: object) -> Snapshot:
    """`serial` becomes the age, so that a test can tell two snapshots apart."""
    values: dict[str, object] = {
        "name": "n0", "taken_at": NOW, "uptime_us": 60_000_000, "resting": False, "discovery_failed": False,
        "zone": "a", "slots": 12.0, "age_us": serial, "classes": (("view", 1_000, 30_000.0, 10_000.0),),
        "tenants": (("north", 0.25),), "idle_failure_shares": (0.0,) * IDLE_TIME_BUCKETS,
        "upstreams": tuple(upstream_sample(f"up-{i:04}") for i in range(count)), **changes}
    return Snapshot(**values)  # type: ignore[arg-type]
