"""The resident memory of this process, as the kernel counts it."""

from __future__ import annotations

import contextlib
import resource
from dataclasses import dataclass
from pathlib import Path

STATM = Path("/proc/self/statm")
PAGE_BYTES = resource.getpagesize()
KIB, MIB = 1 << 10, 1 << 20


@dataclass(frozen=True)
class Memory:
    """Resident memory now and at its peak, in bytes; 0 where the kernel doesn't tell."""

    resident_bytes: int
    peak_bytes: int

    @property
    def resident_mb(self) -> float:
        return self.resident_bytes / MIB

    @property
    def peak_mb(self) -> float:
        return self.peak_bytes / MIB


def read_memory() -> Memory:
    """The memory of this process. Raises nothing: where a read fails the figure is 0."""
    resident_bytes = 0
    with contextlib.suppress(OSError, ValueError, IndexError):
        resident_bytes = int(STATM.read_text().split()[1]) * PAGE_BYTES
    return Memory(resident_bytes, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIB)
