"""The resident memory of this process, as the kernel counts it."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from pathlib import Path

STATUS = Path("/proc/self/status")
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
    """The memory of this process. Raises nothing: where a read fails its figures are 0."""
    sizes = {"VmRSS": 0, "VmHWM": 0}
    with contextlib.suppress(OSError, ValueError, IndexError):
        for line in STATUS.read_text().splitlines():
            name, _, value = line.partition(":")
            if name in sizes:
                sizes[name] = int(value.split()[0]) * KIB
    return Memory(sizes["VmRSS"], sizes["VmHWM"])
