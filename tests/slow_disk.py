"""Measures how long writes to the machine's disk take while a test runs that depends on them."""

from __future__ import annotations

import contextlib
import os
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

PAUSE_S = 0.05  # between two writes


@dataclass
class SyncTimes:
    """The time that the slowest write has taken until it was on the disk."""

    longest_s: float = 0.0


@contextlib.contextmanager
def measured_syncs(folder: Path) -> Iterator[SyncTimes]:
    """Writes to a file in `folder` again and again while the block runs, as a store does that commits."""
    times, is_over = SyncTimes(), threading.Event()

    def write() -> None:
        with (folder / "sync-times").open("wb") as file:
            while not is_over.wait(PAUSE_S):
                start_s = time.monotonic()
                file.write(b"0" * 4096)
                file.flush()
                os.fdatasync(file.fileno())
                times.longest_s = max(times.longest_s, time.monotonic() - start_s)

    thread = threading.Thread(target=write)
    thread.start()
    try:
        yield times
    finally:
        is_over.set()
        thread.join()
