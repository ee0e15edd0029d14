"""Makes system calls of a process under test fail and steps its wall clock: compiles `shim.c` and controls it."""

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
    """Kinds of system calls that can fail, in the order of the enum in `shim.c`."""

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
    PEEK_ERROR = 17


@functools.cache
def library() -> Path:
    """Compiles the shim, once per test process, and returns its path."""
    path = Path(tempfile.mkdtemp(prefix="fault-shim-")) / "shim.so"
    command = ["cc", "-O1", "-w", "-shared", "-fPIC", "-o", str(path), str(SOURCE), "-ldl", "-lpthread"]
    subprocess.run(command, check=True)
    return path


class Shim:
    """Controls the faults of one or more processes that share one fault file."""

    def __init__(self, folder: Path, name: str = "faults") -> None:
        self.folder, self.path = folder, folder / f"{name}.shared"
        self.path.write_bytes(bytes(SIZE))
        with self.path.open("r+b") as file:
            self.shared = mmap.mmap(file.fileno(), SIZE)

    def environment(self) -> dict[str, str]:
        # opens fail only below FAULT_FOLDER; the shared file is opened before any rate is set
        return {**os.environ, "LD_PRELOAD": str(library()), "FAULT_FILE": str(self.path),
                "FAULT_FOLDER": str(self.folder), "PYTHONFAULTHANDLER": "1"}

    def set(self, rates: dict[Fault, int]) -> None:
        """Sets the failure rates in per mille; kinds that are left out do not fail."""
        for kind in Fault:
            struct.pack_into("I", self.shared, 4 * kind, rates.get(kind, 0))

    def step_wall_clock(self, seconds: float) -> None:
        struct.pack_into("q", self.shared, STEP_AT, int(seconds * 1e9))

    def injected(self) -> dict[Fault, int]:
        found = {kind: struct.unpack_from("I", self.shared, HITS_AT + 4 * kind)[0] for kind in Fault}
        return {kind: count for kind, count in found.items() if count}


def always(*kinds: Fault) -> dict[Fault, int]:
    return dict.fromkeys(kinds, 1000)
