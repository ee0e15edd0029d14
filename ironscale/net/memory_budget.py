"""How much memory the data of clients may take, over all connections. Pure: no I/O, no clock.

The limit of the settings counts all memory of the process. What is left of it at the start is shared: a part for what
clients have sent and not been answered, and a part for the connections themselves; the rest is for all else that comes
later, and for memory that is freed and not given back to the system.
"""

from __future__ import annotations

from dataclasses import dataclass

MIB = 1 << 20
DATA_SHARE, CONNECTIONS_SHARE = 0.3, 0.4  # of the memory that is left at the start
MIN_DATA_BYTES, DEFAULT_DATA_BYTES = MIB // 2, 64 * MIB  # the second where no limit is known
CONNECTION_BYTES = 4 << 10  # memory that a connection takes without any request
MIN_CONNECTIONS = 16
MIN_SHARE_BYTES = 4 << 10
MIN_READ_BYTES, MAX_READ_BYTES = 2 << 10, 16 << 10


@dataclass(frozen=True)
class MemoryPlan:
    """What the limit of a process leaves for its clients."""

    data_bytes: int  # of requests and answers that are not over
    max_connections: int
    read_bytes: int  # at most at a time from one connection


def plan_memory(limit_mb: float, used_bytes: int, max_connections: int) -> MemoryPlan:
    """The plan for a process that has taken `used_bytes` of its limit; a limit of 0 is not known."""
    if not limit_mb:
        return MemoryPlan(DEFAULT_DATA_BYTES, max_connections, MAX_READ_BYTES)
    left_bytes = max(0, int(limit_mb * MIB) - used_bytes)
    affordable = int(left_bytes * CONNECTIONS_SHARE) // CONNECTION_BYTES
    connections = min(max_connections, max(MIN_CONNECTIONS, affordable))
    data_bytes = max(MIN_DATA_BYTES, int(left_bytes * DATA_SHARE))
    read_bytes = min(MAX_READ_BYTES, max(MIN_READ_BYTES, data_bytes // connections))
    return MemoryPlan(data_bytes, connections, read_bytes)


class MemoryBudget:
    """The memory that the data of all connections takes, against its bound."""

    def __init__(self, plan: MemoryPlan) -> None:
        self.plan = plan
        self.used_bytes = 0
        self.peak_bytes = 0

    def change(self, by_bytes: int) -> None:
        self.used_bytes += by_bytes
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)

    def is_exceeded(self) -> bool:
        return self.used_bytes > self.plan.data_bytes

    def fair_share_bytes(self) -> int:
        """What each connection may always hold: as much as while all hold the same, and at least a usual request."""
        return max(MIN_SHARE_BYTES, self.plan.data_bytes // self.plan.max_connections)
