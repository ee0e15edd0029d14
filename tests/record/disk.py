"""An in-memory disk for SQLite, as an apsw VFS, that can lose power, fill up or fail at any write or sync.

At a power loss each unsynced write is randomly lost, kept or torn at sector boundaries, in random order.
"""

from __future__ import annotations

import random
from typing import Any

import apsw

SECTOR = 512


class PowerLost(apsw.IOError):
    pass


class SimulatedFile:
    def __init__(self) -> None:
        self.synced = bytearray()
        self.content = bytearray()  # as read before a power loss
        self.pending: list[tuple[int, bytes | None]] = []  # (offset, data), or (size, None) for a truncation


def apply_write(data: bytearray, offset: int, piece: bytes | None) -> None:
    if piece is None:
        del data[offset:]
        return
    if len(data) < offset:
        data.extend(bytes(offset - len(data)))
    data[offset:offset + len(piece)] = piece


class SimulatedDisk:
    """All files, the number of changes to them, and the fault to inject at one of the changes."""

    def __init__(self, seed: int, fault: str = "", at: int = 0, times: int = 1) -> None:
        self.random = random.Random(seed)
        self.fault, self.at, self.times = fault, at, times
        self.files: dict[str, SimulatedFile] = {}
        self.count = 0  # writes, syncs, truncations and deletions so far
        self.powered_off = False
        self.failed_operation = ""  # the kind of change that the fault hit

    def count_change(self, what: str) -> None:
        """Counts one change; raises if the fault is due."""
        if self.powered_off:
            raise PowerLost("the power is gone")
        self.count += 1
        if not self.fault or self.count < self.at or self.times <= 0:
            return
        if self.fault == "power":
            self.powered_off, self.failed_operation = True, what
            raise PowerLost("the power fails")
        if (self.fault == "full") == (what == "write") and (self.fault != "sync" or what == "sync"):
            self.times -= 1
            self.failed_operation = what
            raise apsw.FullError("no space") if self.fault == "full" else apsw.IOError("injected")

    def after_power_loss(self) -> SimulatedDisk:
        """The disk as found after a restart."""
        other = SimulatedDisk(self.random.randrange(1 << 30))
        for name, file in self.files.items():
            found = SimulatedFile()
            data = bytearray(file.synced)
            pending = list(file.pending)
            self.random.shuffle(pending)
            for offset, piece in pending:
                if piece is None:
                    if self.random.random() < 0.5:
                        apply_write(data, offset, None)
                    continue
                for start in range(0, len(piece), SECTOR):  # each sector is written or not
                    if self.random.random() < 0.5:
                        apply_write(data, offset + start, piece[start:start + SECTOR])
            found.synced, found.content = bytearray(data), bytearray(data)
            other.files[name] = found
        return other


class FileHandle:
    """An open file."""

    def __init__(self, disk: SimulatedDisk, name: str, file: SimulatedFile, delete: bool) -> None:
        self.disk, self.name, self.file, self.delete = disk, name, file, delete

    def xRead(self, amount: int, offset: int) -> bytes:
        if self.disk.powered_off:
            raise PowerLost("the power is gone")
        return bytes(self.file.content[offset:offset + amount])

    def xWrite(self, data: bytes, offset: int) -> None:
        self.disk.count_change("write")
        piece = bytes(data)
        apply_write(self.file.content, offset, piece)
        self.file.pending.append((offset, piece))

    def xTruncate(self, size: int) -> None:
        self.disk.count_change("truncate")
        apply_write(self.file.content, size, None)
        self.file.pending.append((size, None))

    def xSync(self, flags: int) -> None:
        self.disk.count_change("sync")
        self.file.synced = bytearray(self.file.content)
        self.file.pending.clear()

    def xFileSize(self) -> int:
        return len(self.file.content)

    def xClose(self) -> None:
        if self.delete:
            self.disk.files.pop(self.name, None)

    def xLock(self, level: int) -> None:
        pass

    def xUnlock(self, level: int) -> None:
        pass

    def xCheckReservedLock(self) -> bool:
        return False

    def xSectorSize(self) -> int:
        return SECTOR

    def xDeviceCharacteristics(self) -> int:
        return 0

    def xFileControl(self, op: int, pointer: int) -> bool:
        return False


class Vfs(apsw.VFS):
    """Registers the disk as a VFS under the name that connections use."""

    def __init__(self, name: str, disk: SimulatedDisk) -> None:
        self.name, self.disk = name, disk
        super().__init__(name, "")

    def xOpen(self, name: Any, flags: list[int]) -> Any:
        if self.disk.powered_off:
            raise PowerLost("the power is gone")
        text = str(name.filename() if hasattr(name, "filename") else name or f"temporary {id(flags)}")
        if text not in self.disk.files:
            if not flags[0] & apsw.SQLITE_OPEN_CREATE:
                raise apsw.CantOpenError(text)
            self.disk.files[text] = SimulatedFile()
        flags[1] = flags[0]
        return FileHandle(self.disk, text, self.disk.files[text], bool(flags[0] & apsw.SQLITE_OPEN_DELETEONCLOSE))

    def xDelete(self, name: str, sync: bool) -> None:
        self.disk.count_change("delete")
        self.disk.files.pop(name, None)

    def xAccess(self, name: str, flags: int) -> bool:
        return name in self.disk.files

    def xFullPathname(self, name: str) -> str:
        return name
