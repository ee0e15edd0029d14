"""An in-memory disk that simulates power loss at any point, with any part of the unsynced changes lost."""

from __future__ import annotations

import random
from dataclasses import dataclass, field


class PowerLoss(Exception):
    """The simulated power failure."""


@dataclass
class Disk:
    """`FileSystem` in memory. Each operation and each byte written is a step; step `stop_at` raises Stopped."""

    names: dict[str, int] = field(default_factory=dict)  # as a running process sees them
    data: dict[int, bytes] = field(default_factory=dict)
    durable_names: dict[str, int] = field(default_factory=dict)
    durable_data: dict[int, bytes] = field(default_factory=dict)
    pending: list[tuple[str, int | None]] = field(default_factory=list)  # changes of names since the last sync
    stop_at: int = -1
    steps: int = 0
    fail: dict[str, OSError] = field(default_factory=dict)
    capacity: int = 1 << 30

    def step(self) -> None:
        if self.steps == self.stop_at:
            raise PowerLoss
        self.steps += 1

    def check(self, what: str) -> None:
        if what in self.fail:
            raise self.fail[what]

    def read(self, path: str) -> bytes | None:
        self.check("read")
        return self.data[self.names[path]] if path in self.names else None

    def write(self, path: str, data: bytes) -> None:
        self.step()
        self.check("write")
        if path not in self.names:
            self.names[path] = len(self.data) + 1
            self.pending.append((path, self.names[path]))
        inode = self.names[path]
        self.data[inode] = b""
        for i in range(len(data)):
            self.step()
            if i >= self.capacity:
                raise OSError(28, "No space left on device")
            self.data[inode] = data[:i + 1]
        self.step()
        self.check("sync")
        self.durable_data[inode] = self.data[inode]

    def rename(self, old: str, new: str) -> None:
        self.step()
        self.check("rename")
        if old not in self.names:
            raise FileNotFoundError(2, "No such file or directory", old)
        inode = self.names.pop(old)
        self.names[new] = inode
        self.pending += [(old, None), (new, inode)]

    def sync_folder(self, path: str) -> None:
        self.step()
        self.check("sync_folder")
        self.durable_names = dict(self.names)
        self.pending = []

    def after_power_loss(self, rng: random.Random) -> Disk:
        """The disk as it may be after a power failure. Unsynced data may be complete, cut short, padded with zeros,
        or as it was at the last sync. Any part of the unsynced names may be lost, but a rename only as a whole."""
        names = dict(self.durable_names)
        changes = self.pending
        i = 0
        while i < len(changes):
            path, inode = changes[i]
            whole = [changes[i]]
            if inode is None:  # a rename: both halves or neither
                whole.append(changes[i + 1])
            i += len(whole)
            if rng.random() < 0.5:
                continue
            for path, inode in whole:
                if inode is None:
                    names.pop(path, None)
                else:
                    names[path] = inode
        data: dict[int, bytes] = {}
        for inode in names.values():
            lasting, now = self.durable_data.get(inode), self.data[inode]
            if lasting == now:
                data[inode] = now
            else:
                cut = now[:rng.randrange(len(now) + 1)]
                data[inode] = rng.choice([cut, cut + bytes(len(now) - len(cut)), lasting or b"", now])
        return Disk(names=dict(names), data=dict(data), durable_names=dict(names), durable_data=dict(data))
