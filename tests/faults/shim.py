"""System calls of a process under test that fail, and a wall clock that steps: builds `shim.c` and steers it."""

from __future__ import annotations

import enum
import functools
import mmap
import os
import struct
import subprocess
import tempfile
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
ALWAYS = 1000  # per mille
SIZE, HITS_AT, STEP_AT = 4096, 256, 512


class Fault(enum.IntEnum):
    """Kinds of calls that fail, in the order of `shim.c`."""

    LOG_WRITE = 0
    SOCKET = 1
    CONNECT = 2
    ACCEPT = 3
    BIND = 4
    SHORT_READ = 5
    READ_ERROR = 6
    SHORT_WRITE = 7
    WRITE_ERROR = 8
    INTERRUPT = 9
    DISK_SHORT = 10
    DISK_WRITE = 11
    DISK_SYNC = 12
    FILE_OPEN = 13
    RENAME = 14
    THREAD = 15
    SOCKET_OPTION = 16


@functools.cache
def library() -> Path:
    """The compiled shim; one a process."""
    path = Path(tempfile.mkdtemp(prefix="fault-shim-")) / "shim.so"
    command = ["cc", "-O1", "-w", "-shared", "-fPIC", "-o", str(path), str(SOURCE), "-ldl", "-lpthread"]
    subprocess.run(command, check=True)
    return path


class Shim:
    """What one process, or several, of a test are made to see."""

    def __init__(self, folder: Path, name: str = "faults") -> None:
        self.folder, self.path = folder, folder / f"{name}.shared"
        self.path.write_bytes(bytes(SIZE))
        with self.path.open("r+b") as file:
            self.shared = mmap.mmap(file.fileno(), SIZE)

    def environment(self) -> dict[str, str]:
        # the folder below which opens fail; the shared file itself is opened before any rate is set
        return {**os.environ, "LD_PRELOAD": str(library()), "FAULT_FILE": str(self.path),
                "FAULT_FOLDER": str(self.folder), "PYTHONFAULTHANDLER": "1"}

    def set(self, rates: dict[Fault, int]) -> None:
        """Per-mille rates; what is not named does not fail."""
        for kind in Fault:
            struct.pack_into("I", self.shared, 4 * kind, rates.get(kind, 0))

    def step_wall_clock(self, seconds: float) -> None:
        struct.pack_into("q", self.shared, STEP_AT, int(seconds * 1e9))

    def hits(self) -> dict[Fault, int]:
        found = {kind: struct.unpack_from("I", self.shared, HITS_AT + 4 * kind)[0] for kind in Fault}
        return {kind: count for kind, count in found.items() if count}
